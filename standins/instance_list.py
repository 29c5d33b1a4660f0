"""Stand in for the platform's instance list, which lags."""

import dataclasses
import functools
import typing

from mustardvale.internal import calls, effects, events, transitions
from standins import json_codec, reducers

DOWN = json_codec.Refused(503, 'the instance list is down')


@dataclasses.dataclass(frozen=True, slots=True)
class SetInstances:
    """Replace all rows; readers see them after the lag."""

    instances: tuple[calls.ListedInstance, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SetState:
    """Change the state of one row; readers see it after the lag."""

    instance_id: str
    state: calls.ListedState


@dataclasses.dataclass(frozen=True, slots=True)
class Remove:
    """Remove one row; readers see it after the lag."""

    instance_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Hold the faults that are switched on."""

    down: bool = False
    lag_seconds: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Publish:
    """Show rows to readers once the lag is over."""

    instances: tuple[calls.ListedInstance, ...]
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Hold the true rows and those that readers see."""

    faults: Faults
    actual: tuple[calls.ListedInstance, ...] = ()
    shown: tuple[calls.ListedInstance, ...] = ()
    version: int = 0


Transition = transitions.Transition[State]
dispatch = reducers.build()
reduce = dispatch.reduce


@dispatch.on_timer.register(Publish)
def publish(
    timer: Publish, event: events.TimerFired, state: State
) -> Transition:
    """Show rows to readers."""
    shown = dataclasses.replace(state, shown=timer.instances)
    return transitions.Transition(shown)


@dispatch.reduce.register(events.CallerRequested)
def receive(event: events.CallerRequested, state: State) -> Transition:
    """Dispatch on the request."""
    return on_request(event.request, event, state)


@functools.singledispatch
def on_request(
    wanted: typing.Any,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Handle a request."""
    raise TypeError(type(wanted).__name__)


@on_request.register(calls.ListInstances)
def list_instances(
    wanted: calls.ListInstances,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Answer with the rows that readers see."""
    reply: typing.Any = calls.InstancesListed(state.shown)
    if state.faults.down:
        reply = DOWN
    return transitions.Transition(
        state,
        (effects.Reply(event.request_id, reply),),
    )


@on_request.register(Faults)
def set_faults(
    wanted: Faults,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Switch faults."""
    return confirm(event, dataclasses.replace(state, faults=wanted))


def confirm(event: events.CallerRequested, state: State) -> Transition:
    """Confirm a change."""
    reply = effects.Reply(event.request_id, json_codec.Done())
    return transitions.Transition(state, (reply,))


@on_request.register(SetInstances)
def set_instances(
    wanted: SetInstances,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Replace all rows."""
    return change(wanted.instances, event, state)


@on_request.register(SetState)
def set_state(
    wanted: SetState,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Change the state of one row."""
    rows = tuple(
        dataclasses.replace(row, state=wanted.state)
        if row.instance_id == wanted.instance_id
        else row
        for row in state.actual
    )
    return change(rows, event, state)


@on_request.register(Remove)
def remove(
    wanted: Remove,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Remove one row."""
    rows = tuple(
        row for row in state.actual if row.instance_id != wanted.instance_id
    )
    return change(rows, event, state)


def change(
    rows: tuple[calls.ListedInstance, ...],
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Change the true rows and publish them after the lag."""
    state = dataclasses.replace(
        state,
        actual=rows,
        version=state.version + 1,
    )
    later = effects.SetTimer(
        Publish(rows, state.version),
        state.faults.lag_seconds,
    )
    return confirm(event, state).with_effects(later)
