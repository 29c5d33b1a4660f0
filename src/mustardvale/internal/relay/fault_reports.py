"""Define faults of runners, and merge what instances report of them.

The clocks of two instances differ, so that a report says how long ago a fault
was found. Reports may arrive late, twice or in any order: merging them is
idempotent and keeps the earliest time of each fault.
"""

import dataclasses
import enum
import typing

from mustardvale.internal.relay import calls, runners

if typing.TYPE_CHECKING:
    from collections import abc

# About as long as the platform takes to drop the entry of a crashed runner.
RETENTION_SECONDS = 4.0
MAXIMUM_FAULTS = 64


class FaultKind(enum.Enum):
    """Name the kinds of faults, as reports and metrics show them.

    A crashed process accepts no connections. Requests wait for a stalled one.
    """

    CRASHED = 'crashed'
    STALLED = 'stalled'


class FaultOrigin(enum.Enum):
    """Name how an instance has learnt of a fault, as metrics show it.

    It has lost a connection that it watches, or one with a request (checked), a
    first runner has reported the fault, or another instance has.
    """

    WATCHED = 'watched'
    CHECKED = 'checked'
    REPORTED = 'reported'
    TOLD = 'told'


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Hold a fault of one process of a runner, and when it was found."""

    runner_id: str
    started_at_ms: int
    kind: FaultKind
    found_at: float

    @property
    def key(self) -> tuple[str, int, str]:
        """Return what tells this fault from others."""
        return self.runner_id, self.started_at_ms, self.kind.value


@dataclasses.dataclass(frozen=True, slots=True)
class FaultState:
    """Hold the faults that an instance knows of.

    `position` rises with each change of `faults`. `followed_position` is that
    of the reader `followed_reader_id` up to which it has told its faults.
    `unsent` are those that this instance has found and has yet to report, and
    `is_telling_due` is true while a timer to tell other instances is pending.
    """

    faults: tuple[Fault, ...] = ()
    position: int = 0
    followed_reader_id: str = ''
    followed_position: int = 0
    unsent: tuple[Fault, ...] = ()
    is_telling_due: bool = False


def is_current(fault: Fault, now: float) -> bool:
    """Return whether a fault is recent enough to count."""
    return now - fault.found_at < RETENTION_SECONDS


def list_new(
    known: FaultState, reported: 'abc.Iterable[Fault]', now: float
) -> tuple[Fault, ...]:
    """Return the current faults among reported ones that are not known."""
    known_keys = {fault.key for fault in known.faults if is_current(fault, now)}
    added: dict[tuple[str, int, str], Fault] = {}
    for fault in reported:
        if fault.key not in known_keys and is_current(fault, now):
            added.setdefault(fault.key, fault)
    return tuple(added.values())


def merge(
    known: tuple[Fault, ...], reported: 'abc.Iterable[Fault]', now: float
) -> tuple[Fault, ...]:
    """Return the current faults of both, the newest if there are too many."""
    merged: dict[tuple[str, int, str], Fault] = {}
    for fault in (*known, *reported):
        earlier = merged.get(fault.key)
        if earlier is None or fault.found_at < earlier.found_at:
            merged[fault.key] = fault
    current = [fault for fault in merged.values() if is_current(fault, now)]
    ordered = sorted(current, key=lambda fault: (fault.found_at, fault.key))
    return tuple(ordered[-MAXIMUM_FAULTS:])


def list_crashed(
    known: FaultState, runner_map: runners.RunnerMap, now: float
) -> frozenset[str]:
    """Return the runners whose listed process is known to have crashed."""
    return frozenset(
        fault.runner_id
        for fault in known.faults
        if fault.kind is FaultKind.CRASHED
        and is_current(fault, now)
        and is_of_listed_process(fault, runner_map)
    )


def is_of_listed_process(fault: Fault, runner_map: runners.RunnerMap) -> bool:
    """Return whether a fault is that of the listed process or a later one.

    A later process that is not listed yet shows that the listed one is gone.
    """
    runner = runner_map.get(fault.runner_id)
    if runner is None:
        return False
    return runner.listed.started_at_ms <= fault.started_at_ms


def build_report(
    faults: 'abc.Iterable[Fault]', now: float
) -> tuple[calls.ReportedFault, ...]:
    """Return the current faults with their ages."""
    return tuple(
        calls.ReportedFault(
            fault.runner_id,
            fault.started_at_ms,
            fault.kind.value,
            now - fault.found_at,
        )
        for fault in faults
        if is_current(fault, now)
    )


def read_report(
    reported: 'abc.Sequence[calls.ReportedFault]', now: float
) -> tuple[Fault, ...]:
    """Return the faults of a report, without kinds of later releases."""
    kinds = {kind.value: kind for kind in FaultKind}
    return tuple(
        Fault(
            item.runner_id,
            item.started_at_ms,
            kinds[item.kind],
            now - min(max(item.age_seconds, 0.0), RETENTION_SECONDS),
        )
        for item in reported[:MAXIMUM_FAULTS]
        if item.kind in kinds
    )


def has_untold(call: calls.FollowPeer, known: FaultState, now: float) -> bool:
    """Return whether a follower lacks current faults.

    A follower of an earlier release names no position, and is not told. The
    others name the position that they were told last, so that none is told
    twice.
    """
    if call.fault_position in {None, known.position}:
        return False
    return any(is_current(fault, now) for fault in known.faults)
