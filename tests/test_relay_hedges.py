"""Test second sends that run beside a silent first send."""

import dataclasses
import enum
import unittest
from collections import abc

import hypothesis
from hypothesis import strategies

from mustardvale.internal import events
from mustardvale.internal.relay import (
    calls,
    instance_settings,
    limit_shares,
    retry_budgets,
)
from tests import relay_states

EVENTS = tuple(b'id: %d\ndata: x\n\n' % number for number in range(1, 6))
# Longer than a stream may be silent before it is sent again.
SILENCE_SECONDS = 1.5


class HedgeScenario(unittest.TestCase):
    """Drive one request whose first send falls silent."""

    path = '/model/x'

    def setUp(self) -> None:
        self.instance = relay_states.Instance()
        self.instance.receive_request('r1', self.path)
        self.first = self.instance.start_send()

    def refuse_hedge(self) -> None:
        """Refuse the second send as not executed."""
        second = self.instance.start_send(1)
        self.instance.deliver_answer(second, relay_states.UNEXECUTED_HEAD)
        self.instance.end_answer(second)

    def refuse_connection(self) -> None:
        """Refuse the connection of the second send."""
        self.instance.fail_send(self.instance.sends[1].send_id, was_sent=False)

    def break_hedge(self) -> None:
        """Break the second send off after it has started."""
        self.instance.fail_send(self.instance.start_send(1))

    def fail_hedge_in_each_way(self) -> None:
        """Run the scenario once for each way in which a second send fails."""
        for fail in (
            self.refuse_hedge,
            self.refuse_connection,
            self.break_hedge,
        ):
            with self.subTest(fail.__name__):
                self.setUp()
                self.run_scenario(fail)

    def run_scenario(self, fail: abc.Callable[[], None]) -> None:
        """Let the first send fall silent, fail the second, resume the first."""
        raise NotImplementedError

    def join_parts(self) -> bytes:
        """Return the bytes of the stream that the caller has received."""
        return b''.join(self.instance.parts.get('r1', []))

    def assert_released(self) -> None:
        """Assert that no send and no load remains."""
        self.assertEqual({}, dict(self.instance.state.loads))
        self.assertEqual({}, dict(self.instance.state.request_ids_by_send))


class SilentStreams(HedgeScenario):
    """A stream that pauses survives a second send that fails."""

    def run_scenario(self, fail: abc.Callable[[], None]) -> None:
        """Pause after the first event."""
        self.instance.deliver_answer(
            self.first, relay_states.build_head(), EVENTS[0]
        )
        self.instance.pass_time(SILENCE_SECONDS)
        fail()
        self.instance.pass_time(0.3)
        self.instance.deliver_chunks(self.first, *EVENTS[1:])
        self.instance.end_answer(self.first)
        self.assertEqual(b''.join(EVENTS), self.join_parts())
        self.assertIn('r1', self.instance.ends)
        self.assertNotIn('r1', self.instance.closed)
        self.assert_released()

    def test_paused_stream_survives_a_failed_second_send(self) -> None:
        """Guard against cutting a stream that its first runner continues."""
        self.fail_hedge_in_each_way()

    def test_stream_survives_long_silence_after_a_failed_second_send(
        self,
    ) -> None:
        """Guard against a limit on the silence of the only open send."""
        self.instance.deliver_answer(
            self.first, relay_states.build_head(), EVENTS[0]
        )
        self.instance.pass_time(SILENCE_SECONDS)
        self.break_hedge()
        self.instance.pass_time(SILENCE_SECONDS)
        self.assertNotIn('r1', self.instance.closed)
        self.assertEqual(2, len(self.instance.sends))

    def test_resumed_first_send_stops_the_second(self) -> None:
        """Guard against a second run that continues beside the first."""
        self.instance.deliver_answer(
            self.first, relay_states.build_head(), EVENTS[0]
        )
        self.instance.pass_time(SILENCE_SECONDS)
        second = self.instance.start_send(1)
        self.assertEqual([], self.instance.aborted_send_ids)
        self.instance.deliver_chunks(self.first, EVENTS[1])
        self.assertEqual([second], self.instance.aborted_send_ids)
        self.instance.deliver_answer(
            second, relay_states.build_head(), EVENTS[1]
        )
        self.instance.deliver_chunks(self.first, *EVENTS[2:])
        self.instance.end_answer(self.first)
        self.assertEqual(b''.join(EVENTS), self.join_parts())
        self.assert_released()

    def test_second_send_takes_over_with_its_first_event(self) -> None:
        """Guard against events of two runs, and against a run without use."""
        self.instance.deliver_answer(
            self.first, relay_states.build_head(), EVENTS[0], EVENTS[1][:4]
        )
        self.instance.pass_time(SILENCE_SECONDS)
        second = self.instance.start_send(1)
        self.instance.deliver_answer(
            second, relay_states.build_head(), EVENTS[1][:6]
        )
        self.assertEqual([], self.instance.aborted_send_ids)
        self.instance.deliver_chunks(second, EVENTS[1][6:])
        self.assertEqual([self.first], self.instance.aborted_send_ids)
        self.instance.deliver_chunks(self.first, EVENTS[1][4:])
        self.instance.deliver_chunks(second, *EVENTS[2:])
        self.instance.end_answer(second)
        self.assertEqual(b''.join(EVENTS), self.join_parts())
        self.assert_released()

    def test_second_send_goes_on_alone(self) -> None:
        """Guard against failing a request while its second send is open."""
        self.instance.deliver_answer(
            self.first, relay_states.build_head(), EVENTS[0]
        )
        self.instance.pass_time(SILENCE_SECONDS)
        second = self.instance.start_send(1)
        self.instance.fail_send(self.first)
        self.assertNotIn('r1', self.instance.closed)
        self.instance.deliver_answer(
            second, relay_states.build_head(), *EVENTS[1:]
        )
        self.instance.end_answer(second)
        self.assertEqual(b''.join(EVENTS), self.join_parts())

    def test_error_of_the_second_send_leaves_the_first_open(self) -> None:
        """Guard against cutting a stream because its second send got an error."""
        for status in (400, 500):
            with self.subTest(status):
                self.setUp()
                self.instance.deliver_answer(
                    self.first, relay_states.build_head(), EVENTS[0]
                )
                self.instance.pass_time(SILENCE_SECONDS)
                second = self.instance.start_send(1)
                self.instance.deliver_answer(
                    second, relay_states.build_head(status), b'no'
                )
                self.instance.end_answer(second)
                self.instance.deliver_chunks(self.first, *EVENTS[1:])
                self.instance.end_answer(self.first)
                self.assertEqual(b''.join(EVENTS), self.join_parts())

    def test_comments_of_a_second_send_decide_nothing(self) -> None:
        """Guard against bytes of two runs in one stream."""
        self.instance.deliver_answer(
            self.first, relay_states.build_head(), EVENTS[0]
        )
        self.instance.pass_time(SILENCE_SECONDS)
        second = self.instance.start_send(1)
        self.instance.deliver_answer(
            second, relay_states.build_head(), b': wait\n\n'
        )
        self.assertEqual([], self.instance.aborted_send_ids)
        self.assertEqual(EVENTS[0], self.join_parts())


class EmptySecondSends(HedgeScenario):
    """A second send that delivers no event does not end the stream."""

    def test_stream_goes_on_from_the_first_runner(self) -> None:
        """Guard against a stream that ends early and looks complete."""
        self.instance.deliver_answer(
            self.first,
            relay_states.build_head(is_event_stream=True),
            EVENTS[0],
        )
        self.instance.pass_time(SILENCE_SECONDS)
        second = self.instance.start_send(1)
        self.instance.deliver_answer(
            second, relay_states.build_head(is_event_stream=True)
        )
        self.instance.end_answer(second)
        self.instance.deliver_chunks(self.first, *EVENTS[1:])
        self.instance.end_answer(self.first)
        self.assertEqual(self.join_parts(), b''.join(EVENTS))
        self.assertIn('r1', self.instance.ends)

    def test_resumed_stream_without_an_event_is_not_complete(self) -> None:
        """Guard against a resumed answer that closes after its head."""
        self.instance.deliver_answer(
            self.first,
            relay_states.build_head(is_event_stream=True),
            EVENTS[0],
        )
        self.instance.fail_send(self.first)
        second = self.instance.start_send(1)
        self.instance.deliver_answer(
            second, relay_states.build_head(is_event_stream=True)
        )
        self.instance.end_answer(second)
        self.assertNotIn('r1', self.instance.ends)
        self.assertIn('r1', self.instance.closed)


class SilenceBeforeTheFirstEvent(HedgeScenario):
    """A stream that begins late survives a second send that fails."""

    def run_scenario(self, fail: abc.Callable[[], None]) -> None:
        """Stay silent before the first event."""
        self.instance.pass_time(SILENCE_SECONDS)
        fail()
        self.instance.pass_time(0.3)
        self.instance.deliver_answer(
            self.first, relay_states.build_head(), *EVENTS
        )
        self.instance.end_answer(self.first)
        self.assertEqual(b''.join(EVENTS), self.join_parts())
        self.assertIn('r1', self.instance.ends)
        self.assertNotIn('r1', self.instance.replies)
        self.assert_released()

    def test_late_stream_survives_a_failed_second_send(self) -> None:
        """Guard against failing a stream that its first runner begins late."""
        self.fail_hedge_in_each_way()


class UnreachableFirstRunner(HedgeScenario):
    """A probe without an answer does not end the stream of its runner."""

    def run_scenario(self, fail: abc.Callable[[], None]) -> None:
        """Let the probe of the first runner time out."""
        self.instance.deliver_answer(
            self.first, relay_states.build_head(), EVENTS[0]
        )
        self.instance.pass_time(0.4)
        part = self.instance.sends[0].request.chain[0]
        self.instance.emit_event(
            events.CallFailed,
            call=calls.ProbeRunner(part.runner_id),
            address=part.address,
            failure=events.Failure(events.FailureKind.TIMED_OUT, True),
        )
        self.assertEqual(2, len(self.instance.sends))
        fail()
        self.instance.pass_time(0.3)
        self.instance.deliver_chunks(self.first, *EVENTS[1:])
        self.instance.end_answer(self.first)
        self.assertEqual(b''.join(EVENTS), self.join_parts())
        self.assertIn('r1', self.instance.ends)
        self.assert_released()

    def test_stream_of_an_unreachable_runner_survives(self) -> None:
        """Guard against giving up a runner because one probe got no answer."""
        self.fail_hedge_in_each_way()


class SilentPlainRequests(HedgeScenario):
    """A plain request that is answered late survives a failed second send."""

    path = '/read/x'

    def answer(self, send_id: str, status: int = 200) -> None:
        """Deliver a complete answer."""
        self.instance.deliver_answer(
            send_id, relay_states.build_head(status), b'yes'
        )
        self.instance.end_answer(send_id)

    def run_scenario(self, fail: abc.Callable[[], None]) -> None:
        """Stay silent for longer than most of the target time."""
        self.instance.pass_time(0.4)
        fail()
        self.instance.pass_time(0.3)
        self.answer(self.first)
        self.assertEqual(200, self.instance.replies['r1'].status)
        self.assert_released()

    def test_late_answer_survives_a_failed_second_send(self) -> None:
        """Guard against failing a request that its first runner answers."""
        self.fail_hedge_in_each_way()

    def test_first_complete_answer_wins(self) -> None:
        """Guard against a run that continues after the answer."""
        for winner in (0, 1):
            with self.subTest(winner):
                self.setUp()
                self.instance.pass_time(0.4)
                sends = [self.first, self.instance.start_send(1)]
                self.answer(sends[winner])
                self.assertEqual(200, self.instance.replies['r1'].status)
                self.assertEqual(
                    [sends[1 - winner]], self.instance.aborted_send_ids
                )
                self.assert_released()

    def test_error_of_one_send_waits_for_the_other(self) -> None:
        """Guard against an error although another runner answers."""
        self.instance.pass_time(0.4)
        self.answer(self.instance.start_send(1), 500)
        self.assertNotIn('r1', self.instance.replies)
        self.answer(self.first)
        self.assertEqual(200, self.instance.replies['r1'].status)

    def test_silent_runner_is_avoided_at_once(self) -> None:
        """Guard against requests that may run once at a runner that hangs."""
        self.instance.pass_time(0.4)
        silent = self.instance.sends[0].request.runner_id
        self.assertEqual(
            1, self.instance.state.runners[silent].consecutive_failures
        )
        for number in range(4):
            self.instance.receive_request(f'w{number}', '/write/x')
            self.assertNotEqual(
                silent, self.instance.sends[-1].request.runner_id
            )

    def test_overtaken_runner_is_avoided(self) -> None:
        """Guard against more requests for a runner that hangs."""
        self.instance.pass_time(0.4)
        self.answer(self.instance.start_send(1))
        silent = self.instance.sends[0].request.runner_id
        self.instance.receive_request('r2', self.path)
        self.assertNotEqual(silent, self.instance.sends[-1].request.runner_id)


class Limits(unittest.TestCase):
    """Second sends keep to the limits of other retries."""

    def test_request_that_may_run_once_has_one_send(self) -> None:
        """Guard against a second run of a request that is not idempotent."""
        instance = relay_states.Instance()
        instance.receive_request('r1', '/write/x', deadline_seconds=1.0)
        instance.pass_time(0.9)
        self.assertEqual(1, len(instance.sends))

    def test_at_most_two_sends_are_open(self) -> None:
        """Guard against a send for each check of a silent request."""
        instance = relay_states.Instance()
        for path in ('/model/x', '/read/x'):
            instance.receive_request(path, path)
        for number in range(2):
            instance.start_send(number)
        instance.pass_time(6)
        self.assertEqual(4, len(instance.sends))

    def test_open_sends_count_as_runs(self) -> None:
        """Guard against more runs than `maximum_attempts`."""
        instance = relay_states.Instance()
        instance.receive_request('r1', '/read/x')
        instance.fail_send(instance.start_send())
        instance.list_runners(
            (
                *relay_states.TWO_CHAINS,
                relay_states.build_plain_runner('p3'),
            )
        )
        instance.start_send()
        instance.pass_time(1)
        self.assertEqual(2, len(instance.sends))

    def test_replaced_send_is_charged_once(self) -> None:
        """Guard against a retry budget that is spent without a retry."""
        limits = instance_settings.Limits(retry_window_seconds=1e6)
        instance = relay_states.Instance(
            (
                *relay_states.TWO_CHAINS,
                relay_states.build_plain_runner('p3'),
            ),
            limits,
        )
        instance.receive_request('r1', '/read/x')
        instance.fail_send(instance.start_send())
        before = self.compute_balance(instance)
        instance.pass_time(0.4)
        self.assertEqual(3, len(instance.sends))
        self.assertAlmostEqual(before, self.compute_balance(instance), 2)

    def test_overtaken_send_that_never_started_is_not_charged(self) -> None:
        """Guard against a retry budget that is spent without a retry."""
        limits = instance_settings.Limits(retry_window_seconds=1e6)
        for path, service in (('/read/x', 'plain'), ('/model/x', 'model')):
            with self.subTest(path=path):
                instance = relay_states.Instance(
                    (
                        *relay_states.TWO_CHAINS,
                        relay_states.build_plain_runner('p3'),
                    ),
                    limits,
                )
                instance.receive_request('r1', path)
                first = instance.start_send()
                before = self.compute_balance(instance, service)
                instance.pass_time(1.3)
                self.assertEqual(2, len(instance.sends))
                instance.deliver_answer(
                    first, relay_states.build_head(), EVENTS[0]
                )
                instance.end_answer(first)
                self.assertEqual(1, len(instance.aborted_send_ids))
                self.assertAlmostEqual(
                    before, self.compute_balance(instance, service), 2
                )

    def compute_balance(
        self, instance: relay_states.Instance, service: str = 'plain'
    ) -> float:
        """Return how many retries of a service are left."""
        return retry_budgets.compute_balance(
            instance.state.retry_buckets,
            service,
            instance.now,
            instance.state.limits,
            limit_shares.count_shares(instance.now, instance.state),
        )

    def test_send_that_never_started_is_replaced(self) -> None:
        """Guard against waiting for a runner that cannot be reached.

        One run has failed, so that a third send beside the second could be a
        run too many.
        """
        instance = relay_states.Instance(
            (
                *relay_states.TWO_CHAINS,
                relay_states.build_plain_runner('p3'),
            )
        )
        instance.receive_request('r1', '/read/x')
        instance.fail_send(instance.start_send())
        unreached = instance.sends[1].send_id
        instance.pass_time(0.4)
        self.assertEqual([unreached], instance.aborted_send_ids[-1:])
        third = instance.start_send(2)
        instance.deliver_answer(third, relay_states.build_head(), b'yes')
        instance.end_answer(third)
        self.assertEqual(200, instance.replies['r1'].status)
        self.assertEqual({}, dict(instance.state.loads))


COMMENT = b': wait\n\n'


class StepKind(enum.Enum):
    """Name what happens to a send."""

    START = 'start'
    DELIVER = 'deliver'
    END = 'end'
    BREAK = 'break'
    REFUSE = 'refuse'


@dataclasses.dataclass(frozen=True)
class Step:
    """Hold what happens to one send, and how much time passes before it.

    `send` counts the sends from the newest, and `size` is a number of bytes.
    """

    kind: StepKind
    send: int
    size: int
    seconds: float


STEPS = strategies.lists(
    strategies.builds(
        Step,
        strategies.sampled_from(StepKind),
        strategies.integers(0, 2),
        strategies.integers(1, 60),
        strategies.sampled_from((0.0, 0.05, 0.5, 1.3)),
    ),
    max_size=12,
)


class InterleavedSends:
    """Play steps of several sends of one stream, as their runners would."""

    def __init__(self) -> None:
        self.instance = relay_states.Instance(
            (
                *relay_states.TWO_CHAINS,
                relay_states.build_model_runner('m5', 0, 40),
                relay_states.build_model_runner('m6', 40, 80),
            )
        )
        self.instance.receive_request('r1', '/model/x')
        self.remaining: dict[str, bytes] = {}
        self.answered: set[str] = set()
        self.ended: set[str] = set()
        self.open_before: set[str] = set()
        self.refused_count = 0

    @property
    def received(self) -> bytes:
        """Return what the caller has received, without comments."""
        parts = b''.join(self.instance.parts.get('r1', []))
        return parts.replace(COMMENT, b'')

    @property
    def is_failed(self) -> bool:
        """Return whether the request was refused or its stream cut."""
        return bool(self.instance.closed or self.instance.replies)

    @property
    def is_done(self) -> bool:
        """Return whether the request has an outcome."""
        return 'r1' not in self.instance.state.exchanges

    def play(self, step: Step) -> None:
        """Play one step, unless its send cannot do it."""
        self.instance.pass_time(step.seconds)
        self.open_before = set(self.instance.state.request_ids_by_send)
        if step.send >= len(self.instance.sends):
            return
        number = len(self.instance.sends) - 1 - step.send
        send_id = self.instance.sends[number].send_id
        if send_id in self.ended:
            return
        if send_id in self.remaining:
            self.play_after_start(step, send_id)
        else:
            self.play_before_start(step.kind, send_id, number)

    def play_before_start(
        self, kind: StepKind, send_id: str, number: int
    ) -> None:
        """Start a send, or refuse its connection."""
        if kind is StepKind.REFUSE:
            self.ended.add(send_id)
            self.instance.fail_send(send_id, was_sent=False)
        elif send_id not in self.instance.aborted_send_ids:
            after = self.instance.sends[number].request.last_event_id or 0
            self.remaining[send_id] = b''.join(
                COMMENT + event for event in EVENTS[after:]
            )
            self.instance.start_send(number)

    def play_after_start(self, step: Step, send_id: str) -> None:
        """Deliver bytes of a send, end it, break it off or refuse it.

        Sends that were aborted go on too: their bytes may be on the way.
        """
        if step.kind is StepKind.DELIVER:
            self.deliver(send_id, step.size)
        elif step.kind is StepKind.BREAK:
            self.ended.add(send_id)
            self.instance.fail_send(send_id)
        elif step.kind is StepKind.END:
            self.deliver(send_id, len(self.remaining[send_id]))
            self.ended.add(send_id)
            self.instance.end_answer(send_id)
        elif step.kind is StepKind.REFUSE and send_id not in self.answered:
            self.refused_count += 1
            self.ended.add(send_id)
            self.instance.deliver_answer(send_id, relay_states.UNEXECUTED_HEAD)
            self.instance.end_answer(send_id)

    def deliver(self, send_id: str, size: int) -> None:
        """Deliver the head of an answer once, and some bytes of its body."""
        if send_id not in self.answered:
            self.answered.add(send_id)
            self.instance.deliver_answer(send_id, relay_states.build_head())
        part = self.remaining[send_id][:size]
        self.remaining[send_id] = self.remaining[send_id][size:]
        if part:
            self.instance.deliver_chunks(send_id, part)

    def end_all(self) -> abc.Iterator[None]:
        """Start and end each send, until the request has an outcome."""
        for _ in range(10):
            for number, _ in enumerate(tuple(self.instance.sends)):
                for kind in (StepKind.START, StepKind.END):
                    self.play(Step(kind, number, 0, 0.0))
                    yield
            if self.is_done:
                return
            self.instance.pass_time(0.3)


class Interleavings(unittest.TestCase):
    """A stream is whole whichever of its sends deliver, fail or end."""

    @hypothesis.settings(max_examples=300, deadline=None)
    @hypothesis.given(STEPS)
    def test_events_are_whole_in_each_interleaving(
        self, steps: list[Step]
    ) -> None:
        """Guard against events that are lost, repeated or of two runs."""
        sends = InterleavedSends()
        for step in steps:
            sends.play(step)
            self.check_step(sends)
        for _ in sends.end_all():
            self.check_step(sends)
        self.assertNotEqual('r1' in sends.instance.ends, sends.is_failed)
        self.assertFalse(sends.instance.state.loads)
        self.assertFalse(sends.instance.state.request_ids_by_send)

    def check_step(self, sends: InterleavedSends) -> None:
        """Check what holds after each step."""
        whole = b''.join(EVENTS)
        self.assertTrue(whole.startswith(sends.received), sends.received)
        if 'r1' in sends.instance.ends:
            self.assertEqual(whole, sends.received)
        if sends.is_failed:
            self.assertLessEqual(sends.open_before, sends.ended)
        open_count = len(sends.instance.state.request_ids_by_send)
        loads = sends.instance.state.loads.values()
        loaded_count = sum(load.first_part_request_count for load in loads)
        self.assertEqual(open_count, loaded_count)
        self.assertLessEqual(open_count, 2)
        self.assertLessEqual(len(sends.instance.sends), 4)
        self.assertLessEqual(len(sends.remaining) - sends.refused_count, 2)
