"""Withhold the shares of the limits that silent peers may still be using.

A share is withheld for `WITHHOLD_SECONDS` or until the peer is removed from the
instance list. During that time a failure leaves part of a limit unused, and
the two sides of a network partition together stay within the limit.
"""

import dataclasses

import immutables

from mustardvale.internal import limits as tables

SILENT_SECONDS = 3.0
WITHHOLD_SECONDS = 60.0


def update_peers(
    listed: frozenset[str],
    now: float,
    limits: tables.LimitState,
) -> tables.LimitState:
    """Account for peers that joined, became silent or left the list."""
    known = frozenset((*limits.live_peers, *limits.silent_peers))
    for gone in known - listed:
        limits = tables.remove_peer(gone, limits)
    fresh = listed - known
    newly_silent = tuple(
        (peer_id, withhold_shares(peer, now, limits))
        for peer_id, peer in limits.live_peers.items()
        if now - peer.heard_at >= SILENT_SECONDS
    )
    equal_share = 1 / (
        len(limits.live_peers) + len(limits.silent_peers) + len(fresh) + 1
    )
    for peer_id, held in newly_silent:
        limits = tables.remove_peer(peer_id, limits)
        limits = with_silent(peer_id, held, limits)
    for joined in fresh:
        limits = with_silent(
            joined, tables.SilentPeer(now, equal_share), limits
        )
    return release_shares(now, limits)


def with_silent(
    peer_id: str,
    peer: tables.SilentPeer,
    limits: tables.LimitState,
) -> tables.LimitState:
    """Withhold the shares of a peer."""
    silent = limits.silent_peers.set(peer_id, peer)
    return dataclasses.replace(limits, silent_peers=silent)


def withhold_shares(
    peer: tables.LivePeer, now: float, limits: tables.LimitState
) -> tables.SilentPeer:
    """Return the shares that a peer used at its last heartbeat."""
    count = len(limits.live_peers) + 1
    names = frozenset((*limits.total_demands, *limits.accounts))
    shares: tables.AmountsByAccount = immutables.Map(
        {name: peer_share(name, peer, limits) for name in names}
    )
    return tables.SilentPeer(now, 1 / count, shares)


def peer_share(
    name: str, peer: tables.LivePeer, limits: tables.LimitState
) -> tables.Amounts:
    """Return the fractions of an account's limits that a live peer uses."""
    account = limits.accounts.get(name)
    own = tables.NO_AMOUNTS if account is None else account.reported
    total = limits.total_demands.get(name, tables.NO_AMOUNTS).plus(own)
    used = peer.demands.get(name, tables.NO_AMOUNTS)
    free = tables.find_free_shares(name, limits)
    count = len(limits.live_peers) + 1
    return tables.Amounts(
        free.requests
        * tables.divide_by_demand(used.requests, total.requests, count),
        free.tokens * tables.divide_by_demand(used.tokens, total.tokens, count),
    )


def release_shares(now: float, limits: tables.LimitState) -> tables.LimitState:
    """Release the shares of peers that have been silent for too long."""
    for peer_id, peer in limits.silent_peers.items():
        over = now - peer.since >= WITHHOLD_SECONDS - SILENT_SECONDS
        if over and (peer.default_share or peer.shares):
            released = tables.SilentPeer(peer.since, 0)
            limits = with_silent(peer_id, released, limits)
    return limits
