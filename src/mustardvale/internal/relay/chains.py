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

# Requests do not run on a runner whose memory is taken to this share: what it
# cannot hold is read again later, which stops other requests too.
FULL_SHARE = 0.95
# A runner with recent failures costs as much as this many sound ones.
AVOIDED_FACTOR = 20.0
# All requests share the link between two zones, and a prompt's activations
# fill it for tens of milliseconds; whole chains elsewhere cost nothing.
CROSSING_SECONDS = 1.0
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
    capacity: float
    share_taken: float
    places_taken: float
    sequences: float
    factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Describe the work of a request in tokens."""

    prompt: int
    output: float


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """Name the layers to find a chain for, and the zone it comes from."""

    first: int
    end: int
    zone: str


def describe(
    engine: engines.Engine,
    runner: runners.Runner,
    load: loads.Load,
    instances: int,
    now: float,
) -> Candidate | None:
    """Describe a runner, or return nothing where it cannot carry a part."""
    listed = runner.listed
    layers = listed.layers
    if layers is None or not layers.count:
        return None
    if listed.accelerator not in engine.accelerators:
        return None
    capacity = (
        engines.token_capacity(engine, listed.accelerator, layers.count)
        * layers.count
    )
    factor = AVOIDED_FACTOR if runner.avoid_until > now else 1.0
    return Candidate(
        listed.runner_id,
        listed.address,
        listed.availability_zone,
        listed.accelerator,
        layers,
        capacity,
        load.token_layers * instances / capacity if capacity else 1.0,
        load.entered * instances / engine.slots,
        load.requests * instances,
        factor * max(runner.pace, 1.0),
    )


def part_cost(
    engine: engines.Engine,
    candidate: Candidate,
    first: int,
    end: int,
    work: Work,
) -> float | None:
    """Return the cost of a part in seconds, or nothing where it is full."""
    layers = end - first
    tokens = (work.prompt + work.output) * layers
    taken = candidate.share_taken + tokens / max(candidate.capacity, 1.0)
    if first == 0:
        taken = max(taken, candidate.places_taken + 1 / engine.slots)
    if taken >= FULL_SHARE:
        return None
    step = engines.step_time(
        engine, candidate.accelerator, layers, candidate.sequences
    )
    reading = engines.read_time(
        engine, candidate.accelerator, layers, work.prompt
    )
    seconds = step * work.output + reading
    return (seconds + PART_SECONDS) * candidate.factor / (1 - taken)


def hop_cost(
    engine: engines.Engine, source: str, target: str, work: Work
) -> float:
    """Return the cost of going on in another zone in seconds."""
    if not source or source == target:
        return 0.0
    delays = engines.zone_delay(engine, source, target) * work.output
    crossing = engines.hop_time(engine, source, target, work.prompt)
    return CROSSING_SECONDS + crossing + delays


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Reached:
    """Hold a chain up to a layer; cheaper ones come first, then older ones."""

    cost: float
    number: int
    layer: int
    zone: str
    chain: requests.Chain = dataclasses.field(compare=False)


def find(
    engine: engines.Engine,
    candidates: abc.Sequence[Candidate],
    work: Work,
    span: Span,
    seed: int,
) -> requests.Chain | None:
    """Return the cheapest chain over a span of layers, if there is one."""
    search = Search(engine, work, span, draw_jitter(candidates, seed))
    search.reach(0.0, span.first, span.zone, ())
    while search.heap:
        reached = heapq.heappop(search.heap)
        if reached.layer >= span.end:
            return reached.chain
        if search.settle(reached):
            for candidate in candidates:
                search.extend(reached, candidate)
    return None


class Search:
    """Hold the chains that a search has reached and not settled yet."""

    def __init__(
        self,
        engine: engines.Engine,
        work: Work,
        span: Span,
        jitter: dict[str, float],
    ) -> None:
        self.engine = engine
        self.work = work
        self.span = span
        self.jitter = jitter
        self.heap: list[Reached] = []
        self.numbers = itertools.count()
        self.settled: set[tuple[int, str]] = set()

    def reach(
        self, cost: float, layer: int, zone: str, chain: requests.Chain
    ) -> None:
        """Note a chain that has reached a layer."""
        reached = Reached(cost, next(self.numbers), layer, zone, chain)
        heapq.heappush(self.heap, reached)

    def settle(self, reached: Reached) -> bool:
        """Return whether this is the cheapest way to its layer and zone."""
        place = (reached.layer, reached.zone)
        if place in self.settled or len(reached.chain) >= LONGEST_CHAIN:
            return False
        self.settled.add(place)
        return True

    def extend(self, reached: Reached, candidate: Candidate) -> None:
        """Go on with a runner that holds the next layer and has room."""
        layers = candidate.layers
        if not layers.first <= reached.layer < layers.end:
            return
        end = min(layers.end, self.span.end)
        if (end, candidate.zone) in self.settled:
            return
        cost = part_cost(self.engine, candidate, reached.layer, end, self.work)
        if cost is None:
            return
        hop = hop_cost(self.engine, reached.zone, candidate.zone, self.work)
        part = requests.ChainPart(
            candidate.runner_id, candidate.address, reached.layer, end
        )
        self.reach(
            reached.cost + cost * self.jitter[candidate.runner_id] + hop,
            end,
            candidate.zone,
            (*reached.chain, part),
        )


def draw_jitter(
    candidates: abc.Sequence[Candidate], seed: int
) -> dict[str, float]:
    """Return a random factor for each runner."""
    jitter = {}
    for candidate in candidates:
        drawn = draws.draw(seed)
        seed = drawn.seed
        jitter[candidate.runner_id] = 1 + JITTER * drawn.unit
    return jitter
