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
FULL_SHARE = 1.3
# Taken memory raises the cost of a part up to this share.
CROWDED_SHARE = 0.9
OVERFULL_FACTOR = 10.0
# A runner with recent failures costs as much as this many sound ones.
AVOIDED_FACTOR = 20.0
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


Links = abc.Callable[[str, str], float]


def idle_links(one: str, other: str) -> float:
    """Return the requests on the link between two zones when there are none."""
    return 0.0


def describe(
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
    if runner.shunned_until > now:
        return None
    capacity = (
        engines.token_capacity(engine, listed.accelerator, layers.count)
        * layers.count
    )
    factor = AVOIDED_FACTOR if runner.avoid_until > now else 1.0
    if runner.paced_until > now:
        factor *= max(runner.pace, 1.0)
    return Candidate(
        listed.runner_id,
        listed.address,
        listed.availability_zone,
        listed.accelerator,
        layers,
        capacity,
        load.token_layers / capacity if capacity else 1.0,
        load.entered / engine.slots,
        load.requests,
        factor,
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
    crowding = 1 / (1 - min(taken, CROWDED_SHARE))
    if taken > CROWDED_SHARE:
        crowding *= 1 + (taken - CROWDED_SHARE) * OVERFULL_FACTOR
    return (seconds + PART_SECONDS) * candidate.factor * crowding


def hop_cost(
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
    delays = engines.zone_delay(engine, source, target) * work.output
    crossing = engines.hop_time(engine, source, target, work.prompt)
    busy = 1 + link_requests / BUSY_LINK_REQUESTS
    return (CROSSING_SECONDS + crossing) * busy + delays


@dataclasses.dataclass(frozen=True, slots=True)
class Reached:
    """Hold a chain up to a layer and what it costs."""

    cost: float
    layer: int
    zone: str
    chain: requests.Chain


@dataclasses.dataclass(frozen=True, slots=True)
class Extension:
    """Hold a part that a chain may go on with."""

    part: requests.ChainPart
    cost: float


def find(
    engine: engines.Engine,
    candidates: abc.Sequence[Candidate],
    work: Work,
    span: Span,
    seed: int,
    links: Links = idle_links,
) -> requests.Chain | None:
    """Return the cheapest chain over a span of layers, if there is one.

    `links` gives the requests on the link between two zones.
    """
    search = Search(engine, candidates, work, span, seed)
    search.reach(Reached(0.0, span.first, span.zone, ()))
    while search.heap:
        reached = heapq.heappop(search.heap)[-1]
        if reached.layer >= span.end:
            return reached.chain
        if search.settle(reached):
            search.extend(reached, links)
    return None


class Search:
    """Hold the chains that a search has reached and not settled yet."""

    def __init__(
        self,
        engine: engines.Engine,
        candidates: abc.Sequence[Candidate],
        work: Work,
        span: Span,
        seed: int,
    ) -> None:
        self.engine = engine
        self.candidates = candidates
        self.work = work
        self.span = span
        self.jitter = draw_jitter(candidates, seed)
        self.heap: list[tuple[float, int, Reached]] = []
        self.numbers = itertools.count()
        self.settled: set[tuple[int, str]] = set()
        self.known: dict[int, list[Extension]] = {}
        self.hops: dict[tuple[str, str], float | None] = {}

    def reach(self, reached: Reached) -> None:
        """Note a chain; of equal costs the older one goes first."""
        number = next(self.numbers)
        heapq.heappush(self.heap, (reached.cost, number, reached))

    def settle(self, reached: Reached) -> bool:
        """Return whether this is the cheapest way to its layer and zone."""
        place = (reached.layer, reached.zone)
        if place in self.settled or len(reached.chain) >= LONGEST_CHAIN:
            return False
        self.settled.add(place)
        return True

    def extend(self, reached: Reached, links: Links) -> None:
        """Go on with each runner that holds the next layer and has room."""
        for extension in self.extensions(reached.layer):
            part = extension.part
            if (part.end_layer, part.zone) in self.settled:
                continue
            hop = self.hop(reached.zone, part.zone, links)
            if hop is not None:
                cost = reached.cost + extension.cost + hop
                chain = (*reached.chain, part)
                self.reach(Reached(cost, part.end_layer, part.zone, chain))

    def extensions(self, layer: int) -> list[Extension]:
        """Return the parts that can follow at a layer."""
        found = self.known.get(layer)
        if found is None:
            found = [
                extension
                for candidate in self.candidates
                if candidate.layers.first <= layer < candidate.layers.end
                and (extension := self.build(candidate, layer)) is not None
            ]
            self.known[layer] = found
        return found

    def build(self, candidate: Candidate, layer: int) -> Extension | None:
        """Return the part of a runner from a layer on, if it has room."""
        end = min(candidate.layers.end, self.span.end)
        cost = part_cost(self.engine, candidate, layer, end, self.work)
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

    def hop(self, source: str, target: str, links: Links) -> float | None:
        """Return the cost of going from a zone to another, if it can be."""
        pair = (source, target)
        if pair not in self.hops:
            self.hops[pair] = hop_cost(
                self.engine, source, target, self.work, links(source, target)
            )
        return self.hops[pair]


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
