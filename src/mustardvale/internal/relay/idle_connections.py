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

LONGEST_REST_SECONDS = 16.0
# A connection that was reset after some time may have been dropped at any
# moment of it.
LEARNED_SHARE = 0.5
# Below this a reset has another cause than rest.
SHORTEST_REST_SECONDS = 0.05
RELAX_SECONDS = 10.0
RELAX_FACTOR = 2.0


def note_reset(
    rested_seconds: float, state: 'states.State'
) -> reducer.Transition:
    """Learn from a kept connection that broke before any answer."""
    if rested_seconds < SHORTEST_REST_SECONDS:
        return transitions.Transition(state)
    limit = max(rested_seconds * LEARNED_SHARE, SHORTEST_REST_SECONDS)
    if limit >= state.longest_rest:
        return transitions.Transition(state)
    return change(limit, state).with_effects(
        relay_effects.LogDecision(
            'rest_limited',
            (
                ('rested_ms', int(rested_seconds * 1000)),
                ('limit_ms', int(limit * 1000)),
            ),
        )
    )


def change(limit: float, state: 'states.State') -> reducer.Transition:
    """Put a limit in force; it is raised again after a while."""
    changed = dataclasses.replace(state, longest_rest=limit)
    asked: tuple[effects.Effect, ...] = (relay_effects.LimitRest(limit),)
    if limit < LONGEST_REST_SECONDS:
        asked += (effects.SetTimer(timers.RestDue(), RELAX_SECONDS),)
    return transitions.Transition(changed, asked)


@reducer.on_timer.register(timers.RestDue)
def relax(
    timer: timers.RestDue, event: events.TimerFired, state: 'states.State'
) -> reducer.Transition:
    """Raise the limit, since nothing was reset meanwhile."""
    limit = min(state.longest_rest * RELAX_FACTOR, LONGEST_REST_SECONDS)
    return change(limit, state)
