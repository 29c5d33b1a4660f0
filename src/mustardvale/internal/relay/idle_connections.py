"""Bound how long a kept connection may rest before it is used again.

An upstream may drop an idle connection without a word, sooner than it says;
the request that is sent next on it is reset, and nobody knows whether it ran.
How long connections may rest is learned from such resets.
"""

import dataclasses
import typing

from mustardvale.internal import effects, events, transitions
from mustardvale.internal.relay import effects as relay_effects
from mustardvale.internal.relay import reducer, timers

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

MAXIMUM_IDLE_SECONDS = 16.0
# A connection that was reset after some time may have been dropped at any
# moment of it.
SAFE_IDLE_SHARE = 0.5
# Below this a reset has another cause than rest.
MINIMUM_IDLE_SECONDS = 0.05
RAISE_PERIOD_SECONDS = 10.0
RAISE_FACTOR = 2.0


def record_reset(
    idle_seconds: float, state: 'states.State'
) -> reducer.Transition:
    """Learn from a kept connection that broke before any answer."""
    if idle_seconds < MINIMUM_IDLE_SECONDS:
        return transitions.Transition(state)
    limit = max(idle_seconds * SAFE_IDLE_SHARE, MINIMUM_IDLE_SECONDS)
    if limit >= state.maximum_idle_seconds:
        return transitions.Transition(state)
    return set_idle_limit(limit, state).with_effects(
        relay_effects.LogDecision(
            'rest_limited',
            (
                ('rested_ms', int(idle_seconds * 1000)),
                ('limit_ms', int(limit * 1000)),
            ),
        )
    )


def set_idle_limit(
    limit_seconds: float, state: 'states.State'
) -> reducer.Transition:
    """Put a limit in force; it is raised again after a while."""
    changed = dataclasses.replace(state, maximum_idle_seconds=limit_seconds)
    asked: tuple[effects.Effect, ...] = (
        relay_effects.LimitRest(limit_seconds),
    )
    if limit_seconds < MAXIMUM_IDLE_SECONDS:
        asked += (
            effects.SetTimer(timers.IdleLimitDue(), RAISE_PERIOD_SECONDS),
        )
    return transitions.Transition(changed, asked)


@reducer.on_timer.register(timers.IdleLimitDue)
def raise_idle_limit(
    timer: timers.IdleLimitDue, event: events.TimerFired, state: 'states.State'
) -> reducer.Transition:
    """Raise the limit, since nothing was reset meanwhile."""
    limit = min(state.maximum_idle_seconds * RAISE_FACTOR, MAXIMUM_IDLE_SECONDS)
    return set_idle_limit(limit, state)
