"""Measure how evenly the subsets of entry instances load the runners.

    python -m bench.subsets

Each instance is assumed to spread its load evenly over the runners of a stage
in its subset. A policy that uses load reports spreads it at least as evenly.
"""

import collections
import dataclasses
import statistics
import typing

import fire

from bench import measurements
from mustardvale.internal import subsets

COMMAND = 'PYTHONPATH=src:. python -m bench.subsets'


@dataclasses.dataclass(frozen=True, slots=True)
class SiteSize:
    """Hold the numbers of entry instances, runners and stages of all models."""

    name: str
    entries: int
    runners: int
    stages: int


SITE_SIZES = (
    SiteSize('today', 7, 40, 4),
    SiteSize('middle', 60, 400, 8),
    SiteSize('two years', 410, 3400, 32),
)


def build_entry_id(number: int) -> str:
    """Return the id of an entry instance."""
    return f'entry-{number}'


def assign_stages(size: SiteSize) -> dict[str, int]:
    """Return the stage of each runner by its id."""
    return {
        f'runner-{number}': number % size.stages
        for number in range(size.runners)
    }


def choose_subsets(
    size: SiteSize,
    stages: dict[str, int],
) -> dict[str, frozenset[str]]:
    """Return the subset of each entry instance by its id."""
    return {
        build_entry_id(number): subsets.choose(
            subsets.rank(build_entry_id(number), stages),
            stages,
            size.entries,
        )
        for number in range(size.entries)
    }


def compute_relative_loads(
    subsets_by_entry: dict[str, frozenset[str]],
    stages: dict[str, int],
) -> dict[str, float]:
    """Return the load of each runner relative to the mean of its stage."""
    loads: dict[str, float] = dict.fromkeys(stages, 0)
    stage_sizes = collections.Counter(stages.values())
    for subset in subsets_by_entry.values():
        counts = collections.Counter(stages[runner] for runner in subset)
        for runner in subset:
            stage = stages[runner]
            loads[runner] += (
                stage_sizes[stage] / counts[stage] / len(subsets_by_entry)
            )
    return loads


def measure(size: SiteSize) -> dict[str, typing.Any]:
    """Return the imbalance, the polls and the effect of a new runner."""
    stages = assign_stages(size)
    subsets_by_entry = choose_subsets(size, stages)
    loads = compute_relative_loads(subsets_by_entry, stages)
    fewest_runners = min(
        collections.Counter(stages[runner] for runner in subset)[stage]
        for subset in subsets_by_entry.values()
        for stage in range(size.stages)
    )
    largest_subset = max(len(subset) for subset in subsets_by_entry.values())
    period_seconds = subsets.compute_poll_period_seconds(largest_subset)
    pollers_per_runner = statistics.mean(
        len(subset) for subset in subsets_by_entry.values()
    ) * (size.entries / size.runners)
    return {
        'size': dataclasses.asdict(size),
        'largest_subset': largest_subset,
        'fewest_runners_of_a_stage': fewest_runners,
        'load_relative_to_mean': {
            'least': round(min(loads.values()), 3),
            'standard_deviation': round(statistics.pstdev(loads.values()), 3),
            'greatest': round(max(loads.values()), 3),
        },
        'poll_period_seconds': round(period_seconds, 1),
        'polls_of_a_runner_per_second': round(
            pollers_per_runner / period_seconds, 2
        ),
        'join_of_a_runner': measure_join(stages, subsets_by_entry),
    }


def measure_join(
    stages: dict[str, int],
    subsets_by_entry: dict[str, frozenset[str]],
) -> dict[str, int]:
    """Return how many subsets a new runner changes, and by how many runners."""
    new_stages = stages | {'runner-new': 0}
    differences = [
        len(
            subset
            ^ subsets.choose(
                subsets.rank(entry, new_stages),
                new_stages,
                len(subsets_by_entry),
            ),
        )
        for entry, subset in subsets_by_entry.items()
    ]
    return {
        'subsets_changed': sum(bool(difference) for difference in differences),
        'most_changes_of_a_subset': max(differences),
    }


def main() -> None:
    """Measure all sizes, print the results and write them."""
    rows = [measure(size) for size in SITE_SIZES]
    for row in rows:
        print(row)
    measurements.write('subsets', COMMAND, {'sizes': rows})


if __name__ == '__main__':
    fire.Fire(main)
