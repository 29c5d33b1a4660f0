"""Describe requests for actions and answer those who made them."""

import dataclasses
import functools
import typing

from mustardvale import errors
from mustardvale.internal import (
    caller_messages,
    effects,
    events,
    messages,
    refusals,
    transitions,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

Result = caller_messages.ActionDone | caller_messages.RequestError


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Mark a data class as the source of a request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Caller(Origin):
    """Name the request of a caller that is connected to this instance."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardingPeer(Origin):
    """Name the request that a peer forwarded."""

    forward_id: str
    peer_address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OperationRequest:
    """Describe one call of a service operation; times are monotonic.

    `idempotency_key` is empty for an operation that is idempotent. A peer that
    the request was forwarded to may run it even if this instance does not.
    """

    origin: Origin
    account: str
    service: str
    operation: str
    pool: str
    idempotency_key: str = ''
    body: bytes
    body_digest: str = ''
    received_at: float
    deadline_at: float
    traceparent: str = ''
    may_run_elsewhere: bool = False


@functools.singledispatch
def build_delivery(origin: Origin, result: Result) -> effects.Effect:
    """Return the effect that gives a result to its origin."""
    raise TypeError(type(origin).__name__)


@build_delivery.register(Caller)
def build_delivery_to_caller(origin: Caller, result: Result) -> effects.Effect:
    """Reply to a caller."""
    return effects.Reply(origin.request_id, result)


@build_delivery.register(ForwardingPeer)
def build_delivery_to_peer(
    origin: ForwardingPeer, result: Result
) -> effects.Effect:
    """Report to the peer that forwarded the request."""
    return effects.SendToPeer(
        origin.peer_address,
        to_outcome(result, origin.forward_id),
    )


@functools.singledispatch
def to_outcome(result: Result, forward_id: str) -> messages.ActionOutcome:
    """Describe a result to the peer that forwarded the request."""
    raise TypeError(type(result).__name__)


@to_outcome.register(caller_messages.ActionDone)
def done_to_outcome(
    result: caller_messages.ActionDone,
    forward_id: str,
) -> messages.ActionOutcome:
    """Describe the answer of a service."""
    return messages.ActionOutcome(
        forward_id=forward_id,
        status=result.status,
        content_type=result.content_type,
        body=result.body,
        replayed=result.replayed,
    )


@to_outcome.register(caller_messages.RequestError)
def error_to_outcome(
    result: caller_messages.RequestError,
    forward_id: str,
) -> messages.ActionOutcome:
    """Describe an error."""
    return messages.ActionOutcome(
        forward_id=forward_id,
        error_code=result.code.name,
        message=result.message,
        outcome=result.outcome.value,
        scope=result.scope.value,
        retry_after_seconds=result.retry_after_seconds,
    )


def from_outcome(outcome: messages.ActionOutcome) -> Result:
    """Return the result that a peer reports."""
    if not outcome.error_code:
        return caller_messages.ActionDone(
            outcome.status,
            outcome.content_type,
            outcome.body,
            outcome.replayed,
        )
    return caller_messages.RequestError(
        find_code(outcome.error_code),
        outcome.message,
        errors.Outcome(outcome.outcome),
        errors.Scope(outcome.scope),
        outcome.retry_after_seconds,
    )


def find_code(name: str) -> errors.ErrorCode:
    """Return the error code of a name; a newer release may send others."""
    return next(
        (code for code in errors.ALL_CODES if code.name == name),
        errors.INTERNAL_ERROR,
    )


def build_not_run(
    code: errors.ErrorCode,
    message: str,
    scope: errors.Scope = errors.Scope.CALL,
) -> caller_messages.RequestError:
    """Describe a request of which nothing was or will be sent."""
    retry_after = refusals.RETRY_AFTER_SECONDS if code.status == 503 else 0
    return caller_messages.RequestError(
        code,
        message,
        errors.Outcome.NOT_RUN,
        scope,
        retry_after,
    )


def build_unknown(
    message: str,
    code: errors.ErrorCode = errors.OUTCOME_UNKNOWN,
) -> caller_messages.RequestError:
    """Describe a request that may have run and is not sent again."""
    return caller_messages.RequestError(code, message, errors.Outcome.UNKNOWN)


@functools.singledispatch
def weaken_not_run(result: Result) -> Result:
    """Return a result that holds also if a peer runs the request."""
    return result


@weaken_not_run.register(caller_messages.RequestError)
def weaken_error(result: caller_messages.RequestError) -> Result:
    """Say `unknown` in place of `not_run`."""
    return dataclasses.replace(result, outcome=errors.Outcome.UNKNOWN)


def finish_request(
    request: OperationRequest,
    result: Result,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Give a request its result."""
    if request.may_run_elsewhere:
        result = weaken_not_run(result)
    end = 'done'
    if isinstance(result, caller_messages.RequestError):
        end = result.code.name
    return transitions.Transition(
        state,
        (
            build_delivery(request.origin, result),
            effects.Count('actions', (end,)),
            effects.Observe('action_seconds', event.at - request.received_at),
            effects.RecordSpan(
                'action',
                request.traceparent,
                request.received_at,
                event.at,
                (('operation', request.operation), ('end', end)),
            ),
        ),
    )
