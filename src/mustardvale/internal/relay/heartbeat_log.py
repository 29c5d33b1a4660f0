"""Remember the last heartbeat that was read of each process of an upstream.

The store may execute heartbeats late and out of order. One that was sent before
another one that was read says nothing new, whatever has happened since.
"""

import typing

import immutables

from mustardvale.internal.relay import runners

# Processes that are remembered for each id, the latest ones.
MAXIMUM_PROCESSES = 4

HeartbeatLog: typing.TypeAlias = (
    'immutables.Map[str, tuple[runners.Heartbeat, ...]]'
)


def find_last(log: HeartbeatLog, runner_id: str, started_at_ms: int) -> int:
    """Return the highest count that was read of a process, 0 if none was."""
    for heartbeat in log.get(runner_id, ()):
        if heartbeat.started_at_ms == started_at_ms:
            return heartbeat.sequence
    return 0


def is_late(log: HeartbeatLog, entry: runners.ListedRunner) -> bool:
    """Return whether a later heartbeat of the same process was read."""
    last = find_last(log, entry.runner_id, entry.started_at_ms)
    return bool(entry.sequence) and entry.sequence < last


def record(
    log: HeartbeatLog, runner_id: str, heartbeat: runners.Heartbeat
) -> HeartbeatLog:
    """Remember a heartbeat, unless a later one of its process is known."""
    last = find_last(log, runner_id, heartbeat.started_at_ms)
    if heartbeat.sequence <= last:
        return log
    others = (
        known
        for known in log.get(runner_id, ())
        if known.started_at_ms != heartbeat.started_at_ms
    )
    return log.set(runner_id, (heartbeat, *others)[:MAXIMUM_PROCESSES])


def forget_removed(
    log: HeartbeatLog, runner_map: runners.RunnerMap
) -> HeartbeatLog:
    """Forget the upstreams that are not known any more."""
    if len(log) <= len(runner_map):
        return log
    return immutables.Map(
        {
            runner_id: heartbeats
            for runner_id, heartbeats in log.items()
            if runner_id in runner_map
        }
    )
