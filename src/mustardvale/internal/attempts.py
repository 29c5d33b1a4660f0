"""Decide from the records of a partition which attempt may send an action."""

import dataclasses
import enum
import functools

import immutables

from mustardvale.internal import action_keys, records

SECONDS_PER_MINUTE = 60
# If the clock of the log steps back by less than this, a pruned key cannot
# become valid again.
PRUNE_MARGIN_SECONDS = 600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Mark a data class as the status of a key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Free(Status):
    """Mark a key that no attempt holds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Attempted(Status):
    """Identify the attempt that holds the key and may send."""

    attempt_id: str
    instance_id: str
    body_digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class Done(Status):
    """Hold the record of the answer."""

    record: records.AttemptDone


@dataclasses.dataclass(frozen=True, slots=True)
class KeyState:
    """Hold the status of a key and the ids of its abandoned attempts."""

    status: Status = Free()
    abandoned_attempts: frozenset[str] = frozenset()


KeyTable = immutables.Map[action_keys.ActionKey, KeyState]
KeySet = immutables.Map[action_keys.ActionKey, bool]


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptTable:
    """Hold the keys of one partition, indexed by the minute of their creation.

    `latest_append_time` is the highest append time that was folded, in the
    wall time of the log.
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
    """Name the effects that a folded record can have."""

    WON = 'won'
    LOST = 'lost'
    EXPIRED = 'expired'
    FREED = 'freed'
    DONE = 'done'
    IGNORED = 'ignored'


@dataclasses.dataclass(frozen=True, slots=True)
class FoldResult:
    """Hold the table after a record and the verdict on that record."""

    table: AttemptTable
    verdict: Verdict


def find_creation_minute(key: action_keys.ActionKey) -> int:
    """Return the minute in which a key was created, counted from the epoch."""
    seconds = action_keys.read_creation_time(key.idempotency_key)
    return int(seconds // SECONDS_PER_MINUTE)


@functools.singledispatch
def fold(
    record: records.Record,
    appended_at: float,
    table: AttemptTable,
) -> FoldResult:
    """Fold one record of a partition; the result is the same for all readers.

    `appended_at` is the wall time at which the log stored the record.
    """
    return FoldResult(table, Verdict.IGNORED)


@fold.register(records.ActionAttempt)
def fold_attempt(
    record: records.ActionAttempt,
    appended_at: float,
    table: AttemptTable,
) -> FoldResult:
    """Give a free key to an attempt that was not abandoned.

    The append time of the log decides whether the key has expired. Readers
    prune old keys at different times and would disagree by their own clocks.
    """
    if not action_keys.canonicalize(record.idempotency_key):
        return FoldResult(table, Verdict.IGNORED)
    table = advance_append_time(appended_at, table)
    if action_keys.is_expired(record.idempotency_key, appended_at):
        return FoldResult(table, Verdict.EXPIRED)
    key = action_keys.ActionKey(record.account, record.idempotency_key)
    key_state = table.find(key)
    if record.attempt_id in key_state.abandoned_attempts:
        return FoldResult(table, Verdict.IGNORED)
    if key_state.status != Free():
        return FoldResult(table, compare_with_holder(record, key_state.status))
    held = Attempted(record.attempt_id, record.instance_id, record.body_digest)
    taken = dataclasses.replace(key_state, status=held)
    return FoldResult(table.replace(key, taken), Verdict.WON)


def compare_with_holder(
    record: records.ActionAttempt, status: Status
) -> Verdict:
    """Return the verdict on an attempt whose key is taken.

    The holder may appear again, because appends may be repeated.
    """
    if find_holder(status) == record.attempt_id:
        return Verdict.IGNORED
    return Verdict.LOST


@functools.singledispatch
def find_holder(status: Status) -> str:
    """Return the id of the attempt that holds a key, empty if there is none."""
    return ''


@find_holder.register(Attempted)
def find_holder_attempted(status: Attempted) -> str:
    """Return the id of the attempt that may send."""
    return status.attempt_id


@find_holder.register(Done)
def find_holder_done(status: Done) -> str:
    """Return the id of the attempt that was answered."""
    return status.record.attempt_id


@fold.register(records.AttemptAbandoned)
def fold_abandoned(
    record: records.AttemptAbandoned,
    appended_at: float,
    table: AttemptTable,
) -> FoldResult:
    """Free the key of an abandoned attempt, which can never hold it again.

    If the append of the attempt got no response, its record may follow that of
    the abandonment.
    """
    if not action_keys.canonicalize(record.idempotency_key):
        return FoldResult(table, Verdict.IGNORED)
    table = advance_append_time(appended_at, table)
    key = action_keys.ActionKey(record.account, record.idempotency_key)
    if is_too_old(key, table):
        return FoldResult(table, Verdict.IGNORED)
    key_state = table.find(key)
    if find_holder(key_state.status) != record.attempt_id:
        marked = KeyState(
            key_state.status, key_state.abandoned_attempts | {record.attempt_id}
        )
        return FoldResult(table.replace(key, marked), Verdict.IGNORED)
    if isinstance(key_state.status, Done):
        return FoldResult(table, Verdict.IGNORED)
    freed = KeyState(Free(), key_state.abandoned_attempts | {record.attempt_id})
    return FoldResult(table.replace(key, freed), Verdict.FREED)


@fold.register(records.AttemptDone)
def fold_done(
    record: records.AttemptDone,
    appended_at: float,
    table: AttemptTable,
) -> FoldResult:
    """Store the answer of the attempt that holds the key.

    If the key is free, retention has dropped the record of the attempt.
    """
    if not action_keys.canonicalize(record.idempotency_key):
        return FoldResult(table, Verdict.IGNORED)
    table = advance_append_time(appended_at, table)
    key = action_keys.ActionKey(record.account, record.idempotency_key)
    key_state = table.find(key)
    holder = find_holder(key_state.status)
    if is_too_old(key, table) or holder not in {'', record.attempt_id}:
        return FoldResult(table, Verdict.IGNORED)
    if record.attempt_id in key_state.abandoned_attempts or isinstance(
        key_state.status, Done
    ):
        return FoldResult(table, Verdict.IGNORED)
    done = KeyState(Done(record), key_state.abandoned_attempts)
    return FoldResult(table.replace(key, done), Verdict.DONE)


def advance_append_time(
    appended_at: float, table: AttemptTable
) -> AttemptTable:
    """Advance the latest append time to that of a record."""
    return dataclasses.replace(
        table, latest_append_time=max(table.latest_append_time, appended_at)
    )


def find_oldest_kept_time(table: AttemptTable) -> float:
    """Return the wall time before which created keys are pruned."""
    window = action_keys.WINDOW_SECONDS + PRUNE_MARGIN_SECONDS
    return table.latest_append_time - window


def is_too_old(key: action_keys.ActionKey, table: AttemptTable) -> bool:
    """Return whether a key is old enough to be pruned."""
    return action_keys.read_creation_time(
        key.idempotency_key
    ) < find_oldest_kept_time(table)


def prune(table: AttemptTable) -> AttemptTable:
    """Drop the keys of which every further attempt would be too late."""
    first_kept_minute = int(find_oldest_kept_time(table) // SECONDS_PER_MINUTE)
    old_minutes = tuple(
        minute for minute in table.by_minute if minute < first_kept_minute
    )
    keys = table.keys
    by_minute = table.by_minute
    for minute in old_minutes:
        for key in by_minute[minute]:
            keys = keys.delete(key)
        by_minute = by_minute.delete(minute)
    return AttemptTable(keys, by_minute, table.latest_append_time)
