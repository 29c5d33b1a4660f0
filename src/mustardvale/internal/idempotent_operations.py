"""Run idempotent operations, which may be retried on other runners."""

import dataclasses
import typing

import immutables

from mustardvale import errors
from mustardvale.internal import (
    action_requests,
    caller_messages,
    calls,
    effects,
    events,
    reducer,
    service_runners,
    timers,
    transitions,
    upstreams,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

MAXIMUM_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """Hold an operation in flight.

    `failed_addresses` holds the runners that failed it, `may_have_run` whether
    one of them may have executed it and `failure_message` the last failure.
    """

    request_id: str
    request: action_requests.OperationRequest
    failed_addresses: frozenset[str] = frozenset()
    may_have_run: bool = False
    failure_message: str = 'no runner is usable'


Operations = immutables.Map[str, Operation]


def start_operation(
    request_id: str,
    request: action_requests.OperationRequest,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Start the deadline of an operation and send it to a runner."""
    deadline = effects.SetTimer(
        timers.OperationDeadline(request_id),
        request.deadline_at - event.at,
    )
    operation = Operation(request_id, request)
    return transitions.Transition(state, (deadline,)).then(
        lambda current: send_operation(operation, event, current),
    )


def send_operation(
    operation: Operation,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Send an operation to a runner that has not failed it.

    It fails if there is none or after `MAXIMUM_ATTEMPTS` failures.
    """
    request = operation.request
    chosen = service_runners.choose_runner(
        request.pool,
        operation.failed_addresses,
        event.at,
        state,
    )
    state = chosen.state
    if (
        not chosen.address
        or len(operation.failed_addresses) >= MAXIMUM_ATTEMPTS
    ):
        return fail_operation(operation, errors.NO_UPSTREAM, event, state)
    call = calls.RunOperation(
        request_id=operation.request_id,
        service=request.service,
        operation=request.operation,
        idempotency_key='',
        attempt_id='',
        body=request.body,
        traceparent=request.traceparent,
    )
    operations = state.operations.set(operation.request_id, operation)
    state = dataclasses.replace(state, operations=operations)
    return transitions.Transition(
        upstreams.add_in_flight(chosen.address, 1, state),
        (effects.Call(call, chosen.address, request.deadline_at - event.at),),
    )


def fail_operation(
    operation: Operation,
    code: errors.ErrorCode,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Finish an operation that no runner answered."""
    build_error = (
        action_requests.build_unknown
        if operation.may_have_run
        else action_requests.build_not_run
    )
    error = build_error(code=code, message=operation.failure_message)
    return finish_operation(operation, error, event, state)


def finish_operation(
    operation: Operation,
    result: action_requests.Result,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Deliver the result of an operation and remove it."""
    if operation.request_id in state.operations:
        operations = state.operations.delete(operation.request_id)
        state = dataclasses.replace(state, operations=operations)
    cancel = effects.CancelTimer(
        timers.OperationDeadline(operation.request_id),
    )
    return action_requests.finish_request(
        operation.request,
        result,
        event,
        state,
    ).with_effects(cancel)


@reducer.on_answer.register(calls.RunOperation)
def handle_answer(
    call: calls.RunOperation,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Answer the caller, or retry on another runner if this one is leaving."""
    state = upstreams.add_in_flight(event.address, -1, state)
    if event.answer.is_leaving:
        state = upstreams.mark_leaving_at(event.address, state)
    operation = state.operations.get(call.request_id)
    if operation is None:
        return transitions.Transition(state)
    if event.answer.is_leaving:
        return retry_on_other_runner(
            operation, 'the runner is leaving', event, state
        )
    done = caller_messages.ActionDone(
        event.answer.status,
        event.answer.content_type,
        event.answer.body,
    )
    return finish_operation(operation, done, event, state)


@reducer.on_failure.register(calls.RunOperation)
def handle_failure(
    call: calls.RunOperation,
    event: events.CallFailed,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Eject the runner and retry the operation on another one."""
    state = upstreams.add_in_flight(event.address, -1, state)
    ejected = upstreams.eject(event.address, event, state)
    operation = state.operations.get(call.request_id)
    if operation is None:
        return ejected
    failed = dataclasses.replace(
        operation,
        may_have_run=operation.may_have_run or event.failure.was_sent,
    )
    problem = f'the runner failed: {event.failure.kind.value}'
    return ejected.then(
        lambda current: retry_on_other_runner(failed, problem, event, current),
    )


def retry_on_other_runner(
    operation: Operation,
    problem: str,
    event: events.CallAnswered | events.CallFailed,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Retry an operation on a runner other than the one that failed."""
    retried = dataclasses.replace(
        operation,
        failed_addresses=operation.failed_addresses | {event.address},
        failure_message=problem,
    )
    count = effects.Count('operation_retries')
    return send_operation(retried, event, state).with_effects(count)


@reducer.on_timer.register(timers.OperationDeadline)
def expire(
    timer: timers.OperationDeadline,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Fail an operation at its deadline; a runner may have executed it."""
    operation = state.operations.get(timer.request_id)
    if operation is None:
        return transitions.Transition(state)
    expired = dataclasses.replace(
        operation,
        may_have_run=True,
        failure_message='no runner answered in time',
    )
    return fail_operation(expired, errors.DEADLINE_EXCEEDED, event, state)
