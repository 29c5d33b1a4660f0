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
