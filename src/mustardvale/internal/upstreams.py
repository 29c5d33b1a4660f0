"""Track the state of the upstreams and eject failing ones."""

import dataclasses
import typing

import immutables

from mustardvale.internal import (
    calls,
    effects,
    events,
    placements,
    reducer,
    routing,
    step_latency,
    timers,
    transitions,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

EJECTION_SECONDS = 5.0
LONGEST_EJECTION_SECONDS = 80.0
# An ejection is short again if the previous one, at its longest, would have
# ended this long ago.
BACKOFF_RESET_SECONDS = 60.0
# At most one in this many members of a pool is ejected: if more fail at once,
# the cause is not the upstreams.
POOL_MEMBERS_PER_EJECTION = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """Describe one upstream by the list, its load report and observations.

    `is_polled` says whether it belongs to the subset that this instance uses.
    `ejected_until` is a monotonic time, 0 when not ejected; `ejection_count`
    counts ejections in close succession. `replaced_id` is the id of an earlier
    process that the list still shows at this address.
    """

    listed: calls.ListedInstance
    candidate: routing.Candidate
    report: calls.LoadReport | None = None
    reported_at: float = 0
    is_leaving: bool = False
    is_polled: bool = False
    ejected_at: float = 0
    ejected_until: float = 0
    ejection_count: int = 0
    latency: step_latency.StepLatency = step_latency.StepLatency()
    first_seen_at: float = 0
    replaced_id: str = ''

    @property
    def in_flight(self) -> int:
        """Return the number of unanswered steps or actions sent from here."""
        return self.candidate.in_flight


def build(row: calls.ListedInstance, now: float) -> Upstream:
    """Build an upstream from its row in the instance list."""
    candidate = routing.Candidate(row.instance_id)
    return Upstream(row, candidate, first_seen_at=now)


def is_in_use(upstream: Upstream) -> bool:
    """Return whether this instance sends new work, as of the last change."""
    return upstream.is_polled and not (
        upstream.is_leaving
        or upstream.listed.state is calls.ListedState.LEAVING
        or upstream.ejected_until
        or upstream.report is None
    )


def is_usable(upstream: Upstream, now: float) -> bool:
    """Return whether new work may be sent at a given time."""
    return not (
        upstream.is_leaving
        or upstream.listed.state is calls.ListedState.LEAVING
        or upstream.ejected_until > now
        or upstream.report is None
    )


def find_placement(upstream: Upstream) -> placements.RunnerPlacement | None:
    """Return the placement of a runner in use, otherwise `None`."""
    report = upstream.report
    if report is None or not is_in_use(upstream):
        return None
    if report.end_layer <= report.first_layer:
        return None
    return placements.RunnerPlacement(
        upstream.listed.pool,
        report.model,
        report.version,
        report.adapters,
        report.first_layer,
        report.end_layer,
    )


def holds_layers(
    upstream: Upstream,
    model_key: placements.ModelKey,
    layer_range: placements.LayerRange,
) -> bool:
    """Return whether a runner is in use and holds a range of layers."""
    placement = find_placement(upstream)
    if placement is None or model_key not in placement.model_keys:
        return False
    return (placement.first_layer, placement.end_layer) == (
        layer_range.first_layer,
        layer_range.end_layer,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamTable:
    """Hold all upstreams, indexed by id, address and placement.

    `ranked_by_pool` holds the ids of each pool in this instance's order of
    preference; `polled_count` is the number of upstreams that it polls.
    """

    by_id: immutables.Map[str, Upstream] = immutables.Map()
    id_by_address: immutables.Map[str, str] = immutables.Map()
    placement_index: placements.PlacementIndex = immutables.Map()
    ranked_by_pool: immutables.Map[str, tuple[str, ...]] = immutables.Map()
    polled_count: int = 0

    def at_address(self, address: str) -> Upstream | None:
        """Return the upstream at an address, if any."""
        return self.by_id.get(self.id_by_address.get(address, ''))

    def replace(self, upstream: Upstream) -> 'UpstreamTable':
        """Return the table with an upstream added or replaced."""
        listed = upstream.listed
        known = self.by_id.get(listed.instance_id)
        ids = self.id_by_address
        if known is None or known.listed.address != listed.address:
            ids = ids.set(listed.address, listed.instance_id)
        return dataclasses.replace(
            self,
            by_id=self.by_id.set(listed.instance_id, upstream),
            id_by_address=ids,
            placement_index=update_index(
                listed.instance_id,
                None if known is None else find_placement(known),
                find_placement(upstream),
                self.placement_index,
            ),
        )

    def replace_load(self, upstream: Upstream) -> 'UpstreamTable':
        """Return the table after a change that keeps the placement."""
        by_id = self.by_id.set(upstream.listed.instance_id, upstream)
        return dataclasses.replace(self, by_id=by_id)

    def without(self, upstream: Upstream) -> 'UpstreamTable':
        """Return the table without an upstream."""
        listed = upstream.listed
        ids = self.id_by_address
        if ids.get(listed.address) == listed.instance_id:
            ids = ids.delete(listed.address)
        placement = find_placement(upstream)
        return dataclasses.replace(
            self,
            by_id=self.by_id.delete(listed.instance_id),
            id_by_address=ids,
            placement_index=update_index(
                listed.instance_id, placement, None, self.placement_index
            ),
        )


def update_index(
    instance_id: str,
    before: placements.RunnerPlacement | None,
    after: placements.RunnerPlacement | None,
    index: placements.PlacementIndex,
) -> placements.PlacementIndex:
    """Return the index after a change of the placement of a runner."""
    if before == after:
        return index
    if before is not None:
        index = placements.remove_runner(instance_id, before, index)
    if after is not None:
        index = placements.add_runner(instance_id, after, index)
    return index


def with_table(state: 'states.State', table: UpstreamTable) -> 'states.State':
    """Replace the part of the state that this module owns."""
    return dataclasses.replace(state, upstreams=table)


def eject(
    address: str,
    event: events.Event,
    state: 'states.State',
    reason: str = 'failed',
) -> transitions.Transition['states.State']:
    """Stop sending new work to a failing upstream for a while.

    At most a third of a pool is ejected. Beyond that, a failing upstream goes
    through a slow start instead, so that it gets little work.
    """
    upstream = state.upstreams.at_address(address)
    if upstream is None or upstream.ejected_until:
        return transitions.Transition(state)
    pool = upstream.listed.pool
    if not may_eject(pool, state.upstreams):
        slowed = with_slow_start(upstream, event.at)
        return transitions.Transition(
            with_table(state, state.upstreams.replace_load(slowed)),
            (effects.Count('ejections_withheld', (pool,)),),
        )
    return start_ejection(upstream, event, state).with_effects(
        effects.Count('ejections', (pool,)),
        effects.LogChange(
            'upstream ejected',
            (('upstream', upstream.listed.instance_id), ('reason', reason)),
        ),
    )


def may_eject(pool: str, table: UpstreamTable) -> bool:
    """Return whether one more upstream of a pool may be ejected."""
    members = table.ranked_by_pool.get(pool, ())
    ejected = sum(
        bool(table.by_id[instance_id].ejected_until)
        for instance_id in members
        if instance_id in table.by_id
    )
    return (ejected + 1) * POOL_MEMBERS_PER_EJECTION <= len(members)


def with_slow_start(upstream: Upstream, now: float) -> Upstream:
    """Return an upstream whose share of work ramps up gradually."""
    candidate = dataclasses.replace(upstream.candidate, slow_start_at=now)
    return dataclasses.replace(upstream, candidate=candidate)


def start_ejection(
    upstream: Upstream,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Eject an upstream for twice as long as the previous time."""
    earlier_count = upstream.ejection_count
    if event.at - upstream.ejected_at > BACKOFF_RESET_SECONDS + (
        LONGEST_EJECTION_SECONDS
    ):
        earlier_count = 0
    seconds = min(
        EJECTION_SECONDS * 2**earlier_count,
        LONGEST_EJECTION_SECONDS,
    )
    ejected = dataclasses.replace(
        upstream,
        ejected_at=event.at,
        ejected_until=event.at + seconds,
        ejection_count=earlier_count + 1,
    )
    timer = timers.EjectionExpiry(upstream.listed.instance_id)
    return transitions.Transition(
        with_table(state, state.upstreams.replace(ejected)),
        (effects.SetTimer(timer, seconds),),
    )


@reducer.on_timer.register(timers.EjectionExpiry)
def end_ejection(
    timer: timers.EjectionExpiry,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """End an ejection, or extend it if the upstream has not reported since."""
    upstream = state.upstreams.by_id.get(timer.instance_id)
    if upstream is None or not upstream.ejected_until:
        return transitions.Transition(state)
    if upstream.is_polled and upstream.reported_at <= upstream.ejected_at:
        return start_ejection(upstream, event, state)
    returned = dataclasses.replace(
        with_slow_start(upstream, event.at),
        ejected_until=0,
        latency=step_latency.StepLatency(),
    )
    return transitions.Transition(
        with_table(state, state.upstreams.replace(returned)),
        (
            effects.LogChange(
                'upstream readmitted after ejection',
                (('upstream', timer.instance_id),),
            ),
        ),
    )


def mark_leaving_at(address: str, state: 'states.State') -> 'states.State':
    """Mark the upstream at an address as leaving."""
    upstream = state.upstreams.at_address(address)
    if upstream is None:
        return state
    return mark_leaving_ids((upstream.listed.instance_id,), state)


def mark_leaving_ids(
    instance_ids: tuple[str, ...],
    state: 'states.State',
) -> 'states.State':
    """Mark upstreams as leaving, so that they get no new work."""
    table = state.upstreams
    for instance_id in instance_ids:
        upstream = table.by_id.get(instance_id)
        if upstream is not None and not upstream.is_leaving:
            table = table.replace(
                dataclasses.replace(upstream, is_leaving=True)
            )
    return with_table(state, table)


def add_in_flight(
    address: str,
    amount: int,
    state: 'states.State',
) -> 'states.State':
    """Change the count of unanswered steps or actions of an upstream."""
    upstream = state.upstreams.at_address(address)
    if upstream is None:
        return state
    candidate = dataclasses.replace(
        upstream.candidate,
        in_flight=max(upstream.in_flight + amount, 0),
    )
    changed = dataclasses.replace(upstream, candidate=candidate)
    return with_table(state, state.upstreams.replace_load(changed))


def add_latency_sample(
    address: str,
    call: calls.RunSteps,
    seconds: float,
    state: 'states.State',
) -> 'states.State':
    """Record the duration of a step call to an upstream."""
    upstream = state.upstreams.at_address(address)
    if upstream is None or not seconds:
        return state
    prefill = step_latency.estimate_prefill_seconds(
        call, upstream.candidate.step_seconds
    )
    latency = step_latency.add_sample(
        upstream.latency, max(seconds - prefill, 0)
    )
    candidate = dataclasses.replace(
        upstream.candidate,
        latency_seconds=latency.mean_seconds,
    )
    changed = dataclasses.replace(
        upstream, latency=latency, candidate=candidate
    )
    return with_table(state, state.upstreams.replace_load(changed))
