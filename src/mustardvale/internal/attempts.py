"""Decide from the records of a partition which attempt may send an action."""

import dataclasses
import enum
import functools

import immutables

from mustardvale.internal import action_keys, records

SECONDS_PER_MINUTE = 60
# A clock of the log that steps back by less than this cannot bring back a key
# that was forgotten.
FORGET_MARGIN_SECONDS = 600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Mark a data class as the status of a key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Free(Status):
    """Say that no attempt holds the key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Attempted(Status):
    """Name the attempt that holds the key and may send."""

    attempt_id: str
    instance_id: str
    body_digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class Done(Status):
    """Hold the record of the answer."""

    record: records.AttemptDone


@dataclasses.dataclass(frozen=True, slots=True)
class KeyState:
    """Hold the status of a key and the attempts that are dead."""

    status: Status = Free()
    dead: frozenset[str] = frozenset()


KeyTable = immutables.Map[action_keys.ActionKey, KeyState]
KeySet = immutables.Map[action_keys.ActionKey, bool]


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptTable:
    """Hold the keys of one partition, also by the minute of their creation.

    `latest` is the highest append time folded, in the log's wall time.
    """

    keys: KeyTable = immutables.Map()
    by_minute: immutables.Map[int, KeySet] = immutables.Map()
    latest: float = 0

    def find(self, key: action_keys.ActionKey) -> KeyState:
        """Return the state of a key."""
        return self.keys.get(key, KeyState())

    def replace(
        self,
        key: action_keys.ActionKey,
        state: KeyState,
    ) -> 'AttemptTable':
        """Return the table with the state of a key replaced."""
        by_minute = self.by_minute
        if key not in self.keys:
            minute = minute_of(key)
            created = by_minute.get(minute, immutables.Map())
            by_minute = by_minute.set(minute, created.set(key, True))
        return AttemptTable(self.keys.set(key, state), by_minute, self.latest)


class Verdict(enum.Enum):
    """Say what a fold made of a record."""

    WON = 'won'
    LOST = 'lost'
    EXPIRED = 'expired'
    FREED = 'freed'
    DONE = 'done'
    IGNORED = 'ignored'


@dataclasses.dataclass(frozen=True, slots=True)
class Folded:
    """Pair the table with the verdict on the last record."""

    table: AttemptTable
    verdict: Verdict


def minute_of(key: action_keys.ActionKey) -> int:
    """Return the minute in which a key was created."""
    seconds = action_keys.created_at(key.idempotency_key)
    return int(seconds // SECONDS_PER_MINUTE)


@functools.singledispatch
def fold(
    record: records.Record,
    appended_at: float,
    table: AttemptTable,
) -> Folded:
    """Fold one record of a partition; readers agree on the result."""
    return Folded(table, Verdict.IGNORED)


@fold.register(records.ActionAttempt)
def fold_attempt(
    record: records.ActionAttempt,
    appended_at: float,
    table: AttemptTable,
) -> Folded:
    """Give a free key to an attempt that is not dead.

    The log's append time decides whether the key is too old, because readers
    forget old keys at different moments and would otherwise disagree.
    """
    if not action_keys.canonical(record.idempotency_key):
        return Folded(table, Verdict.IGNORED)
    table = advance(appended_at, table)
    if action_keys.is_expired(record.idempotency_key, appended_at):
        return Folded(table, Verdict.EXPIRED)
    key = action_keys.ActionKey(record.account, record.idempotency_key)
    found = table.find(key)
    if record.attempt_id in found.dead:
        return Folded(table, Verdict.IGNORED)
    if found.status != Free():
        return Folded(table, verdict_on_taken(record, found.status))
    held = Attempted(record.attempt_id, record.instance_id, record.body_digest)
    taken = dataclasses.replace(found, status=held)
    return Folded(table.replace(key, taken), Verdict.WON)


def verdict_on_taken(record: records.ActionAttempt, status: Status) -> Verdict:
    """Tell a repeated record of the holder from an attempt that has lost."""
    if attempt_of(status) == record.attempt_id:
        return Verdict.IGNORED
    return Verdict.LOST


@functools.singledispatch
def attempt_of(status: Status) -> str:
    """Return the attempt that holds a key, empty if there is none."""
    return ''


@attempt_of.register(Attempted)
def attempt_of_attempted(status: Attempted) -> str:
    """Return the attempt that may send."""
    return status.attempt_id


@attempt_of.register(Done)
def attempt_of_done(status: Done) -> str:
    """Return the attempt that was answered."""
    return status.record.attempt_id


@fold.register(records.AttemptAbandoned)
def fold_abandoned(
    record: records.AttemptAbandoned,
    appended_at: float,
    table: AttemptTable,
) -> Folded:
    """Free the key of an attempt, which is dead from here on.

    The record may come before that of the attempt itself, when the append of
    the attempt was not answered.
    """
    if not action_keys.canonical(record.idempotency_key):
        return Folded(table, Verdict.IGNORED)
    table = advance(appended_at, table)
    key = action_keys.ActionKey(record.account, record.idempotency_key)
    if is_forgotten(key, table):
        return Folded(table, Verdict.IGNORED)
    found = table.find(key)
    if attempt_of(found.status) != record.attempt_id:
        marked = KeyState(found.status, found.dead | {record.attempt_id})
        return Folded(table.replace(key, marked), Verdict.IGNORED)
    if isinstance(found.status, Done):
        return Folded(table, Verdict.IGNORED)
    freed = KeyState(Free(), found.dead | {record.attempt_id})
    return Folded(table.replace(key, freed), Verdict.FREED)


@fold.register(records.AttemptDone)
def fold_done(
    record: records.AttemptDone,
    appended_at: float,
    table: AttemptTable,
) -> Folded:
    """Keep the answer of the attempt that holds the key.

    A free key means that the record of the attempt was dropped by retention.
    """
    if not action_keys.canonical(record.idempotency_key):
        return Folded(table, Verdict.IGNORED)
    table = advance(appended_at, table)
    key = action_keys.ActionKey(record.account, record.idempotency_key)
    found = table.find(key)
    holder = attempt_of(found.status)
    if is_forgotten(key, table) or holder not in {'', record.attempt_id}:
        return Folded(table, Verdict.IGNORED)
    if record.attempt_id in found.dead or isinstance(found.status, Done):
        return Folded(table, Verdict.IGNORED)
    done = KeyState(Done(record), found.dead)
    return Folded(table.replace(key, done), Verdict.DONE)


def advance(appended_at: float, table: AttemptTable) -> AttemptTable:
    """Note the append time of a record."""
    return dataclasses.replace(table, latest=max(table.latest, appended_at))


def forget_before(table: AttemptTable) -> float:
    """Return the creation time of the oldest key that is kept."""
    window = action_keys.WINDOW_SECONDS + FORGET_MARGIN_SECONDS
    return table.latest - window


def is_forgotten(key: action_keys.ActionKey, table: AttemptTable) -> bool:
    """Return whether a key is too old to be kept."""
    return action_keys.created_at(key.idempotency_key) < forget_before(table)


def forget(table: AttemptTable) -> AttemptTable:
    """Drop the keys of which every further attempt would be too late."""
    limit = int(forget_before(table) // SECONDS_PER_MINUTE)
    old = tuple(minute for minute in table.by_minute if minute < limit)
    keys = table.keys
    by_minute = table.by_minute
    for minute in old:
        for key in by_minute[minute]:
            keys = keys.delete(key)
        by_minute = by_minute.delete(minute)
    return AttemptTable(keys, by_minute, table.latest)
