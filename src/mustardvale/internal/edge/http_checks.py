"""Check the head of a request and write it in one plain form."""

import dataclasses
import re
import types

import h11

from mustardvale import errors
from mustardvale.internal.edge import wire

METHOD_PATTERN = re.compile(rb'[A-Z]{3,20}')
# A path outside of this set, or with an empty or dot segment, has more than
# one spelling; circuits.web answers such a path with a redirect.
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
    """Bound what one caller and all callers together can hold.

    `request_seconds` is the time from the first byte of a request to its last,
    `linger_seconds` the time for which input is discarded after an error, so
    that a reset does not destroy the answer on its way. Callers get about half
    of the 1,024 descriptors that a process usually has and that `select`
    supports; upstreams and peers need the others.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    request_seconds: float = 10.0
    idle_seconds: float = 60.0
    linger_seconds: float = 1.0
    sweep_seconds: float = 1.0
    connections: int = 512
    refused_connections: int = 64


def check_head(head: h11.Request, limits: Limits) -> None:
    """Check what h11 leaves open, or raise `wire.DecodeError`."""
    size = len(head.target) + sum(
        len(name) + len(text) for name, text in head.headers
    )
    if size > limits.header_bytes:
        raise build_error(
            errors.HEADERS_TOO_LARGE,
            f'the head has {size} bytes, the limit is {limits.header_bytes}',
        )
    if not METHOD_PATTERN.fullmatch(head.method):
        raise build_error(errors.MALFORMED_REQUEST, 'the method is malformed')
    if not TARGET_PATTERN.fullmatch(head.target):
        raise build_error(errors.MALFORMED_REQUEST, 'the path is not plain')
    for name, text in head.headers:
        check_header(name, text, limits)


def check_header(name: bytes, text: bytes, limits: Limits) -> None:
    """Check one header, or raise `wire.DecodeError`."""
    if not HEADER_VALUE_PATTERN.fullmatch(text):
        raise build_error(
            errors.MALFORMED_REQUEST,
            f'header {name.decode()} is not plain ASCII',
        )
    check = HEADER_CHECKS.get(name)
    if check is not None:
        check(text, limits)


def check_content_length(text: bytes, limits: Limits) -> None:
    """Check the length of a body before any of it is read."""
    check_body_length(int(text), limits)


def check_encoding(text: bytes, limits: Limits) -> None:
    """Accept no compressed body, because it inflates without a bound."""
    if text.lower() != b'identity':
        raise build_error(
            errors.UNSUPPORTED_ENCODING,
            'a compressed body is not accepted',
        )


def check_expectation(text: bytes, limits: Limits) -> None:
    """Accept only the expectation that the guard meets."""
    if text.lower() != b'100-continue':
        raise build_error(
            errors.EXPECTATION_FAILED,
            'the only expectation that is met is 100-continue',
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
            f'the body may have {limits.body_bytes} bytes',
        )


def build_error(code: errors.ErrorCode, message: str) -> wire.DecodeError:
    """Describe a request that is not accepted."""
    return wire.DecodeError(code.status, code.name, message)


def encode_request(
    head: h11.Request,
    body: bytes,
    must_close: bool,
) -> bytes:
    """Write a checked request in the one form that circuits.web reads well."""
    lines = [b'%s %s HTTP/%s' % (head.method, head.target, head.http_version)]
    lines.extend(
        b'%s: %s' % (name, text)
        for name, text in head.headers
        if name not in REPLACED_HEADERS
    )
    lines.append(b'content-length: %d' % len(body))
    if must_close:
        lines.append(b'connection: close')
    return b'\r\n'.join((*lines, b'', body))
