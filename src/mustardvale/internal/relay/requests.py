"""Define requests of callers, their answers and requests to upstreams."""

import dataclasses

HeaderLines = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """Describe the prompt of a model request and the length of its output.

    `shared_parts` are the ids of the parts that other prompts may share.
    """

    model: str
    token_count: int
    output_limit_tokens: int
    output_hint_tokens: int | None = None
    shared_parts: tuple[str, ...] = ()

    @property
    def expected_output_tokens(self) -> int:
        """Return the expected number of tokens of the output."""
        if self.output_hint_tokens is None:
            return self.output_limit_tokens
        return min(self.output_hint_tokens, self.output_limit_tokens)


@dataclasses.dataclass(frozen=True, slots=True)
class ClientRequest:
    """Hold a request to be relayed.

    `headers` are forwarded unchanged. `deadline_seconds` is how long the caller
    waits, and `last_event_id` the last event of a stream that it has received.
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
    """Request the addresses of instances to send requests to."""

    host: str
    region: str = ''
    availability_zone: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ReadinessRequest:
    """Request the readiness of this instance."""


@dataclasses.dataclass(frozen=True, slots=True)
class MetricsRequest:
    """Request the metrics of this instance."""


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryAnswer:
    """Hold addresses of instances and how long they are valid."""

    addresses: tuple[str, ...]
    valid_for_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReadinessAnswer:
    """Hold whether this instance accepts requests."""

    is_ready: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Answer a request with an error of this instance.

    `retry_after_seconds` is set only if the request certainly has not run.
    """

    status: int
    code: str
    attempt_id: str = ''
    retry_after_seconds: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedAnswer:
    """Hold the complete answer of an upstream, forwarded unchanged."""

    status: int
    headers: HeaderLines
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ChainPart:
    """Name a runner of a chain and the layers that it runs for a request.

    `end_layer` is exclusive.
    """

    runner_id: str
    address: str
    first_layer: int
    end_layer: int
    zone: str = ''


Chain = tuple[ChainPart, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """Hold a request as it is sent to one upstream.

    Only the runner with `runner_id` may run it. `deadline_seconds` is the time
    that remains, and `last_event_id` the event after which a stream continues.
    """

    request: ClientRequest
    runner_id: str
    deadline_seconds: float
    tenant: str | None = None
    urgency: int | None = None
    chain: Chain = ()
    last_event_id: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """Hold what an upstream says of itself in an answer.

    `is_leaving` is true if its process is about to exit. For
    `retry_after_seconds` it wants no request from this instance. `malformed`
    names the headers with a value that cannot be used.
    """

    is_leaving: bool = False
    retry_after_seconds: float | None = None
    malformed: tuple[str, ...] = ()


NO_ANNOUNCEMENT = Announcement()


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Hold the status and the headers of an upstream's answer.

    `headers` are forwarded unchanged. `has_proof` is true if the answer carries
    the proof that a runner made it, and `is_unexecuted` if the upstream states
    that the request has not run. `is_encoded` is true for a compressed body.
    `is_event_stream` is false for a status or type that a stream cannot have.
    `is_closing` is true if the upstream closes the connection, as it does
    before it exits and sometimes at other times. `fault_address` is the address
    of the runner in the chain that caused an error.
    """

    status: int
    headers: HeaderLines
    has_proof: bool = False
    is_unexecuted: bool = False
    is_encoded: bool = False
    is_event_stream: bool = True
    is_closing: bool = False
    fault_address: str = ''
    announcement: Announcement = NO_ANNOUNCEMENT
