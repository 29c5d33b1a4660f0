"""Guard what instances of a zone read for each other."""

import dataclasses
import typing
import unittest

from mustardvale.internal import events
from mustardvale.internal.edge import peer_feed_codec, wire
from mustardvale.internal.relay import (
    calls,
    configuration_feed,
    members,
    peer_feed,
    runner_list,
    runners,
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


def know_members(
    instance: relay_states.Instance, *listed: members.Member
) -> None:
    """Let an instance know the members of its site."""
    instance.state = dataclasses.replace(
        instance.state,
        members=members.MemberState(listed_generation=1, listed=listed),
    )


class Followers(unittest.TestCase):
    """An instance takes what another one of its zone has read."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()
        know_members(self.instance, READER, SECOND, OWN)
        self.instance.pass_time(0.8)
        self.asked = self.instance.list_calls(calls.FollowPeer)
        # The poll that was under way ends, and none follows.
        self.instance.occur(
            events.CallAnswered,
            call=calls.FollowConfiguration(1, 2.0),
            address='',
            answer=calls.ConfigurationRead(1, None),
        )

    def tell(self, **fields: typing.Any) -> None:
        """Let the reader answer."""
        given = {
            'list_position': 9,
            'complete_from': 0,
            'changes': (),
            'configuration_position': 1,
            'confirmed_seconds': 0.5,
            **fields,
        }
        self.instance.occur(
            events.CallAnswered,
            call=self.asked[-1].call,
            address='',
            answer=calls.PeerUpdate(**given),
        )

    def lose(self) -> None:
        """Let the reader not answer in time."""
        self.instance.occur(
            events.CallFailed,
            call=self.asked[-1].call,
            address='',
            failure=events.Failure(events.FailureKind.TIMED_OUT, True),
        )

    def answer_list(self) -> None:
        """Let the store answer a read of the list."""
        self.instance.occur(
            events.CallAnswered,
            call=calls.FollowRunners(1),
            address='',
            answer=calls.RunnersRead(5, ()),
        )

    def count(self, kind: type[typing.Any]) -> int:
        """Return the number of calls of a kind so far."""
        return len(self.instance.list_calls(kind))

    def test_reader_is_asked_in_place_of_the_store(self) -> None:
        """Guard against calls to the store that grow with the instances."""
        self.assertEqual(1, len(self.asked))
        self.assertFalse(self.instance.state.configuration.is_reading)
        self.assertIn(self.asked[0].address, {READER.peers, SECOND.peers})
        self.assertEqual(0, self.count(calls.FollowRunners))

    def test_news_of_a_leaving_runner(self) -> None:
        """Guard against work for a runner that the reader knows to leave."""
        draining = dataclasses.replace(
            relay_states.build_plain_runner('p1'),
            state=runners.ListedState.DRAINING,
        )
        self.tell(changes=(calls.RunnerChange('p1', draining),))
        for number in range(8):
            self.instance.receive_request(f'r{number}', '/read/x')
        used = {sent.send.runner_id for sent in self.instance.sends}
        self.assertEqual({'p2'}, used)

    def test_news_of_a_dropped_runner(self) -> None:
        """Guard against work for a runner whose entry is gone."""
        self.tell(changes=(calls.RunnerChange('p1', None),))
        self.assertFalse(self.instance.state.runners['p1'].is_usable)

    def test_it_goes_on_waiting(self) -> None:
        """Guard against a follower that hears of one change only."""
        self.tell()
        self.assertEqual(2, self.count(calls.FollowPeer))
        following = self.instance.list_calls(calls.FollowPeer)[-1].call
        self.assertEqual(9, following.list_position)

    def test_confirmation_counts_from_the_question(self) -> None:
        """Guard against a revoked key that is served too long."""
        asked_at = self.instance.state.peer_feed.requested_at
        self.instance.now += 0.6
        self.tell(confirmed_seconds=0.5)
        age = configuration_feed.compute_age_seconds(
            self.instance.state, self.instance.now
        )
        assert age is not None
        self.assertAlmostEqual(self.instance.now - asked_at + 0.5, age)

    def test_older_confirmation_changes_nothing(self) -> None:
        """Guard against an age that goes back and refuses keys."""
        before = self.instance.state.configuration.confirmed_at
        self.tell(confirmed_seconds=60.0)
        self.assertEqual(before, self.instance.state.configuration.confirmed_at)

    def test_confirmation_of_another_version_does_not_count(self) -> None:
        """Guard against keys that only the older version allows."""
        before = self.instance.state.configuration.confirmed_at
        self.instance.now += 1
        self.tell(configuration_position=2, confirmed_seconds=0.0)
        self.assertEqual(before, self.instance.state.configuration.confirmed_at)
        read = self.instance.list_calls(calls.FollowConfiguration)[-1]
        self.assertEqual(0, read.call.wait_seconds)

    def test_reader_that_is_behind_confirms_nothing(self) -> None:
        """Guard against a reader that lags behind this instance."""
        before = self.instance.state.configuration.confirmed_at
        self.instance.now += 1
        self.tell(configuration_position=0, confirmed_seconds=0.0)
        self.assertEqual(before, self.instance.state.configuration.confirmed_at)

    def test_store_is_read_when_a_reader_is_lost(self) -> None:
        """Guard against a list that is too old for leaving runners.

        Those get nothing two seconds after the store has the change.
        """
        self.lose()
        self.assertEqual(1, self.count(calls.FollowRunners))
        self.assertTrue(self.instance.state.configuration.is_reading)
        self.assertLess(
            peer_feed.ANSWER_TIMEOUT_SECONDS + runner_list.READ_PERIOD_SECONDS,
            2.0,
        )

    def test_second_reader_is_next(self) -> None:
        """Guard against waiting again for a reader that is gone."""
        self.lose()
        self.answer_list()
        self.instance.pass_time(0.8)
        addresses = {
            call.address for call in self.instance.list_calls(calls.FollowPeer)
        }
        self.assertEqual({READER.peers, SECOND.peers}, addresses)

    def test_store_is_read_without_any_reader(self) -> None:
        """Guard against a list and keys that nobody confirms."""
        for _ in range(2):
            self.lose()
            self.answer_list()
            self.instance.pass_time(0.8)
            self.asked = self.instance.list_calls(calls.FollowPeer)
        self.assertEqual(2, self.count(calls.FollowPeer))
        self.assertEqual(3, self.count(calls.FollowRunners))

    def test_reader_that_has_just_started(self) -> None:
        """Guard against a drop that lies before the reader's first read."""
        self.tell(complete_from=8)
        self.assertEqual(1, self.count(calls.FollowRunners))
        self.assertEqual(1, self.count(calls.FollowPeer))

    def test_news_after_a_suspension(self) -> None:
        """Guard against drops that the reader has forgotten by now."""
        self.instance.now += 70
        self.tell()
        self.assertEqual(1, self.count(calls.FollowRunners))

    def test_entry_that_was_held_back_and_is_there_again(self) -> None:
        """Guard against dropping a runner that its reader still lists."""
        held_back = dataclasses.replace(
            self.instance.state.runner_list,
            unconfirmed_drops=frozenset(('p1',)),
        )
        self.instance.state = dataclasses.replace(
            self.instance.state, runner_list=held_back
        )
        self.tell()
        self.lose()
        self.answer_list()
        self.assertTrue(self.instance.state.runners['p1'].is_usable)

    def test_lost_reader_is_logged(self) -> None:
        """Guard against a change of source that no log explains."""
        self.lose()
        names = [line.event for line in self.instance.log_lines]
        self.assertIn('reader_lost', names)
        self.assertIn('reader_changed', names)


class Readers(unittest.TestCase):
    """An instance that reads tells others of its zone."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()
        know_members(self.instance, OWN, SECOND)
        self.instance.ask('f1', calls.FollowPeer(1, 1))

    def read(self, *changes: calls.RunnerChange) -> None:
        """Let the store answer a read of the list."""
        self.instance.occur(
            events.CallAnswered,
            call=calls.FollowRunners(1),
            address='',
            answer=calls.RunnersRead(5, changes),
        )

    def test_follower_waits_for_the_next_read(self) -> None:
        """Guard against answers that tell nothing, again and again."""
        self.assertNotIn('f1', self.instance.replies)
        self.read()
        news = self.instance.replies['f1']
        self.assertEqual(5, news.list_position)

    def test_first_read_is_told(self) -> None:
        """Guard against a follower that cannot see what its reader missed."""
        self.read()
        first = self.instance.replies['f1'].complete_from
        self.instance.ask('f2', calls.FollowPeer(5, 1))
        self.read()
        self.assertEqual(first, self.instance.replies['f2'].complete_from)

    def test_only_what_changed_is_told(self) -> None:
        """Guard against sending the whole list each time."""
        self.instance.state = dataclasses.replace(
            self.instance.state, peer_feed=type(self.instance.state.peer_feed)()
        )
        self.read()
        self.instance.ask('f2', calls.FollowPeer(5, 1))
        self.read(calls.RunnerChange('p1', None))
        changes = self.instance.replies['f2'].changes
        self.assertEqual((calls.RunnerChange('p1', None),), changes)

    def test_new_configuration_is_told_at_once(self) -> None:
        """Guard against a version that followers apply late."""
        newer = dataclasses.replace(relay_states.CONFIGURATION, version=8)
        self.instance.configure(newer)
        self.assertIn('f1', self.instance.replies)

    def test_confirmations_are_fresh_enough_to_pass_on(self) -> None:
        """Guard against followers that refuse keys in calm times.

        A confirmation counts from when the poll was sent, and is up to two
        polls old here; it then is on its way for two reads of the list, and
        for as long as a lost reader takes to be noticed.
        """
        know_members(self.instance, OWN, READER, SECOND)
        poll = configuration_feed.compute_poll_seconds(self.instance.state)
        limit = self.instance.state.limits.key_revocation_seconds
        assert limit is not None
        on_the_way = (
            2 * runner_list.READ_PERIOD_SECONDS
            + peer_feed.ANSWER_TIMEOUT_SECONDS
        )
        margin = configuration_feed.REVOCATION_MARGIN_SECONDS
        self.assertLess(2 * poll + on_the_way, limit - margin)

    def fail(self, call: typing.Any) -> None:
        """Let the store not answer a call."""
        self.instance.occur(
            events.CallFailed,
            call=call,
            address='',
            failure=events.Failure(events.FailureKind.CLOSED, True),
        )

    def test_reader_without_the_list_refuses(self) -> None:
        """Guard against followers that wait though the store serves them."""
        self.fail(calls.FollowRunners(1))
        self.assertEqual(503, self.instance.replies['f1'].status)

    def test_reader_without_the_configuration_refuses(self) -> None:
        """Guard against followers that hear of no new version."""
        self.fail(calls.FollowConfiguration(1, 2.0))
        self.read()
        self.assertEqual(503, self.instance.replies['f1'].status)

    def test_caller_that_left_is_forgotten(self) -> None:
        """Guard against a table that grows with lost followers."""
        self.instance.occur(events.CallerLeft, request_id='f1')
        self.assertFalse(self.instance.state.peer_feed.followers)

    def test_first_two_of_a_zone_read_for_themselves(self) -> None:
        """Guard against a zone in which nobody reads."""
        self.instance.pass_time(0.8)
        self.assertFalse(self.instance.list_calls(calls.FollowPeer))
        self.assertTrue(self.instance.list_calls(calls.FollowRunners))

    def test_follower_of_another_refuses(self) -> None:
        """Guard against news that pass through more and more hands."""
        follower = relay_states.Instance()
        know_members(follower, READER, SECOND, OWN)
        follower.pass_time(0.8)
        refused = follower.ask('f1', calls.FollowPeer(1, 1))
        self.assertEqual(503, refused.status)


class Encoding(unittest.TestCase):
    """News arrive as they were sent."""

    def test_news(self) -> None:
        """Guard against entries that lose fields on the way."""
        news = calls.PeerUpdate(
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
        _, body = peer_feed_codec.encode_reply(news)
        raw = wire.RawAnswer(200, {}, body)
        call = calls.FollowPeer(1, 2)
        self.assertEqual(news, call_codec.decode_answer(call, raw))

    def test_news_that_do_not_decode(self) -> None:
        """Guard against an error of the decoder that nobody handles."""
        raw = wire.RawAnswer(200, {}, b'{"list_position": "x"}')
        with self.assertRaises(wire.DecodeError):
            call_codec.decode_answer(calls.FollowPeer(1, 2), raw)
