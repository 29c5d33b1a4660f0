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
ANSWER_TIMEOUT_SECONDS = 1.5
# The first placement waits until the list of runners has stopped growing.
LIST_SETTLE_SECONDS = 1.5
# An order is taken as lost when the layers are not listed after this many
# times the usual time to load them, and this long besides.
LOAD_FACTOR = 3.0
LISTING_DELAY_SECONDS = 4.0
REPAIR_DELAY_SECONDS = 1.5
# Building a zone anew loads layers on all of its runners, which takes seconds,
# while most crashed runners are back after a few.
REBUILD_DELAY_SECONDS = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class PendingOrder:
    """Hold an order that has not shown its effect yet."""

    layers: runners.LayerRange
    started_at_ms: int
    expires_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class OrderState:
    """Hold the orders that were given, and counts of accepted ones."""

    pending: immutables.Map[str, PendingOrder] = immutables.Map()
    accepted_counts: immutables.Map[str, int] = immutables.Map()
    runners_changed_at: float = 0.0
    known_runner_ids: frozenset[str] = frozenset()


@reducer.on_timer.register(timers.OrdersDue)
def check_placement(
    timer: timers.OrdersDue, event: events.TimerFired, state: 'states.State'
) -> reducer.Transition:
    """Give the orders that are needed, if this instance may."""
    again = effects.SetTimer(timers.OrdersDue(), CHECK_PERIOD_SECONDS)
    active = state.configuration.active
    if active is None or not members.is_leader(state, event.at):
        return transitions.Transition(state, (again,))
    return transitions.Transition(
        remove_settled_orders(state, event.at), (again,)
    ).then_each(
        configuration.list_engine_services(active),
        lambda service, next_state: order_layers(service, event.at, next_state),
    )


def remove_settled_orders(state: 'states.State', now: float) -> 'states.State':
    """Forget orders that have shown their effect or are taken as lost."""
    kept = state.orders.pending
    for runner_id, order in state.orders.pending.items():
        runner = state.runners.get(runner_id)
        if (
            runner is None
            or now > order.expires_at
            or runner.listed.started_at_ms != order.started_at_ms
            or runner.listed.layers == order.layers
        ):
            kept = kept.delete(runner_id)
    return dataclasses.replace(
        state, orders=dataclasses.replace(state.orders, pending=kept)
    )


def order_layers(
    service: configuration.Service, now: float, state: 'states.State'
) -> reducer.Transition:
    """Order the empty runners of a service to hold layers."""
    assert service.engine is not None, 'only engines hold layers'
    pool = tuple(
        runner.listed
        for runner in runners.list_service_runners(state.runners, service.name)
        if runner.is_usable and runner.listed.accelerator
    )
    ids = frozenset(runner.runner_id for runner in pool)
    if ids != state.orders.known_runner_ids:
        # Wait for the others when several appear, as at the first start.
        seen = dataclasses.replace(
            state.orders, known_runner_ids=ids, runners_changed_at=now
        )
        state = dataclasses.replace(state, orders=seen)
    held = {
        runner.runner_id: runner.layers
        for runner in pool
        if runner.layers is not None and runner.layers.count
    }
    if not held and now - state.orders.runners_changed_at < LIST_SETTLE_SECONDS:
        return transitions.Transition(state)
    for runner_id, order in state.orders.pending.items():
        held.setdefault(runner_id, order.layers)
    assigned = placement.plan_assignments(
        service.engine, pool, immutables.Map(held)
    )
    if not assigned and not state.orders.pending:
        assigned = plan_gap_closure(
            service.engine, pool, immutables.Map(held), now, state
        )
    return send_orders(service.engine, assigned, now, state)


def plan_gap_closure(
    engine: engines.Engine,
    pool: tuple[runners.ListedRunner, ...],
    held: placement.HeldRanges,
    now: float,
    state: 'states.State',
) -> tuple[placement.Assignment, ...]:
    """Return what closes a gap that has been there for a while.

    Runners that restart come back empty, and replacements of runners that
    drain start first, so that most gaps close without it. One runner that
    others can stand in for comes next, a zone built anew last.
    """
    if now - state.orders.runners_changed_at < REPAIR_DELAY_SECONDS:
        return ()
    change = placement.find_repair(engine, pool, held)
    if change is not None:
        return (change,)
    if now - state.orders.runners_changed_at < REBUILD_DELAY_SECONDS:
        return ()
    return placement.plan_rebuild(engine, pool, held)


def send_orders(
    engine: engines.Engine,
    assigned: tuple[placement.Assignment, ...],
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Send orders for assignments."""
    ordered: list[effects.Effect] = []
    given = state.orders.pending
    loading = len(assigned) / max(engine.concurrent_loads, 1)
    for assignment in assigned:
        runner = state.runners[assignment.runner_id]
        usual = engine.model_load_seconds * engines.compute_layer_share(
            engine, assignment.layers.count
        )
        given = given.set(
            assignment.runner_id,
            PendingOrder(
                assignment.layers,
                runner.listed.started_at_ms,
                now
                + usual * max(loading, 1.0) * LOAD_FACTOR
                + LISTING_DELAY_SECONDS,
            ),
        )
        ordered.extend(build_order_effects(assignment, runner, state))
    orders = dataclasses.replace(state.orders, pending=given)
    return transitions.Transition(
        dataclasses.replace(state, orders=orders), tuple(ordered)
    )


def build_order_effects(
    assignment: placement.Assignment,
    runner: runners.Runner,
    state: 'states.State',
) -> tuple[effects.Effect, ...]:
    """Return the effects of one order."""
    count = state.orders.accepted_counts.get(assignment.runner_id, 0)
    call = calls.PlaceLayers(assignment.runner_id, assignment.layers, count)
    return (
        effects.Call(call, runner.listed.address, ANSWER_TIMEOUT_SECONDS),
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
def handle_order_answer(
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
        counts = state.orders.accepted_counts.set(
            call.runner_id, call.order_count + 1
        )
        orders = dataclasses.replace(state.orders, accepted_counts=counts)
        return transitions.Transition(
            dataclasses.replace(state, orders=orders), (counted, logged)
        )
    ask = effects.Call(
        calls.ReadRunnerReport(call.runner_id),
        event.address,
        ANSWER_TIMEOUT_SECONDS,
    )
    return transitions.Transition(state, (counted, logged, ask))


@reducer.on_failure.register(calls.PlaceLayers)
def handle_order_failure(
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


@reducer.on_answer.register(calls.ReadRunnerReport)
def handle_report(
    call: calls.ReadRunnerReport,
    event: events.CallAnswered,
    state: 'states.State',
) -> reducer.Transition:
    """Learn the count of orders; one that is not at work is ordered again."""
    report = event.answer
    if not isinstance(report, calls.RunnerReport):
        return transitions.Transition(state)
    orders = dataclasses.replace(
        state.orders,
        accepted_counts=state.orders.accepted_counts.set(
            call.runner_id, report.order_count
        ),
    )
    if not report.has_active_order and call.runner_id in orders.pending:
        orders = dataclasses.replace(
            orders, pending=orders.pending.delete(call.runner_id)
        )
    return transitions.Transition(dataclasses.replace(state, orders=orders))


@reducer.on_failure.register(calls.ReadRunnerReport)
def handle_report_failure(
    call: calls.ReadRunnerReport,
    event: events.CallFailed,
    state: 'states.State',
) -> reducer.Transition:
    """Go on without the report; the order is given again when it is due."""
    return transitions.Transition(state, (effects.Count('reports_lost', ()),))
