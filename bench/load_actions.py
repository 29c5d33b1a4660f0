"""Ask for operations of the plain service and check their answers."""

import dataclasses
import typing

import msgspec

from bench import load_calls, load_requests, load_state, load_work
from mustardvale.internal import effects, events, transitions

FIRST_ERROR_STATUS = 400


@load_requests.build_call.register(load_work.ActionWork)
def build_action_call(
    work: load_work.ActionWork,
    request: load_state.Request,
    account: str,
    deadline_seconds: float,
) -> load_calls.ActionCall:
    """Ask for the operation, always with the same key."""
    return load_calls.ActionCall(
        request_id=request.request_id,
        call_number=request.call_count,
        account=account,
        service=work.service,
        operation=work.operation,
        idempotency_key=work.key,
        body=work.body,
        deadline_seconds=deadline_seconds,
    )


@load_requests.build_start_fields.register(load_work.ActionWork)
def build_action_start_fields(
    work: load_work.ActionWork,
    request: load_state.Request,
) -> dict[str, typing.Any]:
    """Return what is asked for."""
    return {
        'target': f'{work.service}/{work.operation}',
        'idempotent': work.is_idempotent,
        'body': work.body.decode(),
        'repeats': request.first_answer_body is not None,
    }


def handle_action_answer(
    called: load_calls.ActionCall,
    event: events.CallAnswered,
    state: load_state.State,
) -> load_state.Transition:
    """Take an answer or an error to the current call."""
    request = load_requests.find_current_request(called, state)
    if request is None:
        return transitions.Transition(state)
    if isinstance(event.answer, load_calls.CallError):
        return load_requests.handle_error(request, event.answer, event, state)
    answered: load_calls.ActionAnswer = event.answer
    line = load_requests.build_record(
        'end',
        request,
        event,
        status=answered.status,
        body=answered.body.decode(errors='replace'),
        replayed=answered.was_replayed,
    )
    noted: tuple[effects.Effect, ...] = (line,)
    if request.first_answer_body is None:
        waited = event.at - request.due_at
        noted = (line, effects.Observe('action', waited))
    return transitions.Transition(state, noted).then(
        lambda now: repeat_or_finish(request, answered, event, now),
    )


def repeat_or_finish(
    request: load_state.Request,
    answered: load_calls.ActionAnswer,
    event: events.CallAnswered,
    state: load_state.State,
) -> load_state.Transition:
    """Repeat an answered action once if it was chosen for it, or end it."""
    problem = find_problem(request, answered)
    if problem:
        return load_requests.finish_request(
            request, 'wrong', event, state, problem
        )
    if answered.status >= FIRST_ERROR_STATUS:
        problem = f'status {answered.status}'
        return load_requests.finish_request(
            request, 'failed', event, state, problem
        )
    if request.has_repeat and request.first_answer_body is None:
        repeated = dataclasses.replace(
            request,
            first_answer_body=answered.body,
            is_outcome_unknown=False,
        )
        return load_requests.start_call(repeated, event, state)
    return load_requests.finish_request(request, 'right', event, state)


class OperationAnswer(msgspec.Struct, frozen=True):
    """Hold the part of the stand-in's answer that is checked."""

    operation: str


def find_problem(
    request: load_state.Request,
    answered: load_calls.ActionAnswer,
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
    if request.first_answer_body not in (None, answered.body):
        return 'a repeat with the same key was answered differently'
    return ''
