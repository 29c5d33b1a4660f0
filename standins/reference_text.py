"""Compute the one right answer to a request from its bytes.

Runners and checkers compute it alike, so that an answer that is mixed up, cut
or run elsewhere is found out.
"""

import hashlib

MINIMUM_EVENTS = 4
EVENT_COUNT_RANGE = 24


def digest_request(method: str, target: str, body: bytes) -> str:
    """Return the digest of a request."""
    hashed = hashlib.sha256(f'{method} {target}\0'.encode() + body)
    return hashed.hexdigest()[:32]


def count_events(request_digest: str) -> int:
    """Return how many events the whole answer to a request has."""
    return MINIMUM_EVENTS + int(request_digest[:4], 16) % EVENT_COUNT_RANGE


def build_event_text(request_digest: str, number: int) -> str:
    """Return the text of one event; numbers begin at 1."""
    return f'{request_digest[:8]}-{number}'


def encode_event(request_digest: str, number: int) -> bytes:
    """Return one event as it is sent."""
    text = build_event_text(request_digest, number)
    return f'id: {number}\ndata: {text}\n\n'.encode()


def build_whole_body(request_digest: str) -> bytes:
    """Return the whole answer of a plain service."""
    return f'{request_digest} done'.encode()
