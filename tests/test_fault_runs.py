"""Test a site of separate processes under overlapping faults."""

import unittest

from bench import fault_run

RUN_SECONDS = 16
REQUESTS_PER_SECOND = 8


class FaultRuns(unittest.TestCase):
    """No promise is broken while several faults overlap."""

    def assert_no_violation(self, seed: int) -> None:
        """Run one seed and expect right answers without violations."""
        outcome = fault_run.run(seed, RUN_SECONDS, rate=REQUESTS_PER_SECOND)
        self.assertEqual(outcome.violations, ())
        self.assertGreater(outcome.verdicts['answer'].get('right', 0), 0)
        self.assertGreater(outcome.verdicts['action'].get('right', 0), 0)

    def test_seed_11(self) -> None:
        """Guard against violations under the faults of seed 11."""
        self.assert_no_violation(11)

    def test_seed_12(self) -> None:
        """Guard against violations under the faults of seed 12."""
        self.assert_no_violation(12)


class GracefulShutdowns(unittest.TestCase):
    """A rolling replacement of entry instances aborts no request (P6)."""

    def test_rolling_replacement(self) -> None:
        """Guard against graceful shutdowns that abort requests in flight."""
        outcome = fault_run.run(
            13,
            RUN_SECONDS,
            kinds=('stop_entry',),
            rate=REQUESTS_PER_SECOND,
            period_seconds=3.0,
        )
        self.assertEqual(outcome.violations, ())
        for verdicts in outcome.verdicts.values():
            self.assertEqual(set(verdicts) - {'right'}, set())
