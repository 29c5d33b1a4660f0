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
class CacheEventsDue(Timer):
    """Ask a runner for its cache events again."""

    instance_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class EjectionOver(Timer):
    """Use an ejected upstream again."""

    instance_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatDue(Timer):
    """Send a heartbeat to the peers."""


@dataclasses.dataclass(frozen=True, slots=True)
class SilenceDue(Timer):
    """Look for watched peers that are not heard."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlanDue(Timer):
    """Compare the placement plan with the load reports."""


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
class OperationDeadline(Timer):
    """End an idempotent operation whose time is over."""

    request_id: str


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
class ActionDeadline(Timer):
    """End the call of an action whose time is over."""

    call_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimDeadline(Timer):
    """Give up an attempt that the log has not confirmed."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardDeadline(Timer):
    """End a forwarded action that has no outcome."""

    forward_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionsDue(Timer):
    """Look at which partitions of attempts this instance tails."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopPhaseDue(Timer):
    """Go on with a planned stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class CopyDue(Timer):
    """Compare the document in force with what the peers have."""


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotDue(Timer):
    """See whether the log needs a snapshot of the document in force."""
