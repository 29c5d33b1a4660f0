"""Test that callers who are still sending can read their last answer."""

import socket
import unittest
from unittest import mock

import h11

from mustardvale.internal.edge import (
    lingering_close,
    relay_server,
    caller_connection,
    request_rest,
)
from mustardvale.internal.relay import requests
from mustardvale.platform import front_codec
from tests import relay_site, test_relay_server

PART = b'x' * 3000
PART_COUNT = 40


class LingerCase(test_relay_server.ServerCase):
    """Provide uploads whose server lets time pass."""

    def upload(
        self, start: bytes
    ) -> tuple[socket.socket, caller_connection.CallerConnection]:
        """Let the start of an upload arrive."""
        sock, connection = self.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.deliver(connection, start)
        return sock, connection

    def announce(self, count: int) -> bytes:
        """Return the head of an upload that is refused with 413."""
        head = relay_site.encode_request('/read/x', 'a1')
        return head.replace(b'Length: 0', b'Length: %d' % count)

    def send_part(
        self,
        sock: socket.socket,
        connection: caller_connection.CallerConnection,
        part: bytes = PART,
        seconds: float = 0.2,
    ) -> None:
        """Let a part of an upload arrive some time after the last one."""
        self.pass_time(seconds)
        sock.sendall(part)
        assert connection.channel is not None
        self.table.read_available(connection.channel)

    def check_closed(self, seconds: float) -> None:
        """Check that the connection is closed no sooner and no later."""
        self.pass_time(seconds - 0.1)
        self.assertEqual(1, len(self.server.connections))
        self.pass_time(0.2)
        self.assertEqual(0, len(self.server.connections))


class SlowUploads(LingerCase):
    """A caller reads its refusal after it has sent everything."""

    def send_all(self, start: bytes, end: bytes = b'') -> None:
        """Send an upload in 8 s, and check that its refusal is read."""
        sock, connection = self.upload(start)
        for _ in range(PART_COUNT):
            self.send_part(sock, connection)
        self.send_part(sock, connection, end)
        self.assertEqual(413, relay_site.read_answer(sock).status)
        self.assertEqual(b'', bytes(connection.protocol.trailing_data[0]))
        self.check_closed(1.0)

    def test_announced_length(self) -> None:
        """Guard against a reset 1 s after the refusal of a longer upload."""
        count = len(PART) * PART_COUNT
        self.send_all(self.announce(count + 1), b'x')

    def test_chunks(self) -> None:
        """Guard against a missed end of an upload without a length."""
        head = self.announce(0).replace(
            b'Content-Length: 0', b'Transfer-Encoding: chunked'
        )
        size = len(PART) * (PART_COUNT + 1)
        start = head + b'%x\r\n' % size + PART
        self.send_all(start, b'\r\n0\r\n\r\n')

    def test_lowered_limit_in_the_middle(self) -> None:
        """Guard against a reset of uploads that a new version refuses."""
        sock, connection = self.upload(self.announce(900) + b'x' * 300)
        self.change_limits(maximum_body_bytes=100)
        for _ in range(6):
            self.send_part(sock, connection, b'x' * 100, 0.9)
        self.assertEqual(413, relay_site.read_answer(sock).status)
        self.check_closed(1.0)

    def test_head_that_took_too_long(self) -> None:
        """Guard against a missed end behind a refusal within the head."""
        start = self.announce(len(PART))
        sock, connection = self.upload(start[:60])
        self.pass_time(1.1)
        self.send_part(sock, connection, start[60:], 2.0)
        self.send_part(sock, connection, PART, 2.0)
        self.assertEqual(408, relay_site.read_answer(sock).status)
        self.check_closed(1.0)


class Bounds(LingerCase):
    """Callers who send without end hold neither memory nor connections."""

    def test_time_without_input(self) -> None:
        """Guard against a connection that a silent caller holds."""
        self.upload(self.announce(5000))
        self.check_closed(3.0)

    def test_whole_time(self) -> None:
        """Guard against a connection that slow input holds for ever."""
        sock, connection = self.upload(self.announce(10**9))
        for _ in range(14):
            self.send_part(sock, connection, b'x', 1.0)
        self.check_closed(1.0)

    def test_bytes(self) -> None:
        """Guard against input that is discarded without a limit."""
        self.upload(self.announce(10**9))
        (connection,) = self.server.connections
        for _ in range(64):
            self.assertEqual(1, len(self.server.connections))
            self.deliver(connection, b'x' * 65536)
        self.assertEqual(0, len(self.server.connections))

    def test_oldest_connection_goes_first(self) -> None:
        """Guard against connections that are held without a limit."""
        limits = lingering_close.Limits(connections=2)
        with mock.patch.object(relay_server, 'LINGER_LIMITS', limits):
            made = [self.upload(self.announce(5000))[1] for _ in range(3)]
        self.assertEqual(set(made[1:]), self.server.connections)


class PipelinedInput(LingerCase):
    """Input behind the last request of a connection is discarded too."""

    def test_input_whose_reading_was_paused(self) -> None:
        """Guard against a reset of an answer by input that is never read."""
        request = relay_site.encode_request(
            '/read/x', 'a1', headers='Connection: close\r\n'
        )
        sock, connection = self.upload(request)
        self.deliver(connection, b'x' * 70_000)
        self.server.reply(self.list_request_ids()[0], test_relay_server.ANSWER)
        self.assertEqual(b'', connection.protocol.trailing_data[0])
        self.send_part(sock, connection)
        self.check_closed(0.8)
        problem = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        self.assertEqual(0, problem)
        self.assertEqual(200, relay_site.read_answer(sock).status)


class PlannedStops(LingerCase):
    """A stop waits for callers who announce how much they still send."""

    def refuse_at_stop(
        self, start: bytes
    ) -> caller_connection.CallerConnection:
        """Stop the server while an upload is open."""
        _, connection = self.upload(start)
        self.server.close_idle()
        self.server.drain_input()
        return connection

    def test_announced_rest(self) -> None:
        """Guard against an exit that resets a caller who still sends."""
        connection = self.refuse_at_stop(self.announce(900) + b'x' * 300)
        self.assertFalse(self.server.is_flushed())
        self.deliver(connection, b'x' * 600)
        self.assertTrue(self.server.is_flushed())

    def test_silent_caller(self) -> None:
        """Guard against a caller who stops sending and delays the exit."""
        self.refuse_at_stop(self.announce(900) + b'x' * 300)
        self.pass_time(3.1)
        self.assertTrue(self.server.is_flushed())

    def test_rest_without_an_end(self) -> None:
        """Guard against callers without an announced end who delay a stop."""
        chunked = self.announce(0).replace(
            b'Content-Length: 0', b'Transfer-Encoding: chunked'
        )
        for start in (chunked, self.announce(10**9), b'POST / HTTP/1.1\r\n'):
            self.refuse_at_stop(start)
            self.assertTrue(self.server.is_flushed(), start)
            self.server.listen(front_codec.FRONT, self.address)


class QueuedAnswers(LingerCase):
    """A stop waits for an answer that its caller has not read yet."""

    def test_request_behind_a_queued_answer(self) -> None:
        """Guard against a request that a stop reads and does not answer."""
        request = relay_site.encode_request('/read/x', 'a1')
        sock, connection = self.upload(request)
        size = 8 * 1024 * 1024
        answer = requests.RelayedAnswer(200, (), b'x' * size)
        self.server.reply(self.list_request_ids()[0], answer)
        self.server.close_idle()
        self.deliver(connection, request)
        self.assertEqual(2, len(self.list_request_ids()))

    def test_close_behind_a_queued_answer(self) -> None:
        """Guard against a late request that is read, or that resets the answer.

        The caller may not have read the answer when the request crosses the
        close.
        """
        sock, connection = self.upload(
            relay_site.encode_request('/read/x', 'a1')
        )
        channel = connection.channel
        assert channel is not None
        channel.output += b'end'
        self.table.poller.addWriter(self.table, channel.sock)
        self.server.reply(self.list_request_ids()[0], test_relay_server.ANSWER)
        self.server.close_idle()
        self.table.on_writable(channel.sock)
        self.send_part(
            sock, connection, relay_site.encode_request('/read', 'a')
        )
        self.assertEqual(1, len(self.list_request_ids()))
        problem = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        self.assertEqual(0, problem)
        self.check_closed(0.8)


class HalfClosedCallers(LingerCase):
    """A caller may shut its output down before it has read the last answer."""

    def test_end_of_a_queued_answer(self) -> None:
        """Guard against an answer whose queued end is dropped."""
        size = 8 * 1024 * 1024
        request = relay_site.encode_request(
            '/read/x', 'a1', headers='Connection: close\r\n'
        )
        sock, connection = self.upload(request)
        answer = requests.RelayedAnswer(200, (), b'x' * size)
        self.server.reply(self.list_request_ids()[0], answer)
        self.deliver(connection, b'')
        received = 0
        while part := sock.recv(1024 * 1024):
            received += len(part)
            assert connection.channel is not None
            self.table.on_writable(connection.channel.sock)
        self.assertLess(size, received)

    def test_end_of_an_incomplete_upload(self) -> None:
        """Guard against a stop that waits for what the caller cannot send."""
        sock, connection = self.accept()
        channel = connection.channel
        assert channel is not None
        channel.output += b'end'
        self.table.poller.addWriter(self.table, channel.sock)
        self.deliver(connection, self.announce(2000))
        sock.shutdown(socket.SHUT_WR)
        self.table.read_available(channel)
        self.table.on_writable(channel.sock)
        self.assertTrue(self.server.is_flushed())
        self.check_closed(1.0)


class MalformedInput(unittest.TestCase):
    """Input whose end cannot be found is discarded too."""

    def test_malformed_chunk(self) -> None:
        """Guard against an error of the parser behind the last answer."""
        protocol = h11.Connection(h11.SERVER)
        protocol.receive_data(
            b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
        )
        head = protocol.next_event()
        discard = request_rest.start(protocol, head, 0, 10.0)
        for now in (11.0, 12.0):
            discard = request_rest.skip(protocol, discard, b'?\r\n', now)
        self.assertEqual(
            (6, None), (discard.received_bytes, discard.rest_bytes)
        )
        self.assertIsNone(discard.completed_at)
