"""Assign the partitions of consumer groups to their members.

A partition moves to another member only after its holder has released it: the
holder joins with the newest generation, leaves, or its membership expires.
"""

import dataclasses
import itertools

import immutables

Partition = tuple[str, int]
PARTITIONS_PER_TOPIC = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """Request to join a group or to renew a membership.

    The membership expires after `lifetime_seconds`. `generation` is the latest
    one that the member knows.
    """

    group: str
    member: str
    topics: tuple[str, ...]
    lifetime_seconds: float
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """Request to end a membership."""

    group: str
    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """Hold members with their expiry times, and the holders of partitions.

    `generation` counts the changes of the membership.
    """

    generation: int = 0
    topics: tuple[str, ...] = ()
    members: immutables.Map[str, float] = immutables.Map()
    held: immutables.Map[Partition, str] = immutables.Map()


def join(group: Group, request: Join, now: float) -> Group:
    """Add or renew a member and give it the free partitions assigned to it.

    A member that knows the current generation releases partitions that are
    assigned to others.
    """
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
    """Release the partitions that a member holds but is not assigned."""
    for partition, holder in held.items():
        if holder == member and assigned.get(partition) != member:
            held = held.delete(partition)
    return held


def assign_partitions(group: Group) -> dict[Partition, str]:
    """Return the member that each partition is assigned to, in turn."""
    members = sorted(group.members)
    return {
        partition: members[index % len(members)]
        for index, partition in enumerate(
            itertools.product(group.topics, range(PARTITIONS_PER_TOPIC))
        )
    }


def list_partitions(group: Group, member: str) -> tuple[Partition, ...]:
    """Return the partitions that a member holds and is assigned."""
    assigned = assign_partitions(group)
    return tuple(
        sorted(
            partition
            for partition, holder in group.held.items()
            if holder == member and assigned.get(partition) == member
        )
    )


def leave(group: Group, member: str) -> Group:
    """Remove a member and release its partitions."""
    if member not in group.members:
        return group
    return dataclasses.replace(
        group,
        generation=group.generation + 1,
        members=group.members.delete(member),
        held=revoke_partitions(group.held, member, {}),
    )


def postpone(group: Group, seconds: float) -> Group:
    """Let the memberships of a group expire some seconds later."""
    members = immutables.Map(
        {member: until + seconds for member, until in group.members.items()}
    )
    return dataclasses.replace(group, members=members)


def drop_expired_members(group: Group, now: float) -> Group:
    """Remove the members whose membership has expired."""
    for member, until in group.members.items():
        if until < now:
            group = leave(group, member)
    return group
