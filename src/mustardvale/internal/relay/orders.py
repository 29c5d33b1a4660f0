"""Order runners to load the layers that a placement assigns to them.

Only the leader of the instances sends orders. An order names the number of
orders that the runner has accepted before, so that a delayed or duplicate order
has no effect.
"""

import dataclasses
import typing

import immutables

from mustardvale.internal import effects, events, transitions
from mustardvale.internal.relay import (
    announcements,
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
# The first placement waits until the list of runners has not changed for this
# long.
LIST_SETTLE_SECONDS = 1.5
# An order expires if its layers are not listed after the usual load time times
# `LOAD_FACTOR` plus `LISTING_DELAY_SECONDS`.
LOAD_FACTOR = 3.0
LISTING_DELAY_SECONDS = 4.0
REPAIR_DELAY_SECONDS = 1.5
# Planning a zone anew loads layers on all of its runners, which takes seconds.
# Most crashed runners are back within a few seconds, so that it is not needed.
REBUILD_DELAY_SECONDS = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class PendingOrder:
    """Hold an order whose layers are not listed yet.

    `started_at_ms` identifies the process that it was sent to.
    """

    layers: runners.LayerRange
    started_at_ms: int
    expires_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class OrderState:
    """Hold pending orders and the number of accepted orders, by runner.

    `counted_processes` has the `started_at_ms` of the processes that accepted
    the orders. `runners_changed_at` is when the usable runners last changed.
    """

    pending: immutables.Map[str, PendingOrder] = immutables.Map()
    accepted_counts: immutables.Map[str, int] = immutables.Map()
    counted_processes: immutables.Map[str, int] = immutables.Map()
    runners_changed_at: float = 0.0
    known_runner_ids: frozenset[str] = frozenset()


@reducer.on_timer.register(timers.PlacementCheckDue)
def check_placement(
    timer: timers.PlacementCheckDue,
    event: events.TimerFired,
    state: 'states.State',
) -> reducer.Transition:
    """Send the orders that are needed, if this instance is the leader."""
    rearm = effects.SetTimer(timers.PlacementCheckDue(), CHECK_PERIOD_SECONDS)
    active = state.configuration.active
    if active is None or not members.is_leader(state, event.at):
        return transitions.Transition(state, (rearm,))
    return transitions.Transition(
        remove_settled_orders(state, event.at), (rearm,)
    ).then_each(
        configuration.list_engine_services(active),
        lambda service, current: order_layers(service, event.at, current),
    )


def remove_settled_orders(state: 'states.State', now: float) -> 'states.State':
    """Remove pending orders that are completed, expired or outdated."""
    pending = state.orders.pending
    for runner_id, order in state.orders.pending.items():
        runner = state.runners.get(runner_id)
        if now > order.expires_at or is_settled(order, runner):
            pending = pending.delete(runner_id)
    return dataclasses.replace(
        state, orders=dataclasses.replace(state.orders, pending=pending)
    )


def is_settled(order: PendingOrder, runner: runners.Runner | None) -> bool:
    """Return whether an order is completed, or its process gone or leaving."""
    if runner is None or not runner.is_usable:
        return True
    return (
        runner.listed.started_at_ms != order.started_at_ms
        or runner.listed.layers == order.layers
    )


def order_layers(
    service: configuration.Service, now: float, state: 'states.State'
) -> reducer.Transition:
    """Order the runners of a service to load the layers they should hold."""
    assert service.engine is not None, 'only engines hold layers'
    pool = tuple(
        runner.listed
        for runner in runners.list_service_runners(
            state.runners, state.runner_index, service.name
        )
        if runner.is_usable and is_placeable(service.engine, runner.listed)
    )
    ids = frozenset(runner.runner_id for runner in pool)
    if ids != state.orders.known_runner_ids:
        # Several runners may appear one after another, as at the first start.
        changed = dataclasses.replace(
            state.orders, known_runner_ids=ids, runners_changed_at=now
        )
        state = dataclasses.replace(state, orders=changed)
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


def is_placeable(engine: engines.Engine, listed: runners.ListedRunner) -> bool:
    """Return whether a runner can hold layers, and lists none beyond them.

    An entry with layers that the model does not have may be of another writer.
    """
    layers = listed.layers
    is_within_model = layers is None or layers.end <= engine.layer_count
    return is_within_model and listed.accelerator in engine.accelerators


def plan_gap_closure(
    engine: engines.Engine,
    pool: tuple[runners.ListedRunner, ...],
    held: placement.HeldRanges,
    now: float,
    state: 'states.State',
) -> tuple[placement.Assignment, ...]:
    """Return assignments that close a gap, after a time without changes.

    Most gaps close by themselves, because restarted runners come back empty and
    replacements of draining runners start before those leave. The first choice
    is to reassign one runner whose layers others hold. Planning the zone anew
    comes last.
    """
    if now - state.orders.runners_changed_at < REPAIR_DELAY_SECONDS:
        return ()
    repair = placement.find_repair(engine, pool, held)
    if repair is not None:
        return (repair,)
    if now - state.orders.runners_changed_at < REBUILD_DELAY_SECONDS:
        return ()
    return placement.plan_rebuild(engine, pool, held)


def send_orders(
    engine: engines.Engine,
    assigned: tuple[placement.Assignment, ...],
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Send an order for each assignment and keep it as pending."""
    order_effects: list[effects.Effect] = []
    pending = state.orders.pending
    load_rounds = len(assigned) / max(engine.concurrent_loads, 1)
    for assignment in assigned:
        runner = state.runners[assignment.runner_id]
        load_seconds = engine.model_load_seconds * engines.compute_layer_share(
            engine, assignment.layers.count
        )
        pending = pending.set(
            assignment.runner_id,
            PendingOrder(
                assignment.layers,
                runner.listed.started_at_ms,
                now
                + load_seconds * max(load_rounds, 1.0) * LOAD_FACTOR
                + LISTING_DELAY_SECONDS,
            ),
        )
        order_effects.extend(build_order_effects(assignment, runner, state))
    orders = dataclasses.replace(state.orders, pending=pending)
    return transitions.Transition(
        dataclasses.replace(state, orders=orders), tuple(order_effects)
    )


def build_order_effects(
    assignment: placement.Assignment,
    runner: runners.Runner,
    state: 'states.State',
) -> tuple[effects.Effect, ...]:
    """Return the call and the log line of one order."""
    count = find_accepted_count(runner.listed, state.orders)
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
                ('generation', state.members.readers.generation),
            ),
        ),
    )


def find_accepted_count(entry: runners.ListedRunner, orders: OrderState) -> int:
    """Return how many orders a process has accepted; a new one has none."""
    counted = orders.counted_processes.get(entry.runner_id, entry.started_at_ms)
    if counted != entry.started_at_ms:
        return 0
    return orders.accepted_counts.get(entry.runner_id, 0)


def record_accepted_count(
    runner_id: str, count: int, state: 'states.State'
) -> OrderState:
    """Record how many orders the listed process of a runner has accepted."""
    orders = state.orders
    processes = orders.counted_processes
    runner = state.runners.get(runner_id)
    if runner is not None:
        processes = processes.set(runner_id, runner.listed.started_at_ms)
    return dataclasses.replace(
        orders,
        accepted_counts=orders.accepted_counts.set(runner_id, count),
        counted_processes=processes,
    )


@reducer.on_answer.register(calls.PlaceLayers)
def handle_order_answer(
    call: calls.PlaceLayers, event: events.CallAnswered, state: 'states.State'
) -> reducer.Transition:
    """Count an accepted order, or read the report of a runner that refused."""
    verdict = 'refused'
    if isinstance(event.answer, calls.OrderAnswer):
        verdict = event.answer.verdict.value
    log_effect = relay_effects.LogDecision(
        'order_answered',
        (('runner', call.runner_id), ('verdict', verdict)),
    )
    count_effect = effects.Count('orders', (verdict,))
    if verdict == calls.OrderVerdict.ALREADY_DONE.value:
        return transitions.Transition(state, (count_effect, log_effect))
    if verdict == calls.OrderVerdict.ACCEPTED.value:
        orders = record_accepted_count(
            call.runner_id, call.order_count + 1, state
        )
        return transitions.Transition(
            dataclasses.replace(state, orders=orders),
            (count_effect, log_effect),
        )
    read_report = effects.Call(
        calls.ReadRunnerReport(call.runner_id),
        event.address,
        ANSWER_TIMEOUT_SECONDS,
    )
    return transitions.Transition(
        state, (count_effect, log_effect, read_report)
    )


@reducer.on_failure.register(calls.PlaceLayers)
def handle_order_failure(
    call: calls.PlaceLayers, event: events.CallFailed, state: 'states.State'
) -> reducer.Transition:
    """Count and log the failure; the order stays pending.

    The runner may have accepted it.
    """
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
    """Store the count of accepted orders.

    A pending order that the runner is not working on is removed, so that it is
    sent again.
    """
    report = event.answer
    if not isinstance(report, calls.RunnerReport):
        return transitions.Transition(state)
    orders = record_accepted_count(call.runner_id, report.order_count, state)
    if not report.has_active_order and call.runner_id in orders.pending:
        orders = dataclasses.replace(
            orders, pending=orders.pending.delete(call.runner_id)
        )
    return announcements.record_announcement(
        call.runner_id,
        report.announcement,
        event.at,
        dataclasses.replace(state, orders=orders),
    )


@reducer.on_failure.register(calls.ReadRunnerReport)
def handle_report_failure(
    call: calls.ReadRunnerReport,
    event: events.CallFailed,
    state: 'states.State',
) -> reducer.Transition:
    """Count the failure; the order is sent again when it has expired."""
    return transitions.Transition(state, (effects.Count('reports_lost', ()),))
