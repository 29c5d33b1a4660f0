"""Tail streams of the log service and append to them in groups."""

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
# The log takes several hundred appends a second from all instances together.
# With 16 streams of attempts, this pause keeps them to 240 a second.
APPEND_PAUSE_SECONDS = 16 / 240
TOO_MANY_REQUESTS_STATUS = 429


@dataclasses.dataclass(frozen=True, slots=True)
class Tail:
    """Describe how far one stream has been read.

    `caught_up` is true once a read reached the end of the stream.
    """

    next_offset: int = 0
    is_caught_up: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AppendQueue:
    """Hold records to append; none is sent while one is in flight or paused."""

    in_flight: tuple[records.Record, ...] = ()
    waiting: tuple[records.Record, ...] = ()
    is_paused: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LogState:
    """Hold the state of all streams that this instance uses.

    `available` is false from a failed call until one is answered.
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
    """Fold one record of a stream."""
    raise TypeError(f'no fold for {type(stream).__name__}')


@functools.singledispatch
def on_caught_up(
    stream: streams.Stream,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Act on having read a stream up to its end."""
    return transitions.Transition(state)


@functools.singledispatch
def on_gap(
    stream: streams.Stream,
    earliest_offset: int,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Act on records that retention dropped before they were read."""
    return transitions.Transition(state)


@functools.singledispatch
def find_read_limit(stream: streams.Stream) -> int:
    """Return how many records to ask for in one read of a stream."""
    return READ_LIMIT_RECORDS


@functools.singledispatch
def on_append_failed(
    record: records.Record,
    event: events.CallFailed | events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Act on an append that failed, which may have taken effect."""
    return transitions.Transition(state)


def with_log(state: 'states.State', log: LogState) -> 'states.State':
    """Replace the part of the state that this module owns."""
    return dataclasses.replace(state, log=log)


def start_tailing(
    stream: streams.Stream,
    state: 'states.State',
    from_offset: int = 0,
) -> transitions.Transition['states.State']:
    """Start to tail a stream."""
    tail = Tail(next_offset=from_offset)
    log = dataclasses.replace(
        state.log,
        tails=state.log.tails.set(stream, tail),
    )
    return read_next(stream, with_log(state, log))


def stop_tailing(
    stream: streams.Stream, state: 'states.State'
) -> 'states.State':
    """Stop tailing a stream; the answer to a pending read is ignored."""
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
    """Read the records that follow those read so far."""
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
    """Append a record with the next group of its stream."""
    queue = state.log.queues.get(stream, AppendQueue())
    queue = dataclasses.replace(queue, waiting=(*queue.waiting, record))
    return send_batch(stream, queue, state)


def send_batch(
    stream: streams.Stream,
    queue: AppendQueue,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Append what waits unless an append is in flight or the queue paused."""
    to_send: tuple[effects.Effect, ...] = ()
    if queue.waiting and not (queue.in_flight or queue.is_paused):
        queue = AppendQueue(
            in_flight=queue.waiting[:MAXIMUM_BATCH_RECORDS],
            waiting=queue.waiting[MAXIMUM_BATCH_RECORDS:],
        )
        call = calls.AppendRecords(stream, queue.in_flight)
        to_send = (
            effects.Call(call, state.log.address, APPEND_TIMEOUT_SECONDS),
        )
    log = dataclasses.replace(
        state.log,
        queues=state.log.queues.set(stream, queue),
    )
    return transitions.Transition(with_log(state, log), to_send)


def set_available(
    available: bool,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Note whether the log service answers, and log the change."""
    if state.log.is_available == available:
        return transitions.Transition(state)
    log = dataclasses.replace(state.log, is_available=available)
    message = 'log service answers again' if available else 'log service fails'
    return transitions.Transition(
        with_log(state, log),
        (
            effects.LogChange(message),
            effects.SetGauge('log_available', int(available)),
        ),
    )


@reducer.on_answer.register(calls.ReadRecords)
def handle_read(
    call: calls.ReadRecords,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Fold the records of a read and read on."""
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
    """Fold one record and move the tail behind it."""
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
    """Note the end of a stream when it is reached, and read on."""
    tail = state.log.tails.get(stream)
    if tail is None:
        return transitions.Transition(state)
    reached = max(tail.next_offset, event.answer.earliest_offset)
    caught_up = reached >= event.answer.next_offset
    tail = Tail(reached, tail.is_caught_up or caught_up)
    log = dataclasses.replace(
        state.log,
        tails=state.log.tails.set(stream, tail),
    )
    transition = transitions.Transition(with_log(state, log))
    if caught_up:
        transition = transition.then(
            lambda current: on_caught_up(stream, event, current),
        )
    return transition.then(lambda current: read_if_tailed(stream, current))


def read_if_tailed(
    stream: streams.Stream,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Read on unless the stream is no longer followed."""
    if stream not in state.log.tails:
        return transitions.Transition(state)
    return read_next(stream, state)


@reducer.on_failure.register(calls.ReadRecords)
def handle_read_failure(
    call: calls.ReadRecords,
    event: events.CallFailed,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Read again after a pause."""
    return retry_read(call, state)


def retry_read(
    call: calls.ReadRecords,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Note that the log fails and read again after a pause."""
    return set_available(False, state).with_effects(
        effects.Count('log_failures', ('read',)),
        effects.SetTimer(timers.ReadRetryDue(call.stream), RETRY_DELAY_SECONDS),
    )


@reducer.on_timer.register(timers.ReadRetryDue)
def read_again(
    timer: timers.ReadRetryDue,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Read a stream again."""
    return read_if_tailed(timer.stream, state)


@reducer.on_answer.register(calls.AppendRecords)
def handle_append(
    call: calls.AppendRecords,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Pause before the next group; readers learn of the records by reading."""
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
    """Report a failed append."""
    return fail_append(call, event, state)


def fail_append(
    call: calls.AppendRecords,
    event: events.CallFailed | events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Report every record of a failed append and pause before the next."""
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
    """End the append in flight and let records wait, those `again` first."""
    queue = state.log.queues[stream]
    queue = AppendQueue(waiting=(*retried, *queue.waiting), is_paused=True)
    log = dataclasses.replace(
        state.log,
        queues=state.log.queues.set(stream, queue),
    )
    timer = effects.SetTimer(timers.AppendRetryDue(stream), seconds)
    return transitions.Transition(with_log(state, log), (timer,))


@reducer.on_timer.register(timers.AppendRetryDue)
def append_again(
    timer: timers.AppendRetryDue,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Send the next group of a stream after its pause."""
    queue = state.log.queues[timer.stream]
    queue = dataclasses.replace(queue, is_paused=False)
    return send_batch(timer.stream, queue, state)
