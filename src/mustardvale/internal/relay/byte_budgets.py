"""Decide which callers are read or ended, by the bytes that they hold.

One budget counts all connections of an instance. Reading stops before it is
full; then the holder without progress for longest is ended, or the largest one.
A share of the budget is reserved for requests that fit in a small buffer.
"""

import dataclasses
import enum
import math
import typing
from collections import abc

BYTES_PER_MB = 1024 * 1024
# Shares of the memory. Code, configuration and runners take the rest.
CALLER_SHARE = 0.2
ANSWER_SHARE = 0.1
MAXIMUM_ANSWER_BYTES = 32 * BYTES_PER_MB
# Two answers of the largest permitted size.
MINIMUM_ANSWER_BYTES = 16 * BYTES_PER_MB
# Shares of the callers' bytes: the limit of all large holders together, and the
# amount from which on only one large request is read.
LARGE_SHARE = 0.75
NARROW_SHARE = 0.5
# Holders up to this size are small.
SMALL_BYTES = 64 * 1024
# An idle connection takes about 2 KB with its parser; a request adds objects.
CONNECTION_BYTES = 4 * 1024
# The tuple and the three byte strings of a parsed header.
HEADER_BYTES = 256
# Under pressure, a holder without progress for this long is ended. Packets that
# were lost once are sent again within this time.
STALL_SECONDS = 0.5
# A request that is not read is refused after this time. Callers of plain
# requests wait 1.0 s or longer.
MAXIMUM_PAUSE_SECONDS = 0.8


class Intake(enum.Enum):
    """Name whose requests are read."""

    ALL = 'all'
    ONE_LARGE = 'one_large'
    SMALL = 'small'
    NONE = 'none'


class Ending(enum.Enum):
    """Name why a holder is ended."""

    STALLED = 'stalled'
    LARGEST = 'largest'
    PAUSED = 'paused'


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """Limit the bytes that callers hold; large holders get less than all.

    From `narrow_bytes` on, only the large request that began first is read.
    `answer_bytes` limits the answers that wait for their end.
    """

    total_bytes: float = math.inf
    large_bytes: float = math.inf
    narrow_bytes: float = math.inf
    answer_bytes: float = MAXIMUM_ANSWER_BYTES


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Hold the bytes of all holders, and those of the large ones."""

    total_bytes: int = 0
    large_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """Describe a connection that holds bytes and could be ended.

    `paused_at` is when reading from it was stopped, if it is stopped.
    """

    key: typing.Any
    held_bytes: int
    progressed_at: float
    paused_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """Name a holder that is ended, and why."""

    key: typing.Any
    ending: Ending


def build(memory_mb: float) -> Budget:
    """Return the budget of an instance with an amount of memory."""
    memory_bytes = memory_mb * BYTES_PER_MB
    total_bytes = memory_bytes * CALLER_SHARE
    return Budget(
        total_bytes,
        total_bytes * LARGE_SHARE,
        total_bytes * NARROW_SHARE,
        min(
            max(memory_bytes * ANSWER_SHARE, MINIMUM_ANSWER_BYTES),
            MAXIMUM_ANSWER_BYTES,
        ),
    )


def is_large(held_bytes: int) -> bool:
    """Return whether a holder may not use the reserved share."""
    return held_bytes > SMALL_BYTES


def decide_intake(usage: Usage, budget: Budget) -> Intake:
    """Return whose requests are read at a usage of the budget."""
    if usage.total_bytes >= budget.total_bytes:
        return Intake.NONE
    if usage.large_bytes >= budget.large_bytes:
        return Intake.SMALL
    if usage.large_bytes >= budget.narrow_bytes:
        return Intake.ONE_LARGE
    return Intake.ALL


def may_read(intake: Intake, held_bytes: int, is_first_large: bool) -> bool:
    """Return whether a request is read further."""
    match intake:
        case Intake.ALL:
            return True
        case Intake.ONE_LARGE:
            return is_first_large or not is_large(held_bytes)
        case Intake.SMALL:
            return not is_large(held_bytes)
        case Intake.NONE:
            return False


def choose_end(
    holders: abc.Iterable[Holder], intake: Intake, now: float
) -> End | None:
    """Return which holder is ended, if one has to be.

    A holder that is not read makes no progress through no fault of its own.
    """
    if intake is Intake.ALL:
        return None
    is_full = intake is Intake.NONE
    candidates = [
        holder for holder in holders if is_full or is_large(holder.held_bytes)
    ]
    stalled = [
        holder
        for holder in candidates
        if holder.paused_at is None
        and now - holder.progressed_at >= STALL_SECONDS
    ]
    if stalled:
        longest = min(stalled, key=lambda holder: holder.progressed_at)
        return End(longest.key, Ending.STALLED)
    if is_full and candidates:
        largest = max(candidates, key=lambda holder: holder.held_bytes)
        return End(largest.key, Ending.LARGEST)
    return None


def list_overdue(holders: abc.Iterable[Holder], now: float) -> tuple[End, ...]:
    """Return the holders that have not been read for too long."""
    return tuple(
        End(holder.key, Ending.PAUSED)
        for holder in holders
        if holder.paused_at is not None
        and now - holder.paused_at >= MAXIMUM_PAUSE_SECONDS
    )
