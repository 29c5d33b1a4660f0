"""Test that runners get no steps of answers that have ended."""

import unittest

from mustardvale.internal import calls, events
from tests import entry_states


class AbandonedSteps(unittest.TestCase):
    """A step that is still queued when its answer ends is not sent."""

    def test_waiting_step_of_a_caller_that_left(self) -> None:
        """Guard against a session that is opened again after its close.

        The runner would run a useless prefill and keep the session.
        """
        entry = entry_states.Entry()
        requests = [entry.ask() for _ in range(3)]
        sent = entry.take_steps()
        self.assertEqual(len(sent), 2)
        entry.emit_event(events.CallerLeft, request_id=requests[2])
        first = sent[0]
        steps = first.call.steps
        entry.emit_event(
            events.CallAnswered,
            call=first.call,
            address=first.address,
            answer=calls.StepsRun(
                tuple(
                    calls.StepResult(step.session, step.position, ('w1',))
                    for step in steps
                ),
            ),
        )
        following = [
            step.session
            for call in entry.take_steps()
            for step in call.call.steps
        ]
        self.assertNotIn(f'{requests[2]}.1', following)
