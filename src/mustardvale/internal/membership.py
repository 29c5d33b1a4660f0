"""Keep what is known of the entry instances."""

import dataclasses
from typing import TYPE_CHECKING

import immutables

from mustardvale.internal import (
    calls,
    effects,
    events,
    limits,
    messages,
    reducer,
    suspects,
    timers,
    transitions,
    upstreams,
    withheld_shares,
)

if TYPE_CHECKING:
    from mustardvale.internal import state as states

LIST_PERIOD_SECONDS = 1.0
LIST_TIMEOUT_SECONDS = 3.0
HEARTBEAT_PERIOD_SECONDS = 1.0
SUSPECT_SECONDS = 3.0
ENTRY_POOL = 'entry'

LIVE = 'live'
LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Describe this instance; all of it comes from its settings.

    `incarnation` is the wall time of the start in milliseconds.
    """

    instance_id: str
    address: str
    peer_address: str
    availability_zone: str
    region: str = ''
    incarnation: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Describe another entry instance.

    `heard_at` is the monotonic time of its last heartbeat, 0 if none came.
    """

    listed: calls.ListedInstance
    heartbeat: messages.Heartbeat | None = None
    heard_at: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """Hold the peers by instance id and the state of this instance."""

    list_address: str = ''
    own_state: str = LIVE
    peers: immutables.Map[str, Peer] = immutables.Map()


def with_membership(
    state: 'states.State',
    membership: Membership,
) -> 'states.State':
    """Replace the part of the state that this module owns."""
    return dataclasses.replace(state, membership=membership)


def is_live(peer: Peer, now: float) -> bool:
    """Return whether callers may be sent to a peer."""
    heartbeat = peer.heartbeat
    return (
        heartbeat is not None
        and heartbeat.state == LIVE
        and peer.listed.state is calls.ListedState.LIVE
        and now - peer.heard_at < SUSPECT_SECONDS
    )


@reducer.on_timer.register(timers.ListDue)
def ask_list(
    timer: timers.ListDue,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Ask for the instance list."""
    call = effects.Call(
        calls.ListInstances(),
        state.membership.list_address,
        LIST_TIMEOUT_SECONDS,
    )
    return transitions.Transition(state, (call,))


@reducer.on_answer.register(calls.ListInstances)
def take_list(
    call: calls.ListInstances,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Merge the instance list and ask again after the period."""
    again = effects.SetTimer(timers.ListDue(), LIST_PERIOD_SECONDS)
    if not isinstance(event.answer, calls.InstancesListed):
        count = effects.Count('list_failures')
        return transitions.Transition(state, (again, count))
    rows = event.answer.instances
    entries = tuple(row for row in rows if row.pool == ENTRY_POOL)
    others = tuple(row for row in rows if row.pool != ENTRY_POOL)
    return (
        take_entries(entries, state)
        .then(lambda now: follow_limits(event.at, now))
        .then(lambda now: upstreams.take_listed(others, event, now))
        .with_effects(again)
    )


@reducer.on_failure.register(calls.ListInstances)
def take_list_failure(
    call: calls.ListInstances,
    event: events.CallFailed,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Keep the last list and ask again after the period."""
    again = effects.SetTimer(timers.ListDue(), LIST_PERIOD_SECONDS)
    return transitions.Transition(
        state,
        (again, effects.Count('list_failures')),
    )


def take_entries(
    rows: tuple[calls.ListedInstance, ...],
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Merge the rows of the instance list that are entry instances."""
    known = state.membership.peers
    peers = immutables.Map(
        {
            row.instance_id: dataclasses.replace(
                known.get(row.instance_id, Peer(row)),
                listed=row,
            )
            for row in rows
            if row.instance_id != state.identity.instance_id
        }
    )
    membership = dataclasses.replace(state.membership, peers=peers)
    addresses = tuple(
        sorted(peer.listed.peer_address for peer in peers.values())
    )
    return transitions.Transition(
        with_membership(state, membership),
        (effects.ConnectPeers(addresses),),
    )


@reducer.on_timer.register(timers.HeartbeatDue)
def send_heartbeats(
    timer: timers.HeartbeatDue,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Send a heartbeat to every peer."""
    state = follow_limits(event.at, state).state
    reported = limits.report(event.at, state.limits)
    state = dataclasses.replace(state, limits=reported)
    state = suspects.prune(event.at, event.wall, state)
    heartbeat = build_heartbeat(state)
    sends = tuple(
        effects.SendToPeer(peer.listed.peer_address, heartbeat)
        for peer in state.membership.peers.values()
    )
    again = effects.SetTimer(timer, HEARTBEAT_PERIOD_SECONDS)
    return transitions.Transition(state, (*sends, again))


def build_heartbeat(state: 'states.State') -> messages.Heartbeat:
    """Describe this instance to its peers."""
    identity = state.identity
    configuration = state.configuration
    return messages.Heartbeat(
        instance_id=identity.instance_id,
        incarnation=identity.incarnation,
        address=identity.address,
        peer_address=identity.peer_address,
        availability_zone=identity.availability_zone,
        region=identity.region,
        state=state.membership.own_state,
        environment=configuration.environment,
        document_version=configuration.applied_version,
        document_offset=configuration.promoted.offset,
        in_force_since=configuration.in_force_since,
        usage=limits.usage(state.limits),
        suspects=suspects.report(state),
    )


@reducer.on_peer_message.register(messages.Heartbeat)
def take_heartbeat(
    message: messages.Heartbeat,
    event: events.PeerMessageReceived,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Keep the heartbeat of a peer, also of one that is not listed yet."""
    known = state.membership.peers.get(message.instance_id)
    if known is None:
        known = Peer(to_row(message))
    elif known.heartbeat is not None and (
        known.heartbeat.incarnation > message.incarnation
    ):
        return transitions.Transition(state)
    peer = dataclasses.replace(known, heartbeat=message, heard_at=event.at)
    peers = state.membership.peers.set(message.instance_id, peer)
    membership = dataclasses.replace(state.membership, peers=peers)
    heard = limits.hear(
        message.instance_id,
        message.usage,
        event.at,
        state.limits,
    )
    state = dataclasses.replace(state, limits=heard)
    state = with_membership(state, membership)
    return suspects.hear(message.suspects, event.wall, state)


def follow_limits(
    now: float,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Divide the limits by the peers that are known now."""
    known = frozenset(state.membership.peers.keys())
    followed = withheld_shares.follow(known, now, state.limits)
    return transitions.Transition(dataclasses.replace(state, limits=followed))


def to_row(message: messages.Heartbeat) -> calls.ListedInstance:
    """Describe a peer that joined before the instance list shows it."""
    return calls.ListedInstance(
        instance_id=message.instance_id,
        pool=ENTRY_POOL,
        address=message.address,
        availability_zone=message.availability_zone,
        region=message.region,
        peer_address=message.peer_address,
    )
