"""Tail streams of the log service and append records in batches."""

import dataclasses
import functools
import typing

import immutables

from mustardvale.internal import (
    calls,
    effects,
    events,
    records,
    reducer,
    streams,
    timers,
    transitions,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

READ_LIMIT_RECORDS = 500
READ_WAIT_SECONDS = 10.0
READ_TIMEOUT_SECONDS = 12.0
APPEND_TIMEOUT_SECONDS = 2.0
RETRY_DELAY_SECONDS = 0.5
MAXIMUM_BATCH_RECORDS = 200
# The log accepts several hundred appends per second from all instances
# together. With 16 attempt streams this pause limits them to 240 per second.
APPEND_PAUSE_SECONDS = 16 / 240
TOO_MANY_REQUESTS_STATUS = 429


@dataclasses.dataclass(frozen=True, slots=True)
class Tail:
    """Hold the position of the reader of one stream.

    `is_caught_up` is true once a read has reached the end of the stream.
    """

    next_offset: int = 0
    is_caught_up: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AppendQueue:
    """Hold the records to append to one stream.

    At most one append per stream is in flight, and none is sent while the
    queue is paused.
    """

    in_flight: tuple[records.Record, ...] = ()
    waiting: tuple[records.Record, ...] = ()
    is_paused: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LogState:
    """Hold the state of all streams that this instance uses.

    `is_available` is false from a failed call until a call succeeds.
    """

    address: str = ''
    is_available: bool = True
    tails: immutables.Map[streams.Stream, Tail] = immutables.Map()
    queues: immutables.Map[streams.Stream, AppendQueue] = immutables.Map()


@functools.singledispatch
def on_record(
    stream: streams.Stream,
    stored: records.StoredRecord,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Handle one stored record of a stream."""
    raise TypeError(f'no handler for records of {type(stream).__name__}')


@functools.singledispatch
def on_caught_up(
    stream: streams.Stream,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Handle reaching the end of a stream."""
    return transitions.Transition(state)


@functools.singledispatch
def on_gap(
    stream: streams.Stream,
    earliest_offset: int,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Handle records that retention dropped before they were read."""
    return transitions.Transition(state)


@functools.singledispatch
def find_read_limit(stream: streams.Stream) -> int:
    """Return the maximum number of records in one read of a stream."""
    return READ_LIMIT_RECORDS


@functools.singledispatch
def on_append_failed(
    record: records.Record,
    event: events.CallFailed | events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Handle the failure of an append, which may still have taken effect."""
    return transitions.Transition(state)


def with_log(state: 'states.State', log: LogState) -> 'states.State':
    """Return the state with the state of the log replaced."""
    return dataclasses.replace(state, log=log)


def start_tailing(
    stream: streams.Stream,
    state: 'states.State',
    from_offset: int = 0,
) -> transitions.Transition['states.State']:
    """Start tailing a stream from an offset."""
    tail = Tail(next_offset=from_offset)
    log = dataclasses.replace(
        state.log,
        tails=state.log.tails.set(stream, tail),
    )
    return read_next(stream, with_log(state, log))


def stop_tailing(
    stream: streams.Stream, state: 'states.State'
) -> 'states.State':
    """Stop tailing a stream; the response to a pending read is ignored."""
    if stream not in state.log.tails:
        return state
    log = dataclasses.replace(
        state.log,
        tails=state.log.tails.delete(stream),
    )
    return with_log(state, log)


def read_next(
    stream: streams.Stream,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Read the records after the last one read."""
    call = calls.ReadRecords(
        stream=stream,
        from_offset=state.log.tails[stream].next_offset,
        limit=find_read_limit(stream),
        wait_seconds=READ_WAIT_SECONDS,
    )
    effect = effects.Call(call, state.log.address, READ_TIMEOUT_SECONDS)
    return transitions.Transition(state, (effect,))


def append(
    stream: streams.Stream,
    record: records.Record,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Queue a record for the next batch of its stream."""
    queue = state.log.queues.get(stream, AppendQueue())
    queue = dataclasses.replace(queue, waiting=(*queue.waiting, record))
    return send_batch(stream, queue, state)


def send_batch(
    stream: streams.Stream,
    queue: AppendQueue,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Send the next batch unless an append is in flight or paused."""
    send_effects: tuple[effects.Effect, ...] = ()
    if queue.waiting and not (queue.in_flight or queue.is_paused):
        queue = AppendQueue(
            in_flight=queue.waiting[:MAXIMUM_BATCH_RECORDS],
            waiting=queue.waiting[MAXIMUM_BATCH_RECORDS:],
        )
        call = calls.AppendRecords(stream, queue.in_flight)
        send_effects = (
            effects.Call(call, state.log.address, APPEND_TIMEOUT_SECONDS),
        )
    log = dataclasses.replace(
        state.log,
        queues=state.log.queues.set(stream, queue),
    )
    return transitions.Transition(with_log(state, log), send_effects)


def set_available(
    is_available: bool,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Record whether the log service is available, and log a change."""
    if state.log.is_available == is_available:
        return transitions.Transition(state)
    log = dataclasses.replace(state.log, is_available=is_available)
    message = (
        'log service is available again'
        if is_available
        else 'log service is unavailable'
    )
    return transitions.Transition(
        with_log(state, log),
        (
            effects.LogChange(message),
            effects.SetGauge('log_available', int(is_available)),
        ),
    )


@reducer.on_answer.register(calls.ReadRecords)
def handle_read(
    call: calls.ReadRecords,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Fold the records of a read and read the next ones."""
    tail = state.log.tails.get(call.stream)
    if tail is None or tail.next_offset != call.from_offset:
        return transitions.Transition(state)
    if not isinstance(event.answer, calls.RecordsRead):
        return retry_read(call, state)
    transition = set_available(True, state)
    if event.answer.earliest_offset > tail.next_offset:
        transition = transition.then(
            lambda current: on_gap(
                call.stream,
                event.answer.earliest_offset,
                event,
                current,
            ),
        )
    for stored in event.answer.records:
        transition = transition.then(
            functools.partial(fold_record, call.stream, stored, event),
        )
    return transition.then(
        functools.partial(finish_read, call.stream, event),
    )


def fold_record(
    stream: streams.Stream,
    stored: records.StoredRecord,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Fold one record and advance the tail past it."""
    tail = state.log.tails.get(stream)
    if tail is None or stored.offset < tail.next_offset:
        return transitions.Transition(state)
    tail = dataclasses.replace(tail, next_offset=stored.offset + 1)
    log = dataclasses.replace(
        state.log,
        tails=state.log.tails.set(stream, tail),
    )
    return on_record(stream, stored, event, with_log(state, log))


def finish_read(
    stream: streams.Stream,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Handle the end of a read and start the next one."""
    tail = state.log.tails.get(stream)
    if tail is None:
        return transitions.Transition(state)
    next_offset = max(tail.next_offset, event.answer.earliest_offset)
    is_caught_up = next_offset >= event.answer.next_offset
    tail = Tail(next_offset, tail.is_caught_up or is_caught_up)
    log = dataclasses.replace(
        state.log,
        tails=state.log.tails.set(stream, tail),
    )
    transition = transitions.Transition(with_log(state, log))
    if is_caught_up:
        transition = transition.then(
            lambda current: on_caught_up(stream, event, current),
        )
    return transition.then(lambda current: read_if_tailed(stream, current))


def read_if_tailed(
    stream: streams.Stream,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Read the next records unless the stream is no longer tailed."""
    if stream not in state.log.tails:
        return transitions.Transition(state)
    return read_next(stream, state)


@reducer.on_failure.register(calls.ReadRecords)
def handle_read_failure(
    call: calls.ReadRecords,
    event: events.CallFailed,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Retry a failed read after a delay."""
    return retry_read(call, state)


def retry_read(
    call: calls.ReadRecords,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Mark the log as unavailable and retry the read after a delay."""
    return set_available(False, state).with_effects(
        effects.Count('log_failures', ('read',)),
        effects.SetTimer(timers.ReadRetryDue(call.stream), RETRY_DELAY_SECONDS),
    )


@reducer.on_timer.register(timers.ReadRetryDue)
def read_after_delay(
    timer: timers.ReadRetryDue,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Retry the read of a stream."""
    return read_if_tailed(timer.stream, state)


@reducer.on_answer.register(calls.AppendRecords)
def handle_append(
    call: calls.AppendRecords,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Pause before the next batch.

    A batch that the log rejected for its rate limit is sent again. Appended
    records take effect when they are read back.
    """
    if isinstance(event.answer, calls.RecordsAppended):
        return set_available(True, state).then(
            functools.partial(
                pause_appends, call.stream, (), APPEND_PAUSE_SECONDS
            ),
        )
    if event.answer.status == TOO_MANY_REQUESTS_STATUS:
        count = effects.Count('log_failures', ('append_rate',))
        return pause_appends(
            call.stream,
            call.records,
            APPEND_PAUSE_SECONDS,
            state,
        ).with_effects(count)
    return fail_append(call, event, state)


@reducer.on_failure.register(calls.AppendRecords)
def handle_append_failure(
    call: calls.AppendRecords,
    event: events.CallFailed,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Handle an append that got no response."""
    return fail_append(call, event, state)


def fail_append(
    call: calls.AppendRecords,
    event: events.CallFailed | events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Report every record of a failed append and delay the next batch."""
    transition = (
        set_available(False, state)
        .with_effects(effects.Count('log_failures', ('append',)))
        .then(
            functools.partial(
                pause_appends, call.stream, (), RETRY_DELAY_SECONDS
            )
        )
    )
    for record in call.records:
        transition = transition.then(
            functools.partial(on_append_failed, record, event),
        )
    return transition


def pause_appends(
    stream: streams.Stream,
    retried: tuple[records.Record, ...],
    seconds: float,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """End the append in flight and pause the queue.

    Records in `retried` are sent before those that wait.
    """
    queue = state.log.queues[stream]
    queue = AppendQueue(waiting=(*retried, *queue.waiting), is_paused=True)
    log = dataclasses.replace(
        state.log,
        queues=state.log.queues.set(stream, queue),
    )
    timer = effects.SetTimer(timers.AppendDue(stream), seconds)
    return transitions.Transition(with_log(state, log), (timer,))


@reducer.on_timer.register(timers.AppendDue)
def resume_appends(
    timer: timers.AppendDue,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Send the next batch of a stream after its pause."""
    queue = state.log.queues[timer.stream]
    queue = dataclasses.replace(queue, is_paused=False)
    return send_batch(timer.stream, queue, state)
