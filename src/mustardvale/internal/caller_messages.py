"""Define the requests of callers and the replies to them."""

import dataclasses

from mustardvale import errors


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """Hold the fields that all requests share.

    `account_key` is the bearer token, `deadline_seconds` the time that the
    caller allows (0 for the default) and `traceparent` the W3C trace context.
    """

    account_key: str = ''
    deadline_seconds: float = 0
    traceparent: str = ''
    caller_address: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntriesRequest(CallerRequest):
    """Request the entry addresses to connect to."""

    caller_id: str = ''
    availability_zone: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswerRequest(CallerRequest):
    """Request an answer from a model.

    `delivered` holds the tokens that the caller received before an earlier
    answer was interrupted.
    """

    model: str
    adapter: str = ''
    prompt: tuple[str, ...]
    delivered: tuple[str, ...] = ()
    maximum_tokens: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ActionRequest(CallerRequest):
    """Request one operation of a plain service."""

    service: str
    operation: str
    idempotency_key: str = ''
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StatusRequest(CallerRequest):
    """Request the state of this instance and of those it knows."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadinessRequest(CallerRequest):
    """Ask whether this instance accepts requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryAddress:
    """Hold an address that callers may connect to."""

    address: str
    availability_zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesFound:
    """Hold entry addresses in order of preference."""

    entries: tuple[EntryAddress, ...]
    valid_for_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class TokenPart:
    """Hold one token of a streaming answer and its index in the answer."""

    index: int
    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerEnd:
    """Mark the end of a complete answer of `tokens` tokens."""

    tokens: int
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class ActionDone:
    """Hold the answer of a plain service.

    `replayed` says that the answer comes from the log of an earlier request
    with the same idempotency key.
    """

    status: int
    content_type: str
    body: bytes
    replayed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RequestError:
    """Report that a request was refused or its answer was aborted."""

    code: errors.ErrorCode
    message: str
    outcome: errors.Outcome
    scope: errors.Scope = errors.Scope.CALL
    retry_after_seconds: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Readiness:
    """Report whether this instance accepts requests."""

    ready: bool
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceStatus:
    """Describe one entry instance to operators.

    `in_force_since` is in seconds since the epoch; `heard_seconds_ago` is -1 if
    the instance has never sent a heartbeat.
    """

    instance_id: str
    address: str
    availability_zone: str
    state: str
    environment: str
    document_version: int
    document_offset: int
    in_force_since: float
    heard_seconds_ago: float


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """Describe one upstream to operators.

    `layers` is the half-open range `first-end`, empty without a load report.
    """

    instance_id: str
    pool: str
    address: str
    availability_zone: str
    state: str
    in_flight: int
    queued: int
    layers: str


@dataclasses.dataclass(frozen=True, slots=True)
class AccountStatus:
    """Describe the limits of a client account at one instance.

    `share` is the fraction of `tokens_per_second` that the instance grants.
    """

    name: str
    priority: str
    requests_per_second: float
    tokens_per_second: float
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Hold what one entry instance knows."""

    instances: tuple[InstanceStatus, ...]
    upstreams: tuple[UpstreamStatus, ...]
    accounts: tuple[AccountStatus, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LivenessRequest(CallerRequest):
    """Ask whether the event loop of this instance is running."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MetricsRequest(CallerRequest):
    """Request the metrics of this instance."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SpansRequest(CallerRequest):
    """Request the latest trace spans of this instance."""
