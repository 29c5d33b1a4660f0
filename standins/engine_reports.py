"""Report the load, the cache and the audit of an engine stand-in."""

import dataclasses

from mustardvale.internal import calls, effects, events, transitions
from standins import engine, prefix_cache, step_audit


@dataclasses.dataclass(frozen=True, slots=True)
class ReadAudit:
    """Request the audit, with all spans if `with_spans` is set."""

    with_spans: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ReportDue(engine.PersistentTimer):
    """Record the next lagging load report."""

    instance_id: str


@engine.reduce.register(events.InstanceStarted)
def start_reports(
    event: events.InstanceStarted,
    state: engine.State,
) -> engine.Transition:
    """Record the first load report if reports lag."""
    if not state.config.load_lag_seconds:
        return transitions.Transition(state)
    return record_report(ReportDue(state.config.instance_id), state)


def build_report(state: engine.State) -> engine.EngineReport:
    """Build the current load report of an engine.

    An engine that loads other weights reports an empty layer range.
    """
    config = state.config
    loading = state.loading is not None
    is_unloaded = state.loading is not None and not state.loading.keeps_sessions
    return engine.EngineReport(
        instance_id=config.instance_id,
        accelerator=config.accelerator,
        model=config.model,
        version=config.version,
        adapters=config.adapters,
        first_layer=0 if is_unloaded else config.first_layer,
        end_layer=0 if is_unloaded else config.end_layer,
        queued=len(state.waiting_steps) + len(state.running_steps),
        step_seconds=config.iteration_seconds * state.faults.slowdown,
        leaving=state.faults.leaving,
        plan_offset=state.plan_offset,
        role=config.role,
        loading=loading,
        sessions=len(state.sessions),
        cached_positions=state.cache.positions,
        batch_limit=config.batch_limit,
    )


def record_report(timer: ReportDue, state: engine.State) -> engine.Transition:
    """Record a load report and schedule the next one.

    Callers get the older of the last two reports.
    """
    reports = (*state.reports[-1:], build_report(state))
    return transitions.Transition(
        dataclasses.replace(state, reports=reports),
        (effects.SetTimer(timer, state.config.load_lag_seconds),),
    )


@engine.on_timer.register(ReportDue)
def record_next_report(
    timer: ReportDue,
    event: events.TimerFired,
    state: engine.State,
) -> engine.Transition:
    """Record the next load report."""
    return record_report(timer, state)


@engine.on_request.register(calls.ReadLoad)
def report_load(
    request: calls.ReadLoad,
    event: events.CallerRequested,
    state: engine.State,
) -> engine.Transition:
    """Report the load, as of one to two lags ago if reports lag."""
    if state.faults.frozen:
        return transitions.Transition(state)
    is_lagging = state.config.load_lag_seconds and state.reports
    report = state.reports[0] if is_lagging else build_report(state)
    return engine.answer(event.request_id, report, state)


@engine.on_request.register(prefix_cache.ReadCacheEvents)
def report_cache(
    request: prefix_cache.ReadCacheEvents,
    event: events.CallerRequested,
    state: engine.State,
) -> engine.Transition:
    """Report the cache events whose delay has elapsed."""
    if state.faults.frozen:
        return transitions.Transition(state)
    cache = prefix_cache.publish(event.at, state.cache)
    return engine.answer(
        event.request_id,
        prefix_cache.read_events(request, cache),
        dataclasses.replace(state, cache=cache),
    )


@engine.on_request.register(ReadAudit)
def report_audit(
    request: ReadAudit,
    event: events.CallerRequested,
    state: engine.State,
) -> engine.Transition:
    """Report the audit, whatever faults are active."""
    page = step_audit.build_page(state.audit, with_spans=request.with_spans)
    return engine.answer(event.request_id, page, state)
