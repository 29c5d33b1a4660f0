"""Decide which promoted document is in force."""

import dataclasses
import enum
import functools

from mustardvale.internal import records


@dataclasses.dataclass(frozen=True, slots=True)
class Promoted:
    """Describe the document in force after folding all records to `as_of`.

    `version` counts accepted promotions and `offset` is that of the accepted
    one; both only rise. Version 0 stands for no document.
    """

    version: int = 0
    offset: int = -1
    document: str = ''
    as_of: int = -1


class Verdict(enum.Enum):
    """Say what a fold made of a record."""

    ACCEPTED = 'accepted'
    OUTDATED = 'outdated'
    IGNORED = 'ignored'
    RESTORED = 'restored'


@dataclasses.dataclass(frozen=True, slots=True)
class Folded:
    """Pair the document in force with the verdict on the last record."""

    promoted: Promoted
    verdict: Verdict


@functools.singledispatch
def fold(
    record: records.Record,
    offset: int,
    promoted: Promoted,
) -> Folded:
    """Fold one record of an environment stream; readers agree on the result."""
    return Folded(
        dataclasses.replace(promoted, as_of=offset),
        Verdict.IGNORED,
    )


@fold.register(records.Promotion)
def fold_promotion(
    record: records.Promotion,
    offset: int,
    promoted: Promoted,
) -> Folded:
    """Accept a promotion that is based on the document in force."""
    based_on = (record.based_on_version, record.based_on_offset)
    if based_on != (promoted.version, promoted.offset):
        return Folded(
            dataclasses.replace(promoted, as_of=offset),
            Verdict.OUTDATED,
        )
    accepted = Promoted(
        version=promoted.version + 1,
        offset=offset,
        document=record.document,
        as_of=offset,
    )
    return Folded(accepted, Verdict.ACCEPTED)
