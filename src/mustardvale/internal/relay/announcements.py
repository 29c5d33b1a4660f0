"""Record what an upstream says of itself in its answers.

An upstream that leaves says so in all its answers, and one that turns requests
away may ask to get none for a time. Its own word goes before its entry in the
list, which may be older, and holds while the store is away. It belongs to one
process: the next one that is listed under the same id starts without it.
"""

import dataclasses
import typing

from mustardvale.internal import draws, effects, transitions
from mustardvale.internal.relay import effects as relay_effects
from mustardvale.internal.relay import (
    check_schedule,
    pace_tracking,
    reducer,
    requests,
    runners,
    upstream_pace,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

# The instances that an upstream has asked to wait, and the callers that they
# refuse meanwhile, return at different moments within this share of the wait
# after its end.
RETURN_SPREAD_SHARE = 0.2
MAXIMUM_RETURN_SPREAD_SECONDS = 2.0


def record_announcement(
    runner_id: str,
    announcement: requests.Announcement,
    now: float,
    state: 'states.State',
    process_started_at_ms: int | None = None,
) -> reducer.Transition:
    """Record an announcement, unless another process has made it."""
    runner = state.runners.get(runner_id)
    if runner is None or announcement == requests.NO_ANNOUNCEMENT:
        return transitions.Transition(state)
    listed_at_ms = runner.listed.started_at_ms
    if process_started_at_ms not in {None, listed_at_ms}:
        return transitions.Transition(state)
    ignored = ignore_malformed(runner_id, announcement, state)
    return ignored.then(
        lambda current: record_leaving(runner, announcement, now, current)
    ).then(lambda current: record_wait(runner, announcement, now, current))


def ignore_malformed(
    runner_id: str, announcement: requests.Announcement, state: 'states.State'
) -> reducer.Transition:
    """Count and log the headers of an announcement that are malformed."""
    log_effects = tuple(
        relay_effects.LogDecision(
            'announcement_ignored', (('runner', runner_id), ('header', header))
        )
        for header in announcement.malformed
    )
    counts = tuple(
        effects.Count('malformed_announcements', (header,))
        for header in announcement.malformed
    )
    return transitions.Transition(state, counts + log_effects)


def record_leaving(
    runner: runners.Runner,
    announcement: requests.Announcement,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Record that the process of an upstream leaves."""
    if runner.is_leaving or not announcement.is_leaving:
        return transitions.Transition(state)
    runner_id = runner.listed.runner_id
    runner_map = runners.record_leaving(state.runners, runner_id)
    # The check withdraws the sends that still wait for a connection.
    return check_schedule.request_check(
        now, dataclasses.replace(state, runners=runner_map)
    ).with_effects(
        effects.Count('runner_announcements', ('leaving',)),
        relay_effects.LogDecision(
            'runner_leaving',
            (
                ('runner', runner_id),
                ('listed_state', runner.listed.state.value),
                ('listed', runner.delisted_at is None),
            ),
        ),
    )


def record_wait(
    runner: runners.Runner,
    announcement: requests.Announcement,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Record until when an upstream asks to get no requests."""
    asked_seconds = announcement.retry_after_seconds
    if not asked_seconds:
        return transitions.Transition(state)
    drawn = draws.draw(state.seed)
    granted_seconds = min(
        asked_seconds, state.limits.maximum_upstream_wait_seconds
    )
    seconds = compute_wait_seconds(granted_seconds, drawn.fraction)
    runner_id = runner.listed.runner_id
    waiting = dataclasses.replace(
        state,
        seed=drawn.seed,
        runners=runners.record_wait(
            state.runners,
            runner_id,
            now + seconds,
            compute_return_spread(granted_seconds),
        ),
    )
    if runner.waits_until > now:
        return transitions.Transition(waiting)
    limited = pace_tracking.begin(
        (runner_id,), upstream_pace.PaceKind.RETURNED, now, waiting
    )
    return check_schedule.request_check(now, limited).with_effects(
        effects.Count('runner_announcements', ('wait',)),
        relay_effects.LogDecision(
            'runner_asks_to_wait',
            (
                ('runner', runner_id),
                ('asked_ms', int(asked_seconds * 1000)),
                ('wait_ms', int(seconds * 1000)),
            ),
        ),
    )


def compute_wait_seconds(asked_seconds: float, random_fraction: float) -> float:
    """Return the time to wait, `random_fraction` of the spread longer."""
    spread = compute_return_spread(asked_seconds)
    return asked_seconds + spread * random_fraction


def compute_return_spread(asked_seconds: float) -> float:
    """Return for how long after a wait instances and callers return."""
    return min(
        asked_seconds * RETURN_SPREAD_SHARE, MAXIMUM_RETURN_SPREAD_SECONDS
    )
