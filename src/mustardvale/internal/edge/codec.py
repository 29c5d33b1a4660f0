"""Decode the requests of callers and encode replies (HTTP and JSON)."""

import functools
import json
import math
import typing
from urllib import parse

import msgspec

from mustardvale import errors
from mustardvale.internal import caller_messages, pages
from mustardvale.internal.edge import trace_contexts, wire

BEARER_PREFIX = 'Bearer '
MAXIMUM_TOKENS = 4096
MILLISECONDS_PER_SECOND = 1000
# Not longer than the default drain time of a graceful shutdown, so that a
# shutdown interrupts no request.
MAXIMUM_DEADLINE_MS = 600 * MILLISECONDS_PER_SECOND


class AnswerBody(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Define the JSON body of a request for a model answer."""

    model: str
    prompt: str
    maximum_tokens: int
    adapter: str = ''
    delivered: tuple[str, ...] = ()


def decode_request(raw: wire.RawRequest) -> caller_messages.CallerRequest:
    """Decode a request, or raise `wire.DecodeError`."""
    parts = raw.path.strip('/').split('/')
    if raw.method == 'POST' and parts == ['v1', 'answers']:
        return decode_answer_request(raw)
    if raw.method == 'POST' and parts[:2] == ['v1', 'actions']:
        return decode_action_request(parts[2:], raw)
    if raw.method == 'GET':
        return decode_get(raw)
    raise build_not_found_error(raw)


def build_not_found_error(raw: wire.RawRequest) -> wire.DecodeError:
    """Build the error for an unknown path or method."""
    return wire.DecodeError(
        errors.NOT_FOUND.status,
        errors.NOT_FOUND.name,
        f'no {raw.method} on {raw.path}',
    )


def build_malformed_error(message: str) -> wire.DecodeError:
    """Build the error for a request that does not decode."""
    return wire.DecodeError(
        errors.MALFORMED_REQUEST.status,
        errors.MALFORMED_REQUEST.name,
        message,
    )


def decode_common_fields(raw: wire.RawRequest) -> dict[str, typing.Any]:
    """Decode the fields that all requests share."""
    authorization = raw.headers.get('authorization', '')
    return {
        'account_key': authorization.removeprefix(BEARER_PREFIX).strip(),
        'deadline_seconds': decode_deadline(raw),
        'traceparent': trace_contexts.continue_or_start_trace(
            raw.headers.get('traceparent', ''),
        ),
        'caller_address': raw.caller_address,
    }


def decode_deadline(raw: wire.RawRequest) -> float:
    """Decode the deadline of a request in seconds, 0 for none."""
    text = raw.headers.get('mustardvale-deadline-ms', '0')
    if not text.isdecimal() or int(text) > MAXIMUM_DEADLINE_MS:
        raise build_malformed_error(
            'Mustardvale-Deadline-Ms must be a whole number'
            f' up to {MAXIMUM_DEADLINE_MS}',
        )
    return int(text) / MILLISECONDS_PER_SECOND


def decode_answer_request(
    raw: wire.RawRequest,
) -> caller_messages.AnswerRequest:
    """Decode a request for a model answer."""
    try:
        body = msgspec.json.decode(raw.body, type=AnswerBody)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise build_malformed_error(f'body: {error}') from error
    if not 0 < body.maximum_tokens <= MAXIMUM_TOKENS:
        raise build_malformed_error(
            f'maximum_tokens must be 1 to {MAXIMUM_TOKENS}'
        )
    prompt = tuple(body.prompt.split())
    if not prompt:
        raise build_malformed_error('prompt must not be empty')
    return caller_messages.AnswerRequest(
        model=body.model,
        adapter=body.adapter,
        prompt=prompt,
        delivered=body.delivered,
        maximum_tokens=body.maximum_tokens,
        **decode_common_fields(raw),
    )


def decode_action_request(
    parts: list[str],
    raw: wire.RawRequest,
) -> caller_messages.ActionRequest:
    """Decode a request for an operation of a service."""
    if len(parts) != 2:
        raise build_not_found_error(raw)
    return caller_messages.ActionRequest(
        service=parts[0],
        operation=parts[1],
        idempotency_key=raw.headers.get('idempotency-key', ''),
        body=raw.body,
        **decode_common_fields(raw),
    )


def decode_get(raw: wire.RawRequest) -> caller_messages.CallerRequest:
    """Decode a GET request."""
    query = dict(parse.parse_qsl(raw.query))
    common = decode_common_fields(raw)
    if raw.path == '/v1/entries':
        return caller_messages.EntriesRequest(
            caller_id=query.get('caller', ''),
            availability_zone=query.get('availability_zone', ''),
            **common,
        )
    if raw.path == '/v1/status':
        return caller_messages.StatusRequest(**common)
    if raw.path == '/readyz':
        return caller_messages.ReadinessRequest(**common)
    if raw.path == '/livez':
        return caller_messages.LivenessRequest(**common)
    if raw.path == '/metrics':
        return caller_messages.MetricsRequest(**common)
    if raw.path == '/v1/spans':
        return caller_messages.SpansRequest(**common)
    raise build_not_found_error(raw)


@functools.singledispatch
def encode_reply(reply: typing.Any) -> wire.RawReply:
    """Encode a complete reply as JSON."""
    return wire.RawReply(200, msgspec.json.encode(reply))


@encode_reply.register(caller_messages.RequestError)
def encode_request_error(reply: caller_messages.RequestError) -> wire.RawReply:
    """Encode an error with its code, outcome and remedy."""
    headers: tuple[tuple[str, str], ...] = ()
    if reply.retry_after_seconds:
        seconds = math.ceil(reply.retry_after_seconds)
        headers = (('Retry-After', str(seconds)),)
    return wire.RawReply(
        reply.code.status,
        msgspec.json.encode({'error': describe_error(reply)}),
        headers,
    )


def describe_error(
    reply: caller_messages.RequestError,
) -> dict[str, typing.Any]:
    """Return the JSON object of an error."""
    return {
        'code': reply.code.name,
        'message': reply.message,
        'outcome': reply.outcome.value,
        'scope': reply.scope.value,
        'retry_after_seconds': reply.retry_after_seconds,
        'remedy': reply.code.remedy,
    }


@encode_reply.register(caller_messages.ActionDone)
def encode_action_done(reply: caller_messages.ActionDone) -> wire.RawReply:
    """Encode the answer of a service unchanged."""
    replayed = str(reply.replayed).lower()
    return wire.RawReply(
        reply.status,
        reply.body,
        (('Mustardvale-Replayed', replayed),),
        reply.content_type,
    )


@encode_reply.register(caller_messages.Readiness)
def encode_readiness(reply: caller_messages.Readiness) -> wire.RawReply:
    """Encode readiness: status 200 if ready, else 503."""
    return wire.RawReply(
        200 if reply.ready else 503,
        msgspec.json.encode(reply),
    )


@encode_reply.register(pages.Text)
def encode_text(reply: pages.Text) -> wire.RawReply:
    """Encode a text page."""
    return wire.RawReply(200, reply.text, content_type=reply.content_type)


@functools.singledispatch
def encode_part(part: typing.Any) -> bytes:
    """Encode one line of a streamed answer."""
    return msgspec.json.encode(part) + b'\n'


@encode_part.register(caller_messages.AnswerEnd)
def encode_answer_end(part: caller_messages.AnswerEnd) -> bytes:
    """Encode the last line of a complete answer."""
    end = {'end': True, 'tokens': part.tokens, 'version': part.version}
    return msgspec.json.encode(end) + b'\n'


@encode_part.register(caller_messages.RequestError)
def encode_error_part(part: caller_messages.RequestError) -> bytes:
    """Encode the last line of an answer that failed."""
    return msgspec.json.encode({'error': describe_error(part)}) + b'\n'


def encode_error(error: wire.DecodeError) -> wire.RawReply:
    """Encode the error reply to a request that did not decode."""
    code = find_error_code(error.code)
    body = {
        'error': {
            'code': error.code,
            'message': error.message,
            'outcome': code.outcomes[0].value,
            'scope': errors.Scope.CALL.value,
            'retry_after_seconds': 0,
            'remedy': code.remedy,
        },
    }
    return wire.RawReply(error.status, json.dumps(body).encode())


def find_error_code(name: str) -> errors.ErrorCode:
    """Return the error code with a name, or `INTERNAL_ERROR`."""
    return next(
        (code for code in errors.ALL_CODES if code.name == name),
        errors.INTERNAL_ERROR,
    )
