"""Set the faults of an engine stand-in and apply them to its answers."""

import dataclasses
import typing

import immutables

from mustardvale.internal import effects, events, transitions
from standins import engine, json_codec


@dataclasses.dataclass(frozen=True, slots=True)
class CloseServer(effects.Effect):
    """Close the port of one engine and all its connections."""

    instance_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class OpenServer(effects.Effect):
    """Listen at the port of one engine again."""

    instance_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class DelayedReply:
    """Send an answer when its delay has elapsed."""

    instance_id: str
    request_id: str
    reply: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class CrashDue:
    """Crash after the request that asked for it has been answered."""

    instance_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class FaultsChanged:
    """Start an iteration that an earlier fault may have held back."""

    instance_id: str


CRASH_DELAY_SECONDS = 0.02


@engine.on_request.register(engine.Faults)
def set_faults(
    request: engine.Faults,
    event: events.CallerRequested,
    state: engine.State,
) -> engine.Transition:
    """Replace all active faults."""
    changed = dataclasses.replace(state, faults=request)
    instance_id = state.config.instance_id
    timer = effects.SetTimer(FaultsChanged(instance_id), 0)
    if request.die:
        timer = effects.SetTimer(CrashDue(instance_id), CRASH_DELAY_SECONDS)
    confirmed = engine.answer(event.request_id, json_codec.Done(), changed)
    return confirmed.with_effects(timer)


@engine.on_timer.register(CrashDue)
def crash_on_timer(
    timer: CrashDue,
    event: events.TimerFired,
    state: engine.State,
) -> engine.Transition:
    """Crash as a request asked for."""
    return crash(state)


def decrement_fault(name: str, state: engine.State) -> engine.State:
    """Decrement a fault that is limited to a number of answers."""
    left = getattr(state.faults, name) - 1
    faults = dataclasses.replace(state.faults, **{name: left})
    return dataclasses.replace(state, faults=faults)


def reply_with_faults(
    request_id: str,
    reply: typing.Any,
    state: engine.State,
) -> engine.Transition:
    """Send, delay or drop an answer as the faults demand."""
    faults = state.faults
    if faults.drop_answers:
        return transitions.Transition(
            decrement_fault('drop_answers', state),
            (effects.CloseCaller(request_id),),
        )
    later = DelayedReply(state.config.instance_id, request_id, reply)
    if faults.late_answers:
        return transitions.Transition(
            decrement_fault('late_answers', state),
            (effects.SetTimer(later, faults.late_seconds),),
        )
    seconds = faults.delay_seconds + state.config.link_seconds
    if seconds:
        delay = effects.SetTimer(later, seconds)
        return transitions.Transition(state, (delay,))
    return engine.answer(request_id, reply, state)


@engine.on_timer.register(DelayedReply)
def send_delayed_reply(
    timer: DelayedReply,
    event: events.TimerFired,
    state: engine.State,
) -> engine.Transition:
    """Send an answer whose delay has elapsed."""
    return engine.answer(timer.request_id, timer.reply, state)


def crash(state: engine.State) -> engine.Transition:
    """Close the port and drop all state but counters, faults and the audit.

    The audit survives so that it finds sessions that run again after a crash.
    """
    config = state.config
    crashed = engine.State(
        config=config,
        iterations=state.iterations,
        steps_queued=state.steps_queued,
        loads_started=state.loads_started,
        steps_run=state.steps_run,
        faults=state.faults,
        is_crashed=True,
        cache=engine.build_cache(config),
        audit=state.audit,
    )
    crash_effects: tuple[effects.Effect, ...] = (
        CloseServer(config.instance_id),
    )
    if state.faults.restart_seconds:
        restart_timer = effects.SetTimer(
            engine.RestartDue(config.instance_id),
            state.faults.restart_seconds,
        )
        crash_effects = (*crash_effects, restart_timer)
    return transitions.Transition(crashed, crash_effects)


@engine.on_timer.register(engine.RestartDue)
def restart(
    timer: engine.RestartDue,
    event: events.TimerFired,
    state: engine.State,
) -> engine.Transition:
    """Start again with the same faults, except for `die`.

    A step with the `poison` input crashes the engine again.
    """
    faults = dataclasses.replace(state.faults, die=False)
    restarted = dataclasses.replace(
        state,
        is_crashed=False,
        faults=faults,
        sessions=immutables.Map(),
    )
    return transitions.Transition(restarted, (OpenServer(timer.instance_id),))
