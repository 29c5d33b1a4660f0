"""Withdraw sends to upstreams that have asked for no requests meanwhile.

A send may wait for its connection for longer than the upstream takes to answer
another request. Nothing of it has been written, so that it cannot have run.
"""

import dataclasses
import typing

from mustardvale.internal import effects, transitions
from mustardvale.internal.relay import (
    completion,
    dispatch,
    exchanges,
    failed_sends,
    open_attempts,
    reducer,
)
from mustardvale.internal.relay import effects as relay_effects

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

WITHDRAWAL_REASON = 'the upstream has asked for no requests'


def list_unwanted(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> list[exchanges.Attempt]:
    """Return the sends of a request that are to be withdrawn."""
    return [
        attempt
        for attempt in exchange.attempts
        if not attempt.is_sent and is_unwanted(attempt, now, state)
    ]


def is_unwanted(
    attempt: exchanges.Attempt, now: float, state: 'states.State'
) -> bool:
    """Return whether an upstream of a send has asked for no requests."""
    runner_ids = [part.runner_id for part in attempt.chain]
    return any(
        runner.wants_no_requests(now)
        for runner_id in runner_ids or [attempt.runner_id]
        if (runner := state.runners.get(runner_id)) is not None
    )


def withdraw_each(
    request_id: str,
    unwanted: list[exchanges.Attempt],
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Withdraw sends of a request, and send it elsewhere."""
    return transitions.Transition(state).then_each(
        unwanted,
        lambda attempt, current: withdraw(
            current.exchanges[request_id], attempt, now, current
        ),
    )


def withdraw(
    exchange: exchanges.Exchange,
    attempt: exchanges.Attempt,
    now: float,
    state: 'states.State',
    problem: str = WITHDRAWAL_REASON,
) -> reducer.Transition:
    """Abort a send that was not written; send elsewhere if none is open."""
    remaining, next_state = completion.end_attempt(exchange, attempt, state)
    withdrawn = dataclasses.replace(
        remaining,
        unconnected_count=remaining.unconnected_count + 1,
        last_problem=problem,
    )
    buckets = dispatch.return_retry_charge(withdrawn, attempt, now, next_state)
    next_state = open_attempts.store_exchange(
        withdrawn, dataclasses.replace(next_state, retry_buckets=buckets)
    )
    aborted = transitions.Transition(
        next_state,
        (
            relay_effects.AbortSend(attempt.send_id),
            build_withdrawal_log(withdrawn, attempt, now),
        ),
    )
    return aborted.then(
        lambda current: failed_sends.retry_or_fail(withdrawn, now, current)
    )


def build_withdrawal_log(
    exchange: exchanges.Exchange, attempt: exchanges.Attempt, now: float
) -> effects.Effect:
    """Return the effect that logs a send that was withdrawn."""
    return relay_effects.LogDecision(
        'send_withdrawn',
        (
            ('request', exchange.request.attempt_id),
            ('runner', attempt.runner_id),
            ('chain', dispatch.format_chain(attempt.chain)),
            ('ms', int((now - attempt.started_at) * 1000)),
        ),
    )
