"""Execute the placement plan by sending orders to runners.

The live instance that ranks first by rendezvous hashing executes the plan. If
the views of two instances differ for a while, both send the same orders. An
order states everything that a runner has to hold and carries the offset of its
plan as a fencing token, so that runners can refuse orders of an earlier plan.
Runners that do not check the token are corrected once their load reports
deviate from the plan.
"""

import dataclasses
import enum
import functools
import typing

import immutables

from mustardvale.internal import (
    calls,
    effects,
    entry_addresses,
    events,
    log_streams,
    membership,
    plans,
    records,
    reducer,
    streams,
    timers,
    transitions,
    upstreams,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

CHECK_PERIOD_SECONDS = 2.0
ORDER_TIMEOUT_SECONDS = 5.0
LEASE_TIMEOUT_SECONDS = 5.0
# The load report of a runner shows newly loaded weights only after some time.
LOADING_SECONDS = 20.0
MAXIMUM_ORDERS_IN_FLIGHT = 4
MAXIMUM_REPORTS_PER_CHECK = 20
# Runners that this instance does not poll are checked at this interval.
REPORT_VALID_SECONDS = 300.0
SNAPSHOTS_PER_RETENTION = 4
SNAPSHOT_REPEAT_SECONDS = 60.0

STREAM = streams.OrderStream()


@dataclasses.dataclass(frozen=True, slots=True)
class OrderState:
    """Hold the plan and the orders in progress.

    `busy_until` maps each runner with a pending lease or order to the
    monotonic time at which it is checked again. No lease is requested before
    `next_lease_at`, a monotonic time. `superseded_offset` is the offset of the
    plan of which a runner refused an order as outdated. `recorded_at` and
    `snapshot_at` are the wall times of the last record of the plan and of the
    last snapshot that this instance wrote.
    """

    weight_store_address: str = ''
    plan: plans.Plan = plans.Plan()
    is_caught_up: bool = False
    busy_until: immutables.Map[str, float] = immutables.Map()
    next_lease_at: float = 0
    superseded_offset: int = -1
    recorded_at: float = 0
    snapshot_at: float = 0


def with_orders(state: 'states.State', orders: OrderState) -> 'states.State':
    """Replace the part of the state that this module owns."""
    return dataclasses.replace(state, orders=orders)


def update_orders(state: 'states.State', **changes: object) -> 'states.State':
    """Replace fields of the part of the state that this module owns."""
    orders = dataclasses.replace(state.orders, **changes)  # type: ignore[arg-type]
    return with_orders(state, orders)


def is_executor(now: float, state: 'states.State') -> bool:
    """Return whether this instance executes the plan."""
    if state.membership.own_state != membership.LIVE:
        return False
    own_weight = entry_addresses.compute_rendezvous_weight(
        STREAM.name, state.identity.instance_id
    )
    return all(
        entry_addresses.compute_rendezvous_weight(STREAM.name, instance_id)
        < own_weight
        for instance_id, peer in state.membership.peers.items()
        if membership.is_live(peer, now)
    )


@log_streams.on_record.register(streams.OrderStream)
def fold_stored_record(
    stream: streams.OrderStream,
    stored: records.StoredRecord,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Fold a record of the order stream into the plan."""
    before = state.orders.plan
    plan = plans.fold(stored.record, stored.offset, before)
    state = update_orders(state, plan=plan)
    if isinstance(stored.record, records.PlanSnapshot):
        state = update_orders(state, recorded_at=stored.appended_at)
    if plan.offset == before.offset:
        return transitions.Transition(state)
    return transitions.Transition(
        update_orders(state, recorded_at=stored.appended_at),
        (effects.LogChange('plan in force', (('offset', plan.offset),)),),
    )


@log_streams.on_gap.register(streams.OrderStream)
def handle_gap(
    stream: streams.OrderStream,
    earliest_offset: int,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Wait for a snapshot when records were dropped before they were read."""
    plan = plans.open_gap(earliest_offset, state.orders.plan)
    return transitions.Transition(update_orders(state, plan=plan))


@log_streams.on_caught_up.register(streams.OrderStream)
def handle_caught_up(
    stream: streams.OrderStream,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Record that the whole stream has been read."""
    return transitions.Transition(update_orders(state, is_caught_up=True))


@reducer.on_timer.register(timers.PlanCheckDue)
def check_plan(
    timer: timers.PlanCheckDue,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Compare the plan with the load reports if this instance executes it.

    Otherwise the instance stops tailing the stream.
    """
    rearm = effects.SetTimer(timer, CHECK_PERIOD_SECONDS)
    is_tailing = STREAM in state.log.tails
    if not is_executor(event.at, state):
        if is_tailing:
            state = log_streams.stop_tailing(STREAM, state)
            address = state.orders.weight_store_address
            state = with_orders(state, OrderState(address))
        return transitions.Transition(state, (rearm,))
    if not is_tailing:
        return log_streams.start_tailing(STREAM, state).with_effects(rearm)
    orders = state.orders
    if not orders.is_caught_up or not orders.plan.is_known:
        return transitions.Transition(state, (rearm,))
    return (
        snapshot_plan(event, state)
        .then(lambda current: request_reports_and_leases(event, current))
        .with_effects(rearm)
    )


def snapshot_plan(
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Append a snapshot of the plan before retention drops its record."""
    orders = state.orders
    age = event.wall_time - max(orders.recorded_at, 0)
    seconds_since_snapshot = event.wall_time - orders.snapshot_at
    if age < state.timing.log_retention_seconds / SNAPSHOTS_PER_RETENTION or (
        seconds_since_snapshot < SNAPSHOT_REPEAT_SECONDS
    ):
        return transitions.Transition(state)
    plan = orders.plan
    snapshot = records.PlanSnapshot(plan.offset, plan.assignments, plan.as_of)
    return log_streams.append(
        STREAM,
        snapshot,
        update_orders(state, snapshot_at=event.wall_time),
    )


class Need(enum.Enum):
    """List what a check of the plan may have to request for a runner."""

    NOTHING = 'nothing'
    REPORT = 'report'
    ORDER = 'order'


def find_need(
    assignment: records.Assignment,
    now: float,
    state: 'states.State',
) -> Need:
    """Return what has to be requested for a runner of the plan."""
    upstream = state.upstreams.by_id.get(assignment.instance_id)
    if upstream is None or upstream.is_leaving or upstream.ejected_until:
        return Need.NOTHING
    busy_until = state.orders.busy_until.get(assignment.instance_id, 0)
    if busy_until > now:
        return Need.NOTHING
    is_old = upstream.reported_at < max(busy_until, now - REPORT_VALID_SECONDS)
    if upstream.report is None or is_old:
        return Need.REPORT
    return Need.ORDER if is_mismatched(assignment, state) else Need.NOTHING


def is_mismatched(
    assignment: records.Assignment,
    state: 'states.State',
) -> bool:
    """Return whether the load report of a runner deviates from its assignment.

    A runner with an order of a later plan is ignored, since this instance has
    not read that plan yet.
    """
    upstream = state.upstreams.by_id.get(assignment.instance_id)
    if upstream is None or upstream.report is None:
        return False
    if upstream.report.plan_offset > state.orders.plan.offset:
        return False
    return not is_fulfilled(assignment, upstream.report)


def is_fulfilled(
    assignment: records.Assignment,
    report: calls.LoadReport,
) -> bool:
    """Return whether a runner holds what is assigned to it."""
    assigned = (assignment.model, assignment.version)
    layers = (assignment.first_layer, assignment.end_layer)
    return (
        assigned == (report.model, report.version)
        and layers == (report.first_layer, report.end_layer)
        and frozenset(assignment.adapters) == frozenset(report.adapters)
    )


def request_reports_and_leases(
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Request missing load reports, and leases for runners to be changed."""
    needs = {
        assignment: find_need(assignment, event.at, state)
        for assignment in state.orders.plan.assignments
    }
    unreported = [
        assignment for assignment in needs if needs[assignment] is Need.REPORT
    ]
    reports = tuple(
        effects.Call(
            calls.ReadLoad(),
            state.upstreams.by_id[assignment.instance_id].listed.address,
            ORDER_TIMEOUT_SECONDS,
        )
        for assignment in unreported[:MAXIMUM_REPORTS_PER_CHECK]
    )
    transition = transitions.Transition(state, reports)
    orders = state.orders
    if (
        event.at < orders.next_lease_at
        or orders.superseded_offset == orders.plan.offset
        or not orders.weight_store_address
    ):
        return transition
    busy_count = sum(until > event.at for until in orders.busy_until.values())
    wanted = [
        assignment for assignment in needs if needs[assignment] is Need.ORDER
    ]
    for assignment in wanted[: max(MAXIMUM_ORDERS_IN_FLIGHT - busy_count, 0)]:
        transition = transition.then(
            functools.partial(request_lease, assignment, event),
        )
    return transition


def set_busy(
    instance_id: str,
    until: float,
    state: 'states.State',
) -> 'states.State':
    """Skip a runner in checks until a monotonic time."""
    busy_until = state.orders.busy_until.set(instance_id, until)
    return update_orders(state, busy_until=busy_until)


def request_lease(
    assignment: records.Assignment,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Request a lease from the weight store for a runner."""
    call = effects.Call(
        calls.RequestLease(
            assignment.instance_id,
            assignment.model,
            assignment.version,
            count_units(assignment),
        ),
        state.orders.weight_store_address,
        LEASE_TIMEOUT_SECONDS,
    )
    until = event.at + LEASE_TIMEOUT_SECONDS
    return transitions.Transition(
        set_busy(assignment.instance_id, until, state),
        (call,),
    )


@reducer.on_answer.register(calls.RequestLease)
def handle_lease(
    call: calls.RequestLease,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Send the order unless the plan or the need for it has changed."""
    if not isinstance(event.answer, calls.LeaseGranted):
        return delay_leases(call, event, state)
    state = set_busy(call.instance_id, event.at, state)
    assignment = find_assignment(call, state)
    if assignment is None or not may_send(assignment, event, state):
        return transitions.Transition(
            state,
            (effects.Count('orders', ('dropped',)),),
        )
    return send_order(assignment, event.answer.lease_id, event, state)


def may_send(
    assignment: records.Assignment,
    event: events.CallAnswered,
    state: 'states.State',
) -> bool:
    """Return whether an order with a granted lease may still be sent."""
    # If this process was paused in between, the lease has expired.
    if event.duration_seconds >= event.answer.expires_in_seconds:
        return False
    return is_executor(event.at, state) and is_mismatched(assignment, state)


def find_assignment(
    call: calls.RequestLease,
    state: 'states.State',
) -> records.Assignment | None:
    """Return the assignment for a lease if it is still part of the plan."""
    return next(
        (
            assignment
            for assignment in state.orders.plan.assignments
            if assignment.instance_id == call.instance_id
            and (assignment.model, assignment.version)
            == (call.model, call.version)
        ),
        None,
    )


def delay_leases(
    call: calls.RequestLease,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Delay further leases for as long as the weight store demands."""
    delay_seconds = CHECK_PERIOD_SECONDS
    if isinstance(event.answer, calls.LeaseDenied):
        delay_seconds = event.answer.retry_after_seconds
    state = set_busy(call.instance_id, event.at, state)
    return transitions.Transition(
        update_orders(state, next_lease_at=event.at + delay_seconds),
        (effects.Count('orders', ('lease_denied',)),),
    )


@reducer.on_failure.register(calls.RequestLease)
def handle_lease_failure(
    call: calls.RequestLease,
    event: events.CallFailed,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Delay further leases; a lease whose response was lost expires."""
    return transitions.Transition(
        update_orders(state, next_lease_at=event.at + CHECK_PERIOD_SECONDS),
        (effects.Count('orders', ('lease_failed',)),),
    )


def count_units(assignment: records.Assignment) -> int:
    """Return the number of layers and adapters that a lease is for."""
    layers = assignment.end_layer - assignment.first_layer
    return layers + len(assignment.adapters)


def count_layers(
    assignment: records.Assignment,
    state: 'states.State',
) -> int:
    """Return the number of layers of the assigned model."""
    held = (assignment.model, assignment.version)
    return max(
        other.end_layer
        for other in state.orders.plan.assignments
        if (other.model, other.version) == held
    )


def send_order(
    assignment: records.Assignment,
    lease_id: str,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Order a runner to hold what is assigned to it."""
    upstream: upstreams.Upstream = state.upstreams.by_id[assignment.instance_id]
    order = calls.SendOrder(
        instance_id=assignment.instance_id,
        fencing_token=state.orders.plan.offset,
        model=assignment.model,
        version=assignment.version,
        adapters=assignment.adapters,
        first_layer=assignment.first_layer,
        end_layer=assignment.end_layer,
        layers=count_layers(assignment, state),
        lease_id=lease_id,
    )
    until = event.at + LOADING_SECONDS
    return transitions.Transition(
        set_busy(assignment.instance_id, until, state),
        (
            effects.Call(order, upstream.listed.address, ORDER_TIMEOUT_SECONDS),
            effects.Count('orders', ('sent',)),
        ),
    )


@reducer.on_answer.register(calls.SendOrder)
def handle_order_answer(
    call: calls.SendOrder,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Stop executing the plan if a runner has an order of a later one."""
    if isinstance(event.answer, calls.OrderAccepted):
        accepted = effects.Count('orders', ('accepted',))
        return transitions.Transition(state, (accepted,))
    if event.answer.status == calls.STALE_TOKEN_STATUS:
        state = update_orders(state, superseded_offset=call.fencing_token)
        stale = effects.Count('orders', ('stale',))
        return transitions.Transition(state, (stale,))
    refused = effects.Count('orders', ('refused',))
    return transitions.Transition(state, (refused,))


@reducer.on_failure.register(calls.SendOrder)
def handle_order_failure(
    call: calls.SendOrder,
    event: events.CallFailed,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Count the failure; the load report shows if the order took effect."""
    return transitions.Transition(
        state,
        (effects.Count('orders', ('failed',)),),
    )
