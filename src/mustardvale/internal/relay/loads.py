"""Estimate the load of each upstream.

Load reports of upstreams are late and costly to request. Each instance counts
its own requests instead, and assumes that every other instance sends as much as
it sent itself on average. Its current count times the number of instances would
be off by a factor of several, because an instance has only a few requests at a
runner.
"""

import dataclasses
import itertools
import typing

import immutables

from mustardvale.internal.relay import requests

# Time constant of the means; a mean then covers some tens of requests.
AVERAGING_SECONDS = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Hold the load of an upstream or of a link between zones.

    `request_count` is the number of open requests, `first_part_request_count`
    the number of those whose chain begins there, and `token_layers` the sum
    over requests of their tokens times the layers that run there. A request to
    a plain service counts in both.
    """

    request_count: float = 0
    first_part_request_count: float = 0
    token_layers: float = 0.0


NO_LOAD = Load()
NEGLIGIBLE_REQUESTS = 0.001
# Links between zones are kept in the same map as runners. Runner ids do not
# contain this separator.
LINK_SEPARATOR = '<>'
LoadMap: typing.TypeAlias = 'immutables.Map[str, Load]'


@dataclasses.dataclass(frozen=True, slots=True)
class KnownLoads:
    """Hold what the estimates of total loads are derived from.

    `own` and `means` are the current and mean loads by this instance, and
    `instance_count` is the estimated number of instances.
    """

    own: LoadMap
    means: LoadMap
    instance_count: int


def add_chain(
    load_map: LoadMap, chain: requests.Chain, tokens: float, sign: int
) -> LoadMap:
    """Add the load of a request on a chain, or remove it with a sign of -1."""
    for index, part in enumerate(chain):
        load = load_map.get(part.runner_id, NO_LOAD)
        layer_count = part.end_layer - part.first_layer
        load_map = set_load(
            load_map,
            part.runner_id,
            Load(
                load.request_count + sign,
                load.first_part_request_count + sign * (index == 0),
                max(load.token_layers + sign * tokens * layer_count, 0.0),
            ),
        )
    for link in list_zone_links(chain):
        known = load_map.get(link, NO_LOAD).request_count
        load_map = set_load(load_map, link, Load(known + sign))
    return load_map


def list_zone_links(chain: requests.Chain) -> list[str]:
    """Return the key of each link between zones that a chain crosses.

    A link that is crossed twice is listed twice.
    """
    return [
        build_link_key(before.zone, after.zone)
        for before, after in itertools.pairwise(chain)
        if before.zone != after.zone
    ]


def build_link_key(zone: str, other_zone: str) -> str:
    """Return the key of a link, which is the same in both directions."""
    return LINK_SEPARATOR.join(sorted((zone, other_zone)))


def add_request(load_map: LoadMap, runner_id: str, sign: int) -> LoadMap:
    """Add a request to a plain service, or remove it with a sign of -1."""
    load = load_map.get(runner_id, NO_LOAD)
    return set_load(
        load_map,
        runner_id,
        Load(
            load.request_count + sign,
            load.first_part_request_count + sign,
            load.token_layers,
        ),
    )


def estimate_total_load(
    runner_id: str, load_map: LoadMap, means: LoadMap, instance_count: int
) -> Load:
    """Return the estimated load of a runner or link by all instances."""
    own = load_map.get(runner_id, NO_LOAD)
    mean = means.get(runner_id, NO_LOAD)
    others = instance_count - 1
    return Load(
        own.request_count + others * mean.request_count,
        own.first_part_request_count + others * mean.first_part_request_count,
        own.token_layers + others * mean.token_layers,
    )


def update_means(load_map: LoadMap, means: LoadMap, seconds: float) -> LoadMap:
    """Return the means after `seconds` more of the current loads.

    Means near 0 are dropped.
    """
    weight = min(seconds / AVERAGING_SECONDS, 1.0)
    moved = {
        runner_id: interpolate_load(
            load_map.get(runner_id, NO_LOAD),
            means.get(runner_id, NO_LOAD),
            weight,
        )
        for runner_id in sorted({*load_map, *means})
    }
    return immutables.Map(
        {
            runner_id: load
            for runner_id, load in moved.items()
            if load.request_count > NEGLIGIBLE_REQUESTS
        }
    )


def interpolate_load(own: Load, mean: Load, weight: float) -> Load:
    """Return a mean moved towards a load by a weight from 0 to 1."""
    return Load(
        mean.request_count + weight * (own.request_count - mean.request_count),
        mean.first_part_request_count
        + weight
        * (own.first_part_request_count - mean.first_part_request_count),
        mean.token_layers + weight * (own.token_layers - mean.token_layers),
    )


def set_load(load_map: LoadMap, runner_id: str, load: Load) -> LoadMap:
    """Set a load, or delete it when it has no requests."""
    if load.request_count > 0:
        return load_map.set(runner_id, load)
    if runner_id in load_map:
        return load_map.delete(runner_id)
    return load_map
