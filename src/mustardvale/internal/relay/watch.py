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
    endings,
    exchanges,
    loads,
    moves,
    reducer,
    runners,
    timers,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

PERIOD_SECONDS = 0.04


# A plain request without an answer after this share of its target time goes
# to another runner, which can still be on time.
SILENT_TARGET_SHARE = 0.6
# A stream that is silent for this long starts again elsewhere, even when its
# first runner reports no fault; callers leave after two seconds. A fault is
# reported earlier, and starting again costs time at every part.
SILENT_STREAM_SECONDS = 1.2
# Parts of a chain that carried another stream this recently are not suspected.
HEARD_SECONDS = 0.25
# An instance that looks this late was suspended or had no processor time, and
# has yet to read what came meanwhile.
HELD_UP_SECONDS = 0.15
LONGEST_CALM_SECONDS = 0.5
SUSPECT_SECONDS = 0.5


@reducer.on_timer.register(timers.ExchangesDue)
def look(
    timer: timers.ExchangesDue,
    event: events.TimerFired,
    state: 'states.State',
) -> reducer.Transition:
    """Look at every open request."""
    held_up_until = state.held_up_until
    gap = event.at - (state.looked_at or event.at)
    if gap > HELD_UP_SECONDS:
        held_up_until = event.at + min(gap, LONGEST_CALM_SECONDS)
    return transitions.Transition(
        dataclasses.replace(
            state,
            looked_at=event.at,
            held_up_until=held_up_until,
            heard=note_heard(state),
            mean_loads=loads.average(
                state.loads, state.mean_loads, PERIOD_SECONDS
            ),
        ),
        (effects.SetTimer(timer, PERIOD_SECONDS),),
    ).then_each(
        state.exchanges,
        lambda request_id, next_state: look_at(
            request_id, event.at, next_state
        ),
    )


def note_heard(state: 'states.State') -> immutables.Map[str, float]:
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


def look_at(
    request_id: str, now: float, state: 'states.State'
) -> reducer.Transition:
    """Look at one request, unless it has just ended with another."""
    exchange = state.exchanges.get(request_id)
    if exchange is None:
        return transitions.Transition(state)
    if now >= exchange.due_at:
        return endings.fail(exchange, 'no time is left', now, state)
    if not exchange.attempts:
        if not dispatch.is_searching_again(exchange, now):
            return transitions.Transition(state)
        return dispatch.try_send(exchange, now, state)
    attempt = exchange.attempts[-1]
    waits = exchange.blocked or not exchange.route.repeatable
    if waits or now < state.held_up_until:
        return transitions.Transition(state)
    look_further = look_at_stream if attempt.chain else look_at_plain
    return look_further(exchange, attempt, now, state)


def look_at_plain(
    exchange: exchanges.Exchange,
    attempt: exchanges.Attempt,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Send a plain request elsewhere whose runner is silent for long."""
    limit = exchange.route.target_seconds * SILENT_TARGET_SHARE
    if now - attempt.heard_at < limit:
        return transitions.Transition(state)
    return moves.start_again(exchange, attempt, 'silent', now, state)


def look_at_stream(
    exchange: exchanges.Exchange,
    attempt: exchanges.Attempt,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Find out why a stream is silent, and move it in time."""
    silent = now - attempt.heard_at
    if silent < SILENT_STREAM_SECONDS:
        return moves.probe(attempt, now, state)
    return moves.start_again(
        exchange, attempt, 'silent', now, suspect(attempt, now, state)
    )


def suspect(
    attempt: exchanges.Attempt, now: float, state: 'states.State'
) -> 'states.State':
    """Let others go before the parts that may be the cause of silence."""
    table = state.runners
    for part in attempt.chain:
        if now - state.heard.get(part.runner_id, 0.0) >= HEARD_SECONDS:
            table = runners.avoid(table, part.runner_id, now + SUSPECT_SECONDS)
    return dataclasses.replace(state, runners=table)
