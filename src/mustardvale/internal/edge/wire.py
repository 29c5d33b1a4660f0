"""Define the HTTP messages that codecs read and write."""

import dataclasses

import immutables


@dataclasses.dataclass(frozen=True, slots=True)
class RawRequest:
    """Hold a received request; header names are in lower case."""

    method: str
    path: str
    query: str
    headers: immutables.Map[str, str]
    body: bytes
    caller_address: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class RawReply:
    """Hold a reply to a caller; without a body it is the head of a stream."""

    status: int
    body: bytes | None
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = 'application/json'


@dataclasses.dataclass(frozen=True, slots=True)
class RawCall:
    """Hold a request to another process.

    `is_streamed` asks to report the answer line by line.
    `needs_new_connection` keeps the call off idle connections. A call that
    `is_connection_check` ends once a connection is open, and sends nothing; its
    answer has no body.
    """

    method: str
    target: str
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()
    is_streamed: bool = False
    needs_new_connection: bool = False
    is_connection_check: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RawAnswer:
    """Hold a received answer; header names are in lower case."""

    status: int
    headers: immutables.Map[str, str]
    body: bytes


class DecodeError(Exception):
    """Report a message that does not decode.

    `status` and `code` are those of the error reply to a caller.
    """

    def __init__(self, status: int, code: str, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message
