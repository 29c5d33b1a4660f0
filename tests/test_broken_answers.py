"""Test answers that break off, and the answers of the next upstream.

Decisions are tested with the events of sends, framing with the bytes of a
connection, and what callers see with an instance as a process.
"""

import http.client
import itertools
import socket
import struct
import typing
import unittest

from mustardvale.internal import effects
from mustardvale.internal.edge import relay_wire
from mustardvale.internal.relay import events as relay_events
from mustardvale.internal.relay import requests
from mustardvale.platform import front_codec
from tests import (
    relay_site,
    relay_states,
    test_faulty_upstreams,
    test_relay_processes,
)

FIRST_EVENT = b'id: 1\ndata: x\n\n'
ERROR_TEXT = b'event: error\ndata: it failed\n\n'


def decode_head(
    status: int, *headers: tuple[str, str], has_proof: bool = True
) -> requests.AnswerHead:
    """Decode the head of an answer that names its request."""
    lines = (('attempt-id', 'a-r1'), *headers)
    if has_proof:
        lines += (('server-stamp', 's'),)
    send = requests.UpstreamRequest(
        relay_states.build_client_request('/model/x', 'a-r1'), 'm1', 1.0
    )
    return front_codec.decode_head(send, relay_wire.ReceivedHead(status, lines))


class RecordingInstance(relay_states.Instance):
    """Record all effects in their order."""

    def __init__(self) -> None:
        self.effects: list[effects.Effect] = []
        super().__init__()

    def record_effect(self, effect: effects.Effect) -> None:
        """Record an effect."""
        self.effects.append(effect)
        super().record_effect(effect)


class ContinuedStreams(unittest.TestCase):
    """Only events of a stream follow in a stream that has begun."""

    def setUp(self) -> None:
        self.instance = RecordingInstance()
        self.instance.receive_request('r1', '/model/x')
        send_id = self.instance.start_send()
        self.instance.deliver_answer(
            send_id, relay_states.build_head(), FIRST_EVENT, b'id: 2\nda'
        )
        self.instance.fail_send(send_id)
        self.assertEqual(2, len(self.instance.sends))

    def read_stream(self) -> bytes:
        """Return what the caller has received."""
        return b''.join(
            effect.part
            for effect in self.instance.effects
            if isinstance(effect, effects.StreamPart)
        )

    def count(self, kind: type) -> int:
        """Return the number of effects of a kind."""
        return sum(isinstance(effect, kind) for effect in self.instance.effects)

    def check_answer(self, head: requests.AnswerHead, body: bytes) -> None:
        """Check that an answer adds nothing to the stream."""
        send_id = self.instance.start_send()
        self.instance.deliver_answer(send_id, head, body)
        self.instance.end_answer(send_id)
        self.assertEqual(FIRST_EVENT, self.read_stream())
        self.assertEqual(0, self.count(effects.StreamEnd))
        self.assertEqual(0, self.count(effects.Reply))
        self.assertEqual(1, len(self.instance.stream_heads))

    def test_errors(self) -> None:
        """Guard against the text of an error in the middle of a stream."""
        statuses = (300, 302, 304, 400, 404, 408, 421, 429, 500, 502, 503, 504)
        for status, has_proof in itertools.product(statuses, (True, False)):
            for headers in ((), (('not-executed', '1'),)):
                with self.subTest(status=status, headers=headers):
                    self.setUp()
                    self.check_answer(
                        decode_head(status, *headers, has_proof=has_proof),
                        ERROR_TEXT,
                    )

    def test_success_without_proof(self) -> None:
        """Guard against events of an answer that no runner made."""
        for status in (200, 201, 204, 206):
            with self.subTest(status):
                self.setUp()
                self.check_answer(
                    decode_head(status, has_proof=False), ERROR_TEXT
                )

    def test_compressed_success(self) -> None:
        """Guard against compressed bytes in the middle of a stream."""
        self.check_answer(
            decode_head(200, ('content-encoding', 'gzip')), ERROR_TEXT
        )

    def test_success_of_another_type(self) -> None:
        """Guard against a page or an object in the middle of a stream."""
        for text in ('application/json', 'text/html', 'text/plain'):
            for body in (ERROR_TEXT, b'{"error":"x"}\n\n', b''):
                with self.subTest(text=text, body=body):
                    self.setUp()
                    self.check_answer(
                        decode_head(200, ('content-type', text)), body
                    )

    def test_success_without_events(self) -> None:
        """Guard against a stream that an empty answer ends as complete."""
        for status in (201, 202, 204, 205):
            with self.subTest(status):
                self.setUp()
                self.check_answer(decode_head(status), b'')

    def test_refusal_with_events(self) -> None:
        """Guard against events of an answer that states it has not run."""
        self.check_answer(
            decode_head(200, ('not-executed', '1')), b'id: 2\ndata: y\n\n'
        )

    def test_events_of_another_status(self) -> None:
        """Guard against a part of a range in the middle of a stream."""
        head = decode_head(206, ('content-type', 'text/event-stream'))
        self.check_answer(head, b'id: 2\ndata: y\n\n')

    def test_resumed_stream(self) -> None:
        """Guard against refusing the events that follow."""
        for text in ('text/event-stream', 'Text/Event-Stream; charset=utf-8'):
            with self.subTest(text):
                self.setUp()
                send_id = self.instance.start_send()
                self.instance.deliver_answer(
                    send_id,
                    decode_head(200, ('content-type', text)),
                    b'id: 2\ndata: y\n\n',
                )
                self.instance.end_answer(send_id)
                self.assertEqual(
                    FIRST_EVENT + b'id: 2\ndata: y\n\n', self.read_stream()
                )
                self.assertEqual(1, self.count(effects.StreamEnd))


def frame_with_length(body: bytes) -> tuple[bytes, bytes]:
    """Return the header and the bytes of a body with a length."""
    return b'Content-Length: %d\r\n' % len(body), body


def frame_in_chunks(body: bytes) -> tuple[bytes, bytes]:
    """Return the header and the bytes of a body in chunks."""
    chunk = test_relay_processes.encode_chunk(body) if body else b''
    return b'Transfer-Encoding: chunked\r\n', chunk + b'0\r\n\r\n'


def frame_until_close(body: bytes) -> tuple[bytes, bytes]:
    """Return no header, and the bytes of a body that ends with its close."""
    return b'', body


FRAMINGS = (frame_with_length, frame_in_chunks, frame_until_close)
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class StreamsOverConnections(test_relay_processes.RelayCase):
    """Callers see neither an error nor an end in a stream that breaks off."""

    def answer_in_turn(
        self, status: int, headers: bytes, framing: typing.Any, body: bytes
    ) -> None:
        """Let a stream break off, and the next runner answer otherwise."""
        length_header, content = framing(body)

        def respond(
            received: relay_site.ReceivedRequest, sock: socket.socket
        ) -> bool:
            if 'last-event-id' not in received.headers:
                sock.sendall(
                    test_relay_processes.encode_stream_head(received)
                    + test_relay_processes.encode_chunk(FIRST_EVENT + b'id: 2')
                )
                return False
            sock.sendall(
                b'HTTP/1.1 %d X\r\nAttempt-Id: %s\r\n%s%s\r\n%s'
                % (
                    status,
                    received.headers['attempt-id'].encode(),
                    headers,
                    length_header,
                    content,
                )
            )
            return False

        self.set_responses(respond)

    def test_answers_after_a_break(self) -> None:
        """Guard against an error in a stream, or an end that looks regular."""
        proof = b'Server-Stamp: s\r\n'
        cases = (
            (200, b''),
            (200, proof + b'Content-Type: application/json\r\n'),
            (204, proof),
            (302, proof),
            (404, proof),
            (421, b''),
            (500, proof),
            (503, b''),
        )
        for (status, headers), framing in itertools.product(cases, FRAMINGS):
            with self.subTest(status=status, framing=framing.__name__):
                body = b'' if status == 204 else ERROR_TEXT
                self.answer_in_turn(status, headers, framing, body)
                with self.site.connect() as sock:
                    sock.sendall(
                        relay_site.encode_request(
                            '/stream/x', f'a-{status}-{framing.__name__}'
                        ).replace(b'Deadline-Ms: 3000', b'Deadline-Ms: 1200')
                    )
                    answer = relay_site.read_answer(sock)
                    with self.assertRaises(http.client.IncompleteRead) as cut:
                        answer.read()
                self.assertEqual(FIRST_EVENT, cut.exception.partial)


class CloseDelimitedAnswers(test_relay_processes.RelayCase):
    """An answer without a length or chunks is complete at a regular close."""

    def answer_until_close(
        self, content_type: bytes, body: bytes, is_reset: bool = False
    ) -> None:
        """Let all runners answer, and close or reset the connection."""

        def respond(
            received: relay_site.ReceivedRequest, sock: socket.socket
        ) -> bool:
            after = int(received.headers.get('last-event-id', 0))
            sock.sendall(
                b'HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: s\r\n'
                b'Content-Type: %s\r\n\r\n'
                % (received.headers['attempt-id'].encode(), content_type)
            )
            sock.sendall(body if not after else b'id: 2\ndata: z\n\n')
            if is_reset and not after:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
                sock.close()
            return False

        self.set_responses(respond)

    def read(self, path: str, version: bytes = b'1.1') -> tuple[int, bytes]:
        """Return the status and body of an answer."""
        with self.site.connect() as sock:
            return self.exchange(
                sock,
                relay_site.encode_request(path, 'a1', b'x').replace(
                    b'HTTP/1.1', b'HTTP/' + version
                ),
            )

    def test_complete_answer(self) -> None:
        """Guard against losing an answer that ends with its connection."""
        self.answer_until_close(b'text/plain', b'whole')
        for path, version in itertools.product(
            ('/read/x', '/write/x'), (b'1.1', b'1.0')
        ):
            self.assertEqual((200, b'whole'), self.read(path, version))

    def test_reset_answer(self) -> None:
        """Guard against half an answer that looks complete."""
        self.answer_until_close(b'text/plain', b'half', is_reset=True)
        for path, version in itertools.product(
            ('/read/x', '/write/x'), (b'1.1', b'1.0')
        ):
            self.assertEqual(502, self.read(path, version)[0])

    def test_complete_stream(self) -> None:
        """Guard against repeating a stream that ends with its connection."""
        body = FIRST_EVENT + b'id: 2\ndata: y\n\n'
        self.answer_until_close(b'text/event-stream', body)
        for version in (b'1.1', b'1.0'):
            self.assertEqual((200, body), self.read('/stream/x', version))
        self.assertEqual(2, len(self.list_received()))

    def test_stream_that_ends_in_an_event(self) -> None:
        """Guard against a stream that lacks its last event."""
        body = FIRST_EVENT + b'id: 2\ndata: half'
        self.answer_until_close(b'text/event-stream', body)
        for version in (b'1.1', b'1.0'):
            self.assertEqual(
                (200, FIRST_EVENT + b'id: 2\ndata: z\n\n'),
                self.read('/stream/x', version),
            )

    def test_stream_that_is_reset(self) -> None:
        """Guard against a reset stream that looks complete."""
        self.answer_until_close(
            b'text/event-stream', FIRST_EVENT, is_reset=True
        )
        for version in (b'1.1', b'1.0'):
            self.assertEqual(
                (200, FIRST_EVENT + b'id: 2\ndata: z\n\n'),
                self.read('/stream/x', version),
            )


class CutHeads(unittest.TestCase):
    """An answer whose head breaks off is never complete."""

    def check_cuts(
        self, answer: bytes, head_length: int, prepare: bool
    ) -> None:
        """Close the connection after each byte of a head."""
        for cut in range(head_length):
            with self.subTest(cut=cut):
                upstream = test_faulty_upstreams.UpstreamClient()
                if prepare:
                    upstream.start_send('a0')
                    upstream.receive(
                        test_faulty_upstreams.encode_answer('a0', b'first')
                    )
                upstream.start_send('a1')
                upstream.receive(answer[:cut])
                upstream.receive(b'')
                ends = upstream.list_events(relay_events.SendEnded)
                self.assertNotIn('s-a1', [event.send_id for event in ends])
                failed = upstream.list_events(relay_events.SendFailed)
                self.assertEqual(['s-a1'], [event.send_id for event in failed])
                self.assertNotIn('s-a1', upstream.read_bodies())

    def test_each_framing(self) -> None:
        """Guard against a 200 with an empty body for half a head."""
        for framing, line_end in itertools.product(FRAMINGS, (b'\r\n', b'\n')):
            header, content = framing(b'whole')
            head = (
                b'HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\n'
                b'%s\r\n' % header
            ).replace(b'\r\n', line_end)
            for is_reused in (False, True):
                with self.subTest(
                    framing=framing.__name__, is_reused=is_reused
                ):
                    self.check_cuts(head + content, len(head), is_reused)

    def test_head_after_an_interim_answer(self) -> None:
        """Guard against an interim answer that is taken for the answer."""
        answer = (
            b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n'
            b'Attempt-Id: a1\r\nServer-Stamp: s\r\n\r\n'
        )
        self.check_cuts(answer, len(answer), False)
