"""Write lines to a descriptor whose reader may be slow or stopped."""

import errno
import os

# Lines that do not fit into the queue are dropped and counted.
MAXIMUM_QUEUED_BYTES = 256 * 1024


class BoundedOutput:
    """Write to a non-blocking descriptor, with a bounded queue.

    A logging handler uses it in place of a text stream.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.queued = bytearray()
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Queue a line, or drop it if the queue is full."""
        line = text.encode('utf-8', 'replace')
        if len(self.queued) + len(line) > MAXIMUM_QUEUED_BYTES:
            self.dropped_lines += 1
        else:
            self.queued += line

    def flush(self) -> None:
        """Write what the descriptor accepts; the rest stays queued."""
        while self.queued:
            try:
                count = os.write(self.descriptor, self.queued)
            except OSError as error:
                if error.errno not in {errno.EAGAIN, errno.EPIPE}:
                    raise
                return
            del self.queued[:count]
