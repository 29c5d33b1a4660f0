"""Explain why no upstream can take a request, and for how long."""

import collections
import dataclasses
import typing

from mustardvale.internal.relay import (
    choices,
    completion,
    engines,
    exchanges,
    runners,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

# A crashed runner is back after about three seconds, and then loads its layers.
LAYERS_LOST_RETRY_AFTER_SECONDS = 4.0


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class UpstreamWait:
    """Hold for how long no upstream can take a request.

    Callers that are refused return within `return_spread_seconds` after it.
    """

    seconds: float = 0.0
    return_spread_seconds: float = 0.0


def choose_retry_after(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> float:
    """Return after how many seconds the caller of a refused request returns.

    A full runner has capacity again soon. Layers that no running process holds
    have to be loaded first.
    """
    service = choices.find_service(exchange, state)
    if service is None or service.engine is None:
        return completion.RETRY_AFTER_SECONDS
    held_layers: set[int] = set()
    for runner in runners.list_service_runners(
        state.runners, state.runner_index, exchange.service
    ):
        layers = runner.listed.layers
        if layers and runner.is_usable and runner.unconnected_until <= now:
            held_layers.update(range(layers.first, layers.end))
    if len(held_layers) < service.engine.layer_count:
        return LAYERS_LOST_RETRY_AFTER_SECONDS
    return completion.RETRY_AFTER_SECONDS


def estimate_wait(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> UpstreamWait:
    """Return for how long at least no upstream can take a request.

    It is more than 0 only where all upstreams that could take the request, or
    all that hold one of its layers, have asked to wait.
    """
    usable = [
        runner
        for runner in runners.list_service_runners(
            state.runners, state.runner_index, exchange.service
        )
        if runner.is_usable
    ]
    if all(runner.waits_until <= now for runner in usable):
        return UpstreamWait()
    waits: dict[int, UpstreamWait] = {}
    for runner in usable:
        layers = runner.listed.layers or runners.LayerRange(0, 1)
        wait = find_wait(runner, now)
        for layer in range(layers.first, layers.end):
            waits[layer] = min(waits.get(layer, wait), wait)
    return max(waits.values(), default=UpstreamWait())


def find_wait(runner: runners.Runner, now: float) -> UpstreamWait:
    """Return for how long an upstream has asked to get no requests."""
    if runner.waits_until <= now:
        return UpstreamWait()
    return UpstreamWait(runner.waits_until - now, runner.return_spread_seconds)


def describe_obstacles(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> str:
    """Return how many upstreams of a service may get no request, and why."""
    obstacles = collections.Counter(
        obstacle.kind.value
        for runner in runners.list_service_runners(
            state.runners, state.runner_index, exchange.service
        )
        if (obstacle := runner.find_obstacle(now)) is not None
    )
    described = [
        f'{count} {reason}' for reason, count in sorted(obstacles.items())
    ]
    silent_since = [
        runner.silent_since
        for runner in runners.list_service_runners(
            state.runners, state.runner_index, exchange.service
        )
        if runner.silent_since and runner.find_obstacle(now) is not None
    ]
    if silent_since:
        described.append(
            f'the silent ones excluded {compute_age_ms(max(silent_since), now)}'
            f' to {compute_age_ms(min(silent_since), now)} ms ago'
        )
    return ', '.join(described)


def explain_no_target(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> str:
    """Return why no upstream can take a request."""
    service = choices.find_service(exchange, state)
    if service is None:
        return f'service {exchange.service} is not configured'
    obstacles = describe_obstacles(exchange, now, state)
    if service.engine is None:
        return (
            f'service {exchange.service} has no usable runner:'
            f' {obstacles or "all were tried, or none is listed"}'
        )
    missing = list_missing_layers(exchange, service.engine, now, state)
    if missing:
        return (
            f'no usable runner holds {len(missing)} of the layers'
            f' {missing[0]} to {missing[-1]}: {obstacles or "none is listed"}'
        )
    return 'all runners are full'


def list_missing_layers(
    exchange: exchanges.Exchange,
    engine: engines.Engine,
    now: float,
    state: 'states.State',
) -> list[int]:
    """Return the layers that no runner that may get the request holds."""
    held_layers: set[int] = set()
    for candidate in choices.list_candidates(
        engine, exchange.service, now, state
    ):
        if candidate.runner_id not in exchange.tried_runner_ids:
            held_layers.update(
                range(candidate.layers.first, candidate.layers.end)
            )
    return [
        layer for layer in range(engine.layer_count) if layer not in held_layers
    ]


def is_full(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> bool:
    """Return whether only the load of runners keeps a request from them.

    Plain runners take requests at any load.
    """
    service = choices.find_service(exchange, state)
    if service is None or service.engine is None:
        return False
    return not list_missing_layers(exchange, service.engine, now, state)


def compute_age_ms(since: float | None, now: float) -> int | None:
    """Return the milliseconds since a point in time, if it is known."""
    return None if since is None else int((now - since) * 1000)
