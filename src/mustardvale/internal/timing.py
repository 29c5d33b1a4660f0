"""Hold the times that operators set."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Hold times in seconds.

    `address_validity` is how long callers may use an answer with entry
    addresses, and how long a leaving instance goes on to take requests.
    `drain` limits the wait for requests in flight after that.
    `log_retention` is how long the log service holds a record.
    """

    address_validity_seconds: float = 10
    drain_seconds: float = 600
    log_retention_seconds: float = 3600
