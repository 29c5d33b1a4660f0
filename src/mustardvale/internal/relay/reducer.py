"""Dispatch the events of an instance that relays requests.

All changes of state go through `reduce`. The other functions dispatch once more
on what an event carries: a timer, a request or a call. The modules that handle
these register with them.
"""

import functools
import typing

from mustardvale.internal import events, transitions

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

Transition: typing.TypeAlias = "transitions.Transition['states.State']"


@functools.singledispatch
def reduce(event: events.Event, state: 'states.State') -> Transition:
    """Return the next state and the effects of an event."""
    raise TypeError(f'no handler for {type(event).__name__}')


@functools.singledispatch
def on_timer(
    timer: typing.Any, event: events.TimerFired, state: 'states.State'
) -> Transition:
    """Handle a timer."""
    raise TypeError(f'no handler for {type(timer).__name__}')


@functools.singledispatch
def on_request(
    request: typing.Any, event: events.CallerRequested, state: 'states.State'
) -> Transition:
    """Handle a request of a caller."""
    raise TypeError(f'no handler for {type(request).__name__}')


@functools.singledispatch
def on_answer(
    call: typing.Any, event: events.CallAnswered, state: 'states.State'
) -> Transition:
    """Handle the answer to a call."""
    raise TypeError(f'no handler for {type(call).__name__}')


@functools.singledispatch
def on_failure(
    call: typing.Any, event: events.CallFailed, state: 'states.State'
) -> Transition:
    """Handle a call that failed without an answer."""
    raise TypeError(f'no handler for {type(call).__name__}')


@reduce.register(events.TimerFired)
def reduce_timer(event: events.TimerFired, state: 'states.State') -> Transition:
    """Dispatch on the timer."""
    return on_timer(event.timer, event, state)


@reduce.register(events.CallerRequested)
def reduce_request(
    event: events.CallerRequested, state: 'states.State'
) -> Transition:
    """Dispatch on the request."""
    return on_request(event.request, event, state)


@reduce.register(events.CallAnswered)
def reduce_answer(
    event: events.CallAnswered, state: 'states.State'
) -> Transition:
    """Dispatch on the call that was answered."""
    return on_answer(event.call, event, state)


@reduce.register(events.CallFailed)
def reduce_failure(
    event: events.CallFailed, state: 'states.State'
) -> Transition:
    """Dispatch on the call that failed."""
    return on_failure(event.call, event, state)
