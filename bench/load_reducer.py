"""Reduce the events of the load tool."""

import dataclasses
import functools
import math
import types
import typing

from bench import (
    load_actions,
    load_answers,
    load_calls,
    load_requests,
    load_state,
    load_work,
)
from mustardvale.internal import (
    caller_messages,
    draws,
    effects,
    events,
    transitions,
)

ENTRIES_TIMEOUT_SECONDS = 1.0
ENTRIES_RETRY_SECONDS = 0.2
# Callers get their first entry addresses before the first request is due.
FIRST_ARRIVAL_DELAY_SECONDS = 0.5
# A request that is due shortly before the end may use its whole deadline.
DRAIN_SECONDS = 2.0
MINIMUM_FRACTION = 1e-12
# `refused` means an error in place of an answer in the history.
ERROR_KINDS = types.MappingProxyType(
    {events.FailureKind.REFUSED: 'refused_connection'},
)


@functools.singledispatch
def reduce(
    event: events.Event,
    state: load_state.State,
) -> load_state.Transition:
    """Ignore events that concern no request."""
    return transitions.Transition(state)


@reduce.register(events.InstanceStarted)
def handle_start(
    event: events.InstanceStarted,
    state: load_state.State,
) -> load_state.Transition:
    """Ask for entry addresses and set the first arrival."""
    plan = state.plan
    started_at = event.at + FIRST_ARRIVAL_DELAY_SECONDS
    state = dataclasses.replace(
        state,
        started_at=started_at,
        next_arrival_at=started_at,
        ends_at=started_at + plan.duration_seconds,
        callers=load_state.build_callers(plan),
    )
    drained = plan.duration_seconds + plan.deadline_seconds + DRAIN_SECONDS
    return transitions.Transition(
        state,
        (
            *(build_entries_call(caller) for caller in state.callers.values()),
            effects.SetTimer(
                load_state.ArrivalDue(), FIRST_ARRIVAL_DELAY_SECONDS
            ),
            effects.SetTimer(
                load_state.DrainTimeout(), FIRST_ARRIVAL_DELAY_SECONDS + drained
            ),
        ),
    )


@reduce.register(events.StopRequested)
def handle_stop(
    event: events.StopRequested,
    state: load_state.State,
) -> load_state.Transition:
    """End the run at once."""
    return load_requests.end_run(event, state)


def build_entries_call(caller: load_state.Caller) -> effects.Call:
    """Ask the first known entry instance for addresses."""
    asked = load_calls.EntriesCall(
        caller.number,
        caller.caller_id,
        caller.availability_zone,
    )
    return effects.Call(
        asked, caller.entry_addresses[0], ENTRIES_TIMEOUT_SECONDS
    )


@reduce.register(events.TimerFired)
def handle_timer(
    event: events.TimerFired,
    state: load_state.State,
) -> load_state.Transition:
    """Dispatch on the timer."""
    return on_timer(event.timer, event, state)


@functools.singledispatch
def on_timer(
    timer: typing.Any,
    event: events.TimerFired,
    state: load_state.State,
) -> load_state.Transition:
    """Handle a timer."""
    raise TypeError(type(timer).__name__)


on_timer.register(load_state.StallTimeout)(load_answers.handle_stall)


@on_timer.register(load_state.EntriesRefreshDue)
def refresh_entries(
    timer: load_state.EntriesRefreshDue,
    event: events.TimerFired,
    state: load_state.State,
) -> load_state.Transition:
    """Ask for entry addresses again."""
    caller = state.callers[timer.caller_number]
    return transitions.Transition(state, (build_entries_call(caller),))


@on_timer.register(load_state.ArrivalDue)
def start_due_requests(
    timer: load_state.ArrivalDue,
    event: events.TimerFired,
    state: load_state.State,
) -> load_state.Transition:
    """Start the requests that are due; intervals are exponential."""
    transition: load_state.Transition = transitions.Transition(state)
    while (
        transition.state.next_arrival_at <= event.at
        and transition.state.next_arrival_at < state.ends_at
    ):
        transition = transition.then(
            functools.partial(start_next_request, event)
        )
    state = transition.state
    if state.next_arrival_at >= state.ends_at:
        wait = max(state.ends_at - event.at, 0)
        if wait == 0:
            return transition.then(
                functools.partial(load_requests.end_if_drained, event),
            )
    else:
        wait = state.next_arrival_at - event.at
    return transition.with_effects(effects.SetTimer(timer, wait))


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """Pair the next seed with a request and the wait for the next one."""

    seed: int
    request: load_state.Request
    has_twin: bool
    wait_seconds: float


def draw_arrival(wall: float, state: load_state.State) -> Arrival:
    """Draw a request and the time of the next one."""
    plan = state.plan
    seed, index = load_work.draw_below(state.seed, len(state.callers))
    request_id = f'{plan.run_id}-{state.arrival_count}'
    drawn = load_work.draw_work(
        request_id,
        state.callers[index].account,
        plan.mix,
        plan.document,
        wall,
        seed,
    )
    chance = draws.draw(drawn.seed)
    interval = draws.draw(chance.seed)
    keyed = bool(getattr(drawn.work, 'key', ''))
    request = load_state.Request(
        request_id,
        index,
        drawn.work,
        state.next_arrival_at,
        has_repeat=keyed and chance.fraction < plan.repeat_share,
    )
    return Arrival(
        interval.seed,
        request,
        keyed and 1 - chance.fraction < plan.twin_share,
        compute_interval_seconds(interval.fraction, plan.rate),
    )


def start_next_request(
    event: events.TimerFired,
    state: load_state.State,
) -> load_state.Transition:
    """Start the next request, and its twin if it has one."""
    drawn = draw_arrival(event.wall_time, state)
    state = dataclasses.replace(
        state,
        seed=drawn.seed,
        arrival_count=state.arrival_count + 1,
        next_arrival_at=state.next_arrival_at + drawn.wait_seconds,
    )
    lag = effects.Observe('start_lag', event.at - drawn.request.due_at)
    transition = load_requests.start_call(drawn.request, event, state)
    if drawn.has_twin:
        twin = build_twin(drawn.request, state)
        transition = transition.then(
            functools.partial(load_requests.start_call, twin, event),
        )
    return transition.with_effects(lag)


def build_twin(
    request: load_state.Request,
    state: load_state.State,
) -> load_state.Request:
    """Build a second request with the same key.

    It comes from another caller of the same account if there is one, because
    keys of different accounts do not meet.
    """
    account = state.callers[request.caller_number].account
    others = tuple(
        caller.number
        for caller in state.callers.values()
        if caller.account == account and caller.number != request.caller_number
    )
    return dataclasses.replace(
        request,
        request_id=f'{request.request_id}.twin',
        caller_number=others[0] if others else request.caller_number,
        has_repeat=False,
    )


def compute_interval_seconds(unit: float, rate: float) -> float:
    """Return an exponential interval for a draw from 0 to 1."""
    return -math.log(max(1 - unit, MINIMUM_FRACTION)) / rate


@on_timer.register(load_state.RetryDue)
def retry_request(
    timer: load_state.RetryDue,
    event: events.TimerFired,
    state: load_state.State,
) -> load_state.Transition:
    """Make the next call of a request."""
    request = state.requests.get(timer.request_id)
    if request is None or request.call_count != timer.call_number:
        return transitions.Transition(state)
    return load_requests.start_call(request, event, state)


@on_timer.register(load_state.DrainTimeout)
def end_unfinished_requests(
    timer: load_state.DrainTimeout,
    event: events.TimerFired,
    state: load_state.State,
) -> load_state.Transition:
    """End what is still in flight as cut."""
    transition: load_state.Transition = transitions.Transition(state)
    for request in state.requests.values():
        transition = transition.then(
            functools.partial(
                load_requests.finish_request,
                request,
                'cut',
                event,
                problem='unfinished',
            ),
        )
    return transition.then(functools.partial(load_requests.end_run, event))


@reduce.register(events.CallPartArrived)
def handle_part(
    event: events.CallPartArrived,
    state: load_state.State,
) -> load_state.Transition:
    """Take a part of a model answer, the only call that is streamed."""
    return load_answers.handle_part(event.call, event, state)


@reduce.register(events.CallAnswered)
def handle_answer(
    event: events.CallAnswered,
    state: load_state.State,
) -> load_state.Transition:
    """Dispatch on the call that is answered."""
    return on_answer(event.call, event, state)


@functools.singledispatch
def on_answer(
    called: typing.Any,
    event: events.CallAnswered,
    state: load_state.State,
) -> load_state.Transition:
    """Handle an answer."""
    raise TypeError(type(called).__name__)


on_answer.register(load_calls.AnswerCall)(load_answers.handle_closed_stream)
on_answer.register(load_calls.ActionCall)(load_actions.handle_action_answer)


@on_answer.register(load_calls.EntriesCall)
def handle_entries(
    called: load_calls.EntriesCall,
    event: events.CallAnswered,
    state: load_state.State,
) -> load_state.Transition:
    """Keep entry addresses for as long as they are valid."""
    caller = state.callers[called.caller_number]
    found = event.answer
    if not isinstance(found, caller_messages.EntriesFound) or not found.entries:
        return retry_at_next_entry(caller, state)
    addresses = tuple(entry.address for entry in found.entries)
    caller = dataclasses.replace(caller, entry_addresses=addresses)
    due = load_state.EntriesRefreshDue(caller.number)
    return transitions.Transition(
        load_state.with_caller(caller, state),
        (effects.SetTimer(due, found.valid_for_seconds),),
    )


def retry_at_next_entry(
    caller: load_state.Caller,
    state: load_state.State,
) -> load_state.Transition:
    """Move on to the next known address and ask there after a wait."""
    caller = dataclasses.replace(
        caller,
        entry_addresses=load_state.rotate_addresses(caller.entry_addresses, 1),
    )
    due = load_state.EntriesRefreshDue(caller.number)
    return transitions.Transition(
        load_state.with_caller(caller, state),
        (effects.SetTimer(due, ENTRIES_RETRY_SECONDS),),
    )


@reduce.register(events.CallFailed)
def handle_failure(
    event: events.CallFailed,
    state: load_state.State,
) -> load_state.Transition:
    """Dispatch on the call that failed."""
    return on_failure(event.call, event, state)


@functools.singledispatch
def on_failure(
    called: typing.Any,
    event: events.CallFailed,
    state: load_state.State,
) -> load_state.Transition:
    """Call again after a call for an answer or an action failed."""
    request = load_requests.find_current_request(called, state)
    if request is None:
        return transitions.Transition(state)
    kind = event.failure.kind
    error = load_calls.CallError(
        ERROR_KINDS.get(kind, kind.value),
        was_sent=event.failure.was_sent,
        message=event.failure.detail,
    )
    return load_requests.handle_error(request, error, event, state)


@on_failure.register(load_calls.EntriesCall)
def handle_entries_failure(
    called: load_calls.EntriesCall,
    event: events.CallFailed,
    state: load_state.State,
) -> load_state.Transition:
    """Ask another entry instance for addresses."""
    return retry_at_next_entry(state.callers[called.caller_number], state)
