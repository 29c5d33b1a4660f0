"""Dispatch events to the handlers that other modules register.

The state of an entry instance changes only through `reduce`.
"""

import functools
import typing

from mustardvale.internal import (
    caller_messages,
    calls,
    events,
    messages,
    timer_base,
    transitions,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

NO_HANDLER_MESSAGE = 'no handler is registered for {0}'


@functools.singledispatch
def reduce(
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Return the next state and the effects of an event.

    Raises `TypeError` if no handler is registered for the type of the event.
    """
    raise TypeError(NO_HANDLER_MESSAGE.format(type(event).__name__))


@functools.singledispatch
def on_timer(
    timer: timer_base.Timer,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Handle the expiry of a timer."""
    raise TypeError(NO_HANDLER_MESSAGE.format(type(timer).__name__))


@functools.singledispatch
def on_request(
    request: caller_messages.CallerRequest,
    event: events.CallerRequested,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Handle a request from a caller."""
    raise TypeError(NO_HANDLER_MESSAGE.format(type(request).__name__))


@functools.singledispatch
def on_answer(
    call: typing.Any,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Handle the answer to a call."""
    raise TypeError(NO_HANDLER_MESSAGE.format(type(call).__name__))


@functools.singledispatch
def on_failure(
    call: typing.Any,
    event: events.CallFailed,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Handle a call that ended without an answer."""
    raise TypeError(NO_HANDLER_MESSAGE.format(type(call).__name__))


@functools.singledispatch
def on_peer_message(
    message: messages.PeerMessage,
    event: events.PeerMessageReceived,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Handle a message from a peer."""
    raise TypeError(NO_HANDLER_MESSAGE.format(type(message).__name__))


@reduce.register(events.TimerFired)
def reduce_timer(
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Dispatch on the type of the timer."""
    return on_timer(event.timer, event, state)


@reduce.register(events.CallerRequested)
def reduce_request(
    event: events.CallerRequested,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Dispatch on the type of the request."""
    return on_request(event.request, event, state)


@reduce.register(events.CallAnswered)
def reduce_answer(
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Dispatch on the type of the answered call."""
    return on_answer(event.call, event, state)


@reduce.register(events.CallFailed)
def reduce_failure(
    event: events.CallFailed,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Dispatch on the type of the failed call."""
    return on_failure(event.call, event, state)


@reduce.register(events.PeerMessageReceived)
def reduce_peer_message(
    event: events.PeerMessageReceived,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Dispatch on the type of the message."""
    return on_peer_message(event.message, event, state)


@on_answer.register(calls.CloseSession)
@on_failure.register(calls.CloseSession)
def ignore_close_result(
    call: calls.CloseSession,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Ignore the result: runners also close idle sessions by themselves."""
    return transitions.Transition(state)
