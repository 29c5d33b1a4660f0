"""Follow the platform's list of upstreams.

Upstreams write to the list every second, so that a long poll would return
almost at once. Periodic reads cost less, and their period bounds the delay
until a leaving upstream is noticed.
"""

import dataclasses
import typing

import immutables

from mustardvale.internal import effects, events, transitions
from mustardvale.internal.relay import (
    calls,
    configuration_feed,
    heartbeat_log,
    pace_tracking,
    peer_feed,
    reducer,
    runners,
    startup_waits,
    timers,
)
from mustardvale.internal.relay import effects as relay_effects

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

READ_PERIOD_SECONDS = 0.7
RETRY_DELAY_SECONDS = 0.4
ANSWER_TIMEOUT_SECONDS = 1.0
# Entries that expired during an outage of the store are registered again within
# about two seconds after it. Until then upstreams without an entry are kept.
REREGISTRATION_SECONDS = 2.5
# Delisted upstreams are kept for this long, for requests still running there.
DELISTED_RETENTION_SECONDS = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerListState:
    """Hold the position in the log of the list and what is being read.

    All changes after `complete_from`, the position of the first complete read,
    are known. `unconfirmed_drops` has the upstreams whose entries were dropped
    shortly after an outage of the store. `is_disputed` is true while a complete
    list of a reader is older in some entries than what is known. `heartbeats`
    has the last ones that were read.
    """

    position: int | None = None
    complete_from: int | None = None
    unconfirmed_drops: frozenset[str] = frozenset()
    read_at: float | None = None
    failed_at: float | None = None
    is_failing: bool = False
    is_disputed: bool = False
    heartbeats: heartbeat_log.HeartbeatLog = immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True)
class AppliedChanges:
    """Hold the upstreams after some changes, and the drops to be confirmed."""

    runner_map: runners.RunnerMap
    dropped: frozenset[str]
    heartbeats: heartbeat_log.HeartbeatLog


def read_next(now: float, state: 'states.State') -> reducer.Transition:
    """Read changes from a reader of the zone, or else from the store."""
    reader = peer_feed.choose_reader(now, state)
    if reader is not None:
        return peer_feed.request_update(reader, now, state)
    return read_from_store(now, state)


def read_from_store(now: float, state: 'states.State') -> reducer.Transition:
    """Read from the store and resume the polls of the configuration.

    Reads changes, or all entries if no position is known.
    """
    position = state.runner_list.position
    call: typing.Any = calls.ReadRunners()
    if position is not None:
        call = calls.FollowRunners(position, era=state.store_copy.era)
    return (
        peer_feed.change_reader('', now, state)
        .then(lambda current: configuration_feed.resume_polling(now, current))
        .with_effects(build_store_call(call, state))
    )


def build_store_call(call: typing.Any, state: 'states.State') -> effects.Call:
    """Return the effect of a call to the store."""
    return effects.Call(
        call, state.identity.addresses.store, ANSWER_TIMEOUT_SECONDS
    )


@reducer.on_answer.register(calls.ReadRunners)
def handle_page(
    call: calls.ReadRunners, event: events.CallAnswered, state: 'states.State'
) -> reducer.Transition:
    """Read the next page, or the changes since the first one.

    A page shows no change of what an earlier page has. Only the log since the
    first page tells what was removed meanwhile.
    """
    answer = event.answer
    if not isinstance(answer, calls.RunnersRead):
        return record_failure(f'status {answer.status}', event.at, state)
    earlier = call.earlier or calls.RunnerPages(answer.position)
    pages = add_page(earlier, answer.changes)
    if answer.next_page:
        next_call: typing.Any = calls.ReadRunners(
            answer.next_page, pages, state.store_copy.era
        )
    elif call.earlier:
        next_call = calls.FollowRunners(
            pages.position, pages, state.store_copy.era
        )
    else:
        return apply_pages(pages, answer.position, event.at, state)
    return transitions.Transition(state, (build_store_call(next_call, state),))


def add_page(
    pages: calls.RunnerPages, changes: tuple[calls.RunnerChange, ...]
) -> calls.RunnerPages:
    """Return the pages with newer entries, and without those dropped since."""
    entries = pages.entries
    for change in changes:
        if change.entry is not None:
            entries = entries.set(change.runner_id, change.entry)
        elif change.runner_id in entries:
            entries = entries.delete(change.runner_id)
    return dataclasses.replace(pages, entries=entries)


def apply_pages(
    pages: calls.RunnerPages, position: int, now: float, state: 'states.State'
) -> reducer.Transition:
    """Apply all entries as of a position; the others are gone."""
    listed = tuple(
        calls.RunnerChange(runner_id, entry)
        for runner_id, entry in pages.entries.items()
    )
    missing = tuple(
        calls.RunnerChange(runner_id, None)
        for runner_id in state.runners
        if runner_id not in pages.entries
    )
    return apply_changes(listed + missing, position, now, state)


@reducer.on_answer.register(calls.FollowRunners)
def handle_changes(
    call: calls.FollowRunners, event: events.CallAnswered, state: 'states.State'
) -> reducer.Transition:
    """Apply changes, or read all entries if the log was compacted."""
    if isinstance(event.answer, calls.RunnersRead):
        position, changes = event.answer.position, event.answer.changes
        if call.pages is None:
            return apply_changes(changes, position, event.at, state)
        pages = add_page(call.pages, changes)
        return apply_pages(pages, position, event.at, state)
    if isinstance(event.answer, calls.HistoryCompacted):
        unknown = dataclasses.replace(state.runner_list, position=None)
        return read_next(
            event.at, dataclasses.replace(state, runner_list=unknown)
        )
    return record_failure(f'status {event.answer.status}', event.at, state)


def apply_changes(
    changes: tuple[calls.RunnerChange, ...],
    position: int,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Apply changes, schedule the next read and answer the followers.

    Two reads may be open at once. The answer that has the older position is
    dropped: it would undo removals that the other one has shown.
    """
    state = peer_feed.record_store_answer(state)
    known = state.runner_list
    if position < (known.position or 0):
        next_read = effects.SetTimer(
            timers.RunnerListReadDue(), READ_PERIOD_SECONDS
        )
        return transitions.Transition(state, (next_read,))
    failed_at = now if known.is_failing else known.failed_at
    is_after_outage = (
        failed_at is not None and now - failed_at < REREGISTRATION_SECONDS
    )
    applied = AppliedChanges(
        state.runners, known.unconfirmed_drops, known.heartbeats
    )
    for change in changes:
        applied = apply_change(change, applied, position)
        if change.entry is None and not is_after_outage:
            applied = apply_drops(applied, position, now)
    if not is_after_outage:
        applied = apply_drops(applied, position, now)
    complete_from = known.complete_from
    list_state = RunnerListState(
        position=position,
        complete_from=position if complete_from is None else complete_from,
        unconfirmed_drops=applied.dropped,
        read_at=now,
        failed_at=failed_at,
        heartbeats=heartbeat_log.forget_removed(
            applied.heartbeats, applied.runner_map
        ),
    )
    next_read = effects.SetTimer(
        timers.RunnerListReadDue(), READ_PERIOD_SECONDS
    )
    return (
        replace_runners(
            remove_expired(applied.runner_map, now), list_state, state
        )
        .with_effects(next_read, *probe_returned(changes, now, state))
        .then(lambda current: peer_feed.answer_followers(now, current))
        .then(lambda current: startup_waits.request_check(now, current))
    )


def apply_change(
    change: calls.RunnerChange, applied: AppliedChanges, position: int
) -> AppliedChanges:
    """Apply an entry, or note that it was dropped.

    A heartbeat that the store has executed late changes nothing.
    """
    entry = change.entry
    if entry is None:
        dropped = applied.dropped | {change.runner_id}
        return dataclasses.replace(applied, dropped=dropped)
    if heartbeat_log.is_late(applied.heartbeats, entry):
        return applied
    heartbeat = runners.Heartbeat(entry.started_at_ms, entry.sequence)
    return AppliedChanges(
        runners.record_heartbeat(applied.runner_map, entry, position),
        applied.dropped - {change.runner_id},
        heartbeat_log.record(applied.heartbeats, change.runner_id, heartbeat),
    )


def apply_drops(
    applied: AppliedChanges, position: int, now: float
) -> AppliedChanges:
    """Record the entries that were dropped."""
    runner_map = applied.runner_map
    for runner_id in applied.dropped:
        runner_map = runners.record_delisting(
            runner_map, runner_id, position, now
        )
    return dataclasses.replace(
        applied, runner_map=runner_map, dropped=frozenset()
    )


def probe_returned(
    changes: tuple[calls.RunnerChange, ...], now: float, state: 'states.State'
) -> tuple[effects.Effect, ...]:
    """Return the effects that probe silent upstreams with a new heartbeat.

    A heartbeat may be read late, or reach the store from an upstream that this
    instance does not reach, so that it does not end the exclusion itself.
    """
    return tuple(
        effects.SetTimer(timers.RecoveryProbeDue(change.runner_id), 0)
        for change in changes
        if change.entry is not None
        and (known := state.runners.get(change.runner_id)) is not None
        and known.unreachable_until
        and known.excluded_until > now
    )


def replace_runners(
    runner_map: runners.RunnerMap,
    list_state: RunnerListState,
    state: 'states.State',
) -> reducer.Transition:
    """Store the new records of upstreams and log the changes."""
    log_effects = build_change_logs(
        state.runners, runner_map, list_state.position
    )
    if has_new_empty_runner(state.runners, runner_map):
        log_effects += (effects.SetTimer(timers.PlacementCheckDue(), 0),)
    if state.runner_list.is_failing:
        log_effects += (
            relay_effects.LogDecision(
                'store_regained', (('what', 'upstream list'),)
            ),
        )
    next_state = dataclasses.replace(
        state, runner_list=list_state, runners=runner_map
    )
    if runner_map is not state.runners:
        next_state = index_runners(next_state)
    return transitions.Transition(next_state, log_effects).then(
        lambda current: pace_tracking.begin_listed(
            state.runners, list_state.read_at or 0.0, current
        )
    )


def index_runners(state: 'states.State') -> 'states.State':
    """Return the state with the indexes of its runners."""
    index = runners.build_index(state.runners)
    return configuration_feed.index_part_terms(
        dataclasses.replace(state, runner_index=index)
    )


def has_new_empty_runner(
    before: runners.RunnerMap, after: runners.RunnerMap
) -> bool:
    """Return whether a runner that needs layers was added or changed."""
    if before is after:
        return False
    return any(
        runner.needs_layers and before.get(runner_id) is not runner
        for runner_id, runner in after.items()
    )


def remove_expired(
    runner_map: runners.RunnerMap, now: float
) -> runners.RunnerMap:
    """Remove upstreams that were delisted long ago."""
    for runner_id, runner in runner_map.items():
        delisted_at = runner.delisted_at
        if (
            delisted_at is not None
            and now - delisted_at > DELISTED_RETENTION_SECONDS
        ):
            runner_map = runner_map.delete(runner_id)
    return runner_map


def build_change_logs(
    before: runners.RunnerMap,
    after: runners.RunnerMap,
    position: int | None,
) -> tuple[effects.Effect, ...]:
    """Return a log line for each upstream that changed."""
    if before is after:
        return ()
    return tuple(
        relay_effects.LogDecision(
            'upstream_changed',
            (
                ('runner', runner_id),
                ('address', runner.listed.address),
                ('state', runner.listed.state.value),
                ('listed', runner.delisted_at is None),
                ('layers', format_layers(runner.listed)),
                ('position', position),
            ),
        )
        for runner_id, runner in after.items()
        if before.get(runner_id) is not runner
    )


def format_layers(entry: runners.ListedRunner) -> str:
    """Return the range of layers of an entry as text, empty for none."""
    return f'{entry.layers.first}-{entry.layers.end}' if entry.layers else ''


@reducer.on_failure.register(calls.ReadRunners)
@reducer.on_failure.register(calls.FollowRunners)
def handle_failure(
    call: typing.Any, event: events.CallFailed, state: 'states.State'
) -> reducer.Transition:
    """Record that the store did not answer."""
    return record_failure(event.failure.kind.value, event.at, state)


def record_failure(
    problem: str, now: float, state: 'states.State'
) -> reducer.Transition:
    """Count a failed read, schedule a retry and refuse the followers."""
    known = state.runner_list
    failure_effects: tuple[effects.Effect, ...] = (
        effects.Count('store_failures', ('runners',)),
        effects.SetTimer(timers.RunnerListReadDue(), RETRY_DELAY_SECONDS),
    )
    if not known.is_failing:
        failure_effects += (
            relay_effects.LogDecision(
                'store_lost',
                (('what', 'upstream list'), ('problem', problem)),
            ),
        )
    failing = dataclasses.replace(known, is_failing=True, failed_at=now)
    next_state = dataclasses.replace(state, runner_list=failing)
    return (
        transitions.Transition(
            peer_feed.record_store_failure(now, next_state), failure_effects
        )
        .then(peer_feed.refuse_followers)
        .then(lambda current: startup_waits.request_check(now, current))
    )


@reducer.on_timer.register(timers.RunnerListReadDue)
def handle_read_timer(
    timer: timers.RunnerListReadDue,
    event: events.TimerFired,
    state: 'states.State',
) -> reducer.Transition:
    """Read the list again."""
    return read_next(event.at, state)
