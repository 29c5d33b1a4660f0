"""Test the retry budget."""

import unittest

import hypothesis
from hypothesis import strategies

from mustardvale import errors
from mustardvale.internal import calls, events, retries
from tests import entry_states


class Budget(unittest.TestCase):
    """Retries remain a small fraction of the requests."""

    @hypothesis.given(strategies.lists(strategies.booleans(), max_size=600))
    @hypothesis.settings(deadline=None)
    def test_never_above_a_tenth_and_the_maximum_balance(
        self,
        steps: list[bool],
    ) -> None:
        """Guard against retries that multiply the load of a failing site."""
        state = entry_states.build()
        requests = 0
        granted = 0
        for is_request in steps:
            if is_request:
                requests += 1
                state = retries.deposit(state)
            else:
                spent = retries.withdraw('closed', state)
                state = spent.state
                granted += spent.is_granted
        bound = retries.MAXIMUM_BALANCE + requests / 10
        self.assertLessEqual(granted, bound + 1e-6)

    def test_answer_is_aborted_when_the_budget_is_spent(self) -> None:
        """Guard against endless attempts while all runners fail."""
        entry = entry_states.Entry(1)
        entry.state = entry_states.dataclasses.replace(
            entry.state,
            retries=retries.RetryBudget(0.5),
        )
        request_id = entry.ask()
        entry.fail(entry.take_steps()[0], events.FailureKind.TIMED_OUT)
        refused = entry.find_refusal(request_id)
        assert refused is not None
        self.assertEqual(refused.code, errors.NO_UPSTREAM)
        self.assertEqual(refused.outcome, errors.Outcome.UNKNOWN)

    def test_leaving_runner_uses_no_budget(self) -> None:
        """Guard against a rolling restart that uses up the budget."""
        entry = entry_states.Entry(2)
        entry.state = entry_states.dataclasses.replace(
            entry.state,
            retries=retries.RetryBudget(0),
        )
        entry.ask()
        call = entry.take_steps()[0]
        entry.emit_event(
            events.CallAnswered,
            call=call.call,
            address=call.address,
            answer=calls.StepsRefused(503, is_leaving=True),
        )
        (following,) = entry.take_steps()
        self.assertNotEqual(following.address, call.address)
