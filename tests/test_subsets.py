"""Test the choice of the runners that an entry instance uses."""

import collections
import math
import unittest

import hypothesis
from hypothesis import strategies

from bench import subsets as bench_subsets
from mustardvale.internal import subsets

ENTRIES = 410


class SubsetChoice(unittest.TestCase):
    """Each instance uses enough runners of every stage."""

    @hypothesis.given(
        entry=strategies.integers(0, 1000),
        runners=strategies.integers(0, 400),
        stages=strategies.integers(1, 24),
    )
    def test_every_stage_has_enough_runners(
        self,
        entry: int,
        runners: int,
        stages: int,
    ) -> None:
        """Guard against a stage that an instance cannot reach."""
        known = {
            f'runner-{number}': number % stages for number in range(runners)
        }
        ranked = subsets.rank(f'entry-{entry}', known)
        chosen = subsets.choose(ranked, known, ENTRIES)
        present = collections.Counter(known.values())
        counts = collections.Counter(known[runner] for runner in chosen)
        for stage, count in present.items():
            wanted = min(subsets.MINIMUM_STAGE_RUNNERS, count)
            self.assertGreaterEqual(counts[stage], wanted)
        self.assertGreaterEqual(
            len(chosen),
            math.ceil(subsets.SUBSET_SHARE * runners),
        )

    def test_small_site_uses_all(self) -> None:
        """Guard against unused runners at a small site."""
        ids = tuple(f'runner-{number}' for number in range(40))
        chosen = subsets.choose(subsets.rank('entry-0', ids), {}, 7)
        self.assertEqual(chosen, frozenset(ids))

    def test_stages_are_learnt_in_a_few_rounds(self) -> None:
        """Guard against a rare stage that is never discovered."""
        actual = {
            f'runner-{number}': 0 if number % 50 else 1
            for number in range(1000)
        }
        ranked = subsets.rank('entry-0', actual)
        known: dict[str, int] = {}
        for _ in range(30):
            chosen = subsets.choose(ranked, known, ENTRIES)
            known |= {runner: actual[runner] for runner in chosen}
        rare = sum(
            actual[runner] for runner in subsets.choose(ranked, known, ENTRIES)
        )
        self.assertGreaterEqual(rare, subsets.MINIMUM_STAGE_RUNNERS)
        self.assertLess(len(subsets.choose(ranked, known, ENTRIES)), 250)


class SubsetBalance(unittest.TestCase):
    """Subsets spread the load evenly and change little."""

    size = bench_subsets.SITE_SIZES[-1]

    def test_load_of_runners_is_bounded(self) -> None:
        """Guard against runners that far more instances use than others.

        The standard deviation should be a tenth of the mean, so that none of
        3,400 runners is expected to be five standard deviations away from it.
        """
        for size in bench_subsets.SITE_SIZES:
            with self.subTest(size=size.name):
                stages = bench_subsets.assign_stages(size)
                chosen = bench_subsets.choose_subsets(size, stages)
                loads = bench_subsets.compute_relative_loads(
                    chosen, stages
                ).values()
                self.assertLess(max(loads), 1.5)
                self.assertGreater(min(loads), 0.5)

    def test_join_of_an_instance_changes_no_other_subset(self) -> None:
        """Guard against subsets that depend on the other instances."""
        stages = bench_subsets.assign_stages(self.size)
        ranked = subsets.rank('entry-1', stages)
        self.assertEqual(
            subsets.choose(ranked, stages, ENTRIES),
            subsets.choose(
                subsets.rank('entry-1', reversed(stages)),
                stages,
                ENTRIES,
            ),
        )

    def test_loss_of_a_runner_changes_a_subset_by_few(self) -> None:
        """Guard against subsets that are reshuffled by each change."""
        stages = bench_subsets.assign_stages(self.size)
        before = subsets.choose(
            subsets.rank('entry-1', stages),
            stages,
            ENTRIES,
        )
        lost = min(before)
        remaining = {
            runner: stages[runner] for runner in stages if runner != lost
        }
        after = subsets.choose(
            subsets.rank('entry-1', remaining),
            remaining,
            ENTRIES,
        )
        self.assertEqual(before - after, {lost})
        self.assertLessEqual(len(after - before), 1)
