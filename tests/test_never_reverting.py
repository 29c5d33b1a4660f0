"""Guard that a document in force is never replaced by an earlier one."""

import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful, strategies

from mustardvale.internal import messages, promotions, records
from mustardvale.internal.commands import reports, wanted
from mustardvale.internal.edge import codec_peer, peer_socket
from tests import configuration_site, runs

NAMES = ('entry-a', 'entry-b', 'entry-c')
OPERATORS = ('ann', 'bob')
ENDS = ('stored', 'stored', 'lost', 'late', 'refused')

node_names = strategies.sampled_from(NAMES)
operator_names = strategies.sampled_from(OPERATORS)

PROFILE = hypothesis.settings(
    max_examples=300,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    report_multiple_bugs=False,
    print_blob=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)

# A seeded fault needs to be found, not to be reduced to its shortest form.
SEEDED = hypothesis.settings(
    PROFILE,
    max_examples=1500,
    phases=(hypothesis.Phase.generate,),
)


class Promotions(stateful.RuleBasedStateMachine):
    """Let instances and operators act in any order under faults."""

    def __init__(self) -> None:
        super().__init__()
        self.site = configuration_site.Site(NAMES)
        self.layers = 0
        self.running: dict[str, runs.Run] = {}
        self.finished: list[runs.Run] = []

    @stateful.initialize()
    def begin(self) -> None:
        """Promote a first document and let one instance read it."""
        self.publish_whole(OPERATORS[0])
        self.site.settle(self.site.nodes[NAMES[0]])

    @stateful.rule(seconds=strategies.sampled_from((0.3, 1.0, 2.5)))
    def let_time_pass(self, seconds: float) -> None:
        """Fire timers."""
        self.site.advance(seconds)

    @stateful.rule(name=node_names, limit=strategies.integers(1, 3))
    def read_page(self, name: str, limit: int) -> None:
        """Answer a read with a few records."""
        self.site.read(self.site.nodes[name], limit)

    @stateful.rule(name=node_names)
    def settle(self, name: str) -> None:
        """Let an instance catch up."""
        self.site.settle(self.site.nodes[name])

    @stateful.rule(name=node_names, end=strategies.sampled_from(ENDS))
    def end_append(self, name: str, end: str) -> None:
        """End the append of a snapshot."""
        self.site.append(self.site.nodes[name], end)

    @stateful.rule(name=node_names)
    def delay_snapshot(self, name: str) -> None:
        """Let a snapshot fall due whose append takes long."""
        self.site.settle(self.site.nodes[name])
        self.site.advance(configuration_site.RETENTION_SECONDS)
        self.site.append(self.site.nodes[name], 'late')

    @stateful.rule(name=node_names)
    def deliver(self, name: str) -> None:
        """Deliver messages of peers."""
        self.site.deliver(self.site.nodes[name])

    @stateful.rule(name=node_names)
    def lose_messages(self, name: str) -> None:
        """Lose messages of peers."""
        self.site.nodes[name].inbox.clear()

    @stateful.precondition(lambda self: self.site.late)
    @stateful.rule()
    def land_late(self) -> None:
        """Store an append that was under way for long."""
        for call in self.site.late:
            self.site.log.append(call)
        self.site.late.clear()

    @stateful.rule(down=strategies.sampled_from((False, False, False, True)))
    def switch_log(self, down: bool) -> None:
        """Begin or end an outage of the log."""
        self.site.log_down = down

    @stateful.rule(count=strategies.sampled_from((1, 2, 5, 100)))
    def drop_records(self, count: int) -> None:
        """Drop the oldest records."""
        stream = configuration_site.STREAM
        earliest = self.site.log.earliest.get(stream, 0)
        self.site.log.drop_before(stream, earliest + count)

    @stateful.rule(name=node_names)
    def pause(self, name: str) -> None:
        """Pause an instance."""
        self.site.nodes[name].paused = True

    @stateful.rule()
    def resume(self) -> None:
        """Resume every instance."""
        for node in self.site.nodes.values():
            node.paused = False

    @stateful.rule(name=node_names)
    def restart(self, name: str) -> None:
        """Start an instance again."""
        self.site.start(self.site.nodes[name])

    @stateful.rule()
    def restart_all(self) -> None:
        """Start every instance again."""
        for node in self.site.nodes.values():
            self.site.start(node)

    @stateful.rule(name=node_names)
    def restart_and_settle(self, name: str) -> None:
        """Start an instance again and let it catch up."""
        self.site.start(self.site.nodes[name])
        self.site.settle(self.site.nodes[name])

    @stateful.rule(operator=operator_names)
    def begin_publish(self, operator: str) -> None:
        """Start the command-line tool."""
        if operator in self.running:
            return
        self.layers += 1
        text = configuration_site.document_text(self.layers)
        proposal = wanted.Proposal(f'{operator}-{self.layers}', operator)
        publish = wanted.Publish('file', text, 'production', proposal)
        self.running[operator] = runs.Run(publish)

    @stateful.rule(operator=operator_names, end=strategies.sampled_from(ENDS))
    def go_on_publishing(self, operator: str, end: str) -> None:
        """Carry out the next call or timer of a run."""
        run = self.running.get(operator)
        if run is None:
            return
        self.step(run, end)
        if run.exit_code is not None:
            self.finished.append(self.running.pop(operator))

    @stateful.rule(operator=operator_names)
    def publish_whole(self, operator: str) -> None:
        """Publish without interference of the other operator."""
        self.begin_publish(operator)
        for _ in range(6):
            self.go_on_publishing(operator, 'stored')

    def step(self, run: runs.Run, end: str) -> None:
        """Carry out one step of a run."""
        if not run.calls:
            run.elapse()
        elif self.site.log_down or end == 'refused':
            run.fail(configuration_site.REFUSED)
        elif not isinstance(run.calls[0].call, runs.AppendRecords):
            run.read(self.site.log)
        elif end == 'stored':
            run.append(self.site.log)
        else:
            self.site.lose(run.calls[0].call, end)
            run.fail(configuration_site.LOST)

    @stateful.invariant()
    def every_instance_is_right(self) -> None:
        """One version has one document, at every instance."""
        self.site.check()

    @stateful.invariant()
    def every_operator_is_told_the_truth(self) -> None:
        """An accepted promotion is accepted, a lost one never will be."""
        accepted = {}
        known = promotions.Promoted()
        for stored, folded in zip(
            self.site.log.stored(configuration_site.STREAM),
            self.site.truth(),
            strict=True,
        ):
            if isinstance(stored.record, records.Promotion) and (
                folded.version > known.version
            ):
                accepted[stored.record.promotion_id] = folded.version
            known = folded
        for run in self.finished:
            report = run.shown[-1]
            if isinstance(report, reports.PromotionAccepted):
                assert accepted.get(report.promotion_id) == report.version
            elif isinstance(report, reports.PromotionLost):
                assert report.promotion_id not in accepted
                assert report.winner_operator in OPERATORS


class UnderFaults(unittest.TestCase):
    """The fold and the reducer hold under outages, pauses and races."""

    def test_no_instance_goes_back(self) -> None:
        """Guard against an earlier document in force anywhere."""
        stateful.run_state_machine_as_test(Promotions, settings=PROFILE)

    def test_stale_snapshots_are_found_when_they_are_accepted(self) -> None:
        """Guard against a test that passes without the check of `as_of`."""

        def accept_any(
            candidate: promotions.Promoted,
            promoted: promotions.Promoted,
        ) -> bool:
            return promoted.gap is not None

        with (
            mock.patch.object(promotions, 'closes_gap', accept_any),
            self.assertRaises(AssertionError),
        ):
            stateful.run_state_machine_as_test(Promotions, settings=SEEDED)

    def test_unnoticed_gaps_are_found(self) -> None:
        """Guard against a test that passes without the check for gaps."""

        def skip_silently(
            earliest_offset: int,
            promoted: promotions.Promoted,
        ) -> promotions.Promoted:
            if earliest_offset <= promoted.next_offset:
                return promoted
            return promotions.pass_record(earliest_offset - 1, promoted)

        with (
            mock.patch.object(promotions, 'skip_to', skip_silently),
            self.assertRaises(AssertionError),
        ):
            stateful.run_state_machine_as_test(Promotions, settings=SEEDED)


class Resumption(unittest.TestCase):
    """An instance returns to the document in force after any absence."""

    def setUp(self) -> None:
        """Promote a document and let every instance read it."""
        self.site = configuration_site.Site(NAMES)
        self.publish(1)
        self.settle()

    def publish(self, layers: int) -> None:
        """Publish a document."""
        text = configuration_site.document_text(layers)
        proposal = wanted.Proposal(f'p-{layers}', 'ann')
        run = runs.Run(wanted.Publish('f', text, 'production', proposal))
        run.read(self.site.log)
        run.append(self.site.log)
        run.read(self.site.log)
        self.assertEqual(run.exit_code, 0)

    def settle(self, seconds: float = 1) -> None:
        """Let time pass and everything arrive."""
        for _ in range(6):
            self.site.advance(seconds / 6)
            for node in self.site.nodes.values():
                self.site.settle(node)

    def applied(self) -> list[int]:
        """Return the version that each instance applies."""
        return [
            node.state.configuration.applied_version
            for node in self.site.nodes.values()
        ]

    def drop_all_but_last(self) -> None:
        """Drop what retention drops when the last record is a snapshot."""
        stream = configuration_site.STREAM
        end = len(self.site.log.stored(stream))
        self.site.log.drop_before(stream, end - 1)

    def test_one_snapshot_at_a_quarter_of_the_retention(self) -> None:
        """Guard against a log that forgets the document, or is filled."""
        quarter = configuration_site.RETENTION_SECONDS / 4
        for _ in range(40):
            self.settle(quarter / 10)
        found = [
            stored
            for stored in self.site.log.stored(configuration_site.STREAM)
            if isinstance(stored.record, records.DocumentSnapshot)
        ]
        self.assertIn(len(found), {4, 5})

    def test_backup_appends_when_the_first_is_paused(self) -> None:
        """Guard against a snapshot that depends on one instance."""
        for name in NAMES:
            site = configuration_site.Site(NAMES)
            self.site = site
            self.publish(1)
            self.settle()
            site.nodes[name].paused = True
            count = len(site.log.stored(configuration_site.STREAM))
            self.settle(configuration_site.RETENTION_SECONDS / 2)
            after = len(site.log.stored(configuration_site.STREAM))
            self.assertGreater(after, count, name)

    def test_long_pause_behind_dropped_records(self) -> None:
        """Guard against a paused instance that stays on its old document."""
        node = self.site.nodes[NAMES[0]]
        node.paused = True
        self.publish(2)
        self.publish(3)
        self.settle(configuration_site.RETENTION_SECONDS / 2)
        self.drop_all_but_last()
        node.paused = False
        node.inbox.clear()
        self.settle()
        self.assertEqual(self.applied(), [3, 3, 3])

    def test_stale_snapshot_is_not_accepted(self) -> None:
        """Guard against a paused instance that restores an old document."""
        slow, fresh = (self.site.nodes[name] for name in NAMES[:2])
        self.site.advance(configuration_site.RETENTION_SECONDS)
        self.site.append(slow, 'late')
        self.publish(2)
        stream = configuration_site.STREAM
        end = len(self.site.log.stored(stream))
        self.site.log.drop_before(stream, end)
        self.site.log.append(self.site.late.pop())
        self.site.start(fresh)
        self.site.read(fresh)
        self.site.read(fresh)
        self.assertFalse(fresh.state.configuration.promoted.anchored)
        self.assertIsNone(fresh.state.configuration.document)
        self.site.check()

    def test_restart_of_all_instances(self) -> None:
        """Guard against a version that starts again at 1."""
        self.publish(2)
        self.settle(configuration_site.RETENTION_SECONDS / 2)
        self.drop_all_but_last()
        for node in self.site.nodes.values():
            self.site.start(node)
        self.assertEqual(self.applied(), [0, 0, 0])
        self.settle()
        self.assertEqual(self.applied(), [2, 2, 2])
        self.publish(3)
        self.settle()
        self.assertEqual(self.applied(), [3, 3, 3])

    def test_start_during_an_outage_of_the_log(self) -> None:
        """Guard against an instance that cannot start without the log."""
        self.site.log_down = True
        self.site.start(self.site.nodes[NAMES[0]])
        self.settle()
        self.assertEqual(self.applied(), [0, 1, 1])
        self.settle(3)
        self.assertEqual(self.applied(), [1, 1, 1])
        self.site.log_down = False
        self.publish(2)
        self.settle(2)
        self.assertEqual(self.applied(), [2, 2, 2])

    def test_missed_promotion_is_fetched_from_a_peer(self) -> None:
        """Guard against an instance without log that stays behind."""
        self.publish(2)
        for name in NAMES[1:]:
            self.site.settle(self.site.nodes[name])
        self.site.log_down = True
        self.settle(3)
        self.assertEqual(self.applied(), [2, 2, 2])

    def test_document_of_another_environment_is_not_applied(self) -> None:
        """Guard against a trial document in force in production."""
        text = configuration_site.document_text(9)
        trial = text.replace('"production"', '"trial"')
        promotion = records.Promotion('p-x', 'ann', 1, 0, trial)
        call = runs.AppendRecords(configuration_site.STREAM, (promotion,))
        self.site.log.append(call)
        self.settle()
        self.assertEqual(self.applied(), [1, 1, 1])


class Copies(unittest.TestCase):
    """A copy is compressed, and a wrong frame is rejected."""

    def test_copy_is_compressed(self) -> None:
        """Guard against documents that fill the links between regions."""
        text = configuration_site.document_text(1) * 50
        copy = messages.DocumentCopy('production', 1, 0, 4, text, 'ann')
        frame = codec_peer.encode_message('a:1', copy)
        self.assertEqual(codec_peer.decode_message(frame), ('a:1', copy))
        self.assertLess(len(frame), len(text) / 10)

    def test_damaged_copy_is_rejected(self) -> None:
        """Guard against an exception on the loop for a damaged frame."""
        copy = messages.DocumentCopy('production', 1, 0, 4, 'x' * 500, 'ann')
        frame = codec_peer.encode_message('a:1', copy)
        damaged = frame[:-20] + bytes(20)
        with self.assertRaises(peer_socket.PeerDecodeError):
            codec_peer.decode_message(damaged)
