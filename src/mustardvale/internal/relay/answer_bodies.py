"""Collect the body of an answer in parts."""

import dataclasses

# A part is joined to one before it that is smaller than this, so that a body
# in tiny parts has few of them.
SMALL_PART_BYTES = 16 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerBody:
    """Hold the parts of a body that have arrived, and their size in bytes.

    Large parts are joined once, so that the time for a body is in proportion to
    its size.
    """

    parts: tuple[bytes, ...] = ()
    size: int = 0

    def append(self, part: bytes) -> 'AnswerBody':
        """Return the body with one more part."""
        if not part:
            return self
        size = self.size + len(part)
        if self.parts and len(self.parts[-1]) < SMALL_PART_BYTES:
            joined = self.parts[-1] + part
            return AnswerBody((*self.parts[:-1], joined), size)
        return AnswerBody((*self.parts, part), size)

    def join(self) -> bytes:
        """Return the whole body."""
        return b''.join(self.parts)


EMPTY_BODY = AnswerBody()
