"""Define the timers of an entry instance."""

import dataclasses

from mustardvale.internal import streams


@dataclasses.dataclass(frozen=True, slots=True)
class Timer:
    """Mark a data class as a timer."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListDue(Timer):
    """Ask for the instance list again."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadDue(Timer):
    """Ask an upstream for its load report again."""

    instance_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatDue(Timer):
    """Send a heartbeat to the peers."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadDue(Timer):
    """Read a stream again after a failure."""

    stream: streams.Stream


@dataclasses.dataclass(frozen=True, slots=True)
class AppendDue(Timer):
    """Append to a stream again after a failure."""

    stream: streams.Stream


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerDeadline(Timer):
    """End an answer whose time is over."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class RestartDue(Timer):
    """Start the next attempt of an answer."""

    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectsDue(Timer):
    """End the answers of requests that may no longer run."""


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionDue(Timer):
    """Start waiting requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class QueueExpiry(Timer):
    """Refuse a waiting request that can no longer finish in time."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopPhaseDue(Timer):
    """Go on with a planned stop."""
