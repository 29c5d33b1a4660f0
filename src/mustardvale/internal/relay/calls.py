"""Define the calls to the platform and to runners beside requests."""

import dataclasses
import enum

from mustardvale.internal.relay import configuration, requests, runners


@dataclasses.dataclass(frozen=True, slots=True)
class ReadConfiguration:
    """Ask for the newest configuration, however old it is."""


@dataclasses.dataclass(frozen=True, slots=True)
class FollowConfiguration:
    """Wait for a configuration after a position."""

    position: int
    wait_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """Hold the newest configuration, if any, and the position to go on from."""

    position: int
    configuration: configuration.Configuration | None


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRunners:
    """Ask for the entries of all upstreams, from a key on."""

    after: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class FollowRunners:
    """Ask for the changes of entries after a position."""

    position: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerChange:
    """Hold the new entry of an upstream, or none when it was dropped."""

    runner_id: str
    entry: runners.ListedRunner | None


@dataclasses.dataclass(frozen=True, slots=True)
class RunnersRead:
    """Hold changes, the position to go on from, and the key of the next page."""

    position: int
    changes: tuple[RunnerChange, ...]
    next_page: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class FollowPeer:
    """Wait for what another instance reads from the store.

    The positions are those that this instance has reached.
    """

    list_position: int
    configuration_position: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUpdate:
    """Hold what another instance has read since.

    It knows of every change after `complete_from`, its own first read.
    The configuration at its position was in force `confirmed_seconds` before
    this was sent. A newer one is read from the store, which has it whole.
    """

    list_position: int
    complete_from: int
    changes: tuple[RunnerChange, ...]
    configuration_position: int
    confirmed_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryCompacted:
    """Report that records after a position were dropped."""


@dataclasses.dataclass(frozen=True, slots=True)
class JoinMembers:
    """Join the entry instances, or stay among them for a time."""

    member: str
    lifetime_seconds: float
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class MembersJoined:
    """Confirm a membership; the generation rises with each change.

    `gives_orders` tells whether this member is the one that orders runners.
    """

    generation: int
    is_leader: bool


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveMembers:
    """Leave the entry instances."""

    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class MembersLeft:
    """Confirm that a membership has ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListMembers:
    """Ask for the entry instances."""


@dataclasses.dataclass(frozen=True, slots=True)
class MembersListed:
    """Hold the entry instances."""

    members: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRunnerReport:
    """Ask a runner for its state."""

    runner_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeRunner:
    """Ask a runner which of its requests wait for a part that fails."""

    runner_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class StalledRequest:
    """Name a request whose chain has a part that does not answer."""

    attempt_id: str
    fault_address: str


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerReport:
    """Hold the state of a runner as of some hundred milliseconds ago."""

    order_count: int
    has_active_order: bool
    slowdown: float = 1.0
    stalled: tuple[StalledRequest, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceLayers:
    """Order a runner to hold a range of layers.

    The order holds only for a runner that has accepted `order_count` orders.
    """

    runner_id: str
    layers: runners.LayerRange
    order_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class MoveRequest:
    """Order a runner to go on with a request over another chain."""

    runner_id: str
    send_id: str
    attempt_id: str
    chain: requests.Chain


class OrderVerdict(enum.Enum):
    """Name what a runner made of an order."""

    BEGUN = 'begun'
    HOLDS = 'holds'
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
    """Report an error status in place of an answer."""

    status: int
