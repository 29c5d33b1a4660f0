"""Refuse requests from callers."""

import typing

from mustardvale import errors
from mustardvale.internal import caller_messages, effects, events, transitions

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

RETRY_AFTER_SECONDS = 1.0


def refuse(
    request_id: str,
    code: errors.ErrorCode,
    message: str,
    state: 'states.State',
    retry_after_seconds: float = 0,
) -> transitions.Transition['states.State']:
    """Refuse a request of which nothing has been sent to an upstream."""
    if code.status == 503 and not retry_after_seconds:
        retry_after_seconds = RETRY_AFTER_SECONDS
    error = caller_messages.RequestError(
        code,
        message,
        errors.Outcome.NOT_RUN,
        retry_after_seconds=retry_after_seconds,
    )
    return transitions.Transition(
        state,
        (
            effects.Reply(request_id, error),
            effects.Count('refusals', (code.name,)),
        ),
    )


def refuse_unknown_account(
    event: events.CallerRequested,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Refuse a request whose bearer token belongs to no client account."""
    if state.configuration.document is None:
        return refuse(
            event.request_id,
            errors.NOT_READY,
            'no environment document is in force yet',
            state,
        )
    return refuse(
        event.request_id,
        errors.UNAUTHORIZED,
        'the bearer token is not the key of a client account',
        state,
    )
