"""Test that requests which crash runners by themselves are refused."""

import dataclasses
import socket
import time
import unittest

from bench import instance_groups
from mustardvale.internal.relay import (
    calls,
    crash_evidence,
    crash_records,
    crash_tracking,
    crash_sharing,
    exchanges,
    fingerprints,
    requests,
)
from mustardvale.platform import call_codec
from tests import relay_site, relay_states, test_relay_harmful_prompts

SHARED = 'system'
HARMFUL_BODY = b'harmful'
SOUND_BODY = b'sound'
PLAIN_RUNNERS = tuple(
    relay_states.build_plain_runner(name) for name in ('p1', 'p2', 'p3')
)
SITES = ((6, 3), (58, 3), (195, 5))


class RepeatedRequests(test_relay_harmful_prompts.CrashingSite):
    """Drive an instance to which one harmful request comes again and again."""

    def setUp(self) -> None:
        super().setUp()
        self.instance.list_runners(
            (*test_relay_harmful_prompts.FOUR_CHAINS, *PLAIN_RUNNERS)
        )

    def ask(
        self,
        path: str,
        body: bytes = HARMFUL_BODY,
        key: str = relay_states.KEY,
        parts: tuple[str, ...] = (),
    ) -> str:
        """Send a request; return its name."""
        name = f'r{next(self.numbers)}'
        fields = {}
        if path.startswith('/model/'):
            fields['prompt'] = requests.Prompt('m', 80, 40, 20, parts)
        self.instance.receive_request(
            name, path, api_key=key, body=body, **fields
        )
        return name

    def crash_with(
        self, path: str, crash_count: int = 2, parts: tuple[str, ...] = ()
    ) -> None:
        """Send the harmful request, and crash the runners that get it."""
        for _ in range(2 * crash_count):
            if len(self.instance.state.crashes.crashes) >= crash_count:
                return
            self.crash_each_send(path, parts=parts)
        self.fail('the runners did not crash')

    def crash_each_send(
        self,
        path: str,
        body: bytes = HARMFUL_BODY,
        parts: tuple[str, ...] = (),
    ) -> None:
        """Send a request once, and crash each runner that gets it."""
        sent_count = len(self.instance.sends)
        self.ask(path, body, parts=parts)
        while len(self.instance.sends) > sent_count:
            sent_count = len(self.instance.sends)
            self.crash_runner(self.instance.start_send())

    def serve(self) -> None:
        """Answer the last send completely."""
        send_id = self.instance.start_send()
        self.instance.deliver_answer(
            send_id, relay_states.build_head(), b'done'
        )
        self.instance.end_answer(send_id)

    def is_rejected(self, name: str) -> bool:
        """Return whether a request was refused because it is harmful."""
        reply = self.instance.replies.get(name)
        return isinstance(reply, requests.Refusal) and (
            reply.code in {'harmful_prompt', 'harmful_request'}
        )


class ModelRequests(RepeatedRequests):
    """A model request is told from others that share its prompt's parts."""

    def test_request_is_refused_though_its_parts_are_in_use(self) -> None:
        """Guard against crashes without end by one repeated request."""
        self.send(SHARED)
        self.begin()
        self.crash_with('/model/x', parts=(SHARED,))
        sent = len(self.instance.sends)
        refused = self.ask('/model/x', parts=(SHARED,))
        self.assertTrue(self.is_rejected(refused))
        self.assertEqual(sent, len(self.instance.sends))
        self.assertEqual(503, self.instance.replies[refused].status)

    def test_sound_requests_with_the_same_part_are_served(self) -> None:
        """Guard against a refusal of all that share a part with it."""
        self.send(SHARED)
        self.begin()
        self.crash_with('/model/x', parts=(SHARED,))
        sound = [
            self.ask('/model/x', SOUND_BODY + b'%d' % number, parts=(SHARED,))
            for number in range(10)
        ]
        self.assertFalse(any(map(self.is_rejected, sound)))

    def test_request_without_a_shared_part_is_refused(self) -> None:
        """Guard against evidence that only prompts with parts can give."""
        self.crash_with('/model/x')
        self.assertTrue(self.is_rejected(self.ask('/model/x')))
        self.assertFalse(self.is_rejected(self.ask('/model/x', SOUND_BODY)))

    def test_known_part_of_different_requests_is_still_found(self) -> None:
        """Guard against requests that hide the part which they share."""
        self.send(SHARED)
        self.begin()
        for number in range(3):
            self.crash_each_send('/model/x', b'%d' % number, (SHARED,))
        blocked = {
            part
            for block in self.instance.state.crashes.blocks
            for part in block.parts
        }
        self.assertEqual({SHARED}, blocked)


class PlainRequests(RepeatedRequests):
    """A request to a plain service is remembered as well."""

    def test_request_that_may_run_once_is_refused(self) -> None:
        """Guard against a crash by each repeat of an unsafe request."""
        self.crash_with('/write/x')
        refused = self.ask('/write/x')
        self.assertTrue(self.is_rejected(refused))
        self.assertEqual(2, len(self.instance.sends))
        self.assertGreater(
            self.instance.replies[refused].retry_after_seconds, 1
        )

    def test_repeatable_request_is_refused(self) -> None:
        """Guard against a crash by each repeat and retry of a request."""
        self.crash_with('/read/x')
        self.assertTrue(self.is_rejected(self.ask('/read/x')))

    def test_query_of_each_repeat_may_differ(self) -> None:
        """Guard against a number in the query that hides the repeats."""
        for number in range(2):
            self.crash_with(f'/write/x?n={number}', crash_count=number + 1)
        self.assertTrue(self.is_rejected(self.ask('/write/x?n=9')))

    def test_sound_queries_of_the_same_path_are_served(self) -> None:
        """Guard against a path that is refused for one of its queries."""
        self.crash_with('/read/x?n=1', crash_count=1)
        self.ask('/read/x?n=2')
        self.serve()
        self.crash_with('/read/x?n=1')
        self.ask('/read/x?n=2')
        self.serve()
        self.assertFalse(self.is_rejected(self.ask('/read/x?n=2')))

    def test_other_requests_are_served(self) -> None:
        """Guard against refusals by path, by body or by account alone."""
        self.crash_with('/write/x')
        for path, body, key in (
            ('/write/y', HARMFUL_BODY, relay_states.KEY),
            ('/write/x', SOUND_BODY, relay_states.KEY),
            ('/write/x', HARMFUL_BODY, 'key-of-bob'),
        ):
            with self.subTest(path=path, body=body, key=key):
                self.assertFalse(self.is_rejected(self.ask(path, body, key)))

    def test_request_that_is_answered_meanwhile_is_sound(self) -> None:
        """Guard against blame for a frequent request beside two crashes."""
        for _ in range(4):
            self.ask('/write/x', SOUND_BODY)
            self.crash_runner(self.instance.start_send())
            self.ask('/write/x', SOUND_BODY)
            self.serve()
        self.assertFalse(self.instance.state.crashes.blocks)

    def test_crashes_of_a_process_that_is_not_listed_yet_count(self) -> None:
        """Guard against a restart that is faster than the list of runners."""
        self.crash_with('/write/x', crash_count=1)
        crash = self.instance.state.crashes.crashes[0]
        runner_id, _, started_at = crash.process.partition('/')
        runner = self.instance.state.runners[runner_id]
        known = dataclasses.replace(
            runner,
            listed=dataclasses.replace(
                runner.listed, started_at_ms=int(started_at)
            ),
        )
        before, after = (
            crash_tracking.name_process(
                exchanges.Attempt('s9', runner_id, crash.crashed_at + seconds),
                known,
                self.instance.state,
            )
            for seconds in (-0.1, 1.0)
        )
        self.assertEqual(crash.process, before)
        self.assertNotEqual(crash.process, after)


class Bounds(unittest.TestCase):
    """What is kept is bounded, and no account displaces another one."""

    def test_many_requests_of_one_account_displace_no_other(self) -> None:
        """Guard against an account whose name comes first in each crash."""
        crowd = tuple(
            crash_records.CrashedRequest('a', (f'request:{number}',))
            for number in range(200)
        )
        kept = 0
        for number in range(200):
            other = crash_records.CrashedRequest('z', (f'request:{number}',))
            (crash,) = crash_records.merge_crash(
                (),
                crash_records.Crash('m1/1', 1.0, (*crowd[:20], other)),
            )
            kept += other in crash.requests
        self.assertGreater(kept, 100)

    def test_fingerprint_has_a_fixed_length(self) -> None:
        """Guard against evidence as long as the bodies of requests."""
        request = relay_states.build_client_request(
            f'/write/{"x" * 5000}?{"y" * 5000}', body=b'z' * 100_000
        )
        found = fingerprints.compute_fingerprints('ann', request)
        self.assertEqual(2, len(found))
        self.assertLess(max(map(len, found)), 64)

    def test_answered_requests_are_not_remembered(self) -> None:
        """Guard against memory for each request without any crash."""
        instance = relay_states.Instance()
        for number in range(20):
            instance.receive_request(f'r{number}', f'/read/{number}')
            send_id = instance.start_send()
            instance.deliver_answer(send_id, relay_states.build_head(), b'x')
            instance.end_answer(send_id)
        self.assertEqual(crash_evidence.CrashState(), instance.state.crashes)


class SharedEvidence(unittest.TestCase):
    """All instances of a site refuse a request that crashed two runners."""

    def test_crashes_at_different_instances_name_the_request(self) -> None:
        """Guard against two crashes for each instance of a site."""
        request = relay_states.build_client_request(
            '/write/x', body=HARMFUL_BODY
        )
        crashed = crash_records.CrashedRequest(
            'ann', fingerprints.list_parts('ann', request)
        )
        for instance_count, zone_count in SITES:
            with self.subTest(instance_count=instance_count):
                group = instance_groups.Group(instance_count, zone_count)
                for number in (1, 2):
                    group.apply(
                        group.names[-number],
                        lambda state, number=number, now=group.now: (
                            crash_sharing.record_crash(
                                f'p{number}/1', (crashed,), now, state
                            )
                        ),
                    )
                    group.now += 1
                self.assertEqual(instance_count, group.count_blocking())


class Checks(unittest.TestCase):
    """A check of a runner opens a connection and sends no request."""

    def test_plain_runner_receives_nothing(self) -> None:
        """Guard against a check that a plain service runs as a request."""
        received: list[str] = []

        def crash(
            request: relay_site.ReceivedRequest, sock: socket.socket
        ) -> bool:
            received.append(request.method)
            return False

        site = relay_site.RelaySite(runner_count=1)
        self.addCleanup(site.stop)
        site.start()
        site.runners[0].respond = crash
        with site.connect() as sock:
            sock.sendall(relay_site.encode_request('/write/x', 'a1', b'x'))
            self.assertEqual(502, relay_site.read_answer(sock).status)
        time.sleep(crash_tracking.CHECK_TIMEOUT_SECONDS)
        self.assertEqual(['POST'], received)

    def test_call_is_encoded_as_a_connection_check(self) -> None:
        """Guard against a check on a connection that was opened before."""
        raw = call_codec.encode_call(calls.CheckRunner('p1', 'p1/1'))
        self.assertTrue(raw.is_connection_check)
        self.assertTrue(raw.needs_new_connection)
