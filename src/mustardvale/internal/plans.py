"""Fold records to determine the placement plan in force."""

import dataclasses
import functools

from mustardvale.internal import records


@dataclasses.dataclass(frozen=True, slots=True)
class DeferredProposal:
    """Pair a proposal with its offset while records before it are missing."""

    offset: int
    proposal: records.PlanProposal


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Describe the plan in force after folding all records up to `as_of`.

    `offset` is the offset of the accepted proposal, -1 if there is none; it
    serves as the fencing token of the plan's orders. If `gap_end` is not 0,
    records before that offset are missing and later proposals are kept in
    `deferred` until a snapshot closes the gap.
    """

    offset: int = -1
    assignments: tuple[records.Assignment, ...] = ()
    as_of: int = -1
    gap_end: int = 0
    deferred: tuple[DeferredProposal, ...] = ()

    @property
    def is_known(self) -> bool:
        """Return whether there is a plan and no gap in the records."""
        return self.offset >= 0 and not self.gap_end


def open_gap(earliest_offset: int, plan: Plan) -> Plan:
    """Open a gap, since records before an offset were dropped unread."""
    return dataclasses.replace(plan, gap_end=earliest_offset, deferred=())


@functools.singledispatch
def fold(record: records.Record, offset: int, plan: Plan) -> Plan:
    """Fold one record of the order stream.

    The result is the same for all readers.
    """
    return dataclasses.replace(plan, as_of=offset)


@fold.register(records.PlanProposal)
def fold_proposal(
    record: records.PlanProposal,
    offset: int,
    plan: Plan,
) -> Plan:
    """Accept a proposal if it is based on the plan in force."""
    if plan.gap_end:
        kept = (*plan.deferred, DeferredProposal(offset, record))
        return dataclasses.replace(plan, as_of=offset, deferred=kept)
    if record.based_on_offset != plan.offset:
        return dataclasses.replace(plan, as_of=offset)
    return Plan(offset, record.assignments, offset)


@fold.register(records.PlanSnapshot)
def fold_snapshot(
    record: records.PlanSnapshot,
    offset: int,
    plan: Plan,
) -> Plan:
    """Close a gap with a snapshot that covers all records before it.

    An older snapshot, e.g. from an instance that was paused, may lack a
    proposal that was dropped.
    """
    if not plan.gap_end or record.as_of < plan.gap_end - 1:
        return dataclasses.replace(plan, as_of=offset)
    restored = Plan(record.offset, record.assignments, record.as_of)
    for kept in plan.deferred:
        if kept.offset > record.as_of:
            restored = fold_proposal(kept.proposal, kept.offset, restored)
    return dataclasses.replace(restored, as_of=offset)
