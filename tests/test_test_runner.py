"""Test how the test runner counts results."""

import importlib.util
import pathlib
import unittest

SCRIPT = pathlib.Path(__file__).resolve().parent.parent / 'tools/run_tests.py'


class Results(unittest.TestCase):
    """Failed, known red and skipped tests are counted apart."""

    def setUp(self) -> None:
        spec = importlib.util.spec_from_file_location('run_tests', SCRIPT)
        assert spec is not None, 'the script exists'
        assert spec.loader is not None, 'the script is a module'
        self.runner = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(self.runner)

    def test_skipped_tests_are_not_passed(self) -> None:
        """Guard against a verdict that counts tests that did not run."""
        output = (
            'FAIL: test_a (tests.t.A.test_a)\n'
            'ERROR: test_b (tests.t.A.test_b)\n'
            'Ran 9 tests in 1.0s\n\n'
            'FAILED (failures=1, errors=1, skipped=3)\n'
        )
        counts = self.runner.count_results(output, {'tests.t.A.test_b'})
        self.assertEqual((4, 1, 1, 3), counts)
