"""Track the entry instances by the instance list and heartbeats."""

import dataclasses
import functools
import typing

import immutables

from mustardvale.internal import (
    calls,
    effects,
    events,
    heartbeat_rings,
    limits,
    messages,
    reducer,
    suspects,
    timers,
    transitions,
    upstreams,
    withheld_shares,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

HEARTBEAT_PERIOD_SECONDS = 1.0
SUSPECT_AFTER_SECONDS = 3.0
ENTRY_POOL = 'entry'
# Dozens of upstreams leave together when a zone is drained. Each heartbeat
# reports at most this many of them; successive ones report them in rotation.
MAXIMUM_REPORTED_LEAVING = 16
# A heartbeat about leaving upstreams is delayed to batch several of them.
RELAY_DELAY_SECONDS = 0.1
# An instance that missed the return of a peer treats it as live after this.
SUSPICION_EXPIRY_SECONDS = 30.0

LIVE = 'live'
LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Describe this instance by its settings and the time of its start.

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
    """Describe another entry instance; times are monotonic.

    `heard_at` is the time of its last heartbeat, 0 if there was none. A peer
    with `is_watched` sends every heartbeat to this instance; at a large site
    only status changes of the other peers arrive. `suspected_at` is the time
    of the last report that its watchers do not hear it, 0 if there is none.
    `is_new` marks a peer that the instance list lacks, while its first
    heartbeat is handled.
    """

    listed: calls.ListedInstance
    heartbeat: messages.Heartbeat | None = None
    heard_at: float = 0
    is_watched: bool = True
    suspected_at: float = 0
    is_new: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """Hold the peers by instance id and the state of this instance."""

    list_address: str = ''
    own_state: str = LIVE
    peers: immutables.Map[str, Peer] = immutables.Map()
    ring: heartbeat_rings.Ring = heartbeat_rings.Ring()
    heartbeats_sent: int = 0


def with_membership(
    state: 'states.State',
    membership: Membership,
) -> 'states.State':
    """Return the state with the membership replaced."""
    return dataclasses.replace(state, membership=membership)


def with_peer(peer: Peer, state: 'states.State') -> 'states.State':
    """Return the state with a peer added or replaced.

    The ring is rebuilt if the peer is new.
    """
    membership = state.membership
    instance_id = peer.listed.instance_id
    ring = membership.ring
    peers = membership.peers.set(instance_id, peer)
    if instance_id not in membership.peers:
        ring = heartbeat_rings.build_ring((state.identity.instance_id, *peers))
    return with_membership(
        state,
        dataclasses.replace(membership, peers=peers, ring=ring),
    )


def is_live(peer: Peer, now: float) -> bool:
    """Return whether callers may be directed to a peer."""
    if peer.listed.state is not calls.ListedState.LIVE:
        return False
    if peer.heartbeat is not None and peer.heartbeat.state != LIVE:
        return False
    if peer.is_watched:
        return peer.heartbeat is not None and (
            now - peer.heard_at < SUSPECT_AFTER_SECONDS
        )
    return not is_suspected(peer, now)


def is_suspected(peer: Peer, now: float) -> bool:
    """Return whether a recent report says that a peer is not heard."""
    return peer.suspected_at > 0 and (
        now - peer.suspected_at < SUSPICION_EXPIRY_SECONDS
    )


def merge_entries(
    listed: tuple[calls.ListedInstance, ...],
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Merge the entry instances of the instance list into the membership."""
    rows = (*listed, *find_unlisted(listed, event.at, state))
    own_id = state.identity.instance_id
    ids = {own_id, *(row.instance_id for row in rows)}
    ring = state.membership.ring
    if ids != set(ring.ids):
        ring = heartbeat_rings.build_ring(ids)
    membership = dataclasses.replace(
        state.membership,
        peers=immutables.Map(
            {
                row.instance_id: merge_row(row, ring, state)
                for row in rows
                if row.instance_id != own_id
            }
        ),
        ring=ring,
    )
    addresses = tuple(
        sorted(peer.listed.peer_address for peer in membership.peers.values())
    )
    return transitions.Transition(
        with_membership(state, membership),
        (effects.ConnectPeers(addresses),),
    )


def find_unlisted(
    listed: tuple[calls.ListedInstance, ...],
    now: float,
    state: 'states.State',
) -> tuple[calls.ListedInstance, ...]:
    """Return the peers that are heard but not on the instance list."""
    listed_ids = {row.instance_id for row in listed}
    return tuple(
        peer.listed
        for instance_id, peer in state.membership.peers.items()
        if instance_id not in listed_ids
        and peer.heartbeat is not None
        and now - peer.heard_at < SUSPECT_AFTER_SECONDS
    )


def merge_row(
    row: calls.ListedInstance,
    ring: heartbeat_rings.Ring,
    state: 'states.State',
) -> Peer:
    """Return a peer updated by its row of the instance list."""
    known = state.membership.peers.get(row.instance_id)
    if known is not None and ring is state.membership.ring:
        return dataclasses.replace(known, listed=row)
    targets = heartbeat_rings.find_targets(row.instance_id, ring)
    return dataclasses.replace(
        known or Peer(row),
        listed=row,
        is_watched=state.identity.instance_id in targets,
    )


@reducer.on_timer.register(timers.HeartbeatDue)
def send_heartbeats(
    timer: timers.HeartbeatDue,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Send a heartbeat to this instance's targets on the ring."""
    state = update_limit_shares(event.at, state).state
    updated_limits = limits.update_reported_demand(event.at, state.limits)
    state = dataclasses.replace(state, limits=updated_limits)
    state = suspects.prune_losses(event.at, event.wall_time, state)
    membership = dataclasses.replace(
        state.membership,
        heartbeats_sent=state.membership.heartbeats_sent + 1,
    )
    state = with_membership(state, membership)
    rearm = effects.SetTimer(timer, HEARTBEAT_PERIOD_SECONDS)
    heartbeats = send_to_targets(build_heartbeat(state), state)
    return transitions.Transition(state, (*heartbeats, rearm))


def send_to_targets(
    message: messages.PeerMessage,
    state: 'states.State',
) -> tuple[effects.Effect, ...]:
    """Return the effects that send a message to this instance's targets."""
    membership = state.membership
    targets = heartbeat_rings.find_targets(
        state.identity.instance_id, membership.ring
    )
    return tuple(
        effects.SendToPeer(
            membership.peers[target].listed.peer_address,
            message,
        )
        for target in targets
    )


def build_heartbeat(state: 'states.State') -> messages.Heartbeat:
    """Build the heartbeat that describes this instance to its peers."""
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
        usage=limits.build_usage_report(state.limits),
        leaving_upstreams=find_reported_leaving(state),
        beat=state.membership.heartbeats_sent,
        suspects=suspects.build_report(state),
    )


def find_reported_leaving(state: 'states.State') -> tuple[str, ...]:
    """Return leaving upstreams that the instance list still shows as live.

    If there are more than `MAXIMUM_REPORTED_LEAVING`, successive heartbeats
    report them in rotation.
    """
    leaving_ids = sorted(
        instance_id
        for instance_id, upstream in state.upstreams.by_id.items()
        if upstream.is_leaving
        and upstream.listed.state is calls.ListedState.LIVE
    )
    if len(leaving_ids) <= MAXIMUM_REPORTED_LEAVING:
        return tuple(leaving_ids)
    first = (
        state.membership.heartbeats_sent
        * MAXIMUM_REPORTED_LEAVING
        % len(leaving_ids)
    )
    return tuple(
        (leaving_ids + leaving_ids)[first : first + MAXIMUM_REPORTED_LEAVING]
    )


@reducer.on_peer_message.register(messages.Heartbeat)
def handle_heartbeat(
    message: messages.Heartbeat,
    event: events.PeerMessageReceived,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Store the heartbeat of a peer, which may not be listed yet.

    At a large site a change of status is relayed to this instance's targets,
    since most peers do not receive the heartbeats of the sender.
    """
    if message.instance_id == state.identity.instance_id:
        return transitions.Transition(state)
    known = state.membership.peers.get(message.instance_id)
    if known is None:
        known = build_unlisted_peer(message, state)
    if not is_newer(message, known):
        return transitions.Transition(state)
    peer = dataclasses.replace(
        known,
        heartbeat=message,
        heard_at=event.at,
        suspected_at=0,
        is_new=False,
    )
    relayed: tuple[effects.Effect, ...] = ()
    updated_limits = limits.merge_usage_report(
        message.instance_id,
        message.usage,
        event.at,
        state.limits,
    )
    state = dataclasses.replace(with_peer(peer, state), limits=updated_limits)
    if is_status_change(message, known) and not heartbeat_rings.is_full_mesh(
        state.membership.ring
    ):
        relayed = send_to_targets(message, state)
    return (
        merge_leaving_upstreams(message, state)
        .then(
            functools.partial(
                suspects.merge_report, message.suspects, event.wall_time
            )
        )
        .with_effects(*relayed)
    )


def build_unlisted_peer(
    message: messages.Heartbeat, state: 'states.State'
) -> Peer:
    """Build a peer that is not listed yet from its heartbeat."""
    # Before the first instance list the ring also lacks this instance.
    ring_ids = {
        *state.membership.ring.ids,
        state.identity.instance_id,
        message.instance_id,
    }
    targets = heartbeat_rings.find_targets(
        message.instance_id, heartbeat_rings.build_ring(ring_ids)
    )
    is_watched = state.identity.instance_id in targets
    return Peer(build_row(message), is_watched=is_watched, is_new=True)


def is_newer(message: messages.Heartbeat, known: Peer) -> bool:
    """Return whether a heartbeat was sent after the last known one."""
    if known.heartbeat is None:
        return True
    return (message.incarnation, message.beat) > (
        known.heartbeat.incarnation,
        known.heartbeat.beat,
    )


def is_status_change(message: messages.Heartbeat, known: Peer) -> bool:
    """Return whether a heartbeat changes the status of its sender.

    A peer that is listed as live counts as live without a heartbeat.
    """
    if known.suspected_at or known.is_new:
        return True
    if known.heartbeat is None:
        return message.state != known.listed.state.value
    return (known.heartbeat.incarnation, known.heartbeat.state) != (
        message.incarnation,
        message.state,
    )


def merge_leaving_upstreams(
    message: messages.Heartbeat,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Merge the leaving upstreams that a peer reports.

    New ones are passed on with a heartbeat after `RELAY_DELAY_SECONDS`.
    """
    by_id = state.upstreams.by_id
    new_ids = tuple(
        instance_id
        for instance_id in message.leaving_upstreams
        if instance_id in by_id and not by_id[instance_id].is_leaving
    )
    if not new_ids:
        return transitions.Transition(state)
    early_heartbeat = effects.SetTimer(
        timers.HeartbeatDue(), RELAY_DELAY_SECONDS
    )
    return transitions.Transition(
        upstreams.mark_leaving_ids(new_ids, state),
        (early_heartbeat,),
    )


def update_limit_shares(
    now: float,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Adapt the shares of the rate limits to the known peers."""
    known = frozenset(state.membership.peers.keys())
    updated = withheld_shares.update_peers(known, now, state.limits)
    return transitions.Transition(dataclasses.replace(state, limits=updated))


def build_row(message: messages.Heartbeat) -> calls.ListedInstance:
    """Build the row of a peer that the instance list does not show yet."""
    return calls.ListedInstance(
        instance_id=message.instance_id,
        pool=ENTRY_POOL,
        address=message.address,
        availability_zone=message.availability_zone,
        region=message.region,
        peer_address=message.peer_address,
    )
