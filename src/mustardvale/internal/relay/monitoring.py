"""Look after open requests at a fixed pace.

One timer for all of them replaces several for each: what waits is tried
again, what has no time left is ended, and what is silent goes elsewhere.
"""

import dataclasses
import typing

import immutables

from mustardvale.internal import effects, events, transitions
from mustardvale.internal.relay import (
    dispatch,
    completion,
    exchanges,
    loads,
    moves,
    reducer,
    runners,
    timers,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

MONITOR_PERIOD_SECONDS = 0.04


# A plain request without an answer after this share of its target time goes
# to another runner, which can still be on time.
MAXIMUM_SILENCE_TARGET_SHARE = 0.6
# A stream that is silent for this long starts again elsewhere, even when its
# first runner reports no fault; callers leave after two seconds. A fault is
# reported earlier, and starting again costs time at every part.
MAXIMUM_STREAM_SILENCE_SECONDS = 1.2
# Parts of a chain that carried another stream this recently are not suspected.
RECENT_EVENT_SECONDS = 0.25
# An instance that looks this late was suspended or had no processor time, and
# has yet to read what came meanwhile.
LATE_TICK_SECONDS = 0.15
MAXIMUM_GRACE_SECONDS = 0.5
SUSPECT_AVOID_SECONDS = 0.5


@reducer.on_timer.register(timers.ExchangesDue)
def check_exchanges(
    timer: timers.ExchangesDue,
    event: events.TimerFired,
    state: 'states.State',
) -> reducer.Transition:
    """Look at every open request."""
    held_up_until = state.held_up_until
    gap = event.at - (state.looked_at or event.at)
    if gap > LATE_TICK_SECONDS:
        held_up_until = event.at + min(gap, MAXIMUM_GRACE_SECONDS)
    return transitions.Transition(
        dataclasses.replace(
            state,
            looked_at=event.at,
            held_up_until=held_up_until,
            heard=find_last_receipts(state),
            mean_loads=loads.average(
                state.loads, state.mean_loads, MONITOR_PERIOD_SECONDS
            ),
        ),
        (effects.SetTimer(timer, MONITOR_PERIOD_SECONDS),),
    ).then_each(
        state.exchanges,
        lambda request_id, next_state: check_exchange(
            request_id, event.at, next_state
        ),
    )


def find_last_receipts(state: 'states.State') -> immutables.Map[str, float]:
    """Return when something last came through each runner."""
    heard: dict[str, float] = {}
    for exchange in state.exchanges.values():
        for attempt in exchange.attempts:
            if attempt.first_heard_at is None:
                continue
            for part in attempt.chain:
                heard[part.runner_id] = max(
                    heard.get(part.runner_id, 0.0), attempt.heard_at
                )
    return immutables.Map(heard)


def check_exchange(
    request_id: str, now: float, state: 'states.State'
) -> reducer.Transition:
    """Look at one request, unless it has just ended with another."""
    exchange = state.exchanges.get(request_id)
    if exchange is None:
        return transitions.Transition(state)
    if now >= exchange.due_at:
        return completion.fail_exchange(exchange, 'no time is left', now, state)
    if not exchange.attempts:
        if not dispatch.is_search_due(exchange, now):
            return transitions.Transition(state)
        return dispatch.try_send(exchange, now, state)
    attempt = exchange.attempts[-1]
    waits = exchange.blocked or not exchange.route.repeatable
    if waits or now < state.held_up_until:
        return transitions.Transition(state)
    look_further = (
        check_stream_attempt if attempt.chain else check_plain_attempt
    )
    return look_further(exchange, attempt, now, state)


def check_plain_attempt(
    exchange: exchanges.Exchange,
    attempt: exchanges.Attempt,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Send a plain request elsewhere whose runner is silent for long."""
    limit = exchange.route.target_seconds * MAXIMUM_SILENCE_TARGET_SHARE
    if now - attempt.heard_at < limit:
        return transitions.Transition(state)
    return moves.restart_elsewhere(exchange, attempt, 'silent', now, state)


def check_stream_attempt(
    exchange: exchanges.Exchange,
    attempt: exchanges.Attempt,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Find out why a stream is silent, and move it in time."""
    silent = now - attempt.heard_at
    if silent < MAXIMUM_STREAM_SILENCE_SECONDS:
        return moves.probe_first_runner(attempt, now, state)
    return moves.restart_elsewhere(
        exchange, attempt, 'silent', now, avoid_suspects(attempt, now, state)
    )


def avoid_suspects(
    attempt: exchanges.Attempt, now: float, state: 'states.State'
) -> 'states.State':
    """Let others go before the parts that may be the cause of silence."""
    table = state.runners
    for part in attempt.chain:
        if now - state.heard.get(part.runner_id, 0.0) >= RECENT_EVENT_SECONDS:
            table = runners.avoid(
                table, part.runner_id, now + SUSPECT_AVOID_SECONDS
            )
    return dataclasses.replace(state, runners=table)
