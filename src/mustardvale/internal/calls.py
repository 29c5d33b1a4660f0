"""Define the calls to upstreams and platform services, and their answers."""

import dataclasses
import enum

from mustardvale.internal import records, streams


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Describe one step of a session at one stage of a chain.

    `position` is the index of the first input. `inputs` holds one element per
    position: tokens at the first stage and activations at later stages.
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
    """Hold the outputs of a step or, in `error`, the code of a refusal.

    The last stage returns one token, the others one activation per position.
    """

    session: str
    position: int
    outputs: tuple[str, ...] = ()
    error: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class StepsRun:
    """Hold the results of a `RunSteps` call in the order of its steps."""

    results: tuple[StepResult, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StepsRefused:
    """Report that a runner refused all steps of a call."""

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
    """Describe the load of an upstream; the report may be stale.

    `first_layer` and `end_layer` delimit a half-open range; both are 0 for a
    plain service. `step_seconds` is the duration of one iteration.
    `plan_offset` is the offset of the plan whose order the runner last
    accepted, -1 if none.
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
    """Ask a runner for its cache events, starting at a sequence number.

    `FULL_SET_SEQUENCE` requests all digests that the runner holds.
    """

    instance_id: str
    from_sequence: int = FULL_SET_SEQUENCE


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """Report digests of prefixes that were added to or evicted from a cache."""

    sequence: int
    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEventsRead:
    """Hold cache events of a runner.

    `complete` says whether the events describe the full set of digests. `next`
    is the sequence number of the next event.
    """

    events: tuple[CacheEvent, ...]
    complete: bool
    next: int


STALE_TOKEN_STATUS = 409


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLease:
    """Request a lease from the weight store to load weights on a runner.

    `units` counts layers and adapters.
    """

    instance_id: str
    model: str
    version: str
    units: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseGranted:
    """Permit one load of weights until the lease expires."""

    lease_id: str
    expires_in_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseDenied:
    """Report that the weight store is at its rate limit."""

    retry_after_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Order a runner to hold the layers `first_layer` up to `end_layer`.

    `layers` is the number of layers of the whole model. `lease_id` names a
    lease of the weight store; if it is empty, the runner requests one itself.
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
    """Confirm that a runner has accepted an order."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunAction:
    """Run one operation of a plain service that must not run twice.

    `attempt_id` identifies the logged attempt that permits the call.
    """

    request_id: str
    service: str
    operation: str
    idempotency_key: str
    attempt_id: str
    body: bytes
    traceparent: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class RunOperation(RunAction):
    """Run an idempotent operation, which needs no key and no attempt."""


@dataclasses.dataclass(frozen=True, slots=True)
class ActionAnswer:
    """Hold the answer of a plain service."""

    status: int
    body: bytes
    content_type: str = 'application/json'
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRecords:
    """Append records atomically to a stream of the log service."""

    stream: streams.Stream
    records: tuple[records.Record, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsAppended:
    """Hold the offset of the first appended record; the others follow it."""

    first_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRecords:
    """Read records of a stream, waiting up to `wait_seconds` for the first."""

    stream: streams.Stream
    from_offset: int
    limit: int
    wait_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsRead:
    """Hold records in offset order.

    `earliest_offset` is the offset of the oldest retained record,
    `next_offset` the one that the next appended record gets.
    """

    records: tuple[records.StoredRecord, ...]
    earliest_offset: int
    next_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformRefused:
    """Report an error status of a platform service."""

    status: int
    message: str


class ListedState(enum.Enum):
    """List the states in the platform's instance list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
    """Describe one row of the platform's instance list.

    `pool` is `entry` for entry instances, which also have a `peer_address`.
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
    """Request the platform's instance list."""


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesListed:
    """Hold the platform's instance list, which may lag behind."""

    instances: tuple[ListedInstance, ...]
