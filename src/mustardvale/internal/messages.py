"""Define the messages between entry instances."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessage:
    """Mark a data class as a message between entry instances."""


@dataclasses.dataclass(frozen=True, slots=True)
class AccountUsage:
    """Report what one account asked of one instance, per second."""

    account: str
    requests_per_second: float
    tokens_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class LostRunner:
    """Report a runner that died while it had a step of a request.

    `lost_at` is a wall time.
    """

    fingerprint: str
    runner: str
    lost_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat(PeerMessage):
    """Describe the sender to its peers.

    `incarnation` is the wall time of the sender's start in milliseconds, so
    that news of an earlier process at the same address is recognised.
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


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentWanted(PeerMessage):
    """Ask a peer for the document that it has in force."""

    environment: str
    reply_to: str


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentCopy(PeerMessage):
    """Hold the sender's document in force, folded up to offset `as_of`."""

    environment: str
    version: int
    offset: int
    as_of: int
    document: str


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardAction(PeerMessage):
    """Ask the instance that tails a partition to run an action."""

    forward_id: str
    reply_to: str
    account: str
    service: str
    operation: str
    idempotency_key: str
    body: bytes
    deadline_seconds: float
    traceparent: str


@dataclasses.dataclass(frozen=True, slots=True)
class ActionOutcome(PeerMessage):
    """Report what became of a forwarded action.

    `error_code` is empty when the action is done.
    """

    forward_id: str
    status: int
    content_type: str
    body: bytes
    replayed: bool
    error_code: str
    message: str
    outcome: str
    scope: str
    retry_after_seconds: float
