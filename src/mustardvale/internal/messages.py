"""Define the messages that entry instances exchange."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessage:
    """Mark a data class as a message between entry instances."""


@dataclasses.dataclass(frozen=True, slots=True)
class AccountUsage:
    """Report the demand of one account at one instance, per second."""

    account: str
    requests_per_second: float
    tokens_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class LostRunner:
    """Report a runner that crashed while it ran a step of a request.

    `fingerprint` identifies the request. `lost_at` is in seconds since the
    epoch.
    """

    fingerprint: str
    runner: str
    lost_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat(PeerMessage):
    """Describe the sender to its peers.

    `incarnation` is the wall time of the sender's start in milliseconds; a
    message with a lower one concerns an earlier process at the same address.
    `beat` counts the sender's heartbeats, so that peers drop a relayed one that
    is older than the last one they received.
    """

    instance_id: str
    incarnation: int
    address: str
    peer_address: str
    availability_zone: str
    region: str
    state: str
    environment: str
    document_version: int
    document_offset: int
    in_force_since: float
    usage: tuple[AccountUsage, ...] = ()
    suspects: tuple[LostRunner, ...] = ()
    leaving_upstreams: tuple[str, ...] = ()
    beat: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSuspected(PeerMessage):
    """Report that no heartbeat has arrived from an instance since `beat`."""

    instance_id: str
    incarnation: int
    beat: int


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentRequest(PeerMessage):
    """Ask a peer for the document that it has in force."""

    environment: str
    reply_to: str


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentCopy(PeerMessage):
    """Carry the document in force at the sender, as of log offset `as_of`."""

    environment: str
    version: int
    offset: int
    as_of: int
    document: str
    operator: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardAction(PeerMessage):
    """Ask the owner of a partition to run an action.

    `deadline_seconds` is relative; `deadline_wall` is the same deadline in
    seconds since the epoch, since an instance that was paused cannot tell how
    long the message has been waiting.
    """

    forward_id: str
    reply_to: str
    account: str
    service: str
    operation: str
    idempotency_key: str
    body: bytes
    deadline_seconds: float
    deadline_wall: float
    traceparent: str


@dataclasses.dataclass(frozen=True, slots=True)
class ActionAccepted(PeerMessage):
    """Acknowledge the receipt of a forwarded action."""

    forward_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ActionOutcome(PeerMessage):
    """Report the outcome of a forwarded action.

    `error_code` is empty if the action has been done.
    """

    forward_id: str
    status: int = 0
    content_type: str = ''
    body: bytes = b''
    replayed: bool = False
    error_code: str = ''
    message: str = ''
    outcome: str = ''
    scope: str = ''
    retry_after_seconds: float = 0
