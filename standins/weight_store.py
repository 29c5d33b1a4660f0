"""Emulate the store of model weights, which limits loads by leases."""

import dataclasses
import functools
import typing

import immutables

from mustardvale.internal import effects, events, transitions
from standins import json_codec, reducers

DOWN = json_codec.Refused(503, 'the weight store is down')


@dataclasses.dataclass(frozen=True, slots=True)
class AcquireLease:
    """Request a lease to load weights.

    A unit is a layer or an adapter. `holder` names the engine for observers.
    """

    holder: str
    units: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseGranted:
    """Grant a lease that expires after `seconds`, the duration of its load."""

    lease: str
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRefused:
    """Refuse a lease because all slots are in use."""

    retry_after_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseLease:
    """Request to end a lease before it expires."""

    lease: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLeases:
    """Request the leases in use and the counts of leases."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeasesPage:
    """Hold the holders of the leases in use and the counts of leases.

    `most_at_once` is the largest number of leases in use at the same time.
    """

    holders: tuple[str, ...]
    granted: int
    refused: int
    most_at_once: int


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Hold the active faults.

    A store that is `down` answers 503. `slowdown` multiplies load times.
    """

    down: bool = False
    slowdown: float = 1


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseExpired:
    """End a lease at its expiry."""

    lease: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Describe a lease in use; `ends_at` is a monotonic time."""

    holder: str
    ends_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Hold the leases in use, of which there are at most `slots`.

    Each slot has an equal share of `units_per_second`.
    """

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
    """End a lease that has expired."""
    return transitions.Transition(remove_lease(timer.lease, state))


@dispatch.reduce.register(events.CallerRequested)
def reduce_request(event: events.CallerRequested, state: State) -> Transition:
    """Dispatch on the request, or refuse it while the store is down."""
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
    """Return the state without a lease, which may have ended."""
    if lease not in state.leases:
        return state
    return dataclasses.replace(state, leases=state.leases.delete(lease))


@on_request.register(Faults)
def set_faults(
    request: Faults,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Replace all active faults."""
    changed = dataclasses.replace(state, faults=request)
    return answer(event.request_id, json_codec.Done(), changed)


@on_request.register(AcquireLease)
def grant_lease(
    request: AcquireLease,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Grant a lease, or refuse it until the first one in use expires."""
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
    """End a lease before it expires."""
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
    """Answer with the leases in use and the counts of leases."""
    page = LeasesPage(
        tuple(sorted(lease.holder for lease in state.leases.values())),
        state.granted,
        state.refused,
        state.most_at_once,
    )
    return answer(event.request_id, page, state)
