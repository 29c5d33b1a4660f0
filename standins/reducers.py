"""Build the event dispatch that the reducers of stand-ins share."""

import dataclasses
import functools
import typing

from mustardvale.internal import effects, events, transitions


if typing.TYPE_CHECKING:
    DispatchFunction: typing.TypeAlias = functools._SingleDispatchCallable[
        transitions.Transition[typing.Any]
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Hold the generic functions that handlers are registered with.

    `reduce` dispatches on the event, `on_timer` on the timer that has fired.
    """

    reduce: 'DispatchFunction'
    on_timer: 'DispatchFunction'


def build_dispatch() -> Dispatch:
    """Return generic functions that already handle timers and the stop."""

    @functools.singledispatch
    def reduce(
        event: events.Event, state: typing.Any
    ) -> transitions.Transition[typing.Any]:
        """Ignore events without a handler."""
        return transitions.Transition(state)

    @functools.singledispatch
    def on_timer(
        timer: typing.Any, event: events.TimerFired, state: typing.Any
    ) -> transitions.Transition[typing.Any]:
        """Handle a timer."""
        raise TypeError(type(timer).__name__)

    @reduce.register(events.TimerFired)
    def reduce_timer(
        event: events.TimerFired, state: typing.Any
    ) -> transitions.Transition[typing.Any]:
        """Dispatch on the timer."""
        return on_timer(event.timer, event, state)

    reduce.register(events.StopRequested)(stop)
    return Dispatch(reduce, on_timer)


def stop(
    event: events.StopRequested, state: typing.Any
) -> transitions.Transition[typing.Any]:
    """Stop without waiting for open requests."""
    return transitions.Transition(state, (effects.StopLoop(),))


def answer(
    request_id: str, reply: typing.Any, state: typing.Any
) -> transitions.Transition[typing.Any]:
    """Answer a request."""
    return transitions.Transition(state, (effects.Reply(request_id, reply),))
