"""Generate idempotency keys."""

import secrets
import time
import uuid

MILLISECONDS_PER_SECOND = 1000
RANDOM_BITS = 74
VERSION_AND_VARIANT = (7 << 76) | (2 << 62)
LOW_BITS = 62


def generate() -> str:
    """Return a UUID of version 7 (RFC 9562) with the current time."""
    drawn = secrets.randbits(RANDOM_BITS)
    high = (drawn >> LOW_BITS) << 64
    low = drawn & ((1 << LOW_BITS) - 1)
    stamp = int(time.time() * MILLISECONDS_PER_SECOND) << 80
    return str(uuid.UUID(int=stamp | VERSION_AND_VARIANT | high | low))
