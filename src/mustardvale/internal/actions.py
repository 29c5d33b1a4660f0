"""Validate requests for operations of services and start them."""

import dataclasses
import functools
import typing

from mustardvale import document as documents
from mustardvale import errors
from mustardvale.internal import (
    action_claims,
    action_forwards,
    action_keys,
    action_requests,
    admission,
    caller_messages,
    configuration,
    events,
    idempotent_operations,
    partitions,
    reducer,
    refusals,
    transitions,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

DEFAULT_DEADLINE_SECONDS = 10.0
MAXIMUM_BODY_BYTES = 1024 * 1024


@reducer.on_request.register(caller_messages.ActionRequest)
def handle_action_request(
    caller_request: caller_messages.ActionRequest,
    event: events.CallerRequested,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Validate a request and run it, subject to admission."""
    account = configuration.find_account(caller_request.account_key, state)
    if account is None:
        return refusals.refuse_unknown_account(event, state)
    operation = find_operation(caller_request, account, state)
    if operation is None:
        return refusals.refuse(
            event.request_id,
            errors.UNKNOWN_OPERATION,
            f'{caller_request.service}/{caller_request.operation} '
            f'is not served to {account.name}',
            state,
        )
    if len(caller_request.body) > MAXIMUM_BODY_BYTES:
        return refusals.refuse(
            event.request_id,
            errors.PAYLOAD_TOO_LARGE,
            f'the body exceeds {MAXIMUM_BODY_BYTES} bytes',
            state,
        )
    request = build_request(caller_request, account, event, state)
    run = functools.partial(run_keyed_action, caller_request, request, event)
    if operation.idempotent:
        run = functools.partial(
            idempotent_operations.start_operation,
            event.request_id,
            request,
            event,
        )
    return admission.admit_action(account, event, run, state)


def run_keyed_action(
    caller_request: caller_messages.ActionRequest,
    request: action_requests.OperationRequest,
    event: events.CallerRequested,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Run a non-idempotent operation here or at the owner of its partition."""
    error = action_keys.find_key_error(
        caller_request.idempotency_key, event.wall_time
    )
    if error is not None:
        return action_requests.finish_request(request, error, event, state)
    keyed = dataclasses.replace(
        request,
        idempotency_key=action_keys.canonicalize(
            caller_request.idempotency_key
        ),
        body_digest=action_keys.digest_body(
            caller_request.service,
            caller_request.operation,
            caller_request.body,
        ),
    )
    key = action_keys.ActionKey(keyed.account, keyed.idempotency_key)
    number = action_keys.find_partition(key)
    owner = partitions.find_owner(number, event.at, state)
    if owner is None:
        return action_claims.accept_call(keyed, event, state)
    return action_forwards.forward(event.request_id, keyed, owner, event, state)


def find_operation(
    caller_request: caller_messages.ActionRequest,
    account: documents.ClientAccount,
    state: 'states.State',
) -> documents.Operation | None:
    """Return the requested operation if the account may use its service."""
    assert state.configuration.document is not None, (
        'an account implies a document'
    )
    service = state.configuration.document.find_service(caller_request.service)
    if service is None or service.name not in account.services:
        return None
    return next(
        (
            operation
            for operation in service.operations
            if operation.name == caller_request.operation
        ),
        None,
    )


def build_request(
    caller_request: caller_messages.ActionRequest,
    account: documents.ClientAccount,
    event: events.CallerRequested,
    state: 'states.State',
) -> action_requests.OperationRequest:
    """Build the internal request, with a default deadline if it has none."""
    assert state.configuration.document is not None, (
        'an account implies a document'
    )
    service = state.configuration.document.find_service(caller_request.service)
    assert service is not None, 'the operation was found'
    allowed_seconds = (
        caller_request.deadline_seconds or DEFAULT_DEADLINE_SECONDS
    )
    return action_requests.OperationRequest(
        origin=action_requests.Caller(event.request_id),
        account=account.name,
        service=caller_request.service,
        operation=caller_request.operation,
        pool=service.pool,
        body=caller_request.body,
        received_at=event.at,
        deadline_at=event.at + allowed_seconds,
        traceparent=caller_request.traceparent,
    )
