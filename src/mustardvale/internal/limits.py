"""Divide the rate limits of client accounts between the entry instances.

The share of an instance follows its part of the demand that heartbeats report.
There is no coordinator; the shares sum to the limit while all instances have
received the same reports. With `EQUAL_FRACTION` as f, n instances and the
demand d of each, the share of one instance is f / n + (1 - f) d / (sum of d).

The shares of silent peers are withheld, see `withheld_shares`.
"""

import dataclasses
import math

import immutables

from mustardvale import document as documents
from mustardvale.internal import buckets, messages

EQUAL_FRACTION = 0.1
BURST_SECONDS = 1.0
DEMAND_DECAY_SECONDS = 5.0
# A lower demand, less than one request in 100 s, is treated as none.
SMALLEST_DEMAND_PER_SECOND = 0.01
MAXIMUM_WAIT_SECONDS = 60.0
# 64 accounts take about 5 KB of a heartbeat; 690 would take 53 KB.
MAXIMUM_REPORTED_ACCOUNTS = 64
# A demand that changes by more than this fraction is reported first.
REPORTED_CHANGE_SHARE = 0.1
# An account is reported for this long after its last request, so that the peers
# learn that its demand has ended although heartbeats may be lost.
IDLE_SECONDS = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Amounts:
    """Hold one amount for requests and one for tokens."""

    requests: float = 0
    tokens: float = 0

    def plus(self, other: 'Amounts', factor: float = 1) -> 'Amounts':
        """Add other amounts, multiplied by a factor."""
        return Amounts(
            self.requests + factor * other.requests,
            self.tokens + factor * other.tokens,
        )

    def times(self, factor: float) -> 'Amounts':
        """Multiply both amounts by a factor."""
        return Amounts(self.requests * factor, self.tokens * factor)


AmountsByAccount = immutables.Map[str, Amounts]
NO_AMOUNTS = Amounts()


@dataclasses.dataclass(frozen=True, slots=True)
class AccountLimit:
    """Hold the token buckets of one account at this instance.

    `demand` is per second as of `demand_at`, including refused requests;
    `reported` is the demand last reported to peers, at `reported_at`; `rates`
    is this instance's share of the limit, per second.
    """

    requests: buckets.Bucket
    tokens: buckets.Bucket
    demand: Amounts = NO_AMOUNTS
    demand_at: float = 0
    reported: Amounts = NO_AMOUNTS
    reported_at: float = -1
    rates: Amounts = NO_AMOUNTS


@dataclasses.dataclass(frozen=True, slots=True)
class LivePeer:
    """Hold the last reported demand of a live peer."""

    heard_at: float
    demands: AmountsByAccount


@dataclasses.dataclass(frozen=True, slots=True)
class SilentPeer:
    """Hold the shares that a silent peer may still be using.

    `default_share` applies to accounts that `shares` does not contain.
    """

    since: float
    default_share: float
    shares: AmountsByAccount = immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True)
class LimitState:
    """Hold all accounts and peers.

    `total_demands` is the demand of all live peers by account.
    """

    started_at: float = 0
    reported_at: float = 0
    accounts: immutables.Map[str, AccountLimit] = immutables.Map()
    live_peers: immutables.Map[str, LivePeer] = immutables.Map()
    silent_peers: immutables.Map[str, SilentPeer] = immutables.Map()
    total_demands: AmountsByAccount = immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True)
class LimitDecision:
    """Pair the next state with the time to wait, 0 if the request may run."""

    limits: LimitState
    wait_seconds: float


def find_share(name: str, limits: LimitState) -> Amounts:
    """Return this instance's fractions of the limits of an account."""
    account = limits.accounts.get(name)
    own = NO_AMOUNTS if account is None else account.reported
    total = limits.total_demands.get(name, NO_AMOUNTS).plus(own)
    free = find_free_shares(name, limits)
    count = len(limits.live_peers) + 1
    return Amounts(
        free.requests
        * compute_demand_share(own.requests, total.requests, count),
        free.tokens * compute_demand_share(own.tokens, total.tokens, count),
    )


def find_free_shares(name: str, limits: LimitState) -> Amounts:
    """Return the fractions of the limits that silent peers do not hold."""
    held = NO_AMOUNTS
    for peer in limits.silent_peers.values():
        default_share = Amounts(peer.default_share, peer.default_share)
        held = held.plus(peer.shares.get(name, default_share))
    return Amounts(max(1 - held.requests, 0), max(1 - held.tokens, 0))


def compute_demand_share(own: float, total: float, count: int) -> float:
    """Return the fraction that an instance with the demand `own` gets.

    `total` is the demand of all `count` instances.
    """
    by_demand = own / total if total > 0 else 1 / count
    return EQUAL_FRACTION / count + (1 - EQUAL_FRACTION) * by_demand


def try_acquire(
    account: documents.ClientAccount,
    tokens: int,
    now: float,
    limits: LimitState,
) -> LimitDecision:
    """Record a request for up to `tokens` tokens and charge it if it may run.

    Tokens are charged on delivery, so a request only requires that the token
    bucket of the account is not in debt.
    """
    account_limit = refill(account, now, limits)
    account_limit = dataclasses.replace(
        account_limit,
        demand=compute_current_demand(account_limit, now).plus(
            Amounts(1, tokens), 1 / DEMAND_DECAY_SECONDS
        ),
        demand_at=now,
    )
    wait_seconds = max(
        buckets.compute_wait_seconds(
            account_limit.requests, 1, account_limit.rates.requests
        ),
        buckets.compute_wait_seconds(
            account_limit.tokens, 0, account_limit.rates.tokens
        ),
    )
    if not wait_seconds:
        taken = buckets.take(account_limit.requests, 1)
        account_limit = dataclasses.replace(account_limit, requests=taken)
    return LimitDecision(
        with_account(account.name, account_limit, limits),
        min(wait_seconds, MAXIMUM_WAIT_SECONDS),
    )


def refill(
    account: documents.ClientAccount,
    now: float,
    limits: LimitState,
) -> AccountLimit:
    """Return the account with its buckets refilled up to now.

    Buckets are empty when an instance starts, so that restarts admit nothing
    beyond the limit.
    """
    empty = buckets.Bucket(0, limits.started_at)
    account_limit = limits.accounts.get(
        account.name, AccountLimit(empty, empty)
    )
    share = find_share(account.name, limits)
    rates = Amounts(
        account.requests_per_second * share.requests,
        account.tokens_per_second * share.tokens,
    )
    return dataclasses.replace(
        account_limit,
        requests=buckets.refill(
            account_limit.requests,
            rates.requests,
            max(rates.requests * BURST_SECONDS, 1),
            now,
        ),
        tokens=refill_tokens(account_limit.tokens, rates.tokens, now),
        rates=rates,
    )


def refill_tokens(
    bucket: buckets.Bucket,
    rate: float,
    now: float,
) -> buckets.Bucket:
    """Return the bucket for tokens, refilled up to now."""
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
    """Replace the state of an account."""
    accounts = limits.accounts.set(name, account)
    return dataclasses.replace(limits, accounts=accounts)


def compute_current_demand(account: AccountLimit, now: float) -> Amounts:
    """Return the current demand.

    It decays exponentially with the time constant `DEMAND_DECAY_SECONDS`.
    """
    elapsed = max(now - account.demand_at, 0)
    demand = account.demand.times(math.exp(-elapsed / DEMAND_DECAY_SECONDS))
    if demand.requests < SMALLEST_DEMAND_PER_SECOND:
        return NO_AMOUNTS
    return demand


def update_reported_demand(now: float, limits: LimitState) -> LimitState:
    """Update the demand that the next heartbeats report.

    A heartbeat reports up to `MAXIMUM_REPORTED_ACCOUNTS` accounts: first those
    whose demand has changed, then all others in rotation, which also makes up
    for lost heartbeats. This instance computes its own share from the reported
    demand too, so that all instances use the same numbers.
    """
    due = sorted(
        (
            (is_changed(account, now), now - account.reported_at, name)
            for name, account in limits.accounts.items()
            if not is_idle(account, now)
        ),
        reverse=True,
    )
    accounts = limits.accounts
    for _, _, name in due[:MAXIMUM_REPORTED_ACCOUNTS]:
        account = dataclasses.replace(
            accounts[name],
            reported=compute_current_demand(accounts[name], now),
            reported_at=now,
        )
        accounts = accounts.set(name, account)
    return dataclasses.replace(limits, accounts=accounts, reported_at=now)


def is_changed(account: AccountLimit, now: float) -> bool:
    """Return whether the demand differs from the one last reported."""
    demand = compute_current_demand(account, now)
    return any(
        abs(amount - reported) > REPORTED_CHANGE_SHARE * max(amount, reported)
        for amount, reported in (
            (demand.requests, account.reported.requests),
            (demand.tokens, account.reported.tokens),
        )
    )


def is_idle(account: AccountLimit, now: float) -> bool:
    """Return whether an account has nothing left to report."""
    return (
        account.reported == NO_AMOUNTS
        and now - account.demand_at > IDLE_SECONDS
    )


def build_usage_report(limits: LimitState) -> tuple[messages.AccountUsage, ...]:
    """Return the last updated demand in the form used in heartbeats."""
    return tuple(
        messages.AccountUsage(
            name,
            round(account.reported.requests, 3),
            round(account.reported.tokens, 3),
        )
        for name, account in limits.accounts.items()
        if account.reported_at == limits.reported_at
    )


def merge_usage_report(
    peer_id: str,
    reported: tuple[messages.AccountUsage, ...],
    now: float,
    limits: LimitState,
) -> LimitState:
    """Merge the demand reported in a heartbeat of a peer."""
    if peer_id in limits.silent_peers:
        limits = remove_peer(peer_id, limits)
    peer = limits.live_peers.get(peer_id, LivePeer(now, immutables.Map()))
    known = peer.demands
    reported_amounts: AmountsByAccount = immutables.Map(
        {
            row.account: Amounts(row.requests_per_second, row.tokens_per_second)
            for row in reported
        }
    )
    replaced: AmountsByAccount = immutables.Map(
        {name: known[name] for name in reported_amounts if name in known}
    )
    totals = add_demands(
        add_demands(limits.total_demands, replaced, -1), reported_amounts, 1
    )
    peer = LivePeer(now, known.update(reported_amounts))
    return dataclasses.replace(
        limits,
        live_peers=limits.live_peers.set(peer_id, peer),
        total_demands=totals,
    )


def add_demands(
    totals: AmountsByAccount, demands: AmountsByAccount, factor: float
) -> AmountsByAccount:
    """Add demands, multiplied by a factor, to totals; drop those near 0."""
    for name, demand in demands.items():
        total = totals.get(name, NO_AMOUNTS).plus(demand, factor)
        if total.requests < SMALLEST_DEMAND_PER_SECOND / 2:
            totals = totals.delete(name) if name in totals else totals
        else:
            totals = totals.set(name, total)
    return totals


def remove_peer(peer_id: str, limits: LimitState) -> LimitState:
    """Remove a peer and its demand."""
    peer = limits.live_peers.get(peer_id)
    if peer is not None:
        return dataclasses.replace(
            limits,
            live_peers=limits.live_peers.delete(peer_id),
            total_demands=add_demands(limits.total_demands, peer.demands, -1),
        )
    if peer_id in limits.silent_peers:
        silent = limits.silent_peers.delete(peer_id)
        return dataclasses.replace(limits, silent_peers=silent)
    return limits
