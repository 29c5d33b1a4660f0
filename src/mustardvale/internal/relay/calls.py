"""Define calls to the platform, runners and peers, and their answers."""

import dataclasses
import enum

import immutables

from mustardvale.internal.relay import (
    configuration,
    crash_records,
    requests,
    runners,
)


@dataclasses.dataclass(frozen=True, slots=True)
class ReadConfiguration:
    """Read the newest configuration, from the page that follows a key.

    `position` is that of the first page, once it is known, and `requested_at`
    the time at which the first page was requested. `era` is the era of the
    store that the position is from.
    """

    after: str = ''
    position: int | None = None
    requested_at: float = 0.0
    era: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class FollowConfiguration:
    """Wait up to `wait_seconds` for a configuration after a position.

    The answer confirms the configuration as of `requested_at`. `era` is the era
    of the store that the position is from.
    """

    position: int
    wait_seconds: float
    requested_at: float = 0.0
    era: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """Hold the newest configuration, if any, and the next position to read.

    `next_page` is the key of the next page, where this one has no configuration
    and is not the last.
    """

    position: int
    configuration: configuration.Configuration | None
    next_page: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerPages:
    """Hold the entries of the pages that one read of the list has got so far.

    Each page is newer than the one before it. All of them have at least the
    changes before `position`, at which the first page was read.
    """

    position: int
    entries: immutables.Map[str, runners.ListedRunner] = immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRunners:
    """Read the page of upstream entries that follows a key.

    `earlier` has the pages before it, and `era` is the era of the store that
    they are from.
    """

    after: str = ''
    earlier: RunnerPages | None = None
    era: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class FollowRunners:
    """Read the changes of entries after a position.

    With `pages` the read completes them: it has what changed while they were
    read. `era` is the era of the store that the position is from.
    """

    position: int
    pages: RunnerPages | None = None
    era: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerChange:
    """Hold the new entry of an upstream, or `None` if it was dropped.

    `last_heartbeat` is the last one that a reader has read of a dropped process.
    """

    runner_id: str
    entry: runners.ListedRunner | None
    last_heartbeat: runners.Heartbeat | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RunnersRead:
    """Hold changes, the next position to read, and the key of the next page.

    `next_page` is empty after the last page.
    """

    position: int
    changes: tuple[RunnerChange, ...]
    next_page: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedCrash:
    """Hold a crash that an instance knows of, and how long ago it was."""

    process: str
    age_seconds: float
    requests: tuple[crash_records.CrashedRequest, ...]
    lost: tuple[crash_records.LostRequest, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class BegunPart:
    """Hold how long ago a request with a part began to write."""

    part: str
    age_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReportCrashes:
    """Report crashes of runners, and parts that do not crash them.

    `completed` are fingerprints of requests that were answered whole.

    `checksum` is that of all evidence of the sender.
    """

    checksum: int
    crashes: tuple[ReportedCrash, ...] = ()
    begun: tuple[BegunPart, ...] = ()
    completed: tuple[BegunPart, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CrashesReported:
    """Confirm a report; `missing` is what the sender of it does not know."""

    missing: ReportCrashes | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CheckRunner:
    """Check whether a runner that closed connections has crashed.

    The first check may use a connection that the crash has broken as well. It
    shows nothing, and is repeated once.
    """

    runner_id: str
    process: str
    is_repeated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerReachable:
    """Report that a runner accepts connections."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedFault:
    """Hold a fault of a runner's process, and how long ago it was found.

    An instance ignores a `kind` that it does not know.
    """

    runner_id: str
    started_at_ms: int
    kind: str
    age_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedPace:
    """Hold what an instance found of an upstream that starts or returns.

    `share` is the part of its capacity that all instances may use, `slowness`
    the factor by which it answers slower than expected, and `step` the number of
    changes so far, of which the highest is the newest.
    """

    runner_id: str
    started_at_ms: int
    share: float
    slowness: float
    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReportFaults:
    """Report faults of runners to a reader."""

    faults: tuple[ReportedFault, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FaultsReported:
    """Confirm a report of faults."""


@dataclasses.dataclass(frozen=True, slots=True)
class FollowPeer:
    """Wait for the changes that another instance reads from the store.

    The positions are those up to which this instance has read.
    `members_checksum` is that of the members that it knows, and
    `crash_checksum` that of its evidence of crashes. `is_store_lost` is true if
    the store does not answer this instance either. `fault_position` is that of
    the last update of the same reader, or `None` if this instance takes no
    faults of runners. `era` is the era of the store that the positions are from.
    `needs_complete_list` asks for all entries instead of changes. `paces` is
    what this instance found of upstreams that start or return.
    """

    list_position: int
    configuration_position: int
    members_checksum: int = 0
    is_store_lost: bool = False
    crash_checksum: int = 0
    era: int | None = None
    needs_complete_list: bool = False
    fault_position: int | None = None
    paces: tuple[ReportedPace, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUpdate:
    """Hold the changes that a reader has read after a follower's positions.

    The reader knows all changes after `complete_from`, the position of its
    first read. Its configuration was confirmed `confirmed_seconds` before the
    update was sent. The configuration itself is not included; a follower reads
    a newer one from the store.

    `zone_members` and `readers` are the names of the members of the zone and of
    the readers of all zones. They are empty if the follower knows the same, and
    so is the evidence of crashes. `faults` are recent faults of runners, empty
    if the follower has been told all up to `fault_position`.

    `era` is the era of the store that the reader's positions are from. With
    `is_complete`, `changes` has all entries that the reader knows. `paces` is
    what the zone has found of upstreams that start or return. `confirmed_era`
    is the era that the configuration was confirmed in, and `confirmed_version`
    the version that the reader has; earlier releases name neither.
    """

    list_position: int
    complete_from: int
    changes: tuple[RunnerChange, ...]
    configuration_position: int
    confirmed_seconds: float
    zone_members: tuple[str, ...] = ()
    readers: tuple[str, ...] = ()
    crashes: ReportCrashes | None = None
    era: int | None = None
    is_complete: bool = False
    faults: tuple[ReportedFault, ...] = ()
    fault_position: int = 0
    paces: tuple[ReportedPace, ...] = ()
    confirmed_era: int | None = None
    confirmed_version: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryCompacted:
    """Report that the log no longer has the records after a position."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadSettledEra:
    """Read the era of the store that was last recorded as settled."""


@dataclasses.dataclass(frozen=True, slots=True)
class SettledEraRead:
    """Hold the era that was last recorded as settled, if any was."""

    era: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class RecordSettledEra:
    """Record that an era of the store has settled.

    The record is lost with a restore, and names an earlier era after it, so
    that it may be executed at any time.
    """

    era: int


@dataclasses.dataclass(frozen=True, slots=True)
class SettledEraRecorded:
    """Confirm that an era was recorded as settled."""


@dataclasses.dataclass(frozen=True, slots=True)
class JoinMembers:
    """Join a group of instances, or renew the membership, for a time.

    There is a group for each zone, and one for the readers of all zones, which
    has no zone. What the answer grants counts from `requested_at`.
    """

    zone: str
    member: str
    lifetime_seconds: float
    generation: int
    requested_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class MembersJoined:
    """Confirm a membership.

    The generation rises with each change of the members. The leader of the
    readers is the instance that may send orders to runners.
    """

    generation: int
    is_leader: bool


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveMembers:
    """Leave the group of a zone, or that of the readers of all zones."""

    zone: str
    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class MembersLeft:
    """Confirm that a membership has ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListMembers:
    """Read the members of a zone, or the readers of all zones.

    The list is no older than `requested_at`.
    """

    zone: str
    requested_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class MembersListed:
    """Hold the names of the members of a group."""

    members: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRunnerReport:
    """Read the report of a runner."""

    runner_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeRunner:
    """Read the report of a runner to find its stalled requests."""

    runner_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class StalledRequest:
    """Name a stalled request and the address of the unresponsive runner."""

    attempt_id: str
    fault_address: str


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerReport:
    """Hold the report of a runner, some hundred milliseconds old.

    `order_count` is the number of orders that the runner has accepted.
    """

    order_count: int
    has_active_order: bool
    slowdown: float = 1.0
    stalled: tuple[StalledRequest, ...] = ()
    announcement: requests.Announcement = requests.NO_ANNOUNCEMENT


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceLayers:
    """Order a runner to load a range of layers.

    The runner rejects the order unless it has accepted exactly `order_count`
    orders before.
    """

    runner_id: str
    layers: runners.LayerRange
    order_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class MoveRequest:
    """Order a runner to continue a request on another chain."""

    runner_id: str
    send_id: str
    attempt_id: str
    chain: requests.Chain


class OrderVerdict(enum.Enum):
    """Name the outcome of an order.

    `ALREADY_DONE` means that there was nothing left to do. The values are labels
    of metrics and fields of log lines.
    """

    ACCEPTED = 'begun'
    ALREADY_DONE = 'holds'
    CONFLICT = 'conflict'
    UNKNOWN_REQUEST = 'unknown_request'
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAnswer:
    """Hold a runner's answer to an order."""

    verdict: OrderVerdict
    fault_address: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class CallRefused:
    """Report an error status instead of an answer."""

    status: int
