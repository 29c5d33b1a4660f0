"""Define the durations that operators can configure."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Hold the configured durations.

    `address_validity_seconds` is how long callers may use a list of entry
    addresses, and therefore how long a leaving instance still accepts
    requests. `drain_seconds` limits the wait for requests in flight after
    that. The log service keeps every record for at least
    `log_retention_seconds`.
    """

    address_validity_seconds: float = 10
    drain_seconds: float = 600
    log_retention_seconds: float = 3600
