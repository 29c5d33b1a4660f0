"""Decide how long the input behind the last answer of a connection is read.

Closing a socket with unread input resets it, and the caller may lose the answer
(RFC 9112, section 9.6). The input is read and discarded within limits.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limit what is discarded.

    `linger_seconds` begins at the end of the request, `quiet_seconds` at the
    last input of an incomplete one, and `total_seconds` at the last answer.
    """

    linger_seconds: float = 1.0
    quiet_seconds: float = 3.0
    total_seconds: float = 15.0
    total_bytes: int = 4 * 1024 * 1024
    connections: int = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Discard:
    """Describe the discarded input of one connection.

    `rest_bytes` is what the request announces and has not sent yet, or none if
    its length is unknown.
    """

    started_at: float
    received_at: float
    received_bytes: int = 0
    rest_bytes: int | None = None
    completed_at: float | None = None


def start(now: float, rest_bytes: int | None = None) -> Discard:
    """Return the state of a connection whose last answer was written now."""
    return Discard(started_at=now, received_at=now, rest_bytes=rest_bytes)


def add_input(discard: Discard, count: int, now: float) -> Discard:
    """Count input that has arrived."""
    return dataclasses.replace(
        discard,
        received_at=now,
        received_bytes=discard.received_bytes + count,
    )


def announce_rest(discard: Discard, rest_bytes: int | None) -> Discard:
    """Store how much of the request has not been sent yet."""
    return dataclasses.replace(discard, rest_bytes=rest_bytes)


def reduce_rest(discard: Discard, count: int) -> Discard:
    """Subtract a piece of the body from the announced rest."""
    if discard.rest_bytes is None:
        return discard
    return announce_rest(discard, discard.rest_bytes - count)


def complete(discard: Discard, now: float) -> Discard:
    """Store that the request has arrived completely."""
    return dataclasses.replace(discard, rest_bytes=0, completed_at=now)


def restart(discard: Discard, now: float) -> Discard:
    """Begin all times again, because output was still queued."""
    is_complete = discard.completed_at is not None
    return dataclasses.replace(
        discard,
        started_at=now,
        received_at=now,
        completed_at=now if is_complete else None,
    )


def is_full(discard: Discard, limits: Limits) -> bool:
    """Return whether no more input may be discarded."""
    return discard.received_bytes >= limits.total_bytes


def is_overdue(discard: Discard, now: float, limits: Limits) -> bool:
    """Return whether the time for the whole discard has passed."""
    return now - discard.started_at >= limits.total_seconds


def may_continue(discard: Discard, now: float, limits: Limits) -> bool:
    """Return whether a connection may stay open to discard input."""
    if is_full(discard, limits) or is_overdue(discard, now, limits):
        return False
    if discard.completed_at is not None:
        return now - discard.completed_at < limits.linger_seconds
    return now - discard.received_at < limits.quiet_seconds


def may_delay_stop(discard: Discard, now: float, limits: Limits) -> bool:
    """Return whether a stop may wait for the rest of a request.

    Only an announced length shows that the caller stops sending.
    """
    if discard.rest_bytes is None or discard.completed_at is not None:
        return False
    announced_bytes = discard.received_bytes + discard.rest_bytes
    return announced_bytes <= limits.total_bytes and may_continue(
        discard, now, limits
    )


def has_surplus(count: int, limits: Limits) -> bool:
    """Return whether the oldest of some discarding connections is closed."""
    return count > limits.connections
