"""Define the settings of an instance that relays requests."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Addresses:
    """Hold the `IP:port` addresses of an instance.

    `front` is for callers, `peers` for other instances, and `store` is the
    address of the platform's store.
    """

    front: str
    readiness: str
    directory: str
    metrics: str
    store: str
    peers: str


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Hold the limits that operators set for an instance.

    Keys are accepted for `key_revocation_seconds` after the configuration was
    last confirmed, or without a limit if it is `None`. Each service may send
    `retry_ratio` retries per request, plus `retries_per_window` in each
    `retry_window_seconds`. An upstream may ask for a wait of
    `maximum_upstream_wait_seconds` at most. `memory_mb` and
    `maximum_descriptors` are what the machine gives the process.
    """

    key_revocation_seconds: float | None = 5.0
    stop_seconds: float = 8.0
    retry_ratio: float = 0.2
    retry_window_seconds: float = 10.0
    retries_per_window: float = 100.0
    maximum_directory_validity_seconds: float = 5.0
    maximum_upstream_wait_seconds: float = 60.0
    memory_mb: int = 300
    maximum_descriptors: int = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Describe this instance and where it runs."""

    instance_id: str
    availability_zone: str
    region: str
    addresses: Addresses
