"""Merge the instance list into what is known of the upstreams."""

import dataclasses
from collections import abc
from typing import TYPE_CHECKING

import immutables

from mustardvale.internal import (
    calls,
    effects,
    events,
    subsets,
    timers,
    transitions,
    upstreams,
)

if TYPE_CHECKING:
    from mustardvale.internal import state as states


def take_listed(
    listed: tuple[calls.ListedInstance, ...],
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Merge the rows of the instance list that are upstreams."""
    table = state.upstreams
    for row in listed:
        known = table.by_id.get(row.instance_id)
        if known is None:
            table = table.replace(upstreams.build(row, event.at))
        elif known.listed != row or known.replaces:
            table = table.replace(
                dataclasses.replace(known, listed=row, replaces=''),
            )
    present = {row.instance_id for row in listed}
    for upstream in tuple(table.by_id.values()):
        shown = {upstream.listed.instance_id, upstream.replaces}
        if not shown & present:
            table = table.without(upstream)
    table = rank_pools(state.identity.instance_id, table)
    return choose_polled(upstreams.with_table(state, table))


def rank_pools(
    entry_id: str, table: upstreams.UpstreamTable
) -> upstreams.UpstreamTable:
    """Rank the upstreams of each pool whose members have changed."""
    pools: dict[str, list[str]] = {}
    for instance_id, upstream in table.by_id.items():
        pools.setdefault(upstream.listed.pool, []).append(instance_id)
    ranked = {
        pool: table.ranked[pool]
        if frozenset(table.ranked.get(pool, ())) == frozenset(ids)
        else subsets.rank(entry_id, ids)
        for pool, ids in pools.items()
    }
    return dataclasses.replace(table, ranked=immutables.Map(ranked))


def choose_polled(
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Choose the upstreams that this instance uses and ask the new ones."""
    table = state.upstreams
    polled: set[str] = set()
    for ranked in table.ranked.values():
        polled |= subsets.choose(ranked, find_stages(ranked, table))
    asked: list[effects.Effect] = []
    for instance_id, upstream in tuple(table.by_id.items()):
        wanted = instance_id in polled
        if wanted == upstream.polled:
            continue
        table = table.replace(dataclasses.replace(upstream, polled=wanted))
        if wanted:
            asked.append(effects.SetTimer(timers.LoadDue(instance_id), 0))
        if wanted and upstream.report is not None:
            due = timers.CacheEventsDue(instance_id)
            asked.append(effects.SetTimer(due, 0))
    table = dataclasses.replace(table, polled_count=len(polled))
    return transitions.Transition(
        upstreams.with_table(state, table), tuple(asked)
    )


def find_stages(
    ids: tuple[str, ...],
    table: upstreams.UpstreamTable,
) -> dict[str, abc.Hashable]:
    """Return the stage of each upstream that has reported, by its id."""
    stages: dict[str, abc.Hashable] = {}
    for one in ids:
        report = table.by_id[one].report
        if report is not None:
            stages[one] = (
                report.model,
                report.version,
                report.first_layer,
                report.end_layer,
            )
    return stages
