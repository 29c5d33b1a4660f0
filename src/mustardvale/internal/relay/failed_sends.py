"""Retry or fail requests whose sends have failed."""

import dataclasses
import typing

from mustardvale.internal import effects, transitions
from mustardvale.internal.relay import (
    byte_budgets,
    completion,
    dispatch,
    exchanges,
    open_attempts,
    pace_tracking,
    reducer,
    requests,
    runners,
    upstream_pace,
)
from mustardvale.internal.relay import effects as relay_effects

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

# Only answers with a large buffer cause a check of all buffers, because it costs
# time for each open request.
LARGE_BUFFER_BYTES = 256 * 1024
# Growth of a large buffer after which all buffers are added up again.
BUFFER_CHECK_BYTES = 16 * 1024


def retry_failed(
    open_attempt: open_attempts.OpenAttempt,
    problem: str,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Abort a failed send and retry the request, or fail it."""
    remaining, state = completion.end_attempt(
        open_attempt.exchange, open_attempt.attempt, state
    )
    runner_map = runners.record_failure(
        state.runners, open_attempt.attempt.runner_id, now
    )
    failed = exchanges.record_failed_attempt(
        remaining, open_attempt.attempt, problem
    )
    state = pace_tracking.note_evidence(
        open_attempt.attempt.runner_id,
        upstream_pace.Lost(open_attempt.attempt.started_at),
        now,
        state,
    )
    state = open_attempts.store_exchange(
        failed,
        dataclasses.replace(
            state,
            runners=runner_map,
            retry_buckets=dispatch.return_retry_charge(
                failed, open_attempt.attempt, now, state
            ),
        ),
    )
    abort = relay_effects.AbortSend(open_attempt.attempt.send_id)
    log_effect = build_failure_log(failed, open_attempt.attempt, problem, now)
    retried = retry_or_fail(failed, now, state)
    return transitions.Transition(
        retried.state, (abort, log_effect, *retried.effects)
    )


def build_failure_log(
    exchange: exchanges.Exchange,
    attempt: exchanges.Attempt,
    problem: str,
    now: float,
) -> effects.Effect:
    """Return the effect that logs a failed send."""
    return relay_effects.LogDecision(
        'send_failed',
        (
            ('request', exchange.request.attempt_id),
            ('runner', attempt.runner_id),
            ('chain', dispatch.format_chain(attempt.chain)),
            ('problem', problem),
            ('sent', attempt.is_sent),
            ('last_event', exchange.last_event_id),
            ('silent_ms', int((now - attempt.last_received_at) * 1000)),
            ('open', len(exchange.attempts)),
        ),
    )


def retry_refused(
    open_attempt: open_attempts.OpenAttempt,
    head: requests.AnswerHead,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Retry a request that an upstream refused to run."""
    remaining, state = completion.end_attempt(
        open_attempt.exchange, open_attempt.attempt, state
    )
    at_fault = runners.find_id_by_address(state.runners, head.fault_address)
    refused = dataclasses.replace(
        remaining,
        tried_runner_ids=remaining.tried_runner_ids
        | {at_fault or open_attempt.attempt.runner_id},
        last_problem=f'refused without running, status {head.status}',
    )
    retried = retry_or_fail(
        refused, now, open_attempts.store_exchange(refused, state)
    )
    log_effect = relay_effects.LogDecision(
        'send_refused',
        (
            ('request', refused.request.attempt_id),
            ('runner', open_attempt.attempt.runner_id),
            ('chain', dispatch.format_chain(open_attempt.attempt.chain)),
            ('status', head.status),
            ('at_fault', at_fault or head.fault_address),
            ('ms', int((now - open_attempt.attempt.started_at) * 1000)),
        ),
    )
    return transitions.Transition(retried.state, (log_effect, *retried.effects))


def retry_or_fail(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> reducer.Transition:
    """Retry a request, or fail it; do nothing while another send is open."""
    if exchange.attempts:
        return transitions.Transition(state)
    if dispatch.may_retry(exchange, now, state):
        return dispatch.try_send(exchange, now, state)
    return completion.fail_exchange(exchange, exchange.last_problem, now, state)


def limit_buffered_bytes(
    before: exchanges.Attempt,
    changed: exchanges.Attempt,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Fail the send with the largest buffer if all buffers are too large.

    Faulty upstreams may answer many requests at once with bytes without an end.
    """
    checked = before.buffered_bytes // BUFFER_CHECK_BYTES
    is_checked = changed.buffered_bytes // BUFFER_CHECK_BYTES == checked
    if changed.buffered_bytes < LARGE_BUFFER_BYTES or is_checked:
        return transitions.Transition(state)
    candidates = [
        open_attempts.OpenAttempt(exchange, attempt)
        for exchange in state.exchanges.values()
        for attempt in exchange.attempts
    ]
    sizes = [found.attempt.buffered_bytes for found in candidates]
    budget = byte_budgets.build(state.limits.memory_mb)
    if sum(sizes) <= budget.answer_bytes:
        return transitions.Transition(state)
    largest = candidates[sizes.index(max(sizes))]
    return retry_failed(largest, 'too many bytes are buffered', now, state)
