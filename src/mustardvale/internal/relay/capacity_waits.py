"""Keep the requests that wait because all runners of a service are full."""

import dataclasses
import typing

import immutables

from mustardvale.internal import effects
from mustardvale.internal.relay import (
    exchanges,
    return_times,
    silence_waits,
    stopping,
    waiting_order,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

# Callers disconnect after this long without an event.
STREAM_PATIENCE_SECONDS = 2.0
# Time between two rounds of searches, unless a request has ended since. Each
# search takes some milliseconds on a small machine.
SEARCH_PERIOD_SECONDS = 0.1
MAXIMUM_FAILED_SEARCHES = 2
# Requests with these outcomes were served, although their last attempt is gone
# when the end is recorded.
SERVED_OUTCOMES = frozenset(('request_answered', 'stream_completed'))


@dataclasses.dataclass(frozen=True, slots=True)
class SearchRound:
    """Hold the searches of one check that found no chain.

    Requests that cost as much as `smallest_cost` do not search again. None does
    after one that was passed over too often.
    """

    searched_at: float
    failed_count: int
    smallest_cost: float
    is_reserved: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityState:
    """Hold what the order of waiting requests depends on.

    `completions` counts the requests of each service that have ended recently,
    and `usage` has the tokens that each client account was given recently.
    `skipped` counts for each service and urgency how many more urgent requests
    have been sent since the last one, while requests waited. `rounds` has the
    last failed searches of each service, and `promises` the return times of
    refused callers, by the fingerprints of their requests.
    """

    completions: waiting_order.AmountMap = immutables.Map()
    usage: waiting_order.AmountMap = immutables.Map()
    skipped: 'immutables.Map[str, waiting_order.SkippedStarts]' = (
        immutables.Map()
    )
    rounds: 'immutables.Map[str, SearchRound]' = immutables.Map()
    promises: return_times.PromiseMap = immutables.Map()


def is_held(exchange: exchanges.Exchange) -> bool:
    """Return whether a request waits for capacity."""
    return exchange.expected_wait_seconds is not None and not exchange.attempts


def compute_wait_end(exchange: exchanges.Exchange) -> float:
    """Return until when a request waits for capacity."""
    last_sign = exchange.last_event_at or exchange.arrived_at
    patience = silence_waits.WAIT_SHARE * STREAM_PATIENCE_SECONDS
    return min(last_sign + patience, silence_waits.compute_wait_end(exchange))


def compute_cost(exchange: exchanges.Exchange) -> float:
    """Return the size of a request in tokens."""
    prompt = exchange.request.prompt
    if prompt is None:
        return 1.0
    return prompt.token_count + prompt.expected_output_tokens


def describe_request(
    exchange: exchanges.Exchange,
) -> waiting_order.WaitingRequest:
    """Return what the order of waiting requests depends on."""
    return waiting_order.WaitingRequest(
        exchange.request_id,
        exchange.tenant or '',
        exchange.urgency or 0,
        exchange.arrived_at,
        compute_wait_end(exchange),
        compute_cost(exchange),
        exchange.account_weight,
        exchange.pass_count,
        exchange.is_returning,
    )


def list_held(service: str, state: 'states.State') -> list[exchanges.Exchange]:
    """Return the requests that wait for capacity of a service."""
    return [
        exchange
        for exchange in state.exchanges.values()
        if exchange.service == service and is_held(exchange)
    ]


def order_group(
    group: typing.Iterable[exchanges.Exchange],
    service: str,
    now: float,
    state: 'states.State',
) -> tuple[waiting_order.WaitingRequest, ...]:
    """Return requests of a service in the order in which they are sent."""
    return waiting_order.order_requests(
        [describe_request(exchange) for exchange in group],
        state.capacity.usage,
        get_skipped(service, state),
        now,
    )


def get_skipped(
    service: str, state: 'states.State'
) -> waiting_order.SkippedStarts:
    """Return how often each urgency of a service was skipped."""
    return state.capacity.skipped.get(service, immutables.Map())


def order_checks(now: float, state: 'states.State') -> tuple[str, ...]:
    """Return all requests, those that search for an upstream first."""
    waiting: dict[str, list[exchanges.Exchange]] = {}
    for exchange in state.exchanges.values():
        if not exchange.attempts and not silence_waits.is_waiting(exchange):
            waiting.setdefault(exchange.service, []).append(exchange)
    ordered = tuple(
        one.request_id
        for service, group in waiting.items()
        for one in order_group(group, service, now, state)
    )
    first = frozenset(ordered)
    return ordered + tuple(
        request_id for request_id in state.exchanges if request_id not in first
    )


def must_queue(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> bool:
    """Return whether a request that comes now goes behind waiting ones.

    A waiting request that some runners have refused may wait for others than
    these, and nobody goes behind it.
    """
    is_apart = exchange.last_event_at is not None or is_held(exchange)
    if is_apart or state.stopping is not None:
        return False
    held = [
        other
        for other in list_held(exchange.service, state)
        if not other.tried_runner_ids
        and other.request_id != exchange.request_id
    ]
    if not held:
        return False
    ordered = order_group((*held, exchange), exchange.service, now, state)
    return waiting_order.is_behind(describe_request(exchange), ordered)


def is_search_due(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> bool:
    """Return whether a request that waits for capacity searches now."""
    last_round = state.capacity.rounds.get(exchange.service)
    if last_round is None or now >= compute_wait_end(exchange):
        return True
    if last_round.searched_at == now:
        return (
            not last_round.is_reserved
            and last_round.failed_count < MAXIMUM_FAILED_SEARCHES
            and compute_cost(exchange) < last_round.smallest_cost
        )
    if now - last_round.searched_at >= SEARCH_PERIOD_SECONDS:
        return True
    ended = state.capacity.completions.get(exchange.service)
    return ended is not None and ended.updated_at > last_round.searched_at


def record_failed_search(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> 'states.State':
    """Store that a waiting request has found no chain."""
    last_round = state.capacity.rounds.get(exchange.service)
    cost = compute_cost(exchange)
    failed_count = 1
    if last_round is not None and last_round.searched_at == now:
        failed_count += last_round.failed_count
        cost = min(cost, last_round.smallest_cost)
    is_reserved = exchange.pass_count >= waiting_order.MAXIMUM_PASSES
    failed = SearchRound(now, failed_count, cost, is_reserved)
    return with_capacity(
        state, rounds=state.capacity.rounds.set(exchange.service, failed)
    )


def with_capacity(
    state: 'states.State', **changes: typing.Any
) -> 'states.State':
    """Replace parts of the state of waiting requests."""
    return dataclasses.replace(
        state, capacity=dataclasses.replace(state.capacity, **changes)
    )


def estimate_rate(
    service: str, now: float, state: 'states.State'
) -> float | None:
    """Return how many requests of a service end per second, if it is known.

    Before the first ends, the rate follows from the expected durations of the
    open requests.
    """
    rate = waiting_order.compute_rate(
        state.capacity.completions.get(service), now
    )
    if rate is not None:
        return rate
    expected = [
        stopping.estimate_seconds(exchange, attempt.chain, now, state)
        for exchange in state.exchanges.values()
        if exchange.service == service
        for attempt in exchange.attempts[-1:]
    ]
    return sum(1 / seconds for seconds in expected if seconds > 0) or None


def estimate_wait_seconds(
    exchange: exchanges.Exchange,
    rate: float,
    now: float,
    state: 'states.State',
) -> float:
    """Return for how long a request is expected to wait for capacity."""
    skipped = get_skipped(exchange.service, state)
    others = [
        other
        for other in list_held(exchange.service, state)
        if other.request_id != exchange.request_id
    ]
    ordered = order_group((*others, exchange), exchange.service, now, state)
    return waiting_order.estimate_wait_seconds(
        describe_request(exchange), ordered, rate, skipped
    )


def list_hopeless(now: float, state: 'states.State') -> tuple[str, ...]:
    """Return the requests that would wait longer than their callers accept."""
    hopeless: list[str] = []
    services = {
        exchange.service
        for exchange in state.exchanges.values()
        if is_held(exchange)
    }
    for service in services:
        rate = estimate_rate(service, now, state)
        if rate is None:
            continue
        ordered = order_group(list_held(service, state), service, now, state)
        hopeless.extend(
            one.request_id
            for one in waiting_order.list_hopeless(
                ordered, rate, get_skipped(service, state)
            )
        )
    return tuple(hopeless)


def list_yielding(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> tuple[str, ...]:
    """Return the requests that are refused before a more urgent one."""
    held = list_held(exchange.service, state)
    ordered = order_group(held, exchange.service, now, state)
    return tuple(
        one.request_id
        for one in waiting_order.list_yielding(
            describe_request(exchange),
            ordered,
            get_skipped(exchange.service, state),
        )
        if one.request_id != exchange.request_id
    )


def record_start(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> 'states.State':
    """Charge a send to its account, and count whom it has passed.

    Further sends of a request charge nothing.
    """
    if exchange.attempts:
        return state
    usage = state.capacity.usage
    if not exchange.send_count:
        usage = waiting_order.add_amount(
            usage, exchange.tenant or '', compute_cost(exchange), now
        )
    held = [
        other
        for other in list_held(exchange.service, state)
        if other.request_id != exchange.request_id
    ]
    if not held:
        return with_capacity(state, usage=usage)
    skipped = waiting_order.count_start(
        exchange.urgency or 0, get_skipped(exchange.service, state)
    )
    exchange_map = state.exchanges
    for other in held:
        if is_passed(other, exchange):
            passed = dataclasses.replace(other, pass_count=other.pass_count + 1)
            exchange_map = exchange_map.set(other.request_id, passed)
    return with_capacity(
        dataclasses.replace(state, exchanges=exchange_map),
        usage=usage,
        skipped=state.capacity.skipped.set(exchange.service, skipped),
    )


def is_passed(waiting: exchanges.Exchange, sent: exchanges.Exchange) -> bool:
    """Return whether a smaller, later and no more urgent request goes first."""
    return (
        waiting.arrived_at <= sent.arrived_at
        and (waiting.urgency or 0) <= (sent.urgency or 0)
        and compute_cost(waiting) > compute_cost(sent)
    )


def record_shortage(
    exchange: exchanges.Exchange, state: 'states.State'
) -> 'states.State':
    """Store that requests of this urgency wait or are refused."""
    skipped = get_skipped(exchange.service, state)
    urgency = exchange.urgency or 0
    if urgency in skipped:
        return state
    return with_capacity(
        state,
        skipped=state.capacity.skipped.set(
            exchange.service, skipped.set(urgency, 0)
        ),
    )


def record_end(
    exchange: exchanges.Exchange,
    outcome: str,
    now: float,
    state: 'states.State',
) -> 'states.State':
    """Count a request that has left its upstreams."""
    if not exchange.attempts and outcome not in SERVED_OUTCOMES:
        return state
    return with_capacity(
        state,
        completions=waiting_order.add_amount(
            state.capacity.completions, exchange.service, 1.0, now
        ),
    )


def build_end_effects(
    exchange: exchanges.Exchange, outcome: str, now: float
) -> tuple[effects.Effect, ...]:
    """Return the metrics of a request that has waited for capacity."""
    if not is_held(exchange):
        return ()
    waited_seconds = now - (exchange.wait_began_at or now)
    return (
        effects.Count(
            'request_waits', ('capacity', str(exchange.urgency), outcome)
        ),
        effects.Observe('request_wait_seconds', waited_seconds, ('capacity',)),
        effects.Observe(
            'expected_wait_seconds', exchange.expected_wait_seconds or 0.0
        ),
    )
