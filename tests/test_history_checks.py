"""Test the checks of histories with valid and invalid histories."""

import typing
import unittest

from bench import history_checks

KEY = 'key-1'


def build_line(event: str, **fields: typing.Any) -> dict[str, typing.Any]:
    """Return a history line of an action with the key `KEY`."""
    common = {
        'at': 1.0,
        'request': 'r1',
        'call': 1,
        'work': 'action',
        'key': KEY,
    }
    return common | {'event': event} | fields


def find_broken_promises(**evidence: typing.Any) -> set[str]:
    """Return the promises that the evidence breaks."""
    violations = history_checks.check(history_checks.Evidence(**evidence))
    return {violation.promise for violation in violations}


NOT_RUN = build_line('error', outcome='not_run', scope='key')
UNKNOWN = build_line('error', outcome='unknown')
DONE = build_line('end', body='a', status=200)


class ValidHistories(unittest.TestCase):
    """Histories that keep all promises have no violations."""

    def test_done_once(self) -> None:
        """Guard against violations reported for a normal history."""
        lines = (UNKNOWN, DONE, build_line('end', body='a', at=2.0))
        self.assertEqual(
            find_broken_promises(lines=lines, executions_by_key={KEY: 1}), set()
        )

    def test_not_run_then_done(self) -> None:
        """Guard against reporting a denial that precedes the completion."""
        lines = (
            build_line('error', outcome='not_run', scope='key', at=0.5),
            DONE,
        )
        self.assertEqual(
            find_broken_promises(lines=lines, executions_by_key={KEY: 1}), set()
        )

    def test_unknown_that_did_not_run(self) -> None:
        """Guard against taking an `unknown` outcome for a completion."""
        self.assertEqual(find_broken_promises(lines=(UNKNOWN,)), set())


class ActionViolations(unittest.TestCase):
    """Each broken promise on actions is found."""

    def test_executed_twice(self) -> None:
        """Guard against missing an action that ran twice (P4)."""
        broken = find_broken_promises(lines=(DONE,), executions_by_key={KEY: 2})
        self.assertEqual(broken, {'P4'})

    def test_executed_twice_without_any_answer(self) -> None:
        """Guard against missing a second run without an answer (P4)."""
        self.assertEqual(
            find_broken_promises(executions_by_key={KEY: 2}), {'P4'}
        )

    def test_refused_but_executed(self) -> None:
        """Guard against missing `not_run` for an action that ran (P3)."""
        broken = find_broken_promises(
            lines=(NOT_RUN,), executions_by_key={KEY: 1}
        )
        self.assertEqual(broken, {'P3'})

    def test_never_sent_but_executed(self) -> None:
        """Guard against missing a run of a call that was never sent (P3)."""
        refused = build_line('error', kind='refused_connection', sent=False)
        broken = find_broken_promises(
            lines=(refused,), executions_by_key={KEY: 1}
        )
        self.assertEqual(broken, {'P3'})

    def test_done_but_not_executed(self) -> None:
        """Guard against missing an answer without a run (P4)."""
        self.assertEqual(find_broken_promises(lines=(DONE,)), {'P4'})

    def test_refused_after_completion(self) -> None:
        """Guard against missing a denial after the completion (P3)."""
        denial = build_line('error', outcome='not_run', scope='key', at=2.0)
        broken = find_broken_promises(
            lines=(DONE, denial), executions_by_key={KEY: 1}
        )
        self.assertEqual(broken, {'P3'})

    def test_different_answers_to_repeats(self) -> None:
        """Guard against missing retries with different answers (P2)."""
        lines = (DONE, build_line('end', body='b', at=2.0))
        broken = find_broken_promises(lines=lines, executions_by_key={KEY: 1})
        self.assertEqual(broken, {'P2'})


class AnswerViolations(unittest.TestCase):
    """Each broken promise on model answers is found."""

    def test_wrong_tokens(self) -> None:
        """Guard against missing the answer to another request (P2)."""
        wrong = build_line('verdict', verdict='wrong', work='answer', key='')
        self.assertEqual(find_broken_promises(lines=(wrong,)), {'P2'})

    def test_truncated_answer(self) -> None:
        """Guard against missing a truncated answer with an end mark (P2)."""
        lines = (
            build_line('start', work='answer', key='', maximum_tokens=8),
            build_line('end', work='answer', key='', count=7),
        )
        self.assertEqual(find_broken_promises(lines=lines), {'P2'})

    def test_repeated_step(self) -> None:
        """Guard against missing a layer that ran twice for a token (P1)."""
        self.assertEqual(
            find_broken_promises(step_violations=('s.1 at 4',)), {'P1'}
        )


class VersionViolations(unittest.TestCase):
    """Each broken promise on documents is found."""

    def find_broken_by(
        self, *versions: tuple[float, str, int, int]
    ) -> set[str]:
        """Return the promises that observations of versions break."""
        observations = tuple(
            history_checks.Observation(*fields) for fields in versions
        )
        return find_broken_promises(observations=observations)

    def test_version_goes_back(self) -> None:
        """Guard against missing a return to an earlier document (P7)."""
        broken = self.find_broken_by((1, 'e0', 2, 5), (2, 'e0', 1, 0))
        self.assertEqual(broken, {'P7'})

    def test_version_goes_back_after_restart(self) -> None:
        """Guard against missing a restart with an earlier document (P7)."""
        broken = self.find_broken_by(
            (1, 'e0', 2, 5), (2, 'e0', 0, -1), (3, 'e0', 1, 0)
        )
        self.assertEqual(broken, {'P7'})

    def test_one_version_at_two_offsets(self) -> None:
        """Guard against missing a version with two promotions (P7)."""
        broken = self.find_broken_by((1, 'e0', 2, 5), (1, 'e1', 2, 6))
        self.assertEqual(broken, {'P7'})

    def test_promotion_in_force_too_late(self) -> None:
        """Guard against missing an instance with an outdated document (P7)."""
        evidence = history_checks.Evidence(
            observations=(history_checks.Observation(12, 'e0', 1, 0),),
        )
        violations = history_checks.check_in_force(evidence, 9, {2: 1.0})
        self.assertEqual(
            [violation.promise for violation in violations], ['P7']
        )
