"""Send a request to an upstream, or keep it waiting for one."""

import dataclasses
import typing

from mustardvale.internal import draws, effects, transitions
from mustardvale.internal.relay import (
    capacity_waits,
    check_schedule,
    choices,
    completion,
    exchanges,
    fingerprints,
    limit_shares,
    loads,
    prompt_blocks,
    reducer,
    requests,
    retry_budgets,
    return_times,
    shortages,
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
# Sends of one request that arrive at an upstream, including those that it
# refuses to run.
MAXIMUM_ARRIVALS = 4
# Sends of one request that end before a byte is sent. They cost no upstream
# anything, but each occupies a socket and some of the time that is left.
MAXIMUM_UNCONNECTED_SENDS = 6
# Requests with less time left than this are not sent.
MINIMUM_REMAINING_SECONDS = 0.01
NO_WAIT = shortages.UpstreamWait()


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
    if capacity_waits.must_queue(exchange, now, state):
        return wait_or_fail(exchange, now, state)
    target = choices.choose_target(exchange, now, state)
    if target is not None:
        return send_before_stop(exchange, target, now, state)
    return wait_or_fail(exchange, now, state)


def wait_or_fail(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> reducer.Transition:
    """Keep a request waiting for an upstream, or fail it."""
    if may_wait_for_silent(exchange, now, state):
        unheld = dataclasses.replace(exchange, expected_wait_seconds=None)
        return silence_waits.begin_wait(unheld, now, state)
    wait = shortages.estimate_wait(exchange, now, state)
    if may_wait_for_capacity(exchange, wait, now, state):
        return wait_for_capacity(exchange, now, state)
    if now + wait.seconds < compute_wait_deadline(exchange):
        waiting = dataclasses.replace(
            exchange,
            last_search_at=now,
            next_search_at=None,
            expected_wait_seconds=None,
        )
        exchange_map = state.exchanges.set(exchange.request_id, waiting)
        return check_schedule.request_check(
            now, dataclasses.replace(state, exchanges=exchange_map)
        )
    return refuse_for_now(exchange, wait, now, state)


def may_wait_for_capacity(
    exchange: exchanges.Exchange,
    wait: shortages.UpstreamWait,
    now: float,
    state: 'states.State',
) -> bool:
    """Return whether a request has to wait for others to end."""
    if exchange.last_event_at is not None or wait.seconds > 0:
        return False
    return (
        state.stopping is None
        and shortages.is_full(exchange, now, state)
        and capacity_waits.estimate_rate(exchange.service, now, state)
        is not None
    )


def wait_for_capacity(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> reducer.Transition:
    """Keep a request until capacity becomes free, or refuse it at once.

    It is refused once its expected wait is longer than its caller accepts.
    """
    state = capacity_waits.record_shortage(exchange, state)
    rate = capacity_waits.estimate_rate(exchange.service, now, state)
    if rate is None:
        return refuse_for_now(exchange, NO_WAIT, now, state)
    expected = capacity_waits.estimate_wait_seconds(exchange, rate, now, state)
    ends_at = capacity_waits.compute_wait_end(exchange)
    if now >= ends_at or expected > ends_at - exchange.arrived_at:
        return refuse_by_urgency(exchange, now, state)
    is_held = capacity_waits.is_held(exchange)
    if is_held:
        state = capacity_waits.record_failed_search(exchange, now, state)
    waiting = dataclasses.replace(
        exchange,
        last_search_at=now,
        next_search_at=None,
        expected_wait_seconds=(
            exchange.expected_wait_seconds if is_held else expected
        ),
        wait_began_at=exchange.wait_began_at if is_held else now,
    )
    exchange_map = state.exchanges.set(exchange.request_id, waiting)
    return check_schedule.request_check(
        now, dataclasses.replace(state, exchanges=exchange_map)
    )


def refuse_hopeless(now: float, state: 'states.State') -> reducer.Transition:
    """Refuse the requests that others have pushed too far back."""
    refused: reducer.Transition = transitions.Transition(state).then_each(
        capacity_waits.list_hopeless(now, state),
        lambda request_id, current: refuse_for_now(
            current.exchanges[request_id], NO_WAIT, now, current
        ),
    )
    return refused


def refuse_by_urgency(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> reducer.Transition:
    """Refuse a request, and the less urgent ones that wait before it."""
    yielded: reducer.Transition = transitions.Transition(state).then_each(
        capacity_waits.list_yielding(exchange, now, state),
        lambda request_id, current: refuse_for_now(
            current.exchanges[request_id], NO_WAIT, now, current
        ),
    )
    return yielded.then(
        lambda current: refuse_for_now(exchange, NO_WAIT, now, current)
    )


def refuse_for_now(
    exchange: exchanges.Exchange,
    wait: shortages.UpstreamWait,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Refuse a request that no upstream can take, until one may.

    Callers that are refused in the same wait return at different moments.
    """
    is_put_off = not exchange.may_have_run and not exchange.has_stream_started
    if is_put_off and may_wait_for_capacity(exchange, wait, now, state):
        return put_off(exchange, now, state)
    drawn = draws.draw(state.seed)
    return_seconds = wait.seconds + wait.return_spread_seconds * drawn.fraction
    return completion.fail_exchange(
        exchange,
        shortages.explain_no_target(exchange, now, state),
        now,
        dataclasses.replace(state, seed=drawn.seed),
        retry_after_seconds=max(
            shortages.choose_retry_after(exchange, now, state), return_seconds
        ),
    )


def put_off(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> reducer.Transition:
    """Refuse a request until capacity is expected to be free for it."""
    rate = capacity_waits.estimate_rate(exchange.service, now, state)
    assert rate is not None, 'requests wait only for a known capacity'
    drawn = draws.draw(state.seed)
    urgency = exchange.urgency or 0
    waiting_count = sum(
        (other.urgency or 0) <= urgency
        for other in capacity_waits.list_held(exchange.service, state)
        if other.request_id != exchange.request_id
    )
    assigned = return_times.assign_return(
        urgency,
        waiting_count,
        rate,
        exchange.deadline_at - now,
        state.capacity.promises,
        now,
        drawn.fraction,
    )
    promises = return_times.record_promise(
        state.capacity.promises,
        fingerprints.compute_fingerprint(
            exchange.tenant or '', exchange.request, exchange.request.path
        ),
        return_times.Promise(
            now + assigned.delay_seconds, urgency, exchange.pass_count
        ),
        now,
    )
    promised = capacity_waits.with_capacity(
        dataclasses.replace(state, seed=drawn.seed), promises=promises
    )
    return completion.fail_exchange(
        exchange,
        'all runners are full',
        now,
        promised,
        retry_after_seconds=assigned.delay_seconds,
    ).with_effects(build_put_off_log(exchange, assigned, waiting_count, rate))


def build_put_off_log(
    exchange: exchanges.Exchange,
    assigned: return_times.ReturnTime,
    waiting_count: int,
    rate: float,
) -> effects.Effect:
    """Return the effect that logs why a request was put off, and how long."""
    return relay_effects.LogDecision(
        'request_put_off',
        (
            ('request', exchange.request.attempt_id),
            ('route', exchange.route.name),
            ('tenant', exchange.tenant),
            ('priority', exchange.urgency or 0),
            ('delay_ms', int(assigned.delay_seconds * 1000)),
            ('expected_ms', int(assigned.expected_seconds * 1000)),
            ('waiting', waiting_count),
            ('ends_per_second', round(rate, 2)),
        ),
    )


def may_wait_for_silent(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> bool:
    """Return whether a model request waits for runners that are silent."""
    service = choices.find_service(exchange, state)
    if service is None or service.engine is None:
        return False
    return silence_waits.may_wait(
        exchange, service.engine.layer_count, now, state
    )


def send_before_stop(
    exchange: exchanges.Exchange,
    target: choices.Target,
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


def is_search_due(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> bool:
    """Return whether to search for an upstream again."""
    if capacity_waits.is_held(exchange):
        return capacity_waits.is_search_due(exchange, now, state)
    if exchange.next_search_at is not None:
        return silence_waits.is_search_due(exchange, now)
    searched_at = exchange.last_search_at
    if searched_at is None or exchange.last_event_at is None:
        return True
    return now - searched_at >= STREAM_SEARCH_PERIOD_SECONDS


def send_request(
    exchange: exchanges.Exchange,
    target: choices.Target,
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
        expected_wait_seconds=None,
    )
    state = capacity_waits.record_start(exchange, now, state)
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
        *capacity_waits.build_end_effects(exchange, 'sent', now),
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
    exchange: exchanges.Exchange,
    target: choices.Target,
    send_id: str,
    now: float,
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
    target: choices.Target,
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
            ('list_age_ms', shortages.compute_age_ms(read_at, now)),
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
