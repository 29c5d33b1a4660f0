"""Define the configuration that operators write, and look things up in it."""

import dataclasses
import enum

import immutables

from mustardvale.internal.relay import engines


class RequestKind(enum.Enum):
    """Say how often a request may run."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """Give a service a share of the requests of a route."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Describe the requests to one host whose paths begin with a prefix.

    `target_seconds` is the time in which an answer is on time, of a stream its
    first event; `gap_seconds` bounds the pause between its events.
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
    """Describe a service; one without an engine answers whole requests."""

    name: str
    engine: engines.Engine | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Tenant:
    """Describe a client account; its priority goes before that of a route."""

    name: str
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bound what callers may send; times are in seconds."""

    maximum_header_bytes: int
    maximum_body_bytes: int
    header_timeout_seconds: float
    idle_timeout_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """Hold one version of the configuration.

    `routes` lists those of each host with the longest prefixes first. Keys are
    asked for only where `keyed` is true.
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
    """Return the route with the longest prefix that begins a path."""
    for route in configuration.routes_by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def pick_service(route: Route, random_fraction: float) -> str:
    """Return a service of a route by weight, from a number in 0 to 1."""
    rest = random_fraction * sum(share.weight for share in route.shares)
    for share in route.shares:
        rest -= share.weight
        if rest < 0:
            return share.service
    return route.shares[-1].service


def list_engine_services(configuration: Configuration) -> tuple[Service, ...]:
    """Return the services whose runners hold layers."""
    return tuple(
        service
        for service in configuration.services.values()
        if service.engine is not None
    )
