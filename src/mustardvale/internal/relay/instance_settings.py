"""Define the settings of an instance that relays requests."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Addresses:
    """Hold the `IP:port` addresses of an instance; `peers` is for others."""

    front: str
    readiness: str
    directory: str
    metrics: str
    store: str
    peers: str


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Hold the times and limits that the operators promise; in seconds.

    A key may be used for `revocation_seconds` after the configuration was
    last confirmed, where that limit holds at all.
    """

    key_revocation_seconds: float | None = 5.0
    shutdown_seconds: float = 8.0
    retry_ratio: float = 0.2
    retry_window_seconds: float = 10.0
    retries_per_window: float = 100.0
    maximum_directory_validity_seconds: float = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Name this instance and its place."""

    instance_id: str
    availability_zone: str
    region: str
    addresses: Addresses


@dataclasses.dataclass(frozen=True, slots=True)
class Shutdown:
    """Hold when a planned stop began."""

    started_at: float
