"""Encode and decode the records of the log (JSON)."""

import types
import typing

import msgspec

from mustardvale.internal import records

RECORD_TYPES: types.MappingProxyType[str, type[records.Record]] = (
    types.MappingProxyType(
        {
            'promotion': records.Promotion,
            'document_snapshot': records.DocumentSnapshot,
            'action_attempt': records.ActionAttempt,
            'attempt_abandoned': records.AttemptAbandoned,
            'attempt_done': records.AttemptDone,
            'plan_proposal': records.PlanProposal,
            'plan_snapshot': records.PlanSnapshot,
        }
    )
)

KIND_NAMES = types.MappingProxyType(
    {record_type: kind for kind, record_type in RECORD_TYPES.items()}
)


def encode_record(record: records.Record) -> dict[str, typing.Any]:
    """Return the JSON object of a record."""
    return {
        'kind': KIND_NAMES[type(record)],
        'fields': msgspec.to_builtins(record),
    }


def decode_record(candidate: typing.Any) -> records.Record:
    """Return the record of a JSON object.

    A record that does not decode becomes an `UnknownRecord`, so that readers
    continue past records of a newer release.
    """
    kind = candidate.get('kind') if isinstance(candidate, dict) else None
    record_type = RECORD_TYPES.get(str(kind))
    if record_type is None:
        return records.UnknownRecord(str(kind))
    try:
        return msgspec.convert(candidate.get('fields'), record_type)
    except msgspec.ValidationError:
        return records.UnknownRecord(str(kind))
