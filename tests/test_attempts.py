"""Test the fold that decides which attempt may send."""

import unittest

import hypothesis
from hypothesis import strategies as st

from mustardvale.internal import action_keys, attempts, records
from tests import action_model

ACCOUNT = 'cellar-hands'
KEY = action_model.KEYS[0]
NOW = action_model.WALL


def build_attempt(attempt_id: str, key: str = KEY) -> records.ActionAttempt:
    """Build the record of an attempt."""
    return records.ActionAttempt(attempt_id, ACCOUNT, key, 'digest', 'entry-0')


def build_abandonment(
    attempt_id: str, key: str = KEY
) -> records.AttemptAbandoned:
    """Build the record of an abandonment."""
    return records.AttemptAbandoned(attempt_id, ACCOUNT, key)


def build_answer(attempt_id: str, key: str = KEY) -> records.AttemptDone:
    """Build the record of an answer."""
    return records.AttemptDone(
        attempt_id,
        ACCOUNT,
        key,
        'digest',
        200,
        'application/json',
        '',
        0,
    )


def fold_to_verdicts(*stored: records.Record) -> list[str]:
    """Fold records and return the verdicts."""
    table = attempts.AttemptTable()
    verdicts = []
    for record in stored:
        folded = attempts.fold(record, NOW, table)
        table = folded.table
        verdicts.append(folded.verdict.value)
    return verdicts


class Holder(unittest.TestCase):
    """At most one attempt holds a key at a time."""

    def test_second_attempt_loses(self) -> None:
        """Guard against two holders."""
        self.assertEqual(
            fold_to_verdicts(
                build_attempt('a'),
                build_attempt('b'),
                build_answer('a'),
                build_attempt('c'),
            ),
            ['won', 'lost', 'done', 'lost'],
        )

    def test_repeated_record_of_the_holder_changes_nothing(self) -> None:
        """Guard against a repeated append that wins twice."""
        self.assertEqual(
            fold_to_verdicts(
                build_attempt('a'),
                build_attempt('a'),
                build_answer('a'),
                build_attempt('a'),
            ),
            ['won', 'ignored', 'done', 'ignored'],
        )

    def test_other_account_has_its_own_key(self) -> None:
        """Guard against a conflict between accounts with the same key."""
        other = records.ActionAttempt('b', 'dairy', KEY, 'digest', 'entry-0')
        self.assertEqual(
            fold_to_verdicts(build_attempt('a'), other), ['won', 'won']
        )

    def test_answer_of_a_dropped_attempt_is_kept(self) -> None:
        """Guard against a second send after retention dropped the attempt."""
        self.assertEqual(
            fold_to_verdicts(build_answer('a'), build_attempt('b')),
            ['done', 'lost'],
        )


class Abandonment(unittest.TestCase):
    """An abandoned attempt never holds a key again."""

    def test_abandoned_attempt_frees_the_key(self) -> None:
        """Guard against a key that an abandoned attempt still holds."""
        self.assertEqual(
            fold_to_verdicts(
                build_attempt('a'), build_abandonment('a'), build_attempt('b')
            ),
            ['won', 'freed', 'won'],
        )

    def test_attempt_after_its_abandonment_is_ignored(self) -> None:
        """Guard against a late append that holds the key permanently."""
        self.assertEqual(
            fold_to_verdicts(
                build_abandonment('a'), build_attempt('a'), build_attempt('b')
            ),
            ['ignored', 'ignored', 'won'],
        )

    def test_losing_attempt_frees_nothing(self) -> None:
        """Guard against an abandonment that frees the key of another one."""
        self.assertEqual(
            fold_to_verdicts(
                build_attempt('a'), build_abandonment('b'), build_attempt('c')
            ),
            ['won', 'ignored', 'lost'],
        )

    def test_answered_attempt_cannot_be_abandoned(self) -> None:
        """Guard against a second send after an answer."""
        self.assertEqual(
            fold_to_verdicts(
                build_attempt('a'),
                build_answer('a'),
                build_abandonment('a'),
                build_attempt('b'),
            ),
            ['won', 'done', 'ignored', 'lost'],
        )


class Pruning(unittest.TestCase):
    """Pruned keys cannot be claimed again."""

    def setUp(self) -> None:
        """Fold an attempt and, much later, one for another key."""
        later = NOW + action_keys.WINDOW_SECONDS + 1200
        self.later = later
        new_key = action_model.make_key(later, 5)
        table = attempts.AttemptTable()
        table = attempts.fold(build_attempt('a'), NOW, table).table
        table = attempts.fold(build_attempt('b', new_key), later, table).table
        self.kept = attempts.prune(table)

    def test_only_old_keys_are_dropped(self) -> None:
        """Guard against memory that grows with time."""
        self.assertEqual(len(self.kept.keys), 1)
        self.assertEqual(len(self.kept.by_minute), 1)

    def test_late_attempt_for_a_pruned_key_expires(self) -> None:
        """Guard against a second send for a key that was pruned."""
        folded = attempts.fold(build_attempt('c'), self.later, self.kept)
        self.assertIs(folded.verdict, attempts.Verdict.EXPIRED)
        self.assertEqual(len(folded.table.keys), 1)

    def test_verdict_does_not_depend_on_pruning(self) -> None:
        """Guard against verdicts that depend on when a reader prunes."""
        table = attempts.AttemptTable()
        late = build_attempt('c')
        table = attempts.fold(build_attempt('a'), NOW, table).table
        unpruned = attempts.fold(late, self.later, table).verdict
        pruned = attempts.fold(late, self.later, self.kept).verdict
        self.assertIs(unpruned, pruned)


RECORDS = st.builds(
    lambda kind, attempt_id: kind(attempt_id),
    st.sampled_from((build_attempt, build_abandonment, build_answer)),
    st.sampled_from('abcd'),
)


class AnyRecords(unittest.TestCase):
    """The invariants of the fold hold for every sequence of records."""

    @hypothesis.settings(derandomize=True, database=None, max_examples=400)
    @hypothesis.given(st.lists(RECORDS, max_size=12))
    def test_key_is_won_again_only_after_an_abandonment(
        self,
        stored: list[records.Record],
    ) -> None:
        """Guard against two attempts that may both send."""
        table = attempts.AttemptTable()
        open_wins = 0
        for record in stored:
            folded = attempts.fold(record, NOW, table)
            table = folded.table
            open_wins += folded.verdict is attempts.Verdict.WON
            open_wins -= folded.verdict is attempts.Verdict.FREED
            self.assertIn(open_wins, (0, 1))
