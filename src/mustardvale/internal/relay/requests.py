"""Define what callers ask for, what they are answered and what is sent on."""

import dataclasses

HeaderLines = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """Describe the work of a model request in tokens."""

    model: str
    tokens: int
    output_limit: int
    output_hint: int | None = None

    @property
    def expected_output(self) -> int:
        """Return how many tokens the answer probably has."""
        if self.output_hint is None:
            return self.output_limit
        return min(self.output_hint, self.output_limit)


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
    key: str = ''
    deadline_seconds: float | None = None
    prompt: Prompt | None = None
    last_event: int | None = None

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition('?')[0]


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryWanted:
    """Ask which entry addresses to use."""

    host: str
    region: str = ''
    availability_zone: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ReadinessWanted:
    """Ask whether this instance takes requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class MetricsWanted:
    """Ask for the metrics of this instance."""


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryAnswer:
    """Hold entry addresses and how long to keep them."""

    addresses: tuple[str, ...]
    valid_for_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReadinessAnswer:
    """Tell whether this instance takes requests."""

    ready: bool


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
class Send:
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
    last_event: int | None = None


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
    proven: bool = False
    not_run: bool = False
    encoded: bool = False
    leaving: bool = False
    fault_address: str = ''
