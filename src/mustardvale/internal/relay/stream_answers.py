"""Forward streams, one complete event at a time."""

import dataclasses
import typing

from mustardvale.internal import effects, transitions
from mustardvale.internal.relay import (
    answer_bodies,
    completion,
    crash_tracking,
    event_stream,
    exchanges,
    failed_sends,
    hedges,
    lost_requests,
    open_attempts,
    pace_tracking,
    reducer,
    requests,
    runners,
)
from mustardvale.internal.relay import effects as relay_effects
from mustardvale.internal.relay import events as relay_events

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

# An event after a shorter pause tells nothing new of the runners of a stream.
SILENCE_SECONDS = 0.15
# Bytes of an incomplete event after which its stream fails.
MAXIMUM_EVENT_BYTES = 1024 * 1024


def forward_events(
    open_attempt: open_attempts.OpenAttempt,
    head: requests.AnswerHead,
    event: relay_events.PartArrived,
    state: 'states.State',
) -> reducer.Transition:
    """Forward the events that a part completes.

    Comments before the first event are kept back until it arrives, because the
    request can go to another runner only until its answer has begun. So are
    those of a send that has another one beside it.
    """
    exchange, attempt = open_attempt.exchange, open_attempt.attempt
    split = event_stream.split_events(
        attempt.partial_event, event.part, exchange.last_event_id
    )
    is_undecided = not exchange.has_stream_started or len(exchange.attempts) > 1
    if not split.complete or (is_undecided and not split.has_progress):
        return keep_events(open_attempt, split, event.at, state)
    if len(exchange.attempts) == 1:
        return deliver_events(open_attempt, head, split, event.at, state)
    return hedges.abort_others(exchange, attempt, event.at, state).then(
        lambda current: deliver_events(
            open_attempts.OpenAttempt(
                current.exchanges[exchange.request_id], attempt
            ),
            head,
            split,
            event.at,
            current,
        )
    )


def deliver_events(
    open_attempt: open_attempts.OpenAttempt,
    head: requests.AnswerHead,
    split: event_stream.SplitEvents,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Send complete events of the only open attempt to the caller."""
    exchange = open_attempt.exchange
    next_state = record_events(open_attempt, split, now, state)
    if is_after_silence(open_attempt.attempt, now):
        next_state = record_return(open_attempt.attempt, next_state)
    if open_attempt.attempt.first_event_at is None and split.has_progress:
        next_state = pace_tracking.note_answer(
            exchange, open_attempt.attempt, now, next_state
        )
    stream_effects: tuple[effects.Effect, ...] = ()
    if not exchange.has_stream_started:
        stream_effects = build_stream_start(exchange, head, now)
    elif exchange.last_event_at is not None:
        stream_effects = (
            effects.Observe(
                'between_events_seconds', now - exchange.last_event_at
            ),
        )
    withheld = open_attempt.attempt.withheld_events.join()
    part = effects.StreamPart(exchange.request_id, withheld + split.complete)
    forwarded = transitions.Transition(next_state, (*stream_effects, part))
    if exchange.has_stream_started or not split.has_progress:
        return forwarded
    return forwarded.then(
        lambda current: crash_tracking.note_first_event(exchange, now, current)
    )


def is_after_silence(attempt: exchanges.Attempt, now: float) -> bool:
    """Return whether an event may show that silent runners have returned."""
    is_first = attempt.first_event_at is None
    return is_first or now - attempt.last_received_at >= SILENCE_SECONDS


def record_return(
    attempt: exchanges.Attempt, state: 'states.State'
) -> 'states.State':
    """End the exclusion of silent runners through which an event came."""
    runner_map = state.runners
    for part in attempt.chain:
        runner_map = runners.record_activity(runner_map, part.runner_id)
    return dataclasses.replace(state, runners=runner_map)


def keep_events(
    open_attempt: open_attempts.OpenAttempt,
    split: event_stream.SplitEvents,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Keep an incomplete event and comments, which are no progress."""
    attempt = open_attempt.attempt
    kept = dataclasses.replace(
        attempt,
        partial_event=split.partial,
        withheld_events=attempt.withheld_events.append(split.complete),
    )
    if kept.buffered_bytes > MAXIMUM_EVENT_BYTES:
        return failed_sends.retry_failed(
            open_attempt,
            f'an event is longer than {MAXIMUM_EVENT_BYTES} bytes',
            now,
            state,
        )
    return failed_sends.limit_buffered_bytes(
        attempt,
        kept,
        now,
        open_attempts.store_attempt(open_attempt, kept, state),
    )


def record_events(
    open_attempt: open_attempts.OpenAttempt,
    split: event_stream.SplitEvents,
    now: float,
    state: 'states.State',
) -> 'states.State':
    """Store the progress of a stream, in as few copies as possible.

    This runs for each part of every stream. A stream that sends only comments
    makes no progress.
    """
    exchange, attempt = open_attempt.exchange, open_attempt.attempt
    if not split.has_progress:
        kept = dataclasses.replace(
            attempt,
            partial_event=split.partial,
            withheld_events=answer_bodies.EMPTY_BODY,
        )
        return open_attempts.store_attempt(open_attempt, kept, state)
    first = now if attempt.first_event_at is None else attempt.first_event_at
    received = dataclasses.replace(
        attempt,
        last_received_at=now,
        first_event_at=first,
        partial_event=split.partial,
        withheld_events=answer_bodies.EMPTY_BODY,
    )
    last_event = exchange.last_event_id
    changed = dataclasses.replace(
        exchange,
        attempts=(received,),
        has_stream_started=True,
        last_event_at=now,
        last_event_id=last_event
        if split.last_event_id is None
        else split.last_event_id,
    )
    return open_attempts.store_exchange(changed, state)


def build_stream_start(
    exchange: exchanges.Exchange, head: requests.AnswerHead, now: float
) -> tuple[effects.Effect, ...]:
    """Return the effects that precede the first event of a stream."""
    return (
        effects.Observe('first_event_seconds', now - exchange.arrived_at),
        relay_effects.StartStream(exchange.request_id, head),
    )


def complete_stream(
    open_attempt: open_attempts.OpenAttempt, now: float, state: 'states.State'
) -> reducer.Transition:
    """Complete a stream, or retry it if it ended within an event.

    A send that ends without any event has not continued the stream: its answer
    may be one that ended early, with its connection.
    """
    exchange, attempt = open_attempt.exchange, open_attempt.attempt
    is_truncated = attempt.partial_event.body.size > 0
    if is_truncated or attempt.first_event_at is None:
        return failed_sends.retry_failed(
            open_attempt,
            'the stream ended within an event or without any',
            now,
            state,
        )
    remaining, state = completion.end_attempt(
        exchange, open_attempt.attempt, state
    )
    return (
        completion.finish_exchange(
            remaining,
            'stream_completed',
            (('last_event', exchange.last_event_id),),
            now,
            state,
            is_routine=exchange.send_count == 1,
        )
        .with_effects(effects.StreamEnd(exchange.request_id, None))
        .then(
            lambda current: lost_requests.note_completion(
                exchange, now, current
            )
        )
    )
