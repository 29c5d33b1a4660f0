"""Check requests for actions and pass them to the part that runs them."""

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
def receive_request(
    wanted: caller_messages.ActionRequest,
    event: events.CallerRequested,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Check a request and run it."""
    account = configuration.find_account(wanted.account_key, state)
    if account is None:
        return refusals.refuse_unknown_account(event, state)
    operation = find_operation(wanted, account, state)
    if operation is None:
        return refusals.refuse(
            event.request_id,
            errors.UNKNOWN_OPERATION,
            f'{wanted.service}/{wanted.operation} is not served '
            f'to {account.name}',
            state,
        )
    if len(wanted.body) > MAXIMUM_BODY_BYTES:
        return refusals.refuse(
            event.request_id,
            errors.PAYLOAD_TOO_LARGE,
            f'the body exceeds {MAXIMUM_BODY_BYTES} bytes',
            state,
        )
    request = build_request(wanted, account, event, state)
    run = functools.partial(receive_keyed, wanted, request, event)
    if operation.idempotent:
        run = functools.partial(
            idempotent_operations.start_operation,
            event.request_id,
            request,
            event,
        )
    return admission.admit_action(account, event, run, state)


def receive_keyed(
    wanted: caller_messages.ActionRequest,
    request: action_requests.OperationRequest,
    event: events.CallerRequested,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Run an action that must not run twice, here or at its owner."""
    problem = action_keys.find_problem(wanted.idempotency_key, event.wall_time)
    if problem is not None:
        return action_requests.finish_request(request, problem, event, state)
    keyed = dataclasses.replace(
        request,
        idempotency_key=action_keys.canonicalize(wanted.idempotency_key),
        body_digest=action_keys.digest_body(
            wanted.service,
            wanted.operation,
            wanted.body,
        ),
    )
    key = action_keys.ActionKey(keyed.account, keyed.idempotency_key)
    number = action_keys.find_partition(key)
    owner = partitions.find_owner(number, event.at, state)
    if owner is None:
        return action_claims.accept_call(keyed, event, state)
    return action_forwards.forward(event.request_id, keyed, owner, event, state)


def find_operation(
    wanted: caller_messages.ActionRequest,
    account: documents.ClientAccount,
    state: 'states.State',
) -> documents.Operation | None:
    """Return the wanted operation if the account may use its service."""
    assert state.configuration.document is not None, 'an account was found'
    service = state.configuration.document.find_service(wanted.service)
    if service is None or service.name not in account.services:
        return None
    return next(
        (one for one in service.operations if one.name == wanted.operation),
        None,
    )


def build_request(
    wanted: caller_messages.ActionRequest,
    account: documents.ClientAccount,
    event: events.CallerRequested,
    state: 'states.State',
) -> action_requests.OperationRequest:
    """Describe the request of a caller."""
    assert state.configuration.document is not None, 'an account was found'
    service = state.configuration.document.find_service(wanted.service)
    assert service is not None, 'the operation was found'
    allowed = wanted.deadline_seconds or DEFAULT_DEADLINE_SECONDS
    return action_requests.OperationRequest(
        origin=action_requests.Caller(event.request_id),
        account=account.name,
        service=wanted.service,
        operation=wanted.operation,
        pool=service.pool,
        body=wanted.body,
        received_at=event.at,
        deadline_at=event.at + allowed,
        traceparent=wanted.traceparent,
    )
