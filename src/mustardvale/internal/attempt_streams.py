"""Fold the records of partitions and advance the calls they affect."""

import dataclasses
import functools
import typing

from mustardvale.internal import (
    action_calls,
    action_claims,
    action_keys,
    action_results,
    action_sends,
    attempts,
    effects,
    events,
    log_streams,
    partitions,
    records,
    streams,
    transitions,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states


@log_streams.on_record.register(streams.AttemptStream)
def fold_stored_record(
    stream: streams.AttemptStream,
    stored: records.StoredRecord,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Fold a record, then advance its own call and those that wait."""
    partition = state.partitions[stream.partition]
    result = attempts.fold(
        stored.record,
        stored.appended_at,
        partition.table,
    )
    partition = dataclasses.replace(partition, table=result.table)
    state = partitions.with_partition(stream.partition, partition, state)
    count = effects.Count('attempt_records', (result.verdict.value,))
    return (
        transitions.Transition(state, (count,))
        .then(
            lambda current: act_on_record(
                stored.record, result.verdict, event, current
            ),
        )
        .then(
            lambda current: advance_waiting_calls(stored.record, event, current)
        )
    )


@functools.singledispatch
def act_on_record(
    record: records.Record,
    verdict: attempts.Verdict,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Advance the call of this instance that a record belongs to."""
    return transitions.Transition(state)


@act_on_record.register(records.ActionAttempt)
def act_on_attempt(
    record: records.ActionAttempt,
    verdict: attempts.Verdict,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Send an attempt of this instance that won, or wait for the winner."""
    call = state.actions.find_by_attempt(record.attempt_id)
    if call is None or not isinstance(call.phase, action_calls.Claiming):
        return transitions.Transition(state)
    if verdict is attempts.Verdict.WON:
        return send_won_attempt(call, call.phase, event, state)
    if verdict is attempts.Verdict.EXPIRED:
        return action_claims.abandon_attempt(
            call, action_keys.build_key_expired(), event, state
        )
    return action_claims.return_to_waiting(call, event, state)


def send_won_attempt(
    call: action_calls.ActionCall,
    phase: action_calls.Claiming,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Send an attempt unless records of an earlier one may be missing."""
    partition = state.partitions[action_keys.find_partition(call.key)]
    if not partitions.is_history_complete(call.key, partition):
        return action_claims.abandon_attempt(
            call, action_results.build_records_dropped(), event, state
        )
    claim_duration = effects.Observe(
        'claim_seconds', event.at - phase.claimed_at
    )
    return action_sends.send_action(
        call, frozenset(), event, state
    ).with_effects(claim_duration)


@act_on_record.register(records.AttemptAbandoned)
def act_on_abandoned(
    record: records.AttemptAbandoned,
    verdict: attempts.Verdict,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Remove the mark of an attempt whose abandonment is in the log."""
    table = state.actions.end_abandoning(record.attempt_id)
    return transitions.Transition(action_claims.with_actions(state, table))


@act_on_record.register(records.AttemptDone)
def act_on_done(
    record: records.AttemptDone,
    verdict: attempts.Verdict,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Remove a call of this instance whose answer is in the log."""
    call = state.actions.find_by_attempt(record.attempt_id)
    if call is None or not isinstance(call.phase, action_calls.Recording):
        return transitions.Transition(state)
    return action_claims.remove_call(call, event, state)


@functools.singledispatch
def advance_waiting_calls(
    record: records.Record,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Advance the calls that wait for the key of a record."""
    return transitions.Transition(state)


@advance_waiting_calls.register(records.ActionAttempt)
@advance_waiting_calls.register(records.AttemptAbandoned)
@advance_waiting_calls.register(records.AttemptDone)
def advance_calls_of_key(
    record: (
        records.ActionAttempt | records.AttemptAbandoned | records.AttemptDone
    ),
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Advance the calls that wait for the key of an attempt record."""
    key = action_keys.ActionKey(record.account, record.idempotency_key)
    return action_claims.advance_calls_of_key(key, event, state)


@log_streams.on_gap.register(streams.AttemptStream)
def handle_gap(
    stream: streams.AttemptStream,
    earliest_offset: int,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Record that records were dropped before this instance read them.

    The dropped records are not later than the first record that remains.
    """
    remaining = event.answer.records
    dropped_until = remaining[0].appended_at if remaining else event.wall_time
    return transitions.Transition(
        partitions.record_gap(stream.partition, dropped_until, state),
        (
            effects.Count('attempt_gaps'),
            effects.LogChange(
                'records of a partition were dropped unread',
                (('partition', stream.partition), ('until', dropped_until)),
            ),
        ),
    )


@log_streams.on_append_failed.register(records.ActionAttempt)
def handle_failed_attempt(
    record: records.ActionAttempt,
    event: events.CallFailed | events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Abandon an attempt whose record may or may not be in the log."""
    return action_claims.fail_claim(record.attempt_id, event, state)


@log_streams.on_append_failed.register(records.AttemptAbandoned)
def retry_abandonment(
    record: records.AttemptAbandoned,
    event: events.CallFailed | events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Append an abandonment again unless it has been read back."""
    key = state.actions.abandoning.get(record.attempt_id)
    if key is None:
        return transitions.Transition(state)
    return action_claims.append_record(key, record, state)


@log_streams.on_append_failed.register(records.AttemptDone)
def retry_done_record(
    record: records.AttemptDone,
    event: events.CallFailed | events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Append an answer again unless it has been read back."""
    call = state.actions.find_by_attempt(record.attempt_id)
    if call is None:
        return transitions.Transition(state)
    return action_claims.append_record(call.key, record, state)
