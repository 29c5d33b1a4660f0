"""Maintain this instance's membership and the list of instances.

Each instance periodically joins one consumer group of the platform's store. The
group has more partitions than there are instances, so that the owners of its
partitions are all the instances. The owner of the first partition is the leader
and the only instance that sends orders to runners.
"""

import dataclasses
import typing

from mustardvale.internal import effects, events, transitions
from mustardvale.internal.relay import calls, instance_settings, reducer, timers
from mustardvale.internal.relay import effects as relay_effects

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

JOIN_PERIOD_SECONDS = 0.7
MEMBERSHIP_LIFETIME_SECONDS = 2.1
ANSWER_TIMEOUT_SECONDS = 1.0
SEPARATOR = '|'
MEMBER_FIELD_COUNT = 5
# A new member is listed once it owns partitions. It gets them after their owner
# has joined twice more and the new member once.
HANDOVER_SECONDS = 2.4
# Number of instances assumed until they are listed. High, because a share of a
# limit that is too small for a while does less harm than one that is too large.
ASSUMED_INSTANCE_COUNT = 8


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
class MemberState:
    """Hold the group's generation and its members as last listed.

    `listed_generation` is the generation of that list, or -1 before the first.
    `leader_until` is when leadership ends unless it is renewed; it counts from
    the time at which the renewal was sent.
    """

    generation: int = 0
    listed_generation: int = -1
    listed: tuple[Member, ...] = ()
    generation_changed_at: float = 0.0
    list_requested_at: float = 0.0
    join_requested_at: float = 0.0
    leader_until: float = 0.0
    is_failing: bool = False


def encode_member(identity: instance_settings.Identity) -> str:
    """Return the member name of an instance, which holds its addresses."""
    return SEPARATOR.join(
        (
            identity.instance_id,
            identity.addresses.front,
            identity.availability_zone,
            identity.region,
            identity.addresses.peers,
        )
    )


def decode_member(name: str) -> Member | None:
    """Return the member that a name describes, or `None` for other formats."""
    fields = name.split(SEPARATOR)
    return Member(*fields) if len(fields) == MEMBER_FIELD_COUNT else None


def count_instances(state: 'states.State') -> int:
    """Return the number of instances, including this one."""
    if state.members.listed_generation < 0:
        return ASSUMED_INSTANCE_COUNT
    own = state.identity.instance_id
    others = sum(member.instance_id != own for member in state.members.listed)
    return others + 1


def is_leader(state: 'states.State', now: float) -> bool:
    """Return whether this instance may send orders to runners."""
    return state.stopping is None and now < state.members.leader_until


def send_join(state: 'states.State', now: float) -> reducer.Transition:
    """Send a request to join the group, or to renew the membership."""
    joining = dataclasses.replace(state.members, join_requested_at=now)
    call = calls.JoinMembers(
        encode_member(state.identity),
        MEMBERSHIP_LIFETIME_SECONDS,
        state.members.generation,
    )
    return transitions.Transition(
        dataclasses.replace(state, members=joining),
        (
            effects.Call(
                call, state.identity.addresses.store, ANSWER_TIMEOUT_SECONDS
            ),
            effects.SetTimer(
                timers.MembershipRenewalDue(), JOIN_PERIOD_SECONDS
            ),
        ),
    )


@reducer.on_timer.register(timers.MembershipRenewalDue)
def renew_membership(
    timer: timers.MembershipRenewalDue,
    event: events.TimerFired,
    state: 'states.State',
) -> reducer.Transition:
    """Renew the membership unless this instance is stopping."""
    if state.stopping is not None:
        return transitions.Transition(state)
    return send_join(state, event.at)


@reducer.on_answer.register(calls.JoinMembers)
def handle_join(
    call: calls.JoinMembers, event: events.CallAnswered, state: 'states.State'
) -> reducer.Transition:
    """Store the generation and the leadership; list the members if due."""
    if not isinstance(event.answer, calls.MembersJoined):
        return record_failure(f'status {event.answer.status}', state)
    known = state.members
    leader_until = 0.0
    if event.answer.is_leader:
        leader_until = known.join_requested_at + MEMBERSHIP_LIFETIME_SECONDS
    log_effects: tuple[effects.Effect, ...] = ()
    if event.answer.is_leader != (known.leader_until > event.at):
        log_effects = (
            relay_effects.LogDecision(
                'order_right_changed',
                (
                    ('held', event.answer.is_leader),
                    ('generation', event.answer.generation),
                ),
            ),
        )
    has_changed = event.answer.generation != known.generation
    joined = dataclasses.replace(
        known,
        generation=event.answer.generation,
        generation_changed_at=event.at
        if has_changed
        else known.generation_changed_at,
        leader_until=leader_until,
        is_failing=False,
    )
    if not is_member_list_due(joined, event.at):
        return transitions.Transition(
            dataclasses.replace(state, members=joined), log_effects
        )
    listing = dataclasses.replace(joined, list_requested_at=event.at)
    next_state = dataclasses.replace(state, members=listing)
    list_call = effects.Call(
        calls.ListMembers(),
        state.identity.addresses.store,
        ANSWER_TIMEOUT_SECONDS,
    )
    return transitions.Transition(next_state, (*log_effects, list_call))


def is_member_list_due(known: MemberState, now: float) -> bool:
    """Return whether to list the members again.

    They are listed when the generation changes, and once more after the time
    in which all partitions have been handed over.
    """
    if known.listed_generation != known.generation:
        return True
    handed_over_at = known.generation_changed_at + HANDOVER_SECONDS
    return known.list_requested_at < handed_over_at <= now


@reducer.on_answer.register(calls.ListMembers)
def handle_member_list(
    call: calls.ListMembers, event: events.CallAnswered, state: 'states.State'
) -> reducer.Transition:
    """Store the listed members."""
    if not isinstance(event.answer, calls.MembersListed):
        return record_failure(f'status {event.answer.status}', state)
    decoded = {decode_member(name) for name in event.answer.members}
    listed = tuple(
        sorted(
            (member for member in decoded if member is not None),
            key=lambda member: member.instance_id,
        )
    )
    known = dataclasses.replace(
        state.members,
        listed=listed,
        listed_generation=state.members.generation,
    )
    return transitions.Transition(
        dataclasses.replace(state, members=known),
        (
            effects.SetGauge('members', len(listed)),
            relay_effects.LogDecision(
                'members_changed',
                (
                    ('generation', known.generation),
                    ('members', [member.instance_id for member in listed]),
                ),
            ),
        ),
    )


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
