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
    target_seconds: float
    maximum_attempts: int = 1
    priority: int = 0
    public: bool = False
    resumable: bool = False
    gap_seconds: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.resumable
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
class CallerBounds:
    """Bound what callers may send; times are in seconds."""

    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """Hold one version of the configuration.

    `routes` lists those of each host with the longest prefixes first. Keys are
    asked for only where `keyed` is true.
    """

    version: int
    routes: immutables.Map[str, tuple[Route, ...]] = immutables.Map()
    services: immutables.Map[str, Service] = immutables.Map()
    tenants: immutables.Map[str, Tenant] = immutables.Map()
    keyed: bool = False
    callers: CallerBounds | None = None


def find_route(
    configuration: Configuration, host: str, path: str
) -> Route | None:
    """Return the route with the longest prefix that begins a path."""
    for route in configuration.routes.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def pick_service(route: Route, unit: float) -> str:
    """Return a service of a route by weight, from a number in 0 to 1."""
    rest = unit * sum(share.weight for share in route.shares)
    for share in route.shares:
        rest -= share.weight
        if rest < 0:
            return share.service
    return route.shares[-1].service


def engine_services(configuration: Configuration) -> tuple[Service, ...]:
    """Return the services whose runners hold layers."""
    return tuple(
        service
        for service in configuration.services.values()
        if service.engine is not None
    )
