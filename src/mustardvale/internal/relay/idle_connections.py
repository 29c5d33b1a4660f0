"""Limit how long a connection may be idle before it is reused.

An upstream may drop an idle connection silently, and sooner than it announces.
The next request on it is reset, and it is unknown whether that request ran. The
limit adapts to such resets: each lowers it, and it is raised step by step while
none occurs.
"""

import dataclasses
import typing

from mustardvale.internal import effects, events, transitions
from mustardvale.internal.relay import effects as relay_effects
from mustardvale.internal.relay import reducer, timers

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

MAXIMUM_IDLE_SECONDS = 16.0
# The limit after a reset, as a share of the time that the connection was idle.
# The upstream may have dropped it at any moment of that time.
SAFE_IDLE_SHARE = 0.5
# Resets after a shorter idle time have another cause.
MINIMUM_IDLE_SECONDS = 0.05
RAISE_PERIOD_SECONDS = 10.0
RAISE_FACTOR = 2.0


def record_reset(
    idle_seconds: float, state: 'states.State'
) -> reducer.Transition:
    """Lower the limit after a reset of a reused connection, if necessary."""
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
    """Set the limit, and a timer to raise it again below the maximum."""
    next_state = dataclasses.replace(state, maximum_idle_seconds=limit_seconds)
    limit_effects: tuple[effects.Effect, ...] = (
        relay_effects.LimitRest(limit_seconds),
    )
    if limit_seconds < MAXIMUM_IDLE_SECONDS:
        limit_effects += (
            effects.SetTimer(timers.IdleLimitRaiseDue(), RAISE_PERIOD_SECONDS),
        )
    return transitions.Transition(next_state, limit_effects)


@reducer.on_timer.register(timers.IdleLimitRaiseDue)
def raise_idle_limit(
    timer: timers.IdleLimitRaiseDue,
    event: events.TimerFired,
    state: 'states.State',
) -> reducer.Transition:
    """Raise the limit after a time without a lower one."""
    limit = min(state.maximum_idle_seconds * RAISE_FACTOR, MAXIMUM_IDLE_SECONDS)
    return set_idle_limit(limit, state)
