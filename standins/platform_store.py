"""Stand in for the platform's store: logs, newest records, consumer groups.

Times are monotonic. The store drops the entry of a runner that has written
nothing for three of its periods, as the platform does.
"""

import dataclasses
import functools
import typing

import immutables

from mustardvale.internal import effects, events, transitions
from standins import json_codec, reducers, store_groups

SWEEP_SECONDS = 0.2
RUNNER_TOPIC = 'keyed.servers'
LAPSE_SECONDS = 3.6


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Ask to append records; in a keyed topic each has a key."""

    topic: str
    records: tuple[tuple[str, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLog:
    """Ask for records from an offset on, waiting for at least one."""

    topic: str
    source: int
    wait_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReadNewest:
    """Ask for the newest record of each key."""

    topic: str


@dataclasses.dataclass(frozen=True, slots=True)
class ListOwners:
    """Ask who holds the partitions of a group."""

    group: str


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Hold the faults that are switched on.

    `silent` leaves calls without an answer, `lose_answers` counts changes that
    take effect without one, `forget` drops the history once.
    """

    down: bool = False
    silent: bool = False
    delay_seconds: float = 0
    lose_answers: int = 0
    forget: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """Hold the offset of the first appended record and the end."""

    offset: int
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class LogAnswer:
    """Hold the records of a read."""

    topic: str
    end: int
    first: int
    records: tuple[tuple[str, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NewestAnswer:
    """Hold the newest records of all keys."""

    records: tuple[tuple[str, bytes], ...]
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class Owned:
    """Hold the partitions of one member."""

    generation: int
    partitions: tuple[store_groups.Partition, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Owners:
    """Hold the members of a group by the partitions that they hold."""

    rows: tuple[tuple[store_groups.Partition, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Topic:
    """Hold the records of one topic, and the newest of each key."""

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
    """Drop entries and members that have lapsed, and end long reads."""


@dataclasses.dataclass(frozen=True, slots=True)
class Later:
    """Carry out a request whose delay is over."""

    request_id: str
    wanted: typing.Any = dataclasses.field(compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """Hold a read that waits for records."""

    wanted: ReadLog
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Hold topics, groups, the reads that wait and the faults."""

    topics: immutables.Map[str, Topic] = immutables.Map()
    groups: immutables.Map[str, store_groups.Group] = immutables.Map()
    waiting: immutables.Map[str, Waiting] = immutables.Map()
    faults: Faults = Faults()


Transition = transitions.Transition[State]
dispatch = reducers.build()
reduce = dispatch.reduce
answer = reducers.answer
DOWN = json_codec.Refused(503, 'the store is down')
FORGOTTEN = json_codec.Refused(410, 'these records are gone')


@dispatch.reduce.register(events.InstanceStarted)
def start(event: events.InstanceStarted, state: State) -> Transition:
    """Start to sweep."""
    sweep = effects.SetTimer(SweepDue(), SWEEP_SECONDS)
    return transitions.Transition(state, (sweep,))


@dispatch.reduce.register(events.CallerLeft)
def forget_reader(event: events.CallerLeft, state: State) -> Transition:
    """Forget a read whose caller left."""
    if event.request_id not in state.waiting:
        return transitions.Transition(state)
    waiting = state.waiting.delete(event.request_id)
    return transitions.Transition(dataclasses.replace(state, waiting=waiting))


@dispatch.reduce.register(events.CallerRequested)
def receive(event: events.CallerRequested, state: State) -> Transition:
    """Carry a request out as the faults allow."""
    wanted, faults = event.request, state.faults
    if isinstance(wanted, Faults):
        return set_faults(wanted, event.request_id, state)
    if faults.silent:
        return transitions.Transition(state)
    if faults.down:
        return answer(event.request_id, DOWN, state)
    if faults.delay_seconds:
        later = Later(event.request_id, wanted)
        delay = effects.SetTimer(later, faults.delay_seconds)
        return transitions.Transition(state, (delay,))
    return carry_out(wanted, event.request_id, event.at, state)


@dispatch.on_timer.register(Later)
def carry_out_later(
    timer: Later, event: events.TimerFired, state: State
) -> Transition:
    """Carry out a request after its delay."""
    return carry_out(timer.wanted, timer.request_id, event.at, state)


@dispatch.on_timer.register(SweepDue)
def sweep(
    timer: SweepDue, event: events.TimerFired, state: State
) -> Transition:
    """Drop what has lapsed; nothing lapses while the store is away."""
    again = effects.SetTimer(timer, SWEEP_SECONDS)
    if state.faults.down or state.faults.silent:
        return transitions.Transition(state, (again,))
    groups = immutables.Map(
        {
            name: store_groups.drop_lapsed(group, event.at)
            for name, group in state.groups.items()
        }
    )
    state = dataclasses.replace(state, groups=groups)
    return (
        drop_entries(event.at, state)
        .then(functools.partial(end_reads, event.at))
        .with_effects(again)
    )


def drop_entries(now: float, state: State) -> Transition:
    """Drop the entries of runners that have been silent for long."""
    topic = state.topics.get(RUNNER_TOPIC, Topic())
    lapsed = tuple(
        (key, b'')
        for key, written_at in topic.written_at.items()
        if now - written_at > LAPSE_SECONDS
    )
    if not lapsed:
        return transitions.Transition(state)
    return store(Append(RUNNER_TOPIC, lapsed), now, state)


def end_reads(now: float, state: State) -> Transition:
    """Answer reads that have waited for their whole time."""
    transition: Transition = transitions.Transition(state)
    for request_id, waiting in state.waiting.items():
        if waiting.until <= now:
            transition = transition.then(
                functools.partial(end_read, request_id, waiting.wanted)
            )
    return transition


def end_read(request_id: str, wanted: ReadLog, state: State) -> Transition:
    """Answer a read with what is there."""
    waiting = state.waiting
    if request_id in waiting:
        waiting = waiting.delete(request_id)
    topic = state.topics.get(wanted.topic, Topic())
    found = topic.records[max(wanted.source - topic.first, 0) :]
    return answer(
        request_id,
        LogAnswer(wanted.topic, topic.end, topic.first, found),
        dataclasses.replace(state, waiting=waiting),
    )


def set_faults(wanted: Faults, request_id: str, state: State) -> Transition:
    """Switch faults, and drop the history where that is asked for."""
    changed = dataclasses.replace(state, faults=wanted)
    if wanted.forget:
        topics = {
            name: dataclasses.replace(topic, first=topic.end, records=())
            for name, topic in state.topics.items()
        }
        changed = dataclasses.replace(changed, topics=immutables.Map(topics))
    return answer(request_id, json_codec.Done(), changed)


def answer_change(
    request_id: str, reply: typing.Any, state: State
) -> Transition:
    """Answer a request that changed something, unless the answer is lost."""
    left = state.faults.lose_answers
    if not left:
        return answer(request_id, reply, state)
    faults = dataclasses.replace(state.faults, lose_answers=left - 1)
    return transitions.Transition(dataclasses.replace(state, faults=faults))


@functools.singledispatch
def carry_out(
    wanted: typing.Any, request_id: str, now: float, state: State
) -> Transition:
    """Carry out a request."""
    raise TypeError(type(wanted).__name__)


@carry_out.register(Append)
def carry_out_append(
    wanted: Append, request_id: str, now: float, state: State
) -> Transition:
    """Append records."""
    stored = store(wanted, now, state)
    topic = stored.state.topics[wanted.topic]
    appended = Appended(topic.end - len(wanted.records), topic.end)
    return stored.then(functools.partial(answer_change, request_id, appended))


def store(wanted: Append, now: float, state: State) -> Transition:
    """Append records and answer the reads that wait for them."""
    topic = state.topics.get(wanted.topic, Topic())
    newest, written_at = topic.newest, topic.written_at
    for key, record in wanted.records:
        if record:
            newest = newest.set(key, record)
            written_at = written_at.set(key, now)
        elif key in newest:
            newest = newest.delete(key)
            written_at = written_at.delete(key)
    topic = dataclasses.replace(
        topic,
        records=topic.records + wanted.records,
        newest=newest,
        written_at=written_at,
    )
    state = dataclasses.replace(
        state, topics=state.topics.set(wanted.topic, topic)
    )
    transition: Transition = transitions.Transition(state)
    for request_id, waiting in state.waiting.items():
        if waiting.wanted.topic == wanted.topic:
            transition = transition.then(
                functools.partial(end_read, request_id, waiting.wanted)
            )
    return transition


@carry_out.register(ReadLog)
def carry_out_read(
    wanted: ReadLog, request_id: str, now: float, state: State
) -> Transition:
    """Answer at once, or keep the read until there are records."""
    topic = state.topics.get(wanted.topic, Topic())
    if wanted.source < topic.first:
        return answer(request_id, FORGOTTEN, state)
    if wanted.source < topic.end or not wanted.wait_seconds:
        return end_read(request_id, wanted, state)
    waiting = Waiting(wanted, now + wanted.wait_seconds)
    return transitions.Transition(
        dataclasses.replace(
            state, waiting=state.waiting.set(request_id, waiting)
        )
    )


@carry_out.register(ReadNewest)
def carry_out_newest(
    wanted: ReadNewest, request_id: str, now: float, state: State
) -> Transition:
    """Answer with the newest record of each key."""
    topic = state.topics.get(wanted.topic, Topic())
    found = NewestAnswer(tuple(sorted(topic.newest.items())), topic.end)
    return answer(request_id, found, state)


@carry_out.register(store_groups.Join)
def carry_out_join(
    wanted: store_groups.Join, request_id: str, now: float, state: State
) -> Transition:
    """Join a group, or stay in it."""
    group = state.groups.get(wanted.group, store_groups.Group())
    group = store_groups.join(group, wanted, now)
    state = dataclasses.replace(
        state, groups=state.groups.set(wanted.group, group)
    )
    owned = Owned(group.generation, store_groups.held_by(group, wanted.member))
    return answer_change(request_id, owned, state)


@carry_out.register(store_groups.Leave)
def carry_out_leave(
    wanted: store_groups.Leave, request_id: str, now: float, state: State
) -> Transition:
    """Leave a group."""
    group = state.groups.get(wanted.group, store_groups.Group())
    group = store_groups.leave(group, wanted.member)
    state = dataclasses.replace(
        state, groups=state.groups.set(wanted.group, group)
    )
    return answer_change(request_id, json_codec.Done(), state)


@carry_out.register(ListOwners)
def carry_out_owners(
    wanted: ListOwners, request_id: str, now: float, state: State
) -> Transition:
    """Answer with who holds what."""
    group = state.groups.get(wanted.group, store_groups.Group())
    return answer(request_id, Owners(tuple(sorted(group.held.items()))), state)
