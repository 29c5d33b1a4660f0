"""Encode the calls of the command-line tool, and decode their answers.

The format is JSON over HTTP.
"""

import functools
import typing
from urllib import parse

import msgspec

from mustardvale.internal import caller_messages
from mustardvale.internal.commands import entry_calls
from mustardvale.internal.edge import codec_upstream, wire

OK_STATUS = 200
MILLISECONDS_PER_SECOND = 1000


class ErrorBody(msgspec.Struct, frozen=True):
    """Define the JSON body of an error of an entry instance."""

    error: entry_calls.EntryRefused


class EndBody(msgspec.Struct, frozen=True):
    """Define the last line of a complete streamed answer."""

    end: bool
    tokens: int
    version: str = ''


@functools.singledispatch
def encode_call(call: typing.Any) -> wire.RawCall:
    """Encode a call; calls to the log use the codec of the daemon."""
    return codec_upstream.encode_call(call)


@functools.singledispatch
def decode_answer(call: typing.Any, raw: wire.RawAnswer) -> typing.Any:
    """Decode the answer to a call, or raise `wire.DecodeError`."""
    return codec_upstream.decode_answer(call, raw)


def decode_part(call: typing.Any, line: bytes) -> typing.Any:
    """Decode a line of a streamed answer.

    A line that does not decode becomes an `EntryRefused`, which ends the
    answer.
    """
    for kind in (caller_messages.TokenPart, EndBody, ErrorBody):
        try:
            part = msgspec.json.decode(line, type=kind)
        except (msgspec.DecodeError, UnicodeDecodeError):
            continue
        return to_stream_part(part)
    return entry_calls.EntryRefused(
        'malformed_answer',
        'the entry instance sent a line that does not decode',
    )


@functools.singledispatch
def to_stream_part(part: typing.Any) -> typing.Any:
    """Convert a decoded line to the type that the reducer handles."""
    return part


@to_stream_part.register(EndBody)
def to_answer_end(part: EndBody) -> caller_messages.AnswerEnd:
    """Convert the last line of a complete answer."""
    return caller_messages.AnswerEnd(part.tokens, part.version)


@to_stream_part.register(ErrorBody)
def to_refusal(part: ErrorBody) -> entry_calls.EntryRefused:
    """Convert an error line."""
    return part.error


def decode_refusal(raw: wire.RawAnswer) -> entry_calls.EntryRefused:
    """Decode an error reply of an entry instance."""
    body: ErrorBody = codec_upstream.decode_json(raw.body, ErrorBody)
    return body.error


def build_caller_headers(
    account_key: str,
    deadline_seconds: float,
) -> tuple[tuple[str, str], ...]:
    """Build the headers for the account key and the deadline."""
    deadline = round(deadline_seconds * MILLISECONDS_PER_SECOND)
    return (
        ('authorization', f'Bearer {account_key}'),
        ('mustardvale-deadline-ms', str(deadline)),
    )


@encode_call.register(entry_calls.ReadStatus)
def encode_status(call: entry_calls.ReadStatus) -> wire.RawCall:
    """Encode a request for the status."""
    return wire.RawCall('GET', '/v1/status')


@decode_answer.register(entry_calls.ReadStatus)
def decode_status(
    call: entry_calls.ReadStatus, raw: wire.RawAnswer
) -> typing.Any:
    """Decode a status."""
    if raw.status != OK_STATUS:
        return decode_refusal(raw)
    return codec_upstream.decode_json(raw.body, caller_messages.Status)


@encode_call.register(entry_calls.ReadEntries)
def encode_entries(call: entry_calls.ReadEntries) -> wire.RawCall:
    """Encode a request for entry addresses."""
    query = parse.urlencode(
        {
            'caller': call.caller_id,
            'availability_zone': call.availability_zone,
        }
    )
    return wire.RawCall('GET', f'/v1/entries?{query}')


@decode_answer.register(entry_calls.ReadEntries)
def decode_entries(
    call: entry_calls.ReadEntries, raw: wire.RawAnswer
) -> typing.Any:
    """Decode entry addresses."""
    if raw.status != OK_STATUS:
        return decode_refusal(raw)
    return codec_upstream.decode_json(raw.body, caller_messages.EntriesFound)


@encode_call.register(entry_calls.AskModel)
def encode_ask(call: entry_calls.AskModel) -> wire.RawCall:
    """Encode a request for a streamed answer."""
    body = {
        'model': call.model,
        'adapter': call.adapter,
        'prompt': call.prompt,
        'maximum_tokens': call.maximum_tokens,
        'delivered': call.delivered,
    }
    return wire.RawCall(
        'POST',
        '/v1/answers',
        msgspec.json.encode(body),
        build_caller_headers(call.account_key, call.deadline_seconds),
        is_streamed=True,
    )


@decode_answer.register(entry_calls.AskModel)
def decode_ask(call: entry_calls.AskModel, raw: wire.RawAnswer) -> typing.Any:
    """Decode a refusal, or report the end of the body."""
    if raw.status != OK_STATUS:
        return decode_refusal(raw)
    return entry_calls.StreamClosed()


@encode_call.register(entry_calls.RunEntryAction)
def encode_act(call: entry_calls.RunEntryAction) -> wire.RawCall:
    """Encode a request to run an operation.

    It uses a new connection: if the instance closes an idle one at the same
    moment, it is uncertain whether it received the request.
    """
    service = parse.quote(call.service, safe='')
    operation = parse.quote(call.operation, safe='')
    return wire.RawCall(
        'POST',
        f'/v1/actions/{service}/{operation}',
        call.body,
        (
            *build_caller_headers(call.account_key, call.deadline_seconds),
            ('idempotency-key', call.idempotency_key),
        ),
        needs_new_connection=True,
    )


@decode_answer.register(entry_calls.RunEntryAction)
def decode_act(
    call: entry_calls.RunEntryAction, raw: wire.RawAnswer
) -> typing.Any:
    """Decode the answer of a service, or the refusal of the instance.

    Only answers of services have the header `Mustardvale-Replayed`.
    """
    if 'mustardvale-replayed' not in raw.headers:
        return decode_refusal(raw)
    return entry_calls.ActionAnswered(raw.status, raw.headers, raw.body)
