"""Test that an upstream which fails or refuses at once draws no work.

One of three upstreams of a plain service turns each request away for six
seconds, while the two others have room for all of them.
"""

import heapq
import typing
import unittest

from mustardvale.internal.relay import requests
from tests import relay_states

PLAIN_RUNNERS = tuple(
    relay_states.build_plain_runner(name) for name in ('p1', 'p2', 'p3')
)
FAULTY = 'p1'
REQUEST_COUNT = 120
PERIOD_SECONDS = 0.05
WORK_SECONDS = 0.06
ANSWER_SECONDS = 0.002
MINIMUM_SERVED_SHARE = 0.95


class SteadyLoad(unittest.TestCase):
    """Send one request after the other to an instance."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance(PLAIN_RUNNERS)
        self.ends: list[tuple[float, int, str]] = []
        self.seen = 0
        self.arrivals = 0

    def turn_away(self, send_id: str) -> None:
        """Refuse a request without running it."""
        self.instance.deliver_answer(send_id, relay_states.UNEXECUTED_HEAD)
        self.instance.end_answer(send_id)

    def reset(self, send_id: str) -> None:
        """Close the connection of a request that may have run."""
        self.instance.fail_send(send_id)

    def misdirect(self, send_id: str) -> None:
        """Answer for another process at the same address."""
        head = relay_states.build_head(
            421, is_unexecuted=True, has_proof=False, headers=()
        )
        self.instance.deliver_answer(send_id, head)
        self.instance.end_answer(send_id)

    def play(self, path: str, fail: typing.Callable[[str], None]) -> float:
        """Return the share of requests that are served."""
        for number in range(REQUEST_COUNT):
            # Without a confirmation keys are refused after some seconds.
            self.instance.configure(relay_states.CONFIGURATION)
            self.instance.receive_request(f'r{number}', path)
            self.pass_time(PERIOD_SECONDS, fail)
        self.pass_time(1.0, fail)
        served = sum(
            isinstance(reply, requests.RelayedAnswer) and reply.status == 200
            for reply in self.instance.replies.values()
        )
        return served / REQUEST_COUNT

    def pass_time(
        self, seconds: float, fail: typing.Callable[[str], None]
    ) -> None:
        """End the sends that are due, and begin those that follow."""
        until = self.instance.now + seconds
        self.begin_sends()
        while self.ends and self.ends[0][0] <= until:
            due, number, send_id = heapq.heappop(self.ends)
            self.instance.pass_time(max(due - self.instance.now, 0))
            sent = self.instance.sends[number]
            if sent.request.runner_id == FAULTY:
                fail(send_id)
            else:
                self.instance.deliver_answer(
                    send_id, relay_states.build_head(), b'done'
                )
                self.instance.end_answer(send_id)
            self.begin_sends()
        self.instance.pass_time(until - self.instance.now)
        self.begin_sends()

    def begin_sends(self) -> None:
        """Let new sends reach their upstreams."""
        while self.seen < len(self.instance.sends):
            sent = self.instance.sends[self.seen]
            is_faulty = sent.request.runner_id == FAULTY
            self.arrivals += is_faulty
            seconds = ANSWER_SECONDS if is_faulty else WORK_SECONDS
            send_id = self.instance.start_send(self.seen)
            due = self.instance.now + seconds
            heapq.heappush(self.ends, (due, self.seen, send_id))
            self.seen += 1


class RefusingUpstream(SteadyLoad):
    """Requests that were turned away are served by the others."""

    def test_requests_that_may_run_once(self) -> None:
        """Guard against unsafe requests refused while others have room."""
        self.assertGreaterEqual(
            self.play('/write/x', self.turn_away), MINIMUM_SERVED_SHARE
        )

    def test_requests_that_may_repeat(self) -> None:
        """Guard against safe requests refused while others have room."""
        self.assertGreaterEqual(
            self.play('/read/x', self.turn_away), MINIMUM_SERVED_SHARE
        )

    def test_upstream_gets_few_requests(self) -> None:
        """Guard against an upstream that looks idle because it refuses."""
        self.play('/write/x', self.turn_away)
        self.assertLess(self.arrivals, REQUEST_COUNT / 10)


class FailingUpstream(SteadyLoad):
    """Other fast failures draw no work either."""

    def test_upstream_that_resets(self) -> None:
        """Guard against the pull of an upstream that resets connections."""
        self.assertGreaterEqual(
            self.play('/read/x', self.reset), MINIMUM_SERVED_SHARE
        )
        self.assertLess(self.arrivals, REQUEST_COUNT / 10)

    def test_upstream_that_is_another_process(self) -> None:
        """Guard against the pull of an address that was given away."""
        self.assertGreaterEqual(
            self.play('/write/x', self.misdirect), MINIMUM_SERVED_SHARE
        )
        self.assertLess(self.arrivals, REQUEST_COUNT / 10)
