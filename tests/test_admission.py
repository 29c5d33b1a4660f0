"""Test admission control."""

import unittest
import unittest.mock

from mustardvale import errors
from mustardvale.internal import (
    adaptive_concurrency,
    effects,
    events,
    queues,
    timers,
)
from tests import entry_states


class Waiting(unittest.TestCase):
    """A request beyond the concurrency limit is queued and never lost."""

    def test_next_starts_when_one_ends(self) -> None:
        """Guard against a slot that is not reused when an answer ends."""
        entry = entry_states.Entry()
        entry.set_concurrency(1)
        entry.ask(tokens=1)
        second = entry.ask(tokens=1)
        (call,) = entry.take_steps()
        self.assertEqual(entry.state.admission.queue.count, 1)
        entry.answer(call)
        self.assertIn(
            effects.SetTimer(timers.AdmissionDue(), 0),
            entry.take(effects.SetTimer),
        )
        entry.fire(timers.AdmissionDue())
        (call,) = entry.take_steps()
        self.assertTrue(call.call.steps[0].session.startswith(second))
        entry.answer(call)
        self.assertFalse(entry.state.admission.started_at_by_request)

    def test_every_way_to_end_frees_the_slot(self) -> None:
        """Guard against leaked slots, which would block all admission."""
        entry = entry_states.Entry()
        disconnected = entry.ask()
        entry.emit_event(events.CallerLeft, request_id=disconnected)
        late = entry.ask()
        entry.fire(timers.AnswerDeadline(late))
        entry.state = entry_states.dataclasses.replace(
            entry.state,
            upstreams=entry_states.upstreams.UpstreamTable(),
        )
        unserved = entry.ask()
        refused = entry.find_refusal(unserved)
        assert refused is not None
        self.assertEqual(refused.code, errors.NO_UPSTREAM)
        self.assertFalse(entry.state.admission.started_at_by_request)

    def test_caller_that_leaves_the_queue(self) -> None:
        """Guard against an answer that runs although its caller has left."""
        entry = entry_states.Entry()
        entry.set_concurrency(1)
        entry.ask()
        waiting = entry.ask()
        entry.emit_event(events.CallerLeft, request_id=waiting)
        self.assertEqual(entry.state.admission.queue.count, 0)

    def test_document_that_changes_meanwhile(self) -> None:
        """Guard against running a queued request by an outdated document."""
        entry = entry_states.Entry()
        entry.set_concurrency(1)
        entry.ask()
        waiting = entry.ask()
        entry.take_steps()
        entry.set_concurrency(2)
        document = entry.state.configuration.document
        assert document is not None
        changed = entry_states.dataclasses.replace(document, models=())
        configuration = entry_states.dataclasses.replace(
            entry.state.configuration,
            document=changed,
        )
        entry.state = entry_states.dataclasses.replace(
            entry.state,
            configuration=configuration,
        )
        entry.fire(timers.AdmissionDue())
        refused = entry.find_refusal(waiting)
        assert refused is not None
        self.assertEqual(refused.outcome, errors.Outcome.NOT_RUN)
        self.assertEqual(len(entry.state.admission.started_at_by_request), 1)


class Refusing(unittest.TestCase):
    """A refused request is not run and its reply says when to retry."""

    def check_refused(
        self,
        entry: entry_states.Entry,
        request_id: str,
        code: errors.ErrorCode,
    ) -> float:
        """Check a refusal and return its retry time."""
        refused = entry.find_refusal(request_id)
        assert refused is not None, 'the request must be refused'
        self.assertEqual(
            (refused.code, refused.outcome),
            (code, errors.Outcome.NOT_RUN),
        )
        self.assertFalse(entry.take_steps())
        return refused.retry_after_seconds

    def test_limit_of_the_account(self) -> None:
        """Guard against requests beyond the limit of the account."""
        entry = entry_states.Entry()
        admitted = 0
        while entry.find_refusal(entry.ask('dairy-lorry', tokens=1)) is None:
            admitted += 1
        self.assertEqual(admitted, 50)
        entry.take_steps()
        refused = entry.ask('dairy-lorry', tokens=1)
        retry = self.check_refused(entry, refused, errors.RATE_LIMITED)
        self.assertGreater(retry, 0)
        other = entry.ask('colston-dairy', tokens=1)
        self.assertIsNone(entry.find_refusal(other))

    def test_deadline_that_cannot_be_met(self) -> None:
        """Guard against work that cannot finish before its deadline."""
        entry = entry_states.Entry()
        entry.ask(tokens=5)
        for _ in range(5):
            (call,) = entry.take_steps()
            entry.answer(call, 0.02)
        needed = adaptive_concurrency.estimate_minimum_seconds(
            'affinage',
            101,
            entry.state.admission.concurrency,
        )
        self.assertAlmostEqual(needed, 2, delta=0.05)
        refused = entry.ask(tokens=101, deadline_seconds=1.9)
        self.check_refused(entry, refused, errors.DEADLINE_EXCEEDED)
        admitted = entry.ask(tokens=101, deadline_seconds=2.1)
        self.assertIsNone(entry.find_refusal(admitted))

    def test_wait_that_is_too_long(self) -> None:
        """Guard against queueing a request beyond its deadline."""
        entry = entry_states.Entry()
        entry.ask(tokens=2)
        entry.answer(entry.take_steps()[0], 1)
        entry.answer(entry.take_steps()[0], 1)
        entry.set_concurrency(1)
        for _ in range(3):
            entry.ask(deadline_seconds=60)
        entry.take_steps()
        refused = entry.ask(tokens=1, deadline_seconds=5)
        retry = self.check_refused(entry, refused, errors.OVERLOADED)
        self.assertAlmostEqual(retry, 6)

    def test_waiting_request_expires(self) -> None:
        """Guard against a caller that gets no reply before its deadline."""
        entry = entry_states.Entry()
        entry.set_concurrency(1)
        entry.ask()
        waiting = entry.ask(deadline_seconds=3)
        (expiry,) = [
            effect
            for effect in entry.take(effects.SetTimer)
            if isinstance(effect.timer, timers.QueueExpiry)
        ]
        self.assertEqual(expiry.delay_seconds, 3)
        entry.take_steps()
        entry.now += 3
        entry.fire(expiry.timer)
        self.check_refused(entry, waiting, errors.OVERLOADED)
        self.assertEqual(entry.state.admission.queue.count, 0)

    def test_full_queue_sheds_the_lowest_priority(self) -> None:
        """Guard against refusing urgent work while batch work is queued."""
        entry = entry_states.Entry()
        entry.set_concurrency(1)
        entry.ask()
        batch = [
            entry.ask('batch-summaries', deadline_seconds=3600)
            for _ in range(50)
        ]
        entry.set_concurrency(1)
        with unittest.mock.patch.object(queues, 'MAXIMUM_TICKETS', 50):
            urgent = entry.ask('cellar-hands', deadline_seconds=3600)
        self.assertIsNone(entry.find_refusal(urgent))
        entry.take_steps()
        self.check_refused(entry, batch[-1], errors.OVERLOADED)

    def test_stopping_instance(self) -> None:
        """Guard against new work that a graceful shutdown would interrupt."""
        entry = entry_states.Entry()
        entry.emit_event(events.StopRequested)
        entry.now += 11
        refused = entry.ask()
        self.check_refused(entry, refused, errors.STOPPING)


class StepPriority(unittest.TestCase):
    """Each step carries its priority to the engine."""

    def test_priority_follows_the_account(self) -> None:
        """Guard against urgent steps that engines run after batch steps."""
        entry = entry_states.Entry()
        for account, rank in (
            ('cellar-hands', 0),
            ('colston-dairy', 1),
            ('batch-summaries', 2),
        ):
            entry.ask(account, tokens=1)
            (call,) = entry.take_steps()
            self.assertEqual(call.call.steps[0].priority, rank)
            entry.answer(call)


class AdaptiveConcurrency(unittest.TestCase):
    """The concurrency limit follows the measured latency."""

    def run_windows(
        self,
        gap: float,
        count: int,
        state: adaptive_concurrency.ConcurrencyState,
    ) -> adaptive_concurrency.ConcurrencyState:
        """Observe windows of ten answers with one gap."""
        now = state.window.started_at
        for _ in range(count * 10):
            now += 0.1001
            sample = adaptive_concurrency.Sample(
                'affinage',
                gap,
                1,
                int(state.window.limit),
            )
            state = adaptive_concurrency.observe(sample, now, state)
        return state

    def test_slow_answers_lower_the_limit(self) -> None:
        """Guard against more load than the runners can handle."""
        fast = self.run_windows(
            0.01, 3, adaptive_concurrency.ConcurrencyState()
        )
        slow = self.run_windows(0.1, 4, fast)
        self.assertLess(slow.window.limit, fast.window.limit * 0.2)

    def test_limit_has_a_floor(self) -> None:
        """Guard against a limit too low to recover from."""
        fast = self.run_windows(
            0.01, 1, adaptive_concurrency.ConcurrencyState()
        )
        slow = self.run_windows(9, 100, fast)
        self.assertGreaterEqual(
            slow.window.limit, adaptive_concurrency.SMALLEST_LIMIT
        )
        again = self.run_windows(0.01, 50, slow)
        self.assertGreater(again.window.limit, 64)

    def test_slow_model_is_no_overload(self) -> None:
        """Guard against a low limit for a model that is always slow."""
        state = self.run_windows(
            0.2, 10, adaptive_concurrency.ConcurrencyState()
        )
        self.assertGreater(
            state.window.limit, adaptive_concurrency.INITIAL_LIMIT
        )
