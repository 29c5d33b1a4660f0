"""Test what follows when the store is restored from an older copy."""

import base64
import dataclasses
import json
import pathlib
import typing
import unittest

import immutables

from mustardvale import relay_settings
from mustardvale.internal import events, setting_rules
from mustardvale.internal.edge import wire
from mustardvale.internal.relay import (
    calls,
    configuration_feed,
    members,
    peer_feed,
    runners,
    store_copies,
    timers,
)
from mustardvale.internal.relay import events as relay_events
from mustardvale.platform import call_codec
from tests import relay_states, test_relay_peer_feed

ZONE = relay_states.IDENTITY.availability_zone
OLDER = relay_states.CONFIGURATION
NEWER = dataclasses.replace(OLDER, version=8, tenants_by_key=immutables.Map())
ENTRY = dataclasses.replace(relay_states.build_plain_runner('p1'), sequence=9)
DROP = calls.RunnerChange('p1', None)


class StoreCase(unittest.TestCase):
    """Provide a reader, the only member, that has read a store of era 1."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()
        test_relay_peer_feed.set_members(
            self.instance, test_relay_peer_feed.OWN
        )
        self.replace(store_copy=store_copies.CopyState(era=1))

    def replace(self, **fields: typing.Any) -> None:
        """Replace parts of the state."""
        self.instance.state = dataclasses.replace(self.instance.state, **fields)

    def forget_reads(self, **fields: typing.Any) -> None:
        """Let the instance be one that has just started."""
        state = self.instance.state
        self.replace(
            configuration=type(state.configuration)(),
            runner_list=type(state.runner_list)(),
            store_copy=store_copies.CopyState(**fields),
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

    def read_version(self, version: typing.Any, era: int = 2) -> None:
        """Deliver the newest version as of a read that is sent now."""
        call = calls.ReadConfiguration(requested_at=self.instance.now)
        self.answer(call, calls.ConfigurationRead(1, version), era)

    def read_entries(self, *entries: typing.Any, era: int = 2) -> None:
        """Deliver all entries of the list."""
        changes = tuple(
            calls.RunnerChange(entry.runner_id, entry) for entry in entries
        )
        self.answer(calls.ReadRunners(), calls.RunnersRead(3, changes), era)

    def join(self, zone: str, era: int, generation: int = 1) -> None:
        """Deliver a grant to a join that is sent now."""
        call = calls.JoinMembers(zone, '', 2.1, 0, self.instance.now)
        self.answer(call, calls.MembersJoined(generation, is_leader=True), era)

    def may_serve(self) -> bool:
        """Return whether keys may be used."""
        return configuration_feed.may_serve_keys(
            self.instance.state, self.instance.now
        )

    def is_usable(self) -> bool:
        """Return whether the runner `p1` gets requests."""
        return self.instance.state.runners['p1'].is_usable

    def count_calls(self, kind: type[typing.Any]) -> int:
        """Return the number of calls of a kind so far."""
        return len(self.instance.list_calls(kind))


class Positions(StoreCase):
    """Positions of an earlier era are discarded."""

    def test_position_that_exists_again(self) -> None:
        """Guard against records that are skipped because offsets went back."""
        call: typing.Any = calls.FollowConfiguration(1, 1.0, era=1)
        self.answer(call, calls.ConfigurationRead(2, NEWER), 2)
        self.assertEqual(7, self.instance.state.configuration.active.version)
        self.assertEqual(1, self.count_calls(calls.ReadConfiguration))
        call = calls.FollowRunners(1, era=1)
        self.answer(call, calls.RunnersRead(2, (DROP,)), 2)
        self.assertEqual(1, self.count_calls(calls.ReadRunners))
        known = self.instance.state.runners['p1']
        self.assertEqual(0, known.changed_position)

    def test_pages_of_two_eras(self) -> None:
        """Guard against a list that is put together from two eras."""
        pages = calls.RunnerPages(9, immutables.Map({'p9': ENTRY}))
        call = calls.ReadRunners('p1', pages, era=1)
        following = calls.FollowRunners(9, pages, era=1)
        self.answer(call, calls.RunnersRead(9, ()), 2)
        self.answer(following, calls.RunnersRead(9, ()), 2)
        self.assertEqual(0, self.count_calls(calls.FollowRunners))
        self.assertNotIn('p9', self.instance.state.runners)

    def test_header(self) -> None:
        """Guard against eras that are read from runners or without a header."""
        raw = wire.RawAnswer(200, immutables.Map({'store-era': '3'}), b'')
        bare = wire.RawAnswer(200, immutables.Map(), b'')
        for call, answer, era in (
            (calls.ReadRunners(), raw, 3),
            (calls.ReadRunners(), bare, None),
            (calls.ProbeRunner('m1'), raw, None),
        ):
            self.assertEqual(era, call_codec.decode_era(call, answer))


class Confirmation(StoreCase):
    """A restored store confirms only versions that it shows again, and late."""

    def test_read_that_is_sent_early(self) -> None:
        """Guard against a copy that confirms before the operator has written."""
        self.restore()
        self.instance.now += 2.4
        self.read_version(OLDER)
        self.instance.now += 2.4
        self.assertFalse(self.may_serve())
        self.read_version(OLDER)
        self.assertTrue(self.may_serve())

    def test_older_version_confirms_nothing(self) -> None:
        """Guard against keys that are used while the newest version is lost."""
        self.read_version(NEWER, era=1)
        self.restore()
        self.instance.now += 5.0
        for version, may_serve in (
            (OLDER, False),
            (None, False),
            (NEWER, True),
        ):
            self.read_version(version)
            self.assertEqual(may_serve, self.may_serve())

    def test_poll_ends_when_reads_confirm_again(self) -> None:
        """Guard against keys that are refused because a poll lasts too long."""
        self.restore()
        self.instance.now += 2.0
        self.read_version(OLDER)
        poll = self.instance.list_calls(calls.FollowConfiguration)[-1].call
        self.assertAlmostEqual(0.5, poll.wait_seconds)


class Starts(StoreCase):
    """A process that starts knows only what the store and others tell it."""

    def setUp(self) -> None:
        super().setUp()
        self.forget_reads()

    def start(self) -> None:
        """Start the process; what it reads is answered by the tests."""
        self.instance.emit_event(events.InstanceStarted)

    def read_settled(self, settled: int | None, era: int) -> None:
        """Deliver the record of the era that has settled."""
        self.answer(calls.ReadSettledEra(), calls.SettledEraRead(settled), era)

    def test_settled_era(self) -> None:
        """Guard against a start that refuses keys for 2.5 seconds."""
        self.start()
        self.assertEqual(0, self.count_calls(calls.ReadConfiguration))
        self.read_settled(5, era=5)
        self.assertEqual(1, self.count_calls(calls.ReadConfiguration))
        self.read_version(NEWER, era=5)
        self.assertTrue(self.may_serve())

    def test_restored_copy(self) -> None:
        """Guard against keys that the copy has and the operator took away."""
        for settled in (None, 4):
            with self.subTest(settled=settled):
                self.setUp()
                self.start()
                self.read_settled(settled, era=5)
                self.read_version(OLDER, era=5)
                self.assertFalse(self.may_serve())
                self.instance.now += 2.4
                self.read_version(OLDER, era=5)
                self.assertFalse(self.may_serve())
                self.instance.now += 0.2
                self.read_version(NEWER, era=5)
                self.assertTrue(self.may_serve())

    def test_record_that_is_not_answered(self) -> None:
        """Guard against a start that waits for ever, or confirms the copy."""
        self.start()
        self.instance.pass_time(0.3)
        self.assertEqual(1, self.count_calls(calls.ReadConfiguration))
        self.read_version(OLDER, era=5)
        self.assertFalse(self.may_serve())
        self.instance.now += 2.6
        self.read_version(OLDER, era=5)
        self.assertTrue(self.may_serve())

    def test_record_that_is_answered_late(self) -> None:
        """Guard against a read from before the era had settled."""
        self.start()
        self.instance.pass_time(0.3)
        self.read_version(OLDER, era=5)
        self.instance.now += 0.1
        self.read_settled(5, era=5)
        self.assertFalse(self.may_serve())
        self.read_version(NEWER, era=5)
        self.assertTrue(self.may_serve())

    def test_restore_between_the_record_and_the_configuration(self) -> None:
        """Guard against a settled era that is over."""
        self.start()
        self.read_settled(5, era=5)
        self.read_version(OLDER, era=6)
        self.assertFalse(self.may_serve())

    def test_restore_during_the_wait(self) -> None:
        """Guard against a second restore that does not begin a new wait."""
        self.start()
        self.read_settled(4, era=5)
        self.instance.now += 2.0
        self.read_version(OLDER, era=6)
        self.instance.now += 1.0
        self.read_version(OLDER, era=6)
        self.assertFalse(self.may_serve())

    def test_start_of_the_whole_site(self) -> None:
        """Guard against a first start that waits."""
        self.forget_reads(starts_with_site=True)
        self.start()
        self.assertEqual(0, self.count_calls(calls.ReadSettledEra))
        self.read_version(OLDER, era=1)
        self.assertTrue(self.may_serve())

    def test_keys_that_need_no_confirmation(self) -> None:
        """Guard against a wait where keys may be used for any time."""
        self.replace(
            limits=dataclasses.replace(
                self.instance.state.limits, key_revocation_seconds=None
            )
        )
        self.start()
        self.assertEqual(0, self.count_calls(calls.ReadSettledEra))
        self.read_version(OLDER, era=5)
        self.assertTrue(self.may_serve())

    def test_request_that_cannot_wait_so_long(self) -> None:
        """Guard against a wait whose end is known to come too late."""
        self.start()
        self.read_settled(None, era=5)
        self.read_version(OLDER, era=5)
        self.read_entries(*relay_states.TWO_CHAINS, era=5)
        self.instance.receive_request('r1', '/model/x', deadline_seconds=3.0)
        self.assertEqual(503, self.instance.replies['r1'].status)


class SettledEras(StoreCase):
    """One instance records that an era has settled, once it knows that."""

    def setUp(self) -> None:
        super().setUp()
        limits = dataclasses.replace(
            self.instance.state.limits, key_revocation_seconds=5.0
        )
        self.replace(limits=limits)

    def lead(self, until: float = 1e9) -> None:
        """Let the instance hold the right to order runners."""
        known = self.instance.state.members
        self.replace(members=dataclasses.replace(known, leader_until=until))

    def check(self) -> list[calls.RecordSettledEra]:
        """Let the check be due; return what has been recorded so far."""
        self.instance.emit_event(
            events.TimerFired, timer=timers.SettledEraDue()
        )
        return [
            call.call
            for call in self.instance.list_calls(calls.RecordSettledEra)
        ]

    def test_era_is_recorded_once(self) -> None:
        """Guard against a record at each check."""
        self.lead()
        self.read_version(OLDER, era=1)
        (record,) = self.check()
        self.assertEqual(1, record.era)
        self.answer(record, calls.SettledEraRecorded(), 1)
        self.assertEqual([record], self.check())

    def test_only_the_leader_records(self) -> None:
        """Guard against a record of each instance."""
        self.read_version(OLDER, era=1)
        self.assertEqual([], self.check())

    def test_restored_store_has_not_settled(self) -> None:
        """Guard against a record before the operator has written again."""
        self.read_version(NEWER, era=1)
        self.restore()
        self.lead()
        self.instance.now += 2.6
        self.read_version(OLDER)
        self.assertEqual([], self.check())
        self.read_version(NEWER)
        self.assertEqual([calls.RecordSettledEra(2)], self.check())

    def test_record_that_is_refused_is_repeated(self) -> None:
        """Guard against an era that is never recorded."""
        self.lead()
        self.read_version(OLDER, era=1)
        (record,) = self.check()
        self.answer(record, calls.CallRefused(503), 1)
        self.assertEqual(1, self.count_calls(calls.RecordSettledEra))
        self.instance.pass_time(5.0)
        self.assertEqual(2, self.count_calls(calls.RecordSettledEra))

    def test_encoding(self) -> None:
        """Guard against a record that is not read back."""
        raw = call_codec.encode_call(calls.RecordSettledEra(12))
        self.assertEqual('POST', raw.method)
        self.assertIn('topic=keyed.mustardvale&', raw.target)
        (record,) = call_codec.split_records(bytes(16) + raw.body)
        key, value = call_codec.split_key(record)
        item = {'key': key, 'value': base64.b64encode(value).decode()}
        for items, era in (
            ([item], 12),
            ([], None),
            ([{'key': 'other', 'value': ''}, 7, item], 12),
            ([{'key': key, 'value': base64.b64encode(b'x').decode()}], None),
        ):
            answer = wire.RawAnswer(
                200, immutables.Map(), json.dumps({'items': items}).encode()
            )
            read = call_codec.decode_answer(calls.ReadSettledEra(), answer)
            self.assertEqual(calls.SettledEraRead(era), read)


class RemovedKeys(StoreCase):
    """Keys that were removed stay removed."""

    def test_active_version_never_reverts(self) -> None:
        """Guard against a copy that brings a removed key back."""
        self.read_version(NEWER, era=1)
        self.read_version(OLDER)
        self.instance.receive_request('r1', '/read/x')
        self.assertEqual([], self.instance.sends)


class Entries(StoreCase):
    """Entries that reappear change nothing; missing ones are kept a while."""

    def test_missing_entry(self) -> None:
        """Guard against dropping runners that have not written again."""
        self.restore()
        self.read_entries()
        self.assertTrue(self.is_usable())
        self.instance.now += 2.6
        self.read_entries()
        self.assertFalse(self.is_usable())

    def test_entries_of_the_copy(self) -> None:
        """Guard against requests to runners that drain or have left since."""
        draining = dataclasses.replace(
            ENTRY, state=runners.ListedState.DRAINING, sequence=12
        )
        for known in ((draining,), ()):
            self.setUp()
            self.read_entries(ENTRY, era=1)
            self.read_entries(*known, era=1)
            self.read_entries(ENTRY)
            self.assertFalse(self.is_usable())
            self.read_entries(dataclasses.replace(ENTRY, sequence=13))
            self.assertTrue(self.is_usable())


class Memberships(StoreCase):
    """Members are listed again, and the known ones are kept until then."""

    def test_members_are_listed_after_they_have_joined(self) -> None:
        """Guard against a list of the few instances that have joined first."""
        self.restore()
        self.join(ZONE, era=2)
        early = calls.ListMembers(ZONE, self.instance.now)
        self.answer(early, calls.MembersListed(()), 2)
        self.assertEqual(1, len(self.instance.state.members.zone.listed))
        self.assertEqual(0, self.count_calls(calls.ListMembers))
        self.instance.now += members.HANDOVER_SECONDS
        self.join(ZONE, era=2)
        self.assertEqual(1, self.count_calls(calls.ListMembers))

    def test_generation_of_the_copy(self) -> None:
        """Guard against a join with a generation that the copy lacks."""
        self.join(ZONE, era=1, generation=9)
        self.restore()
        self.instance.emit_event(
            events.TimerFired, timer=timers.MembershipRenewalDue()
        )
        for joined in self.instance.list_calls(calls.JoinMembers):
            self.assertEqual(0, joined.call.generation)


class RightToOrder(StoreCase):
    """Of two instances, at most one holds the right, across eras too."""

    def setUp(self) -> None:
        super().setUp()
        known = self.instance.state.members
        joined = dataclasses.replace(known.readers, is_joined=True)
        self.replace(members=dataclasses.replace(known, readers=joined))

    def leads(self, instance: relay_states.Instance | None = None) -> bool:
        """Return whether an instance may order runners now."""
        asked = instance or self.instance
        return members.is_leader(asked.state, self.instance.now)

    def test_holder_loses_the_right_at_once(self) -> None:
        """Guard against two holders where the copy names another one."""
        self.join(members.READER_GROUP, era=1)
        self.assertTrue(self.leads())
        self.restore()
        self.assertFalse(self.leads())

    def test_right_of_another_instance_may_still_hold(self) -> None:
        """Guard against a second holder while the first is partitioned."""
        self.join(members.READER_GROUP, era=1)
        holder = self.instance
        self.setUp()
        for _ in range(30):
            self.join(members.READER_GROUP, era=2)
            self.assertFalse(self.leads() and self.leads(holder))
            self.instance.now += 0.1
        self.assertTrue(self.leads())

    def test_second_restore_begins_a_new_wait(self) -> None:
        """Guard against a wait that counts from the first of two restores."""
        self.restore(2)
        self.instance.now += 2.0
        self.restore(3)
        self.instance.now += 0.2
        self.join(members.READER_GROUP, era=3)
        self.assertFalse(self.leads())

    def test_start_of_the_whole_site(self) -> None:
        """Guard against a wait where no other instance can hold the right."""
        for starts_with_site in (False, True):
            self.setUp()
            self.forget_reads(starts_with_site=starts_with_site)
            self.join(members.READER_GROUP, era=4)
            self.assertEqual(starts_with_site, self.leads())

    def test_setting(self) -> None:
        """Guard against a template whose setting is not read."""
        template = pathlib.Path('deploy/settings.toml.template').read_text()
        self.assertIn('bootstrap = {{bootstrap|json}}', template)
        texts = {
            field.name: field.default or '1' for field in relay_settings.FIELDS
        }
        for text in ('true', 'false'):
            checked = {
                field.name: setting_rules.convert(field.rule, value)
                for field in relay_settings.FIELDS
                for value in ({**texts, 'bootstrap': text}[field.name],)
            }
            settings = relay_settings.build_settings(checked)
            self.assertEqual(text == 'true', settings.is_bootstrap)


class CrossingAnswers(StoreCase):
    """Answers of an earlier era count as failed, whatever they contain."""

    def test_late_answers_of_the_earlier_era(self) -> None:
        """Guard against answers from before the rise, and reads that stop."""
        self.restore()
        self.read_version(NEWER, era=1)
        self.read_entries(era=1)
        state = self.instance.state
        self.assertEqual(7, state.configuration.active.version)
        self.assertIsNone(state.runner_list.position)
        self.assertEqual(2, state.store_copy.era)
        self.instance.pass_time(0.5)
        self.assertEqual(1, self.count_calls(calls.ReadConfiguration))
        self.assertEqual(1, self.count_calls(calls.ReadRunners))


class PeerMessages(StoreCase):
    """Followers and readers of different eras exchange no positions."""

    def receive(
        self, era: int | None, is_complete: bool = True, age: float = 0.0
    ) -> None:
        """Deliver an update of a reader, whose confirmation has an age."""
        known = self.instance.state
        feed = dataclasses.replace(
            known.peer_feed, requested_at=self.instance.now
        )
        self.replace(peer_feed=feed)
        self.instance.emit_event(
            events.CallAnswered,
            call=calls.FollowPeer(1, 1, era=known.store_copy.era),
            address='',
            answer=calls.PeerUpdate(
                3, 0, (DROP,), 1, age, era=era, is_complete=is_complete
            ),
        )

    def confirm(
        self,
        confirmed_era: int | None,
        version: int | None,
        age: float = 0.5,
        era: int = 2,
    ) -> bool:
        """Deliver a confirmation at the same position; return if it counts."""
        known = self.instance.state
        self.replace(
            peer_feed=dataclasses.replace(
                known.peer_feed, requested_at=self.instance.now
            ),
            configuration=dataclasses.replace(
                known.configuration, confirmed_at=None
            ),
        )
        self.instance.emit_event(
            events.CallAnswered,
            call=calls.FollowPeer(1, 1, era=known.store_copy.era),
            address='',
            answer=calls.PeerUpdate(
                3,
                0,
                (),
                1,
                age,
                era=era,
                is_complete=True,
                confirmed_era=confirmed_era,
                confirmed_version=version,
            ),
        )
        return self.may_serve()

    def follow_restored(self) -> None:
        """Let the instance have read the copy after a restore."""
        self.restore()
        self.read_version(OLDER)

    def test_confirmation_from_before_the_restore(self) -> None:
        """Guard against a confirmation of what the copy does not have."""
        self.follow_restored()
        self.assertFalse(self.confirm(1, OLDER.version))
        self.assertTrue(self.confirm(2, OLDER.version))

    def test_confirmation_of_another_version(self) -> None:
        """Guard against the same position of an older and a newer version."""
        self.follow_restored()
        self.assertFalse(self.confirm(2, NEWER.version))

    def test_confirmation_that_names_no_era(self) -> None:
        """Guard against a reader of an earlier release after a restore."""
        self.follow_restored()
        self.assertFalse(self.confirm(None, None))
        self.instance.now += 2.4
        self.assertFalse(self.confirm(None, None))
        self.instance.now += 1.0
        self.assertTrue(self.confirm(None, None))

    def test_second_restore_at_the_reader_or_the_follower(self) -> None:
        """Guard against a confirmation that only one of them has outlived."""
        self.follow_restored()
        self.restore(3)
        self.read_version(OLDER, era=3)
        self.assertFalse(self.confirm(2, OLDER.version, era=2))
        self.assertFalse(self.confirm(2, OLDER.version, era=3))
        self.assertTrue(self.confirm(3, OLDER.version, era=3))

    def test_reader_tells_the_era_of_its_confirmation(self) -> None:
        """Guard against an age that says nothing of the restore between."""
        self.read_version(OLDER, era=1)
        self.instance.ask('f1', calls.FollowPeer(50, 1, era=1))
        self.restore()
        self.read_entries(*relay_states.TWO_CHAINS)
        update = self.instance.replies['f1']
        self.assertEqual((2, 1), (update.era, update.confirmed_era))
        self.assertEqual(OLDER.version, update.confirmed_version)

    def test_reader_that_has_confirmed_nothing(self) -> None:
        """Guard against an update, as of a fault, that confirms all the same."""
        self.forget_reads()
        self.read_version(OLDER, era=5)
        update = peer_feed.build_update(
            calls.FollowPeer(0, 0, era=5),
            self.instance.now,
            self.instance.state,
        )
        self.assertIsNone(update.confirmed_era)
        limit = self.instance.state.limits.key_revocation_seconds or 0.0
        self.assertGreater(update.confirmed_seconds, limit)

    def test_follower_behind_its_reader(self) -> None:
        """Guard against changes that count from a position of another era."""
        for era, is_complete in ((1, True), (3, False), (None, False)):
            self.setUp()
            self.instance.ask('f1', calls.FollowPeer(50, 1, era=era))
            self.read_version(OLDER)
            self.read_entries(*relay_states.TWO_CHAINS)
            update = self.instance.replies['f1']
            self.assertEqual(is_complete, update.is_complete)
            self.assertEqual(6 * is_complete, len(update.changes))

    def test_complete_list(self) -> None:
        """Guard against a follower that keeps its position, or drops early."""
        self.receive(2)
        state = self.instance.state
        self.assertEqual(2, state.store_copy.era)
        self.assertEqual(3, state.runner_list.position)
        self.assertTrue(state.runner_list.is_disputed)
        self.assertTrue(self.is_usable())
        self.instance.now += 2.6
        self.receive(2)
        self.assertFalse(self.is_usable())

    def test_follower_ahead_of_its_reader(self) -> None:
        """Guard against a reader whose list is from before the restore."""
        self.restore(3)
        self.receive(2)
        self.assertTrue(self.is_usable())
        self.assertEqual(3, self.instance.state.store_copy.era)
        self.assertEqual(1, self.count_calls(calls.ReadRunners))

    def test_reader_of_a_release_without_eras(self) -> None:
        """Guard against a rolling update that stops the updates."""
        self.receive(None, is_complete=False)
        self.assertFalse(self.is_usable())

    def test_confirmation_of_a_reader(self) -> None:
        """Guard against a reader that has not lost what this instance knows."""
        for active, era in ((NEWER, 2), (OLDER, None)):
            self.setUp()
            self.read_version(active, era=1)
            self.restore()
            self.instance.now += 2.4
            self.read_version(OLDER)
            self.instance.now += 2.4
            self.receive(era, is_complete=False, age=2.4)
            self.assertFalse(self.may_serve())
