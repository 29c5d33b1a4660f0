"""Test how runners that crashed get their layers back."""

import dataclasses
import unittest

from mustardvale.internal import events
from mustardvale.internal.relay import calls, members, runners, timers
from tests import relay_states


def build_leader(
    listed: tuple[runners.ListedRunner, ...],
) -> relay_states.Instance:
    """Return an instance that leads and has ordered what is needed."""
    instance = relay_states.Instance(listed)
    instance.state = dataclasses.replace(
        instance.state,
        members=members.MemberState(
            zone=members.GroupState(listed_generation=1),
            leader_until=instance.now + 60,
        ),
    )
    check_placement(instance)
    return instance


def check_placement(instance: relay_states.Instance) -> None:
    """Fire the timer of the placement check."""
    instance.emit_event(events.TimerFired, timer=timers.PlacementCheckDue())


def list_ordered_ids(instance: relay_states.Instance) -> list[str]:
    """Return the runner of each order so far."""
    return [
        call.call.runner_id for call in instance.list_calls(calls.PlaceLayers)
    ]


class PendingOrders(unittest.TestCase):
    """An order to a process that is gone does not wait for it."""

    def setUp(self) -> None:
        self.instance = build_leader(
            (
                relay_states.build_model_runner('m1', 0, 0),
                relay_states.build_model_runner('m2', 40, 80),
            )
        )

    def test_order_ends_with_the_entry(self) -> None:
        """Guard against gaps that stay open for the order of a dead runner."""
        self.assertEqual(['m1'], list_ordered_ids(self.instance))
        self.instance.list_runners(
            (relay_states.build_model_runner('m2', 40, 80),)
        )
        check_placement(self.instance)
        self.assertFalse(self.instance.state.orders.pending)

    def test_order_ends_with_the_process(self) -> None:
        """Guard against a restarted runner that gets no order."""
        self.instance.list_runners(
            (
                dataclasses.replace(
                    relay_states.build_model_runner('m1', 0, 0),
                    started_at_ms=2,
                ),
                relay_states.build_model_runner('m2', 40, 80),
            )
        )
        check_placement(self.instance)
        self.assertEqual(['m1', 'm1'], list_ordered_ids(self.instance))


class ReturningRunners(unittest.TestCase):
    """A runner that is listed without layers is ordered to load some."""

    def setUp(self) -> None:
        self.instance = build_leader(relay_states.TWO_CHAINS)

    def return_runner(self, name: str) -> None:
        """List a runner that has replaced the crashed runner `m1`."""
        returned = relay_states.build_model_runner(name, 0, 0)
        self.instance.list_runners(
            (
                *relay_states.TWO_CHAINS[1:],
                dataclasses.replace(returned, started_at_ms=2),
            )
        )
        self.instance.pass_time(0)

    def test_order_does_not_wait_for_the_next_check(self) -> None:
        """Guard against a returned runner that is idle until a check."""
        for name in ('m1', 'm9'):
            with self.subTest(name=name):
                self.setUp()
                self.return_runner(name)
                self.assertEqual([name], list_ordered_ids(self.instance))

    def test_order_to_a_new_process_counts_from_zero(self) -> None:
        """Guard against a restarted runner that refuses its first order."""
        self.return_runner('m1')
        first = self.instance.list_calls(calls.PlaceLayers)[-1]
        self.instance.emit_event(
            events.CallAnswered,
            call=first.call,
            address=first.address,
            answer=calls.OrderAnswer(calls.OrderVerdict.ACCEPTED),
        )
        restarted = relay_states.build_model_runner('m1', 0, 0)
        self.instance.list_runners(
            (
                *relay_states.TWO_CHAINS[1:],
                dataclasses.replace(restarted, started_at_ms=3),
            )
        )
        self.instance.pass_time(0)
        orders = self.instance.list_calls(calls.PlaceLayers)
        self.assertEqual([0, 0], [order.call.order_count for order in orders])

    def test_returned_runner_gets_the_lost_range(self) -> None:
        """Guard against leaving the range of the crashed runner uncovered."""
        self.return_runner('m9')
        order = self.instance.list_calls(calls.PlaceLayers)[-1].call
        self.assertEqual(0, order.layers.first)

    def test_checks_are_not_multiplied(self) -> None:
        """Guard against a second series of periodic checks."""
        self.return_runner('m9')
        self.return_runner('m10')
        due = [
            timer
            for timer in self.instance.pending_timers
            if timer == timers.PlacementCheckDue()
        ]
        self.assertEqual(1, len(due))
