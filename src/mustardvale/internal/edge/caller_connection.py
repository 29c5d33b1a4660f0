"""Hold a connection of a caller, and what it waits for."""

import dataclasses
import enum
import math
import socket
import time
import typing

import h11

from mustardvale.internal import events
from mustardvale.internal.edge import caller_resources, channels, relay_wire
from mustardvale.internal.relay import byte_budgets, connection_limits

if typing.TYPE_CHECKING:
    from mustardvale.internal.edge import lingering_close, relay_server


class Phase(enum.Enum):
    """Name the phase of a connection."""

    IDLE = 'idle'
    RECEIVING = 'receiving'
    ANSWERING = 'answering'
    DISCARDING = 'discarding'


class CloseReason(enum.Enum):
    """Name why a connection was closed with a request on it."""

    ENDED = 'ended'
    FAILED = 'failed'
    CUT = 'cut'


@dataclasses.dataclass(frozen=True, slots=True)
class Close:
    """Describe a connection that was closed with a request on it."""

    phase: Phase
    reason: CloseReason


class CallerConnection:
    """Track one connection of a caller.

    `waiting_since` is when its phase began, or when the last part of a request
    arrived.
    """

    def __init__(
        self,
        server: 'relay_server.RelayServer',
        listener: str,
        codec: relay_wire.CallerCodec,
        address: str = '',
    ) -> None:
        self.server = server
        self.listener = listener
        self.address = address
        self.codec = codec
        self.channel: channels.Channel | None = None
        self.maximum_header_bytes = server.limits.maximum_header_bytes
        self.protocol = build_protocol(self.maximum_header_bytes)
        self.phase = Phase.IDLE
        self.waiting_since = time.monotonic()
        self.head: h11.Request | None = None
        self.method = b''
        self.body = bytearray()
        self.pipelined_bytes = 0
        # What the request that is being answered keeps.
        self.request_bytes = 0
        self.requests_in_turn = 0
        # Pipelined requests wait until the answers before them are read.
        self.has_deferred_input = False
        self.request_id = ''
        self.is_blocked = False
        self.is_head_sent = False
        self.discard: lingering_close.Discard | None = None
        # Answers that begin later than this close the connection.
        self.kept_until = math.inf

    @property
    def is_receiving(self) -> bool:
        """Return whether a request has arrived in part."""
        return self.phase is Phase.RECEIVING

    def measure_charge(self) -> caller_resources.Charge:
        """Return the bytes that the connection holds now."""
        output = 0 if self.channel is None else len(self.channel.output)
        received = self.pipelined_bytes
        if self.phase is Phase.RECEIVING:
            received = len(self.body) + len(self.protocol.trailing_data[0])
            received += measure_headers(self.head)
        return caller_resources.Charge(received, self.request_bytes, output)

    def find_progress(self) -> float:
        """Return when input or output last made progress."""
        if self.channel is not None and self.channel.output:
            return self.channel.written_at
        return self.waiting_since

    def describe_waiting(self) -> connection_limits.Waiting | None:
        """Describe a connection that may end without loss of an answer."""
        assert self.channel is not None, 'a connection has a channel'
        if (
            self.phase is Phase.ANSWERING
            or self.has_deferred_input
            or self.channel.output
        ):
            return None
        if self.discard is None:
            return connection_limits.Waiting(self, self.waiting_since)
        return connection_limits.Waiting(
            self, self.discard.started_at, is_answered=True
        )

    def on_connected(self, channel: channels.Channel) -> None:
        """Ignore the event, which only outgoing connections have."""

    def on_received(self, channel: channels.Channel, received: bytes) -> None:
        """Handle input of the caller, and charge it to the budget."""
        self.requests_in_turn = 0
        self.server.handle_input(self, received)
        self.server.resources.settle(self, time.monotonic())

    def on_error(self, channel: channels.Channel, problem: str) -> None:
        """Remove the connection."""
        self.server.count_close(self, CloseReason.FAILED)
        self.server.remove_connection(self)

    def on_drained(self, channel: channels.Channel) -> None:
        """Report that the caller has caught up, or close the connection.

        A caller is idle only from the end of its answer on.
        """
        if self.phase is Phase.IDLE:
            self.waiting_since = time.monotonic()
        self.server.resources.settle(self, time.monotonic())
        if self.has_deferred_input:
            self.requests_in_turn = 0
            self.server.continue_pipeline(self)
        if self.phase is Phase.DISCARDING:
            self.server.shut_down_output(self)
        is_unused = self.phase is Phase.IDLE and not self.has_deferred_input
        if is_unused and self.server.is_closing:
            self.server.end_unused(self)
        if self.is_blocked:
            self.is_blocked = False
            self.server.emit_event(
                events.CallerCaughtUp, request_id=self.request_id
            )


def find_peer_address(sock: socket.socket) -> str:
    """Return the IP address of a peer, or nothing if it has left."""
    try:
        host: str = sock.getpeername()[0]
    except OSError:
        return ''
    return host


def measure_headers(head: h11.Request | None) -> int:
    """Return the bytes that the parsed headers of a request take."""
    if head is None:
        return 0
    return len(head.headers) * byte_budgets.HEADER_BYTES


def build_protocol(maximum_header_bytes: int) -> h11.Connection:
    """Return the protocol state of a new connection."""
    return h11.Connection(
        h11.SERVER, max_incomplete_event_size=maximum_header_bytes
    )


def renew_protocol(
    connection: CallerConnection, maximum_header_bytes: int
) -> None:
    """Apply a changed limit before the next request; h11 cannot change it."""
    if connection.maximum_header_bytes != maximum_header_bytes:
        connection.maximum_header_bytes = maximum_header_bytes
        connection.protocol = build_protocol(maximum_header_bytes)
