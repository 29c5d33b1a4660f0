"""Define the timers of an entry instance."""

import dataclasses

from mustardvale.internal import streams


@dataclasses.dataclass(frozen=True, slots=True)
class Timer:
    """Mark a data class as a timer."""


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceListDue(Timer):
    """Ask for the instance list again."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReportDue(Timer):
    """Ask an upstream for its load report again."""

    instance_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEventsDue(Timer):
    """Ask a runner for its cache events again."""

    instance_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class EjectionExpiry(Timer):
    """Use an ejected upstream again."""

    instance_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatDue(Timer):
    """Send a heartbeat to the peers."""


@dataclasses.dataclass(frozen=True, slots=True)
class SilenceCheckDue(Timer):
    """Look for watched peers that are not heard."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlanCheckDue(Timer):
    """Compare the placement plan with the load reports."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRetryDue(Timer):
    """Read a stream again after a failure."""

    stream: streams.Stream


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRetryDue(Timer):
    """Append to a stream again after a failure."""

    stream: streams.Stream


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerDeadline(Timer):
    """End an answer whose time is over."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRestartDue(Timer):
    """Start the next attempt of an answer."""

    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class OperationDeadline(Timer):
    """End an idempotent operation whose time is over."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectCheckDue(Timer):
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
class ForwardCheckDue(Timer):
    """See whether the owner of a forwarded action has taken it and lives."""

    forward_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardDeadline(Timer):
    """End a forwarded action that has no outcome."""

    forward_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionCheckDue(Timer):
    """Look at which partitions of attempts this instance tails."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopCheckDue(Timer):
    """Go on with a planned stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentCheckDue(Timer):
    """Compare the document in force with what the peers have."""


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotCheckDue(Timer):
    """See whether the log needs a snapshot of the document in force."""
