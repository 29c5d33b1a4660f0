"""Define the timers of an instance that relays requests."""

import dataclasses

from mustardvale.internal import timer_base


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationRetryDue(timer_base.Timer):
    """Read the configuration again after a failure."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerListReadDue(timer_base.Timer):
    """Read the list of upstreams again."""


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipRenewalDue(timer_base.Timer):
    """Renew the membership of this instance."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementCheckDue(timer_base.Timer):
    """Check whether runners hold the layers that they should."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeCheckDue(timer_base.Timer):
    """Check for requests that wait, are silent or have timed out."""


@dataclasses.dataclass(frozen=True, slots=True)
class RecoveryProbeDue(timer_base.Timer):
    """Ask an unreachable upstream whether it answers again."""

    runner_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class EvidenceExchangeDue(timer_base.Timer):
    """Exchange evidence of crashes with instances that are new."""


@dataclasses.dataclass(frozen=True, slots=True)
class FaultTellingDue(timer_base.Timer):
    """Tell other instances of new faults of runners."""


@dataclasses.dataclass(frozen=True, slots=True)
class StalledStreamsDue(timer_base.Timer):
    """Move the streams that have waited for a stalled runner for a while."""

    runner_id: str
    started_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class SettledEraLate(timer_base.Timer):
    """Read the configuration although the settled era is not known yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class SettledEraDue(timer_base.Timer):
    """Check whether the era of the store can be recorded as settled."""


@dataclasses.dataclass(frozen=True, slots=True)
class WatchCheckDue(timer_base.Timer):
    """Check which runners this instance watches."""


@dataclasses.dataclass(frozen=True, slots=True)
class WatchDue(timer_base.Timer):
    """Open a watched connection to an address."""

    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class IdleLimitRaiseDue(timer_base.Timer):
    """Raise the limit on idle connections."""


@dataclasses.dataclass(frozen=True, slots=True)
class StartupCheckDue(timer_base.Timer):
    """Check the requests that wait for the first reads."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopCheckDue(timer_base.Timer):
    """Check whether a graceful shutdown can complete."""
