"""Place the layers of a model on runners with mixed accelerators.

Runners that hold layers keep them, because loading layers takes seconds. Each
empty runner gets the range of layers with the fewest copies, counted in its own
zone first and then over all zones. A chain can then stay within a zone, and a
lost part has a substitute. The restart of a whole site and the loss of one
runner are handled in the same way.
"""

import dataclasses
from collections import abc

import immutables

from mustardvale.internal.relay import engines, runners

# Copies of the model in each zone, if the memory allows. More than one, so that
# a lost part has a substitute in the zone or in a neighbouring one.
COPIES_PER_ZONE = 1.3
# Copies of the model that a zone must have room for to be planned anew. More
# than one, because ranges of layers do not fit together exactly.
MINIMUM_ZONE_COPIES = 1.08
# Candidates for the number of tokens that fit next to the layers of a runner.
# The largest that still allows enough copies is used, since memory for requests
# is worth more than further copies.
TOKEN_TARGETS = (64_000, 48_000, 40_000, 32_000, 24_000, 16_000, 10_000, 5_000)
# Weight of coverage in the runner's own zone against coverage in all zones.
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
    """Return how many tokens of cache to leave room for on each runner."""
    zones = len({runner.availability_zone for runner in pool})
    for target in TOKEN_TARGETS:
        layer_count = sum(
            engines.compute_maximum_layers(engine, runner.accelerator, target)
            for runner in pool
            if runner.accelerator in engine.accelerators
        )
        if layer_count >= COPIES_PER_ZONE * zones * engine.layer_count:
            return target
    return TOKEN_TARGETS[-1]


def plan_assignments(
    engine: engines.Engine,
    pool: abc.Sequence[runners.ListedRunner],
    held: HeldRanges,
) -> tuple[Assignment, ...]:
    """Return assignments for the runners of a pool that hold no layers.

    `held` maps runners to the range that they hold or have been ordered to
    load.
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
    """Return a range for each empty runner, the largest ranges first.

    Each range leaves room for `target` tokens.
    """
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
    """Pair a new assignment with the number of uncovered layers it covers."""

    assignment: Assignment
    covered_count: float


def find_repair(
    engine: engines.Engine,
    pool: abc.Sequence[runners.ListedRunner],
    held: HeldRanges,
) -> Assignment | None:
    """Return the reassignment of one runner that covers most missing layers.

    Returns `None` if no runner can cover any that its zone lacks. A runner
    may give up its layers only if other runners of its zone hold all of them,
    so that closing one gap does not open another.
    """
    coverage = Coverage(engine.layer_count)
    for runner in pool:
        layers = held.get(runner.runner_id)
        if layers is not None:
            coverage.add_range(runner.availability_zone, layers)
    candidates = (
        find_reassignment(coverage, runner, held[runner.runner_id])
        for runner in pool
        if runner.runner_id in held
    )
    reassignments = [
        candidate for candidate in candidates if candidate is not None
    ]
    best = max(
        reassignments,
        key=lambda candidate: candidate.covered_count,
        default=None,
    )
    return None if best is None else best.assignment


def plan_rebuild(
    engine: engines.Engine,
    pool: abc.Sequence[runners.ListedRunner],
    held: HeldRanges,
) -> tuple[Assignment, ...]:
    """Return new ranges for the first zone with a gap.

    For gaps that no single runner can close: each runner of the zone holds
    more layers and has room for fewer requests. A zone without enough memory
    for the model stays unchanged.
    """
    for zone in sorted({runner.availability_zone for runner in pool}):
        zone_runners = tuple(
            runner
            for runner in pool
            if runner.availability_zone == zone
            and runner.accelerator in engine.accelerators
        )
        if not has_gap(engine, zone_runners, held):
            continue
        target = choose_zone_token_target(engine, zone_runners)
        if target is None:
            continue
        planned = plan_ranges(
            engine, zone_runners, Coverage(engine.layer_count), target
        )
        return tuple(
            assignment
            for assignment in planned
            if held.get(assignment.runner_id) != assignment.layers
        )
    return ()


def has_gap(
    engine: engines.Engine,
    zone_runners: abc.Sequence[runners.ListedRunner],
    held: HeldRanges,
) -> bool:
    """Return whether the runners of a zone hold less than all layers."""
    covered: set[int] = set()
    for runner in zone_runners:
        layers = held.get(runner.runner_id)
        if layers is not None:
            covered.update(range(layers.first, layers.end))
    return len(covered) < engine.layer_count


def choose_zone_token_target(
    engine: engines.Engine, zone_runners: abc.Sequence[runners.ListedRunner]
) -> float | None:
    """Return the token target with which the whole model fits into a zone.

    Returns `None` if it does not fit with any.
    """
    for target in TOKEN_TARGETS:
        layer_count = sum(
            engines.compute_maximum_layers(engine, runner.accelerator, target)
            for runner in zone_runners
        )
        if layer_count >= MINIMUM_ZONE_COPIES * engine.layer_count:
            return target
    return None


def find_reassignment(
    coverage: 'Coverage',
    runner: runners.ListedRunner,
    layers: runners.LayerRange,
) -> Reassignment | None:
    """Return the reassignment of a runner to layers that its zone lacks.

    Returns `None` if there is none. `coverage` is restored before returning.
    """
    zone = runner.availability_zone
    if not coverage.find_gaps(zone):
        return None
    coverage.add_range(zone, layers, -1)
    reassignment = None
    if not coverage.find_gaps(zone) & set(range(layers.first, layers.end)):
        new_layers = coverage.find_least_covered(zone, layers.count)
        covered = coverage.find_gaps(zone) & set(
            range(new_layers.first, new_layers.end)
        )
        if covered:
            reassignment = Reassignment(
                Assignment(runner.runner_id, new_layers), len(covered)
            )
    coverage.add_range(zone, layers, 1)
    return reassignment


class Coverage:
    """Count the runners that hold each layer, per zone and over all zones.

    `zone_boundaries` has the ends of all ranges that were counted in a zone.
    """

    def __init__(self, layer_count: int) -> None:
        self.layer_count = layer_count
        self.total_counts = self.build_zero_counts()
        self.zone_counts: dict[str, list[int]] = {}
        self.zone_boundaries: dict[str, set[int]] = {}

    def build_zero_counts(self) -> list[int]:
        """Return a list with a 0 for each layer."""
        return [0 for _ in range(self.layer_count)]

    def find_gaps(self, zone: str) -> set[int]:
        """Return the layers that no runner of a zone holds.

        A zone of which no range was counted has no gaps.
        """
        counts = self.zone_counts.get(zone, [])
        return {layer for layer, own in enumerate(counts) if not own}

    def add_range(
        self, zone: str, layers: runners.LayerRange, change: int = 1
    ) -> None:
        """Add a range to the counts, or remove it with a `change` of -1."""
        counts = self.zone_counts.setdefault(zone, self.build_zero_counts())
        self.zone_boundaries.setdefault(zone, set()).update(
            (layers.first, layers.end)
        )
        for layer in range(layers.first, min(layers.end, self.layer_count)):
            self.total_counts[layer] += change
            counts[layer] += change

    def find_least_covered(self, zone: str, count: int) -> runners.LayerRange:
        """Return the least covered range of `count` layers.

        Only ranges that begin or end at a boundary of another range of the
        zone are considered, so that chains have few parts and each part can
        be replaced by another. The need of a layer falls with the square of
        its copies, so that one layer without a copy outweighs several layers
        that have one. Of equal ranges the first is returned.
        """
        counts = self.zone_counts.setdefault(zone, self.build_zero_counts())
        need = [
            OWN_ZONE_WEIGHT / (1 + own) ** 2 + 1 / (1 + everywhere) ** 2
            for own, everywhere in zip(counts, self.total_counts, strict=True)
        ]
        best_first, best_need = 0, -1.0
        for first in self.list_aligned_starts(zone, count):
            range_need = sum(need[first : first + count])
            # The margin ignores rounding errors of the sums.
            if range_need > best_need + 1e-9:
                best_first, best_need = first, range_need
        return runners.LayerRange(best_first, best_first + count)

    def list_aligned_starts(self, zone: str, count: int) -> list[int]:
        """Return the starts of ranges that share a boundary with others."""
        boundaries = {0, self.layer_count, *self.zone_boundaries.get(zone, ())}
        starts = boundaries | {end - count for end in boundaries}
        return sorted(
            start for start in starts if 0 <= start <= self.layer_count - count
        )
