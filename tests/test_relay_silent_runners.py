"""Test requests while all runners of a model are silent at once.

The pattern: a short pause of a switch or a zone. No runner is gone, and all of
them go on after a second or two.
"""

import collections
import dataclasses
import heapq
import itertools
import math
import typing
import unittest

from mustardvale.internal import effects, events
from mustardvale.internal.relay import (
    calls,
    dispatch,
    reachability,
    requests,
    silence_waits,
    wait_release,
)
from mustardvale.internal.relay import effects as relay_effects
from tests import relay_states

STEP_SECONDS = 0.02
SILENCE_BEGINS = 1.0
FIRST_EVENT_SECONDS = 0.06
EVENT_SECONDS = 0.04
EVENT_COUNT = 5
STREAMS_PER_INSTANCE = 20
ARRIVAL_SECONDS = 4.0
BIN_SECONDS = 0.2
RUNNERS = tuple(
    relay_states.build_model_runner(f'm{number}', first, first + 40)
    for number, first in enumerate((0, 40) * 4, start=1)
)


class PausedInstance(relay_states.Instance):
    """Drive an instance beside runners that pause and go on.

    Its callers leave after `patience_seconds` without an event.
    """

    patience_seconds = 2.0

    def __init__(self, number: int, silent_until: float) -> None:
        super().__init__(RUNNERS)
        self.state = dataclasses.replace(self.state, seed=number + 1)
        self.began = self.now
        self.silent_until = self.began + silent_until
        self.due: list[tuple[float, int, typing.Any]] = []
        self.order = itertools.count()
        self.sent_at: list[float] = []

    def is_silent(self) -> bool:
        """Return whether the runners pause now."""
        return self.began + SILENCE_BEGINS <= self.now < self.silent_until

    def record_effect(self, effect: effects.Effect) -> None:
        """Let the runners answer sends and probes later."""
        super().record_effect(effect)
        match effect:
            case relay_effects.StartSend(send_id):
                self.sent_at.append(self.now - self.began)
                self.plan(FIRST_EVENT_SECONDS, ('event', send_id, 0))
            case effects.Call(calls.ProbeRunner()):
                kind = 'unanswered' if self.is_silent() else 'report'
                self.plan(STEP_SECONDS, (kind, effect.call, self.now))

    def plan(self, delay: float, action: typing.Any) -> None:
        """Do something later."""
        heapq.heappush(self.due, (self.now + delay, next(self.order), action))

    def step(self) -> None:
        """Pass a short time and do what is due."""
        self.pass_time(STEP_SECONDS)
        while self.due and self.due[0][0] <= self.now:
            kind, subject, detail = heapq.heappop(self.due)[2]
            if kind == 'event':
                self.run_stream(subject, detail)
            else:
                self.end_probe(kind, subject, detail)

    def run_stream(self, send_id: str, number: int) -> None:
        """Deliver the next event of a stream, after a pause if there is one."""
        if send_id in self.aborted_send_ids:
            return
        if self.is_silent():
            self.plan(self.silent_until - self.now, ('event', send_id, number))
            return
        if not number:
            self.deliver_answer(send_id, relay_states.build_head())
        if number == EVENT_COUNT:
            self.end_answer(send_id)
            return
        self.deliver_chunks(send_id, b'id: %d\ndata: x\n\n' % (number + 1))
        self.plan(EVENT_SECONDS, ('event', send_id, number + 1))

    def end_probe(
        self, kind: str, call: calls.ProbeRunner, asked_at: float
    ) -> None:
        """Answer a probe, or let it time out."""
        waited = self.now - asked_at
        if kind == 'report' or not self.is_silent():
            self.emit_event(
                events.CallAnswered,
                call=call,
                address='',
                answer=calls.RunnerReport(1, False),
            )
        elif waited < reachability.PROBE_TIMEOUT_SECONDS:
            self.plan(STEP_SECONDS, (kind, call, asked_at))
        else:
            fail_probe(self, call.runner_id, events.FailureKind.TIMED_OUT)


def fail_probe(
    instance: relay_states.Instance, runner_id: str, kind: events.FailureKind
) -> None:
    """Let a probe of a runner fail."""
    instance.emit_event(
        events.CallFailed,
        call=calls.ProbeRunner(runner_id),
        address='',
        failure=events.Failure(kind, was_sent=True),
    )


def play(instance_count: int, silent_seconds: float) -> list[PausedInstance]:
    """Let instances receive streams beside a pause of all runners."""
    instances = [
        PausedInstance(number, SILENCE_BEGINS + silent_seconds)
        for number in range(instance_count)
    ]
    for number, instance in enumerate(instances):
        arrivals = iter(range(STREAMS_PER_INSTANCE))
        period = ARRIVAL_SECONDS / STREAMS_PER_INSTANCE
        next_at = period * number / instance_count
        end = instance.began + ARRIVAL_SECONDS + 2
        while instance.now < end:
            if instance.now - instance.began >= next_at:
                arrival = next(arrivals, None)
                next_at += period
                if arrival is not None:
                    instance.receive_request(f'r{arrival}', '/model/x')
            instance.step()
            start_sends(instance)
            if silent_seconds < PausedInstance.patience_seconds:
                leave_silent(instance)
    return instances


def leave_silent(instance: PausedInstance) -> None:
    """Let the callers leave that have got no event for too long."""
    for exchange in instance.state.exchanges.values():
        last_sign = exchange.last_event_at or exchange.arrived_at
        if instance.now - last_sign > instance.patience_seconds:
            instance.emit_event(
                events.CallerLeft, request_id=exchange.request_id
            )


def start_sends(instance: PausedInstance) -> None:
    """Report the sends of a step as written."""
    for attempt in [
        attempt
        for exchange in instance.state.exchanges.values()
        for attempt in exchange.attempts
        if not attempt.is_sent
    ]:
        instance.emit_event(
            relay_states.relay_events.SendStarted, send_id=attempt.send_id
        )


class CommonSilence(unittest.TestCase):
    """Streams outlast a silence of all their runners."""

    def check(self, instance_count: int, silent_seconds: float) -> None:
        """Check how many streams are whole and when they are sent."""
        instances = play(instance_count, silent_seconds)
        whole = sum(len(instance.ends) for instance in instances)
        share = whole / (instance_count * STREAMS_PER_INSTANCE)
        self.assertGreaterEqual(share, 0.97 if silent_seconds < 2 else 0.9)
        returned_at = SILENCE_BEGINS + silent_seconds
        bins = collections.Counter(
            int((sent_at - returned_at) / BIN_SECONDS)
            for instance in instances
            for sent_at in instance.sent_at
            if 0 <= sent_at - returned_at < 1
        )
        mean = sum(bins.values()) * BIN_SECONDS
        self.assertLess(max(bins.values()) / mean, 1.5)

    def test_6_instances(self) -> None:
        """Guard against refusals and a rush at a small site."""
        self.check(6, 1.3)

    def test_58_instances(self) -> None:
        """Guard against refusals and a rush at a site of middle size."""
        self.check(58, 1.3)

    def test_195_instances(self) -> None:
        """Guard against refusals and a rush at a large site."""
        self.check(195, 1.3)

    def test_longer_silence(self) -> None:
        """Guard against refusals shortly before the runners go on."""
        self.check(6, 2.4)


class SilentModel(unittest.TestCase):
    """All runners of a model are silent."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()
        self.exclude_all(events.FailureKind.TIMED_OUT)

    def exclude_all(self, kind: events.FailureKind) -> None:
        """Let the probes of all model runners fail."""
        for runner_id in ('m1', 'm2', 'm3', 'm4'):
            fail_probe(self.instance, runner_id, kind)

    def test_wait_ends_before_the_caller_leaves(self) -> None:
        """Guard against a refusal that nobody reads, and one without reason."""
        self.instance.receive_request('r1', '/model/x', deadline_seconds=1.5)
        self.instance.pass_time(1.2)
        self.assertNotIn('r1', self.instance.replies)
        self.instance.pass_time(0.25)
        reply = self.instance.replies['r1']
        self.assertEqual((503, 'not_run'), (reply.status, reply.code))
        self.assertGreater(reply.retry_after_seconds, 0)
        problem = dict(self.instance.log_lines[-1].fields)['problem']
        self.assertIn('4 silent', problem)
        self.assertRegex(problem, r'excluded 1\d\d\d to 1\d\d\d ms ago')

    def test_known_failure_refuses_soon(self) -> None:
        """Guard against waiting for runners that are known to be gone."""
        self.exclude_all(events.FailureKind.REFUSED)
        self.instance.receive_request('r1', '/model/x')
        self.instance.pass_time(0.1)
        self.assertEqual(503, self.instance.replies['r1'].status)

    def test_answer_of_a_runner_ends_the_wait(self) -> None:
        """Guard against waiting until the exclusion expires."""
        self.instance.receive_request('r1', '/model/x')
        self.instance.pass_time(0.5)
        self.assertFalse(self.instance.sends)
        self.answer_probes()
        self.instance.pass_time(1.2)
        self.assertEqual(1, len(self.instance.sends))

    def test_release_leaves_time_for_the_first_event(self) -> None:
        """Guard against a send just before the caller leaves."""
        for seed in range(8):
            self.setUp()
            self.instance.state = dataclasses.replace(
                self.instance.state, seed=seed
            )
            self.instance.receive_request('r1', '/model/x')
            self.instance.pass_time(1.3)
            self.answer_probes()
            self.instance.pass_time(0.4)
            self.assertEqual(1, len(self.instance.sends), seed)

    def answer_probes(self) -> None:
        """Answer a probe as one runner of each range."""
        for runner_id in ('m1', 'm2'):
            self.instance.emit_event(
                events.CallAnswered,
                call=calls.ProbeRunner(runner_id),
                address='',
                answer=calls.RunnerReport(1, False),
            )

    def test_heartbeat_causes_a_probe(self) -> None:
        """Guard against noticing a return later than the list does."""
        before = len(self.instance.list_calls(calls.ProbeRunner))
        self.instance.list_runners(relay_states.TWO_CHAINS)
        self.instance.pass_time(0.01)
        probes = self.instance.list_calls(calls.ProbeRunner)[before:]
        self.assertEqual(4, len(probes))

    def test_least_time_left_goes_first(self) -> None:
        """Guard against a request that expires behind those with more time."""
        for number, seconds in enumerate((20.0, 1.6, 1.9)):
            self.instance.receive_request(
                f'r{number}', '/model/x', deadline_seconds=seconds
            )
        self.instance.pass_time(0.5)
        self.answer_probes()
        self.instance.pass_time(1.2)
        self.assertEqual(
            ['a-r1', 'a-r2', 'a-r0'],
            [sent.request.request.attempt_id for sent in self.instance.sends],
        )

    def test_request_that_is_too_large_for_all_runners(self) -> None:
        """Guard against requests that wait behind one that cannot be sent."""
        self.instance.receive_request('r0', '/model/x', deadline_seconds=1.9)
        self.instance.receive_request('r1', '/model/x')
        waiting = self.instance.state.exchanges['r0']
        large = dataclasses.replace(
            waiting.request, prompt=requests.Prompt('x', 10**9, 1)
        )
        self.instance.state = dataclasses.replace(
            self.instance.state,
            exchanges=self.instance.state.exchanges.set(
                'r0', dataclasses.replace(waiting, request=large)
            ),
        )
        self.instance.pass_time(0.3)
        self.answer_probes()
        self.instance.pass_time(1.1)
        self.assertEqual(1, len(self.instance.sends))

    def test_longer_timeout_does_not_delay_the_release(self) -> None:
        """Guard against a release that depends on the deadline at arrival."""
        routes = [
            dataclasses.replace(route, timeout_seconds=1.0)
            for route in relay_states.ROUTES
        ]
        self.instance.configure(relay_states.with_routes(tuple(routes)))
        self.instance.receive_request('r1', '/model/x')
        newest = relay_states.with_routes(relay_states.ROUTES)
        self.instance.configure(
            dataclasses.replace(newest, version=newest.version + 1)
        )
        waiting = self.instance.state.exchanges['r1']
        self.assertTrue(silence_waits.is_held(waiting))

    def test_one_account_leaves_places_to_others(self) -> None:
        """Guard against unbounded memory and one account that takes it all."""
        limit = silence_waits.MAXIMUM_WAITING_REQUESTS
        for number in range(limit):
            self.instance.receive_request(f'r{number}', '/model/x')
        self.instance.pass_time(0.2)
        waiting = self.instance.state.exchanges
        self.assertEqual(limit // 2, len(waiting))
        other = dataclasses.replace(waiting['r0'], tenant='bob')
        self.assertTrue(silence_waits.has_place(other, self.instance.state))


class ContinuedStream(unittest.TestCase):
    """A stream goes on through runners that were silent."""

    def test_event_ends_the_exclusion(self) -> None:
        """Guard against leaving out runners that deliver events."""
        instance = relay_states.Instance(relay_states.TWO_CHAINS[:2])
        instance.receive_request('r1', '/model/x')
        send_id = instance.start_send()
        instance.pass_time(0.2)
        for runner_id in ('m1', 'm2'):
            fail_probe(instance, runner_id, events.FailureKind.TIMED_OUT)
        self.assertIsNotNone(self.find_obstacle(instance))
        instance.deliver_answer(
            send_id, relay_states.build_head(), b'id: 1\ndata: x\n\n'
        )
        self.assertIsNone(self.find_obstacle(instance))

    def test_waiting_without_silence(self) -> None:
        """Guard against a search at each check, and a place that stays taken.

        The runners of a stream were silent, answered, and are now full or gone.
        """
        instance = relay_states.Instance(relay_states.TWO_CHAINS[:2])
        instance.receive_request('r1', '/model/x')
        send_id = instance.start_send()
        instance.deliver_answer(
            send_id, relay_states.build_head(), b'id: 1\ndata: x\n\n'
        )
        instance.pass_time(0.2)
        for kind in (events.FailureKind.TIMED_OUT, events.FailureKind.REFUSED):
            for runner_id in ('m1', 'm2'):
                fail_probe(instance, runner_id, kind)
            if instance.state.exchanges['r1'].attempts:
                instance.fail_send(send_id)
        self.assertTrue(silence_waits.is_held(instance.state.exchanges['r1']))
        now = instance.now
        waiting = dataclasses.replace(
            instance.state.exchanges['r1'], next_search_at=now
        )
        transition = dispatch.try_send(waiting, now, instance.state)
        searched = transition.state.exchanges['r1']
        self.assertFalse(silence_waits.is_waiting(searched))
        self.assertFalse(
            dispatch.is_search_due(searched, now + 0.1, transition.state)
        )

    def test_urgent_requests_are_released_first(self) -> None:
        """Guard against a release in order of arrival alone."""
        instance = relay_states.Instance(relay_states.TWO_CHAINS[:2])
        for number, urgency in enumerate((2, 2, 0)):
            instance.receive_request(f'r{number}', '/model/x')
            held = dataclasses.replace(
                instance.state.exchanges[f'r{number}'],
                urgency=urgency,
                attempts=(),
                next_search_at=math.inf,
            )
            instance.state = dataclasses.replace(
                instance.state,
                exchanges=instance.state.exchanges.set(f'r{number}', held),
            )
        released = wait_release.release_waiting(instance.now, instance.state)
        self.assertEqual(
            ['r2', 'r0', 'r1'],
            sorted(
                released.state.exchanges,
                key=lambda request_id: (
                    released.state.exchanges[request_id].next_search_at
                ),
            ),
        )

    def find_obstacle(self, instance: relay_states.Instance) -> typing.Any:
        """Return why the second runner of the chain gets no request."""
        return instance.state.runners['m2'].find_obstacle(instance.now)
