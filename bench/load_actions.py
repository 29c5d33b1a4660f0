"""Call operations of the action service and check their answers."""

import dataclasses
import functools
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
    """Build a call of the operation; all calls have the same key."""
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
    """Build the fields of a `start` line for an action."""
    return {
        'target': f'{work.service}/{work.operation}',
        'idempotent': work.is_idempotent,
        'body': work.body.decode(),
        'repeats': request.first_answer_body is not None,
    }


def handle_action_answer(
    call: load_calls.ActionCall,
    event: events.CallAnswered,
    state: load_state.State,
) -> load_state.Transition:
    """Check the answer or error to the current call; ignore earlier calls."""
    request = load_requests.find_current_request(call, state)
    if request is None:
        return transitions.Transition(state)
    if isinstance(event.answer, load_calls.CallError):
        return load_requests.handle_error(request, event.answer, event, state)
    answer: load_calls.ActionAnswer = event.answer
    record = load_requests.build_record(
        'end',
        request,
        event,
        status=answer.status,
        body=answer.body.decode(errors='replace'),
        replayed=answer.was_replayed,
    )
    emitted: tuple[effects.Effect, ...] = (record,)
    if request.first_answer_body is None:
        latency_seconds = event.at - request.due_at
        emitted = (record, effects.Observe('action', latency_seconds))
    return transitions.Transition(state, emitted).then(
        functools.partial(repeat_or_finish, request, answer, event),
    )


def repeat_or_finish(
    request: load_state.Request,
    answer: load_calls.ActionAnswer,
    event: events.CallAnswered,
    state: load_state.State,
) -> load_state.Transition:
    """Repeat an answered action once if the request asks for it, or end it."""
    problem = find_problem(request, answer)
    if problem:
        return load_requests.finish_request(
            request, 'wrong', event, state, problem
        )
    if answer.status >= FIRST_ERROR_STATUS:
        problem = f'status {answer.status}'
        return load_requests.finish_request(
            request, 'failed', event, state, problem
        )
    if request.has_repeat and request.first_answer_body is None:
        repeated = dataclasses.replace(
            request,
            first_answer_body=answer.body,
            is_outcome_unknown=False,
        )
        return load_requests.start_call(repeated, event, state)
    return load_requests.finish_request(request, 'right', event, state)


class OperationAnswer(msgspec.Struct, frozen=True):
    """Hold the field of the stand-in's answer that is checked."""

    operation: str


def find_problem(
    request: load_state.Request,
    answer: load_calls.ActionAnswer,
) -> str:
    """Return a description of a wrong answer, or an empty string.

    A repeat with the same key must return the body of the first answer.
    """
    work = request.work
    assert isinstance(work, load_work.ActionWork), 'only actions are answered'
    if answer.status >= FIRST_ERROR_STATUS:
        return ''
    try:
        decoded = msgspec.json.decode(answer.body, type=OperationAnswer)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return f'answer does not decode: {answer.body[:80]!r}'
    if decoded.operation != work.operation:
        return f'answer to {decoded.operation}'
    if request.first_answer_body not in (None, answer.body):
        return 'a repeat with the same key was answered differently'
    return ''
