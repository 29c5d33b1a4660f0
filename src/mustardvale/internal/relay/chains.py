"""Choose the chain of runners that carries a model request.

A chain is a pipeline over the layers of the model: each part names a runner
and the consecutive layers that it runs. The search is Dijkstra's algorithm over
pairs of layer and zone. The cost of a part is its expected time, which rises as
the runner's memory or its slots fill up.
"""

import dataclasses
import heapq
import itertools
from collections import abc

from mustardvale.internal import draws
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
    """Return the candidate for a runner, or `None` if it cannot run layers."""
    listed = runner.listed
    layers = listed.layers
    if layers is None or not layers.count:
        return None
    if listed.accelerator not in engine.accelerators:
        return None
    if runner.excluded_until > now:
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


def compute_part_cost(
    engine: engines.Engine,
    candidate: Candidate,
    first: int,
    end: int,
    work: Work,
) -> float | None:
    """Return the cost of a part in seconds, or `None` if the runner is full."""
    layer_count = end - first
    token_layers = (work.prompt_tokens + work.output_tokens) * layer_count
    used_share = candidate.memory_share + token_layers / max(
        candidate.token_layer_capacity, 1.0
    )
    if first == 0:
        used_share = max(used_share, candidate.slot_share + 1 / engine.slots)
    if used_share >= FULL_LOAD_SHARE:
        return None
    step = engines.compute_step_seconds(
        engine, candidate.accelerator, layer_count, candidate.sequence_count
    )
    prefill = engines.compute_prefill_seconds(
        engine, candidate.accelerator, layer_count, work.prompt_tokens
    )
    seconds = step * work.output_tokens + prefill
    crowding = 1 / (1 - min(used_share, MAXIMUM_CROWDING_SHARE))
    if used_share > MAXIMUM_CROWDING_SHARE:
        crowding *= 1 + (used_share - MAXIMUM_CROWDING_SHARE) * OVERFULL_FACTOR
    return (seconds + STEP_WAIT_SECONDS) * candidate.cost_factor * crowding


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
class PartialChain:
    """Hold a chain that covers the layers below `next_layer`."""

    cost: float
    next_layer: int
    zone: str
    chain: requests.Chain


@dataclasses.dataclass(frozen=True, slots=True)
class Extension:
    """Hold a part that may follow a partial chain."""

    part: requests.ChainPart
    cost: float


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
    search.push(PartialChain(0.0, span.first, span.source_zone, ()))
    while search.heap:
        partial = heapq.heappop(search.heap)[-1]
        if partial.next_layer >= span.end:
            return partial.chain
        if search.settle(partial):
            search.extend(partial, find_link_load)
    return None


class ChainSearch:
    """Hold the queue of partial chains and the nodes that are settled."""

    def __init__(
        self,
        engine: engines.Engine,
        candidates: abc.Sequence[Candidate],
        work: Work,
        span: LayerSpan,
        seed: int,
    ) -> None:
        self.engine = engine
        self.candidates = candidates
        self.work = work
        self.span = span
        self.jitter = draw_jitter(candidates, seed)
        self.heap: list[tuple[float, int, PartialChain]] = []
        self.sequence = itertools.count()
        self.settled: set[tuple[int, str]] = set()
        self.extensions_by_layer: dict[int, list[Extension]] = {}
        self.crossing_costs: dict[tuple[str, str], float | None] = {}

    def push(self, partial: PartialChain) -> None:
        """Add a partial chain to the queue; the first of equal cost wins."""
        number = next(self.sequence)
        heapq.heappush(self.heap, (partial.cost, number, partial))

    def settle(self, partial: PartialChain) -> bool:
        """Settle a layer and zone; return whether they were not settled yet.

        The queue yields the cheapest chain to each layer and zone first.
        """
        node = (partial.next_layer, partial.zone)
        if node in self.settled or len(partial.chain) >= MAXIMUM_CHAIN_PARTS:
            return False
        self.settled.add(node)
        return True

    def extend(
        self, partial: PartialChain, find_link_load: LinkLoadLookup
    ) -> None:
        """Add the chains that continue on a runner with the next layer."""
        for extension in self.list_extensions(partial.next_layer):
            part = extension.part
            if (part.end_layer, part.zone) in self.settled:
                continue
            crossing = self.find_crossing_cost(
                partial.zone, part.zone, find_link_load
            )
            if crossing is not None:
                cost = partial.cost + extension.cost + crossing
                chain = (*partial.chain, part)
                self.push(PartialChain(cost, part.end_layer, part.zone, chain))

    def list_extensions(self, layer: int) -> list[Extension]:
        """Return the parts that can start at a layer."""
        extensions = self.extensions_by_layer.get(layer)
        if extensions is None:
            extensions = [
                extension
                for candidate in self.candidates
                if candidate.layers.first <= layer < candidate.layers.end
                and (extension := self.build_extension(candidate, layer))
                is not None
            ]
            self.extensions_by_layer[layer] = extensions
        return extensions

    def build_extension(
        self, candidate: Candidate, layer: int
    ) -> Extension | None:
        """Return the part that starts at a layer, if the runner has room."""
        end = min(candidate.layers.end, self.span.end)
        cost = compute_part_cost(self.engine, candidate, layer, end, self.work)
        if cost is None:
            return None
        return Extension(
            requests.ChainPart(
                candidate.runner_id,
                candidate.address,
                layer,
                end,
                candidate.zone,
            ),
            cost * self.jitter[candidate.runner_id],
        )

    def find_crossing_cost(
        self, source: str, target: str, find_link_load: LinkLoadLookup
    ) -> float | None:
        """Return the cost of a crossing, or `None` if its link is full."""
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


def draw_jitter(
    candidates: abc.Sequence[Candidate], seed: int
) -> dict[str, float]:
    """Return a random cost factor of at least 1 for each runner."""
    jitter = {}
    for candidate in candidates:
        drawn = draws.draw(seed)
        seed = drawn.seed
        jitter[candidate.runner_id] = 1 + JITTER_SHARE * drawn.fraction
    return jitter
