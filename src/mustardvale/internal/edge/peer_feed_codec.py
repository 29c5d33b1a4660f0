"""Encode and decode the feed between instances of a zone, as JSON."""

import typing

import msgspec

from mustardvale.internal.edge import relay_wire, wire
from mustardvale.internal.relay import calls, requests

FEED_PATH = '/v1/news'
OK_STATUS = 200


def encode_call(call: calls.FollowPeer) -> wire.RawCall:
    """Encode a request for changes."""
    return wire.RawCall('POST', FEED_PATH, msgspec.json.encode(call))


def decode_answer(raw: wire.RawAnswer) -> calls.PeerUpdate:
    """Decode changes, or raise `msgspec.DecodeError`."""
    return msgspec.json.decode(raw.body, type=calls.PeerUpdate)


def decode_request(received: relay_wire.ReceivedRequest) -> calls.FollowPeer:
    """Decode a request for changes, or raise `wire.DecodeError`."""
    if received.target != FEED_PATH:
        raise wire.DecodeError(
            404, 'not_found', f'the only path is {FEED_PATH}'
        )
    try:
        return msgspec.json.decode(received.body, type=calls.FollowPeer)
    except (msgspec.DecodeError, RecursionError) as error:
        raise wire.DecodeError(400, 'malformed', str(error)) from error


def encode_reply(reply: typing.Any) -> tuple[relay_wire.ReplyHead, bytes]:
    """Encode changes, or a refusal."""
    status = reply.status if isinstance(reply, requests.Refusal) else OK_STATUS
    return relay_wire.ReplyHead(status), msgspec.json.encode(reply)


def encode_head(head: typing.Any) -> relay_wire.ReplyHead:
    """Raise an error: no answer to another instance is streamed."""
    raise TypeError(f'no encoding for {type(head).__name__}')


def encode_error(
    status: int, code: str, message: str
) -> tuple[relay_wire.ReplyHead, bytes]:
    """Encode the answer to an invalid request."""
    body = msgspec.json.encode({'error': code, 'message': message})
    return relay_wire.ReplyHead(status), body
