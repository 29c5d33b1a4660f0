"""Test how the instances of a zone share their reads of the store."""

import dataclasses
import types
import typing
import unittest

import hypothesis
from hypothesis import strategies

from mustardvale.internal import events
from mustardvale.internal.edge import peer_feed_codec, wire
from mustardvale.internal.relay import (
    calls,
    configuration_feed,
    members,
    peer_feed,
    runner_list,
    runners,
    timers,
)
from mustardvale.platform import call_codec
from tests import relay_states

READER = members.Member(
    'entry-0', '10.0.0.9:80', 'zone-a', 'region', '10.0.0.9:84'
)
SECOND = dataclasses.replace(
    READER, instance_id='entry-00', peers='10.0.0.8:84'
)
OWN = members.Member(
    'entry-1', '10.0.0.1:80', 'zone-a', 'region', '10.0.0.1:84'
)

THIRD = dataclasses.replace(
    READER, instance_id='entry-3', front='10.0.0.3:80', peers='10.0.0.3:84'
)


def set_members(
    instance: relay_states.Instance, *listed: members.Member
) -> None:
    """Set the members that an instance knows."""
    instance.state = dataclasses.replace(
        instance.state,
        members=members.MemberState(
            zone=members.GroupState(listed_generation=1, listed=listed),
            readers=members.GroupState(listed_generation=1),
        ),
    )


class Followers(unittest.TestCase):
    """A follower applies what a reader of its zone has read."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()
        set_members(self.instance, READER, SECOND, OWN)
        self.instance.pass_time(0.8)
        self.requested = self.instance.list_calls(calls.FollowPeer)
        # The pending poll ends, and no further one is sent.
        self.instance.emit_event(
            events.CallAnswered,
            call=calls.FollowConfiguration(1, 2.0),
            address='',
            answer=calls.ConfigurationRead(1, None),
        )

    def deliver_update(self, **fields: typing.Any) -> None:
        """Deliver the reader's answer."""
        field_values = {
            'list_position': 9,
            'complete_from': 0,
            'changes': (),
            'configuration_position': 1,
            'confirmed_seconds': 0.5,
            **fields,
        }
        self.instance.emit_event(
            events.CallAnswered,
            call=self.requested[-1].call,
            address='',
            answer=calls.PeerUpdate(**field_values),
        )

    def time_out(self) -> None:
        """Report that the reader did not answer in time."""
        self.instance.emit_event(
            events.CallFailed,
            call=self.requested[-1].call,
            address='',
            failure=events.Failure(events.FailureKind.TIMED_OUT, True),
        )

    def answer_list(self) -> None:
        """Deliver the store's answer to a read of the list."""
        self.instance.emit_event(
            events.CallAnswered,
            call=calls.FollowRunners(1),
            address='',
            answer=calls.RunnersRead(5, ()),
        )

    def count_calls(self, kind: type[typing.Any]) -> int:
        """Return the number of calls of a kind so far."""
        return len(self.instance.list_calls(kind))

    def test_reader_replaces_the_store(self) -> None:
        """Guard against a number of store calls that grows with instances."""
        self.assertEqual(1, len(self.requested))
        self.assertFalse(self.instance.state.configuration.is_reading)
        self.assertIn(self.requested[0].address, {READER.peers, SECOND.peers})
        self.assertEqual(0, self.count_calls(calls.FollowRunners))

    def test_update_with_a_draining_runner(self) -> None:
        """Guard against requests to a runner that the reader saw draining."""
        draining = dataclasses.replace(
            relay_states.build_plain_runner('p1'),
            state=runners.ListedState.DRAINING,
        )
        self.deliver_update(changes=(calls.RunnerChange('p1', draining),))
        for number in range(8):
            self.instance.receive_request(f'r{number}', '/read/x')
        used = {sent.request.runner_id for sent in self.instance.sends}
        self.assertEqual({'p2'}, used)

    def test_update_with_a_dropped_runner(self) -> None:
        """Guard against requests to a runner whose entry was dropped."""
        self.deliver_update(changes=(calls.RunnerChange('p1', None),))
        self.assertFalse(self.instance.state.runners['p1'].is_usable)

    def test_next_update_is_requested(self) -> None:
        """Guard against a follower that stops after one update."""
        self.deliver_update()
        self.assertEqual(2, self.count_calls(calls.FollowPeer))
        following = self.instance.list_calls(calls.FollowPeer)[-1].call
        self.assertEqual(9, following.list_position)

    def test_confirmation_counts_from_the_request(self) -> None:
        """Guard against a revoked key that is accepted too long."""
        asked_at = self.instance.state.peer_feed.requested_at
        self.instance.now += 0.6
        self.deliver_update(confirmed_seconds=0.5)
        age = configuration_feed.compute_age_seconds(
            self.instance.state, self.instance.now
        )
        assert age is not None
        self.assertAlmostEqual(self.instance.now - asked_at + 0.5, age)

    def test_older_confirmation_changes_nothing(self) -> None:
        """Guard against refusing keys after an older confirmation."""
        before = self.instance.state.configuration.confirmed_at
        self.deliver_update(confirmed_seconds=60.0)
        self.assertEqual(before, self.instance.state.configuration.confirmed_at)

    def test_confirmation_of_another_version_does_not_count(self) -> None:
        """Guard against accepting keys that only the older version has."""
        before = self.instance.state.configuration.confirmed_at
        self.instance.now += 1
        self.deliver_update(configuration_position=2, confirmed_seconds=0.0)
        self.assertEqual(before, self.instance.state.configuration.confirmed_at)
        read = self.instance.list_calls(calls.FollowConfiguration)[-1]
        self.assertEqual(0, read.call.wait_seconds)

    def test_reader_that_is_behind_confirms_nothing(self) -> None:
        """Guard against confirmations by a reader with an older version."""
        before = self.instance.state.configuration.confirmed_at
        self.instance.now += 1
        self.deliver_update(configuration_position=0, confirmed_seconds=0.0)
        self.assertEqual(before, self.instance.state.configuration.confirmed_at)

    def test_store_is_read_when_a_reader_is_lost(self) -> None:
        """Guard against requests to runners that are leaving.

        They must not get requests later than two seconds after the store has
        the change.
        """
        self.time_out()
        self.assertEqual(1, self.count_calls(calls.FollowRunners))
        self.assertTrue(self.instance.state.configuration.is_reading)
        self.assertLess(
            peer_feed.ANSWER_TIMEOUT_SECONDS + runner_list.READ_PERIOD_SECONDS,
            2.0,
        )

    def test_second_reader_is_followed_next(self) -> None:
        """Guard against waiting repeatedly for a lost reader."""
        self.time_out()
        self.answer_list()
        self.instance.pass_time(0.8)
        addresses = {
            call.address for call in self.instance.list_calls(calls.FollowPeer)
        }
        self.assertEqual({READER.peers, SECOND.peers}, addresses)

    def test_store_is_read_without_any_reader(self) -> None:
        """Guard against a list and a configuration without updates."""
        for _ in range(2):
            self.time_out()
            self.answer_list()
            self.instance.pass_time(0.8)
            self.requested = self.instance.list_calls(calls.FollowPeer)
        self.assertEqual(2, self.count_calls(calls.FollowPeer))
        self.assertEqual(3, self.count_calls(calls.FollowRunners))

    def test_reader_that_has_just_started(self) -> None:
        """Guard against missing a drop from before the reader's first read."""
        self.deliver_update(complete_from=8)
        self.assertEqual(1, self.count_calls(calls.FollowRunners))
        self.assertEqual(1, self.count_calls(calls.FollowPeer))

    def test_update_after_a_suspension(self) -> None:
        """Guard against missing drops that the reader no longer keeps."""
        self.instance.now += 70
        self.deliver_update()
        self.assertEqual(1, self.count_calls(calls.FollowRunners))

    def test_unconfirmed_drop_of_an_entry_that_is_back(self) -> None:
        """Guard against dropping a runner that its reader still lists."""
        unconfirmed = dataclasses.replace(
            self.instance.state.runner_list,
            unconfirmed_drops=frozenset(('p1',)),
        )
        self.instance.state = dataclasses.replace(
            self.instance.state, runner_list=unconfirmed
        )
        self.deliver_update()
        self.time_out()
        self.answer_list()
        self.assertTrue(self.instance.state.runners['p1'].is_usable)

    def test_lost_reader_is_logged(self) -> None:
        """Guard against a change of reader that is not logged."""
        self.time_out()
        names = [line.event for line in self.instance.log_lines]
        self.assertIn('reader_lost', names)
        self.assertIn('reader_changed', names)


LIST_READS = (calls.ReadRunners, calls.FollowRunners, calls.FollowPeer)
CONFIGURATION_READS = (calls.ReadConfiguration, calls.FollowConfiguration)
ANSWERS: types.MappingProxyType[type[typing.Any], tuple[typing.Any, ...]] = (
    types.MappingProxyType(
        {
            calls.ReadRunners: (
                calls.RunnersRead(1, ()),
                calls.RunnersRead(1, (), 'next'),
            ),
            calls.FollowRunners: (
                calls.RunnersRead(2, ()),
                calls.HistoryCompacted(),
            ),
            calls.FollowPeer: (
                calls.PeerUpdate(2, 0, (), 1, 0.0),
                calls.PeerUpdate(2, 9, (), 1, 0.0),
                calls.PeerUpdate(2, 0, (), 2, 0.0),
            ),
            calls.ReadConfiguration: (
                calls.ConfigurationRead(1, None),
                calls.ConfigurationRead(1, None, 'next'),
            ),
            calls.FollowConfiguration: (
                calls.ConfigurationRead(1, None),
                calls.HistoryCompacted(),
            ),
        }
    )
)


class SingleReads(unittest.TestCase):
    """A time that is kept for the open read is never that of another one."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()
        set_members(self.instance, READER, SECOND, OWN)
        self.open_calls: list[typing.Any] = []
        self.instance.calls = self.instance.calls[-1:]

    def end_call(self, number: int, outcome: int) -> None:
        """Answer one of the open reads, or fail it."""
        self.open_calls += [
            sent.call
            for sent in self.instance.calls
            if isinstance(sent.call, LIST_READS + CONFIGURATION_READS)
        ]
        self.instance.calls.clear()
        if not self.open_calls:
            return
        call = self.open_calls.pop(number % len(self.open_calls))
        answers = (*ANSWERS[type(call)], calls.CallRefused(503))
        if outcome < len(answers):
            self.instance.emit_event(
                events.CallAnswered,
                call=call,
                address='',
                answer=answers[outcome],
            )
            return
        self.instance.emit_event(
            events.CallFailed,
            call=call,
            address='',
            failure=events.Failure(events.FailureKind.TIMED_OUT, True),
        )

    def count_reads(
        self, kinds: tuple[type[typing.Any], ...], timer: typing.Any
    ) -> int:
        """Return how many reads are open or wait for a timer."""
        sent = [call.call for call in self.instance.calls]
        open_reads = [
            call for call in self.open_calls + sent if isinstance(call, kinds)
        ]
        return len(open_reads) + (timer in self.instance.pending_timers)

    @hypothesis.settings(max_examples=200, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from((0.0, 0.1, 0.8, 6.0)),
                strategies.integers(0, 1),
                strategies.integers(0, 4),
            ),
            max_size=30,
        )
    )
    def test_reads_never_overlap(
        self, steps: list[tuple[float, int, int]]
    ) -> None:
        """Guard against a confirmation that counts from a later request."""
        self.setUp()
        for seconds, number, outcome in steps:
            self.instance.pass_time(seconds)
            self.end_call(number, outcome)
            self.assertEqual(
                1, self.count_reads(LIST_READS, timers.RunnerListReadDue())
            )
            self.assertLessEqual(
                self.count_reads(
                    CONFIGURATION_READS, timers.ConfigurationRetryDue()
                ),
                1,
            )


class Readers(unittest.TestCase):
    """A reader sends its changes to the followers of its zone."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()
        set_members(self.instance, OWN, SECOND)
        self.instance.ask('f1', calls.FollowPeer(1, 1))

    def answer_read(self, *changes: calls.RunnerChange) -> None:
        """Deliver the store's answer to a read of the list."""
        self.instance.emit_event(
            events.CallAnswered,
            call=calls.FollowRunners(1),
            address='',
            answer=calls.RunnersRead(5, changes),
        )

    def test_follower_waits_for_the_next_read(self) -> None:
        """Guard against repeated answers without changes."""
        self.assertNotIn('f1', self.instance.replies)
        self.answer_read()
        update = self.instance.replies['f1']
        self.assertEqual(5, update.list_position)

    def test_update_has_the_position_of_the_first_read(self) -> None:
        """Guard against a follower that cannot tell what its reader missed."""
        self.answer_read()
        first = self.instance.replies['f1'].complete_from
        self.instance.ask('f2', calls.FollowPeer(5, 1))
        self.answer_read()
        self.assertEqual(first, self.instance.replies['f2'].complete_from)

    def test_update_has_only_changes(self) -> None:
        """Guard against sending the whole list each time."""
        self.instance.state = dataclasses.replace(
            self.instance.state, peer_feed=type(self.instance.state.peer_feed)()
        )
        self.answer_read()
        self.instance.ask('f2', calls.FollowPeer(5, 1))
        self.answer_read(calls.RunnerChange('p1', None))
        changes = self.instance.replies['f2'].changes
        self.assertEqual((calls.RunnerChange('p1', None),), changes)

    def test_new_configuration_is_sent_at_once(self) -> None:
        """Guard against followers that apply a new version late."""
        newer = dataclasses.replace(relay_states.CONFIGURATION, version=8)
        self.instance.configure(newer)
        self.assertIn('f1', self.instance.replies)

    def test_confirmations_are_recent_enough_for_followers(self) -> None:
        """Guard against followers that refuse keys without a failure.

        A confirmation counts from when the poll was sent and is up to two polls
        old at the reader. It reaches a follower up to two reads of the list
        later, plus the time in which a lost reader is noticed.
        """
        set_members(self.instance, OWN, READER, SECOND)
        poll_seconds = configuration_feed.compute_poll_seconds(
            self.instance.state
        )
        limit = self.instance.state.limits.key_revocation_seconds
        assert limit is not None
        delay_seconds = (
            2 * runner_list.READ_PERIOD_SECONDS
            + peer_feed.ANSWER_TIMEOUT_SECONDS
        )
        margin = configuration_feed.REVOCATION_MARGIN_SECONDS
        self.assertLess(2 * poll_seconds + delay_seconds, limit - margin)

    def fail_call(self, call: typing.Any) -> None:
        """Report that the store did not answer a call."""
        self.instance.emit_event(
            events.CallFailed,
            call=call,
            address='',
            failure=events.Failure(events.FailureKind.CLOSED, True),
        )

    def test_reader_without_the_list_refuses(self) -> None:
        """Guard against followers that wait although the store answers them."""
        self.fail_call(calls.FollowRunners(1))
        self.assertEqual(503, self.instance.replies['f1'].status)

    def test_reader_without_the_configuration_refuses(self) -> None:
        """Guard against followers that get no new version."""
        self.fail_call(calls.FollowConfiguration(1, 2.0))
        self.answer_read()
        self.assertEqual(503, self.instance.replies['f1'].status)

    def test_disconnected_follower_is_removed(self) -> None:
        """Guard against a table that grows with lost followers."""
        self.instance.emit_event(events.CallerLeft, request_id='f1')
        self.assertFalse(self.instance.state.peer_feed.followers)

    def test_first_two_of_a_zone_read_the_store(self) -> None:
        """Guard against a zone in which nobody reads."""
        self.instance.pass_time(0.8)
        self.assertFalse(self.instance.list_calls(calls.FollowPeer))
        self.assertTrue(self.instance.list_calls(calls.FollowRunners))

    def test_follower_refuses_followers(self) -> None:
        """Guard against updates that are delayed by chains of followers."""
        follower = relay_states.Instance()
        set_members(follower, READER, SECOND, OWN)
        follower.pass_time(0.8)
        refused = follower.ask('f1', calls.FollowPeer(1, 1))
        self.assertEqual(503, refused.status)


class StoreOutage(unittest.TestCase):
    """While the store is away, followers wait for a reader.

    Each of them asking the store would cost calls that grow with the number of
    instances.
    """

    def fail_store(self, instance: relay_states.Instance) -> None:
        """Report that the store does not answer an instance."""
        instance.emit_event(
            events.CallFailed,
            call=calls.FollowRunners(1),
            address='',
            failure=events.Failure(events.FailureKind.TIMED_OUT, True),
        )

    def test_follower_returns_to_a_reader(self) -> None:
        """Guard against followers that repeat reads of a lost store."""
        follower = relay_states.Instance()
        set_members(follower, READER, SECOND, OWN)
        follower.pass_time(0.8)
        follower.emit_event(
            events.CallFailed,
            call=follower.list_calls(calls.FollowPeer)[-1].call,
            address='',
            failure=events.Failure(events.FailureKind.CLOSED, True),
        )
        self.fail_store(follower)
        follower.pass_time(0.5)
        asked = follower.list_calls(calls.FollowPeer)
        self.assertEqual(2, len(asked))
        self.assertTrue(asked[-1].call.is_store_lost)

    def test_reader_keeps_followers_without_the_store(self) -> None:
        """Guard against followers that hear of the store's return late."""
        reader = relay_states.Instance()
        set_members(reader, OWN, READER, SECOND)
        self.fail_store(reader)
        able = reader.ask('f1', calls.FollowPeer(1, 1))
        self.assertEqual(503, able.status)
        reader.ask('f2', calls.FollowPeer(1, 1, is_store_lost=True))
        self.fail_store(reader)
        self.assertNotIn('f2', reader.replies)
        reader.emit_event(
            events.CallAnswered,
            call=calls.FollowRunners(1),
            address='',
            answer=calls.RunnersRead(5, ()),
        )
        self.assertEqual(5, reader.replies['f2'].list_position)


class Members(unittest.TestCase):
    """Followers get the members from their reader."""

    def setUp(self) -> None:
        self.reader = relay_states.Instance()
        set_members(self.reader, OWN, READER, SECOND)
        members_state = self.reader.state.members
        self.reader.state = members.replace_group(
            'zone-a',
            dataclasses.replace(
                members_state.zone, listed=(READER, SECOND, OWN, THIRD)
            ),
            self.reader.state,
        )

    def request_update(self, checksum: int) -> calls.PeerUpdate:
        """Return the update for a follower that knows some members."""
        return peer_feed.build_update(
            calls.FollowPeer(1, 1, checksum), 0.0, self.reader.state
        )

    def test_changed_members_are_sent(self) -> None:
        """Guard against calls to the store for each change of the members."""
        update = self.request_update(0)
        self.assertEqual(4, len(update.zone_members))
        follower = relay_states.Instance()
        set_members(follower, READER, SECOND, OWN)
        follower.pass_time(0.8)
        follower.emit_event(
            events.CallAnswered,
            call=follower.list_calls(calls.FollowPeer)[-1].call,
            address='',
            answer=update,
        )
        listed = follower.state.members.zone.listed
        self.assertEqual(4, len(listed))
        self.assertEqual(
            self.reader.state.members.checksum, follower.state.members.checksum
        )

    def test_known_members_are_not_sent(self) -> None:
        """Guard against sending all members in each update."""
        update = self.request_update(self.reader.state.members.checksum)
        self.assertEqual((), update.zone_members)

    def test_follower_does_not_list_the_members(self) -> None:
        """Guard against a list for each instance at each change."""
        follower = relay_states.Instance()
        set_members(follower, READER, SECOND, OWN)
        follower.pass_time(0.8)
        follower.emit_event(
            events.CallAnswered,
            call=calls.JoinMembers('zone-a', '', 3.0, 0),
            address='',
            answer=calls.MembersJoined(9, is_leader=False),
        )
        self.assertEqual([], follower.list_calls(calls.ListMembers))


class Encoding(unittest.TestCase):
    """Updates are decoded as they were encoded."""

    def test_update(self) -> None:
        """Guard against entries that lose fields in encoding."""
        update = calls.PeerUpdate(
            4,
            3,
            (
                calls.RunnerChange(
                    'm1', relay_states.build_model_runner('m1', 0, 9)
                ),
                calls.RunnerChange('m2', None),
            ),
            2,
            0.25,
        )
        _, body = peer_feed_codec.encode_reply(update)
        raw = wire.RawAnswer(200, {}, body)
        call = calls.FollowPeer(1, 2)
        self.assertEqual(update, call_codec.decode_answer(call, raw))

    def test_invalid_update_raises_decode_error(self) -> None:
        """Guard against an unhandled error of the decoder."""
        raw = wire.RawAnswer(200, {}, b'{"list_position": "x"}')
        with self.assertRaises(wire.DecodeError):
            call_codec.decode_answer(calls.FollowPeer(1, 2), raw)
