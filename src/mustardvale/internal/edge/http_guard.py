"""Check requests of callers with h11 before circuits.web handles them.

circuits.web 3.2.5 accepts headers of any size, answers a malformed length with
a traceback, drops the second of two pipelined requests and waits without limit
for the rest of a body. On each connection the guard forwards one complete,
checked request at a time, and rejects invalid ones itself.
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
from mustardvale.internal.edge import (
    http_checks,
    lingering_close,
    request_rest,
    timer_queue,
    wire,
)

RETRY_AFTER = ('Retry-After', '1')
MAXIMUM_ACCEPTS_PER_ITERATION = 64


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionSweep:
    """Identify the timer that checks connections for timeouts."""


class Phase(enum.Enum):
    """Name the phase of a connection.

    `DISCARDING` follows the last answer: input is read and dropped until the
    connection is closed.
    """

    IDLE = 'idle'
    RECEIVING = 'receiving'
    ANSWERING = 'answering'
    DISCARDING = 'discarding'


class GuardedConnection:
    """Track one connection; `expires_at` is monotonic time, 0 for no limit."""

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
        self.discard: lingering_close.Discard | None = None


class checked_read(net_events.read):  # noqa: N801
    """Carry a complete request that the guard has checked."""

    name = 'read'


class finish_output(circuits.Event):  # noqa: N801
    """Shut down the sending side of a connection once it is written."""


class CallerListener(sockets.TCPServer):
    """Accept callers and write to them."""

    def __init__(self, *arguments: typing.Any, **options: typing.Any) -> None:
        super().__init__(*arguments, **options)
        self.finishing: set[socket.socket] = set()

    @circuits.handler('_read', priority=1, override=True)
    def _on_read(self, sock: socket.socket) -> None:
        """Read from a caller, or accept pending connections.

        circuits itself accepts one connection per iteration of the loop; under
        load callers then wait for seconds before their request is read.
        """
        if sock is not self._sock:
            self._read(sock)
            return
        for _ in range(MAXIMUM_ACCEPTS_PER_ITERATION):
            try:
                accepted, _ = self._sock.accept()
            except OSError:
                return
            self._on_accept_done(accepted)

    @circuits.handler('write', override=True)
    def write(self, sock: socket.socket, output: bytes) -> None:
        """Queue output, unless the socket is closed.

        Output for a closed socket would never leave the queue, and epoll
        refuses to watch the socket.
        """
        if sock.fileno() >= 0:
            super().write(sock, output)

    @circuits.handler('close', override=True)
    def close(self, sock: socket.socket | None = None) -> None:
        """Close a socket, at once or after its output has been written.

        A socket whose input has ended stays readable. While it waits for its
        output it must not be polled for reading, or the loop would spin.
        """
        super().close(sock)
        if sock is not None and sock in self._closeq:
            self._poller.removeReader(sock)

    def _close(self, sock: socket.socket) -> None:
        """Close a socket at once."""
        self.finishing.discard(sock)
        super()._close(sock)

    @circuits.handler('finish_output')
    def finish_output(self, sock: socket.socket) -> None:
        """Shut down the sending side, at once or after the queued output."""
        if sock.fileno() < 0:
            return
        self.finishing.add(sock)
        self.shut_down_finished(sock)

    @circuits.handler('_write', priority=1, override=True)
    def _on_write(self, sock: socket.socket) -> None:
        """Write queued output, and shut the output down behind the last."""
        super()._on_write(sock)
        if sock in self.finishing:
            self.shut_down_finished(sock)

    def shut_down_finished(self, sock: socket.socket) -> None:
        """Shut down the sending side if no output is queued."""
        if self.has_output(sock):
            return
        self.finishing.discard(sock)
        try:
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            # The connection is closed already.
            self._close(sock)

    def has_output(self, sock: socket.socket) -> bool:
        """Return whether output of a connection is queued."""
        return bool(self._buffers.get(sock))


class HttpGuard(circuits.Component):
    """Forward one complete request at a time on each connection."""

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
        # Connections that discard their input, oldest first.
        self.lingering: dict[socket.socket, None] = {}
        # Half of the connections remain for callers who are served.
        self.linger_limits = lingering_close.Limits(
            linger_seconds=limits.linger_seconds,
            total_seconds=limits.discard_seconds,
            connections=limits.connections // 2,
        )
        self.timer_queue = timer_queue.TimerQueue(self.sweep).register(self)
        self.timer_queue.set_timer(ConnectionSweep(), limits.sweep_seconds)

    @circuits.handler('connect', priority=1)
    def on_connect(self, sock: socket.socket, *_: typing.Any) -> None:
        """Track a connection, or reject it if there are too many."""
        count = len(self.connections)
        connection = GuardedConnection(sock, self.limits)
        self.connections[sock] = connection
        if count >= self.limits.connections + self.limits.refused_connections:
            self.tcp._close(sock)
        elif count >= self.limits.connections:
            problem = 'the instance has too many connections'
            self.reject_with_code(connection, errors.OVERLOADED, problem)
        else:
            self.enter_phase(connection, Phase.IDLE, self.limits.idle_seconds)

    @circuits.handler('disconnect', priority=1)
    def on_disconnect(self, sock: socket.socket) -> None:
        """Stop tracking a closed connection."""
        self.connections.pop(sock, None)
        self.lingering.pop(sock, None)

    @circuits.handler('read', priority=1)
    def on_read(
        self, event: typing.Any, sock: socket.socket, received: bytes
    ) -> None:
        """Handle received bytes; only checked requests reach circuits.web."""
        if isinstance(event, checked_read):
            # The socket may have been closed while the event was queued.
            if sock.fileno() < 0:
                event.stop()
            return
        event.stop()
        connection = self.connections.get(sock)
        if connection is None:
            return
        if connection.phase is Phase.DISCARDING:
            self.discard_input(connection, received)
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
        """Drop output for a closed socket, which would never be freed."""
        if sock.fileno() < 0:
            event.stop()

    @circuits.handler('close', priority=1)
    def on_close(
        self, event: typing.Any, sock: socket.socket | None = None
    ) -> None:
        """Keep a connection open whose input is discarded.

        circuits.web closes a connection as soon as its last answer is written.
        """
        if sock in self.lingering:
            event.stop()

    @circuits.handler('response', priority=-1)
    def on_response(self, response: typing.Any) -> None:
        """Continue with the next request after a complete answer.

        circuits.web never marks the answer to HEAD as done.
        """
        if response.done or response.request.method == 'HEAD':
            self.complete_answer(response)

    @circuits.handler('stream', priority=-1)
    def on_stream(self, response: typing.Any, _: bytes | None) -> None:
        """Continue with the next request after a streamed answer."""
        if response.done:
            self.complete_answer(response)

    def enter_phase(
        self,
        connection: GuardedConnection,
        phase: Phase,
        seconds: float,
    ) -> None:
        """Enter a phase and set its time limit."""
        connection.phase = phase
        connection.expires_at = time.monotonic() + seconds

    def limit_pipelined_input(
        self, connection: GuardedConnection, count: int
    ) -> None:
        """Stop reading when pipelined input reaches the size of one body."""
        connection.pipelined_bytes += count
        if connection.pipelined_bytes >= self.limits.body_bytes:
            self.pause_reading(connection)

    def receive_request(self, connection: GuardedConnection) -> None:
        """Parse the input of a connection that has no open request."""
        if connection.phase is Phase.IDLE:
            limit = self.limits.request_seconds
            self.enter_phase(connection, Phase.RECEIVING, limit)
        try:
            has_more = True
            while has_more:
                event = connection.protocol.next_event()
                has_more = handle_protocol_event(event, connection, self)
        except h11.RemoteProtocolError as error:
            code = errors.MALFORMED_REQUEST
            if error.error_status_hint == errors.HEADERS_TOO_LARGE.status:
                code = errors.HEADERS_TOO_LARGE
            self.reject_with_code(connection, code, str(error))
        except wire.DecodeError as error:
            self.reject(connection, error)

    def send_continue(self, connection: GuardedConnection) -> None:
        """Send `100 Continue` to a caller that waits for it."""
        if connection.protocol.they_are_waiting_for_100_continue:
            informational = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            encoded = connection.protocol.send(informational)
            self.fire(net_events.write(connection.sock, encoded))

    def forward_request(self, connection: GuardedConnection) -> None:
        """Forward a complete request to circuits.web."""
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
        """Wait for the next request, or for the close, after an answer."""
        connection = self.connections.get(response.request.sock)
        if connection is None or connection.phase is not Phase.ANSWERING:
            return
        if connection.must_close or response.close:
            self.discard_rest(connection)
            return
        complete_cycle(connection.protocol)
        self.enter_phase(connection, Phase.IDLE, self.limits.idle_seconds)
        self.resume_reading(connection)
        if connection.protocol.trailing_data[0]:
            self.receive_request(connection)

    def reject_with_code(
        self,
        connection: GuardedConnection,
        code: errors.ErrorCode,
        message: str,
    ) -> None:
        """Answer with an error code and discard further input."""
        error = wire.DecodeError(code.status, code.name, message)
        self.reject(connection, error)

    def reject(
        self,
        connection: GuardedConnection,
        error: wire.DecodeError,
    ) -> None:
        """Answer with an error and discard further input."""
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
        self.discard_rest(connection)

    def discard_rest(self, connection: GuardedConnection) -> None:
        """Discard what follows the last answer of a connection."""
        self.enter_phase(
            connection, Phase.DISCARDING, self.linger_limits.total_seconds
        )
        connection.protocol = request_rest.renew_parser(
            connection.protocol, self.limits.header_bytes
        )
        connection.discard = request_rest.start(
            connection.protocol,
            connection.head,
            len(connection.body),
            time.monotonic(),
        )
        connection.protocol = request_rest.release(connection.protocol)
        connection.head = None
        connection.body.clear()
        self.resume_reading(connection)
        self.fire(finish_output(connection.sock))
        self.begin_linger(connection)

    def begin_linger(self, connection: GuardedConnection) -> None:
        """Wait for the caller's close; close the oldest of too many."""
        self.lingering[connection.sock] = None
        if lingering_close.has_surplus(len(self.lingering), self.linger_limits):
            self.close_lingering(next(iter(self.lingering)))

    def close_lingering(self, sock: socket.socket) -> None:
        """Close a connection whose input was discarded."""
        self.lingering.pop(sock, None)
        self.tcp._close(sock)

    def discard_input(
        self, connection: GuardedConnection, received: bytes
    ) -> None:
        """Discard input, up to a limit."""
        assert connection.discard is not None, 'the phase has a discard'
        connection.discard = request_rest.skip(
            connection.protocol, connection.discard, received, time.monotonic()
        )
        connection.protocol = request_rest.release(connection.protocol)
        if not lingering_close.is_full(connection.discard, self.linger_limits):
            return
        if self.tcp.has_output(connection.sock):
            self.pause_reading(connection)
        else:
            self.close_lingering(connection.sock)

    def pause_reading(self, connection: GuardedConnection) -> None:
        """Stop reading, so that TCP flow control slows the caller down."""
        if not connection.is_paused:
            connection.is_paused = True
            self.tcp._poller.removeReader(connection.sock)

    def resume_reading(self, connection: GuardedConnection) -> None:
        """Start reading again after a pause."""
        if connection.is_paused:
            connection.is_paused = False
            self.tcp._poller.addReader(self.tcp, connection.sock)

    def refuse_incomplete(self) -> None:
        """Refuse incomplete requests before the loop stops."""
        for connection in tuple(self.connections.values()):
            if connection.phase is Phase.RECEIVING:
                self.reject_with_code(
                    connection, errors.STOPPING, 'the instance stops'
                )

    def is_delaying_stop(self) -> bool:
        """Return whether the announced rest of a request is missing."""
        now = time.monotonic()
        return any(
            connection.discard is not None
            and lingering_close.may_delay_stop(
                connection.discard, now, self.linger_limits
            )
            for connection in self.connections.values()
        )

    def sweep(self, timer: ConnectionSweep) -> None:
        """Handle connections whose time limit has passed.

        One timer serves all connections. A cancelled timer stays in the heap
        until it is due, so a timer for each request would fill the heap.
        """
        now = time.monotonic()
        for connection in tuple(self.connections.values()):
            if self.is_expired(connection, now):
                self.expire_connection(connection)
        self.timer_queue.set_timer(timer, self.limits.sweep_seconds)

    def is_expired(self, connection: GuardedConnection, now: float) -> bool:
        """Return whether the time limit of a connection has passed.

        The last answer may be written until the limit for the whole discard.
        """
        if 0 < connection.expires_at <= now:
            return True
        return (
            connection.discard is not None
            and not self.tcp.has_output(connection.sock)
            and not lingering_close.may_continue(
                connection.discard, now, self.linger_limits
            )
        )

    def expire_connection(self, connection: GuardedConnection) -> None:
        """Reject an incomplete request, or close an idle connection."""
        if connection.phase is Phase.RECEIVING:
            limit = self.limits.request_seconds
            problem = f'the request was not complete after {limit} s'
            self.reject_with_code(connection, errors.REQUEST_TIMEOUT, problem)
        else:
            # Also ends a connection whose caller does not read its last answer.
            self.tcp._close(connection.sock)


@functools.singledispatch
def handle_protocol_event(
    event: typing.Any, connection: GuardedConnection, guard: HttpGuard
) -> bool:
    """Handle one protocol event; return whether to read another."""
    return False


@handle_protocol_event.register(h11.Request)
def handle_request_head(
    event: h11.Request,
    connection: GuardedConnection,
    guard: HttpGuard,
) -> bool:
    """Check the head of a request before its body is read."""
    http_checks.check_head(event, guard.limits)
    connection.head = event
    guard.send_continue(connection)
    return True


@handle_protocol_event.register(h11.Data)
def handle_body_data(
    event: h11.Data,
    connection: GuardedConnection,
    guard: HttpGuard,
) -> bool:
    """Buffer a piece of a body."""
    connection.body += event.data
    http_checks.check_body_length(len(connection.body), guard.limits)
    return True


@handle_protocol_event.register(h11.EndOfMessage)
def handle_end_of_message(
    event: h11.EndOfMessage,
    connection: GuardedConnection,
    guard: HttpGuard,
) -> bool:
    """Forward a complete request; the next one waits for its answer."""
    guard.forward_request(connection)
    return False


def complete_cycle(protocol: h11.Connection) -> None:
    """Start the next cycle of h11 after circuits.web sent the answer.

    h11 has not seen the answer, so an empty one is passed to it and dropped.
    """
    protocol.send(
        h11.Response(status_code=200, headers=[('content-length', '0')]),
    )
    protocol.send(h11.EndOfMessage())
    protocol.start_next_cycle()
