"""Encode calls to upstreams and the platform, and decode their answers.

The format is JSON over HTTP.
"""

import functools
import typing
from urllib import parse

import msgspec

from mustardvale.internal import calls, records
from mustardvale.internal.edge import codec_records, wire

OK_STATUS = 200
MILLISECONDS_PER_SECOND = 1000
UNAVAILABLE_STATUS = 503
TOO_MANY_REQUESTS_STATUS = 429
DEFAULT_RETRY_SECONDS = 5.0


class StoredRecordBody(msgspec.Struct, frozen=True):
    """Define the JSON object of one record of the log service."""

    offset: int
    appended_at: float
    record: typing.Any


class LeaseBody(msgspec.Struct, frozen=True):
    """Define the JSON body of a lease, which expires after `seconds`."""

    lease: str
    seconds: float


class ReadBody(msgspec.Struct, frozen=True):
    """Define the JSON body of the answer to a read of the log service."""

    records: tuple[StoredRecordBody, ...]
    earliest_offset: int
    next_offset: int


def decode_json(body: bytes, kind: type[typing.Any]) -> typing.Any:
    """Decode JSON into a type, or raise `wire.DecodeError`."""
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise wire.DecodeError(502, 'malformed_answer', str(error)) from error


def is_leaving(raw: wire.RawAnswer) -> bool:
    """Return whether an upstream announces that it leaves."""
    return raw.headers.get('mustardvale-leaving', '') == 'true'


@functools.singledispatch
def encode_call(call: typing.Any) -> wire.RawCall:
    """Encode a call."""
    raise TypeError(f'no encoding for {type(call).__name__}')


@functools.singledispatch
def decode_answer(call: typing.Any, raw: wire.RawAnswer) -> typing.Any:
    """Decode the answer to a call, or raise `wire.DecodeError`."""
    raise TypeError(f'no decoding for {type(call).__name__}')


def decode_part(call: typing.Any, line: bytes) -> typing.Any:
    """Raise an error: no call has a streamed answer."""
    raise TypeError(f'{type(call).__name__} is not streamed')


def decode_platform_refusal(raw: wire.RawAnswer) -> calls.PlatformRefused:
    """Decode an error reply of the platform."""
    return calls.PlatformRefused(raw.status, raw.body[:200].decode('latin-1'))


@encode_call.register(calls.RunSteps)
def encode_run_steps(call: calls.RunSteps) -> wire.RawCall:
    """Encode a request to run steps."""
    return wire.RawCall('POST', '/v1/steps', msgspec.json.encode(call))


@decode_answer.register(calls.RunSteps)
def decode_run_steps(
    call: calls.RunSteps,
    raw: wire.RawAnswer,
) -> calls.StepsRun | calls.StepsRefused:
    """Decode the results of steps."""
    if raw.status != OK_STATUS:
        return calls.StepsRefused(raw.status, is_leaving(raw))
    answer: calls.StepsRun = decode_json(raw.body, calls.StepsRun)
    if len(answer.results) != len(call.steps):
        raise wire.DecodeError(
            502,
            'malformed_answer',
            f'{len(answer.results)} results to {len(call.steps)} steps',
        )
    return answer


@encode_call.register(calls.CloseSession)
def encode_close_session(call: calls.CloseSession) -> wire.RawCall:
    """Encode a request to close a session."""
    session = parse.quote(call.session, safe='')
    return wire.RawCall('DELETE', f'/v1/sessions/{session}')


@decode_answer.register(calls.CloseSession)
def decode_close_session(
    call: calls.CloseSession,
    raw: wire.RawAnswer,
) -> calls.SessionClosed:
    """Decode the confirmation; closing an unknown session is no error."""
    return calls.SessionClosed()


@encode_call.register(calls.ReadLoad)
def encode_read_load(call: calls.ReadLoad) -> wire.RawCall:
    """Encode a request for a load report."""
    return wire.RawCall('GET', '/v1/load')


@decode_answer.register(calls.ReadLoad)
def decode_read_load(
    call: calls.ReadLoad,
    raw: wire.RawAnswer,
) -> calls.LoadReport | calls.PlatformRefused:
    """Decode a load report."""
    if raw.status != OK_STATUS:
        return decode_platform_refusal(raw)
    report: calls.LoadReport = decode_json(raw.body, calls.LoadReport)
    return report


@encode_call.register(calls.ReadCacheEvents)
def encode_cache_events(call: calls.ReadCacheEvents) -> wire.RawCall:
    """Encode a request for cache events."""
    if call.from_sequence == calls.FULL_SET_SEQUENCE:
        return wire.RawCall('GET', '/v1/cache-events')
    return wire.RawCall('GET', f'/v1/cache-events?from={call.from_sequence}')


@decode_answer.register(calls.ReadCacheEvents)
def decode_cache_events(
    call: calls.ReadCacheEvents,
    raw: wire.RawAnswer,
) -> calls.CacheEventsRead | calls.PlatformRefused:
    """Decode cache events; engines that report none answer 404."""
    if raw.status != OK_STATUS:
        return decode_platform_refusal(raw)
    answer: calls.CacheEventsRead = decode_json(
        raw.body,
        calls.CacheEventsRead,
    )
    return answer


@encode_call.register(calls.RequestLease)
def encode_lease(call: calls.RequestLease) -> wire.RawCall:
    """Encode a request for a lease."""
    body = {'holder': call.instance_id, 'units': call.units}
    return wire.RawCall('POST', '/v1/leases', msgspec.json.encode(body))


@decode_answer.register(calls.RequestLease)
def decode_lease(
    call: calls.RequestLease,
    raw: wire.RawAnswer,
) -> calls.LeaseGranted | calls.LeaseDenied | calls.PlatformRefused:
    """Decode a lease, or the time to wait before the next request."""
    if raw.status == TOO_MANY_REQUESTS_STATUS:
        return calls.LeaseDenied(decode_retry_after(raw))
    if raw.status != OK_STATUS:
        return decode_platform_refusal(raw)
    granted: LeaseBody = decode_json(raw.body, LeaseBody)
    return calls.LeaseGranted(granted.lease, granted.seconds)


def decode_retry_after(raw: wire.RawAnswer) -> float:
    """Decode the header `Retry-After` in seconds.

    A value that is no number counts as `DEFAULT_RETRY_SECONDS`.
    """
    try:
        seconds = float(raw.headers.get('retry-after', ''))
    except ValueError:
        return DEFAULT_RETRY_SECONDS
    return max(seconds, 0)


@encode_call.register(calls.SendOrder)
def encode_order(call: calls.SendOrder) -> wire.RawCall:
    """Encode an order to a runner."""
    body = msgspec.to_builtins(call)
    body.pop('instance_id')
    body['lease'] = body.pop('lease_id')
    return wire.RawCall('POST', '/v1/orders', msgspec.json.encode(body))


@decode_answer.register(calls.SendOrder)
def decode_order(
    call: calls.SendOrder,
    raw: wire.RawAnswer,
) -> calls.OrderAccepted | calls.PlatformRefused:
    """Decode the answer of a runner to an order."""
    if raw.status == OK_STATUS:
        return calls.OrderAccepted()
    return decode_platform_refusal(raw)


@encode_call.register(calls.RunAction)
def encode_run_action(call: calls.RunAction) -> wire.RawCall:
    """Encode a request to run an operation of a service.

    An operation that must not run twice, and so has an attempt id, uses a new
    connection: if the service closes an idle one at the same moment, it is
    uncertain whether it received the request.
    """
    operation = parse.quote(call.operation, safe='')
    return wire.RawCall(
        'POST',
        f'/v1/operations/{operation}',
        call.body,
        (
            ('idempotency-key', call.idempotency_key),
            ('mustardvale-request', call.request_id),
            ('mustardvale-attempt', call.attempt_id),
            ('traceparent', call.traceparent),
        ),
        needs_new_connection=bool(call.attempt_id),
    )


@decode_answer.register(calls.RunAction)
def decode_run_action(
    call: calls.RunAction,
    raw: wire.RawAnswer,
) -> calls.ActionAnswer:
    """Decode the answer of a service; the body stays as it is."""
    return calls.ActionAnswer(
        raw.status,
        raw.body,
        raw.headers.get('content-type', 'application/json'),
        is_leaving=raw.status == UNAVAILABLE_STATUS and is_leaving(raw),
    )


@encode_call.register(calls.AppendRecords)
def encode_append(call: calls.AppendRecords) -> wire.RawCall:
    """Encode a request to append records."""
    body = {
        'records': [
            codec_records.encode_record(record) for record in call.records
        ]
    }
    return wire.RawCall(
        'POST',
        f'/v1/streams/{call.stream.name}/records',
        msgspec.json.encode(body),
    )


@decode_answer.register(calls.AppendRecords)
def decode_append(
    call: calls.AppendRecords,
    raw: wire.RawAnswer,
) -> calls.RecordsAppended | calls.PlatformRefused:
    """Decode the offset of appended records."""
    if raw.status != OK_STATUS:
        return decode_platform_refusal(raw)
    answer: calls.RecordsAppended = decode_json(
        raw.body,
        calls.RecordsAppended,
    )
    return answer


@encode_call.register(calls.ReadRecords)
def encode_read(call: calls.ReadRecords) -> wire.RawCall:
    """Encode a request to read records of a stream."""
    query = parse.urlencode(
        {
            'from': call.from_offset,
            'limit': call.limit,
            'wait_ms': int(call.wait_seconds * MILLISECONDS_PER_SECOND),
        }
    )
    return wire.RawCall(
        'GET', f'/v1/streams/{call.stream.name}/records?{query}'
    )


@decode_answer.register(calls.ReadRecords)
def decode_read(
    call: calls.ReadRecords,
    raw: wire.RawAnswer,
) -> calls.RecordsRead | calls.PlatformRefused:
    """Decode the records that were read."""
    if raw.status != OK_STATUS:
        return decode_platform_refusal(raw)
    body: ReadBody = decode_json(raw.body, ReadBody)
    return calls.RecordsRead(
        tuple(
            records.StoredRecord(
                stored.offset,
                stored.appended_at,
                codec_records.decode_record(stored.record),
            )
            for stored in body.records
        ),
        body.earliest_offset,
        body.next_offset,
    )


@encode_call.register(calls.ListInstances)
def encode_list(call: calls.ListInstances) -> wire.RawCall:
    """Encode a request for the instance list."""
    return wire.RawCall('GET', '/v1/instances')


@decode_answer.register(calls.ListInstances)
def decode_list(
    call: calls.ListInstances,
    raw: wire.RawAnswer,
) -> calls.InstancesListed | calls.PlatformRefused:
    """Decode the instance list."""
    if raw.status != OK_STATUS:
        return decode_platform_refusal(raw)
    answer: calls.InstancesListed = decode_json(
        raw.body,
        calls.InstancesListed,
    )
    return answer
