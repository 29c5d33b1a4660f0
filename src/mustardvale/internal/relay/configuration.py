"""Define the configuration that operators write, and queries on it."""

import dataclasses
import enum

import immutables

from mustardvale.internal.relay import engines


class RequestKind(enum.Enum):
    """Name the kinds of requests, which differ in how they are retried."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """Hold the relative share of a route's requests that a service gets."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Describe the requests to one host whose paths begin with a prefix.

    `target_latency_seconds` is the target for the complete answer or, for a
    stream, for its first event. `event_gap_seconds` is the target for the time
    between two events.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    shares: tuple[ServiceShare, ...]
    timeout_seconds: float
    target_latency_seconds: float
    maximum_attempts: int = 1
    priority: int = 0
    is_public: bool = False
    is_resumable: bool = False
    event_gap_seconds: float = 0.0

    @property
    def is_retryable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Describe a service; a plain service has no engine."""

    name: str
    engine: engines.Engine | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Tenant:
    """Describe a client account; its priority overrides that of a route.

    Accounts share scarce capacity in proportion to their weights.
    """

    name: str
    priority: int | None = None
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limit the size of callers' requests and the time to receive them."""

    maximum_header_bytes: int
    maximum_body_bytes: int
    header_timeout_seconds: float
    idle_timeout_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """Hold one version of the configuration.

    The routes of each host are ordered by decreasing length of their prefixes.
    """

    version: int
    routes_by_host: immutables.Map[str, tuple[Route, ...]] = immutables.Map()
    services: immutables.Map[str, Service] = immutables.Map()
    tenants_by_key: immutables.Map[str, Tenant] = immutables.Map()
    is_key_required: bool = False
    caller_limits: CallerLimits | None = None


def find_route(
    configuration: Configuration, host: str, path: str
) -> Route | None:
    """Return the route with the longest prefix of a path, if there is one."""
    for route in configuration.routes_by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def pick_service(route: Route, random_fraction: float) -> str:
    """Pick a service of a route by weight; the fraction is from 0 to 1."""
    remaining = random_fraction * sum(share.weight for share in route.shares)
    for share in route.shares:
        remaining -= share.weight
        if remaining < 0:
            return share.service
    return route.shares[-1].service


def list_engine_services(configuration: Configuration) -> tuple[Service, ...]:
    """Return the services that have an engine."""
    return tuple(
        service
        for service in configuration.services.values()
        if service.engine is not None
    )
