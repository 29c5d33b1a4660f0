"""Find the cheapest parts that cover consecutive layers.

Both searches keep the cheapest way to each layer that has been reached and
extend it in the order of layers. They work on plain numbers, because a choice
tries some hundred parts; the chain is built once, from the parts found.
"""

import dataclasses
import itertools
import math
import typing
from collections import abc

# Runners with an estimated load of this share or more are left out. The limit
# is above 1 because the load is an estimate: up to it the runner may still have
# room, beyond it there certainly is none. A full runner refuses the request, or
# repeats its prefill later, which delays the other requests of the runner too.
FULL_LOAD_SHARE = 1.3
# Up to this share the cost grows as in a queue, by 1 / (1 - share). Above it
# the cost grows linearly, by `OVERFULL_FACTOR`.
MAXIMUM_CROWDING_SHARE = 0.9
OVERFULL_FACTOR = 10.0
# Mean wait for the next step of a runner, added for each part.
STEP_WAIT_SECONDS = 0.02
MAXIMUM_CHAIN_PARTS = 32
# Ways to a zone whose costs differ by less than this can cost the same once the
# cost of a part is added, because of rounding. Each of them is tried.
ROUNDING_SHARE = 1e-9
ROUNDING_SECONDS = 1e-6


class PartCosts(typing.NamedTuple):
    """Hold what a part on a runner costs one request.

    `memory_share` is the share of the runner's memory that is in use, and
    `memory_share_per_layer` the share that the request takes. `cost_factor`
    includes a random addition. `slot_share` is the share of its slots that is
    in use if the chain begins there. A choice builds one for each runner; a
    tuple takes half the time of a frozen data class.
    """

    end: int
    memory_share: float
    memory_share_per_layer: float
    seconds_per_layer: float
    cost_factor: float
    slot_share: float


class Way(typing.NamedTuple):
    """Hold the cheapest way to a layer in a zone.

    `position` is that of the runner of its last part, and `first` the first
    layer of that part.
    """

    cost: float
    part_count: int
    position: int
    first: int
    before: 'Way | None'


# Costs that no search accepts, because the memory is full.
UNUSABLE = PartCosts(0, math.inf, 0.0, 0.0, 1.0, 0.0)
# The costs of each runner, or `None` until they are needed.
CostList: typing.TypeAlias = abc.MutableSequence[PartCosts | None]
# The positions in such a list of the runners that hold each layer.
PositionsByLayer: typing.TypeAlias = abc.Sequence[abc.Sequence[int]]
# The end of a part, and a lower bound of its time in seconds for one layer. A
# choice builds one for each runner; named tuples take much longer to build.
LeastPart: typing.TypeAlias = tuple[int, float]
# Returns the cost of a crossing between zones, or `None` if its link is full.
CrossingLookup: typing.TypeAlias = abc.Callable[[str, str], float | None]


@dataclasses.dataclass(frozen=True, slots=True)
class FoundPart:
    """Name a part by the position of its runner; `end_layer` is exclusive."""

    position: int
    first_layer: int
    end_layer: int


@dataclasses.dataclass(frozen=True, slots=True)
class FoundParts:
    """Hold the parts of the cheapest chain and their cost in seconds."""

    cost: float
    parts: tuple[FoundPart, ...]


def compute_part_cost(costs: PartCosts, first: int, end: int) -> float:
    """Return the cost of a part in seconds, infinite if the runner is full."""
    layer_count = end - first
    used_share = costs.memory_share + costs.memory_share_per_layer * layer_count
    if not first and costs.slot_share > used_share:
        used_share = costs.slot_share
    seconds = costs.seconds_per_layer * layer_count + STEP_WAIT_SECONDS
    seconds *= costs.cost_factor
    if used_share <= MAXIMUM_CROWDING_SHARE:
        return seconds * (1 / (1 - used_share))
    if used_share >= FULL_LOAD_SHARE:
        return math.inf
    crowding = 1 / (1 - MAXIMUM_CROWDING_SHARE)
    overfull_share = used_share - MAXIMUM_CROWDING_SHARE
    return seconds * (crowding * (1 + overfull_share * OVERFULL_FACTOR))


@dataclasses.dataclass(frozen=True, slots=True)
class Search:
    """Hold what a search considers.

    `cost_list` has the costs of each runner by its position, or `None` until
    the search needs them and calls `build_costs`. `least_costs` has lower
    bounds of the cost of chains from each layer to the end. Chains that cost
    more than `limit` seconds are not searched. `least_parts` has lower bounds
    by position; only searches of one zone need them, where `cost_list` has a
    `None`.
    """

    cost_list: CostList
    build_costs: abc.Callable[[int], PartCosts]
    positions_by_layer: PositionsByLayer
    least_costs: abc.Sequence[float]
    limit: float = math.inf
    least_parts: abc.Sequence[LeastPart] = ()

    def find_costs(self, position: int) -> PartCosts:
        """Return the costs of a runner."""
        costs = self.cost_list[position]
        if costs is None:
            costs = self.build_costs(position)
            self.cost_list[position] = costs
        return costs


def build_search(
    cost_list: CostList, positions_by_layer: PositionsByLayer
) -> Search:
    """Return a search with known costs and without a limit."""
    return Search(
        cost_list,
        lambda position: UNUSABLE,
        positions_by_layer,
        list(itertools.repeat(0.0, len(positions_by_layer) + 1)),
    )


def find_zone_parts(search: Search) -> FoundParts | None:
    """Return the cheapest parts over all layers on runners of one zone."""
    ways = ZoneWays(len(search.positions_by_layer))
    for layer, least_cost in enumerate(search.least_costs[:-1]):
        cost = ways.costs[layer]
        is_reached = cost < math.inf and cost + least_cost <= search.limit
        if is_reached and ways.part_counts[layer] < MAXIMUM_CHAIN_PARTS:
            ways.extend(layer, search)
    cost = ways.costs[-1]
    if cost > search.limit or cost == math.inf:
        return None
    return FoundParts(cost, ways.trace_parts())


class ZoneWays:
    """Hold the cheapest way to each layer on the runners of one zone."""

    def __init__(self, layer_count: int) -> None:
        self.costs = [0.0, *itertools.repeat(math.inf, layer_count)]
        self.part_counts = list(itertools.repeat(0, layer_count + 1))
        self.last_parts = list(itertools.repeat((0, 0), layer_count + 1))

    def extend(self, layer: int, search: Search) -> None:
        """Extend the way to a layer by a part on each runner that holds it."""
        cost_before = self.costs[layer]
        cost_left = search.limit - cost_before
        cost_list, build_costs = search.cost_list, search.build_costs
        for position in search.positions_by_layer[layer]:
            costs = cost_list[position]
            if costs is None:
                end, seconds_per_layer = search.least_parts[position]
                part_cost = seconds_per_layer * (end - layer)
                if part_cost + search.least_costs[end] > cost_left:
                    continue
                costs = build_costs(position)
                cost_list[position] = costs
            end = costs.end
            cost = cost_before + compute_part_cost(costs, layer, end)
            if cost < self.costs[end]:
                self.costs[end] = cost
                self.part_counts[end] = self.part_counts[layer] + 1
                self.last_parts[end] = (position, layer)

    def trace_parts(self) -> tuple[FoundPart, ...]:
        """Return the parts of the way to the last layer."""
        parts = []
        end = len(self.last_parts) - 1
        while end:
            position, first = self.last_parts[end]
            parts.append(FoundPart(position, first, end))
            end = first
        return tuple(reversed(parts))


@dataclasses.dataclass(frozen=True, slots=True)
class SiteSpan:
    """Name the layers to cover by runners of several zones.

    `zones` has the zone of each runner, and `source_zone` is that of the part
    before the span, or empty at the start.
    """

    zones: abc.Sequence[str]
    first: int
    end: int
    source_zone: str


def find_site_parts(
    search: Search, span: SiteSpan, find_crossing: CrossingLookup
) -> FoundParts | None:
    """Return the cheapest parts over a span on runners of several zones."""
    ways = SiteWays(search, span, find_crossing)
    for layer in range(span.first, span.end):
        ways.extend(layer)
    complete = ways.ways[span.end].values()
    found = min(complete, key=lambda way: way.cost, default=None)
    if found is None or found.cost > search.limit:
        return None
    return FoundParts(found.cost, trace_way(found, span.end))


class SiteWays:
    """Hold the cheapest way to each layer in each zone.

    A part always leads to a later layer, so that the ways to a layer are final
    when it is reached. `limit` falls to the cost of the cheapest chain so far.
    """

    def __init__(
        self, search: Search, span: SiteSpan, find_crossing: CrossingLookup
    ) -> None:
        self.search = search
        self.span = span
        self.find_crossing = find_crossing
        self.limit = search.limit
        self.ways: list[dict[str, Way]] = [{} for _ in range(span.end + 1)]
        self.ways[span.first][span.source_zone] = Way(0.0, 0, -1, -1, None)

    def extend(self, layer: int) -> None:
        """Extend the ways to a layer by a part on each runner that holds it."""
        usable = self.list_usable(layer)
        if not usable:
            return
        entries: dict[str, list[tuple[float, Way]]] = {}
        for position in self.search.positions_by_layer[layer]:
            costs = self.search.find_costs(position)
            end = min(costs.end, self.span.end)
            part_cost = compute_part_cost(costs, layer, end)
            if part_cost < math.inf:
                zone = self.span.zones[position]
                if zone not in entries:
                    entries[zone] = self.list_entries(usable, zone)
                self.enter(entries[zone], part_cost, position, (layer, end))

    def list_usable(self, layer: int) -> list[tuple[str, Way]]:
        """Return the ways to a layer that can still become the cheapest."""
        left_seconds = self.search.least_costs[layer]
        return [
            (zone, way)
            for zone, way in self.ways[layer].items()
            if way.cost + left_seconds <= self.limit
            and way.part_count < MAXIMUM_CHAIN_PARTS
        ]

    def list_entries(
        self, ways: list[tuple[str, Way]], zone: str
    ) -> list[tuple[float, Way]]:
        """Return the ways that may be the cheapest into a zone.

        Each comes with the cost of its crossing.
        """
        entries = [
            (crossing, way)
            for source, way in ways
            if (crossing := self.find_crossing(source, zone)) is not None
        ]
        costs = [way.cost + crossing for crossing, way in entries]
        threshold = min(costs, default=0.0) * (1 + ROUNDING_SHARE)
        threshold += ROUNDING_SECONDS
        return [
            entry
            for entry, cost in zip(entries, costs, strict=True)
            if cost <= threshold
        ]

    def enter(
        self,
        entries: list[tuple[float, Way]],
        part_cost: float,
        position: int,
        layers: tuple[int, int],
    ) -> None:
        """Store a part after the cheapest way into its zone, if cheaper."""
        zone = self.span.zones[position]
        first, end = layers
        known = self.ways[end].get(zone)
        known_cost = math.inf if known is None else known.cost
        for crossing, way in entries:
            cost = way.cost + part_cost + crossing
            if cost < known_cost:
                known_cost = cost
                self.ways[end][zone] = Way(
                    cost, way.part_count + 1, position, first, way
                )
        if end == self.span.end:
            self.limit = min(self.limit, known_cost)


def trace_way(way: Way, end: int) -> tuple[FoundPart, ...]:
    """Return the parts of a way up to a layer."""
    parts = []
    last = way
    while last.before is not None:
        parts.append(FoundPart(last.position, last.first, end))
        end = last.first
        last = last.before
    return tuple(reversed(parts))
