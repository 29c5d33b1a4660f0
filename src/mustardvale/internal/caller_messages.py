"""Define what callers ask for and what they are answered."""

import dataclasses

from mustardvale import errors


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """Hold what every request of a caller carries.

    `account_key` is the bearer token, `deadline_seconds` the time that the
    caller allows, `traceparent` the context of its trace.
    """

    account_key: str = ''
    deadline_seconds: float = 0
    traceparent: str = ''
    caller_address: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntriesRequest(CallerRequest):
    """Ask for the entry addresses to use."""

    caller_id: str = ''
    availability_zone: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswerRequest(CallerRequest):
    """Ask a model for an answer.

    `delivered` holds the tokens that an earlier, cut answer already gave.
    """

    model: str
    adapter: str = ''
    prompt: tuple[str, ...]
    delivered: tuple[str, ...] = ()
    maximum_tokens: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ActionRequest(CallerRequest):
    """Ask a plain service for one operation."""

    service: str
    operation: str
    idempotency_key: str = ''
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StatusRequest(CallerRequest):
    """Ask for the state of this instance and of those it knows."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadinessRequest(CallerRequest):
    """Ask whether this instance takes requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryAddress:
    """Name one address that a caller may connect to."""

    address: str
    availability_zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesFound:
    """Hold entry addresses in the order in which to try them."""

    entries: tuple[EntryAddress, ...]
    valid_for_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class TokenPart:
    """Hold one token of a streamed answer and its index in the answer."""

    index: int
    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerEnd:
    """Mark the end of a whole answer of `tokens` tokens."""

    tokens: int
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class ActionDone:
    """Hold the answer of a plain service."""

    status: int
    content_type: str
    body: bytes
    replayed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RequestError:
    """Refuse a request or report that its answer was cut."""

    code: errors.ErrorCode
    message: str
    outcome: errors.Outcome
    scope: errors.Scope = errors.Scope.CALL
    retry_after_seconds: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Readiness:
    """Say whether this instance takes requests."""

    ready: bool
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceStatus:
    """Describe one entry instance for the operators."""

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
    """Describe one upstream for the operators."""

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
    """Describe the limits of a client account at one instance."""

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
    """Ask whether the loop of this instance runs."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MetricsRequest(CallerRequest):
    """Ask for the metrics of this instance."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SpansRequest(CallerRequest):
    """Ask for the latest spans of this instance."""


@dataclasses.dataclass(frozen=True, slots=True)
class MetricsPage:
    """Ask the edge to answer with the metrics that it holds."""


@dataclasses.dataclass(frozen=True, slots=True)
class SpansPage:
    """Ask the edge to answer with the spans that it holds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Text:
    """Hold text that the edge has made."""

    text: bytes
    content_type: str
