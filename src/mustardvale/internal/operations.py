"""Run idempotent operations, which may be repeated on other runners."""

import dataclasses
import typing

import immutables

from mustardvale import errors
from mustardvale.internal import (
    action_requests,
    calls,
    effects,
    events,
    reducer,
    caller_messages,
    service_runners,
    timers,
    transitions,
    upstreams,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

MAXIMUM_TRIES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """Describe an operation in flight and the runners that failed it."""

    request_id: str
    request: action_requests.ActionRequest
    failed: frozenset[str] = frozenset()
    sent: bool = False
    problem: str = 'no runner is usable'


Operations = immutables.Map[str, Operation]


def start(
    request_id: str,
    request: action_requests.ActionRequest,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Send a new operation to a runner."""
    deadline = effects.SetTimer(
        timers.OperationDeadline(request_id),
        request.deadline_at - event.at,
    )
    operation = Operation(request_id, request)
    return transitions.Transition(state, (deadline,)).then(
        lambda now: send(operation, event, now),
    )


def send(
    operation: Operation,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Send an operation to a runner that has not failed it."""
    request = operation.request
    chosen = service_runners.choose(
        request.pool,
        operation.failed,
        event.at,
        state,
    )
    state = chosen.state
    if not chosen.address or len(operation.failed) >= MAXIMUM_TRIES:
        return give_up(operation, errors.NO_UPSTREAM, event, state)
    call = calls.RunOperation(
        request_id=operation.request_id,
        service=request.service,
        operation=request.operation,
        idempotency_key='',
        attempt_id='',
        body=request.body,
        traceparent=request.traceparent,
    )
    table = state.operations.set(operation.request_id, operation)
    state = dataclasses.replace(state, operations=table)
    return transitions.Transition(
        upstreams.add_in_flight(chosen.address, 1, state),
        (effects.Call(call, chosen.address, request.deadline_at - event.at),),
    )


def give_up(
    operation: Operation,
    code: errors.ErrorCode,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Report that no runner answered an operation."""
    describe = (
        action_requests.unknown if operation.sent else action_requests.not_run
    )
    error = describe(code=code, message=operation.problem)
    return end(operation, error, event, state)


def end(
    operation: Operation,
    result: action_requests.Result,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Give an operation its result and forget it."""
    if operation.request_id in state.operations:
        table = state.operations.delete(operation.request_id)
        state = dataclasses.replace(state, operations=table)
    cancel = effects.CancelTimer(
        timers.OperationDeadline(operation.request_id),
    )
    return action_requests.settle(
        operation.request,
        result,
        event,
        state,
    ).with_effects(cancel)


@reducer.on_answer.register(calls.RunOperation)
def take_answer(
    call: calls.RunOperation,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Answer the caller, or go on elsewhere if the runner is leaving."""
    state = upstreams.add_in_flight(event.address, -1, state)
    if event.answer.is_leaving:
        state = upstreams.mark_leaving_at(event.address, state)
    operation = state.operations.get(call.request_id)
    if operation is None:
        return transitions.Transition(state)
    if event.answer.is_leaving:
        return try_elsewhere(operation, 'the runner is leaving', event, state)
    done = caller_messages.ActionDone(
        event.answer.status,
        event.answer.content_type,
        event.answer.body,
    )
    return end(operation, done, event, state)


@reducer.on_failure.register(calls.RunOperation)
def take_failure(
    call: calls.RunOperation,
    event: events.CallFailed,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Eject the runner and send the operation to another one."""
    state = upstreams.add_in_flight(event.address, -1, state)
    ejected = upstreams.eject(event.address, event, state)
    operation = state.operations.get(call.request_id)
    if operation is None:
        return ejected
    failed = dataclasses.replace(
        operation,
        sent=operation.sent or event.failure.was_sent,
    )
    problem = f'the runner failed: {event.failure.kind.value}'
    return ejected.then(
        lambda now: try_elsewhere(failed, problem, event, now),
    )


def try_elsewhere(
    operation: Operation,
    problem: str,
    event: events.CallAnswered | events.CallFailed,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Send an operation to another runner."""
    moved = dataclasses.replace(
        operation,
        failed=operation.failed | {event.address},
        problem=problem,
    )
    count = effects.Count('operation_retries')
    return send(moved, event, state).with_effects(count)


@reducer.on_timer.register(timers.OperationDeadline)
def expire(
    timer: timers.OperationDeadline,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """End an operation whose time is over; a runner may have executed it."""
    operation = state.operations.get(timer.request_id)
    if operation is None:
        return transitions.Transition(state)
    expired = dataclasses.replace(
        operation,
        sent=True,
        problem='no runner answered in time',
    )
    return give_up(expired, errors.DEADLINE_EXCEEDED, event, state)
