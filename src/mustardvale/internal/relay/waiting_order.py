"""Order the requests that wait for an upstream, and decide which ones wait.

The most urgent rank goes first. Within a rank the order between client accounts
is start-time fair queueing, as in the queue of the product: the tag of an
account is its recent usage, and each waiting request adds its cost to the tags
of those behind it. An account that uses little therefore goes first, and what
it does not use goes to the others.
"""

import dataclasses
import itertools
import math
import typing
from collections import abc

import immutables

# A request that has waited for this long is ranked one level more urgent.
AGING_SECONDS = 1.5
# After this many smaller requests were sent first, a large one goes next.
MAXIMUM_PASSES = 3
# After this many starts of more urgent requests, a less urgent one goes next.
# No urgency is then served less than a quarter as often as all together.
MAXIMUM_SKIPPED_STARTS = 3
# Completions and usage are remembered with this time constant.
MEMORY_SECONDS = 10.0
# Fewer remembered completions say nothing about the capacity.
MINIMUM_COMPLETIONS = 0.5
# Completions over less time are taken as if they had been spread over it.
MINIMUM_OBSERVED_SECONDS = 1.0
# Two equal waits may differ by less than this after rounding.
ROUNDING_SECONDS = 0.001

# By urgency, the starts of more urgent requests since its own last start.
SkippedStarts: typing.TypeAlias = 'immutables.Map[int, int]'


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingRequest:
    """Describe a request that waits for an upstream.

    `urgency` is 0 for the most urgent and `cost` the size in tokens.
    `waits_until` is the end of what the caller accepts, and `pass_count` how
    many smaller requests went first. A returning request was refused before and
    comes again when it was told to.
    """

    request_id: str
    account: str
    urgency: int
    arrived_at: float
    waits_until: float
    cost: float = 1.0
    weight: float = 1.0
    pass_count: int = 0
    is_returning: bool = False

    @property
    def patience_seconds(self) -> float:
        """Return for how long the caller accepts to wait."""
        return self.waits_until - self.arrived_at

    @property
    def is_overdue(self) -> bool:
        """Return whether smaller requests have gone first too often."""
        return self.pass_count >= MAXIMUM_PASSES


@dataclasses.dataclass(frozen=True, slots=True)
class DecayingSum:
    """Hold a sum in which what was added long ago counts less.

    `since` is when the first amount was added.
    """

    amount: float
    updated_at: float
    since: float


AmountMap: typing.TypeAlias = 'immutables.Map[str, DecayingSum]'


def add_amount(
    amounts: AmountMap, name: str, amount: float, now: float
) -> AmountMap:
    """Add to the sum of a name."""
    known = amounts.get(name)
    left = compute_amount(known, now)
    since = now
    if known is not None and left >= MINIMUM_COMPLETIONS:
        since = known.since
    return amounts.set(name, DecayingSum(left + amount, now, since))


def compute_amount(known: DecayingSum | None, now: float) -> float:
    """Return what is left of a sum."""
    if known is None:
        return 0.0
    elapsed = max(now - known.updated_at, 0.0)
    return known.amount * math.exp(-elapsed / MEMORY_SECONDS)


def compute_rate(known: DecayingSum | None, now: float) -> float | None:
    """Return the recent amount per second, or `None` if it is not known."""
    amount = compute_amount(known, now)
    if known is None or amount < MINIMUM_COMPLETIONS:
        return None
    observed = max(now - known.since, MINIMUM_OBSERVED_SECONDS)
    remembered = MEMORY_SECONDS * (1 - math.exp(-observed / MEMORY_SECONDS))
    return amount / remembered


def order_requests(
    waiting: abc.Iterable[WaitingRequest],
    usage: AmountMap,
    skipped: SkippedStarts,
    now: float,
) -> tuple[WaitingRequest, ...]:
    """Return the requests in the order in which they are to be sent."""
    requests = tuple(waiting)
    ranked = sorted(
        requests, key=lambda one: (build_rank(one, now), build_tie_key(one))
    )
    tags = assign_tags(ranked, usage, now)
    ordered = sorted(
        requests,
        key=lambda one: (
            build_rank(one, now),
            tags[one.request_id],
            build_tie_key(one),
        ),
    )
    due = find_due_request(ordered, skipped)
    if due is not None:
        ordered.remove(due)
        ordered.insert(0, due)
    return tuple(ordered)


def assign_tags(
    ranked: abc.Iterable[WaitingRequest], usage: AmountMap, now: float
) -> dict[str, float]:
    """Return the start tag of each request, by request id.

    The first tag of an account is its recent usage. The cost of each request
    raises the tag of the next one.
    """
    tags: dict[str, float] = {}
    next_tags: dict[str, float] = {}
    for one in ranked:
        tag = next_tags.get(one.account)
        if tag is None:
            tag = compute_amount(usage.get(one.account), now) / one.weight
        tags[one.request_id] = tag
        next_tags[one.account] = tag + one.cost / one.weight
    return tags


def build_rank(one: WaitingRequest, now: float) -> tuple[int, bool, bool]:
    """Return what goes before the usage of accounts in the order."""
    return (
        compute_aged_urgency(one, now),
        not one.is_overdue,
        not one.is_returning,
    )


def build_tie_key(one: WaitingRequest) -> tuple[float, str]:
    """Return what orders requests of the same rank and tag."""
    return one.waits_until, one.request_id


def compute_aged_urgency(one: WaitingRequest, now: float) -> int:
    """Return the urgency of a request, raised by the time it has waited."""
    return max(one.urgency - int((now - one.arrived_at) / AGING_SECONDS), 0)


def find_due_request(
    ordered: abc.Iterable[WaitingRequest], skipped: SkippedStarts
) -> WaitingRequest | None:
    """Return the first request of an urgency that was skipped too often."""
    return next(
        (
            one
            for one in ordered
            if skipped.get(one.urgency, 0) >= MAXIMUM_SKIPPED_STARTS
        ),
        None,
    )


def count_start(urgency: int, skipped: SkippedStarts) -> SkippedStarts:
    """Count that a request was sent before the less urgent ones."""
    counted = skipped.set(urgency, 0)
    for other, count in skipped.items():
        if other > urgency:
            counted = counted.set(other, count + 1)
    return counted


def is_behind(
    one: WaitingRequest, ordered: abc.Iterable[WaitingRequest]
) -> bool:
    """Return whether a request may not be sent before those ahead of it.

    It may pass larger ones, unless these have been passed too often.
    """
    ahead = itertools.takewhile(
        lambda other: other.request_id != one.request_id, ordered
    )
    return any(other.cost <= one.cost or other.is_overdue for other in ahead)


def estimate_wait_seconds(
    one: WaitingRequest,
    ordered: abc.Sequence[WaitingRequest],
    rate: float,
    skipped: SkippedStarts,
) -> float:
    """Return the expected wait of a request from its place in the order.

    Less urgent requests yield, and do not count.
    """
    due = find_due_request(ordered, skipped)
    place = 1
    for other in ordered:
        if other.request_id == one.request_id:
            break
        place += other.urgency <= one.urgency or other is due
    return place / rate


def list_hopeless(
    ordered: abc.Sequence[WaitingRequest], rate: float, skipped: SkippedStarts
) -> tuple[WaitingRequest, ...]:
    """Return the requests whose expected wait their callers do not accept.

    The least urgent come first. Those behind a hopeless one of the same urgency
    may not be hopeless once it is refused.
    """
    hopeless = []
    remaining = list(ordered)
    for one in sorted(reversed(ordered), key=lambda other: -other.urgency):
        expected = estimate_wait_seconds(one, remaining, rate, skipped)
        if expected > one.patience_seconds:
            hopeless.append(one)
            remaining.remove(one)
    return tuple(hopeless)


def list_yielding(
    refused: WaitingRequest,
    ordered: abc.Sequence[WaitingRequest],
    skipped: SkippedStarts,
) -> tuple[WaitingRequest, ...]:
    """Return the requests that are refused before a more urgent one is.

    Only those whose callers are no more patient. A rank that was skipped too
    often keeps its turn.
    """
    due = find_due_request(ordered, skipped)
    return tuple(
        other
        for other in reversed(ordered)
        if other.urgency > refused.urgency
        and other is not due
        and other.patience_seconds
        <= refused.patience_seconds + ROUNDING_SECONDS
    )
