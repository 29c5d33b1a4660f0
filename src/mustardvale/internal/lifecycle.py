"""Start and stop an entry instance."""

import dataclasses
from typing import TYPE_CHECKING

from mustardvale.internal import (
    configuration,
    effects,
    entries,
    events,
    membership,
    reducer,
    timers,
    transitions,
)

if TYPE_CHECKING:
    from mustardvale.internal import state as states

STOP_POLL_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Stopping:
    """Describe a planned stop; times are monotonic.

    New requests are taken until `refuse_from`, while callers may still hold
    an answer that names this address.
    """

    refuse_from: float


@reducer.reduce.register(events.InstanceStarted)
def start(
    event: events.InstanceStarted,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Follow the environment and ask for the instance list."""
    identity = dataclasses.replace(
        state.identity,
        incarnation=int(event.wall * 1000),
    )
    state = dataclasses.replace(
        state,
        identity=identity,
        limits=dataclasses.replace(state.limits, started_at=event.at),
    )
    return configuration.follow_environment(state).with_effects(
        effects.LogChange('instance started'),
        effects.SetTimer(timers.ListDue(), 0),
        effects.SetTimer(timers.HeartbeatDue(), 0),
    )


@reducer.reduce.register(events.StopRequested)
def begin_stop(
    event: events.StopRequested,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Leave the entry addresses and wait until callers have noticed."""
    if state.stopping is not None:
        return transitions.Transition(state)
    leaving = dataclasses.replace(
        state.membership,
        own_state=membership.LEAVING,
    )
    state = dataclasses.replace(
        state,
        membership=leaving,
        stopping=Stopping(event.at + entries.VALID_SECONDS),
    )
    return transitions.Transition(
        state,
        (
            effects.LogChange('instance is leaving'),
            effects.SetTimer(timers.HeartbeatDue(), 0),
            effects.SetTimer(timers.StopPhaseDue(), STOP_POLL_SECONDS),
        ),
    )


@reducer.on_timer.register(timers.StopPhaseDue)
def go_on_stopping(
    timer: timers.StopPhaseDue,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Stop once callers have noticed and nothing is in flight."""
    assert state.stopping is not None, 'the timer is set by a stop'
    admission = state.admission
    busy = state.generations or admission.running or admission.queue.count
    if event.at >= state.stopping.refuse_from and not busy:
        return transitions.Transition(
            state,
            (
                effects.LogChange('instance stopped'),
                effects.StopLoop(),
            ),
        )
    return transitions.Transition(
        state,
        (effects.SetTimer(timer, STOP_POLL_SECONDS),),
    )
