"""Report the load, the cache and the audit of an engine stand-in."""

import dataclasses

from mustardvale.internal import calls, effects, events, transitions
from standins import engine, prefix_cache, step_audit


@dataclasses.dataclass(frozen=True, slots=True)
class AuditWanted:
    """Ask what ran more than once or out of order, or for all spans."""

    with_spans: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ReportDue(engine.LastingTimer):
    """Make the next report that lags."""

    instance_id: str


@engine.reduce.register(events.InstanceStarted)
def start(
    event: events.InstanceStarted,
    state: engine.State,
) -> engine.Transition:
    """Start to make reports if they lag."""
    if not state.held.load_lag_seconds:
        return transitions.Transition(state)
    return make_report(ReportDue(state.held.instance_id), state)


def describe(state: engine.State) -> engine.EngineReport:
    """Describe an engine as it is now."""
    held = state.held
    loading = state.loading is not None
    lost = state.loading is not None and not state.loading.keeps_sessions
    return engine.EngineReport(
        instance_id=held.instance_id,
        accelerator=held.accelerator,
        model=held.model,
        version=held.version,
        adapters=held.adapters,
        first_layer=0 if lost else held.first_layer,
        end_layer=0 if lost else held.end_layer,
        queued=len(state.waiting) + len(state.running),
        step_seconds=held.iteration_seconds * state.faults.slowdown,
        leaving=state.faults.leaving,
        plan_offset=state.plan_offset,
        role=held.role,
        loading=loading,
        sessions=len(state.sessions),
        cached_positions=state.cache.positions,
        batch_limit=held.batch_limit,
    )


def make_report(timer: ReportDue, state: engine.State) -> engine.Transition:
    """Make a report that is shown after the lag."""
    reports = (*state.reports[-1:], describe(state))
    return transitions.Transition(
        dataclasses.replace(state, reports=reports),
        (effects.SetTimer(timer, state.held.load_lag_seconds),),
    )


@engine.on_timer.register(ReportDue)
def renew_report(
    timer: ReportDue,
    event: events.TimerFired,
    state: engine.State,
) -> engine.Transition:
    """Make the next report."""
    return make_report(timer, state)


@engine.on_request.register(calls.ReadLoad)
def report_load(
    wanted: calls.ReadLoad,
    event: events.CallerRequested,
    state: engine.State,
) -> engine.Transition:
    """Report the load as of one to two lags ago."""
    if state.faults.frozen:
        return transitions.Transition(state)
    lags = state.held.load_lag_seconds and state.reports
    report = state.reports[0] if lags else describe(state)
    return engine.answer(event.request_id, report, state)


@engine.on_request.register(prefix_cache.ReadCacheEvents)
def report_cache(
    wanted: prefix_cache.ReadCacheEvents,
    event: events.CallerRequested,
    state: engine.State,
) -> engine.Transition:
    """Report cache events that are old enough."""
    if state.faults.frozen:
        return transitions.Transition(state)
    cache = prefix_cache.publish(event.at, state.cache)
    return engine.answer(
        event.request_id,
        prefix_cache.read_events(wanted, cache),
        dataclasses.replace(state, cache=cache),
    )


@engine.on_request.register(AuditWanted)
def report_audit(
    wanted: AuditWanted,
    event: events.CallerRequested,
    state: engine.State,
) -> engine.Transition:
    """Report the audit, whatever the faults are."""
    page = step_audit.build_page(state.audit, with_spans=wanted.with_spans)
    return engine.answer(event.request_id, page, state)
