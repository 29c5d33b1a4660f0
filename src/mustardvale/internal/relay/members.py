"""Maintain this instance's membership and the lists of other instances.

The instances of each zone form a consumer group in the platform's store, and
the readers of all zones form another one. A change in one zone is therefore
noticed by the instances of that zone only, and what an instance knows grows
with its zone. The groups have more partitions than members, so that the owners
of the partitions are all the members. The owner of the first partition of the
readers' group is the leader and the only instance that sends orders to runners.
"""

import dataclasses
import typing
import zlib
from collections import abc

from mustardvale.internal import addresses, effects, events, transitions
from mustardvale.internal.relay import calls, instance_settings, reducer, timers
from mustardvale.internal.relay import effects as relay_effects

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

# With two readers, the loss of one affects its followers only briefly.
READERS_PER_ZONE = 2
JOIN_PERIOD_SECONDS = 0.7
MEMBERSHIP_LIFETIME_SECONDS = 2.1
ANSWER_TIMEOUT_SECONDS = 1.0
SEPARATOR = '|'
MEMBER_FIELD_COUNT = 5
READER_GROUP = ''
# Callers of a zone with fewer other instances also get those of other zones, so
# that the loss of a few instances leaves them enough.
MINIMUM_ZONE_MEMBERS = 8
# A new member is listed once it owns partitions. It gets them after their owner
# has joined twice more and the new member once.
HANDOVER_SECONDS = 2.4
# Callers know instances that have joined once they have asked for the addresses
# again.
REBALANCE_DELAY_SECONDS = 1.0
# Number of instances assumed until they are listed. High, because a share of a
# limit that is too small for a while does less harm than one that is too large.
ASSUMED_INSTANCE_COUNT = 8
# Number of zones assumed until the readers of the other zones are known.
ASSUMED_ZONE_COUNT = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Describe an instance.

    `front` is its address for callers and `peers` that for other instances.
    """

    instance_id: str
    front: str
    availability_zone: str
    region: str
    peers: str


@dataclasses.dataclass(frozen=True, slots=True)
class GroupState:
    """Hold the generation of a group and its members as last listed.

    `listed_generation` is the generation of that list, or -1 before the first,
    and `listed_at` the time at which it was requested from the store.
    `is_joined` is true from the first join until this instance leaves.
    Joins sent before `settled_at` grant nothing: one that was sent then has
    been answered, or this instance has left.
    """

    generation: int = 0
    listed_generation: int = -1
    listed: tuple[Member, ...] = ()
    generation_changed_at: float = 0.0
    listed_at: float = 0.0
    settled_at: float = 0.0
    is_joined: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class MemberState:
    """Hold the group of this instance's zone and that of all readers.

    `leader_until` is when leadership ends unless it is renewed; it counts from
    the time at which the renewal was sent. `checksum` is that of both lists, and
    `first_joined_at` is when this process last asked to join before the store
    first answered, or a reader first passed on a list.
    """

    zone: GroupState = GroupState()
    readers: GroupState = GroupState()
    leader_until: float = 0.0
    checksum: int = 0
    is_failing: bool = False
    first_joined_at: float | None = None


def encode_member(identity: instance_settings.Identity) -> str:
    """Return the member name of an instance, which holds its addresses."""
    return format_member(
        Member(
            identity.instance_id,
            identity.addresses.front,
            identity.availability_zone,
            identity.region,
            identity.addresses.peers,
        )
    )


def format_member(member: Member) -> str:
    """Return the name that describes a member."""
    return SEPARATOR.join(
        (
            member.instance_id,
            member.front,
            member.availability_zone,
            member.region,
            member.peers,
        )
    )


def format_members(listed: tuple[Member, ...]) -> tuple[str, ...]:
    """Return the names of members."""
    return tuple(map(format_member, listed))


def decode_member(name: str) -> Member | None:
    """Return the member that a name describes, or `None` for other formats."""
    fields = name.split(SEPARATOR)
    if len(fields) != MEMBER_FIELD_COUNT:
        return None
    member = Member(*fields)
    is_reachable = addresses.is_address(member.front) and addresses.is_address(
        member.peers
    )
    return member if is_reachable else None


def decode_members(names: abc.Iterable[str]) -> tuple[Member, ...]:
    """Return the members with names of the right format, ordered by id."""
    decoded = {decode_member(name) for name in names}
    return tuple(
        sorted(
            (member for member in decoded if member is not None),
            key=lambda member: member.instance_id,
        )
    )


def count_instances(state: 'states.State') -> int:
    """Return the estimated number of instances, including this one.

    A limit for all instances is shared evenly by the zones, and by the
    instances of each zone. The estimate is the number of shares of the size of
    this instance's share, so that the shares of all instances add up to 1 even
    where the zones have different numbers of instances.
    """
    known = state.members
    if known.zone.listed_generation < 0:
        return ASSUMED_INSTANCE_COUNT
    own = state.identity.instance_id
    others = sum(member.instance_id != own for member in known.zone.listed)
    return (others + 1) * count_zones(state)


def count_zones(state: 'states.State') -> int:
    """Return the number of zones with instances."""
    known = state.members.readers
    if known.listed_generation < 0:
        return ASSUMED_ZONE_COUNT
    zones = {member.availability_zone for member in known.listed}
    return len(zones | {state.identity.availability_zone})


def list_zone_readers(state: 'states.State') -> tuple[Member, ...]:
    """Return the readers of this instance's zone."""
    return state.members.zone.listed[:READERS_PER_ZONE]


def is_reader(state: 'states.State') -> bool:
    """Return whether this instance is a reader of its zone."""
    own = state.identity.instance_id
    return any(member.instance_id == own for member in list_zone_readers(state))


def is_leader(state: 'states.State', now: float) -> bool:
    """Return whether this instance may send orders to runners."""
    return state.stopping is None and now < state.members.leader_until


def list_other_addresses(state: 'states.State') -> tuple[str, ...]:
    """Return the front addresses of other instances.

    The list begins after this instance in the order of ids. Where not all
    addresses fit in an answer, the answers of all instances together name each
    instance equally often.
    """
    own_id = state.identity.instance_id
    own_zone = state.identity.availability_zone
    zone_members = state.members.zone.listed
    later = [member for member in zone_members if member.instance_id > own_id]
    earlier = [member for member in zone_members if member.instance_id < own_id]
    chosen = later + earlier
    if len(chosen) < MINIMUM_ZONE_MEMBERS:
        chosen += [
            member
            for member in state.members.readers.listed
            if member.availability_zone != own_zone
        ]
    return tuple(member.front for member in chosen)


def find_group(zone: str, known: MemberState) -> GroupState:
    """Return the state of the group with a zone, or of the readers."""
    return known.zone if zone else known.readers


def replace_group(
    zone: str, group: GroupState, state: 'states.State'
) -> 'states.State':
    """Store the state of a group, and the checksum of both lists."""
    known = state.members
    changed = (
        dataclasses.replace(known, zone=group)
        if zone
        else dataclasses.replace(known, readers=group)
    )
    if group.listed is not find_group(zone, known).listed:
        changed = dataclasses.replace(
            changed, checksum=compute_checksum(changed)
        )
    return dataclasses.replace(state, members=changed)


def compute_checksum(known: MemberState) -> int:
    """Return a checksum of the members of both groups."""
    names = (
        *format_members(known.zone.listed),
        READER_GROUP,
        *format_members(known.readers.listed),
    )
    return zlib.crc32('\n'.join(names).encode())


def renew_memberships(state: 'states.State', now: float) -> reducer.Transition:
    """Join the group of the zone, and that of the readers as one of them.

    An instance that is no longer a reader leaves the readers.
    """
    zone = state.members.zone
    # A list that a reader has passed on settles like one of the store.
    if not zone.generation and zone.listed_generation < 0:
        state = dataclasses.replace(
            state,
            members=dataclasses.replace(state.members, first_joined_at=now),
        )
    renewed = send_join(state.identity.availability_zone, now, state)
    if is_reader(state):
        renewed = renewed.then(
            lambda current: send_join(READER_GROUP, now, current)
        )
    elif state.members.readers.is_joined:
        renewed = renewed.then(lambda current: leave_readers(now, current))
    return renewed.with_effects(
        effects.SetTimer(timers.MembershipRenewalDue(), JOIN_PERIOD_SECONDS)
    )


def send_join(
    zone: str, now: float, state: 'states.State'
) -> reducer.Transition:
    """Send a request to join a group, or to renew the membership."""
    group = find_group(zone, state.members)
    call = calls.JoinMembers(
        zone,
        encode_member(state.identity),
        MEMBERSHIP_LIFETIME_SECONDS,
        group.generation,
        requested_at=now,
    )
    joining = dataclasses.replace(group, is_joined=True)
    return transitions.Transition(
        replace_group(zone, joining, state), (build_call(call, state),)
    )


def leave_readers(now: float, state: 'states.State') -> reducer.Transition:
    """Give up the leadership, and leave the group of the readers."""
    left = dataclasses.replace(
        state.members.readers, is_joined=False, settled_at=now
    )
    known = dataclasses.replace(state.members, readers=left, leader_until=0.0)
    call = calls.LeaveMembers(READER_GROUP, encode_member(state.identity))
    return transitions.Transition(
        dataclasses.replace(state, members=known), (build_call(call, state),)
    )


def leave_groups(state: 'states.State') -> tuple[effects.Effect, ...]:
    """Return the effects that leave all groups before a stop."""
    name = encode_member(state.identity)
    zones = [state.identity.availability_zone]
    if state.members.readers.is_joined:
        zones.append(READER_GROUP)
    return tuple(
        build_call(calls.LeaveMembers(zone, name), state) for zone in zones
    )


def build_call(call: typing.Any, state: 'states.State') -> effects.Effect:
    """Return the effect of a call to the store."""
    return effects.Call(
        call, state.identity.addresses.store, ANSWER_TIMEOUT_SECONDS
    )


@reducer.on_timer.register(timers.MembershipRenewalDue)
def handle_renewal_timer(
    timer: timers.MembershipRenewalDue,
    event: events.TimerFired,
    state: 'states.State',
) -> reducer.Transition:
    """Renew the memberships, or only list the others while stopping."""
    if state.stopping is None:
        return renew_memberships(state, event.at)
    return list_remaining(timer, event.at, state)


def list_remaining(
    timer: timers.MembershipRenewalDue, now: float, state: 'states.State'
) -> reducer.Transition:
    """List the other instances again while this one is stopping.

    On a small site they may all stop at the same time, and then this instance
    accepts requests for longer. On a large one that does not happen, and lists
    for each stopping instance would be many.
    """
    zone = state.identity.availability_zone
    if len(state.members.zone.listed) > MINIMUM_ZONE_MEMBERS:
        return transitions.Transition(state)
    return transitions.Transition(
        state,
        (
            request_list(zone, now, state),
            request_list(READER_GROUP, now, state),
            effects.SetTimer(timer, JOIN_PERIOD_SECONDS),
        ),
    )


@reducer.on_answer.register(calls.JoinMembers)
def handle_join(
    call: calls.JoinMembers, event: events.CallAnswered, state: 'states.State'
) -> reducer.Transition:
    """Store the generation and the leadership; list the members if due."""
    if not isinstance(event.answer, calls.MembersJoined):
        return record_failure(f'status {event.answer.status}', state)
    group = find_group(call.zone, state.members)
    if group.generation != event.answer.generation:
        group = dataclasses.replace(
            group,
            generation=event.answer.generation,
            generation_changed_at=event.at,
        )
    joined = record_leadership(
        call, event.answer, event.at, replace_group(call.zone, group, state)
    )
    if not is_member_list_due(call.zone, event.at, joined.state):
        return joined
    return joined.with_effects(request_list(call.zone, event.at, joined.state))


def request_list(
    zone: str, now: float, state: 'states.State'
) -> effects.Effect:
    """Return the effect of a request for the members of a group."""
    return build_call(calls.ListMembers(zone, now), state)


def record_leadership(
    call: calls.JoinMembers,
    answer: calls.MembersJoined,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Store whether this instance leads the readers, and log a change."""
    known = dataclasses.replace(state.members, is_failing=False)
    group = known.readers
    if call.zone or not group.is_joined or is_outdated(call, answer, group):
        # A late answer after leaving the readers grants nothing.
        return transitions.Transition(dataclasses.replace(state, members=known))
    leader_until = 0.0
    # Another instance may hold the right that an earlier copy of the store has
    # granted.
    is_granted = answer.is_leader and now >= state.store_copy.rights_from
    if is_granted:
        leader_until = call.requested_at + MEMBERSHIP_LIFETIME_SECONDS
    log_effects: tuple[effects.Effect, ...] = ()
    if is_granted != (known.leader_until > now):
        log_effects = (
            relay_effects.LogDecision(
                'order_right_changed',
                (
                    ('held', is_granted),
                    ('generation', answer.generation),
                ),
            ),
        )
    settled = dataclasses.replace(
        group, settled_at=max(group.settled_at, call.requested_at)
    )
    led = dataclasses.replace(known, readers=settled, leader_until=leader_until)
    return transitions.Transition(
        dataclasses.replace(state, members=led), log_effects
    )


def is_outdated(
    call: calls.JoinMembers, answer: calls.MembersJoined, group: GroupState
) -> bool:
    """Return whether an answer grants what a later one may have taken away.

    An answer that grants nothing counts whenever it arrives, because the store
    may have handled its join last.
    """
    return answer.is_leader and call.requested_at < group.settled_at


def is_member_list_due(zone: str, now: float, state: 'states.State') -> bool:
    """Return whether to list the members of a group again.

    They are listed when the generation changes, and once more after the time
    in which all partitions have been handed over. A list that is not answered
    is requested again. A follower receives the lists from its reader. After a
    restore of the store, the members have to join again before a list has them.
    """
    group = find_group(zone, state.members)
    if group.listed_generation >= 0 and now < state.store_copy.lists_from:
        return False
    if state.peer_feed.reader_id and group.listed_generation >= 0:
        return False
    if group.listed_generation != group.generation:
        return True
    handed_over_at = group.generation_changed_at + HANDOVER_SECONDS
    return group.listed_at < handed_over_at <= now


@reducer.on_answer.register(calls.ListMembers)
def handle_member_list(
    call: calls.ListMembers, event: events.CallAnswered, state: 'states.State'
) -> reducer.Transition:
    """Store the listed members; a new reader joins the readers at once.

    Until it knows the readers, it assumes that limits are shared by many zones.
    """
    if not isinstance(event.answer, calls.MembersListed):
        return record_failure(f'status {event.answer.status}', state)
    group = find_group(call.zone, state.members)
    if call.requested_at < group.listed_at:
        # An older list may lack members that are known.
        return transitions.Transition(state)
    listed = dataclasses.replace(group, listed_at=call.requested_at)
    recorded = record_members(
        call.zone,
        event.answer.members,
        replace_group(call.zone, listed, state),
    )
    known = recorded.state
    if known.members.readers.is_joined or known.stopping is not None:
        return recorded
    if not is_reader(known):
        return recorded
    return recorded.then(
        lambda current: send_join(READER_GROUP, event.at, current)
    )


def record_members(
    zone: str, names: tuple[str, ...], state: 'states.State'
) -> reducer.Transition:
    """Store the members of a group, and log a change."""
    group = find_group(zone, state.members)
    listed = decode_members(names)
    is_changed = listed != group.listed
    known = dataclasses.replace(
        group,
        listed=listed if is_changed else group.listed,
        listed_generation=group.generation,
    )
    next_state = replace_group(zone, known, state)
    if not is_changed:
        return transitions.Transition(next_state)
    return transitions.Transition(
        next_state,
        (
            *rebalance_callers(state, next_state),
            effects.SetGauge('members', count_instances(next_state)),
            relay_effects.LogDecision(
                'members_changed',
                (
                    ('group', zone or 'readers'),
                    ('generation', known.generation),
                    ('members', [member.instance_id for member in listed]),
                ),
            ),
        ),
    )


def rebalance_callers(
    before: 'states.State', state: 'states.State'
) -> tuple[effects.Effect, ...]:
    """Return the effect that sends callers to instances that have joined.

    Callers keep their connections, so that the instances that were there first
    would keep all the load.
    """
    known_count = 1 + len(list_other_addresses(before))
    count = 1 + len(list_other_addresses(state))
    if count <= known_count or state.stopping is not None:
        return ()
    share = (count - known_count) / count
    return (relay_effects.RebalanceCallers(share, REBALANCE_DELAY_SECONDS),)


@reducer.on_failure.register(calls.JoinMembers)
@reducer.on_failure.register(calls.ListMembers)
def handle_failure(
    call: typing.Any, event: events.CallFailed, state: 'states.State'
) -> reducer.Transition:
    """Record that the store did not answer."""
    return record_failure(event.failure.kind.value, state)


def record_failure(problem: str, state: 'states.State') -> reducer.Transition:
    """Count a failed call, and log the first; the known members stay."""
    count_effect = effects.Count('store_failures', ('members',))
    if state.members.is_failing:
        return transitions.Transition(state, (count_effect,))
    failing = dataclasses.replace(state.members, is_failing=True)
    return transitions.Transition(
        dataclasses.replace(state, members=failing),
        (
            count_effect,
            relay_effects.LogDecision(
                'store_lost', (('what', 'members'), ('problem', problem))
            ),
        ),
    )


@reducer.on_answer.register(calls.LeaveMembers)
@reducer.on_failure.register(calls.LeaveMembers)
def handle_leave(
    call: calls.LeaveMembers, event: events.Event, state: 'states.State'
) -> reducer.Transition:
    """Ignore the result: the membership expires if the call failed."""
    return transitions.Transition(state)
