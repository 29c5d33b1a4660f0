"""Test the connections of callers, with sockets but without processes."""

import dataclasses
import errno
import select
import socket
import typing
import unittest
from unittest import mock

from bench import processes
from mustardvale.internal import addresses, events
from mustardvale.internal.edge import (
    caller_connection,
    caller_limits,
    channels,
    relay_server,
)
from mustardvale.internal.relay import requests
from mustardvale.platform import front_codec
from tests import relay_site

LIMITS = caller_limits.CallerLimits(
    maximum_header_bytes=1000,
    maximum_body_bytes=1000,
    header_timeout_seconds=1.0,
    idle_timeout_seconds=4.0,
)
ANSWER = requests.RelayedAnswer(200, (), b'read')
# An answer that the socket buffers of the loopback interface cannot hold.
LARGE_BODY = bytes(32 * 1024 * 1024)
READ_BYTES = 1024 * 1024
# The kernel delivers on the loopback interface within this time.
DELIVERY_SECONDS = 1.0


class Clock:
    """Provide a monotonic clock that a test sets."""

    def __init__(self) -> None:
        self.now = 1000.0

    def monotonic(self) -> float:
        """Return the time that the test has set."""
        return self.now


class ServerCase(unittest.TestCase):
    """Provide a server that the test drives in place of a loop."""

    def setUp(self) -> None:
        self.clock = Clock()
        for module in (caller_connection, relay_server):
            patched = mock.patch.object(module, 'time', self.clock)
            patched.start()
            self.addCleanup(patched.stop)
        self.events: list[typing.Any] = []
        self.table = channels.ChannelTable(channels.DirectPoller())
        self.addCleanup(self.table.stop_listening)
        self.server = relay_server.RelayServer(
            self.table, front_codec, self.record_event
        )
        self.server.apply_limits(LIMITS)
        # The longer limits of a server without a configuration have ended.
        self.clock.now += 60
        self.address = addresses.split(processes.find_free_addresses(1)[0])
        self.server.listen(front_codec.FRONT, self.address)

    def record_event(
        self, kind: type[events.Event], **fields: typing.Any
    ) -> None:
        """Record an event in place of a reducer."""
        self.events.append(kind(at=self.clock.now, **fields))

    def list_request_ids(self) -> list[str]:
        """Return the ids of the requests that were reported."""
        return [
            event.request_id
            for event in self.events
            if isinstance(event, events.CallerRequested)
        ]

    def connect(self) -> socket.socket:
        """Open a connection that the server has not accepted."""
        sock = socket.create_connection(self.address, timeout=DELIVERY_SECONDS)
        self.addCleanup(sock.close)
        return sock

    def accept(
        self,
    ) -> tuple[socket.socket, caller_connection.CallerConnection]:
        """Open a connection; return the caller's socket and its record."""
        known = set(self.server.connections)
        sock = self.connect()
        for listener in tuple(self.table.listeners):
            self.table.on_readable(listener)
        (connection,) = self.server.connections - known
        self.addCleanup(self.server.close_connection, connection)
        return sock, connection

    def deliver(
        self, connection: caller_connection.CallerConnection, sent: bytes
    ) -> None:
        """Let the server read input of a caller."""
        connection.on_received(connection.channel, sent)

    def answer_first(self) -> socket.socket:
        """Return a connection that is idle after one answer."""
        sock, connection = self.accept()
        self.deliver(connection, relay_site.encode_request('/read/x', 'a1'))
        self.server.reply(self.list_request_ids()[-1], ANSWER)
        self.assertEqual(200, relay_site.read_answer(sock).status)
        return sock

    def pass_time(self, seconds: float) -> None:
        """Let time pass, and sweep the connections."""
        self.clock.now += seconds
        self.server.sweep()

    def change_limits(self, **fields: typing.Any) -> None:
        """Apply a version that changes limits."""
        self.server.apply_limits(dataclasses.replace(LIMITS, **fields))


class IdleTime(ServerCase):
    """A connection may be idle for as long as any version in force allows."""

    def test_raised_limit_holds_for_connections_that_are_idle(self) -> None:
        """Guard against a close under a caller that relies on a new version."""
        self.answer_first()
        self.pass_time(1)
        self.change_limits(idle_timeout_seconds=12.0)
        self.pass_time(8)
        self.assertEqual(1, len(self.server.connections))
        self.pass_time(3.1)
        self.assertEqual(0, len(self.server.connections))

    def test_lowered_limit_spares_callers_that_use_the_earlier_one(
        self,
    ) -> None:
        """Guard against a close under a caller that knows the old version."""
        self.pass_time(10)
        self.change_limits(idle_timeout_seconds=1.0)
        self.answer_first()
        self.pass_time(3.5)
        self.assertEqual(1, len(self.server.connections))
        self.pass_time(0.6)
        self.assertEqual(0, len(self.server.connections))

    def test_lowered_limit_ends_later_connections_sooner(self) -> None:
        """Guard against a limit that is never lowered."""
        self.change_limits(idle_timeout_seconds=1.0)
        self.pass_time(4.1)
        self.answer_first()
        self.pass_time(1.1)
        self.assertEqual(0, len(self.server.connections))

    def test_idle_time_begins_when_the_answer_is_written(self) -> None:
        """Guard against a close under a caller that has just read an answer."""
        sock, connection = self.accept()
        self.deliver(connection, relay_site.encode_request('/read/x', 'a1'))
        answer = requests.RelayedAnswer(200, (), LARGE_BODY)
        self.server.reply(self.list_request_ids()[0], answer)
        self.assertTrue(connection.channel.output)
        self.pass_time(3)
        read = relay_site.read_answer(sock)
        while connection.channel.output:
            read.read(READ_BYTES)
            self.table.on_writable(connection.channel.sock)
        self.pass_time(3)
        self.assertEqual(1, len(self.server.connections))
        self.pass_time(1.1)
        self.assertEqual(0, len(self.server.connections))


class ExhaustedDescriptors(ServerCase):
    """A process that can open no socket waits until it can."""

    def test_listener_is_left_out_until_the_next_sweep(self) -> None:
        """Guard against a loop that spins and a caller that is not accepted."""
        sock = self.connect()
        (listener,) = self.table.listeners
        exhausted = OSError(errno.EMFILE, 'too many open files')
        with mock.patch.object(socket.socket, 'accept', side_effect=exhausted):
            self.table.on_readable(listener)
        self.assertFalse(self.table.poller.isReading(listener))
        self.pass_time(relay_server.SWEEP_PERIOD_SECONDS)
        self.assertTrue(self.table.poller.isReading(listener))
        self.table.on_readable(listener)
        (connection,) = self.server.connections
        self.addCleanup(self.server.close_connection, connection)
        self.deliver(connection, relay_site.encode_request('/read/x', 'a1'))
        self.server.reply(self.list_request_ids()[0], ANSWER)
        self.assertEqual(200, relay_site.read_answer(sock).status)


class UnreadInput(ServerCase):
    """A connection is closed only after its input has been read."""

    def test_request_at_the_end_of_the_idle_time_is_reported(self) -> None:
        """Guard against a reset of a request that was not read yet."""
        sock = self.answer_first()
        sock.sendall(relay_site.encode_request('/read/x', 'a2'))
        self.pass_time(5)
        self.assertEqual(2, len(self.list_request_ids()))
        self.server.reply(self.list_request_ids()[-1], ANSWER)
        self.assertEqual(200, relay_site.read_answer(sock).status)

    def test_rest_of_a_request_at_the_end_of_its_time_is_read(self) -> None:
        """Guard against a 408 for a request that has arrived meanwhile."""
        sock, connection = self.accept()
        request = relay_site.encode_request('/read/x', 'a1')
        self.deliver(connection, request[:20])
        sock.sendall(request[20:])
        self.pass_time(2)
        self.assertEqual(1, len(self.list_request_ids()))

    def test_request_at_a_stop_is_reported(self) -> None:
        """Guard against a stop that resets a request in the socket."""
        sock = self.answer_first()
        sock.sendall(relay_site.encode_request('/read/x', 'a2'))
        self.server.close_idle()
        self.assertEqual(2, len(self.list_request_ids()))

    def test_connections_without_a_request_are_closed_at_a_stop(self) -> None:
        """Guard against idle connections that delay a stop."""
        sock = self.answer_first()
        self.server.close_idle()
        self.assertEqual(b'', sock.recv(1))

    def test_pending_connection_is_served_before_the_exit(self) -> None:
        """Guard against a request in the backlog that is reset at the exit."""
        sock = self.connect()
        sock.sendall(relay_site.encode_request('/read/x', 'a1'))
        self.server.drain_input()
        self.assertEqual(1, len(self.list_request_ids()))
        self.assertEqual({}, self.table.listeners)

    def test_incomplete_request_is_refused_before_the_exit(self) -> None:
        """Guard against an exit that resets a caller in the middle."""
        sock, connection = self.accept()
        request = relay_site.encode_request('/read/x', 'a1', b'body')
        self.deliver(connection, request[:-2])
        self.server.drain_input()
        answer = relay_site.read_answer(sock)
        self.assertEqual(503, answer.status)
        self.assertEqual('close', answer.headers['connection'])


class RefusalsOnKeptConnections(ServerCase):
    """A refusal is complete, whatever the request before it was."""

    def test_timeout_behind_a_head_request(self) -> None:
        """Guard against a refusal whose announced body is never sent."""
        sock, connection = self.accept()
        request = relay_site.encode_request('/read/x', 'a1')
        self.deliver(connection, request.replace(b'POST', b'HEAD', 1))
        self.server.reply(self.list_request_ids()[0], ANSWER)
        sock.recv(1000)
        self.deliver(connection, request[:20])
        self.pass_time(2)
        answer = relay_site.read_answer(sock)
        self.assertEqual(408, answer.status)
        self.assertIn(b'request_timeout', answer.read())


class LimitsOfOpenConnections(ServerCase):
    """An open connection follows the limits of the newest version."""

    def test_raised_header_size_holds_for_the_next_request(self) -> None:
        """Guard against a refusal of headers that a new version allows."""
        sock, connection = self.accept()
        self.change_limits(maximum_header_bytes=4000)
        headers = f'X-Long: {"x" * 2000}\r\n'
        request = relay_site.encode_request('/read/x', 'a1', headers=headers)
        self.deliver(connection, request[:1500])
        self.deliver(connection, request[1500:])
        self.assertEqual(1, len(self.list_request_ids()))

    def test_raised_header_time_holds_for_an_open_request(self) -> None:
        """Guard against a 408 for a request that a new version allows."""
        sock, connection = self.accept()
        self.deliver(connection, b'POST /read/x HTTP/1.1\r\n')
        self.change_limits(header_timeout_seconds=3.0)
        self.pass_time(2)
        self.assertIs(caller_connection.Phase.RECEIVING, connection.phase)
        self.pass_time(1.1)
        self.assertEqual(408, relay_site.read_answer(sock).status)

    def test_lowered_header_time_spares_an_open_request(self) -> None:
        """Guard against a 408 for a request that the old version allows."""
        sock, connection = self.accept()
        self.deliver(connection, b'POST /read/x HTTP/1.1\r\n')
        self.change_limits(header_timeout_seconds=0.2)
        self.pass_time(0.9)
        self.assertIs(caller_connection.Phase.RECEIVING, connection.phase)


class PipelinedRequests(ServerCase):
    """A request that was read behind another one is answered too."""

    def read_both(
        self,
        sock: socket.socket,
        connection: caller_connection.CallerConnection,
    ) -> None:
        """Let two pipelined requests arrive."""
        for attempt_id in ('a1', 'a2'):
            self.deliver(
                connection, relay_site.encode_request('/read/x', attempt_id)
            )

    def await_input(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        """Wait until the kernel has delivered input of a caller."""
        readable, _, _ = select.select(
            [connection.channel.sock], [], [], DELIVERY_SECONDS
        )
        self.assertTrue(readable)

    def answer_both(self, sock: socket.socket) -> list[bool]:
        """Answer both requests; return which answer closes the connection."""
        closes = []
        for number in range(2):
            self.server.reply(self.list_request_ids()[number], ANSWER)
            answer = relay_site.read_answer(sock)
            answer.read()
            closes.append(answer.getheader('connection') == 'close')
        return closes

    def test_stop_behind_the_first_request(self) -> None:
        """Guard against a request that a stop discards after reading it."""
        sock, connection = self.accept()
        self.read_both(sock, connection)
        self.server.close_idle()
        self.assertEqual([False, True], self.answer_both(sock))

    def test_rebalancing_behind_the_first_request(self) -> None:
        """Guard against a request that a closed connection discards."""
        sock, connection = self.accept()
        self.read_both(sock, connection)
        self.server.rebalance(1.0, 0.0)
        self.clock.now += 1
        self.assertEqual([False, True], self.answer_both(sock))

    def test_stop_before_the_second_request_is_read(self) -> None:
        """Guard against a request that arrived before a stop's last answer.

        After a delay of this process, the upstream's answer may be handled
        before the input of the caller.
        """
        sock, connection = self.accept()
        self.deliver(connection, relay_site.encode_request('/read/x', 'a1'))
        self.server.close_idle()
        sock.sendall(relay_site.encode_request('/read/x', 'a2'))
        self.await_input(connection)
        self.server.reply(self.list_request_ids()[0], ANSWER)
        self.table.read_available(connection.channel)
        self.assertEqual(2, len(self.list_request_ids()))
        self.server.reply(self.list_request_ids()[1], ANSWER)
        answers = relay_site.read_pipelined_answers(sock, 2)
        self.assertEqual([200, 200], [status for status, _ in answers])
        self.assertEqual(b'', sock.recv(1))

    def test_reset_before_the_first_answer(self) -> None:
        """Guard against a run for a caller that has left.

        An answer may be handled before the reset of its caller is.
        """
        sock, connection = self.accept()
        self.read_both(sock, connection)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, channels.RESET_ON_CLOSE
        )
        sock.close()
        self.await_input(connection)
        self.server.reply(self.list_request_ids()[0], ANSWER)
        self.assertIsInstance(self.events[-1], events.CallerLeft)
        self.assertEqual(1, len(self.list_request_ids()))
        self.assertEqual({}, self.server.requests)

    def test_stream_before_the_second_request(self) -> None:
        """Guard against a stream that ends the connection behind it."""
        sock, connection = self.accept()
        self.read_both(sock, connection)
        self.server.close_idle()
        first = self.list_request_ids()[0]
        self.server.start_stream(first, requests.AnswerHead(200, ()))
        self.server.stream_part(first, b'id: 1\n\n')
        self.server.end_stream(first)
        answer = relay_site.read_answer(sock)
        self.assertEqual(b'id: 1\n\n', answer.read())
        self.server.reply(self.list_request_ids()[1], ANSWER)
        self.assertEqual(200, relay_site.read_answer(sock).status)
