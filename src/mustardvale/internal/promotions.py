"""Decide which promoted document is in force.

The fold is a function of the records alone, so that instances and the
command-line tool agree on it without a lock.
"""

import dataclasses
import enum
import functools

from mustardvale.internal import records

# Each record holds a whole document, which JSON escapes can make three times as
# long, and an answer of the log may not exceed what the HTTP client takes.
READ_LIMIT_RECORDS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Gap:
    """Describe a reader that retention overtook.

    It has read every record from `first_offset` up to, not including,
    `next_offset`; `read` holds the promotions among them. Which of them were
    accepted is open until a snapshot that covers `first_offset` is read.
    """

    first_offset: int
    next_offset: int
    pending_promotions: tuple[tuple[int, records.Promotion], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionState:
    """Describe the document in force after folding all records to `as_of`.

    `version` counts accepted promotions and `offset` is that of the accepted
    one; both only rise. Version 0 stands for no document. With a `gap` a later
    document may be in force.
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
    """Say what a fold made of a record."""

    ACCEPTED = 'accepted'
    OUTDATED = 'outdated'
    IGNORED = 'ignored'
    RESTORED = 'restored'
    UNDECIDED = 'open'


@dataclasses.dataclass(frozen=True, slots=True)
class FoldResult:
    """Pair the document in force with the verdict on the last record."""

    promoted: PromotionState
    verdict: Verdict


def skip_dropped_records(
    earliest_offset: int, promoted: PromotionState
) -> PromotionState:
    """Note that the log no longer holds records before an offset."""
    if earliest_offset <= promoted.next_offset:
        return promoted
    gap = Gap(earliest_offset, earliest_offset)
    return dataclasses.replace(promoted, gap=gap)


def fold(
    record: records.Record,
    offset: int,
    promoted: PromotionState,
) -> FoldResult:
    """Fold one record of an environment stream; readers agree on the result.

    A record that was folded before changes nothing, and one that does not
    follow the last reveals a gap.
    """
    if offset < promoted.next_offset:
        return FoldResult(promoted, Verdict.IGNORED)
    return fold_next(record, offset, skip_dropped_records(offset, promoted))


def advance_past(offset: int, promoted: PromotionState) -> PromotionState:
    """Move behind a record that does not change the document in force."""
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
    """Fold the next record."""
    return FoldResult(advance_past(offset, promoted), Verdict.IGNORED)


@fold_next.register(records.Promotion)
def fold_promotion(
    record: records.Promotion,
    offset: int,
    promoted: PromotionState,
) -> FoldResult:
    """Accept a promotion that is based on the document in force."""
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
    """Keep a promotion whose verdict depends on dropped records."""
    assert promoted.gap is not None, 'only a reader behind a gap keeps records'
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
    """Close a gap with a snapshot; an anchored reader needs none."""
    passed = advance_past(offset, promoted)
    candidate = PromotionState(
        version=record.version,
        offset=record.offset,
        document=record.document,
        as_of=record.as_of,
        operator=record.operator,
    )
    if promoted.gap is None or not closes_gap(candidate, promoted):
        return FoldResult(passed, Verdict.IGNORED)
    return FoldResult(close_gap(candidate, passed), Verdict.RESTORED)


def closes_gap(candidate: PromotionState, promoted: PromotionState) -> bool:
    """Return whether no record between a candidate and a gap is missing.

    A snapshot of an instance that was paused may be older than the dropped
    records and would restore an earlier document.
    """
    return (
        promoted.gap is not None
        and candidate.as_of >= promoted.gap.first_offset - 1
        and is_later(candidate, promoted)
    )


def is_later(candidate: PromotionState, promoted: PromotionState) -> bool:
    """Return whether a candidate is consistent and holds no earlier document.

    Only a record or message that our code did not write fails this.
    """
    return (
        promoted.offset <= candidate.offset <= candidate.as_of
        and promoted.version <= candidate.version
    )


def close_gap(
    candidate: PromotionState, promoted: PromotionState
) -> PromotionState:
    """Fold the records read behind a gap on top of a candidate."""
    gap = promoted.gap
    assert gap is not None, 'the reader is behind a gap'
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
    """Take over what a peer has folded, unless it is behind or leaves a gap."""
    if promoted.gap is not None:
        if closes_gap(candidate, promoted):
            return close_gap(candidate, promoted)
        return promoted
    if candidate.as_of > promoted.as_of and is_later(candidate, promoted):
        return candidate
    return promoted
