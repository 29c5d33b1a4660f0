"""Choose the chain of runners that carries a model request.

A chain is a pipeline over the layers of the model: each part names a runner
and the consecutive layers that it runs. The search finds the cheapest chain to
each pair of layer and zone, in the order of layers. The cost of a part is its
expected time, which rises as the runner's memory or its slots fill up.
"""

import dataclasses
import heapq
import random
from collections import abc

from mustardvale.internal.relay import engines, loads, requests, runners

# Runners with an estimated load of this share or more are left out. The limit
# is above 1 because the load is an estimate: up to it the runner may still have
# room, beyond it there certainly is none. A full runner refuses the request, or
# repeats its prefill later, which delays the other requests of the runner too.
FULL_LOAD_SHARE = 1.3
# Up to this share the cost grows as in a queue, by 1 / (1 - share). Above it
# the cost grows linearly, by `OVERFULL_FACTOR`.
MAXIMUM_CROWDING_SHARE = 0.9
OVERFULL_FACTOR = 10.0
# Multiplies the cost of a runner with recent failures.
DEPRIORITIZED_FACTOR = 20.0
# Cost of each crossing between zones. All requests share the link between two
# zones, and the activations of one prompt occupy it for tens of milliseconds.
# Chains within one zone do not use it.
CROSSING_SECONDS = 2.0
# Number of requests on a link at which a crossing costs twice as much as on an
# idle link. At `FULL_LINK_REQUESTS` one more would make all of them late.
BUSY_LINK_REQUESTS = 8.0
FULL_LINK_REQUESTS = 32.0
# Mean wait for the next step of a runner, added for each part.
STEP_WAIT_SECONDS = 0.02
# Largest random addition to a cost, as a share of it. It keeps instances from
# choosing the same runners.
JITTER_SHARE = 0.25
MAXIMUM_CHAIN_PARTS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Describe a runner that may become a part of a chain.

    `token_layer_capacity` is the number of tokens times layers that its memory
    holds, and `memory_share` the share of it that is in use. `slot_share` is
    the share of its slots for chains that begin there, and `sequence_count`
    its estimated number of concurrent requests.
    """

    runner_id: str
    address: str
    zone: str
    accelerator: str
    layers: runners.LayerRange
    token_layer_capacity: float
    memory_share: float
    slot_share: float
    sequence_count: float
    cost_factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Hold the prompt tokens and the expected output tokens of a request."""

    prompt_tokens: int
    output_tokens: float


@dataclasses.dataclass(frozen=True, slots=True)
class LayerSpan:
    """Name the layers to cover, `end` exclusive.

    `source_zone` is the zone of the previous part, or empty at the start.
    """

    first: int
    end: int
    source_zone: str


LinkLoadLookup = abc.Callable[[str, str], float]


def assume_idle_link(zone: str, other_zone: str) -> float:
    """Return 0, the load of a link without requests."""
    return 0.0


def build_candidate(
    engine: engines.Engine,
    runner: runners.Runner,
    load: loads.Load,
    now: float,
) -> Candidate | None:
    """Return the candidate for a runner, or `None` if it cannot run layers.

    A runner that may get no request now is no candidate either.
    """
    if runner.find_obstacle(now) is not None:
        return None
    listed = runner.listed
    layers = listed.layers
    if layers is None or not layers.count:
        return None
    if layers.end > engine.layer_count:
        return None
    if listed.accelerator not in engine.accelerators:
        return None
    capacity = (
        engines.compute_token_capacity(engine, listed.accelerator, layers.count)
        * layers.count
    )
    factor = DEPRIORITIZED_FACTOR if runner.deprioritized_until > now else 1.0
    if runner.slowdown_until > now:
        factor *= max(runner.slowdown, 1.0)
    return Candidate(
        listed.runner_id,
        listed.address,
        listed.availability_zone,
        listed.accelerator,
        layers,
        capacity,
        load.token_layers / capacity if capacity else 1.0,
        load.first_part_request_count / engine.slots,
        load.request_count,
        factor,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class PartCosts:
    """Hold what a part on a candidate costs one request for each layer.

    `memory_share_per_layer` is the share of its memory that the request takes.
    `cost_factor` includes a random addition.
    """

    candidate: Candidate
    seconds_per_layer: float
    memory_share_per_layer: float
    cost_factor: float


def build_part_costs(
    engine: engines.Engine,
    candidate: Candidate,
    work: Work,
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
        candidate.cost_factor * (1 + JITTER_SHARE * random_fraction),
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
    if used_share >= FULL_LOAD_SHARE:
        return None
    crowding = 1 / (1 - min(used_share, MAXIMUM_CROWDING_SHARE))
    if used_share > MAXIMUM_CROWDING_SHARE:
        crowding *= 1 + (used_share - MAXIMUM_CROWDING_SHARE) * OVERFULL_FACTOR
    seconds = costs.seconds_per_layer * layer_count + STEP_WAIT_SECONDS
    return seconds * costs.cost_factor * crowding


def compute_crossing_cost(
    engine: engines.Engine,
    source: str,
    target: str,
    work: Work,
    link_requests: float,
) -> float | None:
    """Return the cost in seconds of a crossing between zones.

    Returns `None` if the link has `FULL_LINK_REQUESTS` or more.
    """
    if not source or source == target:
        return 0.0
    if link_requests >= FULL_LINK_REQUESTS:
        return None
    delays = (
        engines.find_zone_delay_seconds(engine, source, target)
        * work.output_tokens
    )
    transfer = engines.compute_transfer_seconds(
        engine, source, target, work.prompt_tokens
    )
    congestion = 1 + link_requests / BUSY_LINK_REQUESTS
    return (CROSSING_SECONDS + transfer) * congestion + delays


@dataclasses.dataclass(frozen=True, slots=True)
class FoundChain:
    """Hold a chain and its cost in seconds."""

    cost: float
    chain: requests.Chain


def find_chain(
    engine: engines.Engine,
    candidates: abc.Sequence[Candidate],
    work: Work,
    span: LayerSpan,
    seed: int,
    find_link_load: LinkLoadLookup = assume_idle_link,
) -> requests.Chain | None:
    """Return the cheapest chain over a span of layers, if there is one.

    `find_link_load` returns the requests on the link between two zones.
    """
    search = ChainSearch(engine, candidates, work, span, seed)
    found = search.run(find_link_load)
    return None if found is None else found.chain


def find_zone_chain(
    engine: engines.Engine,
    candidates: abc.Sequence[Candidate],
    work: Work,
    seed: int,
) -> FoundChain | None:
    """Return the cheapest chain over all layers on runners of one zone."""
    span = LayerSpan(0, engine.layer_count, '')
    return ChainSearch(engine, candidates, work, span, seed).run(
        assume_idle_link
    )


class ChainSearch:
    """Hold the cheapest chain found so far to each node."""

    def __init__(
        self,
        engine: engines.Engine,
        candidates: abc.Sequence[Candidate],
        work: Work,
        span: LayerSpan,
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

    def run(self, find_link_load: LinkLoadLookup) -> FoundChain | None:
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
        self, layer: int, costs: PartCosts, find_link_load: LinkLoadLookup
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
        self, before: FoundChain, candidate: Candidate, end: int, cost: float
    ) -> None:
        """Store the chain that is extended by a candidate up to a layer."""
        if len(before.chain) >= MAXIMUM_CHAIN_PARTS:
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
        self, source: str, target: str, find_link_load: LinkLoadLookup
    ) -> float | None:
        """Return the cost of a crossing, or `None` if its link is full."""
        if not source or source == target:
            return 0.0
        pair = (source, target)
        if pair not in self.crossing_costs:
            self.crossing_costs[pair] = compute_crossing_cost(
                self.engine,
                source,
                target,
                self.work,
                find_link_load(source, target),
            )
        return self.crossing_costs[pair]
