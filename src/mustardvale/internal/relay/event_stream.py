"""Split a stream of server-sent events into whole events."""

import dataclasses
import re

# The end of an event; the format allows three forms of line ends.
EVENT_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
EVENT_ID = re.compile(rb'(?:^|[\r\n])id:[ ]?(\d+)')


@dataclasses.dataclass(frozen=True, slots=True)
class SplitEvents:
    """Hold whole events, the number of the last one, and what follows them."""

    complete: bytes
    last_event_id: int | None
    remainder: bytes


def split_events(
    remainder: bytes, chunk: bytes, after_event_id: int | None
) -> SplitEvents:
    """Return the whole events of the input so far.

    Events up to the number `after` are left out: the caller has them.
    """
    pieces = remainder + chunk
    whole = []
    last = None
    start = 0
    for match in EVENT_END.finditer(pieces):
        event = pieces[start : match.end()]
        start = match.end()
        found = EVENT_ID.search(event)
        if found is not None:
            number = int(found.group(1))
            if after_event_id is not None and number <= after_event_id:
                continue
            last = number
        whole.append(event)
    return SplitEvents(b''.join(whole), last, pieces[start:])
