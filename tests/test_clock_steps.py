"""Test that steps of the time of day change no decision of the relay."""

import typing
import unittest

import hypothesis
from hypothesis import strategies

from mustardvale.internal import events
from mustardvale.internal.relay import calls
from tests import relay_states

STEPS = strategies.lists(strategies.floats(-30.0, 30.0), min_size=6, max_size=6)


class SteppedInstance(relay_states.Instance):
    """Drive an instance whose time of day jumps at each event of the test."""

    wall_offset_seconds = 0.0

    def emit_event(
        self, kind: type[events.Event], **fields: typing.Any
    ) -> None:
        """Reduce an event that carries the stepped time of day."""
        event = kind(
            at=self.now, wall_time=self.now + self.wall_offset_seconds, **fields
        )
        transition = self.reduce(event, self.state)
        self.state = transition.state
        for effect in transition.effects:
            self.record_effect(effect)


class TimeOfDay(unittest.TestCase):
    """Deadlines, confirmations, leases and budgets use a steady clock."""

    def play(self, steps: list[float]) -> tuple[typing.Any, ...]:
        """Return what an instance does while the time of day jumps."""
        instance = SteppedInstance()
        for number, step in enumerate(steps):
            instance.wall_offset_seconds += step
            instance.receive_request(f'r{number}', '/read/x')
            instance.receive_request(f'w{number}', '/write/x')
            instance.pass_time(0.9)
            if number % 2:
                instance.emit_event(
                    events.CallAnswered,
                    call=instance.list_calls(calls.FollowConfiguration)[
                        -1
                    ].call,
                    address='',
                    answer=calls.ConfigurationRead(1, None),
                )
        return (
            instance.replies,
            instance.sends,
            instance.calls,
            instance.state,
        )

    @hypothesis.settings(max_examples=30, deadline=None)
    @hypothesis.given(STEPS)
    def test_steps_change_nothing(self, steps: list[float]) -> None:
        """Guard against keys, leases or deadlines that follow the jumps."""
        self.assertEqual(self.play([0.0] * len(steps)), self.play(steps))
