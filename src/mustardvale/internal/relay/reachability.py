"""Probe upstreams that were unreachable until they answer again.

A sound upstream may be silent for a second or so and go on. Its requests have
then gone elsewhere, so that only a probe shows its return.
"""

import dataclasses
import typing

from mustardvale.internal import effects, events, transitions
from mustardvale.internal.relay import calls, reducer, runners, timers

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

PROBE_TIMEOUT_SECONDS = 0.25
RECOVERY_PROBE_SECONDS = 0.4


def probe_runner(
    runner: runners.Runner, now: float, state: 'states.State'
) -> reducer.Transition:
    """Ask a runner for a report."""
    runner_id = runner.listed.runner_id
    return transitions.Transition(
        dataclasses.replace(
            state, probed_at=state.probed_at.set(runner_id, now)
        ),
        (
            effects.Call(
                calls.ProbeRunner(runner_id),
                runner.listed.address,
                PROBE_TIMEOUT_SECONDS,
            ),
            effects.Count('probes', ()),
        ),
    )


def record_unreachable(
    runner_id: str, until: float, state: 'states.State'
) -> reducer.Transition:
    """Record that a runner is avoided, and schedule another probe."""
    runner_map = runners.record_unreachable(state.runners, runner_id, until)
    return transitions.Transition(
        dataclasses.replace(state, runners=runner_map),
        (
            effects.SetTimer(
                timers.RecoveryProbeDue(runner_id), RECOVERY_PROBE_SECONDS
            ),
        ),
    )


@reducer.on_timer.register(timers.RecoveryProbeDue)
def probe_again(
    timer: timers.RecoveryProbeDue,
    event: events.TimerFired,
    state: 'states.State',
) -> reducer.Transition:
    """Probe a runner that is listed and still excluded."""
    runner = state.runners.get(timer.runner_id)
    if runner is None or not runner.is_usable:
        return transitions.Transition(state)
    if runner.excluded_until <= event.at or not runner.unreachable_until:
        return transitions.Transition(state)
    return probe_runner(runner, event.at, state)
