"""Define the events of sends to upstreams."""

import dataclasses
import enum
import typing

from mustardvale.internal import events


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendEvent(events.Event):
    """Report an event of one send."""

    send_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendStarted(SendEvent):
    """Report that writing the request has begun, after which it may run."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeadArrived(SendEvent):
    """Report the decoded head of an answer."""

    head: typing.Any


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PartArrived(SendEvent):
    """Report a chunk of the body of an answer."""

    part: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendEnded(SendEvent):
    """Report the complete end of an answer."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendFailed(SendEvent):
    """Report that a send ended without a complete answer.

    `idle_seconds` is how long its connection had been idle before the send, 0
    for a new connection.
    """

    failure: events.Failure
    idle_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InterimAnswerArrived(SendEvent):
    """Report an interim answer, which was skipped but for its announcement."""

    announcement: typing.Any


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StrayAnswerArrived(SendEvent):
    """Report an answer to another request, which was skipped."""

    status: int


class WatchEnd(enum.Enum):
    """Name how a watched connection has ended.

    It was open and is lost, or it was refused or failed while being opened. Only
    a refusal shows that no process listens at the address.
    """

    LOST = 'lost'
    REFUSED = 'refused'
    FAILED = 'failed'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WatchOpened(events.Event):
    """Report that a watched connection was accepted."""

    address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WatchEnded(events.Event):
    """Report that a watched connection has ended or could not be opened."""

    address: str
    end: WatchEnd


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreAnswered(events.CallAnswered):
    """Report an answer of a store that names its era.

    The era is an integer that rises whenever the store is restored from a copy.
    """

    era: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SettingsRead(events.Event):
    """Report limits that were reloaded from the settings."""

    limits: typing.Any


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EventFailed(events.Event):
    """Report an event that was dropped because its handler raised."""

    dropped: events.Event
