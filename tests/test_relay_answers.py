"""Test what callers receive for answers and failures of upstreams."""

import unittest

import hypothesis
from hypothesis import strategies

from mustardvale.internal import events
from mustardvale.internal.relay import effects as relay_effects
from mustardvale.internal.relay import event_stream, requests
from mustardvale.internal.relay import events as relay_events
from tests import relay_states

EVENTS = tuple(b'id: %d\ndata: x\n\n' % number for number in range(1, 6))


class NonIdempotentRequests(unittest.TestCase):
    """A request that may run only once is not retried if it may have run."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()
        self.instance.receive_request('r1', '/write/x', deadline_seconds=1.0)

    def test_lost_answer_is_a_gateway_error(self) -> None:
        """Guard against a second run, and against a refusal as not run."""
        self.instance.fail_send(self.instance.start_send())
        self.assertEqual(1, len(self.instance.sends))
        reply = self.instance.replies['r1']
        self.assertEqual(502, reply.status)
        self.assertIsNone(reply.retry_after_seconds)

    def test_silence_ends_with_a_timeout(self) -> None:
        """Guard against a 503 for a request that may still run."""
        self.instance.start_send()
        self.instance.pass_time(1.1)
        self.assertEqual(504, self.instance.replies['r1'].status)
        self.assertEqual(1, len(self.instance.sends))

    def test_refused_connection_goes_elsewhere(self) -> None:
        """Guard against failing a request that no runner has received."""
        first = self.instance.sends[0]
        self.instance.fail_send(first.send_id, was_sent=False)
        self.assertEqual(2, len(self.instance.sends))
        self.assertNotEqual(first.address, self.instance.sends[1].address)

    def test_refusal_goes_elsewhere(self) -> None:
        """Guard against failing a request that a runner refused to run."""
        send_id = self.instance.start_send()
        self.instance.deliver_answer(send_id, relay_states.UNEXECUTED_HEAD)
        self.instance.end_answer(send_id)
        self.assertEqual(2, len(self.instance.sends))

    def test_unproven_refusal_is_not_forwarded(self) -> None:
        """Guard against a 503 without the header that states it was not run."""
        send_id = self.instance.start_send()
        self.instance.deliver_answer(
            send_id, relay_states.build_head(503, has_proof=False, headers=())
        )
        self.instance.end_answer(send_id)
        self.assertEqual(502, self.instance.replies['r1'].status)

    def test_each_request_opens_a_connection(self) -> None:
        """Guard against a reused connection that closes during a request."""
        self.assertTrue(self.instance.sends[0].needs_new_connection)

    def test_error_is_forwarded_unchanged(self) -> None:
        """Guard against replacing a runner's error by another."""
        send_id = self.instance.start_send()
        self.instance.deliver_answer(
            send_id, relay_states.build_head(500), b'no'
        )
        self.instance.end_answer(send_id)
        reply = self.instance.replies['r1']
        self.assertEqual((500, b'no'), (reply.status, reply.body))


class IdempotentRequests(unittest.TestCase):
    """A request that may run again is retried while its route allows it."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()
        self.instance.receive_request('r1', '/read/x')

    def test_error_goes_to_another_runner(self) -> None:
        """Guard against an error where another runner would succeed."""
        send_id = self.instance.start_send()
        self.instance.deliver_answer(send_id, relay_states.build_head(500))
        self.instance.end_answer(send_id)
        second = self.instance.start_send()
        self.instance.deliver_answer(second, relay_states.build_head(), b'yes')
        self.instance.end_answer(second)
        self.assertEqual(200, self.instance.replies['r1'].status)

    def test_never_more_runs_than_the_route_allows(self) -> None:
        """Guard against more runs than `maximum_attempts`."""
        for _ in range(2):
            self.instance.fail_send(self.instance.start_send())
        self.assertEqual(2, len(self.instance.sends))
        self.assertEqual(502, self.instance.replies['r1'].status)

    def test_silent_runner_is_replaced_within_the_target(self) -> None:
        """Guard against a late answer because one runner hangs."""
        first = self.instance.start_send()
        self.instance.pass_time(0.4)
        self.assertEqual(2, len(self.instance.sends))
        second = self.instance.start_send()
        self.instance.deliver_answer(second, relay_states.build_head(), b'yes')
        self.instance.end_answer(second)
        self.assertEqual(200, self.instance.replies['r1'].status)
        self.assertIn(first, self.instance.aborted_send_ids)

    def test_truncated_answer_is_retried(self) -> None:
        """Guard against a truncated answer that looks complete."""
        send_id = self.instance.start_send()
        self.instance.deliver_answer(
            send_id, relay_states.build_head(), b'half'
        )
        self.instance.fail_send(send_id)
        self.assertNotIn('r1', self.instance.replies)
        self.assertEqual(2, len(self.instance.sends))

    def test_answer_without_proof_is_retried(self) -> None:
        """Guard against forwarding an answer without the proof of a runner."""
        send_id = self.instance.start_send()
        self.instance.deliver_answer(
            send_id, relay_states.build_head(has_proof=False), b'forged'
        )
        self.instance.end_answer(send_id)
        self.assertEqual(2, len(self.instance.sends))

    def test_compressed_answer_is_retried(self) -> None:
        """Guard against a body that was re-encoded on the way."""
        send_id = self.instance.start_send()
        self.instance.deliver_answer(
            send_id, relay_states.build_head(is_encoded=True), b'z'
        )
        self.instance.end_answer(send_id)
        self.assertEqual(2, len(self.instance.sends))


class Streams(unittest.TestCase):
    """Events are complete, in order and unique, also after a resumption."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()
        self.instance.receive_request('r1', '/model/x')

    def join_parts(self) -> bytes:
        """Return the bytes that the caller has received."""
        return b''.join(self.instance.parts.get('r1', []))

    def test_partial_event_is_held_back(self) -> None:
        """Guard against a partial event before an interruption."""
        send_id = self.instance.start_send()
        self.instance.deliver_answer(
            send_id, relay_states.build_head(), EVENTS[0] + EVENTS[1][:5]
        )
        self.assertEqual(EVENTS[0], self.join_parts())

    def test_interrupted_stream_resumes_after_the_last_whole_event(
        self,
    ) -> None:
        """Guard against events that are lost or repeated by a resumption."""
        send_id = self.instance.start_send()
        self.instance.deliver_answer(
            send_id,
            relay_states.build_head(),
            EVENTS[0],
            EVENTS[1] + EVENTS[2][:4],
        )
        self.instance.fail_send(send_id)
        self.assertEqual(2, self.instance.sends[1].request.last_event_id)
        second = self.instance.start_send()
        self.instance.deliver_answer(
            second, relay_states.build_head(), EVENTS[1], *EVENTS[2:]
        )
        self.instance.end_answer(second)
        self.assertEqual(b''.join(EVENTS), self.join_parts())
        self.assertIn('r1', self.instance.ends)

    def test_end_within_an_event_is_a_failure(self) -> None:
        """Guard against a truncated stream that looks complete."""
        send_id = self.instance.start_send()
        self.instance.deliver_answer(
            send_id, relay_states.build_head(), EVENTS[0], EVENTS[1][:6]
        )
        self.instance.end_answer(send_id)
        self.assertNotIn('r1', self.instance.ends)
        self.assertEqual(2, len(self.instance.sends))

    def test_stream_that_cannot_resume_is_aborted(self) -> None:
        """Guard against an interrupted stream that looks complete."""
        for _ in range(2):
            send_id = self.instance.start_send()
            self.instance.deliver_answer(
                send_id, relay_states.build_head(), EVENTS[0]
            )
            self.instance.fail_send(send_id)
        self.assertNotIn('r1', self.instance.ends)
        self.assertIn('r1', self.instance.closed)

    def test_break_between_the_last_event_and_the_end(self) -> None:
        """Guard against a break that is taken for the end of a stream.

        No event says that it is the last one, and an answer without a new event
        may be cut as well.
        """
        for repeated in ((), EVENTS[-1:], EVENTS):
            with self.subTest(repeated=repeated):
                self.setUp()
                first = self.instance.start_send()
                self.instance.deliver_answer(
                    first, relay_states.build_head(), *EVENTS
                )
                self.instance.fail_send(first)
                second = self.instance.start_send()
                self.assertEqual(
                    len(EVENTS), self.instance.sends[1].request.last_event_id
                )
                self.instance.deliver_answer(
                    second, relay_states.build_head(), *repeated
                )
                self.instance.end_answer(second)
                self.assertEqual(b''.join(EVENTS), self.join_parts())
                self.assertNotIn('r1', self.instance.ends)
                self.assertEqual(['r1'], self.instance.closed)
                self.assertEqual(2, len(self.instance.sends))

    def test_late_parts_of_an_abandoned_run_are_dropped(self) -> None:
        """Guard against mixing the events of two runs."""
        first = self.instance.start_send()
        self.instance.deliver_answer(
            first, relay_states.build_head(), EVENTS[0]
        )
        self.instance.fail_send(first)
        self.instance.deliver_chunks(first, EVENTS[4])
        self.assertEqual(EVENTS[0], self.join_parts())

    def test_head_waits_for_the_first_event(self) -> None:
        """Guard against a success status before any event has arrived."""
        send_id = self.instance.start_send()
        self.instance.deliver_answer(send_id, relay_states.build_head())
        self.assertNotIn('r1', self.instance.stream_heads)

    def test_caller_that_leaves_stops_the_run(self) -> None:
        """Guard against work that continues after the caller has left."""
        send_id = self.instance.start_send()
        self.instance.emit_event(events.CallerLeft, request_id='r1')
        self.assertIn(send_id, self.instance.aborted_send_ids)
        self.assertFalse(self.instance.state.loads)
        self.assertFalse(self.instance.state.request_ids_by_send)

    def test_refused_everywhere_is_not_run(self) -> None:
        """Guard against keeping a request that every chain refuses."""
        for _ in range(4):
            if 'r1' in self.instance.replies:
                break
            send_id = self.instance.start_send()
            self.instance.deliver_answer(send_id, relay_states.UNEXECUTED_HEAD)
            self.instance.end_answer(send_id)
            self.instance.pass_time(0.06)
        self.assertEqual(503, self.instance.replies['r1'].status)
        self.assertIsNotNone(self.instance.replies['r1'].retry_after_seconds)


class IdleConnections(unittest.TestCase):
    """Resets of idle connections shorten how long connections may be idle."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()

    def reset_idle_connection(
        self, seconds: float, has_head: bool = False
    ) -> None:
        """Close a connection on which a request was sent after an idle time."""
        self.instance.receive_request('r1', '/model/x')
        send_id = self.instance.start_send()
        if has_head:
            self.instance.deliver_answer(send_id, relay_states.build_head())
        self.instance.emit_event(
            relay_events.SendFailed,
            send_id=send_id,
            failure=events.Failure(events.FailureKind.CLOSED, True),
            idle_seconds=seconds,
        )

    def list_limits(self) -> list[float]:
        """Return the limits on idle time that were set."""
        return [
            effect.seconds
            for effect in self.instance.others
            if isinstance(effect, relay_effects.LimitRest)
        ]

    def test_reset_limits_the_idle_time(self) -> None:
        """Guard against losing more requests to the same idle timeout."""
        self.reset_idle_connection(0.8)
        self.assertEqual([0.4], self.list_limits())

    def test_reset_of_new_connection_is_ignored(self) -> None:
        """Guard against shorter idle times because of another fault."""
        self.reset_idle_connection(0.0)
        self.assertEqual([], self.list_limits())

    def test_reset_after_the_head_is_ignored(self) -> None:
        """Guard against taking a crash of the runner for an idle timeout."""
        self.reset_idle_connection(0.8, has_head=True)
        self.assertEqual([], self.list_limits())

    def test_limit_is_raised_again(self) -> None:
        """Guard against one reset that disables reuse permanently."""
        self.reset_idle_connection(0.8)
        self.instance.pass_time(80)
        self.assertEqual(16.0, self.list_limits()[-1])


class StrayAnswers(unittest.TestCase):
    """Answers that belong to another request are ignored."""

    def test_stray_answer_leaves_the_state_unchanged(self) -> None:
        """Guard against an answer that is given to the wrong caller."""
        instance = relay_states.Instance()
        instance.receive_request('r1', '/read/x')
        send_id = instance.start_send()
        before = instance.state
        instance.emit_event(
            relay_events.StrayAnswerArrived, send_id=send_id, status=200
        )
        self.assertEqual(before, instance.state)


class EventSplitting(unittest.TestCase):
    """Splitting into events does not depend on how the bytes arrive."""

    @hypothesis.given(
        strategies.lists(strategies.integers(0, 60), max_size=8),
        strategies.integers(0, 5),
    )
    def test_events_do_not_depend_on_packet_boundaries(
        self, cuts: list[int], after: int
    ) -> None:
        """Guard against events that depend on packet boundaries."""
        whole = b''.join(EVENTS)
        edges = sorted({0, *cuts, len(whole)})
        partial, complete, last = event_stream.NO_EVENT, b'', after
        for begin, end in zip(edges, edges[1:], strict=False):
            split = event_stream.split_events(partial, whole[begin:end], last)
            partial = split.partial
            complete += split.complete
            last = last if split.last_event_id is None else split.last_event_id
        self.assertEqual(b''.join(EVENTS[after:]), complete)
        self.assertEqual(event_stream.NO_EVENT, partial)

    def test_line_ends_of_every_form(self) -> None:
        """Guard against missing the end of events with carriage returns."""
        for end in (b'\r\n\r\n', b'\n\n', b'\r\r'):
            split = event_stream.split_events(
                event_stream.NO_EVENT, b'id: 3' + end, None
            )
            self.assertEqual(3, split.last_event_id)


class Replies(unittest.TestCase):
    """Errors of the instance itself are refusals with their own status."""

    def test_no_configuration_is_unavailable(self) -> None:
        """Guard against a 404 from an instance that has no routes yet."""
        instance = relay_states.Instance()
        instance.state = relay_states.dataclasses.replace(
            instance.state,
            configuration=relay_states.state.ConfigurationState(),
        )
        instance.receive_request('r1', '/read/x')
        self.assertNotIn('r1', instance.replies)
        instance.pass_time(1.8)
        self.assertIsInstance(instance.replies['r1'], requests.Refusal)
        self.assertEqual(503, instance.replies['r1'].status)
