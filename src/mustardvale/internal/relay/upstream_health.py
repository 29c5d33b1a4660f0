"""Judge upstreams by their answers and refusals."""

import dataclasses
import typing

from mustardvale.internal.relay import (
    exchanges,
    open_attempts,
    pace_tracking,
    requests,
    runners,
    upstream_pace,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

FIRST_SERVER_ERROR_STATUS = 500
MISDIRECTED_STATUS = 421
# A runner that does not hold the layers of its entry has restarted. Its next
# entry lists the layers that it holds then.
MISDIRECTED_EXCLUSION_SECONDS = 5.0
# A full runner completes a request every few hundred milliseconds.
FULL_EXCLUSION_SECONDS = 0.3
# The platform drops the entry of a crashed runner after three to four seconds.
CRASHED_EXCLUSION_SECONDS = 1.5
# A runner that refuses is considered full, not crashed, if a stream has
# received data through it this recently.
RECENT_ACTIVITY_SECONDS = 0.3


def update_runner(
    open_attempt: open_attempts.OpenAttempt,
    head: requests.AnswerHead,
    now: float,
    state: 'states.State',
) -> 'states.State':
    """Update the record of an upstream, on which later choices depend."""
    runner_map = state.runners
    runner_id = open_attempt.attempt.runner_id
    if head.is_unexecuted:
        reported = runners.find_id_by_address(runner_map, head.fault_address)
        at_fault = reported or runner_id
        state = pace_tracking.note_evidence(
            at_fault,
            upstream_pace.Refused(open_attempt.attempt.started_at),
            now,
            state,
        )
        if open_attempt.attempt.chain or head.status == MISDIRECTED_STATUS:
            seconds = choose_exclusion_seconds(
                at_fault, head.status, now, state
            )
            state = limit_return(at_fault, seconds, now, state)
            runner_map = runners.exclude(runner_map, at_fault, now + seconds)
        else:
            runner_map = runners.record_refusal(runner_map, at_fault, now)
    elif not open_attempt.exchange.is_stream:
        is_healthy = head.status < FIRST_SERVER_ERROR_STATUS
        seconds = now - open_attempt.attempt.started_at
        runner_map = runners.record_answer(
            runner_map, runner_id, seconds, is_healthy
        )
    updated = dataclasses.replace(state, runners=runner_map)
    if head.status // 100 != 2 or open_attempt.exchange.is_stream:
        return updated
    if open_attempt.attempt.chain:
        return updated
    return pace_tracking.note_answer(
        open_attempt.exchange, open_attempt.attempt, now, updated
    )


def limit_return(
    runner_id: str, seconds: float, now: float, state: 'states.State'
) -> 'states.State':
    """Limit the return of a runner, unless it is excluded as full alone."""
    if seconds == FULL_EXCLUSION_SECONDS:
        return state
    return pace_tracking.begin(
        (runner_id,), upstream_pace.PaceKind.RECOVERED, now, state
    )


def choose_exclusion_seconds(
    at_fault: str, status: int, now: float, state: 'states.State'
) -> float:
    """Return for how many seconds to exclude a runner that refused."""
    if status == MISDIRECTED_STATUS:
        return MISDIRECTED_EXCLUSION_SECONDS
    return estimate_outage_seconds(at_fault, now, state)


def estimate_outage_seconds(
    at_fault: str, now: float, state: 'states.State'
) -> float:
    """Return how long a runner that refuses is assumed to do so.

    A refusal does not show whether the runner is full or has crashed. A
    runner that has just delivered part of a stream is considered full.
    """
    last_activity = exchanges.list_last_activity(state.exchanges)
    if now - last_activity.get(at_fault, 0.0) < RECENT_ACTIVITY_SECONDS:
        return FULL_EXCLUSION_SECONDS
    return CRASHED_EXCLUSION_SECONDS


def exclude_unconnected(
    attempt: exchanges.Attempt, now: float, state: 'states.State'
) -> 'states.State':
    """Exclude the first runner of a chain that accepts no connection.

    The runner of a plain service is only deprioritized when its request is
    retried: its service has few runners, and one that is full refuses
    connections too.
    """
    runner = state.runners.get(attempt.runner_id)
    if not attempt.chain or runner is None:
        return state
    if runner.excluded_until > now and not runner.silent_since:
        return state
    seconds = estimate_outage_seconds(attempt.runner_id, now, state)
    runner_map = runners.exclude(
        state.runners, attempt.runner_id, now + seconds
    )
    if seconds == CRASHED_EXCLUSION_SECONDS:
        runner_map = runners.record_unconnected(
            runner_map, attempt.runner_id, now + seconds
        )
    excluded = dataclasses.replace(state, runners=runner_map)
    return limit_return(attempt.runner_id, seconds, now, excluded)
