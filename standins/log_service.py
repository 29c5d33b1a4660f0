"""Emulate the platform's log service."""

import dataclasses
import functools
import typing

import immutables

from mustardvale.internal import effects, events, transitions
from standins import json_codec, reducers

RETENTION_SWEEP_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Request to append records; either all or none are stored."""

    stream: str
    records: tuple[typing.Any, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Request records from an offset on.

    A read without records waits for up to `wait_seconds` for one.
    """

    stream: str
    from_offset: int
    limit: int
    wait_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Hold the active faults.

    A log that is `down` answers 503. Appends take effect and are answered after
    `delay_seconds`. The next `lose_answers` appends take effect, but their
    connection is closed instead of an answer.
    """

    down: bool = False
    delay_seconds: float = 0
    lose_answers: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """Answer an append with the offset of its first record."""

    first_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRecord:
    """Hold a record with its offset and wall time in seconds."""

    offset: int
    appended_at: float
    record: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class ReadAnswer:
    """Answer a read with records and the range of available offsets.

    `next_offset` is the offset of the next record that is appended.
    """

    records: tuple[StoredRecord, ...]
    earliest_offset: int
    next_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """Hold the records of one stream by offset."""

    records: immutables.Map[int, StoredRecord] = immutables.Map()
    earliest_offset: int = 0
    next_offset: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReadTimeout:
    """Time out a read that waits for records."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class DelayedAppend:
    """Store the records of an append when its delay has elapsed.

    Only the request id identifies the timer: records may not be hashable.
    """

    request_id: str
    append: Append = dataclasses.field(compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class SweepDue:
    """Drop records older than the retention time."""


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Hold the streams by name and the waiting reads by request id.

    `append_tokens` is the fill of the token bucket that limits appends.
    """

    retention_seconds: float
    appends_per_second: float
    streams: immutables.Map[str, Stream] = immutables.Map()
    waiting_reads: immutables.Map[str, Read] = immutables.Map()
    faults: Faults = Faults()
    append_tokens: float = 0
    tokens_refilled_at: float = 0


Transition = transitions.Transition[State]
dispatch = reducers.build_dispatch()
reduce = dispatch.reduce
answer = reducers.answer


@dispatch.reduce.register(events.InstanceStarted)
def start(event: events.InstanceStarted, state: State) -> Transition:
    """Start the periodic retention sweep."""
    sweep = effects.SetTimer(SweepDue(), RETENTION_SWEEP_SECONDS)
    return transitions.Transition(state, (sweep,))


@dispatch.reduce.register(events.CallerRequested)
def reduce_request(event: events.CallerRequested, state: State) -> Transition:
    """Dispatch on the request, or refuse it while the log is down."""
    if state.faults.down and not isinstance(event.request, Faults):
        return answer(event.request_id, DOWN, state)
    return on_request(event.request, event, state)


@dispatch.reduce.register(events.CallerLeft)
def drop_waiting_read(event: events.CallerLeft, state: State) -> Transition:
    """Drop the waiting read of a caller that has disconnected."""
    return transitions.Transition(remove_waiting_read(event.request_id, state))


@functools.singledispatch
def on_request(
    request: typing.Any,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Handle a request."""
    raise TypeError(type(request).__name__)


DOWN = json_codec.Refused(503, 'the log service is down')
TOO_MANY_APPENDS = json_codec.Refused(429, 'too many appends')


@on_request.register(Faults)
def set_faults(
    request: Faults,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Replace all active faults; an outage also refuses waiting reads."""
    changed = dataclasses.replace(state, faults=request)
    transition = answer(event.request_id, json_codec.Done(), changed)
    if not request.down:
        return transition
    ended = tuple(
        effects.Reply(request_id, DOWN) for request_id in state.waiting_reads
    )
    cleared = dataclasses.replace(changed, waiting_reads=immutables.Map())
    return transitions.Transition(cleared, transition.effects + ended)


@on_request.register(Append)
def receive_append(
    request: Append,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Store records now or after the delay, or refuse them over the rate."""
    state = refill_tokens(event.at, state)
    if state.append_tokens < 1:
        return answer(event.request_id, TOO_MANY_APPENDS, state)
    state = dataclasses.replace(state, append_tokens=state.append_tokens - 1)
    if state.faults.delay_seconds:
        later = DelayedAppend(event.request_id, request)
        delay = effects.SetTimer(later, state.faults.delay_seconds)
        return transitions.Transition(state, (delay,))
    return append_records(request, event.request_id, event, state)


def refill_tokens(now: float, state: State) -> State:
    """Refill the token bucket of appends, which holds one second's worth."""
    gained = (now - state.tokens_refilled_at) * state.appends_per_second
    append_tokens = min(state.append_tokens + gained, state.appends_per_second)
    return dataclasses.replace(
        state, append_tokens=append_tokens, tokens_refilled_at=now
    )


@dispatch.on_timer.register(DelayedAppend)
def append_delayed(
    timer: DelayedAppend,
    event: events.TimerFired,
    state: State,
) -> Transition:
    """Store records after the delay."""
    return append_records(timer.append, timer.request_id, event, state)


def append_records(
    request: Append,
    request_id: str,
    event: events.Event,
    state: State,
) -> Transition:
    """Store records, answer the append and the reads that wait for it."""
    stream = state.streams.get(request.stream, Stream())
    first = stream.next_offset
    records = stream.records
    for index, record in enumerate(request.records):
        offset = first + index
        records = records.set(
            offset, StoredRecord(offset, event.wall_time, record)
        )
    stream = dataclasses.replace(
        stream,
        records=records,
        next_offset=first + len(request.records),
    )
    state = dataclasses.replace(
        state,
        streams=state.streams.set(request.stream, stream),
    )
    if state.faults.lose_answers:
        return lose_answer(request_id, state).then(
            lambda next_state: wake_readers(request.stream, next_state),
        )
    return answer(request_id, Appended(first), state).then(
        lambda next_state: wake_readers(request.stream, next_state),
    )


def lose_answer(request_id: str, state: State) -> Transition:
    """Close the connection instead of answering."""
    faults = dataclasses.replace(
        state.faults,
        lose_answers=state.faults.lose_answers - 1,
    )
    return transitions.Transition(
        dataclasses.replace(state, faults=faults),
        (effects.CloseCaller(request_id),),
    )


def wake_readers(name: str, state: State) -> Transition:
    """Answer the reads that wait for records of a stream."""
    transition: Transition = transitions.Transition(state)
    for request_id, read in state.waiting_reads.items():
        if read.stream == name:
            transition = transition.then(
                functools.partial(answer_read, request_id, read),
            )
    return transition


@on_request.register(Read)
def receive_read(
    request: Read,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Answer a read, or keep it until there are records.

    A read before the earliest offset is answered at once.
    """
    stream = state.streams.get(request.stream, Stream())
    is_dropped = request.from_offset < stream.earliest_offset
    if (
        request.from_offset < stream.next_offset
        or is_dropped
        or (request.wait_seconds <= 0)
    ):
        return answer_read(event.request_id, request, state)
    waiting = state.waiting_reads.set(event.request_id, request)
    timer = ReadTimeout(event.request_id)
    return transitions.Transition(
        dataclasses.replace(state, waiting_reads=waiting),
        (effects.SetTimer(timer, request.wait_seconds),),
    )


@dispatch.on_timer.register(ReadTimeout)
def time_out_read(
    timer: ReadTimeout,
    event: events.TimerFired,
    state: State,
) -> Transition:
    """Answer a read whose wait has ended."""
    read = state.waiting_reads.get(timer.request_id)
    if read is None:
        return transitions.Transition(state)
    return answer_read(timer.request_id, read, state)


def answer_read(request_id: str, read: Read, state: State) -> Transition:
    """Answer a read with the records that are stored."""
    stream = state.streams.get(read.stream, Stream())
    first = max(read.from_offset, stream.earliest_offset)
    end = min(first + read.limit, stream.next_offset)
    reply = ReadAnswer(
        tuple(stream.records[offset] for offset in range(first, end)),
        stream.earliest_offset,
        stream.next_offset,
    )
    return answer(
        request_id,
        reply,
        remove_waiting_read(request_id, state),
    ).with_effects(effects.CancelTimer(ReadTimeout(request_id)))


def remove_waiting_read(request_id: str, state: State) -> State:
    """Return the state without a waiting read, which may have ended."""
    if request_id not in state.waiting_reads:
        return state
    waiting = state.waiting_reads.delete(request_id)
    return dataclasses.replace(state, waiting_reads=waiting)


@dispatch.on_timer.register(SweepDue)
def sweep(
    timer: SweepDue,
    event: events.TimerFired,
    state: State,
) -> Transition:
    """Drop the records of all streams that exceed the retention time."""
    cutoff = event.wall_time - state.retention_seconds
    streams = state.streams
    for name, stream in state.streams.items():
        streams = streams.set(name, drop_records_before(cutoff, stream))
    return transitions.Transition(
        dataclasses.replace(state, streams=streams),
        (effects.SetTimer(timer, RETENTION_SWEEP_SECONDS),),
    )


def drop_records_before(cutoff: float, stream: Stream) -> Stream:
    """Return a stream without records appended before a wall time."""
    earliest = stream.earliest_offset
    records = stream.records
    while earliest < stream.next_offset and (
        records[earliest].appended_at < cutoff
    ):
        records = records.delete(earliest)
        earliest += 1
    return Stream(records, earliest, stream.next_offset)
