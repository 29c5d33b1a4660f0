"""Test actions through separate processes."""

import time
import unittest
from concurrent import futures

from tests import action_site


class IdempotentOperation(unittest.TestCase):
    """An operation that may be repeated needs no key and no log."""

    def setUp(self) -> None:
        """Start a site."""
        self.site = action_site.Site(services=1, entries=1)
        self.addCleanup(self.site.stop)
        self.site.start()

    def test_answer_of_the_service_reaches_the_caller(self) -> None:
        """Guard against a request that does not reach the service."""
        answer = self.site.request_action(0, operation='read-rack')
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.body['operation'], 'read-rack')
        ledger = action_site.request(
            'GET',
            self.site.services[0],
            '/ledger',
        ).body
        self.assertEqual(ledger['by_operation'], {'read-rack': 1})


class KeyedAction(unittest.TestCase):
    """An action with a key runs at most once at a site of two entries."""

    def setUp(self) -> None:
        """Start a site."""
        self.site = action_site.Site(services=2, entries=2)
        self.addCleanup(self.site.stop)
        self.site.start()

    def test_repeat_gets_the_stored_answer_at_both_entries(self) -> None:
        """Guard against a second execution after an answer."""
        key = action_site.generate_key()
        first = self.site.request_action(0, key)
        self.assertEqual(first.status, 200, first)
        for entry in (0, 1):
            repeat = self.site.request_action(entry, key)
            self.assertEqual(repeat.body, first.body)
            self.assertEqual(repeat.headers['mustardvale-replayed'], 'true')
        self.assertEqual(self.site.count_executions(key), 1)

    def act_within_limit(self, entry: int, key: str) -> action_site.Answer:
        """Request an action, and retry it after a refusal by the rate limit.

        The token bucket of a new instance starts empty.
        """
        for _ in range(20):
            answer = self.site.request_action(entry, key)
            if answer.status != 429:
                break
            time.sleep(0.2)
        return answer

    def test_same_key_at_two_entries_at_once(self) -> None:
        """Guard against two sends by two entries; both get the answer."""
        for address in self.site.services:
            self.site.set_faults(address, delay_seconds=0.3)
        keys = [action_site.generate_key() for _ in range(8)]
        with futures.ThreadPoolExecutor(16) as pool:
            asked = [
                pool.submit(self.act_within_limit, entry, key)
                for key in keys
                for entry in (0, 1)
            ]
            answers = [answer.result() for answer in asked]
        self.assertEqual({answer.status for answer in answers}, {200}, answers)
        for first, second in zip(answers[::2], answers[1::2], strict=True):
            self.assertEqual(first.body, second.body)
        counts = [self.site.count_executions(key) for key in keys]
        self.assertEqual(counts, [1] * len(keys))

    def test_lost_answers_of_appends(self) -> None:
        """Guard against a send after `not_run`, and a key that stays held.

        The log stores the attempts but loses the responses. An instance that
        reads its attempt back before the append fails sends it; otherwise it
        abandons the attempt.
        """
        keys = [action_site.generate_key() for _ in range(4)]
        for key in keys:
            self.site.set_faults(self.site.log_address, lose_answers=1)
            first = self.site.request_action(0, key)
            if first.status != 200:
                self.assertEqual(first.code, 'log_unavailable', first)
                self.assertEqual(first.outcome, 'not_run')
                self.assertEqual(self.site.count_executions(key), 0)
            self.site.wait_until_stored(key)
        counts = [self.site.count_executions(key) for key in keys]
        self.assertEqual(counts, [1] * len(keys))

    def test_entry_is_killed_between_send_and_answer(self) -> None:
        """Guard against a second send after the sending instance was killed."""
        for address in self.site.services:
            self.site.set_faults(address, delay_seconds=2)
        key = action_site.generate_key()
        with futures.ThreadPoolExecutor(1) as pool:
            aborted = pool.submit(self.site.request_action, 0, key)
            action_site.wait_until(self.is_any_sent, 'the action is sent')
            for entry in (0, 1):
                self.site.kill(f'entry-{entry}')
            self.assertIsInstance(aborted.exception(), Exception)
        for entry in (0, 1):
            self.site.spawn_entry(entry)
        for entry in (0, 1):
            self.site.wait_until_ready(entry)
        action_site.wait_until(
            lambda: self.site.count_executions(key) == 1,
            'the service executes what it was sent',
        )
        for entry in (0, 1):
            repeat = self.site.request_action(entry, key, deadline_ms=1500)
            self.assertEqual(repeat.code, 'outcome_unknown', repeat)
            self.assertEqual(repeat.outcome, 'unknown')
        self.assertEqual(self.site.count_executions(key), 1)

    def is_any_sent(self) -> bool:
        """Return whether a service has an operation in its queue."""
        return any(
            action_site.request('GET', address, '/v1/load').body['queued']
            for address in self.site.services
        )

    def test_log_outage(self) -> None:
        """Guard against slow or false answers while the log is down.

        Stored answers and idempotent operations do not depend on the log.
        """
        done = action_site.generate_key()
        self.site.wait_until_stored(done)
        self.site.set_faults(self.site.log_address, down=True)
        key = action_site.generate_key()
        started = time.monotonic()
        refused = self.site.request_action(0, key)
        self.assertLess(time.monotonic() - started, 2)
        self.assertEqual(refused.code, 'log_unavailable', refused)
        self.assertEqual(refused.outcome, 'not_run')
        self.assertEqual(
            self.site.request_action(0, '', 'read-rack').status, 200
        )
        self.assertEqual(self.site.request_action(1, done).status, 200)
        self.site.set_faults(self.site.log_address)
        self.site.wait_until_stored(key)
        self.assertEqual(self.site.count_executions(key), 1)
        self.assertEqual(self.site.count_executions(done), 1)


class FreshConnections(unittest.TestCase):
    """Each action uses a new connection."""

    def test_more_actions_than_connections_to_one_runner(self) -> None:
        """Guard against idle connections that block new ones.

        At most 64 connections to one runner may be open, and actions do not
        reuse idle ones.
        """
        site = action_site.Site(services=1, entries=1)
        self.addCleanup(site.stop)
        site.start()
        for _ in range(70):
            key = action_site.generate_key()
            answer = site.request_action(0, key, deadline_ms=400)
            self.assertEqual(answer.status, 200, answer)
