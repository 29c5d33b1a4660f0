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
    enters: bool,
) -> float | None:
    """Return the cost of a part in seconds, or nothing where it is full."""
    layers = end - first
    tokens = (work.prompt + work.output) * layers
    taken = candidate.share_taken + tokens / max(candidate.capacity, 1.0)
    if enters:
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


def find(
    engine: engines.Engine,
    candidates: abc.Sequence[Candidate],
    work: Work,
    span: Span,
    seed: int,
) -> requests.Chain | None:
    """Return the cheapest chain over a span of layers, if there is one."""
    order = itertools.count()
    heap: list[tuple[float, int, int, str, requests.Chain]] = [
        (0.0, next(order), span.first, span.zone, ())
    ]
    settled: set[tuple[int, str]] = set()
    jitter = draw_jitter(candidates, seed)
    while heap:
        cost, _, layer, zone, chain = heapq.heappop(heap)
        if layer >= span.end:
            return chain
        if (layer, zone) in settled or len(chain) >= LONGEST_CHAIN:
            continue
        settled.add((layer, zone))
        for candidate in candidates:
            if not candidate.layers.first <= layer < candidate.layers.end:
                continue
            end = min(candidate.layers.end, span.end)
            part = part_cost(
                engine, candidate, layer, end, work, enters=layer == 0
            )
            if part is None:
                continue
            hop = hop_cost(engine, zone, candidate.zone, work)
            total = cost + part * jitter[candidate.runner_id] + hop
            if (end, candidate.zone) not in settled:
                link = requests.ChainPart(
                    candidate.runner_id, candidate.address, layer, end
                )
                heapq.heappush(
                    heap,
                    (
                        total,
                        next(order),
                        end,
                        candidate.zone,
                        (*chain, link),
                    ),
                )
    return None


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
