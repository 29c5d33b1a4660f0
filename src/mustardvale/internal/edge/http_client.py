"""Call other processes over HTTP/1.1 with h11 on the poller of circuits."""

import errno
import functools
import logging
import socket
import time
import typing
from collections import abc

import circuits
import h11
import immutables

from mustardvale.internal import addresses, events
from mustardvale.internal.edge import (
    answer_rules,
    connections,
    input_pacing,
    timer_queue,
    wire,
)

MAXIMUM_CONNECTIONS_PER_ADDRESS = 64
MAXIMUM_WAITING_CALLS_PER_ADDRESS = 4096
MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024
RECEIVE_BYTES = 64 * 1024
OK_STATUS = 200

logger = logging.getLogger('mustardvale')

PENDING_CONNECT_CODES = frozenset((0, errno.EINPROGRESS, errno.EWOULDBLOCK))


class CallCodec(typing.Protocol):
    """Encode calls and decode their answers."""

    def encode_call(self, call: typing.Any) -> wire.RawCall:
        """Encode a call."""

    def decode_answer(
        self, call: typing.Any, raw: wire.RawAnswer
    ) -> typing.Any:
        """Decode the answer to a call, or raise `wire.DecodeError`."""

    def decode_part(self, call: typing.Any, line: bytes) -> typing.Any:
        """Decode one line of a streamed answer."""


class CountBytes(typing.Protocol):
    """Count the bytes of calls by the type of the call."""

    def __call__(self, call: typing.Any, sent: int, received: int) -> None:
        """Add bytes that were sent and received for a call."""


def ignore_bytes(call: typing.Any, sent: int, received: int) -> None:
    """Count nothing; for processes without this metric."""


class HttpClient(circuits.Component):
    """Perform calls; report the answer or failure of each exactly once."""

    channel = 'client'

    def __init__(
        self,
        codec: CallCodec,
        poller: typing.Any,
        emit_event: abc.Callable[..., None],
        count_bytes: CountBytes = ignore_bytes,
    ) -> None:
        super().__init__()
        self.codec = codec
        self.poller = poller
        self.emit_event = emit_event
        self.count_bytes = count_bytes
        self.pools: dict[str, connections.AddressPool] = {}
        self.connections: dict[socket.socket, connections.Connection] = {}
        self.timer_queue = timer_queue.TimerQueue(self.time_out_call).register(
            self
        )
        self.pacer = input_pacing.InputPacer().register(self)

    def start_call(
        self, call: typing.Any, address: str, timeout: float
    ) -> None:
        """Start a call, or queue it if all connections are in use."""
        pending = connections.PendingCall(
            call, address, self.codec.encode_call(call)
        )
        pool = self.pools.setdefault(address, connections.AddressPool())
        self.timer_queue.set_timer(pending, timeout)
        if pool.idle_connections and not pending.raw.needs_new_connection:
            self.send_on_connection(pool.idle_connections.pop(), pending)
        elif pool.open_count < MAXIMUM_CONNECTIONS_PER_ADDRESS:
            self.open_connection(pool, pending)
        elif pool.idle_connections:
            self.discard_connection(pool.idle_connections[-1])
            self.open_connection(pool, pending)
        elif len(pool.waiting_calls) < MAXIMUM_WAITING_CALLS_PER_ADDRESS:
            pool.waiting_calls.append(pending)
        else:
            self.fail_call(
                pending, events.FailureKind.OVERLOADED, 'queue is full'
            )

    def open_connection(
        self, pool: connections.AddressPool, pending: connections.PendingCall
    ) -> None:
        """Open a connection for a call."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setblocking(False)
        connection = connections.Connection(
            pending.address, sock, self.continue_input
        )
        connection.pending = pending
        pending.connection = connection
        pool.open_count += 1
        self.connections[sock] = connection
        try:
            code = sock.connect_ex(addresses.split(pending.address))
        except (OSError, ValueError, OverflowError):
            code = errno.EADDRNOTAVAIL
        if code in PENDING_CONNECT_CODES:
            self.poller.addWriter(self, sock)
        else:
            self.close_and_fail(
                connection, events.FailureKind.REFUSED, str(code)
            )

    def send_on_connection(
        self,
        connection: connections.Connection,
        pending: connections.PendingCall,
    ) -> None:
        """Send the request of a call on an open connection."""
        connection.pending = pending
        connection.allowance = input_pacing.NEW_ANSWER
        pending.connection = connection
        raw = pending.raw
        request = h11.Request(
            method=raw.method,
            target=raw.target,
            headers=[
                ('host', connection.address),
                ('content-length', str(len(raw.body))),
                ('content-type', 'application/json'),
                *raw.headers,
            ],
        )
        head = connection.protocol.send(request) or b''
        body = connection.protocol.send(h11.Data(data=raw.body)) or b''
        end = connection.protocol.send(h11.EndOfMessage()) or b''
        connection.output = head + body + end
        self.write_output(connection)

    def write_output(self, connection: connections.Connection) -> None:
        """Write as much of the queued output as the socket accepts."""
        pending = connection.pending
        try:
            count = connection.sock.send(connection.output)
        except BlockingIOError:
            count = 0
        except OSError as error:
            self.close_and_fail(
                connection, events.FailureKind.CLOSED, str(error)
            )
            return
        if pending is not None and count:
            pending.was_sent = True
            self.count_bytes(pending.call, count, 0)
        connection.output = connection.output[count:]
        self.watch_writable(connection)

    def watch_writable(self, connection: connections.Connection) -> None:
        """Poll the socket for writing only while output is queued."""
        is_watched = self.poller.isWriting(connection.sock)
        if connection.output and not is_watched:
            self.poller.addWriter(self, connection.sock)
        elif is_watched and not connection.output:
            self.poller.removeWriter(connection.sock)

    @circuits.handler('_write')
    def on_writable(self, sock: socket.socket) -> None:
        """Complete a connect, or continue writing."""
        connection = self.connections.get(sock)
        if connection is None:
            return
        if connection.is_connected:
            self.write_output(connection)
            return
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self.close_and_fail(
                connection, events.FailureKind.REFUSED, str(code)
            )
            return
        connection.is_connected = True
        self.poller.addReader(self, sock)
        pending = connection.pending
        assert pending is not None, 'a connection is opened for a call'
        if pending.raw.is_connection_check:
            self.complete_check(connection, pending)
            return
        self.send_on_connection(connection, pending)

    @circuits.handler('_read')
    def on_readable(self, sock: socket.socket) -> None:
        """Read from a connection."""
        connection = self.connections.get(sock)
        if connection is None or connection.is_paced:
            # The poller may have reported the input before the pause.
            return
        try:
            received = sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self.close_and_fail(
                connection, events.FailureKind.CLOSED, str(error)
            )
            return
        if connection.pending is None:
            # The other process closes the connection, or sends data that
            # belongs to no call.
            self.close_and_fail(connection, events.FailureKind.CLOSED, 'idle')
            return
        self.count_bytes(connection.pending.call, 0, len(received))
        self.receive_bytes(connection, received)

    @circuits.handler('_disconnect')
    def on_disconnected(self, sock: socket.socket) -> None:
        """Close a connection that the poller reports as broken."""
        connection = self.connections.get(sock)
        if connection is None:
            return
        kind = events.FailureKind.CLOSED
        if not connection.is_connected:
            kind = events.FailureKind.REFUSED
        self.close_and_fail(connection, kind, 'connection broke')

    def receive_bytes(
        self, connection: connections.Connection, received: bytes
    ) -> None:
        """Parse received bytes and handle the resulting protocol events."""
        connection.protocol.receive_data(received)
        self.parse_input(connection)

    def parse_input(self, connection: connections.Connection) -> None:
        """Handle the protocol events of a turn, and leave the rest to later."""
        connection.has_unparsed = False
        count = 0
        try:
            has_more = True
            while has_more and count < input_pacing.PIECES_PER_TURN:
                has_more = self.handle_next_event(connection)
                count += 1
            if connection.protocol.their_state is h11.SEND_RESPONSE:
                self.check_start(connection)
        except h11.RemoteProtocolError as error:
            kind = events.FailureKind.MALFORMED
            _, has_ended = connection.protocol.trailing_data
            if has_ended:
                kind = events.FailureKind.CLOSED
            self.close_and_fail(connection, kind, str(error))
        else:
            self.end_turn(connection, count, has_more)

    def end_turn(
        self, connection: connections.Connection, count: int, has_more: bool
    ) -> None:
        """Stop reading an answer that has to wait for its next turn."""
        if connection.pending is None:
            return
        connection.has_unparsed = has_more
        if self.pacer.end_turn(connection, count, has_more):
            self.poller.removeReader(connection.sock)

    def continue_input(self, connection: connections.Connection) -> None:
        """Parse what is left of the input of an answer, or read on."""
        if self.connections.get(connection.sock) is not connection:
            return
        if connection.has_unparsed:
            self.parse_input(connection)
        is_open = connection.sock in self.connections
        if is_open and not connection.is_paced:
            self.watch_readable(connection)

    def watch_readable(self, connection: connections.Connection) -> None:
        """Poll the socket for reading, unless it is polled already."""
        if not self.poller.isReading(connection.sock):
            self.poller.addReader(self, connection.sock)

    def check_start(self, connection: connections.Connection) -> None:
        """Fail a call if what was received does not begin an answer."""
        unread, _ = connection.protocol.trailing_data
        self.fail_malformed(connection, answer_rules.find_start_fault(unread))

    def fail_malformed(
        self, connection: connections.Connection, fault: str
    ) -> bool:
        """Fail a call whose answer has a fault; return whether it has."""
        if fault:
            self.close_and_fail(connection, events.FailureKind.MALFORMED, fault)
        return bool(fault)

    def handle_next_event(self, connection: connections.Connection) -> bool:
        """Handle one protocol event; return whether there may be another."""
        event = connection.protocol.next_event()
        pending = connection.pending
        if pending is None or event in (h11.NEED_DATA, h11.PAUSED):
            return False
        handle_protocol_event(event, self, connection, pending)
        return connection.pending is pending

    def receive_body(
        self,
        connection: connections.Connection,
        pending: connections.PendingCall,
        body: bytes,
    ) -> None:
        """Buffer a piece of a body; report the complete lines of a stream."""
        pending.received += body
        if len(pending.received) > MAXIMUM_ANSWER_BYTES:
            self.close_and_fail(
                connection,
                events.FailureKind.MALFORMED,
                f'answer exceeds {MAXIMUM_ANSWER_BYTES} bytes',
            )
            return
        if not pending.raw.is_streamed or pending.status != OK_STATUS:
            return
        if b'\n' not in body:
            return
        *lines, rest = bytes(pending.received).split(b'\n')
        pending.received = bytearray(rest)
        for line in lines:
            self.report_part(pending, line)

    def report_part(
        self, pending: connections.PendingCall, line: bytes
    ) -> None:
        """Report one line of a streamed answer."""
        self.emit_event(
            events.CallPartArrived,
            call=pending.call,
            address=pending.address,
            part=self.codec.decode_part(pending.call, line),
        )

    def complete_call(
        self,
        connection: connections.Connection,
        pending: connections.PendingCall,
    ) -> None:
        """Report a complete answer and reuse or close its connection."""
        unread, _ = connection.protocol.trailing_data
        fault = answer_rules.find_rest_fault(pending.status, unread)
        if self.fail_malformed(connection, fault):
            return
        connection.pending = None
        answer = wire.RawAnswer(
            pending.status,
            pending.headers,
            bytes(pending.received),
        )
        protocol = connection.protocol
        is_complete = (
            protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
        )
        # What follows an answer would be taken for the answer to the next call.
        if is_complete and not unread and not pending.may_have_rest:
            protocol.start_next_cycle()
            self.release_connection(connection)
        else:
            self.discard_connection(connection)
        self.report_answer(pending, answer)

    def complete_check(
        self,
        connection: connections.Connection,
        pending: connections.PendingCall,
    ) -> None:
        """Report that a connection could be opened, and close it."""
        connection.pending = None
        self.discard_connection(connection)
        answer = wire.RawAnswer(OK_STATUS, immutables.Map(), b'')
        self.report_answer(pending, answer)

    def report_answer(
        self,
        pending: connections.PendingCall,
        answer: wire.RawAnswer,
    ) -> None:
        """Report a decoded answer, or a failure if it does not decode."""
        if not self.mark_ended(pending):
            return
        try:
            decoded = self.codec.decode_answer(pending.call, answer)
            event_kind, fields = self.classify_answer(pending.call, answer)
        except Exception as error:
            # Without a result, whatever awaits the call would wait for ever.
            if not isinstance(error, wire.DecodeError):
                logger.exception('answer not decoded')
            self.report_failure(
                pending, events.FailureKind.MALFORMED, str(error)
            )
            return
        self.emit_event(
            event_kind,
            call=pending.call,
            address=pending.address,
            answer=decoded,
            duration_seconds=time.monotonic() - pending.started_at,
            **fields,
        )

    def classify_answer(
        self, call: typing.Any, answer: wire.RawAnswer
    ) -> tuple[type[events.CallAnswered], dict[str, typing.Any]]:
        """Return the type of the event of an answer and its further fields.

        May raise `wire.DecodeError`.
        """
        return events.CallAnswered, {}

    def release_connection(self, connection: connections.Connection) -> None:
        """Use a connection for the next waiting call, or keep it idle."""
        pool = self.pools[connection.address]
        while pool.waiting_calls:
            if pool.waiting_calls[0].raw.needs_new_connection:
                self.discard_connection(connection)
                return
            next_call = pool.waiting_calls.popleft()
            if not next_call.is_ended:
                self.send_on_connection(connection, next_call)
                return
        pool.idle_connections.append(connection)

    def discard_connection(self, connection: connections.Connection) -> None:
        """Close a connection and open one for the next waiting call."""
        if self.connections.pop(connection.sock, None) is None:
            return
        self.poller.discard(connection.sock)
        connection.sock.close()
        pool = self.pools[connection.address]
        pool.open_count -= 1
        if connection in pool.idle_connections:
            pool.idle_connections.remove(connection)
        while pool.waiting_calls:
            next_call = pool.waiting_calls.popleft()
            if not next_call.is_ended:
                self.open_connection(pool, next_call)
                return

    def close_and_fail(
        self,
        connection: connections.Connection,
        kind: events.FailureKind,
        detail: str,
    ) -> None:
        """Close a connection and fail its call."""
        pending = connection.pending
        connection.pending = None
        self.discard_connection(connection)
        if pending is not None:
            self.fail_call(pending, kind, detail)

    def time_out_call(self, pending: connections.PendingCall) -> None:
        """Fail a call that has timed out and close its connection.

        An answer that came late would otherwise be taken for that of the next
        call.
        """
        connection = pending.connection
        if connection is None:
            self.fail_call(
                pending, events.FailureKind.TIMED_OUT, 'no connection'
            )
        elif connection.pending is pending:
            self.close_and_fail(
                connection, events.FailureKind.TIMED_OUT, 'no answer'
            )

    def fail_call(
        self,
        pending: connections.PendingCall,
        kind: events.FailureKind,
        detail: str,
    ) -> None:
        """Report the failure of a call, unless it has ended."""
        if self.mark_ended(pending):
            self.report_failure(pending, kind, detail)

    def report_failure(
        self,
        pending: connections.PendingCall,
        kind: events.FailureKind,
        detail: str,
    ) -> None:
        """Emit the event for a failed call."""
        self.emit_event(
            events.CallFailed,
            call=pending.call,
            address=pending.address,
            failure=events.Failure(kind, pending.was_sent, detail),
        )

    def mark_ended(self, pending: connections.PendingCall) -> bool:
        """Mark a call as ended; return whether it had not ended before."""
        if pending.is_ended:
            return False
        pending.is_ended = True
        self.timer_queue.cancel_timer(pending)
        return True


@functools.singledispatch
def handle_protocol_event(
    event: typing.Any,
    client: HttpClient,
    connection: connections.Connection,
    pending: connections.PendingCall,
) -> None:
    """Handle a protocol event; other types carry nothing to handle."""


@handle_protocol_event.register(h11.InformationalResponse)
def handle_interim_answer(
    event: h11.InformationalResponse,
    client: HttpClient,
    connection: connections.Connection,
    pending: connections.PendingCall,
) -> None:
    """Skip an interim answer, or fail the call if it is malformed."""
    pending.interim_answers += 1
    fault = answer_rules.find_interim_fault(
        event.status_code, event.headers, pending.interim_answers
    )
    client.fail_malformed(connection, fault)


@handle_protocol_event.register(h11.Response)
def handle_response_head(
    event: h11.Response,
    client: HttpClient,
    connection: connections.Connection,
    pending: connections.PendingCall,
) -> None:
    """Store the status and headers of an answer, or fail a malformed one."""
    fault = answer_rules.find_head_fault(
        event.http_version, event.status_code, event.headers
    )
    if client.fail_malformed(connection, fault):
        return
    pending.may_have_rest = answer_rules.may_have_rest(
        event.status_code, event.headers
    )
    pending.status = event.status_code
    pending.headers = immutables.Map(
        {
            name.decode('latin-1'): text.decode('latin-1')
            for name, text in event.headers
        },
    )


@handle_protocol_event.register(h11.Data)
def handle_body_data(
    event: h11.Data,
    client: HttpClient,
    connection: connections.Connection,
    pending: connections.PendingCall,
) -> None:
    """Handle a piece of the body of an answer."""
    client.receive_body(connection, pending, bytes(event.data))


@handle_protocol_event.register(h11.EndOfMessage)
def handle_end_of_message(
    event: h11.EndOfMessage,
    client: HttpClient,
    connection: connections.Connection,
    pending: connections.PendingCall,
) -> None:
    """Complete the call when its answer has ended."""
    client.complete_call(connection, pending)
