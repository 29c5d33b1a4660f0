"""Act as callers of entry instances that relay requests.

Callers ask the directory where to connect, keep connections, repeat what may
be repeated and go on with streams after the last event that they have. What
they asked and got is written to a history, which `relay_checks` reads.
"""

import dataclasses
import functools
import math
import typing

import immutables

from bench import relay_asks
from mustardvale.internal import draws, effects, events, transitions
from mustardvale.internal.relay import effects as relay_effects
from mustardvale.internal.relay import events as relay_events
from standins import reducers

DIRECTORY_SECONDS = 1.0
DIRECTORY_PERIOD_SECONDS = 1.0
SWEEP_SECONDS = 0.1
# Callers leave a stream that pauses for this long.
GAP_SECONDS = 2.0
BUDGET_SECONDS = 5.0
LATE_SECONDS = 1.0
MAXIMUM_TRIES = 3
RETRY_SECONDS = 0.1
LEAVING_SHARE = 0.03
LEAVING_SECONDS = 0.15
REFUSED_STATUSES = frozenset((429, 503))
MINIMUM_UNIT = 1e-12
HOST = 'site.example'


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """Say what to send; `keys` pairs the keys of callers with their tenants."""

    run_id: str
    directories: tuple[str, ...]
    keys: tuple[tuple[str, str], ...]
    rate: float = 30
    duration_seconds: float = 10
    seed: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class AskDirectory:
    """Ask for entry addresses."""


@dataclasses.dataclass(frozen=True, slots=True)
class Directory:
    """Hold entry addresses."""

    addresses: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Hold the head of an answer."""

    status: int
    stamp: str
    retry_after: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Record(effects.Effect):
    """Write a line of the history."""

    line: tuple[tuple[str, typing.Any], ...]
    wall: float


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryDue:
    """Ask for entry addresses again."""


@dataclasses.dataclass(frozen=True, slots=True)
class ArrivalDue:
    """Start the next request."""


@dataclasses.dataclass(frozen=True, slots=True)
class SweepDue:
    """Leave what has been silent for too long."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryDue:
    """Send a request again; attempts are told apart by their id."""

    attempt_id: str
    ask: relay_asks.Ask = dataclasses.field(compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Hold the known entry addresses and the requests under way."""

    plan: LoadPlan
    seed: int
    entries: tuple[str, ...] = ()
    asks: immutables.Map[str, relay_asks.Ask] = immutables.Map()
    count: int = 0
    asked: int = 0
    ends_at: float = math.inf


Transition = transitions.Transition[State]
dispatch = reducers.build_dispatch()
reduce = dispatch.reduce


@dispatch.reduce.register(events.InstanceStarted)
def start(event: events.InstanceStarted, state: State) -> Transition:
    """Ask for addresses and begin to send."""
    begun = dataclasses.replace(
        state, ends_at=event.at + state.plan.duration_seconds
    )
    return ask_directory(begun).with_effects(
        effects.SetTimer(ArrivalDue(), DIRECTORY_SECONDS / 2),
        effects.SetTimer(SweepDue(), SWEEP_SECONDS),
    )


@dispatch.on_timer.register(DirectoryDue)
def ask_again(
    timer: DirectoryDue, event: events.TimerFired, state: State
) -> Transition:
    """Ask for entry addresses again."""
    return ask_directory(state)


def ask_directory(state: State) -> Transition:
    """Ask the directories in turn."""
    directories = state.plan.directories
    address = directories[state.asked % len(directories)]
    return transitions.Transition(
        dataclasses.replace(state, asked=state.asked + 1),
        (effects.Call(AskDirectory(), address, DIRECTORY_SECONDS),),
    )


@dispatch.reduce.register(events.CallAnswered)
def take_directory(event: events.CallAnswered, state: State) -> Transition:
    """Use the addresses of an answer."""
    if event.answer.addresses:
        state = dataclasses.replace(state, entries=event.answer.addresses)
    again = effects.SetTimer(DirectoryDue(), DIRECTORY_PERIOD_SECONDS)
    return transitions.Transition(state, (again,))


@dispatch.reduce.register(events.CallFailed)
def ask_another(event: events.CallFailed, state: State) -> Transition:
    """Ask the next directory."""
    again = effects.SetTimer(DirectoryDue(), RETRY_SECONDS)
    return transitions.Transition(state, (again,))


@dispatch.on_timer.register(ArrivalDue)
def arrive(
    timer: ArrivalDue, event: events.TimerFired, state: State
) -> Transition:
    """Start a request and set the next arrival, or wait for the end."""
    if event.at >= state.ends_at:
        if not state.asks:
            return transitions.Transition(state, (effects.StopLoop(),))
        wait = effects.SetTimer(timer, SWEEP_SECONDS)
        return transitions.Transition(state, (wait,))
    drawn = draws.draw(state.seed)
    interval = (
        -math.log(max(1 - drawn.fraction, MINIMUM_UNIT)) / state.plan.rate
    )
    state = dataclasses.replace(state, seed=drawn.seed)
    return begin(event, state).with_effects(effects.SetTimer(timer, interval))


def begin(event: events.Event, state: State) -> Transition:
    """Draw a request and send it."""
    kind_draw = draws.draw(state.seed)
    key_draw = draws.draw(kind_draw.seed)
    leave_draw = draws.draw(key_draw.seed)
    count = state.count + 1
    kind = relay_asks.pick_kind(kind_draw.fraction)
    key, tenant = state.plan.keys[int(key_draw.fraction * len(state.plan.keys))]
    leaves = leave_draw.fraction < LEAVING_SHARE
    name = f'{state.plan.run_id}-{count}'
    ask = relay_asks.Ask(
        name,
        kind,
        f'/{kind.name}/{name}?of=%20{count}',
        b'' if kind.method == 'GET' else f'body of {name}'.encode(),
        key,
        tenant,
        '',
        event.at,
        event.at + LEAVING_SECONDS if leaves else math.inf,
    )
    state = dataclasses.replace(state, seed=leave_draw.seed, count=count)
    return send(ask, event, state)


def send(ask: relay_asks.Ask, event: events.Event, state: State) -> Transition:
    """Send an attempt to one of the known entry addresses."""
    if not state.entries:
        return retry(ask, RETRY_SECONDS, event, state)
    drawn = draws.draw(state.seed)
    entry = state.entries[int(drawn.fraction * len(state.entries))]
    ask = dataclasses.replace(ask, entry=entry, heard_at=event.at)
    state = dataclasses.replace(
        state, seed=drawn.seed, asks=state.asks.set(ask.attempt_id, ask)
    )
    return transitions.Transition(
        state,
        (
            write(
                event,
                ('event', 'ask'),
                ('id', ask.attempt_id),
                ('kind', ask.kind.name),
                ('digest', ask.digest),
                ('target', ask.target),
                ('key', ask.key),
                ('tenant', ask.tenant),
                ('entry', entry),
            ),
            relay_effects.StartSend(ask.attempt_id, entry, ask),
        ),
    )


def write(event: events.Event, *line: tuple[str, typing.Any]) -> Record:
    """Return the effect that writes a line of the history."""
    return Record(line, event.wall_time)


def retry(
    ask: relay_asks.Ask, wait_seconds: float, event: events.Event, state: State
) -> Transition:
    """Send a request again later, as a new attempt, if its time allows."""
    late = event.at + wait_seconds - ask.started_at > BUDGET_SECONDS / 2
    if late or ask.tries >= MAXIMUM_TRIES:
        return transitions.Transition(state)
    name = ask.attempt_id.partition('.')[0]
    again = dataclasses.replace(
        ask,
        attempt_id=f'{name}.{ask.tries}',
        tries=ask.tries + 1,
        after_event=relay_asks.last_event(ask),
        status=0,
        stamp='',
        received=b'',
    )
    timer = RetryDue(again.attempt_id, again)
    return transitions.Transition(
        state, (effects.SetTimer(timer, wait_seconds),)
    )


@dispatch.on_timer.register(RetryDue)
def send_again(
    timer: RetryDue, event: events.TimerFired, state: State
) -> Transition:
    """Send the next attempt of a request."""
    return send(timer.ask, event, state)


@dispatch.on_timer.register(SweepDue)
def sweep(
    timer: SweepDue, event: events.TimerFired, state: State
) -> Transition:
    """Leave requests that are silent, and some that are not."""
    transition: Transition = transitions.Transition(state)
    for ask in state.asks.values():
        if is_left(ask, event.at):
            transition = transition.then(functools.partial(leave, ask, event))
    return transition.with_effects(effects.SetTimer(timer, SWEEP_SECONDS))


def is_left(ask: relay_asks.Ask, now: float) -> bool:
    """Return whether a caller gives an attempt up."""
    limit = GAP_SECONDS
    if not ask.kind.streamed:
        limit = BUDGET_SECONDS + LATE_SECONDS
    return now >= ask.leaves_at or now - ask.heard_at > limit


def leave(ask: relay_asks.Ask, event: events.Event, state: State) -> Transition:
    """Close the connection of an attempt."""
    return transitions.Transition(
        without(ask, state),
        (
            relay_effects.AbortSend(ask.attempt_id),
            write(
                event,
                ('event', 'left'),
                ('id', ask.attempt_id),
                ('silent', event.at - ask.heard_at),
                ('sound', relay_asks.is_sound(ask)),
            ),
        ),
    )


def without(ask: relay_asks.Ask, state: State) -> State:
    """Forget an attempt."""
    return dataclasses.replace(state, asks=state.asks.delete(ask.attempt_id))


def keep(ask: relay_asks.Ask, state: State) -> Transition:
    """Keep a changed attempt."""
    return transitions.Transition(
        dataclasses.replace(state, asks=state.asks.set(ask.attempt_id, ask))
    )


@dispatch.reduce.register(relay_events.HeadArrived)
def take_head(event: relay_events.HeadArrived, state: State) -> Transition:
    """Keep the head of an answer."""
    ask = state.asks.get(event.send_id)
    if ask is None:
        return transitions.Transition(state)
    headed = dataclasses.replace(
        ask,
        status=event.head.status,
        stamp=event.head.stamp,
        retry_after=event.head.retry_after,
        heard_at=event.at,
    )
    return keep(headed, state)


@dispatch.reduce.register(relay_events.PartArrived)
def take_part(event: relay_events.PartArrived, state: State) -> Transition:
    """Keep a part of an answer."""
    ask = state.asks.get(event.send_id)
    if ask is None:
        return transitions.Transition(state)
    grown = dataclasses.replace(
        ask, received=ask.received + event.part, heard_at=event.at
    )
    return keep(grown, state)


@dispatch.reduce.register(relay_events.SendEnded)
def take_end(event: relay_events.SendEnded, state: State) -> Transition:
    """Write down a complete answer; come again after a refusal."""
    ask = state.asks.get(event.send_id)
    if ask is None:
        return transitions.Transition(state)
    written = transitions.Transition(
        without(ask, state),
        (
            write(
                event,
                ('event', 'answer'),
                ('id', ask.attempt_id),
                ('status', ask.status),
                ('stamp', ask.stamp),
                ('whole', ask.received == relay_asks.whole_answer(ask)),
                ('sound', relay_asks.is_sound(ask)),
                ('seconds', event.at - ask.started_at),
            ),
        ),
    )
    if ask.status // 100 == 2:
        return written
    wait = ask.retry_after or RETRY_SECONDS
    if ask.status not in REFUSED_STATUSES and not ask.kind.repeatable:
        return written
    return written.then(functools.partial(retry, ask, wait, event))


@dispatch.reduce.register(relay_events.SendFailed)
def take_failure(event: relay_events.SendFailed, state: State) -> Transition:
    """Write down a lost answer; repeat it where that may be."""
    ask = state.asks.get(event.send_id)
    if ask is None:
        return transitions.Transition(state)
    state = without(ask, state)
    if not event.failure.was_sent:
        others = tuple(entry for entry in state.entries if entry != ask.entry)
        state = dataclasses.replace(state, entries=others or state.entries)
    written = transitions.Transition(
        state,
        (
            write(
                event,
                ('event', 'lost'),
                ('id', ask.attempt_id),
                ('status', ask.status),
                ('sent', event.failure.was_sent),
                ('problem', event.failure.kind.value),
                ('sound', relay_asks.is_sound(ask)),
                ('seconds', event.at - ask.started_at),
            ),
        ),
    )
    if event.failure.was_sent and not ask.kind.repeatable:
        return written
    return written.then(functools.partial(retry, ask, RETRY_SECONDS, event))
