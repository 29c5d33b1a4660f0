"""Bound what is sent to upstreams beyond the first send of each request.

All instances share one budget for each service: a share of its requests and a
fixed number in any window of time. Each instance holds its part in a bucket:
half of the fixed number may be spent at once, the other half flows in over a
window. A new process begins with an empty bucket, so that restarts of all
instances do not spend the budget again.
"""

import dataclasses
from collections import abc

import immutables

from mustardvale.internal.relay import instance_settings

# Part of the budget that is used; the rest covers instances that count the
# members differently for a while.
USED_SHARE = 0.8
BURST_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBucket:
    """Hold how many repeats may be sent, as of a moment."""

    balance: float
    updated_at: float


RetryBuckets = immutables.Map[str, RetryBucket]


def refill_bucket(
    ledger: RetryBuckets,
    service: str,
    now: float,
    limits: instance_settings.Limits,
    instances: int,
) -> RetryBucket:
    """Return the bucket of a service with what has flowed in since."""
    bucket = ledger.get(service)
    if bucket is None:
        return RetryBucket(0.0, now)
    part = USED_SHARE * limits.retries_per_window / instances
    passed = max(now - bucket.updated_at, 0.0)
    flowed = (1 - BURST_SHARE) * part * passed / limits.retry_window_seconds
    balance = min(bucket.balance + flowed, BURST_SHARE * part + 1)
    return RetryBucket(balance, now)


def add_services(
    ledger: RetryBuckets, services: abc.Iterable[str], now: float
) -> RetryBuckets:
    """Let the budgets of new services flow in from now on."""
    for service in services:
        if service not in ledger:
            ledger = ledger.set(service, RetryBucket(0.0, now))
    return ledger


def credit_request(
    ledger: RetryBuckets,
    service: str,
    now: float,
    limits: instance_settings.Limits,
    instances: int,
) -> RetryBuckets:
    """Count a request, which allows a part of a repeat."""
    bucket = refill_bucket(ledger, service, now, limits, instances)
    earned = bucket.balance + USED_SHARE * limits.retry_ratio
    return ledger.set(service, RetryBucket(earned, now))


def debit_retry(
    ledger: RetryBuckets,
    service: str,
    now: float,
    limits: instance_settings.Limits,
    instances: int,
) -> RetryBuckets:
    """Count a repeat."""
    bucket = refill_bucket(ledger, service, now, limits, instances)
    return ledger.set(service, RetryBucket(bucket.balance - 1, now))


def compute_balance(
    ledger: RetryBuckets,
    service: str,
    now: float,
    limits: instance_settings.Limits,
    instances: int,
) -> float:
    """Return how many repeats this instance may send now."""
    return refill_bucket(ledger, service, now, limits, instances).balance
