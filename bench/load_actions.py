"""Ask for operations of the plain service and check their answers."""

import dataclasses
import typing

import msgspec

from bench import load_calls, load_requests, load_state, load_work
from mustardvale.internal import effects, events, transitions

FIRST_ERROR_STATUS = 400


@load_requests.build_call.register(load_work.ActionWork)
def build_ask_action(
    work: load_work.ActionWork,
    request: load_state.Request,
    account: str,
    deadline_seconds: float,
) -> load_calls.AskAction:
    """Ask for the operation, always with the same key."""
    return load_calls.AskAction(
        request_id=request.request_id,
        call=request.calls,
        account=account,
        service=work.service,
        operation=work.operation,
        idempotency_key=work.key,
        body=work.body,
        deadline_seconds=deadline_seconds,
    )


@load_requests.describe_start.register(load_work.ActionWork)
def describe_action_start(
    work: load_work.ActionWork,
    request: load_state.Request,
) -> dict[str, typing.Any]:
    """Return what is asked for."""
    return {
        'target': f'{work.service}/{work.operation}',
        'idempotent': work.idempotent,
        'body': work.body.decode(),
        'repeats': request.answered is not None,
    }


def take_action_answer(
    called: load_calls.AskAction,
    event: events.CallAnswered,
    state: load_state.State,
) -> load_state.Transition:
    """Take an answer or an error to the current call."""
    request = load_requests.find_current(called, state)
    if request is None:
        return transitions.Transition(state)
    if isinstance(event.answer, load_calls.ErrorAnswer):
        return load_requests.take_error(request, event.answer, event, state)
    answered: load_calls.ActionAnswered = event.answer
    line = load_requests.record(
        'end',
        request,
        event,
        status=answered.status,
        body=answered.body.decode(errors='replace'),
        replayed=answered.replayed,
    )
    noted: tuple[effects.Effect, ...] = (line,)
    if request.answered is None:
        waited = event.at - request.wanted_at
        noted = (line, effects.Observe('action', waited))
    return transitions.Transition(state, noted).then(
        lambda now: go_on(request, answered, event, now),
    )


def go_on(
    request: load_state.Request,
    answered: load_calls.ActionAnswered,
    event: events.CallAnswered,
    state: load_state.State,
) -> load_state.Transition:
    """Repeat an answered action once if it was chosen for it, or end it."""
    problem = find_problem(request, answered)
    if problem:
        return load_requests.finish(request, 'wrong', event, state, problem)
    if answered.status >= FIRST_ERROR_STATUS:
        problem = f'status {answered.status}'
        return load_requests.finish(request, 'failed', event, state, problem)
    if request.repeat and request.answered is None:
        repeated = dataclasses.replace(
            request,
            answered=answered.body,
            unknown=False,
        )
        return load_requests.call(repeated, event, state)
    return load_requests.finish(request, 'right', event, state)


class OperationAnswer(msgspec.Struct, frozen=True):
    """Hold the part of the stand-in's answer that is checked."""

    operation: str


def find_problem(
    request: load_state.Request,
    answered: load_calls.ActionAnswered,
) -> str:
    """Return what is wrong with an answer, or an empty text."""
    work = request.work
    assert isinstance(work, load_work.ActionWork), 'only actions are answered'
    if answered.status >= FIRST_ERROR_STATUS:
        return ''
    try:
        decoded = msgspec.json.decode(answered.body, type=OperationAnswer)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return f'answer does not decode: {answered.body[:80]!r}'
    if decoded.operation != work.operation:
        return f'answer to {decoded.operation}'
    if request.answered not in (None, answered.body):
        return 'a repeat with the same key was answered differently'
    return ''
