"""Test that each answer of an upstream is passed on unchanged or fails."""

import socket
import unittest

import hypothesis
from hypothesis import strategies

from mustardvale.internal import events
from mustardvale.internal.relay import events as relay_events
from tests import (
    relay_site,
    relay_states,
    test_faulty_upstreams,
    test_relay_processes,
)

HELLO = b'Content-Length: 5\r\n\r\nhello'
OK = b'HTTP/1.1 200 OK\r\n' + HELLO
MALFORMED = (
    b'HTTP/1.1 000 X\r\n' + HELLO,
    b'HTTP/1.1 600 X\r\n' + HELLO,
    b'HTTP/1.1 999 X\r\n' + HELLO,
    b'HTTP/2.0 200 OK\r\n' + HELLO,
    b'HTTP/1.1 101 Switching Protocols\r\n\r\n',
    b'HTTP/1.1 199 X\r\n' + HELLO,
    b'HTTP/1.1 199 X\r\nTransfer-Encoding: chunked\r\n\r\n',
    b'HTTP/1.1 100 Continue\r\n\r\nhello',
    b'HTTP/1.1 102 Processing\r\n\r\n\0',
    b'HTTP/1.1 204 No Content\r\n' + HELLO,
    b'HTTP/1.1 204 No Content\r\n\r\nhello',
    b'HTTP/1.1 304 Not Modified\r\n' + HELLO,
)
VALID = (
    OK,
    b'HTTP/1.1 599 X\r\n' + HELLO,
    b'HTTP/1.1 102 Processing\r\n\r\n' + OK,
    b'HTTP/1.1 204 No Content\r\n\r\n',
    b'HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n',
)


class Sends(unittest.TestCase):
    """A malformed answer to a send is no answer."""

    def receive(self, *pieces: bytes) -> test_faulty_upstreams.UpstreamClient:
        """Send a request, and pass pieces of its answer."""
        upstream = test_faulty_upstreams.UpstreamClient()
        upstream.start_send('a1')
        for piece in pieces:
            upstream.receive(piece)
        return upstream

    def test_malformed(self) -> None:
        """Guard against a status or a body that a caller cannot read."""
        for answer in MALFORMED:
            with self.subTest(answer=answer):
                upstream = self.receive(answer)
                (failed,) = upstream.list_events(relay_events.SendFailed)
                self.assertIs(events.FailureKind.MALFORMED, failed.failure.kind)
                self.assertTrue(upstream.table.owners[0].channel.is_closed)
                self.assertEqual({}, upstream.read_bodies())

    def test_valid(self) -> None:
        """Guard against rules that fail sound answers."""
        for answer in VALID:
            with self.subTest(answer=answer):
                upstream = self.receive(answer)
                self.assertTrue(upstream.list_events(relay_events.SendEnded))

    def test_late_body_of_a_status_without_one(self) -> None:
        """Guard against a body that is taken for the next answer."""
        upstream = self.receive(VALID[-1])
        upstream.start_send('a2')
        self.assertEqual(2, len(upstream.table.owners))

    @hypothesis.settings(max_examples=300, deadline=None)
    @hypothesis.given(
        version=strategies.sampled_from((b'1.1', b'1.0', b'2.0')),
        status=strategies.one_of(
            strategies.integers(0, 999),
            strategies.sampled_from((101, 199, 200, 204, 304, 599, 600)),
        ),
        reason=strategies.sampled_from((b'', b'OK', b'\xff \t')),
        header=strategies.sampled_from((b'', b'X-Y: z\r\n', b'X-Y:\r\n')),
        chunks=strategies.lists(strategies.binary(min_size=1, max_size=40)),
        framing=strategies.sampled_from(('length', 'chunks', 'close')),
        trailer=strategies.sampled_from((b'', b'X-T: t\r\n')),
        cut=strategies.integers(1, 400),
    )
    def test_any_answer(
        self,
        version: bytes,
        status: int,
        reason: bytes,
        header: bytes,
        chunks: list[bytes],
        framing: str,
        trailer: bytes,
        cut: int,
    ) -> None:
        """Guard against an answer that is neither passed on nor failed."""
        body = b''.join(chunks)
        framed = {
            'length': b'Content-Length: %d\r\n\r\n%s' % (len(body), body),
            'chunks': b'Transfer-Encoding: chunked\r\n\r\n'
            + b''.join(b'%x\r\n%s\r\n' % (len(part), part) for part in chunks)
            + b'0\r\n%s\r\n' % trailer,
            'close': b'\r\n' + body,
        }[framing]
        answer = b'HTTP/%s %03d %s\r\n%s%s' % (
            version,
            status,
            reason,
            header,
            framed,
        )
        upstream = self.receive(answer[:cut], answer[cut:], b'')
        ended = upstream.list_events(relay_events.SendEnded)
        failed = upstream.list_events(relay_events.SendFailed)
        self.assertEqual(1, len(ended) + len(failed))
        has_valid_head = 200 <= status <= 599 and version != b'2.0'
        has_no_body = status in {204, 304}
        if not ended:
            self.assertFalse(has_valid_head and not has_no_body)
            return
        self.assertTrue(has_valid_head)
        (head,) = upstream.list_events(relay_events.HeadArrived)
        self.assertEqual(status, head.head.status)
        expected = b'' if has_no_body else body
        self.assertEqual(expected, upstream.read_bodies().get('s-a1', b''))


class Calls(test_faulty_upstreams.CallCase):
    """A malformed answer to a call to the store or a peer is no answer."""

    def record_event(self, kind: type, **fields: object) -> None:
        """Record the kind of a failure."""
        if kind is events.CallFailed:
            failure = fields['failure']
            assert isinstance(failure, events.Failure), 'a call has failed'
            self.answers.append(failure.kind.value.encode())

    def test_malformed(self) -> None:
        """Guard against an answer that is decoded for its body alone."""
        for answer in MALFORMED:
            with self.subTest(answer=answer):
                self.setUp()
                self.receive(answer)
                self.assertEqual([b'malformed'], self.answers)
                self.assertEqual([], self.pool.idle_connections)


class Outcomes(unittest.TestCase):
    """A caller is answered, and the upstream is blamed."""

    def test_request_that_may_run_once(self) -> None:
        """Guard against a caller without an answer, and a sound record."""
        instance = relay_states.Instance()
        instance.receive_request('r1', '/write/x')
        send_id = instance.start_send()
        runner_id = instance.sends[0].request.runner_id
        idle_seconds = instance.state.maximum_idle_seconds
        instance.emit_event(
            relay_events.SendFailed,
            send_id=send_id,
            failure=events.Failure(events.FailureKind.MALFORMED, True),
            idle_seconds=2.0,
        )
        self.assertEqual(502, instance.replies['r1'].status)
        self.assertGreater(
            instance.state.runners[runner_id].consecutive_failures, 0
        )
        # A malformed answer is no reset of an idle connection.
        self.assertEqual(idle_seconds, instance.state.maximum_idle_seconds)


class Callers(test_relay_processes.RelayCase):
    """A caller is answered, whatever the runner sends and however it waits."""

    def test_malformed(self) -> None:
        """Guard against a caller that waits until it gives up."""
        for answer in MALFORMED:

            def respond(
                received: relay_site.ReceivedRequest,
                sock: socket.socket,
                malformed: bytes = answer,
            ) -> bool:
                sock.sendall(malformed)
                return True

            self.set_responses(respond)
            with self.subTest(answer=answer), self.site.connect() as sock:
                sock.sendall(relay_site.encode_request('/write/x', 'a1'))
                self.assertEqual(502, relay_site.read_answer(sock).status)
