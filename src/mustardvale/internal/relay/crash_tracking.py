"""Track crashes of runners and the requests that may have caused them.

When a runner closes the connection of a request before its end, this instance
checks whether the runner still accepts connections. If it refuses them, it has
crashed. A request without an event is evidence that all instances are told of,
and so is the first event of a request with a part that is under suspicion.
`lost_requests` keeps the others.
"""

import dataclasses
import typing

from mustardvale.internal import effects, events, transitions
from mustardvale.internal.relay import (
    calls,
    crash_evidence,
    crash_records,
    crash_sharing,
    exchanges,
    fault_moves,
    fault_reports,
    fingerprints,
    lost_requests,
    reducer,
    runners,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

CHECK_TIMEOUT_SECONDS = 0.25
RESTARTED_SUFFIX = '+'


def note_lost_send(
    exchange: exchanges.Exchange,
    attempt: exchanges.Attempt,
    failure: events.Failure,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Check the runner that closed the connection of a request too early."""
    runner = state.runners.get(attempt.runner_id)
    is_lost = failure.kind is events.FailureKind.CLOSED and attempt.is_sent
    if runner is None or not is_lost:
        return transitions.Transition(state)
    process = name_process(attempt, runner, state)
    processes = lost_requests.list_processes(attempt, state) | {process}
    state = lost_requests.note_loss(exchange, attempt, processes, now, state)
    waiting = (
        () if exchange.has_stream_started else (describe_request(exchange),)
    )
    if process in list_crash_times(now, state):
        return record_lost(process, waiting, now, state)
    if runner.is_exiting and not waiting:
        return transitions.Transition(state)
    known = state.crashes.unconfirmed.get(process)
    noted = add_unconfirmed(process, waiting, state)
    if known is not None:
        return transitions.Transition(noted)
    call = calls.CheckRunner(attempt.runner_id, process)
    check = effects.Call(call, runner.listed.address, CHECK_TIMEOUT_SECONDS)
    return transitions.Transition(noted, (check,))


def add_unconfirmed(
    process: str,
    waiting: tuple[crash_records.CrashedRequest, ...],
    state: 'states.State',
) -> 'states.State':
    """Keep the requests without an event until a process was checked."""
    known = state.crashes.unconfirmed.get(process, ())
    added = tuple(request for request in waiting if request not in known)
    kept = (*known, *added)[: crash_records.MAXIMUM_REQUESTS_PER_CRASH]
    return crash_sharing.replace_crashes(
        state, unconfirmed=state.crashes.unconfirmed.set(process, kept)
    )


def record_lost(
    process: str,
    waiting: tuple[crash_records.CrashedRequest, ...],
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Record what a crash has cut: requests without an event, and all others."""
    recorded: reducer.Transition = transitions.Transition(state)
    if waiting:
        recorded = crash_sharing.record_crash(process, waiting, now, state)
    return recorded.then(
        lambda current: lost_requests.confirm_crash(process, now, current)
    )


def describe_request(
    exchange: exchanges.Exchange,
) -> crash_records.CrashedRequest:
    """Return a request as evidence."""
    return crash_records.CrashedRequest(
        exchange.tenant or '',
        fingerprints.list_parts(exchange.tenant, exchange.request),
    )


def name_process(
    attempt: exchanges.Attempt, runner: runners.Runner, state: 'states.State'
) -> str:
    """Return a name for the process of a runner that a send has reached.

    A process that accepts a send after its crash is a new one, whose entry has
    not been read yet.
    """
    process = name_listed_process(runner)
    crashed_at = list_crash_times(attempt.started_at, state)
    while crashed_at.get(process, attempt.started_at) < attempt.started_at:
        process += RESTARTED_SUFFIX
    return process


def list_crash_times(now: float, state: 'states.State') -> dict[str, float]:
    """Return when each process has crashed that is known to have done so."""
    crashed_at = {
        crash_records.name_process(
            fault.runner_id, fault.started_at_ms
        ): fault.found_at
        for fault in state.faults.faults
        if fault.kind is fault_reports.FaultKind.CRASHED
        and fault_reports.is_current(fault, now)
    }
    for crash in state.crashes.crashes:
        crashed_at[crash.process] = crash.crashed_at
    return crashed_at


def name_listed_process(runner: runners.Runner) -> str:
    """Return the name of the process in the entry of a runner."""
    listed = runner.listed
    return crash_records.name_process(listed.runner_id, listed.started_at_ms)


@reducer.on_answer.register(calls.CheckRunner)
def handle_check_answer(
    call: calls.CheckRunner, event: events.CallAnswered, state: 'states.State'
) -> reducer.Transition:
    """Drop the requests of a runner that has not crashed."""
    return transitions.Transition(drop_unconfirmed(call.process, state))


@reducer.on_failure.register(calls.CheckRunner)
def handle_check_failure(
    call: calls.CheckRunner, event: events.CallFailed, state: 'states.State'
) -> reducer.Transition:
    """Record the crash of a runner that refuses connections."""
    kind = event.failure.kind
    if kind is events.FailureKind.CLOSED and not call.is_repeated:
        repeated = dataclasses.replace(call, is_repeated=True)
        check = effects.Call(repeated, event.address, CHECK_TIMEOUT_SECONDS)
        return transitions.Transition(state, (check,))
    crashed_requests = state.crashes.unconfirmed.get(call.process)
    state = drop_unconfirmed(call.process, state)
    if kind is not events.FailureKind.REFUSED or crashed_requests is None:
        return transitions.Transition(state)
    recorded = record_lost(call.process, crashed_requests, event.at, state)
    if not crashed_requests:
        # Those that watch the runner tell the others of its fault.
        return recorded
    return recorded.then(
        lambda current: record_fault(
            call.runner_id, call.process, event.at, current
        )
    )


def record_fault(
    runner_id: str, process: str, now: float, state: 'states.State'
) -> reducer.Transition:
    """Tell other instances of the crash of a listed process."""
    runner = state.runners.get(runner_id)
    if runner is None or name_listed_process(runner) != process:
        return transitions.Transition(state)
    fault = fault_reports.Fault(
        runner_id,
        runner.listed.started_at_ms,
        fault_reports.FaultKind.CRASHED,
        now,
    )
    return fault_moves.handle_faults(
        (fault,), fault_reports.FaultOrigin.CHECKED, now, state
    )


def drop_unconfirmed(process: str, state: 'states.State') -> 'states.State':
    """Return the state without the unconfirmed requests of a process."""
    if process not in state.crashes.unconfirmed:
        return state
    return crash_sharing.replace_crashes(
        state, unconfirmed=state.crashes.unconfirmed.delete(process)
    )


def note_first_event(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> reducer.Transition:
    """Record that a request has begun to write without a crash.

    If its parts are under suspicion, the other instances are told. Fingerprints
    are recorded only then, because almost every request has others.
    """
    known = state.crashes
    cleared = list_suspected_parts(exchange, known)
    prompt = exchange.request.prompt
    shared = prompt.shared_parts if prompt else ()
    if not shared and not cleared:
        return transitions.Transition(state)
    begun = crash_records.record_begun(known.begun, {*shared, *cleared}, now)
    if not cleared:
        return transitions.Transition(
            crash_sharing.replace_crashes(state, begun=begun)
        )
    updated = crash_evidence.update_conclusions(
        dataclasses.replace(known, begun=begun), now
    )
    return crash_sharing.adopt(updated, now, state).then(
        lambda current: crash_sharing.share((), cleared, now, current)
    )


def list_suspected_parts(
    exchange: exchanges.Exchange, known: crash_evidence.CrashState
) -> frozenset[str]:
    """Return the parts of a request that are under suspicion."""
    if not known.suspected:
        return frozenset()
    return known.suspected.intersection(
        fingerprints.list_parts(exchange.tenant, exchange.request)
    )
