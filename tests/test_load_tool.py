"""Test the checks of the load tool and its retries after errors."""

import dataclasses
import json
import pathlib
import unittest
import uuid

from bench import (
    load_calls,
    load_client,
    load_codec,
    load_history,
    load_reducer,
    load_requests,
    load_state,
    load_work,
)
from mustardvale import document
from mustardvale.internal import caller_messages, effects, events
from standins import reference_model

EXAMPLE = pathlib.Path(__file__).parent.parent / 'examples/cooperative.toml'
DOCUMENT = document.parse(EXAMPLE.read_text())
PLAN = load_state.LoadPlan(
    run_id='load',
    document=DOCUMENT,
    bootstrap=('a:1', 'b:1'),
    callers=2,
    versions=('3',),
)
WORK = load_work.AnswerWork('affinage', '', ('how', 'old'), 3)
ACTION = load_work.ActionWork('cellar-ledger', 'log-wheel', False, 'k', b'{}')
RIGHT = reference_model.compute_answer('affinage', '3', '', 24, WORK.prompt, 3)
CUT = load_calls.CallError('cut', 200, 'no_upstream', 'unknown', 'call')
NOT_RUN = load_calls.CallError('refused', 503, 'overloaded', 'not_run', 'call')


def begin_run(work: load_work.Work) -> load_state.Transition:
    """Start the first call of one request."""
    state = load_state.State(
        PLAN, 1, load_state.build_callers(PLAN), ends_at=100
    )
    request = load_state.Request('load-0', 0, work, due_at=1)
    return load_requests.start_call(request, events.Event(at=1), state)


def find_calls(transition: load_state.Transition) -> list[effects.Call]:
    """Return the calls among the effects of a transition."""
    return [
        effect
        for effect in transition.effects
        if isinstance(effect, effects.Call)
    ]


def find_verdicts(transition: load_state.Transition) -> list[str]:
    """Return the verdicts among the effects of a transition."""
    return [
        dict(effect.fields)['verdict']
        for effect in transition.effects
        if isinstance(effect, load_history.Record) and effect.event == 'verdict'
    ]


def reduce(event: events.Event, before: load_state.Transition):
    """Reduce an event in the state after a transition."""
    return load_reducer.reduce(event, before.state)


def deliver_part(call: effects.Call, part: object, before):
    """Deliver a part of the answer to a call."""
    event = events.CallPartArrived(
        at=2, call=call.call, address=call.address, part=part
    )
    return reduce(event, before)


def deliver_tokens(call: effects.Call, tokens, first: int, before):
    """Deliver tokens of the answer to a call."""
    for index, token in enumerate(tokens, first):
        part = caller_messages.TokenPart(index, token)
        before = deliver_part(call, part, before)
    return before


def deliver_answer(call: effects.Call, answer: object, before):
    """Deliver the answer to a call."""
    event = events.CallAnswered(
        at=2, call=call.call, address=call.address, answer=answer
    )
    return reduce(event, before)


def fire_retry(before: load_state.Transition) -> load_state.Transition:
    """Fire the timer of the next call."""
    timers = [
        effect.timer
        for effect in before.effects
        if isinstance(effect, effects.SetTimer)
        and isinstance(effect.timer, load_state.RetryDue)
    ]
    return reduce(events.TimerFired(at=3, timer=timers[0]), before)


class AnswerCheck(unittest.TestCase):
    """Only the tokens of the reference model are right."""

    def end_answer(self, tokens, end: load_calls.AnswerEnd) -> list[str]:
        """Return the verdicts on one answer that ends after some tokens."""
        started = begin_run(WORK)
        call = find_calls(started)[0]
        return find_verdicts(
            deliver_part(call, end, deliver_tokens(call, tokens, 0, started))
        )

    def test_verdicts(self) -> None:
        """Guard against wrong tokens, counts or versions taken as right."""
        end = load_calls.AnswerEnd(3, '3')
        self.assertEqual(self.end_answer(RIGHT, end), ['right'])
        self.assertEqual(self.end_answer((*RIGHT[:2], 'w0'), end), ['wrong'])
        self.assertEqual(self.end_answer(RIGHT[:2], end), ['wrong'])
        short = load_calls.AnswerEnd(2, '3')
        self.assertEqual(self.end_answer(RIGHT[:2], short), ['wrong'])
        other = load_calls.AnswerEnd(3, '4')
        self.assertEqual(self.end_answer(RIGHT, other), ['wrong'])

    def test_token_out_of_order(self) -> None:
        """Guard against tokens that are missing or come twice."""
        started = begin_run(WORK)
        call = find_calls(started)[0]
        after = deliver_tokens(call, RIGHT[:1], 1, started)
        self.assertEqual(find_verdicts(after), ['wrong'])


class CutAnswer(unittest.TestCase):
    """A cut answer is resumed at another entry with the tokens so far."""

    def cut_and_retry(self, *, has_error_line: bool):
        """Cut an answer after two tokens and fire the retry."""
        started = begin_run(WORK)
        call = find_calls(started)[0]
        after = deliver_tokens(call, RIGHT[:2], 0, started)
        if has_error_line:
            ended = deliver_part(call, CUT, after)
        else:
            ended = deliver_answer(call, load_calls.StreamClosed(), after)
        return call, fire_retry(ended)

    def test_resume(self) -> None:
        """Guard against a truncated answer that counts as complete."""
        for has_error_line in (True, False):
            first, again = self.cut_and_retry(has_error_line=has_error_line)
            call = find_calls(again)[0]
            self.assertNotEqual(call.address, first.address)
            self.assertEqual(call.call.delivered_tokens, RIGHT[:2])
            after = deliver_tokens(call, RIGHT[2:], 2, again)
            ended = deliver_part(call, load_calls.AnswerEnd(3, '3'), after)
            self.assertEqual(find_verdicts(ended), ['right'])

    def test_late_parts(self) -> None:
        """Guard against adding tokens of an earlier call."""
        first, again = self.cut_and_retry(has_error_line=True)
        late = deliver_tokens(first, RIGHT[2:], 2, again)
        self.assertEqual(late.state.requests['load-0'].tokens, RIGHT[:2])

    def test_stall(self) -> None:
        """Guard against waiting forever for a frozen entry instance."""
        started = begin_run(WORK)
        timer = load_state.StallTimeout('load-0', 1)
        stalled = reduce(events.TimerFired(at=6, timer=timer), started)
        abandon = load_client.AbandonCall('load-0', 1)
        self.assertIn(abandon, stalled.effects)
        again = fire_retry(stalled)
        self.assertEqual(find_calls(again)[0].address, 'b:1')


class ActionOutcome(unittest.TestCase):
    """All calls of an action have the same idempotency key."""

    def test_same_key(self) -> None:
        """Guard against a retry that could run an action twice."""
        started = begin_run(ACTION)
        failed = events.CallFailed(
            at=2,
            call=find_calls(started)[0].call,
            address='a:1',
            failure=events.Failure(events.FailureKind.CLOSED, was_sent=True),
        )
        again = fire_retry(reduce(failed, started))
        self.assertEqual(find_calls(again)[0].call.idempotency_key, 'k')
        refused = deliver_answer(find_calls(again)[0], NOT_RUN, again)
        self.assertTrue(refused.state.requests['load-0'].is_outcome_unknown)

    def test_repeat_is_compared(self) -> None:
        """Guard against a repeat that runs the action again unnoticed."""
        started = begin_run(ACTION)
        request = dataclasses.replace(
            started.state.requests['load-0'],
            has_repeat=True,
        )
        started = load_requests.start_call(
            request, events.Event(at=1), started.state
        )
        bodies = [
            b'{"operation":"log-wheel","execution":%d}' % number
            for number in (1, 2)
        ]
        first = load_calls.ActionAnswer(200, bodies[0], was_replayed=False)
        again = deliver_answer(find_calls(started)[0], first, started)
        second = load_calls.ActionAnswer(200, bodies[1], was_replayed=False)
        ended = deliver_answer(find_calls(again)[0], second, again)
        self.assertEqual(find_verdicts(ended), ['wrong'])


class DrawnWork(unittest.TestCase):
    """Work is a function of the seed."""

    def test_key_is_version_7(self) -> None:
        """Guard against keys that the entry instance rejects."""
        _, text = load_work.draw_idempotency_key(1_700_000_000.5, 7)
        key = uuid.UUID(text)
        self.assertEqual((key.version, key.variant), (7, uuid.RFC_4122))
        self.assertEqual(key.int >> 80, 1_700_000_000_500)

    def test_same_seed_same_work(self) -> None:
        """Guard against runs that differ for the same seed."""
        drawn = [
            load_work.draw_work('r', 'n', PLAN.mix, DOCUMENT, 1, seed)
            for seed in (5, 5, 6)
        ]
        self.assertEqual(drawn[0], drawn[1])
        self.assertNotEqual(drawn[0], drawn[2])


class StreamLines(unittest.TestCase):
    """The fields of a stream line decide its kind."""

    def test_lines(self) -> None:
        """Guard against an error line that is decoded as a token."""
        call = find_calls(begin_run(WORK))[0].call
        error = {'error': {'code': 'no_upstream', 'outcome': 'unknown'}}
        cases = (
            ({'index': 0, 'token': 'w1'}, caller_messages.TokenPart),
            ({'end': True, 'tokens': 1}, load_calls.AnswerEnd),
            (error, load_calls.CallError),
        )
        for line, kind in cases:
            decoded = load_codec.decode_part(call, json.dumps(line).encode())
            self.assertIsInstance(decoded, kind)
        self.assertEqual(load_codec.decode_part(call, b'x').kind, 'malformed')
