"""Define the events that reducers handle."""

import dataclasses
import enum
import typing


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """Mark a data class as an event and hold the time when it happened.

    `at` is in seconds of the monotonic clock, `wall_time` in seconds since the
    epoch. Reducers have no other source of time.
    """

    at: float
    wall_time: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceStarted(Event):
    """Report that the loop is running and its listening sockets are open."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopRequested(Event):
    """Report a request for a graceful shutdown, usually SIGTERM."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TimerFired(Event):
    """Report that a timer has expired."""

    timer: typing.Any


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequested(Event):
    """Report a decoded request from a caller."""

    request_id: str
    request: typing.Any


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerLeft(Event):
    """Report that a caller disconnected before its answer was complete."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerBlocked(Event):
    """Report that the output buffer of a caller exceeds its limit."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerCaughtUp(Event):
    """Report that the output buffer of a blocked caller has drained."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallAnswered(Event):
    """Report the decoded answer to a call.

    `duration_seconds` is the time since the call was started.
    """

    call: typing.Any
    address: str
    answer: typing.Any
    duration_seconds: float = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallPartArrived(Event):
    """Report one decoded part of a streaming answer."""

    call: typing.Any
    address: str
    part: typing.Any


class FailureKind(enum.Enum):
    """List the reasons why a call ends without an answer."""

    REFUSED = 'refused'
    CLOSED = 'closed'
    TIMED_OUT = 'timed_out'
    MALFORMED = 'malformed'
    OVERLOADED = 'overloaded'
    OUTDATED = 'outdated'


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Describe a call that ended without an answer.

    `was_sent` is false only if no byte of the call was passed to the operating
    system, which means that the remote side cannot have received it.
    """

    kind: FailureKind
    was_sent: bool
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallFailed(Event):
    """Report a call that ended without an answer."""

    call: typing.Any
    address: str
    failure: Failure


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerMessageReceived(Event):
    """Report a decoded message from another entry instance."""

    sender: str
    message: typing.Any
