"""Compute the only correct answer to a request from its bytes.

Runner stand-ins and the checks of the benchmarks share these functions, so
that the checks detect answers that are truncated or belong to another request.
"""

import hashlib

MINIMUM_EVENTS = 4
EVENT_COUNT_RANGE = 24


def digest_request(method: str, target: str, body: bytes) -> str:
    """Return the first 128 bits of the SHA-256 of a request, hexadecimal."""
    hashed = hashlib.sha256(f'{method} {target}\0'.encode() + body)
    return hashed.hexdigest()[:32]


def count_events(request_digest: str) -> int:
    """Return how many events the complete answer to a request has."""
    return MINIMUM_EVENTS + int(request_digest[:4], 16) % EVENT_COUNT_RANGE


def build_event_text(request_digest: str, number: int) -> str:
    """Return the text of one event; numbers start at 1."""
    return f'{request_digest[:8]}-{number}'


def encode_event(request_digest: str, number: int) -> bytes:
    """Return one event in the format of server-sent events."""
    text = build_event_text(request_digest, number)
    return f'id: {number}\ndata: {text}\n\n'.encode()


def build_whole_body(request_digest: str) -> bytes:
    """Return the complete answer of a service without layers."""
    return f'{request_digest} done'.encode()
