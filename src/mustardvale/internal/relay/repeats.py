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

from mustardvale.internal.relay import bounds

# Part of the budget that is used; the rest covers instances that count the
# members differently for a while.
USED_SHARE = 0.8
BURST_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Bucket:
    """Hold how many repeats may be sent, as of a moment."""

    balance: float
    updated_at: float


Ledger = immutables.Map[str, Bucket]


def fill(
    ledger: Ledger,
    service: str,
    now: float,
    limits: bounds.Bounds,
    instances: int,
) -> Bucket:
    """Return the bucket of a service with what has flowed in since."""
    bucket = ledger.get(service)
    if bucket is None:
        return Bucket(0.0, now)
    part = USED_SHARE * limits.retry_slack / instances
    passed = max(now - bucket.updated_at, 0.0)
    flowed = (1 - BURST_SHARE) * part * passed / limits.retry_window_seconds
    balance = min(bucket.balance + flowed, BURST_SHARE * part + 1)
    return Bucket(balance, now)


def begin(ledger: Ledger, services: abc.Iterable[str], now: float) -> Ledger:
    """Let the budgets of new services flow in from now on."""
    for service in services:
        if service not in ledger:
            ledger = ledger.set(service, Bucket(0.0, now))
    return ledger


def earn(
    ledger: Ledger,
    service: str,
    now: float,
    limits: bounds.Bounds,
    instances: int,
) -> Ledger:
    """Count a request, which allows a part of a repeat."""
    bucket = fill(ledger, service, now, limits, instances)
    earned = bucket.balance + USED_SHARE * limits.retry_ratio
    return ledger.set(service, Bucket(earned, now))


def spend(
    ledger: Ledger,
    service: str,
    now: float,
    limits: bounds.Bounds,
    instances: int,
) -> Ledger:
    """Count a repeat."""
    bucket = fill(ledger, service, now, limits, instances)
    return ledger.set(service, Bucket(bucket.balance - 1, now))


def left(
    ledger: Ledger,
    service: str,
    now: float,
    limits: bounds.Bounds,
    instances: int,
) -> float:
    """Return how many repeats this instance may send now."""
    return fill(ledger, service, now, limits, instances).balance
