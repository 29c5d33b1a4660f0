"""Divide the limits of client accounts over the entry instances.

Each instance uses a share of a limit that follows its part of the demand that
heartbeats report. No instance coordinates; the shares sum to the limit while
all instances have heard the same reports. With `FLOOR` as f, `n` instances and
the demand d of each, the share of one is f / n + (1 - f) d / (sum of d).

The shares of silent peers are withheld for `PARTITION_SECONDS`, or until the
instance list no longer names them. So a failure leaves part of a limit unused,
and the sides of a partition together stay within it for that time.
"""

import dataclasses
import math

import immutables

from mustardvale import document as documents
from mustardvale.internal import buckets, messages

FLOOR = 0.1
BURST_SECONDS = 1.0
DEMAND_SECONDS = 5.0
SILENT_SECONDS = 3.0
PARTITION_SECONDS = 60.0
# Less than one request in a hundred seconds is not worth a report.
SMALLEST_DEMAND_PER_SECOND = 0.01
MAXIMUM_WAIT_SECONDS = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Pair:
    """Hold one number for requests and one for tokens."""

    requests: float = 0
    tokens: float = 0

    def plus(self, other: 'Pair', factor: float = 1) -> 'Pair':
        """Add another pair, multiplied by a factor."""
        return Pair(
            self.requests + factor * other.requests,
            self.tokens + factor * other.tokens,
        )

    def times(self, factor: float) -> 'Pair':
        """Multiply both numbers."""
        return Pair(self.requests * factor, self.tokens * factor)


Pairs = immutables.Map[str, Pair]
NOTHING = Pair()


@dataclasses.dataclass(frozen=True, slots=True)
class AccountLimit:
    """Hold the buckets of one account at this instance.

    `asked` is the demand per second as of `asked_at`, refused requests
    included, `reported` what peers were told of it, `rates` this instance's
    part of the limit per second.
    """

    requests: buckets.Bucket
    tokens: buckets.Bucket
    asked: Pair = NOTHING
    asked_at: float = 0
    reported: Pair = NOTHING
    rates: Pair = NOTHING


@dataclasses.dataclass(frozen=True, slots=True)
class LivePeer:
    """Hold the demand that a peer reported last."""

    heard_at: float
    demands: Pairs


@dataclasses.dataclass(frozen=True, slots=True)
class SilentPeer:
    """Hold the shares that a peer may still use.

    `otherwise` is its share of the accounts that `shares` does not name.
    """

    since: float
    otherwise: float
    shares: Pairs = immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True)
class LimitState:
    """Hold all accounts and peers; `totals` is the demand of live peers."""

    started_at: float = 0
    accounts: immutables.Map[str, AccountLimit] = immutables.Map()
    live: immutables.Map[str, LivePeer] = immutables.Map()
    silent: immutables.Map[str, SilentPeer] = immutables.Map()
    totals: Pairs = immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True)
class Asked:
    """Pair the next state with the time to wait, 0 if a request may run."""

    limits: LimitState
    wait_seconds: float


def share_of(name: str, limits: LimitState) -> Pair:
    """Return the parts of an account's limits that this instance may use."""
    account = limits.accounts.get(name)
    own = NOTHING if account is None else account.reported
    total = limits.totals.get(name, NOTHING).plus(own)
    free = free_parts(name, limits)
    count = len(limits.live) + 1
    return Pair(
        free.requests * divide(own.requests, total.requests, count),
        free.tokens * divide(own.tokens, total.tokens, count),
    )


def free_parts(name: str, limits: LimitState) -> Pair:
    """Return what silent peers leave of the limits of an account."""
    held = NOTHING
    for peer in limits.silent.values():
        otherwise = Pair(peer.otherwise, peer.otherwise)
        held = held.plus(peer.shares.get(name, otherwise))
    return Pair(max(1 - held.requests, 0), max(1 - held.tokens, 0))


def divide(own: float, total: float, count: int) -> float:
    """Return the part of one of `count` instances by its demand."""
    by_demand = own / total if total > 0 else 1 / count
    return FLOOR / count + (1 - FLOOR) * by_demand


def ask(
    account: documents.ClientAccount,
    tokens: int,
    now: float,
    limits: LimitState,
) -> Asked:
    """Note a request for up to `tokens` tokens and take it if it may run.

    Tokens are charged when they are delivered, so a request needs only that
    the account owes none.
    """
    current = refill(account, now, limits)
    current = dataclasses.replace(
        current,
        asked=decay(current, now).plus(Pair(1, tokens), 1 / DEMAND_SECONDS),
        asked_at=now,
    )
    wait = max(
        buckets.seconds_until(current.requests, 1, current.rates.requests),
        buckets.seconds_until(current.tokens, 0, current.rates.tokens),
    )
    if not wait:
        taken = buckets.take(current.requests, 1)
        current = dataclasses.replace(current, requests=taken)
    return Asked(
        with_account(account.name, current, limits),
        min(wait, MAXIMUM_WAIT_SECONDS),
    )


def refill(
    account: documents.ClientAccount,
    now: float,
    limits: LimitState,
) -> AccountLimit:
    """Return the buckets of an account with what came in until now.

    An instance starts with empty buckets, so that restarts admit nothing
    above the limit.
    """
    empty = buckets.Bucket(0, limits.started_at)
    current = limits.accounts.get(account.name, AccountLimit(empty, empty))
    share = share_of(account.name, limits)
    rates = Pair(
        account.requests_per_second * share.requests,
        account.tokens_per_second * share.tokens,
    )
    return dataclasses.replace(
        current,
        requests=buckets.refill(
            current.requests,
            rates.requests,
            max(rates.requests * BURST_SECONDS, 1),
            now,
        ),
        tokens=refill_tokens(current.tokens, rates.tokens, now),
        rates=rates,
    )


def refill_tokens(
    bucket: buckets.Bucket,
    rate: float,
    now: float,
) -> buckets.Bucket:
    """Return a bucket of tokens with what came in until now."""
    return buckets.refill(bucket, rate, max(rate * BURST_SECONDS, 1), now)


def charge(
    name: str,
    tokens: int,
    now: float,
    limits: LimitState,
) -> LimitState:
    """Charge delivered tokens to an account."""
    account = limits.accounts.get(name)
    if account is None:
        return limits
    filled = refill_tokens(account.tokens, account.rates.tokens, now)
    taken = buckets.take(filled, tokens)
    charged = dataclasses.replace(account, tokens=taken)
    return with_account(name, charged, limits)


def with_account(
    name: str,
    account: AccountLimit,
    limits: LimitState,
) -> LimitState:
    """Replace what is known of an account."""
    accounts = limits.accounts.set(name, account)
    return dataclasses.replace(limits, accounts=accounts)


def decay(account: AccountLimit, now: float) -> Pair:
    """Return the demand now, which fades over `DEMAND_SECONDS`."""
    elapsed = max(now - account.asked_at, 0)
    return account.asked.times(math.exp(-elapsed / DEMAND_SECONDS))


def report(now: float, limits: LimitState) -> LimitState:
    """Fix the demand that the next heartbeats report.

    The own share uses the reported demand as well, so that all instances
    divide by the same numbers.
    """
    accounts = limits.accounts
    for name, account in accounts.items():
        demand = decay(account, now)
        if demand.requests < SMALLEST_DEMAND_PER_SECOND:
            demand = NOTHING
        if demand != account.reported:
            account = dataclasses.replace(account, reported=demand)
            accounts = accounts.set(name, account)
    return dataclasses.replace(limits, accounts=accounts)


def usage(limits: LimitState) -> tuple[messages.AccountUsage, ...]:
    """Return the reported demand as it goes into a heartbeat."""
    return tuple(
        messages.AccountUsage(
            name,
            round(account.reported.requests, 3),
            round(account.reported.tokens, 3),
        )
        for name, account in limits.accounts.items()
        if account.reported != NOTHING
    )


def hear(
    peer_id: str,
    reported: tuple[messages.AccountUsage, ...],
    now: float,
    limits: LimitState,
) -> LimitState:
    """Take the demand that the heartbeat of a peer reports."""
    demands: Pairs = immutables.Map(
        {
            row.account: Pair(row.requests_per_second, row.tokens_per_second)
            for row in reported
        }
    )
    limits = forget(peer_id, limits)
    return dataclasses.replace(
        limits,
        live=limits.live.set(peer_id, LivePeer(now, demands)),
        totals=add(limits.totals, demands, 1),
    )


def add(totals: Pairs, demands: Pairs, factor: float) -> Pairs:
    """Add demands to totals; what cancels out is dropped."""
    for name, demand in demands.items():
        total = totals.get(name, NOTHING).plus(demand, factor)
        if total.requests < SMALLEST_DEMAND_PER_SECOND / 2:
            totals = totals.delete(name) if name in totals else totals
        else:
            totals = totals.set(name, total)
    return totals


def forget(peer_id: str, limits: LimitState) -> LimitState:
    """Remove a peer and its demand."""
    peer = limits.live.get(peer_id)
    if peer is not None:
        return dataclasses.replace(
            limits,
            live=limits.live.delete(peer_id),
            totals=add(limits.totals, peer.demands, -1),
        )
    if peer_id in limits.silent:
        silent = limits.silent.delete(peer_id)
        return dataclasses.replace(limits, silent=silent)
    return limits


def follow(
    listed: frozenset[str],
    now: float,
    limits: LimitState,
) -> LimitState:
    """Account for peers that joined, fell silent or left the list."""
    known = frozenset((*limits.live, *limits.silent))
    for gone in known - listed:
        limits = forget(gone, limits)
    fresh = listed - known
    fallen = tuple(
        (peer_id, hold_shares(peer, now, limits))
        for peer_id, peer in limits.live.items()
        if now - peer.heard_at >= SILENT_SECONDS
    )
    equal = 1 / (len(limits.live) + len(limits.silent) + len(fresh) + 1)
    for peer_id, held in fallen:
        limits = forget(peer_id, limits)
        limits = with_silent(peer_id, held, limits)
    for joined in fresh:
        limits = with_silent(joined, SilentPeer(now, equal), limits)
    return release_shares(now, limits)


def with_silent(
    peer_id: str,
    peer: SilentPeer,
    limits: LimitState,
) -> LimitState:
    """Withhold the shares of a peer."""
    silent = limits.silent.set(peer_id, peer)
    return dataclasses.replace(limits, silent=silent)


def hold_shares(peer: LivePeer, now: float, limits: LimitState) -> SilentPeer:
    """Return the shares that a peer used when it was last heard."""
    count = len(limits.live) + 1
    names = frozenset((*limits.totals, *limits.accounts))
    shares: Pairs = immutables.Map(
        {name: peer_share(name, peer, limits) for name in names}
    )
    return SilentPeer(now, 1 / count, shares)


def peer_share(name: str, peer: LivePeer, limits: LimitState) -> Pair:
    """Return the parts of an account's limits that a live peer uses."""
    account = limits.accounts.get(name)
    own = NOTHING if account is None else account.reported
    total = limits.totals.get(name, NOTHING).plus(own)
    used = peer.demands.get(name, NOTHING)
    free = free_parts(name, limits)
    count = len(limits.live) + 1
    return Pair(
        free.requests * divide(used.requests, total.requests, count),
        free.tokens * divide(used.tokens, total.tokens, count),
    )


def release_shares(now: float, limits: LimitState) -> LimitState:
    """Divide the shares of peers that have been silent for long."""
    for peer_id, peer in limits.silent.items():
        over = now - peer.since >= PARTITION_SECONDS - SILENT_SECONDS
        if over and (peer.otherwise or peer.shares):
            released = SilentPeer(peer.since, 0)
            limits = with_silent(peer_id, released, limits)
    return limits
