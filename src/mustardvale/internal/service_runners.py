"""Choose the runner of a plain service for one operation."""

import dataclasses
import typing

from mustardvale.internal import routing, upstreams

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states


@dataclasses.dataclass(frozen=True, slots=True)
class ChosenRunner:
    """Hold the address of the chosen runner, empty if none is usable.

    `state` contains the seed for the next random draw.
    """

    address: str
    state: 'states.State'


def choose_runner(
    pool: str,
    excluded: frozenset[str],
    now: float,
    state: 'states.State',
) -> ChosenRunner:
    """Choose a usable runner of a pool whose address is not excluded."""
    candidates = tuple(
        build_candidate(upstream)
        for upstream in state.upstreams.by_id.values()
        if upstream.listed.pool == pool
        and upstream.listed.address not in excluded
        and upstreams.is_usable(upstream, now)
    )
    if not candidates:
        return ChosenRunner('', state)
    choice = routing.choose(state.policy, candidates, state.seed)
    chosen = state.upstreams.by_id[choice.candidate.instance_id]
    return ChosenRunner(
        chosen.listed.address,
        dataclasses.replace(state, seed=choice.seed),
    )


def build_candidate(upstream: upstreams.Upstream) -> routing.Candidate:
    """Build the description of a runner for a routing policy."""
    report = upstream.report
    assert report is not None, 'only reported upstreams are usable'
    return routing.Candidate(
        instance_id=upstream.listed.instance_id,
        in_flight=upstream.in_flight,
        queued=report.queued,
        step_seconds=report.step_seconds,
    )
