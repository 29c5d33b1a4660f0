"""Claim the right to send an action by appending an attempt to the log."""

import dataclasses
import functools
import typing

from mustardvale import errors
from mustardvale.internal import (
    action_calls,
    action_keys,
    action_requests,
    action_results,
    attempts,
    effects,
    events,
    log_streams,
    partitions,
    records,
    reducer,
    streams,
    timers,
    transitions,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

CLAIM_TIMEOUT_SECONDS = 2.0
MAXIMUM_CALLS = 4096


def with_actions(
    state: 'states.State',
    table: action_calls.ActionTable,
) -> 'states.State':
    """Return the state with the table of calls replaced."""
    return dataclasses.replace(state, actions=table)


def accept_call(
    request: action_requests.OperationRequest,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Start a call with a valid key that this instance runs.

    The call is refused if `MAXIMUM_CALLS` are in flight.
    """
    if len(state.actions.by_id) >= MAXIMUM_CALLS:
        error = action_requests.build_not_run(
            errors.OVERLOADED,
            f'{MAXIMUM_CALLS} actions are in flight',
        )
        return action_requests.finish_request(request, error, event, state)
    call = action_calls.ActionCall(
        state.actions.next_id,
        action_keys.ActionKey(request.account, request.idempotency_key),
        request,
    )
    deadline = effects.SetTimer(
        timers.ActionDeadline(call.call_id),
        request.deadline_at - event.at,
    )
    number = action_keys.find_partition(call.key)
    state = with_actions(state, state.actions.add(call))
    return (
        partitions.ensure_tailed(number, event.at, state)
        .with_effects(deadline)
        .then(functools.partial(advance_waiting_call, call.call_id, event))
    )


def advance_waiting_call(
    call_id: int,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Advance a waiting call according to the status of its key."""
    call = state.actions.by_id.get(call_id)
    if call is None or not isinstance(call.phase, action_calls.Waiting):
        return transitions.Transition(state)
    holder = state.actions.find_holder(call.key)
    if holder is not None:
        if holder.request.body_digest != call.request.body_digest:
            return finish_call(
                call, action_results.build_key_reused(), event, state
            )
        return transitions.Transition(state)
    partition = state.partitions[action_keys.find_partition(call.key)]
    status = partition.table.find(call.key).status
    return act_on_status(status, call, event, state)


def advance_calls_of_key(
    key: action_keys.ActionKey,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Advance the waiting calls with a key in order of arrival."""
    transition = transitions.Transition(state)
    for call in state.actions.find_by_key(key):
        transition = transition.then(
            functools.partial(advance_waiting_call, call.call_id, event),
        )
    return transition


@functools.singledispatch
def act_on_status(
    status: attempts.Status,
    call: action_calls.ActionCall,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Advance a call by the status of a key that no local call holds."""
    raise TypeError(f'no action for status {type(status).__name__}')


@act_on_status.register(attempts.Free)
def act_on_free(
    status: attempts.Free,
    call: action_calls.ActionCall,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Append an attempt unless the log fails or records may be missing."""
    partition = state.partitions[action_keys.find_partition(call.key)]
    if not partitions.is_history_complete(call.key, partition):
        return finish_call(
            call, action_results.build_records_dropped(), event, state
        )
    if not state.log.is_available:
        return finish_call(
            call, action_results.build_log_unavailable(), event, state
        )
    return append_attempt(call, event, state)


@act_on_status.register(attempts.Attempted)
def act_on_attempted(
    status: attempts.Attempted,
    call: action_calls.ActionCall,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Wait for the holder of the key unless its answer is known to be lost.

    An attempt of this instance that no call holds was sent and got no answer,
    or belongs to an earlier process with the same instance id.
    """
    if status.body_digest != call.request.body_digest:
        return finish_call(
            call, action_results.build_key_reused(), event, state
        )
    is_own = status.instance_id == state.identity.instance_id
    if is_own and status.attempt_id not in state.actions.abandoning:
        return finish_call(
            call, action_results.build_answer_lost(), event, state
        )
    return transitions.Transition(state)


@act_on_status.register(attempts.Done)
def act_on_done(
    status: attempts.Done,
    call: action_calls.ActionCall,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Finish a call with the stored answer."""
    if status.record.body_digest != call.request.body_digest:
        return finish_call(
            call, action_results.build_key_reused(), event, state
        )
    return finish_call(
        call, action_results.decode_stored_answer(status.record), event, state
    )


def append_attempt(
    call: action_calls.ActionCall,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Append the record of a new attempt."""
    identity = state.identity
    number = state.actions.next_id
    attempt_id = f'{identity.instance_id}.{identity.incarnation}.{number}'
    claiming = dataclasses.replace(
        call,
        phase=action_calls.Claiming(attempt_id, event.at),
    )
    table = dataclasses.replace(
        state.actions.replace(claiming),
        next_id=number + 1,
    )
    record = records.ActionAttempt(
        attempt_id=attempt_id,
        account=call.key.account,
        idempotency_key=call.key.idempotency_key,
        body_digest=call.request.body_digest,
        instance_id=identity.instance_id,
    )
    timer = timers.ClaimDeadline(attempt_id)
    return append_record(
        call.key, record, with_actions(state, table)
    ).with_effects(
        effects.SetTimer(timer, CLAIM_TIMEOUT_SECONDS),
    )


def append_record(
    key: action_keys.ActionKey,
    record: records.Record,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Append a record to the partition of a key."""
    stream = streams.AttemptStream(action_keys.find_partition(key))
    return log_streams.append(stream, record, state)


def return_to_waiting(
    call: action_calls.ActionCall,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Make a call that lost its claim wait for the holder of the key."""
    waiting = dataclasses.replace(call, phase=action_calls.Waiting())
    timer = timers.ClaimDeadline(call.phase.attempt_id)
    return (
        transitions.Transition(
            with_actions(state, state.actions.replace(waiting)),
            (effects.CancelTimer(timer),),
        )
    ).then(functools.partial(advance_calls_of_key, call.key, event))


def abandon_attempt(
    call: action_calls.ActionCall,
    result: action_requests.Result,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Abandon an unsent attempt for good and finish its call.

    The decision takes effect at once. The record only frees the key for other
    attempts.
    """
    attempt_id = call.phase.attempt_id
    table = state.actions.start_abandoning(attempt_id, call.key)
    record = records.AttemptAbandoned(
        attempt_id,
        call.key.account,
        call.key.idempotency_key,
    )
    return append_record(call.key, record, with_actions(state, table)).then(
        lambda current: finish_call(call, result, event, current),
    )


def finish_call(
    call: action_calls.ActionCall,
    result: action_requests.Result,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Deliver the result of a call, remove it and advance those that wait."""
    answered = answer_call(call, result, event, state)
    return answered.then(lambda current: remove_call(call, event, current))


def answer_call(
    call: action_calls.ActionCall,
    result: action_requests.Result,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Deliver the result of a call unless it has one."""
    if call.is_answered:
        return transitions.Transition(state)
    answered = dataclasses.replace(call, is_answered=True)
    state = with_actions(state, state.actions.replace(answered))
    cancel = effects.CancelTimer(timers.ActionDeadline(call.call_id))
    return action_requests.finish_request(
        call.request,
        result,
        event,
        state,
    ).with_effects(cancel)


def remove_call(
    call: action_calls.ActionCall,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Remove a call and advance the others with its key."""
    state = with_actions(state, state.actions.remove(call))
    cancel = effects.CancelTimer(timers.ClaimDeadline(call.phase.attempt_id))
    return transitions.Transition(state, (cancel,)).then(
        functools.partial(advance_calls_of_key, call.key, event),
    )


@reducer.on_timer.register(timers.ClaimDeadline)
def expire_claim(
    timer: timers.ClaimDeadline,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Abandon an attempt whose record was not read back in time."""
    return fail_claim(timer.attempt_id, event, state)


def fail_claim(
    attempt_id: str,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Abandon a claiming attempt whose record may or may not be in the log."""
    call = state.actions.find_by_attempt(attempt_id)
    if call is None or not isinstance(call.phase, action_calls.Claiming):
        return transitions.Transition(state)
    return abandon_attempt(
        call, action_results.build_log_unavailable(), event, state
    )
