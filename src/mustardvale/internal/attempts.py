"""Decide from the records of a partition which attempt may send an action."""

import dataclasses
import enum
import functools

import immutables

from mustardvale.internal import action_keys, records

SECONDS_PER_MINUTE = 60
# A clock of the log that steps back by less than this cannot bring back a key
# that was forgotten.
PRUNE_MARGIN_SECONDS = 600.0


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
    abandoned_attempts: frozenset[str] = frozenset()


KeyTable = immutables.Map[action_keys.ActionKey, KeyState]
KeySet = immutables.Map[action_keys.ActionKey, bool]


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptTable:
    """Hold the keys of one partition, also by the minute of their creation.

    `latest` is the highest append time folded, in the log's wall time.
    """

    keys: KeyTable = immutables.Map()
    by_minute: immutables.Map[int, KeySet] = immutables.Map()
    latest_append_time: float = 0

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
            minute = find_creation_minute(key)
            created = by_minute.get(minute, immutables.Map())
            by_minute = by_minute.set(minute, created.set(key, True))
        return AttemptTable(
            self.keys.set(key, state), by_minute, self.latest_append_time
        )


class Verdict(enum.Enum):
    """Say what a fold made of a record."""

    WON = 'won'
    LOST = 'lost'
    EXPIRED = 'expired'
    FREED = 'freed'
    DONE = 'done'
    IGNORED = 'ignored'


@dataclasses.dataclass(frozen=True, slots=True)
class FoldResult:
    """Pair the table with the verdict on the last record."""

    table: AttemptTable
    verdict: Verdict


def find_creation_minute(key: action_keys.ActionKey) -> int:
    """Return the minute in which a key was created."""
    seconds = action_keys.read_creation_time(key.idempotency_key)
    return int(seconds // SECONDS_PER_MINUTE)


@functools.singledispatch
def fold(
    record: records.Record,
    appended_at: float,
    table: AttemptTable,
) -> FoldResult:
    """Fold one record of a partition; readers agree on the result."""
    return FoldResult(table, Verdict.IGNORED)


@fold.register(records.ActionAttempt)
def fold_attempt(
    record: records.ActionAttempt,
    appended_at: float,
    table: AttemptTable,
) -> FoldResult:
    """Give a free key to an attempt that is not dead.

    The log's append time decides whether the key is too old, because readers
    forget old keys at different moments and would otherwise disagree.
    """
    if not action_keys.canonicalize(record.idempotency_key):
        return FoldResult(table, Verdict.IGNORED)
    table = advance_append_time(appended_at, table)
    if action_keys.is_expired(record.idempotency_key, appended_at):
        return FoldResult(table, Verdict.EXPIRED)
    key = action_keys.ActionKey(record.account, record.idempotency_key)
    found = table.find(key)
    if record.attempt_id in found.abandoned_attempts:
        return FoldResult(table, Verdict.IGNORED)
    if found.status != Free():
        return FoldResult(table, compare_with_holder(record, found.status))
    held = Attempted(record.attempt_id, record.instance_id, record.body_digest)
    taken = dataclasses.replace(found, status=held)
    return FoldResult(table.replace(key, taken), Verdict.WON)


def compare_with_holder(
    record: records.ActionAttempt, status: Status
) -> Verdict:
    """Tell a repeated record of the holder from an attempt that has lost."""
    if find_holder(status) == record.attempt_id:
        return Verdict.IGNORED
    return Verdict.LOST


@functools.singledispatch
def find_holder(status: Status) -> str:
    """Return the attempt that holds a key, empty if there is none."""
    return ''


@find_holder.register(Attempted)
def find_holder_attempted(status: Attempted) -> str:
    """Return the attempt that may send."""
    return status.attempt_id


@find_holder.register(Done)
def find_holder_done(status: Done) -> str:
    """Return the attempt that was answered."""
    return status.record.attempt_id


@fold.register(records.AttemptAbandoned)
def fold_abandoned(
    record: records.AttemptAbandoned,
    appended_at: float,
    table: AttemptTable,
) -> FoldResult:
    """Free the key of an attempt, which is dead from here on.

    The record may come before that of the attempt itself, when the append of
    the attempt was not answered.
    """
    if not action_keys.canonicalize(record.idempotency_key):
        return FoldResult(table, Verdict.IGNORED)
    table = advance_append_time(appended_at, table)
    key = action_keys.ActionKey(record.account, record.idempotency_key)
    if is_too_old(key, table):
        return FoldResult(table, Verdict.IGNORED)
    found = table.find(key)
    if find_holder(found.status) != record.attempt_id:
        marked = KeyState(
            found.status, found.abandoned_attempts | {record.attempt_id}
        )
        return FoldResult(table.replace(key, marked), Verdict.IGNORED)
    if isinstance(found.status, Done):
        return FoldResult(table, Verdict.IGNORED)
    freed = KeyState(Free(), found.abandoned_attempts | {record.attempt_id})
    return FoldResult(table.replace(key, freed), Verdict.FREED)


@fold.register(records.AttemptDone)
def fold_done(
    record: records.AttemptDone,
    appended_at: float,
    table: AttemptTable,
) -> FoldResult:
    """Keep the answer of the attempt that holds the key.

    A free key means that the record of the attempt was dropped by retention.
    """
    if not action_keys.canonicalize(record.idempotency_key):
        return FoldResult(table, Verdict.IGNORED)
    table = advance_append_time(appended_at, table)
    key = action_keys.ActionKey(record.account, record.idempotency_key)
    found = table.find(key)
    holder = find_holder(found.status)
    if is_too_old(key, table) or holder not in {'', record.attempt_id}:
        return FoldResult(table, Verdict.IGNORED)
    if record.attempt_id in found.abandoned_attempts or isinstance(
        found.status, Done
    ):
        return FoldResult(table, Verdict.IGNORED)
    done = KeyState(Done(record), found.abandoned_attempts)
    return FoldResult(table.replace(key, done), Verdict.DONE)


def advance_append_time(
    appended_at: float, table: AttemptTable
) -> AttemptTable:
    """Note the append time of a record."""
    return dataclasses.replace(
        table, latest_append_time=max(table.latest_append_time, appended_at)
    )


def find_oldest_kept_time(table: AttemptTable) -> float:
    """Return the creation time of the oldest key that is kept."""
    window = action_keys.WINDOW_SECONDS + PRUNE_MARGIN_SECONDS
    return table.latest_append_time - window


def is_too_old(key: action_keys.ActionKey, table: AttemptTable) -> bool:
    """Return whether a key is too old to be kept."""
    return action_keys.read_creation_time(
        key.idempotency_key
    ) < find_oldest_kept_time(table)


def prune(table: AttemptTable) -> AttemptTable:
    """Drop the keys of which every further attempt would be too late."""
    limit = int(find_oldest_kept_time(table) // SECONDS_PER_MINUTE)
    old = tuple(minute for minute in table.by_minute if minute < limit)
    keys = table.keys
    by_minute = table.by_minute
    for minute in old:
        for key in by_minute[minute]:
            keys = keys.delete(key)
        by_minute = by_minute.delete(minute)
    return AttemptTable(keys, by_minute, table.latest_append_time)
