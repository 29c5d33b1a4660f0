"""Define the effects that reducers return and the edge performs."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """Mark a data class as an effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class Call(Effect):
    """Send a call to `address` (`host:port`).

    The edge reports the outcome as `CallAnswered` or `CallFailed`.
    """

    call: typing.Any
    address: str
    timeout_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class SetTimer(Effect):
    """Start a timer; a pending timer that compares equal is replaced."""

    timer: typing.Any
    delay_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class CancelTimer(Effect):
    """Cancel a timer; do nothing if it is not pending."""

    timer: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class Reply(Effect):
    """Send a complete reply to a caller."""

    request_id: str
    reply: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class StreamPart(Effect):
    """Send one part of a streaming answer.

    The status and the headers of the response precede the first part.
    """

    request_id: str
    part: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEnd(Effect):
    """Send the final part of a streaming answer and complete the response."""

    request_id: str
    end: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class CloseCaller(Effect):
    """Close the connection of a caller without completing the response."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectPeers(Effect):
    """Maintain connections to exactly these peer addresses."""

    addresses: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SendToPeer(Effect):
    """Send a message to one peer, without a delivery guarantee."""

    address: str
    message: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class Count(Effect):
    """Increment a counter metric."""

    counter: str
    labels: tuple[str, ...] = ()
    amount: float = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Observe(Effect):
    """Record a duration in a histogram metric."""

    histogram: str
    seconds: float
    labels: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class SetGauge(Effect):
    """Set a gauge metric."""

    gauge: str
    level: float
    labels: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class LogChange(Effect):
    """Write a log line about a change of state."""

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
    """Write text to the standard output of a command-line tool."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopLoop(Effect):
    """Stop the loop once all queued output has been written.

    After `flush_seconds` it stops in any case.
    """

    exit_code: int = 0
    flush_seconds: float = 5.0
