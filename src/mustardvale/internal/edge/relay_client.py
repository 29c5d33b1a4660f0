"""Send relayed requests to upstreams and report their answers in parts.

A connection carries one request at a time. An answer of an earlier request
that arrives late on a reused connection is skipped. Input on an idle connection
closes it.
"""

import functools
import math
import time
import typing
from collections import abc

import h11

from mustardvale.internal import events
from mustardvale.internal.edge import (
    answer_rules,
    channels,
    input_pacing,
    relay_wire,
    upstream_connection,
)
from mustardvale.internal.relay import effects as relay_effects
from mustardvale.internal.relay import events as relay_events

# Upstreams state in whole seconds how long they keep an idle connection. The
# margin covers the rounding.
DEFAULT_IDLE_SECONDS = 4.0
IDLE_MARGIN_SECONDS = 1.0
MAXIMUM_IDLE_DIGITS = 9
MAXIMUM_IDLE_CONNECTIONS = 32
MAXIMUM_SKIPPED_ANSWERS = 4
# Bytes of skipped answers after which a send fails. A faulty upstream may send
# without end.
MAXIMUM_SKIPPED_BYTES = 1024 * 1024


class RelayClient:
    """Send requests, and report the answers and failures as events."""

    def __init__(
        self,
        channel_table: channels.ChannelTable,
        codec: relay_wire.SendCodec,
        emit_event: abc.Callable[..., None],
        pacer: input_pacing.InputPacer,
    ) -> None:
        self.channel_table = channel_table
        self.codec = codec
        self.emit_event = emit_event
        self.pacer = pacer
        self.idle_connections: dict[
            str, list[upstream_connection.UpstreamConnection]
        ] = {}
        self.sends: dict[str, upstream_connection.UpstreamConnection] = {}
        self.maximum_idle_seconds = math.inf

    def start_send(self, effect: relay_effects.StartSend) -> None:
        """Start a send on an idle connection or a new one."""
        encoded = self.codec.encode_send(effect.request)
        connection = None
        if not effect.needs_new_connection:
            connection = self.take_idle_connection(effect.address)
        is_new = connection is None
        if connection is None:
            connection = upstream_connection.UpstreamConnection(
                self, effect.address
            )
        connection.effect = effect
        connection.encoded = encoded
        connection.was_sent = False
        connection.allowance = input_pacing.NEW_ANSWER
        connection.is_blocked = False
        self.sends[effect.send_id] = connection
        if is_new:
            connection.channel = self.channel_table.connect(
                effect.address, connection
            )
        else:
            self.send_request(connection)

    def take_idle_connection(
        self, address: str
    ) -> upstream_connection.UpstreamConnection | None:
        """Return an idle connection that may be reused, or none."""
        idle = self.idle_connections.get(address, [])
        now = time.monotonic()
        while idle:
            connection = idle.pop()
            assert connection.channel is not None, 'idle means connected'
            if connection.channel.is_closed:
                continue
            connection.idle_seconds = now - connection.idle_since
            is_expired = connection.idle_seconds > self.maximum_idle_seconds
            if connection.reusable_until > now and not is_expired:
                return connection
            self.channel_table.close(connection.channel)
        return None

    def send_request(
        self, connection: upstream_connection.UpstreamConnection
    ) -> None:
        """Write a request, and report that its send has started."""
        effect, encoded = connection.effect, connection.encoded
        assert effect is not None, 'a request belongs to a send'
        assert encoded is not None, 'a send was encoded'
        assert connection.channel is not None, 'a send has a channel'
        try:
            output = serialize_request(connection.protocol, encoded)
        except (h11.LocalProtocolError, UnicodeError) as error:
            self.fail_send(connection, events.FailureKind.MALFORMED, str(error))
            return
        connection.was_sent = True
        self.emit_event(relay_events.SendStarted, send_id=effect.send_id)
        self.channel_table.write(connection.channel, output)

    def handle_input(
        self,
        connection: upstream_connection.UpstreamConnection,
        received: bytes,
    ) -> None:
        """Parse input, and handle the protocol events in it."""
        if connection.effect is None:
            # The connection is idle: the upstream closes it, or sends data
            # that belongs to no request.
            assert connection.channel is not None, 'input needs a channel'
            self.channel_table.close(connection.channel)
            return
        connection.protocol.receive_data(received)
        self.parse_input(connection)

    def parse_input(
        self, connection: upstream_connection.UpstreamConnection
    ) -> None:
        """Handle the protocol events of a turn, and leave the rest to later."""
        connection.has_unparsed = False
        count = 0
        try:
            has_more = True
            while has_more and count < input_pacing.PIECES_PER_TURN:
                event = connection.protocol.next_event()
                has_more = handle_protocol_event(event, connection, self)
                count += 1
            if connection.awaits_head:
                self.check_start(connection)
        except h11.RemoteProtocolError as error:
            kind = events.FailureKind.MALFORMED
            _, has_ended = connection.protocol.trailing_data
            if has_ended:
                kind = events.FailureKind.CLOSED
            self.fail_send(connection, kind, str(error))
        else:
            self.end_turn(connection, count, has_more)

    def end_turn(
        self,
        connection: upstream_connection.UpstreamConnection,
        count: int,
        has_more: bool,
    ) -> None:
        """Stop reading an answer that has to wait for its next turn."""
        if connection.effect is None or connection.channel is None:
            return
        connection.has_unparsed = has_more
        if self.pacer.end_turn(connection, count, has_more):
            self.channel_table.pause_reading(connection.channel)

    def continue_input(
        self, connection: upstream_connection.UpstreamConnection
    ) -> None:
        """Parse what is left of the input of an answer, or read on."""
        if connection.effect is None or connection.is_blocked:
            return
        if connection.has_unparsed:
            self.parse_input(connection)
        if not connection.is_paced and connection.channel is not None:
            self.channel_table.resume_reading(connection.channel)

    def check_start(
        self, connection: upstream_connection.UpstreamConnection
    ) -> None:
        """Fail a send if what was received does not begin an answer."""
        unread, _ = connection.protocol.trailing_data
        self.fail_malformed(connection, answer_rules.find_start_fault(unread))

    def fail_malformed(
        self, connection: upstream_connection.UpstreamConnection, fault: str
    ) -> bool:
        """Fail a send whose answer has a fault; return whether it has."""
        if fault:
            self.fail_send(connection, events.FailureKind.MALFORMED, fault)
        return bool(fault)

    def handle_head(
        self,
        connection: upstream_connection.UpstreamConnection,
        event: h11.Response,
    ) -> bool:
        """Report the head of an answer, or skip an answer to another request."""
        effect = connection.effect
        assert effect is not None, 'an answer belongs to a send'
        connection.awaits_head = False
        connection.status = event.status_code
        connection.may_have_rest = answer_rules.may_have_rest(
            event.status_code, event.headers
        )
        if self.fail_malformed(
            connection,
            answer_rules.find_head_fault(
                event.http_version, event.status_code, event.headers
            ),
        ):
            return False
        received = read_head(event)
        if not self.codec.is_answer_to(
            effect.request, received, connection.is_reused
        ):
            connection.skips_answer = True
            connection.skipped_answers += 1
            self.emit_event(
                relay_events.StrayAnswerArrived,
                send_id=effect.send_id,
                status=event.status_code,
            )
            return True
        connection.skips_answer = False
        keep_alive = dict(event.headers).get(b'keep-alive', b'')
        connection.reusable_until = time.monotonic() + parse_keep_alive_seconds(
            keep_alive
        )
        self.emit_event(
            relay_events.HeadArrived,
            send_id=effect.send_id,
            head=self.codec.decode_head(effect.request, received),
        )
        return connection.effect is effect

    def handle_data(
        self, connection: upstream_connection.UpstreamConnection, part: bytes
    ) -> bool:
        """Report a part of an answer."""
        effect = connection.effect
        if effect is None:
            return True
        if connection.skips_answer:
            return self.skip_data(connection, len(part))
        self.emit_event(
            relay_events.PartArrived, send_id=effect.send_id, part=part
        )
        return connection.effect is effect

    def skip_data(
        self, connection: upstream_connection.UpstreamConnection, count: int
    ) -> bool:
        """Skip a part of another answer; fail a send that skips too much."""
        connection.skipped_bytes += count
        if connection.skipped_bytes <= MAXIMUM_SKIPPED_BYTES:
            return True
        self.fail_send(
            connection,
            events.FailureKind.MALFORMED,
            'a stray answer is too long',
        )
        return False

    def skip_interim_answer(
        self,
        connection: upstream_connection.UpstreamConnection,
        event: h11.InformationalResponse,
    ) -> bool:
        """Skip an interim answer; fail a send that gets a malformed one."""
        connection.interim_answers += 1
        fault = answer_rules.find_interim_fault(
            event.status_code, event.headers, connection.interim_answers
        )
        if self.fail_malformed(connection, fault):
            return False
        return self.report_interim_answer(connection, event)

    def report_interim_answer(
        self,
        connection: upstream_connection.UpstreamConnection,
        event: h11.InformationalResponse,
    ) -> bool:
        """Report what an interim answer announces, if anything."""
        effect = connection.effect
        announcement = self.codec.decode_announcement(read_head(event))
        if effect is None or announcement is None:
            return True
        self.emit_event(
            relay_events.InterimAnswerArrived,
            send_id=effect.send_id,
            announcement=announcement,
        )
        return connection.effect is effect

    def handle_end(
        self, connection: upstream_connection.UpstreamConnection
    ) -> bool:
        """Report the end of an answer, and keep its connection idle."""
        effect = connection.effect
        assert effect is not None, 'an answer belongs to a send'
        if connection.skips_answer:
            return self.await_next_answer(connection)
        unread, _ = connection.protocol.trailing_data
        fault = answer_rules.find_rest_fault(connection.status, unread)
        if self.fail_malformed(connection, fault):
            return False
        del self.sends[effect.send_id]
        connection.effect = None
        connection.encoded = None
        self.release_connection(connection)
        self.emit_event(relay_events.SendEnded, send_id=effect.send_id)
        return False

    def await_next_answer(
        self, connection: upstream_connection.UpstreamConnection
    ) -> bool:
        """Expect the answer after a skipped one; return whether to go on.

        A fresh protocol object parses what follows. Encoding the request again
        only sets the state of that object; the bytes are not sent.
        """
        assert connection.encoded is not None, 'a send was encoded'
        unparsed, has_ended = connection.protocol.trailing_data
        if has_ended or connection.skipped_answers > MAXIMUM_SKIPPED_ANSWERS:
            self.fail_send(
                connection, events.FailureKind.CLOSED, 'only stray answers'
            )
            return False
        connection.skips_answer = False
        connection.awaits_head = True
        connection.protocol = h11.Connection(h11.CLIENT)
        serialize_request(connection.protocol, connection.encoded)
        if unparsed:
            connection.protocol.receive_data(unparsed)
        return bool(unparsed)

    def release_connection(
        self, connection: upstream_connection.UpstreamConnection
    ) -> None:
        """Keep a connection for reuse, or close it if it cannot be reused."""
        channel = connection.channel
        assert channel is not None, 'an answer needs a channel'
        protocol = connection.protocol
        is_complete = (
            protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
        )
        # An answer without a length ends with its connection, but leaves h11 in
        # the same state as one after which the connection may be reused.
        unread, has_ended = protocol.trailing_data
        has_rest = connection.may_have_rest or channel.output or unread
        is_reusable = (
            is_complete
            and not has_ended
            and not has_rest
            and connection.reusable_until > time.monotonic()
        )
        idle = self.idle_connections.setdefault(connection.address, [])
        if not is_reusable or len(idle) >= MAXIMUM_IDLE_CONNECTIONS:
            self.channel_table.close(channel)
            return
        protocol.start_next_cycle()
        connection.skipped_answers = 0
        connection.skipped_bytes = 0
        connection.interim_answers = 0
        connection.awaits_head = True
        connection.is_reused = True
        connection.idle_since = time.monotonic()
        self.channel_table.resume_reading(channel)
        idle.append(connection)

    def fail_send(
        self,
        connection: upstream_connection.UpstreamConnection,
        kind: events.FailureKind,
        detail: str,
    ) -> None:
        """Close a connection, and report the failure of its send."""
        assert connection.channel is not None, 'a send has a channel'
        self.channel_table.close(connection.channel)
        effect = connection.effect
        connection.effect = None
        if effect is None:
            return
        self.sends.pop(effect.send_id, None)
        self.emit_event(
            relay_events.SendFailed,
            send_id=effect.send_id,
            failure=events.Failure(kind, connection.was_sent, detail),
            idle_seconds=connection.idle_seconds,
        )

    def abort_send(self, send_id: str) -> None:
        """Close the connection of a send, without a further event."""
        connection = self.sends.pop(send_id, None)
        if connection is not None and connection.channel is not None:
            connection.effect = None
            self.channel_table.close(connection.channel)

    def pause_send(self, send_id: str) -> None:
        """Stop reading the answer to a send until it is resumed."""
        connection = self.sends.get(send_id)
        if connection is not None and connection.channel is not None:
            connection.is_blocked = True
            self.channel_table.pause_reading(connection.channel)

    def resume_send(self, send_id: str) -> None:
        """Continue to read the answer to a send.

        Input that is left is parsed in a turn of its own, because an event of
        the same connection may be the cause of this call.
        """
        connection = self.sends.get(send_id)
        if connection is None or connection.channel is None:
            return
        connection.is_blocked = False
        if connection.has_unparsed and not connection.is_paced:
            self.pacer.resume_later(connection)
        if not connection.is_paced:
            self.channel_table.resume_reading(connection.channel)


def read_head(
    event: h11.Response | h11.InformationalResponse,
) -> relay_wire.ReceivedHead:
    """Return the status and headers of an answer as text."""
    return relay_wire.ReceivedHead(
        event.status_code,
        tuple(
            (name.decode('latin-1'), text.decode('latin-1'))
            for name, text in event.headers
        ),
    )


def serialize_request(
    protocol: h11.Connection, encoded: relay_wire.EncodedSend
) -> bytes:
    """Return the bytes of a complete request."""
    request = h11.Request(
        method=encoded.method,
        target=encoded.target,
        headers=relay_wire.encode_headers(encoded.headers),
    )
    output = protocol.send(request) or b''
    if encoded.body:
        output += protocol.send(h11.Data(data=encoded.body)) or b''
    return output + (protocol.send(h11.EndOfMessage()) or b'')


def parse_keep_alive_seconds(keep_alive: bytes) -> float:
    """Return for how many seconds an idle connection may be reused."""
    for field in keep_alive.split(b','):
        name, _, number = field.strip().partition(b'=')
        if name.lower() == b'timeout' and number.isdigit():
            return int(number[:MAXIMUM_IDLE_DIGITS]) - IDLE_MARGIN_SECONDS
    return DEFAULT_IDLE_SECONDS - IDLE_MARGIN_SECONDS


@functools.singledispatch
def handle_protocol_event(
    event: typing.Any,
    connection: upstream_connection.UpstreamConnection,
    client: RelayClient,
) -> bool:
    """Handle one protocol event; return whether to read another."""
    return False


@handle_protocol_event.register(h11.InformationalResponse)
def handle_interim_answer(
    event: h11.InformationalResponse,
    connection: upstream_connection.UpstreamConnection,
    client: RelayClient,
) -> bool:
    """Skip an interim answer."""
    return client.skip_interim_answer(connection, event)


@handle_protocol_event.register(h11.Response)
def handle_head(
    event: h11.Response,
    connection: upstream_connection.UpstreamConnection,
    client: RelayClient,
) -> bool:
    """Handle the head of an answer."""
    return client.handle_head(connection, event)


@handle_protocol_event.register(h11.Data)
def handle_data(
    event: h11.Data,
    connection: upstream_connection.UpstreamConnection,
    client: RelayClient,
) -> bool:
    """Handle a part of the body of an answer."""
    return client.handle_data(connection, bytes(event.data))


@handle_protocol_event.register(h11.EndOfMessage)
def handle_end(
    event: h11.EndOfMessage,
    connection: upstream_connection.UpstreamConnection,
    client: RelayClient,
) -> bool:
    """Handle the end of an answer."""
    return client.handle_end(connection)


@handle_protocol_event.register(h11.ConnectionClosed)
def handle_close(
    event: h11.ConnectionClosed,
    connection: upstream_connection.UpstreamConnection,
    client: RelayClient,
) -> bool:
    """Fail the send of a connection that closed before its answer."""
    client.fail_send(
        connection, events.FailureKind.CLOSED, 'closed without an answer'
    )
    return False
