"""Decode requests to the stand-in of an upstream service."""

import typing
from urllib import parse

from mustardvale.internal import calls
from mustardvale.internal.edge import wire
from standins import action_service, json_codec

encode_reply = json_codec.encode_reply
encode_part = json_codec.encode_part
encode_error = json_codec.encode_error

OPERATIONS_PATH = '/v1/operations/'


def decode_request(raw: wire.RawRequest) -> typing.Any:
    """Decode a request, or raise `wire.DecodeError`."""
    if raw.method == 'POST' and raw.path.startswith(OPERATIONS_PATH):
        return action_service.Operation(
            parse.unquote(raw.path.removeprefix(OPERATIONS_PATH)),
            raw.headers.get('idempotency-key', ''),
            raw.headers.get('mustardvale-attempt', ''),
            raw.body,
        )
    if raw.method == 'GET' and raw.path == '/v1/load':
        return calls.ReadLoad()
    if raw.method == 'GET' and raw.path == '/ledger':
        return action_service.ReadLedger()
    if raw.method == 'POST' and raw.path == '/faults':
        return json_codec.decode_body(raw, action_service.Faults)
    raise json_codec.build_not_found(raw)
