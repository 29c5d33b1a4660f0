"""Test the rate limits of client accounts and their shares."""

import dataclasses
import unittest

import hypothesis
from hypothesis import strategies

from mustardvale import document
from mustardvale.internal import (
    buckets,
    limits,
    messages,
    withheld_shares,
)

ACCOUNT = document.ClientAccount(
    name='colston-dairy',
    key_sha256='',
    priority=document.Priority.INTERACTIVE,
    requests_per_second=10,
    tokens_per_second=100,
)
NAMES = ('entry-0', 'entry-1', 'entry-2')

amounts = strategies.floats(0, 100)
gaps = strategies.floats(0, 10)


def build_usage(requests: float) -> tuple[messages.AccountUsage, ...]:
    """Build a report of the demand."""
    row = messages.AccountUsage(ACCOUNT.name, requests, requests * 10)
    return (row,)


def build_instance_state(
    demands: dict[str, float], own: str
) -> limits.LimitState:
    """Return the state of an instance that has received all reports."""
    state = limits.LimitState()
    for name, demand in demands.items():
        if name != own:
            state = limits.merge_usage_report(
                name, build_usage(demand), 0, state
            )
    account = limits.AccountLimit(
        buckets.Bucket(),
        buckets.Bucket(),
        reported=limits.Amounts(demands[own], demands[own] * 10),
    )
    return limits.with_account(ACCOUNT.name, account, state)


class BucketBounds(unittest.TestCase):
    """A token bucket never grants more than its rate and burst allow."""

    @hypothesis.given(
        strategies.lists(strategies.tuples(gaps, amounts), max_size=50),
        strategies.floats(0.1, 100),
        strategies.floats(1, 100),
    )
    def test_never_above_the_bound(
        self,
        takes: list[tuple[float, float]],
        rate: float,
        burst: float,
    ) -> None:
        """Guard against granting more than the rate allows in any sequence."""
        bucket = buckets.Bucket()
        now = 0.0
        given = 0.0
        for gap, amount in takes:
            now += gap
            bucket = buckets.refill(bucket, rate, burst, now)
            self.assertLessEqual(bucket.level, burst)
            if bucket.level >= amount:
                bucket = buckets.take(bucket, amount)
                given += amount
        self.assertLessEqual(given, rate * now + 1e-6)

    @hypothesis.given(amounts, strategies.floats(0.1, 100))
    def test_wait_is_long_enough(self, wanted: float, rate: float) -> None:
        """Guard against a retry time that is too short."""
        bucket = buckets.Bucket(-5, 3)
        wait = buckets.compute_wait_seconds(bucket, wanted, rate)
        later = buckets.refill(bucket, rate, 1000, 3 + wait)
        self.assertAlmostEqual(later.level, max(wanted, -5))

    def test_clock_that_goes_back(self) -> None:
        """Guard against a refill or a loss when the clock goes back."""
        bucket = buckets.refill(buckets.Bucket(1, 10), 100, 50, 9)
        self.assertEqual(bucket, buckets.Bucket(1, 10))


class Shares(unittest.TestCase):
    """The shares of all instances sum to the limit."""

    @hypothesis.given(
        strategies.lists(strategies.floats(0.01, 1000), min_size=3, max_size=3)
    )
    def test_steady_state(self, demands: list[float]) -> None:
        """Guard against shares that do not sum to the limit."""
        demand_by_name = dict(zip(NAMES, demands, strict=True))
        shares = [
            limits.find_share(
                ACCOUNT.name, build_instance_state(demand_by_name, name)
            )
            for name in NAMES
        ]
        self.assertAlmostEqual(sum(share.requests for share in shares), 1)
        self.assertAlmostEqual(sum(share.tokens for share in shares), 1)
        floor = limits.EQUAL_FRACTION / len(NAMES)
        self.assertGreaterEqual(min(share.tokens for share in shares), floor)

    def test_share_of_failed_instance_is_withheld(self) -> None:
        """Guard against exceeding the limit after a false failure detection."""
        demands = {'entry-0': 10.0, 'entry-1': 20.0, 'entry-2': 30.0}
        state = build_instance_state(demands, 'entry-0')
        before = limits.find_share(ACCOUNT.name, state)
        state = limits.merge_usage_report('entry-1', build_usage(20), 3, state)
        state = withheld_shares.update_peers(frozenset(NAMES[1:]), 4, state)
        self.assertEqual(tuple(state.silent_peers), ('entry-2',))
        after = limits.find_share(ACCOUNT.name, state)
        withheld = limits.EQUAL_FRACTION / 3 + (1 - limits.EQUAL_FRACTION) / 2
        self.assertAlmostEqual(
            after.requests,
            (1 - withheld)
            * (limits.EQUAL_FRACTION / 2 + (1 - limits.EQUAL_FRACTION) / 3),
        )
        self.assertLess(after.requests, before.requests + 0.01)
        state = withheld_shares.update_peers(frozenset(('entry-1',)), 5, state)
        confirmed = limits.find_share(ACCOUNT.name, state)
        self.assertAlmostEqual(
            confirmed.requests,
            limits.EQUAL_FRACTION / 2 + (1 - limits.EQUAL_FRACTION) / 3,
        )

    def test_withheld_shares_are_released_after_a_minute(self) -> None:
        """Guard against half of a limit that stays unused for an hour."""
        demands = {'entry-0': 10.0, 'entry-1': 10.0, 'entry-2': 10.0}
        state = build_instance_state(demands, 'entry-0')
        listed = frozenset(NAMES[1:])
        state = withheld_shares.update_peers(listed, 3, state)
        self.assertLess(limits.find_share(ACCOUNT.name, state).tokens, 0.34)
        state = withheld_shares.update_peers(listed, 59, state)
        self.assertLess(limits.find_share(ACCOUNT.name, state).tokens, 0.34)
        state = withheld_shares.update_peers(listed, 61, state)
        self.assertEqual(limits.find_share(ACCOUNT.name, state).tokens, 1)
        state = limits.merge_usage_report('entry-1', build_usage(10), 62, state)
        self.assertAlmostEqual(
            limits.find_share(ACCOUNT.name, state).tokens,
            0.5,
        )

    def test_instance_that_starts_takes_an_equal_share(self) -> None:
        """Guard against using the whole limit before the first heartbeat."""
        state = withheld_shares.update_peers(
            frozenset(NAMES[1:]), 0, limits.LimitState()
        )
        share = limits.find_share(ACCOUNT.name, state)
        self.assertAlmostEqual(share.requests, 1 / 3)


class Reports(unittest.TestCase):
    """Heartbeats report every demand within a bounded size."""

    def ask_all(self, count: int, now: float) -> limits.LimitState:
        """Ask once for each of many accounts."""
        state = limits.LimitState()
        for number in range(count):
            account = dataclasses.replace(ACCOUNT, name=f'account-{number}')
            state = limits.try_acquire(account, 10, now, state).limits
        return state

    def test_all_accounts_in_turn(self) -> None:
        """Guard against unbounded heartbeats and omitted accounts."""
        sender = self.ask_all(690, 100)
        peer = limits.LimitState()
        for second in range(11):
            sender = limits.update_reported_demand(100 + second, sender)
            rows = limits.build_usage_report(sender)
            self.assertLessEqual(len(rows), limits.MAXIMUM_REPORTED_ACCOUNTS)
            peer = limits.merge_usage_report(
                'entry-0', rows, 100 + second, peer
            )
        self.assertEqual(len(peer.total_demands), 690)
        for name, account in sender.accounts.items():
            known = peer.total_demands[name].tokens
            self.assertAlmostEqual(known, account.reported.tokens, places=3)

    def test_new_demand_is_reported_first(self) -> None:
        """Guard against a busy account reported only after idle ones."""
        state = self.ask_all(690, 100)
        for second in range(11):
            state = limits.update_reported_demand(100 + second, state)
        account = dataclasses.replace(ACCOUNT, name='account-7')
        state = limits.try_acquire(account, 1000, 111, state).limits
        state = limits.update_reported_demand(112, state)
        self.assertIn(
            'account-7',
            {row.account for row in limits.build_usage_report(state)},
        )

    def test_end_of_a_demand_is_reported(self) -> None:
        """Guard against a share that outlives its demand."""
        sender = self.ask_all(1, 0)
        sender = limits.update_reported_demand(1, sender)
        peer = limits.merge_usage_report(
            'a', limits.build_usage_report(sender), 1, limits.LimitState()
        )
        self.assertIn('account-0', peer.total_demands)
        for second in range(2, 40):
            sender = limits.update_reported_demand(second, sender)
            peer = limits.merge_usage_report(
                'a', limits.build_usage_report(sender), second, peer
            )
        self.assertFalse(peer.total_demands)
        for second in range(40, 120):
            sender = limits.update_reported_demand(second, sender)
        self.assertFalse(limits.build_usage_report(sender))


class Charging(unittest.TestCase):
    """Requests are charged on admission and tokens on delivery."""

    def test_debt_of_tokens_is_repaid(self) -> None:
        """Guard against delivered tokens that are never charged."""
        asked = limits.try_acquire(ACCOUNT, 50, 10, limits.LimitState())
        self.assertEqual(asked.wait_seconds, 0)
        state = limits.charge(ACCOUNT.name, 400, 10, asked.limits)
        refused = limits.try_acquire(ACCOUNT, 50, 11, state)
        self.assertAlmostEqual(refused.wait_seconds, 2)
        admitted = limits.try_acquire(ACCOUNT, 50, 13.01, refused.limits)
        self.assertEqual(admitted.wait_seconds, 0)

    def test_restart_starts_empty(self) -> None:
        """Guard against a burst after every restart of an instance."""
        state = limits.LimitState(started_at=10)
        self.assertGreater(
            limits.try_acquire(ACCOUNT, 1, 10, state).wait_seconds, 0
        )

    @hypothesis.given(
        strategies.lists(strategies.floats(0, 0.5), min_size=1, max_size=200)
    )
    def test_requests_never_above_the_bound(self, waits: list[float]) -> None:
        """Guard against more requests than the rate allows."""
        state = limits.LimitState()
        now = 0.0
        admitted = 0
        for wait in waits:
            now += wait
            asked = limits.try_acquire(ACCOUNT, 1, now, state)
            state = asked.limits
            admitted += not asked.wait_seconds
        bound = ACCOUNT.requests_per_second * now
        self.assertLessEqual(admitted, bound + 1e-6)
