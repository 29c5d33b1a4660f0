"""Withhold the shares of the limits that silent peers may still use.

They are withheld for `PARTITION_SECONDS`, or until the instance list no longer
names the peer. So a failure leaves part of a limit unused, and the sides of a
partition together stay within it for that time.
"""

import dataclasses

import immutables

from mustardvale.internal import limits as tables

SILENT_SECONDS = 3.0
PARTITION_SECONDS = 60.0


def follow(
    listed: frozenset[str],
    now: float,
    limits: tables.LimitState,
) -> tables.LimitState:
    """Account for peers that joined, fell silent or left the list."""
    known = frozenset((*limits.live, *limits.silent))
    for gone in known - listed:
        limits = tables.forget(gone, limits)
    fresh = listed - known
    fallen = tuple(
        (peer_id, hold_shares(peer, now, limits))
        for peer_id, peer in limits.live.items()
        if now - peer.heard_at >= SILENT_SECONDS
    )
    equal = 1 / (len(limits.live) + len(limits.silent) + len(fresh) + 1)
    for peer_id, held in fallen:
        limits = tables.forget(peer_id, limits)
        limits = with_silent(peer_id, held, limits)
    for joined in fresh:
        limits = with_silent(joined, tables.SilentPeer(now, equal), limits)
    return release_shares(now, limits)


def with_silent(
    peer_id: str,
    peer: tables.SilentPeer,
    limits: tables.LimitState,
) -> tables.LimitState:
    """Withhold the shares of a peer."""
    silent = limits.silent.set(peer_id, peer)
    return dataclasses.replace(limits, silent=silent)


def hold_shares(
    peer: tables.LivePeer, now: float, limits: tables.LimitState
) -> tables.SilentPeer:
    """Return the shares that a peer used when it was last heard."""
    count = len(limits.live) + 1
    names = frozenset((*limits.totals, *limits.accounts))
    shares: tables.Pairs = immutables.Map(
        {name: peer_share(name, peer, limits) for name in names}
    )
    return tables.SilentPeer(now, 1 / count, shares)


def peer_share(
    name: str, peer: tables.LivePeer, limits: tables.LimitState
) -> tables.Pair:
    """Return the parts of an account's limits that a live peer uses."""
    account = limits.accounts.get(name)
    own = tables.NOTHING if account is None else account.reported
    total = limits.totals.get(name, tables.NOTHING).plus(own)
    used = peer.demands.get(name, tables.NOTHING)
    free = tables.free_parts(name, limits)
    count = len(limits.live) + 1
    return tables.Pair(
        free.requests * tables.divide(used.requests, total.requests, count),
        free.tokens * tables.divide(used.tokens, total.tokens, count),
    )


def release_shares(now: float, limits: tables.LimitState) -> tables.LimitState:
    """Divide the shares of peers that have been silent for long."""
    for peer_id, peer in limits.silent.items():
        over = now - peer.since >= PARTITION_SECONDS - SILENT_SECONDS
        if over and (peer.otherwise or peer.shares):
            released = tables.SilentPeer(peer.since, 0)
            limits = with_silent(peer_id, released, limits)
    return limits
