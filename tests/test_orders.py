"""Test the placement plan and the orders that execute it."""

import dataclasses
import typing
import unittest

import hypothesis
import immutables
from hypothesis import strategies

from mustardvale.internal import (
    calls,
    effects,
    events,
    handlers,
    membership,
    orders,
    plans,
    records,
    state,
    streams,
    timers,
    transitions,
    upstreams,
)
from mustardvale.internal.edge import codec_upstream, wire
from standins import engine_codec
from tests import builders

STORE = '10.9.0.1:80'
UNITS = 12


def build_assignment(number: int, version: str = '4') -> records.Assignment:
    """Build an assignment of all layers to a runner."""
    return records.Assignment(
        f'runner-{number}',
        'affinage',
        version,
        (),
        0,
        12,
    )


def build_proposal(
    based_on: int,
    *assignments: records.Assignment,
) -> records.PlanProposal:
    """Build a proposal."""
    return records.PlanProposal('p', based_on, assignments)


class PlanFold(unittest.TestCase):
    """All readers of the stream agree on one plan."""

    def test_second_proposal_on_the_same_plan_loses(self) -> None:
        """Guard against two plans in force that contradict each other."""
        first = plans.fold(
            build_proposal(-1, build_assignment(1)), 0, plans.Plan()
        )
        second = plans.fold(build_proposal(-1, build_assignment(2)), 1, first)
        self.assertEqual(second.offset, 0)
        self.assertEqual(second.assignments, (build_assignment(1),))

    @hypothesis.given(
        based_on=strategies.lists(strategies.integers(-1, 12), max_size=12),
        gap_end=strategies.integers(0, 12),
        snapshot_offset=strategies.integers(0, 12),
    )
    def test_reader_behind_a_gap_agrees(
        self,
        based_on: list[int],
        gap_end: int,
        snapshot_offset: int,
    ) -> None:
        """Guard against a stale snapshot that restores an earlier plan."""
        proposals = [
            build_proposal(base, build_assignment(number))
            for number, base in enumerate(based_on)
        ]
        gap_end = min(gap_end, len(proposals))
        snapshot_offset = min(snapshot_offset, len(proposals))
        whole = plans.Plan()
        snapshots = [records.PlanSnapshot(-1, (), -1)]
        for offset, proposal in enumerate(proposals):
            whole = plans.fold(proposal, offset, whole)
            snapshots.append(
                records.PlanSnapshot(
                    whole.offset,
                    whole.assignments,
                    whole.as_of,
                ),
            )
        reader = (
            plans.open_gap(gap_end, plans.Plan()) if gap_end else plans.Plan()
        )
        for offset in range(gap_end, len(proposals)):
            reader = plans.fold(proposals[offset], offset, reader)
        reader = plans.fold(snapshots[snapshot_offset], len(proposals), reader)
        if gap_end and snapshot_offset < gap_end:
            self.assertFalse(reader.is_known)
        else:
            self.assertEqual(reader.offset, whole.offset)
            self.assertEqual(reader.assignments, whole.assignments)


def build_state(
    *runners: upstreams.Upstream,
    plan: plans.Plan,
) -> state.State:
    """Build the state of an instance that executes a plan."""
    built = builders.build_state()
    tails = built.log.tails.set(
        streams.OrderStream(),
        builders.build_tail(caught_up=True),
    )
    return dataclasses.replace(
        built,
        log=dataclasses.replace(built.log, tails=tails),
        upstreams=builders.build_table(runners),
        orders=orders.OrderState(
            STORE,
            plan=plan,
            is_caught_up=True,
            recorded_at=1000,
        ),
    )


def check_plan(
    current: state.State,
    at: float = 100,
) -> transitions.Transition[state.State]:
    """Return the transition of a plan check."""
    fired = events.TimerFired(
        at=at, wall_time=1000 + at, timer=timers.PlanCheckDue()
    )
    return handlers.reduce(fired, current)


def find_calls(
    transition: transitions.Transition[state.State],
    kind: type[typing.Any],
) -> list[typing.Any]:
    """Return the calls of a kind that a transition sends."""
    return [
        effect.call
        for effect in transition.effects
        if isinstance(effect, effects.Call) and isinstance(effect.call, kind)
    ]


def grant_lease(
    call: calls.RequestLease,
    current: state.State,
    seconds: float = 0.01,
) -> transitions.Transition[state.State]:
    """Return the transition after a granted lease."""
    answered = events.CallAnswered(
        at=101,
        call=call,
        address=STORE,
        answer=calls.LeaseGranted('lease', 10),
        duration_seconds=seconds,
    )
    return handlers.reduce(answered, current)


class Execution(unittest.TestCase):
    """Orders are sent where the load report deviates from the plan."""

    def setUp(self) -> None:
        """Build a plan with a new version for one of two runners."""
        self.current = build_state(
            builders.build_upstream(1, 0, 12, reported_at=99),
            builders.build_upstream(2, 0, 12, reported_at=99),
            plan=plans.Plan(
                7, (build_assignment(1), build_assignment(2, '3')), 7
            ),
        )

    def test_lease_goes_before_the_order(self) -> None:
        """Guard against loads beyond the rate limit of the weight store."""
        asked = check_plan(self.current)
        self.assertEqual(find_calls(asked, calls.SendOrder), [])
        leases = find_calls(asked, calls.RequestLease)
        self.assertEqual(
            leases,
            [calls.RequestLease('runner-1', 'affinage', '4', UNITS)],
        )
        ordered = find_calls(
            grant_lease(leases[0], asked.state), calls.SendOrder
        )
        self.assertEqual(len(ordered), 1)
        self.assertEqual(ordered[0].fencing_token, 7)
        self.assertEqual(ordered[0].version, '4')

    def test_order_is_not_repeated_while_the_runner_loads(self) -> None:
        """Guard against restarting a load that is in progress."""
        asked = check_plan(self.current)
        leased = grant_lease(
            find_calls(asked, calls.RequestLease)[0], asked.state
        )
        again = check_plan(leased.state, at=103)
        self.assertEqual(find_calls(again, calls.RequestLease), [])

    def test_order_without_effect_is_repeated(self) -> None:
        """Guard against an order that is lost permanently."""
        asked = check_plan(self.current)
        leased = grant_lease(
            find_calls(asked, calls.RequestLease)[0], asked.state
        )
        later = check_plan(leased.state, at=130)
        self.assertEqual(len(find_calls(later, calls.ReadLoad)), 1)
        runner = builders.build_upstream(1, 0, 12)
        answered = events.CallAnswered(
            at=131,
            call=calls.ReadLoad(),
            address=runner.listed.address,
            answer=runner.report,
        )
        reported = handlers.reduce(answered, later.state).state
        repeated = check_plan(reported, at=132)
        self.assertEqual(len(find_calls(repeated, calls.RequestLease)), 1)

    def test_denied_lease_delays_the_next_request(self) -> None:
        """Guard against lease requests that the weight store must refuse."""
        asked = check_plan(self.current)
        denied = events.CallAnswered(
            at=101,
            call=find_calls(asked, calls.RequestLease)[0],
            address=STORE,
            answer=calls.LeaseDenied(30),
        )
        waiting = handlers.reduce(denied, asked.state).state
        self.assertEqual(
            find_calls(check_plan(waiting, at=130), calls.RequestLease), []
        )

    def test_expired_lease_is_not_used(self) -> None:
        """Guard against using an expired lease after a pause of the process."""
        asked = check_plan(self.current)
        lease = find_calls(asked, calls.RequestLease)[0]
        dropped = grant_lease(lease, asked.state, seconds=11)
        self.assertEqual(find_calls(dropped, calls.SendOrder), [])

    def test_changed_plan_drops_the_order(self) -> None:
        """Guard against an order of a plan that has been replaced."""
        asked = check_plan(self.current)
        replaced = orders.update_orders(
            asked.state,
            plan=plans.Plan(
                9, (build_assignment(1, '3'), build_assignment(2, '3')), 9
            ),
        )
        dropped = grant_lease(
            find_calls(asked, calls.RequestLease)[0], replaced
        )
        self.assertEqual(find_calls(dropped, calls.SendOrder), [])

    def test_stale_token_stops_the_plan(self) -> None:
        """Guard against an instance that keeps executing an outdated plan."""
        asked = check_plan(self.current)
        lease = find_calls(asked, calls.RequestLease)[0]
        ordered = grant_lease(lease, asked.state)
        order = find_calls(ordered, calls.SendOrder)[0]
        refused = events.CallAnswered(
            at=102,
            call=order,
            address='x',
            answer=calls.PlatformRefused(409, ''),
        )
        stopped = handlers.reduce(refused, ordered.state).state
        self.assertEqual(
            find_calls(check_plan(stopped, at=300), calls.RequestLease), []
        )

    def test_runner_with_a_later_order_gets_none(self) -> None:
        """Guard against reverting an engine that does not check the token."""
        runner = builders.build_upstream(1, 0, 12, reported_at=99)
        assert runner.report is not None
        later = dataclasses.replace(
            runner,
            report=dataclasses.replace(runner.report, plan_offset=8),
        )
        current = build_state(
            later, plan=plans.Plan(7, (build_assignment(1),), 7)
        )
        self.assertEqual(
            find_calls(check_plan(current), calls.RequestLease), []
        )

    def test_nothing_is_ordered_before_the_stream_is_read(self) -> None:
        """Guard against orders of a plan that may be outdated."""
        unread = orders.update_orders(self.current, is_caught_up=False)
        self.assertEqual(find_calls(check_plan(unread), calls.RequestLease), [])
        gap = orders.update_orders(
            self.current,
            plan=plans.open_gap(20, self.current.orders.plan),
        )
        self.assertEqual(find_calls(check_plan(gap), calls.RequestLease), [])

    def test_one_instance_executes(self) -> None:
        """Guard against no executor or several of them."""
        states = [self.with_peers(number) for number in range(7)]
        executors = [
            current for current in states if orders.is_executor(100, current)
        ]
        self.assertEqual(len(executors), 1)

    def with_peers(self, number: int) -> state.State:
        """Return the state of one of seven instances with mutual heartbeats."""
        current = dataclasses.replace(
            self.current,
            identity=membership.Identity(f'entry-{number}', 'a', 'b', 'z'),
        )
        for other in range(7):
            heartbeat = membership.build_heartbeat(
                dataclasses.replace(
                    self.current,
                    identity=membership.Identity(
                        f'entry-{other}',
                        'a',
                        'b',
                        'z',
                    ),
                ),
            )
            received = events.PeerMessageReceived(
                at=100,
                sender='b',
                message=heartbeat,
            )
            current = handlers.reduce(received, current).state
        return current

    def test_plan_is_repeated_before_retention_drops_it(self) -> None:
        """Guard against a plan that later readers cannot restore."""
        old = orders.update_orders(self.current, recorded_at=1)
        appended = find_calls(check_plan(old, at=2000), calls.AppendRecords)
        self.assertEqual(
            appended[0].records[0],
            records.PlanSnapshot(
                7, (build_assignment(1), build_assignment(2, '3')), 7
            ),
        )


class OrderMessages(unittest.TestCase):
    """Orders and leases conform to the published protocol."""

    def test_order_body(self) -> None:
        """Guard against fields that engines do not expect."""
        order = calls.SendOrder(
            'runner-1', 7, 'affinage', '4', ('r',), 0, 12, 24, 'lease-3'
        )
        raw = codec_upstream.encode_call(order)
        self.assertEqual((raw.method, raw.target), ('POST', '/v1/orders'))
        self.assertEqual(
            raw.body,
            b'{"fencing_token":7,"model":"affinage","version":"4",'
            b'"adapters":["r"],"first_layer":0,"end_layer":12,"layers":24,'
            b'"lease":"lease-3"}',
        )
        decoded = engine_codec.decode_request(
            wire.RawRequest(
                raw.method,
                raw.target,
                '',
                immutables.Map(),
                raw.body,
            ),
        )
        self.assertEqual(decoded.layers, 24)

    def test_lease_answers(self) -> None:
        """Guard against treating a denied lease as granted."""
        call = calls.RequestLease('runner-1', 'affinage', '4', 13)
        raw = codec_upstream.encode_call(call)
        self.assertEqual(
            raw.body,
            b'{"holder":"runner-1","units":13}',
        )
        granted = codec_upstream.decode_answer(
            call,
            builders.build_answer(
                200,
                b'{"lease":"l","seconds":5}',
            ),
        )
        self.assertEqual(granted, calls.LeaseGranted('l', 5))
        for header, seconds in (('12', 12), ('', 5), ('soon', 5)):
            denied = codec_upstream.decode_answer(
                call,
                builders.build_answer(429, b'', {'retry-after': header}),
            )
            self.assertEqual(denied, calls.LeaseDenied(seconds))
        with self.assertRaises(wire.DecodeError):
            codec_upstream.decode_answer(
                call,
                builders.build_answer(200, b'{}'),
            )
