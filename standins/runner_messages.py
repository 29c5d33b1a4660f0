"""Define what runners are asked and answer, and what they say of themselves."""

import dataclasses

from standins import reference_text


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Hold the faults of one runner.

    A runner that is `down` closes what it has and takes nothing; one that is
    `dark` answers nothing. `lose_answers` counts runs without an answer, `cut`
    streams that are cut within an event. `born` starts it again, empty.
    """

    runner_id: str
    down: bool = False
    dark: bool = False
    draining: bool = False
    full: bool = False
    lose_answers: int = 0
    cut: int = 0
    born: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Runner:
    """Describe a runner; one with an accelerator holds layers."""

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
        """Return whether the runner does anything at all."""
        return not self.faults.down and not self.faults.dark


@dataclasses.dataclass(frozen=True, slots=True)
class ChainPart:
    """Name a runner by its address, and its layers."""

    address: str
    first: int
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunRequest:
    """Ask a runner to run a request."""

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
        """Return the digest that the answer depends on."""
        return reference_text.digest_request(
            self.method, self.target, self.body
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ReadReport:
    """Ask a runner for its state."""

    runner_id: str
    expected_runner: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceLayers:
    """Order a runner to hold layers."""

    runner_id: str
    expected_runner: str
    first: int
    end: int
    expected_count: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class MoveRequest:
    """Order a runner to go on with a request over another chain."""

    runner_id: str
    expected_runner: str
    attempt_id: str
    chain: tuple[ChainPart, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Answer with an error that says that nothing was run."""

    status: int
    at_fault: str = ''
    attempt_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class WholeAnswer:
    """Answer a request of a plain service."""

    attempt_id: str
    stamp: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StreamHead:
    """Begin the answer to a model request."""

    attempt_id: str
    stamp: str


@dataclasses.dataclass(frozen=True, slots=True)
class OrderReply:
    """Answer an order with a status."""

    status: int
    at_fault: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Hold the state of a runner and the requests that it has waiting."""

    runner: Runner
    stalled: tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WriteEntries:
    """Write entries to the store."""

    runners: tuple[Runner, ...]
