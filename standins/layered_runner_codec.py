"""Decode requests to the runner stand-ins and encode their messages."""

import functools
import json
import struct
import typing
from urllib import parse

import msgspec

from mustardvale.internal.edge import relay_wire, wire
from standins import json_codec, runner_messages

RECORD_LENGTH = struct.Struct('>I')
ENTRY_TARGET = '/api/log-append?topic=keyed.servers&part=0'
CONTROL_LISTENER = 'control'
OK_STATUS = 200


def decode_request(received: relay_wire.ReceivedRequest) -> typing.Any:
    """Decode a request, or raise `wire.DecodeError`.

    The listener has the id of its runner as its name; faults are set through
    the control listener.
    """
    path = parse.urlsplit(received.target).path
    try:
        if received.listener == CONTROL_LISTENER:
            return msgspec.json.decode(
                received.body, type=runner_messages.Faults
            )
        if path == '/api/report':
            return runner_messages.ReadReport(
                received.listener, get_expected_runner(received)
            )
        if path == '/api/order':
            return decode_order(received)
        return decode_run(received)
    except (KeyError, ValueError, msgspec.DecodeError) as error:
        raise wire.DecodeError(400, 'malformed', repr(error)) from error


def get_expected_runner(received: relay_wire.ReceivedRequest) -> str:
    """Return the id of the runner that the request is meant for, or ''."""
    return dict(received.headers).get('expect-instance', '')


def decode_order(received: relay_wire.ReceivedRequest) -> typing.Any:
    """Decode an order to place layers or to move a request."""
    order = json.loads(received.body)
    if order['op'] == 'place':
        return runner_messages.PlaceLayers(
            received.listener,
            get_expected_runner(received),
            order['source'],
            order['target'],
            order.get('precondition'),
        )
    return runner_messages.MoveRequest(
        received.listener,
        get_expected_runner(received),
        order['id'],
        decode_chain(order['path']),
    )


def decode_run(
    received: relay_wire.ReceivedRequest,
) -> runner_messages.RunRequest:
    """Decode a request for the runner to run."""
    headers = dict(received.headers)
    last, deadline = (
        headers.get('last-event-id'),
        headers.get('deadline-ms'),
    )
    return runner_messages.RunRequest(
        received.listener,
        headers.get('attempt-id', ''),
        received.method,
        received.target,
        received.body,
        headers.get('tenant', ''),
        'api-key' in headers,
        get_expected_runner(received),
        int(deadline) if deadline else None,
        decode_chain(headers.get('hop-count', '')),
        int(last) if last else None,
    )


def decode_chain(text: str) -> tuple[runner_messages.ChainPart, ...]:
    """Decode a chain: parts `address=first-end`, separated by commas."""
    parts = []
    for row in filter(None, text.split(',')):
        address, _, layers = row.partition('=')
        first, _, end = layers.partition('-')
        parts.append(runner_messages.ChainPart(address, int(first), int(end)))
    return tuple(parts)


@functools.singledispatch
def encode_reply(reply: typing.Any) -> tuple[relay_wire.ReplyHead, bytes]:
    """Encode a complete answer."""
    raise TypeError(type(reply).__name__)


@encode_reply.register(json_codec.Done)
def encode_done(
    reply: json_codec.Done,
) -> tuple[relay_wire.ReplyHead, bytes]:
    """Encode a confirmation."""
    return relay_wire.ReplyHead(OK_STATUS), b'{}'


@encode_reply.register(runner_messages.Refusal)
def encode_refusal(
    reply: runner_messages.Refusal,
) -> tuple[relay_wire.ReplyHead, bytes]:
    """Encode a refusal with the header that says that nothing was run."""
    headers: relay_wire.Headers = (
        ('Not-Executed', '1'),
        ('At-Server', reply.at_fault),
    )
    if reply.attempt_id:
        headers += (('Attempt-Id', reply.attempt_id),)
    if reply.retry_after_seconds:
        headers += (('Retry-After', str(reply.retry_after_seconds)),)
    headers += build_leaving_headers(reply.is_leaving)
    return relay_wire.ReplyHead(reply.status, headers), b''


@encode_reply.register(runner_messages.OrderReply)
def encode_order_reply(
    reply: runner_messages.OrderReply,
) -> tuple[relay_wire.ReplyHead, bytes]:
    """Encode the answer to an order, with the address that prevents it."""
    body = json.dumps({'address': reply.at_fault} if reply.at_fault else {})
    return relay_wire.ReplyHead(reply.status), body.encode()


@encode_reply.register(runner_messages.WholeAnswer)
def encode_whole_answer(
    reply: runner_messages.WholeAnswer,
) -> tuple[relay_wire.ReplyHead, bytes]:
    """Encode the answer of a plain service."""
    return relay_wire.ReplyHead(
        OK_STATUS, build_answer_headers(reply)
    ), reply.body


@encode_reply.register(runner_messages.Report)
def encode_report(
    reply: runner_messages.Report,
) -> tuple[relay_wire.ReplyHead, bytes]:
    """Encode the report of a runner."""
    fields = {
        'seq': reply.runner.order_count,
        'busy': reply.runner.loading,
        'pace': 1.0,
        'born': reply.runner.started_at_ms,
        'stalled': [
            {'id': attempt_id, 'address': address}
            for attempt_id, address in reply.stalled
        ],
    }
    headers = build_leaving_headers(reply.runner.faults.leaving)
    return relay_wire.ReplyHead(OK_STATUS, headers), json.dumps(fields).encode()


def build_leaving_headers(is_leaving: bool) -> relay_wire.Headers:
    """Return the header with which a runner says that it leaves, if it does."""
    return (('Server-Leaving', '1'),) if is_leaving else ()


def build_answer_headers(
    reply: runner_messages.WholeAnswer | runner_messages.StreamHead,
) -> tuple[tuple[str, str], ...]:
    """Return the headers that tell which attempt and runner made an answer."""
    return (
        ('Attempt-Id', reply.attempt_id),
        ('Server-Stamp', reply.stamp),
        *build_leaving_headers(reply.is_leaving),
    )


def encode_head(head: runner_messages.StreamHead) -> relay_wire.ReplyHead:
    """Encode the head of an event stream."""
    kind = ('Content-Type', 'text/event-stream')
    return relay_wire.ReplyHead(OK_STATUS, (kind, *build_answer_headers(head)))


def encode_error(
    status: int, code: str, message: str
) -> tuple[relay_wire.ReplyHead, bytes]:
    """Encode the answer to a request that did not decode."""
    body = json.dumps({'error': code, 'message': message}).encode()
    return relay_wire.ReplyHead(status, (('Not-Executed', '1'),)), body


def encode_call(call: runner_messages.WriteEntries) -> wire.RawCall:
    """Encode entries as records, each preceded by its length and key."""
    body = b''
    for runner in call.runners:
        key = runner.runner_id.encode()
        record = bytes((len(key),)) + key + encode_entry(runner)
        body += RECORD_LENGTH.pack(len(record)) + record
    return wire.RawCall('POST', ENTRY_TARGET, body)


def encode_entry(runner: runner_messages.Runner) -> bytes:
    """Encode the entry of a runner in the runner list."""
    fields: dict[str, typing.Any] = {
        'service': runner.service,
        'address': runner.address,
        'zone': runner.zone,
        'slots': runner.slots,
        'state': 'draining' if runner.faults.draining else 'ready',
        'born': runner.started_at_ms,
    }
    if runner.accelerator:
        fields['kind'] = runner.accelerator
    if runner.layers is not None:
        first, end = runner.layers
        fields['layers'] = [{'source': first, 'target': end}]
    return json.dumps(fields).encode()


def decode_answer(
    call: runner_messages.WriteEntries, raw: wire.RawAnswer
) -> int:
    """Return the HTTP status of a write."""
    return raw.status


def decode_part(call: runner_messages.WriteEntries, line: bytes) -> None:
    """Raise an error: no call has a streamed answer."""
    raise wire.DecodeError(0, 'answer', 'no call has a streamed answer')
