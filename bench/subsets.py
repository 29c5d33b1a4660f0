"""Measure how evenly the subsets of the entry instances use the runners.

    python -m bench.subsets

Every instance is taken to spread its own load evenly over the runners of each
stage in its subset, which is the worst that a policy with load reports does.
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
    """Describe a site: entry instances, runners and stages of all models."""

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
    """Return the stage of each runner."""
    return {
        f'runner-{number}': number % size.stages
        for number in range(size.runners)
    }


def choose_subsets(
    size: SiteSize,
    stages: dict[str, int],
) -> dict[str, frozenset[str]]:
    """Return the subset of each entry instance."""
    return {
        build_entry_id(number): subsets.choose(
            subsets.rank(build_entry_id(number), stages),
            stages,
            size.entries,
        )
        for number in range(size.entries)
    }


def compute_relative_loads(
    chosen: dict[str, frozenset[str]],
    stages: dict[str, int],
) -> dict[str, float]:
    """Return the load of each runner relative to the mean of its stage."""
    loads: dict[str, float] = dict.fromkeys(stages, 0)
    members = collections.Counter(stages.values())
    for subset in chosen.values():
        counts = collections.Counter(stages[one] for one in subset)
        for one in subset:
            stage = stages[one]
            loads[one] += members[stage] / counts[stage] / len(chosen)
    return loads


def measure(size: SiteSize) -> dict[str, typing.Any]:
    """Return the imbalance at a site and what a change of a member costs."""
    stages = assign_stages(size)
    chosen = choose_subsets(size, stages)
    loads = compute_relative_loads(chosen, stages)
    smallest = min(
        collections.Counter(stages[one] for one in subset)[stage]
        for subset in chosen.values()
        for stage in range(size.stages)
    )
    members = max(len(subset) for subset in chosen.values())
    period = subsets.compute_poll_period_seconds(members)
    asked = statistics.mean(len(subset) for subset in chosen.values()) * (
        size.entries / size.runners
    )
    return {
        'size': dataclasses.asdict(size),
        'largest_subset': members,
        'fewest_runners_of_a_stage': smallest,
        'load_relative_to_mean': {
            'least': round(min(loads.values()), 3),
            'standard_deviation': round(statistics.pstdev(loads.values()), 3),
            'greatest': round(max(loads.values()), 3),
        },
        'poll_period_seconds': round(period, 1),
        'polls_of_a_runner_per_second': round(asked / period, 2),
        'join_of_a_runner': measure_join(stages, chosen),
    }


def measure_join(
    stages: dict[str, int],
    chosen: dict[str, frozenset[str]],
) -> dict[str, int]:
    """Return how many subsets a new runner changes, and by how many runners."""
    after = stages | {'runner-new': 0}
    differences = [
        len(
            subset
            ^ subsets.choose(subsets.rank(entry, after), after, len(chosen)),
        )
        for entry, subset in chosen.items()
    ]
    return {
        'subsets_changed': sum(bool(one) for one in differences),
        'most_changes_of_a_subset': max(differences),
    }


def main() -> None:
    """Measure all sizes."""
    rows = [measure(size) for size in SITE_SIZES]
    for row in rows:
        print(row)
    measurements.write('subsets', COMMAND, {'sizes': rows})


if __name__ == '__main__':
    fire.Fire(main)
