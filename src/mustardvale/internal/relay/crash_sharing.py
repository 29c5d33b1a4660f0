"""Tell other instances of crashes of runners, and act on what follows."""

import dataclasses
import typing

from mustardvale.internal import effects, events, transitions
from mustardvale.internal.relay import (
    calls,
    completion,
    crash_evidence,
    crash_records,
    crash_reports,
    exchanges,
    fingerprints,
    members,
    peer_feed,
    prompt_blocks,
    reducer,
    timers,
)
from mustardvale.internal.relay import effects as relay_effects

if typing.TYPE_CHECKING:
    from collections import abc

    from mustardvale.internal.relay import state as states

REPORT_TIMEOUT_SECONDS = 1.0
EXCHANGE_PERIOD_SECONDS = 1.0
# An instance that has just started soon gets requests, and knows of no crash.
FIRST_EXCHANGE_PERIOD_SECONDS = 0.1


def replace_crashes(
    state: 'states.State', **changes: typing.Any
) -> 'states.State':
    """Return the state with changed fields of the evidence."""
    return dataclasses.replace(
        state, crashes=dataclasses.replace(state.crashes, **changes)
    )


def record_crash(
    process: str,
    crashed_requests: tuple[crash_records.CrashedRequest, ...],
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Record the requests of a crash, and tell the other instances."""
    crash = crash_records.Crash(process, now, crashed_requests)
    return record_crashes((crash,), now, state)


def record_crashes(
    reported: tuple[crash_records.Crash, ...], now: float, state: 'states.State'
) -> reducer.Transition:
    """Record what this instance has found of crashes, and tell the others."""
    known = state.crashes.crashes
    crashes = known
    for crash in reported:
        crashes = crash_records.merge_crash(crashes, crash)
    if crashes == known:
        return transitions.Transition(state)
    merged = dataclasses.replace(state.crashes, crashes=crashes)
    updated = crash_evidence.update_conclusions(merged, now)
    return (
        adopt(updated, now, state)
        .with_effects(
            *(build_crash_log(crash) for crash in reported),
            *count_new_crashes(reported, known),
        )
        .then(lambda current: share(reported, (), now, current))
    )


def build_crash_log(crash: crash_records.Crash) -> effects.Effect:
    """Return the log line for what this instance has found of a crash."""
    return relay_effects.LogDecision(
        'runner_crashed',
        (
            ('runner', crash.process.partition('/')[0]),
            ('waiting', len(crash.requests)),
            ('parts', sorted(crash_reports.list_parts((crash,)))),
            ('lost', sorted(found.fingerprints[0] for found in crash.lost)),
        ),
    )


def count_new_crashes(
    reported: tuple[crash_records.Crash, ...],
    known: tuple[crash_records.Crash, ...],
) -> tuple[effects.Effect, ...]:
    """Return the effects that count the crashes that are not known yet."""
    processes = {crash.process for crash in known}
    return tuple(
        effects.Count('runner_crashes', ())
        for crash in reported
        if crash.process not in processes
    )


def record_completed(
    completed_fingerprints: frozenset[str], now: float, state: 'states.State'
) -> reducer.Transition:
    """Record that a request under suspicion was answered whole."""
    completed = crash_records.record_begun(
        state.crashes.completed, completed_fingerprints, now
    )
    updated = crash_evidence.update_conclusions(
        dataclasses.replace(state.crashes, completed=completed), now
    )
    report = calls.ReportCrashes(
        updated.checksum,
        completed=crash_reports.build_ages(
            completed, completed_fingerprints, now
        ),
    )
    return adopt(updated, now, state).then(
        lambda current: send_report(
            report, current.members.readers.listed, current
        )
    )


def adopt(
    updated: crash_evidence.CrashState, now: float, state: 'states.State'
) -> reducer.Transition:
    """Store evidence, and fail the requests that are refused from now on."""
    before = state.crashes
    known = {(block.parts, block.crash_count) for block in before.blocks}
    added = [
        block
        for block in updated.blocks
        if (block.parts, block.crash_count) not in known
    ]
    adopted: reducer.Transition = transitions.Transition(
        dataclasses.replace(state, crashes=updated),
        (
            effects.SetGauge('blocked_prompt_parts', len(updated.blocks)),
            *map(build_block_log, added),
            *build_unblock_logs(before, updated),
        ),
    )
    adopted = adopted.then(lambda current: fail_refused(added, now, current))
    if updated.checksum == before.checksum or not state.peer_feed.followers:
        return adopted
    return adopted.then(
        lambda current: peer_feed.answer_followers(now, current)
    )


def build_block_log(block: crash_records.Block) -> effects.Effect:
    """Return the log line for parts that are refused from now on."""
    return relay_effects.LogDecision(
        'prompt_parts_blocked',
        (
            ('parts', sorted(block.parts)),
            ('accounts', sorted(block.client_accounts)),
            ('crashes', block.crash_count),
        ),
    )


def build_unblock_logs(
    before: crash_evidence.CrashState, after: crash_evidence.CrashState
) -> tuple[effects.Effect, ...]:
    """Return a log line for each combination that is not refused any more."""
    remaining = {block.parts for block in after.blocks}
    return tuple(
        relay_effects.LogDecision(
            'prompt_parts_unblocked', (('parts', sorted(block.parts)),)
        )
        for block in before.blocks
        if block.parts not in remaining
    )


def fail_refused(
    added: 'abc.Sequence[crash_records.Block]',
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Fail the open requests that may still crash their runners.

    A runner drops a request whose connection is closed.
    """
    refused = [
        exchange
        for exchange in state.exchanges.values()
        if any(
            prompt_blocks.may_crash(exchange, block)
            and is_covered(exchange, block)
            for block in added
        )
    ]
    return transitions.Transition(state).then_each(
        refused,
        lambda exchange, current: completion.fail_exchange(
            exchange, prompt_blocks.REFUSAL_REASON, now, current
        ),
    )


def is_covered(
    exchange: exchanges.Exchange, block: crash_records.Block
) -> bool:
    """Return whether an open request is refused because of a block."""
    parts = fingerprints.list_parts(exchange.tenant, exchange.request)
    return block.covers(exchange.tenant or '', frozenset(parts))


def share(
    crashes: tuple[crash_records.Crash, ...],
    parts: 'abc.Iterable[str]',
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Send evidence to the readers of all zones.

    The other instances get it from the reader that they follow. The parts of
    the crashes with which requests have begun are included.
    """
    reported_parts = {*parts, *crash_reports.list_parts(crashes)}
    report = crash_reports.build_report(
        state.crashes, crashes, reported_parts, now
    )
    return send_report(report, state.members.readers.listed, state)


def send_report(
    report: calls.ReportCrashes,
    recipients: 'abc.Iterable[members.Member]',
    state: 'states.State',
) -> reducer.Transition:
    """Send a report to other instances."""
    own_id = state.identity.instance_id
    return transitions.Transition(
        state,
        tuple(
            effects.Call(report, member.peers, REPORT_TIMEOUT_SECONDS)
            for member in recipients
            if member.instance_id != own_id
        ),
    )


@reducer.on_request.register(calls.ReportCrashes)
def handle_report(
    report: calls.ReportCrashes,
    event: events.CallerRequested,
    state: 'states.State',
) -> reducer.Transition:
    """Merge a report, and answer with what its sender does not know.

    A reader also tells the others that requests with the reported parts have
    begun at this instance.
    """
    before = state.crashes
    merged = crash_reports.merge_report(before, report, event.at)
    missing = None
    if merged.checksum != report.checksum:
        missing = crash_reports.build_full_report(merged, event.at)
    adopted = adopt(merged, event.at, state).with_effects(
        effects.Reply(event.request_id, calls.CrashesReported(missing))
    )
    return adopted.then(
        lambda current: share_begun_parts(report, event.at, current)
    )


def share_begun_parts(
    report: calls.ReportCrashes, now: float, state: 'states.State'
) -> reducer.Transition:
    """Tell the readers which parts of newly reported crashes are known."""
    reported: set[str] = set()
    for crash in report.crashes:
        reported.update(*(request.parts for request in crash.requests))
    reported -= {begun_part.part for begun_part in report.begun}
    parts = {
        part
        for part in reported
        if now - state.crashes.begun.find(part)
        < crash_evidence.KNOWN_PART_SECONDS
    }
    if not parts or not members.is_reader(state):
        return transitions.Transition(state)
    return share((), parts, now, state)


@reducer.on_answer.register(calls.ReportCrashes)
def handle_report_answer(
    call: calls.ReportCrashes, event: events.CallAnswered, state: 'states.State'
) -> reducer.Transition:
    """Merge the evidence that another instance has in addition."""
    answer = event.answer
    if not isinstance(answer, calls.CrashesReported) or answer.missing is None:
        return transitions.Transition(state)
    return apply_report(answer.missing, event.at, state)


@reducer.on_failure.register(calls.ReportCrashes)
def handle_report_failure(
    call: calls.ReportCrashes, event: events.CallFailed, state: 'states.State'
) -> reducer.Transition:
    """Exchange all evidence with the receiver later, if it is still listed."""
    synchronized = state.crashes.synchronized - {event.address}
    return transitions.Transition(
        replace_crashes(state, synchronized=synchronized)
    )


def apply_report(
    report: calls.ReportCrashes, now: float, state: 'states.State'
) -> reducer.Transition:
    """Merge evidence of another instance."""
    merged = crash_reports.merge_report(state.crashes, report, now)
    return adopt(merged, now, state)


@reducer.on_timer.register(timers.EvidenceExchangeDue)
def synchronize_new_readers(
    timer: timers.EvidenceExchangeDue,
    event: events.TimerFired,
    state: 'states.State',
) -> reducer.Transition:
    """Exchange evidence with readers that are listed for the first time.

    An instance that has just started learns in this way what the others know.
    """
    known = state.crashes
    listed = {member.peers: member for member in state.members.readers.listed}
    added = [
        member
        for address, member in listed.items()
        if address not in known.synchronized
    ]
    synchronized = replace_crashes(state, synchronized=frozenset(listed))
    next_check = effects.SetTimer(
        timer,
        EXCHANGE_PERIOD_SECONDS if listed else FIRST_EXCHANGE_PERIOD_SECONDS,
    )
    is_needed = not known.synchronized or bool(known.crashes)
    if not added or not is_needed:
        return transitions.Transition(synchronized, (next_check,))
    report = crash_reports.build_full_report(known, event.at)
    return send_report(report, added, synchronized).with_effects(next_check)
