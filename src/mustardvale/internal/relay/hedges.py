"""Send a silent request to a second upstream, beside the first send.

A sound upstream may be silent for a second or so and go on. The first send
therefore stays open: the send that delivers first wins, and only then is the
other one aborted. If one of them fails, the other goes on alone.
"""

import dataclasses
import typing

from mustardvale.internal import effects, transitions
from mustardvale.internal.relay import (
    choices,
    completion,
    dispatch,
    exchanges,
    reducer,
    runners,
)
from mustardvale.internal.relay import effects as relay_effects

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

MAXIMUM_OPEN_SENDS = 2
# A model runner that was overtaken may be sound, so that others are preferred
# only for a short time.
OVERTAKEN_DEPRIORITIZE_SECONDS = 0.5


def send_beside(
    exchange: exchanges.Exchange,
    attempt: exchanges.Attempt,
    problem: str,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Send a request elsewhere too, if it may be retried and a target is free.

    An attempt that has not reached its upstream is replaced instead where it
    would be one run too many.
    """
    if len(exchange.attempts) >= MAXIMUM_OPEN_SENDS:
        return transitions.Transition(state)
    hedged = dataclasses.replace(exchange, last_problem=problem)
    may_add = dispatch.may_retry(hedged, now, state)
    if not may_add and not may_replace(hedged, attempt, now, state):
        return transitions.Transition(state)
    target = choose_other_target(hedged, now, state)
    if target is None:
        return transitions.Transition(state)
    state = record_silence(attempt, now, state)
    if may_add:
        return dispatch.send_request(hedged, target, now, state)
    return replace_unsent(hedged, attempt, target, now, state)


def record_silence(
    attempt: exchanges.Attempt, now: float, state: 'states.State'
) -> 'states.State':
    """Count the silence of a plain runner as a failure.

    Requests that may run once get no second send, and depend on what others
    have shown of the runner.
    """
    if attempt.chain:
        return state
    return dataclasses.replace(
        state,
        runners=runners.record_failure(state.runners, attempt.runner_id, now),
    )


def may_replace(
    exchange: exchanges.Exchange,
    attempt: exchanges.Attempt,
    now: float,
    state: 'states.State',
) -> bool:
    """Return whether an attempt that was not sent may be replaced."""
    without = exchanges.remove_attempt(exchange, attempt.send_id)
    return not attempt.is_sent and dispatch.may_retry(without, now, state)


def choose_other_target(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> choices.Target | None:
    """Return a target without the first runners of the open sends."""
    open_runner_ids = {attempt.runner_id for attempt in exchange.attempts}
    elsewhere = dataclasses.replace(
        exchange, tried_runner_ids=exchange.tried_runner_ids | open_runner_ids
    )
    return choices.choose_target(elsewhere, now, state)


def replace_unsent(
    exchange: exchanges.Exchange,
    attempt: exchanges.Attempt,
    target: choices.Target,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Give up an attempt that was not sent, and send the request elsewhere."""
    remaining, next_state = completion.end_attempt(exchange, attempt, state)
    replaced = exchanges.record_failed_attempt(
        remaining, attempt, exchange.last_problem
    )
    buckets = dispatch.return_retry_charge(replaced, attempt, now, next_state)
    next_state = dataclasses.replace(next_state, retry_buckets=buckets)
    sent = dispatch.send_request(replaced, target, now, next_state)
    abort = relay_effects.AbortSend(attempt.send_id)
    return transitions.Transition(sent.state, (abort, *sent.effects))


def abort_others(
    exchange: exchanges.Exchange,
    winner: exchanges.Attempt,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Abort the other open sends of a request that one send delivers to."""
    others = [
        attempt
        for attempt in exchange.attempts
        if attempt.send_id != winner.send_id
    ]
    return transitions.Transition(state).then_each(
        others,
        lambda attempt, current: abort_loser(
            current.exchanges[exchange.request_id],
            attempt,
            winner,
            now,
            current,
        ),
    )


def abort_loser(
    exchange: exchanges.Exchange,
    loser: exchanges.Attempt,
    winner: exchanges.Attempt,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Abort one send; avoid a model runner that a later send overtook."""
    remaining, next_state = completion.end_attempt(exchange, loser, state)
    aborted = exchanges.record_failed_attempt(remaining, loser, 'overtaken')
    runner_map = next_state.runners
    if loser.chain and loser.started_at < winner.started_at:
        until = now + OVERTAKEN_DEPRIORITIZE_SECONDS
        runner_map = runners.deprioritize(runner_map, loser.runner_id, until)
    next_state = dataclasses.replace(
        next_state,
        exchanges=next_state.exchanges.set(exchange.request_id, aborted),
        runners=runner_map,
        retry_buckets=dispatch.return_retry_charge(
            aborted, loser, now, next_state
        ),
    )
    return transitions.Transition(
        next_state,
        (
            relay_effects.AbortSend(loser.send_id),
            build_overtaken_log(aborted, loser, winner, now),
        ),
    )


def build_overtaken_log(
    exchange: exchanges.Exchange,
    loser: exchanges.Attempt,
    winner: exchanges.Attempt,
    now: float,
) -> effects.Effect:
    """Return the effect that logs which of two sends won."""
    return relay_effects.LogDecision(
        'send_overtaken',
        (
            ('request', exchange.request.attempt_id),
            ('runner', loser.runner_id),
            ('by', winner.runner_id),
            ('chain', dispatch.format_chain(loser.chain)),
            ('sent', loser.is_sent),
            ('last_event', exchange.last_event_id),
            ('silent_ms', int((now - loser.last_received_at) * 1000)),
        ),
    )
