"""Test how a site continues when several runners crash at once.

The load: four runners in the chains of 64 instances crash in one moment, while
streams run through them and new requests arrive.
"""

import typing
import unittest

from bench import common_crashes

SEEDS = (1, 4)


class CommonCrash(unittest.TestCase):
    """All instances leave runners that have crashed."""

    def test_streams_and_sends(self) -> None:
        """Guard against each instance detecting a crash by itself.

        Streams would pause for 300 ms and more, and sends would find each of
        the crashed runners again.
        """
        told = [common_crashes.measure(seed) for seed in SEEDS]
        for measured in told:
            self.assertGreater(measured['moves'], 0)
            self.assertEqual(0, measured['late_pauses'])
        silent = [common_crashes.measure_silence(seed) for seed in SEEDS]
        self.assertLess(count_sends(told), count_sends(silent) / 5)


def count_sends(measures: list[dict[str, typing.Any]]) -> int:
    """Return the sends to crashed runners."""
    return sum(measured['sends_to_crashed'] for measured in measures)
