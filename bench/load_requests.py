"""Call, call again and end the requests of the load tool."""

import dataclasses
import functools
import typing

from bench import load_calls, load_history, load_state, load_work
from mustardvale.internal import effects, events, transitions

MINIMUM_WAIT_SECONDS = 0.02
MAXIMUM_WAIT_SECONDS = 2.0
UNKNOWN_WAIT_SECONDS = 0.5
LATER_CALL_SECONDS = 0.5
# A request that is refused for one of these reasons is refused everywhere.
PERMANENT_STATUSES = frozenset((400, 401, 403, 404, 413, 422))


@functools.singledispatch
def name_work(work: load_work.Work) -> str:
    """Name the kind of work in the history."""
    raise TypeError(type(work).__name__)


@name_work.register(load_work.AnswerWork)
def name_answer(work: load_work.AnswerWork) -> str:
    """Name a model answer."""
    return 'answer'


@name_work.register(load_work.ActionWork)
def name_action(work: load_work.ActionWork) -> str:
    """Name an action."""
    return 'action'


def record(
    name: str,
    request: load_state.Request,
    event: events.Event,
    **fields: typing.Any,
) -> load_history.Record:
    """Describe a line of the history."""
    return load_history.Record(
        event=name,
        at=event.at,
        wall=event.wall_time,
        request=request.request_id,
        call=request.calls,
        work=name_work(request.work),
        entry=request.entry,
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
def describe_start(
    work: load_work.Work,
    request: load_state.Request,
) -> dict[str, typing.Any]:
    """Return the fields of a `start` line that depend on the work."""
    raise TypeError(type(work).__name__)


def call(
    request: load_state.Request,
    event: events.Event,
    state: load_state.State,
) -> load_state.Transition:
    """Make the next call of a request at its caller's next entry address."""
    caller = state.callers[request.caller]
    request = dataclasses.replace(
        request,
        entry=caller.entries[request.calls % len(caller.entries)],
        calls=request.calls + 1,
        call_first=len(request.tokens),
    )
    remaining = max(
        request.wanted_at + state.plan.deadline_seconds - event.at,
        MINIMUM_WAIT_SECONDS,
    )
    built = build_call(request.work, request, caller.account, remaining)
    started = record(
        'start',
        request,
        event,
        account=caller.account,
        **describe_start(request.work, request),
    )
    return transitions.Transition(
        load_state.with_request(request, state),
        (
            started,
            effects.Count('calls', (name_work(request.work),)),
            # The entry instance answers at the deadline, so wait a bit longer.
            effects.Call(built, request.entry, remaining + LATER_CALL_SECONDS),
            *stall_timer(request, state),
        ),
    )


def stall_timer(
    request: load_state.Request,
    state: load_state.State,
) -> tuple[effects.Effect, ...]:
    """Set the timer that gives up the current call of an answer."""
    if not isinstance(request.work, load_work.AnswerWork):
        return ()
    timer = load_state.Stalled(request.request_id, request.calls)
    return (effects.SetTimer(timer, state.plan.stall_seconds),)


def find_current(
    called: typing.Any,
    state: load_state.State,
) -> load_state.Request | None:
    """Return the request whose current call this is, if it is in flight."""
    request = state.requests.get(called.request_id)
    if request is None or request.calls != called.call:
        return None
    return request


def take_error(
    request: load_state.Request,
    error: load_calls.ErrorAnswer,
    event: events.Event,
    state: load_state.State,
) -> load_state.Transition:
    """Record an error and call again unless that cannot help."""
    if request.call_first < len(request.tokens):
        request = close_segment(request, '')
    uncertain = error.outcome != 'not_run' and error.sent
    request = dataclasses.replace(
        request,
        unknown=uncertain or (request.unknown and error.scope != 'key'),
        errors=request.errors + 1,
    )
    recorded = record(
        'error',
        request,
        event,
        kind=error.kind,
        status=error.status,
        code=error.code,
        outcome=error.outcome,
        scope=error.scope,
        retry_after=error.retry_after_seconds,
        sent=error.sent,
        message=error.message,
        count=len(request.tokens),
    )
    label = error.code or error.kind
    kind = 'refusals' if error.kind == 'refused' else 'failures'
    noted: tuple[effects.Effect, ...] = (
        recorded,
        effects.Count(kind, (label,)),
        effects.CancelTimer(
            load_state.Stalled(request.request_id, request.calls),
        ),
    )
    return call_later(request, error, event, state, noted)


def call_later(
    request: load_state.Request,
    error: load_calls.ErrorAnswer,
    event: events.Event,
    state: load_state.State,
    noted: tuple[effects.Effect, ...],
) -> load_state.Transition:
    """Wait before the next call, or end a request that is out of calls."""
    wait = find_wait(request, error)
    ends_at = request.wanted_at + state.plan.deadline_seconds
    if (
        error.status in PERMANENT_STATUSES
        or request.calls >= state.plan.maximum_calls
        or event.at + wait >= ends_at
    ):
        verdict = 'cut' if request.unknown or request.tokens else 'refused'
        problem = error.code or error.kind
        ended = finish(request, verdict, event, state, problem)
        return transitions.Transition(ended.state, noted + ended.effects)
    due = load_state.CallDue(request.request_id, request.calls)
    return transitions.Transition(
        load_state.with_request(request, state),
        (*noted, effects.SetTimer(due, wait)),
    )


def find_wait(
    request: load_state.Request,
    error: load_calls.ErrorAnswer,
) -> float:
    """Return how long to wait before the next call."""
    if request.unknown and isinstance(request.work, load_work.ActionWork):
        return UNKNOWN_WAIT_SECONDS
    wait = min(error.retry_after_seconds, MAXIMUM_WAIT_SECONDS)
    return max(wait, MINIMUM_WAIT_SECONDS)


def close_segment(
    request: load_state.Request,
    version: str,
) -> load_state.Request:
    """Note which model version the tokens of the current call came from."""
    segment = load_state.Segment(
        request.call_first,
        len(request.tokens),
        version,
    )
    return dataclasses.replace(
        request,
        segments=(*request.segments, segment),
        call_first=len(request.tokens),
    )


def finish(
    request: load_state.Request,
    verdict: str,
    event: events.Event,
    state: load_state.State,
    problem: str = '',
) -> load_state.Transition:
    """End a request with a verdict."""
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
    recorded = record(
        'verdict',
        request,
        event,
        verdict=verdict,
        problem=problem,
        tokens=len(request.tokens),
        calls=request.calls,
    )
    noted: tuple[effects.Effect, ...] = (
        recorded,
        effects.Count('verdicts', (name_work(request.work), verdict)),
        effects.Count('requests', (str(event.at <= state.ends_at),)),
        effects.CancelTimer(
            load_state.Stalled(request.request_id, request.calls),
        ),
    )
    if request.errors and verdict == 'right':
        noted = (*noted, effects.Count('recovered'))
    return transitions.Transition(state, noted).then(
        functools.partial(end_if_drained, event),
    )


def end_if_drained(
    event: events.Event,
    state: load_state.State,
) -> load_state.Transition:
    """End the run once no request is in flight and no more will start."""
    if state.requests or event.at < state.ends_at:
        return transitions.Transition(state)
    return end_run(event, state)


def end_run(
    event: events.Event,
    state: load_state.State,
) -> load_state.Transition:
    """Write the summary and stop; wrong or cut answers give exit code 1."""
    if state.finished:
        return transitions.Transition(state)
    seconds = min(event.at, state.ends_at) - state.started_at
    failed = bool(state.totals.wrong or state.totals.cut)
    return transitions.Transition(
        dataclasses.replace(state, finished=True),
        (
            load_history.WriteSummary(seconds),
            effects.StopLoop(int(failed)),
        ),
    )
