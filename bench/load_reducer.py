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
# Lets callers get their first entry addresses before a request is due.
FIRST_ARRIVAL_DELAY_SECONDS = 0.5
# A request that is due just before the end may use its whole deadline; the
# run ends this long after the last deadline.
DRAIN_SECONDS = 2.0
# Keeps the logarithm of a drawn fraction finite.
MINIMUM_FRACTION = 1e-12
# In the history `refused` already means an error in place of an answer.
ERROR_KINDS = types.MappingProxyType(
    {events.FailureKind.REFUSED: 'refused_connection'},
)


@functools.singledispatch
def reduce(
    event: events.Event,
    state: load_state.State,
) -> load_state.Transition:
    """Ignore events without a handler."""
    return transitions.Transition(state)


@reduce.register(events.InstanceStarted)
def handle_start(
    event: events.InstanceStarted,
    state: load_state.State,
) -> load_state.Transition:
    """Request entry addresses and schedule the first arrival."""
    plan = state.plan
    started_at = event.at + FIRST_ARRIVAL_DELAY_SECONDS
    state = dataclasses.replace(
        state,
        started_at=started_at,
        next_arrival_at=started_at,
        ends_at=started_at + plan.duration_seconds,
        callers=load_state.build_callers(plan),
    )
    maximum_run_seconds = (
        plan.duration_seconds + plan.deadline_seconds + DRAIN_SECONDS
    )
    return transitions.Transition(
        state,
        (
            *(build_entries_call(caller) for caller in state.callers.values()),
            effects.SetTimer(
                load_state.ArrivalDue(), FIRST_ARRIVAL_DELAY_SECONDS
            ),
            effects.SetTimer(
                load_state.DrainTimeout(),
                FIRST_ARRIVAL_DELAY_SECONDS + maximum_run_seconds,
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
    """Build a call for entry addresses to the first known entry address."""
    call = load_calls.EntriesCall(
        caller.number,
        caller.caller_id,
        caller.availability_zone,
    )
    return effects.Call(
        call, caller.entry_addresses[0], ENTRIES_TIMEOUT_SECONDS
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
    """Handle the timer that fired."""
    raise TypeError(type(timer).__name__)


on_timer.register(load_state.StallTimeout)(load_answers.handle_stall)


@on_timer.register(load_state.EntriesRefreshDue)
def refresh_entries(
    timer: load_state.EntriesRefreshDue,
    event: events.TimerFired,
    state: load_state.State,
) -> load_state.Transition:
    """Request entry addresses again."""
    caller = state.callers[timer.caller_number]
    return transitions.Transition(state, (build_entries_call(caller),))


@on_timer.register(load_state.ArrivalDue)
def start_due_requests(
    timer: load_state.ArrivalDue,
    event: events.TimerFired,
    state: load_state.State,
) -> load_state.Transition:
    """Start the requests that are due; set the timer of the next one."""
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
    """Hold a drawn request, the wait for the next one and the next seed."""

    seed: int
    request: load_state.Request
    has_twin: bool
    wait_seconds: float


def draw_arrival(wall_time: float, state: load_state.State) -> Arrival:
    """Draw a request and the exponential interval until the next one."""
    plan = state.plan
    seed, index = load_work.draw_below(state.seed, len(state.callers))
    request_id = f'{plan.run_id}-{state.arrival_count}'
    drawn = load_work.draw_work(
        request_id,
        state.callers[index].account,
        plan.mix,
        plan.document,
        wall_time,
        seed,
    )
    chance = draws.draw(drawn.seed)
    interval = draws.draw(chance.seed)
    has_key = bool(getattr(drawn.work, 'key', ''))
    request = load_state.Request(
        request_id,
        index,
        drawn.work,
        state.next_arrival_at,
        has_repeat=has_key and chance.fraction < plan.repeat_share,
    )
    return Arrival(
        interval.seed,
        request,
        has_key and 1 - chance.fraction < plan.twin_share,
        compute_interval_seconds(interval.fraction, plan.rate),
    )


def start_next_request(
    event: events.TimerFired,
    state: load_state.State,
) -> load_state.Transition:
    """Start the next request, and its twin if it has one."""
    arrival = draw_arrival(event.wall_time, state)
    state = dataclasses.replace(
        state,
        seed=arrival.seed,
        arrival_count=state.arrival_count + 1,
        next_arrival_at=state.next_arrival_at + arrival.wait_seconds,
    )
    lag = effects.Observe('start_lag', event.at - arrival.request.due_at)
    transition = load_requests.start_call(arrival.request, event, state)
    if arrival.has_twin:
        twin = build_twin(arrival.request, state)
        transition = transition.then(
            functools.partial(load_requests.start_call, twin, event),
        )
    return transition.with_effects(lag)


def build_twin(
    request: load_state.Request,
    state: load_state.State,
) -> load_state.Request:
    """Build a second request with the same key.

    It comes from another caller of the same account if there is one. The
    account must be the same, because each account has its own keys.
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


def compute_interval_seconds(fraction: float, rate: float) -> float:
    """Convert a uniform fraction from 0 to 1 to an exponential interval."""
    return -math.log(max(1 - fraction, MINIMUM_FRACTION)) / rate


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
    """End all requests that are still in flight as cut."""
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
    """Handle a part of a model answer, the only streamed call."""
    return load_answers.handle_part(event.call, event, state)


@reduce.register(events.CallAnswered)
def handle_answer(
    event: events.CallAnswered,
    state: load_state.State,
) -> load_state.Transition:
    """Dispatch on the answered call."""
    return on_answer(event.call, event, state)


@functools.singledispatch
def on_answer(
    call: typing.Any,
    event: events.CallAnswered,
    state: load_state.State,
) -> load_state.Transition:
    """Handle the answer to a call."""
    raise TypeError(type(call).__name__)


on_answer.register(load_calls.AnswerCall)(load_answers.handle_closed_stream)
on_answer.register(load_calls.ActionCall)(load_actions.handle_action_answer)


@on_answer.register(load_calls.EntriesCall)
def handle_entries(
    call: load_calls.EntriesCall,
    event: events.CallAnswered,
    state: load_state.State,
) -> load_state.Transition:
    """Store the entry addresses and refresh them when they expire."""
    caller = state.callers[call.caller_number]
    answer = event.answer
    if (
        not isinstance(answer, caller_messages.EntriesFound)
        or not answer.entries
    ):
        return retry_at_next_entry(caller, state)
    addresses = tuple(entry.address for entry in answer.entries)
    caller = dataclasses.replace(caller, entry_addresses=addresses)
    due = load_state.EntriesRefreshDue(caller.number)
    return transitions.Transition(
        load_state.with_caller(caller, state),
        (effects.SetTimer(due, answer.valid_for_seconds),),
    )


def retry_at_next_entry(
    caller: load_state.Caller,
    state: load_state.State,
) -> load_state.Transition:
    """Request entry addresses at the next known address after a wait."""
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
    call: typing.Any,
    event: events.CallFailed,
    state: load_state.State,
) -> load_state.Transition:
    """Retry a failed call for a model answer or an action."""
    request = load_requests.find_current_request(call, state)
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
    call: load_calls.EntriesCall,
    event: events.CallFailed,
    state: load_state.State,
) -> load_state.Transition:
    """Request entry addresses at another entry instance."""
    return retry_at_next_entry(state.callers[call.caller_number], state)
