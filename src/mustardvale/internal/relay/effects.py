"""Define the effects of relaying."""

import dataclasses
import typing

from mustardvale.internal import effects


@dataclasses.dataclass(frozen=True, slots=True)
class StartSend(effects.Effect):
    """Send a request to an upstream and report its answer in parts.

    A fresh send opens a connection of its own, so that the upstream cannot
    have closed it meanwhile.
    """

    send_id: str
    address: str
    send: typing.Any
    needs_new_connection: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AbortSend(effects.Effect):
    """Close the connection of a send without a further event."""

    send_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class PauseSend(effects.Effect):
    """Read no more of an answer until it is resumed."""

    send_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ResumeSend(effects.Effect):
    """Go on reading an answer."""

    send_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class LimitRest(effects.Effect):
    """Use no kept connection again that has rested for longer."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class StartStream(effects.Effect):
    """Send the head of an answer that follows in parts."""

    request_id: str
    head: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class LimitCallers(effects.Effect):
    """Bound what callers may send; times are in seconds."""

    maximum_header_bytes: int
    maximum_body_bytes: int
    header_timeout_seconds: float
    idle_timeout_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class CloseIdleCallers(effects.Effect):
    """Close idle connections, and every other one after its answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class LogDecision(effects.Effect):
    """Write a line about one decision.

    A routine line may be left out when there are many.
    """

    event: str
    fields: tuple[tuple[str, typing.Any], ...] = ()
    is_routine: bool = False
