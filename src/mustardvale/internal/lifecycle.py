"""Start an entry instance and shut it down gracefully."""

import dataclasses
import typing

from mustardvale.internal import (
    configuration,
    document_copies,
    effects,
    events,
    membership,
    reducer,
    timers,
    transitions,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

STOP_POLL_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Stopping:
    """Describe a graceful shutdown.

    New requests are accepted until `refuse_from`, a monotonic time, since
    callers may hold a list of entry addresses that includes this instance.
    """

    refuse_from: float


@reducer.reduce.register(events.InstanceStarted)
def start_instance(
    event: events.InstanceStarted,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Start tailing the environment stream and set the periodic timers."""
    identity = dataclasses.replace(
        state.identity,
        incarnation=int(event.wall_time * 1000),
    )
    state = dataclasses.replace(
        state,
        identity=identity,
        limits=dataclasses.replace(state.limits, started_at=event.at),
    )
    return configuration.tail_environment(state).with_effects(
        effects.LogChange('instance started'),
        effects.SetTimer(timers.InstanceListDue(), 0),
        effects.SetTimer(timers.HeartbeatDue(), 0),
        effects.SetTimer(timers.SilenceCheckDue(), 0),
        effects.SetTimer(
            timers.PlanCheckDue(), membership.SUSPECT_AFTER_SECONDS
        ),
        # By then every live peer has sent a heartbeat, so that this instance
        # does not take over partitions that a live peer owns.
        effects.SetTimer(
            timers.PartitionCheckDue(), membership.SUSPECT_AFTER_SECONDS
        ),
        effects.SetTimer(
            timers.DocumentCheckDue(), document_copies.INITIAL_DELAY_SECONDS
        ),
        effects.SetTimer(timers.SnapshotCheckDue(), 0),
    )


@reducer.reduce.register(events.StopRequested)
def begin_stop(
    event: events.StopRequested,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Withdraw from the entry addresses and start to drain."""
    if state.stopping is not None:
        return transitions.Transition(state)
    leaving = dataclasses.replace(
        state.membership,
        own_state=membership.LEAVING,
    )
    state = dataclasses.replace(
        state,
        membership=leaving,
        stopping=Stopping(event.at + state.timing.address_validity_seconds),
    )
    return transitions.Transition(
        state,
        (
            effects.LogChange('instance is leaving'),
            effects.SetTimer(timers.HeartbeatDue(), 0),
            effects.SetTimer(timers.StopCheckDue(), STOP_POLL_SECONDS),
        ),
    )


@reducer.on_timer.register(timers.StopCheckDue)
def continue_stop(
    timer: timers.StopCheckDue,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Stop once new requests are refused and none is in flight.

    After `drain_seconds` the instance stops in any case.
    """
    assert state.stopping is not None, 'only a graceful shutdown sets the timer'
    stop_at = state.stopping.refuse_from + state.timing.drain_seconds
    if event.at >= stop_at or (
        event.at >= state.stopping.refuse_from and is_idle(state)
    ):
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


def is_idle(state: 'states.State') -> bool:
    """Return whether no request of a caller is queued or in flight."""
    in_flight = (
        state.generations,
        state.operations,
        state.forwards,
        state.admission.started_at_by_request,
        state.admission.queue.count,
    )
    return state.actions.is_idle() and not any(in_flight)
