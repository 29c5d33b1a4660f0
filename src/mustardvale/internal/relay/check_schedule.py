"""Schedule the next check of the open requests.

One timer serves all requests. It is due when the first of them can need a check,
so that an instance with few requests, or with streams that make progress, is
rarely woken.
"""

import dataclasses
import typing

from mustardvale.internal import effects, transitions
from mustardvale.internal.relay import reducer, timers

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

# Shortest and longest time between two checks.
MINIMUM_CHECK_SECONDS = 0.04
MAXIMUM_CHECK_SECONDS = 0.5


def request_check(now: float, state: 'states.State') -> reducer.Transition:
    """Check the requests soon, unless a check is due by then."""
    due_at = now + MINIMUM_CHECK_SECONDS
    if state.check_due_at <= due_at:
        return transitions.Transition(state)
    return set_check(due_at, now, state)


def set_check(
    due_at: float, now: float, state: 'states.State'
) -> reducer.Transition:
    """Set the time of the next check, within the limits."""
    delay = min(max(due_at - now, MINIMUM_CHECK_SECONDS), MAXIMUM_CHECK_SECONDS)
    return transitions.Transition(
        dataclasses.replace(state, check_due_at=now + delay),
        (effects.SetTimer(timers.ExchangeCheckDue(), delay),),
    )
