"""Poll the instance list and merge it into the state."""

import dataclasses
import typing
from collections import abc

import immutables

from mustardvale.internal import (
    calls,
    effects,
    events,
    membership,
    reducer,
    subsets,
    timers,
    transitions,
    upstreams,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

LIST_PERIOD_SECONDS = 1.0
# The list cannot be read incrementally, so a long list is read less often.
# Heartbeats, load reports and failed calls show urgent changes earlier.
LIST_ROW_BYTES = 200
LIST_BYTES_PER_SECOND = 4000
FREQUENTLY_READ_ROWS = 100
LIST_TIMEOUT_SECONDS = 3.0


@reducer.on_timer.register(timers.InstanceListDue)
def request_list(
    timer: timers.InstanceListDue,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Fetch the instance list."""
    call = effects.Call(
        calls.ListInstances(),
        state.membership.list_address,
        LIST_TIMEOUT_SECONDS,
    )
    return transitions.Transition(state, (call,))


@reducer.on_answer.register(calls.ListInstances)
def handle_list(
    call: calls.ListInstances,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Merge the instance list and schedule the next read."""
    if not isinstance(event.answer, calls.InstancesListed):
        return retry_list(state)
    rows = event.answer.instances
    period = compute_list_period_seconds(len(rows))
    next_read = effects.SetTimer(timers.InstanceListDue(), period)
    entries = tuple(row for row in rows if row.pool == membership.ENTRY_POOL)
    others = tuple(row for row in rows if row.pool != membership.ENTRY_POOL)
    return (
        membership.merge_entries(entries, event, state)
        .then(lambda current: membership.update_limit_shares(event.at, current))
        .then(lambda current: merge_upstreams(others, event, current))
        .with_effects(next_read)
    )


@reducer.on_failure.register(calls.ListInstances)
def handle_list_failure(
    call: calls.ListInstances,
    event: events.CallFailed,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Keep the last list and schedule the next read."""
    return retry_list(state)


def compute_list_period_seconds(rows: int) -> float:
    """Return the period at which a list with this many rows is read."""
    counted_rows = rows - FREQUENTLY_READ_ROWS
    seconds = counted_rows * LIST_ROW_BYTES / LIST_BYTES_PER_SECOND
    return max(LIST_PERIOD_SECONDS, seconds)


def retry_list(
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Count a failed read of the list and schedule the next one."""
    next_read = effects.SetTimer(timers.InstanceListDue(), LIST_PERIOD_SECONDS)
    return transitions.Transition(
        state,
        (next_read, effects.Count('list_failures')),
    )


def merge_upstreams(
    listed: tuple[calls.ListedInstance, ...],
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Merge the rows of upstreams into the table."""
    table = state.upstreams
    for row in listed:
        known = table.by_id.get(row.instance_id)
        if known is None:
            table = table.replace(upstreams.build(row, event.at))
        elif known.listed != row or known.replaced_id:
            table = table.replace(
                dataclasses.replace(known, listed=row, replaced_id=''),
            )
    present = {row.instance_id for row in listed}
    for upstream in tuple(table.by_id.values()):
        listed_ids = {upstream.listed.instance_id, upstream.replaced_id}
        if not listed_ids & present:
            table = table.without(upstream)
    table = rank_pools(state.identity.instance_id, table)
    return choose_polled(upstreams.with_table(state, table))


def rank_pools(
    entry_id: str, table: upstreams.UpstreamTable
) -> upstreams.UpstreamTable:
    """Rank the upstreams of each pool, reusing ranks of unchanged pools."""
    pools: dict[str, list[str]] = {}
    for instance_id, upstream in table.by_id.items():
        pools.setdefault(upstream.listed.pool, []).append(instance_id)
    ranked = {
        pool: table.ranked_by_pool[pool]
        if frozenset(table.ranked_by_pool.get(pool, ())) == frozenset(ids)
        else subsets.rank(entry_id, ids)
        for pool, ids in pools.items()
    }
    return dataclasses.replace(table, ranked_by_pool=immutables.Map(ranked))


def choose_polled(
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Choose the upstreams that this instance uses and poll the new ones."""
    table = state.upstreams
    entries = len(state.membership.ring.ids)
    polled: set[str] = set()
    for ranked in table.ranked_by_pool.values():
        stages = find_stages(ranked, table)
        polled |= subsets.choose(ranked, stages, entries)
    scheduled: list[effects.Effect] = []
    for instance_id, upstream in tuple(table.by_id.items()):
        is_wanted = instance_id in polled
        if is_wanted == upstream.is_polled:
            continue
        table = table.replace(
            dataclasses.replace(upstream, is_polled=is_wanted)
        )
        if is_wanted:
            scheduled.append(
                effects.SetTimer(timers.LoadReportDue(instance_id), 0)
            )
        if is_wanted and upstream.report is not None:
            due = timers.CacheEventsDue(instance_id)
            scheduled.append(effects.SetTimer(due, 0))
    table = dataclasses.replace(table, polled_count=len(polled))
    return transitions.Transition(
        upstreams.with_table(state, table), tuple(scheduled)
    )


def find_stages(
    ids: tuple[str, ...],
    table: upstreams.UpstreamTable,
) -> dict[str, abc.Hashable]:
    """Return the stages of the upstreams that have reported, by id."""
    stages: dict[str, abc.Hashable] = {}
    for instance_id in ids:
        report = table.by_id[instance_id].report
        if report is not None:
            stages[instance_id] = (
                report.model,
                report.version,
                report.first_layer,
                report.end_layer,
            )
    return stages
