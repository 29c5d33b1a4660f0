"""Test the relay as separate processes under randomly drawn faults."""

import pathlib
import re
import unittest

from bench import relay_faults, relay_soak

# Seeds with the seconds of their faults. Seed 49 guards against a fault of the
# checker, which ignored a configuration whose confirmation was lost although it
# was in force.
SEEDS_AND_SECONDS = ((1, 6.0), (49, 12.0))

RESTORING_KINDS = (
    'runner_endless',
    'runner_endless',
    'restarts_beside_restore',
    'revoke',
)
ANNOUNCING_KINDS = (
    'runner_leaves',
    'runner_leaves_as_listed',
    'runner_asks_to_wait',
)


class SeededRuns(unittest.TestCase):
    """No promise is broken while faults overlap."""

    def test_seeds(self) -> None:
        """Guard against violations that occur only between processes."""
        for seed, seconds in SEEDS_AND_SECONDS:
            with self.subTest(seed=seed):
                outcome = relay_soak.run(seed, seconds)
                self.assertEqual((), outcome.violations, outcome.directory)
                self.assertGreater(outcome.outcome_counts['200'], 0)

    def test_odd_entries(self) -> None:
        """Guard against instances that odd entries of the list stop or end.

        Runners drain meanwhile, so that an instance that no longer reads the
        list sends to a runner that has left.
        """
        outcome = relay_soak.run(
            5,
            6.0,
            (
                'odd_entry',
                'odd_entry',
                'plain_runner_drains',
                'runner_drains',
                'runner_crashes',
            ),
        )
        self.assertEqual((), outcome.violations, outcome.directory)
        self.assertIn('LeaveEntry', str(outcome.faults))
        self.assertIn('draining', str(outcome.faults))
        self.assertGreater(outcome.outcome_counts['200'], 0)
        for log in pathlib.Path(outcome.directory).glob('*.log'):
            self.assertNotIn('Traceback', log.read_text(), log)

    def test_starts_beside_restores_and_endless_answers(self) -> None:
        """Guard against keys that a restored store brings back at a start.

        Runners send events without an end meanwhile, and keys are removed.
        """
        outcome = relay_soak.run(7001, 12.0, RESTORING_KINDS)
        self.assertEqual((), outcome.violations, outcome.directory)
        self.assertIn('RestartBesideRestore', str(outcome.faults))
        self.assertIn('endless', str(outcome.faults))
        self.assertGreater(outcome.outcome_counts['200'], 0)

    def test_runners_that_announce(self) -> None:
        """Guard against runners that leave or ask to wait and get requests."""
        outcome = relay_soak.run(4202, 12.0, ANNOUNCING_KINDS)
        self.assertEqual((), outcome.violations, outcome.directory)
        self.assertIn('leaving', str(outcome.faults))
        self.assertIn('retry_after_seconds', str(outcome.faults))
        self.assertGreater(outcome.outcome_counts['200'], 0)
        heard = set()
        for log in pathlib.Path(outcome.directory).glob('entry-*.log'):
            heard.update(
                re.findall(r'"message": "(runner_\w+)', log.read_text())
            )
        self.assertLessEqual({'runner_leaving', 'runner_asks_to_wait'}, heard)


class FaultPlans(unittest.TestCase):
    """Plans of faults are reproducible, complete and overlapping."""

    def setUp(self) -> None:
        self.targets = relay_faults.FaultTargets(('e0',), ('m0', 'm1'), ('p0',))

    def test_same_seed_same_faults(self) -> None:
        """Guard against violations that cannot be reproduced by their seed."""
        first, second = (
            relay_faults.draw_plan(7, 20, self.targets) for _ in range(2)
        )
        self.assertEqual(first, second)

    def test_every_kind_is_drawn(self) -> None:
        """Guard against kinds of faults that are never drawn."""
        drawn = {
            type(planned.fault).__name__
            for seed in range(20)
            for planned in relay_faults.draw_plan(seed, 20, self.targets)
        }
        self.assertLessEqual(
            {'KillAll', 'DisturbStore', 'Configure', 'ChangeSettings'}, drawn
        )

    def test_named_kinds_are_drawn(self) -> None:
        """Guard against kinds that `all` leaves out or that cannot be drawn."""
        kinds = relay_faults.choose_kinds('all')
        for kind in kinds:
            with self.subTest(kind=kind):
                plan = relay_faults.draw_plan(1, 20, self.targets, (kind,))
                self.assertGreater(len(plan), 5)
        self.assertLess(set(relay_faults.KINDS), set(kinds))

    def test_faults_overlap(self) -> None:
        """Guard against faults that only occur one after the other."""
        plan = relay_faults.draw_plan(3, 20, self.targets)
        ends = [planned.at + planned.seconds for planned in plan]
        overlapping = sum(
            later.at < end for end, later in zip(ends, plan[1:], strict=False)
        )
        self.assertGreater(overlapping, len(plan) / 3)
