"""Avoid runners with a known fault, and move requests away from them."""

import dataclasses
import typing

from mustardvale.internal import effects, events, transitions
from mustardvale.internal.relay import (
    calls,
    exchanges,
    fault_reports,
    fault_telling,
    lost_requests,
    moves,
    open_attempts,
    pace_tracking,
    reducer,
    runners,
    timers,
    upstream_pace,
    withdrawals,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

# Streams of a sound runner pause for less than this between two events.
STALLED_STREAM_SECONDS = 0.1
CRASH_PROBLEM = 'a runner of the chain has crashed'


def handle_faults(
    found: tuple[fault_reports.Fault, ...],
    origin: fault_reports.FaultOrigin,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Record faults, tell other instances, and act on those that are new."""
    added = fault_reports.list_new(state.faults, found, now)
    recorded = fault_telling.record_new(added, origin, now, state)
    crashed = tuple(
        fault
        for fault in added
        if fault.kind is fault_reports.FaultKind.CRASHED
    )
    stalled = tuple(
        fault
        for fault in added
        if fault.kind is fault_reports.FaultKind.STALLED
    )
    return (
        recorded.then_each(
            crashed,
            lambda fault, current: lost_requests.record_open(
                fault.runner_id, fault.started_at_ms, now, current
            ),
        )
        .then(
            lambda current: transitions.Transition(
                avoid_crashed(crashed, now, current)
            )
        )
        .then(lambda current: leave_crashed(crashed, now, current))
        .then_each(
            stalled,
            lambda fault, current: apply_stall(fault, now, current),
        )
    )


@reducer.on_request.register(calls.ReportFaults)
def handle_report(
    report: calls.ReportFaults,
    event: events.CallerRequested,
    state: 'states.State',
) -> reducer.Transition:
    """Act on the report of another instance, and confirm it."""
    found = fault_reports.read_report(report.faults, event.at)
    told = handle_faults(found, fault_reports.FaultOrigin.TOLD, event.at, state)
    return told.with_effects(
        effects.Reply(event.request_id, calls.FaultsReported())
    )


def apply_update(
    update: calls.PeerUpdate, now: float, state: 'states.State'
) -> reducer.Transition:
    """Act on the faults that the followed reader has told."""
    followed = dataclasses.replace(
        state.faults,
        followed_reader_id=state.peer_feed.reader_id,
        followed_position=update.fault_position,
    )
    return handle_faults(
        fault_reports.read_report(update.faults, now),
        fault_reports.FaultOrigin.TOLD,
        now,
        dataclasses.replace(state, faults=followed),
    )


def avoid_crashed(
    crashed: tuple[fault_reports.Fault, ...],
    now: float,
    state: 'states.State',
) -> 'states.State':
    """Exclude crashed processes for a while, and deprioritize for longer.

    A process that was started after the crash is used at once.
    """
    runner_map = state.runners
    excluded_ids: list[str] = []
    for fault in crashed:
        if not fault_reports.is_of_listed_process(fault, runner_map):
            continue
        excluded_until = fault.found_at + moves.FAULT_EXCLUSION_SECONDS
        if excluded_until > now:
            runner_map = runners.exclude(
                runner_map, fault.runner_id, excluded_until
            )
            excluded_ids.append(fault.runner_id)
        runner_map = runners.deprioritize(
            runner_map,
            fault.runner_id,
            fault.found_at + moves.FAULT_DEPRIORITIZE_SECONDS,
        )
    return pace_tracking.begin(
        excluded_ids,
        upstream_pace.PaceKind.RECOVERED,
        now,
        dataclasses.replace(state, runners=runner_map),
    )


def leave_crashed(
    crashed: tuple[fault_reports.Fault, ...],
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Move the requests whose chains have a process that has crashed.

    Faults that are known already count too: several runners of a chain may
    crash one after the other.
    """
    if not crashed:
        return transitions.Transition(state)
    known = fault_reports.list_crashed(state.faults, state.runners, now)
    return transitions.Transition(state).then_each(
        list_open_attempts(state),
        lambda found, current: leave_runners(
            found.exchange.request_id,
            found.attempt,
            known | list_crashed_under(found.attempt, crashed),
            crashed[0],
            now,
            current,
        ),
    )


def list_crashed_under(
    attempt: exchanges.Attempt, crashed: tuple[fault_reports.Fault, ...]
) -> frozenset[str]:
    """Return the runners that have crashed since an attempt began.

    Their next process may be listed already, but does not know the request.
    """
    return frozenset(
        fault.runner_id
        for fault in crashed
        if attempt.started_at < fault.found_at
    )


def leave_runners(
    request_id: str,
    attempt: exchanges.Attempt,
    faulty: frozenset[str],
    fault: fault_reports.Fault,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Move a request, or send it elsewhere if it was not written yet."""
    exchange = state.exchanges.get(request_id)
    if exchange is None or not moves.is_movable(attempt, faulty):
        return transitions.Transition(state)
    if not attempt.is_sent:
        return withdrawals.withdraw(
            exchange, attempt, now, state, CRASH_PROBLEM
        )
    return move_attempt(exchange, attempt, faulty, fault, now, state)


def move_attempt(
    exchange: exchanges.Exchange,
    attempt: exchanges.Attempt,
    faulty: frozenset[str],
    fault: fault_reports.Fault,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Move a request, and measure how long ago the fault was found."""
    moved = moves.move_attempt(exchange, attempt, faulty, now, state)
    if not moved.effects:
        return moved
    return moved.with_effects(
        effects.Observe(
            'fault_to_move_seconds', now - fault.found_at, (fault.kind.value,)
        )
    )


def list_open_attempts(
    state: 'states.State',
) -> tuple[open_attempts.OpenAttempt, ...]:
    """Return the open attempts of all requests."""
    return tuple(
        open_attempts.OpenAttempt(exchange, attempt)
        for exchange in state.exchanges.values()
        for attempt in exchange.attempts
    )


def apply_stall(
    fault: fault_reports.Fault, now: float, state: 'states.State'
) -> reducer.Transition:
    """Deprioritize a stalled runner, and move the streams that wait for it.

    The runner may serve other streams. Those that fall silent only with the
    fault are moved once they have been silent for long enough.
    """
    if not fault_reports.is_of_listed_process(fault, state.runners):
        return transitions.Transition(state)
    runner_map = runners.deprioritize(
        state.runners,
        fault.runner_id,
        fault.found_at + moves.FAULT_DEPRIORITIZE_SECONDS,
    )
    check = effects.SetTimer(
        timers.StalledStreamsDue(fault.runner_id, fault.started_at_ms),
        STALLED_STREAM_SECONDS,
    )
    avoided = dataclasses.replace(state, runners=runner_map)
    return move_silent(fault, now, avoided).with_effects(check)


def move_silent(
    fault: fault_reports.Fault, now: float, state: 'states.State'
) -> reducer.Transition:
    """Move the silent streams whose chains have a stalled runner.

    Shortly after this instance was suspended, silence shows nothing.
    """
    if now < state.silence_ignored_until:
        return transitions.Transition(state)
    faulty = frozenset((fault.runner_id,))
    silent = [
        found
        for found in list_open_attempts(state)
        if moves.is_affected(found.attempt, faulty)
        and not found.exchange.is_caller_blocked
        and now - found.attempt.last_received_at >= STALLED_STREAM_SECONDS
    ]
    return transitions.Transition(state).then_each(
        silent,
        lambda found, current: move_attempt(
            current.exchanges[found.exchange.request_id],
            found.attempt,
            faulty,
            fault,
            now,
            current,
        ),
    )


@reducer.on_timer.register(timers.StalledStreamsDue)
def move_stalled(
    timer: timers.StalledStreamsDue,
    event: events.TimerFired,
    state: 'states.State',
) -> reducer.Transition:
    """Move the streams that a stalled runner still keeps waiting."""
    for fault in state.faults.faults:
        is_same = (
            timer.runner_id == fault.runner_id
            and timer.started_at_ms == fault.started_at_ms
        )
        is_stalled = fault.kind is fault_reports.FaultKind.STALLED
        is_listed = fault_reports.is_of_listed_process(fault, state.runners)
        if is_same and is_stalled and is_listed:
            return move_silent(fault, event.at, state)
    return transitions.Transition(state)
