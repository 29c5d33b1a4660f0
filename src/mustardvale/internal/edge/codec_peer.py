"""Encode messages between entry instances (MessagePack)."""

import types
from typing import Any

import msgspec

from mustardvale.internal import messages
from mustardvale.internal.edge import peer_socket

KINDS: types.MappingProxyType[str, type[messages.PeerMessage]] = (
    types.MappingProxyType(
        {
            'heartbeat': messages.Heartbeat,
            'peer_suspected': messages.PeerSuspected,
            'document_wanted': messages.DocumentWanted,
            'document_copy': messages.DocumentCopy,
            'forward_action': messages.ForwardAction,
            'action_outcome': messages.ActionOutcome,
        }
    )
)

KIND_NAMES = types.MappingProxyType(
    {kind: name for name, kind in KINDS.items()}
)


class Envelope(msgspec.Struct, frozen=True):
    """Hold a message with its kind and its sender's peer address."""

    sender: str
    kind: str
    fields: msgspec.Raw


def encode_message(sender: str, message: Any) -> bytes:
    """Encode a message."""
    envelope = Envelope(
        sender,
        KIND_NAMES[type(message)],
        msgspec.Raw(msgspec.msgpack.encode(message)),
    )
    return msgspec.msgpack.encode(envelope)


def decode_message(frame: bytes) -> tuple[str, messages.PeerMessage]:
    """Decode sender and message, or raise `peer_socket.PeerDecodeError`."""
    try:
        envelope = msgspec.msgpack.decode(frame, type=Envelope)
        kind = KINDS[envelope.kind]
        message = msgspec.msgpack.decode(envelope.fields, type=kind)
    except (msgspec.DecodeError, KeyError, UnicodeDecodeError) as error:
        raise peer_socket.PeerDecodeError(str(error)) from error
    return envelope.sender, message
