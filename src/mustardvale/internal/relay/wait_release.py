"""Send the requests that waited for silent runners, spread over time."""

import dataclasses
import typing
from collections import abc

from mustardvale.internal import draws, transitions
from mustardvale.internal.relay import (
    capacity_waits,
    choices,
    exchanges,
    reducer,
    runners,
    silence_waits,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

# Waiting requests are sent over this time, beside the new ones.
RELEASE_SECONDS = 1.0
# The first event takes some of the time that a waiting request has left.
RELEASE_LEFT_SHARE = 0.5
# One search serves all waiting requests of a service. Each of them searches no
# more often than this.
SEARCH_PERIOD_SECONDS = 0.1
# Runners that were silent together take a moment to continue their streams.
CONTINUATION_SECONDS = 0.5


def release_waiting(now: float, state: 'states.State') -> reducer.Transition:
    """Release the waiting requests of each service that has upstreams again."""
    waiting: dict[str, list[exchanges.Exchange]] = {}
    for exchange in state.exchanges.values():
        if silence_waits.is_held(exchange):
            waiting.setdefault(exchange.service, []).append(exchange)
    return transitions.Transition(state).then_each(
        waiting.values(),
        lambda group, current: release_group(group, now, current),
    )


def release_group(
    group: abc.Sequence[exchanges.Exchange], now: float, state: 'states.State'
) -> reducer.Transition:
    """Schedule the sends of waiting requests, the most urgent ones first.

    They take turns in the search. One of them may need more than the upstreams
    that have answered can take.
    """
    searched_at = min(get_search_time(exchange) for exchange in group)
    if now - searched_at < SEARCH_PERIOD_SECONDS:
        return transitions.Transition(state)
    ordered = [
        state.exchanges[one.request_id]
        for one in capacity_waits.order_group(
            group, group[0].service, now, state
        )
    ]
    candidate = min(ordered, key=get_search_time)
    any_runner = dataclasses.replace(candidate, tried_runner_ids=frozenset())
    if choices.choose_target(any_runner, now, state) is None:
        searched = dataclasses.replace(candidate, last_search_at=now)
        exchange_map = state.exchanges.set(candidate.request_id, searched)
        return transitions.Transition(
            dataclasses.replace(state, exchanges=exchange_map)
        )
    return transitions.Transition(schedule_sends(ordered, now, state))


def get_search_time(exchange: exchanges.Exchange) -> float:
    """Return when a waiting request last searched for an upstream."""
    return exchange.last_search_at or 0.0


def schedule_sends(
    ordered: abc.Sequence[exchanges.Exchange],
    now: float,
    state: 'states.State',
) -> 'states.State':
    """Return the state in which each request is sent at its own time.

    The random offset spreads the sends of instances with few requests.
    """
    drawn = draws.draw(state.seed)
    exchange_map = state.exchanges
    for place, exchange in enumerate(ordered):
        share = (place + drawn.fraction) / len(ordered)
        left_seconds = silence_waits.compute_wait_end(exchange) - now
        delay = min(share * RELEASE_SECONDS, left_seconds * RELEASE_LEFT_SHARE)
        released = dataclasses.replace(exchange, next_search_at=now + delay)
        exchange_map = exchange_map.set(exchange.request_id, released)
    next_state = dataclasses.replace(
        state, seed=drawn.seed, exchanges=exchange_map
    )
    if has_silent_runner(ordered[0].service, now, state):
        return next_state
    return dataclasses.replace(
        next_state,
        silence_ignored_until=max(
            state.silence_ignored_until, now + CONTINUATION_SECONDS
        ),
    )


def has_silent_runner(service: str, now: float, state: 'states.State') -> bool:
    """Return whether a runner of a service is still silent."""
    return any(
        runner.silent_since and runner.find_obstacle(now) is not None
        for runner in runners.list_service_runners(
            state.runners, state.runner_index, service
        )
    )
