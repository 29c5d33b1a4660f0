"""Limit the retries that are sent to upstreams.

All instances share one retry budget per service: a ratio of its requests plus a
fixed number per time window. Each instance has its part of the budget in a
token bucket. Half of the fixed number may be spent at once, the other half
accrues over a window. The bucket of a new process is empty, so that a restart
of all instances does not grant the budget a second time. That of a service which
a later version of the configuration adds may be spent at once.
"""

import dataclasses
from collections import abc

import immutables

from mustardvale.internal.relay import instance_settings

# Share of the budget that instances may spend. The rest is a reserve for times
# at which they disagree on the number of members.
USED_SHARE = 0.8
# Share of the budget for the parts of a retry that instances save up. It is half
# of the reserve.
ROUNDING_SHARE = 0.1
# Share of the fixed number of retries that may be spent at once.
BURST_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBucket:
    """Hold the number of retries that may be sent, as of `updated_at`."""

    balance: float
    updated_at: float


RetryBuckets = immutables.Map[str, RetryBucket]


def refill_bucket(
    buckets: RetryBuckets,
    service: str,
    now: float,
    limits: instance_settings.Limits,
    instance_count: int,
) -> RetryBucket:
    """Return the bucket of a service with the retries accrued until now."""
    bucket = buckets.get(service)
    if bucket is None:
        return RetryBucket(0.0, now)
    quota = compute_quota(limits, instance_count)
    elapsed = max(now - bucket.updated_at, 0.0)
    accrued = (1 - BURST_SHARE) * quota * elapsed / limits.retry_window_seconds
    maximum = compute_maximum(limits, instance_count)
    return RetryBucket(min(bucket.balance + accrued, maximum), now)


def compute_maximum(
    limits: instance_settings.Limits, instance_count: int
) -> float:
    """Return how many retries this instance may save up.

    Whole retries are sent, so that a part of one would be lost at each instance.
    All instances together may save up no more for it than `ROUNDING_SHARE`. One
    that could not save up a whole retry would never send any.
    """
    burst = BURST_SHARE * compute_quota(limits, instance_count)
    rounding = ROUNDING_SHARE * limits.retries_per_window / instance_count
    return max(burst + min(rounding, 1.0), 1.0)


def compute_quota(
    limits: instance_settings.Limits, instance_count: int
) -> float:
    """Return the part of the fixed number of retries of this instance."""
    return USED_SHARE * limits.retries_per_window / instance_count


def add_services(
    buckets: RetryBuckets,
    services: abc.Iterable[str],
    now: float,
    balance: float,
) -> RetryBuckets:
    """Add a bucket with a balance for each new service."""
    for service in services:
        if service not in buckets:
            buckets = buckets.set(service, RetryBucket(balance, now))
    return buckets


def credit_request(
    buckets: RetryBuckets,
    service: str,
    now: float,
    limits: instance_settings.Limits,
    instance_count: int,
) -> RetryBuckets:
    """Credit a service for a request, by the retry ratio."""
    bucket = refill_bucket(buckets, service, now, limits, instance_count)
    balance = bucket.balance + USED_SHARE * limits.retry_ratio
    return buckets.set(service, RetryBucket(balance, now))


def debit_retry(
    buckets: RetryBuckets,
    service: str,
    now: float,
    limits: instance_settings.Limits,
    instance_count: int,
) -> RetryBuckets:
    """Debit a service for a retry."""
    bucket = refill_bucket(buckets, service, now, limits, instance_count)
    return buckets.set(service, RetryBucket(bucket.balance - 1, now))


def return_retry(
    buckets: RetryBuckets,
    service: str,
    now: float,
    limits: instance_settings.Limits,
    instance_count: int,
) -> RetryBuckets:
    """Return the charge for a retry that arrived at no upstream."""
    bucket = refill_bucket(buckets, service, now, limits, instance_count)
    return buckets.set(service, RetryBucket(bucket.balance + 1, now))


def compute_balance(
    buckets: RetryBuckets,
    service: str,
    now: float,
    limits: instance_settings.Limits,
    instance_count: int,
) -> float:
    """Return how many retries this instance may send now."""
    return refill_bucket(buckets, service, now, limits, instance_count).balance
