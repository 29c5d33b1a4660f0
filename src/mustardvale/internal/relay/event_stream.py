"""Split a stream of server-sent events into complete events."""

import dataclasses
import re

# A blank line ends an event; the format allows three kinds of line endings.
EVENT_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
EVENT_ID = re.compile(rb'(?:^|[\r\n])id:[ ]?(\d+)')


@dataclasses.dataclass(frozen=True, slots=True)
class SplitEvents:
    """Hold complete events, the id of the last one, and the remaining bytes."""

    complete: bytes
    last_event_id: int | None
    remainder: bytes


def split_events(
    remainder: bytes, chunk: bytes, after_event_id: int | None
) -> SplitEvents:
    """Return the complete events of a remainder and the chunk after it.

    Events with an id up to `after_event_id` are left out, because the caller
    already has them.
    """
    pending = remainder + chunk
    events = []
    last_event_id = None
    start = 0
    for match in EVENT_END.finditer(pending):
        event = pending[start : match.end()]
        start = match.end()
        id_match = EVENT_ID.search(event)
        if id_match is not None:
            number = int(id_match.group(1))
            if after_event_id is not None and number <= after_event_id:
                continue
            last_event_id = number
        events.append(event)
    return SplitEvents(b''.join(events), last_event_id, pending[start:])
