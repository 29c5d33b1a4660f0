"""Test the order and uniqueness of steps."""

import unittest

from mustardvale import document
from mustardvale.internal import caller_messages, calls, chains, generations

STAGES = (
    chains.Stage('runner-0', 'a:1', 0, 8),
    chains.Stage('runner-1', 'b:1', 8, 16),
)


def build_generation() -> generations.Generation:
    """Build an answer whose first attempt has just started."""
    waiting = generations.Generation(
        request_id='entry-1',
        account='colston-dairy',
        request=caller_messages.AnswerRequest(
            model='affinage',
            prompt=('how', 'old'),
            maximum_tokens=2,
        ),
        model=document.Model('affinage', '3', 16, 'mustardvale-pool'),
        deadline_at=10,
        started_at=0,
        tokens=('how', 'old'),
        sent_token_count=0,
    )
    return generations.start_attempt(waiting, STAGES, 0)


class AwaitedStep(unittest.TestCase):
    """Only the result of the awaited step may be used."""

    def test_result_of_abandoned_attempt_is_not_awaited(self) -> None:
        """Guard against late results of an abandoned attempt."""
        first = build_generation()
        abandoned = generations.abandon_attempt(first, 'runner-0', 'closed')
        second = generations.start_attempt(abandoned, STAGES, 1)
        late = calls.StepResult(first.session, 0, ('x', 'y'))
        self.assertFalse(generations.is_awaited(second, 'a:1', late))

    def test_result_of_other_stage_is_not_awaited(self) -> None:
        """Guard against a repeated result of an earlier stage."""
        moved = generations.advance_stage(build_generation(), 1)
        repeated = calls.StepResult(moved.session, 0, ('x', 'y'))
        self.assertFalse(generations.is_awaited(moved, 'a:1', repeated))
        self.assertTrue(generations.is_awaited(moved, 'b:1', repeated))

    def test_next_position_follows_the_prefill(self) -> None:
        """Guard against a position that is run twice or omitted."""
        moved = generations.append_token(build_generation(), 'w1', 1)
        step = generations.build_first_step(moved)
        self.assertEqual((step.position, step.inputs), (2, ('w1',)))
