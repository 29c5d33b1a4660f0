"""Test that requests which crash runners after their first event are refused.

Such a request looks like a sound stream that was cut: it had begun to write,
and other streams on the same runner were cut with it.
"""

import dataclasses
import unittest

from bench import instance_groups
from mustardvale.internal import events
from mustardvale.internal.relay import (
    calls,
    crash_records,
    crash_reports,
    crash_sharing,
    fault_moves,
    fault_reports,
    moves,
    repeated_requests,
)
from tests import (
    relay_states,
    test_relay_harmful_prompts,
    test_relay_harmful_requests,
)

HARMFUL, BYSTANDER = 'request:harmful', 'request:bystander'
PATH = '/model/x'
SITES = ((6, 3), (58, 3), (195, 5))
COMPLETED_NEVER = crash_records.BegunParts()


def build_loss(
    fingerprint: str, arrival: str, account: str = 'ann'
) -> crash_records.LostRequest:
    """Return a request that a crash has cut."""
    return crash_records.LostRequest(account, (fingerprint,), arrival)


def build_crash(
    number: int, *lost: crash_records.LostRequest, at: float | None = None
) -> crash_records.Crash:
    """Return the crash of one process, by default a second after another."""
    crashed_at = 100.0 + number if at is None else at
    return crash_records.Crash(f'm{number}/1', crashed_at, (), lost)


def list_blamed(
    *crashes: crash_records.Crash,
    completed: crash_records.BegunParts = COMPLETED_NEVER,
) -> list[set[str]]:
    """Return the fingerprints that are refused because of crashes."""
    return [
        set(block.parts)
        for block in repeated_requests.find_blocks(crashes, completed)
    ]


class Conclusions(unittest.TestCase):
    """The request that comes again to each crash is found, and no other."""

    def test_three_crashes_by_two_requests_name_it(self) -> None:
        """Guard against a request that is never told from sound streams."""
        crashes = [
            build_crash(1, build_loss(HARMFUL, 'a1')),
            build_crash(2, build_loss(HARMFUL, 'a1')),
            build_crash(3, build_loss(HARMFUL, 'a2')),
        ]
        self.assertEqual([], list_blamed(*crashes[:2]))
        self.assertEqual([{HARMFUL}], list_blamed(*crashes))

    def test_one_stream_is_not_blamed_in_a_roll(self) -> None:
        """Guard against blame for a sound stream that meets many crashes."""
        crashes = [
            build_crash(number, build_loss(HARMFUL, 'a1'))
            for number in range(8)
        ]
        self.assertEqual([], list_blamed(*crashes))

    def test_runners_lost_at_the_same_moment_count_once(self) -> None:
        """Guard against blame for a request that is asked for often."""
        crashes = [
            build_crash(number, build_loss(HARMFUL, f'a{number}'), at=100.0)
            for number in range(8)
        ]
        self.assertEqual([], list_blamed(*crashes))

    def test_whole_answer_voids_the_evidence(self) -> None:
        """Guard against blame for a request that has been served since."""
        crashes = [
            build_crash(number, build_loss(HARMFUL, f'a{number}'))
            for number in range(4)
        ]
        completed = crash_records.record_begun(
            COMPLETED_NEVER, (HARMFUL,), 102.5
        )
        self.assertEqual([], list_blamed(*crashes, completed=completed))

    def test_bystander_is_not_blamed(self) -> None:
        """Guard against blame for a stream beside the harmful request."""
        crashes = [
            build_crash(
                number,
                build_loss(HARMFUL, f'a{number}'),
                build_loss(BYSTANDER, f'b{number}'),
            )
            for number in range(3)
        ]
        self.assertEqual([], list_blamed(*crashes))
        fourth = build_crash(4, build_loss(HARMFUL, 'a4'))
        self.assertEqual([{HARMFUL}], list_blamed(*crashes, fourth))

    def test_two_harmful_requests_are_both_found(self) -> None:
        """Guard against one harmful request that hides another one."""
        crashes = [
            build_crash(number, build_loss(name, f'a{number}'))
            for number, name in enumerate((HARMFUL, BYSTANDER) * 3)
        ]
        self.assertCountEqual([{HARMFUL}, {BYSTANDER}], list_blamed(*crashes))

    def test_each_further_crash_doubles_the_refusal(self) -> None:
        """Guard against trials that crash a runner every few seconds."""
        crashes = [
            build_crash(number, build_loss(HARMFUL, f'a{number}'))
            for number in range(4)
        ]
        seconds = [
            repeated_requests.find_blocks(
                tuple(crashes[:count]), COMPLETED_NEVER
            )[0].blocked_until
            - crashes[count - 1].crashed_at
            for count in (3, 4)
        ]
        self.assertEqual(seconds[1], 2 * seconds[0])


class RepeatedStreams(test_relay_harmful_requests.RepeatedRequests):
    """A stream crashes its runners some events after it has begun."""

    def crash_after(self, event_count: int) -> None:
        """Crash the runner of the last send after some events."""
        send_id = self.instance.start_send()
        request_id = self.instance.state.request_ids_by_send[send_id]
        exchange = self.instance.state.exchanges[request_id]
        first = (exchange.last_event_id or 0) + 1
        self.instance.deliver_answer(send_id, relay_states.build_head())
        for number in range(first, first + event_count):
            self.instance.deliver_chunks(
                send_id, b'id: %d\ndata: x\n\n' % number
            )
        self.crash_runner(send_id)

    def pass_exclusion(self) -> None:
        """Let the exclusion of crashed runners end."""
        self.instance.pass_time(moves.FAULT_EXCLUSION_SECONDS)
        self.instance.configure(self.instance.state.configuration.active)

    def is_open(self) -> bool:
        """Return whether the last send was not aborted."""
        send_id = self.instance.sends[-1].send_id
        return send_id not in self.instance.aborted_send_ids

    def repeat(
        self, event_counts: tuple[int, ...], body: bytes = b'harmful'
    ) -> int:
        """Send a request until it is refused; return how many runners crash.

        Each send crashes its runner after the next of `event_counts`.
        """
        crash_count = 0
        for _ in range(8):
            sent = len(self.instance.sends)
            if self.is_rejected(self.ask(PATH, body)):
                return crash_count
            while len(self.instance.sends) > sent and self.is_open():
                sent = len(self.instance.sends)
                self.crash_after(event_counts[crash_count % len(event_counts)])
                crash_count += 1
            self.instance.pass_time(1.0)
        self.fail('the request was never refused')

    def test_crash_after_some_events(self) -> None:
        """Guard against crashes without end by one repeated request."""
        for event_count in (1, 2, 20):
            with self.subTest(event_count=event_count):
                self.setUp()
                self.assertLessEqual(self.repeat((event_count,)), 4)

    def test_crash_after_another_number_of_events_each_time(self) -> None:
        """Guard against evidence for one form of the crash only."""
        self.assertLessEqual(self.repeat((3, 0, 20, 1)), 4)

    def test_resumed_stream_is_not_sent_to_a_fourth_runner(self) -> None:
        """Guard against a stream that crashes the runner it is resumed at."""
        self.repeat((1,))
        self.assertFalse(
            [
                exchange
                for exchange in self.instance.state.exchanges.values()
                if exchange.attempts
            ]
        )

    def test_sound_streams_are_not_blamed(self) -> None:
        """Guard against refusals of the streams that were cut beside it."""
        for _ in range(2):
            self.ask(PATH, b'sound')
            self.crash_after(5)
            send_id = self.instance.start_send()
            self.instance.deliver_answer(
                send_id,
                relay_states.build_head(),
                b'id: 6\ndata: x\n\n',
            )
            self.instance.end_answer(send_id)
            self.instance.pass_time(1.0)
        self.pass_exclusion()
        self.repeat((1,))
        self.pass_exclusion()
        sent = len(self.instance.sends)
        self.ask(PATH, b'sound')
        self.assertEqual(sent + 1, len(self.instance.sends))

    def test_killed_runner_is_told_to_nobody(self) -> None:
        """Guard against reports of all streams that a crash has cut."""
        reports = len(self.instance.list_calls(calls.ReportCrashes))
        for number in range(20):
            self.ask(PATH, b'%d' % number)
            send_id = self.instance.start_send()
            self.instance.deliver_answer(
                send_id, relay_states.build_head(), b'id: 1\ndata: x\n\n'
            )
        runner_id = self.instance.sends[-1].request.runner_id
        self.instance.state = fault_moves.handle_faults(
            (self.build_fault(runner_id),),
            fault_reports.FaultOrigin.WATCHED,
            self.instance.now,
            self.instance.state,
        ).state
        self.assertTrue(self.instance.state.crashes.losses)
        self.assertFalse(self.instance.state.crashes.crashes)
        self.assertEqual(
            reports, len(self.instance.list_calls(calls.ReportCrashes))
        )

    def build_fault(self, runner_id: str) -> fault_reports.Fault:
        """Return the crash of the listed process of a runner."""
        listed = self.instance.state.runners[runner_id].listed
        return fault_reports.Fault(
            runner_id,
            listed.started_at_ms,
            fault_reports.FaultKind.CRASHED,
            self.instance.now,
        )

    def restart(self, runner_id: str) -> None:
        """List a new process of a runner."""
        self.instance.list_runners(
            tuple(
                dataclasses.replace(
                    runner.listed, started_at_ms=int(self.instance.now * 1000)
                )
                if name == runner_id
                else runner.listed
                for name, runner in self.instance.state.runners.items()
            )
        )

    def test_crash_of_a_later_runner_of_the_chain(self) -> None:
        """Guard against evidence from the first runner of a chain only."""
        for _ in range(3):
            self.ask(PATH, b'harmful')
            send_id = self.instance.start_send()
            self.instance.deliver_answer(
                send_id, relay_states.build_head(), b'id: 1\ndata: x\n\n'
            )
            chain = self.instance.sends[-1].request.chain
            transition = fault_moves.handle_faults(
                (self.build_fault(chain[-1].runner_id),),
                fault_reports.FaultOrigin.WATCHED,
                self.instance.now,
                self.instance.state,
            )
            self.instance.state = transition.state
            self.restart(chain[-1].runner_id)
            self.instance.pass_time(1.0)
        self.assertTrue(self.is_rejected(self.ask(PATH, b'harmful')))

    def test_loss_at_a_runner_that_has_not_crashed(self) -> None:
        """Guard against a report of a crash that names no process."""
        for _ in range(2):
            self.ask(PATH, b'sound')
            send_id = self.instance.start_send()
            self.instance.fail_send(send_id)
            second = self.instance.start_send()
            self.instance.fail_send(second)
        checks = self.instance.list_calls(calls.CheckRunner)
        self.instance.emit_event(
            events.CallFailed,
            call=checks[0].call,
            address=checks[0].address,
            failure=events.Failure(events.FailureKind.REFUSED, False),
        )
        crashes = self.instance.state.crashes.crashes
        self.assertNotIn('', {crash.process for crash in crashes})

    def test_runner_that_leaves_is_no_evidence(self) -> None:
        """Guard against blame for streams that a planned exit has cut."""
        for number in range(4):
            self.ask(PATH, b'sound')
            runner_id = self.instance.sends[-1].request.runner_id
            self.instance.state = dataclasses.replace(
                self.instance.state,
                runners=self.instance.state.runners.set(
                    runner_id,
                    dataclasses.replace(
                        self.instance.state.runners[runner_id], is_leaving=True
                    ),
                ),
            )
            self.crash_after(1)
            self.instance.pass_time(1.0)
        self.assertFalse(self.instance.state.crashes.losses)

    def test_trial_lasts_until_its_answer_is_whole(self) -> None:
        """Guard against further trials once the first one has an event."""
        self.repeat((1,))
        self.instance.pass_time(2 * crash_records.INITIAL_BLOCK_SECONDS)
        self.instance.configure(self.instance.state.configuration.active)
        sent = len(self.instance.sends)
        self.ask(PATH, b'harmful')
        self.assertEqual(sent + 1, len(self.instance.sends))
        send_id = self.instance.start_send()
        self.instance.deliver_answer(
            send_id, relay_states.build_head(), b'id: 1\ndata: x\n\n'
        )
        self.assertTrue(self.is_rejected(self.ask(PATH, b'harmful')))
        self.instance.end_answer(send_id)
        self.ask(PATH, b'harmful')
        self.assertEqual(sent + 2, len(self.instance.sends))


class PlainAnswers(test_relay_harmful_requests.RepeatedRequests):
    """A request to a plain service crashes its runner within its answer."""

    def test_answer_that_is_cut_each_time(self) -> None:
        """Guard against crashes without end after a head and a part."""
        for _ in range(crash_records.MAXIMUM_CRASHES):
            sent = len(self.instance.sends)
            if self.is_rejected(self.ask('/write/x')):
                break
            self.assertEqual(sent + 1, len(self.instance.sends))
            send_id = self.instance.start_send()
            self.instance.deliver_answer(
                send_id, relay_states.build_head(), b'half'
            )
            self.crash_runner(send_id)
        self.assertLessEqual(len(self.instance.sends), 3)


class SharedEvidence(unittest.TestCase):
    """All instances of a site refuse a request that some have seen crash."""

    def test_crashes_at_different_instances(self) -> None:
        """Guard against three crashes for each instance of a site."""
        for instance_count, zone_count in SITES:
            with self.subTest(instance_count=instance_count):
                group = instance_groups.Group(instance_count, zone_count)
                for number in (1, 2, 3):
                    crash = build_crash(
                        number,
                        build_loss(HARMFUL, f'a{number}'),
                        at=group.now,
                    )
                    group.apply(
                        group.names[-number],
                        lambda state, crash=crash, now=group.now: (
                            crash_sharing.record_crashes((crash,), now, state)
                        ),
                    )
                    group.now += 1
                self.assertEqual(instance_count, group.count_blocking())

    def test_whole_answer_is_told_to_all(self) -> None:
        """Guard against a refusal that one instance knows to be wrong."""
        group = instance_groups.Group(6, 3)
        for number in (1, 2, 3):
            crash = build_crash(
                number, build_loss(HARMFUL, f'a{number}'), at=group.now
            )
            group.apply(
                group.names[0],
                lambda state, crash=crash, now=group.now: (
                    crash_sharing.record_crashes((crash,), now, state)
                ),
            )
            group.now += 1
        group.apply(
            group.names[-1],
            lambda state: crash_sharing.record_completed(
                frozenset((HARMFUL,)), group.now, state
            ),
        )
        self.assertEqual(0, group.count_blocking())

    def test_reports_in_any_order_lead_to_the_same_evidence(self) -> None:
        """Guard against instances that differ for good."""
        crashes = tuple(
            build_crash(1, *(build_loss(f'request:{n}', f'a{n}') for n in part))
            for part in (range(10), range(5, 20), range(15, 30))
        )
        merged = set()
        for order in (crashes, crashes[::-1]):
            kept: tuple[crash_records.Crash, ...] = ()
            for crash in order:
                kept = crash_records.merge_crash(kept, crash)
            merged.add(kept)
        self.assertEqual(1, len(merged))

    def test_report_of_an_earlier_release(self) -> None:
        """Guard against evidence that an earlier release does not send."""
        report = calls.ReportCrashes(
            7, (calls.ReportedCrash('m1/1', 1.0, ()),), ()
        )
        instance = relay_states.Instance()
        merged = crash_reports.merge_report(
            instance.state.crashes, report, instance.now
        )
        self.assertEqual((), merged.crashes)


class SoundStreams(test_relay_harmful_prompts.CrashingSite):
    """A stream whose runner crashes is resumed as before."""

    def end_resumed(self) -> None:
        """Deliver the rest of the last stream at its second runner."""
        send_id = self.instance.start_send()
        self.instance.deliver_answer(
            send_id, relay_states.build_head(), b'id: 2\ndata: x\n\n'
        )
        self.instance.end_answer(send_id)

    def test_stream_is_resumed_after_a_crash(self) -> None:
        """Guard against streams that wait for the check of their runner."""
        self.send('common')
        self.begin()
        self.instance.fail_send(self.instance.sends[-1].send_id)
        self.assertEqual(2, len(self.instance.sends))

    def test_check_blames_no_stream(self) -> None:
        """Guard against blame for streams that only ran on the runner."""
        for _ in range(4):
            self.send('common')
            self.begin()
            self.crash_runner(self.instance.sends[-1].send_id)
            self.end_resumed()
        self.assertFalse(self.instance.list_calls(calls.ReportCrashes))
        self.assertFalse(self.instance.state.crashes.suspected_repeats)
        self.assertFalse(self.instance.state.crashes.suspected)
        self.assertFalse(self.instance.state.crashes.blocks)

    def test_runner_that_accepts_connections_has_not_crashed(self) -> None:
        """Guard against evidence from connections that were reset."""
        self.send('common')
        self.begin()
        self.instance.fail_send(self.instance.sends[-1].send_id)
        (check,) = self.instance.list_calls(calls.CheckRunner)
        self.instance.emit_event(
            events.CallAnswered,
            call=check.call,
            address=check.address,
            answer=None,
        )
        self.assertFalse(self.instance.state.crashes.unconfirmed)
        (losses,) = self.instance.state.crashes.losses.values()
        self.assertEqual('', losses[0].crashed)
