"""Send a request to an upstream, or keep it waiting for one."""

import dataclasses
import typing

from mustardvale.internal import draws, effects
from mustardvale.internal.relay import (
    check_schedule,
    choices,
    completion,
    exchanges,
    limit_shares,
    loads,
    prompt_blocks,
    reducer,
    requests,
    retry_budgets,
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
    target = choices.choose_target(exchange, now, state)
    if target is not None:
        return send_before_stop(exchange, target, now, state)
    return wait_or_fail(exchange, now, state)


def wait_or_fail(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> reducer.Transition:
    """Keep a request waiting for an upstream, or fail it."""
    if may_wait_for_silent(exchange, now, state):
        return silence_waits.begin_wait(exchange, now, state)
    wait = shortages.estimate_wait(exchange, now, state)
    if now + wait.seconds < compute_wait_deadline(exchange):
        waiting = dataclasses.replace(
            exchange, last_search_at=now, next_search_at=None
        )
        exchange_map = state.exchanges.set(exchange.request_id, waiting)
        return check_schedule.request_check(
            now, dataclasses.replace(state, exchanges=exchange_map)
        )
    return refuse_for_now(exchange, wait, now, state)


def refuse_for_now(
    exchange: exchanges.Exchange,
    wait: shortages.UpstreamWait,
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
        shortages.explain_no_target(exchange, now, state),
        now,
        dataclasses.replace(state, seed=drawn.seed),
        retry_after_seconds=max(
            shortages.choose_retry_after(exchange, now, state), return_seconds
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


def is_search_due(exchange: exchanges.Exchange, now: float) -> bool:
    """Return whether to search for an upstream again."""
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
