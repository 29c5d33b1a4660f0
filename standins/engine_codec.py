"""Decode requests to an engine stand-in and encode its calls."""

import types
import typing
from urllib import parse

import msgspec

from mustardvale.internal import calls
from mustardvale.internal.edge import wire
from standins import (
    engine,
    engine_orders,
    engine_reports,
    engine_sessions,
    engine_streams,
    json_codec,
    prefix_cache,
    weight_store,
)

OK_STATUS = 200

encode_reply = json_codec.encode_reply
encode_part = json_codec.encode_part
encode_error = json_codec.encode_error

REQUEST_TYPES = types.MappingProxyType(
    {
        ('POST', '/v1/steps'): calls.RunSteps,
        ('POST', '/v1/orders'): engine_orders.Order,
        ('POST', '/v1/streams'): engine_streams.StartStream,
        ('POST', '/faults'): engine.Faults,
    }
)


def decode_request(raw: wire.RawRequest) -> typing.Any:
    """Decode a request, or raise `wire.DecodeError`."""
    kind = REQUEST_TYPES.get((raw.method, raw.path))
    if kind is not None:
        return json_codec.decode_body(raw, kind)
    if raw.path.startswith('/v1/sessions/'):
        return decode_session(raw)
    if raw.method == 'GET':
        return decode_get(raw)
    raise json_codec.build_not_found(raw)


def decode_get(raw: wire.RawRequest) -> typing.Any:
    """Decode a request for a load report, the audit or cache events."""
    query = dict(parse.parse_qsl(raw.query))
    if raw.path == '/v1/load':
        return calls.ReadLoad()
    if raw.path == '/audit':
        return engine_reports.ReadAudit(query.get('spans') == 'true')
    if raw.path == '/v1/cache-events':
        text = query.get('from', '')
        first = int(text) if text.isdecimal() else None
        return prefix_cache.ReadCacheEvents(first)
    raise json_codec.build_not_found(raw)


def decode_session(raw: wire.RawRequest) -> typing.Any:
    """Decode a request about one session."""
    name, _, action = raw.path.removeprefix('/v1/sessions/').partition('/')
    session = parse.unquote(name)
    if (raw.method, action) == ('DELETE', ''):
        return calls.CloseSession(session)
    if (raw.method, action) == ('POST', 'export'):
        return engine_sessions.ExportSession(session)
    if (raw.method, action) == ('POST', 'import'):
        copy = json_codec.decode_body(raw, engine_sessions.SessionCopy)
        return engine_sessions.ImportSession(session, copy)
    raise json_codec.build_not_found(raw)


def encode_call(call: engine_orders.LeaseCall) -> wire.RawCall:
    """Encode a request to the weight store for a lease."""
    request = weight_store.AcquireLease(call.instance_id, call.units)
    return wire.RawCall('POST', '/v1/leases', msgspec.json.encode(request))


def decode_answer(call: typing.Any, raw: wire.RawAnswer) -> typing.Any:
    """Decode a lease or a refusal.

    An answer that is neither counts as a refusal with the default wait.
    """
    try:
        if raw.status == OK_STATUS:
            return msgspec.json.decode(
                raw.body,
                type=weight_store.LeaseGranted,
            )
        return msgspec.json.decode(raw.body, type=weight_store.LeaseRefused)
    except msgspec.DecodeError:
        return weight_store.LeaseRefused(engine_orders.LEASE_RETRY_SECONDS)


def decode_part(call: typing.Any, line: bytes) -> typing.Any:
    """Raise an error: no call has a streamed answer."""
    raise TypeError(f'{type(call).__name__} is not streamed')
