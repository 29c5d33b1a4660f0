"""Limit what callers send, across changes of the limits."""

import dataclasses


# Parsing an event of h11 takes about 20 microseconds, whatever its size.
MANY_EVENTS = 128
FEW_EVENTS = 8
LEAST_READ_BYTES = 4 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limit what a caller may send and how long it may take.

    The defaults apply until a configuration sets other limits.
    """

    maximum_header_bytes: int = 16 * 1024
    maximum_body_bytes: int = 4 * 1024 * 1024
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class LimitHistory:
    """Hold the limits in force and the earlier, longer times.

    A caller may rely on a timeout that was lowered until that timeout has
    passed once, because it does not learn of the change at once.
    """

    current: CallerLimits = CallerLimits()
    earlier_idle_seconds: float = 0.0
    earlier_header_seconds: float = 0.0
    earlier_until: float = 0.0

    def compute_idle_seconds(self, now: float) -> float:
        """Return for how long a connection may be idle."""
        if now >= self.earlier_until:
            return self.current.idle_timeout_seconds
        return max(self.current.idle_timeout_seconds, self.earlier_idle_seconds)

    def compute_header_seconds(self, now: float) -> float:
        """Return for how long the next part of a request may take."""
        if now >= self.earlier_until:
            return self.current.header_timeout_seconds
        return max(
            self.current.header_timeout_seconds, self.earlier_header_seconds
        )


def choose_read_bytes(
    current: int, most: int, received_bytes: int, event_count: int
) -> int:
    """Return how much to read at once after an input with some events.

    Input of many small chunks is read in small pieces, so that other
    connections get their turn.
    """
    if event_count > MANY_EVENTS:
        return LEAST_READ_BYTES
    if event_count <= FEW_EVENTS and received_bytes >= LEAST_READ_BYTES:
        return most
    return current


def change_limits(
    history: LimitHistory, limits: CallerLimits, now: float
) -> LimitHistory:
    """Put other limits in force, and keep the longer times for a while."""
    idle_seconds = history.compute_idle_seconds(now)
    header_seconds = history.compute_header_seconds(now)
    return LimitHistory(
        limits,
        idle_seconds,
        header_seconds,
        now + max(idle_seconds, header_seconds),
    )
