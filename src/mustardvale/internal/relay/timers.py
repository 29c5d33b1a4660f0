"""Define the timers of relaying."""

import dataclasses

from mustardvale.internal import timers


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationDue(timers.Timer):
    """Read the configuration again after a failure."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerListDue(timers.Timer):
    """Read the changes of the list of upstreams."""


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipDue(timers.Timer):
    """Stay among the entry instances."""


@dataclasses.dataclass(frozen=True, slots=True)
class OrdersDue(timers.Timer):
    """Compare the layers that runners hold with those that are needed."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangesDue(timers.Timer):
    """Look for requests that wait, are silent or have no time left."""


@dataclasses.dataclass(frozen=True, slots=True)
class IdleLimitDue(timers.Timer):
    """Let connections rest for longer again."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopDue(timers.Timer):
    """Go on with a planned stop."""
