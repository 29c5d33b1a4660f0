"""Stand in for the store of model weights, which limits its rate."""

import dataclasses
import functools
import typing

import immutables

from mustardvale.internal import effects, events, transitions
from standins import json_codec, reducers

DOWN = json_codec.Refused(503, 'the weight store is down')


@dataclasses.dataclass(frozen=True, slots=True)
class AcquireLease:
    """Ask to load weights; a unit is a layer or an adapter.

    `holder` names the engine, for those who look at the store.
    """

    holder: str
    units: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseGranted:
    """Allow a load, which takes `seconds`; then the lease is over."""

    lease: str
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRefused:
    """Refuse a load because others are in progress."""

    retry_after_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseLease:
    """End a lease before its time."""

    lease: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLeases:
    """Ask which leases are in use."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeasesPage:
    """Show the holders of the leases in use and the counts so far."""

    holders: tuple[str, ...]
    granted: int
    refused: int
    most_at_once: int


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Hold the faults that are switched on."""

    down: bool = False
    slowdown: float = 1


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseExpired:
    """End a lease."""

    lease: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Describe a lease in use; `ends_at` is monotonic."""

    holder: str
    ends_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Hold the leases in use: at most `slots`, which share the rate evenly."""

    units_per_second: float
    slots: int
    leases: immutables.Map[str, Lease] = immutables.Map()
    granted: int = 0
    refused: int = 0
    most_at_once: int = 0
    faults: Faults = Faults()


Transition = transitions.Transition[State]
dispatch = reducers.build_dispatch()
reduce = dispatch.reduce
answer = reducers.answer


@dispatch.on_timer.register(LeaseExpired)
def expire_lease(
    timer: LeaseExpired, event: events.TimerFired, state: State
) -> Transition:
    """End a lease whose time is over."""
    return transitions.Transition(remove_lease(timer.lease, state))


@dispatch.reduce.register(events.CallerRequested)
def reduce_request(event: events.CallerRequested, state: State) -> Transition:
    """Dispatch on the request."""
    if state.faults.down and not isinstance(event.request, Faults):
        return answer(event.request_id, DOWN, state)
    return on_request(event.request, event, state)


@functools.singledispatch
def on_request(
    request: typing.Any,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Handle a request."""
    raise TypeError(type(request).__name__)


def remove_lease(lease: str, state: State) -> State:
    """Return the state without a lease that may have ended before."""
    if lease not in state.leases:
        return state
    return dataclasses.replace(state, leases=state.leases.delete(lease))


@on_request.register(Faults)
def set_faults(
    request: Faults,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Switch faults."""
    changed = dataclasses.replace(state, faults=request)
    return answer(event.request_id, json_codec.Done(), changed)


@on_request.register(AcquireLease)
def grant_lease(
    request: AcquireLease,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Grant a lease, or say when one ends."""
    if len(state.leases) >= state.slots:
        first_end = min(lease.ends_at for lease in state.leases.values())
        refused = dataclasses.replace(state, refused=state.refused + 1)
        wait = max(first_end - event.at, 0)
        return answer(event.request_id, LeaseRefused(wait), refused)
    seconds = request.units * state.slots / state.units_per_second
    seconds *= state.faults.slowdown
    name = f'lease-{state.granted}'
    lease = Lease(request.holder, event.at + seconds)
    leases = state.leases.set(name, lease)
    state = dataclasses.replace(
        state,
        leases=leases,
        granted=state.granted + 1,
        most_at_once=max(state.most_at_once, len(leases)),
    )
    return answer(
        event.request_id,
        LeaseGranted(name, seconds),
        state,
    ).with_effects(effects.SetTimer(LeaseExpired(name), seconds))


@on_request.register(ReleaseLease)
def release_lease(
    request: ReleaseLease,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """End a lease before its time."""
    return answer(
        event.request_id,
        json_codec.Done(),
        remove_lease(request.lease, state),
    )


@on_request.register(ReadLeases)
def show_leases(
    request: ReadLeases,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Show the leases in use."""
    page = LeasesPage(
        tuple(sorted(lease.holder for lease in state.leases.values())),
        state.granted,
        state.refused,
        state.most_at_once,
    )
    return answer(event.request_id, page, state)
