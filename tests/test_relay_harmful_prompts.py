"""Test that prompts with a part that crashes runners are found and refused."""

import dataclasses
import itertools
import unittest

import hypothesis
import immutables
from hypothesis import strategies

from bench import instance_groups
from mustardvale.internal import events
from mustardvale.internal.edge import peer_feed_codec, relay_wire, wire
from mustardvale.internal.relay import (
    calls,
    configuration,
    crash_evidence,
    crash_records,
    crash_reports,
    crash_tracking,
    crash_sharing,
    members,
    requests,
    timers,
)
from mustardvale.platform import call_codec, front_codec
from tests import relay_states

HARMFUL = 'bad'
COMMON = 'system'
FOUR_CHAINS = (
    relay_states.build_model_runner('m1', 0, 40),
    relay_states.build_model_runner('m2', 40, 80),
    relay_states.build_model_runner('m3', 0, 40),
    relay_states.build_model_runner('m4', 40, 80),
    relay_states.build_model_runner('m5', 0, 40),
    relay_states.build_model_runner('m6', 0, 40),
)
EVENT = b'id: 1\ndata: x\n\n'


def build_crash(
    number: int,
    *prompts: tuple[str, ...],
    crashed_at: float | None = None,
    account: str = 'ann',
) -> crash_records.Crash:
    """Return a crash with one request for each prompt, by default in turn."""
    return crash_records.Crash(
        f'm{number}/1',
        100.0 + number if crashed_at is None else crashed_at,
        tuple(
            crash_records.CrashedRequest(account, parts) for parts in prompts
        ),
    )


def know(*parts: str, at: float = 99.0) -> crash_records.BegunParts:
    """Return that requests with some parts have begun to write at a time."""
    begun = crash_records.BegunParts()
    return crash_records.record_begun(begun, parts, at)


def list_blocked(
    begun: crash_records.BegunParts, *crashes: crash_records.Crash
) -> list[set[str]]:
    """Return the combinations of parts that evidence has refused."""
    return [
        set(block.parts) for block in crash_evidence.find_blocks(crashes, begun)
    ]


class Conclusions(unittest.TestCase):
    """The part that crashes have in common is found, and no other."""

    def test_two_crashes_name_the_part(self) -> None:
        """Guard against harmful requests that crash runner after runner."""
        blocked = list_blocked(
            know(COMMON, 'other'),
            build_crash(1, (COMMON, HARMFUL), ('other',)),
            build_crash(2, ('other', HARMFUL)),
        )
        self.assertEqual(blocked, [{HARMFUL}])

    def test_one_crash_names_no_part(self) -> None:
        """Guard against refusals because one runner has crashed."""
        blocked = list_blocked(know(), build_crash(1, (HARMFUL,)))
        self.assertEqual(blocked, [])

    def test_part_that_has_begun_is_not_blamed(self) -> None:
        """Guard against refusals of a part that others use without harm."""
        blocked = list_blocked(
            know(COMMON, at=101.5),
            build_crash(1, (COMMON,)),
            build_crash(2, (COMMON,)),
        )
        self.assertEqual(blocked, [])

    def test_known_part_needs_a_third_crash(self) -> None:
        """Guard against a common part that is blamed for nearby crashes."""
        crashes = [build_crash(number, (COMMON,)) for number in (1, 2, 3)]
        self.assertEqual(list_blocked(know(COMMON), *crashes[:2]), [])
        self.assertEqual(list_blocked(know(COMMON), *crashes), [{COMMON}])

    def test_crashes_are_explained_once(self) -> None:
        """Guard against sound parts that share the prompts of a harmful one."""
        crashes = [
            build_crash(number, (COMMON, HARMFUL)) for number in range(5)
        ]
        self.assertEqual(list_blocked(know(COMMON), *crashes), [{HARMFUL}])

    def test_parts_that_come_together_are_refused_together(self) -> None:
        """Guard against a refusal of all that shares an unknown first part."""
        crashes = [build_crash(number, (COMMON, HARMFUL)) for number in (1, 2)]
        self.assertEqual(list_blocked(know(), *crashes), [{COMMON, HARMFUL}])
        another = build_crash(3, ('another', HARMFUL))
        self.assertEqual(list_blocked(know(), *crashes, another), [{HARMFUL}])

    def test_unrelated_parts_wait_for_a_third_crash(self) -> None:
        """Guard against a bystander that was on both crashed runners."""
        crashes = [
            build_crash(number, (HARMFUL,), ('bystander',)) for number in (1, 2)
        ]
        self.assertEqual(list_blocked(know(), *crashes), [])
        third = build_crash(3, (HARMFUL,))
        self.assertEqual(list_blocked(know(), *crashes, third), [{HARMFUL}])

    def test_two_harmful_parts_are_both_found(self) -> None:
        """Guard against a second harmful part that hides behind the first."""
        crashes = [
            build_crash(1, (HARMFUL, COMMON)),
            build_crash(2, (HARMFUL, COMMON)),
            build_crash(3, ('worse', COMMON)),
            build_crash(4, ('worse', COMMON)),
        ]
        blocked = list_blocked(know(COMMON), *crashes)
        self.assertCountEqual(blocked, [{HARMFUL}, {'worse'}])

    def test_runners_lost_at_the_same_moment_count_once(self) -> None:
        """Guard against a part that is blamed for the loss of a rack."""
        crashes = [
            build_crash(number, (COMMON,), crashed_at=100 + number / 1000)
            for number in range(8)
        ]
        self.assertEqual(list_blocked(know(), *crashes), [])

    def test_ambiguous_parts_do_not_hide_a_known_one(self) -> None:
        """Guard against bystanders that keep a harmful part from notice."""
        crashes = [build_crash(1, ('s1',), ('s2',))]
        crashes.append(build_crash(2, ('s1',), ('s2',)))
        crashes += [build_crash(number, (COMMON,)) for number in range(3, 7)]
        self.assertEqual(list_blocked(know(COMMON), *crashes), [{COMMON}])

    def test_bystanders_do_not_explain_many_crashes(self) -> None:
        """Guard against refusals of many sound parts for one harmful one."""
        crashes = [
            build_crash(number, (COMMON,), (f's{number // 2}',))
            for number in range(10)
        ]
        self.assertEqual(list_blocked(know(COMMON), *crashes), [{COMMON}])

    def test_each_further_crash_doubles_the_refusal(self) -> None:
        """Guard against trials that crash a runner every few seconds."""
        crashes = [build_crash(number, (HARMFUL,)) for number in (1, 2, 3)]
        seconds = [
            crash_evidence.find_blocks(tuple(crashes[:count]), know())[
                0
            ].blocked_until
            - crashes[count - 1].crashed_at
            for count in (2, 3)
        ]
        self.assertEqual(seconds[1], 2 * seconds[0])


CRASHES = strategies.lists(
    strategies.builds(
        crash_records.Crash,
        strategies.integers(0, 40).map('m{}/1'.format),
        strategies.floats(0, 1000),
        strategies.lists(
            strategies.builds(
                crash_records.CrashedRequest,
                strategies.sampled_from(('ann', 'bob')),
                strategies.lists(strategies.text(max_size=2), max_size=4).map(
                    tuple
                ),
            ),
            max_size=20,
        ).map(tuple),
    ),
    max_size=50,
)


class Merging(unittest.TestCase):
    """Reports may arrive late, twice and in any order."""

    @hypothesis.given(CRASHES, strategies.randoms(use_true_random=False))
    def test_order_of_reports_does_not_matter(
        self, crashes: list[crash_records.Crash], random: object
    ) -> None:
        """Guard against instances that draw different conclusions."""
        few = crashes[: crash_records.MAXIMUM_CRASHES // 2]
        few = [
            dataclasses.replace(crash, requests=crash.requests[:4])
            for crash in few
        ]
        merged: tuple[crash_records.Crash, ...] = ()
        for crash in few:
            merged = crash_records.merge_crash(merged, crash)
        again = merged
        random.shuffle(few)  # type: ignore[attr-defined]
        for crash in few:
            again = crash_records.merge_crash(again, crash)
        self.assertEqual(merged, again)

    @hypothesis.given(CRASHES)
    def test_evidence_is_bounded(
        self, crashes: list[crash_records.Crash]
    ) -> None:
        """Guard against memory that grows with what callers send."""
        merged: tuple[crash_records.Crash, ...] = ()
        for crash in crashes:
            merged = crash_records.merge_crash(merged, crash)
        self.assertLessEqual(len(merged), crash_records.MAXIMUM_CRASHES)
        for crash in merged:
            self.assertLessEqual(
                len(crash.requests), crash_records.MAXIMUM_REQUESTS_PER_CRASH
            )
        crash_evidence.find_blocks(merged, know())

    def test_known_parts_are_bounded(self) -> None:
        """Guard against memory that grows with the number of parts."""
        begun = crash_records.BegunParts()
        count = 5 * crash_records.MAXIMUM_BEGUN_PARTS
        for number in range(count):
            begun = crash_records.record_begun(begun, (str(number),), number)
        kept = len(begun.recent) + len(begun.older)
        self.assertLessEqual(kept, 2 * crash_records.MAXIMUM_BEGUN_PARTS + 1)
        self.assertEqual(begun.find(str(count - 1)), count - 1)


class CrashingSite(unittest.TestCase):
    """Drive an instance whose runners crash under some requests."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance(FOUR_CHAINS)
        self.instance.state = dataclasses.replace(
            self.instance.state,
            configuration=dataclasses.replace(
                self.instance.state.configuration,
                active=dataclasses.replace(
                    relay_states.CONFIGURATION,
                    tenants_by_key=immutables.Map(
                        {
                            f'key-of-{name}': configuration.Tenant(name, 1)
                            for name in ('ann', 'bob', 'cem', 'dan')
                        }
                    ),
                ),
            ),
        )
        self.numbers = itertools.count()

    def send(self, *parts: str, key: str = relay_states.KEY) -> str:
        """Send a model request whose prompt has some shared parts."""
        name = f'r{next(self.numbers)}'
        self.instance.receive_request(
            name,
            '/model/x',
            api_key=key,
            prompt=requests.Prompt('m', 80, 40, 20, parts),
        )
        return name

    def crash_runner(self, *send_ids: str) -> None:
        """Crash the first runner of the last send, with the sends on it."""
        runner_id = self.instance.sends[-1].request.runner_id
        checks = len(self.instance.list_calls(calls.CheckRunner))
        for send_id in send_ids:
            self.instance.fail_send(send_id)
        for check in self.instance.list_calls(calls.CheckRunner)[checks:]:
            self.instance.emit_event(
                events.CallFailed,
                call=check.call,
                address=check.address,
                failure=events.Failure(events.FailureKind.REFUSED, False),
            )
        listed = tuple(
            dataclasses.replace(
                runner.listed, started_at_ms=int(self.instance.now * 1000)
            )
            if name == runner_id
            else runner.listed
            for name, runner in self.instance.state.runners.items()
        )
        self.instance.pass_time(0.5)
        self.instance.list_runners(listed)

    def crash_twice(self, *parts: str, key: str = relay_states.KEY) -> None:
        """Let a request crash its runner, and the next one after a retry."""
        self.send(*parts, key=key)
        self.crash_runner(self.instance.start_send())
        self.crash_runner(self.instance.start_send())

    def begin(self) -> None:
        """Deliver the first event of the last send."""
        send_id = self.instance.start_send()
        self.instance.deliver_answer(send_id, relay_states.build_head(), EVENT)

    def is_refused(self, name: str) -> bool:
        """Return whether a request was refused because of its prompt."""
        reply = self.instance.replies.get(name)
        return isinstance(reply, requests.Refusal) and (
            reply.code == 'harmful_prompt'
        )


class Refusals(CrashingSite):
    """Requests with a harmful part are refused before they are sent."""

    def test_requests_with_the_part_are_refused_at_once(self) -> None:
        """Guard against harmful requests that reach runners again."""
        self.crash_twice(HARMFUL)
        sent = len(self.instance.sends)
        refused = self.send(HARMFUL, 'more')
        self.assertTrue(self.is_refused(refused))
        self.assertEqual(len(self.instance.sends), sent)
        reply = self.instance.replies[refused]
        self.assertEqual(reply.status, 503)
        self.assertGreater(reply.retry_after_seconds, 1)

    def test_sound_requests_of_the_same_account_are_served(self) -> None:
        """Guard against an account that is shut out for one of its parts."""
        self.send(COMMON)
        self.begin()
        self.crash_twice(COMMON, HARMFUL)
        sound = self.send(COMMON)
        self.assertFalse(self.is_refused(sound))

    def test_open_requests_with_the_part_are_failed(self) -> None:
        """Guard against a crash by a request that was sent before."""
        self.send(HARMFUL)
        first = self.instance.start_send()
        other = self.send(HARMFUL, 'more')
        waiting = self.instance.start_send()
        self.crash_runner(first)
        self.crash_runner(self.instance.start_send())
        self.assertIn(waiting, self.instance.aborted_send_ids)
        self.assertEqual(self.instance.replies[other].status, 502)

    def test_request_is_not_retried_once_its_part_is_known(self) -> None:
        """Guard against a retry that crashes one more runner."""
        self.crash_twice(HARMFUL)
        self.assertEqual(len(self.instance.sends), 2)

    def test_stream_that_has_begun_is_resumed(self) -> None:
        """Guard against a cut of a stream whose part is refused since."""
        self.send(HARMFUL)
        self.begin()
        begun = self.instance.sends[-1].send_id
        blocked = crash_evidence.update_conclusions(
            crash_evidence.CrashState(
                crashes=tuple(
                    build_crash(
                        number,
                        (HARMFUL,),
                        crashed_at=self.instance.now + number,
                    )
                    for number in (1, 2, 3)
                )
            ),
            self.instance.now,
        )
        self.assertTrue(blocked.blocks)
        self.instance.state = dataclasses.replace(
            self.instance.state, crashes=blocked
        )
        self.instance.fail_send(begun)
        self.assertEqual(len(self.instance.sends), 2)

    def test_closed_connection_of_a_sound_runner_is_no_crash(self) -> None:
        """Guard against evidence from runners that only close connections."""
        for _ in range(4):
            self.send(HARMFUL)
            self.instance.fail_send(self.instance.start_send())
            check = self.instance.list_calls(calls.CheckRunner)[-1]
            self.instance.emit_event(
                events.CallAnswered,
                call=check.call,
                address=check.address,
                answer=calls.RunnerReport(0, False),
            )
            self.instance.pass_time(2.0)
        self.assertFalse(self.instance.state.crashes.crashes)
        self.assertFalse(self.instance.state.crashes.unconfirmed)

    def test_check_on_a_broken_connection_is_repeated(self) -> None:
        """Guard against a crash that is missed because of a kept connection."""
        self.send(HARMFUL)
        self.instance.fail_send(self.instance.start_send())
        for kind in (events.FailureKind.CLOSED, events.FailureKind.REFUSED):
            check = self.instance.list_calls(calls.CheckRunner)[-1]
            self.instance.emit_event(
                events.CallFailed,
                call=check.call,
                address=check.address,
                failure=events.Failure(kind, False),
            )
        self.assertEqual(len(self.instance.state.crashes.crashes), 1)

    def test_streams_that_had_begun_are_no_evidence(self) -> None:
        """Guard against blame for streams that only ran on the runner."""
        for _ in range(crash_evidence.STRONG_CRASHES):
            self.send(COMMON)
            self.begin()
            self.crash_runner(self.instance.sends[-1].send_id)
            send_id = self.instance.start_send()
            self.instance.deliver_answer(
                send_id, relay_states.build_head(), b'id: 2\ndata: x\n\n'
            )
            self.instance.end_answer(send_id)
        self.assertFalse(self.instance.state.crashes.suspected)
        self.assertFalse(self.instance.state.crashes.blocks)
        self.assertFalse(self.instance.list_calls(calls.ReportCrashes))


class Holds(CrashingSite):
    """New requests wait until retried ones show which part is harmful."""

    def is_held(self, name: str) -> bool:
        """Return whether a request was refused for a moment."""
        reply = self.instance.replies.get(name)
        return isinstance(reply, requests.Refusal) and (
            reply.code == 'unavailable'
        )

    def crash_once(self) -> None:
        """Let a request with known and unknown parts crash its runner."""
        self.send(COMMON)
        self.begin()
        self.send(COMMON, HARMFUL)
        self.crash_runner(self.instance.start_send())

    def test_new_requests_do_not_crash_a_third_runner(self) -> None:
        """Guard against a crash by each request that arrives meanwhile."""
        self.crash_once()
        held = self.send(HARMFUL)
        self.assertTrue(self.is_held(held))
        self.assertLessEqual(
            self.instance.replies[held].retry_after_seconds,
            crash_evidence.HOLD_SECONDS,
        )

    def test_crashed_request_is_retried(self) -> None:
        """Guard against a hold that nothing ends."""
        self.crash_once()
        self.assertEqual(len(self.instance.sends), 3)

    def test_known_parts_are_not_held(self) -> None:
        """Guard against sound requests that wait after each crash."""
        self.crash_once()
        self.assertFalse(self.is_held(self.send(COMMON)))

    def test_hold_ends_with_the_first_event(self) -> None:
        """Guard against a hold of a part that is harmless."""
        self.crash_once()
        self.begin()
        self.assertFalse(self.is_held(self.send(HARMFUL)))

    def test_hold_ends_with_time(self) -> None:
        """Guard against a hold that outlives the retried requests."""
        self.crash_once()
        self.instance.pass_time(crash_evidence.HOLD_SECONDS)
        self.assertFalse(self.is_held(self.send(HARMFUL)))


class Accounts(CrashingSite):
    """An account cannot have the requests of another one refused."""

    def test_one_account_shuts_out_only_itself(self) -> None:
        """Guard against a caller that crashes runners with others' parts."""
        self.crash_twice(COMMON)
        self.assertTrue(self.is_refused(self.send(COMMON)))
        self.assertFalse(self.is_refused(self.send(COMMON, key='key-of-bob')))

    def test_part_that_several_accounts_crash_with_is_refused_to_all(
        self,
    ) -> None:
        """Guard against as many crashes as there are accounts."""
        self.crash_twice(HARMFUL)
        for key in ('key-of-bob', 'key-of-cem'):
            self.assertFalse(self.is_refused(self.send(HARMFUL, key=key)))
            self.crash_runner(self.instance.start_send())
        self.assertTrue(self.is_refused(self.send(HARMFUL)))
        self.assertTrue(self.is_refused(self.send(HARMFUL, key='key-of-dan')))

    def test_bystander_of_another_account_shuts_out_no_third_one(self) -> None:
        """Guard against one account that has all others refused."""
        crashes = tuple(
            build_crash(number, (COMMON, f'bad-{number}'))
            for number in (1, 2, 3)
        )
        bystander = build_crash(3, (COMMON,), account='bob')
        merged = crash_records.merge_crash(crashes, bystander)
        (block,) = crash_evidence.find_blocks(merged, know())
        self.assertTrue(block.covers('ann', {COMMON}))
        self.assertFalse(block.covers('cem', {COMMON}))


class Trials(CrashingSite):
    """A refusal ends by a trial, so that no part is refused for ever."""

    def setUp(self) -> None:
        super().setUp()
        self.crash_twice(HARMFUL)
        self.instance.pass_time(crash_records.INITIAL_BLOCK_SECONDS)

    def confirm(self) -> None:
        """Confirm the configuration, which keys need."""
        self.instance.configure(self.instance.state.configuration.active)

    def test_one_request_is_tried_at_a_time(self) -> None:
        """Guard against several crashes when a refusal ends."""
        self.confirm()
        tried = self.send(HARMFUL)
        self.assertFalse(self.is_refused(tried))
        self.assertTrue(self.is_refused(self.send(HARMFUL)))

    def test_trial_is_not_sent_to_a_second_runner(self) -> None:
        """Guard against two crashes by one trial."""
        self.confirm()
        self.send(HARMFUL)
        sent = len(self.instance.sends)
        self.instance.fail_send(self.instance.start_send())
        self.assertEqual(len(self.instance.sends), sent)

    def test_part_that_begins_is_not_refused_any_more(self) -> None:
        """Guard against a part that was blamed wrongly and stays refused."""
        self.confirm()
        self.send(HARMFUL)
        self.begin()
        self.assertFalse(self.instance.state.crashes.blocks)
        self.assertFalse(self.is_refused(self.send(HARMFUL)))

    def test_crash_of_a_trial_extends_the_refusal(self) -> None:
        """Guard against a trial after each refusal of the same length."""
        self.confirm()
        self.send(HARMFUL)
        self.crash_runner(self.instance.start_send())
        block = self.instance.state.crashes.blocks[0]
        self.assertEqual(block.crash_count, 3)
        remaining = block.blocked_until - self.instance.now
        self.assertGreater(remaining, crash_records.INITIAL_BLOCK_SECONDS)

    def test_instances_try_in_turn(self) -> None:
        """Guard against a trial by each instance at the same time."""
        others = tuple(
            members.Member(name, f'{name}:80', 'zone-b', 'region', f'{name}:84')
            for name in ('entry-0', 'entry-00')
        )
        self.instance.state = dataclasses.replace(
            self.instance.state,
            members=members.MemberState(
                zone=members.GroupState(listed_generation=1),
                readers=members.GroupState(listed_generation=1, listed=others),
            ),
        )
        self.confirm()
        self.assertTrue(self.is_refused(self.send(HARMFUL)))
        self.instance.pass_time(2.0)
        self.confirm()
        self.assertFalse(self.is_refused(self.send(HARMFUL)))


class SharedEvidence(unittest.TestCase):
    """All instances of a site refuse the part that crashes of any name."""

    def crash(
        self, group: instance_groups.Group, name: str, number: int
    ) -> None:
        """Let one instance see a runner crash under a harmful request."""
        request = crash_records.CrashedRequest('ann', (COMMON, HARMFUL))
        group.apply(
            name,
            lambda state: crash_sharing.record_crash(
                f'm{number}/1', (request,), group.now, state
            ),
        )
        group.now += 1

    def know_common(self, group: instance_groups.Group) -> None:
        """Let one reader have seen the common part begin."""
        name = group.names[0]
        group.states[name] = crash_sharing.replace_crashes(
            group.states[name], begun=know(COMMON, at=group.now - 1)
        )

    def test_crashes_at_different_instances_name_the_part(self) -> None:
        """Guard against two crashes for each instance of a site."""
        for instance_count, zone_count in ((6, 3), (58, 3), (195, 5)):
            with self.subTest(instance_count=instance_count):
                group = instance_groups.Group(instance_count, zone_count)
                self.know_common(group)
                self.crash(group, group.names[-1], 1)
                self.crash(group, group.names[1], 2)
                self.assertEqual(group.count_blocking(), instance_count)
                blocked = {
                    block.parts
                    for state in group.states.values()
                    for block in state.crashes.blocks
                }
                self.assertEqual(blocked, {frozenset({HARMFUL})})

    def test_first_event_at_one_instance_clears_the_part_at_all(self) -> None:
        """Guard against a part that stays refused at other instances."""
        group = instance_groups.Group(58, 3)
        self.crash(group, group.names[-1], 1)
        self.crash(group, group.names[1], 2)
        self.assertEqual(group.count_blocking(), 58)
        exchange = relay_states.Instance()
        exchange.receive_request(
            'r1',
            '/model/x',
            prompt=requests.Prompt('m', 80, 40, 20, (COMMON, HARMFUL)),
        )
        group.apply(
            group.names[30],
            lambda state: crash_tracking.note_first_event(
                exchange.state.exchanges['r1'], group.now, state
            ),
        )
        self.assertEqual(group.count_blocking(), 0)

    def test_instance_that_starts_learns_what_the_others_know(self) -> None:
        """Guard against two more crashes after each restart."""
        group = instance_groups.Group(6, 3)
        self.crash(group, group.names[1], 1)
        self.crash(group, group.names[2], 2)
        name = group.names[0]
        group.states[name] = dataclasses.replace(
            group.states[name], crashes=crash_evidence.CrashState()
        )
        group.reduce(
            name,
            events.TimerFired(
                at=group.now,
                wall_time=group.now,
                timer=timers.EvidenceExchangeDue(),
            ),
        )
        self.assertEqual(group.count_blocking(), 6)

    def test_lost_report_is_repeated(self) -> None:
        """Guard against evidence that stays at one instance."""
        group = instance_groups.Group(6, 3)
        name, receiver = group.names[1], group.names[2]
        timer = events.TimerFired(
            at=group.now,
            wall_time=group.now,
            timer=timers.EvidenceExchangeDue(),
        )
        group.reduce(name, timer)
        self.crash(group, name, 1)
        group.states[receiver] = dataclasses.replace(
            group.states[receiver], crashes=crash_evidence.CrashState()
        )
        group.reduce(
            name,
            events.CallFailed(
                at=group.now,
                wall_time=group.now,
                call=calls.ReportCrashes(0),
                address=group.states[receiver].identity.addresses.peers,
                failure=events.Failure(events.FailureKind.TIMED_OUT, True),
            ),
        )
        group.reduce(name, timer)
        self.assertTrue(group.states[receiver].crashes.crashes)


class Messages(unittest.TestCase):
    """Evidence and the parts of prompts pass their encodings."""

    def test_report_is_decoded_as_it_was_sent(self) -> None:
        """Guard against evidence that another instance cannot read."""
        state = crash_evidence.update_conclusions(
            crash_evidence.CrashState(
                crashes=(build_crash(1, (COMMON, HARMFUL)),),
                begun=know(COMMON),
            ),
            now=102.0,
        )
        report = crash_reports.build_full_report(state, 102.0)
        raw = call_codec.encode_call(report)
        received = relay_wire.ReceivedRequest(
            'peers', raw.method, raw.target, (), raw.body
        )
        self.assertEqual(peer_feed_codec.decode_request(received), report)
        merged = crash_reports.merge_report(
            crash_evidence.CrashState(), report, 502.0
        )
        self.assertEqual(merged.checksum, state.checksum)
        self.assertEqual(merged.crashes[0].crashed_at, 501.0)

    def test_report_of_any_size_is_limited(self) -> None:
        """Guard against a peer that fills the memory or drops evidence."""
        known = crash_evidence.update_conclusions(
            crash_evidence.CrashState(crashes=(build_crash(1, (HARMFUL,)),)),
            now=102.0,
        )
        many = tuple(f'p{number}' for number in range(1000))
        report = calls.ReportCrashes(
            0,
            (
                *(calls.ReportedCrash(f'e{n}/1', 0, ()) for n in range(9)),
                calls.ReportedCrash(
                    'm2/1',
                    -1e300,
                    (crash_records.CrashedRequest('bob', many),) * 99,
                ),
                *(calls.ReportedCrash(f'e{n}/1', 0, ()) for n in range(9, 99)),
            ),
        )
        merged = crash_reports.merge_report(known, report, 102.0)
        self.assertEqual(
            [crash.process for crash in merged.crashes], ['m1/1', 'm2/1']
        )
        self.assertLessEqual(
            len(merged.crashes[1].parts), crash_records.MAXIMUM_PARTS
        )

    def test_malformed_report_is_refused(self) -> None:
        """Guard against a report that ends the process of its receiver."""
        for body in (b'', b'[]', b'{"checksum": "x"}', b'[' * 100_000):
            received = relay_wire.ReceivedRequest(
                'peers', 'POST', peer_feed_codec.CRASHES_PATH, (), body
            )
            with (
                self.subTest(body=body[:20]),
                self.assertRaises(wire.DecodeError),
            ):
                peer_feed_codec.decode_request(received)

    def test_last_part_of_a_prompt_is_not_shared(self) -> None:
        """Guard against evidence on the part of a single request."""
        for text, parts in (
            ('a1:40,b2:95,c3:80', ('a1', 'b2')),
            ('a1:40', ()),
            ('', ()),
            ('A1:40, B2 ,c3', ('a1', 'b2')),
            (f'{"f" * 65}:1,:2,a1,x', ('a1',)),
            (','.join(['a1'] * 1000), ('a1',) * 16),
        ):
            with self.subTest(text=text[:30]):
                self.assertEqual(front_codec.decode_shared_parts(text), parts)
