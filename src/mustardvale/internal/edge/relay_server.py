"""Serve callers with h11; their requests are relayed unchanged.

circuits.web rewrites paths and headers and adds its own headers, so it cannot
relay requests and answers unchanged.
"""

import collections
import contextlib
import dataclasses
import functools
import itertools
import math
import socket
import time
import typing
from collections import abc

import h11

from mustardvale.internal import events
from mustardvale.internal.edge import (
    caller_connection,
    caller_limits,
    caller_resources,
    channels,
    lingering_close,
    relay_wire,
    request_rest,
    wire,
)
from mustardvale.internal.relay import byte_budgets, connection_limits

BACKLOG = 512
MAXIMUM_ACCEPTS_PER_EVENT = 64
SWEEP_PERIOD_SECONDS = 0.25
LINGER_LIMITS = lingering_close.Limits()
# Queued output of one caller above which the upstream's answer is paused.
MAXIMUM_QUEUED_BYTES = 64 * 1024
# Pipelined input above which reading is paused until the answer is complete.
MAXIMUM_PIPELINED_BYTES = 64 * 1024
# Pipelined requests that are answered before other connections are served.
MAXIMUM_REQUESTS_IN_TURN = 16
# Callers may send empty lines before a request; h11 does not skip them.
LINE_END_BYTES = b'\r\n'
VERSIONS_WITHOUT_CHUNKS = frozenset((b'0.9', b'1.0'))

Address = tuple[str, int]


REQUEST_PHASES = frozenset(
    (caller_connection.Phase.RECEIVING, caller_connection.Phase.ANSWERING)
)


class RelayServer:
    """Report complete requests as events, and send their answers."""

    def __init__(
        self,
        channel_table: channels.ChannelTable,
        codec: relay_wire.CallerCodec,
        emit_event: abc.Callable[..., None],
    ) -> None:
        self.channel_table = channel_table
        self.codec = codec
        self.emit_event = emit_event
        self.limit_history = caller_limits.LimitHistory()
        self.is_closing = False
        self.request_numbers = itertools.count(1)
        self.connections: set[caller_connection.CallerConnection] = set()
        # Connections that wait for their callers to close them, oldest first.
        self.lingering: dict[caller_connection.CallerConnection, None] = {}
        self.requests: dict[str, caller_connection.CallerConnection] = {}
        self.closes: collections.Counter[caller_connection.Close] = (
            collections.Counter()
        )
        self.resources = caller_resources.CallerResources(channel_table, self)

    @property
    def limits(self) -> caller_limits.CallerLimits:
        """Return the limits in force."""
        return self.limit_history.current

    def apply_limits(self, limits: caller_limits.CallerLimits) -> None:
        """Put other limits in force, also for open connections."""
        self.limit_history = caller_limits.change_limits(
            self.limit_history, limits, time.monotonic()
        )

    def listen(
        self,
        listener: str,
        address: Address,
        codec: relay_wire.CallerCodec | None = None,
    ) -> None:
        """Accept callers at an address.

        `listener` names it in the requests that arrive there. `codec` replaces
        the server's codec for these callers.
        """
        accept = functools.partial(
            self.accept_connections, listener, codec or self.codec
        )
        self.channel_table.listen(address, BACKLOG, accept)

    def accept_connections(
        self,
        listener: str,
        codec: relay_wire.CallerCodec,
        sock: socket.socket,
    ) -> None:
        """Accept pending connections, up to a limit per event."""
        for _ in range(MAXIMUM_ACCEPTS_PER_EVENT):
            now = time.monotonic()
            if not self.resources.has_room(listener, now):
                self.channel_table.pause_accepting(sock)
                return
            accepted = self.channel_table.accept(sock)
            if accepted is None:
                return
            address = caller_connection.find_peer_address(accepted)
            verdict = self.resources.decide_connection(listener, address, now)
            if verdict is not connection_limits.Verdict.ACCEPT:
                refuse_connection(accepted, codec)
                continue
            connection = caller_connection.CallerConnection(
                self, listener, codec, address
            )
            self.connections.add(connection)
            connection.channel = self.channel_table.add_accepted(
                accepted, connection
            )
            self.resources.add_connection(connection)
            connection.channel.on_closed = functools.partial(
                self.resources.remove_connection, connection
            )

    def count_close(
        self,
        connection: caller_connection.CallerConnection,
        reason: caller_connection.CloseReason,
    ) -> None:
        """Count a connection that closes with a request on it."""
        if connection.phase in REQUEST_PHASES:
            self.closes[caller_connection.Close(connection.phase, reason)] += 1

    def take_closes(self) -> collections.Counter[caller_connection.Close]:
        """Return the connections closed with a request since the last call."""
        closes = self.closes
        self.closes = collections.Counter()
        return closes

    def remove_connection(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        """Remove a closed connection, and report it if a request was open."""
        self.connections.discard(connection)
        self.lingering.pop(connection, None)
        if self.requests.pop(connection.request_id, None) is not None:
            self.emit_event(events.CallerLeft, request_id=connection.request_id)

    def close_connection(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        """caller_connection.Close and remove a connection."""
        assert connection.channel is not None, 'a connection has a channel'
        self.channel_table.close(connection.channel)
        self.remove_connection(connection)

    def handle_input(
        self, connection: caller_connection.CallerConnection, received: bytes
    ) -> None:
        """Handle input according to the phase of its connection."""
        if not received:
            self.handle_end(connection)
            return
        if connection.phase is caller_connection.Phase.DISCARDING:
            self.discard_input(connection, received)
            return
        if connection.phase is caller_connection.Phase.IDLE:
            received = received.lstrip(LINE_END_BYTES)
            if not received:
                return
            caller_connection.renew_protocol(
                connection, self.limits.maximum_header_bytes
            )
        connection.protocol.receive_data(received)
        if connection.phase is caller_connection.Phase.ANSWERING:
            self.limit_pipelined_input(connection, len(received))
        else:
            event_count = self.process_input(connection)
            assert connection.channel is not None, 'input needs a channel'
            connection.channel.receive_bytes = caller_limits.choose_read_bytes(
                connection.channel.receive_bytes,
                channels.RECEIVE_BYTES,
                len(received),
                event_count,
            )

    def handle_end(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        """caller_connection.Close a connection without input, once its last answer is written."""
        assert connection.channel is not None, 'input needs a channel'
        if (
            connection.phase is caller_connection.Phase.DISCARDING
            and connection.channel.output
        ):
            assert connection.discard is not None, 'the phase has a discard'
            connection.discard = lingering_close.complete(
                connection.discard, time.monotonic()
            )
            self.channel_table.pause_reading(connection.channel)
        else:
            self.count_close(connection, caller_connection.CloseReason.ENDED)
            self.close_connection(connection)

    def limit_pipelined_input(
        self, connection: caller_connection.CallerConnection, count: int
    ) -> None:
        """Pause reading when too much pipelined input is buffered."""
        connection.pipelined_bytes += count
        if connection.pipelined_bytes > MAXIMUM_PIPELINED_BYTES:
            assert connection.channel is not None, 'input needs a channel'
            self.channel_table.pause_reading(connection.channel)

    def process_input(
        self, connection: caller_connection.CallerConnection
    ) -> int:
        """Parse the input of a connection that waits for a request.

        Returns the number of parsed events.
        """
        event_count = 0
        if connection.phase is caller_connection.Phase.IDLE:
            connection.phase = caller_connection.Phase.RECEIVING
            connection.waiting_since = time.monotonic()
            connection.method = b''
        try:
            has_more = True
            while has_more:
                event = connection.protocol.next_event()
                has_more = handle_protocol_event(event, connection, self)
                event_count += 1
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint or 400
            self.refuse_request(
                connection, status, 'malformed_request', str(error)
            )
        except wire.DecodeError as error:
            self.refuse_request(
                connection, error.status, error.code, error.message
            )
        return event_count

    def send_continue(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        """Send `100 Continue` to a caller that waits for it."""
        if connection.protocol.they_are_waiting_for_100_continue:
            self.send_event(
                connection,
                h11.InformationalResponse(status_code=100, headers=[]),
            )

    def report_request(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        """Decode and report a complete request."""
        head = connection.head
        assert head is not None, 'a request ends after its head'
        received = relay_wire.ReceivedRequest(
            connection.listener,
            head.method.decode('ascii'),
            head.target.decode('latin-1'),
            tuple(
                (name.decode('latin-1'), text.decode('latin-1'))
                for name, text in head.headers
            ),
            bytes(connection.body),
        )
        connection.head = None
        connection.body.clear()
        request = connection.codec.decode_request(received)
        connection.phase = caller_connection.Phase.ANSWERING
        connection.request_bytes = len(
            received.body
        ) + caller_connection.measure_headers(head)
        connection.pipelined_bytes = len(connection.protocol.trailing_data[0])
        connection.is_head_sent = False
        connection.request_id = f'r{next(self.request_numbers)}'
        self.requests[connection.request_id] = connection
        self.emit_event(
            events.CallerRequested,
            request_id=connection.request_id,
            request=request,
        )

    def refuse_request(
        self,
        connection: caller_connection.CallerConnection,
        status: int,
        code: str,
        message: str,
    ) -> None:
        """Answer an invalid request with an error, and discard what follows."""
        head, body = connection.codec.encode_error(status, code, message)
        if connection.protocol.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            closing = dataclasses.replace(head, closes_connection=True)
            self.send_event(connection, build_response(closing, len(body)))
            if connection.method != b'HEAD':
                self.send_event(connection, h11.Data(data=body))
        self.discard_rest(connection)

    def discard_rest(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        """Discard what follows the last answer of a connection."""
        connection.phase = caller_connection.Phase.DISCARDING
        connection.protocol = request_rest.renew_parser(
            connection.protocol, connection.maximum_header_bytes
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
        connection.pipelined_bytes = 0
        connection.has_deferred_input = False
        self.resources.unpause(connection)
        self.shut_down_output(connection)
        self.resources.settle(connection, time.monotonic())

    def discard_input(
        self, connection: caller_connection.CallerConnection, received: bytes
    ) -> None:
        """Discard input, up to a limit."""
        assert connection.channel is not None, 'input needs a channel'
        assert connection.discard is not None, 'the phase has a discard'
        connection.discard = request_rest.skip(
            connection.protocol, connection.discard, received, time.monotonic()
        )
        connection.protocol = request_rest.release(connection.protocol)
        if not lingering_close.is_full(connection.discard, LINGER_LIMITS):
            return
        if connection.channel.output:
            self.channel_table.pause_reading(connection.channel)
        else:
            self.close_connection(connection)

    def send_event(
        self, connection: caller_connection.CallerConnection, event: typing.Any
    ) -> None:
        """Write one protocol event."""
        assert connection.channel is not None, 'a connection has a channel'
        encoded = connection.protocol.send(event)
        if encoded:
            self.channel_table.write(connection.channel, encoded)

    def reply(self, request_id: str, reply: typing.Any) -> None:
        """Answer a request with a complete answer."""
        connection = self.requests.get(request_id)
        if connection is None:
            return
        head, body = connection.codec.encode_reply(reply)
        closing = dataclasses.replace(
            head,
            closes_connection=(
                head.closes_connection or self.is_answer_last(connection)
            ),
        )
        must_close = connection.protocol.their_state is h11.MUST_CLOSE
        self.write_answer(connection, closing, body)
        self.finish_answer(connection, closing.closes_connection or must_close)

    def write_answer(
        self,
        connection: caller_connection.CallerConnection,
        head: relay_wire.ReplyHead,
        body: bytes,
    ) -> None:
        """Write a complete answer; the one to a HEAD request has no body."""
        protocol = connection.protocol
        encoded = protocol.send(build_response(head, len(body))) or b''
        if body and connection.method != b'HEAD':
            encoded += protocol.send(h11.Data(data=body)) or b''
        encoded += protocol.send(h11.EndOfMessage()) or b''
        assert connection.channel is not None, 'a request has a channel'
        self.channel_table.write(connection.channel, encoded)

    def start_stream(self, request_id: str, head: typing.Any) -> None:
        """Send the head of a streamed answer."""
        connection = self.requests.get(request_id)
        if connection is None:
            return
        encoded = connection.codec.encode_head(head)
        closing = dataclasses.replace(
            encoded,
            closes_connection=(
                encoded.closes_connection or self.is_answer_last(connection)
            ),
        )
        self.send_event(connection, build_response(closing, None))
        connection.is_head_sent = True

    def stream_part(self, request_id: str, part: bytes) -> None:
        """Send a part of a streamed answer."""
        connection = self.requests.get(request_id)
        if connection is None:
            return
        self.send_event(connection, h11.Data(data=part))
        channel = connection.channel
        assert channel is not None, 'a request has a channel'
        if not channel.output:
            return
        self.resources.settle(connection, time.monotonic())
        is_behind = len(channel.output) > MAXIMUM_QUEUED_BYTES
        if is_behind and not connection.is_blocked and not channel.is_closed:
            connection.is_blocked = True
            self.emit_event(events.CallerBlocked, request_id=request_id)

    def end_stream(self, request_id: str, _: typing.Any = None) -> None:
        """Complete a streamed answer."""
        connection = self.requests.get(request_id)
        if connection is None:
            return
        self.send_event(connection, h11.EndOfMessage())
        self.finish_answer(
            connection, connection.protocol.our_state is not h11.DONE
        )

    def finish_answer(
        self,
        connection: caller_connection.CallerConnection,
        closes_connection: bool,
    ) -> None:
        """Wait for the next request, or shut the connection down."""
        self.requests.pop(connection.request_id, None)
        connection.request_id = ''
        connection.request_bytes = 0
        connection.is_blocked = False
        assert connection.channel is not None, 'an answer needs a channel'
        if connection.channel.is_closed:
            # The answer could not be written. What was read behind its request
            # must not run for a caller that has left.
            connection.phase = caller_connection.Phase.DISCARDING
            return
        self.channel_table.resume_reading(connection.channel)
        if closes_connection or connection.protocol.their_state is not h11.DONE:
            self.discard_rest(connection)
            return
        connection.protocol.start_next_cycle()
        connection.phase = caller_connection.Phase.IDLE
        connection.waiting_since = time.monotonic()
        if connection.protocol.trailing_data[0]:
            self.defer_or_continue(connection)
        else:
            connection.pipelined_bytes = 0
        self.resources.settle(connection, time.monotonic())

    def defer_or_continue(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        """Read the next pipelined request, or let others go first.

        A caller that reads no answers, or sends thousands of requests at once,
        gets the next answer later.
        """
        channel = connection.channel
        assert channel is not None, 'input has a channel'
        connection.requests_in_turn += 1
        is_behind = len(channel.output) > MAXIMUM_QUEUED_BYTES
        if is_behind or connection.requests_in_turn > MAXIMUM_REQUESTS_IN_TURN:
            connection.has_deferred_input = True
            self.channel_table.pause_reading(channel)
            self.channel_table.call_when_writable(channel)
            return
        self.process_pipelined_input(
            connection, connection.protocol.trailing_data[0]
        )

    def continue_pipeline(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        """Read the next pipelined request that was deferred."""
        connection.has_deferred_input = False
        assert connection.channel is not None, 'input has a channel'
        self.channel_table.resume_reading(connection.channel)
        self.process_pipelined_input(
            connection, connection.protocol.trailing_data[0]
        )
        self.resources.settle(connection, time.monotonic())

    def process_pipelined_input(
        self, connection: caller_connection.CallerConnection, unread: bytes
    ) -> None:
        """Parse the input behind a request, without leading empty lines."""
        pipelined = unread.lstrip(LINE_END_BYTES)
        if len(pipelined) == len(unread):
            self.process_input(connection)
            return
        connection.protocol = caller_connection.build_protocol(
            connection.maximum_header_bytes
        )
        if pipelined:
            connection.protocol.receive_data(pipelined)
            self.process_input(connection)

    def shut_down_output(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        """Shut down the sending side once all output is written."""
        channel = connection.channel
        assert channel is not None, 'an answer needs a channel'
        if channel.is_closed or channel.output:
            return
        try:
            channel.sock.shutdown(socket.SHUT_WR)
        except OSError:
            # The connection is closed already.
            self.close_connection(connection)
            return
        self.begin_linger(connection)

    def begin_linger(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        """Wait for the caller's close; close the oldest of too many."""
        assert connection.discard is not None, 'the phase has a discard'
        connection.discard = lingering_close.restart(
            connection.discard, time.monotonic()
        )
        self.lingering[connection] = None
        if lingering_close.has_surplus(len(self.lingering), LINGER_LIMITS):
            self.close_connection(next(iter(self.lingering)))

    def end_holder(
        self,
        connection: caller_connection.CallerConnection,
        ending: byte_budgets.Ending,
    ) -> None:
        """Refuse an incomplete request, or cut an answer that is not read."""
        assert connection.channel is not None, 'a connection has a channel'
        if connection.channel.output or not connection.is_receiving:
            self.cut_connection(connection)
        elif ending is byte_budgets.Ending.STALLED:
            self.refuse_stalled(connection)
        else:
            self.refuse_request(
                connection,
                503,
                'overloaded',
                'too many requests are being received',
            )

    def cut_connection(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        """Reset a connection, so that its answer does not look complete."""
        assert connection.channel is not None, 'a connection has a channel'
        self.count_close(connection, caller_connection.CloseReason.CUT)
        self.channel_table.reset(connection.channel)
        self.remove_connection(connection)

    def end_waiting(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        """End a connection without a complete request to make room."""
        if connection.phase is caller_connection.Phase.IDLE:
            self.close_unused(connection)
        elif connection.phase is caller_connection.Phase.RECEIVING:
            self.refuse_stalled(connection)
        else:
            self.close_connection(connection)

    def refuse_stalled(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        """Refuse an incomplete request whose next part has not arrived."""
        self.refuse_request(
            connection,
            408,
            'request_timeout',
            'the next part of the request took too long',
        )

    def close_caller(self, request_id: str) -> None:
        """Abort an answer, so that it does not look complete."""
        connection = self.requests.pop(request_id, None)
        if connection is None:
            return
        connection.request_id = ''
        connection.request_bytes = 0
        self.count_close(connection, caller_connection.CloseReason.CUT)
        assert connection.channel is not None, 'a request has a channel'
        self.connections.discard(connection)
        if connection.protocol.their_http_version in VERSIONS_WITHOUT_CHUNKS:
            # Without chunks, a regular close is the end of a complete body.
            self.channel_table.reset(connection.channel)
        else:
            self.channel_table.close_when_written(connection.channel)

    def fail_request(self, request_id: str) -> None:
        """Answer a request that an error of this instance has ended."""
        connection = self.requests.get(request_id)
        if connection is None:
            return
        # A failed attempt to write leaves h11 in its error state.
        may_answer = connection.protocol.our_state is h11.SEND_RESPONSE
        if connection.is_head_sent or not may_answer:
            self.close_caller(request_id)
            return
        head, body = connection.codec.encode_error(
            500, 'internal_error', 'internal error'
        )
        self.write_answer(connection, head, body)
        self.finish_answer(connection, closes_connection=True)

    def is_answer_last(
        self, connection: caller_connection.CallerConnection
    ) -> bool:
        """Return whether an answer that begins now closes the connection.

        A request that has arrived behind it would get no answer. After a delay
        of this process, it may not have been read.
        """
        if not self.is_closing and time.monotonic() <= connection.kept_until:
            return False
        if connection.protocol.trailing_data[0].lstrip(LINE_END_BYTES):
            return False
        channel = connection.channel
        return channel is None or not self.channel_table.has_unread_input(
            channel
        )

    def rebalance(self, share: float, delay_seconds: float) -> None:
        """caller_connection.Close a share of the connections, each after an answer."""
        kept_until = time.monotonic() + delay_seconds
        count = round(len(self.connections) * share)
        for connection in itertools.islice(self.connections, count):
            connection.kept_until = min(connection.kept_until, kept_until)

    def close_idle(self) -> None:
        """caller_connection.Close idle connections, and the others after their answers."""
        self.is_closing = True
        for connection in tuple(self.connections):
            if connection.phase is caller_connection.Phase.IDLE:
                self.close_unused(connection)

    def close_unused(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        """caller_connection.Close an idle connection, unless input has arrived meanwhile.

        Closing a socket with unread input resets it, and the caller cannot know
        whether the request was read.
        """
        assert connection.channel is not None, 'a connection has a channel'
        if connection.has_deferred_input:
            return
        self.channel_table.read_available(connection.channel)
        # The connection is closed later if the end of an answer is queued.
        if (
            connection.phase is caller_connection.Phase.IDLE
            and not connection.channel.output
        ):
            self.close_connection(connection)

    def end_unused(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        """Shut down a connection whose last answer has just been written.

        Input that arrives from now on stays unread: nothing can be answered any
        more, and a reset must not reach a caller that still reads.
        """
        assert connection.channel is not None, 'a connection has a channel'
        self.channel_table.read_available(connection.channel)
        if connection.phase is not caller_connection.Phase.IDLE:
            return
        self.channel_table.pause_reading(connection.channel)
        connection.phase = caller_connection.Phase.DISCARDING
        now = time.monotonic()
        connection.discard = lingering_close.complete(
            lingering_close.start(now), now
        )
        self.shut_down_output(connection)

    def drain_input(self) -> None:
        """Read all requests that have arrived, and accept no more callers.

        Incomplete ones are refused. The exit of the process resets connections
        with unread input, even if their answers are on the way.
        """
        self.channel_table.accept_pending()
        self.channel_table.stop_listening()
        for connection in tuple(self.connections):
            assert connection.channel is not None, 'a connection has a channel'
            self.channel_table.read_available(connection.channel)
            if connection.phase is caller_connection.Phase.RECEIVING:
                self.refuse_request(
                    connection, 503, 'unavailable', 'the instance stops'
                )

    def is_flushed(self) -> bool:
        """Return whether no output is queued, and no announced rest missing.

        The exit of the process resets connections whose callers still send.
        """
        now = time.monotonic()
        return not any(
            is_delaying_stop(connection, now) for connection in self.connections
        )

    def sweep(self) -> None:
        """End connections whose timeout has expired, and accept others."""
        self.channel_table.watch_listeners()
        for connection in tuple(self.connections):
            if self.is_expired(connection):
                self.expire_connection(connection)
        self.resources.sweep(time.monotonic())

    def is_expired(
        self, connection: caller_connection.CallerConnection
    ) -> bool:
        """Return whether a connection has waited too long in its phase."""
        now = time.monotonic()
        if connection in self.resources.paused:
            return False
        if connection.discard is not None:
            return not lingering_close.may_continue(
                connection.discard, now, LINGER_LIMITS
            )
        waited_seconds = now - connection.waiting_since
        return waited_seconds >= self.compute_timeout(connection.phase, now)

    def compute_timeout(
        self, phase: caller_connection.Phase, now: float
    ) -> float:
        """Return for how many seconds a connection may wait in a phase."""
        match phase:
            case caller_connection.Phase.IDLE:
                return self.limit_history.compute_idle_seconds(now)
            case caller_connection.Phase.RECEIVING:
                return self.limit_history.compute_header_seconds(now)
            case (
                caller_connection.Phase.ANSWERING
                | caller_connection.Phase.DISCARDING
            ):
                return math.inf

    def expire_connection(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        """Refuse an incomplete request, or close the connection.

        After a delay of this process, what the caller has sent in time may not
        have been read.
        """
        assert connection.channel is not None, 'a connection has a channel'
        self.channel_table.read_available(connection.channel)
        if not self.is_expired(connection):
            return
        if connection.phase is caller_connection.Phase.RECEIVING:
            self.refuse_request(
                connection,
                408,
                'request_timeout',
                'the headers, or the next part of the body, took too long',
            )
        elif connection.channel.output:
            # TCP_USER_TIMEOUT ends the connection if the caller acknowledges
            # no output for too long.
            self.extend_wait(connection)
        else:
            self.close_connection(connection)

    def extend_wait(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        """Begin the time limit of a phase again."""
        connection.waiting_since = time.monotonic()
        if connection.discard is not None:
            connection.discard = lingering_close.restart(
                connection.discard, connection.waiting_since
            )


def is_delaying_stop(
    connection: caller_connection.CallerConnection, now: float
) -> bool:
    """Return whether the process waits for a connection before it exits."""
    if connection.channel is not None and connection.channel.output:
        return True
    if connection.has_deferred_input:
        return True
    return connection.discard is not None and lingering_close.may_delay_stop(
        connection.discard, now, LINGER_LIMITS
    )


def refuse_connection(
    sock: socket.socket, codec: relay_wire.CallerCodec
) -> None:
    """Answer a connection that is not kept, and close it.

    Input that has arrived is read, because unread input resets a connection
    that is closed.
    """
    head, body = codec.encode_error(
        503, 'overloaded', 'the address has too many connections'
    )
    closing = dataclasses.replace(head, closes_connection=True)
    protocol = caller_connection.build_protocol(channels.RECEIVE_BYTES)
    output = protocol.send(build_response(closing, len(body))) or b''
    sock.setblocking(False)
    with contextlib.suppress(OSError):
        sock.send(output + (protocol.send(h11.Data(data=body)) or b''))
        sock.shutdown(socket.SHUT_WR)
        sock.recv(channels.RECEIVE_BYTES)
    sock.close()


def build_response(
    head: relay_wire.ReplyHead, length: int | None
) -> h11.Response:
    """Return the head of an answer; without a length the body is chunked."""
    headers = relay_wire.encode_headers(head.headers)
    if length is not None and head.status != 304:
        headers.append((b'Content-Length', b'%d' % length))
    if head.closes_connection:
        headers.append((b'Connection', b'close'))
    return h11.Response(status_code=head.status, headers=headers)


@functools.singledispatch
def handle_protocol_event(
    event: typing.Any,
    connection: caller_connection.CallerConnection,
    server: RelayServer,
) -> bool:
    """Handle one protocol event; return whether to read another."""
    return False


@handle_protocol_event.register(h11.Request)
def handle_head(
    event: h11.Request,
    connection: caller_connection.CallerConnection,
    server: RelayServer,
) -> bool:
    """Store the head of a request, and check the announced length."""
    connection.head = event
    connection.method = event.method
    check_method(event.method)
    length = dict(event.headers).get(b'content-length', b'0')
    check_body_length(int(length), server.limits)
    server.send_continue(connection)
    return True


@handle_protocol_event.register(h11.Data)
def handle_body(
    event: h11.Data,
    connection: caller_connection.CallerConnection,
    server: RelayServer,
) -> bool:
    """Buffer a piece of a body, and extend the time limit of the request."""
    connection.body += event.data
    check_body_length(len(connection.body), server.limits)
    connection.waiting_since = time.monotonic()
    return True


@handle_protocol_event.register(h11.EndOfMessage)
def handle_request_end(
    event: h11.EndOfMessage,
    connection: caller_connection.CallerConnection,
    server: RelayServer,
) -> bool:
    """Report a complete request; the next one waits for its answer."""
    server.report_request(connection)
    return False


def check_method(method: bytes) -> None:
    """Check the method of a request, or raise `wire.DecodeError`.

    The success of `CONNECT` opens a tunnel, and is no answer that ends.
    """
    if method == b'CONNECT':
        raise wire.DecodeError(
            501, 'not_implemented', 'tunnels are not supported'
        )


def check_body_length(length: int, limits: caller_limits.CallerLimits) -> None:
    """Check the length of a body, or raise `wire.DecodeError`."""
    if length > limits.maximum_body_bytes:
        raise wire.DecodeError(
            413,
            'payload_too_large',
            f'the body is longer than {limits.maximum_body_bytes} bytes',
        )
