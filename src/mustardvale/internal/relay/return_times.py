"""Tell refused callers when to return, and recognize them when they do.

Each refused caller gets the time at which the requests before it are expected
to be served: those that wait, and the callers that were told to return and are
as urgent.
"""

import dataclasses
import typing

import immutables

# Callers honour a `Retry-After` up to this share of the time they have left.
RETRY_TIME_SHARE = 1 / 3
MINIMUM_RETURN_SECONDS = 0.1
# Callers whose time is cut to what they honour return spread over this share.
RETURN_SPREAD = 0.25
# A caller that is a little early has been told by a rounded value.
EARLY_SECONDS = 0.05
# A caller that comes later than this is a new one.
LATE_SECONDS = 1.0
MAXIMUM_PROMISES = 512


@dataclasses.dataclass(frozen=True, slots=True)
class Promise:
    """Hold when a refused caller returns, and what its request keeps.

    `pass_count` counts the smaller requests that went first while it waited.
    """

    returns_at: float
    urgency: int
    pass_count: int = 0


PromiseMap: typing.TypeAlias = 'immutables.Map[str, Promise]'


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnTime:
    """Hold for how long a caller stays away, and the expected wait."""

    delay_seconds: float
    expected_seconds: float


def assign_return(
    urgency: int,
    waiting_count: int,
    rate: float,
    left_seconds: float,
    promises: PromiseMap,
    now: float,
    fraction: float,
) -> ReturnTime:
    """Return when a refused caller is expected to be served.

    `waiting_count` is the number of waiting requests that are as urgent, `rate`
    the capacity that becomes free per second, and `fraction` a random number
    from 0 to 1.
    """
    promised_count = sum(
        promise.urgency <= urgency and promise.returns_at > now
        for promise in promises.values()
    )
    expected = (waiting_count + promised_count + 1) / rate
    longest = max(left_seconds, 0.0) * RETRY_TIME_SHARE
    delay = max(expected, MINIMUM_RETURN_SECONDS)
    if delay > longest:
        delay = longest * (1 - RETURN_SPREAD * fraction)
    return ReturnTime(delay, expected)


def record_promise(
    promises: PromiseMap, fingerprint: str, promise: Promise, now: float
) -> PromiseMap:
    """Remember a caller that was told to return, and forget the late ones."""
    kept = immutables.Map(
        {
            known: other
            for known, other in promises.items()
            if now <= other.returns_at + LATE_SECONDS
        }
    )
    if len(kept) >= MAXIMUM_PROMISES:
        return kept
    return kept.set(fingerprint, promise)


def find_promise(
    promises: PromiseMap, fingerprint: str, now: float
) -> Promise | None:
    """Return the promise to a caller that returns when it was told to."""
    promise = promises.get(fingerprint)
    if promise is None:
        return None
    early_seconds = promise.returns_at - now
    is_kept = -LATE_SECONDS <= early_seconds <= EARLY_SECONDS
    return promise if is_kept else None
