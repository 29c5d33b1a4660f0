"""Emulate the platform's store: logs, newest records and consumer groups.

Times are monotonic. All answers name the era, which rises when the store is
restored from a copy. Like the platform, the store drops the entry of a runner
that has written nothing for 3.6 s, three heartbeat periods of the platform.
"""

import dataclasses
import functools
import typing

import immutables

from mustardvale.internal import effects, events, transitions
from standins import consumer_groups, json_codec, reducers

SWEEP_SECONDS = 0.2
RUNNER_TOPIC = 'keyed.servers'
ENTRY_TTL_SECONDS = 3.6
# Copies from which the store can be restored are kept for this long.
COPY_RETENTION_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Request to append records, pairs of key and content.

    Records of topics that are not keyed have an empty key.
    """

    topic: str
    records: tuple[tuple[str, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLog:
    """Request the records of a topic from an offset on.

    A read without records waits for up to `wait_seconds` for one.
    """

    topic: str
    from_offset: int
    wait_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReadNewest:
    """Request the newest record of each key of a topic."""

    topic: str


@dataclasses.dataclass(frozen=True, slots=True)
class ListOwners:
    """Request the members that hold the partitions of a group."""

    group: str


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Hold the active faults.

    A store that is `down` answers 503, a `silent` one ignores requests.
    Requests are executed after `delay_seconds`. The next `lose_answers` changes
    take effect without an answer. `forget` drops the records of all logs once,
    but keeps the newest of each key. `restore_seconds` restores the store once
    from a copy that is at least that old.
    """

    down: bool = False
    silent: bool = False
    delay_seconds: float = 0
    lose_answers: int = 0
    forget: bool = False
    restore_seconds: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class DatedReply:
    """Hold an answer and the era in which it was given."""

    reply: typing.Any
    era: int


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """Answer an append with the offset of its first record.

    `end` is the offset of the next record.
    """

    offset: int
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class LogAnswer:
    """Answer a read of a log.

    `first` and `end` are the half-open range of available offsets.
    """

    topic: str
    end: int
    first: int
    records: tuple[tuple[str, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NewestAnswer:
    """Answer with the newest record of each key.

    `end` is the offset of the next record of the log.
    """

    records: tuple[tuple[str, bytes], ...]
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberPartitions:
    """Answer a member with the partitions that it holds."""

    generation: int
    partitions: tuple[consumer_groups.Partition, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Owners:
    """Answer with pairs of a partition and the member that holds it."""

    rows: tuple[tuple[consumer_groups.Partition, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Topic:
    """Hold the records of a topic, and the newest of each key.

    `first` is the offset of the earliest record, `written_at` the time of the
    last write of each key.
    """

    first: int = 0
    records: tuple[tuple[str, bytes], ...] = ()
    newest: immutables.Map[str, bytes] = immutables.Map()
    written_at: immutables.Map[str, float] = immutables.Map()

    @property
    def end(self) -> int:
        """Return the offset of the next record."""
        return self.first + len(self.records)


@dataclasses.dataclass(frozen=True, slots=True)
class SweepDue:
    """Drop expired entries and members, and answer expired reads."""


@dataclasses.dataclass(frozen=True, slots=True)
class DelayedRequest:
    """Execute a request when its delay has elapsed.

    Only the request id identifies the timer.
    """

    request_id: str
    request: typing.Any = dataclasses.field(compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingRead:
    """Hold a read that waits for records until a time."""

    request: ReadLog
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Copy:
    """Hold the topics and groups as of a time."""

    taken_at: float
    topics: immutables.Map[str, Topic]
    groups: immutables.Map[str, consumer_groups.Group]


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Hold topics and groups by name, and waiting reads by request id.

    `copies` has earlier states of the last seconds, the oldest first, and `era`
    counts from 1 how often the store was restored from one.
    """

    topics: immutables.Map[str, Topic] = immutables.Map()
    groups: immutables.Map[str, consumer_groups.Group] = immutables.Map()
    waiting_reads: immutables.Map[str, WaitingRead] = immutables.Map()
    faults: Faults = Faults()
    era: int = 1
    copies: tuple[Copy, ...] = ()


Transition = transitions.Transition[State]
dispatch = reducers.build_dispatch()
reduce = dispatch.reduce
answer = reducers.answer
DOWN = json_codec.Refused(503, 'the store is down')
RECORDS_GONE = json_codec.Refused(410, 'the records have been dropped')


def reduce_dated(event: events.Event, state: State) -> Transition:
    """Reduce an event, and add the era to all answers."""
    transition = reduce(event, state)
    dated = tuple(
        effects.Reply(
            effect.request_id, DatedReply(effect.reply, transition.state.era)
        )
        if isinstance(effect, effects.Reply)
        else effect
        for effect in transition.effects
    )
    return transitions.Transition(transition.state, dated)


@dispatch.reduce.register(events.InstanceStarted)
def start(event: events.InstanceStarted, state: State) -> Transition:
    """Start the periodic sweep."""
    sweep = effects.SetTimer(SweepDue(), SWEEP_SECONDS)
    return transitions.Transition(state, (sweep,))


@dispatch.reduce.register(events.CallerLeft)
def drop_waiting_read(event: events.CallerLeft, state: State) -> Transition:
    """Drop the waiting read of a caller that has disconnected."""
    if event.request_id not in state.waiting_reads:
        return transitions.Transition(state)
    waiting = state.waiting_reads.delete(event.request_id)
    return transitions.Transition(
        dataclasses.replace(state, waiting_reads=waiting)
    )


@dispatch.reduce.register(events.CallerRequested)
def reduce_request(event: events.CallerRequested, state: State) -> Transition:
    """Execute, delay, refuse or ignore a request as the faults demand."""
    request, faults = event.request, state.faults
    if isinstance(request, Faults):
        return set_faults(request, event.request_id, event.at, state)
    if faults.silent:
        return transitions.Transition(state)
    if faults.down:
        return answer(event.request_id, DOWN, state)
    if faults.delay_seconds:
        later = DelayedRequest(event.request_id, request)
        delay = effects.SetTimer(later, faults.delay_seconds)
        return transitions.Transition(state, (delay,))
    return execute(request, event.request_id, event.at, state)


@dispatch.on_timer.register(DelayedRequest)
def execute_delayed(
    timer: DelayedRequest, event: events.TimerFired, state: State
) -> Transition:
    """Execute a request whose delay has elapsed."""
    return execute(timer.request, timer.request_id, event.at, state)


@dispatch.on_timer.register(SweepDue)
def sweep(
    timer: SweepDue, event: events.TimerFired, state: State
) -> Transition:
    """Drop what has expired; nothing expires while the store is unavailable."""
    rearm = effects.SetTimer(timer, SWEEP_SECONDS)
    state = take_copy(event.at, state)
    if state.faults.down or state.faults.silent:
        return transitions.Transition(state, (rearm,))
    groups = immutables.Map(
        {
            name: consumer_groups.drop_expired_members(group, event.at)
            for name, group in state.groups.items()
        }
    )
    state = dataclasses.replace(state, groups=groups)
    return (
        drop_expired_entries(event.at, state)
        .then(functools.partial(answer_expired_reads, event.at))
        .with_effects(rearm)
    )


def take_copy(now: float, state: State) -> State:
    """Keep a copy of the topics and groups, and drop the oldest ones."""
    kept = tuple(
        copy
        for copy in state.copies
        if now - copy.taken_at <= COPY_RETENTION_SECONDS
    )
    copy = Copy(now, state.topics, state.groups)
    return dataclasses.replace(state, copies=(*kept, copy))


def restore(seconds: float, now: float, state: State) -> State:
    """Return the state of a copy that is at least some seconds old.

    Without one, it is the oldest. The time since the copy does not count for
    what expires. Waiting reads stay open.
    """
    copies = state.copies or (Copy(now, state.topics, state.groups),)
    old = [copy for copy in copies if now - copy.taken_at >= seconds]
    chosen = old[-1] if old else copies[0]
    age = now - chosen.taken_at
    return dataclasses.replace(
        state,
        topics=immutables.Map(
            {
                name: postpone_entries(topic, age)
                for name, topic in chosen.topics.items()
            }
        ),
        groups=immutables.Map(
            {
                name: consumer_groups.postpone(group, age)
                for name, group in chosen.groups.items()
            }
        ),
        era=state.era + 1,
        copies=(),
    )


def postpone_entries(topic: Topic, seconds: float) -> Topic:
    """Let the entries of a topic expire some seconds later."""
    written_at = immutables.Map(
        {key: at + seconds for key, at in topic.written_at.items()}
    )
    return dataclasses.replace(topic, written_at=written_at)


def drop_expired_entries(now: float, state: State) -> Transition:
    """Drop the entries of runners that have not written for their TTL."""
    topic = state.topics.get(RUNNER_TOPIC, Topic())
    expired = tuple(
        (key, b'')
        for key, written_at in topic.written_at.items()
        if now - written_at > ENTRY_TTL_SECONDS
    )
    if not expired:
        return transitions.Transition(state)
    return append_records(Append(RUNNER_TOPIC, expired), now, state)


def answer_expired_reads(now: float, state: State) -> Transition:
    """Answer the waiting reads whose time is up."""
    transition: Transition = transitions.Transition(state)
    for request_id, waiting in state.waiting_reads.items():
        if waiting.until <= now:
            transition = transition.then(
                functools.partial(answer_read, request_id, waiting.request)
            )
    return transition


def answer_read(request_id: str, request: ReadLog, state: State) -> Transition:
    """Answer a read with the records that are stored.

    After a restore, its offset may not exist any more.
    """
    waiting = state.waiting_reads
    if request_id in waiting:
        waiting = waiting.delete(request_id)
    state = dataclasses.replace(state, waiting_reads=waiting)
    topic = state.topics.get(request.topic, Topic())
    if not topic.first <= request.from_offset <= topic.end:
        return answer(request_id, RECORDS_GONE, state)
    records = topic.records[max(request.from_offset - topic.first, 0) :]
    return answer(
        request_id,
        LogAnswer(request.topic, topic.end, topic.first, records),
        state,
    )


def set_faults(
    request: Faults, request_id: str, now: float, state: State
) -> Transition:
    """Replace all active faults; drop records or restore a copy if demanded."""
    changed = dataclasses.replace(state, faults=request)
    if request.restore_seconds:
        changed = restore(request.restore_seconds, now, changed)
    if request.forget:
        topics = {
            name: dataclasses.replace(topic, first=topic.end, records=())
            for name, topic in state.topics.items()
        }
        changed = dataclasses.replace(changed, topics=immutables.Map(topics))
    return answer(request_id, json_codec.Done(), changed)


def answer_change(
    request_id: str, reply: typing.Any, state: State
) -> Transition:
    """Answer a request that changed the state unless a fault drops it."""
    left = state.faults.lose_answers
    if not left:
        return answer(request_id, reply, state)
    faults = dataclasses.replace(state.faults, lose_answers=left - 1)
    return transitions.Transition(dataclasses.replace(state, faults=faults))


@functools.singledispatch
def execute(
    request: typing.Any, request_id: str, now: float, state: State
) -> Transition:
    """Execute a request."""
    raise TypeError(type(request).__name__)


@execute.register(Append)
def execute_append(
    request: Append, request_id: str, now: float, state: State
) -> Transition:
    """Append records and answer with their offsets."""
    stored = append_records(request, now, state)
    topic = stored.state.topics[request.topic]
    appended = Appended(topic.end - len(request.records), topic.end)
    return stored.then(functools.partial(answer_change, request_id, appended))


def append_records(request: Append, now: float, state: State) -> Transition:
    """Append records and answer the reads that wait for them.

    Empty content removes the key from the newest records.
    """
    topic = state.topics.get(request.topic, Topic())
    newest, written_at = topic.newest, topic.written_at
    for key, record in request.records:
        if record:
            newest = newest.set(key, record)
            written_at = written_at.set(key, now)
        elif key in newest:
            newest = newest.delete(key)
            written_at = written_at.delete(key)
    topic = dataclasses.replace(
        topic,
        records=topic.records + request.records,
        newest=newest,
        written_at=written_at,
    )
    state = dataclasses.replace(
        state, topics=state.topics.set(request.topic, topic)
    )
    transition: Transition = transitions.Transition(state)
    for request_id, waiting in state.waiting_reads.items():
        if waiting.request.topic == request.topic:
            transition = transition.then(
                functools.partial(answer_read, request_id, waiting.request)
            )
    return transition


@execute.register(ReadLog)
def execute_read(
    request: ReadLog, request_id: str, now: float, state: State
) -> Transition:
    """Answer a read, or keep it until there are records."""
    topic = state.topics.get(request.topic, Topic())
    if not topic.first <= request.from_offset <= topic.end:
        return answer(request_id, RECORDS_GONE, state)
    if request.from_offset < topic.end or not request.wait_seconds:
        return answer_read(request_id, request, state)
    waiting = WaitingRead(request, now + request.wait_seconds)
    return transitions.Transition(
        dataclasses.replace(
            state, waiting_reads=state.waiting_reads.set(request_id, waiting)
        )
    )


@execute.register(ReadNewest)
def execute_read_newest(
    request: ReadNewest, request_id: str, now: float, state: State
) -> Transition:
    """Answer with the newest record of each key."""
    topic = state.topics.get(request.topic, Topic())
    reply = NewestAnswer(tuple(sorted(topic.newest.items())), topic.end)
    return answer(request_id, reply, state)


@execute.register(consumer_groups.Join)
def execute_join(
    request: consumer_groups.Join, request_id: str, now: float, state: State
) -> Transition:
    """Join a group or renew a membership, and answer with the partitions."""
    group = state.groups.get(request.group, consumer_groups.Group())
    group = consumer_groups.join(group, request, now)
    state = dataclasses.replace(
        state, groups=state.groups.set(request.group, group)
    )
    owned = MemberPartitions(
        group.generation, consumer_groups.list_partitions(group, request.member)
    )
    return answer_change(request_id, owned, state)


@execute.register(consumer_groups.Leave)
def execute_leave(
    request: consumer_groups.Leave, request_id: str, now: float, state: State
) -> Transition:
    """End a membership and release its partitions."""
    group = state.groups.get(request.group, consumer_groups.Group())
    group = consumer_groups.leave(group, request.member)
    state = dataclasses.replace(
        state, groups=state.groups.set(request.group, group)
    )
    return answer_change(request_id, json_codec.Done(), state)


@execute.register(ListOwners)
def execute_list_owners(
    request: ListOwners, request_id: str, now: float, state: State
) -> Transition:
    """Answer with the holders of the partitions of a group."""
    group = state.groups.get(request.group, consumer_groups.Group())
    return answer(request_id, Owners(tuple(sorted(group.held.items()))), state)
