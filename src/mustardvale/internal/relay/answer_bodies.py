"""Collect the body of an answer in parts."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerBody:
    """Hold the parts of a body that have arrived, and their size in bytes.

    The parts are joined once, so that the time for a body is in proportion to
    its size.
    """

    parts: tuple[bytes, ...] = ()
    size: int = 0

    def append(self, part: bytes) -> 'AnswerBody':
        """Return the body with one more part."""
        return AnswerBody((*self.parts, part), self.size + len(part))

    def join(self) -> bytes:
        """Return the whole body."""
        return b''.join(self.parts)


EMPTY_BODY = AnswerBody()
