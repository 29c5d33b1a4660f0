"""Choose an upstream for a request and send the request to it."""

import collections
import dataclasses
import random
import typing

from mustardvale.internal import draws, effects
from mustardvale.internal.relay import (
    chains,
    check_schedule,
    completion,
    configuration,
    engines,
    exchanges,
    limit_shares,
    loads,
    members,
    prompt_blocks,
    reducer,
    requests,
    retry_budgets,
    runners,
    silence_waits,
    stopping,
)
from mustardvale.internal.relay import effects as relay_effects

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

# Share of the target time that a request may wait for a free upstream. A
# request that is refused earlier can still be retried at another instance.
MAXIMUM_WAIT_TARGET_SHARE = 0.1
# An interrupted stream waits this long after its last event for an upstream.
# Full runners usually have capacity again by then, callers disconnect after
# two seconds, and an aborted stream cannot be resumed.
STREAM_RESUME_WAIT_SECONDS = 1.5
# Time between two searches for an upstream by one waiting stream. Many streams
# wait at once after a loss of runners, and each search takes processor time.
STREAM_SEARCH_PERIOD_SECONDS = 0.2
# Zones whose runners are searched for a chain before those of all zones.
SEARCHED_ZONE_COUNT = 2
# Sends of one request that arrive at an upstream, including those that it
# refuses to run.
MAXIMUM_ARRIVALS = 4
# Sends of one request that end before a byte is sent. They cost no upstream
# anything, but each occupies a socket and some of the time that is left.
MAXIMUM_UNCONNECTED_SENDS = 6
# A crashed runner is back after about three seconds, and then loads its layers.
LAYERS_LOST_RETRY_AFTER_SECONDS = 4.0
# Requests with less time left than this are not sent.
MINIMUM_REMAINING_SECONDS = 0.01
# Share of the expected output tokens that the cache holds on average while a
# request runs.
MEAN_OUTPUT_SHARE = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Describe where a request is sent.

    `estimated_tokens` is the number of tokens that it keeps in the cache.
    """

    runner_id: str
    address: str
    chain: requests.Chain = ()
    estimated_tokens: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class UpstreamWait:
    """Hold for how long no upstream can take a request.

    Callers that are refused return within `return_spread_seconds` after it.
    """

    seconds: float = 0.0
    return_spread_seconds: float = 0.0


def build_flow_control_effect(send_id: str, is_blocked: bool) -> effects.Effect:
    """Return the effect that pauses or resumes the answer to a send."""
    if is_blocked:
        return relay_effects.PauseSend(send_id)
    return relay_effects.ResumeSend(send_id)


def try_send(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> reducer.Transition:
    """Send a request, keep it waiting for an upstream, or fail it."""
    if exchange.deadline_at - now < MINIMUM_REMAINING_SECONDS:
        return completion.fail_exchange(
            exchange, 'too little time is left', now, state
        )
    if prompt_blocks.is_refused(exchange, now, state):
        return completion.fail_exchange(
            exchange, prompt_blocks.REFUSAL_REASON, now, state
        )
    if exchange.send_count and not may_retry(exchange, now, state):
        return completion.fail_exchange(
            exchange, exchange.last_problem, now, state
        )
    target = choose_target(exchange, now, state)
    if target is not None:
        return send_before_stop(exchange, target, now, state)
    return wait_or_fail(exchange, now, state)


def wait_or_fail(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> reducer.Transition:
    """Keep a request waiting for an upstream, or fail it."""
    if may_wait_for_silent(exchange, now, state):
        return silence_waits.begin_wait(exchange, now, state)
    wait = estimate_wait(exchange, now, state)
    if now + wait.seconds < compute_wait_deadline(exchange):
        waiting = dataclasses.replace(exchange, last_search_at=now)
        exchange_map = state.exchanges.set(exchange.request_id, waiting)
        return check_schedule.request_check(
            now, dataclasses.replace(state, exchanges=exchange_map)
        )
    return refuse_for_now(exchange, wait, now, state)


def refuse_for_now(
    exchange: exchanges.Exchange,
    wait: UpstreamWait,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Refuse a request that no upstream can take, until one may.

    Callers that are refused in the same wait return at different moments.
    """
    drawn = draws.draw(state.seed)
    return_seconds = wait.seconds + wait.return_spread_seconds * drawn.fraction
    return completion.fail_exchange(
        exchange,
        explain_no_target(exchange, now, state),
        now,
        dataclasses.replace(state, seed=drawn.seed),
        retry_after_seconds=max(
            choose_retry_after(exchange, now, state), return_seconds
        ),
    )


def may_wait_for_silent(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> bool:
    """Return whether a model request waits for runners that are silent."""
    service = find_service(exchange, state)
    if service is None or service.engine is None:
        return False
    return silence_waits.may_wait(
        exchange, service.engine.layer_count, now, state
    )


def send_before_stop(
    exchange: exchanges.Exchange,
    target: Target,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Send a request, or refuse it if a stop would abort it."""
    if exchange.may_have_run or stopping.can_end(
        exchange, target.chain, now, state
    ):
        return send_request(exchange, target, now, state)
    return completion.fail_exchange(
        exchange, 'this instance stops too soon', now, state
    )


def compute_wait_deadline(exchange: exchanges.Exchange) -> float:
    """Return the time until which a request waits for a free upstream."""
    if exchange.last_event_at is not None:
        return exchange.last_event_at + STREAM_RESUME_WAIT_SECONDS
    return (
        exchange.arrived_at
        + exchange.route.target_latency_seconds * MAXIMUM_WAIT_TARGET_SHARE
    )


def is_search_due(exchange: exchanges.Exchange, now: float) -> bool:
    """Return whether to search for an upstream again."""
    if exchange.next_search_at is not None:
        return silence_waits.is_search_due(exchange, now)
    searched_at = exchange.last_search_at
    if searched_at is None or exchange.last_event_at is None:
        return True
    return now - searched_at >= STREAM_SEARCH_PERIOD_SECONDS


def find_service(
    exchange: exchanges.Exchange, state: 'states.State'
) -> configuration.Service | None:
    """Return a request's service, also if the newest version drops it.

    An open request ends under the version that admitted it.
    """
    active = state.configuration.active
    service = active.services.get(exchange.service) if active else None
    return service or exchange.admitted_service


def choose_retry_after(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> float:
    """Return after how many seconds the caller of a refused request returns.

    A full runner has capacity again soon. Layers that no running process holds
    have to be loaded first.
    """
    service = find_service(exchange, state)
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
    service = find_service(exchange, state)
    if service is None:
        return f'service {exchange.service} is not configured'
    obstacles = describe_obstacles(exchange, now, state)
    if service.engine is None:
        return (
            f'service {exchange.service} has no usable runner:'
            f' {obstacles or "all were tried, or none is listed"}'
        )
    held_layers: set[int] = set()
    for candidate in list_candidates(
        service.engine, exchange.service, now, state
    ):
        if candidate.runner_id not in exchange.tried_runner_ids:
            held_layers.update(
                range(candidate.layers.first, candidate.layers.end)
            )
    missing = [
        layer
        for layer in range(service.engine.layer_count)
        if layer not in held_layers
    ]
    if missing:
        return (
            f'no usable runner holds {len(missing)} of the layers'
            f' {missing[0]} to {missing[-1]}: {obstacles or "none is listed"}'
        )
    return 'all runners are full'


def choose_target(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> Target | None:
    """Return the upstream for a request, or none if none is usable."""
    service = find_service(exchange, state)
    if service is None:
        return None
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


# Assumed latency of a runner that has not answered yet.
DEFAULT_LATENCY_SECONDS = 0.02
FAILURE_COST_FACTOR = 10.0


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
    chain = choose_zone_chain(engine, exchange, work, now, state)
    if chain is None:
        listed = list_candidates(engine, exchange.service, now, state)
        chain = chains.find_chain(
            engine,
            exclude_tried(listed, exchange),
            work,
            chains.LayerSpan(0, engine.layer_count, ''),
            state.seed,
            build_link_load_lookup(state),
        )
    if not chain:
        return None
    tokens = work.prompt_tokens + work.output_tokens * MEAN_OUTPUT_SHARE
    return Target(chain[0].runner_id, chain[0].address, chain, tokens)


def choose_zone_chain(
    engine: engines.Engine,
    exchange: exchanges.Exchange,
    work: chains.Work,
    now: float,
    state: 'states.State',
) -> requests.Chain | None:
    """Return the cheaper of the chains within two zones, if it is cheap."""
    best: chains.FoundChain | None = None
    for zone in pick_zones(exchange.service, state):
        listed = runners.list_zone_runners(
            state.runners, state.runner_index, exchange.service, zone
        )
        candidates = build_candidates(engine, listed, now, state)
        found = chains.find_zone_chain(
            engine, exclude_tried(candidates, exchange), work, state.seed
        )
        if found is not None and (best is None or found.cost < best.cost):
            best = found
    if best is None or best.cost > chains.CROSSING_SECONDS:
        return None
    return best.chain


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


def exclude_tried(
    candidates: list[chains.Candidate], exchange: exchanges.Exchange
) -> list[chains.Candidate]:
    """Return the candidates that have not refused or failed a request."""
    return [
        candidate
        for candidate in candidates
        if candidate.runner_id not in exchange.tried_runner_ids
    ]


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


def send_request(
    exchange: exchanges.Exchange,
    target: Target,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Send a request to the chosen upstream."""
    number = state.send_count + 1
    send_id = f's{number}'
    attempt = exchanges.Attempt(
        send_id,
        target.runner_id,
        now,
        chain=target.chain,
        estimated_tokens=target.estimated_tokens,
        last_received_at=now,
        process_started_at_ms=find_process_start(target.runner_id, state),
    )
    sent = dataclasses.replace(
        exchange,
        attempts=(*exchange.attempts, attempt),
        send_count=exchange.send_count + 1,
        next_search_at=None,
    )
    next_state = dataclasses.replace(
        state,
        retry_buckets=spend_retry_budget(exchange, now, state),
        send_count=number,
        seed=draws.draw(state.seed).seed,
        loads=add_load(state.loads, attempt),
        request_ids_by_send=state.request_ids_by_send.set(
            send_id, exchange.request_id
        ),
        exchanges=state.exchanges.set(exchange.request_id, sent),
    )
    return check_schedule.request_check(now, next_state).with_effects(
        build_send_effect(exchange, target, send_id, now),
        build_send_log(exchange, target, now, state),
    )


def find_process_start(runner_id: str, state: 'states.State') -> int:
    """Return when the listed process of an upstream was started."""
    runner = state.runners.get(runner_id)
    return runner.listed.started_at_ms if runner else 0


def spend_retry_budget(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> retry_budgets.RetryBuckets:
    """Charge a send to the retry budget, unless none has arrived before.

    The charge is returned if the send does not arrive.
    """
    if not exchange.arrival_count:
        return state.retry_buckets
    return retry_budgets.debit_retry(
        state.retry_buckets,
        exchange.service,
        now,
        state.limits,
        limit_shares.count_shares(now, state),
    )


def return_retry_charge(
    failed: exchanges.Exchange,
    attempt: exchanges.Attempt,
    now: float,
    state: 'states.State',
) -> retry_budgets.RetryBuckets:
    """Return the charge for a failed send that did not arrive."""
    if attempt.is_sent or not failed.arrival_count:
        return state.retry_buckets
    return retry_budgets.return_retry(
        state.retry_buckets,
        failed.service,
        now,
        state.limits,
        limit_shares.count_shares(now, state),
    )


def add_load(
    load_map: loads.LoadMap, attempt: exchanges.Attempt
) -> loads.LoadMap:
    """Add an attempt to the load of its upstreams."""
    if attempt.chain:
        return loads.add_chain(
            load_map, attempt.chain, attempt.estimated_tokens, 1
        )
    return loads.add_request(load_map, attempt.runner_id, 1)


def build_send_effect(
    exchange: exchanges.Exchange, target: Target, send_id: str, now: float
) -> effects.Effect:
    """Return the effect that starts a send."""
    return relay_effects.StartSend(
        send_id,
        target.address,
        requests.UpstreamRequest(
            exchange.request,
            target.runner_id,
            exchange.deadline_at - now,
            tenant=exchange.tenant,
            urgency=exchange.urgency,
            chain=target.chain,
            last_event_id=exchange.last_event_id,
        ),
        # The upstream may close a reused connection while the request is on
        # its way, and then it is unknown whether the request ran. On a
        # connection that has carried this request before, a second copy of
        # the refusal would look like the answer to this send.
        needs_new_connection=(
            exchange.send_count > 0 or not exchange.route.is_retryable
        ),
    )


def build_send_log(
    exchange: exchanges.Exchange,
    target: Target,
    now: float,
    state: 'states.State',
) -> effects.Effect:
    """Return the effect that logs a send."""
    active = state.configuration.active
    read_at = state.runner_list.read_at
    return relay_effects.LogDecision(
        'request_sent',
        (
            ('request', exchange.request.attempt_id),
            ('route', exchange.route.name),
            ('runner', target.runner_id),
            ('chain', format_chain(target.chain)),
            ('send', exchange.send_count + 1),
            ('last_event', exchange.last_event_id),
            ('problem', exchange.last_problem),
            ('config_version', active.version if active else None),
            ('list_age_ms', compute_age_ms(read_at, now)),
            ('left_ms', int((exchange.deadline_at - now) * 1000)),
        ),
        is_routine=not exchange.send_count,
    )


def format_chain(chain: requests.Chain) -> list[str]:
    """Return the parts of a chain as `runner:first-end`, for log lines."""
    return [
        f'{part.runner_id}:{part.first_layer}-{part.end_layer}'
        for part in chain
    ]


def compute_age_ms(since: float | None, now: float) -> int | None:
    """Return the milliseconds since a point in time, if it is known."""
    return None if since is None else int((now - since) * 1000)


def may_retry(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> bool:
    """Return whether a request may be sent to another upstream.

    A request that may have run is retried only if its route allows it. An open
    send counts as a run. All sends after the first that arrived, including those
    after a refusal, share the service's budget.
    """
    is_unconnected = exchange.unconnected_count >= MAXIMUM_UNCONNECTED_SENDS
    if is_unconnected or prompt_blocks.is_refused(exchange, now, state):
        return False
    if not exchange.arrival_count:
        return True
    if exchange.arrival_count >= MAXIMUM_ARRIVALS:
        return False
    balance = retry_budgets.compute_balance(
        state.retry_buckets,
        exchange.service,
        now,
        state.limits,
        limit_shares.count_shares(now, state),
    )
    if balance < 1:
        return False
    runs = exchange.possible_run_count + len(exchange.attempts)
    if not runs:
        return True
    return (
        exchange.route.is_retryable and runs < exchange.route.maximum_attempts
    )
