"""Decode requests to the stand-in of the weight store."""

import functools
import typing
from urllib import parse

import msgspec

from mustardvale.internal.edge import wire
from standins import json_codec, weight_store

encode_part = json_codec.encode_part
encode_error = json_codec.encode_error


@functools.singledispatch
def encode_reply(reply: typing.Any) -> wire.RawReply:
    """Encode a complete answer."""
    return json_codec.encode_reply(reply)


@encode_reply.register(weight_store.LeaseRefused)
def encode_refused(reply: weight_store.LeaseRefused) -> wire.RawReply:
    """Encode a refusal with the status for too many requests."""
    return wire.RawReply(
        429,
        msgspec.json.encode(reply),
        (('Retry-After', str(max(round(reply.retry_after_seconds), 1))),),
    )


def decode_request(raw: wire.RawRequest) -> typing.Any:
    """Decode a request, or raise `wire.DecodeError`."""
    if (raw.method, raw.path) == ('POST', '/v1/leases'):
        return json_codec.decode_body(raw, weight_store.AcquireLease)
    if (raw.method, raw.path) == ('GET', '/v1/leases'):
        return weight_store.ReadLeases()
    if (raw.method, raw.path) == ('POST', '/faults'):
        return json_codec.decode_body(raw, weight_store.Faults)
    if raw.method == 'DELETE' and raw.path.startswith('/v1/leases/'):
        lease = raw.path.removeprefix('/v1/leases/')
        return weight_store.ReleaseLease(parse.unquote(lease))
    raise json_codec.build_not_found(raw)
