"""Define the requests to runners, their answers and their list entries."""

import dataclasses

from standins import reference_text


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Hold the active faults of one runner.

    A runner that is `down` closes all connections, and one that is `dark` does
    not answer. One that is `suspended` goes on afterwards with the runs and the
    requests that it has got. One that is `full` refuses runs, and one that is `draining`
    refuses chains. The connections of the next `lose_answers` runs without a
    chain are closed instead of an answer. The next `cut` streams are closed in
    the middle of an event. The next `endless` streams have an event without an
    end, in small pieces. One that is `leaving` says so in its answers to
    requests and reports. Refusals because a runner is full ask to wait for
    `retry_after_seconds`, unless that is 0. `born` restarts the runner without
    layers.
    """

    runner_id: str
    down: bool = False
    dark: bool = False
    suspended: bool = False
    draining: bool = False
    full: bool = False
    lose_answers: int = 0
    cut: int = 0
    endless: int = 0
    leaving: bool = False
    retry_after_seconds: float = 0
    born: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Runner:
    """Describe a runner; one without an accelerator holds no layers.

    `layers` is the half-open range of layers that it holds, `order_count` the
    number of orders that it has accepted since its start.
    """

    runner_id: str
    service: str
    address: str
    zone: str
    slots: int
    accelerator: str = ''
    started_at_ms: int = 0
    layers: tuple[int, int] | None = None
    loading: bool = False
    order_count: int = 0
    faults: Faults = Faults('')

    @property
    def is_responsive(self) -> bool:
        """Return whether the runner answers requests, at once or later."""
        return not self.faults.down and not self.faults.dark

    @property
    def makes_progress(self) -> bool:
        """Return whether the runner answers requests at once."""
        return self.is_responsive and not self.faults.suspended


@dataclasses.dataclass(frozen=True, slots=True)
class ChainPart:
    """Name a runner of a chain by its address, with the layers that it runs.

    Layers are the half-open range `first` to `end`.
    """

    address: str
    first: int
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunRequest:
    """Ask a runner to run a request.

    `expected_runner` is the id of the runner that may run it, or ''. `key_seen`
    says whether the request carried an API key. `last_event` is the number of
    the last event that the caller has.
    """

    runner_id: str
    attempt_id: str
    method: str
    target: str
    body: bytes
    tenant: str
    key_seen: bool
    expected_runner: str
    deadline_ms: int | None
    chain: tuple[ChainPart, ...] = ()
    last_event: int | None = None

    @property
    def digest(self) -> str:
        """Return the digest that determines the answer."""
        return reference_text.digest_request(
            self.method, self.target, self.body
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ReadReport:
    """Ask a runner for its report."""

    runner_id: str
    expected_runner: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceLayers:
    """Order a runner to load a layer range.

    The order is refused unless the runner has accepted `expected_count` orders.
    """

    runner_id: str
    expected_runner: str
    first: int
    end: int
    expected_count: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class MoveRequest:
    """Order a runner to continue a request on another chain."""

    runner_id: str
    expected_runner: str
    attempt_id: str
    chain: tuple[ChainPart, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Refuse a request of which nothing was run.

    `at_fault` is the address of the runner that caused the refusal. It asks to
    get no requests for `retry_after_seconds`, unless that is 0.
    """

    status: int
    at_fault: str = ''
    attempt_id: str = ''
    retry_after_seconds: float = 0
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class WholeAnswer:
    """Answer a request to a service without layers."""

    attempt_id: str
    stamp: str
    body: bytes
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StreamHead:
    """Start the streamed answer to a model request."""

    attempt_id: str
    stamp: str
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class OrderReply:
    """Answer an order with an HTTP status.

    `at_fault` is the address of the runner that prevents it.
    """

    status: int
    at_fault: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Hold the state of a runner and its stalled requests.

    `stalled` pairs attempt ids with the addresses that they wait for.
    """

    runner: Runner
    stalled: tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WriteEntries:
    """Write the entries of runners to the store."""

    runners: tuple[Runner, ...]
