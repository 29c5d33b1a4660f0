"""Decide which connections of callers an instance accepts and keeps."""

import dataclasses
import enum
import heapq
import math
import typing
from collections import abc

# The other descriptors are for upstreams, the store, peers and files.
CALLER_SHARE = 0.75
# Shares of the callers' connections by listener. Each is reserved, so that no
# crowd at one listener takes the connections of another one.
FRONT_SHARE = 0.625
PEER_SHARE = 0.1875
OTHER_SHARE = 0.0625
# All clients may come from one address; another one still gets connections.
ADDRESS_SHARE = 0.75
# Connections that are ended at once to make room, because each choice looks at
# all connections.
ENDED_AT_ONCE = 16
# A connection without a request is kept for this long: its request, or the
# refusal of an earlier one, may be on the way.
MINIMUM_WAIT_SECONDS = 0.25


class Verdict(enum.Enum):
    """Name what happens to a new connection."""

    ACCEPT = 'accept'
    # It waits until the listener has room.
    WAIT = 'wait'
    REFUSE = 'refuse'


@dataclasses.dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Limit the connections of one listener, in all and by address."""

    connections: float = math.inf
    connections_by_address: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """Describe a connection without a complete request.

    `waiting_since` is when its last answer or the last part of a request
    ended. `is_answered` is true if its last answer has been written and only
    its close is missing.
    """

    key: typing.Any
    waiting_since: float
    is_answered: bool = False


def build(share: float, maximum_descriptors: float) -> ListenerLimits:
    """Return the limits of a listener with a share of the connections."""
    connections = max(int(maximum_descriptors * CALLER_SHARE * share), 1)
    return ListenerLimits(connections, max(int(connections * ADDRESS_SHARE), 1))


def is_listener_full(count: int, limits: ListenerLimits) -> bool:
    """Return whether a listener has as many connections as it may."""
    return count >= limits.connections


def is_address_full(count: int, limits: ListenerLimits) -> bool:
    """Return whether an address has as many connections as it may."""
    return count >= limits.connections_by_address


def decide(
    listener_count: int, address_count: int, limits: ListenerLimits
) -> Verdict:
    """Return what happens to a connection after room was made, if possible.

    Only connections of other addresses may wait for it to be accepted.
    """
    if is_address_full(address_count, limits):
        return Verdict.REFUSE
    if is_listener_full(listener_count, limits):
        return Verdict.WAIT
    return Verdict.ACCEPT


def choose_ended(
    waiting: abc.Iterable[Waiting], now: float
) -> tuple[typing.Any, ...]:
    """Return the connections that are ended to make room, first ones first.

    Those that were answered go before those that have waited for longest.
    """
    candidates = [
        connection
        for connection in waiting
        if now - connection.waiting_since >= MINIMUM_WAIT_SECONDS
    ]
    chosen = heapq.nsmallest(
        ENDED_AT_ONCE,
        candidates,
        key=lambda found: (not found.is_answered, found.waiting_since),
    )
    return tuple(found.key for found in chosen)
