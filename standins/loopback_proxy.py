"""Inject network faults between two processes.

Each link listens at an address and forwards to another one. Faults delay or
drop bytes, in one direction or both, and reset connections. A connection that
has dropped bytes drops all later ones from that side, also after the fault has
ended, like a connection over a lost network path. Otherwise the byte stream
would have a gap.
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
    """Hold the active faults of one link.

    Bytes from the sides in `silent` are dropped. `reset` resets all open
    connections once, `refuse` resets new ones.
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
    """Report bytes from one side; empty bytes mean the end of its input."""

    connection: int
    side: Side
    received: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionBroken(events.Event):
    """Report an error on one side of a connection."""

    connection: int


@dataclasses.dataclass(frozen=True, slots=True)
class Connect(effects.Effect):
    """Connect to the target of a link."""

    connection: int
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Forward(effects.Effect):
    """Write bytes from one side to the other one."""

    connection: int
    source: Side
    forwarded: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CloseConnection(effects.Effect):
    """Close both sides of a connection after pending output, or reset them."""

    connection: int
    reset: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardDue:
    """Forward the delayed bytes up to a number when their delay has elapsed."""

    connection: int
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Connection:
    """Hold a connection of a link, its silent sides and its delayed bytes.

    `count` is the number of delayed chunks so far; chunks are keyed by it.
    """

    link: str
    silent: frozenset[Side] = frozenset()
    delayed: immutables.Map[int, tuple[Side, bytes]] = immutables.Map()
    count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Hold the targets and faults of links by name, and open connections."""

    targets: immutables.Map[str, str]
    faults: immutables.Map[str, Faults] = immutables.Map()
    connections: immutables.Map[int, Connection] = immutables.Map()


Transition = transitions.Transition[State]
dispatch = reducers.build_dispatch()
reduce = dispatch.reduce


@dispatch.reduce.register(events.CallerRequested)
def set_faults(event: events.CallerRequested, state: State) -> Transition:
    """Replace the faults of a link, and reset its connections on request."""
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
    """Return the state without a connection."""
    return dataclasses.replace(
        state, connections=state.connections.delete(number)
    )


def put_connection(number: int, connection: Connection, state: State) -> State:
    """Return the state with a connection added or replaced."""
    return dataclasses.replace(
        state, connections=state.connections.set(number, connection)
    )


def get_faults(link: str, state: State) -> Faults:
    """Return the active faults of a link."""
    return state.faults.get(link, Faults(link))


@dispatch.reduce.register(ConnectionAccepted)
def accept_connection(event: ConnectionAccepted, state: State) -> Transition:
    """Connect a new connection to its target, or reset it."""
    if get_faults(event.link, state).refuse:
        refused = CloseConnection(event.connection, reset=True)
        return transitions.Transition(state, (refused,))
    return transitions.Transition(
        put_connection(event.connection, Connection(event.link), state),
        (Connect(event.connection, state.targets[event.link]),),
    )


@dispatch.reduce.register(BytesReceived)
def forward_received(event: BytesReceived, state: State) -> Transition:
    """Forward, delay or drop bytes as the faults of the link demand."""
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
    """Forward bytes; the end of one side closes the connection."""
    if received:
        return transitions.Transition(state, (Forward(number, side, received),))
    return transitions.Transition(
        remove_connection(number, state), (CloseConnection(number),)
    )


def delay_bytes(
    event: BytesReceived, connection: Connection, faults: Faults, state: State
) -> Transition:
    """Keep bytes until their delay has elapsed.

    Later bytes are kept as well, so that the order does not change.
    """
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
    """Forward the delayed bytes up to a number in the order of arrival."""
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
    """Close a broken connection unless it drops bytes.

    The error does not cross a link that drops bytes, as over a lost path.
    """
    connection = state.connections.get(event.connection)
    if connection is None or connection.silent:
        return transitions.Transition(state)
    return transitions.Transition(
        remove_connection(event.connection, state),
        (CloseConnection(event.connection),),
    )


def decode_faults(fields: dict[str, typing.Any]) -> Faults:
    """Return the faults in a decoded JSON object."""
    return Faults(
        fields['link'],
        fields.get('delay_seconds', 0),
        tuple(Side(side) for side in fields.get('silent', ())),
        fields.get('reset', False),
        fields.get('refuse', False),
    )
