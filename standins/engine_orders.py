"""Accept orders to hold other layers or adapters, and load their weights."""

import dataclasses
import functools

import immutables

from mustardvale.internal import effects, events, transitions
from standins import engine, engine_faults, json_codec, weight_store

STALE_TOKEN = json_codec.Refused(
    409, 'the fencing token is older than the last one'
)
INVALID_LAYER_RANGE = json_codec.Refused(
    400, 'the layer range is not within the model'
)
LEASE_TIMEOUT_SECONDS = 2.0
LEASE_RETRY_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Order an engine to hold exactly the given layers and adapters.

    Layers are a half-open range of the model's `layers`. The fencing token is
    the offset of the plan that the order belongs to. An engine whose order has
    a `lease` of the weight store requests none itself.
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
    """Confirm an order; load reports show when the load has ended.

    `units` is the number of layers and adapters to load.
    """

    plan_offset: int
    units: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseCall:
    """Request a lease from the weight store for the load with a number."""

    instance_id: str
    number: int
    units: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRetryDue:
    """Request a lease for a load again."""

    instance_id: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadDone:
    """End the load with a number."""

    instance_id: str
    number: int


@engine.on_request.register(Order)
def receive_order(
    request: Order,
    event: events.CallerRequested,
    state: engine.State,
) -> engine.Transition:
    """Accept an order and start its load, or refuse it.

    An order for what is already being loaded does not restart the load.
    """
    if state.config.fenced and request.fencing_token < state.plan_offset:
        return engine.answer(event.request_id, STALE_TOKEN, state)
    if not is_valid_layer_range(request):
        return engine.answer(event.request_id, INVALID_LAYER_RANGE, state)
    target_config = apply_order(request, state.config)
    units = count_units(target_config, state.config)
    state = dataclasses.replace(state, plan_offset=request.fencing_token)
    confirm = functools.partial(
        engine_faults.reply_with_faults,
        event.request_id,
        OrderAccepted(request.fencing_token, units),
    )
    if (
        state.loading is not None
        and state.loading.target_config == target_config
    ):
        return confirm(state)
    return start_load(target_config, units, request.lease, state).then(confirm)


def is_valid_layer_range(request: Order) -> bool:
    """Return whether the layer range lies within the model."""
    first, end = request.first_layer, request.end_layer
    return first >= 0 and first < end and end <= request.layers


def apply_order(
    request: Order, config: engine.EngineConfig
) -> engine.EngineConfig:
    """Return the configuration of an engine after an order."""
    return dataclasses.replace(
        config,
        model=request.model,
        version=request.version,
        layers=request.layers,
        first_layer=request.first_layer,
        end_layer=request.end_layer,
        adapters=request.adapters,
        role=request.role,
    )


def is_same_model_version(
    first: engine.EngineConfig, second: engine.EngineConfig
) -> bool:
    """Return whether two configurations are of the same model version."""
    return (first.model, first.version) == (second.model, second.version)


def count_units(
    target_config: engine.EngineConfig, config: engine.EngineConfig
) -> int:
    """Return how many layers and adapters an engine has to load."""
    layers = set(range(target_config.first_layer, target_config.end_layer))
    adapters = set(target_config.adapters)
    if is_same_model_version(target_config, config):
        layers -= set(range(config.first_layer, config.end_layer))
        adapters -= set(config.adapters)
    return len(layers) + len(adapters)


def may_keep_sessions(
    target_config: engine.EngineConfig, config: engine.EngineConfig
) -> bool:
    """Return whether open sessions stay valid during and after a load."""
    has_same_layers = (target_config.first_layer, target_config.end_layer) == (
        config.first_layer,
        config.end_layer,
    )
    return (
        has_same_layers
        and is_same_model_version(target_config, config)
        and set(config.adapters) <= set(target_config.adapters)
    )


def start_load(
    target_config: engine.EngineConfig,
    units: int,
    lease: str,
    state: engine.State,
) -> engine.Transition:
    """Start a load, which replaces a load in progress."""
    loading = engine.Loading(
        state.loads_started,
        target_config,
        units,
        may_keep_sessions(target_config, state.config),
    )
    state = dataclasses.replace(
        state,
        loads_started=state.loads_started + 1,
        loading=loading,
        sessions=(
            state.sessions if loading.keeps_sessions else immutables.Map()
        ),
    )
    if not units:
        return finish_load(state)
    if state.config.weight_store and not lease:
        return request_lease(state)
    seconds = units * state.config.layer_load_seconds
    return schedule_load_end(seconds, state)


def request_lease(state: engine.State) -> engine.Transition:
    """Request a lease for the load in progress from the weight store."""
    loading = state.loading
    assert loading is not None, 'no load is in progress'
    call = LeaseCall(
        state.config.instance_id,
        loading.number,
        loading.units,
    )
    return transitions.Transition(
        state,
        (
            effects.Call(
                call,
                state.config.weight_store,
                LEASE_TIMEOUT_SECONDS,
            ),
        ),
    )


def schedule_load_end(
    seconds: float,
    state: engine.State,
) -> engine.Transition:
    """Set the timer that ends the load in progress."""
    loading = state.loading
    assert loading is not None, 'no load is in progress'
    timer = LoadDone(state.config.instance_id, loading.number)
    return transitions.Transition(state, (effects.SetTimer(timer, seconds),))


def is_current_load(number: int, state: engine.State) -> bool:
    """Return whether the load with a number is in progress."""
    return state.loading is not None and state.loading.number == number


@engine.reduce.register(events.CallAnswered)
def receive_lease(
    event: events.CallAnswered,
    state: engine.State,
) -> engine.Transition:
    """Load for the duration of a granted lease, or retry a refused one."""
    if not is_current_load(event.call.number, state):
        return transitions.Transition(state)
    granted = event.answer
    if isinstance(granted, weight_store.LeaseGranted):
        return schedule_load_end(granted.seconds, state)
    return schedule_lease_retry(granted.retry_after_seconds, state)


@engine.reduce.register(events.CallFailed)
def receive_lease_failure(
    event: events.CallFailed,
    state: engine.State,
) -> engine.Transition:
    """Retry the lease if the weight store does not answer."""
    if not is_current_load(event.call.number, state):
        return transitions.Transition(state)
    return schedule_lease_retry(LEASE_RETRY_SECONDS, state)


def schedule_lease_retry(
    seconds: float, state: engine.State
) -> engine.Transition:
    """Set the timer that requests a lease again."""
    loading = state.loading
    assert loading is not None, 'no load is in progress'
    timer = LeaseRetryDue(state.config.instance_id, loading.number)
    return transitions.Transition(state, (effects.SetTimer(timer, seconds),))


@engine.on_timer.register(LeaseRetryDue)
def retry_lease(
    timer: LeaseRetryDue,
    event: events.TimerFired,
    state: engine.State,
) -> engine.Transition:
    """Request a lease again unless another load has started."""
    if not is_current_load(timer.number, state):
        return transitions.Transition(state)
    return request_lease(state)


@engine.on_timer.register(LoadDone)
def end_load(
    timer: LoadDone,
    event: events.TimerFired,
    state: engine.State,
) -> engine.Transition:
    """End a load unless another one has started."""
    if not is_current_load(timer.number, state):
        return transitions.Transition(state)
    return finish_load(state)


def finish_load(state: engine.State) -> engine.Transition:
    """Switch to the loaded configuration.

    Sessions and cached prefixes of other weights are invalid and dropped.
    """
    loading = state.loading
    assert loading is not None, 'no load is in progress'
    changed = dataclasses.replace(
        state, config=loading.target_config, loading=None
    )
    if not loading.keeps_sessions:
        # The skipped sequence number tells readers of cache events that the
        # prefixes they know are gone.
        sequence_after_gap = state.cache.sequence + 1
        cache = dataclasses.replace(
            engine.build_cache(loading.target_config),
            sequence=sequence_after_gap,
            published_next=sequence_after_gap,
        )
        changed = dataclasses.replace(changed, cache=cache)
    return transitions.Transition(changed)
