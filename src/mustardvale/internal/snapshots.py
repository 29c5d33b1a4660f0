"""Append snapshots, so that the log always holds the document in force.

Retention drops old promotions. A reader that missed the dropped records needs
a snapshot that was appended after them.
"""

import dataclasses
import hashlib
import typing

from mustardvale.internal import (
    effects,
    events,
    log_streams,
    membership,
    records,
    reducer,
    streams,
    timers,
    transitions,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

# The period of snapshots as a fraction of the retention.
SNAPSHOT_PERIOD_SHARE = 0.25
CHECKS_PER_SNAPSHOT = 16
# A backup instance waits this share of the snapshot period for each instance
# of lower rank. With the maximum rank it still appends after three quarters of
# the retention.
BACKUP_DELAY_SHARE = 0.25
MAXIMUM_RANK = 8


@reducer.on_timer.register(timers.SnapshotCheckDue)
def check_snapshot(
    timer: timers.SnapshotCheckDue,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Append a snapshot if one is due from this instance."""
    period = state.timing.log_retention_seconds * SNAPSHOT_PERIOD_SHARE
    rearm = effects.SetTimer(timer, period / CHECKS_PER_SNAPSHOT)
    if not may_append(state):
        return transitions.Transition(state, (rearm,))
    if state.configuration.snapshot_at is None:
        state = assume_snapshot_due(event.at - period, state)
    if is_due(event.at, period, state):
        return append_snapshot(event, state).with_effects(rearm)
    return transitions.Transition(state, (rearm,))


def may_append(state: 'states.State') -> bool:
    """Return whether the document in force is known and the log available."""
    configuration = state.configuration
    return (
        configuration.is_caught_up
        and configuration.promoted.is_contiguous
        and configuration.promoted.as_of >= 0
        and state.log.is_available
    )


def assume_snapshot_due(
    due_since: float, state: 'states.State'
) -> 'states.State':
    """Set the time of the latest snapshot so that the first one is due."""
    configuration = dataclasses.replace(
        state.configuration,
        snapshot_at=due_since,
    )
    return dataclasses.replace(state, configuration=configuration)


def is_due(now: float, period: float, state: 'states.State') -> bool:
    """Return whether a snapshot is due, after a delay for each lower rank."""
    configuration = state.configuration
    backup_delay = period * BACKUP_DELAY_SHARE
    due_at = (
        (configuration.snapshot_at or 0)
        + period
        + backup_delay * find_rank(now, state)
    )
    if now < due_at:
        return False
    sent_at = configuration.snapshot_sent_at
    return sent_at is None or now - sent_at >= backup_delay


def find_rank(now: float, state: 'states.State') -> int:
    """Return how many live instances have a higher rendezvous weight.

    Only peers that serve the same environment count, at most `MAXIMUM_RANK`.
    """
    environment = state.configuration.environment
    own_weight = compute_rendezvous_weight(
        environment, state.identity.instance_id
    )
    higher_count = sum(
        compute_rendezvous_weight(environment, instance_id) > own_weight
        for instance_id, peer in state.membership.peers.items()
        if membership.is_live(peer, now)
        and peer.heartbeat is not None
        and peer.heartbeat.environment == environment
    )
    return min(higher_count, MAXIMUM_RANK)


def compute_rendezvous_weight(environment: str, instance_id: str) -> int:
    """Return the rendezvous weight of an instance for an environment."""
    key = f'{environment}|{instance_id}'.encode()
    return int.from_bytes(hashlib.blake2b(key, digest_size=8).digest())


def append_snapshot(
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Append a snapshot of the document in force to the environment stream."""
    promoted = state.configuration.promoted
    snapshot = records.DocumentSnapshot(
        version=promoted.version,
        offset=promoted.offset,
        document=promoted.document,
        as_of=promoted.as_of,
        operator=promoted.operator,
    )
    configuration = dataclasses.replace(
        state.configuration,
        snapshot_sent_at=event.at,
    )
    stream = streams.EnvironmentStream(configuration.environment)
    updated = dataclasses.replace(state, configuration=configuration)
    return log_streams.append(stream, snapshot, updated).with_effects(
        effects.Count('snapshots'),
    )
