"""Test which requests wait for capacity, are refused and return first.

The load: streams of 24 client accounts of uneven demand and three priorities
arrive at nearly twice the rate that the runners serve, after some seconds at
half that rate. Each tenth stream is four times as large as the others. Callers
wait 20 s in all and return once, when they are told to.
"""

import collections
import dataclasses
import heapq
import typing
import unittest

import immutables

from mustardvale.internal import events, queues
from mustardvale.internal.relay import (
    capacity_waits,
    configuration,
    instance_settings,
    requests,
    return_times,
    waiting_order,
)
from mustardvale.internal.relay import effects as relay_effects
from tests import relay_states

ACCOUNT_COUNT = 24
CALM_SECONDS = 5.0
LOAD_SECONDS = 30.0
STEP_SECONDS = 0.02
SERVICE_SECONDS = 0.5
CALM_RATE = 7.0
LOAD_RATE = 45.0


class LoadedInstance(relay_states.Instance):
    """Drive an instance whose runners end each stream after a fixed time."""

    def __init__(self) -> None:
        limits = instance_settings.Limits(key_revocation_seconds=None)
        super().__init__(limits=limits)
        tenants = {
            f'k{number}': configuration.Tenant(f't{number}', number % 3)
            for number in range(ACCOUNT_COUNT)
        }
        self.configure(
            dataclasses.replace(
                relay_states.CONFIGURATION,
                version=8,
                tenants_by_key=immutables.Map(tenants),
            )
        )
        self.due: list[tuple[float, str]] = []
        self.returns: list[tuple[float, str]] = []
        self.inverted: list[str] = []
        self.known_returns: list[bool] = []
        self.arrival_count = 0

    def record_effect(self, effect: typing.Any) -> None:
        """Plan the end of each send and the return of each refused caller."""
        super().record_effect(effect)
        match effect:
            case relay_effects.StartSend(send_id):
                heapq.heappush(self.due, (self.now + SERVICE_SECONDS, send_id))
            case relay_effects.LogDecision('request_put_off', fields):
                named = dict(fields)
                self.check_order(named)
                request_id = str(named['request']).removeprefix('a-')
                if request_id.endswith('n'):
                    delay = named['delay_ms'] / 1000
                    heapq.heappush(self.returns, (self.now + delay, request_id))

    def check_order(self, named: dict[str, typing.Any]) -> None:
        """Record a refusal while a less urgent request waits."""
        held = capacity_waits.list_held('model', self.state)
        ordered = capacity_waits.order_group(
            held, 'model', self.now, self.state
        )
        due = waiting_order.find_due_request(
            ordered, capacity_waits.get_skipped('model', self.state)
        )
        if any(
            one.urgency > named['priority'] for one in ordered if one is not due
        ):
            self.inverted.append(named['request'])

    def arrive(self) -> None:
        """Deliver the next new request; low numbers ask most."""
        number = self.arrival_count
        self.arrival_count += 1
        account = int(ACCOUNT_COUNT * ((number * 0.618034) % 1) ** 2)
        size = 4 if number % 10 == 0 else 1
        self.ask_for(f'{number}-{account}-{size}-n')

    def ask_for(self, name: str) -> None:
        """Deliver a request whose account and size its name states."""
        _, account, size, _ = name.split('-')
        self.receive_request(
            name,
            '/model/x',
            api_key=f'k{account}',
            body=name.rpartition('-')[0].encode(),
            prompt=requests.Prompt('m', 400 * int(size), 100 * int(size)),
        )

    def step(self) -> None:
        """Pass a short time, end the sends that are due, let callers return."""
        self.pass_time(STEP_SECONDS)
        while self.due and self.due[0][0] <= self.now:
            send_id = heapq.heappop(self.due)[1]
            if send_id in self.state.request_ids_by_send:
                self.emit_event(
                    relay_states.relay_events.SendStarted, send_id=send_id
                )
                self.deliver_answer(
                    send_id,
                    relay_states.build_head(),
                    b'id: 1\ndata: x\n\n',
                )
                self.end_answer(send_id)
        while self.returns and self.returns[0][0] <= self.now:
            name = heapq.heappop(self.returns)[1]
            self.ask_for(name[:-1] + 'r')
            returned = self.state.exchanges.get(name[:-1] + 'r')
            if returned is not None:
                self.known_returns.append(returned.is_returning)

    def play(self) -> None:
        """Play the calm seconds and the load."""
        began = self.now
        arrived = 0.0
        while self.now - began < CALM_SECONDS + LOAD_SECONDS:
            is_calm = self.now - began < CALM_SECONDS
            arrived += STEP_SECONDS * (CALM_RATE if is_calm else LOAD_RATE)
            while self.arrival_count < arrived:
                self.arrive()
            self.step()


class Overload(unittest.TestCase):
    """Scarce capacity goes to the urgent, and to everybody in turn."""

    instance: LoadedInstance

    @classmethod
    def setUpClass(cls) -> None:
        cls.instance = LoadedInstance()
        cls.instance.play()

    def compute_shares(self, part: int) -> dict[str, float]:
        """Return the served share of callers by a part of their names."""
        names = {name.rpartition('-')[0] for name in self.instance.ends}
        asked: typing.Counter[str] = collections.Counter()
        served: typing.Counter[str] = collections.Counter()
        for number in range(self.instance.arrival_count):
            account = int(ACCOUNT_COUNT * ((number * 0.618034) % 1) ** 2)
            size = 4 if number % 10 == 0 else 1
            name = f'{number}-{account}-{size}'
            group = (*name.split('-'), str(account % 3))[part]
            asked[group] += 1
            served[group] += name in names
        return {group: served[group] / asked[group] for group in asked}

    def test_urgent_requests_are_served_first(self) -> None:
        """Guard against refusals that ignore the priority."""
        shares = self.compute_shares(3)
        self.assertGreater(shares['0'], 0.9)
        self.assertGreater(shares['0'], shares['1'])
        self.assertGreater(shares['1'], shares['2'])

    def test_nobody_starves(self) -> None:
        """Guard against a group that is served a quarter as often as all."""
        served_share = len(self.instance.ends) / self.instance.arrival_count
        for part in (1, 2, 3):
            for group, share in self.compute_shares(part).items():
                with self.subTest(part=part, group=group):
                    self.assertGreater(share, served_share / 4)

    def test_less_urgent_requests_yield(self) -> None:
        """Guard against a refusal while a less urgent request waits."""
        self.assertFalse(self.instance.inverted)

    def test_returning_callers_are_recognized(self) -> None:
        """Guard against callers that return and are treated as new."""
        self.assertTrue(self.instance.known_returns)
        self.assertTrue(all(self.instance.known_returns))

    def test_capacity_is_used(self) -> None:
        """Guard against refusals while runners are idle."""
        possible = 12 * LOAD_SECONDS / SERVICE_SECONDS
        self.assertGreater(len(self.instance.ends), 0.8 * possible)


class EndedWaits(unittest.TestCase):
    """A burst meets an instance that has not served anything yet."""

    def setUp(self) -> None:
        self.instance = LoadedInstance()
        for _ in range(40):
            self.instance.arrive()
        self.held = capacity_waits.list_held('model', self.instance.state)

    def test_burst_waits_without_a_known_rate(self) -> None:
        """Guard against refusals before the first stream has ended."""
        self.assertEqual(40, len(self.instance.sends) + len(self.held))
        self.assertFalse(self.instance.replies)

    def test_request_of_a_caller_that_left_is_dropped(self) -> None:
        """Guard against sending a request that nobody waits for."""
        left_id = self.held[0].request_id
        self.instance.emit_event(events.CallerLeft, request_id=left_id)
        for _ in range(100):
            self.instance.step()
        self.assertNotIn(left_id, self.instance.replies)
        self.assertNotIn(left_id, self.instance.ends)

    def test_stop_refuses_what_waits(self) -> None:
        """Guard against a stop that waits for capacity."""
        self.instance.emit_event(events.StopRequested)
        self.instance.pass_time(0.2)
        self.assertFalse(
            [
                exchange.request_id
                for exchange in self.instance.state.exchanges.values()
                if not exchange.attempts
            ]
        )
        statuses = {reply.status for reply in self.instance.replies.values()}
        self.assertEqual({503}, statuses)

    def test_wrong_expectation_ends_at_the_limit(self) -> None:
        """Guard against callers that leave before they are refused."""
        self.instance.pass_time(1.75)
        self.assertFalse(self.instance.replies)
        self.instance.pass_time(0.1)
        self.assertEqual(len(self.held), len(self.instance.replies))


def build_waiting(
    name: str, account: str = 'a', urgency: int = 1, **fields: typing.Any
) -> waiting_order.WaitingRequest:
    """Return a request that has waited for no time."""
    values = {'arrived_at': 0.0, 'waits_until': 1.8, **fields}
    return waiting_order.WaitingRequest(name, account, urgency, **values)


class Order(unittest.TestCase):
    """The order over waiting requests."""

    def list_order(
        self,
        *waiting: waiting_order.WaitingRequest,
        usage: waiting_order.AmountMap = immutables.Map(),
        skipped: waiting_order.SkippedStarts = immutables.Map(),
        now: float = 0.0,
    ) -> str:
        """Return the ids of waiting requests in their order."""
        ordered = waiting_order.order_requests(waiting, usage, skipped, now)
        return ''.join(one.request_id for one in ordered)

    def test_priority_goes_before_usage(self) -> None:
        """Guard against an account that overtakes more urgent ones."""
        usage = waiting_order.add_amount(immutables.Map(), 'a', 900, 0)
        first, second = build_waiting('x', 'a', 0), build_waiting('y', 'b', 1)
        self.assertEqual('xy', self.list_order(second, first, usage=usage))

    def test_accounts_take_turns_by_weight(self) -> None:
        """Guard against one account with many requests before the others."""
        waiting = [build_waiting(name, 'a') for name in 'pqr']
        waiting += [build_waiting(name, 'b', weight=2.0) for name in 'xyz']
        self.assertEqual('pxyqzr', self.list_order(*waiting))

    def test_returning_caller_goes_before_a_newcomer(self) -> None:
        """Guard against callers that are put off again and again."""
        late = build_waiting('y', 'b', waits_until=3.0, is_returning=True)
        self.assertEqual('yx', self.list_order(build_waiting('x'), late))

    def test_waiting_raises_the_rank(self) -> None:
        """Guard against urgent newcomers that go first for ever."""
        newcomer = build_waiting('x', 'b', 0, arrived_at=1.6, waits_until=3.4)
        self.assertEqual(
            'yx', self.list_order(newcomer, build_waiting('y'), now=1.6)
        )

    def test_large_request_is_not_passed_over_for_ever(self) -> None:
        """Guard against small requests that take all capacity."""
        passed = build_waiting(
            'y',
            cost=9.0,
            pass_count=waiting_order.MAXIMUM_PASSES,
            waits_until=3.0,
        )
        self.assertEqual('yx', self.list_order(build_waiting('x'), passed))

    def test_newcomer_passes_only_larger_requests(self) -> None:
        """Guard against small requests that wait although they fit."""
        one = build_waiting('x', 'a', cost=2.0)
        for cost, pass_count, expected in (
            (9.0, 0, False),
            (9.0, waiting_order.MAXIMUM_PASSES, True),
            (2.0, 0, True),
        ):
            other = build_waiting('y', 'b', 0, cost=cost, pass_count=pass_count)
            self.assertEqual(
                expected, waiting_order.is_behind(one, (other, one))
            )

    def test_skipped_urgency_gets_its_turn(self) -> None:
        """Guard against a priority that is never served."""
        skipped: waiting_order.SkippedStarts = immutables.Map({2: 0})
        for _ in range(queues.MAXIMUM_SKIPPED_STARTS):
            skipped = waiting_order.count_start(0, skipped)
        waiting = (
            build_waiting('x', 'a', 0),
            build_waiting('y', 'b', 2),
            build_waiting('z', 'c', 2),
        )
        self.assertEqual('yxz', self.list_order(*waiting, skipped=skipped))

    def test_expected_wait_counts_no_less_urgent_requests(self) -> None:
        """Guard against refusing the urgent because of a long queue."""
        waiting = [build_waiting(name, name, 2) for name in 'pqrst']
        waiting.append(build_waiting('x', 'x', 0))
        ordered = waiting_order.order_requests(
            waiting, immutables.Map(), immutables.Map(), 0
        )
        hopeless = waiting_order.list_hopeless(ordered, 2, immutables.Map())
        self.assertEqual('tsr', ''.join(one.request_id for one in hopeless))


class ReturnTimes(unittest.TestCase):
    """Refused callers return in order, spread, within their time."""

    def test_times_follow_urgency_and_capacity(self) -> None:
        """Guard against callers that return all at once."""
        promises: return_times.PromiseMap = immutables.Map()
        delays = []
        for number, urgency in enumerate((1, 1, 0, 1)):
            assigned = return_times.assign_return(
                urgency, 0, 2.0, 20.0, promises, 0.0, 0.5
            )
            delays.append(assigned.delay_seconds)
            promises = return_times.record_promise(
                promises,
                str(number),
                return_times.Promise(assigned.delay_seconds, urgency),
                0.0,
            )
        self.assertEqual([0.5, 1.0, 0.5, 2.0], delays)

    def test_times_stay_within_a_third(self) -> None:
        """Guard against a time that the caller does not honour."""
        delays = {
            return_times.assign_return(
                0, 90, 1.0, 3.0, immutables.Map(), 0.0, fraction
            ).delay_seconds
            for fraction in (0.0, 0.5, 1.0)
        }
        self.assertEqual(1.0, max(delays))
        self.assertEqual(3, len(delays))

    def test_only_a_punctual_caller_returns(self) -> None:
        """Guard against callers that come early to go first."""
        promises = immutables.Map({'f': return_times.Promise(1.0, 0)})
        found = [
            return_times.find_promise(promises, 'f', now) is not None
            for now in (0.5, 0.96, 1.9, 2.1)
        ]
        self.assertEqual([False, True, True, False], found)
