"""Test the runner list, configuration polls, membership and orders."""

import dataclasses
import unittest

import immutables

from mustardvale.internal import effects, events
from mustardvale.internal.relay import (
    calls,
    instance_settings,
    members,
    requests,
    runner_list,
    runners,
)
from tests import relay_states


ZONE = relay_states.IDENTITY.availability_zone
# An instance counts as in touch this long after its links were cut.
CONTACT_SECONDS = 3.0


class UpstreamList(unittest.TestCase):
    """Dropped entries are applied, but not shortly after an outage."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()

    def answer_read(self, *changes: calls.RunnerChange) -> None:
        """Deliver the store's answer to a read of changes."""
        self.instance.emit_event(
            events.CallAnswered,
            call=calls.FollowRunners(1),
            address='',
            answer=calls.RunnersRead(2, changes),
        )

    def fail_read(self) -> None:
        """Report that a read of changes timed out."""
        self.instance.emit_event(
            events.CallFailed,
            call=calls.FollowRunners(1),
            address='',
            failure=events.Failure(events.FailureKind.TIMED_OUT, True),
        )

    def is_usable(self, runner_id: str) -> bool:
        """Return whether a runner gets new requests."""
        return self.instance.state.runners[runner_id].is_usable

    def test_dropped_entry_ends_new_requests(self) -> None:
        """Guard against requests to a runner that has exited silently."""
        self.answer_read(calls.RunnerChange('p1', None))
        self.assertFalse(self.is_usable('p1'))

    def test_entry_that_expired_in_an_outage_is_kept_for_a_while(self) -> None:
        """Guard against dropping all runners after an outage of the store."""
        self.fail_read()
        self.answer_read(calls.RunnerChange('p1', None))
        self.assertTrue(self.is_usable('p1'))
        self.instance.now += runner_list.REREGISTRATION_SECONDS + 0.1
        self.answer_read()
        self.assertFalse(self.is_usable('p1'))

    def test_entry_that_is_registered_again_is_kept(self) -> None:
        """Guard against applying a drop after the runner registered again."""
        self.fail_read()
        self.answer_read(calls.RunnerChange('p1', None))
        self.answer_read(
            calls.RunnerChange('p1', relay_states.build_plain_runner('p1'))
        )
        self.instance.now += runner_list.REREGISTRATION_SECONDS + 0.1
        self.answer_read()
        self.assertTrue(self.is_usable('p1'))

    def test_compacted_log_causes_a_full_read(self) -> None:
        """Guard against missed changes after the log was compacted."""
        self.instance.emit_event(
            events.CallAnswered,
            call=calls.FollowRunners(1),
            address='',
            answer=calls.HistoryCompacted(),
        )
        self.assertTrue(self.instance.list_calls(calls.ReadRunners))

    def test_new_process_has_no_failures(self) -> None:
        """Guard against avoiding a new process for failures of the old one."""
        self.instance.state = dataclasses.replace(
            self.instance.state,
            runners=runners.deprioritize(
                self.instance.state.runners, 'p1', 1e9
            ),
        )
        entry = dataclasses.replace(
            relay_states.build_plain_runner('p1'), started_at_ms=2
        )
        self.answer_read(calls.RunnerChange('p1', entry))
        self.assertEqual(
            0, self.instance.state.runners['p1'].deprioritized_until
        )


class ConfigurationPolls(unittest.TestCase):
    """A failed poll is retried soon, and the active version stays."""

    def test_failure_keeps_the_version(self) -> None:
        """Guard against losing the routes in an outage of the store."""
        instance = relay_states.Instance()
        instance.emit_event(
            events.CallFailed,
            call=calls.FollowConfiguration(1, 2.0),
            address='',
            failure=events.Failure(events.FailureKind.TIMED_OUT, True),
        )
        self.assertEqual(7, instance.state.configuration.active.version)
        instance.pass_time(0.3)
        poll = instance.list_calls(calls.FollowConfiguration)[-1]
        self.assertEqual(0, poll.call.wait_seconds)

    def test_silent_poll_is_repeated_in_time(self) -> None:
        """Guard against an older version three seconds after a cut link."""
        for limit in (None, 5.0, 60.0):
            with self.subTest(limit=limit):
                instance = relay_states.Instance(
                    limits=instance_settings.Limits(
                        key_revocation_seconds=limit
                    )
                )
                poll = instance.list_calls(calls.FollowConfiguration)[-1]
                sent_at = instance.now
                instance.pass_time(poll.timeout_seconds)
                instance.emit_event(
                    events.CallFailed,
                    call=poll.call,
                    address='',
                    failure=events.Failure(events.FailureKind.TIMED_OUT, True),
                )
                instance.pass_time(CONTACT_SECONDS - poll.timeout_seconds - 0.2)
                self.assertLess(instance.now, sent_at + CONTACT_SECONDS)
                (_, repeated) = instance.list_calls(calls.FollowConfiguration)
                self.assertEqual(0, repeated.call.wait_seconds)

    def test_compacted_log_causes_a_read_of_the_newest(self) -> None:
        """Guard against polling for records that the log no longer has."""
        instance = relay_states.Instance()
        instance.emit_event(
            events.CallAnswered,
            call=calls.FollowConfiguration(1, 2.0),
            address='',
            answer=calls.HistoryCompacted(),
        )
        self.assertTrue(instance.list_calls(calls.ReadConfiguration))

    def test_configuration_on_a_later_page_is_read(self) -> None:
        """Guard against an instance that never finds its configuration."""
        instance = relay_states.Instance()
        instance.calls.clear()
        instance.emit_event(
            events.CallAnswered,
            call=calls.ReadConfiguration(),
            address='',
            answer=calls.ConfigurationRead(5, None, 'band'),
        )
        (read,) = instance.list_calls(calls.ReadConfiguration)
        self.assertEqual(calls.ReadConfiguration('band', 5), read.call)
        newer = dataclasses.replace(relay_states.CONFIGURATION, version=8)
        instance.emit_event(
            events.CallAnswered,
            call=read.call,
            address='',
            answer=calls.ConfigurationRead(5, newer),
        )
        self.assertEqual(8, instance.state.configuration.active.version)
        self.assertEqual(5, instance.state.configuration.position)


class LatePolls(unittest.TestCase):
    """A configuration is confirmed as of the poll that was answered."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()
        self.instance.now += 1
        self.instance.emit_event(
            events.TimerFired,
            timer=relay_states.timers.ConfigurationRetryDue(),
        )
        self.polls = [
            sent.call
            for sent in self.instance.list_calls(calls.FollowConfiguration)
        ]

    def answer(self, call: calls.FollowConfiguration) -> float | None:
        """Answer a poll; return when the configuration was confirmed."""
        self.instance.emit_event(
            events.CallAnswered,
            call=call,
            address='',
            answer=calls.ConfigurationRead(1, None),
        )
        return self.instance.state.configuration.confirmed_at

    def test_answer_to_an_earlier_poll(self) -> None:
        """Guard against a revoked key that is accepted for too long."""
        self.assertEqual(self.instance.now - 1, self.answer(self.polls[0]))

    def test_earlier_poll_is_answered_last(self) -> None:
        """Guard against refusing keys after an older confirmation."""
        self.answer(self.polls[1])
        self.assertEqual(self.instance.now, self.answer(self.polls[0]))


class Members(unittest.TestCase):
    """The directory names the instances that accept requests."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()

    def join(
        self, generation: int, is_leader: bool = False, zone: str = ZONE
    ) -> None:
        """Deliver the store's answer to a join of a zone or the readers."""
        self.instance.emit_event(
            events.CallAnswered,
            call=calls.JoinMembers(zone, '', 3.0, 0, self.instance.now),
            address='',
            answer=calls.MembersJoined(generation, is_leader),
        )

    def list_members(self, *names: str, zone: str = ZONE) -> None:
        """Deliver the store's list of the members of a zone or the readers."""
        self.instance.emit_event(
            events.CallAnswered,
            call=calls.ListMembers(zone, self.instance.now),
            address='',
            answer=calls.MembersListed(names),
        )

    def request_directory(self) -> tuple[str, ...]:
        """Return the addresses that a caller gets."""
        number = len(self.instance.replies)
        answer = self.instance.ask(
            f'd{number}', requests.DirectoryRequest('site.example')
        )
        return answer.addresses

    def test_members_are_listed_when_the_generation_changes(self) -> None:
        """Guard against repeated reads of an unchanged list."""
        self.join(4)
        self.list_members('entry-2|10.0.0.2:80|zone-a|region|10.0.0.2:84')
        self.join(4)
        self.assertEqual(1, len(self.instance.list_calls(calls.ListMembers)))

    def test_members_are_listed_again_when_partitions_have_moved(self) -> None:
        """Guard against a new member that never gets requests.

        It owns no partitions yet when the generation changes, and is not in
        the list that is read then.
        """
        self.join(4)
        self.list_members()
        for _ in range(8):
            self.instance.now += 0.7
            self.join(4)
            self.list_members()
        self.assertEqual(2, len(self.instance.list_calls(calls.ListMembers)))

    def test_list_that_failed_is_requested_again(self) -> None:
        """Guard against a new member that is missed with one failed call."""
        self.join(4)
        self.list_members()
        for _ in range(2):
            self.instance.now += members.HANDOVER_SECONDS
            self.join(4)
            self.instance.emit_event(
                events.CallFailed,
                call=self.instance.list_calls(calls.ListMembers)[-1].call,
                address='',
                failure=events.Failure(events.FailureKind.TIMED_OUT, True),
            )
        self.assertEqual(3, len(self.instance.list_calls(calls.ListMembers)))

    def test_older_list_is_dropped(self) -> None:
        """Guard against a late list without the members that are known."""
        for generation in (4, 5):
            self.join(generation)
            self.instance.now += members.JOIN_PERIOD_SECONDS
        asked = [
            sent.call for sent in self.instance.list_calls(calls.ListMembers)
        ]
        name = 'entry-2|10.0.0.2:80|zone-a|region|10.0.0.2:84'
        for call, names in zip(reversed(asked), ((name,), ()), strict=True):
            self.instance.emit_event(
                events.CallAnswered,
                call=call,
                address='',
                answer=calls.MembersListed(names),
            )
        self.assertEqual(1, len(self.instance.state.members.zone.listed))

    def test_directory_has_all_members(self) -> None:
        """Guard against directing all callers to one instance."""
        self.join(4)
        self.list_members('entry-2|10.0.0.2:80|zone-a|region|10.0.0.2:84')
        self.assertEqual(
            {'10.0.0.1:80', '10.0.0.2:80'}, set(self.request_directory())
        )

    def test_directory_omits_an_instance_without_the_store(self) -> None:
        """Guard against directing callers to an instance that refuses keys."""
        self.join(4)
        self.list_members('entry-2|10.0.0.2:80|zone-a|region|10.0.0.2:84')
        self.instance.emit_event(
            events.CallFailed,
            call=calls.FollowConfiguration(1, 2.0),
            address='',
            failure=events.Failure(events.FailureKind.TIMED_OUT, True),
        )
        self.instance.now += 1
        self.assertEqual(('10.0.0.2:80',), self.request_directory())

    def test_directory_of_a_single_instance_has_its_address(self) -> None:
        """Guard against an empty answer, which callers treat as a failure."""
        self.instance.now += 60
        self.assertEqual(('10.0.0.1:80',), self.request_directory())

    def test_leadership_expires(self) -> None:
        """Guard against orders from an instance that was suspended."""
        self.instance.state = dataclasses.replace(
            self.instance.state,
            members=dataclasses.replace(
                self.instance.state.members,
                readers=members.GroupState(is_joined=True),
            ),
        )
        self.join(4, is_leader=True, zone=members.READER_GROUP)
        now = self.instance.now
        self.assertTrue(members.is_leader(self.instance.state, now))
        later = now + members.MEMBERSHIP_LIFETIME_SECONDS
        self.assertFalse(members.is_leader(self.instance.state, later))

    def test_member_names_of_other_formats_are_ignored(self) -> None:
        """Guard against a failure on names written by another program."""
        self.list_members(
            'something', 'entry-2|10.0.0.2:80|zone-a|region|10.0.0.2:84'
        )
        self.assertEqual(1, len(self.instance.state.members.zone.listed))


class Readers(unittest.TestCase):
    """The first two instances of a zone are its readers."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()

    def list_zone(self, *numbers: int | str) -> None:
        """Deliver the store's list of this instance's zone."""
        names = tuple(
            f'entry-{number}|10.0.0.{int(number)}:80|zone-a|region|'
            f'10.0.0.{int(number)}:84'
            for number in numbers
        )
        self.instance.emit_event(
            events.CallAnswered,
            call=calls.ListMembers(ZONE),
            address='',
            answer=calls.MembersListed(names),
        )

    def list_readers(self, zone_count: int) -> None:
        """Deliver the store's list of the readers of all zones."""
        names = tuple(
            f'other-{number}|10.0.9.{number}:80|zone-{number}|region|'
            f'10.0.9.{number}:84'
            for number in range(zone_count)
        )
        self.instance.emit_event(
            events.CallAnswered,
            call=calls.ListMembers(members.READER_GROUP),
            address='',
            answer=calls.MembersListed(names),
        )

    def list_joined_zones(self) -> list[str]:
        """Return the zones of the groups that were joined, '' for readers."""
        return [
            call.call.zone
            for call in self.instance.list_calls(calls.JoinMembers)
        ]

    def renew(self) -> None:
        """Fire the timer of the renewal."""
        self.instance.emit_event(
            events.TimerFired,
            timer=relay_states.timers.MembershipRenewalDue(),
        )

    def test_reader_joins_the_readers(self) -> None:
        """Guard against a site without a leader."""
        self.list_zone(1, 2, 3)
        self.assertEqual([members.READER_GROUP], self.list_joined_zones())
        self.renew()
        self.assertEqual(
            [ZONE, members.READER_GROUP], self.list_joined_zones()[1:]
        )

    def test_follower_joins_only_its_zone(self) -> None:
        """Guard against a group of readers that grows with the instances."""
        self.list_zone(0, 2)
        self.list_zone(0, '00', 1)
        self.list_zone(*range(3, 10))
        self.renew()
        self.assertEqual([ZONE], self.list_joined_zones())

    def test_former_reader_gives_up_the_leadership(self) -> None:
        """Guard against two instances that send orders."""
        self.list_zone(1, 2, 3)
        self.renew()
        self.instance.emit_event(
            events.CallAnswered,
            call=calls.JoinMembers(
                members.READER_GROUP, '', 3.0, 0, self.instance.now
            ),
            address='',
            answer=calls.MembersJoined(1, is_leader=True),
        )
        now = self.instance.now
        self.assertTrue(members.is_leader(self.instance.state, now))
        self.list_zone(0, *range(2, 5))
        self.renew()
        self.assertFalse(members.is_leader(self.instance.state, now))
        self.assertEqual(1, len(self.instance.list_calls(calls.LeaveMembers)))
        self.instance.emit_event(
            events.CallAnswered,
            call=calls.JoinMembers(
                members.READER_GROUP, '', 3.0, 0, self.instance.now
            ),
            address='',
            answer=calls.MembersJoined(1, is_leader=True),
        )
        self.assertFalse(members.is_leader(self.instance.state, now))

    def test_limits_are_shared_by_zones_and_then_by_instances(self) -> None:
        """Guard against a budget that is divided by a part of the instances.

        One group for all instances names at most as many as it has partitions.
        """
        self.list_zone(*range(1, 40))
        self.list_readers(5)
        count = members.count_instances(self.instance.state)
        self.assertEqual(39 * 6, count)

    def test_directory_of_a_large_zone(self) -> None:
        """Guard against instances that no answer names.

        An answer holds 64 addresses.
        """
        self.list_zone(*range(1, 101))
        answer = self.instance.ask(
            'd1', requests.DirectoryRequest('site.example')
        )
        self.assertEqual(64, len(set(answer.addresses)))
        self.assertEqual('10.0.0.1:80', answer.addresses[0])

    def test_directory_of_a_small_zone(self) -> None:
        """Guard against callers whose only addresses fail together."""
        self.list_zone(1, 2)
        self.list_readers(3)
        answer = self.instance.ask(
            'd1', requests.DirectoryRequest('site.example')
        )
        self.assertEqual(5, len(set(answer.addresses)))


class LateJoins(unittest.TestCase):
    """The right to order counts from the join that the store has answered."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()
        self.instance.state = dataclasses.replace(
            self.instance.state,
            members=members.MemberState(
                zone=members.GroupState(
                    listed_generation=1,
                    listed=(
                        members.Member(
                            'entry-1',
                            '10.0.0.1:80',
                            ZONE,
                            'region',
                            '10.0.0.1:84',
                        ),
                    ),
                ),
            ),
        )

    def renew(self) -> calls.JoinMembers:
        """Fire the timer of the renewal; return the join of the readers."""
        self.instance.emit_event(
            events.TimerFired, timer=relay_states.timers.MembershipRenewalDue()
        )
        return self.instance.list_calls(calls.JoinMembers)[-1].call

    def answer(self, call: calls.JoinMembers, is_leader: bool) -> None:
        """Deliver the store's answer to a join."""
        self.instance.emit_event(
            events.CallAnswered,
            call=call,
            address='',
            answer=calls.MembersJoined(1, is_leader),
        )

    def is_leader(self) -> bool:
        """Return whether the instance may send orders now."""
        return members.is_leader(self.instance.state, self.instance.now)

    def test_right_counts_from_the_answered_join(self) -> None:
        """Guard against a right that is counted from a later, open join."""
        first = self.renew()
        self.instance.now += members.JOIN_PERIOD_SECONDS
        self.renew()
        self.instance.now += 0.2
        self.answer(first, is_leader=True)
        self.assertTrue(self.is_leader())
        self.instance.now += 1.3
        self.assertFalse(self.is_leader())

    def test_older_grant_after_a_refusal(self) -> None:
        """Guard against a right that another instance has got meanwhile."""
        first = self.renew()
        self.instance.now += members.JOIN_PERIOD_SECONDS
        self.answer(self.renew(), is_leader=False)
        self.answer(first, is_leader=True)
        self.assertFalse(self.is_leader())

    def test_grant_from_before_this_instance_left(self) -> None:
        """Guard against a right that was given up with the membership."""
        first = self.renew()
        self.instance.now += members.JOIN_PERIOD_SECONDS
        joined = self.instance.state.members
        self.instance.state = dataclasses.replace(
            self.instance.state,
            members=dataclasses.replace(
                joined, zone=members.GroupState(listed_generation=1)
            ),
        )
        self.renew()
        self.assertTrue(self.instance.list_calls(calls.LeaveMembers))
        left = self.instance.state.members
        self.instance.state = dataclasses.replace(
            self.instance.state,
            members=dataclasses.replace(left, zone=joined.zone),
        )
        self.instance.now += 0.1
        self.renew()
        self.answer(first, is_leader=True)
        self.assertFalse(self.is_leader())

    def test_older_refusal_ends_the_right(self) -> None:
        """Guard against a right that the store's last answer has ended."""
        first = self.renew()
        self.instance.now += members.JOIN_PERIOD_SECONDS
        self.answer(self.renew(), is_leader=True)
        self.answer(first, is_leader=False)
        self.assertFalse(self.is_leader())


class Orders(unittest.TestCase):
    """Only the leader orders runners, only empty ones, and each once."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance(
            (
                relay_states.build_model_runner('m1', 0, 0),
                relay_states.build_model_runner('m2', 40, 80),
            )
        )

    def become_leader(self) -> None:
        """Make this instance the leader."""
        self.instance.state = dataclasses.replace(
            self.instance.state,
            members=members.MemberState(
                zone=members.GroupState(listed_generation=1),
                leader_until=self.instance.now + 60,
            ),
        )

    def check_placement(self) -> list[effects.Call]:
        """Fire the timer of the check; return all orders so far."""
        self.instance.emit_event(
            events.TimerFired, timer=relay_states.timers.PlacementCheckDue()
        )
        return self.instance.list_calls(calls.PlaceLayers)

    def test_only_the_leader_orders(self) -> None:
        """Guard against conflicting orders from two instances."""
        self.assertFalse(self.check_placement())

    def test_empty_runner_is_ordered_once(self) -> None:
        """Guard against repeated orders while layers load."""
        self.become_leader()
        self.check_placement()
        orders = self.check_placement()
        self.assertEqual(['m1'], [call.call.runner_id for call in orders])

    def test_runner_with_layers_keeps_them(self) -> None:
        """Guard against loading layers anew after all instances restart."""
        self.become_leader()
        self.assertNotIn(
            'm2', [call.call.runner_id for call in self.check_placement()]
        )

    def test_order_names_the_count_of_accepted_orders(self) -> None:
        """Guard against a delayed order that is carried out twice."""
        self.become_leader()
        self.instance.state = dataclasses.replace(
            self.instance.state,
            orders=dataclasses.replace(
                self.instance.state.orders,
                accepted_counts=immutables.Map({'m1': 3}),
            ),
        )
        self.assertEqual(3, self.check_placement()[0].call.order_count)

    def test_conflict_causes_a_read_of_the_count(self) -> None:
        """Guard against repeating an order with a wrong count."""
        self.become_leader()
        first = self.check_placement()[0].call
        self.instance.emit_event(
            events.CallAnswered,
            call=first,
            address='10.1.0.1:8000',
            answer=calls.OrderAnswer(calls.OrderVerdict.CONFLICT),
        )
        self.assertTrue(self.instance.list_calls(calls.ReadRunnerReport))
        self.instance.emit_event(
            events.CallAnswered,
            call=calls.ReadRunnerReport('m1'),
            address='10.1.0.1:8000',
            answer=calls.RunnerReport(5, has_active_order=False),
        )
        self.assertEqual(5, self.check_placement()[-1].call.order_count)
