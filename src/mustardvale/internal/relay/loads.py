"""Count the work that this instance has at each upstream.

Load reports of upstreams lag, and asking for them is dear, so each instance
counts what it sent itself and takes the other instances to do the same.
"""

import dataclasses
import typing

import immutables

from mustardvale.internal.relay import requests


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Hold requests in flight, those begun there, and tokens times layers."""

    requests: int = 0
    entered: int = 0
    token_layers: float = 0.0


NO_LOAD = Load()
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
                load.requests + sign,
                load.entered + sign * (index == 0),
                max(load.token_layers + sign * tokens * layers, 0.0),
            ),
        )
    return table


def add_request(table: LoadMap, runner_id: str, sign: int) -> LoadMap:
    """Add a request to a plain service, or take it away."""
    load = table.get(runner_id, NO_LOAD)
    return set_load(
        table,
        runner_id,
        Load(load.requests + sign, load.entered + sign, load.token_layers),
    )


def set_load(table: LoadMap, runner_id: str, load: Load) -> LoadMap:
    """Keep a load, or forget it when nothing is left."""
    if load.requests > 0:
        return table.set(runner_id, load)
    if runner_id in table:
        return table.delete(runner_id)
    return table
