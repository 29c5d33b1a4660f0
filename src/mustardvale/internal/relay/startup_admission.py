"""Admit requests, and let them wait for the first reads of an instance."""

import dataclasses
import typing

from mustardvale.internal import draws, events, transitions
from mustardvale.internal.relay import (
    admission,
    completion,
    configuration,
    configuration_feed,
    reducer,
    requests,
    startup_waits,
    stopping,
    timers,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states


@reducer.on_request.register(requests.ClientRequest)
def admit_request(
    request: requests.ClientRequest,
    event: events.CallerRequested,
    state: 'states.State',
) -> reducer.Transition:
    """Relay a request, refuse it, or keep it until the first reads."""
    readiness = describe_readiness(state, event.at)
    missing = find_missing(request, readiness, state)
    ends_at = startup_waits.compute_wait_end(request, event.at)
    verdict = startup_waits.judge(missing, readiness, ends_at, event.at)
    is_malformed = not request.attempt_id
    if is_malformed or verdict is startup_waits.Verdict.ADMIT:
        return admission.relay_or_refuse(event, event.at, state)
    if verdict is startup_waits.Verdict.WAIT and startup_waits.has_place(
        state.startup
    ):
        return startup_waits.begin_wait(event, missing, state)
    return refuse_unread(event, missing, event.at, state)


def describe_readiness(
    state: 'states.State', now: float
) -> startup_waits.Readiness:
    """Return what this instance has read since its start."""
    failing_since = state.configuration.failing_since
    runner_list = state.runner_list
    if failing_since is None and runner_list.is_failing:
        failing_since = runner_list.failed_at
    return startup_waits.Readiness(
        is_configured=state.configuration.active is not None,
        is_listed=runner_list.read_at is not None,
        are_keys_usable=(
            state.startup.were_keys_usable
            or configuration_feed.may_serve_keys(state, now)
        ),
        is_stopping=state.stopping is not None,
        failing_since=failing_since,
        keys_usable_from=state.store_copy.confirms_from,
    )


def find_missing(
    request: requests.ClientRequest,
    readiness: startup_waits.Readiness,
    state: 'states.State',
) -> str:
    """Return what has to be read before a request, empty if nothing."""
    return startup_waits.find_missing(
        not readiness.are_keys_usable and has_key_to_check(request, state),
        readiness,
    )


def has_key_to_check(
    request: requests.ClientRequest, state: 'states.State'
) -> bool:
    """Return whether the key of a request decides on its admission."""
    active = state.configuration.active
    if active is None or not active.is_key_required or not request.api_key:
        return False
    route = configuration.find_route(active, request.host, request.path)
    return route is None or not route.is_public


@reducer.on_timer.register(timers.StartupCheckDue)
def check_startup_waits(
    timer: timers.StartupCheckDue,
    event: events.TimerFired,
    state: 'states.State',
) -> reducer.Transition:
    """End the waits that can end, the most urgent requests first.

    The rest of a large group follows in further events.
    """
    ordered = state.startup.release_ids or list_ready_ids(event.at, state)
    count = startup_waits.MAXIMUM_RELEASED_REQUESTS
    startup = dataclasses.replace(state.startup, release_ids=ordered[count:])
    return decide_each(
        ordered[:count],
        decide_waiting,
        event.at,
        dataclasses.replace(state, startup=startup),
    )


def list_ready_ids(now: float, state: 'states.State') -> tuple[str, ...]:
    """Return the requests whose wait ends now, in order of urgency."""
    readiness = describe_readiness(state, now)
    ready = [
        wait
        for wait in state.startup.waiting.values()
        if judge_wait(wait, readiness, now, state)
        is not startup_waits.Verdict.WAIT
    ]
    ready.sort(
        key=lambda wait: (
            admission.find_urgency(wait.event.request, state),
            wait.ends_at,
        )
    )
    return tuple(wait.event.request_id for wait in ready)


def judge_wait(
    wait: startup_waits.StartupWait,
    readiness: startup_waits.Readiness,
    now: float,
    state: 'states.State',
) -> startup_waits.Verdict:
    """Decide whether the wait of a request ends, and how."""
    missing = find_missing(wait.event.request, readiness, state)
    return startup_waits.judge(missing, readiness, wait.ends_at, now)


def decide_each(
    request_ids: tuple[str, ...],
    decide: typing.Callable[[str, float, 'states.State'], reducer.Transition],
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Decide on each request that still waits, then set the next check."""
    decided: reducer.Transition = transitions.Transition(state).then_each(
        request_ids,
        lambda request_id, current: (
            decide(request_id, now, current)
            if request_id in current.startup.waiting
            else transitions.Transition(current)
        ),
    )
    return decided.then(lambda current: schedule_next(now, current))


def schedule_next(now: float, state: 'states.State') -> reducer.Transition:
    """Set the next check: at once for a rest, else when a wait ends."""
    startup = dataclasses.replace(state.startup, check_due_at=None)
    unscheduled = dataclasses.replace(state, startup=startup)
    if not startup.waiting:
        return transitions.Transition(unscheduled)
    due_at = now
    if not startup.release_ids:
        due_at = min(wait.ends_at for wait in startup.waiting.values())
    return startup_waits.schedule_check(due_at, now, unscheduled)


def decide_waiting(
    request_id: str, now: float, state: 'states.State'
) -> reducer.Transition:
    """Admit or refuse a waiting request, or let it wait on."""
    wait = state.startup.waiting[request_id]
    event = wait.event
    readiness = describe_readiness(state, now)
    verdict = judge_wait(wait, readiness, now, state)
    if verdict is startup_waits.Verdict.WAIT:
        return transitions.Transition(state)
    if verdict is startup_waits.Verdict.REFUSE:
        missing = find_missing(event.request, readiness, state)
        return refuse_waiting(request_id, missing, now, state)
    urgency = admission.find_urgency(event.request, state)
    return startup_waits.end_wait(
        request_id, urgency, 'admitted', now, state
    ).then(lambda current: admission.relay_or_refuse(event, now, current))


def refuse_waiting(
    request_id: str, reason: str, now: float, state: 'states.State'
) -> reducer.Transition:
    """Refuse a request that has waited for the first reads."""
    event = state.startup.waiting[request_id].event
    return startup_waits.end_wait(request_id, None, 'refused', now, state).then(
        lambda current: refuse_unread(event, reason, now, current)
    )


def refuse_unread(
    event: events.CallerRequested,
    reason: str,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Refuse a request that cannot be checked yet, with a time to retry."""
    drawn = draws.draw(state.seed)
    error = admission.build_unavailable_error(
        event.request,
        reason,
        estimate_retry_seconds(event, drawn.fraction, now, state),
    )
    return completion.refuse_unadmitted(
        event.request_id,
        event.request,
        error.refusal,
        error.reason,
        dataclasses.replace(state, seed=drawn.seed),
    )


def estimate_retry_seconds(
    event: events.CallerRequested,
    fraction: float,
    now: float,
    state: 'states.State',
) -> float:
    """Return after how many seconds a refused request may be checked."""
    if state.stopping is not None:
        return stopping.compute_retry_seconds(state, now)
    pending_since = describe_readiness(state, now).failing_since
    if pending_since is None:
        pending_since = event.at
    left_seconds = None
    if event.request.deadline_seconds is not None:
        left_seconds = event.at + event.request.deadline_seconds - now
    return startup_waits.estimate_retry_seconds(
        now - pending_since, left_seconds, fraction
    )


def check_singly(now: float, state: 'states.State') -> reducer.Transition:
    """Decide on the requests one by one; refuse those whose check raises."""
    startup = dataclasses.replace(state.startup, release_ids=())
    return decide_each(
        tuple(startup.waiting),
        decide_or_refuse,
        now,
        dataclasses.replace(state, startup=startup),
    )


def decide_or_refuse(
    request_id: str, now: float, state: 'states.State'
) -> reducer.Transition:
    """Decide on a request, or refuse it if that raises an exception."""
    try:
        return decide_waiting(request_id, now, state)
    except Exception:
        return refuse_waiting(request_id, 'internal error', now, state)
