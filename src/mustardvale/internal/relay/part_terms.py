"""Index what the cost of a part has in common for all choices.

The entry of a runner and the engine of its service fix which layers the runner
can run, how many tokens fit, and how fast its accelerator is. The index holds
that for each zone and changes only with them. What changes from request to
request (loads, obstacles, slowdowns) is added at each choice.
"""

import dataclasses
import math
import typing
from collections import abc

import immutables

from mustardvale.internal.relay import (
    chain_search,
    configuration,
    engines,
    runners,
)


@dataclasses.dataclass(frozen=True, slots=True)
class PartTerms:
    """Hold the fixed terms of the cost of a part on one runner.

    `token_layer_capacity` is the number of tokens times layers that its memory
    holds. `step_share` and `prefill_share` are the times of one layer as shares
    of the engine's times for all layers.
    """

    runner_id: str
    address: str
    zone: str
    first: int
    end: int
    token_layer_capacity: float
    step_share: float
    prefill_share: float


class LeastTerms(typing.NamedTuple):
    """Hold lower bounds of the terms of all chains from a layer to the end.

    The shares are of the engine's step and prefill times for all layers.
    """

    step_share: float
    prefill_share: float
    part_count: float


# The end of a part, and the step and prefill shares of `PartTerms`. Each choice
# unpacks those of all runners, which takes longer with named tuples.
PartShares: typing.TypeAlias = tuple[int, float, float]
# Where a layer has no runner, no chain is cheap enough.
UNREACHABLE = LeastTerms(math.inf, math.inf, math.inf)


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneTerms:
    """Hold the terms of the runners of one service in one zone.

    `listed` are the entries from which the terms were built, and `parts` has
    the terms of each, or `None` for a runner that cannot run layers.
    `positions_by_layer` has, for each layer, the positions of the runners that
    hold it. `part_shares` repeats the end and the shares of each part, with
    zeros for `None`. `least_terms` bounds the cost of chains from each layer
    on, and `idle_parts` is the cheapest chain for a typical request without any
    load.
    """

    engine: engines.Engine
    listed: tuple[runners.ListedRunner, ...]
    parts: tuple[PartTerms | None, ...]
    positions_by_layer: tuple[tuple[int, ...], ...]
    part_shares: tuple[PartShares, ...]
    least_terms: tuple[LeastTerms, ...]
    idle_parts: tuple[chain_search.FoundPart, ...]


TermsByZone: typing.TypeAlias = 'immutables.Map[str, ZoneTerms]'
# The terms of each service with an engine, by zone.
TermsIndex: typing.TypeAlias = 'immutables.Map[str, TermsByZone]'


def build_part_terms(
    engine: engines.Engine, listed: runners.ListedRunner
) -> PartTerms | None:
    """Return the terms of a runner, or `None` if it cannot run layers."""
    layers = listed.layers
    if layers is None or not layers.count:
        return None
    if layers.end > engine.layer_count:
        return None
    kind = engine.accelerators.get(listed.accelerator)
    if kind is None:
        return None
    layer_share = engines.compute_layer_share(engine, 1)
    return PartTerms(
        listed.runner_id,
        listed.address,
        listed.availability_zone,
        layers.first,
        layers.end,
        engines.compute_token_capacity(engine, kind.name, layers.count)
        * layers.count,
        layer_share * kind.step_factor,
        layer_share * kind.prefill_factor,
    )


def build_zone_terms(
    engine: engines.Engine, listed: tuple[runners.ListedRunner, ...]
) -> ZoneTerms:
    """Return the terms of the listed runners of a zone."""
    parts = tuple(build_part_terms(engine, entry) for entry in listed)
    positions_by_layer = index_parts(engine.layer_count, parts)
    least_terms = build_least_terms(parts, positions_by_layer)
    return ZoneTerms(
        engine,
        listed,
        parts,
        positions_by_layer,
        tuple(
            (0, 0.0, 0.0)
            if part is None
            else (part.end, part.step_share, part.prefill_share)
            for part in parts
        ),
        least_terms,
        find_idle_parts(engine, parts, positions_by_layer),
    )


def build_least_terms(
    parts: abc.Sequence[PartTerms | None],
    positions_by_layer: chain_search.PositionsByLayer,
) -> tuple[LeastTerms, ...]:
    """Return the least terms of chains from each layer on.

    They are infinite where a later layer has no runner. The list is built from
    the last layer backwards: what follows a layer is its last element.
    """
    least = [LeastTerms(0.0, 0.0, 0.0)]
    for layer in reversed(range(len(positions_by_layer))):
        held = [parts[position] for position in positions_by_layer[layer]]
        holders = [part for part in held if part is not None]
        if not holders:
            least.append(UNREACHABLE)
            continue
        end = max(part.end for part in holders)
        following = least[-1]
        least.append(
            LeastTerms(
                following.step_share + min(part.step_share for part in holders),
                following.prefill_share
                + min(part.prefill_share for part in holders),
                least[len(positions_by_layer) - end].part_count + 1,
            )
        )
    return tuple(reversed(least))


def find_idle_parts(
    engine: engines.Engine,
    parts: abc.Sequence[PartTerms | None],
    positions_by_layer: chain_search.PositionsByLayer,
) -> tuple[chain_search.FoundPart, ...]:
    """Return the cheapest chain for a typical request, empty for none."""
    prefill_seconds = (
        engine.typical_prompt_tokens / engine.prefill_tokens_per_second
    )
    step_seconds = engine.base_step_seconds * engine.typical_output_tokens
    cost_list: chain_search.CostList = [
        chain_search.UNUSABLE
        if part is None
        else chain_search.PartCosts(
            part.end,
            0.0,
            0.0,
            part.step_share * step_seconds
            + part.prefill_share * prefill_seconds,
            1.0,
            0.0,
        )
        for part in parts
    ]
    found = chain_search.find_zone_parts(
        chain_search.build_search(cost_list, positions_by_layer)
    )
    return found.parts if found else ()


def index_parts(
    layer_count: int, parts: abc.Iterable[PartTerms | None]
) -> tuple[tuple[int, ...], ...]:
    """Return the positions of the parts that can run each layer."""
    return index_layers(
        layer_count,
        (None if part is None else (part.first, part.end) for part in parts),
    )


def index_layers(
    layer_count: int, ranges: abc.Iterable[tuple[int, int] | None]
) -> tuple[tuple[int, ...], ...]:
    """Return the positions of the ranges that contain each layer."""
    positions: list[list[int]] = [[] for _ in range(layer_count)]
    for position, held in enumerate(ranges):
        if held is not None:
            for layer in range(*held):
                positions[layer].append(position)
    return tuple(map(tuple, positions))


def find_zone_terms(
    terms: TermsIndex,
    engine: engines.Engine,
    service: str,
    zone: str,
    zone_runners: tuple[runners.Runner, ...],
) -> ZoneTerms:
    """Return the terms of a zone, built anew if they do not fit its runners.

    A request that was admitted by an earlier version may have another engine
    than the index.
    """
    known = terms.get(service, immutables.Map()).get(zone)
    if known is not None and is_current(known, engine, zone_runners):
        return known
    return build_zone_terms(
        engine, tuple(runner.listed for runner in zone_runners)
    )


def is_current(
    known: ZoneTerms,
    engine: engines.Engine,
    zone_runners: tuple[runners.Runner, ...],
) -> bool:
    """Return whether terms were built from these entries and this engine."""
    if known.engine is not engine or len(known.listed) != len(zone_runners):
        return False
    for entry, runner in zip(known.listed, zone_runners, strict=True):
        if runner.listed is not entry:
            return False
    return True


def update_index(
    terms: TermsIndex,
    services: abc.Mapping[str, configuration.Service],
    runner_map: runners.RunnerMap,
    index: runners.RunnerIndex,
) -> TermsIndex:
    """Return the index for changed entries or services.

    The terms of zones without a change are kept. A new version has new engines,
    most of which equal those of the version before.
    """
    updated: dict[str, TermsByZone] = {}
    for name, service in services.items():
        engine = service.engine
        if engine is None:
            continue
        known = reuse_engine(terms.get(name, immutables.Map()), engine)
        kept = terms.set(name, known)
        updated[name] = immutables.Map(
            {
                zone: find_zone_terms(
                    kept,
                    engine,
                    name,
                    zone,
                    runners.list_zone_runners(runner_map, index, name, zone),
                )
                for zone in index.get(name, ())
            }
        )
    return immutables.Map(updated)


def reuse_engine(known: TermsByZone, engine: engines.Engine) -> TermsByZone:
    """Return the terms of zones under an engine, without those of another."""
    return immutables.Map(
        {
            zone: dataclasses.replace(terms, engine=engine)
            for zone, terms in known.items()
            if terms.engine == engine
        }
    )
