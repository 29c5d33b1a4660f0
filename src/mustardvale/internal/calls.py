"""Define the calls to upstreams and the platform, and their answers."""

import dataclasses
import enum

from mustardvale.internal import records, streams


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Describe one step of a session at one stage.

    `position` is the index of the first input. `inputs` are tokens at the
    first stage and activations at the later ones, one for each position.
    `priority` is 0 for urgent work, 1 for interactive work and 2 for batch.
    """

    session: str
    model: str
    version: str
    adapter: str
    position: int
    inputs: tuple[str, ...]
    priority: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RunSteps:
    """Run steps of any number of sessions on one runner."""

    steps: tuple[Step, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StepResult:
    """Hold the outputs of a step, or the code of the engine's refusal.

    The last stage gives one token, the others one activation per position.
    """

    session: str
    position: int
    outputs: tuple[str, ...] = ()
    error: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class StepsRun:
    """Hold the results in the order of the steps."""

    results: tuple[StepResult, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StepsRefused:
    """Report that a runner refused all steps, and whether it is leaving."""

    status: int
    is_leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CloseSession:
    """Free the state of a session on one runner."""

    session: str


@dataclasses.dataclass(frozen=True, slots=True)
class SessionClosed:
    """Confirm that a session is closed."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLoad:
    """Ask an upstream for its load report."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Describe an upstream as of a moment that may lie in the past.

    Layers are the half-open range `first_layer` to `end_layer`; both are 0 at
    a plain service. `step_seconds` is the time of one iteration.
    """

    instance_id: str
    accelerator: str = ''
    model: str = ''
    version: str = ''
    adapters: tuple[str, ...] = ()
    first_layer: int = 0
    end_layer: int = 0
    queued: int = 0
    step_seconds: float = 0
    leaving: bool = False
    plan_offset: int = -1


FULL_SET_SEQUENCE = -1


@dataclasses.dataclass(frozen=True, slots=True)
class ReadCacheEvents:
    """Ask a runner for its cache events from a sequence number on.

    `FULL_SET_SEQUENCE` asks for all digests that it holds.
    """

    instance_id: str
    from_sequence: int = FULL_SET_SEQUENCE


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """Report digests of prefixes that entered or left a cache."""

    sequence: int
    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEventsRead:
    """Hold cache events; `complete` marks the whole set of digests.

    `next` is the sequence number that the next event gets.
    """

    events: tuple[CacheEvent, ...]
    complete: bool
    next: int


STALE_TOKEN_STATUS = 409


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLease:
    """Ask the weight store for the right to load weights on a runner.

    A unit is one layer or one adapter.
    """

    instance_id: str
    model: str
    version: str
    units: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseGranted:
    """Grant one load for a time."""

    lease_id: str
    expires_in_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseDenied:
    """Report that the rate limit of the weight store is reached."""

    retry_after_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Order a runner to hold layers `first_layer` up to `end_layer`.

    `layers` is the number of layers of the whole model, `lease_id` that of the
    weight store, empty when the engine has to ask for one.
    """

    instance_id: str
    fencing_token: int
    model: str
    version: str
    adapters: tuple[str, ...]
    first_layer: int
    end_layer: int
    layers: int
    lease_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAccepted:
    """Confirm that a runner carries out an order."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunAction:
    """Run one operation of a plain service that must not run twice."""

    request_id: str
    service: str
    operation: str
    idempotency_key: str
    attempt_id: str
    body: bytes
    traceparent: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class RunOperation(RunAction):
    """Run an idempotent operation, which has no key and no attempt."""


@dataclasses.dataclass(frozen=True, slots=True)
class ActionAnswer:
    """Hold the answer of a plain service."""

    status: int
    body: bytes
    content_type: str = 'application/json'
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRecords:
    """Append records to a stream of the log service, all or none."""

    stream: streams.Stream
    records: tuple[records.Record, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsAppended:
    """Hold the offset of the first record; the others follow it."""

    first_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRecords:
    """Read records of a stream, waiting for at least one when there is none."""

    stream: streams.Stream
    from_offset: int
    limit: int
    wait_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsRead:
    """Hold records in offset order.

    `earliest_offset` is the first one retained, `next_offset` the one that the
    next append gets.
    """

    records: tuple[records.StoredRecord, ...]
    earliest_offset: int
    next_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformRefused:
    """Report an error status of the log service, list or weight store."""

    status: int
    message: str


class ListedState(enum.Enum):
    """Name the states in the platform's instance list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
    """Describe one row of the platform's instance list.

    `pool` is `entry` for our own instances, which also have a `peer_address`.
    """

    instance_id: str
    pool: str
    address: str
    availability_zone: str
    state: ListedState = ListedState.LIVE
    region: str = ''
    peer_address: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ListInstances:
    """Ask for the platform's instance list."""


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesListed:
    """Hold the platform's instance list, which lags."""

    instances: tuple[ListedInstance, ...]
