"""Define the timers of an instance that relays requests."""

import dataclasses

from mustardvale.internal import timers


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationDue(timers.Timer):
    """Read the configuration again after a failure."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerListDue(timers.Timer):
    """Read the list of upstreams again."""


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipDue(timers.Timer):
    """Renew the membership of this instance."""


@dataclasses.dataclass(frozen=True, slots=True)
class OrdersDue(timers.Timer):
    """Check whether runners hold the layers that they should."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangesDue(timers.Timer):
    """Check for requests that wait, are silent or have timed out."""


@dataclasses.dataclass(frozen=True, slots=True)
class IdleLimitDue(timers.Timer):
    """Raise the limit on idle connections."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopDue(timers.Timer):
    """Check whether a planned shutdown can be completed."""
