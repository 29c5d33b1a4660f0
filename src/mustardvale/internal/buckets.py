"""Count what may be used per second in a bucket."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Bucket:
    """Hold the level as of a monotonic time; a debt is a negative level."""

    level: float = 0
    updated_at: float = 0


def refill(bucket: Bucket, rate: float, burst: float, now: float) -> Bucket:
    """Add what has come in since the last time, at most up to `burst`."""
    assert rate >= 0, 'a rate is not negative'
    assert burst >= 0, 'a burst is not negative'
    elapsed = max(now - bucket.updated_at, 0)
    level = min(bucket.level + rate * elapsed, burst)
    return Bucket(level, max(now, bucket.updated_at))


def take(bucket: Bucket, amount: float) -> Bucket:
    """Take an amount, also when the level does not cover it."""
    return Bucket(bucket.level - amount, bucket.updated_at)


def seconds_until(bucket: Bucket, wanted: float, rate: float) -> float:
    """Return the time until the level reaches `wanted`, 0 if it has."""
    missing = wanted - bucket.level
    if missing <= 0:
        return 0
    return missing / rate if rate else float('inf')
