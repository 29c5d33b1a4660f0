"""Deal the partitions of a consumer group out to its members.

A partition goes to another member only after its holder has seen the change:
it joins with the newest generation, leaves, or has been silent for its time.
"""

import dataclasses
import itertools

import immutables

Partition = tuple[str, int]
PARTITIONS = 8


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


def join(group: Group, wanted: Join, now: float) -> Group:
    """Add or keep a member, and give it what nobody else holds."""
    group = drop_lapsed(group, now)
    if wanted.member not in group.members:
        group = dataclasses.replace(group, generation=group.generation + 1)
    group = dataclasses.replace(
        group,
        topics=wanted.topics,
        members=group.members.set(wanted.member, now + wanted.lifetime_seconds),
    )
    wished = deal(group)
    held = group.held
    if wanted.generation >= group.generation:
        held = without(held, wanted.member, wished)
    for partition, member in wished.items():
        if member == wanted.member and partition not in held:
            held = held.set(partition, member)
    return dataclasses.replace(group, held=held)


def without(
    held: immutables.Map[Partition, str],
    member: str,
    wished: dict[Partition, str],
) -> immutables.Map[Partition, str]:
    """Take away what a member holds and should not."""
    for partition, holder in held.items():
        if holder == member and wished.get(partition) != member:
            held = held.delete(partition)
    return held


def deal(group: Group) -> dict[Partition, str]:
    """Return who should hold each partition."""
    members = sorted(group.members)
    return {
        partition: members[index % len(members)]
        for index, partition in enumerate(
            itertools.product(group.topics, range(PARTITIONS))
        )
    }


def held_by(group: Group, member: str) -> tuple[Partition, ...]:
    """Return what a member holds and should hold."""
    wished = deal(group)
    return tuple(
        sorted(
            partition
            for partition, holder in group.held.items()
            if holder == member and wished.get(partition) == member
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
        held=without(group.held, member, {}),
    )


def drop_lapsed(group: Group, now: float) -> Group:
    """Take away members whose time is over."""
    for member, until in group.members.items():
        if until < now:
            group = leave(group, member)
    return group
