"""Define the timers of an entry instance."""

import dataclasses

from mustardvale.internal import streams


@dataclasses.dataclass(frozen=True, slots=True)
class Timer:
    """Mark a data class as a timer."""


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceListDue(Timer):
    """Fetch the instance list."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReportDue(Timer):
    """Fetch the load report of an upstream."""

    instance_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEventsDue(Timer):
    """Fetch the cache events of a runner."""

    instance_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class EjectionExpiry(Timer):
    """End the ejection of an upstream."""

    instance_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatDue(Timer):
    """Send a heartbeat to the peers."""


@dataclasses.dataclass(frozen=True, slots=True)
class SilenceCheckDue(Timer):
    """Check for watched peers whose heartbeats are missing."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlanCheckDue(Timer):
    """Compare the placement plan with the load reports of the runners."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRetryDue(Timer):
    """Retry a failed read of a stream."""

    stream: streams.Stream


@dataclasses.dataclass(frozen=True, slots=True)
class AppendDue(Timer):
    """End a pause and append the next batch of records to a stream."""

    stream: streams.Stream


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerDeadline(Timer):
    """Abort an answer whose deadline has passed."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRestartDue(Timer):
    """Start the next attempt of an answer."""

    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class OperationDeadline(Timer):
    """End an idempotent operation whose deadline has passed."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectCheckDue(Timer):
    """Abort the answers of requests that have crashed too many runners."""


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionDue(Timer):
    """Start queued requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class QueueExpiry(Timer):
    """Refuse a queued request that can no longer meet its deadline."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ActionDeadline(Timer):
    """End the call of an action whose deadline has passed."""

    call_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimDeadline(Timer):
    """Abandon an attempt that the log has not confirmed."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardCheckDue(Timer):
    """Check that the owner of a forwarded action is live and accepted it."""

    forward_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardDeadline(Timer):
    """End a forwarded action that has no outcome."""

    forward_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionCheckDue(Timer):
    """Update the set of attempt partitions that this instance tails."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopCheckDue(Timer):
    """Check whether a graceful shutdown can complete."""


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentCheckDue(Timer):
    """Compare the document in force with those of the peers."""


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotCheckDue(Timer):
    """Check whether the log needs a snapshot of the document in force."""
