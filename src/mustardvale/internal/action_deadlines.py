"""Handle the deadlines of calls of non-idempotent operations."""

import functools
import typing

from mustardvale.internal import (
    action_calls,
    action_claims,
    action_results,
    events,
    reducer,
    timers,
    transitions,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states


@reducer.on_timer.register(timers.ActionDeadline)
def expire(
    timer: timers.ActionDeadline,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Handle the deadline of a call according to its phase."""
    call = state.actions.by_id.get(timer.call_id)
    if call is None:
        return transitions.Transition(state)
    return expire_phase(call.phase, call, event, state)


@functools.singledispatch
def expire_phase(
    phase: action_calls.Phase,
    call: action_calls.ActionCall,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Ignore the deadline of a call that already has its result."""
    return transitions.Transition(state)


@expire_phase.register(action_calls.Waiting)
def expire_waiting(
    phase: action_calls.Waiting,
    call: action_calls.ActionCall,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Report an unknown outcome, since the holder of the key may have run."""
    return action_claims.finish_call(
        call, action_results.build_not_answered(), event, state
    )


@expire_phase.register(action_calls.Claiming)
def expire_claiming(
    phase: action_calls.Claiming,
    call: action_calls.ActionCall,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Abandon an attempt that was not sent."""
    return action_claims.abandon_attempt(
        call, action_results.build_not_sent(), event, state
    )


@expire_phase.register(action_calls.Sending)
def expire_sending(
    phase: action_calls.Sending,
    call: action_calls.ActionCall,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Report an unknown outcome and keep waiting for the response.

    A late response is recorded, so that a repeat with the same key gets it.
    """
    return action_claims.answer_call(
        call, action_results.build_not_answered(), event, state
    )
