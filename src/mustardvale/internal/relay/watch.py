"""Look after open requests at a fixed pace.

One timer for all of them replaces several for each: what waits is tried
again, what has no time left is ended, and what is silent goes elsewhere.
"""

import dataclasses
import typing

from mustardvale.internal import effects, events, transitions
from mustardvale.internal.relay import (
    answers,
    dispatch,
    endings,
    exchanges,
    reducer,
    timers,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

PERIOD_SECONDS = 0.04


@reducer.on_timer.register(timers.ExchangesDue)
def look(
    timer: timers.ExchangesDue,
    event: events.TimerFired,
    state: 'states.State',
) -> reducer.Transition:
    """Look at every open request."""
    looked: reducer.Transition = transitions.Transition(
        state, (effects.SetTimer(timer, PERIOD_SECONDS),)
    )
    for request_id in state.exchanges:
        exchange = looked.state.exchanges.get(request_id)
        if exchange is not None:
            looked = looked.then(
                lambda next_state, chosen=exchange: look_at(
                    chosen, event.at, next_state
                )
            )
    return looked


def look_at(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> reducer.Transition:
    """Look at one request."""
    if now >= exchange.due_at:
        return endings.fail(exchange, 'no time is left', now, state)
    if not exchange.attempts:
        return dispatch.try_send(exchange, now, state)
    return look_at_silence(exchange, now, state)


def look_at_silence(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> reducer.Transition:
    """Go on elsewhere with a request whose upstream is silent for long."""
    attempt = exchange.attempts[-1]
    if exchange.blocked or not exchange.route.repeatable:
        return transitions.Transition(state)
    if now - attempt.heard_at < silence_limit(exchange):
        return transitions.Transition(state)
    if not may_replace(exchange, now, state):
        return transitions.Transition(state)
    found = answers.Open(exchange, attempt)
    return answers.replace_failed(found, 'silent', now, state)


# A request without an answer after this share of its target time goes to
# another runner, which can still be on time.
SILENT_TARGET_SHARE = 0.6
# A stream may pause for longer than an answer is late before it is moved:
# moving costs another read of the prompt.
SILENT_GAP_FACTOR = 2.0


def silence_limit(exchange: exchanges.Exchange) -> float:
    """Return how long an upstream may be silent, in seconds."""
    if exchange.streaming:
        return exchange.route.gap_seconds * SILENT_GAP_FACTOR
    return exchange.route.target_seconds * SILENT_TARGET_SHARE


def may_replace(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> bool:
    """Return whether another send may take the place of a silent one."""
    attempt = exchange.attempts[-1]
    rest = answers.note_failure(
        exchanges.without_attempt(exchange, attempt.send_id),
        attempt,
        'silent',
    )
    if not dispatch.may_repeat(rest, now, state):
        return False
    others = dataclasses.replace(
        rest,
        tried=rest.tried | {part.runner_id for part in attempt.chain},
    )
    return dispatch.choose(others, now, state) is not None
