"""Check requests for actions and pass them to the part that runs them."""

from typing import TYPE_CHECKING

from mustardvale import document as documents
from mustardvale import errors
from mustardvale.internal import (
    action_requests,
    configuration,
    events,
    operations,
    reducer,
    refusals,
    replies,
    transitions,
)

if TYPE_CHECKING:
    from mustardvale.internal import state as states

DEFAULT_DEADLINE_SECONDS = 10.0
MAXIMUM_BODY_BYTES = 1024 * 1024


@reducer.on_request.register(replies.ActionWanted)
def receive_request(
    wanted: replies.ActionWanted,
    event: events.CallerRequested,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Check a request and run it."""
    account = configuration.find_account(wanted.account_key, state)
    if account is None:
        return refusals.refuse_account(event, state)
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
    if operation.idempotent:
        return operations.start(event.request_id, request, event, state)
    raise NotImplementedError('operations that must not run twice')


def find_operation(
    wanted: replies.ActionWanted,
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
    wanted: replies.ActionWanted,
    account: documents.ClientAccount,
    event: events.CallerRequested,
    state: 'states.State',
) -> action_requests.ActionRequest:
    """Describe the request of a caller."""
    assert state.configuration.document is not None, 'an account was found'
    service = state.configuration.document.find_service(wanted.service)
    assert service is not None, 'the operation was found'
    allowed = wanted.deadline_seconds or DEFAULT_DEADLINE_SECONDS
    return action_requests.ActionRequest(
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
