"""Implement token buckets for rate limits."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Bucket:
    """Hold the level of a token bucket as of a monotonic time.

    A negative level is a debt.
    """

    level: float = 0
    updated_at: float = 0


def refill(bucket: Bucket, rate: float, burst: float, now: float) -> Bucket:
    """Refill a bucket at `rate` per second, up to a level of `burst`."""
    assert rate >= 0, 'the rate must not be negative'
    assert burst >= 0, 'the burst must not be negative'
    elapsed = max(now - bucket.updated_at, 0)
    level = min(bucket.level + rate * elapsed, burst)
    return Bucket(level, max(now, bucket.updated_at))


def take(bucket: Bucket, amount: float) -> Bucket:
    """Take an amount; the level may become negative."""
    return Bucket(bucket.level - amount, bucket.updated_at)


def compute_wait_seconds(bucket: Bucket, wanted: float, rate: float) -> float:
    """Return the seconds until the level reaches `wanted`.

    The result is 0 if the level is high enough and infinite at a rate of 0.
    """
    missing = wanted - bucket.level
    if missing <= 0:
        return 0
    return missing / rate if rate else float('inf')
