"""Take orders to hold something else and load it from the weight store."""

import dataclasses
import functools

import immutables

from mustardvale.internal import effects, events, transitions
from standins import engine, engine_faults, json_codec, weight_store

STALE = json_codec.Refused(409, 'the fencing token is older than the last one')
NO_LAYERS = json_codec.Refused(400, 'the layer range is not within the model')
LEASE_TIMEOUT_SECONDS = 2.0
LEASE_RETRY_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Say what an engine shall hold; it is absolute, not a change.

    The fencing token is the offset of the plan that the order comes from. With
    a `lease` of the weight store the engine asks for none itself.
    """

    fencing_token: int
    model: str
    version: str
    layers: int
    first_layer: int
    end_layer: int
    adapters: tuple[str, ...] = ()
    role: str = engine.ANY_ROLE
    lease: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAccepted:
    """Confirm an order; the load report shows when it is carried out."""

    plan_offset: int
    units: int


@dataclasses.dataclass(frozen=True, slots=True)
class WeightsWanted:
    """Ask the weight store for a lease on behalf of one load."""

    instance_id: str
    number: int
    units: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseDue:
    """Ask for a lease again."""

    instance_id: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadDone:
    """End a load."""

    instance_id: str
    number: int


@engine.on_request.register(Order)
def receive_order(
    wanted: Order,
    event: events.CallerRequested,
    state: engine.State,
) -> engine.Transition:
    """Accept an order and start to load, or refuse it."""
    if state.held.fenced and wanted.fencing_token < state.plan_offset:
        return engine.answer(event.request_id, STALE, state)
    if not is_range(wanted):
        return engine.answer(event.request_id, NO_LAYERS, state)
    aim = describe_aim(wanted, state.held)
    units = count_units(aim, state.held)
    state = dataclasses.replace(state, plan_offset=wanted.fencing_token)
    confirm = functools.partial(
        engine_faults.deliver,
        event.request_id,
        OrderAccepted(wanted.fencing_token, units),
    )
    if state.loading is not None and state.loading.wanted == aim:
        return confirm(state)
    return start_load(aim, units, wanted.lease, state).then(confirm)


def is_range(wanted: Order) -> bool:
    """Return whether the layer range lies within the model."""
    first, end = wanted.first_layer, wanted.end_layer
    return first >= 0 and first < end and end <= wanted.layers


def describe_aim(wanted: Order, held: engine.Held) -> engine.Held:
    """Return what the engine will hold after an order."""
    return dataclasses.replace(
        held,
        model=wanted.model,
        version=wanted.version,
        layers=wanted.layers,
        first_layer=wanted.first_layer,
        end_layer=wanted.end_layer,
        adapters=wanted.adapters,
        role=wanted.role,
    )


def same_weights(first: engine.Held, second: engine.Held) -> bool:
    """Return whether two descriptions name the same model version."""
    return (first.model, first.version) == (second.model, second.version)


def count_units(aim: engine.Held, held: engine.Held) -> int:
    """Return how many layers and adapters have to be loaded."""
    layers = set(range(aim.first_layer, aim.end_layer))
    adapters = set(aim.adapters)
    if same_weights(aim, held):
        layers -= set(range(held.first_layer, held.end_layer))
        adapters -= set(held.adapters)
    return len(layers) + len(adapters)


def keeps_sessions(aim: engine.Held, held: engine.Held) -> bool:
    """Return whether the open sessions can go on after a load."""
    ranges = (aim.first_layer, aim.end_layer) == (
        held.first_layer,
        held.end_layer,
    )
    return (
        ranges
        and same_weights(aim, held)
        and set(held.adapters) <= set(aim.adapters)
    )


def start_load(
    aim: engine.Held,
    units: int,
    lease: str,
    state: engine.State,
) -> engine.Transition:
    """Start a load in place of any other one."""
    loading = engine.Loading(
        state.loads,
        aim,
        units,
        keeps_sessions(aim, state.held),
    )
    state = dataclasses.replace(
        state,
        loads=state.loads + 1,
        loading=loading,
        sessions=(
            state.sessions if loading.keeps_sessions else immutables.Map()
        ),
    )
    if not units:
        return finish_load(state)
    if state.held.weight_store and not lease:
        return ask_lease(state)
    seconds = units * state.held.layer_load_seconds
    return wait_for_weights(seconds, state)


def ask_lease(state: engine.State) -> engine.Transition:
    """Ask the weight store for a lease."""
    loading = state.loading
    assert loading is not None, 'a lease is for a load'
    call = WeightsWanted(
        state.held.instance_id,
        loading.number,
        loading.units,
    )
    return transitions.Transition(
        state,
        (
            effects.Call(
                call,
                state.held.weight_store,
                LEASE_TIMEOUT_SECONDS,
            ),
        ),
    )


def wait_for_weights(
    seconds: float,
    state: engine.State,
) -> engine.Transition:
    """Finish the load after the time that it takes."""
    loading = state.loading
    assert loading is not None, 'weights are for a load'
    timer = LoadDone(state.held.instance_id, loading.number)
    return transitions.Transition(state, (effects.SetTimer(timer, seconds),))


def is_current(number: int, state: engine.State) -> bool:
    """Return whether a load has not been replaced by another one."""
    return state.loading is not None and state.loading.number == number


@engine.reduce.register(events.CallAnswered)
def take_lease(
    event: events.CallAnswered,
    state: engine.State,
) -> engine.Transition:
    """Load for the time of the lease, or ask again."""
    if not is_current(event.call.number, state):
        return transitions.Transition(state)
    granted = event.answer
    if isinstance(granted, weight_store.LeaseGranted):
        return wait_for_weights(granted.seconds, state)
    return ask_again(granted.retry_after_seconds, state)


@engine.reduce.register(events.CallFailed)
def take_lease_failure(
    event: events.CallFailed,
    state: engine.State,
) -> engine.Transition:
    """Ask again when the weight store does not answer."""
    if not is_current(event.call.number, state):
        return transitions.Transition(state)
    return ask_again(LEASE_RETRY_SECONDS, state)


def ask_again(seconds: float, state: engine.State) -> engine.Transition:
    """Ask for a lease again after a wait."""
    loading = state.loading
    assert loading is not None, 'a lease is for a load'
    timer = LeaseDue(state.held.instance_id, loading.number)
    return transitions.Transition(state, (effects.SetTimer(timer, seconds),))


@engine.on_timer.register(LeaseDue)
def repeat_question(
    timer: LeaseDue,
    event: events.TimerFired,
    state: engine.State,
) -> engine.Transition:
    """Ask for a lease again unless another load has begun."""
    if not is_current(timer.number, state):
        return transitions.Transition(state)
    return ask_lease(state)


@engine.on_timer.register(LoadDone)
def end_load(
    timer: LoadDone,
    event: events.TimerFired,
    state: engine.State,
) -> engine.Transition:
    """Hold what was loaded unless another load has begun."""
    if not is_current(timer.number, state):
        return transitions.Transition(state)
    return finish_load(state)


def finish_load(state: engine.State) -> engine.Transition:
    """Hold what was loaded; prefixes of other weights are of no use."""
    loading = state.loading
    assert loading is not None, 'a load ends once'
    changed = dataclasses.replace(state, held=loading.wanted, loading=None)
    if not loading.keeps_sessions:
        following = state.cache.sequence + 1
        # A sequence number that is left out tells readers of cache events
        # that what they know no longer holds.
        cache = dataclasses.replace(
            engine.build_cache(loading.wanted),
            sequence=following,
            published_next=following,
        )
        changed = dataclasses.replace(changed, cache=cache)
    return transitions.Transition(changed)
