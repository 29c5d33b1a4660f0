"""Tail the partitions of attempts that this instance owns."""

import dataclasses
import functools
import typing

import immutables

from mustardvale.internal import (
    action_keys,
    attempts,
    effects,
    entry_addresses,
    events,
    log_streams,
    membership,
    reducer,
    streams,
    timers,
    transitions,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

CHECK_PERIOD_SECONDS = 1.0
# Instances disagree about the membership for a few seconds after a change. A
# partition that returns to this instance in this time need not be read from its
# start again.
UNUSED_TAIL_SECONDS = 10.0
MAXIMUM_CLOCK_SKEW_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Partition:
    """Hold the folded attempts of a tailed partition.

    The table is complete for keys that were created after the wall time
    `complete_after`; records about older keys may have been dropped unread.
    `used_at` is a monotonic time.
    """

    table: attempts.AttemptTable = attempts.AttemptTable()
    complete_after: float = 0
    used_at: float = 0


Partitions = immutables.Map[int, Partition]


def with_partition(
    number: int,
    partition: Partition,
    state: 'states.State',
) -> 'states.State':
    """Return the state with a partition added or replaced."""
    partitions = state.partitions.set(number, partition)
    return dataclasses.replace(state, partitions=partitions)


def find_owner(
    number: int,
    now: float,
    state: 'states.State',
) -> membership.Peer | None:
    """Return the peer that owns a partition, `None` if this instance does.

    The owner is the live instance with the highest rendezvous weight.
    """
    live = {
        instance_id: peer
        for instance_id, peer in state.membership.peers.items()
        if membership.is_live(peer, now)
    }
    own_id = state.identity.instance_id
    candidates = set(live)
    if state.membership.own_state == membership.LIVE or not live:
        candidates.add(own_id)
    name = streams.AttemptStream(number).name
    chosen = max(
        candidates,
        key=lambda instance_id: (
            entry_addresses.compute_rendezvous_weight(name, instance_id),
            instance_id,
        ),
    )
    return live.get(chosen)


def ensure_tailed(
    number: int,
    now: float,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Mark a partition as used and start tailing it if necessary."""
    known = state.partitions.get(number)
    if known is not None:
        used = dataclasses.replace(known, used_at=now)
        return transitions.Transition(with_partition(number, used, state))
    state = with_partition(number, Partition(used_at=now), state)
    return log_streams.start_tailing(streams.AttemptStream(number), state)


@reducer.on_timer.register(timers.PartitionCheckDue)
def check_partitions(
    timer: timers.PartitionCheckDue,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Tail the owned partitions, stop tailing unused ones, prune old keys."""
    rearm = effects.SetTimer(timer, CHECK_PERIOD_SECONDS)
    transition = transitions.Transition(state, (rearm,))
    in_use = find_partitions_in_use(state)
    for number in range(action_keys.PARTITION_COUNT):
        if number in in_use or find_owner(number, event.at, state) is None:
            transition = transition.then(
                functools.partial(ensure_tailed, number, event.at),
            )
    updated = stop_tailing_unused(event.at, transition.state)
    return transitions.Transition(
        prune_old_keys(updated),
        (
            *transition.effects,
            effects.SetGauge('partitions_tailed', len(updated.partitions)),
            effects.SetGauge('action_keys_kept', count_keys(updated)),
        ),
    )


def find_partitions_in_use(state: 'states.State') -> frozenset[int]:
    """Return the partitions that calls or abandonments still use."""
    table = state.actions
    keys = (*table.by_key, *table.abandoning.values())
    return frozenset(action_keys.find_partition(key) for key in keys)


def stop_tailing_unused(now: float, state: 'states.State') -> 'states.State':
    """Stop tailing partitions unused for `UNUSED_TAIL_SECONDS`."""
    for number, partition in state.partitions.items():
        if now - partition.used_at > UNUSED_TAIL_SECONDS:
            state = log_streams.stop_tailing(
                streams.AttemptStream(number), state
            )
            kept = state.partitions.delete(number)
            state = dataclasses.replace(state, partitions=kept)
    return state


def prune_old_keys(state: 'states.State') -> 'states.State':
    """Prune the keys that are older than the window."""
    for number, partition in state.partitions.items():
        kept = attempts.prune(partition.table)
        if kept.keys is not partition.table.keys:
            partition = dataclasses.replace(partition, table=kept)
            state = with_partition(number, partition, state)
    return state


def count_keys(state: 'states.State') -> int:
    """Return the number of keys in all tailed partitions."""
    return sum(
        len(partition.table.keys) for partition in state.partitions.values()
    )


def record_gap(
    number: int,
    dropped_until: float,
    state: 'states.State',
) -> 'states.State':
    """Record that records appended up to a wall time were not read.

    A record is appended at most `MAXIMUM_FUTURE_SECONDS` before the creation
    time of its key, so keys created later than that are not affected.
    """
    partition = state.partitions[number]
    margin = action_keys.MAXIMUM_FUTURE_SECONDS + MAXIMUM_CLOCK_SKEW_SECONDS
    complete_after = max(partition.complete_after, dropped_until + margin)
    partition = dataclasses.replace(partition, complete_after=complete_after)
    return with_partition(number, partition, state)


def is_history_complete(
    key: action_keys.ActionKey, partition: Partition
) -> bool:
    """Return whether no record about a key can have been dropped unread."""
    created = action_keys.read_creation_time(key.idempotency_key)
    return created > partition.complete_after
