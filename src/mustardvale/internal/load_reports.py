"""Poll upstreams for load reports and act on them."""

import dataclasses
import typing

from mustardvale.internal import (
    calls,
    effects,
    events,
    prefixes,
    reducer,
    step_latency,
    subsets,
    timers,
    transitions,
    upstreams,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

LOAD_TIMEOUT_SECONDS = 2.0
# The median of this many runners is close enough to that of a larger range.
MAXIMUM_COMPARED_RUNNERS = 64


@reducer.on_timer.register(timers.LoadReportDue)
def request_load(
    timer: timers.LoadReportDue,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Fetch the load report of an upstream that is still in use."""
    upstream = state.upstreams.by_id.get(timer.instance_id)
    if upstream is None or not upstream.is_polled:
        return transitions.Transition(state)
    call = effects.Call(
        calls.ReadLoad(),
        upstream.listed.address,
        LOAD_TIMEOUT_SECONDS,
    )
    return transitions.Transition(state, (call,))


def schedule_poll(
    instance_id: str,
    state: 'states.State',
) -> effects.Effect:
    """Schedule the next poll of an upstream."""
    return effects.SetTimer(
        timers.LoadReportDue(instance_id),
        subsets.compute_poll_period_seconds(state.upstreams.polled_count),
    )


@reducer.on_answer.register(calls.ReadLoad)
def handle_load(
    call: calls.ReadLoad,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Store a load report and schedule the next poll."""
    upstream = state.upstreams.at_address(event.address)
    if upstream is None:
        return transitions.Transition(state)
    if not isinstance(event.answer, calls.LoadReport):
        next_poll = schedule_poll(upstream.listed.instance_id, state)
        return transitions.Transition(state, (next_poll,))
    reported_id = event.answer.instance_id
    if reported_id != upstream.listed.instance_id:
        state = replace_process(upstream, reported_id, event, state)
    return store_report(event.answer, event, state)


def replace_process(
    upstream: upstreams.Upstream,
    reported_id: str,
    event: events.CallAnswered,
    state: 'states.State',
) -> 'states.State':
    """Replace an upstream by the new process that reports at its address.

    The old process has lost its sessions and its id is not used again.
    """
    replaced = dataclasses.replace(upstream, is_leaving=True, is_polled=False)
    row = dataclasses.replace(upstream.listed, instance_id=reported_id)
    table = state.upstreams.replace(replaced)
    known = table.by_id.get(reported_id, upstreams.build(row, event.at))
    started = dataclasses.replace(
        known,
        is_polled=True,
        replaced_id=upstream.listed.instance_id,
    )
    table = table.replace(started)
    ids = table.id_by_address.set(row.address, reported_id)
    return upstreams.with_table(
        state, dataclasses.replace(table, id_by_address=ids)
    )


def store_report(
    report: calls.LoadReport,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Store the report of an upstream and eject it if it is an outlier."""
    known = state.upstreams.by_id[report.instance_id]
    updated = with_report(known, report, event)
    table = state.upstreams.replace(updated)
    transition = transitions.Transition(upstreams.with_table(state, table))
    if step_latency.is_outlier(
        updated.latency, find_comparable(updated, table)
    ):
        transition = transition.then(
            lambda current: upstreams.eject(
                event.address, event, current, 'slow'
            ),
        )
    if known.report is None and report.model:
        transition = transition.with_effects(
            prefixes.start_polling(report.instance_id),
        )
    return transition.with_effects(schedule_poll(report.instance_id, state))


def with_report(
    known: upstreams.Upstream,
    report: calls.LoadReport,
    event: events.CallAnswered,
) -> upstreams.Upstream:
    """Return an upstream with a load report; the first begins a slow start."""
    candidate = dataclasses.replace(
        known.candidate,
        queued=report.queued,
        step_seconds=report.step_seconds,
        in_flight_at_report=known.in_flight,
        link_seconds=step_latency.add_link_sample(
            known.candidate.link_seconds,
            event.duration_seconds,
        ),
    )
    if known.report is None:
        candidate = dataclasses.replace(candidate, slow_start_at=event.at)
    return dataclasses.replace(
        known,
        candidate=candidate,
        report=report,
        reported_at=event.at,
        is_leaving=known.is_leaving or report.leaving,
    )


def find_comparable(
    upstream: upstreams.Upstream,
    table: upstreams.UpstreamTable,
) -> tuple[step_latency.StepLatency, ...]:
    """Return the step latencies of comparable runners.

    These hold the same layers on the same kind of accelerator.
    """
    placement = upstreams.find_placement(upstream)
    if (
        placement is None
        or upstream.latency.sample_count < step_latency.OUTLIER_MINIMUM_SAMPLES
    ):
        return ()
    layers = (placement.first_layer, placement.end_layer)
    ids = next(
        layer_range.instance_ids
        for layer_range in table.placement_index[placement.model_keys[0]]
        if (layer_range.first_layer, layer_range.end_layer) == layers
    )
    others = (
        table.by_id[instance_id]
        for instance_id in ids[:MAXIMUM_COMPARED_RUNNERS]
        if instance_id != upstream.listed.instance_id
    )
    return tuple(
        other.latency
        for other in others
        if other.report is not None
        and upstream.report is not None
        and other.report.accelerator == upstream.report.accelerator
    )


@reducer.on_failure.register(calls.ReadLoad)
def handle_load_failure(
    call: calls.ReadLoad,
    event: events.CallFailed,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Eject an upstream that does not answer and schedule the next poll."""
    upstream = state.upstreams.at_address(event.address)
    if upstream is None:
        return transitions.Transition(state)
    next_poll = schedule_poll(upstream.listed.instance_id, state)
    return upstreams.eject(event.address, event, state).with_effects(next_poll)
