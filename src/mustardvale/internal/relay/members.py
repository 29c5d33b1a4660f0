"""Keep the membership of the entry instances in the platform's store.

Each instance joins one group again and again. The group has more partitions
than there are instances, so that its owners name every instance, and the
owner of the first partition is the only one that orders runners.
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
# Partitions go to a new member after their holder has joined twice more and
# the new one once; until then the list does not name it.
HANDOVER_SECONDS = 2.4
# What is taken for the number of instances until they are listed; a share of
# a limit that is too small for a moment does less harm than one too large.
ASSUMED_MEMBERS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Name an entry instance and where callers and other instances reach it."""

    instance_id: str
    front: str
    availability_zone: str
    region: str
    peers: str


@dataclasses.dataclass(frozen=True, slots=True)
class MemberState:
    """Hold the members as last listed.

    `changed_at` is when the generation last changed, `listed_at` when the
    members were last asked for. `order_until` is when the right to give orders ends unless it is renewed,
    counted from the moment at which the renewal was sent.
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
    """Return the name under which an instance is a member."""
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
    """Return the member that a name describes, if it is one of ours."""
    fields = name.split(SEPARATOR)
    return Member(*fields) if len(fields) == MEMBER_FIELD_COUNT else None


def count_instances(state: 'states.State') -> int:
    """Return how many instances are taken to live, at least this one."""
    if state.members.listed_generation < 0:
        return ASSUMED_MEMBERS
    own = state.identity.instance_id
    others = sum(member.instance_id != own for member in state.members.listed)
    return others + 1


def is_leader(state: 'states.State', now: float) -> bool:
    """Return whether this instance is the one that orders runners."""
    return state.shutdown is None and now < state.members.leader_until


def send_join(state: 'states.State', now: float) -> reducer.Transition:
    """Join the members, or stay among them."""
    asked = dataclasses.replace(state.members, join_requested_at=now)
    call = calls.JoinMembers(
        encode_member(state.identity),
        MEMBERSHIP_LIFETIME_SECONDS,
        state.members.generation,
    )
    return transitions.Transition(
        dataclasses.replace(state, members=asked),
        (
            effects.Call(
                call, state.identity.addresses.store, ANSWER_TIMEOUT_SECONDS
            ),
            effects.SetTimer(timers.MembershipDue(), JOIN_PERIOD_SECONDS),
        ),
    )


@reducer.on_timer.register(timers.MembershipDue)
def renew_membership(
    timer: timers.MembershipDue,
    event: events.TimerFired,
    state: 'states.State',
) -> reducer.Transition:
    """Stay among the members unless this instance stops."""
    if state.shutdown is not None:
        return transitions.Transition(state)
    return send_join(state, event.at)


@reducer.on_answer.register(calls.JoinMembers)
def handle_join(
    call: calls.JoinMembers, event: events.CallAnswered, state: 'states.State'
) -> reducer.Transition:
    """Take the generation and ask who the members are where that is due."""
    if not isinstance(event.answer, calls.MembersJoined):
        return record_failure(f'status {event.answer.status}', state)
    known = state.members
    until = 0.0
    if event.answer.is_leader:
        until = known.join_requested_at + MEMBERSHIP_LIFETIME_SECONDS
    logged: tuple[effects.Effect, ...] = ()
    if event.answer.is_leader != (known.leader_until > event.at):
        logged = (
            relay_effects.LogDecision(
                'order_right_changed',
                (
                    ('held', event.answer.is_leader),
                    ('generation', event.answer.generation),
                ),
            ),
        )
    changed = event.answer.generation != known.generation
    joined = dataclasses.replace(
        known,
        generation=event.answer.generation,
        generation_changed_at=event.at
        if changed
        else known.generation_changed_at,
        leader_until=until,
        is_failing=False,
    )
    if not is_member_list_due(joined, event.at):
        return transitions.Transition(
            dataclasses.replace(state, members=joined), logged
        )
    asking = dataclasses.replace(joined, list_requested_at=event.at)
    next_state = dataclasses.replace(state, members=asking)
    ask = effects.Call(
        calls.ListMembers(),
        state.identity.addresses.store,
        ANSWER_TIMEOUT_SECONDS,
    )
    return transitions.Transition(next_state, (*logged, ask))


def is_member_list_due(known: MemberState, now: float) -> bool:
    """Return whether the members may differ from those that are known.

    They are asked for when the generation changes, and once more when all
    partitions have been handed over.
    """
    if known.listed_generation != known.generation:
        return True
    settled_at = known.generation_changed_at + HANDOVER_SECONDS
    return known.list_requested_at < settled_at <= now


@reducer.on_answer.register(calls.ListMembers)
def handle_member_list(
    call: calls.ListMembers, event: events.CallAnswered, state: 'states.State'
) -> reducer.Transition:
    """Take the members."""
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
    """Keep the members that are known."""
    return record_failure(event.failure.kind.value, state)


def record_failure(problem: str, state: 'states.State') -> reducer.Transition:
    """Keep the members that are known."""
    counted = effects.Count('store_failures', ('members',))
    if state.members.is_failing:
        return transitions.Transition(state, (counted,))
    failing = dataclasses.replace(state.members, is_failing=True)
    return transitions.Transition(
        dataclasses.replace(state, members=failing),
        (
            counted,
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
    """Ignore the result: without an answer the membership ends by itself."""
    return transitions.Transition(state)
