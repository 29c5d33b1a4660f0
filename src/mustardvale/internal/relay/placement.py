"""Place the layers of a model on runners with mixed accelerators.

Runners that hold layers keep them: a load takes seconds and is dear. Each
empty runner gets the range whose layers the fewest others hold, first within
its own zone and then anywhere, so that a chain can stay within a zone and a
lost part has a substitute. A restart of the whole site and the loss of one
runner therefore take the same path.
"""

import dataclasses
from collections import abc

import immutables

from mustardvale.internal.relay import engines, runners

# Each zone should hold the model and half of it again, so that a lost part
# has a substitute in the zone or next to it.
COPIES_PER_ZONE = 1.3
# A zone that lost runners is built anew with this much of the model; ranges do
# not fit together exactly.
MINIMUM_ZONE_COPIES = 1.08
# Tokens that fit beside the layers of a runner, the best case first. Memory
# for requests goes before more copies while each zone holds enough of them.
TOKEN_TARGETS = (64_000, 48_000, 40_000, 32_000, 24_000, 16_000, 10_000, 5_000)
# Coverage in the own zone counts for more than coverage anywhere.
OWN_ZONE_WEIGHT = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """Name the layers that a runner should hold."""

    runner_id: str
    layers: runners.LayerRange


HeldRanges = immutables.Map[str, runners.LayerRange]


def choose_token_target(
    engine: engines.Engine, pool: abc.Sequence[runners.ListedRunner]
) -> float:
    """Return how many tokens to leave room for beside the layers."""
    zones = len({runner.availability_zone for runner in pool})
    for target in TOKEN_TARGETS:
        layers = sum(
            engines.compute_maximum_layers(engine, runner.accelerator, target)
            for runner in pool
            if runner.accelerator in engine.accelerators
        )
        if layers >= COPIES_PER_ZONE * zones * engine.layer_count:
            return target
    return TOKEN_TARGETS[-1]


def plan_assignments(
    engine: engines.Engine,
    pool: abc.Sequence[runners.ListedRunner],
    held: HeldRanges,
) -> tuple[Assignment, ...]:
    """Return assignments for the runners of a pool that hold nothing.

    `held` has the range of each runner that has layers or gets them.
    """
    target = choose_token_target(engine, pool)
    coverage = Coverage(engine.layer_count)
    for runner in pool:
        layers = held.get(runner.runner_id)
        if layers is not None:
            coverage.add_range(runner.availability_zone, layers)
    empty = tuple(
        runner
        for runner in pool
        if runner.runner_id not in held
        and runner.accelerator in engine.accelerators
    )
    return plan_ranges(engine, empty, coverage, target)


def plan_ranges(
    engine: engines.Engine,
    empty: abc.Sequence[runners.ListedRunner],
    coverage: 'Coverage',
    target: float,
) -> tuple[Assignment, ...]:
    """Return ranges that leave room for some tokens, the largest first."""
    sized = sorted(
        (
            (
                engines.compute_maximum_layers(
                    engine, runner.accelerator, target
                ),
                runner,
            )
            for runner in empty
        ),
        key=lambda pair: (-pair[0], pair[1].runner_id),
    )
    assignments = []
    for count, runner in sized:
        if count < 1:
            continue
        layers = coverage.find_least_covered(runner.availability_zone, count)
        coverage.add_range(runner.availability_zone, layers)
        assignments.append(Assignment(runner.runner_id, layers))
    return tuple(assignments)


@dataclasses.dataclass(frozen=True, slots=True)
class Reassignment:
    """Pair an assignment of a runner that holds layers with its gain."""

    assignment: Assignment
    closed_layers: float


def find_repair(
    engine: engines.Engine,
    pool: abc.Sequence[runners.ListedRunner],
    held: HeldRanges,
) -> Assignment | None:
    """Return how one runner closes a gap of its zone, if any can.

    A runner may give up its layers only where others of its zone hold all of
    them, so that closing one gap does not open another.
    """
    coverage = Coverage(engine.layer_count)
    for runner in pool:
        layers = held.get(runner.runner_id)
        if layers is not None:
            coverage.add_range(runner.availability_zone, layers)
    found = (
        find_reassignment(coverage, runner, held[runner.runner_id])
        for runner in pool
        if runner.runner_id in held
    )
    changes = [change for change in found if change is not None]
    best = max(changes, key=lambda change: change.closed_layers, default=None)
    return None if best is None else best.assignment


def plan_rebuild(
    engine: engines.Engine,
    pool: abc.Sequence[runners.ListedRunner],
    held: HeldRanges,
) -> tuple[Assignment, ...]:
    """Return new ranges for a zone whose gaps no single runner can close.

    The runners of the zone hold more layers each and have room for fewer
    requests. A zone too small for the model stays as it is.
    """
    for zone in sorted({runner.availability_zone for runner in pool}):
        local = tuple(
            runner
            for runner in pool
            if runner.availability_zone == zone
            and runner.accelerator in engine.accelerators
        )
        if not has_gap(engine, local, held):
            continue
        target = choose_zone_token_target(engine, local)
        if target is None:
            continue
        planned = plan_ranges(
            engine, local, Coverage(engine.layer_count), target
        )
        return tuple(
            assignment
            for assignment in planned
            if held.get(assignment.runner_id) != assignment.layers
        )
    return ()


def has_gap(
    engine: engines.Engine,
    local: abc.Sequence[runners.ListedRunner],
    held: HeldRanges,
) -> bool:
    """Return whether some layers are held by none of the runners of a zone."""
    found: set[int] = set()
    for runner in local:
        layers = held.get(runner.runner_id)
        if layers is not None:
            found.update(range(layers.first, layers.end))
    return len(found) < engine.layer_count


def choose_zone_token_target(
    engine: engines.Engine, local: abc.Sequence[runners.ListedRunner]
) -> float | None:
    """Return how many tokens to leave room for when a zone holds the model."""
    for target in TOKEN_TARGETS:
        layers = sum(
            engines.compute_maximum_layers(engine, runner.accelerator, target)
            for runner in local
        )
        if layers >= MINIMUM_ZONE_COPIES * engine.layer_count:
            return target
    return None


def find_reassignment(
    coverage: 'Coverage',
    runner: runners.ListedRunner,
    layers: runners.LayerRange,
) -> Reassignment | None:
    """Return how a runner closes a gap of its zone, if it can."""
    zone = runner.availability_zone
    if not coverage.find_gaps(zone):
        return None
    coverage.add_range(zone, layers, -1)
    changed = None
    if not coverage.find_gaps(zone) & set(range(layers.first, layers.end)):
        target = coverage.find_least_covered(zone, layers.count)
        closed = coverage.find_gaps(zone) & set(range(target.first, target.end))
        if closed:
            changed = Reassignment(
                Assignment(runner.runner_id, target), len(closed)
            )
    coverage.add_range(zone, layers, 1)
    return changed


class Coverage:
    """Count how many runners hold each layer, in each zone and anywhere."""

    def __init__(self, layer_count: int) -> None:
        self.layer_count = layer_count
        self.site_counts = self.build_zero_counts()
        self.zone_counts: dict[str, list[int]] = {}
        self.zone_boundaries: dict[str, set[int]] = {}

    def build_zero_counts(self) -> list[int]:
        """Return a count of nothing for each layer."""
        return [0 for _ in range(self.layer_count)]

    def find_gaps(self, zone: str) -> set[int]:
        """Return the layers that no runner of a zone holds."""
        counts = self.zone_counts.get(zone, [])
        return {layer for layer, own in enumerate(counts) if not own}

    def add_range(
        self, zone: str, layers: runners.LayerRange, change: int = 1
    ) -> None:
        """Count a range, or take it away with a change of -1."""
        counts = self.zone_counts.setdefault(zone, self.build_zero_counts())
        self.zone_boundaries.setdefault(zone, set()).update(
            (layers.first, layers.end)
        )
        for layer in range(layers.first, min(layers.end, self.layer_count)):
            self.site_counts[layer] += change
            counts[layer] += change

    def find_least_covered(self, zone: str, count: int) -> runners.LayerRange:
        """Return the first of the least covered ranges of some layers.

        Only ranges that begin or end where another one of the zone does are
        looked at, so that chains have few parts and parts have substitutes.
        Squares make a layer that nobody holds weigh more than several that
        one more runner would hold.
        """
        counts = self.zone_counts.setdefault(zone, self.build_zero_counts())
        need = [
            OWN_ZONE_WEIGHT / (1 + own) ** 2 + 1 / (1 + everywhere) ** 2
            for own, everywhere in zip(counts, self.site_counts, strict=True)
        ]
        best_first, best_need = 0, -1.0
        for first in self.list_aligned_starts(zone, count):
            window = sum(need[first : first + count])
            # Differences in the last digits are no differences.
            if window > best_need + 1e-9:
                best_first, best_need = first, window
        return runners.LayerRange(best_first, best_first + count)

    def list_aligned_starts(self, zone: str, count: int) -> list[int]:
        """Return the starts of ranges that fit to those of a zone."""
        cuts = {0, self.layer_count, *self.zone_boundaries.get(zone, ())}
        starts = cuts | {cut - count for cut in cuts}
        return sorted(
            start for start in starts if 0 <= start <= self.layer_count - count
        )
