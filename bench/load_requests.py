"""Start calls, retry them and end the requests of the load tool."""

import dataclasses
import functools
import typing

from bench import load_calls, load_history, load_state, load_work
from mustardvale.internal import effects, events, transitions

MINIMUM_WAIT_SECONDS = 0.02
MAXIMUM_WAIT_SECONDS = 2.0
UNKNOWN_OUTCOME_WAIT_SECONDS = 0.5
CALL_TIMEOUT_MARGIN_SECONDS = 0.5
# Every entry instance answers such a request alike, so a retry cannot help.
PERMANENT_STATUSES = frozenset((400, 401, 403, 404, 413, 422))


@functools.singledispatch
def get_work_name(work: load_work.Work) -> str:
    """Return the name of the kind of work in the history."""
    raise TypeError(type(work).__name__)


@get_work_name.register(load_work.AnswerWork)
def get_answer_name(work: load_work.AnswerWork) -> str:
    """Return the name of a model answer."""
    return 'answer'


@get_work_name.register(load_work.ActionWork)
def get_action_name(work: load_work.ActionWork) -> str:
    """Return the name of an action."""
    return 'action'


def build_record(
    name: str,
    request: load_state.Request,
    event: events.Event,
    **fields: typing.Any,
) -> load_history.Record:
    """Build a line of the history with the common and further fields."""
    return load_history.Record(
        event=name,
        at=event.at,
        wall_time=event.wall_time,
        request=request.request_id,
        call=request.call_count,
        work=get_work_name(request.work),
        entry=request.entry_address,
        key=getattr(request.work, 'key', ''),
        fields=tuple(fields.items()),
    )


@functools.singledispatch
def build_call(
    work: load_work.Work,
    request: load_state.Request,
    account: str,
    deadline_seconds: float,
) -> typing.Any:
    """Build the next call of a request."""
    raise TypeError(type(work).__name__)


@functools.singledispatch
def build_start_fields(
    work: load_work.Work,
    request: load_state.Request,
) -> dict[str, typing.Any]:
    """Build the fields of a `start` line that depend on the work."""
    raise TypeError(type(work).__name__)


def start_call(
    request: load_state.Request,
    event: events.Event,
    state: load_state.State,
) -> load_state.Transition:
    """Start the next call of a request at its caller's next entry address."""
    caller = state.callers[request.caller_number]
    request = dataclasses.replace(
        request,
        entry_address=caller.entry_addresses[
            request.call_count % len(caller.entry_addresses)
        ],
        call_count=request.call_count + 1,
        tokens_before_call=len(request.tokens),
    )
    remaining_seconds = max(
        request.due_at + state.plan.deadline_seconds - event.at,
        MINIMUM_WAIT_SECONDS,
    )
    call = build_call(request.work, request, caller.account, remaining_seconds)
    record = build_record(
        'start',
        request,
        event,
        account=caller.account,
        **build_start_fields(request.work, request),
    )
    return transitions.Transition(
        load_state.with_request(request, state),
        (
            record,
            effects.Count('calls', (get_work_name(request.work),)),
            # The entry instance answers at the deadline at the latest; the
            # margin lets this answer arrive.
            effects.Call(
                call,
                request.entry_address,
                remaining_seconds + CALL_TIMEOUT_MARGIN_SECONDS,
            ),
            *build_stall_timer(request, state),
        ),
    )


def build_stall_timer(
    request: load_state.Request,
    state: load_state.State,
) -> tuple[effects.Effect, ...]:
    """Build the timer that abandons a call without new tokens."""
    if not isinstance(request.work, load_work.AnswerWork):
        return ()
    timer = load_state.StallTimeout(request.request_id, request.call_count)
    return (effects.SetTimer(timer, state.plan.stall_seconds),)


def find_current_request(
    call: typing.Any,
    state: load_state.State,
) -> load_state.Request | None:
    """Return the request in flight whose current call this is, else `None`."""
    request = state.requests.get(call.request_id)
    if request is None or request.call_count != call.call_number:
        return None
    return request


def handle_error(
    request: load_state.Request,
    error: load_calls.CallError,
    event: events.Event,
    state: load_state.State,
) -> load_state.Transition:
    """Record an error, then retry the request or end it.

    An unknown outcome stays unknown until an error says that nothing ran for
    the whole scope of the key, not only for its own call.
    """
    if request.tokens_before_call < len(request.tokens):
        request = close_segment(request, '')
    may_have_run = error.outcome != 'not_run' and error.was_sent
    request = dataclasses.replace(
        request,
        is_outcome_unknown=may_have_run
        or (request.is_outcome_unknown and error.scope != 'key'),
        error_count=request.error_count + 1,
    )
    record = build_record(
        'error',
        request,
        event,
        kind=error.kind,
        status=error.status,
        code=error.code,
        outcome=error.outcome,
        scope=error.scope,
        retry_after=error.retry_after_seconds,
        sent=error.was_sent,
        message=error.message,
        count=len(request.tokens),
    )
    label = error.code or error.kind
    kind = 'refusals' if error.kind == 'refused' else 'failures'
    emitted: tuple[effects.Effect, ...] = (
        record,
        effects.Count(kind, (label,)),
        effects.CancelTimer(
            load_state.StallTimeout(request.request_id, request.call_count),
        ),
    )
    return retry_or_finish(request, error, event, state, emitted)


def retry_or_finish(
    request: load_state.Request,
    error: load_calls.CallError,
    event: events.Event,
    state: load_state.State,
    emitted: tuple[effects.Effect, ...],
) -> load_state.Transition:
    """Schedule the next call, or end a request that cannot be retried."""
    wait_seconds = compute_retry_wait(request, error)
    ends_at = request.due_at + state.plan.deadline_seconds
    if (
        error.status in PERMANENT_STATUSES
        or request.call_count >= state.plan.maximum_calls
        or event.at + wait_seconds >= ends_at
    ):
        verdict = (
            'cut' if request.is_outcome_unknown or request.tokens else 'refused'
        )
        problem = error.code or error.kind
        ended = finish_request(request, verdict, event, state, problem)
        return transitions.Transition(ended.state, emitted + ended.effects)
    due = load_state.RetryDue(request.request_id, request.call_count)
    return transitions.Transition(
        load_state.with_request(request, state),
        (*emitted, effects.SetTimer(due, wait_seconds)),
    )


def compute_retry_wait(
    request: load_state.Request,
    error: load_calls.CallError,
) -> float:
    """Compute the wait before the next call in seconds."""
    if request.is_outcome_unknown and isinstance(
        request.work, load_work.ActionWork
    ):
        return UNKNOWN_OUTCOME_WAIT_SECONDS
    wait_seconds = min(error.retry_after_seconds, MAXIMUM_WAIT_SECONDS)
    return max(wait_seconds, MINIMUM_WAIT_SECONDS)


def close_segment(
    request: load_state.Request,
    version: str,
) -> load_state.Request:
    """Add a segment with the tokens and model version of the current call."""
    segment = load_state.Segment(
        request.tokens_before_call,
        len(request.tokens),
        version,
    )
    return dataclasses.replace(
        request,
        segments=(*request.segments, segment),
        tokens_before_call=len(request.tokens),
    )


def finish_request(
    request: load_state.Request,
    verdict: str,
    event: events.Event,
    state: load_state.State,
    problem: str = '',
) -> load_state.Transition:
    """End a request with a verdict, and the run if it was the last one."""
    totals = dataclasses.replace(
        state.totals,
        wrong=state.totals.wrong + (verdict == 'wrong'),
        cut=state.totals.cut + (verdict == 'cut'),
    )
    state = dataclasses.replace(
        state,
        requests=state.requests.delete(request.request_id),
        totals=totals,
    )
    record = build_record(
        'verdict',
        request,
        event,
        verdict=verdict,
        problem=problem,
        tokens=len(request.tokens),
        calls=request.call_count,
    )
    emitted: tuple[effects.Effect, ...] = (
        record,
        effects.Count('verdicts', (get_work_name(request.work), verdict)),
        effects.Count('requests', (str(event.at <= state.ends_at),)),
        effects.CancelTimer(
            load_state.StallTimeout(request.request_id, request.call_count),
        ),
    )
    if request.error_count and verdict == 'right':
        emitted = (*emitted, effects.Count('recovered'))
    return transitions.Transition(state, emitted).then(
        functools.partial(end_if_drained, event),
    )


def end_if_drained(
    event: events.Event,
    state: load_state.State,
) -> load_state.Transition:
    """End the run if no request is in flight and no more will start."""
    if state.requests or event.at < state.ends_at:
        return transitions.Transition(state)
    return end_run(event, state)


def end_run(
    event: events.Event,
    state: load_state.State,
) -> load_state.Transition:
    """Write the summary and stop; wrong or cut requests give exit code 1."""
    if state.is_finished:
        return transitions.Transition(state)
    seconds = min(event.at, state.ends_at) - state.started_at
    failed = bool(state.totals.wrong or state.totals.cut)
    return transitions.Transition(
        dataclasses.replace(state, is_finished=True),
        (
            load_history.WriteSummary(seconds),
            effects.StopLoop(int(failed)),
        ),
    )
