"""Encode and decode messages between entry instances (MessagePack)."""

import functools
import types
import typing
import zlib

import msgspec

from mustardvale.internal import messages
from mustardvale.internal.edge import peer_socket

MAXIMUM_COPY_BYTES = 4 * 1024 * 1024

MESSAGE_TYPES: types.MappingProxyType[str, type[messages.PeerMessage]] = (
    types.MappingProxyType(
        {
            'heartbeat': messages.Heartbeat,
            'peer_suspected': messages.PeerSuspected,
            'document_wanted': messages.DocumentRequest,
            'document_copy': messages.DocumentCopy,
            'forward_action': messages.ForwardAction,
            'action_accepted': messages.ActionAccepted,
            'action_outcome': messages.ActionOutcome,
        }
    )
)

KIND_NAMES = types.MappingProxyType(
    {message_type: kind for kind, message_type in MESSAGE_TYPES.items()}
)


class Envelope(msgspec.Struct, frozen=True):
    """Define a frame: a message, its kind and the peer address of its sender."""

    sender: str
    kind: str
    fields: msgspec.Raw


@functools.singledispatch
def encode_fields(message: typing.Any) -> bytes:
    """Encode the fields of a message."""
    return msgspec.msgpack.encode(message)


@encode_fields.register(messages.DocumentCopy)
def encode_copy(message: messages.DocumentCopy) -> bytes:
    """Encode and compress a copy: documents are long and repetitive."""
    encoded = msgspec.msgpack.encode(message)
    return msgspec.msgpack.encode(zlib.compress(encoded))


def decode_fields(message_type: type[typing.Any], fields: bytes) -> typing.Any:
    """Decode the fields of a message."""
    if message_type is not messages.DocumentCopy:
        return msgspec.msgpack.decode(fields, type=message_type)
    encoded = decompress(msgspec.msgpack.decode(fields, type=bytes))
    return msgspec.msgpack.decode(encoded, type=message_type)


def decompress(compressed: bytes) -> bytes:
    """Decompress up to `MAXIMUM_COPY_BYTES`, as a bound on the memory."""
    try:
        return zlib.decompressobj().decompress(compressed, MAXIMUM_COPY_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from error


def encode_message(sender: str, message: typing.Any) -> bytes:
    """Encode a message."""
    envelope = Envelope(
        sender,
        KIND_NAMES[type(message)],
        msgspec.Raw(encode_fields(message)),
    )
    return msgspec.msgpack.encode(envelope)


def decode_message(frame: bytes) -> tuple[str, messages.PeerMessage]:
    """Decode sender and message, or raise `peer_socket.PeerDecodeError`."""
    try:
        envelope = msgspec.msgpack.decode(frame, type=Envelope)
        message_type = MESSAGE_TYPES[envelope.kind]
        message = decode_fields(message_type, bytes(envelope.fields))
    except (msgspec.DecodeError, KeyError, UnicodeDecodeError) as error:
        raise peer_socket.PeerDecodeError(str(error)) from error
    return envelope.sender, message
