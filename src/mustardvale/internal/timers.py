"""Define the timers of an entry instance."""

import dataclasses

from mustardvale.internal import streams, timer_base


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceListDue(timer_base.Timer):
    """Fetch the instance list."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReportDue(timer_base.Timer):
    """Fetch the load report of an upstream."""

    instance_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEventsDue(timer_base.Timer):
    """Fetch the cache events of a runner."""

    instance_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class EjectionExpiry(timer_base.Timer):
    """End the ejection of an upstream."""

    instance_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatDue(timer_base.Timer):
    """Send a heartbeat to the peers."""


@dataclasses.dataclass(frozen=True, slots=True)
class SilenceCheckDue(timer_base.Timer):
    """Check for watched peers whose heartbeats are missing."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlanCheckDue(timer_base.Timer):
    """Compare the placement plan with the load reports of the runners."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRetryDue(timer_base.Timer):
    """Retry a failed read of a stream."""

    stream: streams.Stream


@dataclasses.dataclass(frozen=True, slots=True)
class AppendDue(timer_base.Timer):
    """End a pause and append the next batch of records to a stream."""

    stream: streams.Stream


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerDeadline(timer_base.Timer):
    """Abort an answer whose deadline has passed."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRestartDue(timer_base.Timer):
    """Start the next attempt of an answer."""

    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class OperationDeadline(timer_base.Timer):
    """End an idempotent operation whose deadline has passed."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectCheckDue(timer_base.Timer):
    """Abort the answers of requests that have crashed too many runners."""


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionDue(timer_base.Timer):
    """Start queued requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class QueueExpiry(timer_base.Timer):
    """Refuse a queued request that can no longer meet its deadline."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ActionDeadline(timer_base.Timer):
    """End the call of an action whose deadline has passed."""

    call_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimDeadline(timer_base.Timer):
    """Abandon an attempt that the log has not confirmed."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardCheckDue(timer_base.Timer):
    """Check that the owner of a forwarded action is live and accepted it."""

    forward_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardDeadline(timer_base.Timer):
    """End a forwarded action that has no outcome."""

    forward_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionCheckDue(timer_base.Timer):
    """Update the set of attempt partitions that this instance tails."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopCheckDue(timer_base.Timer):
    """Check whether a graceful shutdown can complete."""


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentCheckDue(timer_base.Timer):
    """Compare the document in force with those of the peers."""


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotCheckDue(timer_base.Timer):
    """Check whether the log needs a snapshot of the document in force."""
