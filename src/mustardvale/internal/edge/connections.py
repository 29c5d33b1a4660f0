"""Define the connections of the HTTP client and the calls that use them."""

import collections
import socket
import time
import typing
from collections import abc

import h11
import immutables

from mustardvale.internal.edge import input_pacing, wire


class PendingCall:
    """Track one call from its start to its answer or failure.

    `was_sent` becomes true with the first byte that is written, from which on
    the other process may have received the request.
    """

    def __init__(
        self, call: typing.Any, address: str, raw: wire.RawCall
    ) -> None:
        self.call = call
        self.address = address
        self.raw = raw
        self.started_at = time.monotonic()
        self.was_sent = False
        self.is_ended = False
        self.connection: Connection | None = None
        self.status = 0
        self.interim_answers = 0
        self.may_have_rest = False
        self.headers: immutables.Map[str, str] = immutables.Map()
        self.received = bytearray()


class Connection:
    """Hold one connection and the call that uses it.

    `continue_parsing` continues the input of the connection.
    """

    def __init__(
        self,
        address: str,
        sock: socket.socket,
        continue_parsing: abc.Callable[['Connection'], None],
    ) -> None:
        self.address = address
        self.sock = sock
        self.protocol = h11.Connection(h11.CLIENT)
        self.pending: PendingCall | None = None
        self.output = b''
        self.is_connected = False
        self.continue_parsing = continue_parsing
        self.allowance = input_pacing.NEW_ANSWER
        self.is_paced = False
        # Whether the protocol holds input that was not parsed yet.
        self.has_unparsed = False

    def continue_input(self) -> None:
        """Parse what is left of the input, or read on."""
        self.continue_parsing(self)


class AddressPool:
    """Hold the idle connections to an address and the calls that wait."""

    def __init__(self) -> None:
        self.idle_connections: list[Connection] = []
        self.open_count = 0
        self.waiting_calls: collections.deque[PendingCall] = collections.deque()
