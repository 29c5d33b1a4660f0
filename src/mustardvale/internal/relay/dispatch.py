"""Choose an upstream for a request and send the request to it."""

import dataclasses
import typing

from mustardvale.internal import draws, effects, transitions
from mustardvale.internal.relay import (
    chains,
    configuration,
    completion,
    engines,
    exchanges,
    loads,
    members,
    reducer,
    repeats,
    requests,
    runners,
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
# Sends of one request, including those that an upstream refused to run.
MAXIMUM_SENDS = 4
# Requests with less time left than this are not sent.
MINIMUM_REMAINING_SECONDS = 0.01
# Average share of the expected output tokens that the cache holds.
MEAN_OUTPUT_SHARE = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Describe where a request is sent.

    `tokens` is the estimated number of tokens that it keeps in the cache.
    """

    runner_id: str
    address: str
    chain: requests.Chain = ()
    tokens: float = 0.0


def build_flow_control_effect(send_id: str, blocked: bool) -> effects.Effect:
    """Return the effect that pauses or resumes the answer to a send."""
    if blocked:
        return relay_effects.PauseSend(send_id)
    return relay_effects.ResumeSend(send_id)


def try_send(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> reducer.Transition:
    """Send a request, keep it waiting for an upstream, or fail it."""
    if exchange.due_at - now < MINIMUM_REMAINING_SECONDS:
        return completion.fail_exchange(
            exchange, 'too little time is left', now, state
        )
    if exchange.sends and not may_retry(exchange, now, state):
        return completion.fail_exchange(exchange, exchange.problem, now, state)
    target = choose_target(exchange, now, state)
    if target is not None:
        return send_request(exchange, target, now, state)
    if now < compute_wait_deadline(exchange):
        waiting = dataclasses.replace(exchange, searched_at=now)
        exchange_map = state.exchanges.set(exchange.request_id, waiting)
        return transitions.Transition(
            dataclasses.replace(state, exchanges=exchange_map)
        )
    return completion.fail_exchange(
        exchange, explain_no_target(exchange, now, state), now, state
    )


def compute_wait_deadline(exchange: exchanges.Exchange) -> float:
    """Return the time until which a request waits for a free upstream."""
    if exchange.events_at is not None:
        return exchange.events_at + STREAM_RESUME_WAIT_SECONDS
    return (
        exchange.arrived_at
        + exchange.route.target_seconds * MAXIMUM_WAIT_TARGET_SHARE
    )


def is_search_due(exchange: exchanges.Exchange, now: float) -> bool:
    """Return whether to search for an upstream again."""
    searched_at = exchange.searched_at
    if searched_at is None or exchange.events_at is None:
        return True
    return now - searched_at >= STREAM_SEARCH_PERIOD_SECONDS


def explain_no_target(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> str:
    """Return why no upstream can take a request."""
    active = state.configuration.active
    service = active.services.get(exchange.service) if active else None
    if service is None:
        return f'service {exchange.service} is not configured'
    if service.engine is None:
        return 'no runner is usable'
    held_layers: set[int] = set()
    for candidate in list_candidates(
        service.engine, exchange.service, now, state
    ):
        if candidate.runner_id not in exchange.tried:
            held_layers.update(
                range(candidate.layers.first, candidate.layers.end)
            )
    missing = [
        layer
        for layer in range(service.engine.layers)
        if layer not in held_layers
    ]
    if missing:
        return f'no runner holds layers {missing[0]} to {missing[-1]}'
    return 'all runners are full'


def choose_target(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> Target | None:
    """Return the upstream for a request, or none if none is usable."""
    active = state.configuration.active
    assert active is not None, 'requests need a configuration'
    service = active.services.get(exchange.service)
    if service is None:
        return None
    if service.engine is None:
        return choose_runner(exchange, now, state)
    return choose_chain(service.engine, exchange, now, state)


def choose_runner(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> Target | None:
    """Return the runner of a plain service with the least expected time."""
    instances = members.count(state)
    best: tuple[float, runners.Runner] | None = None
    seed = state.seed
    for runner in runners.of_service(state.runners, exchange.service):
        drawn = draws.draw(seed)
        seed = drawn.seed
        if not runner.usable or runner.listed.runner_id in exchange.tried:
            continue
        load = loads.estimate(
            runner.listed.runner_id, state.loads, state.mean_loads, instances
        )
        cost = estimate_runner_cost(runner, load, now, drawn.fraction)
        if best is None or cost < best[0]:
            best = (cost, runner)
    if best is None:
        return None
    listed = best[1].listed
    return Target(listed.runner_id, listed.address)


# Assumed latency of a runner that has not answered yet.
DEFAULT_LATENCY_SECONDS = 0.02
FAILURE_COST_FACTOR = 10.0


def estimate_runner_cost(
    runner: runners.Runner,
    load: loads.Load,
    now: float,
    uniform: float,
) -> float:
    """Return the weighted expected time in seconds of a plain request.

    `uniform` is a random number from 0 to 1, which spreads equal costs.
    """
    latency = runner.latency or DEFAULT_LATENCY_SECONDS
    slots = max(runner.listed.slots, 1)
    queueing = 1 + load.requests / slots
    cost = latency * queueing * (1 + FAILURE_COST_FACTOR * runner.failing)
    if runner.avoid_until > now:
        cost *= chains.AVOIDED_FACTOR
    return cost * (1 + chains.JITTER * uniform)


def list_candidates(
    engine: engines.Engine, service: str, now: float, state: 'states.State'
) -> list[chains.Candidate]:
    """Return the runners of a service that may get new requests."""
    instances = members.count(state)
    candidates = []
    for runner in runners.of_service(state.runners, service):
        if not runner.usable:
            continue
        load = loads.estimate(
            runner.listed.runner_id, state.loads, state.mean_loads, instances
        )
        candidate = chains.describe(engine, runner, load, now)
        if candidate is not None:
            candidates.append(candidate)
    return candidates


def choose_chain(
    engine: engines.Engine,
    exchange: exchanges.Exchange,
    now: float,
    state: 'states.State',
) -> Target | None:
    """Return the cheapest chain for a model request."""
    candidates = [
        candidate
        for candidate in list_candidates(engine, exchange.service, now, state)
        if candidate.runner_id not in exchange.tried
    ]
    work = estimate_work(exchange, engine)
    span = chains.Span(0, engine.layers, '')
    chain = chains.find(
        engine,
        candidates,
        work,
        span,
        state.seed,
        build_link_load_lookup(state),
    )
    if not chain:
        return None
    tokens = work.prompt + work.output * MEAN_OUTPUT_SHARE
    return Target(chain[0].runner_id, chain[0].address, chain, tokens)


def build_link_load_lookup(state: 'states.State') -> chains.Links:
    """Return a function that estimates the requests on a link of two zones.

    The estimate covers all instances.
    """
    instances = members.count(state)

    def estimate_requests(one: str, other: str) -> float:
        link = loads.link_name(one, other)
        return loads.estimate(
            link, state.loads, state.mean_loads, instances
        ).requests

    return estimate_requests


def estimate_work(
    exchange: exchanges.Exchange, engine: engines.Engine
) -> chains.Work:
    """Return the prompt and output tokens of a model request."""
    prompt = exchange.request.prompt
    if prompt is None:
        return chains.Work(engine.usual_prompt, engine.usual_output)
    return chains.Work(prompt.tokens, prompt.expected_output)


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
        tokens=target.tokens,
        heard_at=now,
    )
    sent = dataclasses.replace(
        exchange,
        attempts=(*exchange.attempts, attempt),
        sends=exchange.sends + 1,
    )
    next_state = dataclasses.replace(
        state,
        repeats=spend_retry_budget(exchange, now, state),
        send_count=number,
        seed=draws.draw(state.seed).seed,
        loads=add_load(state.loads, attempt),
        sends=state.sends.set(send_id, exchange.request_id),
        exchanges=state.exchanges.set(exchange.request_id, sent),
    )
    return transitions.Transition(
        next_state,
        (
            build_send_effect(exchange, target, send_id, now),
            build_send_log(exchange, target, now, state),
        ),
    )


def spend_retry_budget(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> repeats.Ledger:
    """Charge a send to the retry budget, unless it is the first."""
    if not exchange.sends:
        return state.repeats
    return repeats.spend(
        state.repeats,
        exchange.service,
        now,
        state.limits,
        members.count(state),
    )


def add_load(table: loads.LoadMap, attempt: exchanges.Attempt) -> loads.LoadMap:
    """Add an attempt to the load of its upstreams."""
    if attempt.chain:
        return loads.add_chain(table, attempt.chain, attempt.tokens, 1)
    return loads.add_request(table, attempt.runner_id, 1)


def build_send_effect(
    exchange: exchanges.Exchange, target: Target, send_id: str, now: float
) -> effects.Effect:
    """Return the effect that starts a send."""
    kind = exchange.route.kind
    return relay_effects.StartSend(
        send_id,
        target.address,
        requests.Send(
            exchange.request,
            target.runner_id,
            exchange.due_at - now,
            tenant=exchange.tenant,
            urgency=exchange.urgency,
            chain=target.chain,
            last_event=exchange.last_event,
        ),
        # The upstream may close a reused connection while the request is on
        # its way, and then it is unknown whether the request ran.
        fresh=kind is configuration.RequestKind.NON_IDEMPOTENT,
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
            ('send', exchange.sends + 1),
            ('last_event', exchange.last_event),
            ('problem', exchange.problem),
            ('config_version', active.version if active else None),
            ('list_age_ms', compute_age_ms(read_at, now)),
            ('left_ms', int((exchange.due_at - now) * 1000)),
        ),
        routine=not exchange.sends,
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

    A request that may have run is retried only if its route allows it. All
    retries, including those after a refusal, share the service's budget.
    """
    if exchange.sends >= MAXIMUM_SENDS:
        return False
    allowed = repeats.left(
        state.repeats,
        exchange.service,
        now,
        state.limits,
        members.count(state),
    )
    if allowed < 1:
        return False
    if not exchange.may_have_run:
        return True
    runs = exchange.runs + sum(attempt.sent for attempt in exchange.attempts)
    return exchange.route.repeatable and runs < exchange.route.maximum_attempts
