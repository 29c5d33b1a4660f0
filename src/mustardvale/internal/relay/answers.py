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
    completion,
    crash_tracking,
    dispatch,
    event_stream,
    exchanges,
    hedges,
    idle_connections,
    reducer,
    requests,
    runners,
)
from mustardvale.internal.relay import effects as relay_effects
from mustardvale.internal.relay import events as relay_events

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

FIRST_SERVER_ERROR_STATUS = 500
MISDIRECTED_STATUS = 421
# Callers take these statuses to mean that the request has not run. They are
# not forwarded unless the upstream states this with a header.
UNEXECUTED_STATUSES = frozenset((408, 421, 429, 503))
MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024
# Bytes that all open answers of an instance may keep. Only answers with a large
# buffer cause a check, because it costs time for each open request.
MAXIMUM_BUFFERED_BYTES = 32 * 1024 * 1024
LARGE_BUFFER_BYTES = 256 * 1024
# Bytes of an incomplete event after which its stream fails.
MAXIMUM_EVENT_BYTES = 1024 * 1024
# A runner that does not hold the layers of its entry has restarted. Its next
# entry lists the layers that it holds then.
MISDIRECTED_EXCLUSION_SECONDS = 5.0
# A full runner completes a request every few hundred milliseconds.
FULL_EXCLUSION_SECONDS = 0.3
# The platform drops the entry of a crashed runner after three to four seconds.
CRASHED_EXCLUSION_SECONDS = 1.5
# A runner that refuses is considered full, not crashed, if a stream has
# received data through it this recently.
RECENT_ACTIVITY_SECONDS = 0.3
# By then the list has been read again and shows whether the upstream leaves.
CLOSING_DEPRIORITIZE_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class OpenAttempt:
    """Pair a request with the open attempt that an event belongs to."""

    exchange: exchanges.Exchange
    attempt: exchanges.Attempt


def find_open_attempt(
    send_id: str, state: 'states.State'
) -> OpenAttempt | None:
    """Return the request and attempt of a send, unless it has ended."""
    request_id = state.request_ids_by_send.get(send_id)
    if request_id is None:
        return None
    exchange = state.exchanges[request_id]
    attempt = exchanges.find_attempt(exchange, send_id)
    return None if attempt is None else OpenAttempt(exchange, attempt)


@functools.singledispatch
def handle_send_event(
    event: relay_events.SendEvent,
    open_attempt: OpenAttempt,
    state: 'states.State',
) -> reducer.Transition:
    """Handle an event of an open send."""
    raise TypeError(f'no handler for {type(event).__name__}')


@reducer.reduce.register(relay_events.SendEvent)
def reduce_send_event(
    event: relay_events.SendEvent, state: 'states.State'
) -> reducer.Transition:
    """Dispatch on the event; ignore events of sends that have ended."""
    open_attempt = find_open_attempt(event.send_id, state)
    if open_attempt is None:
        return transitions.Transition(state)
    return handle_send_event(event, open_attempt, state)


def store_attempt(
    open_attempt: OpenAttempt, attempt: exchanges.Attempt, state: 'states.State'
) -> 'states.State':
    """Store a changed attempt in the state."""
    changed = exchanges.replace_attempt(open_attempt.exchange, attempt)
    return dataclasses.replace(
        state, exchanges=state.exchanges.set(changed.request_id, changed)
    )


@handle_send_event.register(relay_events.SendStarted)
def handle_send_started(
    event: relay_events.SendStarted,
    open_attempt: OpenAttempt,
    state: 'states.State',
) -> reducer.Transition:
    """Record that the upstream may have received the request."""
    sent = dataclasses.replace(
        open_attempt.attempt, is_sent=True, last_received_at=event.at
    )
    return transitions.Transition(store_attempt(open_attempt, sent, state))


@reducer.reduce.register(relay_events.StrayAnswerArrived)
def handle_stray_answer(
    event: relay_events.StrayAnswerArrived, state: 'states.State'
) -> reducer.Transition:
    """Count and log an answer that belongs to another request."""
    open_attempt = find_open_attempt(event.send_id, state)
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
    open_attempt: OpenAttempt,
    state: 'states.State',
) -> reducer.Transition:
    """Store the head; note what the upstream says of itself.

    An upstream that closes the connection is deprioritized.
    """
    with_head = dataclasses.replace(
        open_attempt.attempt, head=event.head, last_received_at=event.at
    )
    next_state = store_attempt(open_attempt, with_head, state)
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
    open_attempt: OpenAttempt,
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
    open_attempt: OpenAttempt,
    state: 'states.State',
) -> reducer.Transition:
    """Forward the complete events of a stream, or buffer other answers."""
    head = open_attempt.attempt.head
    assert head is not None, 'a body follows its head'
    exchange = open_attempt.exchange
    if exchange.is_stream and is_success(head, exchange):
        return forward_events(open_attempt, head, event, state)
    body = open_attempt.attempt.body.append(event.part)
    if body.size > MAXIMUM_ANSWER_BYTES:
        return retry_failed(
            open_attempt,
            f'the answer is longer than {MAXIMUM_ANSWER_BYTES} bytes',
            event.at,
            state,
        )
    buffered = dataclasses.replace(
        open_attempt.attempt, body=body, last_received_at=event.at
    )
    return limit_buffered_bytes(
        buffered, event.at, store_attempt(open_attempt, buffered, state)
    )


def limit_buffered_bytes(
    changed: exchanges.Attempt, now: float, state: 'states.State'
) -> reducer.Transition:
    """Fail the send with the largest buffer if all buffers are too large.

    Faulty upstreams may answer many requests at once with bytes without an end.
    """
    if changed.buffered_bytes < LARGE_BUFFER_BYTES:
        return transitions.Transition(state)
    open_attempts = [
        OpenAttempt(exchange, attempt)
        for exchange in state.exchanges.values()
        for attempt in exchange.attempts
    ]
    sizes = [found.attempt.buffered_bytes for found in open_attempts]
    if sum(sizes) <= MAXIMUM_BUFFERED_BYTES:
        return transitions.Transition(state)
    largest = open_attempts[sizes.index(max(sizes))]
    return retry_failed(largest, 'too many bytes are buffered', now, state)


def forward_events(
    open_attempt: OpenAttempt,
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
    if not split.has_progress and is_undecided:
        return keep_partial(
            open_attempt, split.complete + split.remainder, event.at, state
        )
    if not split.complete:
        return keep_partial(open_attempt, split.remainder, event.at, state)
    if len(exchange.attempts) == 1:
        return deliver_events(open_attempt, head, split, event.at, state)
    return hedges.abort_others(exchange, attempt, event.at, state).then(
        lambda current: deliver_events(
            OpenAttempt(current.exchanges[exchange.request_id], attempt),
            head,
            split,
            event.at,
            current,
        )
    )


def deliver_events(
    open_attempt: OpenAttempt,
    head: requests.AnswerHead,
    split: event_stream.SplitEvents,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Send complete events of the only open attempt to the caller."""
    exchange = open_attempt.exchange
    next_state = record_events(open_attempt, split, now, state)
    stream_effects: tuple[effects.Effect, ...] = ()
    if not exchange.has_stream_started:
        stream_effects = build_stream_start(exchange, head, now)
    elif exchange.last_event_at is not None:
        stream_effects = (
            effects.Observe(
                'between_events_seconds', now - exchange.last_event_at
            ),
        )
    part = effects.StreamPart(exchange.request_id, split.complete)
    forwarded = transitions.Transition(next_state, (*stream_effects, part))
    if exchange.has_stream_started or not split.has_progress:
        return forwarded
    return forwarded.then(
        lambda current: crash_tracking.note_first_event(exchange, now, current)
    )


def keep_partial(
    open_attempt: OpenAttempt, partial: bytes, now: float, state: 'states.State'
) -> reducer.Transition:
    """Keep the bytes of an incomplete event, which are no progress."""
    if len(partial) > MAXIMUM_EVENT_BYTES:
        return retry_failed(
            open_attempt,
            f'an event is longer than {MAXIMUM_EVENT_BYTES} bytes',
            now,
            state,
        )
    kept = dataclasses.replace(open_attempt.attempt, partial_event=partial)
    return limit_buffered_bytes(
        kept, now, store_attempt(open_attempt, kept, state)
    )


def record_events(
    open_attempt: OpenAttempt,
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
        kept = dataclasses.replace(attempt, partial_event=split.remainder)
        return store_attempt(open_attempt, kept, state)
    first = now if attempt.first_event_at is None else attempt.first_event_at
    received = dataclasses.replace(
        attempt,
        last_received_at=now,
        first_event_at=first,
        partial_event=split.remainder,
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
    return store_exchange(changed, state)


def build_stream_start(
    exchange: exchanges.Exchange, head: requests.AnswerHead, now: float
) -> tuple[effects.Effect, ...]:
    """Return the effects that precede the first event of a stream."""
    return (
        effects.Observe('first_event_seconds', now - exchange.arrived_at),
        relay_effects.StartStream(exchange.request_id, head),
    )


@handle_send_event.register(relay_events.SendEnded)
def handle_send_ended(
    event: relay_events.SendEnded,
    open_attempt: OpenAttempt,
    state: 'states.State',
) -> reducer.Transition:
    """Handle an answer that is complete."""
    head = open_attempt.attempt.head
    assert head is not None, 'an answer ends after its head'
    state = update_runner(open_attempt, head, event.at, state)
    if head.is_unexecuted:
        return retry_refused(open_attempt, head, event.at, state)
    exchange = open_attempt.exchange
    if exchange.is_stream:
        return end_stream(open_attempt, head, event.at, state)
    forward = forward_answer
    if not is_success(head, exchange):
        forward = handle_error_answer
    return forward(open_attempt, head, event.at, state).then(
        lambda current: crash_tracking.note_first_event(
            exchange, event.at, current
        )
    )


def end_stream(
    open_attempt: OpenAttempt,
    head: requests.AnswerHead,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Handle the end of an answer to a request for a stream."""
    if is_success(head, open_attempt.exchange):
        return complete_stream(open_attempt, now, state)
    return handle_error_answer(open_attempt, head, now, state)


def update_runner(
    open_attempt: OpenAttempt,
    head: requests.AnswerHead,
    now: float,
    state: 'states.State',
) -> 'states.State':
    """Update the record of an upstream, on which later choices depend."""
    runner_map = state.runners
    runner_id = open_attempt.attempt.runner_id
    if head.is_unexecuted:
        reported = runners.find_id_by_address(runner_map, head.fault_address)
        at_fault = reported or runner_id
        if open_attempt.attempt.chain or head.status == MISDIRECTED_STATUS:
            until = now + choose_exclusion_seconds(
                at_fault, head.status, now, state
            )
            runner_map = runners.exclude(runner_map, at_fault, until)
        else:
            runner_map = runners.record_refusal(runner_map, at_fault, now)
    elif not open_attempt.exchange.is_stream:
        is_healthy = head.status < FIRST_SERVER_ERROR_STATUS
        seconds = now - open_attempt.attempt.started_at
        runner_map = runners.record_answer(
            runner_map, runner_id, seconds, is_healthy
        )
    return dataclasses.replace(state, runners=runner_map)


def choose_exclusion_seconds(
    at_fault: str, status: int, now: float, state: 'states.State'
) -> float:
    """Return for how many seconds to exclude a runner that refused."""
    if status == MISDIRECTED_STATUS:
        return MISDIRECTED_EXCLUSION_SECONDS
    return estimate_outage_seconds(at_fault, now, state)


def estimate_outage_seconds(
    at_fault: str, now: float, state: 'states.State'
) -> float:
    """Return how long a runner that refuses is assumed to do so.

    A refusal does not show whether the runner is full or has crashed. A
    runner that has just delivered part of a stream is considered full.
    """
    last_activity = exchanges.list_last_activity(state.exchanges)
    if now - last_activity.get(at_fault, 0.0) < RECENT_ACTIVITY_SECONDS:
        return FULL_EXCLUSION_SECONDS
    return CRASHED_EXCLUSION_SECONDS


def complete_stream(
    open_attempt: OpenAttempt, now: float, state: 'states.State'
) -> reducer.Transition:
    """Complete a stream, or retry it if it ended within an event.

    A send that ends without any event has not continued the stream: its answer
    may be one that ended early, with its connection.
    """
    exchange, attempt = open_attempt.exchange, open_attempt.attempt
    is_truncated = bool(attempt.partial_event)
    if is_truncated or attempt.first_event_at is None:
        return retry_failed(
            open_attempt,
            'the stream ended within an event or without any',
            now,
            state,
        )
    remaining, state = completion.end_attempt(
        exchange, open_attempt.attempt, state
    )
    return completion.finish_exchange(
        remaining,
        'stream_completed',
        (('last_event', exchange.last_event_id),),
        now,
        state,
        is_routine=exchange.send_count == 1,
    ).with_effects(effects.StreamEnd(exchange.request_id, None))


def forward_answer(
    open_attempt: OpenAttempt,
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
    open_attempt: OpenAttempt,
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
        is_routine=head.status < FIRST_SERVER_ERROR_STATUS
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
    open_attempt: OpenAttempt,
    head: requests.AnswerHead,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Retry a request after an error, or forward the error."""
    problem = f'status {head.status}'
    if head.status // 100 == 2:
        return retry_failed(
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
            store_exchange(remaining, next_state),
            (build_failure_log(remaining, open_attempt.attempt, problem, now),),
        )
    should_retry = (
        head.status >= FIRST_SERVER_ERROR_STATUS
        and dispatch.may_retry(remaining, now, next_state)
    )
    if (
        should_retry
        and dispatch.choose_target(remaining, now, next_state) is not None
    ):
        return dispatch.try_send(
            remaining, now, store_exchange(remaining, next_state)
        )
    if remaining.has_stream_started or head.status in UNEXECUTED_STATUSES:
        return completion.fail_exchange(remaining, problem, now, next_state)
    return forward_answer(open_attempt, head, now, state)


def is_final(exchange: exchanges.Exchange, head: requests.AnswerHead) -> bool:
    """Return whether an error decides a request that has another send open."""
    return (
        not exchange.is_stream
        and head.status < FIRST_SERVER_ERROR_STATUS
        and head.status not in UNEXECUTED_STATUSES
    )


def store_exchange(
    exchange: exchanges.Exchange, state: 'states.State'
) -> 'states.State':
    """Store a changed request in the state."""
    return dataclasses.replace(
        state, exchanges=state.exchanges.set(exchange.request_id, exchange)
    )


def retry_refused(
    open_attempt: OpenAttempt,
    head: requests.AnswerHead,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Retry a request that an upstream refused to run."""
    remaining, state = completion.end_attempt(
        open_attempt.exchange, open_attempt.attempt, state
    )
    at_fault = runners.find_id_by_address(state.runners, head.fault_address)
    refused = dataclasses.replace(
        remaining,
        tried_runner_ids=remaining.tried_runner_ids
        | {at_fault or open_attempt.attempt.runner_id},
        last_problem=f'refused without running, status {head.status}',
    )
    retried = retry_or_fail(refused, now, store_exchange(refused, state))
    log_effect = relay_effects.LogDecision(
        'send_refused',
        (
            ('request', refused.request.attempt_id),
            ('runner', open_attempt.attempt.runner_id),
            ('chain', dispatch.format_chain(open_attempt.attempt.chain)),
            ('status', head.status),
            ('at_fault', at_fault or head.fault_address),
            ('ms', int((now - open_attempt.attempt.started_at) * 1000)),
        ),
    )
    return transitions.Transition(retried.state, (log_effect, *retried.effects))


@handle_send_event.register(relay_events.SendFailed)
def handle_send_failed(
    event: relay_events.SendFailed,
    open_attempt: OpenAttempt,
    state: 'states.State',
) -> reducer.Transition:
    """Handle a send that ended without a complete answer."""
    problem = event.failure.kind.value
    if event.failure.kind is events.FailureKind.REFUSED:
        state = exclude_unconnected(open_attempt.attempt, event.at, state)
    limited: reducer.Transition = transitions.Transition(state)
    if open_attempt.attempt.head is None:
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
        lambda current: retry_failed(open_attempt, problem, event.at, current)
    )


def exclude_unconnected(
    attempt: exchanges.Attempt, now: float, state: 'states.State'
) -> 'states.State':
    """Exclude the first runner of a chain that accepts no connection.

    The runner of a plain service is only deprioritized by `retry_failed`: its
    service has few runners, and one that is full refuses connections too.
    """
    runner = state.runners.get(attempt.runner_id)
    if not attempt.chain or runner is None or runner.excluded_until > now:
        return state
    seconds = estimate_outage_seconds(attempt.runner_id, now, state)
    runner_map = runners.exclude(
        state.runners, attempt.runner_id, now + seconds
    )
    if seconds == CRASHED_EXCLUSION_SECONDS:
        runner_map = runners.record_unconnected(
            runner_map, attempt.runner_id, now + seconds
        )
    return dataclasses.replace(state, runners=runner_map)


def retry_failed(
    open_attempt: OpenAttempt, problem: str, now: float, state: 'states.State'
) -> reducer.Transition:
    """Abort a failed send and retry the request, or fail it."""
    remaining, state = completion.end_attempt(
        open_attempt.exchange, open_attempt.attempt, state
    )
    runner_map = runners.record_failure(
        state.runners, open_attempt.attempt.runner_id, now
    )
    failed = exchanges.record_failed_attempt(
        remaining, open_attempt.attempt, problem
    )
    state = store_exchange(
        failed,
        dataclasses.replace(
            state,
            runners=runner_map,
            retry_buckets=dispatch.return_retry_charge(
                failed, open_attempt.attempt, now, state
            ),
        ),
    )
    abort = relay_effects.AbortSend(open_attempt.attempt.send_id)
    log_effect = build_failure_log(failed, open_attempt.attempt, problem, now)
    retried = retry_or_fail(failed, now, state)
    return transitions.Transition(
        retried.state, (abort, log_effect, *retried.effects)
    )


def build_failure_log(
    exchange: exchanges.Exchange,
    attempt: exchanges.Attempt,
    problem: str,
    now: float,
) -> effects.Effect:
    """Return the effect that logs a failed send."""
    return relay_effects.LogDecision(
        'send_failed',
        (
            ('request', exchange.request.attempt_id),
            ('runner', attempt.runner_id),
            ('chain', dispatch.format_chain(attempt.chain)),
            ('problem', problem),
            ('sent', attempt.is_sent),
            ('last_event', exchange.last_event_id),
            ('silent_ms', int((now - attempt.last_received_at) * 1000)),
            ('open', len(exchange.attempts)),
        ),
    )


def retry_or_fail(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> reducer.Transition:
    """Retry a request, or fail it; do nothing while another send is open."""
    if exchange.attempts:
        return transitions.Transition(state)
    if dispatch.may_retry(exchange, now, state):
        return dispatch.try_send(exchange, now, state)
    return completion.fail_exchange(exchange, exchange.last_problem, now, state)
