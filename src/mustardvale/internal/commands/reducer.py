"""Dispatch the events of the command-line tool to their handlers."""

import dataclasses
import functools
import typing

from mustardvale.internal import effects, events, transitions
from mustardvale.internal.commands import command_types, reports
from mustardvale.internal.commands import state as states

Transition = transitions.Transition[states.State]


@functools.singledispatch
def reduce(event: events.Event, state: states.State) -> Transition:
    """Return the next state and the effects of an event."""
    raise TypeError(f'no handler for {type(event).__name__}')


@functools.singledispatch
def begin_command(
    command: command_types.Command,
    event: events.InstanceStarted,
    state: states.State,
) -> Transition:
    """Begin a command."""
    raise TypeError(f'no handler for {type(command).__name__}')


@functools.singledispatch
def on_answer(
    call: typing.Any,
    event: events.CallAnswered,
    state: states.State,
) -> Transition:
    """Handle the answer to a call."""
    raise TypeError(f'no handler for {type(call).__name__}')


@functools.singledispatch
def on_failure(
    call: typing.Any,
    event: events.CallFailed,
    state: states.State,
) -> Transition:
    """Handle the failure of a call."""
    raise TypeError(f'no handler for {type(call).__name__}')


@functools.singledispatch
def on_timer(
    timer: typing.Any,
    event: events.TimerFired,
    state: states.State,
) -> Transition:
    """Handle a timer."""
    raise TypeError(f'no handler for {type(timer).__name__}')


@functools.singledispatch
def on_part(
    part: typing.Any,
    event: events.CallPartArrived,
    state: states.State,
) -> Transition:
    """Handle a part of a streamed answer."""
    raise TypeError(f'no handler for {type(part).__name__}')


@reduce.register(events.InstanceStarted)
def reduce_start(
    event: events.InstanceStarted,
    state: states.State,
) -> Transition:
    """Dispatch on the command."""
    state = dataclasses.replace(state, started_at=event.at)
    return begin_command(state.command, event, state)


@reduce.register(events.CallAnswered)
def reduce_answer(
    event: events.CallAnswered,
    state: states.State,
) -> Transition:
    """Dispatch on the call that was answered."""
    return on_answer(event.call, event, state)


@reduce.register(events.CallFailed)
def reduce_failure(event: events.CallFailed, state: states.State) -> Transition:
    """Dispatch on the call that failed."""
    return on_failure(event.call, event, state)


@reduce.register(events.CallPartArrived)
def reduce_part(
    event: events.CallPartArrived,
    state: states.State,
) -> Transition:
    """Dispatch on the type of the part."""
    return on_part(event.part, event, state)


@reduce.register(events.TimerFired)
def reduce_timer(event: events.TimerFired, state: states.State) -> Transition:
    """Dispatch on the timer."""
    return on_timer(event.timer, event, state)


@reduce.register(events.StopRequested)
def reduce_stop(event: events.StopRequested, state: states.State) -> Transition:
    """Report an interruption; a promotion may still take effect."""
    if state.proposed_promotion is None:
        report = reports.Failed('interrupted', 'the command was interrupted')
        return finish(report, states.EXIT_UNREACHABLE, state)
    unknown = reports.PromotionUnknown(
        'the environment',
        state.proposed_promotion.promotion_id,
    )
    return finish(unknown, states.EXIT_UNREACHABLE, state)


def finish(
    report: reports.Report,
    exit_code: int,
    state: states.State,
) -> Transition:
    """Write a report and stop the tool."""
    return transitions.Transition(
        state,
        (reports.Show(report, state.as_json), effects.StopLoop(exit_code)),
    )


def refuse(
    code: str,
    message: str,
    remedy: str,
    state: states.State,
) -> Transition:
    """Report why a command is refused, and stop the tool."""
    report = reports.Failed(code, message, remedy)
    return finish(report, states.EXIT_REFUSED, state)
