"""Test that a heartbeat which the store executes late undoes nothing."""

import dataclasses
import typing
import unittest

import immutables

from mustardvale.internal import events
from mustardvale.internal.edge import wire
from mustardvale.internal.relay import (
    calls,
    heartbeat_log,
    peer_feed,
    runners,
)
from mustardvale.platform import call_codec, runner_codec
from tests import relay_states

PLAIN_RUNNERS = tuple(
    relay_states.build_plain_runner(name) for name in ('p1', 'p2', 'p3')
)


class LateHeartbeats(unittest.TestCase):
    """An entry counts only if it is newer than what is known."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance(
            tuple(
                dataclasses.replace(entry, sequence=10)
                for entry in PLAIN_RUNNERS
            )
        )
        self.position = 1

    def read(self, entry: runners.ListedRunner | None) -> None:
        """Deliver a change of the first upstream."""
        self.position += 1
        self.instance.emit_event(
            events.CallAnswered,
            call=calls.FollowRunners(self.position - 1),
            address='',
            answer=calls.RunnersRead(
                self.position, (calls.RunnerChange('p1', entry),)
            ),
        )

    def beat(self, sequence: int, **fields: typing.Any) -> None:
        """Deliver a heartbeat of the first upstream."""
        self.read(
            dataclasses.replace(PLAIN_RUNNERS[0], sequence=sequence, **fields)
        )

    def is_usable(self) -> bool:
        """Return whether the first upstream gets new requests."""
        return self.instance.state.runners['p1'].is_usable

    def test_removal_holds(self) -> None:
        """Guard against requests to a runner that has left."""
        self.read(None)
        for sequence in (9, 9, 11):
            with self.subTest(sequence=sequence):
                self.setUp()
                self.read(None)
                self.beat(sequence)
                self.assertFalse(self.is_usable())

    def test_late_heartbeats_that_others_have_overtaken(self) -> None:
        """Guard against two late heartbeats that look like a process at work."""
        for late in ((13, 14), (14, 13), (13, 14, 15), (13, 13, 15, 14)):
            with self.subTest(late=late):
                self.setUp()
                for sequence in (11, 12, 15, 16):
                    self.beat(sequence)
                self.read(None)
                for sequence in late:
                    self.beat(sequence)
                    self.assertFalse(self.is_usable())
                self.beat(17)
                self.beat(18)
                self.assertTrue(self.is_usable())

    def test_removal_and_late_heartbeat_in_one_read(self) -> None:
        """Guard against a removal that a late heartbeat hides."""
        self.beat(16)
        record = b''.join(
            len(content).to_bytes(4, 'big') + content
            for content in (
                b'\x02p1',
                b'\x02p1{"service":"plain","address":"10.2.0.1:80",'
                b'"zone":"z","state":"ready","seq":13}',
            )
        )
        read = call_codec.decode_answer(
            calls.FollowRunners(5),
            wire.RawAnswer(200, immutables.Map(), bytes(16) + record),
        )
        self.assertEqual(7, read.position)
        self.instance.emit_event(
            events.CallAnswered,
            call=calls.FollowRunners(5),
            address='',
            answer=read,
        )
        self.assertFalse(self.is_usable())

    def test_former_process_beside_a_new_one(self) -> None:
        """Guard against two late heartbeats of the process before."""
        self.beat(20, started_at_ms=1)
        self.beat(1, started_at_ms=2, slots=9)
        for sequence in (17, 18, 19):
            self.beat(sequence, started_at_ms=1)
            self.assertEqual(9, self.instance.state.runners['p1'].listed.slots)
            self.assertTrue(self.is_usable())

    def test_follower_that_becomes_a_reader(self) -> None:
        """Guard against late heartbeats that only the former reader can tell."""
        self.beat(16)
        self.read(None)
        told = peer_feed.list_changes(0, self.instance.state)
        self.setUp()
        feed = dataclasses.replace(
            self.instance.state.peer_feed, requested_at=self.instance.now
        )
        self.instance.state = dataclasses.replace(
            self.instance.state, peer_feed=feed
        )
        self.instance.emit_event(
            events.CallAnswered,
            call=calls.FollowPeer(1, 1),
            address='',
            answer=calls.PeerUpdate(1, 1, told, 1, 0.0),
        )
        for sequence in (13, 14):
            self.beat(sequence)
            self.assertFalse(self.is_usable())

    def test_log_is_bounded(self) -> None:
        """Guard against memory for each process that ever was."""
        log: heartbeat_log.HeartbeatLog = immutables.Map()
        for number in range(1, 100):
            log = heartbeat_log.record(log, 'p1', runners.Heartbeat(number, 1))
        self.assertEqual(heartbeat_log.MAXIMUM_PROCESSES, len(log['p1']))
        self.assertFalse(heartbeat_log.forget_removed(log, immutables.Map()))

    def test_draining_holds(self) -> None:
        """Guard against an older heartbeat that calls a runner ready."""
        self.beat(13, state=runners.ListedState.DRAINING)
        for sequence in (11, 12):
            self.beat(sequence)
            self.assertFalse(self.is_usable())

    def test_newer_process_holds(self) -> None:
        """Guard against a heartbeat of the process before."""
        self.beat(1, started_at_ms=2, slots=9)
        self.beat(30, started_at_ms=1)
        self.assertEqual(9, self.instance.state.runners['p1'].listed.slots)

    def test_runner_that_goes_on_is_used_again(self) -> None:
        """Guard against a runner that is left out for good."""
        self.read(None)
        self.beat(20)
        self.assertFalse(self.is_usable())
        self.beat(21)
        self.assertTrue(self.is_usable())

    def test_restarted_runner_is_used_at_once(self) -> None:
        """Guard against a new process that waits for a second heartbeat."""
        self.read(None)
        self.beat(1, started_at_ms=2)
        self.assertTrue(self.is_usable())

    def test_entry_without_a_sequence_is_used(self) -> None:
        """Guard against runners that count no heartbeats."""
        self.read(None)
        self.beat(0)
        self.assertTrue(self.is_usable())

    def test_heartbeat_without_a_change_is_no_change(self) -> None:
        """Guard against the cost of a change with each heartbeat."""
        before = self.instance.state.runners['p1']
        self.beat(11)
        self.assertIs(before, self.instance.state.runners['p1'])

    def test_follower_takes_what_its_reader_has_decided(self) -> None:
        """Guard against a follower that waits for a second heartbeat."""
        self.read(None)
        entry = dataclasses.replace(PLAIN_RUNNERS[0], sequence=21)
        feed = dataclasses.replace(
            self.instance.state.peer_feed, requested_at=self.instance.now
        )
        self.instance.state = dataclasses.replace(
            self.instance.state, peer_feed=feed
        )
        self.instance.emit_event(
            events.CallAnswered,
            call=calls.FollowPeer(1, 1),
            address='',
            answer=calls.PeerUpdate(
                9, 1, (calls.RunnerChange('p1', entry),), 1, 0.0
            ),
        )
        self.assertTrue(self.is_usable())

    def test_sequence_is_decoded(self) -> None:
        """Guard against an entry whose order is not known."""
        decoded = runner_codec.decode_entry(
            'p1',
            b'{"service":"plain","address":"10.2.0.1:80","zone":"z",'
            b'"state":"ready","seq":7}',
        )
        assert decoded is not None
        self.assertEqual(7, decoded.sequence)
        checked = runner_codec.check_listed('p1', decoded)
        assert checked is not None
        self.assertEqual(7, checked.sequence)
