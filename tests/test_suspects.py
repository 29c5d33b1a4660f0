"""Test the detection of requests that crash runners."""

import dataclasses
import json
import socket
import time
import unittest

from mustardvale import errors
from mustardvale.internal import effects, events, messages, suspects, timers
from tests import entry_states, site_processes

POISON = 'poison'


class Blame(unittest.TestCase):
    """Only the crash of a runner makes the requests on it suspects."""

    def start(self, runner_count: int = 4) -> entry_states.Entry:
        """Start an instance."""
        return entry_states.Entry(runner_count)

    def count_lost_runners(self, entry: entry_states.Entry, prompt: str) -> int:
        """Return the number of runners that crashed on a request."""
        request = entry_states.caller_messages.AnswerRequest(
            model='affinage',
            prompt=tuple(prompt.split()),
            maximum_tokens=1,
        )
        fingerprint = suspects.compute_fingerprint('colston-dairy', request)
        return suspects.count_losses(fingerprint, 1e9 + entry.now, entry.state)

    def test_two_lost_runners(self) -> None:
        """Guard against a request that crashes one runner after another."""
        entry = self.start()
        request_id = entry.ask(prompt=POISON)
        for _ in range(2):
            entry.now += 1
            (call,) = entry.take_steps()
            entry.fail(call)
            entry.fire_restart_timers()
        self.assertFalse(entry.take_steps())
        entry.fire(timers.SuspectCheckDue())
        refused = entry.find_refusal(request_id)
        assert refused is not None
        self.assertEqual(refused.code, errors.SUSPECT_REQUEST)
        self.assertEqual(refused.outcome, errors.Outcome.UNKNOWN)
        again = entry.find_refusal(entry.ask(prompt=POISON))
        assert again is not None
        self.assertEqual(
            (again.code, again.outcome),
            (errors.SUSPECT_REQUEST, errors.Outcome.NOT_RUN),
        )

    def test_losses_expire_after_ten_minutes(self) -> None:
        """Guard against a prompt that is refused forever."""
        entry = self.start()
        entry.ask(prompt=POISON)
        for _ in range(2):
            entry.fail(entry.take_steps()[0])
            entry.fire_restart_timers()
        entry.now += suspects.LOSS_RETENTION_SECONDS - 1
        entry.fire(timers.HeartbeatDue())
        self.assertIsNotNone(entry.find_refusal(entry.ask(prompt=POISON)))
        entry.now += 2
        entry.fire(timers.HeartbeatDue())
        self.assertIsNone(entry.find_refusal(entry.ask(prompt=POISON)))
        self.assertFalse(entry.state.suspects.losses_by_fingerprint)

    def test_slow_runner_makes_no_suspect(self) -> None:
        """Guard against refusing requests because a runner is slow."""
        entry = self.start()
        entry.ask(prompt=POISON)
        entry.fail(entry.take_steps()[0], events.FailureKind.TIMED_OUT)
        self.assertEqual(self.count_lost_runners(entry, POISON), 0)

    def test_call_that_was_not_sent_makes_no_suspect(self) -> None:
        """Guard against blaming a request for an earlier crash."""
        entry = self.start()
        entry.ask(prompt=POISON)
        entry.fail(entry.take_steps()[0], events.FailureKind.REFUSED, False)
        self.assertEqual(self.count_lost_runners(entry, POISON), 0)

    def test_resumed_request_has_the_same_fingerprint(self) -> None:
        """Guard against a fingerprint that changes when a request resumes."""
        request = entry_states.caller_messages.AnswerRequest(
            model='affinage',
            prompt=('how', 'old'),
            maximum_tokens=9,
        )
        resumed = dataclasses.replace(request, delivered=('w1',))
        self.assertEqual(
            suspects.compute_fingerprint('a', request),
            suspects.compute_fingerprint('a', resumed),
        )
        self.assertNotEqual(
            suspects.compute_fingerprint('a', request),
            suspects.compute_fingerprint('b', request),
        )


class Isolation(unittest.TestCase):
    """Requests that shared a call during a crash are isolated."""

    def start_batch(self) -> tuple[entry_states.Entry, effects.Call]:
        """Start five requests on one runner, three of them in one call."""
        entry = entry_states.Entry(1)
        for prompt in ('first', 'second', POISON, 'third', 'fourth'):
            entry.ask(prompt=prompt)
        first, second = entry.take_steps()
        entry.answer(first)
        batch = entry.take_steps()[0]
        self.assertEqual(len(batch.call.steps), 3)
        entry.answer(second)
        entry.take_steps()
        return entry, batch

    def test_suspects_get_calls_of_their_own(self) -> None:
        """Guard against a second shared call, which isolates no suspect."""
        entry, batch = self.start_batch()
        entry.state = dataclasses.replace(
            entry.state,
            upstreams=entry.state.upstreams.replace(
                entry_states.build_runner(1),
            ),
        )
        entry.fail(batch)
        entry.fire_restart_timers()
        self.assertEqual(len(entry.state.suspects.losses_by_fingerprint), 3)
        answered_count = 0
        while calls_sent := entry.take_steps():
            for call in calls_sent:
                self.assertEqual(len(call.call.steps), 1)
                entry.answer(call)
                answered_count += 1
        self.assertGreaterEqual(answered_count, 3)

    def test_only_the_suspect_is_blamed(self) -> None:
        """Guard against new suspects each time a known one crashes a runner."""
        entry = entry_states.Entry(3)
        entry.ask(prompt=POISON)
        entry.fail(entry.take_steps()[0])
        entry.fire_restart_timers()
        suspect_call = entry.take_steps()[0]
        sent: list[effects.Call] = []
        while not any(call.address == suspect_call.address for call in sent):
            entry.ask(prompt=f'innocent {entry.count}')
            sent.extend(entry.take_steps())
        other_call = next(
            call for call in sent if call.address == suspect_call.address
        )
        for order in ((suspect_call, other_call), (other_call, suspect_call)):
            with self.subTest(order=order):
                before = entry.state
                for call in order:
                    entry.fail(call)
                self.assertEqual(
                    len(entry.state.suspects.losses_by_fingerprint), 1
                )
                entry.state = before

    def test_complete_answer_clears_the_losses(self) -> None:
        """Guard against refusing a request after it has completed."""
        entry = entry_states.Entry(3)
        entry.ask(prompt='innocent', tokens=1)
        entry.fail(entry.take_steps()[0])
        self.assertTrue(entry.state.suspects.losses_by_fingerprint)
        entry.fire_restart_timers()
        entry.now += 1
        entry.answer(entry.take_steps()[0])
        self.assertFalse(entry.state.suspects.losses_by_fingerprint)


class Peers(unittest.TestCase):
    """Losses are counted across all instances."""

    beats = 0

    def receive_heartbeat(
        self,
        entry: entry_states.Entry,
        rows: tuple[messages.LostRunner, ...],
    ) -> None:
        """Receive the next heartbeat of a peer; its `beat` must be new."""
        self.beats += 1
        heartbeat = dataclasses.replace(
            entry_states.membership.build_heartbeat(entry.state),
            instance_id='entry-1',
            beat=self.beats,
            suspects=rows,
        )
        entry.emit_event(
            events.PeerMessageReceived,
            sender='e:3',
            message=heartbeat,
        )

    def test_losses_of_two_instances_add_up(self) -> None:
        """Guard against losing two runners per instance."""
        entry = entry_states.Entry(3)
        entry.ask(prompt=POISON)
        entry.fail(entry.take_steps()[0])
        ((fingerprint, (loss,)),) = (
            entry.state.suspects.losses_by_fingerprint.items()
        )
        same = messages.LostRunner(fingerprint, loss.runner, loss.lost_at + 0.5)
        self.receive_heartbeat(entry, (same,))
        self.assertEqual(
            len(entry.state.suspects.losses_by_fingerprint[fingerprint]), 1
        )
        other = messages.LostRunner(fingerprint, 'runner-9', loss.lost_at + 0.5)
        self.receive_heartbeat(entry, (other,))
        entry.fire(timers.SuspectCheckDue())
        self.assertFalse(entry.state.generations)
        refused = entry.find_refusal('request-1')
        assert refused is not None
        self.assertEqual(refused.code, errors.SUSPECT_REQUEST)

    def test_report_is_immediate_and_bounded(self) -> None:
        """Guard against late reports and unbounded heartbeats."""
        entry = entry_states.Entry(1)
        for number in range(100):
            entry.ask(prompt=f'prompt {number}')
        first, second = entry.take_steps()
        entry.answer(first)
        entry.fail(second)
        entry.fail(entry.take_steps()[0])
        self.assertIn(
            effects.SetTimer(timers.HeartbeatDue(), 0),
            entry.take(effects.SetTimer),
        )
        rows = suspects.build_report(entry.state)
        self.assertEqual(len(rows), suspects.MAXIMUM_REPORTED_LOSSES)


def is_listening(address: str) -> bool:
    """Return whether a runner accepts connections."""
    host, _, port = address.rpartition(':')
    with socket.socket() as sock:
        return sock.connect_ex((host, int(port))) == 0


class LostRunners(unittest.TestCase):
    """A poison request crashes only a few runners of a real site."""

    def start(self, runner_count: int) -> site_processes.Site:
        """Start a site whose runners crash on one prompt."""
        site = site_processes.Site()
        self.addCleanup(site.stop)
        site.start(runner_count=runner_count, entry_count=2)
        # An instance that has not heard its peer yet cannot report a crash to
        # it, and each of the two then loses two runners.
        site.retry(site.have_entries_heard_peers)
        for address in site.runners:
            faults = {'poison': POISON}
            site_processes.send_request(address, 'POST', '/faults', faults)
        return site

    def count_lost(self, site: site_processes.Site) -> int:
        """Return the number of runners that have crashed."""
        return sum(not is_listening(address) for address in site.runners)

    def test_caller_that_repeats_at_every_instance(self) -> None:
        """Guard against losing two runners per instance that is tried."""
        site = self.start(6)
        codes = []
        for number in range(8):
            address = site.addresses[number % 2]
            status, body = site.answer(POISON, 2, address=address)
            codes.append((status, json.loads(body)['error']['code']))
        self.assertEqual(set(codes), {(422, 'suspect_request')})
        time.sleep(0.5)
        self.assertEqual(self.count_lost(site), 2)
        for address in site.addresses:
            status, body = site.answer('how old', 3, address=address)
            self.assertEqual((status, body.count(b'"token"')), (200, 3), body)

    def test_concurrent_copies(self) -> None:
        """Guard against losing more runners than copies in flight plus one."""
        site = self.start(8)
        copies = 4
        connections = [
            site.begin_answer(POISON, 2, site.addresses[number % 2])
            for number in range(copies)
        ]
        for connection in connections:
            self.assertEqual(connection.getresponse().status, 422)
            connection.close()
        time.sleep(0.5)
        self.assertLessEqual(self.count_lost(site), copies + 1)
        self.assertGreaterEqual(self.count_lost(site), 2)
        self.assertEqual(site.answer(POISON, 2)[0], 422)
        self.assertEqual(site.answer('how old', 2)[0], 200)
