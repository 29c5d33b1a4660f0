"""Guard the checker of histories with histories that are known to be bad."""

import typing
import unittest

from bench import history_checks

KEY = 'key-1'


def build_line(event: str, **fields: typing.Any) -> dict[str, typing.Any]:
    """Return one line of a history."""
    common = {
        'at': 1.0,
        'request': 'r1',
        'call': 1,
        'work': 'action',
        'key': KEY,
    }
    return common | {'event': event} | fields


def find_broken_promises(**evidence: typing.Any) -> set[str]:
    """Return the promises that a history breaks."""
    found = history_checks.check(history_checks.Evidence(**evidence))
    return {violation.promise for violation in found}


NOT_RUN = build_line('error', outcome='not_run', scope='key')
UNKNOWN = build_line('error', outcome='unknown')
DONE = build_line('end', body='a', status=200)


class ValidHistories(unittest.TestCase):
    """A history that keeps the promises shows no violation."""

    def test_done_once(self) -> None:
        """Guard against a checker that reports what is right."""
        lines = (UNKNOWN, DONE, build_line('end', body='a', at=2.0))
        self.assertEqual(
            find_broken_promises(lines=lines, executions_by_key={KEY: 1}), set()
        )

    def test_not_run_then_done(self) -> None:
        """Guard against taking an early refusal for a later one."""
        lines = (
            build_line('error', outcome='not_run', scope='key', at=0.5),
            DONE,
        )
        self.assertEqual(
            find_broken_promises(lines=lines, executions_by_key={KEY: 1}), set()
        )

    def test_unknown_that_did_not_run(self) -> None:
        """Guard against reading more into `unknown` than it says."""
        self.assertEqual(find_broken_promises(lines=(UNKNOWN,)), set())


class ActionViolations(unittest.TestCase):
    """Each broken promise on actions is found."""

    def test_executed_twice(self) -> None:
        """Guard P4: an action that ran twice."""
        found = find_broken_promises(lines=(DONE,), executions_by_key={KEY: 2})
        self.assertEqual(found, {'P4'})

    def test_executed_twice_without_any_answer(self) -> None:
        """Guard P4: a second execution that no caller was told of."""
        self.assertEqual(
            find_broken_promises(executions_by_key={KEY: 2}), {'P4'}
        )

    def test_refused_but_executed(self) -> None:
        """Guard P3: `not_run` for an action that ran."""
        found = find_broken_promises(
            lines=(NOT_RUN,), executions_by_key={KEY: 1}
        )
        self.assertEqual(found, {'P3'})

    def test_never_sent_but_executed(self) -> None:
        """Guard P3: a refused connection behind which the action ran."""
        refused = build_line('error', kind='refused_connection', sent=False)
        found = find_broken_promises(
            lines=(refused,), executions_by_key={KEY: 1}
        )
        self.assertEqual(found, {'P3'})

    def test_done_but_not_executed(self) -> None:
        """Guard P4: an answer to an action that did not run."""
        self.assertEqual(find_broken_promises(lines=(DONE,)), {'P4'})

    def test_refused_after_completion(self) -> None:
        """Guard P3: a done action that is said to be free later."""
        denied = build_line('error', outcome='not_run', scope='key', at=2.0)
        found = find_broken_promises(
            lines=(DONE, denied), executions_by_key={KEY: 1}
        )
        self.assertEqual(found, {'P3'})

    def test_different_answers_to_repeats(self) -> None:
        """Guard P2: a repeat that gets the answer to another request."""
        lines = (DONE, build_line('end', body='b', at=2.0))
        found = find_broken_promises(lines=lines, executions_by_key={KEY: 1})
        self.assertEqual(found, {'P2'})


class AnswerViolations(unittest.TestCase):
    """Each broken promise on model answers is found."""

    def test_wrong_tokens(self) -> None:
        """Guard P2: an answer that belongs to another request."""
        wrong = build_line('verdict', verdict='wrong', work='answer', key='')
        self.assertEqual(find_broken_promises(lines=(wrong,)), {'P2'})

    def test_truncated_answer(self) -> None:
        """Guard P2: a cut answer that looks whole."""
        lines = (
            build_line('start', work='answer', key='', maximum_tokens=8),
            build_line('end', work='answer', key='', count=7),
        )
        self.assertEqual(find_broken_promises(lines=lines), {'P2'})

    def test_repeated_step(self) -> None:
        """Guard P1: a layer that ran twice for a token."""
        self.assertEqual(
            find_broken_promises(step_violations=('s.1 at 4',)), {'P1'}
        )


class VersionViolations(unittest.TestCase):
    """Each broken promise on documents is found."""

    def find_broken_by(
        self, *versions: tuple[float, str, int, int]
    ) -> set[str]:
        """Return the promises that observed versions break."""
        seen = tuple(history_checks.Observation(*one) for one in versions)
        return find_broken_promises(observations=seen)

    def test_version_goes_back(self) -> None:
        """Guard P7: an instance that reverts to an earlier document."""
        found = self.find_broken_by((1, 'e0', 2, 5), (2, 'e0', 1, 0))
        self.assertEqual(found, {'P7'})

    def test_version_goes_back_after_restart(self) -> None:
        """Guard P7: an instance that starts with an earlier document."""
        found = self.find_broken_by(
            (1, 'e0', 2, 5), (2, 'e0', 0, -1), (3, 'e0', 1, 0)
        )
        self.assertEqual(found, {'P7'})

    def test_one_version_at_two_offsets(self) -> None:
        """Guard P7: two instances that accepted different promotions."""
        found = self.find_broken_by((1, 'e0', 2, 5), (1, 'e1', 2, 6))
        self.assertEqual(found, {'P7'})

    def test_promotion_in_force_too_late(self) -> None:
        """Guard P7: an instance that keeps an outdated document."""
        evidence = history_checks.Evidence(
            observations=(history_checks.Observation(12, 'e0', 1, 0),),
        )
        late = history_checks.check_in_force(evidence, 9, {2: 1.0})
        self.assertEqual([one.promise for one in late], ['P7'])
