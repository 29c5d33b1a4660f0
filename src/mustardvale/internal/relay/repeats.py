"""Bound what is sent to upstreams beyond the first send of each request.

All instances share one budget for each service: a share of its requests and a
fixed number, counted in a sliding window. Each instance uses its own part of
the fixed number, so that all parts together keep the bound.
"""

import dataclasses
import math

import immutables

from mustardvale.internal.relay import bounds

# Requests and repeats are counted in slices of the window; one slice more than
# the window holds is kept out of the sum of requests.
SLICE_SECONDS = 1.0
# Part of the budget that is used; the rest covers instances that count the
# members differently for a while.
USED_SHARE = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class Slice:
    """Count the requests and repeats of one second."""

    requests: int = 0
    repeats: int = 0


Slices = immutables.Map[int, Slice]


@dataclasses.dataclass(frozen=True, slots=True)
class RepeatLedger:
    """Hold the slices of each service."""

    services: immutables.Map[str, Slices] = immutables.Map()


def count(
    ledger: RepeatLedger,
    service: str,
    now: float,
    window: float,
    repeated: bool,
) -> RepeatLedger:
    """Count a request, or a repeat, and forget old slices."""
    number = math.floor(now / SLICE_SECONDS)
    slices = ledger.services.get(service, immutables.Map())
    current = slices.get(number, Slice())
    if repeated:
        current = dataclasses.replace(current, repeats=current.repeats + 1)
    else:
        current = dataclasses.replace(current, requests=current.requests + 1)
    oldest = number - math.ceil(window / SLICE_SECONDS)
    kept = immutables.Map(
        {key: item for key, item in slices.items() if key >= oldest}
    ).set(number, current)
    return RepeatLedger(ledger.services.set(service, kept))


def left(
    ledger: RepeatLedger,
    service: str,
    now: float,
    limits: bounds.Bounds,
    instances: int,
) -> float:
    """Return how many repeats this instance may send now."""
    window = limits.retry_window_seconds
    oldest = math.floor((now - window) / SLICE_SECONDS)
    slices = ledger.services.get(service, immutables.Map())
    requests = 0
    repeats = 0
    for number, item in slices.items():
        if number >= oldest:
            repeats += item.repeats
        if number > oldest:
            requests += item.requests
    slack = limits.retry_slack / max(instances, 1)
    return USED_SHARE * (limits.retry_ratio * requests + slack) - repeats
