"""Decide which promoted document is in force.

The fold depends on the records alone, so instances and the command-line tool
reach the same result without a lock.
"""

import dataclasses
import enum
import functools

from mustardvale.internal import records

# Each record holds a whole document, which JSON escapes can make three times as
# long, and the response must fit the size limit of the HTTP client.
READ_LIMIT_RECORDS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Gap:
    """Describe records that retention dropped before this reader read them.

    The reader has read every record from `first_offset` up to, not including,
    `next_offset`; `pending_promotions` holds the promotions among them with
    their offsets. Which of them were accepted is unknown until a snapshot that
    covers every record before `first_offset` is read.
    """

    first_offset: int
    next_offset: int
    pending_promotions: tuple[tuple[int, records.Promotion], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionState:
    """Hold the document in force after folding all records up to `as_of`.

    `version` counts accepted promotions and `offset` is the offset of the last
    accepted one; both never decrease. Version 0 means that no document is in
    force. While there is a `gap`, a later document may be in force.
    """

    version: int = 0
    offset: int = -1
    document: str = ''
    as_of: int = -1
    operator: str = ''
    gap: Gap | None = None

    @property
    def is_contiguous(self) -> bool:
        """Return whether every record up to `as_of` is accounted for."""
        return self.gap is None

    @property
    def next_offset(self) -> int:
        """Return the offset of the record that the fold takes next."""
        return self.as_of + 1 if self.gap is None else self.gap.next_offset


class Verdict(enum.Enum):
    """Name the effects that a folded record can have."""

    ACCEPTED = 'accepted'
    OUTDATED = 'outdated'
    IGNORED = 'ignored'
    RESTORED = 'restored'
    UNDECIDED = 'open'


@dataclasses.dataclass(frozen=True, slots=True)
class FoldResult:
    """Hold the state after a record and the verdict on that record."""

    promoted: PromotionState
    verdict: Verdict


def skip_dropped_records(
    earliest_offset: int, promoted: PromotionState
) -> PromotionState:
    """Open a gap if records before an offset were dropped unread."""
    if earliest_offset <= promoted.next_offset:
        return promoted
    gap = Gap(earliest_offset, earliest_offset)
    return dataclasses.replace(promoted, gap=gap)


def fold(
    record: records.Record,
    offset: int,
    promoted: PromotionState,
) -> FoldResult:
    """Fold one record of an environment stream.

    The result is the same for every reader. A record that was folded before
    has no effect, and a record that does not follow the last one opens a gap.
    """
    if offset < promoted.next_offset:
        return FoldResult(promoted, Verdict.IGNORED)
    return fold_next(record, offset, skip_dropped_records(offset, promoted))


def advance_past(offset: int, promoted: PromotionState) -> PromotionState:
    """Advance past a record that does not change the document in force."""
    if promoted.gap is None:
        return dataclasses.replace(promoted, as_of=offset)
    gap = dataclasses.replace(promoted.gap, next_offset=offset + 1)
    return dataclasses.replace(promoted, gap=gap)


@functools.singledispatch
def fold_next(
    record: records.Record,
    offset: int,
    promoted: PromotionState,
) -> FoldResult:
    """Fold the record at the next offset."""
    return FoldResult(advance_past(offset, promoted), Verdict.IGNORED)


@fold_next.register(records.Promotion)
def fold_promotion(
    record: records.Promotion,
    offset: int,
    promoted: PromotionState,
) -> FoldResult:
    """Accept a promotion if it is based on the document in force."""
    if promoted.gap is not None:
        return FoldResult(
            defer_promotion(record, offset, promoted), Verdict.UNDECIDED
        )
    based_on = (record.based_on_version, record.based_on_offset)
    if based_on != (promoted.version, promoted.offset):
        return FoldResult(advance_past(offset, promoted), Verdict.OUTDATED)
    accepted = PromotionState(
        version=promoted.version + 1,
        offset=offset,
        document=record.document,
        as_of=offset,
        operator=record.operator,
    )
    return FoldResult(accepted, Verdict.ACCEPTED)


def defer_promotion(
    record: records.Promotion,
    offset: int,
    promoted: PromotionState,
) -> PromotionState:
    """Store a promotion whose acceptance depends on dropped records."""
    assert promoted.gap is not None, 'promotions are deferred only behind a gap'
    gap = dataclasses.replace(
        promoted.gap,
        next_offset=offset + 1,
        pending_promotions=(*promoted.gap.pending_promotions, (offset, record)),
    )
    return dataclasses.replace(promoted, gap=gap)


@fold_next.register(records.DocumentSnapshot)
def fold_snapshot(
    record: records.DocumentSnapshot,
    offset: int,
    promoted: PromotionState,
) -> FoldResult:
    """Close a gap with a snapshot; without a gap the snapshot is ignored."""
    advanced = advance_past(offset, promoted)
    candidate = PromotionState(
        version=record.version,
        offset=record.offset,
        document=record.document,
        as_of=record.as_of,
        operator=record.operator,
    )
    if promoted.gap is None or not closes_gap(candidate, promoted):
        return FoldResult(advanced, Verdict.IGNORED)
    return FoldResult(close_gap(candidate, advanced), Verdict.RESTORED)


def closes_gap(candidate: PromotionState, promoted: PromotionState) -> bool:
    """Return whether a candidate covers every record that was dropped unread.

    A snapshot by an instance that was paused may be older than the dropped
    records, and accepting it would restore an earlier document.
    """
    return (
        promoted.gap is not None
        and candidate.as_of >= promoted.gap.first_offset - 1
        and is_later(candidate, promoted)
    )


def is_later(candidate: PromotionState, promoted: PromotionState) -> bool:
    """Return whether a candidate is consistent and holds no earlier document.

    Records and messages that entry instances write always pass this check.
    """
    return (
        promoted.offset <= candidate.offset <= candidate.as_of
        and promoted.version <= candidate.version
    )


def close_gap(
    candidate: PromotionState, promoted: PromotionState
) -> PromotionState:
    """Fold the promotions read behind a gap on top of a candidate."""
    gap = promoted.gap
    assert gap is not None, 'close_gap requires a gap'
    closed = candidate
    for offset, record in gap.pending_promotions:
        if offset > closed.as_of:
            closed = dataclasses.replace(closed, as_of=offset - 1)
            closed = fold_promotion(record, offset, closed).promoted
    return dataclasses.replace(
        closed,
        as_of=max(closed.as_of, gap.next_offset - 1),
    )


def adopt_peer_state(
    candidate: PromotionState, promoted: PromotionState
) -> PromotionState:
    """Adopt the folded state of a peer if it is later and closes any gap."""
    if promoted.gap is not None:
        if closes_gap(candidate, promoted):
            return close_gap(candidate, promoted)
        return promoted
    if candidate.as_of > promoted.as_of and is_later(candidate, promoted):
        return candidate
    return promoted
