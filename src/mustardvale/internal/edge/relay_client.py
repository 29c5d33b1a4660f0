"""Send relayed requests to upstreams and report their answers in parts.

A connection carries one request at a time. An answer of an earlier request
that arrives late on a kept connection is skipped, and input that nobody waits
for closes the connection.
"""

import functools
import math
import time
import typing
from collections import abc

import h11

from mustardvale.internal import events
from mustardvale.internal.edge import channels, relay_wire
from mustardvale.internal.relay import effects as relay_effects
from mustardvale.internal.relay import events as relay_events

# Upstreams say in whole seconds how long they keep an idle connection.
DEFAULT_IDLE_SECONDS = 4.0
IDLE_MARGIN_SECONDS = 1.0
MAXIMUM_IDLE_CONNECTIONS = 32
MAXIMUM_SKIPPED_ANSWERS = 4


class UpstreamConnection:
    """Hold one connection to an upstream and the send that uses it."""

    def __init__(self, client: 'RelayClient', address: str) -> None:
        self.client = client
        self.address = address
        self.channel: channels.Channel | None = None
        self.protocol = h11.Connection(h11.CLIENT)
        self.effect: relay_effects.StartSend | None = None
        self.encoded: relay_wire.EncodedSend | None = None
        self.sent = False
        self.skipping = False
        self.skipped = 0
        self.kept_until = 0.0
        self.kept_since = 0.0
        self.rested_seconds = 0.0

    def on_connected(self, channel: channels.Channel) -> None:
        """Send the request that the connection was opened for."""
        self.client.transmit(self)

    def on_received(self, channel: channels.Channel, received: bytes) -> None:
        """Take input of the upstream."""
        self.client.take_input(self, received)

    def on_broken(self, channel: channels.Channel, problem: str) -> None:
        """Fail the send that used the connection."""
        kind = events.FailureKind.CLOSED
        if not channel.connected:
            kind = events.FailureKind.REFUSED
        self.client.fail(self, kind, problem)

    def on_drained(self, channel: channels.Channel) -> None:
        """Ignore that the request has been written."""


class RelayClient:
    """Perform sends and report what comes back."""

    def __init__(
        self,
        table: channels.ChannelTable,
        codec: relay_wire.SendCodec,
        emit_event: abc.Callable[..., None],
    ) -> None:
        self.table = table
        self.codec = codec
        self.emit_event = emit_event
        self.idle: dict[str, list[UpstreamConnection]] = {}
        self.sends: dict[str, UpstreamConnection] = {}
        self.longest_rest = math.inf

    def start(self, effect: relay_effects.StartSend) -> None:
        """Start a send on a kept connection or a new one."""
        encoded = self.codec.encode_send(effect.send)
        connection = None
        if not effect.fresh:
            connection = self.take_idle(effect.address)
        opened = connection is None
        if connection is None:
            connection = UpstreamConnection(self, effect.address)
        connection.effect = effect
        connection.encoded = encoded
        connection.sent = False
        self.sends[effect.send_id] = connection
        if opened:
            connection.channel = self.table.connect(effect.address, connection)
        else:
            self.transmit(connection)

    def take_idle(self, address: str) -> UpstreamConnection | None:
        """Return a kept connection that the upstream has not closed."""
        idle = self.idle.get(address, [])
        now = time.monotonic()
        while idle:
            connection = idle.pop()
            assert connection.channel is not None, 'idle means connected'
            if connection.channel.closed:
                continue
            connection.rested_seconds = now - connection.kept_since
            rested = connection.rested_seconds > self.longest_rest
            if connection.kept_until > now and not rested:
                return connection
            self.table.close(connection.channel)
        return None

    def transmit(self, connection: UpstreamConnection) -> None:
        """Write a request."""
        effect, encoded = connection.effect, connection.encoded
        assert effect is not None, 'a request belongs to a send'
        assert encoded is not None, 'a send was encoded'
        assert connection.channel is not None, 'a send has a channel'
        written = write_request(connection.protocol, encoded)
        connection.sent = True
        self.emit_event(relay_events.SendStarted, send_id=effect.send_id)
        self.table.write(connection.channel, written)

    def take_input(
        self, connection: UpstreamConnection, received: bytes
    ) -> None:
        """Give input to the protocol and handle what it makes of it."""
        if connection.effect is None:
            # Nobody waits: the upstream closes, or sends what belongs to no
            # request.
            assert connection.channel is not None, 'input needs a channel'
            self.table.close(connection.channel)
            return
        try:
            connection.protocol.receive_data(received)
            more = True
            while more:
                event = connection.protocol.next_event()
                more = take(event, connection, self)
        except h11.RemoteProtocolError as error:
            kind = events.FailureKind.MALFORMED
            if not received:
                kind = events.FailureKind.CLOSED
            self.fail(connection, kind, str(error))

    def take_head(
        self, connection: UpstreamConnection, event: h11.Response
    ) -> bool:
        """Report the head of an answer, or skip an answer to another request."""
        effect = connection.effect
        assert effect is not None, 'an answer belongs to a send'
        received = relay_wire.ReceivedHead(
            event.status_code,
            tuple(
                (name.decode('latin-1'), text.decode('latin-1'))
                for name, text in event.headers
            ),
        )
        if not self.codec.answers(effect.send, received):
            connection.skipping = True
            connection.skipped += 1
            self.emit_event(
                relay_events.StrayAnswerArrived,
                send_id=effect.send_id,
                status=event.status_code,
            )
            return True
        connection.skipping = False
        keep_alive = dict(event.headers).get(b'keep-alive', b'')
        connection.kept_until = time.monotonic() + kept_seconds(keep_alive)
        self.emit_event(
            relay_events.HeadArrived,
            send_id=effect.send_id,
            head=self.codec.decode_head(effect.send, received),
        )
        return connection.effect is effect

    def take_data(self, connection: UpstreamConnection, part: bytes) -> bool:
        """Report a part of an answer."""
        effect = connection.effect
        if connection.skipping or effect is None:
            return True
        self.emit_event(
            relay_events.PartArrived, send_id=effect.send_id, part=part
        )
        return connection.effect is effect

    def take_end(self, connection: UpstreamConnection) -> bool:
        """Report the end of an answer and keep its connection."""
        effect = connection.effect
        assert effect is not None, 'an answer belongs to a send'
        if connection.skipping:
            return self.await_next(connection)
        del self.sends[effect.send_id]
        connection.effect = None
        connection.encoded = None
        self.keep(connection)
        self.emit_event(relay_events.SendEnded, send_id=effect.send_id)
        return False

    def await_next(self, connection: UpstreamConnection) -> bool:
        """Wait for the answer that follows one that was skipped."""
        assert connection.encoded is not None, 'a send was encoded'
        rest, ended = connection.protocol.trailing_data
        if ended or connection.skipped > MAXIMUM_SKIPPED_ANSWERS:
            self.fail(
                connection, events.FailureKind.CLOSED, 'only stray answers'
            )
            return False
        connection.skipping = False
        connection.protocol = h11.Connection(h11.CLIENT)
        write_request(connection.protocol, connection.encoded)
        if rest:
            connection.protocol.receive_data(rest)
        return bool(rest)

    def keep(self, connection: UpstreamConnection) -> None:
        """Keep a connection for the next send, or close it."""
        channel = connection.channel
        assert channel is not None, 'an answer needs a channel'
        protocol = connection.protocol
        complete = (
            protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
        )
        unread = channel.output or protocol.trailing_data[0]
        reusable = (
            complete and not unread and connection.kept_until > time.monotonic()
        )
        idle = self.idle.setdefault(connection.address, [])
        if not reusable or len(idle) >= MAXIMUM_IDLE_CONNECTIONS:
            self.table.close(channel)
            return
        protocol.start_next_cycle()
        connection.skipped = 0
        connection.kept_since = time.monotonic()
        self.table.resume_reading(channel)
        idle.append(connection)

    def fail(
        self,
        connection: UpstreamConnection,
        kind: events.FailureKind,
        detail: str,
    ) -> None:
        """Close a connection and report the failure of its send."""
        assert connection.channel is not None, 'a send has a channel'
        self.table.close(connection.channel)
        effect = connection.effect
        connection.effect = None
        if effect is None:
            return
        self.sends.pop(effect.send_id, None)
        self.emit_event(
            relay_events.SendFailed,
            send_id=effect.send_id,
            failure=events.Failure(kind, connection.sent, detail),
            rested_seconds=connection.rested_seconds,
        )

    def abort(self, send_id: str) -> None:
        """Close the connection of a send that nobody wants any more."""
        connection = self.sends.pop(send_id, None)
        if connection is not None and connection.channel is not None:
            connection.effect = None
            self.table.close(connection.channel)

    def pause(self, send_id: str) -> None:
        """Read no more of an answer for now."""
        connection = self.sends.get(send_id)
        if connection is not None and connection.channel is not None:
            self.table.pause_reading(connection.channel)

    def resume(self, send_id: str) -> None:
        """Go on reading an answer."""
        connection = self.sends.get(send_id)
        if connection is not None and connection.channel is not None:
            self.table.resume_reading(connection.channel)


def write_request(
    protocol: h11.Connection, encoded: relay_wire.EncodedSend
) -> bytes:
    """Return a whole request as the protocol writes it."""
    request = h11.Request(
        method=encoded.method,
        target=encoded.target,
        headers=list(encoded.headers),
    )
    written = protocol.send(request) or b''
    if encoded.body:
        written += protocol.send(h11.Data(data=encoded.body)) or b''
    return written + (protocol.send(h11.EndOfMessage()) or b'')


def kept_seconds(keep_alive: bytes) -> float:
    """Return how long an idle connection may be used again."""
    for field in keep_alive.split(b','):
        name, _, number = field.strip().partition(b'=')
        if name.lower() == b'timeout' and number.isdigit():
            return int(number) - IDLE_MARGIN_SECONDS
    return DEFAULT_IDLE_SECONDS - IDLE_MARGIN_SECONDS


@functools.singledispatch
def take(
    event: typing.Any, connection: UpstreamConnection, client: RelayClient
) -> bool:
    """Handle one protocol event; return whether to ask for another."""
    return False


@take.register(h11.InformationalResponse)
def take_information(
    event: h11.InformationalResponse,
    connection: UpstreamConnection,
    client: RelayClient,
) -> bool:
    """Skip an interim answer."""
    return True


@take.register(h11.Response)
def take_head(
    event: h11.Response, connection: UpstreamConnection, client: RelayClient
) -> bool:
    """Take the head of an answer."""
    return client.take_head(connection, event)


@take.register(h11.Data)
def take_data(
    event: h11.Data, connection: UpstreamConnection, client: RelayClient
) -> bool:
    """Take a part of an answer."""
    return client.take_data(connection, bytes(event.data))


@take.register(h11.EndOfMessage)
def take_end(
    event: h11.EndOfMessage,
    connection: UpstreamConnection,
    client: RelayClient,
) -> bool:
    """Take the end of an answer."""
    return client.take_end(connection)


@take.register(h11.ConnectionClosed)
def take_close(
    event: h11.ConnectionClosed,
    connection: UpstreamConnection,
    client: RelayClient,
) -> bool:
    """Fail the send of a connection that ended before its answer."""
    client.fail(
        connection, events.FailureKind.CLOSED, 'closed without an answer'
    )
    return False
