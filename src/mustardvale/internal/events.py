"""Define the events that a reducer takes."""

import dataclasses
import enum
import typing


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """Say when something happened.

    `at` is in seconds of the monotonic clock, `wall` in seconds since the
    epoch. A reducer has no other source of time.
    """

    at: float
    wall_time: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceStarted(Event):
    """Report that the loop runs and the listening sockets are open."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopRequested(Event):
    """Report a request for a planned stop, usually SIGTERM."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TimerFired(Event):
    """Report that the delay of a timer is over."""

    timer: typing.Any


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequested(Event):
    """Report a decoded request of a caller."""

    request_id: str
    request: typing.Any


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerLeft(Event):
    """Report that a caller closed its connection before its answer ended."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerBlocked(Event):
    """Report that the output queue of a caller is over its limit."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerCaughtUp(Event):
    """Report that the output queue of a blocked caller is empty again."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallAnswered(Event):
    """Report the decoded answer to a call, `seconds` after its start."""

    call: typing.Any
    address: str
    answer: typing.Any
    duration_seconds: float = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallPartArrived(Event):
    """Report one decoded part of a streamed answer."""

    call: typing.Any
    address: str
    part: typing.Any


class FailureKind(enum.Enum):
    """Name the ways in which a call ends without an answer."""

    REFUSED = 'refused'
    CLOSED = 'closed'
    TIMED_OUT = 'timed_out'
    MALFORMED = 'malformed'
    OVERLOADED = 'overloaded'


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Describe a call that ended without an answer.

    `sent` is false only when not a single byte of the call was handed to the
    operating system, so that the other side cannot have seen it.
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
    """Report a decoded message of another entry instance."""

    sender: str
    message: typing.Any
