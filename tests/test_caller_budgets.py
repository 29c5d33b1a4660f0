"""Test the decisions on what callers hold, without a network."""

import unittest

from mustardvale.internal.edge import caller_limits
from mustardvale.internal.relay import byte_budgets, connection_limits

BUDGET = byte_budgets.build(300)
SMALL = byte_budgets.SMALL_BYTES
LARGE = SMALL + 1
Intake = byte_budgets.Intake


class Intakes(unittest.TestCase):
    """Reading stops before the budget is full; small requests come last."""

    def test_usage(self) -> None:
        """Guard against large requests in the reserved share."""
        narrow, large = int(BUDGET.narrow_bytes), int(BUDGET.large_bytes)
        for usage, intake in (
            (byte_budgets.Usage(), Intake.ALL),
            (byte_budgets.Usage(narrow, narrow), Intake.ONE_LARGE),
            (byte_budgets.Usage(large, large), Intake.SMALL),
            (byte_budgets.Usage(int(BUDGET.total_bytes) + 1), Intake.NONE),
        ):
            decided = byte_budgets.decide_intake(usage, BUDGET)
            self.assertIs(intake, decided)

    def test_who_is_read(self) -> None:
        """Guard against a deadlock of requests that all wait."""
        rows = (
            (Intake.ALL, LARGE, False, True),
            (Intake.ONE_LARGE, LARGE, True, True),
            (Intake.ONE_LARGE, LARGE, False, False),
            (Intake.ONE_LARGE, SMALL, False, True),
            (Intake.SMALL, LARGE, True, False),
            (Intake.SMALL, SMALL, False, True),
            (Intake.NONE, SMALL, False, False),
        )
        for intake, held_bytes, is_first, expected in rows:
            self.assertIs(
                expected, byte_budgets.may_read(intake, held_bytes, is_first)
            )


class ReadSizes(unittest.TestCase):
    """Input of many small chunks is read in small pieces."""

    def test_sizes(self) -> None:
        """Guard against a crowd of tiny chunks that holds up other sockets."""
        for current, received, events, expected in (
            (65536, 65536, 1000, 4096),
            (4096, 4096, 58, 4096),
            (4096, 4096, 2, 65536),
            (4096, 10, 1, 4096),
            (65536, 10, 2, 65536),
        ):
            chosen = caller_limits.choose_read_bytes(
                current, 65536, received, events
            )
            self.assertEqual(expected, chosen)


class Ends(unittest.TestCase):
    """What has made no progress for longest ends first, then the largest."""

    holders = (
        byte_budgets.Holder('longest', LARGE, 1.0),
        byte_budgets.Holder('stalled', LARGE, 2.0),
        byte_budgets.Holder('largest', 2 * LARGE, 9.9),
        byte_budgets.Holder('paused', LARGE, 0.0, paused_at=9.5),
        byte_budgets.Holder('small', SMALL, 0.0),
    )

    def test_order(self) -> None:
        """Guard against ending a request that this instance did not read."""
        for holders, intake, key in (
            (self.holders, Intake.ONE_LARGE, 'longest'),
            (self.holders, Intake.NONE, 'small'),
            (self.holders[2:4], Intake.NONE, 'largest'),
        ):
            end = byte_budgets.choose_end(holders, intake, 10.0)
            assert end is not None, 'a holder ends'
            self.assertEqual(key, end.key)

    def test_nothing_ends(self) -> None:
        """Guard against ending anything while all makes progress."""
        for holders, intake in (
            (self.holders, Intake.ALL),
            (self.holders[2:], Intake.SMALL),
        ):
            self.assertIsNone(byte_budgets.choose_end(holders, intake, 10.0))

    def test_paused_for_too_long(self) -> None:
        """Guard against requests that are held until their time has passed."""
        (end,) = byte_budgets.list_overdue(self.holders, 10.5)
        self.assertEqual('paused', end.key)


class Connections(unittest.TestCase):
    """Connections are limited by listener and by address."""

    limits = connection_limits.build(connection_limits.FRONT_SHARE, 1535)

    def test_limits_of_the_smallest_site(self) -> None:
        """Guard against limits that hundreds of callers would meet."""
        self.assertGreaterEqual(self.limits.connections_by_address, 500)

    def test_verdicts(self) -> None:
        """Guard against one address that takes all connections."""
        most, by_address = (
            self.limits.connections,
            self.limits.connections_by_address,
        )
        for listener_count, address_count, verdict in (
            (most - 1, by_address - 1, connection_limits.Verdict.ACCEPT),
            (most, by_address - 1, connection_limits.Verdict.WAIT),
            (by_address, by_address, connection_limits.Verdict.REFUSE),
        ):
            self.assertIs(
                verdict,
                connection_limits.decide(
                    int(listener_count), int(address_count), self.limits
                ),
            )

    def test_who_makes_room(self) -> None:
        """Guard against ending what a request or a refusal is on the way to."""
        waiting = (
            connection_limits.Waiting('new', 9.9),
            connection_limits.Waiting('idle', 5.0),
            connection_limits.Waiting('older', 1.0),
            connection_limits.Waiting('answered', 9.5, is_answered=True),
            connection_limits.Waiting('just answered', 9.9, is_answered=True),
        )
        self.assertEqual(
            ('answered', 'older', 'idle'),
            connection_limits.choose_ended(waiting, 10.0),
        )
