"""Complete requests: refuse them, fail them, or abort their streams."""

import dataclasses
import typing

import immutables

from mustardvale.internal import effects, transitions
from mustardvale.internal.relay import effects as relay_effects
from mustardvale.internal.relay import (
    capacity_waits,
    exchanges,
    loads,
    reducer,
    requests,
    stopping,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

RETRY_AFTER_SECONDS = 0.4
BAD_GATEWAY_STATUS = 502
SERVICE_UNAVAILABLE_STATUS = 503
GATEWAY_TIMEOUT_STATUS = 504
# How a wait for capacity has ended if its request ends so; others were refused.
WAIT_OUTCOMES = immutables.Map({'caller_left': 'left'})


def refuse_unadmitted(
    request_id: str,
    request: requests.ClientRequest,
    refusal: requests.Refusal,
    reason: str,
    state: 'states.State',
) -> reducer.Transition:
    """Refuse a request that was not sent to any upstream."""
    active = state.configuration.active
    return transitions.Transition(
        state,
        (
            effects.Reply(request_id, refusal),
            effects.Count('relay_refusals', (refusal.code,)),
            relay_effects.LogDecision(
                'request_refused',
                (
                    ('request', request.attempt_id),
                    ('target', request.target),
                    ('status', refusal.status),
                    ('reason', reason),
                    ('config_version', active.version if active else None),
                ),
            ),
        ),
    )


def fail_exchange(
    exchange: exchanges.Exchange,
    problem: str,
    now: float,
    state: 'states.State',
    retry_after_seconds: float = RETRY_AFTER_SECONDS,
) -> reducer.Transition:
    """Answer a request that cannot be served with an error.

    Only a request that cannot have run gets a `Retry-After`. One with an open
    send may still run.
    """
    if exchange.has_stream_started:
        return abort_stream(exchange, problem, now, state)
    if state.stopping is not None:
        retry_after_seconds = stopping.compute_retry_seconds(state, now)
    refusal = build_failure_refusal(exchange, now, retry_after_seconds)
    return finish_exchange(
        exchange,
        'request_failed',
        (('status', refusal.status), ('problem', problem)),
        now,
        state,
    ).with_effects(
        effects.Reply(exchange.request_id, refusal),
        effects.Count('relay_refusals', (refusal.code,)),
    )


def build_failure_refusal(
    exchange: exchanges.Exchange, now: float, retry_after_seconds: float
) -> requests.Refusal:
    """Return the error for a request that cannot be served."""
    attempt_id = exchange.request.attempt_id
    if not exchange.may_have_run:
        return requests.Refusal(
            SERVICE_UNAVAILABLE_STATUS,
            'not_run',
            attempt_id,
            retry_after_seconds,
        )
    if now >= exchange.deadline_at:
        return requests.Refusal(GATEWAY_TIMEOUT_STATUS, 'timed_out', attempt_id)
    return requests.Refusal(BAD_GATEWAY_STATUS, 'upstream_failed', attempt_id)


def abort_stream(
    exchange: exchanges.Exchange,
    problem: str,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Abort a stream without a regular end, so that it looks incomplete."""
    return finish_exchange(
        exchange,
        'stream_cut',
        (('problem', problem), ('last_event', exchange.last_event_id)),
        now,
        state,
    ).with_effects(effects.CloseCaller(exchange.request_id))


def close_exchange(
    exchange: exchanges.Exchange,
    outcome: str,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Drop a request whose caller has disconnected."""
    return finish_exchange(exchange, outcome, (), now, state)


def finish_exchange(
    exchange: exchanges.Exchange,
    outcome: str,
    fields: tuple[tuple[str, typing.Any], ...],
    now: float,
    state: 'states.State',
    is_routine: bool = False,
) -> reducer.Transition:
    """Remove a request, abort its sends, and log and count its outcome."""
    remaining_loads = state.loads
    sends = state.request_ids_by_send
    aborts: list[effects.Effect] = []
    for attempt in exchange.attempts:
        remaining_loads = remove_load(remaining_loads, attempt)
        sends = sends.delete(attempt.send_id)
        aborts.append(relay_effects.AbortSend(attempt.send_id))
    next_state = dataclasses.replace(
        capacity_waits.record_end(exchange, outcome, now, state),
        loads=remaining_loads,
        request_ids_by_send=sends,
        exchanges=state.exchanges.delete(exchange.request_id),
    )
    kind = exchange.route.kind.value
    seconds = now - exchange.arrived_at
    log_effect = relay_effects.LogDecision(
        outcome,
        build_end_fields(exchange, fields, seconds),
        is_routine=is_routine,
    )
    return transitions.Transition(
        next_state,
        (
            *aborts,
            effects.Count('relayed', (kind, outcome)),
            effects.Observe('relay_seconds', seconds, (kind,)),
            *capacity_waits.build_end_effects(
                exchange, WAIT_OUTCOMES.get(outcome, 'refused'), now
            ),
            log_effect,
        ),
    )


def build_end_fields(
    exchange: exchanges.Exchange,
    fields: tuple[tuple[str, typing.Any], ...],
    seconds: float,
) -> tuple[tuple[str, typing.Any], ...]:
    """Return the log fields of a completed request."""
    log_fields = {
        'request': exchange.request.attempt_id,
        'route': exchange.route.name,
        'tenant': exchange.tenant,
        **dict(fields),
        'sends': exchange.send_count,
        'runs': exchange.possible_run_count,
        'ms': int(seconds * 1000),
    }
    return tuple(log_fields.items())


def remove_load(
    load_map: loads.LoadMap, attempt: exchanges.Attempt
) -> loads.LoadMap:
    """Remove an attempt from the load of its upstreams."""
    if attempt.loaded_chain:
        return loads.add_chain(
            load_map, attempt.loaded_chain, attempt.estimated_tokens, -1
        )
    return loads.add_request(load_map, attempt.runner_id, -1)


def end_attempt(
    exchange: exchanges.Exchange,
    attempt: exchanges.Attempt,
    state: 'states.State',
) -> tuple[exchanges.Exchange, 'states.State']:
    """Remove a finished attempt; return the request and the state."""
    remaining = exchanges.remove_attempt(exchange, attempt.send_id)
    next_state = dataclasses.replace(
        state,
        loads=remove_load(state.loads, attempt),
        request_ids_by_send=state.request_ids_by_send.delete(attempt.send_id),
        exchanges=state.exchanges.set(exchange.request_id, remaining),
    )
    return remaining, next_state
