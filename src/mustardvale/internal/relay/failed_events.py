"""End what an event belongs to if handling the event has raised an exception.

The event is dropped and the state unchanged. Without a further step a timer
would not be set again, and a request would wait for what was dropped.
"""

import functools
import typing

from mustardvale.internal import effects, events, transitions
from mustardvale.internal.relay import (
    completion,
    monitoring,
    reducer,
    requests,
    startup_admission,
    timers,
)
from mustardvale.internal.relay import events as relay_events

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

PROBLEM = 'internal error'
# Long enough that a timer that fails each time takes little processor time.
TIMER_RETRY_SECONDS = 0.25


@reducer.reduce.register(relay_events.EventFailed)
def reduce_event_failed(
    event: relay_events.EventFailed, state: 'states.State'
) -> reducer.Transition:
    """Dispatch on the event that was dropped."""
    return end_dropped(event.dropped, event.at, state)


@functools.singledispatch
def end_dropped(
    dropped: events.Event, now: float, state: 'states.State'
) -> reducer.Transition:
    """End what a dropped event belongs to; most belong to nothing."""
    return transitions.Transition(state)


@end_dropped.register(events.CallerRequested)
def refuse_dropped_request(
    dropped: events.CallerRequested, now: float, state: 'states.State'
) -> reducer.Transition:
    """Refuse a request of a client, which was not sent to any upstream."""
    request = dropped.request
    if not isinstance(request, requests.ClientRequest):
        return transitions.Transition(state)
    refusal = requests.Refusal(
        completion.SERVICE_UNAVAILABLE_STATUS,
        'not_run',
        request.attempt_id,
        completion.RETRY_AFTER_SECONDS,
    )
    return completion.refuse_unadmitted(
        dropped.request_id, request, refusal, PROBLEM, state
    )


@end_dropped.register(events.CallerLeft)
@end_dropped.register(events.CallerBlocked)
@end_dropped.register(events.CallerCaughtUp)
def end_request_of_caller(
    dropped: typing.Any, now: float, state: 'states.State'
) -> reducer.Transition:
    """End the request that the caller's event belongs to."""
    return end_request(dropped.request_id, now, state)


@end_dropped.register(relay_events.SendEvent)
def end_request_of_send(
    dropped: relay_events.SendEvent, now: float, state: 'states.State'
) -> reducer.Transition:
    """End the request that was sent."""
    request_id = state.request_ids_by_send.get(dropped.send_id, '')
    return end_request(request_id, now, state)


def end_request(
    request_id: str, now: float, state: 'states.State'
) -> reducer.Transition:
    """Answer a request with an error, if it is open."""
    if request_id in state.startup.waiting:
        return startup_admission.refuse_waiting(request_id, PROBLEM, now, state)
    exchange = state.exchanges.get(request_id)
    if exchange is None:
        return transitions.Transition(state)
    return completion.fail_exchange(exchange, PROBLEM, now, state)


@end_dropped.register(events.CallAnswered)
def fail_dropped_call(
    dropped: events.CallAnswered, now: float, state: 'states.State'
) -> reducer.Transition:
    """Handle a call without a usable answer as a failed one."""
    failure = events.Failure(events.FailureKind.MALFORMED, was_sent=True)
    return reducer.reduce(
        events.CallFailed(
            at=now,
            wall_time=dropped.wall_time,
            call=dropped.call,
            address=dropped.address,
            failure=failure,
        ),
        state,
    )


@end_dropped.register(events.TimerFired)
def retry_dropped_timer(
    dropped: events.TimerFired, now: float, state: 'states.State'
) -> reducer.Transition:
    """Set the timer again; check requests one by one at once."""
    if isinstance(dropped.timer, timers.ExchangeCheckDue):
        return check_singly(now, state)
    if isinstance(dropped.timer, timers.StartupCheckDue):
        return startup_admission.check_singly(now, state)
    return transitions.Transition(
        state, (effects.SetTimer(dropped.timer, TIMER_RETRY_SECONDS),)
    )


def check_singly(now: float, state: 'states.State') -> reducer.Transition:
    """Check every open request, and end those whose check raises."""
    checked: reducer.Transition = transitions.Transition(state).then_each(
        state.exchanges,
        lambda request_id, current: check_or_end(request_id, now, current),
    )
    return checked.then(lambda current: monitoring.schedule_next(now, current))


def check_or_end(
    request_id: str, now: float, state: 'states.State'
) -> reducer.Transition:
    """Check a request, or end it if that raises an exception."""
    try:
        return monitoring.check_exchange(request_id, now, state)
    except Exception:
        return end_request(request_id, now, state)
