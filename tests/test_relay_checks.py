"""Test the checks of the soak with valid and invalid histories."""

import typing
import unittest

from bench import relay_checks

DIGEST = 'd1'
CHAIN_LAYERS = [[0, 4], [4, 8]]


def build_attempt(
    attempt_id: str = 'a1', **fields: typing.Any
) -> dict[str, typing.Any]:
    """Return the line of an attempt."""
    return {
        'event': 'ask',
        'id': attempt_id,
        'kind': 'write',
        'digest': DIGEST,
        'tenant': 'ann',
        'entry': 'e0',
        'key': 'k',
        'at': 100.0,
        **fields,
    }


def build_run(
    attempt_id: str = 'a1', **fields: typing.Any
) -> dict[str, typing.Any]:
    """Return the line of a run."""
    return {
        'event': 'run',
        'id': attempt_id,
        'runner': 'p0',
        'digest': DIGEST,
        'tenant': 'ann',
        'key_seen': False,
        'deadline_ms': 4900,
        'layers': [],
        'at': 100.1,
        **fields,
    }


def build_answer(
    attempt_id: str = 'a1', **fields: typing.Any
) -> dict[str, typing.Any]:
    """Return the line of an answer."""
    return {
        'event': 'answer',
        'id': attempt_id,
        'status': 200,
        'stamp': f'p0.{attempt_id}.{DIGEST}',
        'whole': True,
        'sound': True,
        'at': 100.2,
        **fields,
    }


def build_loss(**fields: typing.Any) -> dict[str, typing.Any]:
    """Return the line of an attempt whose connection failed."""
    return {
        'event': 'lost',
        'id': 'a1',
        'status': 0,
        'sent': True,
        'problem': 'closed',
        'sound': True,
        'at': 100.2,
        **fields,
    }


def build_config(at: float, *keys: str) -> dict[str, typing.Any]:
    """Return the line of a confirmed configuration."""
    return {'event': 'config', 'at': at, 'keys': keys, 'version': int(at)}


def find_broken_promises(*lines: dict[str, typing.Any]) -> set[str]:
    """Return the promises that a history breaks.

    Each confirmed configuration has also been sent.
    """
    sent = tuple(
        {**line, 'event': 'config_sent'}
        for line in lines
        if line['event'] == 'config'
    )
    history = relay_checks.History(lines + sent)
    return {violation.promise for violation in relay_checks.check(history)}


class ValidHistories(unittest.TestCase):
    """Histories that keep all promises have no violations."""

    def test_answered_request(self) -> None:
        """Guard against violations reported for a normal history."""
        self.assertEqual(
            set(),
            find_broken_promises(
                build_config(1, 'k'),
                build_attempt(),
                build_run(),
                build_answer(),
            ),
        )

    def test_retried_read(self) -> None:
        """Guard against reporting the retry of an idempotent request."""
        lines = (
            build_attempt(kind='read'),
            build_run(),
            build_run(at=100.15),
            build_answer(),
        )
        self.assertEqual(
            set(), find_broken_promises(build_config(1, 'k'), *lines)
        )

    def test_refusal_of_a_request_that_did_not_run(self) -> None:
        """Guard against reporting a correct refusal."""
        lines = (
            build_attempt(),
            build_answer(status=503, stamp='', whole=False),
        )
        self.assertEqual(
            set(), find_broken_promises(build_config(1, 'k'), *lines)
        )

    def test_key_within_the_revocation_bound(self) -> None:
        """Guard against reporting a run within the revocation bound."""
        lines = (
            build_config(1, 'k'),
            build_config(96, 'x'),
            build_attempt(),
            build_run(),
            build_answer(),
        )
        self.assertEqual(set(), find_broken_promises(*lines))

    def test_key_of_an_unconfirmed_version(self) -> None:
        """Guard against ignoring a configuration that was sent.

        It may be in force although its confirmation was lost.
        """
        returned = {**build_config(95, 'k'), 'event': 'config_sent'}
        lines = (
            build_config(94, 'x'),
            returned,
            build_attempt(),
            build_run(),
            build_answer(),
        )
        self.assertEqual(
            set(), find_broken_promises(build_config(1, 'k'), *lines)
        )


class InvalidHistories(unittest.TestCase):
    """Each broken promise is found, and no other one is reported."""

    def assert_violation(
        self, promise: str, *lines: dict[str, typing.Any]
    ) -> None:
        """Assert that a history breaks one promise and no other."""
        self.assertEqual(
            {promise}, find_broken_promises(build_config(1, 'k'), *lines)
        )

    def test_second_run(self) -> None:
        """Guard against missing a non-idempotent request that ran twice."""
        self.assert_violation(
            'at most once',
            build_attempt(),
            build_run(),
            build_run(runner='p1'),
            build_answer(),
        )

    def test_refusal_of_what_ran(self) -> None:
        """Guard against missing a refusal of a request that ran."""
        refused = build_answer(status=503, stamp='', whole=False)
        self.assert_violation(
            'not run is certain', build_attempt(), build_run(), refused
        )

    def test_refusal_before_the_run(self) -> None:
        """Guard against missing a run that starts after the refusal."""
        refused = build_answer(status=503, stamp='', whole=False, at=100.05)
        self.assert_violation(
            'not run is certain', build_attempt(), build_run(at=103.0), refused
        )

    def test_truncated_answer(self) -> None:
        """Guard against missing an incomplete answer that ended normally."""
        self.assert_violation(
            'whole answers',
            build_attempt(),
            build_run(),
            build_answer(whole=False),
        )

    def test_wrong_bytes_in_a_failed_answer(self) -> None:
        """Guard against missing a stream that mixes the output of two runs."""
        lost = {'event': 'lost', 'id': 'a1', 'sound': False, 'at': 100.2}
        self.assert_violation(
            'whole answers', build_attempt(), build_run(), lost
        )

    def test_answer_of_another_request(self) -> None:
        """Guard against missing the answer to another request."""
        other = build_answer(stamp=f'p0.a2.{DIGEST}')
        self.assert_violation(
            'whole answers', build_attempt(), build_run(), other
        )

    def test_request_without_an_answer(self) -> None:
        """Guard against missing a connection that ends under a request."""
        stop = {'event': 'fault', 'kind': 'Stop', 'target': 'e0', 'at': 99.9}
        other = {**stop, 'kind': 'Kill', 'target': 'e1'}
        self.assert_violation(
            'an answer to each', build_attempt(), build_loss(), stop, other
        )

    def test_excused_request_without_an_answer(self) -> None:
        """Guard against reporting requests that no instance could answer."""
        kill = {'event': 'fault', 'kind': 'Kill', 'target': 'e0', 'at': 100.1}
        for lines in (
            (build_loss(), kill),
            (build_loss(), {**kill, 'kind': 'KillAll', 'target': ''}),
            (build_loss(sent=False),),
        ):
            with self.subTest(lines=lines):
                self.assertEqual(
                    set(), find_broken_promises(build_attempt(), *lines)
                )

    def test_cut_stream(self) -> None:
        """Guard against missing a stream that ends because of a silence."""
        cut = build_loss(status=200, seconds=1.8)
        restore = {'event': 'fault', 'kind': 'RestoreStore', 'at': 100.0}
        broken = {'event': 'broken', 'runner': 'm0', 'at': 97.0}
        lines = (build_attempt(kind='generate'), build_run())
        self.assert_violation('streams go on', *lines, cut, restore)
        for excused in (
            (cut, broken),
            (cut, {'event': 'restarted', 'runner': 'm0', 'at': 100.1}),
            (cut, {**restore, 'kind': 'Stop', 'target': 'e0'}),
            (build_loss(status=200, seconds=5.0),),
        ):
            with self.subTest(lines=excused):
                found = find_broken_promises(
                    build_config(1, 'k'), *lines, *excused
                )
                self.assertEqual(set(), found)

    def test_unknown_run(self) -> None:
        """Guard against missing a run without a caller's attempt."""
        self.assert_violation(
            'nothing unasked', build_attempt(), build_run('a9')
        )

    def test_changed_request(self) -> None:
        """Guard against missing a request whose path or body was altered."""
        self.assert_violation(
            'nothing unasked', build_attempt(), build_run(digest='other')
        )

    def test_wrong_tenant(self) -> None:
        """Guard against missing a request that ran for another tenant."""
        self.assert_violation(
            'nothing unasked', build_attempt(), build_run(tenant='bob')
        )

    def test_forwarded_key(self) -> None:
        """Guard against missing an API key that reached a runner."""
        self.assert_violation(
            'nothing unasked', build_attempt(), build_run(key_seen=True)
        )

    def test_missing_layer(self) -> None:
        """Guard against missing a gap between two parts of a chain."""
        chain = [[0, 4], [5, 8]]
        self.assert_violation(
            'layers in order', build_attempt(), build_run(layers=chain)
        )

    def test_repeated_layer_after_a_move(self) -> None:
        """Guard against missing parts that overlap after a move."""
        moved = build_run(event='move', layers=[[0, 4], [3, 8]])
        self.assert_violation(
            'layers in order',
            build_attempt(),
            build_run(layers=CHAIN_LAYERS),
            moved,
        )

    def test_too_many_runs(self) -> None:
        """Guard against missing requests that exceed the limit of runs."""
        lines = []
        for number in range(4):
            attempt_id = f'a{number}'
            lines += [
                build_attempt(attempt_id, kind='read'),
                *[build_run(attempt_id)] * 3,
            ]
        self.assert_violation('runs of a request', *lines)

    def test_too_many_retries(self) -> None:
        """Guard against missing retries that exceed the budget."""
        lines = []
        for number in range(70):
            attempt_id = f'a{number}'
            lines += [
                build_attempt(attempt_id, kind='read'),
                build_run(attempt_id),
                build_run(attempt_id),
            ]
        self.assertEqual(
            set(), find_broken_promises(build_config(1, 'k'), *lines)
        )
        for number in range(20):
            lines.append(build_run(f'a{number}', event='refusal'))
        self.assert_violation('retry budget', *lines)

    def test_deadline_too_long(self) -> None:
        """Guard against missing a run whose deadline is after the caller's."""
        self.assert_violation(
            'time budget', build_attempt(), build_run(deadline_ms=20_000)
        )

    def test_revoked_key(self) -> None:
        """Guard against missing a run after the revocation bound."""
        self.assert_violation(
            'revoked keys',
            build_config(94, 'x'),
            build_attempt(),
            build_run(),
            build_answer(),
        )

    def test_denied_key(self) -> None:
        """Guard against missing an instance that keeps an older version."""
        denial = build_answer(status=401, stamp='', whole=False)
        restore = {'event': 'fault', 'kind': 'RestoreStore', 'at': 98.0}
        history = (build_config(50), build_config(90, 'k'), build_attempt())
        self.assert_violation('keys in force', *history, denial)
        for line in (build_config(95.5), restore):
            with self.subTest(line=line):
                found = find_broken_promises(*history, denial, line)
                self.assertEqual(set(), found)

    def test_draining_runner(self) -> None:
        """Guard against missing a run long after the start of a drain."""
        drain = {'event': 'draining', 'runner': 'p0', 'at': 97.0}
        returned = {'event': 'returned', 'runner': 'p0', 'at': 101.0}
        self.assert_violation(
            'leaving runners',
            build_attempt(),
            build_run(),
            build_answer(),
            drain,
            returned,
        )

    def test_draining_runner_shortly_after_a_fault(self) -> None:
        """Guard against applying the bound while faults delay the drain."""
        drain = {'event': 'draining', 'runner': 'p0', 'at': 97.0}
        returned = {'event': 'returned', 'runner': 'p0', 'at': 101.0}
        fault = {'event': 'fault', 'at': 96.0}
        lines = (
            build_attempt(),
            build_run(),
            build_answer(),
            drain,
            returned,
            fault,
        )
        self.assertEqual(
            set(), find_broken_promises(build_config(1, 'k'), *lines)
        )

    def build_leaving(self, **later: typing.Any) -> tuple[typing.Any, ...]:
        """Return a history in which a leaving runner gets a later request."""
        return (
            build_attempt(kind='read', at=97.0),
            build_run(at=97.1),
            build_answer(leaving=True, at=97.2),
            build_attempt('a2', at=99.3, **later),
            build_run('a2', at=99.4),
            build_answer('a2', at=99.5),
        )

    def test_runner_that_leaves_by_its_own_word(self) -> None:
        """Guard against missing a request long after the word."""
        lines = self.build_leaving()
        self.assert_violation('leaving by its own word', *lines)
        elsewhere = self.build_leaving(entry='e1')
        self.assertEqual(
            set(), find_broken_promises(build_config(1, 'k'), *elsewhere)
        )

    def test_excused_requests_to_a_leaving_runner(self) -> None:
        """Guard against reporting what a fault explains, and only that."""
        lines = self.build_leaving()
        for excuse in (
            {'event': 'fault', 'kind': 'Freeze', 'target': 'e0', 'at': 98.0},
            {'event': 'fault', 'kind': 'KillAll', 'target': '', 'at': 98.0},
            {'event': 'restarted', 'runner': 'p0', 'at': 98.0},
            {'event': 'restarted', 'runner': 'p0', 'at': 97.15},
        ):
            found = find_broken_promises(build_config(1, 'k'), *lines, excuse)
            self.assertEqual(set(), found)
        for other in (
            {'event': 'fault', 'kind': 'Freeze', 'target': 'e1', 'at': 98.0},
            {'event': 'fault', 'kind': 'Freeze', 'target': 'e0', 'at': 99.6},
            {'event': 'restarted', 'runner': 'p1', 'at': 98.0},
            {'event': 'restarted', 'runner': 'p0', 'at': 97.0},
        ):
            self.assert_violation('leaving by its own word', *lines, other)

    def build_wait(
        self, count: int, at: float = 100.0, entry: str = 'e0'
    ) -> tuple[typing.Any, ...]:
        """Return a history of a wait from 99 to 101 with requests in it."""
        lines: list[typing.Any] = [
            build_attempt('w', kind='read', at=98.9),
            build_run('w', event='refusal', at=99.0, retry_after=2.0),
        ]
        for number in range(count):
            name = f'w{number}'
            lines.append(build_attempt(name, kind='read', at=at, entry=entry))
            lines.append(build_run(name, event='refusal', at=at))
        return tuple(lines)

    def test_requests_in_a_wait(self) -> None:
        """Guard against missing the third request of a wait."""
        self.assert_violation('waits', *self.build_wait(3))
        for allowed in (
            self.build_wait(2),
            self.build_wait(9, at=99.4),
            self.build_wait(9, at=101.1),
            self.build_wait(9, entry='e1'),
        ):
            found = find_broken_promises(build_config(1, 'k'), *allowed)
            self.assertEqual(set(), found)

    def test_refusing_runner(self) -> None:
        """Guard against missing a runner that refuses and draws requests."""

        def build_history(
            count: int, *others: dict[str, typing.Any]
        ) -> tuple[dict[str, typing.Any], ...]:
            lines = [build_config(1, 'k'), *others]
            for number in range(count):
                name, at = f'r{number}', 100 + number / 5
                lines.append(build_attempt(name, kind='read', at=at))
                lines.append(build_run(name, event='refusal', at=at))
            return tuple(lines)

        served = (build_attempt(), build_run(runner='p1', at=100.5))
        self.assertEqual(
            {'refusing runners'},
            find_broken_promises(*build_history(7, *served)),
        )
        for allowed in (build_history(6, *served), build_history(9)):
            self.assertEqual(set(), find_broken_promises(*allowed))

    def test_missing_recovery(self) -> None:
        """Guard against missing a site that serves nothing after faults."""
        settled = {'event': 'settled', 'at': 80.0}
        lost = {'event': 'lost', 'id': 'a1', 'sound': True, 'at': 100.2}
        self.assert_violation('recovery', settled, build_attempt(), lost)
