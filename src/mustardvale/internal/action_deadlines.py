"""End the calls of actions whose time is over."""

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
    """End a call according to its phase."""
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
    """End a call that has its result already."""
    return transitions.Transition(state)


@expire_phase.register(action_calls.Waiting)
def expire_waiting(
    phase: action_calls.Waiting,
    call: action_calls.ActionCall,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Report that another attempt holds the key and may have run."""
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
    """Give up an attempt that was not sent."""
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
    """Report that the call may have run, and go on waiting for its answer."""
    return action_claims.answer_call(
        call, action_results.build_not_answered(), event, state
    )
