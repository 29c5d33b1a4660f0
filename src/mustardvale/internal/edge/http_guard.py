"""Check requests of callers with h11 before circuits.web sees them.

circuits.web 3.2.5 accepts headers of any size, answers a malformed length with
a traceback, drops the second of two pipelined requests and waits for ever for
the rest of a body. The guard passes on one whole, checked request at a time on
each connection and answers everything else itself.
"""

import dataclasses
import enum
import functools
import socket
import time
import typing
from collections import abc

import circuits
import h11
from circuits.net import events as net_events
from circuits.net import sockets

from mustardvale import errors
from mustardvale.internal.edge import http_checks, timer_queue, wire

RETRY_AFTER = ('Retry-After', '1')
MAXIMUM_ACCEPTS_PER_TURN = 64


@dataclasses.dataclass(frozen=True, slots=True)
class SweepDue:
    """Identify the timer that looks for connections whose time is over."""


class Phase(enum.Enum):
    """Name what a connection waits for."""

    IDLE = 'idle'
    RECEIVING = 'receiving'
    ANSWERING = 'answering'
    DISCARDING = 'discarding'


class GuardedConnection:
    """Track one connection; `expires_at` is monotonic, 0 for no limit."""

    def __init__(self, sock: socket.socket, limits: http_checks.Limits) -> None:
        self.sock = sock
        self.protocol = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=limits.header_bytes,
        )
        self.phase = Phase.IDLE
        self.expires_at = 0.0
        self.head: h11.Request | None = None
        self.body = bytearray()
        self.pipelined_bytes = 0
        self.is_paused = False
        self.must_close = False


class checked_read(net_events.read):  # noqa: N801
    """Carry a whole request that the guard has checked."""

    name = 'read'


class CallerListener(sockets.TCPServer):
    """Listen for callers."""

    @circuits.handler('_read', priority=1, override=True)
    def _on_read(self, sock: socket.socket) -> None:
        """Read from a caller, or accept those that wait to connect.

        circuits accepts one caller in each turn of the loop, so that under
        load callers wait for seconds before their request is read.
        """
        if sock is not self._sock:
            self._read(sock)
            return
        for _ in range(MAXIMUM_ACCEPTS_PER_TURN):
            try:
                accepted, _ = self._sock.accept()
            except OSError:
                return
            self._on_accept_done(accepted)

    @circuits.handler('write', override=True)
    def write(self, sock: socket.socket, output: bytes) -> None:
        """Queue output, unless the caller has left.

        Output for a closed socket would stay queued for ever, and epoll
        refuses to watch it.
        """
        if sock.fileno() >= 0:
            super().write(sock, output)

    @circuits.handler('close', override=True)
    def close(self, sock: socket.socket | None = None) -> None:
        """Close a socket, now or when its output has been written.

        The end of the input stays readable, so a socket that waits for its
        output must not be watched for input: the loop would spin.
        """
        super().close(sock)
        if sock is not None and sock in self._closeq:
            self._poller.removeReader(sock)


class HttpGuard(circuits.Component):
    """Pass on one whole request at a time for each connection."""

    channel = 'web'

    def __init__(
        self,
        tcp: CallerListener,
        encode_error: abc.Callable[[wire.DecodeError], wire.RawReply],
        limits: http_checks.Limits,
    ) -> None:
        super().__init__()
        self.tcp = tcp
        self.encode_error = encode_error
        self.limits = limits
        self.connections: dict[socket.socket, GuardedConnection] = {}
        self.timer_queue = timer_queue.TimerQueue(self.sweep).register(self)
        self.timer_queue.set_timer(SweepDue(), limits.sweep_seconds)

    @circuits.handler('connect', priority=1)
    def on_connect(self, sock: socket.socket, *_: typing.Any) -> None:
        """Track a connection, or refuse it when there are too many."""
        count = len(self.connections)
        connection = GuardedConnection(sock, self.limits)
        self.connections[sock] = connection
        if count >= self.limits.connections + self.limits.refused_connections:
            self.tcp._close(sock)
        elif count >= self.limits.connections:
            problem = 'the instance holds too many connections'
            self.reject_with_code(connection, errors.OVERLOADED, problem)
        else:
            self.enter_phase(connection, Phase.IDLE, self.limits.idle_seconds)

    @circuits.handler('disconnect', priority=1)
    def on_disconnect(self, sock: socket.socket) -> None:
        """Forget a connection."""
        self.connections.pop(sock, None)

    @circuits.handler('read', priority=1)
    def on_read(
        self, event: typing.Any, sock: socket.socket, received: bytes
    ) -> None:
        """Take received bytes; only checked requests reach circuits.web."""
        if isinstance(event, checked_read):
            # The caller may have left while the request waited in the queue.
            if sock.fileno() < 0:
                event.stop()
            return
        event.stop()
        connection = self.connections.get(sock)
        if connection is None or connection.phase is Phase.DISCARDING:
            return
        connection.protocol.receive_data(received)
        if connection.phase is Phase.ANSWERING:
            self.limit_pipelined_input(connection, len(received))
        else:
            self.receive_request(connection)

    @circuits.handler('write', priority=1)
    def on_write(
        self, event: typing.Any, sock: socket.socket, _: bytes
    ) -> None:
        """Drop output for a closed socket, which nothing would ever free."""
        if sock.fileno() < 0:
            event.stop()

    @circuits.handler('response', priority=-1)
    def on_response(self, response: typing.Any) -> None:
        """Go on with the next request after a whole answer.

        circuits.web never completes the answer to HEAD, which closes instead.
        """
        if response.request.method == 'HEAD':
            self.fire(net_events.close(response.request.sock))
        elif response.done:
            self.complete_answer(response)

    @circuits.handler('stream', priority=-1)
    def on_stream(self, response: typing.Any, _: bytes | None) -> None:
        """Go on with the next request after a streamed answer."""
        if response.done:
            self.complete_answer(response)

    def enter_phase(
        self,
        connection: GuardedConnection,
        phase: Phase,
        seconds: float,
    ) -> None:
        """Enter a phase that lasts for a limited time."""
        connection.phase = phase
        connection.expires_at = time.monotonic() + seconds

    def limit_pipelined_input(
        self, connection: GuardedConnection, count: int
    ) -> None:
        """Keep pipelined input, and read no more than one request of it."""
        connection.pipelined_bytes += count
        if (
            connection.is_paused
            or connection.pipelined_bytes < self.limits.body_bytes
        ):
            return
        connection.is_paused = True
        self.tcp._poller.removeReader(connection.sock)

    def receive_request(self, connection: GuardedConnection) -> None:
        """Handle the input of a connection that awaits a request."""
        if connection.phase is Phase.IDLE:
            limit = self.limits.request_seconds
            self.enter_phase(connection, Phase.RECEIVING, limit)
        try:
            more = True
            while more:
                event = connection.protocol.next_event()
                more = handle_event(event, connection, self)
        except h11.RemoteProtocolError as error:
            code = errors.MALFORMED_REQUEST
            if error.error_status_hint == errors.HEADERS_TOO_LARGE.status:
                code = errors.HEADERS_TOO_LARGE
            self.reject_with_code(connection, code, str(error))
        except wire.DecodeError as error:
            self.reject(connection, error)

    def send_continue(self, connection: GuardedConnection) -> None:
        """Tell a caller that waits for it to send the body."""
        if connection.protocol.they_are_waiting_for_100_continue:
            invitation = h11.InformationalResponse(status_code=100, headers=[])
            encoded = connection.protocol.send(invitation)
            self.fire(net_events.write(connection.sock, encoded))

    def forward_request(self, connection: GuardedConnection) -> None:
        """Hand a whole request to circuits.web."""
        head = connection.head
        assert head is not None, 'a request ends after its head'
        connection.must_close = (
            connection.protocol.their_state is h11.MUST_CLOSE
            or head.method == b'HEAD'
        )
        connection.phase = Phase.ANSWERING
        connection.expires_at = 0
        connection.pipelined_bytes = 0
        request = http_checks.encode_request(
            head,
            bytes(connection.body),
            connection.must_close,
        )
        connection.head = None
        connection.body.clear()
        self.fire(checked_read(connection.sock, request))

    def complete_answer(self, response: typing.Any) -> None:
        """Account for an answer that is complete."""
        connection = self.connections.get(response.request.sock)
        if connection is None or connection.phase is not Phase.ANSWERING:
            return
        if connection.must_close or response.close:
            self.enter_phase(
                connection,
                Phase.DISCARDING,
                self.limits.linger_seconds,
            )
            return
        complete_cycle(connection.protocol)
        self.enter_phase(connection, Phase.IDLE, self.limits.idle_seconds)
        if connection.is_paused:
            connection.is_paused = False
            self.tcp._poller.addReader(self.tcp, connection.sock)
        if connection.protocol.trailing_data[0]:
            self.receive_request(connection)

    def reject_with_code(
        self,
        connection: GuardedConnection,
        code: errors.ErrorCode,
        message: str,
    ) -> None:
        """Answer with an error code and discard what follows."""
        error = wire.DecodeError(code.status, code.name, message)
        self.reject(connection, error)

    def reject(
        self,
        connection: GuardedConnection,
        error: wire.DecodeError,
    ) -> None:
        """Answer with an error and discard what follows."""
        raw = self.encode_error(error)
        body = raw.body or b''
        extra = (RETRY_AFTER,) if error.status == 503 else ()
        head = h11.Response(
            status_code=raw.status,
            headers=[
                ('Content-Type', raw.content_type),
                ('Content-Length', str(len(body))),
                ('Connection', 'close'),
                *raw.headers,
                *extra,
            ],
        )
        encoded = connection.protocol.send(head) or b''
        self.fire(net_events.write(connection.sock, encoded + body))
        self.enter_phase(
            connection, Phase.DISCARDING, self.limits.linger_seconds
        )

    def sweep(self, timer: SweepDue) -> None:
        """End what is over its time.

        One timer for all connections keeps the heap small: a timer for each
        request would stay in it until the idle time is over.
        """
        now = time.monotonic()
        for connection in tuple(self.connections.values()):
            if 0 < connection.expires_at <= now:
                self.expire_connection(connection)
        self.timer_queue.set_timer(timer, self.limits.sweep_seconds)

    def expire_connection(self, connection: GuardedConnection) -> None:
        """Refuse an incomplete request, or close a connection."""
        if connection.phase is Phase.RECEIVING:
            limit = self.limits.request_seconds
            problem = f'the request was not complete after {limit} s'
            self.reject_with_code(connection, errors.REQUEST_TIMEOUT, problem)
        else:
            # A caller that does not read its answer gets no more time for it.
            self.tcp._close(connection.sock)


@functools.singledispatch
def handle_event(
    event: typing.Any, connection: GuardedConnection, guard: HttpGuard
) -> bool:
    """Handle one protocol event; return whether to ask for another."""
    return False


@handle_event.register(h11.Request)
def handle_request_head(
    event: h11.Request,
    connection: GuardedConnection,
    guard: HttpGuard,
) -> bool:
    """Check a head before the body is read."""
    http_checks.check_head(event, guard.limits)
    connection.head = event
    guard.send_continue(connection)
    return True


@handle_event.register(h11.Data)
def handle_body_data(
    event: h11.Data,
    connection: GuardedConnection,
    guard: HttpGuard,
) -> bool:
    """Keep a piece of a body."""
    connection.body += event.data
    http_checks.check_body_length(len(connection.body), guard.limits)
    return True


@handle_event.register(h11.EndOfMessage)
def handle_end_of_message(
    event: h11.EndOfMessage,
    connection: GuardedConnection,
    guard: HttpGuard,
) -> bool:
    """Pass on a whole request; the next one waits for its answer."""
    guard.forward_request(connection)
    return False


def complete_cycle(protocol: h11.Connection) -> None:
    """Tell h11 that circuits.web has sent the answer."""
    protocol.send(
        h11.Response(status_code=200, headers=[('content-length', '0')]),
    )
    protocol.send(h11.EndOfMessage())
    protocol.start_next_cycle()
