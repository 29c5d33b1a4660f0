"""Decode requests to the stand-in of the instance list."""

import types
import typing

from mustardvale.internal import calls
from mustardvale.internal.edge import wire
from standins import instance_list, json_codec

encode_reply = json_codec.encode_reply
encode_part = json_codec.encode_part
encode_error = json_codec.encode_error

REQUEST_TYPES = types.MappingProxyType(
    {
        ('POST', '/faults'): instance_list.Faults,
        ('PUT', '/v1/instances'): instance_list.SetInstances,
        ('POST', '/v1/instances/state'): instance_list.SetInstanceState,
        ('POST', '/v1/instances/remove'): instance_list.RemoveInstance,
    }
)


def decode_request(raw: wire.RawRequest) -> typing.Any:
    """Decode a request, or raise `wire.DecodeError`."""
    if (raw.method, raw.path) == ('GET', '/v1/instances'):
        return calls.ListInstances()
    kind = REQUEST_TYPES.get((raw.method, raw.path))
    if kind is None:
        raise json_codec.build_not_found(raw)
    return json_codec.decode_body(raw, kind)
