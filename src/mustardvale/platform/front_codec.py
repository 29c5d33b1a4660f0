"""Encode and decode requests of callers, their answers, and relayed requests."""

import functools
import re
import types
import typing
from collections import abc
from urllib import parse

import msgspec

from mustardvale.internal import pages
from mustardvale.internal.edge import relay_wire, wire
from mustardvale.internal.relay import requests

# Names of the listeners.
FRONT = 'front'
READINESS = 'readiness'
DIRECTORY = 'directory'
METRICS = 'metrics'

# Names of headers, in lower case.
ATTEMPT_ID = 'attempt-id'
# The time that the caller waits, in milliseconds from the request's arrival.
DEADLINE_MS = 'deadline-ms'
API_KEY = 'api-key'
TENANT = 'tenant'
LAST_EVENT = 'last-event-id'
MODEL = 'model'
TOKEN_COUNT = 'token-count'
LENGTH_HINT = 'length-hint'
# The parts of a prompt in order, as `id:tokens` separated by commas. The last
# one belongs to the request itself.
PROMPT_PARTS = 'prompt-prefix'
EXPECTED_RUNNER = 'expect-instance'
CHAIN = 'hop-count'
URGENCY = 'request-urgency'
# Proof that a runner created the answer.
PROOF = 'server-stamp'
NOT_RUN = 'not-executed'
FAULT_ADDRESS = 'at-server'
CONNECTION = 'connection'
# An upstream that is about to exit says so with the value 1.
LEAVING = 'server-leaving'
RETRY_AFTER = 'retry-after'

# Headers that apply to one connection only, or that are set again from the
# length of the body.
CONNECTION_HEADERS = frozenset(
    (
        CONNECTION,
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)
# Headers of callers that are dropped, because this instance sets them itself.
REPLACED_HEADERS = frozenset(
    (API_KEY, TENANT, DEADLINE_MS, EXPECTED_RUNNER, CHAIN, URGENCY, LAST_EVENT),
)
OK_STATUS = 200
MISDIRECTED_STATUS = 421
# Statuses of refusals that may name a time to wait.
WAIT_STATUSES = frozenset((429, 503))
# Whole seconds or a decimal fraction, as opposed to a date.
SECONDS_PATTERN = re.compile(r'[0-9]{1,9}([.][0-9]{1,9})?')
EVENT_STREAM_TYPE = 'text/event-stream'
MILLISECONDS_PER_SECOND = 1000
MAXIMUM_NUMBER_LENGTH = 18
MAXIMUM_SHARED_PARTS = 16
MAXIMUM_PART_ID_LENGTH = 64


def decode_request(received: relay_wire.ReceivedRequest) -> typing.Any:
    """Decode a request with the decoder of its listener."""
    return DECODERS[received.listener](received)


def decode_client_request(
    received: relay_wire.ReceivedRequest,
) -> requests.ClientRequest:
    """Decode a request to be relayed."""
    headers = dict(received.headers)
    connection_options = {
        name.strip().lower() for name in headers.get(CONNECTION, '').split(',')
    }
    excluded = CONNECTION_HEADERS | REPLACED_HEADERS | connection_options
    deadline = decode_number(DEADLINE_MS, headers.get(DEADLINE_MS))
    return requests.ClientRequest(
        attempt_id=headers.get(ATTEMPT_ID, ''),
        method=received.method,
        target=received.target,
        host=headers.get('host', '').lower().partition(':')[0],
        headers=tuple(
            line for line in received.headers if line[0] not in excluded
        ),
        body=received.body,
        api_key=headers.get(API_KEY, ''),
        deadline_seconds=None
        if deadline is None
        else deadline / MILLISECONDS_PER_SECOND,
        prompt=decode_prompt(headers),
        last_event_id=decode_number(LAST_EVENT, headers.get(LAST_EVENT)),
    )


def decode_number(name: str, text: str | None) -> int | None:
    """Decode a header with an integer; return `None` if missing or empty.

    Raises `wire.DecodeError` for any other text.
    """
    if text is None or not text.strip():
        return None
    if not text.strip().isdecimal() or len(text) > MAXIMUM_NUMBER_LENGTH:
        raise wire.DecodeError(
            400,
            'malformed_request',
            f'header {name} is no whole number of {MAXIMUM_NUMBER_LENGTH}'
            ' digits or fewer',
        )
    return int(text)


def decode_prompt(headers: dict[str, str]) -> requests.Prompt | None:
    """Decode the token counts of a model request.

    The count header holds the tokens of the prompt and the maximum for the
    answer. The hint is the caller's estimate of the answer's length, which is
    often far off.
    """
    counts = headers.get(TOKEN_COUNT)
    if counts is None:
        return None
    prompt, _, output = counts.partition(',')
    return requests.Prompt(
        headers.get(MODEL, ''),
        decode_number(TOKEN_COUNT, prompt) or 0,
        decode_number(TOKEN_COUNT, output) or 0,
        decode_number(LENGTH_HINT, headers.get(LENGTH_HINT)),
        decode_shared_parts(headers.get(PROMPT_PARTS, '')),
    )


def decode_shared_parts(text: str) -> tuple[str, ...]:
    """Decode the ids of all parts of a prompt but the last.

    Ids that are too long, and those after the first 16, are left out. They only
    serve to recognize parts, and the header itself is forwarded unchanged.
    """
    *shared, _ = text.split(',')
    ids = (entry.partition(':')[0].strip().lower() for entry in shared)
    usable = [part for part in ids if 0 < len(part) <= MAXIMUM_PART_ID_LENGTH]
    return tuple(usable[:MAXIMUM_SHARED_PARTS])


def decode_readiness(
    received: relay_wire.ReceivedRequest,
) -> requests.ReadinessRequest:
    """Decode a request for the readiness of this instance."""
    check_path(received, '/api/readiness')
    return requests.ReadinessRequest()


def decode_directory(
    received: relay_wire.ReceivedRequest,
) -> requests.DirectoryRequest:
    """Decode a request for entry addresses."""
    check_path(received, '/api/resolve')
    query = dict(parse.parse_qsl(received.target.partition('?')[2]))
    return requests.DirectoryRequest(
        query.get('name', ''), query.get('region', ''), query.get('zone', '')
    )


def decode_metrics(
    received: relay_wire.ReceivedRequest,
) -> requests.MetricsRequest:
    """Decode a request for metrics."""
    check_path(received, '/metrics')
    return requests.MetricsRequest()


def check_path(received: relay_wire.ReceivedRequest, path: str) -> None:
    """Check the path of a request, or raise `wire.DecodeError`."""
    if received.target.partition('?')[0] != path:
        raise wire.DecodeError(404, 'not_found', f'the only path is {path}')


DECODERS: types.MappingProxyType[
    str, abc.Callable[[relay_wire.ReceivedRequest], typing.Any]
] = types.MappingProxyType(
    {
        FRONT: decode_client_request,
        READINESS: decode_readiness,
        DIRECTORY: decode_directory,
        METRICS: decode_metrics,
    }
)

JSON_CONTENT_TYPE = ('Content-Type', 'application/json')


@functools.singledispatch
def encode_reply(reply: typing.Any) -> tuple[relay_wire.ReplyHead, bytes]:
    """Encode a complete answer."""
    raise TypeError(f'no encoding for {type(reply).__name__}')


@encode_reply.register(requests.Refusal)
def encode_refusal(
    reply: requests.Refusal,
) -> tuple[relay_wire.ReplyHead, bytes]:
    """Encode an error of this instance."""
    headers: tuple[tuple[str, str], ...] = (JSON_CONTENT_TYPE,)
    if reply.attempt_id:
        headers += (('Attempt-Id', reply.attempt_id),)
    if reply.retry_after_seconds is not None:
        headers += (('Retry-After', f'{reply.retry_after_seconds:.3f}'),)
    body = msgspec.json.encode({'error': reply.code})
    return relay_wire.ReplyHead(reply.status, headers), body


@encode_reply.register(requests.RelayedAnswer)
def encode_answer(
    reply: requests.RelayedAnswer,
) -> tuple[relay_wire.ReplyHead, bytes]:
    """Encode an upstream's complete answer."""
    return relay_wire.ReplyHead(reply.status, reply.headers), reply.body


@encode_reply.register(requests.ReadinessAnswer)
def encode_readiness(
    reply: requests.ReadinessAnswer,
) -> tuple[relay_wire.ReplyHead, bytes]:
    """Encode the readiness of this instance."""
    return relay_wire.ReplyHead(200 if reply.is_ready else 503), b''


@encode_reply.register(requests.DirectoryAnswer)
def encode_directory(
    reply: requests.DirectoryAnswer,
) -> tuple[relay_wire.ReplyHead, bytes]:
    """Encode entry addresses."""
    body = msgspec.json.encode(
        {'addrs': list(reply.addresses), 'ttl-s': reply.valid_for_seconds}
    )
    return relay_wire.ReplyHead(200, (JSON_CONTENT_TYPE,)), body


@encode_reply.register(pages.Text)
def encode_text(
    reply: pages.Text,
) -> tuple[relay_wire.ReplyHead, bytes]:
    """Encode a page of text."""
    content_type = (('Content-Type', reply.content_type),)
    return relay_wire.ReplyHead(200, content_type), reply.text


def encode_head(head: requests.AnswerHead) -> relay_wire.ReplyHead:
    """Encode the head of a streamed answer."""
    return relay_wire.ReplyHead(head.status, head.headers)


def encode_error(
    status: int, code: str, message: str
) -> tuple[relay_wire.ReplyHead, bytes]:
    """Encode the answer to an invalid request."""
    body = msgspec.json.encode({'error': code, 'message': message})
    return relay_wire.ReplyHead(status, (JSON_CONTENT_TYPE,)), body


def encode_send(send: requests.UpstreamRequest) -> relay_wire.EncodedSend:
    """Encode a request as it is sent to an upstream."""
    request = send.request
    left_ms = max(int(send.deadline_seconds * MILLISECONDS_PER_SECOND), 1)
    headers = [*request.headers, ('Deadline-Ms', str(left_ms))]
    headers.append(('Expect-Instance', send.runner_id))
    if send.tenant is not None:
        # Headers are text of one byte a character.
        headers.append(('Tenant', send.tenant.encode().decode('latin-1')))
    if send.chain:
        headers.append(('Hop-Count', encode_chain(send.chain)))
        headers.append(('Request-Urgency', str(send.urgency or 0)))
    if send.last_event_id is not None:
        headers.append(('Last-Event-Id', str(send.last_event_id)))
    if request.body:
        headers.append(('Content-Length', str(len(request.body))))
    elif request.method not in {'GET', 'HEAD', 'DELETE'}:
        headers.append(('Content-Length', '0'))
    return relay_wire.EncodedSend(
        request.method, request.target, tuple(headers), request.body
    )


def encode_chain(chain: requests.Chain) -> str:
    """Encode a chain as `address=first-end` parts, separated by commas."""
    return ','.join(
        f'{part.address}={part.first_layer}-{part.end_layer}' for part in chain
    )


def is_answer_to(
    send: requests.UpstreamRequest,
    received: relay_wire.ReceivedHead,
    is_reused: bool,
) -> bool:
    """Return whether an answer belongs to a request.

    An answer without an id is accepted on a new connection only. On a reused
    one it may be a second copy of an earlier answer.
    """
    attempt_id = dict(received.headers).get(ATTEMPT_ID)
    if attempt_id is None:
        return not is_reused
    return attempt_id == send.request.attempt_id


def decode_head(
    send: requests.UpstreamRequest, received: relay_wire.ReceivedHead
) -> requests.AnswerHead:
    """Decode the head of an upstream's answer."""
    headers = dict(received.headers)
    return requests.AnswerHead(
        received.status,
        tuple(
            line
            for line in received.headers
            if line[0] not in CONNECTION_HEADERS
        ),
        has_proof=PROOF in headers and headers.get(ATTEMPT_ID) is not None,
        is_unexecuted=NOT_RUN in headers
        or received.status == MISDIRECTED_STATUS,
        is_encoded='content-encoding' in headers,
        is_event_stream=received.status == OK_STATUS
        and is_event_stream_type(headers.get('content-type', '')),
        is_closing=headers.get(CONNECTION, '').lower() == 'close',
        fault_address=headers.get(FAULT_ADDRESS, ''),
        announcement=decode_announcement(received),
    )


def decode_announcement(
    received: relay_wire.ReceivedHead,
) -> requests.Announcement:
    """Decode what an upstream says of itself in the head of an answer.

    A header that comes twice with different values is malformed.
    """
    leaving = collect_values(LEAVING, received)
    waits = collect_values(RETRY_AFTER, received)
    if received.status not in WAIT_STATUSES:
        waits = frozenset()
    if not leaving and not waits:
        return requests.NO_ANNOUNCEMENT
    malformed = []
    if not leaving <= {'0'} and not leaving <= {'1'}:
        malformed.append(LEAVING)
    seconds = decode_seconds(waits)
    if waits and seconds is None:
        malformed.append(RETRY_AFTER)
    return requests.Announcement(leaving == {'1'}, seconds, tuple(malformed))


def collect_values(
    name: str, received: relay_wire.ReceivedHead
) -> frozenset[str]:
    """Return the different values of a header."""
    return frozenset(
        text.strip() for header, text in received.headers if header == name
    )


def decode_seconds(texts: frozenset[str]) -> float | None:
    """Decode a time in seconds, or return `None` if it cannot be used."""
    if len(texts) != 1:
        return None
    text = min(texts)
    return float(text) if SECONDS_PATTERN.fullmatch(text) else None


def is_event_stream_type(content_type: str) -> bool:
    """Return whether a content type, if there is one, is that of events."""
    media_type = content_type.partition(';')[0].strip().lower()
    return media_type in {'', EVENT_STREAM_TYPE}
