"""Define what callers ask for, what they are answered and what is sent on."""

import dataclasses

HeaderLines = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """Describe the work of a model request in tokens."""

    model: str
    token_count: int
    output_limit_tokens: int
    output_hint_tokens: int | None = None

    @property
    def expected_output_tokens(self) -> int:
        """Return how many tokens the answer probably has."""
        if self.output_hint_tokens is None:
            return self.output_limit_tokens
        return min(self.output_hint_tokens, self.output_limit_tokens)


@dataclasses.dataclass(frozen=True, slots=True)
class ClientRequest:
    """Hold a request that is relayed.

    `headers` are those that go on unchanged, `deadline_seconds` the time that
    the caller waits, `last_event` the number of the last event that it has.
    """

    attempt_id: str
    method: str
    target: str
    host: str
    headers: HeaderLines
    body: bytes
    api_key: str = ''
    deadline_seconds: float | None = None
    prompt: Prompt | None = None
    last_event_id: int | None = None

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition('?')[0]


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryRequest:
    """Ask which entry addresses to use."""

    host: str
    region: str = ''
    availability_zone: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ReadinessRequest:
    """Ask whether this instance takes requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class MetricsRequest:
    """Ask for the metrics of this instance."""


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryAnswer:
    """Hold entry addresses and how long to keep them."""

    addresses: tuple[str, ...]
    valid_for_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReadinessAnswer:
    """Tell whether this instance takes requests."""

    is_ready: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Answer a request with an error of this instance.

    `retry_after_seconds` is given only where the request has not run.
    """

    status: int
    code: str
    attempt_id: str = ''
    retry_after_seconds: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedAnswer:
    """Hold an upstream's whole answer, which goes on unchanged."""

    status: int
    headers: HeaderLines
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ChainPart:
    """Name a runner and the layers that it runs for a request."""

    runner_id: str
    address: str
    first_layer: int
    end_layer: int
    zone: str = ''


Chain = tuple[ChainPart, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """Hold a request as it goes to one upstream.

    `runner_id` is the only one that may run it, `deadline_seconds` the time
    that is left, `last_event` the event after which a stream goes on.
    """

    request: ClientRequest
    runner_id: str
    deadline_seconds: float
    tenant: str | None = None
    urgency: int | None = None
    chain: Chain = ()
    last_event_id: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Describe the start of an upstream's answer.

    `headers` go on unchanged. `leaving` tells that the upstream closes the
    connection, which one that is about to exit does, and others at times. `not_run` is the upstream's word that the
    request did not run; `proven` tells that it vouches for the answer;
    `fault_address` names the runner of a chain that was at fault.
    """

    status: int
    headers: HeaderLines
    has_proof: bool = False
    is_unexecuted: bool = False
    is_encoded: bool = False
    is_closing: bool = False
    fault_address: str = ''
