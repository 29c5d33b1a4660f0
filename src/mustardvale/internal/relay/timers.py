"""Define the timers of an instance that relays requests."""

import dataclasses

from mustardvale.internal import timers


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationRetryDue(timers.Timer):
    """Read the configuration again after a failure."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerListReadDue(timers.Timer):
    """Read the list of upstreams again."""


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipRenewalDue(timers.Timer):
    """Renew the membership of this instance."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementCheckDue(timers.Timer):
    """Check whether runners hold the layers that they should."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeCheckDue(timers.Timer):
    """Check for requests that wait, are silent or have timed out."""


@dataclasses.dataclass(frozen=True, slots=True)
class IdleLimitRaiseDue(timers.Timer):
    """Raise the limit on idle connections."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopCheckDue(timers.Timer):
    """Check whether a graceful shutdown can complete."""
