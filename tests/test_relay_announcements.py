"""Test that upstreams which leave or ask to wait get no further requests."""

import dataclasses
import socket
import time
import unittest

import hypothesis
from hypothesis import strategies

from bench import common_waits
from mustardvale.internal import events
from mustardvale.internal.edge import relay_wire
from mustardvale.internal.relay import (
    announcements,
    calls,
    instance_settings,
    requests,
    runners,
)
from mustardvale.internal.relay import events as relay_events
from mustardvale.platform import front_codec
from tests import relay_site, relay_states

LEAVING = requests.Announcement(is_leaving=True)
WAIT_SECONDS = 5.0
WAIT = requests.Announcement(retry_after_seconds=WAIT_SECONDS)
EVENT = b'id: 1\ndata: x\n\n'
PLAIN_RUNNERS = tuple(
    relay_states.build_plain_runner(name) for name in ('p1', 'p2', 'p3')
)


def decode(status: int, *headers: tuple[str, str]) -> requests.Announcement:
    """Decode the announcement of an answer."""
    return front_codec.decode_announcement(
        relay_wire.ReceivedHead(status, headers)
    )


class Decoding(unittest.TestCase):
    """Both headers are decoded, and values that cannot be used are named."""

    def test_usable_values(self) -> None:
        """Guard against a word of an upstream that is not read."""
        leaving = ('server-leaving', '1')
        wait = ('retry-after', '5')
        for status, headers, expected in (
            (200, (leaving,), LEAVING),
            (421, (leaving,), LEAVING),
            (503, (wait,), WAIT),
            (429, (wait, wait), WAIT),
            (
                503,
                (('retry-after', ' 0.5 '),),
                requests.Announcement(False, 0.5),
            ),
            (503, (leaving, wait), requests.Announcement(True, WAIT_SECONDS)),
            (200, (wait,), requests.NO_ANNOUNCEMENT),
            (200, (('server-leaving', '0'),), requests.NO_ANNOUNCEMENT),
            (200, (), requests.NO_ANNOUNCEMENT),
        ):
            with self.subTest(status=status, headers=headers):
                self.assertEqual(expected, decode(status, *headers))

    def test_malformed_values(self) -> None:
        """Guard against a bad value that shuts an upstream out."""
        for text in (
            'soon',
            '-1',
            '',
            'nan',
            '1e9',
            '9' * 400,
            'Sat, 05 Dec 2026 10:00:00 GMT',
        ):
            with self.subTest(text=text):
                decoded = decode(503, ('retry-after', text))
                self.assertEqual(('retry-after',), decoded.malformed)
                self.assertIsNone(decoded.retry_after_seconds)
        for headers in (
            (('retry-after', '5'), ('retry-after', '6')),
            (('server-leaving', '1'), ('server-leaving', '0')),
            (('server-leaving', 'yes'),),
        ):
            with self.subTest(headers=headers):
                decoded = decode(503, *headers)
                self.assertEqual((headers[0][0],), decoded.malformed)
                self.assertFalse(decoded.is_leaving)

    @hypothesis.given(strategies.text(max_size=30))
    def test_any_value(self, text: str) -> None:
        """Guard against a value that ends the process."""
        decoded = decode(503, ('retry-after', text), ('server-leaving', text))
        self.assertLess(decoded.retry_after_seconds or 0, 1e10)


class AnnouncingSite(unittest.TestCase):
    """Drive an instance whose upstreams say something of themselves."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance(
            (*relay_states.TWO_CHAINS[:4], *PLAIN_RUNNERS)
        )

    def announce(
        self, runner_id: str, announcement: requests.Announcement
    ) -> None:
        """Let an upstream announce something in a report."""
        self.instance.emit_event(
            events.CallAnswered,
            call=calls.ProbeRunner(runner_id),
            address='',
            answer=calls.RunnerReport(0, False, announcement=announcement),
        )

    def answer(
        self,
        announcement: requests.Announcement,
        status: int = 200,
        is_unexecuted: bool = False,
    ) -> str:
        """Answer the last send; return the upstream that it was sent to."""
        send_id = self.instance.start_send()
        head = relay_states.build_head(
            status, announcement=announcement, is_unexecuted=is_unexecuted
        )
        runner_id = self.instance.sends[-1].request.runner_id
        self.instance.deliver_answer(send_id, head, b'x')
        self.instance.end_answer(send_id)
        return runner_id

    def send(self, number: int, path: str = '/write/x') -> str | None:
        """Send a request; return the upstream that it is sent to, if any."""
        count = len(self.instance.sends)
        self.instance.receive_request(f'r{number}', path)
        if len(self.instance.sends) == count:
            return None
        return self.instance.sends[-1].request.runner_id

    def list_used(self, count: int = 30) -> set[str | None]:
        """Return the upstreams that get some of many requests."""
        used = set()
        for number in range(100, 100 + count):
            self.instance.pass_time(0.01)
            used.add(self.send(number))
            if f'r{number}' not in self.instance.replies:
                self.answer(requests.NO_ANNOUNCEMENT)
            self.instance.replies.pop(f'r{number}')
        return used


class LeavingUpstreams(AnnouncingSite):
    """The word of a process that it leaves holds until it has ended."""

    def test_leaving_upstream_gets_no_further_request(self) -> None:
        """Guard against requests that are cut when the process exits."""
        self.send(1)
        leaving = self.answer(LEAVING)
        self.assertNotIn(leaving, self.list_used())

    def test_word_goes_before_the_entry(self) -> None:
        """Guard against a stale entry that calls the process ready."""
        self.announce('p1', LEAVING)
        for entry in (
            PLAIN_RUNNERS[0],
            dataclasses.replace(PLAIN_RUNNERS[0], slots=9),
        ):
            self.instance.list_runners((entry, *PLAIN_RUNNERS[1:]))
            self.assertNotIn('p1', self.list_used())

    def test_word_holds_while_the_store_is_away(self) -> None:
        """Guard against a word that needs the list to hold."""
        self.announce('p1', LEAVING)
        self.instance.emit_event(
            events.CallFailed,
            call=calls.FollowRunners(1),
            address='',
            failure=events.Failure(events.FailureKind.TIMED_OUT, True),
        )
        self.assertNotIn('p1', self.list_used())

    def test_new_process_starts_without_it(self) -> None:
        """Guard against a restarted process that is never used again."""
        self.announce('p1', LEAVING)
        restarted = dataclasses.replace(PLAIN_RUNNERS[0], started_at_ms=2)
        self.instance.list_runners((restarted, *PLAIN_RUNNERS[1:]))
        self.assertIn('p1', self.list_used())

    def test_late_answer_of_the_former_process(self) -> None:
        """Guard against a word that is taken for that of the new process."""
        former = self.send(1)
        listed = tuple(
            dataclasses.replace(entry, started_at_ms=2)
            for entry in PLAIN_RUNNERS
        )
        self.instance.list_runners(listed)
        self.assertEqual(former, self.answer(LEAVING))
        self.assertIn(former, self.list_used())

    def test_each_kind_of_answer_counts(self) -> None:
        """Guard against a word that is heard in complete answers only."""
        for status, is_unexecuted in (
            (200, False),
            (404, False),
            (421, True),
            (500, False),
            (503, True),
        ):
            with self.subTest(status=status):
                self.setUp()
                self.send(1)
                leaving = self.answer(LEAVING, status, is_unexecuted)
                self.assertTrue(self.instance.state.runners[leaving].is_leaving)

    def test_interim_answer_counts(self) -> None:
        """Guard against a word that is skipped with an interim answer."""
        leaving = self.send(1)
        self.instance.emit_event(
            relay_events.InterimAnswerArrived,
            send_id=self.instance.start_send(),
            announcement=LEAVING,
        )
        self.assertTrue(self.instance.state.runners[leaving].is_leaving)

    def test_running_stream_goes_on(self) -> None:
        """Guard against cutting a stream that the process still completes."""
        first = self.send(1, '/model/x')
        send_id = self.instance.start_send()
        self.instance.deliver_answer(
            send_id, relay_states.build_head(announcement=LEAVING), EVENT
        )
        self.assertNotIn(send_id, self.instance.aborted_send_ids)
        self.assertIn('r1', self.instance.state.exchanges)
        chosen = {self.send(number, '/model/x') for number in range(2, 12)}
        self.assertNotIn(first, chosen)

    def test_change_is_logged_and_counted_once(self) -> None:
        """Guard against a log line for each answer of a leaving process."""
        for _ in range(3):
            self.announce('p1', LEAVING)
        lines = [
            line
            for line in self.instance.log_lines
            if line.event == 'runner_leaving'
        ]
        self.assertEqual(1, len(lines))


class WaitingUpstreams(AnnouncingSite):
    """An upstream that asks to wait gets nothing until then."""

    def test_upstream_gets_nothing_until_the_end_of_the_wait(self) -> None:
        """Guard against requests to an upstream that has asked for none."""
        self.send(1)
        waiting = self.answer(WAIT, 503, is_unexecuted=True)
        sent = len(self.instance.sends)
        self.assertNotIn(waiting, self.list_used())
        self.instance.pass_time(WAIT_SECONDS - 0.4)
        self.assertNotIn(waiting, self.list_used())
        self.assertGreater(len(self.instance.sends), sent)

    def test_upstream_is_used_again_afterwards(self) -> None:
        """Guard against an upstream that is left out for good."""
        self.announce('p1', WAIT)
        self.instance.pass_time(
            announcements.compute_wait_seconds(WAIT_SECONDS, 1.0)
        )
        self.instance.configure(relay_states.CONFIGURATION)
        self.assertIn('p1', self.list_used())

    def test_changed_entry_does_not_end_the_wait(self) -> None:
        """Guard against a heartbeat that ends what the process asked for."""
        self.announce('p1', WAIT)
        changed = dataclasses.replace(PLAIN_RUNNERS[0], slots=9)
        self.instance.list_runners((changed, *PLAIN_RUNNERS[1:]))
        self.assertNotIn('p1', self.list_used())

    def test_wait_is_limited_by_a_setting(self) -> None:
        """Guard against an upstream that is shut out by a huge value."""
        limits = instance_settings.Limits(maximum_upstream_wait_seconds=10.0)
        self.instance = relay_states.Instance(PLAIN_RUNNERS, limits)
        self.announce(
            'p1', requests.Announcement(retry_after_seconds=999_999_999.0)
        )
        longest = announcements.compute_wait_seconds(10.0, 1.0)
        self.assertLessEqual(
            self.instance.state.runners['p1'].waits_until,
            self.instance.now + longest,
        )

    def test_callers_are_refused_at_once_with_the_shortest_wait(self) -> None:
        """Guard against callers that wait for what is known not to come."""
        for name, seconds in (('p1', 5.0), ('p2', 3.0), ('p3', 9.0)):
            self.announce(
                name, requests.Announcement(retry_after_seconds=seconds)
            )
        self.assertIsNone(self.send(1))
        refusal = self.instance.replies['r1']
        self.assertEqual(503, refusal.status)
        self.assertGreaterEqual(refusal.retry_after_seconds, 3.0)
        self.assertLess(refusal.retry_after_seconds, 5.0)

    def test_chain_waits_for_the_layer_that_is_free_last(self) -> None:
        """Guard against callers that return while a layer has no runner."""
        for name, seconds in (('m1', 2.0), ('m2', 7.0), ('m4', 6.0)):
            self.announce(
                name, requests.Announcement(retry_after_seconds=seconds)
            )
        self.assertIsNone(self.send(1, '/model/x'))
        refusal = self.instance.replies['r1']
        self.assertGreaterEqual(refusal.retry_after_seconds, 6.0)
        self.assertLess(refusal.retry_after_seconds, 7.0 + 1.4)

    def test_obstacle_names_reason_and_end(self) -> None:
        """Guard against a refusal of which nobody can tell the cause."""
        self.announce('p1', WAIT)
        self.announce('p2', LEAVING)
        known = self.instance.state.runners
        waiting = known['p1'].find_obstacle(self.instance.now)
        self.assertEqual(runners.ObstacleKind.ASKED_TO_WAIT, waiting.kind)
        self.assertEqual(known['p1'].waits_until, waiting.until)
        self.assertEqual(
            runners.Obstacle(runners.ObstacleKind.LEAVING),
            known['p2'].find_obstacle(self.instance.now),
        )
        self.assertIsNone(known['p3'].find_obstacle(self.instance.now))


class RefusingUpstreamDrawsNoWork(AnnouncingSite):
    """Sound upstreams serve the requests of one that asks to wait."""

    def test_all_requests_are_served_elsewhere(self) -> None:
        """Guard against requests drawn to the upstream that refuses fastest."""
        served = 0
        refusals = 0
        for number in range(60):
            self.instance.pass_time(0.05)
            runner_id = self.send(number)
            if runner_id == 'p1':
                refusals += 1
                self.answer(WAIT, 503, is_unexecuted=True)
                runner_id = self.instance.sends[-1].request.runner_id
            if runner_id != 'p1':
                self.answer(requests.NO_ANNOUNCEMENT)
                served += 1
        self.assertEqual(60, served)
        self.assertLessEqual(refusals, 1)


class OpenSends(AnnouncingSite):
    """Whatever is on its way to an upstream when it asks for nothing."""

    announced = (LEAVING, WAIT)

    def begin(self, path: str, count: int) -> None:
        """Receive requests whose sends wait for their connections."""
        for number in range(count):
            self.instance.receive_request(f'{path[1]}{number}', path)

    def count_arrivals(self, runner_id: str, from_send: int = 0) -> int:
        """Let all connections open now; return what reaches an upstream."""
        arrived = 0
        for send in self.instance.sends[from_send:]:
            if send.send_id in self.instance.aborted_send_ids:
                continue
            self.instance.emit_event(
                relay_events.SendStarted, send_id=send.send_id
            )
            arrived += send.request.runner_id == runner_id
        return arrived

    def test_connections_that_open_late_carry_nothing(self) -> None:
        """Guard against requests written a second after a refusal."""
        for path, runner_id, count in (
            ('/write/x', 'p1', 60),
            ('/read/x', 'p1', 60),
            ('/model/x', 'm1', 4),
        ):
            for announcement in self.announced:
                with self.subTest(path=path, announcement=announcement):
                    self.setUp()
                    self.begin(path, count)
                    self.announce(runner_id, announcement)
                    self.instance.pass_time(1 / 10)
                    self.assertEqual(0, self.count_arrivals(runner_id))
                    self.assertEqual({}, self.instance.replies)

    def test_written_requests_keep_their_sends(self) -> None:
        """Guard against a second run of what the upstream may run already."""
        self.begin('/write/x', 30)
        self.count_arrivals('p1')
        sent = len(self.instance.sends)
        self.announce('p1', WAIT)
        self.instance.pass_time(1 / 10)
        self.assertEqual([], self.instance.aborted_send_ids)
        self.assertEqual(sent, len(self.instance.sends))

    def test_second_sends_go_elsewhere(self) -> None:
        """Guard against silent requests that are sent to the upstream too."""
        self.begin('/read/x', 30)
        self.count_arrivals('p1')
        sent = len(self.instance.sends)
        self.announce('p1', WAIT)
        self.instance.pass_time(1.0)
        self.assertGreater(len(self.instance.sends), sent)
        self.assertEqual(0, self.count_arrivals('p1', sent))

    def test_moves_go_elsewhere(self) -> None:
        """Guard against an order that brings running requests there."""
        self.instance = relay_states.Instance(
            (
                *relay_states.TWO_CHAINS[:4],
                relay_states.build_model_runner('m5', 40, 80),
            )
        )
        self.begin('/model/x', 4)
        self.count_arrivals('m1')
        chain = self.instance.sends[0].request.chain
        waiting = next(
            name for name in ('m2', 'm4') if name != chain[1].runner_id
        )
        self.announce(waiting, WAIT)
        stalled = calls.StalledRequest('x', chain[1].address)
        self.instance.emit_event(
            events.CallAnswered,
            call=calls.ProbeRunner(chain[0].runner_id),
            address='',
            answer=calls.RunnerReport(0, False, stalled=(stalled,)),
        )
        moves = self.instance.list_calls(calls.MoveRequest)
        self.assertTrue(moves)
        used = {part.runner_id for call in moves for part in call.call.chain}
        self.assertNotIn(waiting, used)

    def test_retries_of_refused_requests_go_elsewhere(self) -> None:
        """Guard against a burst of refusals that comes back as retries."""
        self.begin('/write/x', 60)
        self.count_arrivals('p1')
        refused = [
            send.send_id
            for send in self.instance.sends
            if send.request.runner_id == 'p1'
        ]
        sent = len(self.instance.sends)
        head = relay_states.build_head(
            503, announcement=WAIT, is_unexecuted=True
        )
        for send_id in refused:
            self.instance.deliver_answer(send_id, head)
            self.instance.end_answer(send_id)
        self.assertGreater(len(refused), 5)
        self.assertEqual(sent + len(refused), len(self.instance.sends))
        self.assertEqual(0, self.count_arrivals('p1', sent))

    def test_withdrawn_sends_cost_no_retry(self) -> None:
        """Guard against a budget that is spent on what has reached nobody."""
        self.begin('/write/x', 30)
        before = self.instance.state.retry_buckets
        self.announce('p1', WAIT)
        self.instance.pass_time(1 / 10)
        self.assertEqual(before, self.instance.state.retry_buckets)


class CommonWaits(unittest.TestCase):
    """Instances that were asked to wait together do not return together."""

    def test_returns_are_spread(self) -> None:
        """Guard against a load of all instances in the same instant."""
        for instance_count in (6, 58, 195):
            with self.subTest(instance_count=instance_count):
                ends = []
                for number in range(instance_count):
                    instance = relay_states.Instance(PLAIN_RUNNERS)
                    instance.state = dataclasses.replace(
                        instance.state, seed=number + 1
                    )
                    announced = announcements.record_announcement(
                        'p1', WAIT, instance.now, instance.state
                    ).state.runners['p1']
                    ends.append(announced.waits_until - instance.now)
                self.assertGreaterEqual(min(ends), WAIT_SECONDS)
                tenths = [int((end - WAIT_SECONDS) * 10) for end in ends]
                most = max(tenths.count(tenth) for tenth in set(tenths))
                self.assertLessEqual(most, max(instance_count / 4, 4))

    def test_refused_callers_return_spread(self) -> None:
        """Guard against callers that all return in the same instant."""
        instance = relay_states.Instance(PLAIN_RUNNERS[:1])
        instance.emit_event(
            events.CallAnswered,
            call=calls.ProbeRunner('p1'),
            address='',
            answer=calls.RunnerReport(0, False, announcement=WAIT),
        )
        for number in range(40):
            instance.receive_request(f'r{number}', '/write/x')
        wait = instance.state.runners['p1'].waits_until - instance.now
        later = sorted(
            reply.retry_after_seconds - wait
            for reply in instance.replies.values()
        )
        spread = announcements.compute_return_spread(WAIT_SECONDS)
        self.assertGreaterEqual(later[0], 0)
        self.assertLessEqual(later[-1], spread)
        self.assertLess(later[len(later) // 4], spread / 2)
        self.assertGreater(later[len(later) * 3 // 4], spread / 2)

    def test_load_after_a_common_wait(self) -> None:
        """Guard against a peak when all upstreams of a range return."""
        load = common_waits.measure(1, instance_count=20, request_rate=40.0)
        self.assertEqual(0, load['sends_in_the_wait'])
        self.assertLess(load['peak_over_mean'], 1.5)


class Connections(unittest.TestCase):
    """Both headers are heard over real connections."""

    def setUp(self) -> None:
        self.site = relay_site.RelaySite(runner_count=3)
        self.addCleanup(self.site.stop)
        self.site.start()

    def answer_slowly(
        self, received: relay_site.ReceivedRequest, sock: socket.socket
    ) -> bool:
        """Answer later than a runner that was not asked yet seems to."""
        time.sleep(0.05)
        return relay_site.echo_body(received, sock)

    def ask(self, number: int) -> int:
        """Send a request that may run once; return the status."""
        with self.site.connect() as sock:
            sock.sendall(
                relay_site.encode_request('/write/x', f'a{number}', b'x')
            )
            return relay_site.read_answer(sock).status

    def test_leaving_and_waiting_runners_get_no_more(self) -> None:
        """Guard against headers that are lost on the way to the decision."""
        leaving, waiting, sound = self.site.runners
        leaving.respond = lambda received, sock: (
            not sock.sendall(
                relay_site.encode_answer(
                    received, b'x', headers=b'Server-Leaving: 1\r\n'
                )
            )
        )
        waiting.respond = lambda received, sock: (
            not sock.sendall(
                relay_site.encode_answer(
                    received,
                    b'',
                    503,
                    headers=b'Not-Executed: 1\r\nRetry-After: 5\r\n',
                )
            )
        )
        sound.respond = self.answer_slowly
        statuses = [self.ask(number) for number in range(30)]
        self.assertEqual([200] * 30, statuses)
        self.assertEqual(1, len(leaving.received))
        self.assertEqual(1, len(waiting.received))
        self.assertEqual(29, len(sound.received))
