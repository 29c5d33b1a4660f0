"""Act as callers of entry instances that relay requests.

Callers read the entry addresses from a directory, reuse connections, retry
requests that may be repeated and resume streams after the last event that they
received. Attempts and their outcomes are written to a history, which
`relay_checks` reads.
"""

import dataclasses
import functools
import math
import typing

import immutables

from bench import relay_attempts
from mustardvale.internal import draws, effects, events, transitions
from mustardvale.internal.relay import effects as relay_effects
from mustardvale.internal.relay import events as relay_events
from standins import reducers

DIRECTORY_TIMEOUT_SECONDS = 1.0
DIRECTORY_PERIOD_SECONDS = 1.0
TIMEOUT_CHECK_PERIOD_SECONDS = 0.1
# Callers abort a stream that pauses for this long.
MAXIMUM_GAP_SECONDS = 2.0
DEADLINE_SECONDS = 5.0
DEADLINE_MARGIN_SECONDS = 1.0
MAXIMUM_ATTEMPTS = 3
RETRY_DELAY_SECONDS = 0.1
ABORTED_SHARE = 0.03
ABORT_DELAY_SECONDS = 0.15
REFUSED_STATUSES = frozenset((429, 503))
# Keeps the logarithm of a drawn fraction finite.
MINIMUM_FRACTION = 1e-12
HOST = 'site.example'


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """Describe the load to send.

    `keys` are pairs of an API key and its tenant. `rate` is the mean number of
    requests per second. Callers abort a stream that pauses for
    `maximum_gap_seconds`.
    """

    run_id: str
    directories: tuple[str, ...]
    keys: tuple[tuple[str, str], ...]
    rate: float = 30
    duration_seconds: float = 10
    seed: int = 1
    maximum_gap_seconds: float = MAXIMUM_GAP_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class ReadDirectory:
    """Request the entry addresses from a directory."""


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryAnswer:
    """Hold the entry addresses that a directory returned."""

    addresses: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Hold the head of an answer; `retry_after` is in seconds."""

    status: int
    stamp: str
    retry_after: float | None
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Record(effects.Effect):
    """Write a line to the history with the wall time of its event."""

    line: tuple[tuple[str, typing.Any], ...]
    wall_time: float


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryDue:
    """Read the directory again."""


@dataclasses.dataclass(frozen=True, slots=True)
class ArrivalDue:
    """Start the next request."""


@dataclasses.dataclass(frozen=True, slots=True)
class TimeoutCheckDue:
    """Check for attempts to abort."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryDue:
    """Send the next attempt of a request; timers are compared by its id."""

    attempt_id: str
    attempt: relay_attempts.Attempt = dataclasses.field(compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadState:
    """Hold the known entry addresses and the attempts in flight by their id."""

    plan: LoadPlan
    seed: int
    entry_addresses: tuple[str, ...] = ()
    attempts: immutables.Map[str, relay_attempts.Attempt] = immutables.Map()
    request_count: int = 0
    directory_read_count: int = 0
    ends_at: float = math.inf


Transition = transitions.Transition[LoadState]
dispatch = reducers.build_dispatch()
reduce = dispatch.reduce


@dispatch.reduce.register(events.InstanceStarted)
def start(event: events.InstanceStarted, state: LoadState) -> Transition:
    """Read the directory and start to send."""
    started = dataclasses.replace(
        state, ends_at=event.at + state.plan.duration_seconds
    )
    return read_directory(started).with_effects(
        effects.SetTimer(ArrivalDue(), DIRECTORY_TIMEOUT_SECONDS / 2),
        effects.SetTimer(TimeoutCheckDue(), TIMEOUT_CHECK_PERIOD_SECONDS),
    )


@dispatch.on_timer.register(DirectoryDue)
def read_directory_again(
    timer: DirectoryDue, event: events.TimerFired, state: LoadState
) -> Transition:
    """Read the directory when its timer fires."""
    return read_directory(state)


def read_directory(state: LoadState) -> Transition:
    """Request the entry addresses from the next directory in turn."""
    directories = state.plan.directories
    address = directories[state.directory_read_count % len(directories)]
    return transitions.Transition(
        dataclasses.replace(
            state, directory_read_count=state.directory_read_count + 1
        ),
        (effects.Call(ReadDirectory(), address, DIRECTORY_TIMEOUT_SECONDS),),
    )


@dispatch.reduce.register(events.CallAnswered)
def handle_directory_answer(
    event: events.CallAnswered, state: LoadState
) -> Transition:
    """Replace the known addresses unless an answer has none."""
    if event.answer.addresses:
        state = dataclasses.replace(
            state, entry_addresses=event.answer.addresses
        )
    next_read = effects.SetTimer(DirectoryDue(), DIRECTORY_PERIOD_SECONDS)
    return transitions.Transition(state, (next_read,))


@dispatch.reduce.register(events.CallFailed)
def read_next_directory(
    event: events.CallFailed, state: LoadState
) -> Transition:
    """Read the next directory after a failed call."""
    retry = effects.SetTimer(DirectoryDue(), RETRY_DELAY_SECONDS)
    return transitions.Transition(state, (retry,))


@dispatch.on_timer.register(ArrivalDue)
def start_next_request(
    timer: ArrivalDue, event: events.TimerFired, state: LoadState
) -> Transition:
    """Start a request and set the timer of the next one.

    After the end of the load, stop once no attempt is in flight. Intervals are
    exponentially distributed.
    """
    if event.at >= state.ends_at:
        if not state.attempts:
            return transitions.Transition(state, (effects.StopLoop(),))
        wait = effects.SetTimer(timer, TIMEOUT_CHECK_PERIOD_SECONDS)
        return transitions.Transition(state, (wait,))
    drawn = draws.draw(state.seed)
    interval = (
        -math.log(max(1 - drawn.fraction, MINIMUM_FRACTION)) / state.plan.rate
    )
    state = dataclasses.replace(state, seed=drawn.seed)
    return start_request(event, state).with_effects(
        effects.SetTimer(timer, interval)
    )


def start_request(event: events.Event, state: LoadState) -> Transition:
    """Draw a request and send its first attempt."""
    kind_draw = draws.draw(state.seed)
    key_draw = draws.draw(kind_draw.seed)
    abort_draw = draws.draw(key_draw.seed)
    count = state.request_count + 1
    kind = relay_attempts.choose_kind(kind_draw.fraction)
    key, tenant = state.plan.keys[int(key_draw.fraction * len(state.plan.keys))]
    is_aborted = abort_draw.fraction < ABORTED_SHARE
    request_id = f'{state.plan.run_id}-{count}'
    attempt = relay_attempts.Attempt(
        request_id,
        kind,
        f'/{kind.name}/{request_id}?of=%20{count}',
        b'' if kind.method == 'GET' else f'body of {request_id}'.encode(),
        key,
        tenant,
        '',
        event.at,
        event.at + ABORT_DELAY_SECONDS if is_aborted else math.inf,
    )
    state = dataclasses.replace(
        state, seed=abort_draw.seed, request_count=count
    )
    return send_attempt(attempt, event, state)


def send_attempt(
    attempt: relay_attempts.Attempt, event: events.Event, state: LoadState
) -> Transition:
    """Send an attempt to a randomly drawn entry address.

    Without a known address, schedule a retry.
    """
    if not state.entry_addresses:
        return schedule_retry(attempt, RETRY_DELAY_SECONDS, event, state)
    drawn = draws.draw(state.seed)
    entry = state.entry_addresses[
        int(drawn.fraction * len(state.entry_addresses))
    ]
    attempt = dataclasses.replace(
        attempt, entry=entry, last_received_at=event.at
    )
    state = dataclasses.replace(
        state,
        seed=drawn.seed,
        attempts=state.attempts.set(attempt.attempt_id, attempt),
    )
    return transitions.Transition(
        state,
        (
            build_record(
                event,
                ('event', 'ask'),
                ('id', attempt.attempt_id),
                ('kind', attempt.kind.name),
                ('digest', attempt.digest),
                ('target', attempt.target),
                ('key', attempt.key),
                ('tenant', attempt.tenant),
                ('entry', entry),
            ),
            relay_effects.StartSend(attempt.attempt_id, entry, attempt),
        ),
    )


def build_record(event: events.Event, *line: tuple[str, typing.Any]) -> Record:
    """Return the effect that writes a line to the history."""
    return Record(line, event.wall_time)


def schedule_retry(
    attempt: relay_attempts.Attempt,
    delay_seconds: float,
    event: events.Event,
    state: LoadState,
) -> Transition:
    """Schedule another attempt of a request, unless a limit is reached.

    The limits are the number of attempts and half of the deadline.
    """
    is_late = (
        event.at + delay_seconds - attempt.started_at > DEADLINE_SECONDS / 2
    )
    if is_late or attempt.attempt_number >= MAXIMUM_ATTEMPTS:
        return transitions.Transition(state)
    request_id = attempt.attempt_id.partition('.')[0]
    next_attempt = dataclasses.replace(
        attempt,
        attempt_id=f'{request_id}.{attempt.attempt_number}',
        attempt_number=attempt.attempt_number + 1,
        resumed_after_event=relay_attempts.get_last_event_id(attempt),
        status=0,
        stamp='',
        is_leaving=False,
        received=b'',
    )
    timer = RetryDue(next_attempt.attempt_id, next_attempt)
    return transitions.Transition(
        state, (effects.SetTimer(timer, delay_seconds),)
    )


@dispatch.on_timer.register(RetryDue)
def send_retry(
    timer: RetryDue, event: events.TimerFired, state: LoadState
) -> Transition:
    """Send the next attempt of a request."""
    return send_attempt(timer.attempt, event, state)


@dispatch.on_timer.register(TimeoutCheckDue)
def abort_abandoned_attempts(
    timer: TimeoutCheckDue, event: events.TimerFired, state: LoadState
) -> Transition:
    """Abort the attempts that their callers give up."""
    transition: Transition = transitions.Transition(state)
    for attempt in state.attempts.values():
        if is_abandoned(attempt, state.plan, event.at):
            transition = transition.then(
                functools.partial(abort_attempt, attempt, event)
            )
    return transition.with_effects(
        effects.SetTimer(timer, TIMEOUT_CHECK_PERIOD_SECONDS)
    )


def is_abandoned(
    attempt: relay_attempts.Attempt, plan: LoadPlan, now: float
) -> bool:
    """Return whether the caller gives up an attempt.

    It does so at the time that was drawn for the attempt, or when nothing has
    been received for too long.
    """
    limit_seconds = plan.maximum_gap_seconds
    if not attempt.kind.is_streamed:
        limit_seconds = DEADLINE_SECONDS + DEADLINE_MARGIN_SECONDS
    return (
        now >= attempt.aborts_at
        or now - attempt.last_received_at > limit_seconds
    )


def abort_attempt(
    attempt: relay_attempts.Attempt, event: events.Event, state: LoadState
) -> Transition:
    """Close the connection of an attempt and record that it was aborted."""
    return transitions.Transition(
        remove_attempt(attempt, state),
        (
            relay_effects.AbortSend(attempt.attempt_id),
            build_record(
                event,
                ('event', 'left'),
                ('id', attempt.attempt_id),
                ('silent', event.at - attempt.last_received_at),
                ('sound', relay_attempts.is_expected_so_far(attempt)),
            ),
        ),
    )


def remove_attempt(
    attempt: relay_attempts.Attempt, state: LoadState
) -> LoadState:
    """Remove an attempt from those in flight."""
    return dataclasses.replace(
        state, attempts=state.attempts.delete(attempt.attempt_id)
    )


def replace_attempt(
    attempt: relay_attempts.Attempt, state: LoadState
) -> Transition:
    """Replace an attempt in flight by an updated one."""
    return transitions.Transition(
        dataclasses.replace(
            state, attempts=state.attempts.set(attempt.attempt_id, attempt)
        )
    )


@dispatch.reduce.register(relay_events.HeadArrived)
def handle_head(
    event: relay_events.HeadArrived, state: LoadState
) -> Transition:
    """Store the head of an answer."""
    attempt = state.attempts.get(event.send_id)
    if attempt is None:
        return transitions.Transition(state)
    updated = dataclasses.replace(
        attempt,
        status=event.head.status,
        stamp=event.head.stamp,
        retry_after=event.head.retry_after,
        is_leaving=event.head.is_leaving,
        last_received_at=event.at,
    )
    return replace_attempt(updated, state)


@dispatch.reduce.register(relay_events.PartArrived)
def handle_part(
    event: relay_events.PartArrived, state: LoadState
) -> Transition:
    """Append a part of an answer to what was received."""
    attempt = state.attempts.get(event.send_id)
    if attempt is None:
        return transitions.Transition(state)
    updated = dataclasses.replace(
        attempt,
        received=attempt.received + event.part,
        last_received_at=event.at,
    )
    return replace_attempt(updated, state)


@dispatch.reduce.register(relay_events.SendEnded)
def handle_end(event: relay_events.SendEnded, state: LoadState) -> Transition:
    """Record a complete answer and retry after an error status.

    Requests that may not be repeated are retried only after a refusal, which
    tells that they have not run.
    """
    attempt = state.attempts.get(event.send_id)
    if attempt is None:
        return transitions.Transition(state)
    recorded = transitions.Transition(
        remove_attempt(attempt, state),
        (
            build_record(
                event,
                ('event', 'answer'),
                ('id', attempt.attempt_id),
                ('status', attempt.status),
                ('stamp', attempt.stamp),
                ('leaving', attempt.is_leaving),
                (
                    'whole',
                    attempt.received
                    == relay_attempts.build_expected_answer(attempt),
                ),
                ('sound', relay_attempts.is_expected_so_far(attempt)),
                ('seconds', event.at - attempt.started_at),
            ),
        ),
    )
    if attempt.status // 100 == 2:
        return recorded
    delay_seconds = attempt.retry_after or RETRY_DELAY_SECONDS
    if (
        attempt.status not in REFUSED_STATUSES
        and not attempt.kind.is_repeatable
    ):
        return recorded
    return recorded.then(
        functools.partial(schedule_retry, attempt, delay_seconds, event)
    )


@dispatch.reduce.register(relay_events.SendFailed)
def handle_failure(
    event: relay_events.SendFailed, state: LoadState
) -> Transition:
    """Record a failed attempt and retry it if it may be repeated.

    A request that was not sent may always be repeated; its entry address is
    dropped if another one is known.
    """
    attempt = state.attempts.get(event.send_id)
    if attempt is None:
        return transitions.Transition(state)
    state = remove_attempt(attempt, state)
    if not event.failure.was_sent:
        other_addresses = tuple(
            address
            for address in state.entry_addresses
            if address != attempt.entry
        )
        state = dataclasses.replace(
            state, entry_addresses=other_addresses or state.entry_addresses
        )
    recorded = transitions.Transition(
        state,
        (
            build_record(
                event,
                ('event', 'lost'),
                ('id', attempt.attempt_id),
                ('status', attempt.status),
                ('sent', event.failure.was_sent),
                ('problem', event.failure.kind.value),
                ('sound', relay_attempts.is_expected_so_far(attempt)),
                ('seconds', event.at - attempt.started_at),
            ),
        ),
    )
    if event.failure.was_sent and not attempt.kind.is_repeatable:
        return recorded
    return recorded.then(
        functools.partial(schedule_retry, attempt, RETRY_DELAY_SECONDS, event)
    )
