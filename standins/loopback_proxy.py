"""Stand between two processes and disturb what they send each other.

Each link listens at an address and forwards to another. Bytes can be delayed,
dropped in one direction or both, and connections reset. A connection that
dropped bytes stays silent after the fault, as one behind a lost path does.
"""

import dataclasses
import enum
import typing

import immutables

from mustardvale.internal import effects, events, transitions
from standins import json_codec, reducers


class Side(enum.Enum):
    """Name the two ends of a connection."""

    CALLER = 'caller'
    TARGET = 'target'


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Hold the faults of one link.

    `silent` names the sides whose bytes are dropped. `reset` closes all open
    connections once, `refuse` closes new ones.
    """

    link: str
    delay_seconds: float = 0
    silent: tuple[Side, ...] = ()
    reset: bool = False
    refuse: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionAccepted(events.Event):
    """Report a new connection of a caller."""

    link: str
    connection: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BytesReceived(events.Event):
    """Report bytes of one side; no bytes mean that it has ended."""

    connection: int
    side: Side
    received: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionBroken(events.Event):
    """Report that one side of a connection broke."""

    connection: int


@dataclasses.dataclass(frozen=True, slots=True)
class Connect(effects.Effect):
    """Open the other side of a connection."""

    connection: int
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Forward(effects.Effect):
    """Write bytes of one side to the other one."""

    connection: int
    source: Side
    forwarded: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CloseConnection(effects.Effect):
    """Close both sides of a connection, or reset them at once."""

    connection: int
    reset: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardDue:
    """Forward bytes whose delay is over."""

    connection: int
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Connection:
    """Hold a connection, the sides that fell silent and delayed bytes."""

    link: str
    silent: frozenset[Side] = frozenset()
    delayed: immutables.Map[int, tuple[Side, bytes]] = immutables.Map()
    count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Hold where links lead, their faults and the open connections."""

    targets: immutables.Map[str, str]
    faults: immutables.Map[str, Faults] = immutables.Map()
    connections: immutables.Map[int, Connection] = immutables.Map()


Transition = transitions.Transition[State]
dispatch = reducers.build_dispatch()
reduce = dispatch.reduce


@dispatch.reduce.register(events.CallerRequested)
def set_faults(event: events.CallerRequested, state: State) -> Transition:
    """Switch the faults of a link, and reset connections if asked to."""
    request: Faults = event.request
    state = dataclasses.replace(
        state, faults=state.faults.set(request.link, request)
    )
    done = effects.Reply(event.request_id, json_codec.Done())
    if not request.reset:
        return transitions.Transition(state, (done,))
    reset = tuple(
        number
        for number, connection in state.connections.items()
        if connection.link == request.link
    )
    for number in reset:
        state = remove_connection(number, state)
    return transitions.Transition(
        state,
        (*(CloseConnection(number, reset=True) for number in reset), done),
    )


def remove_connection(number: int, state: State) -> State:
    """Forget a connection."""
    return dataclasses.replace(
        state, connections=state.connections.delete(number)
    )


def put_connection(number: int, connection: Connection, state: State) -> State:
    """Keep a changed connection."""
    return dataclasses.replace(
        state, connections=state.connections.set(number, connection)
    )


def get_faults(link: str, state: State) -> Faults:
    """Return the faults of a link."""
    return state.faults.get(link, Faults(link))


@dispatch.reduce.register(ConnectionAccepted)
def accept(event: ConnectionAccepted, state: State) -> Transition:
    """Open the other side of a new connection."""
    if get_faults(event.link, state).refuse:
        refused = CloseConnection(event.connection, reset=True)
        return transitions.Transition(state, (refused,))
    return transitions.Transition(
        put_connection(event.connection, Connection(event.link), state),
        (Connect(event.connection, state.targets[event.link]),),
    )


@dispatch.reduce.register(BytesReceived)
def forward_received(event: BytesReceived, state: State) -> Transition:
    """Forward bytes as the faults of the link allow."""
    connection = state.connections.get(event.connection)
    if connection is None:
        return transitions.Transition(state)
    faults = get_faults(connection.link, state)
    if event.side in faults.silent:
        connection = dataclasses.replace(
            connection, silent=connection.silent | {event.side}
        )
        state = put_connection(event.connection, connection, state)
    if event.side in connection.silent:
        return transitions.Transition(state)
    if faults.delay_seconds or connection.delayed:
        return delay_bytes(event, connection, faults, state)
    return forward_bytes(event.connection, event.side, event.received, state)


def forward_bytes(
    number: int, side: Side, received: bytes, state: State
) -> Transition:
    """Forward bytes, or the end of one side, which ends both."""
    if received:
        return transitions.Transition(state, (Forward(number, side, received),))
    return transitions.Transition(
        remove_connection(number, state), (CloseConnection(number),)
    )


def delay_bytes(
    event: BytesReceived, connection: Connection, faults: Faults, state: State
) -> Transition:
    """Keep bytes for a while; what comes later does not overtake them."""
    number = connection.count + 1
    kept = dataclasses.replace(
        connection,
        count=number,
        delayed=connection.delayed.set(number, (event.side, event.received)),
    )
    timer = ForwardDue(event.connection, number)
    return transitions.Transition(
        put_connection(event.connection, kept, state),
        (effects.SetTimer(timer, faults.delay_seconds),),
    )


@dispatch.on_timer.register(ForwardDue)
def forward_due(
    timer: ForwardDue, event: events.TimerFired, state: State
) -> Transition:
    """Forward all bytes up to those whose delay is over, in their order."""
    connection = state.connections.get(timer.connection)
    if connection is None:
        return transitions.Transition(state)
    due = sorted(
        number for number in connection.delayed if number <= timer.number
    )
    delayed = connection.delayed
    for number in due:
        delayed = delayed.delete(number)
    kept = dataclasses.replace(connection, delayed=delayed)
    return transitions.Transition(
        put_connection(timer.connection, kept, state)
    ).then_each(
        due,
        lambda number, next_state: forward_bytes(
            timer.connection, *connection.delayed[number], next_state
        ),
    )


@dispatch.reduce.register(ConnectionBroken)
def close_broken(event: ConnectionBroken, state: State) -> Transition:
    """Reset the side that is left, unless the link is silent."""
    connection = state.connections.get(event.connection)
    if connection is None or connection.silent:
        return transitions.Transition(state)
    return transitions.Transition(
        remove_connection(event.connection, state),
        (CloseConnection(event.connection),),
    )


def decode_faults(table: dict[str, typing.Any]) -> Faults:
    """Return the faults that a table names."""
    return Faults(
        table['link'],
        table.get('delay_seconds', 0),
        tuple(Side(side) for side in table.get('silent', ())),
        table.get('reset', False),
        table.get('refuse', False),
    )
