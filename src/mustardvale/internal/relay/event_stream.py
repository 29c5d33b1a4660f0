"""Split a stream of server-sent events into whole events."""

import dataclasses
import re

# The end of an event; the format allows three forms of line ends.
EVENT_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
EVENT_ID = re.compile(rb'(?:^|[\r\n])id:[ ]?(\d+)')


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """Hold whole events, the number of the last one, and what follows them."""

    whole: bytes
    last_event: int | None
    rest: bytes


def split(rest: bytes, part: bytes, after: int | None) -> Split:
    """Return the whole events of the input so far.

    Events up to the number `after` are left out: the caller has them.
    """
    pieces = rest + part
    whole = []
    last = None
    start = 0
    for match in EVENT_END.finditer(pieces):
        event = pieces[start : match.end()]
        start = match.end()
        found = EVENT_ID.search(event)
        if found is not None:
            number = int(found.group(1))
            if after is not None and number <= after:
                continue
            last = number
        whole.append(event)
    return Split(b''.join(whole), last, pieces[start:])
