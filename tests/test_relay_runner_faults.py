"""Test how instances find, tell and act on faults of runners."""

import dataclasses
import typing
import unittest

import hypothesis
from hypothesis import strategies

from bench import instance_groups
from mustardvale.internal import effects, events
from mustardvale.internal.relay import (
    calls,
    fault_reports,
    members,
    peer_feed,
    runner_watch,
    runners,
    timers,
)
from mustardvale.internal.relay import effects as relay_effects
from mustardvale.internal.relay import events as relay_events
from tests import relay_states

EVENT = b'id: 1\ndata: x\n\n'
OWN = members.decode_members((members.encode_member(relay_states.IDENTITY),))
OTHER = dataclasses.replace(instance_groups.build_member(1, 'zone-b'))
FAULTS = strategies.lists(
    strategies.builds(
        fault_reports.Fault,
        strategies.sampled_from(('m1', 'm2')),
        strategies.integers(1, 2),
        strategies.sampled_from(fault_reports.FaultKind),
        strategies.floats(990.0, 1000.0),
    )
)


def build_report(
    runner_id: str, kind: str = 'crashed', **fields: typing.Any
) -> calls.ReportedFault:
    """Return the report of a fault of the listed process."""
    return dataclasses.replace(
        calls.ReportedFault(runner_id, 1, kind, 0.01), **fields
    )


class Merging(unittest.TestCase):
    """Reports may come late, twice and in any order."""

    @hypothesis.given(FAULTS, FAULTS)
    def test_order_and_repeats_change_nothing(
        self,
        first: list[fault_reports.Fault],
        second: list[fault_reports.Fault],
    ) -> None:
        """Guard against instances that differ after the same reports."""
        merged = fault_reports.merge(tuple(first), second, 1000.0)
        reverse = fault_reports.merge(tuple(second), first, 1000.0)
        self.assertEqual(merged, reverse)
        self.assertEqual(
            merged, fault_reports.merge(merged, [*second, *first], 1000.0)
        )

    def test_bounds(self) -> None:
        """Guard against a report that takes memory or stays for ever."""
        reported = [build_report(f'm{number}') for number in range(100)]
        found = fault_reports.read_report(reported, 1000.0)
        merged = fault_reports.merge(found, found, 1000.0)
        self.assertEqual(fault_reports.MAXIMUM_FAULTS, len(merged))
        self.assertFalse(fault_reports.merge(merged, (), 1004.1))

    def test_unknown_kind(self) -> None:
        """Guard against an update that a later release makes unreadable."""
        reported = (build_report('m1', 'flooded'), build_report('m2'))
        found = fault_reports.read_report(reported, 1000.0)
        self.assertEqual(['m2'], [fault.runner_id for fault in found])


class Watching(unittest.TestCase):
    """A reader notices at once that a runner has crashed."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()
        self.instance.state = dataclasses.replace(
            self.instance.state,
            members=members.MemberState(
                zone=members.GroupState(listed_generation=1, listed=OWN),
                readers=members.GroupState(
                    listed_generation=1, listed=(*OWN, OTHER)
                ),
            ),
        )
        self.address = self.instance.state.runners['m2'].listed.address
        self.check()

    def check(self) -> None:
        """Check which runners are watched."""
        self.instance.emit_event(
            events.TimerFired, timer=timers.WatchCheckDue()
        )

    def list_sets(self) -> list[frozenset[str]]:
        """Return the sets of watched addresses so far."""
        return [
            effect.addresses
            for effect in self.instance.others
            if isinstance(effect, relay_effects.WatchAddresses)
        ]

    def open(self, seconds: float = 10.0) -> None:
        """Accept the watched connection to one runner, and pass time."""
        self.instance.pass_time(runner_watch.OPENING_SPREAD_SECONDS)
        self.instance.emit_event(relay_events.WatchOpened, address=self.address)
        self.instance.pass_time(seconds)

    def end(self, end: relay_events.WatchEnd) -> None:
        """End the watched connection."""
        self.instance.emit_event(
            relay_events.WatchEnded, address=self.address, end=end
        )

    def list_reports(self) -> list[effects.Call]:
        """Return the reports of faults to other instances."""
        self.instance.pass_time(peer_feed.FAULT_TELLING_SECONDS)
        return self.instance.list_calls(calls.ReportFaults)

    def test_all_engine_runners_are_watched_by_and_by(self) -> None:
        """Guard against runners that close all connections in one moment."""
        self.assertFalse(self.list_sets())
        self.instance.pass_time(runner_watch.OPENING_SPREAD_SECONDS)
        self.assertEqual(list(range(1, 5)), list(map(len, self.list_sets())))

    def test_refused_reopening_is_a_crash(self) -> None:
        """Guard against waiting until streams have been silent."""
        self.open()
        self.end(relay_events.WatchEnd.LOST)
        self.assertFalse(self.list_reports())
        self.end(relay_events.WatchEnd.REFUSED)
        report = self.list_reports()[0]
        self.assertEqual(OTHER.peers, report.address)
        self.assertEqual('crashed', report.call.faults[0].kind)
        runner = self.instance.state.runners['m2']
        self.assertGreater(runner.excluded_until, self.instance.now)

    def test_accepted_reopening_is_no_crash(self) -> None:
        """Guard against excluding a runner that has closed an idle connection."""
        self.open()
        set_count = len(self.list_sets())
        self.end(relay_events.WatchEnd.LOST)
        self.assertIn(self.address, self.list_sets()[set_count])
        self.instance.emit_event(relay_events.WatchOpened, address=self.address)
        self.instance.pass_time(5.0)
        self.assertEqual(set_count + 1, len(self.list_sets()))
        self.assertFalse(self.list_reports())

    def test_failed_reopening_is_inconclusive(self) -> None:
        """Guard against a link of one instance that blames a runner."""
        self.open()
        self.end(relay_events.WatchEnd.LOST)
        self.end(relay_events.WatchEnd.FAILED)
        self.assertFalse(self.list_reports())

    def test_first_opening_refused_is_inconclusive(self) -> None:
        """Guard against blaming a process that does not listen yet."""
        self.instance.pass_time(runner_watch.OPENING_SPREAD_SECONDS)
        self.end(relay_events.WatchEnd.REFUSED)
        self.assertFalse(self.list_reports())

    def test_openings_in_vain_are_few(self) -> None:
        """Guard against spinning where each connection is closed at once."""
        self.open(0.01)
        before = len(self.list_sets())
        for _ in range(600):
            if self.address in self.list_sets()[-1]:
                self.instance.emit_event(
                    relay_events.WatchOpened, address=self.address
                )
                self.end(relay_events.WatchEnd.LOST)
                # The edge has no connection until it is named again.
                self.instance.others.append(
                    relay_effects.WatchAddresses(frozenset())
                )
            self.instance.pass_time(0.1)
        openings = self.list_sets()[before:]
        self.assertLess(sum(self.address in item for item in openings), 12)

    def test_runner_that_drains_is_not_watched(self) -> None:
        """Guard against taking a graceful stop for a crash."""
        self.open()
        entry = self.instance.state.runners['m2'].listed
        draining = dataclasses.replace(
            entry, state=runners.ListedState.DRAINING
        )
        self.instance.list_runners((*relay_states.TWO_CHAINS, draining))
        self.end(relay_events.WatchEnd.LOST)
        self.end(relay_events.WatchEnd.REFUSED)
        self.assertFalse(self.list_reports())
        self.check()
        self.assertNotIn(self.address, self.instance.state.watches)

    def test_zone_without_a_reader(self) -> None:
        """Guard against runners that nobody or everybody watches."""
        zone_c = tuple(
            relay_states.build_model_runner(
                f'm{number}', 0, 80, availability_zone='zone-c'
            )
            for number in range(20, 40)
        )
        self.instance.list_runners((*relay_states.TWO_CHAINS, *zone_c))
        watched = runner_watch.choose_watched(self.instance.state)
        self.assertIn(len(watched), range(5, 24))


class Told(unittest.TestCase):
    """An instance acts on faults that another one has found."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()
        self.instance.receive_request('r1', '/model/x')
        self.send_id = self.instance.start_send()
        self.instance.deliver_answer(
            self.send_id, relay_states.build_head(), EVENT
        )
        self.first, self.second = self.instance.sends[0].request.chain

    def tell(self, *faults: calls.ReportedFault) -> None:
        """Deliver a report."""
        self.instance.emit_event(
            events.CallerRequested,
            request_id=f'report-{len(self.instance.replies)}',
            request=calls.ReportFaults(faults),
        )

    def list_moves(self) -> list[calls.MoveRequest]:
        """Return the orders to move."""
        return [
            call.call for call in self.instance.list_calls(calls.MoveRequest)
        ]

    def test_crash_moves_streams_once(self) -> None:
        """Guard against streams that pause until they are silent."""
        self.tell(build_report(self.second.runner_id))
        self.tell(build_report(self.second.runner_id, age_seconds=0.2))
        self.assertEqual(1, len(self.list_moves()))
        self.assertEqual(1, len(self.instance.sends))
        self.instance.pass_time(peer_feed.FAULT_TELLING_SECONDS)
        self.assertFalse(self.instance.list_calls(calls.ReportFaults))
        runner = self.instance.state.runners[self.second.runner_id]
        self.assertLess(self.instance.now + 1.9, runner.excluded_until)
        self.assertLess(self.instance.now + 3.9, runner.deprioritized_until)

    def test_crash_of_the_first_runner(self) -> None:
        """Guard against a second send beside the one that the reset causes."""
        self.tell(build_report(self.first.runner_id))
        self.assertEqual(1, len(self.instance.sends))
        self.instance.fail_send(self.send_id)
        self.assertEqual(2, len(self.instance.sends))

    def test_substitute_that_crashes_too(self) -> None:
        """Guard against a move to a runner that crashes meanwhile."""
        spare = relay_states.build_model_runner('m9', 40, 80)
        self.instance.list_runners((*relay_states.TWO_CHAINS, spare))
        self.tell(build_report(self.second.runner_id))
        substitute = self.list_moves()[0].chain[1].runner_id
        self.tell(build_report(substitute))
        self.instance.emit_event(
            events.CallAnswered,
            call=self.list_moves()[0],
            address='',
            answer=calls.OrderAnswer(calls.OrderVerdict.ACCEPTED),
        )
        left = {self.second.runner_id, substitute}
        self.assertNotIn(self.list_moves()[1].chain[1].runner_id, left)

    def test_send_that_was_not_written(self) -> None:
        """Guard against writing a request whose chain has crashed."""
        self.instance.receive_request('r2', '/model/x')
        chain = self.instance.sends[-1].request.chain
        self.tell(build_report(chain[1].runner_id))
        self.assertIn(
            self.instance.sends[1].send_id, self.instance.aborted_send_ids
        )
        self.assertEqual(3, len(self.instance.sends))

    def test_process_that_is_back(self) -> None:
        """Guard against excluding a new process for the fault of the old."""
        name = self.second.runner_id
        entry = self.instance.state.runners[name].listed
        restarted = dataclasses.replace(entry, started_at_ms=2)
        self.instance.list_runners((*relay_states.TWO_CHAINS, restarted))
        self.instance.pass_time(0.1)
        self.tell(build_report(name))
        self.assertFalse(self.instance.state.runners[name].excluded_until)
        self.assertEqual(1, len(self.list_moves()))

    def test_late_report(self) -> None:
        """Guard against a fault that counts from when it is told."""
        self.tell(build_report(self.second.runner_id, age_seconds=9.0))
        self.assertFalse(self.list_moves())

    def test_stall_moves_only_silent_streams(self) -> None:
        """Guard against moving streams that a slow runner still serves."""
        name = self.second.runner_id
        self.tell(build_report(name, 'stalled'))
        self.instance.pass_time(0.05)
        self.instance.deliver_chunks(self.send_id, b'id: 2\n\n')
        self.instance.pass_time(0.06)
        self.assertFalse(self.list_moves())
        runner = self.instance.state.runners[name]
        self.assertFalse(runner.excluded_until)
        self.assertGreater(runner.deprioritized_until, self.instance.now)

    def test_stall_moves_silent_streams(self) -> None:
        """Guard against waiting for the report of a stream's own runner."""
        self.tell(build_report(self.second.runner_id, 'stalled'))
        self.instance.pass_time(0.11)
        self.assertEqual(1, len(self.list_moves()))

    def test_own_stall_after_a_told_one(self) -> None:
        """Guard against a stalled runner that is chosen as a substitute."""
        name = self.second.runner_id
        self.tell(build_report(name, 'stalled'))
        self.instance.emit_event(
            events.CallAnswered,
            call=calls.ProbeRunner(self.first.runner_id),
            address='',
            answer=calls.RunnerReport(
                1,
                False,
                stalled=(calls.StalledRequest('a-r1', self.second.address),),
            ),
        )
        runner = self.instance.state.runners[name]
        self.assertGreater(runner.excluded_until, self.instance.now)

    def test_own_stall_is_told(self) -> None:
        """Guard against a fault that each instance has to find."""
        self.instance.state = dataclasses.replace(
            self.instance.state,
            members=members.MemberState(
                readers=members.GroupState(listed=(OTHER,))
            ),
        )
        self.instance.emit_event(
            events.CallAnswered,
            call=calls.ProbeRunner(self.first.runner_id),
            address='',
            answer=calls.RunnerReport(
                1,
                False,
                stalled=(calls.StalledRequest('a-r1', self.second.address),),
            ),
        )
        self.instance.pass_time(peer_feed.FAULT_TELLING_SECONDS)
        report = self.instance.list_calls(calls.ReportFaults)[0].call
        self.assertEqual('stalled', report.faults[0].kind)
        self.assertEqual(1, len(self.list_moves()))

    def test_failed_report_changes_nothing(self) -> None:
        """Guard against an event without a handler when a reader is lost."""
        before = self.instance.state
        self.instance.emit_event(
            events.CallFailed,
            call=calls.ReportFaults(()),
            address='',
            failure=events.Failure(events.FailureKind.TIMED_OUT, True),
        )
        self.assertEqual(before, self.instance.state)


class Followers(unittest.TestCase):
    """A reader answers its followers with new faults at once."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()

    def follow(self, request_id: str, position: int | None) -> None:
        """Let a follower wait."""
        call = calls.FollowPeer(1, 1, 0, fault_position=position)
        self.instance.ask(request_id, call)

    def tell(self) -> None:
        """Deliver a report of a crash, and let the followers be told."""
        self.instance.ask('report', calls.ReportFaults((build_report('m2'),)))
        self.instance.pass_time(peer_feed.FAULT_TELLING_SECONDS)

    def test_waiting_follower_is_told(self) -> None:
        """Guard against a fault that waits for the next read of the list."""
        self.follow('f1', 0)
        self.tell()
        update = self.instance.replies['f1']
        self.assertEqual(['m2'], [fault.runner_id for fault in update.faults])

    def test_follower_that_asks_again(self) -> None:
        """Guard against faults missed between two requests, and told twice."""
        self.tell()
        self.follow('f1', 0)
        self.instance.pass_time(peer_feed.FAULT_TELLING_SECONDS)
        position = self.instance.replies['f1'].fault_position
        self.follow('f2', position)
        self.instance.pass_time(0.1)
        self.assertNotIn('f2', self.instance.replies)

    def test_follower_of_an_earlier_release(self) -> None:
        """Guard against answering one without end that cannot be told."""
        self.follow('f1', None)
        self.tell()
        self.assertNotIn('f1', self.instance.replies)
