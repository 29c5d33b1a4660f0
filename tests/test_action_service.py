"""Test the stand-in of an upstream service, on whose ledger tests rely."""

import unittest

from mustardvale.internal import effects, events
from standins import action_service

OPERATION = action_service.Operation('log-wheel', 'key-1', 'attempt-1', b'')


def ask(
    state: action_service.State,
    request: object,
) -> action_service.Transition:
    """Send one request to the stand-in."""
    event = events.CallerRequested(at=0, request_id='r', request=request)
    return action_service.reduce(event, state)


class Ledger(unittest.TestCase):
    """The ledger counts each execution, and nothing else."""

    def test_repeats_are_counted_per_key_and_attempt(self) -> None:
        """Guard against a second execution that is not counted."""
        state = action_service.State('service-0')
        for _ in range(2):
            state = ask(state, OPERATION).state
        self.assertEqual(state.ledger.by_key['key-1'], 2)
        self.assertEqual(state.ledger.by_attempt['attempt-1'], 2)

    def test_service_that_checks_keys_executes_once(self) -> None:
        """Guard against counting a repeated request that was not executed."""
        state = action_service.State('service-0', checks_keys=True)
        first = ask(state, OPERATION)
        second = ask(first.state, OPERATION)
        self.assertEqual(second.effects, first.effects)
        self.assertEqual(second.state.ledger.by_key['key-1'], 1)

    def test_lost_answer_is_still_executed(self) -> None:
        """Guard against a lost answer whose operation was not executed."""
        faults = action_service.Faults(lose_answers=1)
        state = action_service.State('service-0', faults=faults)
        transition = ask(state, OPERATION)
        self.assertEqual(transition.effects, (effects.CloseCaller('r'),))
        self.assertEqual(transition.state.ledger.by_key['key-1'], 1)

    def test_faults_that_prevent_an_execution(self) -> None:
        """Guard against executions despite a fault that prevents them."""
        for name in ('down', 'refuse', 'freeze', 'leaving'):
            with self.subTest(fault=name):
                faults = action_service.Faults(**{name: True})
                state = action_service.State('service-0', faults=faults)
                after = ask(state, OPERATION).state
                self.assertEqual(after.executions, 0)
