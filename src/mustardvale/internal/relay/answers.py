"""Handle what comes back from upstreams.

Whole answers are kept until they have ended, so that one that is cut short can
be replaced or reported as failed. Streams go on as whole events.
"""

import dataclasses
import functools
import typing

from mustardvale.internal import effects, transitions
from mustardvale.internal.relay import (
    dispatch,
    completion,
    event_stream,
    exchanges,
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
# These statuses promise that a request has not run. Without the upstream's
# own word for it they must not reach the caller.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024
# A runner that does not hold what its entry says has started again; the next
# entry tells what it holds.
MISDIRECTED_EXCLUSION_SECONDS = 5.0
# Requests end in some hundred milliseconds at a runner that is full.
FULL_EXCLUSION_SECONDS = 0.3
# The platform drops the entry of a crashed runner after three to four seconds.
CRASHED_EXCLUSION_SECONDS = 1.5
RECENT_STREAM_SECONDS = 0.3
# The next read of the list tells whether an upstream leaves.
LEAVING_AVOID_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class OpenAttempt:
    """Pair a request with the attempt that an event belongs to."""

    exchange: exchanges.Exchange
    attempt: exchanges.Attempt


def find_open_attempt(
    send_id: str, state: 'states.State'
) -> OpenAttempt | None:
    """Return the request and attempt of a send, unless it is over."""
    request_id = state.sends.get(send_id)
    if request_id is None:
        return None
    exchange = state.exchanges[request_id]
    attempt = exchanges.find_attempt(exchange, send_id)
    return None if attempt is None else OpenAttempt(exchange, attempt)


@functools.singledispatch
def handle_send_event(
    event: relay_events.SendEvent, found: OpenAttempt, state: 'states.State'
) -> reducer.Transition:
    """Handle an event of a send that is not over."""
    raise TypeError(f'no handler for {type(event).__name__}')


@reducer.reduce.register(relay_events.SendEvent)
def reduce_send_event(
    event: relay_events.SendEvent, state: 'states.State'
) -> reducer.Transition:
    """Dispatch on the event; one of a send that is over changes nothing."""
    found = find_open_attempt(event.send_id, state)
    if found is None:
        return transitions.Transition(state)
    return handle_send_event(event, found, state)


def store_attempt(
    found: OpenAttempt, attempt: exchanges.Attempt, state: 'states.State'
) -> 'states.State':
    """Keep a changed attempt."""
    changed = exchanges.replace_attempt(found.exchange, attempt)
    return dataclasses.replace(
        state, exchanges=state.exchanges.set(changed.request_id, changed)
    )


@handle_send_event.register(relay_events.SendStarted)
def handle_send_started(
    event: relay_events.SendStarted, found: OpenAttempt, state: 'states.State'
) -> reducer.Transition:
    """Note that the upstream may have received the request."""
    sent = dataclasses.replace(found.attempt, sent=True, heard_at=event.at)
    return transitions.Transition(store_attempt(found, sent, state))


@reducer.reduce.register(relay_events.StrayAnswerArrived)
def handle_stray_answer(
    event: relay_events.StrayAnswerArrived, state: 'states.State'
) -> reducer.Transition:
    """Count and log an answer that belonged to another request."""
    found = find_open_attempt(event.send_id, state)
    runner = found.attempt.runner_id if found else None
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
    event: relay_events.HeadArrived, found: OpenAttempt, state: 'states.State'
) -> reducer.Transition:
    """Keep the head of an answer."""
    headed = dataclasses.replace(
        found.attempt, head=event.head, heard_at=event.at
    )
    kept = store_attempt(found, headed, state)
    if event.head.leaving:
        until = event.at + LEAVING_AVOID_SECONDS
        table = runners.avoid(kept.runners, found.attempt.runner_id, until)
        kept = dataclasses.replace(kept, runners=table)
    return transitions.Transition(kept)


def is_success(head: requests.AnswerHead) -> bool:
    """Return whether a head begins a success that the runner vouches for."""
    return head.status // 100 == 2 and head.proven and not head.encoded


@handle_send_event.register(relay_events.PartArrived)
def handle_part(
    event: relay_events.PartArrived, found: OpenAttempt, state: 'states.State'
) -> reducer.Transition:
    """Pass on whole events of a stream, or keep a part of a whole answer."""
    head = found.attempt.head
    assert head is not None, 'a body follows its head'
    if found.exchange.is_stream and is_success(head):
        return forward_events(found, head, event, state)
    body = found.attempt.body + event.part
    if len(body) > MAXIMUM_ANSWER_BYTES:
        return retry_failed(found, 'answer too large', event.at, state)
    grown = dataclasses.replace(found.attempt, body=body, heard_at=event.at)
    return transitions.Transition(store_attempt(found, grown, state))


def forward_events(
    found: OpenAttempt,
    head: requests.AnswerHead,
    event: relay_events.PartArrived,
    state: 'states.State',
) -> reducer.Transition:
    """Pass on the events that are whole now."""
    exchange = found.exchange
    split = event_stream.split(exchange.rest, event.part, exchange.last_event)
    next_state = record_events(found, split, event.at, state)
    if not split.whole:
        return transitions.Transition(next_state)
    asked: tuple[effects.Effect, ...] = ()
    if not exchange.streaming:
        asked = build_stream_start(exchange, head, event.at)
    elif exchange.events_at is not None:
        asked = (
            effects.Observe(
                'between_events_seconds', event.at - exchange.events_at
            ),
        )
    part = effects.StreamPart(exchange.request_id, split.whole)
    return transitions.Transition(next_state, (*asked, part))


def record_events(
    found: OpenAttempt,
    split: event_stream.Split,
    now: float,
    state: 'states.State',
) -> 'states.State':
    """Keep what has arrived of a stream, in as few copies as possible."""
    exchange, attempt = found.exchange, found.attempt
    if not split.whole:
        heard = dataclasses.replace(attempt, heard_at=now)
        return store_exchange(
            dataclasses.replace(
                exchanges.replace_attempt(exchange, heard), rest=split.rest
            ),
            state,
        )
    first = now if attempt.first_heard_at is None else attempt.first_heard_at
    heard = dataclasses.replace(attempt, heard_at=now, first_heard_at=first)
    last = exchange.last_event
    changed = dataclasses.replace(
        exchange,
        attempts=(heard,),
        rest=split.rest,
        streaming=True,
        events_at=now,
        last_event=last if split.last_event is None else split.last_event,
    )
    return store_exchange(changed, state)


def build_stream_start(
    exchange: exchanges.Exchange, head: requests.AnswerHead, now: float
) -> tuple[effects.Effect, ...]:
    """Return the effects of the first event of a stream."""
    return (
        effects.Observe('first_event_seconds', now - exchange.arrived_at),
        relay_effects.StartStream(exchange.request_id, head),
    )


@handle_send_event.register(relay_events.SendEnded)
def handle_send_ended(
    event: relay_events.SendEnded, found: OpenAttempt, state: 'states.State'
) -> reducer.Transition:
    """Handle the complete end of an answer."""
    head = found.attempt.head
    assert head is not None, 'an answer ends after its head'
    state = update_runner(found, head, event.at, state)
    if head.not_run:
        return retry_refused(found, head, event.at, state)
    if is_success(head):
        if found.exchange.is_stream:
            return complete_stream(found, event.at, state)
        return forward_answer(found, head, event.at, state)
    return handle_error_answer(found, head, event.at, state)


def update_runner(
    found: OpenAttempt,
    head: requests.AnswerHead,
    now: float,
    state: 'states.State',
) -> 'states.State':
    """Note how an upstream answers, which later choices depend on."""
    table = state.runners
    runner_id = found.attempt.runner_id
    if head.not_run:
        named = runners.find_address(table, head.fault_address)
        at_fault = named or runner_id
        if found.attempt.chain or head.status == MISDIRECTED_STATUS:
            until = now + choose_exclusion_seconds(
                at_fault, head.status, now, state
            )
            table = runners.shun(table, at_fault, until)
    elif not found.exchange.is_stream:
        sound = head.status < FIRST_SERVER_ERROR_STATUS
        seconds = now - found.attempt.started_at
        table = runners.answered(table, runner_id, seconds, sound)
    return dataclasses.replace(state, runners=table)


def choose_exclusion_seconds(
    at_fault: str, status: int, now: float, state: 'states.State'
) -> float:
    """Return how long nothing new goes to a runner that has refused.

    A refusal says neither whether the runner is full or gone; one through
    which a stream flows is full.
    """
    if status == MISDIRECTED_STATUS:
        return MISDIRECTED_EXCLUSION_SECONDS
    if now - state.heard.get(at_fault, 0.0) < RECENT_STREAM_SECONDS:
        return FULL_EXCLUSION_SECONDS
    return CRASHED_EXCLUSION_SECONDS


def complete_stream(
    found: OpenAttempt, now: float, state: 'states.State'
) -> reducer.Transition:
    """Complete a stream, unless it ended within an event."""
    exchange = found.exchange
    if exchange.rest or not exchange.streaming:
        return retry_failed(found, 'stream ended early', now, state)
    rest, state = completion.end_attempt(exchange, found.attempt, state)
    return completion.finish_exchange(
        rest,
        'stream_completed',
        (('last_event', exchange.last_event),),
        now,
        state,
        routine=exchange.sends == 1,
    ).with_effects(effects.StreamEnd(exchange.request_id, None))


def forward_answer(
    found: OpenAttempt,
    head: requests.AnswerHead,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Pass on a whole answer."""
    rest, state = completion.end_attempt(found.exchange, found.attempt, state)
    return completion.finish_exchange(
        rest,
        'request_answered',
        (('status', head.status), ('runner', found.attempt.runner_id)),
        now,
        state,
        routine=head.status < FIRST_SERVER_ERROR_STATUS and rest.sends == 1,
    ).with_effects(
        effects.Reply(
            rest.request_id,
            requests.RelayedAnswer(
                head.status, head.headers, found.attempt.body
            ),
        )
    )


def handle_error_answer(
    found: OpenAttempt,
    head: requests.AnswerHead,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Send a request again after an error, or pass the error on."""
    problem = f'status {head.status}'
    if head.status // 100 == 2:
        return retry_failed(found, 'answer without proof', now, state)
    rest, next_state = completion.end_attempt(
        found.exchange, found.attempt, state
    )
    rest = record_failed_attempt(rest, found.attempt, problem)
    repeats = head.status >= FIRST_SERVER_ERROR_STATUS and dispatch.may_retry(
        rest, now, next_state
    )
    if repeats and dispatch.choose_target(rest, now, next_state) is not None:
        return dispatch.try_send(rest, now, store_exchange(rest, next_state))
    if rest.streaming or head.status in NOT_RUN_STATUSES:
        return completion.fail_exchange(rest, problem, now, next_state)
    return forward_answer(found, head, now, state)


def store_exchange(
    exchange: exchanges.Exchange, state: 'states.State'
) -> 'states.State':
    """Keep a changed request."""
    return dataclasses.replace(
        state, exchanges=state.exchanges.set(exchange.request_id, exchange)
    )


def record_failed_attempt(
    exchange: exchanges.Exchange, attempt: exchanges.Attempt, problem: str
) -> exchanges.Exchange:
    """Count a send that may have run and is over."""
    return dataclasses.replace(
        exchange,
        runs=exchange.runs + attempt.sent,
        tried=exchange.tried | {attempt.runner_id},
        rest=b'',
        problem=problem,
    )


def retry_refused(
    found: OpenAttempt,
    head: requests.AnswerHead,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Send a request elsewhere that an upstream has refused unrun."""
    rest, state = completion.end_attempt(found.exchange, found.attempt, state)
    at_fault = runners.find_address(state.runners, head.fault_address)
    refused = dataclasses.replace(
        rest,
        tried=rest.tried | {at_fault or found.attempt.runner_id},
        rest=b'',
        problem=f'refused unrun with {head.status}',
    )
    following = retry_or_fail(refused, now, store_exchange(refused, state))
    logged = relay_effects.LogDecision(
        'send_refused',
        (
            ('request', refused.request.attempt_id),
            ('runner', found.attempt.runner_id),
            ('chain', dispatch.format_chain(found.attempt.chain)),
            ('status', head.status),
            ('at_fault', at_fault or head.fault_address),
            ('ms', int((now - found.attempt.started_at) * 1000)),
        ),
    )
    return transitions.Transition(following.state, (logged, *following.effects))


@handle_send_event.register(relay_events.SendFailed)
def handle_send_failed(
    event: relay_events.SendFailed, found: OpenAttempt, state: 'states.State'
) -> reducer.Transition:
    """Handle a send that ended without a whole answer."""
    problem = event.failure.kind.value
    learned: reducer.Transition = transitions.Transition(state)
    if found.attempt.head is None:
        learned = idle_connections.note_reset(event.rested_seconds, state)
    return learned.then(
        lambda limited: retry_failed(found, problem, event.at, limited)
    )


def retry_failed(
    found: OpenAttempt, problem: str, now: float, state: 'states.State'
) -> reducer.Transition:
    """Stop a failed send and go on elsewhere, or end the request."""
    rest, state = completion.end_attempt(found.exchange, found.attempt, state)
    table = runners.failed(state.runners, found.attempt.runner_id, now)
    failed = record_failed_attempt(rest, found.attempt, problem)
    state = store_exchange(failed, dataclasses.replace(state, runners=table))
    abort = relay_effects.AbortSend(found.attempt.send_id)
    logged = relay_effects.LogDecision(
        'send_failed',
        (
            ('request', failed.request.attempt_id),
            ('runner', found.attempt.runner_id),
            ('chain', dispatch.format_chain(found.attempt.chain)),
            ('problem', problem),
            ('sent', found.attempt.sent),
            ('last_event', failed.last_event),
            ('silent_ms', int((now - found.attempt.heard_at) * 1000)),
        ),
    )
    following = retry_or_fail(failed, now, state)
    return transitions.Transition(
        following.state, (abort, logged, *following.effects)
    )


def retry_or_fail(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> reducer.Transition:
    """Send a request again, wait for another open send, or end it."""
    if exchange.attempts:
        return transitions.Transition(state)
    if dispatch.may_retry(exchange, now, state):
        return dispatch.try_send(exchange, now, state)
    return completion.fail_exchange(exchange, exchange.problem, now, state)
