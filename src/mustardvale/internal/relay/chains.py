"""Choose the chain of runners that carries a model request.

A chain is a pipeline over the layers of the model: each part names a runner
and the consecutive layers that it runs. The search finds the cheapest chain to
each pair of layer and zone, in the order of layers. The cost of a part is its
expected time, which rises as the runner's memory or its slots fill up.
"""

import dataclasses
import functools
import random
import typing
from collections import abc

from mustardvale.internal.relay import (
    chain_search,
    engines,
    loads,
    part_terms,
    requests,
    runners,
)

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
# Largest random addition to a cost, as a share of it. It keeps instances from
# choosing the same runners.
JITTER_SHARE = 0.25
# The same chain costs at most this much more with other random additions.
# Includes a margin for rounding.
MAXIMUM_JITTER = (1 + JITTER_SHARE) * (1 + chain_search.ROUNDING_SHARE)


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
        compute_cost_factor(runner, now),
    )


def compute_cost_factor(runner: runners.Runner, now: float) -> float:
    """Return the factor for recent failures and for a reported slowdown."""
    factor = DEPRIORITIZED_FACTOR if runner.deprioritized_until > now else 1.0
    if runner.slowdown_until > now:
        factor *= max(runner.slowdown, 1.0)
    return factor


def build_part_costs(
    engine: engines.Engine,
    candidate: Candidate,
    work: Work,
    random_fraction: float,
) -> chain_search.PartCosts:
    """Return the costs of a candidate; the fraction is from 0 to 1."""
    step = engines.compute_step_seconds(
        engine, candidate.accelerator, 1, candidate.sequence_count
    )
    prefill = engines.compute_prefill_seconds(
        engine, candidate.accelerator, 1, work.prompt_tokens
    )
    tokens = work.prompt_tokens + work.output_tokens
    return chain_search.PartCosts(
        candidate.layers.end,
        candidate.memory_share,
        tokens / max(candidate.token_layer_capacity, 1.0),
        step * work.output_tokens + prefill,
        candidate.cost_factor * (1 + JITTER_SHARE * random_fraction),
        candidate.slot_share + 1 / engine.slots,
    )


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
    draw = random.Random(seed).random
    search = chain_search.build_search(
        [
            build_part_costs(engine, candidate, work, draw())
            for candidate in candidates
        ],
        part_terms.index_layers(
            engine.layer_count,
            (
                (candidate.layers.first, candidate.layers.end)
                for candidate in candidates
            ),
        ),
    )
    found = chain_search.find_site_parts(
        search,
        chain_search.SiteSpan(
            [candidate.zone for candidate in candidates],
            span.first,
            span.end,
            span.source_zone,
        ),
        build_crossing_lookup(engine, work, find_link_load),
    )
    return None if found is None else build_chain(found, candidates)


def build_crossing_lookup(
    engine: engines.Engine, work: Work, find_link_load: LinkLoadLookup
) -> chain_search.CrossingLookup:
    """Return a function that gives the cost of each crossing for a request.

    It returns `None` if the link is full.
    """

    @functools.cache
    def find_crossing(source: str, target: str) -> float | None:
        if not source or source == target:
            return 0.0
        link_requests = find_link_load(source, target)
        return compute_crossing_cost(
            engine, source, target, work, link_requests
        )

    return find_crossing


class Place(typing.Protocol):
    """Name what a chain shows of a runner."""

    @property
    def runner_id(self) -> str:
        """Return the id of the runner."""

    @property
    def address(self) -> str:
        """Return its address."""

    @property
    def zone(self) -> str:
        """Return its zone."""


def build_chain(
    found: chain_search.FoundParts, places: abc.Sequence[Place | None]
) -> requests.Chain:
    """Return the chain of the parts that a search has found."""
    chain = []
    for part in found.parts:
        place = places[part.position]
        assert place is not None, 'a runner without layers is in no chain'
        chain.append(
            requests.ChainPart(
                place.runner_id,
                place.address,
                part.first_layer,
                part.end_layer,
                place.zone,
            )
        )
    return tuple(chain)
