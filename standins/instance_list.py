"""Emulate the platform's instance list, whose readers see changes late."""

import dataclasses
import functools
import typing

from mustardvale.internal import calls, effects, events, transitions
from standins import json_codec, reducers

DOWN = json_codec.Refused(503, 'the instance list is down')


@dataclasses.dataclass(frozen=True, slots=True)
class SetInstances:
    """Request to replace all rows; readers see them after the lag."""

    instances: tuple[calls.ListedInstance, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SetInstanceState:
    """Request to change the state of one row, visible after the lag."""

    instance_id: str
    state: calls.ListedState


@dataclasses.dataclass(frozen=True, slots=True)
class RemoveInstance:
    """Request to remove one row; readers see the change after the lag."""

    instance_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Hold the active faults; a list that is `down` answers reads with 503.

    Readers see changes after `lag_seconds`.
    """

    down: bool = False
    lag_seconds: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Publish:
    """Make rows visible to readers when the lag has elapsed."""

    instances: tuple[calls.ListedInstance, ...]
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Hold the current rows and those that readers see.

    `version` counts the changes of the rows.
    """

    faults: Faults
    actual_rows: tuple[calls.ListedInstance, ...] = ()
    visible_rows: tuple[calls.ListedInstance, ...] = ()
    version: int = 0


Transition = transitions.Transition[State]
dispatch = reducers.build_dispatch()
reduce = dispatch.reduce


@dispatch.on_timer.register(Publish)
def publish(
    timer: Publish, event: events.TimerFired, state: State
) -> Transition:
    """Make rows visible to readers."""
    shown = dataclasses.replace(state, visible_rows=timer.instances)
    return transitions.Transition(shown)


@dispatch.reduce.register(events.CallerRequested)
def reduce_request(event: events.CallerRequested, state: State) -> Transition:
    """Dispatch on the request."""
    return on_request(event.request, event, state)


@functools.singledispatch
def on_request(
    request: typing.Any,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Handle a request."""
    raise TypeError(type(request).__name__)


@on_request.register(calls.ListInstances)
def list_instances(
    request: calls.ListInstances,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Answer with the rows that readers see."""
    reply: typing.Any = calls.InstancesListed(state.visible_rows)
    if state.faults.down:
        reply = DOWN
    return transitions.Transition(
        state,
        (effects.Reply(event.request_id, reply),),
    )


@on_request.register(Faults)
def set_faults(
    request: Faults,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Replace all active faults."""
    return confirm(event, dataclasses.replace(state, faults=request))


def confirm(event: events.CallerRequested, state: State) -> Transition:
    """Confirm a request that changed the state."""
    reply = effects.Reply(event.request_id, json_codec.Done())
    return transitions.Transition(state, (reply,))


@on_request.register(SetInstances)
def set_instances(
    request: SetInstances,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Replace all rows."""
    return replace_rows(request.instances, event, state)


@on_request.register(SetInstanceState)
def set_instance_state(
    request: SetInstanceState,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Change the state of one row."""
    rows = tuple(
        dataclasses.replace(row, state=request.state)
        if row.instance_id == request.instance_id
        else row
        for row in state.actual_rows
    )
    return replace_rows(rows, event, state)


@on_request.register(RemoveInstance)
def remove_instance(
    request: RemoveInstance,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Remove one row."""
    rows = tuple(
        row
        for row in state.actual_rows
        if row.instance_id != request.instance_id
    )
    return replace_rows(rows, event, state)


def replace_rows(
    rows: tuple[calls.ListedInstance, ...],
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Replace the current rows and make them visible after the lag."""
    state = dataclasses.replace(
        state,
        actual_rows=rows,
        version=state.version + 1,
    )
    publish_timer = effects.SetTimer(
        Publish(rows, state.version),
        state.faults.lag_seconds,
    )
    return confirm(event, state).with_effects(publish_timer)
