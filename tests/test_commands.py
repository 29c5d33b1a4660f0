"""Test the commands and the output of the command-line tool."""

import contextlib
import io
import pathlib
import unittest
import uuid

from mustardvale import command
from mustardvale.internal import (
    caller_messages,
    calls,
    events,
    records,
    streams,
)
from mustardvale.internal.commands import (
    command_types,
    entry_calls,
    promoting,
    reports,
)
from mustardvale.internal.edge import codec_reports, idempotency_keys
from tests import fakes, runs

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / 'examples'
FIRST = (EXAMPLES / 'cooperative.toml').read_text()
SECOND = FIRST.replace('layers = 24', 'layers = 32')
THIRD = FIRST.replace('layers = 24', 'layers = 48')
PRODUCTION = streams.EnvironmentStream('production')
REFUSED = events.Failure(events.FailureKind.REFUSED, was_sent=False)
CLOSED = events.Failure(events.FailureKind.CLOSED, was_sent=True)


def publish(text: str, operator: str, based_on: int = -1) -> runs.Run:
    """Start to publish a document."""
    proposal = command_types.Proposal(f'{operator}-1', operator, based_on)
    return runs.Run(command_types.Publish('file', text, 'production', proposal))


class Races(unittest.TestCase):
    """Exactly one of two promotions wins, and the other one is reported lost."""

    def test_loser_is_told_version_and_operator(self) -> None:
        """Guard against a lost promotion that is not reported as such."""
        log = fakes.FakeLog()
        ann, bob = publish(FIRST, 'ann'), publish(SECOND, 'bob')
        ann.read(log)
        bob.read(log)
        bob.append(log)
        ann.append(log)
        ann.read(log)
        bob.read(log)
        self.assertEqual((ann.exit_code, bob.exit_code), (1, 0))
        self.assertEqual(
            ann.shown,
            [reports.PromotionLost('production', 0, 1, 'bob', 'ann-1')],
        )

    def test_base_that_is_no_longer_active(self) -> None:
        """Guard against an edit of a version that was replaced meanwhile."""
        log = fakes.FakeLog()
        first = publish(FIRST, 'ann')
        first.read(log)
        first.append(log)
        first.read(log)
        late = publish(SECOND, 'bob', based_on=0)
        late.read(log)
        self.assertEqual(late.exit_code, 1)
        self.assertEqual(late.calls, [])
        self.assertIsInstance(late.shown[0], reports.PromotionLost)

    def test_same_text_appends_nothing(self) -> None:
        """Guard against a new version of an unchanged document."""
        log = fakes.FakeLog()
        for _ in range(2):
            run = publish(FIRST, 'ann')
            run.read(log)
            if run.calls:
                run.append(log)
                run.read(log)
        self.assertEqual(run.exit_code, 0)
        self.assertIsInstance(run.shown[0], reports.AlreadyInForce)
        self.assertEqual(len(log.list_appended(PRODUCTION)), 1)


class LostAnswers(unittest.TestCase):
    """A read resolves an append whose answer was lost."""

    def test_record_that_was_appended_is_found(self) -> None:
        """Guard against a second promotion of the same document."""
        log = fakes.FakeLog()
        run = publish(FIRST, 'ann')
        run.read(log)
        log.append(run.calls[0].call)
        run.fail(CLOSED)
        run.read(log)
        self.assertEqual(run.exit_code, 0)
        self.assertEqual(len(log.list_appended(PRODUCTION)), 1)

    def test_repeated_append_is_accepted_once(self) -> None:
        """Guard against two versions when the first append arrives late."""
        log = fakes.FakeLog()
        run = publish(FIRST, 'ann')
        run.read(log)
        slow = run.calls[0].call
        run.fail(CLOSED)
        run.read(log)
        run.fire_timer()
        run.append(log)
        log.append(slow)
        run.read(log)
        self.assertEqual(run.exit_code, 0)
        self.assertEqual(
            [report.version for report in run.shown],  # type: ignore[attr-defined]
            [1],
        )
        history = runs.Run(command_types.History('production', 5))
        history.read(log)
        shown = history.shown[0]
        assert isinstance(shown, reports.HistoryShown)
        self.assertEqual(
            [row.verdict for row in shown.promotions],
            ['outdated', 'accepted'],
        )

    def test_log_that_stays_down_leaves_the_outcome_open(self) -> None:
        """Guard against a failure report for a promotion that may take effect."""
        log = fakes.FakeLog()
        run = publish(FIRST, 'ann')
        run.read(log)
        run.fail(CLOSED)
        while run.exit_code is None:
            run.fail(REFUSED)
            if run.timers:
                run.fire_timer()
        self.assertEqual(run.exit_code, 3)
        self.assertEqual(
            run.shown,
            [reports.PromotionUnknown('production', 'ann-1')],
        )


class DroppedRecords(unittest.TestCase):
    """The tool proposes nothing while the active document is unknown."""

    def test_gap_without_snapshot_is_refused(self) -> None:
        """Guard against a promotion based on an unknown version."""
        log = fakes.FakeLog()
        promotion = records.Promotion('x', 'ann', 0, -1, FIRST)
        log.append(calls.AppendRecords(PRODUCTION, (promotion,)))
        log.drop_before(PRODUCTION, 1)
        run = publish(SECOND, 'bob')
        run.read(log)
        self.assertEqual(run.exit_code, 1)
        self.assertIn('no snapshot covers it', str(run.shown[0]))

    def test_promotion_that_was_dropped_unread_is_not_lost(self) -> None:
        """Guard against a loss report for a promotion that has won.

        The log dropped the promotion before the tool read it back, and a
        snapshot with the new version took its place.
        """
        log = fakes.FakeLog()
        run = publish(FIRST, 'ann')
        run.read(log)
        run.append(log)
        snapshot = records.DocumentSnapshot(1, 0, FIRST, 0, 'ann')
        log.append(calls.AppendRecords(PRODUCTION, (snapshot,)))
        log.drop_before(PRODUCTION, 1)
        run.read(log)
        self.assertEqual(run.exit_code, 3)
        self.assertIsInstance(run.shown[0], reports.PromotionUnknown)

    def test_snapshot_gives_version_and_base(self) -> None:
        """Guard against version numbers that restart at 1 after a gap."""
        log = fakes.FakeLog()
        promotion = records.Promotion('x', 'ann', 0, -1, FIRST)
        snapshot = records.DocumentSnapshot(1, 0, FIRST, 0, 'ann')
        log.append(calls.AppendRecords(PRODUCTION, (promotion, snapshot)))
        log.drop_before(PRODUCTION, 1)
        run = publish(SECOND, 'bob')
        run.read(log)
        run.append(log)
        run.read(log)
        accepted = run.shown[0]
        assert isinstance(accepted, reports.PromotionAccepted)
        self.assertEqual((accepted.version, accepted.offset), (2, 2))


class Promotions(unittest.TestCase):
    """Promoting to another environment changes only the environment field."""

    def test_environment_is_the_only_change(self) -> None:
        """Guard against further changes to a promoted document."""
        trial = FIRST.replace('"production"', '"trial"')
        self.assertEqual(promoting.retarget(trial, 'production'), FIRST)

    def test_promote_reads_source_and_target(self) -> None:
        """Guard against a promotion based on the version of the source."""
        log = fakes.FakeLog()
        trial = streams.EnvironmentStream('trial')
        text = SECOND.replace('"production"', '"trial"')
        log.append(
            calls.AppendRecords(
                trial,
                (records.Promotion('x', 'ann', 0, -1, text),),
            )
        )
        run = runs.Run(
            command_types.Promote(
                'trial', 'production', command_types.Proposal('p', 'ann')
            )
        )
        run.read(log)
        run.read(log)
        run.append(log)
        run.read(log)
        self.assertEqual(run.exit_code, 0)
        stored = log.list_appended(PRODUCTION)[0].record
        assert isinstance(stored, records.Promotion)
        self.assertEqual(stored.document, SECOND)

    def test_document_of_another_environment_is_refused(self) -> None:
        """Guard against a document published to the wrong environment."""
        proposal = command_types.Proposal('p', 'ann')
        run = runs.Run(command_types.Publish('file', FIRST, 'trial', proposal))
        self.assertEqual((run.exit_code, run.calls), (1, []))


def ask(*addresses: str) -> runs.Run:
    """Start to ask a model."""
    asked = command_types.Ask('key', 'affinage', '', 'how old', 4, 0)
    return runs.Run(asked, entry_addresses=addresses)


class Answers(unittest.TestCase):
    """An answer is complete only with its last line."""

    def test_cut_answer_is_resumed_with_its_tokens(self) -> None:
        """Guard against lost or repeated tokens after a resumption."""
        run = ask('a:1', 'b:1')
        run.receive(caller_messages.TokenPart(0, 'one'))
        run.fail(CLOSED)
        call = run.calls[0]
        self.assertEqual(
            (call.address, call.call.delivered),
            ('b:1', ('one',)),
        )

    def test_leaving_instance_is_left_for_the_next_one(self) -> None:
        """Guard against a refusal while another instance may accept."""
        run = ask('a:1', 'b:1')
        run.answer(entry_calls.EntryRefused('stopping', 'leaving'))
        self.assertEqual(run.calls[0].address, 'b:1')
        run.answer(entry_calls.EntryRefused('stopping', 'leaving'))
        self.assertEqual(run.exit_code, 1)

    def test_body_without_end_mark_is_cut(self) -> None:
        """Guard against a truncated answer that is reported as complete."""
        run = ask('a:1')
        run.receive(caller_messages.TokenPart(0, 'one'))
        run.answer(entry_calls.StreamClosed())
        self.assertEqual(run.exit_code, 3)

    def test_action_is_not_repeated_after_it_was_sent(self) -> None:
        """Guard against an action that runs twice."""
        act = command_types.Act(
            'key', 'cellar-ledger', 'log-wheel', 'k-1', b'{}', 0
        )
        sent = runs.Run(act, entry_addresses=('a:1', 'b:1'))
        sent.fail(CLOSED)
        self.assertEqual((sent.exit_code, sent.calls), (3, []))
        self.assertIn('--key k-1', str(sent.shown[0]))
        unsent = runs.Run(act, entry_addresses=('a:1', 'b:1'))
        unsent.fail(REFUSED)
        self.assertEqual(unsent.calls[0].address, 'b:1')

    def test_unknown_outcome_is_no_refusal(self) -> None:
        """Guard against a script that repeats an action under a new key."""
        act = command_types.Act(
            'key', 'cellar-ledger', 'log-wheel', 'k-1', b'{}', 0
        )
        run = runs.Run(act, entry_addresses=('a:1',))
        run.answer(
            entry_calls.EntryRefused(
                'outcome_unknown',
                'no answer',
                outcome='unknown',
            )
        )
        self.assertEqual(run.exit_code, 3)
        self.assertIn('--key k-1', str(run.shown[0]))

    def test_tool_waits_past_the_deadline(self) -> None:
        """Guard against a client timeout before the outcome is known."""
        act = command_types.Act(
            'key', 'cellar-ledger', 'log-wheel', 'k-1', b'{}', 20
        )
        run = runs.Run(act, entry_addresses=('a:1',))
        self.assertGreater(run.calls[0].timeout_seconds, 20)


def run_invalid_command(*arguments: str) -> tuple[int, str]:
    """Return the exit code and standard error of an invalid command line."""
    written = io.StringIO()
    try:
        with contextlib.redirect_stderr(written):
            command.main(arguments)
    except SystemExit as error:
        return int(str(error.code)), written.getvalue()
    return 0, written.getvalue()


class Usage(unittest.TestCase):
    """An invalid command line gives one line of error and exit code 2."""

    def test_wrong_command_lines(self) -> None:
        """Guard against a traceback or pages of help for a typing error."""
        for arguments in (
            (),
            ('promot',),
            ('show',),
            ('show', 'production', 'more', '--log-address', '127.0.0.1:9'),
            ('show', 'production', '--colour=1'),
            ('show', 'production'),
            ('show', 'production', '--log-address', 'localhost:9'),
            ('show', '../faults', '--log-address', '127.0.0.1:9'),
            ('status', '--entry-address', '127.0.0.1:70000'),
            ('status', '--timeout', 'soon'),
            ('validate', 'no-such-file.toml'),
        ):
            code, written = run_invalid_command(*arguments)
            self.assertEqual(code, 2, arguments)
            self.assertEqual(written.count('\n'), 1, written)
            self.assertTrue(written.startswith('mustardvale: '), written)


class Help(unittest.TestCase):
    """The help lists every command."""

    def test_every_command_is_listed(self) -> None:
        """Guard against a command that operators cannot find."""
        written = io.StringIO()
        with contextlib.redirect_stdout(written):
            command.main(['--help'])
        for name in (
            'validate PATH',
            'diff PATH [--environment=ENVIRONMENT]',
            'publish PATH',
            'promote SOURCE TARGET',
            'show',
            'history',
            'status',
            'entries',
            'ask MODEL PROMPT',
            'act SERVICE OPERATION',
            'quota',
            'upstreams',
        ):
            self.assertIn(f'\n  {name}', written.getvalue())
        self.assertIn('0 done, 1 refused or lost', written.getvalue())

    def test_help_of_one_command(self) -> None:
        """Guard against a help flag that runs the command."""
        written = io.StringIO()
        with contextlib.redirect_stdout(written):
            command.main(['publish', '--help'])
        self.assertIn('[--based-on=BASED-ON]', written.getvalue())


class Output(unittest.TestCase):
    """Every report has a text and a JSON form."""

    def test_every_report_is_encoded(self) -> None:
        """Guard against a report without a text form."""
        kinds = [
            kind
            for kind in vars(reports).values()
            if isinstance(kind, type)
            and issubclass(kind, reports.Report)
            and kind is not reports.Report
        ]
        self.assertGreater(len(kinds), 10)
        for kind in kinds:
            self.assertIn(kind, codec_reports.to_text.registry)

    def test_json_names_its_kind(self) -> None:
        """Guard against JSON from which the kind of report is not known."""
        lost = reports.PromotionLost('production', 0, 1, 'bob', 'ann-1')
        self.assertEqual(
            codec_reports.to_json(lost),
            '{"report":"promotion_lost","environment":"production",'
            '"based_on_version":0,"winner_version":1,'
            '"winner_operator":"bob","promotion_id":"ann-1"}\n',
        )

    def test_key_is_a_version_7_uuid(self) -> None:
        """Guard against generated keys that instances refuse."""
        key = uuid.UUID(idempotency_keys.generate())
        self.assertEqual((key.version, key.variant), (7, uuid.RFC_4122))
