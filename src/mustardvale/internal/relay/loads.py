"""Count the work that this instance has at each upstream.

Load reports of upstreams lag, and asking for them is dear, so each instance
counts what it sent itself and takes the other instances to send what it sent
itself on average. The count of the moment times the number of instances would
differ by several times: an instance has a few requests at a runner.
"""

import dataclasses
import itertools
import typing

import immutables

from mustardvale.internal.relay import requests


# The mean over this time has some tens of requests in it.
AVERAGING_SECONDS = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Hold requests in flight, those begun there, and tokens times layers."""

    request_count: float = 0
    entry_request_count: float = 0
    token_layers: float = 0.0


NO_LOAD = Load()
NEGLIGIBLE_REQUESTS = 0.001
# Links between zones are counted beside runners; no id has this mark.
LINK_SEPARATOR = '<>'
LoadMap: typing.TypeAlias = 'immutables.Map[str, Load]'


def add_chain(
    table: LoadMap, chain: requests.Chain, tokens: float, sign: int
) -> LoadMap:
    """Add a request on a chain, or take it away with a sign of -1."""
    for index, part in enumerate(chain):
        load = table.get(part.runner_id, NO_LOAD)
        layers = part.end_layer - part.first_layer
        table = set_load(
            table,
            part.runner_id,
            Load(
                load.request_count + sign,
                load.entry_request_count + sign * (index == 0),
                max(load.token_layers + sign * tokens * layers, 0.0),
            ),
        )
    for link in list_zone_links(chain):
        known = table.get(link, NO_LOAD).request_count
        table = set_load(table, link, Load(known + sign))
    return table


def list_zone_links(chain: requests.Chain) -> list[str]:
    """Name the links between zones that a chain uses, once for each use."""
    return [
        build_link_key(before.zone, after.zone)
        for before, after in itertools.pairwise(chain)
        if before.zone != after.zone
    ]


def build_link_key(one: str, other: str) -> str:
    """Return the name under which the load of a link is counted."""
    return LINK_SEPARATOR.join(sorted((one, other)))


def add_request(table: LoadMap, runner_id: str, sign: int) -> LoadMap:
    """Add a request to a plain service, or take it away."""
    load = table.get(runner_id, NO_LOAD)
    return set_load(
        table,
        runner_id,
        Load(
            load.request_count + sign,
            load.entry_request_count + sign,
            load.token_layers,
        ),
    )


def estimate_total_load(
    runner_id: str, table: LoadMap, means: LoadMap, instances: int
) -> Load:
    """Return the load that all instances together probably have at a runner."""
    own = table.get(runner_id, NO_LOAD)
    mean = means.get(runner_id, NO_LOAD)
    others = instances - 1
    return Load(
        own.request_count + others * mean.request_count,
        own.entry_request_count + others * mean.entry_request_count,
        own.token_layers + others * mean.token_layers,
    )


def update_means(table: LoadMap, means: LoadMap, seconds: float) -> LoadMap:
    """Move the means towards the loads of the moment."""
    weight = min(seconds / AVERAGING_SECONDS, 1.0)
    moved = {
        runner_id: interpolate_load(
            table.get(runner_id, NO_LOAD),
            means.get(runner_id, NO_LOAD),
            weight,
        )
        for runner_id in sorted({*table, *means})
    }
    return immutables.Map(
        {
            runner_id: load
            for runner_id, load in moved.items()
            if load.request_count > NEGLIGIBLE_REQUESTS
        }
    )


def interpolate_load(own: Load, mean: Load, weight: float) -> Load:
    """Return a mean that has moved by a weight towards a load."""
    return Load(
        mean.request_count + weight * (own.request_count - mean.request_count),
        mean.entry_request_count
        + weight * (own.entry_request_count - mean.entry_request_count),
        mean.token_layers + weight * (own.token_layers - mean.token_layers),
    )


def set_load(table: LoadMap, runner_id: str, load: Load) -> LoadMap:
    """Keep a load, or forget it when nothing is left."""
    if load.request_count > 0:
        return table.set(runner_id, load)
    if runner_id in table:
        return table.delete(runner_id)
    return table
