"""Test how a site continues when several runners crash at once.

The load: four runners in the chains of 64 instances crash in one moment, while
streams run through them and new requests arrive.
"""

import unittest

from bench import common_crashes

SEED = 1


class CommonCrash(unittest.TestCase):
    """All instances leave runners that have crashed."""

    def test_streams_and_sends(self) -> None:
        """Guard against each instance detecting a crash by itself.

        Streams would pause for 300 ms and more, and sends would find each of
        the crashed runners again.
        """
        measured = common_crashes.measure(SEED)
        self.assertGreater(measured['moves'], 0)
        self.assertEqual(0, measured['late_pauses'])
        self.assertEqual(0, measured['late_sends'])
        silent = common_crashes.measure_silence(SEED)
        self.assertLess(
            measured['sends_to_crashed'], silent['sends_to_crashed'] / 3
        )
