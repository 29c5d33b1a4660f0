"""Write lines to a descriptor that may not be read."""

import errno
import os

# Output that waits for a reader; what does not fit is dropped and counted.
MAXIMUM_QUEUED_BYTES = 256 * 1024


class BoundedOutput:
    """Write to a descriptor without ever waiting for its reader.

    It takes the place of a text stream under a logging handler.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.queued = bytearray()
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Queue a line and write what the descriptor takes."""
        line = text.encode('utf-8', 'replace')
        if len(self.queued) + len(line) > MAXIMUM_QUEUED_BYTES:
            self.dropped_lines += 1
        else:
            self.queued += line

    def flush(self) -> None:
        """Write what the descriptor takes; the rest waits for the next line."""
        while self.queued:
            try:
                count = os.write(self.descriptor, self.queued)
            except OSError as error:
                if error.errno not in {errno.EAGAIN, errno.EPIPE}:
                    raise
                return
            del self.queued[:count]
