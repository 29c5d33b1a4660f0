"""Test how many requests upstreams get that have started or returned."""

import dataclasses
import unittest

import immutables

from bench import pace_model, upstream_pace
from mustardvale.internal import events
from mustardvale.internal.relay import calls, requests, runners
from mustardvale.internal.relay import upstream_pace as paces
from tests import relay_states

SEEDS = (1, 2, 3)


class Bounds(unittest.TestCase):
    """Instances that all want to send at once keep to the bounds."""

    def test_arrivals_stay_below_the_bound(self) -> None:
        """Guard against a new upstream that many instances overload."""
        for count, seed in ((58, 1), (58, 2), (195, 1), (195, 2)):
            for speed in pace_model.SPEEDS:
                with self.subTest(count=count, seed=seed, speed=speed):
                    seen = upstream_pace.simulate(
                        'answers', speed, count, 16, seed
                    )
                    self.assertLessEqual(seen['peak'], 1.5)

    def test_warm_upstream_has_its_share_after_two_seconds(self) -> None:
        """Guard against a warm upstream that is left idle."""
        for count, capacity in upstream_pace.SITES:
            for seed in SEEDS:
                with self.subTest(count=count, capacity=capacity, seed=seed):
                    seen = upstream_pace.simulate(
                        'answers', 'warm', count, capacity, seed
                    )
                    self.assertGreaterEqual(seen['third_second'], 0.9)

    def test_slow_upstream_gets_what_it_serves(self) -> None:
        """Guard against requests that queue at an upstream of half speed."""
        for count, capacity in upstream_pace.SITES:
            with self.subTest(count=count, capacity=capacity):
                seen = upstream_pace.simulate(
                    'answers', 'half', count, capacity, 1
                )
                self.assertLess(seen['last_second'], 1)
                self.assertGreater(seen['last_second'], 0.2)
                self.assertEqual(0, seen['refused'])


class Rules(unittest.TestCase):
    """Each kind of evidence moves the share in its direction."""

    def setUp(self) -> None:
        self.pace = paces.Pace(paces.PaceKind.COLD, 1, 8.0, 1.0, 0.0, 0.0)

    def judge(self, evidence: paces.Evidence, now: float = 1.0) -> paces.Pace:
        """Judge by one observation."""
        return paces.judge(evidence, self.pace, now)

    def test_timely_answer_raises_once(self) -> None:
        """Guard against answers to the same load that raise repeatedly."""
        raised = self.judge(paces.Answered(0.5, 0.1, 0.1))
        self.assertEqual(1.0, raised.share)
        self.pace = dataclasses.replace(raised, share=0.25)
        self.assertEqual(0.25, self.judge(paces.Answered(0.5, 0.1, 0.1)).share)

    def test_bad_signs_lower(self) -> None:
        """Guard against an upstream that fails and keeps its share."""
        slow = self.judge(paces.Answered(0.5, 1.0, 0.1))
        self.assertLess(slow.share, 0.2)
        self.assertEqual(0.25, self.judge(paces.Refused(0.5)).share)
        self.assertEqual(paces.MINIMUM_SHARE, self.judge(paces.Lost(0)).share)

    def test_later_finding_is_adopted(self) -> None:
        """Guard against instances that undo a newer finding of another."""
        known = immutables.Map({'p1': self.pace})
        for step, adopted in ((0, 0.5), (1, 1.0)):
            report = calls.ReportedPace('p1', 1, 1.0, 1.0, step)
            merged = paces.merge_reports(known, (report,), 1.0)
            self.assertEqual(adopted, merged['p1'].share)
        for ignored in (('p1', 2), ('p9', 1)):
            other = calls.ReportedPace(*ignored, 1.0, 1.0, 3)
            self.assertIs(known, paces.merge_reports(known, (other,), 1.0))

    def test_full_share_is_forgotten(self) -> None:
        """Guard against a limit that stays after the full share."""
        raised = self.judge(paces.Answered(0.5, 0.1, 0.1))
        end = 1 + paces.SETTLING_SECONDS
        self.assertFalse(paces.is_over(raised, end - 0.1))
        self.assertTrue(paces.is_over(raised, end))
        self.assertFalse(paces.is_over(self.pace, 1000))


class States(unittest.TestCase):
    """Upstreams are limited only in the three states."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()

    def serve(self, name: str) -> str:
        """Serve one request in the usual time; return the runner."""
        self.instance.receive_request(name, '/read/x')
        runner_id = str(self.instance.sends[-1].request.runner_id)
        send_id = self.instance.start_send()
        self.instance.pass_time(0.05)
        self.instance.deliver_answer(send_id, relay_states.build_head())
        self.instance.end_answer(send_id)
        return runner_id

    def add_runner(self) -> None:
        """List another plain runner."""
        self.instance.list_runners(
            (
                *relay_states.TWO_CHAINS,
                relay_states.build_plain_runner('p3'),
            )
        )

    def open_requests(self, count: int) -> list[str]:
        """Open requests that stay open; return their runners."""
        for number in range(count):
            self.instance.receive_request(f'open-{number}', '/read/x')
        sent = self.instance.sends[-count:]
        return [str(send.request.runner_id) for send in sent]

    def list_kinds(self) -> dict[str, paces.PaceKind]:
        """Return the kind of each limit by runner."""
        known = self.instance.state.paces.paces
        return {name: pace.kind for name, pace in known.items()}

    def test_start_of_a_site_is_not_limited(self) -> None:
        """Guard against a site that starts slowly as a whole."""
        self.add_runner()
        self.assertFalse(self.instance.state.paces.paces)

    def test_new_runner_is_limited(self) -> None:
        """Guard against a new runner that gets all requests at once."""
        self.serve('r1')
        self.add_runner()
        self.assertEqual({'p3': paces.PaceKind.COLD}, self.list_kinds())
        self.assertEqual(3, self.open_requests(18).count('p3'))

    def test_last_resort_is_used(self) -> None:
        """Guard against a refusal while a limited runner could serve."""
        self.serve('r1')
        self.add_runner()
        state = self.instance.state
        runner_map = state.runners
        for name in ('p1', 'p2'):
            runner_map = runners.record_leaving(runner_map, name)
        self.instance.state = dataclasses.replace(state, runners=runner_map)
        self.assertEqual(['p3'] * 5, self.open_requests(5))

    def test_announced_wait_limits_the_return(self) -> None:
        """Guard against a rush to a runner whose wait has ended."""
        served = self.serve('r1')
        self.instance.receive_request('r2', '/read/x')
        send = self.instance.sends[-1]
        other = str(send.request.runner_id)
        while other == served:
            served = self.serve(f'more-{self.instance.now}')
        announcement = requests.Announcement(retry_after_seconds=1.0)
        self.instance.deliver_answer(
            send.send_id, relay_states.build_head(announcement=announcement)
        )
        self.instance.end_answer(send.send_id)
        self.assertEqual({other: paces.PaceKind.RETURNED}, self.list_kinds())

    def test_crash_limits_the_recovery(self) -> None:
        """Guard against a rush to a runner that accepts connections again."""
        for number in range(6):
            self.serve_chain(f'm-{number}')
        self.instance.receive_request('m', '/model/x')
        refused = str(self.instance.sends[-1].request.runner_id)
        self.instance.pass_time(1.0)
        self.instance.fail_send(self.instance.sends[-1].send_id, was_sent=False)
        self.assertEqual({refused: paces.PaceKind.RECOVERED}, self.list_kinds())

    def serve_chain(self, name: str) -> None:
        """Serve a stream of one event."""
        self.instance.receive_request(name, '/model/x')
        send_id = self.instance.start_send()
        self.instance.pass_time(0.05)
        self.instance.deliver_answer(
            send_id,
            relay_states.build_head(is_event_stream=True),
            b'id: 1\ndata: a\n\n',
        )
        self.instance.end_answer(send_id)

    def test_readers_tell_their_zone(self) -> None:
        """Guard against findings that stay with one instance."""
        self.serve('r1')
        self.add_runner()
        report = calls.ReportedPace('p3', 1, 1.0, 1.0, 1)
        self.instance.emit_event(
            events.CallerRequested,
            request_id='follower',
            request=calls.FollowPeer(1, 1, paces=(report,)),
        )
        self.assertEqual(1.0, self.instance.state.paces.paces['p3'].share)
