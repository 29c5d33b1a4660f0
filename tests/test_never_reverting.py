"""Test that a document in force is never replaced by an earlier one."""

import json
import unittest
from unittest import mock

from hypothesis import stateful

from mustardvale import document, errors
from mustardvale.internal import messages, promotions, records
from mustardvale.internal.commands import command_types
from mustardvale.internal.edge import (
    codec_peer,
    codec_records,
    http_client,
    peer_socket,
)
from tests import configuration_site, promotion_machine, runs


class UnderFaults(unittest.TestCase):
    """The document in force never goes back under outages and pauses."""

    def test_no_instance_goes_back(self) -> None:
        """Guard against an instance that returns to an earlier document."""
        stateful.run_state_machine_as_test(
            promotion_machine.Promotions,
            settings=promotion_machine.PROFILE,
        )

    def test_stale_snapshots_are_found_when_they_are_accepted(self) -> None:
        """Guard against a state machine that misses stale snapshots."""

        def accept_any(
            candidate: promotions.PromotionState,
            promoted: promotions.PromotionState,
        ) -> bool:
            return promoted.gap is not None

        with (
            mock.patch.object(promotions, 'closes_gap', accept_any),
            self.assertRaises(AssertionError),
        ):
            stateful.run_state_machine_as_test(
                promotion_machine.Promotions,
                settings=promotion_machine.MUTATION_PROFILE,
            )

    def test_unnoticed_gaps_are_found(self) -> None:
        """Guard against a state machine that misses undetected gaps."""

        def skip_silently(
            earliest_offset: int,
            promoted: promotions.PromotionState,
        ) -> promotions.PromotionState:
            if earliest_offset <= promoted.next_offset:
                return promoted
            return promotions.advance_past(earliest_offset - 1, promoted)

        with (
            mock.patch.object(
                promotions, 'skip_dropped_records', skip_silently
            ),
            self.assertRaises(AssertionError),
        ):
            stateful.run_state_machine_as_test(
                promotion_machine.Promotions,
                settings=promotion_machine.MUTATION_PROFILE,
            )


class Recovery(unittest.TestCase):
    """An instance recovers the document in force after any downtime."""

    def setUp(self) -> None:
        """Promote a document and let every instance read it."""
        self.site = configuration_site.Site(promotion_machine.NAMES)
        self.publish(1)
        self.settle()

    def publish(self, layers: int) -> None:
        """Publish a document."""
        text = configuration_site.build_document_text(layers)
        proposal = command_types.Proposal(f'p-{layers}', 'ann')
        run = runs.Run(command_types.Publish('f', text, 'production', proposal))
        run.read(self.site.log)
        run.append(self.site.log)
        run.read(self.site.log)
        self.assertEqual(run.exit_code, 0)

    def settle(self, seconds: float = 1) -> None:
        """Advance the time and complete all pending work."""
        for _ in range(6):
            self.site.advance(seconds / 6)
            for instance in self.site.instances.values():
                self.site.settle(instance)

    def list_applied_versions(self) -> list[int]:
        """Return the version that each instance applies."""
        return [
            instance.state.configuration.applied_version
            for instance in self.site.instances.values()
        ]

    def drop_all_but_last(self) -> None:
        """Drop all records but the last, which is a snapshot."""
        stream = configuration_site.STREAM
        end = len(self.site.log.list_appended(stream))
        self.site.log.drop_before(stream, end - 1)

    def test_one_snapshot_per_quarter_of_the_retention(self) -> None:
        """Guard against a log without a snapshot, or with too many."""
        quarter = configuration_site.RETENTION_SECONDS / 4
        for _ in range(40):
            self.settle(quarter / 10)
        snapshots = [
            stored
            for stored in self.site.log.list_appended(configuration_site.STREAM)
            if isinstance(stored.record, records.DocumentSnapshot)
        ]
        self.assertIn(len(snapshots), {4, 5})

    def test_backup_appends_when_the_first_is_paused(self) -> None:
        """Guard against a snapshot that depends on one instance."""
        for name in promotion_machine.NAMES:
            site = configuration_site.Site(promotion_machine.NAMES)
            self.site = site
            self.publish(1)
            self.settle()
            site.instances[name].paused = True
            count = len(site.log.list_appended(configuration_site.STREAM))
            self.settle(configuration_site.RETENTION_SECONDS / 2)
            after = len(site.log.list_appended(configuration_site.STREAM))
            self.assertGreater(after, count, name)

    def test_long_pause_behind_dropped_records(self) -> None:
        """Guard against a paused instance that stays on its old document."""
        instance = self.site.instances[promotion_machine.NAMES[0]]
        instance.paused = True
        self.publish(2)
        self.publish(3)
        self.settle(configuration_site.RETENTION_SECONDS / 2)
        self.drop_all_but_last()
        instance.paused = False
        instance.inbox.clear()
        self.settle()
        self.assertEqual(self.list_applied_versions(), [3, 3, 3])

    def test_stale_snapshot_is_not_accepted(self) -> None:
        """Guard against a paused instance that restores an old document."""
        delayed, restarted = (
            self.site.instances[name] for name in promotion_machine.NAMES[:2]
        )
        self.site.advance(configuration_site.RETENTION_SECONDS)
        self.site.append(delayed, 'late')
        self.publish(2)
        stream = configuration_site.STREAM
        end = len(self.site.log.list_appended(stream))
        self.site.log.drop_before(stream, end)
        self.site.log.append(self.site.delayed_appends.pop())
        self.site.start(restarted)
        self.site.read(restarted)
        self.site.read(restarted)
        self.assertFalse(restarted.state.configuration.promoted.is_contiguous)
        self.assertIsNone(restarted.state.configuration.document)
        self.site.check()

    def test_restart_of_all_instances(self) -> None:
        """Guard against a version that starts again at 1."""
        self.publish(2)
        self.settle(configuration_site.RETENTION_SECONDS / 2)
        self.drop_all_but_last()
        for instance in self.site.instances.values():
            self.site.start(instance)
        self.assertEqual(self.list_applied_versions(), [0, 0, 0])
        self.settle()
        self.assertEqual(self.list_applied_versions(), [2, 2, 2])
        self.publish(3)
        self.settle()
        self.assertEqual(self.list_applied_versions(), [3, 3, 3])

    def test_start_during_an_outage_of_the_log(self) -> None:
        """Guard against an instance that cannot start without the log."""
        self.site.log_down = True
        self.site.start(self.site.instances[promotion_machine.NAMES[0]])
        self.settle()
        self.assertEqual(self.list_applied_versions(), [0, 1, 1])
        self.settle(3)
        self.assertEqual(self.list_applied_versions(), [1, 1, 1])
        self.site.log_down = False
        self.publish(2)
        self.settle(2)
        self.assertEqual(self.list_applied_versions(), [2, 2, 2])

    def test_missed_promotion_is_fetched_from_a_peer(self) -> None:
        """Guard against an instance that stays behind without the log."""
        self.publish(2)
        for name in promotion_machine.NAMES[1:]:
            self.site.settle(self.site.instances[name])
        self.site.log_down = True
        self.settle(3)
        self.assertEqual(self.list_applied_versions(), [2, 2, 2])

    def test_document_of_another_environment_is_not_applied(self) -> None:
        """Guard against a document of another environment in force."""
        text = configuration_site.build_document_text(9)
        trial = text.replace('"production"', '"trial"')
        promotion = records.Promotion('p-x', 'ann', 1, 0, trial)
        call = runs.AppendRecords(configuration_site.STREAM, (promotion,))
        self.site.log.append(call)
        self.settle()
        self.assertEqual(self.list_applied_versions(), [1, 1, 1])


class LargeDocuments(unittest.TestCase):
    """A stream of documents of maximum size can be read."""

    def test_read_fits_into_an_answer(self) -> None:
        """Guard against an instance that cannot start on a full log.

        With 500 records in one read, 45 documents for 690 accounts exceeded
        the response size limit of the HTTP client.
        """
        text = configuration_site.build_document_text(1)
        padding_bytes = document.MAXIMUM_BYTES - len(text) - 1
        text += '#' + 'қ' * (padding_bytes // 2) + ' ' * (padding_bytes % 2)
        promotion = records.Promotion('p', 'ann', 0, -1, text)
        answer = json.dumps(
            [codec_records.encode_record(promotion)]
            * promotions.READ_LIMIT_RECORDS,
        )
        self.assertLess(len(answer), http_client.MAXIMUM_ANSWER_BYTES)
        document.parse(text)
        with self.assertRaises(errors.DocumentError):
            document.parse(f'{text}#')

    def test_reads_of_instance_and_tool_are_limited(self) -> None:
        """Guard against a read that requests more records than the limit."""
        site = configuration_site.Site(('entry-a',))
        run = runs.Run(command_types.Show('production'))
        for call in (site.instances['entry-a'].calls[0], run.calls[0]):
            self.assertEqual(call.call.limit, promotions.READ_LIMIT_RECORDS)


class Copies(unittest.TestCase):
    """A copy is compressed, and an invalid frame is rejected."""

    def test_copy_is_compressed(self) -> None:
        """Guard against copies that use up the bandwidth between regions."""
        text = configuration_site.build_document_text(1) * 50
        copy = messages.DocumentCopy('production', 1, 0, 4, text, 'ann')
        frame = codec_peer.encode_message('a:1', copy)
        self.assertEqual(codec_peer.decode_message(frame), ('a:1', copy))
        self.assertLess(len(frame), len(text) / 10)

    def test_damaged_copy_is_rejected(self) -> None:
        """Guard against an uncaught exception for a damaged frame."""
        copy = messages.DocumentCopy('production', 1, 0, 4, 'x' * 500, 'ann')
        frame = codec_peer.encode_message('a:1', copy)
        damaged = frame[:-20] + bytes(20)
        with self.assertRaises(peer_socket.PeerDecodeError):
            codec_peer.decode_message(damaged)
