"""Choose the chain of runners that carries a model request.

The search goes over layers: from a layer, each runner that holds it carries
the request to the end of its range. The cost of a part is its time, raised
where its memory or its places run out; the cheapest way to the last layer wins.
"""

import dataclasses
import heapq
import itertools
from collections import abc

from mustardvale.internal import draws
from mustardvale.internal.relay import engines, loads, requests, runners

# The load is an estimate, so that a runner that looks full still may have room;
# one that looks this full surely has none. What a runner cannot hold it
# refuses unrun, or reads again later, which stops other requests too.
FULL_MEMORY_SHARE = 1.3
# Taken memory raises the cost of a part up to this share.
MAXIMUM_CROWDING_SHARE = 0.9
OVERFULL_FACTOR = 10.0
# A runner with recent failures costs as much as this many sound ones.
DEPRIORITIZED_FACTOR = 20.0
# All requests share the link between two zones, and a prompt's activations
# fill it for tens of milliseconds; whole chains elsewhere cost nothing.
CROSSING_SECONDS = 2.0
# Requests on a link at which one more costs twice as much, and the most that
# it can carry without making all of them late.
BUSY_LINK_REQUESTS = 8.0
FULL_LINK_REQUESTS = 32.0
# Each part adds waiting for a pass of its runner.
PART_SECONDS = 0.02
# Random differences of cost keep instances from choosing the same runners.
JITTER = 0.25
LONGEST_CHAIN = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Describe a runner as the search sees it.

    `share_taken` is the taken share of its memory, `places_taken` that of its
    places for requests that begin there.
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
    """Describe the work of a request in tokens."""

    prompt_tokens: int
    output_tokens: float


@dataclasses.dataclass(frozen=True, slots=True)
class LayerSpan:
    """Name the layers to find a chain for, and the zone it comes from."""

    first: int
    end: int
    source_zone: str


LinkLoadLookup = abc.Callable[[str, str], float]


def assume_idle_link(one: str, other: str) -> float:
    """Return the requests on the link between two zones when there are none."""
    return 0.0


def build_candidate(
    engine: engines.Engine,
    runner: runners.Runner,
    load: loads.Load,
    now: float,
) -> Candidate | None:
    """Describe a runner, or return nothing where it cannot carry a part."""
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
        load.entry_request_count / engine.slots,
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
    """Return the cost of a part in seconds, or nothing where it is full."""
    layers = end - first
    tokens = (work.prompt_tokens + work.output_tokens) * layers
    taken = candidate.memory_share + tokens / max(
        candidate.token_layer_capacity, 1.0
    )
    if first == 0:
        taken = max(taken, candidate.slot_share + 1 / engine.slots)
    if taken >= FULL_MEMORY_SHARE:
        return None
    step = engines.compute_step_seconds(
        engine, candidate.accelerator, layers, candidate.sequence_count
    )
    reading = engines.compute_prefill_seconds(
        engine, candidate.accelerator, layers, work.prompt_tokens
    )
    seconds = step * work.output_tokens + reading
    crowding = 1 / (1 - min(taken, MAXIMUM_CROWDING_SHARE))
    if taken > MAXIMUM_CROWDING_SHARE:
        crowding *= 1 + (taken - MAXIMUM_CROWDING_SHARE) * OVERFULL_FACTOR
    return (seconds + PART_SECONDS) * candidate.cost_factor * crowding


def compute_hop_cost(
    engine: engines.Engine,
    source: str,
    target: str,
    work: Work,
    link_requests: float,
) -> float | None:
    """Return the cost of going on in another zone in seconds.

    There is none where the link has as many requests as it can carry.
    """
    if not source or source == target:
        return 0.0
    if link_requests >= FULL_LINK_REQUESTS:
        return None
    delays = (
        engines.find_zone_delay_seconds(engine, source, target)
        * work.output_tokens
    )
    crossing = engines.compute_transfer_seconds(
        engine, source, target, work.prompt_tokens
    )
    busy = 1 + link_requests / BUSY_LINK_REQUESTS
    return (CROSSING_SECONDS + crossing) * busy + delays


@dataclasses.dataclass(frozen=True, slots=True)
class PartialChain:
    """Hold a chain up to a layer and what it costs."""

    cost: float
    next_layer: int
    zone: str
    chain: requests.Chain


@dataclasses.dataclass(frozen=True, slots=True)
class Extension:
    """Hold a part that a chain may go on with."""

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

    `links` gives the requests on the link between two zones.
    """
    search = ChainSearch(engine, candidates, work, span, seed)
    search.push(PartialChain(0.0, span.first, span.source_zone, ()))
    while search.heap:
        reached = heapq.heappop(search.heap)[-1]
        if reached.next_layer >= span.end:
            return reached.chain
        if search.settle(reached):
            search.extend(reached, find_link_load)
    return None


class ChainSearch:
    """Hold the chains that a search has reached and not settled yet."""

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
        self.numbers = itertools.count()
        self.settled: set[tuple[int, str]] = set()
        self.extensions_by_layer: dict[int, list[Extension]] = {}
        self.hop_costs: dict[tuple[str, str], float | None] = {}

    def push(self, reached: PartialChain) -> None:
        """Note a chain; of equal costs the older one goes first."""
        number = next(self.numbers)
        heapq.heappush(self.heap, (reached.cost, number, reached))

    def settle(self, reached: PartialChain) -> bool:
        """Return whether this is the cheapest way to its layer and zone."""
        place = (reached.next_layer, reached.zone)
        if place in self.settled or len(reached.chain) >= LONGEST_CHAIN:
            return False
        self.settled.add(place)
        return True

    def extend(
        self, reached: PartialChain, find_link_load: LinkLoadLookup
    ) -> None:
        """Go on with each runner that holds the next layer and has room."""
        for extension in self.list_extensions(reached.next_layer):
            part = extension.part
            if (part.end_layer, part.zone) in self.settled:
                continue
            hop = self.find_hop_cost(reached.zone, part.zone, find_link_load)
            if hop is not None:
                cost = reached.cost + extension.cost + hop
                chain = (*reached.chain, part)
                self.push(PartialChain(cost, part.end_layer, part.zone, chain))

    def list_extensions(self, layer: int) -> list[Extension]:
        """Return the parts that can follow at a layer."""
        found = self.extensions_by_layer.get(layer)
        if found is None:
            found = [
                extension
                for candidate in self.candidates
                if candidate.layers.first <= layer < candidate.layers.end
                and (extension := self.build_extension(candidate, layer))
                is not None
            ]
            self.extensions_by_layer[layer] = found
        return found

    def build_extension(
        self, candidate: Candidate, layer: int
    ) -> Extension | None:
        """Return the part of a runner from a layer on, if it has room."""
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

    def find_hop_cost(
        self, source: str, target: str, find_link_load: LinkLoadLookup
    ) -> float | None:
        """Return the cost of going from a zone to another, if it can be."""
        pair = (source, target)
        if pair not in self.hop_costs:
            self.hop_costs[pair] = compute_hop_cost(
                self.engine,
                source,
                target,
                self.work,
                find_link_load(source, target),
            )
        return self.hop_costs[pair]


def draw_jitter(
    candidates: abc.Sequence[Candidate], seed: int
) -> dict[str, float]:
    """Return a random factor for each runner."""
    jitter = {}
    for candidate in candidates:
        drawn = draws.draw(seed)
        seed = drawn.seed
        jitter[candidate.runner_id] = 1 + JITTER * drawn.fraction
    return jitter
