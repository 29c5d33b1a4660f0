"""Guard what an instance believes of the store, its peers and runners."""

import dataclasses
import unittest

import immutables

from mustardvale.internal import effects, events
from mustardvale.internal.relay import (
    calls,
    members,
    requests,
    runner_list,
    runners,
)
from tests import relay_states


class UpstreamList(unittest.TestCase):
    """Entries are believed unless an outage explains that they are missing."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()

    def follow(self, *changes: calls.RunnerChange) -> None:
        """Let the store answer a read of changes."""
        self.instance.occur(
            events.CallAnswered,
            call=calls.FollowRunners(1),
            address='',
            answer=calls.RunnersRead(2, changes),
        )

    def fail(self) -> None:
        """Let a read of changes fail."""
        self.instance.occur(
            events.CallFailed,
            call=calls.FollowRunners(1),
            address='',
            failure=events.Failure(events.FailureKind.TIMED_OUT, True),
        )

    def usable(self, runner_id: str) -> bool:
        """Return whether a runner gets new work."""
        return self.instance.state.runners[runner_id].is_usable

    def test_dropped_entry_ends_new_work(self) -> None:
        """Guard against work for a runner that has left without a word."""
        self.follow(calls.RunnerChange('p1', None))
        self.assertFalse(self.usable('p1'))

    def test_entry_that_lapsed_in_an_outage_is_kept_for_a_while(self) -> None:
        """Guard against dropping every runner when the store returns."""
        self.fail()
        self.follow(calls.RunnerChange('p1', None))
        self.assertTrue(self.usable('p1'))
        self.instance.now += runner_list.REREGISTRATION_SECONDS + 0.1
        self.follow()
        self.assertFalse(self.usable('p1'))

    def test_entry_that_returns_is_kept(self) -> None:
        """Guard against dropping a runner that has registered again."""
        self.fail()
        self.follow(calls.RunnerChange('p1', None))
        self.follow(
            calls.RunnerChange('p1', relay_states.build_plain_runner('p1'))
        )
        self.instance.now += runner_list.REREGISTRATION_SECONDS + 0.1
        self.follow()
        self.assertTrue(self.usable('p1'))

    def test_forgotten_history_reads_everything(self) -> None:
        """Guard against missing changes after the log was compacted."""
        self.instance.occur(
            events.CallAnswered,
            call=calls.FollowRunners(1),
            address='',
            answer=calls.HistoryCompacted(),
        )
        self.assertTrue(self.instance.list_calls(calls.ReadRunners))

    def test_other_start_begins_without_a_past(self) -> None:
        """Guard against blaming a new process for the old one."""
        self.instance.state = dataclasses.replace(
            self.instance.state,
            runners=runners.deprioritize(
                self.instance.state.runners, 'p1', 1e9
            ),
        )
        again = dataclasses.replace(
            relay_states.build_plain_runner('p1'), started_at_ms=2
        )
        self.follow(calls.RunnerChange('p1', again))
        self.assertEqual(
            0, self.instance.state.runners['p1'].deprioritized_until
        )


class ConfigurationPolls(unittest.TestCase):
    """A lost store is asked again soon and the old version stays."""

    def test_failure_keeps_the_version(self) -> None:
        """Guard against an outage that takes the routes away."""
        instance = relay_states.Instance()
        instance.occur(
            events.CallFailed,
            call=calls.FollowConfiguration(1, 2.0),
            address='',
            failure=events.Failure(events.FailureKind.TIMED_OUT, True),
        )
        self.assertEqual(7, instance.state.configuration.active.version)
        instance.pass_time(0.3)
        poll = instance.list_calls(calls.FollowConfiguration)[-1]
        self.assertEqual(0, poll.call.wait_seconds)

    def test_forgotten_history_reads_the_newest(self) -> None:
        """Guard against an instance that waits for dropped records."""
        instance = relay_states.Instance()
        instance.occur(
            events.CallAnswered,
            call=calls.FollowConfiguration(1, 2.0),
            address='',
            answer=calls.HistoryCompacted(),
        )
        self.assertTrue(instance.list_calls(calls.ReadConfiguration))


class Members(unittest.TestCase):
    """Callers are sent to instances that live."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()

    def join(self, generation: int, is_leader: bool = False) -> None:
        """Let the store confirm the membership."""
        self.instance.occur(
            events.CallAnswered,
            call=calls.JoinMembers('', 3.0, 0),
            address='',
            answer=calls.MembersJoined(generation, is_leader),
        )

    def list_members(self, *names: str) -> None:
        """Let the store list members."""
        self.instance.occur(
            events.CallAnswered,
            call=calls.ListMembers(),
            address='',
            answer=calls.MembersListed(names),
        )

    def directory(self) -> tuple[str, ...]:
        """Return the addresses that a caller gets."""
        number = len(self.instance.replies)
        answer = self.instance.ask(
            f'd{number}', requests.DirectoryRequest('site.example')
        )
        return answer.addresses

    def test_members_are_listed_when_the_generation_changes(self) -> None:
        """Guard against paying for the same list again and again."""
        self.join(4)
        self.list_members('entry-2|10.0.0.2:80|zone-b|region|10.0.0.2:84')
        self.join(4)
        self.assertEqual(1, len(self.instance.list_calls(calls.ListMembers)))

    def test_members_are_listed_again_when_partitions_have_moved(self) -> None:
        """Guard against a new member that nobody ever sends callers to.

        Its partitions are still with others when the generation changes.
        """
        self.join(4)
        self.list_members()
        for _ in range(8):
            self.instance.now += 0.7
            self.join(4)
        self.assertEqual(2, len(self.instance.list_calls(calls.ListMembers)))

    def test_directory_has_all_members(self) -> None:
        """Guard against sending all callers to one instance."""
        self.join(4)
        self.list_members('entry-2|10.0.0.2:80|zone-b|region|10.0.0.2:84')
        self.assertEqual({'10.0.0.1:80', '10.0.0.2:80'}, set(self.directory()))

    def test_instance_without_the_store_leaves_itself_out(self) -> None:
        """Guard against callers at an instance that soon refuses keys."""
        self.join(4)
        self.list_members('entry-2|10.0.0.2:80|zone-b|region|10.0.0.2:84')
        self.instance.occur(
            events.CallFailed,
            call=calls.FollowConfiguration(1, 2.0),
            address='',
            failure=events.Failure(events.FailureKind.TIMED_OUT, True),
        )
        self.instance.now += 1
        self.assertEqual(('10.0.0.2:80',), self.directory())

    def test_alone_it_names_itself(self) -> None:
        """Guard against an empty answer, which callers take as a failure."""
        self.instance.now += 60
        self.assertEqual(('10.0.0.1:80',), self.directory())

    def test_right_to_order_ends_by_itself(self) -> None:
        """Guard against orders of an instance that was paused."""
        self.instance.state = dataclasses.replace(
            self.instance.state,
            members=dataclasses.replace(
                self.instance.state.members, join_requested_at=self.instance.now
            ),
        )
        self.join(4, is_leader=True)
        now = self.instance.now
        self.assertTrue(members.is_leader(self.instance.state, now))
        later = now + members.MEMBERSHIP_LIFETIME_SECONDS
        self.assertFalse(members.is_leader(self.instance.state, later))

    def test_foreign_member_names_are_ignored(self) -> None:
        """Guard against a name that another program has put there."""
        self.list_members(
            'something', 'entry-2|10.0.0.2:80|zone-b|region|10.0.0.2:84'
        )
        self.assertEqual(1, len(self.instance.state.members.listed))


class Orders(unittest.TestCase):
    """Only empty runners are ordered, once, by the member that may."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance(
            (
                relay_states.build_model_runner('m1', 0, 0),
                relay_states.build_model_runner('m2', 40, 80),
            )
        )

    def allow(self) -> None:
        """Let this instance be the one that orders runners."""
        self.instance.state = dataclasses.replace(
            self.instance.state,
            members=members.MemberState(
                listed_generation=1, leader_until=self.instance.now + 60
            ),
        )

    def check(self) -> list[effects.Call]:
        """Look whether orders are needed and return those given so far."""
        self.instance.occur(
            events.TimerFired, timer=relay_states.timers.OrdersDue()
        )
        return self.instance.list_calls(calls.PlaceLayers)

    def test_without_the_right_none(self) -> None:
        """Guard against two instances that order opposite things."""
        self.assertFalse(self.check())

    def test_empty_runner_is_ordered_once(self) -> None:
        """Guard against an order for each check while layers load."""
        self.allow()
        self.check()
        given = self.check()
        self.assertEqual(['m1'], [call.call.runner_id for call in given])

    def test_runner_with_layers_keeps_them(self) -> None:
        """Guard against loads after a restart of all instances."""
        self.allow()
        self.assertNotIn('m2', [call.call.runner_id for call in self.check()])

    def test_order_names_the_count_of_accepted_orders(self) -> None:
        """Guard against an order that is carried out late and twice."""
        self.allow()
        self.instance.state = dataclasses.replace(
            self.instance.state,
            orders=dataclasses.replace(
                self.instance.state.orders,
                accepted_counts=immutables.Map({'m1': 3}),
            ),
        )
        self.assertEqual(3, self.check()[0].call.order_count)

    def test_conflict_asks_for_the_count(self) -> None:
        """Guard against an order that never fits a runner's count."""
        self.allow()
        first = self.check()[0].call
        self.instance.occur(
            events.CallAnswered,
            call=first,
            address='10.1.0.1:8000',
            answer=calls.OrderAnswer(calls.OrderVerdict.CONFLICT),
        )
        self.assertTrue(self.instance.list_calls(calls.ReadRunnerReport))
        self.instance.occur(
            events.CallAnswered,
            call=calls.ReadRunnerReport('m1'),
            address='10.1.0.1:8000',
            answer=calls.RunnerReport(5, has_active_order=False),
        )
        self.assertEqual(5, self.check()[-1].call.order_count)
