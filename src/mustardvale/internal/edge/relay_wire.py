"""Define the HTTP messages between relay connections and their codecs."""

import dataclasses
import typing

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """Hold a complete request of a caller.

    Header names are in lower case. `listener` names the address at which the
    request arrived.
    """

    listener: str
    method: str
    target: str
    headers: Headers
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyHead:
    """Hold the status and headers of an answer to a caller.

    `closes_connection` is true if the connection is closed after the answer.
    """

    status: int
    headers: Headers = ()
    closes_connection: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class EncodedSend:
    """Hold a request as it is sent to an upstream."""

    method: str
    target: str
    headers: Headers
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedHead:
    """Hold the status and headers of an upstream's answer.

    Header names are in lower case.
    """

    status: int
    headers: Headers


def encode_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Encode headers as they were decoded, with a byte for each character."""
    return [
        (name.encode('latin-1'), text.encode('latin-1'))
        for name, text in headers
    ]


class CallerCodec(typing.Protocol):
    """Decode requests of callers, and encode the answers to them."""

    def decode_request(self, received: ReceivedRequest) -> typing.Any:
        """Decode a request, or raise `wire.DecodeError`."""

    def encode_reply(self, reply: typing.Any) -> tuple[ReplyHead, bytes]:
        """Encode a complete answer."""

    def encode_head(self, head: typing.Any) -> ReplyHead:
        """Encode the head of a streamed answer."""

    def encode_error(
        self, status: int, code: str, message: str
    ) -> tuple[ReplyHead, bytes]:
        """Encode the answer to an invalid request."""


class SendCodec(typing.Protocol):
    """Encode requests to upstreams, and decode the heads of their answers."""

    def encode_send(self, send: typing.Any) -> EncodedSend:
        """Encode the request of a send."""

    def decode_head(
        self, send: typing.Any, received: ReceivedHead
    ) -> typing.Any:
        """Decode the head of an answer."""

    def decode_announcement(self, received: ReceivedHead) -> typing.Any:
        """Decode what an upstream says of itself in a head, if anything."""

    def is_answer_to(
        self, send: typing.Any, received: ReceivedHead, is_reused: bool
    ) -> bool:
        """Return whether an answer belongs to the send.

        `is_reused` is true if the connection has carried another answer.
        """
