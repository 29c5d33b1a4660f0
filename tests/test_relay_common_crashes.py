"""Test how a site continues when several runners crash at once.

The load: four runners in the chains of 64 instances crash in one moment, while
streams run through them and new requests arrive.
"""

import unittest

from mustardvale.internal import events
from mustardvale.internal.relay import calls
from tests import fault_site

INSTANCE_COUNT = 64
STREAMS_PER_INSTANCE = 4
CRASHED = ('m2', 'm3', 'm10', 'm11')
# Callers accept this long a pause between two events of a stream.
MAXIMUM_PAUSE_SECONDS = 0.25
# A stream whose first runner has crashed is sent again before the other crashes
# are known. It ends if it meets one of them without a retry left.
MAXIMUM_CUT_STREAMS = INSTANCE_COUNT * STREAMS_PER_INSTANCE // 100
REQUEST_PERIOD_SECONDS = 0.05
REQUESTS_PER_INSTANCE = 38
OPEN_REQUESTS_PER_INSTANCE = 3


class CommonCrash(unittest.TestCase):
    """All instances leave runners that have crashed."""

    def setUp(self) -> None:
        self.site = fault_site.Site(INSTANCE_COUNT)
        self.site.run(1.0)
        for number in range(STREAMS_PER_INSTANCE):
            self.request(f'r{number}')
            self.site.run(0.02)
        # All watched connections are open, and have been for long enough.
        self.site.run(4.0)

    def request(self, request_id: str) -> None:
        """Let each instance receive a request."""
        for instance in self.site.instances:
            instance.receive_request(
                request_id, '/model/x', prompt=fault_site.SHORT_PROMPT
            )

    def crash(self) -> None:
        """Let the runners crash while requests arrive for two seconds."""
        self.site.crash(*CRASHED)
        for number in range(REQUESTS_PER_INSTANCE):
            self.site.run(REQUEST_PERIOD_SECONDS)
            self.request(f'n{number}')
            for instance in self.site.instances:
                instance.emit_event(
                    events.CallerLeft,
                    request_id=f'n{number - OPEN_REQUESTS_PER_INSTANCE}',
                )

    def test_streams_go_on_soon(self) -> None:
        """Guard against detecting a crash from silence at each instance."""
        self.crash()
        moves = sum(
            len(instance.list_calls(calls.MoveRequest))
            for instance in self.site.instances
        )
        self.assertGreater(moves, INSTANCE_COUNT / 4)
        self.assertLess(max(self.site.pauses), MAXIMUM_PAUSE_SECONDS)
        cut_count = sum(
            line.event == 'stream_cut'
            for instance in self.site.instances
            for line in instance.log_lines
        )
        self.assertLessEqual(cut_count, MAXIMUM_CUT_STREAMS)

    def test_crashed_runners_get_few_sends(self) -> None:
        """Guard against each instance finding a crash by its own sends."""
        self.crash()
        self.assertLess(
            self.site.rejected_count, INSTANCE_COUNT * len(CRASHED) / 5
        )
