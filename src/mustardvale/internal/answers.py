"""Validate requests for model answers and start those admitted."""

import dataclasses
import typing

from mustardvale import document as documents
from mustardvale import errors
from mustardvale.internal import (
    admission,
    answer_attempts,
    answer_completion,
    caller_messages,
    configuration,
    effects,
    events,
    generations,
    reducer,
    refusals,
    retries,
    suspects,
    timers,
    transitions,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

DEFAULT_DEADLINE_SECONDS = 60.0


@reducer.on_request.register(caller_messages.AnswerRequest)
def handle_answer_request(
    request: caller_messages.AnswerRequest,
    event: events.CallerRequested,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Validate a request and pass it to admission control."""
    account = configuration.find_account(request.account_key, state)
    if account is None:
        return refusals.refuse_unknown_account(event, state)
    model = find_model(request, account, state)
    if model is None:
        return refusals.refuse(
            event.request_id,
            errors.UNKNOWN_MODEL,
            f'model {request.model!r} is not served to {account.name}',
            state,
        )
    fingerprint = suspects.compute_fingerprint(account.name, request)
    if suspects.is_refused(fingerprint, event.wall_time, state):
        return refusals.refuse(
            event.request_id,
            errors.SUSPECT_REQUEST,
            answer_completion.SUSPECT_MESSAGE,
            state,
        )
    allowed_seconds = request.deadline_seconds or DEFAULT_DEADLINE_SECONDS
    admission_request = admission.AdmissionRequest(
        account,
        event.at + allowed_seconds,
        model.name,
        max(request.maximum_tokens - len(request.delivered), 0),
    )
    return admission.admit(admission_request, event, state)


@admission.start_request.register(caller_messages.AnswerRequest)
def start_answer(
    request: caller_messages.AnswerRequest,
    event: events.CallerRequested,
    now: float,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Start the first attempt if the document still permits the request."""
    account = configuration.find_account(request.account_key, state)
    model = find_model(request, account, state) if account else None
    if account is None or model is None:
        return answer_completion.refuse_admitted(
            event.request_id,
            errors.UNKNOWN_MODEL,
            f'model {request.model!r} is no longer served to the account',
            state,
        )
    generation = build_generation(request, account, model, event)
    state = retries.deposit(state)
    deadline = effects.SetTimer(
        timers.AnswerDeadline(event.request_id),
        generation.deadline_at - now,
    )
    started = dataclasses.replace(event, at=now)
    return answer_attempts.start_attempt(
        generation, started, state
    ).with_effects(deadline)


def find_model(
    request: caller_messages.AnswerRequest,
    account: documents.ClientAccount,
    state: 'states.State',
) -> documents.Model | None:
    """Return the requested model if it exists and the account may use it."""
    assert state.configuration.document is not None, (
        'an account implies a document'
    )
    model = state.configuration.document.find_model(request.model)
    if model is None or model.name not in account.models:
        return None
    if request.adapter and request.adapter not in model.adapters:
        return None
    return model


def build_generation(
    request: caller_messages.AnswerRequest,
    account: documents.ClientAccount,
    model: documents.Model,
    event: events.CallerRequested,
) -> generations.Generation:
    """Build the state of a new answer."""
    allowed_seconds = request.deadline_seconds or DEFAULT_DEADLINE_SECONDS
    return generations.Generation(
        request_id=event.request_id,
        account=account.name,
        request=request,
        model=model,
        deadline_at=event.at + allowed_seconds,
        started_at=event.at,
        tokens=request.prompt + request.delivered,
        sent_token_count=len(request.delivered),
        fingerprint=suspects.compute_fingerprint(account.name, request),
        priority=admission.find_rank(account),
    )
