"""Encode orders to runners, and decode their entries and reports."""

import math
import typing

import msgspec

from mustardvale.internal import addresses
from mustardvale.internal.edge import relay_wire, wire
from mustardvale.internal.relay import calls, runners
from mustardvale.platform import configuration_codec, front_codec

JsonObject: typing.TypeAlias = 'dict[str, typing.Any]'

# Errors that decoding JSON of an unexpected form raises.
DECODING_ERRORS = configuration_codec.DECODING_ERRORS

MAXIMUM_ID_LENGTH = 255
MAXIMUM_INTEGER = 2**63 - 1
# Placement and chains count single layers. This is far above any model.
MAXIMUM_LAYER_COUNT = 10_000

ACCEPTED_STATUS = 202
OK_STATUS = 200
CONFLICT_STATUS = 409
NOT_FOUND_STATUS = 404


def decode_entry(runner_id: str, encoded: bytes) -> runners.ListedRunner | None:
    """Decode an entry of the runner list, or return `None` if invalid."""
    try:
        return decode_entry_fields(
            check_runner_id(runner_id), msgspec.json.decode(encoded)
        )
    except DECODING_ERRORS:
        return None


def decode_entry_fields(
    runner_id: str, decoded: JsonObject
) -> runners.ListedRunner:
    """Decode the fields of an entry, or raise one of `DECODING_ERRORS`.

    `born` is the start time of the runner, in milliseconds since the epoch, and
    `seq` counts its heartbeats.
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
        sequence=check_integer(decoded.get('seq', 0)),
    )


def check_listed(
    runner_id: str, entry: runners.ListedRunner | None
) -> runners.ListedRunner | None:
    """Return the entry that another instance has read, or `None` if invalid."""
    if entry is None:
        return None
    layers = entry.layers
    fields = {
        'service': entry.service,
        'address': entry.address,
        'zone': entry.availability_zone,
        'state': entry.state.value,
        'born': entry.started_at_ms,
        'slots': entry.slots,
        'kind': entry.accelerator,
        'layers': layers and {'source': layers.first, 'target': layers.end},
        'seq': entry.sequence,
    }
    try:
        return decode_entry_fields(check_runner_id(runner_id), fields)
    except DECODING_ERRORS:
        return None


def decode_layers(rows: typing.Any) -> runners.LayerRange | None:
    """Decode the layers that a runner holds; `target` is exclusive."""
    if not rows:
        return None
    row = rows[0] if isinstance(rows, list) else rows
    layers = runners.LayerRange(
        check_integer(row['source']),
        check_integer(row['target'], MAXIMUM_LAYER_COUNT),
    )
    return layers if layers.count > 0 else None


def check_runner_id(runner_id: str) -> str:
    """Return an id that can be sent in a header, or raise `ValueError`."""
    is_word = runner_id.isascii() and runner_id.isprintable()
    is_short = 0 < len(runner_id) <= MAXIMUM_ID_LENGTH
    if not is_word or not is_short or ' ' in runner_id:
        raise ValueError(f'{runner_id[:MAXIMUM_ID_LENGTH]!r} is not an id')
    return runner_id


def check_string(raw_value: typing.Any) -> str:
    """Return a string that is not empty, or raise `TypeError`."""
    if not isinstance(raw_value, str) or not raw_value:
        raise TypeError(
            'expected a string that is not empty, got'
            f' {type(raw_value).__name__}'
        )
    return raw_value


def check_integer(raw_value: typing.Any, maximum: int = MAXIMUM_INTEGER) -> int:
    """Return an integer from 0 on, or raise `TypeError` or `ValueError`."""
    if not isinstance(raw_value, int) or isinstance(raw_value, bool):
        raise TypeError(f'expected an integer, got {type(raw_value).__name__}')
    if not 0 <= raw_value <= maximum:
        raise ValueError(f'the integer is not from 0 to {maximum}')
    return raw_value


def check_factor(raw_value: typing.Any) -> float:
    """Return a finite factor above 0, or raise `TypeError` or `ValueError`."""
    if not isinstance(raw_value, (int, float)):
        raise TypeError(f'expected a number, got {type(raw_value).__name__}')
    factor = float(raw_value)
    if not 0 < factor < math.inf:
        raise ValueError(f'{factor} is not a factor')
    return factor


def check_address(raw_value: typing.Any) -> str:
    """Return an `IPv4:port`, or raise `TypeError` or `ValueError`."""
    address = check_string(raw_value)
    if not addresses.is_address(address):
        raise ValueError(f'{address!r}: {addresses.EXPECTED_FORM}')
    return address


def decode_report(raw: wire.RawAnswer) -> calls.RunnerReport:
    """Decode the report of a runner.

    `seq` counts its orders, and `busy` tells whether one is in progress.
    """
    try:
        decoded = msgspec.json.decode(raw.body)
        return calls.RunnerReport(
            order_count=check_integer(decoded['seq']),
            has_active_order=bool(decoded['busy']),
            slowdown=check_factor(decoded.get('pace') or 1),
            stalled=tuple(
                calls.StalledRequest(
                    check_string(row['id']), check_string(row['address'])
                )
                for row in decoded.get('stalled') or ()
            ),
            announcement=front_codec.decode_announcement(
                relay_wire.ReceivedHead(raw.status, tuple(raw.headers.items()))
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
