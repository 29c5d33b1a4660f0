"""Decode requests to the stand-in of a model engine."""

from typing import Any
from urllib import parse

from mustardvale.internal import calls
from mustardvale.internal.edge import wire
from standins import engine, json_codec

encode_reply = json_codec.encode_reply
encode_part = json_codec.encode_part
encode_error = json_codec.encode_error


def decode_request(raw: wire.RawRequest) -> Any:
    """Decode a request, or raise `wire.DecodeError`."""
    if raw.method == 'POST' and raw.path == '/v1/steps':
        return json_codec.decode_body(raw, calls.RunSteps)
    if raw.method == 'GET' and raw.path == '/v1/load':
        return calls.ReadLoad()
    if raw.method == 'POST' and raw.path == '/faults':
        return json_codec.decode_body(raw, engine.Faults)
    if raw.method == 'DELETE' and raw.path.startswith('/v1/sessions/'):
        session = raw.path.removeprefix('/v1/sessions/')
        return calls.CloseSession(parse.unquote(session))
    raise json_codec.unknown(raw)
