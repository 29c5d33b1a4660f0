"""Define the effects that a reducer asks the edge to perform."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """Mark a data class as an effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class Call(Effect):
    """Send a call to `address` (`host:port`) and report its answer or failure."""

    call: typing.Any
    address: str
    timeout_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class SetTimer(Effect):
    """Report `timer` after a delay; an equal timer that is set is replaced."""

    timer: typing.Any
    delay_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class CancelTimer(Effect):
    """Forget a timer; one that is not set is ignored."""

    timer: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class Reply(Effect):
    """Answer a caller whole."""

    request_id: str
    reply: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class StreamPart(Effect):
    """Send one part of a streamed answer; the first part sends the head."""

    request_id: str
    part: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEnd(Effect):
    """Send the end mark of a streamed answer and complete it."""

    request_id: str
    end: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class CloseCaller(Effect):
    """Close the connection of a caller without completing its answer."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectPeers(Effect):
    """Keep connections to exactly these peer addresses."""

    addresses: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SendToPeer(Effect):
    """Send a message to one peer; it may be lost."""

    address: str
    message: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class Count(Effect):
    """Add to a counter."""

    counter: str
    labels: tuple[str, ...] = ()
    amount: float = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Observe(Effect):
    """Record a duration in a histogram."""

    histogram: str
    seconds: float
    labels: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class SetGauge(Effect):
    """Set a gauge."""

    gauge: str
    level: float
    labels: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class LogChange(Effect):
    """Write a log line for a change of state."""

    message: str
    fields: tuple[tuple[str, typing.Any], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RecordSpan(Effect):
    """Record a finished span of a trace.

    `started_at` and `ended_at` are in seconds of the monotonic clock.
    """

    name: str
    traceparent: str
    started_at: float
    ended_at: float
    attributes: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Print(Effect):
    """Write text for the user of a command-line tool to standard output."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopLoop(Effect):
    """Stop the loop after the output that is queued has been written."""

    exit_code: int = 0
