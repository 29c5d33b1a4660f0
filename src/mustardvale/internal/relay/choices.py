"""Choose an upstream for a request."""

import dataclasses
import itertools
import math
import random
import typing

from mustardvale.internal import draws
from mustardvale.internal.relay import (
    chain_search,
    chains,
    configuration,
    engines,
    exchanges,
    loads,
    members,
    pace_tracking,
    part_costs,
    part_terms,
    requests,
    runners,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

# Zones whose runners are searched for a chain before those of all zones.
SEARCHED_ZONE_COUNT = 2
# Share of the expected output tokens that the cache holds on average while a
# request runs.
MEAN_OUTPUT_SHARE = 0.6
# Assumed latency of a runner that has not answered yet.
DEFAULT_LATENCY_SECONDS = 0.02
FAILURE_COST_FACTOR = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Describe where a request is sent.

    `estimated_tokens` is the number of tokens that it keeps in the cache.
    """

    runner_id: str
    address: str
    chain: requests.Chain = ()
    estimated_tokens: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class FoundChain:
    """Hold a chain and its cost in seconds."""

    cost: float
    chain: requests.Chain


def find_service(
    exchange: exchanges.Exchange, state: 'states.State'
) -> configuration.Service | None:
    """Return a request's service, also if the newest version drops it.

    An open request ends under the version that admitted it.
    """
    active = state.configuration.active
    service = active.services.get(exchange.service) if active else None
    return service or exchange.admitted_service


def choose_target(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> Target | None:
    """Return the upstream for a request, or none if none is usable.

    An upstream whose allowance is used up gets a request only if there is no
    other for it.
    """
    service = find_service(exchange, state)
    if service is None:
        return None
    used_up_ids = pace_tracking.list_used_up(now, state)
    if used_up_ids:
        elsewhere = dataclasses.replace(
            exchange, tried_runner_ids=exchange.tried_runner_ids | used_up_ids
        )
        target = choose_untried(service, elsewhere, now, state)
        if target is not None:
            return target
    return choose_untried(service, exchange, now, state)


def choose_untried(
    service: configuration.Service,
    exchange: exchanges.Exchange,
    now: float,
    state: 'states.State',
) -> Target | None:
    """Return the cheapest upstream that a request has not tried."""
    if service.engine is None:
        return choose_runner(exchange, now, state)
    return choose_chain(service.engine, exchange, now, state)


def choose_runner(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> Target | None:
    """Return the runner of a plain service with the least expected time."""
    instance_count = members.count_instances(state)
    best: tuple[float, runners.Runner] | None = None
    seed = state.seed
    for runner in runners.list_service_runners(
        state.runners, state.runner_index, exchange.service
    ):
        drawn = draws.draw(seed)
        seed = drawn.seed
        if not may_use_runner(runner, exchange, now):
            continue
        load = loads.estimate_total_load(
            runner.listed.runner_id,
            state.loads,
            state.mean_loads,
            instance_count,
        )
        cost = estimate_runner_cost(runner, load, now, drawn.fraction)
        if best is None or cost < best[0]:
            best = (cost, runner)
    if best is None:
        return None
    listed = best[1].listed
    return Target(listed.runner_id, listed.address)


def may_use_runner(
    runner: runners.Runner, exchange: exchanges.Exchange, now: float
) -> bool:
    """Return whether a plain request may be sent to a runner."""
    is_tried = runner.listed.runner_id in exchange.tried_runner_ids
    return not is_tried and runner.find_obstacle(now) is None


def estimate_runner_cost(
    runner: runners.Runner,
    load: loads.Load,
    now: float,
    random_fraction: float,
) -> float:
    """Return the weighted expected time in seconds of a plain request.

    `random_fraction` is from 0 to 1 and spreads equal costs.
    """
    latency = runner.mean_latency_seconds or DEFAULT_LATENCY_SECONDS
    slots = max(runner.listed.slots, 1)
    queueing = 1 + load.request_count / slots
    cost = latency * queueing * (1 + FAILURE_COST_FACTOR * runner.failure_rate)
    if runner.deprioritized_until > now:
        cost *= chains.DEPRIORITIZED_FACTOR
    return cost * (1 + chains.JITTER_SHARE * random_fraction)


def list_candidates(
    engine: engines.Engine, service: str, now: float, state: 'states.State'
) -> list[chains.Candidate]:
    """Return the runners of a service that may get new requests."""
    listed = runners.list_service_runners(
        state.runners, state.runner_index, service
    )
    return build_candidates(engine, listed, now, state)


def build_candidates(
    engine: engines.Engine,
    listed: tuple[runners.Runner, ...],
    now: float,
    state: 'states.State',
) -> list[chains.Candidate]:
    """Return the candidates among listed runners, with their loads."""
    instance_count = members.count_instances(state)
    candidates = []
    for runner in listed:
        load = loads.estimate_total_load(
            runner.listed.runner_id,
            state.loads,
            state.mean_loads,
            instance_count,
        )
        candidate = chains.build_candidate(engine, runner, load, now)
        if candidate is not None:
            candidates.append(candidate)
    return candidates


def choose_chain(
    engine: engines.Engine,
    exchange: exchanges.Exchange,
    now: float,
    state: 'states.State',
) -> Target | None:
    """Return a cheap chain for a model request.

    The cheaper chain of two zones is used. Only if it costs more than a
    crossing between zones, or there is none, all runners are searched.
    """
    work = estimate_work(exchange, engine)
    found = find_cheap_chain(engine, exchange, now, state)
    if found is None:
        return None
    first = found.chain[0]
    tokens = work.prompt_tokens + work.output_tokens * MEAN_OUTPUT_SHARE
    return Target(first.runner_id, first.address, found.chain, tokens)


def find_cheap_chain(
    engine: engines.Engine,
    exchange: exchanges.Exchange,
    now: float,
    state: 'states.State',
) -> FoundChain | None:
    """Return the cheaper chain of two zones, or else the cheapest of all."""
    conditions = part_costs.build_conditions(
        engine, estimate_work(exchange, engine), now, build_known_loads(state)
    )
    found = find_zone_chain(engine, exchange, conditions, state)
    if found is not None and found.cost <= chains.CROSSING_SECONDS:
        return found
    limit = math.inf if found is None else found.cost * chains.MAXIMUM_JITTER
    return find_site_chain(engine, exchange, conditions, limit, state)


def build_known_loads(state: 'states.State') -> loads.KnownLoads:
    """Return what the estimates of total loads are derived from."""
    return loads.KnownLoads(
        state.loads, state.mean_loads, members.count_instances(state)
    )


def find_zone_chain(
    engine: engines.Engine,
    exchange: exchanges.Exchange,
    conditions: part_costs.Conditions,
    state: 'states.State',
) -> FoundChain | None:
    """Return the cheaper of the chains within two zones."""
    best: FoundChain | None = None
    for zone in pick_zones(exchange.service, state):
        listed, terms = list_zone(engine, exchange.service, zone, state)
        priced = part_costs.price_runners(
            terms.parts,
            listed,
            exchange.tried_runner_ids,
            state.seed,
            conditions,
        )
        limit = part_costs.compute_idle_limit(terms, priced)
        if best is not None:
            limit = min(limit, best.cost)
        found = chain_search.find_zone_parts(
            chain_search.Search(
                list(itertools.repeat(None, len(listed))),
                priced.build_costs,
                terms.positions_by_layer,
                part_costs.compute_least_costs(terms.least_terms, conditions),
                limit,
                part_costs.compute_least_parts(terms.part_shares, conditions),
            )
        )
        if found is not None and (best is None or found.cost < best.cost):
            best = FoundChain(
                found.cost, chains.build_chain(found, terms.parts)
            )
    return best


def find_site_chain(
    engine: engines.Engine,
    exchange: exchanges.Exchange,
    conditions: part_costs.Conditions,
    limit: float,
    state: 'states.State',
) -> FoundChain | None:
    """Return the cheapest chain on the runners of all zones.

    Chains that cost more than `limit` seconds are not searched.
    """
    listed: list[runners.Runner] = []
    parts: list[part_terms.PartTerms | None] = []
    for zone in sorted(state.runner_index.get(exchange.service, ())):
        zone_runners, terms = list_zone(engine, exchange.service, zone, state)
        listed += zone_runners
        parts += terms.parts
    priced = part_costs.price_runners(
        parts, listed, exchange.tried_runner_ids, state.seed, conditions
    )
    positions_by_layer = part_terms.index_parts(engine.layer_count, parts)
    least_costs = part_costs.compute_least_costs(
        part_terms.build_least_terms(parts, positions_by_layer), conditions
    )
    found = chain_search.find_site_parts(
        chain_search.Search(
            list(itertools.repeat(None, len(listed))),
            priced.build_costs,
            positions_by_layer,
            least_costs,
            limit,
        ),
        chain_search.SiteSpan(
            [runner.listed.availability_zone for runner in listed],
            0,
            engine.layer_count,
            '',
        ),
        chains.build_crossing_lookup(
            engine,
            estimate_work(exchange, engine),
            build_link_load_lookup(state),
        ),
    )
    if found is None:
        return None
    return FoundChain(found.cost, chains.build_chain(found, parts))


def list_zone(
    engine: engines.Engine, service: str, zone: str, state: 'states.State'
) -> tuple[tuple[runners.Runner, ...], part_terms.ZoneTerms]:
    """Return the runners of a service in one zone, and their terms."""
    listed = runners.list_zone_runners(
        state.runners, state.runner_index, service, zone
    )
    return listed, part_terms.find_zone_terms(
        state.part_terms, engine, service, zone, listed
    )


def pick_zones(service: str, state: 'states.State') -> tuple[str, ...]:
    """Return this instance's zone and a random one, or two random ones.

    Two choices spread the requests almost as evenly as a search of all zones,
    at a cost that does not grow with the number of zones.
    """
    zones = sorted(state.runner_index.get(service, ()))
    own_zone = state.identity.availability_zone
    random_source = random.Random(state.seed)
    picked = random_source.sample(zones, min(len(zones), SEARCHED_ZONE_COUNT))
    if own_zone in zones and own_zone not in picked:
        picked[0] = own_zone
    return tuple(picked)


def build_link_load_lookup(state: 'states.State') -> chains.LinkLoadLookup:
    """Return a function that estimates the requests on a link of two zones.

    The estimate covers all instances.
    """
    instance_count = members.count_instances(state)

    def estimate_requests(zone: str, other_zone: str) -> float:
        link = loads.build_link_key(zone, other_zone)
        return loads.estimate_total_load(
            link, state.loads, state.mean_loads, instance_count
        ).request_count

    return estimate_requests


def estimate_work(
    exchange: exchanges.Exchange, engine: engines.Engine
) -> chains.Work:
    """Return the prompt and output tokens of a model request."""
    prompt = exchange.request.prompt
    if prompt is None:
        return chains.Work(
            engine.typical_prompt_tokens, engine.typical_output_tokens
        )
    return chains.Work(prompt.token_count, prompt.expected_output_tokens)
