"""Send an action to a runner after its attempt has won the key."""

import dataclasses
import functools
import typing

from mustardvale.internal import (
    action_calls,
    action_claims,
    action_results,
    caller_messages,
    calls,
    effects,
    events,
    records,
    reducer,
    service_runners,
    timers,
    transitions,
    upstreams,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

# The instance waits this long after the deadline, so that a late answer is
# stored for a repeat with the same key.
LATE_ANSWER_SECONDS = 30.0


def send_action(
    call: action_calls.ActionCall,
    refused_addresses: frozenset[str],
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Send a call whose attempt holds the key.

    The attempt is abandoned if its deadline has passed or no runner is usable.
    """
    request = call.request
    if event.at >= request.deadline_at:
        return action_claims.abandon_attempt(
            call, action_results.build_not_sent(), event, state
        )
    chosen = service_runners.choose_runner(
        request.pool, refused_addresses, event.at, state
    )
    if not chosen.address:
        error = action_results.build_no_runner(request.service)
        return action_claims.abandon_attempt(call, error, event, chosen.state)
    attempt_id = call.phase.attempt_id
    sending = dataclasses.replace(
        call,
        phase=action_calls.Sending(
            attempt_id,
            chosen.address,
            refused_addresses,
            event.at,
        ),
    )
    table = chosen.state.actions.replace(sending)
    state = action_claims.with_actions(chosen.state, table)
    timeout_seconds = request.deadline_at - event.at + LATE_ANSWER_SECONDS
    return transitions.Transition(
        upstreams.add_in_flight(chosen.address, 1, state),
        (
            effects.CancelTimer(timers.ClaimDeadline(attempt_id)),
            effects.Call(build_call(sending), chosen.address, timeout_seconds),
        ),
    )


def build_call(call: action_calls.ActionCall) -> calls.RunAction:
    """Build the request to the runner."""
    request = call.request
    return calls.RunAction(
        request_id=f'{call.phase.attempt_id}.{call.call_id}',
        service=request.service,
        operation=request.operation,
        idempotency_key=request.idempotency_key,
        attempt_id=call.phase.attempt_id,
        body=request.body,
        traceparent=request.traceparent,
    )


def find_sending_call(
    attempt_id: str,
    state: 'states.State',
) -> action_calls.ActionCall | None:
    """Return the call that waits for the response to an attempt."""
    call = state.actions.find_by_attempt(attempt_id)
    if call is None or not isinstance(call.phase, action_calls.Sending):
        return None
    return call


@reducer.on_answer.register(calls.RunAction)
def handle_answer(
    sent: calls.RunAction,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Answer the call and append the answer to the log."""
    state = upstreams.add_in_flight(event.address, -1, state)
    if event.answer.is_leaving:
        state = upstreams.mark_leaving_at(event.address, state)
    call = find_sending_call(sent.attempt_id, state)
    if call is None:
        count = effects.Count('late_action_results')
        return transitions.Transition(state, (count,))
    done = caller_messages.ActionDone(
        event.answer.status,
        event.answer.content_type,
        event.answer.body,
    )
    recording = dataclasses.replace(
        call,
        phase=action_calls.Recording(call.phase.attempt_id),
    )
    state = action_claims.with_actions(state, state.actions.replace(recording))
    record = build_done_record(recording, done)
    return (
        action_claims.answer_call(recording, done, event, state)
        .then(
            lambda current: action_claims.append_record(
                call.key, record, current
            )
        )
        .with_effects(build_span(call, event))
    )


def build_done_record(
    call: action_calls.ActionCall,
    done: caller_messages.ActionDone,
) -> records.AttemptDone:
    """Build the record of an answer."""
    return records.AttemptDone(
        attempt_id=call.phase.attempt_id,
        account=call.key.account,
        idempotency_key=call.key.idempotency_key,
        body_digest=call.request.body_digest,
        status=done.status,
        content_type=done.content_type,
        answer=action_results.encode_answer(done.body),
        answer_bytes=len(done.body),
    )


def build_span(
    call: action_calls.ActionCall,
    event: events.CallAnswered,
) -> effects.Effect:
    """Build the span of the request to the runner."""
    phase = call.phase
    started_at = event.at
    if isinstance(phase, action_calls.Sending):
        started_at = phase.sent_at
    return effects.RecordSpan(
        'send_action',
        call.request.traceparent,
        started_at,
        event.at,
        (('attempt', phase.attempt_id), ('address', event.address)),
    )


@reducer.on_failure.register(calls.RunAction)
def handle_failure(
    sent: calls.RunAction,
    event: events.CallFailed,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Eject the runner; try another one only if it received no byte."""
    state = upstreams.add_in_flight(event.address, -1, state)
    ejected = upstreams.eject(event.address, event, state)
    call = find_sending_call(sent.attempt_id, ejected.state)
    if call is None:
        return ejected
    if event.failure.was_sent:
        return ejected.then(
            lambda current: action_claims.finish_call(
                call, action_results.build_answer_lost(), event, current
            ),
        )
    return ejected.then(
        functools.partial(
            send_action, call, add_refused_address(call, event), event
        ),
    ).with_effects(effects.Count('action_connections_refused'))


def add_refused_address(
    call: action_calls.ActionCall,
    event: events.CallFailed,
) -> frozenset[str]:
    """Return the runners that received no byte of a call, with the last one."""
    assert isinstance(call.phase, action_calls.Sending), 'the call was sent'
    return call.phase.refused_addresses | {event.address}
