"""Fold the records of partitions and act on those of this instance."""

import dataclasses
import functools
import typing

from mustardvale.internal import (
    action_calls,
    action_keys,
    action_results,
    attempts,
    claims,
    effects,
    events,
    log_streams,
    partitions,
    records,
    sends,
    streams,
    transitions,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states


@log_streams.on_stored.register(streams.AttemptStream)
def fold_stored(
    stream: streams.AttemptStream,
    stored: records.StoredRecord,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Fold a record and act on what it changes."""
    partition = state.partitions[stream.partition]
    folded = attempts.fold(
        stored.record,
        stored.appended_at,
        partition.table,
    )
    partition = dataclasses.replace(partition, table=folded.table)
    state = partitions.with_partition(stream.partition, partition, state)
    count = effects.Count('attempt_records', (folded.verdict.value,))
    return (
        transitions.Transition(state, (count,))
        .then(
            lambda now: act(stored.record, folded.verdict, event, now),
        )
        .then(lambda now: consider_others(stored.record, event, now))
    )


@functools.singledispatch
def act(
    record: records.Record,
    verdict: attempts.Verdict,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Act on a record of a call or an abandonment of this instance."""
    return transitions.Transition(state)


@act.register(records.ActionAttempt)
def act_on_attempt(
    record: records.ActionAttempt,
    verdict: attempts.Verdict,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Send an own attempt that has won, or wait for the one that has."""
    call = state.actions.of_attempt(record.attempt_id)
    if call is None or not isinstance(call.phase, action_calls.Claiming):
        return transitions.Transition(state)
    if verdict is attempts.Verdict.WON:
        return act_on_win(call, call.phase, event, state)
    if verdict is attempts.Verdict.EXPIRED:
        return claims.abandon(call, action_keys.expired(), event, state)
    return claims.lose(call, event, state)


def act_on_win(
    call: action_calls.ActionCall,
    phase: action_calls.Claiming,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Send, unless an earlier attempt may have been dropped unread."""
    partition = state.partitions[action_keys.partition_of(call.key)]
    if not partitions.is_provable(call.key, partition):
        return claims.abandon(call, action_results.dropped(), event, state)
    waited = effects.Observe('claim_seconds', event.at - phase.claimed_at)
    return sends.send(call, frozenset(), event, state).with_effects(waited)


@act.register(records.AttemptAbandoned)
def act_on_abandoned(
    record: records.AttemptAbandoned,
    verdict: attempts.Verdict,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Note that an abandonment needs no further append."""
    table = state.actions.end_abandoning(record.attempt_id)
    return transitions.Transition(claims.with_actions(state, table))


@act.register(records.AttemptDone)
def act_on_done(
    record: records.AttemptDone,
    verdict: attempts.Verdict,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Forget an own call whose answer is in the log."""
    call = state.actions.of_attempt(record.attempt_id)
    if call is None or not isinstance(call.phase, action_calls.Recording):
        return transitions.Transition(state)
    return claims.forget(call, event, state)


@functools.singledispatch
def consider_others(
    record: records.Record,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Let the calls that wait for a key consider its new status."""
    return transitions.Transition(state)


@consider_others.register(records.ActionAttempt)
@consider_others.register(records.AttemptAbandoned)
@consider_others.register(records.AttemptDone)
def consider_calls_of_key(
    record: (
        records.ActionAttempt | records.AttemptAbandoned | records.AttemptDone
    ),
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Let the calls that wait for the key of a record consider it."""
    key = action_keys.ActionKey(record.account, record.idempotency_key)
    return claims.consider_key(key, event, state)


@log_streams.on_gap.register(streams.AttemptStream)
def note_gap(
    stream: streams.AttemptStream,
    earliest_offset: int,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Note that records were dropped before this instance read them.

    The time of the first record that is left bounds the time of the dropped
    ones from above.
    """
    left = event.answer.records
    dropped_until = left[0].appended_at if left else event.wall_time
    return transitions.Transition(
        partitions.note_gap(stream.partition, dropped_until, state),
        (
            effects.Count('attempt_gaps'),
            effects.LogChange(
                'records of a partition were dropped unread',
                (('partition', stream.partition), ('until', dropped_until)),
            ),
        ),
    )


@log_streams.on_append_failed.register(records.ActionAttempt)
def take_failed_attempt(
    record: records.ActionAttempt,
    event: events.CallFailed | events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Give up an attempt whose record may or may not be in the log."""
    return claims.fail_claim(record.attempt_id, event, state)


@log_streams.on_append_failed.register(records.AttemptAbandoned)
def append_abandoned_again(
    record: records.AttemptAbandoned,
    event: events.CallFailed | events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Append an abandonment until it is read back."""
    key = state.actions.abandoning.get(record.attempt_id)
    if key is None:
        return transitions.Transition(state)
    return claims.append(key, record, state)


@log_streams.on_append_failed.register(records.AttemptDone)
def append_done_again(
    record: records.AttemptDone,
    event: events.CallFailed | events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Append an answer until it is read back."""
    call = state.actions.of_attempt(record.attempt_id)
    if call is None:
        return transitions.Transition(state)
    return claims.append(call.key, record, state)
