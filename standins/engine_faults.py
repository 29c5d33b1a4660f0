"""Switch the faults of an engine stand-in and act on them."""

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
    """Open the port of one engine again."""

    instance_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class DeliverLater:
    """Send an answer whose delay is over."""

    instance_id: str
    request_id: str
    reply: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class DieNow:
    """Die after the request for it has been answered."""

    instance_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Thawed:
    """Go on after the faults were changed."""

    instance_id: str


DIE_DELAY_SECONDS = 0.02


@engine.on_request.register(engine.Faults)
def set_faults(
    wanted: engine.Faults,
    event: events.CallerRequested,
    state: engine.State,
) -> engine.Transition:
    """Replace all faults."""
    changed = dataclasses.replace(state, faults=wanted)
    instance_id = state.held.instance_id
    following = effects.SetTimer(Thawed(instance_id), 0)
    if wanted.die:
        following = effects.SetTimer(DieNow(instance_id), DIE_DELAY_SECONDS)
    confirmed = engine.answer(event.request_id, json_codec.Done(), changed)
    return confirmed.with_effects(following)


@engine.on_timer.register(DieNow)
def die_now(
    timer: DieNow,
    event: events.TimerFired,
    state: engine.State,
) -> engine.Transition:
    """Die as it was asked for."""
    return die(state)


def use_up(name: str, state: engine.State) -> engine.State:
    """Count down a fault that concerns a number of answers."""
    left = getattr(state.faults, name) - 1
    faults = dataclasses.replace(state.faults, **{name: left})
    return dataclasses.replace(state, faults=faults)


def deliver(
    request_id: str,
    reply: typing.Any,
    state: engine.State,
) -> engine.Transition:
    """Send an answer, or do what the faults make of it."""
    faults = state.faults
    if faults.drop_answers:
        return transitions.Transition(
            use_up('drop_answers', state),
            (effects.CloseCaller(request_id),),
        )
    later = DeliverLater(state.held.instance_id, request_id, reply)
    if faults.late_answers:
        return transitions.Transition(
            use_up('late_answers', state),
            (effects.SetTimer(later, faults.late_seconds),),
        )
    seconds = faults.delay_seconds + state.held.link_seconds
    if seconds:
        delay = effects.SetTimer(later, seconds)
        return transitions.Transition(state, (delay,))
    return engine.answer(request_id, reply, state)


@engine.on_timer.register(DeliverLater)
def deliver_later(
    timer: DeliverLater,
    event: events.TimerFired,
    state: engine.State,
) -> engine.Transition:
    """Send an answer whose delay is over."""
    return engine.answer(timer.request_id, timer.reply, state)


def die(state: engine.State) -> engine.Transition:
    """Lose all state but the audit, and close the port.

    The audit belongs to the observer and not to the engine, so that a session
    which runs again after a death is found.
    """
    held = state.held
    dead = engine.State(
        held=held,
        iterations=state.iterations,
        queued=state.queued,
        loads=state.loads,
        steps_run=state.steps_run,
        faults=state.faults,
        dead=True,
        cache=engine.build_cache(held),
        audit=state.audit,
    )
    closed: tuple[effects.Effect, ...] = (CloseServer(held.instance_id),)
    if state.faults.restart_seconds:
        revive = effects.SetTimer(
            engine.Revive(held.instance_id),
            state.faults.restart_seconds,
        )
        closed = (*closed, revive)
    return transitions.Transition(dead, closed)


@engine.on_timer.register(engine.Revive)
def revive(
    timer: engine.Revive,
    event: events.TimerFired,
    state: engine.State,
) -> engine.Transition:
    """Start again; a poisonous prompt kills the engine once more."""
    faults = dataclasses.replace(state.faults, die=False)
    alive = dataclasses.replace(
        state,
        dead=False,
        faults=faults,
        sessions=immutables.Map(),
    )
    return transitions.Transition(alive, (OpenServer(timer.instance_id),))
