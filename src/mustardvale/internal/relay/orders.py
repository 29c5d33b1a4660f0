"""Order runners to hold the layers that a placement assigns to them.

Only the member with the right to give orders does so. An order names the
number of orders that the runner has accepted, so that one which is carried out
late, or given by two members, changes nothing.
"""

import dataclasses
import typing

import immutables

from mustardvale.internal import effects, events, transitions
from mustardvale.internal.relay import (
    calls,
    configuration,
    engines,
    members,
    placement,
    reducer,
    runners,
    timers,
)
from mustardvale.internal.relay import effects as relay_effects

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

CHECK_PERIOD_SECONDS = 0.5
ANSWER_SECONDS = 1.5
# The first placement waits until the list of runners has stopped growing.
SETTLE_SECONDS = 1.5
# An order is taken as lost when the layers are not listed after this many
# times the usual time to load them, and this long besides.
LOAD_FACTOR = 3.0
LISTING_SECONDS = 4.0
GAP_SECONDS = 1.5
# Building a zone anew loads layers on all of its runners, which takes seconds,
# while most crashed runners are back after a few.
REBUILD_SECONDS = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class GivenOrder:
    """Hold an order that has not shown its effect yet."""

    layers: runners.LayerRange
    started_at_ms: int
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class OrderState:
    """Hold the orders that were given, and counts of accepted ones."""

    given: immutables.Map[str, GivenOrder] = immutables.Map()
    counts: immutables.Map[str, int] = immutables.Map()
    changed_at: float = 0.0
    seen: frozenset[str] = frozenset()


@reducer.on_timer.register(timers.OrdersDue)
def check(
    timer: timers.OrdersDue, event: events.TimerFired, state: 'states.State'
) -> reducer.Transition:
    """Give the orders that are needed, if this instance may."""
    again = effects.SetTimer(timers.OrdersDue(), CHECK_PERIOD_SECONDS)
    active = state.configuration.active
    if active is None or not members.may_order(state, event.at):
        return transitions.Transition(state, (again,))
    return transitions.Transition(
        drop_settled(state, event.at), (again,)
    ).then_each(
        configuration.engine_services(active),
        lambda service, next_state: place(service, event.at, next_state),
    )


def drop_settled(state: 'states.State', now: float) -> 'states.State':
    """Forget orders that have shown their effect or are taken as lost."""
    kept = state.orders.given
    for runner_id, order in state.orders.given.items():
        runner = state.runners.get(runner_id)
        if (
            runner is None
            or now > order.until
            or runner.listed.started_at_ms != order.started_at_ms
            or runner.listed.layers == order.layers
        ):
            kept = kept.delete(runner_id)
    return dataclasses.replace(
        state, orders=dataclasses.replace(state.orders, given=kept)
    )


def place(
    service: configuration.Service, now: float, state: 'states.State'
) -> reducer.Transition:
    """Order the empty runners of a service to hold layers."""
    assert service.engine is not None, 'only engines hold layers'
    pool = tuple(
        runner.listed
        for runner in runners.of_service(state.runners, service.name)
        if runner.usable and runner.listed.accelerator
    )
    ids = frozenset(runner.runner_id for runner in pool)
    if ids != state.orders.seen:
        # Wait for the others when several appear, as at the first start.
        seen = dataclasses.replace(state.orders, seen=ids, changed_at=now)
        state = dataclasses.replace(state, orders=seen)
    held = {
        runner.runner_id: runner.layers
        for runner in pool
        if runner.layers is not None and runner.layers.count
    }
    if not held and now - state.orders.changed_at < SETTLE_SECONDS:
        return transitions.Transition(state)
    for runner_id, order in state.orders.given.items():
        held.setdefault(runner_id, order.layers)
    assigned = placement.plan(service.engine, pool, immutables.Map(held))
    if not assigned and not state.orders.given:
        assigned = close_gap(
            service.engine, pool, immutables.Map(held), now, state
        )
    return give(service.engine, assigned, now, state)


def close_gap(
    engine: engines.Engine,
    pool: tuple[runners.ListedRunner, ...],
    held: placement.Held,
    now: float,
    state: 'states.State',
) -> tuple[placement.Assignment, ...]:
    """Return what closes a gap that has been there for a while.

    Runners that restart come back empty, and replacements of runners that
    drain start first, so that most gaps close without it. One runner that
    others can stand in for comes next, a zone built anew last.
    """
    if now - state.orders.changed_at < GAP_SECONDS:
        return ()
    change = placement.repair(engine, pool, held)
    if change is not None:
        return (change,)
    if now - state.orders.changed_at < REBUILD_SECONDS:
        return ()
    return placement.rebuild(engine, pool, held)


def give(
    engine: engines.Engine,
    assigned: tuple[placement.Assignment, ...],
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Send orders for assignments."""
    ordered: list[effects.Effect] = []
    given = state.orders.given
    loading = len(assigned) / max(engine.loads_at_once, 1)
    for assignment in assigned:
        runner = state.runners[assignment.runner_id]
        usual = engine.load_seconds * engines.layer_share(
            engine, assignment.layers.count
        )
        given = given.set(
            assignment.runner_id,
            GivenOrder(
                assignment.layers,
                runner.listed.started_at_ms,
                now + usual * max(loading, 1.0) * LOAD_FACTOR + LISTING_SECONDS,
            ),
        )
        ordered.extend(order(assignment, runner, state))
    orders = dataclasses.replace(state.orders, given=given)
    return transitions.Transition(
        dataclasses.replace(state, orders=orders), tuple(ordered)
    )


def order(
    assignment: placement.Assignment,
    runner: runners.Runner,
    state: 'states.State',
) -> tuple[effects.Effect, ...]:
    """Return the effects of one order."""
    count = state.orders.counts.get(assignment.runner_id, 0)
    call = calls.PlaceLayers(assignment.runner_id, assignment.layers, count)
    return (
        effects.Call(call, runner.listed.address, ANSWER_SECONDS),
        relay_effects.LogDecision(
            'layers_ordered',
            (
                ('runner', assignment.runner_id),
                ('accelerator', runner.listed.accelerator),
                ('zone', runner.listed.availability_zone),
                ('first', assignment.layers.first),
                ('end', assignment.layers.end),
                ('order_count', count),
                ('generation', state.members.generation),
            ),
        ),
    )


@reducer.on_answer.register(calls.PlaceLayers)
def take_verdict(
    call: calls.PlaceLayers, event: events.CallAnswered, state: 'states.State'
) -> reducer.Transition:
    """Wait for the layers, or find out why an order did not fit."""
    verdict = 'refused'
    if isinstance(event.answer, calls.OrderAnswer):
        verdict = event.answer.verdict.value
    logged = relay_effects.LogDecision(
        'order_answered',
        (('runner', call.runner_id), ('verdict', verdict)),
    )
    counted = effects.Count('orders', (verdict,))
    if verdict == calls.OrderVerdict.HOLDS.value:
        return transitions.Transition(state, (counted, logged))
    if verdict == calls.OrderVerdict.BEGUN.value:
        counts = state.orders.counts.set(call.runner_id, call.order_count + 1)
        orders = dataclasses.replace(state.orders, counts=counts)
        return transitions.Transition(
            dataclasses.replace(state, orders=orders), (counted, logged)
        )
    ask = effects.Call(
        calls.ReadReport(call.runner_id), event.address, ANSWER_SECONDS
    )
    return transitions.Transition(state, (counted, logged, ask))


@reducer.on_failure.register(calls.PlaceLayers)
def take_lost_order(
    call: calls.PlaceLayers, event: events.CallFailed, state: 'states.State'
) -> reducer.Transition:
    """Wait for the layers: an order without an answer may be carried out."""
    return transitions.Transition(
        state,
        (
            effects.Count('orders', ('unanswered',)),
            relay_effects.LogDecision(
                'order_answered',
                (
                    ('runner', call.runner_id),
                    ('verdict', event.failure.kind.value),
                ),
            ),
        ),
    )


@reducer.on_answer.register(calls.ReadReport)
def take_report(
    call: calls.ReadReport, event: events.CallAnswered, state: 'states.State'
) -> reducer.Transition:
    """Learn the count of orders; one that is not at work is ordered again."""
    report = event.answer
    if not isinstance(report, calls.RunnerReport):
        return transitions.Transition(state)
    orders = dataclasses.replace(
        state.orders,
        counts=state.orders.counts.set(call.runner_id, report.order_count),
    )
    if not report.ordered and call.runner_id in orders.given:
        orders = dataclasses.replace(
            orders, given=orders.given.delete(call.runner_id)
        )
    return transitions.Transition(dataclasses.replace(state, orders=orders))


@reducer.on_failure.register(calls.ReadReport)
def ignore_lost_report(
    call: calls.ReadReport, event: events.CallFailed, state: 'states.State'
) -> reducer.Transition:
    """Go on without the report; the order is given again when it is due."""
    return transitions.Transition(state, (effects.Count('reports_lost', ()),))
