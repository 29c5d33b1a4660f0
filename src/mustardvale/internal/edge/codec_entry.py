"""Encode the calls of the command-line tool (HTTP and JSON)."""

import functools
import typing
from urllib import parse

import msgspec

from mustardvale.internal import caller_messages
from mustardvale.internal.commands import entry_calls
from mustardvale.internal.edge import codec_upstream, wire

OK = 200
MILLISECONDS_PER_SECOND = 1000


class ErrorBody(msgspec.Struct, frozen=True):
    """Hold the error body of an entry instance."""

    error: entry_calls.EntryRefused


class EndBody(msgspec.Struct, frozen=True):
    """Hold the last line of a whole answer."""

    end: bool
    tokens: int
    version: str = ''


@functools.singledispatch
def encode_call(call: typing.Any) -> wire.RawCall:
    """Encode a call; those to the log are the same as the daemon's."""
    return codec_upstream.encode_call(call)


@functools.singledispatch
def decode_answer(call: typing.Any, raw: wire.RawAnswer) -> typing.Any:
    """Decode the answer to a call, or raise `wire.DecodeError`."""
    return codec_upstream.decode_answer(call, raw)


def decode_part(call: typing.Any, line: bytes) -> typing.Any:
    """Decode a line of a streamed answer.

    A line of another form ends the answer like an error of the instance.
    """
    for kind in (caller_messages.TokenPart, EndBody, ErrorBody):
        try:
            part = msgspec.json.decode(line, type=kind)
        except (msgspec.DecodeError, UnicodeDecodeError):
            continue
        return to_stream_part(part)
    return entry_calls.EntryRefused(
        'malformed_answer',
        'the entry instance sent a line that is no part of an answer',
    )


@functools.singledispatch
def to_stream_part(part: typing.Any) -> typing.Any:
    """Return a part as the reducer takes it."""
    return part


@to_stream_part.register(EndBody)
def to_answer_end(part: EndBody) -> caller_messages.AnswerEnd:
    """Return the end mark."""
    return caller_messages.AnswerEnd(part.tokens, part.version)


@to_stream_part.register(ErrorBody)
def to_refusal(part: ErrorBody) -> entry_calls.EntryRefused:
    """Return the error."""
    return part.error


def decode_refusal(raw: wire.RawAnswer) -> entry_calls.EntryRefused:
    """Decode an error of an entry instance."""
    body: ErrorBody = codec_upstream.decode_json(raw.body, ErrorBody)
    return body.error


def build_caller_headers(
    account_key: str,
    deadline_seconds: float,
) -> tuple[tuple[str, str], ...]:
    """Return the headers that name the account and the deadline."""
    deadline = round(deadline_seconds * MILLISECONDS_PER_SECOND)
    return (
        ('authorization', f'Bearer {account_key}'),
        ('mustardvale-deadline-ms', str(deadline)),
    )


@encode_call.register(entry_calls.ReadStatus)
def encode_status(call: entry_calls.ReadStatus) -> wire.RawCall:
    """Encode a question for the status."""
    return wire.RawCall('GET', '/v1/status')


@decode_answer.register(entry_calls.ReadStatus)
def decode_status(
    call: entry_calls.ReadStatus, raw: wire.RawAnswer
) -> typing.Any:
    """Decode a status."""
    if raw.status != OK:
        return decode_refusal(raw)
    return codec_upstream.decode_json(raw.body, caller_messages.Status)


@encode_call.register(entry_calls.ReadEntries)
def encode_entries(call: entry_calls.ReadEntries) -> wire.RawCall:
    """Encode a question for entry addresses."""
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
    if raw.status != OK:
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
    """Decode a refusal, or note the end of the body."""
    if raw.status != OK:
        return decode_refusal(raw)
    return entry_calls.StreamClosed()


@encode_call.register(entry_calls.RunEntryAction)
def encode_act(call: entry_calls.RunEntryAction) -> wire.RawCall:
    """Encode an operation."""
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
    """Decode the answer of the service, or the refusal of the instance.

    Only an answer of a service carries the replay header.
    """
    if 'mustardvale-replayed' not in raw.headers:
        return decode_refusal(raw)
    return entry_calls.ActionAnswered(raw.status, raw.headers, raw.body)
