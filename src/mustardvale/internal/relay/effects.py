"""Define the effects of an instance that relays requests."""

import dataclasses
import typing

from mustardvale.internal import effects


@dataclasses.dataclass(frozen=True, slots=True)
class StartSend(effects.Effect):
    """Send a request to an upstream and report its answer as events.

    A send that needs a new connection does not reuse an idle one, which the
    upstream may have closed meanwhile.
    """

    send_id: str
    address: str
    request: typing.Any
    needs_new_connection: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AbortSend(effects.Effect):
    """Close the connection of a send without a further event."""

    send_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class PauseSend(effects.Effect):
    """Pause reading an answer."""

    send_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ResumeSend(effects.Effect):
    """Resume reading an answer."""

    send_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class LimitRest(effects.Effect):
    """Limit how long a connection may be idle before it is reused."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class WatchAddresses(effects.Effect):
    """Keep one idle connection open to each of these addresses, and no others.

    The edge reports the end of a connection, and opens it again only once it is
    named again.
    """

    addresses: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class StartStream(effects.Effect):
    """Send the head of an answer that is streamed to a caller."""

    request_id: str
    head: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class LimitCallers(effects.Effect):
    """Limit the size of callers' requests and the time to receive them."""

    maximum_header_bytes: int
    maximum_body_bytes: int
    header_timeout_seconds: float
    idle_timeout_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class RebalanceCallers(effects.Effect):
    """Close a share of the callers' connections, each after an answer.

    The callers then connect again, and find other instances. Answers that
    begin in the next `delay_seconds` close none.
    """

    share: float
    delay_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class CloseIdleCallers(effects.Effect):
    """Close idle connections of callers, and all others after their answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class LogDecision(effects.Effect):
    """Write a log line about one decision.

    Routine lines may be dropped when there are too many.
    """

    event: str
    fields: tuple[tuple[str, typing.Any], ...] = ()
    is_routine: bool = False
