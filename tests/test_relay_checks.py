"""Guard the checker of the soak with histories that break a promise each."""

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


def build_config(at: float, *keys: str) -> dict[str, typing.Any]:
    """Return the line of a confirmed configuration."""
    return {'event': 'config', 'at': at, 'keys': keys, 'version': int(at)}


def find_broken_promises(*lines: dict[str, typing.Any]) -> set[str]:
    """Return the promises that a history breaks."""
    sent = tuple(
        {**line, 'event': 'config_sent'}
        for line in lines
        if line['event'] == 'config'
    )
    history = relay_checks.History(lines + sent)
    return {violation.promise for violation in relay_checks.check(history)}


class ValidHistories(unittest.TestCase):
    """A history of what is allowed breaks nothing."""

    def test_answered_request(self) -> None:
        """Guard against a checker that finds what is not there."""
        self.assertEqual(
            set(),
            find_broken_promises(
                build_config(1, 'k'),
                build_attempt(),
                build_run(),
                build_answer(),
            ),
        )

    def test_repeated_read(self) -> None:
        """Guard against taking a repeat that is allowed for a second run."""
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
        """Guard against taking a true refusal for a false one."""
        lines = (
            build_attempt(),
            build_answer(status=503, stamp='', whole=False),
        )
        self.assertEqual(
            set(), find_broken_promises(build_config(1, 'k'), *lines)
        )

    def test_key_within_the_revocation_bound(self) -> None:
        """Guard against counting from the change and not from the bound."""
        lines = (
            build_config(1, 'k'),
            build_config(96, 'x'),
            build_attempt(),
            build_run(),
            build_answer(),
        )
        self.assertEqual(set(), find_broken_promises(*lines))

    def test_key_of_an_unconfirmed_version(self) -> None:
        """Guard against taking a lost confirmation for a lost change."""
        back = {**build_config(95, 'k'), 'event': 'config_sent'}
        lines = (
            build_config(94, 'x'),
            back,
            build_attempt(),
            build_run(),
            build_answer(),
        )
        self.assertEqual(
            set(), find_broken_promises(build_config(1, 'k'), *lines)
        )


class InvalidHistories(unittest.TestCase):
    """Each broken promise is found."""

    def assert_violation(
        self, promise: str, *lines: dict[str, typing.Any]
    ) -> None:
        """Expect that a history breaks one promise."""
        self.assertEqual(
            {promise}, find_broken_promises(build_config(1, 'k'), *lines)
        )

    def test_second_run(self) -> None:
        """Guard against missing a request that ran twice."""
        self.assert_violation(
            'at most once',
            build_attempt(),
            build_run(),
            build_run(runner='p1'),
            build_answer(),
        )

    def test_refusal_of_what_ran(self) -> None:
        """Guard against missing a refusal that is not true."""
        refused = build_answer(status=503, stamp='', whole=False)
        self.assert_violation(
            'not run is certain', build_attempt(), build_run(), refused
        )

    def test_refusal_before_the_run(self) -> None:
        """Guard against missing a run after the refusal."""
        refused = build_answer(status=503, stamp='', whole=False, at=100.05)
        self.assert_violation(
            'not run is certain', build_attempt(), build_run(at=103.0), refused
        )

    def test_truncated_answer(self) -> None:
        """Guard against missing an answer without its end."""
        self.assert_violation(
            'whole answers',
            build_attempt(),
            build_run(),
            build_answer(whole=False),
        )

    def test_wrong_bytes_in_a_failed_answer(self) -> None:
        """Guard against missing pieces of two runs in a cut stream."""
        lost = {'event': 'lost', 'id': 'a1', 'sound': False, 'at': 100.2}
        self.assert_violation(
            'whole answers', build_attempt(), build_run(), lost
        )

    def test_answer_of_another_request(self) -> None:
        """Guard against missing an answer that was mixed up."""
        other = build_answer(stamp=f'p0.a2.{DIGEST}')
        self.assert_violation(
            'whole answers', build_attempt(), build_run(), other
        )

    def test_unknown_run(self) -> None:
        """Guard against missing a run that nobody asked for."""
        self.assert_violation(
            'nothing unasked', build_attempt(), build_run('a9')
        )

    def test_changed_request(self) -> None:
        """Guard against missing a changed path or body."""
        self.assert_violation(
            'nothing unasked', build_attempt(), build_run(digest='other')
        )

    def test_wrong_tenant(self) -> None:
        """Guard against missing a request under another account."""
        self.assert_violation(
            'nothing unasked', build_attempt(), build_run(tenant='bob')
        )

    def test_forwarded_key(self) -> None:
        """Guard against missing a key that a runner has seen."""
        self.assert_violation(
            'nothing unasked', build_attempt(), build_run(key_seen=True)
        )

    def test_missing_layer(self) -> None:
        """Guard against missing a gap between two parts."""
        chain = [[0, 4], [5, 8]]
        self.assert_violation(
            'layers in order', build_attempt(), build_run(layers=chain)
        )

    def test_repeated_layer_after_a_move(self) -> None:
        """Guard against missing an overlap after a move."""
        moved = build_run(event='move', layers=[[0, 4], [3, 8]])
        self.assert_violation(
            'layers in order',
            build_attempt(),
            build_run(layers=CHAIN_LAYERS),
            moved,
        )

    def test_too_many_runs(self) -> None:
        """Guard against missing runs over the route's limit."""
        lines = []
        for number in range(4):
            name = f'a{number}'
            lines += [build_attempt(name, kind='read'), *[build_run(name)] * 3]
        self.assert_violation('runs of a request', *lines)

    def test_too_many_repeats(self) -> None:
        """Guard against missing a spent retry budget."""
        lines = []
        for number in range(70):
            name = f'a{number}'
            lines += [
                build_attempt(name, kind='read'),
                build_run(name),
                build_run(name),
            ]
        self.assertEqual(
            set(), find_broken_promises(build_config(1, 'k'), *lines)
        )
        for number in range(20):
            lines.append(build_run(f'a{number}', event='refusal'))
        self.assert_violation('retry budget', *lines)

    def test_deadline_too_long(self) -> None:
        """Guard against missing work that nobody waits for."""
        self.assert_violation(
            'time budget', build_attempt(), build_run(deadline_ms=20_000)
        )

    def test_revoked_key(self) -> None:
        """Guard against missing a key that is served for too long."""
        self.assert_violation(
            'revoked keys',
            build_config(94, 'x'),
            build_attempt(),
            build_run(),
            build_answer(),
        )

    def test_draining_runner(self) -> None:
        """Guard against missing work for a runner that leaves."""
        leaving = {'event': 'draining', 'runner': 'p0', 'at': 97.0}
        back = {'event': 'returned', 'runner': 'p0', 'at': 101.0}
        self.assert_violation(
            'leaving runners',
            build_attempt(),
            build_run(),
            build_answer(),
            leaving,
            back,
        )

    def test_draining_runner_shortly_after_a_fault(self) -> None:
        """Guard against holding a bound that does not hold then."""
        leaving = {'event': 'draining', 'runner': 'p0', 'at': 97.0}
        back = {'event': 'returned', 'runner': 'p0', 'at': 101.0}
        fault = {'event': 'fault', 'at': 96.0}
        lines = (
            build_attempt(),
            build_run(),
            build_answer(),
            leaving,
            back,
            fault,
        )
        self.assertEqual(
            set(), find_broken_promises(build_config(1, 'k'), *lines)
        )

    def test_missing_recovery(self) -> None:
        """Guard against missing a site that stays down."""
        settled = {'event': 'settled', 'at': 80.0}
        lost = {'event': 'lost', 'id': 'a1', 'sound': True, 'at': 100.2}
        self.assert_violation('recovery', settled, build_attempt(), lost)
