"""Handle the answers of upstreams and failed sends.

Answers that are not streams are buffered until they are complete, so that a
truncated one can be retried or reported as an error. Streams are forwarded
one complete event at a time.
"""

import dataclasses
import functools
import typing

from mustardvale.internal import effects, events, transitions
from mustardvale.internal.relay import (
    announcements,
    choices,
    completion,
    crash_tracking,
    dispatch,
    exchanges,
    failed_sends,
    hedges,
    idle_connections,
    lost_requests,
    open_attempts,
    reducer,
    requests,
    runners,
    stream_answers,
    upstream_health,
)
from mustardvale.internal.relay import effects as relay_effects
from mustardvale.internal.relay import events as relay_events

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

# Callers take these statuses to mean that the request has not run. They are
# not forwarded unless the upstream states this with a header.
UNEXECUTED_STATUSES = frozenset((408, 421, 429, 503))
MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024
# By then the list has been read again and shows whether the upstream leaves.
CLOSING_DEPRIORITIZE_SECONDS = 1.0


@functools.singledispatch
def handle_send_event(
    event: relay_events.SendEvent,
    open_attempt: open_attempts.OpenAttempt,
    state: 'states.State',
) -> reducer.Transition:
    """Handle an event of an open send."""
    raise TypeError(f'no handler for {type(event).__name__}')


@reducer.reduce.register(relay_events.SendEvent)
def reduce_send_event(
    event: relay_events.SendEvent, state: 'states.State'
) -> reducer.Transition:
    """Dispatch on the event; ignore events of sends that have ended."""
    open_attempt = open_attempts.find_open_attempt(event.send_id, state)
    if open_attempt is None:
        return transitions.Transition(state)
    return handle_send_event(event, open_attempt, state)


@handle_send_event.register(relay_events.SendStarted)
def handle_send_started(
    event: relay_events.SendStarted,
    open_attempt: open_attempts.OpenAttempt,
    state: 'states.State',
) -> reducer.Transition:
    """Record that the upstream may have received the request."""
    sent = dataclasses.replace(
        open_attempt.attempt, is_sent=True, last_received_at=event.at
    )
    return transitions.Transition(
        open_attempts.store_attempt(open_attempt, sent, state)
    )


@reducer.reduce.register(relay_events.StrayAnswerArrived)
def handle_stray_answer(
    event: relay_events.StrayAnswerArrived, state: 'states.State'
) -> reducer.Transition:
    """Count and log an answer that belongs to another request."""
    open_attempt = open_attempts.find_open_attempt(event.send_id, state)
    runner = open_attempt.attempt.runner_id if open_attempt else None
    return transitions.Transition(
        state,
        (
            effects.Count('stray_answers', ()),
            relay_effects.LogDecision(
                'answer_skipped',
                (('runner', runner), ('status', event.status)),
            ),
        ),
    )


@handle_send_event.register(relay_events.HeadArrived)
def handle_head(
    event: relay_events.HeadArrived,
    open_attempt: open_attempts.OpenAttempt,
    state: 'states.State',
) -> reducer.Transition:
    """Store the head; note what the upstream says of itself.

    An upstream that closes the connection is deprioritized.
    """
    with_head = dataclasses.replace(
        open_attempt.attempt, head=event.head, last_received_at=event.at
    )
    next_state = open_attempts.store_attempt(open_attempt, with_head, state)
    if event.head.is_closing:
        until = event.at + CLOSING_DEPRIORITIZE_SECONDS
        runner_map = runners.deprioritize(
            next_state.runners, open_attempt.attempt.runner_id, until
        )
        next_state = dataclasses.replace(next_state, runners=runner_map)
    return note_announcement(
        open_attempt.attempt, event.head.announcement, event.at, next_state
    )


@handle_send_event.register(relay_events.InterimAnswerArrived)
def handle_interim_answer(
    event: relay_events.InterimAnswerArrived,
    open_attempt: open_attempts.OpenAttempt,
    state: 'states.State',
) -> reducer.Transition:
    """Note what an upstream says of itself before its answer."""
    return note_announcement(
        open_attempt.attempt, event.announcement, event.at, state
    )


def note_announcement(
    attempt: exchanges.Attempt,
    announcement: requests.Announcement,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Record an announcement of the upstream that a send has reached."""
    return announcements.record_announcement(
        attempt.runner_id,
        announcement,
        now,
        state,
        process_started_at_ms=attempt.process_started_at_ms,
    )


def is_success(head: requests.AnswerHead, exchange: exchanges.Exchange) -> bool:
    """Return whether a head starts a success with the runner's proof.

    A stream continues only with events. Another answer would add its text to
    them, or end the stream as if it were complete.
    """
    is_proven = head.has_proof and not head.is_unexecuted
    is_plain = head.status // 100 == 2 and not head.is_encoded
    has_kind = head.is_event_stream or not exchange.is_stream
    return is_proven and is_plain and has_kind


@handle_send_event.register(relay_events.PartArrived)
def handle_part(
    event: relay_events.PartArrived,
    open_attempt: open_attempts.OpenAttempt,
    state: 'states.State',
) -> reducer.Transition:
    """Forward the complete events of a stream, or buffer other answers."""
    head = open_attempt.attempt.head
    assert head is not None, 'a body follows its head'
    exchange = open_attempt.exchange
    if exchange.is_stream and is_success(head, exchange):
        return stream_answers.forward_events(open_attempt, head, event, state)
    body = open_attempt.attempt.body.append(event.part)
    if body.size > MAXIMUM_ANSWER_BYTES:
        return failed_sends.retry_failed(
            open_attempt,
            f'the answer is longer than {MAXIMUM_ANSWER_BYTES} bytes',
            event.at,
            state,
        )
    buffered = dataclasses.replace(
        open_attempt.attempt, body=body, last_received_at=event.at
    )
    return failed_sends.limit_buffered_bytes(
        open_attempt.attempt,
        buffered,
        event.at,
        open_attempts.store_attempt(open_attempt, buffered, state),
    )


@handle_send_event.register(relay_events.SendEnded)
def handle_send_ended(
    event: relay_events.SendEnded,
    open_attempt: open_attempts.OpenAttempt,
    state: 'states.State',
) -> reducer.Transition:
    """Handle an answer that is complete."""
    head = open_attempt.attempt.head
    assert head is not None, 'an answer ends after its head'
    state = upstream_health.update_runner(open_attempt, head, event.at, state)
    if head.is_unexecuted:
        return failed_sends.retry_refused(open_attempt, head, event.at, state)
    exchange = open_attempt.exchange
    if exchange.is_stream:
        return end_stream(open_attempt, head, event.at, state)
    forward = forward_answer
    if not is_success(head, exchange):
        forward = handle_error_answer
    return (
        forward(open_attempt, head, event.at, state)
        .then(
            lambda current: crash_tracking.note_first_event(
                exchange, event.at, current
            )
        )
        .then(
            lambda current: lost_requests.note_completion(
                exchange, event.at, current
            )
        )
    )


def end_stream(
    open_attempt: open_attempts.OpenAttempt,
    head: requests.AnswerHead,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Handle the end of an answer to a request for a stream."""
    if is_success(head, open_attempt.exchange):
        return stream_answers.complete_stream(open_attempt, now, state)
    return handle_error_answer(open_attempt, head, now, state)


def forward_answer(
    open_attempt: open_attempts.OpenAttempt,
    head: requests.AnswerHead,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Forward a complete answer to the caller."""
    overtaken = hedges.abort_others(
        open_attempt.exchange, open_attempt.attempt, now, state
    )
    return overtaken.then(
        lambda current: reply_with_answer(open_attempt, head, now, current)
    )


def reply_with_answer(
    open_attempt: open_attempts.OpenAttempt,
    head: requests.AnswerHead,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Complete a request with the answer of its only open attempt."""
    exchange = state.exchanges[open_attempt.exchange.request_id]
    remaining, state = completion.end_attempt(
        exchange, open_attempt.attempt, state
    )
    return completion.finish_exchange(
        remaining,
        'request_answered',
        (('status', head.status), ('runner', open_attempt.attempt.runner_id)),
        now,
        state,
        is_routine=head.status < upstream_health.FIRST_SERVER_ERROR_STATUS
        and remaining.send_count == 1,
    ).with_effects(
        effects.Reply(
            remaining.request_id,
            requests.RelayedAnswer(
                head.status, head.headers, open_attempt.attempt.body.join()
            ),
        )
    )


def handle_error_answer(
    open_attempt: open_attempts.OpenAttempt,
    head: requests.AnswerHead,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Retry a request after an error, or forward the error."""
    problem = f'status {head.status}'
    if head.status // 100 == 2:
        return failed_sends.retry_failed(
            open_attempt,
            'the answer has no proof, or another form than expected',
            now,
            state,
        )
    remaining, next_state = completion.end_attempt(
        open_attempt.exchange, open_attempt.attempt, state
    )
    remaining = exchanges.record_failed_attempt(
        remaining, open_attempt.attempt, problem
    )
    if remaining.attempts and not is_final(remaining, head):
        return transitions.Transition(
            open_attempts.store_exchange(remaining, next_state),
            (
                failed_sends.build_failure_log(
                    remaining, open_attempt.attempt, problem, now
                ),
            ),
        )
    should_retry = (
        head.status >= upstream_health.FIRST_SERVER_ERROR_STATUS
        and dispatch.may_retry(remaining, now, next_state)
    )
    if (
        should_retry
        and choices.choose_target(remaining, now, next_state) is not None
    ):
        return dispatch.try_send(
            remaining, now, open_attempts.store_exchange(remaining, next_state)
        )
    if remaining.has_stream_started or head.status in UNEXECUTED_STATUSES:
        return completion.fail_exchange(remaining, problem, now, next_state)
    return forward_answer(open_attempt, head, now, state)


def is_final(exchange: exchanges.Exchange, head: requests.AnswerHead) -> bool:
    """Return whether an error decides a request that has another send open."""
    return (
        not exchange.is_stream
        and head.status < upstream_health.FIRST_SERVER_ERROR_STATUS
        and head.status not in UNEXECUTED_STATUSES
    )


@handle_send_event.register(relay_events.SendFailed)
def handle_send_failed(
    event: relay_events.SendFailed,
    open_attempt: open_attempts.OpenAttempt,
    state: 'states.State',
) -> reducer.Transition:
    """Handle a send that ended without a complete answer."""
    problem = event.failure.kind.value
    if event.failure.kind is events.FailureKind.REFUSED:
        state = upstream_health.exclude_unconnected(
            open_attempt.attempt, event.at, state
        )
    limited: reducer.Transition = transitions.Transition(state)
    is_malformed = event.failure.kind is events.FailureKind.MALFORMED
    if open_attempt.attempt.head is None and not is_malformed:
        limited = idle_connections.record_reset(event.idle_seconds, state)
    noted = limited.then(
        lambda current: crash_tracking.note_lost_send(
            open_attempt.exchange,
            open_attempt.attempt,
            event.failure,
            event.at,
            current,
        )
    )
    if open_attempt.exchange.request_id not in noted.state.exchanges:
        # The request was refused because of what this crash has shown.
        return noted
    return noted.then(
        lambda current: failed_sends.retry_failed(
            open_attempt, problem, event.at, current
        )
    )
