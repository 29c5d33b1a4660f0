"""Decode requests to the stand-in of the log service."""

import typing
from urllib import parse

import msgspec

from mustardvale.internal.edge import wire
from standins import json_codec, log_service

MILLISECONDS_PER_SECOND = 1000
DEFAULT_LIMIT = 500

encode_reply = json_codec.encode_reply
encode_part = json_codec.encode_part
encode_error = json_codec.encode_error


class AppendBody(msgspec.Struct, frozen=True):
    """Hold the JSON body of an append."""

    records: tuple[typing.Any, ...]


def decode_request(raw: wire.RawRequest) -> typing.Any:
    """Decode a request, or raise `wire.DecodeError`."""
    if raw.method == 'POST' and raw.path == '/faults':
        return json_codec.decode_body(raw, log_service.Faults)
    parts = raw.path.strip('/').split('/')
    if len(parts) != 4 or parts[:2] != ['v1', 'streams']:
        raise json_codec.build_not_found(raw)
    if raw.method == 'POST':
        body: AppendBody = json_codec.decode_body(raw, AppendBody)
        return log_service.Append(parts[2], body.records)
    query = dict(parse.parse_qsl(raw.query))
    return log_service.Read(
        parts[2],
        int(query.get('from', '0')),
        int(query.get('limit', DEFAULT_LIMIT)),
        int(query.get('wait_ms', '0')) / MILLISECONDS_PER_SECOND,
    )
