"""Encode and decode the messages between instances, as JSON."""

import types
import typing

import msgspec

from mustardvale.internal.edge import relay_wire, wire
from mustardvale.internal.relay import calls, requests

FEED_PATH = '/v1/news'
CRASHES_PATH = '/v1/crashes'
FAULTS_PATH = '/v1/faults'
CALL_TYPES: types.MappingProxyType[str, type[typing.Any]] = (
    types.MappingProxyType(
        {
            FEED_PATH: calls.FollowPeer,
            CRASHES_PATH: calls.ReportCrashes,
            FAULTS_PATH: calls.ReportFaults,
        }
    )
)
OK_STATUS = 200


def encode_call(call: calls.FollowPeer) -> wire.RawCall:
    """Encode a request for changes."""
    return wire.RawCall('POST', FEED_PATH, msgspec.json.encode(call))


def encode_crash_report(call: calls.ReportCrashes) -> wire.RawCall:
    """Encode a report of crashes."""
    return wire.RawCall('POST', CRASHES_PATH, msgspec.json.encode(call))


def encode_fault_report(call: calls.ReportFaults) -> wire.RawCall:
    """Encode a report of faults of runners."""
    return wire.RawCall('POST', FAULTS_PATH, msgspec.json.encode(call))


def decode_answer(raw: wire.RawAnswer) -> calls.PeerUpdate:
    """Decode changes, or raise `msgspec.DecodeError`."""
    return msgspec.json.decode(raw.body, type=calls.PeerUpdate)


def decode_crash_answer(raw: wire.RawAnswer) -> calls.CrashesReported:
    """Decode the answer to a report, or raise `msgspec.DecodeError`."""
    return msgspec.json.decode(raw.body, type=calls.CrashesReported)


def decode_request(received: relay_wire.ReceivedRequest) -> typing.Any:
    """Decode a call of another instance, or raise `wire.DecodeError`."""
    call_type = CALL_TYPES.get(received.target)
    if call_type is None:
        raise wire.DecodeError(
            404, 'not_found', f'the paths are {", ".join(CALL_TYPES)}'
        )
    try:
        return msgspec.json.decode(received.body, type=call_type)
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
