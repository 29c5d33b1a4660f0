"""Withhold the shares of the limits that silent peers may still be using.

A share is withheld for `WITHHOLD_SECONDS` or until the peer is removed from the
instance list. During that time a failure leaves part of a limit unused, and
the two sides of a network partition together stay within the limit.
"""

import dataclasses

import immutables

from mustardvale.internal import limits as account_limits

SILENT_SECONDS = 3.0
WITHHOLD_SECONDS = 60.0


def update_peers(
    listed: frozenset[str],
    now: float,
    limits: account_limits.LimitState,
) -> account_limits.LimitState:
    """Account for peers that joined, became silent or left the list.

    A peer that joined counts as silent, with an equal share, until its first
    heartbeat.
    """
    known = frozenset((*limits.live_peers, *limits.silent_peers))
    for peer_id in known - listed:
        limits = account_limits.remove_peer(peer_id, limits)
    joined = listed - known
    newly_silent = tuple(
        (peer_id, build_silent_peer(peer, now, limits))
        for peer_id, peer in limits.live_peers.items()
        if now - peer.heard_at >= SILENT_SECONDS
    )
    equal_share = 1 / (
        len(limits.live_peers) + len(limits.silent_peers) + len(joined) + 1
    )
    for peer_id, silent_peer in newly_silent:
        limits = account_limits.remove_peer(peer_id, limits)
        limits = with_silent_peer(peer_id, silent_peer, limits)
    for peer_id in joined:
        limits = with_silent_peer(
            peer_id, account_limits.SilentPeer(now, equal_share), limits
        )
    return release_shares(now, limits)


def with_silent_peer(
    peer_id: str,
    peer: account_limits.SilentPeer,
    limits: account_limits.LimitState,
) -> account_limits.LimitState:
    """Return the limits with a silent peer added or replaced."""
    silent = limits.silent_peers.set(peer_id, peer)
    return dataclasses.replace(limits, silent_peers=silent)


def build_silent_peer(
    peer: account_limits.LivePeer, now: float, limits: account_limits.LimitState
) -> account_limits.SilentPeer:
    """Return a peer as silent, with its shares at its last heartbeat."""
    count = len(limits.live_peers) + 1
    names = frozenset((*limits.total_demands, *limits.accounts))
    shares: account_limits.AmountsByAccount = immutables.Map(
        {name: compute_peer_share(name, peer, limits) for name in names}
    )
    return account_limits.SilentPeer(now, 1 / count, shares)


def compute_peer_share(
    name: str, peer: account_limits.LivePeer, limits: account_limits.LimitState
) -> account_limits.Amounts:
    """Return the fractions of an account's limits that a live peer uses."""
    account = limits.accounts.get(name)
    own = account_limits.NO_AMOUNTS if account is None else account.reported
    total = limits.total_demands.get(name, account_limits.NO_AMOUNTS).plus(own)
    used = peer.demands.get(name, account_limits.NO_AMOUNTS)
    free = account_limits.find_free_shares(name, limits)
    count = len(limits.live_peers) + 1
    return account_limits.Amounts(
        free.requests
        * account_limits.compute_demand_share(
            used.requests, total.requests, count
        ),
        free.tokens
        * account_limits.compute_demand_share(used.tokens, total.tokens, count),
    )


def release_shares(
    now: float, limits: account_limits.LimitState
) -> account_limits.LimitState:
    """Release the shares of peers that have been silent for too long.

    A peer counts as silent only `SILENT_SECONDS` after its last heartbeat, so
    these are part of `WITHHOLD_SECONDS`.
    """
    for peer_id, peer in limits.silent_peers.items():
        is_expired = now - peer.since >= WITHHOLD_SECONDS - SILENT_SECONDS
        if is_expired and (peer.default_share or peer.shares):
            released = account_limits.SilentPeer(peer.since, 0)
            limits = with_silent_peer(peer_id, released, limits)
    return limits
