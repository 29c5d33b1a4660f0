"""Count the bytes and connections that callers hold, and act on the limits.

`byte_budgets` and `connection_limits` decide; this module counts, pauses and
resumes reading, and tells the server which connections end.
"""

import collections
import dataclasses
import time
import typing
from collections import abc

from mustardvale.internal.edge import channels
from mustardvale.internal.relay import byte_budgets, connection_limits

if typing.TYPE_CHECKING:
    from mustardvale.internal.edge import caller_connection

    Connection: typing.TypeAlias = caller_connection.CallerConnection

NO_LISTENER_LIMITS = connection_limits.ListenerLimits()


@dataclasses.dataclass(frozen=True, slots=True)
class Charge:
    """Hold the bytes that one connection is charged for, by kind.

    `received` belongs to an incomplete request or to pipelined ones, `request`
    to the one that is answered, and `output` is queued for the caller.
    """

    received: int = 0
    request: int = 0
    output: int = 0

    @property
    def held_bytes(self) -> int:
        """Return all bytes."""
        return self.received + self.request + self.output


NO_CHARGE = Charge()


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """Hold the bytes of all connections by kind.

    `output` is queued for callers and `sends` for upstreams. `connections` is
    what the open connections themselves take.
    """

    received: int
    requests: int
    output: int
    sends: int
    connections: int


class Server(typing.Protocol):
    """End connections, as the server of callers does."""

    def end_holder(
        self, connection: 'Connection', ending: byte_budgets.Ending
    ) -> None:
        """Refuse an incomplete request, or close the connection."""

    def end_waiting(self, connection: 'Connection') -> None:
        """End a connection without a complete request."""


class CallerResources:
    """Count what callers hold; limit it once limits are set."""

    def __init__(
        self, channel_table: channels.ChannelTable, server: Server
    ) -> None:
        self.channel_table = channel_table
        self.server = server
        self.budget = byte_budgets.Budget()
        self.listener_limits: dict[str, connection_limits.ListenerLimits] = {}
        self.intake = byte_budgets.Intake.ALL
        self.charges: dict[Connection, Charge] = {}
        self.open_connections: dict[Connection, None] = {}
        # Large incomplete requests, the first one first.
        self.large_requests: dict[Connection, None] = {}
        # Connections that are not read, with the time of the pause.
        self.paused: dict[Connection, float] = {}
        self.listener_counts: collections.Counter[str] = collections.Counter()
        self.address_counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.full_listeners: set[str] = set()
        self.received_bytes = 0
        self.request_bytes = 0
        self.large_bytes = 0
        self.ended: collections.Counter[str] = collections.Counter()

    def apply_limits(
        self,
        budget: byte_budgets.Budget,
        listener_limits: dict[str, connection_limits.ListenerLimits],
    ) -> None:
        """Put limits in force, also for what is held already."""
        self.budget = budget
        self.listener_limits = listener_limits
        self.update_intake()

    def measure_usage(self) -> byte_budgets.Usage:
        """Return what all connections hold.

        Requests on the way to upstreams count as large: almost all of these
        bytes are bodies that a socket buffer does not take.
        """
        sends = self.channel_table.queued_to_upstreams
        return byte_budgets.Usage(
            self.received_bytes
            + self.request_bytes
            + self.channel_table.queued_to_callers
            + sends
            + len(self.open_connections) * byte_budgets.CONNECTION_BYTES,
            self.large_bytes + sends,
        )

    def measure_held(self) -> Held:
        """Return the bytes by kind."""
        return Held(
            self.received_bytes,
            self.request_bytes,
            self.channel_table.queued_to_callers,
            self.channel_table.queued_to_upstreams,
            len(self.open_connections) * byte_budgets.CONNECTION_BYTES,
        )

    def take_ended(self) -> collections.Counter[str]:
        """Return what was ended by reason since the last call."""
        ended = self.ended
        self.ended = collections.Counter()
        return ended

    def find_limits(self, listener: str) -> connection_limits.ListenerLimits:
        """Return the limits of a listener."""
        return self.listener_limits.get(listener, NO_LISTENER_LIMITS)

    def has_room(self, listener: str, now: float) -> bool:
        """Return whether a listener may accept, after making room."""
        limits = self.find_limits(listener)
        if connection_limits.is_listener_full(
            self.listener_counts[listener], limits
        ):
            self.make_room(listener, None, now)
        if connection_limits.is_listener_full(
            self.listener_counts[listener], limits
        ):
            self.full_listeners.add(listener)
            return False
        self.full_listeners.discard(listener)
        return True

    def decide_connection(
        self, listener: str, address: str, now: float
    ) -> connection_limits.Verdict:
        """Return what happens to an accepted connection of an address."""
        limits = self.find_limits(listener)
        key = (listener, address)
        if connection_limits.is_address_full(self.address_counts[key], limits):
            self.make_room(listener, address, now)
        verdict = connection_limits.decide(
            self.listener_counts[listener], self.address_counts[key], limits
        )
        if verdict is not connection_limits.Verdict.ACCEPT:
            self.ended['refused_connection'] += 1
        return verdict

    def make_room(self, listener: str, address: str | None, now: float) -> None:
        """End connections of a listener that wait for a request."""
        waiting = (
            connection.describe_waiting()
            for connection in tuple(self.open_connections)
            if connection.listener == listener
            and address in (None, connection.address)
        )
        for connection in connection_limits.choose_ended(
            (found for found in waiting if found is not None), now
        ):
            self.ended['made_room'] += 1
            self.server.end_waiting(connection)

    def add_connection(self, connection: 'Connection') -> None:
        """Count an open connection."""
        self.open_connections[connection] = None
        self.listener_counts[connection.listener] += 1
        self.address_counts[connection.listener, connection.address] += 1

    def remove_connection(self, connection: 'Connection') -> None:
        """Remove a closed connection and its charge."""
        if connection not in self.open_connections:
            return
        del self.open_connections[connection]
        self.listener_counts[connection.listener] -= 1
        key = (connection.listener, connection.address)
        self.address_counts[key] -= 1
        if not self.address_counts[key]:
            del self.address_counts[key]
        self.paused.pop(connection, None)
        self.store_charge(connection, NO_CHARGE)
        self.update_intake()
        if connection.listener in self.full_listeners:
            self.full_listeners.discard(connection.listener)
            self.channel_table.watch_listeners()

    def settle(self, connection: 'Connection', now: float) -> None:
        """Charge a connection for what it holds now, and act on the limits."""
        if connection not in self.open_connections:
            return
        self.store_charge(connection, connection.measure_charge())
        self.update_intake()
        if self.intake is byte_budgets.Intake.ALL:
            return
        if self.intake is byte_budgets.Intake.NONE:
            self.relieve(now)
        if connection in self.open_connections:
            self.pause_excluded((connection,), now)

    def store_charge(self, connection: 'Connection', charge: Charge) -> None:
        """Replace the charge of a connection."""
        earlier = self.charges.get(connection, NO_CHARGE)
        if charge == earlier:
            return
        self.received_bytes += charge.received - earlier.received
        self.request_bytes += charge.request - earlier.request
        self.large_bytes += count_large_bytes(charge) - count_large_bytes(
            earlier
        )
        if charge == NO_CHARGE:
            del self.charges[connection]
        else:
            self.charges[connection] = charge
        if connection.is_receiving and byte_budgets.is_large(charge.held_bytes):
            self.large_requests[connection] = None
        else:
            self.large_requests.pop(connection, None)

    def update_intake(self) -> None:
        """Decide whose requests are read; resume those that may be read."""
        earlier = self.intake
        self.intake = byte_budgets.decide_intake(
            self.measure_usage(), self.budget
        )
        if self.intake is not earlier and (
            self.intake is not byte_budgets.Intake.ALL
        ):
            # What was reported as readable at the same time is not read.
            self.pause_excluded(tuple(self.charges), time.monotonic())
        if self.paused:
            self.resume_allowed()

    def may_read(self, connection: 'Connection') -> bool:
        """Return whether the request of a connection is read further."""
        charge = self.charges.get(connection, NO_CHARGE)
        return byte_budgets.may_read(
            self.intake,
            charge.held_bytes,
            next(iter(self.large_requests), None) is connection,
        )

    def pause_excluded(
        self, connections: abc.Iterable['Connection'], now: float
    ) -> None:
        """Stop reading incomplete requests that are not read further."""
        for connection in connections:
            if (
                connection.is_receiving
                and connection not in self.paused
                and not self.may_read(connection)
            ):
                self.paused[connection] = now
                assert connection.channel is not None, 'input has a channel'
                self.channel_table.pause_reading(connection.channel)

    def resume_allowed(self) -> None:
        """Read again as many requests as the budget has room for."""
        usage = self.measure_usage()
        room_bytes = min(
            self.budget.narrow_bytes - usage.large_bytes,
            self.budget.total_bytes - usage.total_bytes,
        )
        readable = (
            found for found in tuple(self.paused) if self.may_read(found)
        )
        for connection in readable:
            self.resume(connection)
            room_bytes -= channels.RECEIVE_BYTES
            if room_bytes <= 0:
                return

    def resume(self, connection: 'Connection') -> None:
        """Read a connection again, whose time limit begins anew."""
        self.paused.pop(connection, None)
        connection.waiting_since = time.monotonic()
        assert connection.channel is not None, 'input has a channel'
        self.channel_table.resume_reading(connection.channel)

    def unpause(self, connection: 'Connection') -> None:
        """Read a connection whose request is not kept any more."""
        if connection in self.paused:
            self.resume(connection)

    def sweep(self, now: float) -> None:
        """End what stalls under pressure, and what was paused for too long."""
        for connection in tuple(self.charges):
            self.store_charge(connection, connection.measure_charge())
        self.update_intake()
        self.relieve(now)
        for end in byte_budgets.list_overdue(self.describe_holders(), now):
            self.end(end)

    def relieve(self, now: float) -> None:
        """End holders until the rest may be read or makes progress."""
        end = self.choose_end(now)
        while end is not None:
            self.end(end)
            end = self.choose_end(now)

    def choose_end(self, now: float) -> byte_budgets.End | None:
        """Return which holder is ended, if one has to be."""
        if self.intake is byte_budgets.Intake.ALL:
            return None
        return byte_budgets.choose_end(
            self.describe_holders(), self.intake, now
        )

    def end(self, end: byte_budgets.End) -> None:
        """End one holder, and stop charging for its bytes."""
        connection = end.key
        self.ended[end.ending.value] += 1
        self.server.end_holder(connection, end.ending)
        if connection in self.open_connections:
            self.store_charge(connection, connection.measure_charge())
        self.update_intake()

    def describe_holders(self) -> tuple[byte_budgets.Holder, ...]:
        """Return the connections that hold bytes and may be ended.

        A request that is being answered is ended only for output that is not
        read: it may run at an upstream.
        """
        return tuple(
            byte_budgets.Holder(
                connection,
                charge.held_bytes,
                connection.find_progress(),
                self.paused.get(connection),
            )
            for connection, charge in self.charges.items()
            if connection.is_receiving or charge.output
        )


def count_large_bytes(charge: Charge) -> int:
    """Return the bytes of a large holder, and none for a small one."""
    held_bytes = charge.held_bytes
    return held_bytes if byte_budgets.is_large(held_bytes) else 0
