"""Define requests for operations and deliver their results."""

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
    """Mark a data class as the origin of a request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Caller(Origin):
    """Identify the request of a caller that is connected to this instance."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardingPeer(Origin):
    """Identify a request that a peer forwarded."""

    forward_id: str
    peer_address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OperationRequest:
    """Describe one request for a service operation; times are monotonic.

    `idempotency_key` and `body_digest` are empty for an idempotent operation.
    `may_run_elsewhere` is true if the request was forwarded to a peer, which
    may run it even if this instance does not.
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
    """Return the effect that delivers a result to its origin."""
    raise TypeError(f'no delivery to {type(origin).__name__}')


@build_delivery.register(Caller)
def build_delivery_to_caller(origin: Caller, result: Result) -> effects.Effect:
    """Return the effect that replies to the caller."""
    return effects.Reply(origin.request_id, result)


@build_delivery.register(ForwardingPeer)
def build_delivery_to_peer(
    origin: ForwardingPeer, result: Result
) -> effects.Effect:
    """Return the effect that answers the peer that forwarded the request."""
    return effects.SendToPeer(
        origin.peer_address,
        build_outcome(result, origin.forward_id),
    )


@functools.singledispatch
def build_outcome(result: Result, forward_id: str) -> messages.ActionOutcome:
    """Convert a result to the message for the forwarding peer."""
    raise TypeError(f'no message for {type(result).__name__}')


@build_outcome.register(caller_messages.ActionDone)
def build_answer_outcome(
    result: caller_messages.ActionDone,
    forward_id: str,
) -> messages.ActionOutcome:
    """Convert the answer of a service."""
    return messages.ActionOutcome(
        forward_id=forward_id,
        status=result.status,
        content_type=result.content_type,
        body=result.body,
        replayed=result.replayed,
    )


@build_outcome.register(caller_messages.RequestError)
def build_error_outcome(
    result: caller_messages.RequestError,
    forward_id: str,
) -> messages.ActionOutcome:
    """Convert an error with its code, outcome and scope."""
    return messages.ActionOutcome(
        forward_id=forward_id,
        error_code=result.code.name,
        message=result.message,
        outcome=result.outcome.value,
        scope=result.scope.value,
        retry_after_seconds=result.retry_after_seconds,
    )


def build_result(outcome: messages.ActionOutcome) -> Result:
    """Convert the message of a peer to a result."""
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
    """Return the error code of a name.

    A peer of a newer release may send an unknown name, which is reported as an
    internal error.
    """
    return next(
        (code for code in errors.ALL_CODES if code.name == name),
        errors.INTERNAL_ERROR,
    )


def build_not_run(
    code: errors.ErrorCode,
    message: str,
    scope: errors.Scope = errors.Scope.CALL,
) -> caller_messages.RequestError:
    """Build the error for a request of which nothing was or will be sent."""
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
    """Build the error for a request that may have run and is not repeated."""
    return caller_messages.RequestError(code, message, errors.Outcome.UNKNOWN)


@functools.singledispatch
def weaken_not_run(result: Result) -> Result:
    """Return a result that stays true if a peer also runs the request."""
    return result


@weaken_not_run.register(caller_messages.RequestError)
def weaken_error(result: caller_messages.RequestError) -> Result:
    """Replace the outcome `not_run` by `unknown`."""
    return dataclasses.replace(result, outcome=errors.Outcome.UNKNOWN)


def finish_request(
    request: OperationRequest,
    result: Result,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Deliver the result of a request and record its metrics and span."""
    if request.may_run_elsewhere:
        result = weaken_not_run(result)
    result_label = 'done'
    if isinstance(result, caller_messages.RequestError):
        result_label = result.code.name
    return transitions.Transition(
        state,
        (
            build_delivery(request.origin, result),
            effects.Count('actions', (result_label,)),
            effects.Observe('action_seconds', event.at - request.received_at),
            effects.RecordSpan(
                'action',
                request.traceparent,
                request.received_at,
                event.at,
                (('operation', request.operation), ('end', result_label)),
            ),
        ),
    )
