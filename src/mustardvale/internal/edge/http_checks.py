"""Check the head of a request and encode it in a canonical form."""

import dataclasses
import re
import types

import h11

from mustardvale import errors
from mustardvale.internal.edge import wire

METHOD_PATTERN = re.compile(rb'[A-Z]{3,20}')
# Other characters, and empty or dot segments, give a path several spellings;
# circuits.web answers such a path with a redirect.
TARGET_PATTERN = re.compile(
    rb"""(?:/|(?:/(?!\.{1,2}(?:[/?]|$))[A-Za-z0-9._~-]+)+)
    (?:\?[A-Za-z0-9._~!$&'()*+,;=:@/?%-]*)?""",
    re.VERBOSE,
)
HEADER_VALUE_PATTERN = re.compile(rb'[\t\x20-\x7e]*')
REPLACED_HEADERS = frozenset(
    (b'connection', b'content-length', b'expect', b'transfer-encoding'),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limit the resources that callers can use.

    `request_seconds` is the time from the first byte of a request to its last.
    `linger_seconds` is the time for which input is discarded after the last
    answer of a connection and the end of its request, and `discard_seconds` the
    time in all: closing at once would reset the connection, and the caller
    could lose the answer. Callers get about half of the 1,024
    descriptors that a process usually has and that `select` supports; upstreams
    and peers need the others. Up to `refused_connections` further connections
    get an error reply before they are closed; any others are closed at once.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    request_seconds: float = 10.0
    idle_seconds: float = 60.0
    linger_seconds: float = 1.0
    discard_seconds: float = 15.0
    sweep_seconds: float = 1.0
    connections: int = 512
    refused_connections: int = 64


def check_head(head: h11.Request, limits: Limits) -> None:
    """Check a request head beyond the checks of h11.

    Raises `wire.DecodeError`.
    """
    size = len(head.target) + sum(
        len(name) + len(value) for name, value in head.headers
    )
    if size > limits.header_bytes:
        raise build_error(
            errors.HEADERS_TOO_LARGE,
            f'the request target and headers have {size} bytes, the limit is '
            f'{limits.header_bytes}',
        )
    if not METHOD_PATTERN.fullmatch(head.method):
        raise build_error(errors.MALFORMED_REQUEST, 'the method is malformed')
    if not TARGET_PATTERN.fullmatch(head.target):
        raise build_error(
            errors.MALFORMED_REQUEST, 'the path is not in canonical form'
        )
    for name, value in head.headers:
        check_header(name, value, limits)


def check_header(name: bytes, value: bytes, limits: Limits) -> None:
    """Check one header, or raise `wire.DecodeError`."""
    if not HEADER_VALUE_PATTERN.fullmatch(value):
        raise build_error(
            errors.MALFORMED_REQUEST,
            f'header {name.decode()} is not printable ASCII',
        )
    check = HEADER_CHECKS.get(name)
    if check is not None:
        check(value, limits)


def check_content_length(value: bytes, limits: Limits) -> None:
    """Check the length that a head announces, before the body is read."""
    check_body_length(int(value), limits)


def check_encoding(value: bytes, limits: Limits) -> None:
    """Reject a compressed body: its decompressed size has no limit."""
    if value.lower() != b'identity':
        raise build_error(
            errors.UNSUPPORTED_ENCODING,
            'compressed bodies are not supported',
        )


def check_expectation(value: bytes, limits: Limits) -> None:
    """Reject every expectation but `100-continue`."""
    if value.lower() != b'100-continue':
        raise build_error(
            errors.EXPECTATION_FAILED,
            'the only supported expectation is 100-continue',
        )


HEADER_CHECKS = types.MappingProxyType(
    {
        b'content-length': check_content_length,
        b'content-encoding': check_encoding,
        b'expect': check_expectation,
    }
)


def check_body_length(length: int, limits: Limits) -> None:
    """Check the length of a body, or raise `wire.DecodeError`."""
    if length > limits.body_bytes:
        raise build_error(
            errors.PAYLOAD_TOO_LARGE,
            f'the body is longer than {limits.body_bytes} bytes',
        )


def build_error(code: errors.ErrorCode, message: str) -> wire.DecodeError:
    """Build the error for a rejected request."""
    return wire.DecodeError(code.status, code.name, message)


def encode_request(
    head: h11.Request,
    body: bytes,
    must_close: bool,
) -> bytes:
    """Encode a checked request for circuits.web.

    The body follows without chunks, under one content length.
    """
    lines = [b'%s %s HTTP/%s' % (head.method, head.target, head.http_version)]
    lines.extend(
        b'%s: %s' % (name, value)
        for name, value in head.headers
        if name not in REPLACED_HEADERS
    )
    lines.append(b'content-length: %d' % len(body))
    if must_close:
        lines.append(b'connection: close')
    return b'\r\n'.join((*lines, b'', body))
