"""Split a stream of server-sent events into complete events.

The time for a stream is in proportion to its size, in whatever pieces it
arrives: no byte is searched again, or copied with each piece after it.
"""

import dataclasses
import re

from mustardvale.internal.relay import answer_bodies

# A blank line ends an event; the format allows three kinds of line endings.
EVENT_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
COMMENT_MARK = b':'
# Longer numbers are no ids of events, and slow or impossible to convert.
EVENT_ID = re.compile(rb'(?:^|[\r\n])id:[ ]?(\d{1,18})(?!\d)')


# Bytes of the end of an event that may have arrived before its last byte.
LONGEST_END_BYTES = 4
TAIL_BYTES = LONGEST_END_BYTES - 1


@dataclasses.dataclass(frozen=True, slots=True)
class PartialEvent:
    """Hold the beginning of an event, and its last bytes once more."""

    body: answer_bodies.AnswerBody = answer_bodies.EMPTY_BODY
    tail: bytes = b''

    def append(self, piece: bytes) -> 'PartialEvent':
        """Return the beginning with one more piece, which ends no event."""
        if not piece:
            return self
        return PartialEvent(
            self.body.append(piece), (self.tail + piece)[-TAIL_BYTES:]
        )


NO_EVENT = PartialEvent()


@dataclasses.dataclass(frozen=True, slots=True)
class SplitEvents:
    """Hold complete events, the id of the last one, and the one after them.

    `has_progress` is true if any of the events is more than a comment.
    """

    complete: bytes
    last_event_id: int | None
    partial: PartialEvent
    has_progress: bool


def split_events(
    partial: PartialEvent, piece: bytes, after_event_id: int | None
) -> SplitEvents:
    """Return the events that a piece of a stream completes.

    Events with an id up to `after_event_id` are left out, because the caller
    already has them.
    """
    if partial.body.size and not EVENT_END.search(partial.tail + piece):
        return SplitEvents(b'', None, partial.append(piece), has_progress=False)
    pending = partial.body.join() + piece
    searched = max(partial.body.size - TAIL_BYTES, 0)
    events = []
    last_event_id = None
    start = 0
    for match in EVENT_END.finditer(pending, searched):
        event = pending[start : match.end()]
        start = match.end()
        number = find_event_id(event)
        if is_repeated(number, after_event_id):
            continue
        events.append(event)
        last_event_id = last_event_id if number is None else number
    return SplitEvents(
        b''.join(events),
        last_event_id,
        NO_EVENT.append(pending[start:]),
        last_event_id is not None or not all(map(is_comment, events)),
    )


def find_event_id(event: bytes) -> int | None:
    """Return the id of an event, if it has one."""
    match = EVENT_ID.search(event)
    return None if match is None else int(match.group(1))


def is_repeated(number: int | None, after_event_id: int | None) -> bool:
    """Return whether the caller already has the event with an id."""
    if number is None or after_event_id is None:
        return False
    return number <= after_event_id


def is_comment(event: bytes) -> bool:
    """Return whether all lines of an event are comments or empty."""
    return all(
        not line or line.startswith(COMMENT_MARK) for line in event.splitlines()
    )
