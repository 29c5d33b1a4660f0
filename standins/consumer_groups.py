"""Deal the partitions of a consumer group out to its members.

A partition goes to another member only after its holder has seen the change:
it joins with the newest generation, leaves, or has been silent for its time.
"""

import dataclasses
import itertools

import immutables

Partition = tuple[str, int]
PARTITIONS_PER_TOPIC = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """Join a group or stay in it."""

    group: str
    member: str
    topics: tuple[str, ...]
    lifetime_seconds: float
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """Leave a group."""

    group: str
    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """Hold members with the end of their time, and who holds what."""

    generation: int = 0
    topics: tuple[str, ...] = ()
    members: immutables.Map[str, float] = immutables.Map()
    held: immutables.Map[Partition, str] = immutables.Map()


def join(group: Group, request: Join, now: float) -> Group:
    """Add or keep a member, and give it what nobody else holds."""
    group = drop_expired_members(group, now)
    if request.member not in group.members:
        group = dataclasses.replace(group, generation=group.generation + 1)
    group = dataclasses.replace(
        group,
        topics=request.topics,
        members=group.members.set(
            request.member, now + request.lifetime_seconds
        ),
    )
    assigned = assign_partitions(group)
    held = group.held
    if request.generation >= group.generation:
        held = revoke_partitions(held, request.member, assigned)
    for partition, member in assigned.items():
        if member == request.member and partition not in held:
            held = held.set(partition, member)
    return dataclasses.replace(group, held=held)


def revoke_partitions(
    held: immutables.Map[Partition, str],
    member: str,
    assigned: dict[Partition, str],
) -> immutables.Map[Partition, str]:
    """Take away what a member holds and should not."""
    for partition, holder in held.items():
        if holder == member and assigned.get(partition) != member:
            held = held.delete(partition)
    return held


def assign_partitions(group: Group) -> dict[Partition, str]:
    """Return who should hold each partition."""
    members = sorted(group.members)
    return {
        partition: members[index % len(members)]
        for index, partition in enumerate(
            itertools.product(group.topics, range(PARTITIONS_PER_TOPIC))
        )
    }


def list_partitions(group: Group, member: str) -> tuple[Partition, ...]:
    """Return what a member holds and should hold."""
    assigned = assign_partitions(group)
    return tuple(
        sorted(
            partition
            for partition, holder in group.held.items()
            if holder == member and assigned.get(partition) == member
        )
    )


def leave(group: Group, member: str) -> Group:
    """Take a member and what it holds away."""
    if member not in group.members:
        return group
    return dataclasses.replace(
        group,
        generation=group.generation + 1,
        members=group.members.delete(member),
        held=revoke_partitions(group.held, member, {}),
    )


def drop_expired_members(group: Group, now: float) -> Group:
    """Take away members whose time is over."""
    for member, until in group.members.items():
        if until < now:
            group = leave(group, member)
    return group
