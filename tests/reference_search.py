"""Hold the search for chains that the indexed one has to agree with."""

import dataclasses
import heapq
import random
from collections import abc

from mustardvale.internal.relay import (
    chain_search,
    chains,
    choices,
    engines,
    exchanges,
    requests,
)
from mustardvale.internal.relay import state as states


@dataclasses.dataclass(frozen=True, slots=True)
class PartCosts:
    """Hold what a part on a candidate costs one request for each layer.

    `memory_share_per_layer` is the share of its memory that the request takes.
    `cost_factor` includes a random addition.
    """

    candidate: chains.Candidate
    seconds_per_layer: float
    memory_share_per_layer: float
    cost_factor: float


def build_part_costs(
    engine: engines.Engine,
    candidate: chains.Candidate,
    work: chains.Work,
    random_fraction: float,
) -> PartCosts:
    """Return the costs of a candidate; the fraction is from 0 to 1."""
    step = engines.compute_step_seconds(
        engine, candidate.accelerator, 1, candidate.sequence_count
    )
    prefill = engines.compute_prefill_seconds(
        engine, candidate.accelerator, 1, work.prompt_tokens
    )
    tokens = work.prompt_tokens + work.output_tokens
    return PartCosts(
        candidate,
        step * work.output_tokens + prefill,
        tokens / max(candidate.token_layer_capacity, 1.0),
        candidate.cost_factor * (1 + chains.JITTER_SHARE * random_fraction),
    )


def compute_part_cost(
    costs: PartCosts, first: int, end: int, slots: int
) -> float | None:
    """Return the cost of a part in seconds, or `None` if the runner is full."""
    candidate = costs.candidate
    layer_count = end - first
    used_share = (
        candidate.memory_share + costs.memory_share_per_layer * layer_count
    )
    if first == 0:
        used_share = max(used_share, candidate.slot_share + 1 / slots)
    if used_share >= chain_search.FULL_LOAD_SHARE:
        return None
    crowding = 1 / (1 - min(used_share, chain_search.MAXIMUM_CROWDING_SHARE))
    if used_share > chain_search.MAXIMUM_CROWDING_SHARE:
        crowding *= (
            1
            + (used_share - chain_search.MAXIMUM_CROWDING_SHARE)
            * chain_search.OVERFULL_FACTOR
        )
    seconds = (
        costs.seconds_per_layer * layer_count + chain_search.STEP_WAIT_SECONDS
    )
    return seconds * costs.cost_factor * crowding


@dataclasses.dataclass(frozen=True, slots=True)
class FoundChain:
    """Hold a chain and its cost in seconds."""

    cost: float
    chain: requests.Chain


class ChainSearch:
    """Hold the cheapest chain found so far to each node."""

    def __init__(
        self,
        engine: engines.Engine,
        candidates: abc.Sequence[chains.Candidate],
        work: chains.Work,
        span: chains.LayerSpan,
        seed: int,
    ) -> None:
        self.engine = engine
        self.work = work
        self.span = span
        random_source = random.Random(seed)
        self.part_costs = [
            build_part_costs(engine, candidate, work, random_source.random())
            for candidate in candidates
        ]
        self.found: dict[int, dict[str, FoundChain]] = {
            span.first: {span.source_zone: FoundChain(0.0, ())}
        }
        self.layers = [span.first]
        self.crossing_costs: dict[tuple[str, str], float | None] = {}

    def run(self, find_link_load: chains.LinkLoadLookup) -> FoundChain | None:
        """Return the cheapest chain to the end of the span.

        A part always leads to a later layer. When a layer is the first of
        those that are left, the chains to it are therefore final.
        """
        while self.layers:
            layer = heapq.heappop(self.layers)
            if layer >= self.span.end:
                break
            for costs in self.part_costs:
                layers = costs.candidate.layers
                if layers.first <= layer < layers.end:
                    self.extend(layer, costs, find_link_load)
        complete = self.found.get(self.span.end, {})
        return min(
            complete.values(), key=lambda found: found.cost, default=None
        )

    def extend(
        self,
        layer: int,
        costs: PartCosts,
        find_link_load: chains.LinkLoadLookup,
    ) -> None:
        """Extend the chains to a layer by a part on one runner."""
        candidate = costs.candidate
        end = min(candidate.layers.end, self.span.end)
        part_cost = compute_part_cost(costs, layer, end, self.engine.slots)
        if part_cost is None:
            return
        for zone, before in self.found[layer].items():
            crossing = self.find_crossing_cost(
                zone, candidate.zone, find_link_load
            )
            if crossing is None:
                continue
            cost = before.cost + part_cost + crossing
            if self.is_cheapest(candidate.zone, end, cost):
                self.record(before, candidate, end, cost)

    def is_cheapest(self, zone: str, end: int, cost: float) -> bool:
        """Return whether no chain to a layer and zone is known to be cheaper."""
        known = self.found.get(end, {}).get(zone)
        return known is None or cost < known.cost

    def record(
        self,
        before: FoundChain,
        candidate: chains.Candidate,
        end: int,
        cost: float,
    ) -> None:
        """Store the chain that is extended by a candidate up to a layer."""
        if len(before.chain) >= chain_search.MAXIMUM_CHAIN_PARTS:
            return
        first = before.chain[-1].end_layer if before.chain else self.span.first
        part = requests.ChainPart(
            candidate.runner_id, candidate.address, first, end, candidate.zone
        )
        if end not in self.found:
            self.found[end] = {}
            heapq.heappush(self.layers, end)
        self.found[end][candidate.zone] = FoundChain(
            cost, (*before.chain, part)
        )

    def find_crossing_cost(
        self, source: str, target: str, find_link_load: chains.LinkLoadLookup
    ) -> float | None:
        """Return the cost of a crossing, or `None` if its link is full."""
        if not source or source == target:
            return 0.0
        pair = (source, target)
        if pair not in self.crossing_costs:
            self.crossing_costs[pair] = chains.compute_crossing_cost(
                self.engine,
                source,
                target,
                self.work,
                find_link_load(source, target),
            )
        return self.crossing_costs[pair]


def find_cheap_chain(
    engine: engines.Engine,
    exchange: exchanges.Exchange,
    now: float,
    state: states.State,
) -> FoundChain | None:
    """Return the cheaper chain of two zones, or else the cheapest of all."""
    usable = [
        candidate
        for candidate in choices.list_candidates(
            engine, exchange.service, now, state
        )
        if candidate.runner_id not in exchange.tried_runner_ids
    ]
    work = choices.estimate_work(exchange, engine)
    span = chains.LayerSpan(0, engine.layer_count, '')
    best: FoundChain | None = None
    for zone in choices.pick_zones(exchange.service, state):
        inside = [found for found in usable if found.zone == zone]
        found = ChainSearch(engine, inside, work, span, state.seed).run(
            chains.assume_idle_link
        )
        if found is not None and (best is None or found.cost < best.cost):
            best = found
    if best is not None and best.cost <= chains.CROSSING_SECONDS:
        return best
    return ChainSearch(engine, usable, work, span, state.seed).run(
        choices.build_link_load_lookup(state)
    )
