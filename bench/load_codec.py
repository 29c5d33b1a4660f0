"""Encode the calls of the load tool and decode their answers."""

import functools
import typing
from urllib import parse

import msgspec

from bench import load_calls
from mustardvale.internal import caller_messages
from mustardvale.internal.edge import wire

OK_STATUS = 200
MILLISECONDS_PER_SECOND = 1000


class ErrorObject(msgspec.Struct, frozen=True):
    """Hold the error object of the public interface."""

    code: str
    message: str = ''
    outcome: str = ''
    scope: str = ''
    retry_after_seconds: float = 0


class ErrorBody(msgspec.Struct, frozen=True):
    """Hold the body of an error answer."""

    error: ErrorObject


class StreamLine(msgspec.Struct, frozen=True):
    """Hold a line of a streamed answer: a token, the end mark or an error."""

    index: int = -1
    token: str = ''
    end: bool = False
    tokens: int = 0
    version: str = ''
    error: ErrorObject | None = None


def build_malformed_error(message: str) -> load_calls.CallError:
    """Build the error for bytes that are no message of the interface."""
    return load_calls.CallError('malformed', message=message[:200])


def build_error(
    kind: str,
    status: int,
    error: ErrorObject,
) -> load_calls.CallError:
    """Build the error for a decoded error object."""
    return load_calls.CallError(
        kind,
        status,
        error.code,
        error.outcome,
        error.scope,
        error.message,
        error.retry_after_seconds,
    )


def decode_error_body(raw: wire.RawAnswer) -> load_calls.CallError:
    """Decode an error in place of an answer."""
    try:
        body = msgspec.json.decode(raw.body, type=ErrorBody)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return build_malformed_error(f'status {raw.status}: {raw.body!r}')
    return build_error('refused', raw.status, body.error)


def build_common_headers(
    account: str,
    deadline_seconds: float,
) -> tuple[tuple[str, str], ...]:
    """Return the headers of every request."""
    return (
        ('authorization', f'Bearer {account}-key'),
        (
            'mustardvale-deadline-ms',
            str(int(deadline_seconds * MILLISECONDS_PER_SECOND)),
        ),
    )


@functools.singledispatch
def encode_call(call: typing.Any) -> wire.RawCall:
    """Encode a call."""
    raise TypeError(type(call).__name__)


@functools.singledispatch
def decode_answer(call: typing.Any, raw: wire.RawAnswer) -> typing.Any:
    """Decode the answer to a call."""
    raise TypeError(type(call).__name__)


def decode_part(call: typing.Any, line: bytes) -> typing.Any:
    """Decode one line of a model answer."""
    try:
        decoded = msgspec.json.decode(line, type=StreamLine)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return build_malformed_error(repr(line))
    if decoded.error is not None:
        return build_error('cut', OK_STATUS, decoded.error)
    if decoded.end:
        return load_calls.AnswerEnd(decoded.tokens, decoded.version)
    return caller_messages.TokenPart(decoded.index, decoded.token)


@encode_call.register(load_calls.EntriesCall)
def encode_entries_call(call: load_calls.EntriesCall) -> wire.RawCall:
    """Encode a request for entry addresses."""
    query = parse.urlencode(
        {
            'caller': call.caller_id,
            'availability_zone': call.availability_zone,
        }
    )
    return wire.RawCall('GET', f'/v1/entries?{query}')


@decode_answer.register(load_calls.EntriesCall)
def decode_entries_answer(
    call: load_calls.EntriesCall,
    raw: wire.RawAnswer,
) -> caller_messages.EntriesFound | load_calls.CallError:
    """Decode entry addresses."""
    if raw.status != OK_STATUS:
        return decode_error_body(raw)
    try:
        return msgspec.json.decode(raw.body, type=caller_messages.EntriesFound)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return build_malformed_error(repr(raw.body))


@encode_call.register(load_calls.AnswerCall)
def encode_answer_call(call: load_calls.AnswerCall) -> wire.RawCall:
    """Encode a request for a model answer."""
    body = {
        'model': call.model,
        'adapter': call.adapter,
        'prompt': ' '.join(call.prompt),
        'delivered': call.delivered_tokens,
        'maximum_tokens': call.maximum_tokens,
    }
    return wire.RawCall(
        'POST',
        '/v1/answers',
        msgspec.json.encode(body),
        build_common_headers(call.account, call.deadline_seconds),
        is_streamed=True,
    )


@decode_answer.register(load_calls.AnswerCall)
def decode_stream_end(
    call: load_calls.AnswerCall,
    raw: wire.RawAnswer,
) -> load_calls.StreamClosed | load_calls.CallError:
    """Decode the end of a stream, or an error in place of a stream."""
    if raw.status != OK_STATUS:
        return decode_error_body(raw)
    return load_calls.StreamClosed()


@encode_call.register(load_calls.ActionCall)
def encode_action_call(call: load_calls.ActionCall) -> wire.RawCall:
    """Encode a request for an operation."""
    headers = build_common_headers(call.account, call.deadline_seconds)
    if call.idempotency_key:
        headers = (*headers, ('idempotency-key', call.idempotency_key))
    return wire.RawCall(
        'POST',
        f'/v1/actions/{call.service}/{call.operation}',
        call.body,
        headers,
    )


@decode_answer.register(load_calls.ActionCall)
def decode_action_answer(
    call: load_calls.ActionCall,
    raw: wire.RawAnswer,
) -> load_calls.ActionAnswer | load_calls.CallError:
    """Decode the answer of a service, or an error of the entry instance.

    Answers of a service have the header `Mustardvale-Replayed`; errors that
    the entry instance itself returns do not.
    """
    replayed = raw.headers.get('mustardvale-replayed')
    if replayed is None:
        return decode_error_body(raw)
    return load_calls.ActionAnswer(
        raw.status,
        raw.body,
        replayed == 'true',
    )
