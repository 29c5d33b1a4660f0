"""Encode orders to runners, and decode their entries and reports."""

import typing

import msgspec

from mustardvale.internal.edge import wire
from mustardvale.internal.relay import calls, runners
from mustardvale.platform import configuration_codec, front_codec

JsonObject: typing.TypeAlias = 'dict[str, typing.Any]'

# Errors that decoding JSON of an unexpected form raises.
DECODING_ERRORS = configuration_codec.DECODING_ERRORS

ACCEPTED_STATUS = 202
OK_STATUS = 200
CONFLICT_STATUS = 409
NOT_FOUND_STATUS = 404


def decode_entry(runner_id: str, encoded: bytes) -> runners.ListedRunner | None:
    """Decode an entry of the runner list, or return `None` if invalid."""
    try:
        return decode_entry_fields(runner_id, msgspec.json.decode(encoded))
    except DECODING_ERRORS:
        return None


def decode_entry_fields(
    runner_id: str, decoded: JsonObject
) -> runners.ListedRunner:
    """Decode the fields of an entry, or raise one of `DECODING_ERRORS`.

    `born` is the start time of the runner, in milliseconds since the epoch.
    """
    kind = decoded.get('kind', '')
    return runners.ListedRunner(
        runner_id=runner_id,
        service=check_string(decoded['service']),
        address=check_address(decoded['address']),
        availability_zone=check_string(decoded['zone']),
        state=runners.ListedState(decoded['state']),
        started_at_ms=check_integer(decoded.get('born', 0)),
        slots=check_integer(decoded.get('slots', 0)),
        accelerator=check_string(kind) if kind else '',
        layers=decode_layers(decoded.get('layers')),
    )


def decode_layers(rows: typing.Any) -> runners.LayerRange | None:
    """Decode the layers that a runner holds; `target` is exclusive."""
    if not rows:
        return None
    row = rows[0] if isinstance(rows, list) else rows
    layers = runners.LayerRange(
        check_integer(row['source']), check_integer(row['target'])
    )
    return layers if layers.count > 0 else None


def check_string(raw_value: typing.Any) -> str:
    """Return a string that is not empty, or raise `TypeError`."""
    if not isinstance(raw_value, str) or not raw_value:
        raise TypeError(
            'expected a string that is not empty, got'
            f' {type(raw_value).__name__}'
        )
    return raw_value


def check_integer(raw_value: typing.Any) -> int:
    """Return an integer that is not a boolean, or raise `TypeError`."""
    if not isinstance(raw_value, int) or isinstance(raw_value, bool):
        raise TypeError(f'expected an integer, got {type(raw_value).__name__}')
    return raw_value


def check_address(raw_value: typing.Any) -> str:
    """Return an `IPv4:port`, or raise `TypeError` or `ValueError`."""
    host, _, port = check_string(raw_value).rpartition(':')
    octets = host.split('.')
    if len(octets) != 4 or not all(octet.isdecimal() for octet in octets):
        raise ValueError(f'{host!r} is not an IPv4 address')
    if not 0 < int(port) < 65536:
        raise ValueError(f'{port!r} is not a port number')
    return str(raw_value)


def decode_report(raw: wire.RawAnswer) -> calls.RunnerReport:
    """Decode the report of a runner.

    `seq` counts its orders, and `busy` tells whether one is in progress.
    """
    try:
        decoded = msgspec.json.decode(raw.body)
        return calls.RunnerReport(
            order_count=check_integer(decoded['seq']),
            has_active_order=bool(decoded['busy']),
            slowdown=float(decoded.get('pace') or 1),
            stalled=tuple(
                calls.StalledRequest(row['id'], row['address'])
                for row in decoded.get('stalled') or ()
            ),
        )
    except DECODING_ERRORS as error:
        raise wire.DecodeError(
            0, 'report', f'report does not decode: {error!r}'
        ) from error


def encode_placement(call: calls.PlaceLayers) -> wire.RawCall:
    """Encode an order to hold layers.

    The runner refuses it if its order count differs from `precondition`.
    """
    return encode_order(
        call.runner_id,
        {
            'op': 'place',
            'source': call.layers.first,
            'target': call.layers.end,
            'method': 'wait',
            'precondition': call.order_count,
        },
    )


def encode_move(call: calls.MoveRequest) -> wire.RawCall:
    """Encode an order to continue a request on another chain."""
    return encode_order(
        call.runner_id,
        {
            'op': 'repath',
            'id': call.attempt_id,
            'path': front_codec.encode_chain(call.chain),
        },
    )


def encode_order(runner_id: str, body: JsonObject) -> wire.RawCall:
    """Encode an order to one runner.

    The answer does not name its order. On a reused connection it could be a
    second copy of the answer to an earlier order.
    """
    return wire.RawCall(
        'POST',
        '/api/order',
        msgspec.json.encode(body),
        (('Expect-Instance', runner_id),),
        needs_new_connection=True,
    )


def decode_order_answer(raw: wire.RawAnswer) -> calls.OrderAnswer:
    """Decode a runner's answer to an order."""
    verdicts = {
        ACCEPTED_STATUS: calls.OrderVerdict.ACCEPTED,
        OK_STATUS: calls.OrderVerdict.ALREADY_DONE,
        CONFLICT_STATUS: calls.OrderVerdict.CONFLICT,
        NOT_FOUND_STATUS: calls.OrderVerdict.UNKNOWN_REQUEST,
    }
    return calls.OrderAnswer(
        verdicts.get(raw.status, calls.OrderVerdict.REFUSED),
        decode_fault_address(raw.body),
    )


def decode_fault_address(body: bytes) -> str:
    """Return the address that a refusal names, or an empty string."""
    try:
        decoded = msgspec.json.decode(body) if body else {}
    except DECODING_ERRORS:
        return ''
    address = decoded.get('address', '') if isinstance(decoded, dict) else ''
    return address if isinstance(address, str) else ''
