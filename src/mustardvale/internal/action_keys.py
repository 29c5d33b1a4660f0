"""Validate idempotency keys, which are UUIDs of version 7 (RFC 9562)."""

import dataclasses
import hashlib
import uuid

from mustardvale import errors
from mustardvale.internal import action_requests, caller_messages

PARTITION_COUNT = 16
# All readers of a partition must agree on which attempts are too late, so the
# window is the same in every release. The log must retain records for at least
# four windows.
WINDOW_SECONDS = 6 * 3600.0
MAXIMUM_FUTURE_SECONDS = 60.0
UUID_VERSION = 7
TIME_HEXADECIMAL_DIGITS = 12
MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class ActionKey:
    """Identify an action by client account and idempotency key."""

    account: str
    idempotency_key: str


def canonicalize(text: str) -> str:
    """Return the canonical form of a key, empty if it is not a UUIDv7."""
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return ''
    return str(parsed) if parsed.version == UUID_VERSION else ''


def read_creation_time(key: str) -> float:
    """Return the wall time in seconds that a canonical key encodes."""
    digits = key.replace('-', '')[:TIME_HEXADECIMAL_DIGITS]
    return int(digits, 16) / MILLISECONDS_PER_SECOND


def is_expired(key: str, wall_time: float) -> bool:
    """Return whether a key is older than the window."""
    return read_creation_time(key) < wall_time - WINDOW_SECONDS


def find_key_error(
    text: str, wall_time: float
) -> caller_messages.RequestError | None:
    """Return the error for a key that must not be used, `None` if it may be."""
    if not text:
        return action_requests.build_not_run(
            errors.IDEMPOTENCY_KEY_REQUIRED,
            'the operation must not run twice and needs a key',
        )
    key = canonicalize(text)
    if not key:
        return action_requests.build_not_run(
            errors.IDEMPOTENCY_KEY_INVALID,
            f'{text[:64]!r} is not a UUID version 7',
        )
    if read_creation_time(key) > wall_time + MAXIMUM_FUTURE_SECONDS:
        return action_requests.build_not_run(
            errors.IDEMPOTENCY_KEY_INVALID,
            f'the key is more than {MAXIMUM_FUTURE_SECONDS:.0f} s '
            'in the future',
        )
    if is_expired(key, wall_time):
        return build_key_expired()
    return None


def build_key_expired() -> caller_messages.RequestError:
    """Build the error for a key whose records may have been dropped."""
    return action_requests.build_unknown(
        f'the key is older than {WINDOW_SECONDS / 3600:.0f} h',
        errors.IDEMPOTENCY_KEY_EXPIRED,
    )


def find_partition(key: ActionKey) -> int:
    """Return the number of the partition that holds the attempts of a key."""
    text = f'{key.account}\n{key.idempotency_key}'
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest) % PARTITION_COUNT


def digest_body(service: str, operation: str, body: bytes) -> str:
    """Return a digest that distinguishes requests with the same key."""
    head = f'{service}\n{operation}\n'.encode()
    return hashlib.blake2b(head + body, digest_size=16).hexdigest()
