"""Record faults of runners, and tell the other instances of new ones.

The instance that finds a fault sends it to the readers of all zones. A reader
answers its waiting followers with it. An instance does not send what it has
been told to other readers, so that no fault circulates.
"""

import dataclasses
import typing

import immutables

from mustardvale.internal import effects, events, transitions
from mustardvale.internal.relay import (
    calls,
    fault_reports,
    peer_feed,
    reducer,
    timers,
)
from mustardvale.internal.relay import effects as relay_effects

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

REPORT_TIMEOUT_SECONDS = 1.0


def record_new(
    added: tuple[fault_reports.Fault, ...],
    origin: fault_reports.FaultOrigin,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Record faults that are new, log them and tell other instances."""
    if not added:
        return transitions.Transition(state)
    is_found_here = origin is not fault_reports.FaultOrigin.TOLD
    found_here = added if is_found_here else ()
    known = dataclasses.replace(
        state.faults,
        faults=fault_reports.merge(state.faults.faults, added, now),
        position=state.faults.position + 1,
        unsent=state.faults.unsent + found_here,
    )
    recorded: reducer.Transition = transitions.Transition(
        dataclasses.replace(state, faults=known),
        tuple(
            effect
            for fault in added
            for effect in build_records(fault, origin, now)
        ),
    )
    if state.peer_feed.followers or is_found_here:
        return recorded.then(peer_feed.schedule_telling)
    return recorded


def build_records(
    fault: fault_reports.Fault,
    origin: fault_reports.FaultOrigin,
    now: float,
) -> tuple[effects.Effect, ...]:
    """Return the effects that count and log a new fault."""
    return (
        effects.Count('runner_faults', (fault.kind.value, origin.value)),
        relay_effects.LogDecision(
            'runner_fault_told',
            (
                ('runner', fault.runner_id),
                ('process_started_at_ms', fault.started_at_ms),
                ('kind', fault.kind.value),
                ('origin', origin.value),
                ('age_ms', int((now - fault.found_at) * 1000)),
            ),
        ),
    )


def build_reports(
    added: tuple[fault_reports.Fault, ...], now: float, state: 'states.State'
) -> tuple[effects.Effect, ...]:
    """Return the calls that report faults to the readers of all zones."""
    if not added:
        return ()
    own_id = state.identity.instance_id
    report = calls.ReportFaults(fault_reports.build_report(added, now))
    return tuple(
        effects.Call(report, member.peers, REPORT_TIMEOUT_SECONDS)
        for member in state.members.readers.listed
        if member.instance_id != own_id
    )


def tell_stalled(
    faulty: frozenset[str], now: float, state: 'states.State'
) -> reducer.Transition:
    """Tell the other instances of runners that a first runner waits for."""
    found = tuple(
        fault_reports.Fault(
            runner_id,
            state.runners[runner_id].listed.started_at_ms,
            fault_reports.FaultKind.STALLED,
            now,
        )
        for runner_id in sorted(faulty)
        if runner_id in state.runners
    )
    added = fault_reports.list_new(state.faults, found, now)
    return record_new(added, fault_reports.FaultOrigin.REPORTED, now, state)


@reducer.on_timer.register(timers.FaultTellingDue)
def tell_others(
    timer: timers.FaultTellingDue,
    event: events.TimerFired,
    state: 'states.State',
) -> reducer.Transition:
    """Report the faults found here to readers, and tell the followers."""
    reports = build_reports(state.faults.unsent, event.at, state)
    sent = dataclasses.replace(
        state,
        faults=dataclasses.replace(
            state.faults, unsent=(), is_telling_due=False
        ),
    )
    return transitions.Transition(sent, reports).then(
        lambda current: tell_followers(event.at, current)
    )


def tell_followers(now: float, state: 'states.State') -> reducer.Transition:
    """Answer the followers that lack faults, unless the store is lost.

    Followers are refused while the configuration is not confirmed, but a fault
    is no reason to refuse them earlier.
    """
    known = state.configuration
    if known.confirmed_at is None or known.failing_since is not None:
        return transitions.Transition(state)
    untold = {
        request_id: call
        for request_id, call in state.peer_feed.followers.items()
        if fault_reports.has_untold(call, state.faults, now)
    }
    remaining = immutables.Map(
        {
            request_id: call
            for request_id, call in state.peer_feed.followers.items()
            if request_id not in untold
        }
    )
    feed = dataclasses.replace(state.peer_feed, followers=remaining)
    return transitions.Transition(
        dataclasses.replace(state, peer_feed=feed),
        tuple(
            effects.Reply(request_id, peer_feed.build_update(call, now, state))
            for request_id, call in untold.items()
        ),
    )


@reducer.on_answer.register(calls.ReportFaults)
@reducer.on_failure.register(calls.ReportFaults)
def handle_report_end(
    call: calls.ReportFaults, event: events.Event, state: 'states.State'
) -> reducer.Transition:
    """Ignore the result: an instance that is not told detects silence."""
    return transitions.Transition(state)
