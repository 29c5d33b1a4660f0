"""Test what follows when the store is restored from an older copy."""

import dataclasses
import typing
import unittest

import immutables

from mustardvale.internal import effects, events
from mustardvale.internal.edge import wire
from mustardvale.internal.relay import (
    calls,
    configuration_feed,
    members,
    runners,
    store_copies,
)
from mustardvale.internal.relay import events as relay_events
from mustardvale.platform import call_codec
from tests import relay_states, test_relay_peer_feed

ZONE = relay_states.IDENTITY.availability_zone
NEWER = dataclasses.replace(
    relay_states.CONFIGURATION, version=8, tenants_by_key=immutables.Map()
)
ENTRY = dataclasses.replace(relay_states.build_plain_runner('p1'), sequence=9)


class StoreCase(unittest.TestCase):
    """Provide an instance that has read a store of era 1."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()
        self.instance.state = dataclasses.replace(
            self.instance.state, store_copy=store_copies.CopyState(era=1)
        )

    def answer(self, call: typing.Any, answer: typing.Any, era: int) -> None:
        """Deliver an answer of the store in an era."""
        self.instance.emit_event(
            relay_events.StoreAnswered,
            call=call,
            address='',
            answer=answer,
            era=era,
        )

    def restore(self, era: int = 2) -> None:
        """Show the instance an era by an answer without content."""
        self.answer(calls.ListMembers(ZONE, -1.0), calls.CallRefused(500), era)

    def read_version(
        self, version: typing.Any, era: int, position: int = 1
    ) -> None:
        """Deliver the newest version as of a read that is sent now."""
        self.answer(
            calls.ReadConfiguration(requested_at=self.instance.now),
            calls.ConfigurationRead(position, version),
            era,
        )

    def read_entries(self, *entries: typing.Any, era: int = 2) -> None:
        """Deliver all entries of the list."""
        changes = tuple(
            calls.RunnerChange(entry.runner_id, entry) for entry in entries
        )
        self.answer(calls.ReadRunners(), calls.RunnersRead(3, changes), era)

    def find_runner(self, runner_id: str = 'p1') -> runners.Runner:
        """Return what the instance knows of a runner."""
        return self.instance.state.runners[runner_id]


class Positions(StoreCase):
    """Positions of an earlier era are discarded."""

    def test_answer_to_a_position_that_exists_again(self) -> None:
        """Guard against records that are skipped because offsets went back."""
        for call, answer, read in (
            (
                calls.FollowConfiguration(1, 1.0, era=1),
                calls.ConfigurationRead(2, NEWER),
                calls.ReadConfiguration,
            ),
            (
                calls.FollowRunners(1, era=1),
                calls.RunnersRead(2, (calls.RunnerChange('p1', None),)),
                calls.ReadRunners,
            ),
        ):
            with self.subTest(call=call):
                self.setUp()
                self.answer(call, answer, 2)
                state = self.instance.state
                self.assertEqual(7, state.configuration.active.version)
                self.assertTrue(self.find_runner().is_usable)
                self.assertEqual(1, len(self.instance.list_calls(read)))

    def test_pages_of_two_eras(self) -> None:
        """Guard against a list that is put together from two eras."""
        pages = calls.RunnerPages(9, immutables.Map({'p9': ENTRY}))
        self.answer(
            calls.ReadRunners('p1', pages, era=1), calls.RunnersRead(9, ()), 2
        )
        self.assertNotIn('p9', self.instance.state.runners)
        self.instance.pass_time(1.0)
        self.assertEqual(1, len(self.instance.list_calls(calls.ReadRunners)))

    def test_store_without_eras(self) -> None:
        """Guard against changed behaviour with a store that names no era."""
        raw = wire.RawAnswer(200, immutables.Map({'store-era': '3'}), b'')
        call = calls.ReadRunners()
        self.assertEqual(3, call_codec.decode_era(call, raw))
        self.assertIsNone(call_codec.decode_era(calls.ProbeRunner('m1'), raw))
        self.assertIsNone(
            call_codec.decode_era(
                call, dataclasses.replace(raw, headers=immutables.Map())
            )
        )


class Confirmation(StoreCase):
    """A restored store confirms only versions that it shows again, and late."""

    def may_serve(self) -> bool:
        """Return whether keys may be used."""
        return configuration_feed.may_serve_keys(
            self.instance.state, self.instance.now
        )

    def test_read_that_is_sent_early(self) -> None:
        """Guard against a copy that confirms before the operator has written."""
        self.restore()
        self.instance.now += 2.4
        self.read_version(relay_states.CONFIGURATION, era=2)
        self.instance.now += 2.4
        self.assertFalse(self.may_serve())
        self.read_version(relay_states.CONFIGURATION, era=2)
        self.assertTrue(self.may_serve())

    def test_older_version_confirms_nothing(self) -> None:
        """Guard against keys that are used while the newest version is lost."""
        self.read_version(NEWER, era=1)
        self.restore()
        self.instance.now += 5.0
        for version in (relay_states.CONFIGURATION, None):
            self.read_version(version, era=2)
            self.assertFalse(self.may_serve())
        self.read_version(NEWER, era=2)
        self.assertTrue(self.may_serve())

    def test_poll_ends_when_reads_confirm_again(self) -> None:
        """Guard against keys that are refused because a poll lasts too long."""
        self.restore()
        self.instance.now += 2.0
        self.read_version(relay_states.CONFIGURATION, era=2)
        poll = self.instance.list_calls(calls.FollowConfiguration)[-1].call
        self.assertAlmostEqual(0.5, poll.wait_seconds)

    def test_process_that_starts(self) -> None:
        """Guard against a start that refuses keys for 2.5 seconds."""
        self.instance = relay_states.Instance()
        self.instance.state = dataclasses.replace(
            self.instance.state,
            configuration=type(self.instance.state.configuration)(),
            runner_list=type(self.instance.state.runner_list)(),
        )
        self.read_version(NEWER, era=5)
        self.assertTrue(self.may_serve())


class RemovedKeys(StoreCase):
    """Keys that were removed stay removed."""

    def test_active_version_never_reverts(self) -> None:
        """Guard against a copy that brings a removed key back."""
        self.read_version(NEWER, era=1)
        self.read_version(relay_states.CONFIGURATION, era=2)
        self.assertEqual(8, self.instance.state.configuration.active.version)
        self.instance.receive_request('r1', '/read/x')
        self.assertEqual([], self.instance.sends)


class Entries(StoreCase):
    """Entries that reappear change nothing; missing ones are kept for a while."""

    def test_missing_entry(self) -> None:
        """Guard against dropping runners that have not written again."""
        self.restore()
        self.read_entries()
        self.assertTrue(self.find_runner().is_usable)
        self.instance.now += 2.6
        self.read_entries()
        self.assertFalse(self.find_runner().is_usable)

    def test_older_entry_of_a_draining_process(self) -> None:
        """Guard against requests to a runner that was ready in the copy."""
        draining = dataclasses.replace(
            ENTRY, state=runners.ListedState.DRAINING, sequence=12
        )
        self.read_entries(draining, era=1)
        self.read_entries(ENTRY)
        self.assertFalse(self.find_runner().is_usable)

    def test_entry_of_a_process_that_has_left(self) -> None:
        """Guard against requests to a runner that the copy still has."""
        self.read_entries(ENTRY, era=1)
        self.read_entries(era=1)
        self.read_entries(ENTRY)
        self.assertFalse(self.find_runner().is_usable)
        self.read_entries(dataclasses.replace(ENTRY, sequence=10))
        self.assertTrue(self.find_runner().is_usable)


class Memberships(StoreCase):
    """Members are listed again, and the known ones are kept until then."""

    def test_members_are_listed_after_they_have_joined(self) -> None:
        """Guard against a list of the few instances that have joined first."""
        test_relay_peer_feed.set_members(
            self.instance,
            test_relay_peer_feed.OWN,
            test_relay_peer_feed.SECOND,
        )
        self.restore()
        join = calls.JoinMembers(ZONE, '', 2.1, 0, self.instance.now)
        self.answer(join, calls.MembersJoined(1, is_leader=False), 2)
        self.answer(
            calls.ListMembers(ZONE, self.instance.now),
            calls.MembersListed(()),
            2,
        )
        self.assertEqual(2, len(self.instance.state.members.zone.listed))
        self.assertEqual([], self.instance.list_calls(calls.ListMembers))
        self.instance.now += members.HANDOVER_SECONDS
        self.answer(join, calls.MembersJoined(1, is_leader=False), 2)
        self.assertEqual(1, len(self.instance.list_calls(calls.ListMembers)))

    def test_generation_of_the_copy(self) -> None:
        """Guard against a join with a generation that the copy does not have."""
        join = calls.JoinMembers(ZONE, '', 2.1, 0, self.instance.now)
        self.answer(join, calls.MembersJoined(9, is_leader=False), 1)
        self.restore()
        self.instance.emit_event(
            events.TimerFired,
            timer=relay_states.timers.MembershipRenewalDue(),
        )
        joins = self.instance.list_calls(calls.JoinMembers)
        self.assertEqual(0, joins[-1].call.generation)


class RightToOrder(StoreCase):
    """Of two instances, at most one holds the right, across eras too."""

    def setUp(self) -> None:
        super().setUp()
        self.join_readers()

    def join_readers(self) -> None:
        """Let the instance be one of the readers."""
        self.instance.state = dataclasses.replace(
            self.instance.state,
            members=members.MemberState(
                zone=members.GroupState(listed_generation=1),
                readers=members.GroupState(is_joined=True),
            ),
        )

    def join(self, era: int, asked_at: float | None = None) -> None:
        """Deliver a grant to a join, by default to one that is sent now."""
        requested_at = self.instance.now if asked_at is None else asked_at
        self.answer(
            calls.JoinMembers(
                members.READER_GROUP, '', 2.1, 0, requested_at=requested_at
            ),
            calls.MembersJoined(1, is_leader=True),
            era,
        )

    def leads(self) -> bool:
        """Return whether the instance may order runners."""
        return members.is_leader(self.instance.state, self.instance.now)

    def test_holder_loses_the_right_at_once(self) -> None:
        """Guard against two holders where the copy names another one."""
        self.join(era=1)
        self.assertTrue(self.leads())
        self.restore()
        self.assertFalse(self.leads())

    def test_right_of_another_instance_may_still_hold(self) -> None:
        """Guard against a second holder while the first has not seen the rise.

        This instance gets the right in the new era; the other one has renewed
        its right just before the restore, and is partitioned since.
        """
        holder = self.instance
        self.join(era=1)
        super().setUp()
        self.join_readers()
        for _ in range(30):
            self.join(era=2)
            is_held = members.is_leader(holder.state, self.instance.now)
            self.assertFalse(is_held and self.leads())
            self.instance.now += 0.1
        self.assertTrue(self.leads())

    def test_second_restore_begins_a_new_wait(self) -> None:
        """Guard against a wait that counts from the first of two restores."""
        self.restore(2)
        self.instance.now += 2.0
        self.restore(3)
        self.instance.now += 0.2
        self.join(era=3)
        self.assertFalse(self.leads())

    def test_start_of_the_whole_site(self) -> None:
        """Guard against a first placement that waits for no other holder."""
        for starts_with_site in (False, True):
            self.instance.state = dataclasses.replace(
                relay_states.Instance().state,
                configuration=type(self.instance.state.configuration)(),
                runner_list=type(self.instance.state.runner_list)(),
                store_copy=store_copies.CopyState(
                    starts_with_site=starts_with_site
                ),
            )
            self.join_readers()
            self.join(era=4)
            self.assertEqual(starts_with_site, self.leads())


class CrossingAnswers(StoreCase):
    """Answers of an earlier era are dropped, whatever they contain."""

    def test_late_answers_of_the_earlier_era(self) -> None:
        """Guard against an answer that overtook the rise on its connection."""
        self.restore()
        self.read_version(NEWER, era=1)
        self.read_entries(era=1)
        state = self.instance.state
        self.assertEqual(7, state.configuration.active.version)
        self.assertIsNone(state.configuration.position)
        self.assertIsNone(state.runner_list.position)
        self.assertEqual(2, state.store_copy.era)
        self.assertIn(
            effects.Count('outdated_store_answers', ()), self.instance.others
        )

    def test_dropped_answer_ends_no_loop(self) -> None:
        """Guard against reads that stop after an answer was dropped."""
        self.restore()
        self.read_version(NEWER, era=1)
        self.read_entries(era=1)
        self.instance.pass_time(0.5)
        for kind in (calls.ReadConfiguration, calls.ReadRunners):
            self.assertEqual(1, len(self.instance.list_calls(kind)))


class PeerMessages(StoreCase):
    """Followers and readers of different eras exchange no positions."""

    def follow(self, era: int | None) -> calls.PeerUpdate:
        """Return what a reader of era 2 sends to a follower of an era."""
        test_relay_peer_feed.set_members(
            self.instance, test_relay_peer_feed.OWN
        )
        self.instance.ask('f1', calls.FollowPeer(50, 1, era=era))
        self.read_version(relay_states.CONFIGURATION, era=2)
        self.read_entries(*relay_states.TWO_CHAINS)
        update: calls.PeerUpdate = self.instance.replies['f1']
        return update

    def receive(self, era: int | None, **fields: typing.Any) -> None:
        """Deliver an update of a reader to a follower of era 1."""
        field_values: dict[str, typing.Any] = {
            'list_position': 3,
            'complete_from': 2,
            'changes': (),
            'configuration_position': 1,
            'confirmed_seconds': 0.0,
            'era': era,
            'is_complete': True,
            **fields,
        }
        self.instance.state = dataclasses.replace(
            self.instance.state,
            peer_feed=dataclasses.replace(
                self.instance.state.peer_feed, requested_at=self.instance.now
            ),
        )
        self.instance.emit_event(
            events.CallAnswered,
            call=calls.FollowPeer(1, 1, era=1),
            address='',
            answer=calls.PeerUpdate(**field_values),
        )

    def test_follower_behind_its_reader(self) -> None:
        """Guard against changes that count from a position of another era."""
        update = self.follow(1)
        self.assertTrue(update.is_complete)
        self.assertEqual(6, len(update.changes))

    def test_complete_list(self) -> None:
        """Guard against a follower that keeps its old position.

        Entries that the reader lacks are kept until runners have written again.
        """
        self.receive(2)
        state = self.instance.state
        self.assertEqual(2, state.store_copy.era)
        self.assertEqual(3, state.runner_list.position)
        self.assertTrue(self.find_runner().is_usable)
        self.assertTrue(state.runner_list.is_disputed)
        self.instance.now += 2.6
        self.receive(2)
        self.assertFalse(self.find_runner().is_usable)

    def test_follower_ahead_of_its_reader(self) -> None:
        """Guard against a reader whose list is from before the restore."""
        self.restore(3)
        self.receive(2, changes=(calls.RunnerChange('p1', None),))
        self.assertTrue(self.find_runner().is_usable)
        self.assertEqual(3, self.instance.state.store_copy.era)
        self.assertEqual(1, len(self.instance.list_calls(calls.ReadRunners)))

    def test_reader_of_a_release_without_eras(self) -> None:
        """Guard against a rolling update that stops the updates."""
        self.receive(
            None,
            complete_from=0,
            is_complete=False,
            changes=(calls.RunnerChange('p1', None),),
        )
        self.assertFalse(self.find_runner().is_usable)
