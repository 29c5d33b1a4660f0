"""Decide which requests wait while only silence excludes their runners.

When all runners of some layers are silent, the network or this instance is the
likely cause, and they are likely to go on together. A request that was not sent
can wait for that. Refusals stay immediate once runners are known to be gone.
"""

import dataclasses
import math
import typing

from mustardvale.internal.relay import (
    check_schedule,
    configuration,
    exchanges,
    reducer,
    runners,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

# Callers disconnect after a silence of the longest of these.
MINIMUM_PATIENCE_SECONDS = 2.0
PATIENCE_TARGET_FACTOR = 4
PATIENCE_GAP_FACTOR = 8
# A refusal has to arrive before the caller disconnects.
WAIT_SHARE = 0.9
# Requests that wait at one instance, each with its body in memory.
MAXIMUM_WAITING_REQUESTS = 512


def may_wait(
    exchange: exchanges.Exchange,
    engine_layer_count: int,
    now: float,
    state: 'states.State',
) -> bool:
    """Return whether a request without an upstream waits for silent ones."""
    if now >= compute_wait_end(exchange):
        return False
    if state.stopping is not None and not exchange.has_stream_started:
        return False
    if not is_blocked_by_silence(exchange, engine_layer_count, now, state):
        return False
    return is_waiting(exchange) or has_place(exchange, state)


def compute_wait_end(exchange: exchanges.Exchange) -> float:
    """Return until when a request waits for silent upstreams."""
    last_sign = exchange.last_event_at or exchange.arrived_at
    patience_end = last_sign + WAIT_SHARE * compute_patience(exchange.route)
    allowed_seconds = exchange.deadline_at - exchange.arrived_at
    return min(patience_end, exchange.arrived_at + WAIT_SHARE * allowed_seconds)


def compute_patience(route: configuration.Route) -> float:
    """Return after how many seconds without an event callers disconnect."""
    return max(
        MINIMUM_PATIENCE_SECONDS,
        PATIENCE_TARGET_FACTOR * route.target_latency_seconds,
        PATIENCE_GAP_FACTOR * route.event_gap_seconds,
    )


def is_blocked_by_silence(
    exchange: exchanges.Exchange,
    layer_count: int,
    now: float,
    state: 'states.State',
) -> bool:
    """Return whether silence alone leaves layers without a usable runner."""
    layers_by_kind: dict[runners.ObstacleKind | None, set[int]] = {}
    for runner in runners.list_service_runners(
        state.runners, state.runner_index, exchange.service
    ):
        layers = runner.listed.layers
        if not layers:
            continue
        obstacle = runner.find_obstacle(now)
        kind = obstacle.kind if obstacle else None
        layers_by_kind.setdefault(kind, set()).update(
            range(layers.first, layers.end)
        )
    missing = set(range(layer_count)) - layers_by_kind.get(None, set())
    silent_layers = layers_by_kind.get(runners.ObstacleKind.SILENT, set())
    return bool(missing) and missing <= silent_layers


def is_waiting(exchange: exchanges.Exchange) -> bool:
    """Return whether a request waits for silent upstreams."""
    return exchange.next_search_at is not None and not exchange.attempts


def is_held(exchange: exchanges.Exchange) -> bool:
    """Return whether a request waits and has not been released."""
    return is_waiting(exchange) and exchange.next_search_at == math.inf


def is_search_due(exchange: exchanges.Exchange, now: float) -> bool:
    """Return whether a waiting request was released or has no more time."""
    released_at = exchange.next_search_at
    is_released = released_at is not None and now >= released_at
    return is_released or now >= compute_wait_end(exchange)


def has_place(exchange: exchanges.Exchange, state: 'states.State') -> bool:
    """Return whether one more request of a client account may wait.

    An account has at most as many places as are free, so that one account
    cannot take the places of the others.
    """
    waiting_accounts = [
        other.tenant for other in state.exchanges.values() if is_waiting(other)
    ]
    free_count = MAXIMUM_WAITING_REQUESTS - len(waiting_accounts)
    return waiting_accounts.count(exchange.tenant) < free_count


def begin_wait(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> reducer.Transition:
    """Keep a request until its upstreams answer or its wait ends."""
    waiting = dataclasses.replace(
        exchange, last_search_at=now, next_search_at=math.inf
    )
    exchange_map = state.exchanges.set(exchange.request_id, waiting)
    return check_schedule.request_check(
        now, dataclasses.replace(state, exchanges=exchange_map)
    )
