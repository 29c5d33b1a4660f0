"""Return the addresses of entry instances that a caller should use."""

import dataclasses
import hashlib
import typing

from mustardvale.internal import (
    caller_messages,
    effects,
    events,
    membership,
    reducer,
    transitions,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

# A caller that can connect to none of these addresses asks again.
MAXIMUM_ADDRESSES = 8
WEIGHT_BITS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Describe an entry instance; `is_live` says whether callers may use it."""

    address: str
    availability_zone: str
    region: str
    is_live: bool


@reducer.on_request.register(caller_messages.EntriesRequest)
def answer_entries(
    caller_request: caller_messages.EntriesRequest,
    event: events.CallerRequested,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Reply with the live entries in the order for this caller."""
    caller_id = caller_request.caller_id or caller_request.caller_address
    ordered = order_entries(
        caller_id,
        caller_request.availability_zone,
        find_entries(event.at, state),
    )
    addresses = tuple(
        caller_messages.EntryAddress(entry.address, entry.availability_zone)
        for entry in ordered[:MAXIMUM_ADDRESSES]
    )
    reply = caller_messages.EntriesFound(
        addresses,
        state.timing.address_validity_seconds,
    )
    return transitions.Transition(
        state,
        (effects.Reply(event.request_id, reply),),
    )


def order_entries(
    caller_id: str,
    availability_zone: str,
    listed: tuple[Entry, ...],
) -> tuple[Entry, ...]:
    """Return the live entries in the order in which a caller tries them.

    The first choice of a caller is made among all listed entries. If it is not
    live, the others follow in the caller's order of rendezvous weights without
    regard to zones. The load of a failed entry then spreads over the region
    and not over the few entries left in its zone, and only its own callers
    move back when it returns.
    """
    home_regions = frozenset(
        entry.region
        for entry in listed
        if entry.availability_zone == availability_zone
    )
    ordered = sorted(
        listed,
        key=lambda entry: (
            bool(home_regions) and entry.region not in home_regions,
            -compute_rendezvous_weight(caller_id, entry.address),
        ),
    )
    local = tuple(
        entry
        for entry in ordered
        if entry.availability_zone == availability_zone
    )
    if local and is_zone_preferred(caller_id, local, ordered):
        ordered.remove(local[0])
        ordered.insert(0, local[0])
    return tuple(entry for entry in ordered if entry.is_live)


def is_zone_preferred(
    caller_id: str,
    local: tuple[Entry, ...],
    ordered: list[Entry],
) -> bool:
    """Return whether a caller starts in its own zone.

    If a zone has less than an equal share of the region's entries, only the
    corresponding fraction of its callers starts there, so that its entries get
    no more load than the others.
    """
    regional = tuple(
        entry for entry in ordered if entry.region == local[0].region
    )
    zones = len({entry.availability_zone for entry in regional})
    share = zones * len(local) / len(regional)
    drawn = compute_rendezvous_weight(caller_id, local[0].availability_zone) / (
        1 << WEIGHT_BITS
    )
    return drawn < share


def find_entries(now: float, state: 'states.State') -> tuple[Entry, ...]:
    """Return this instance and all its peers."""
    peers = tuple(
        Entry(
            peer.listed.address,
            peer.listed.availability_zone,
            peer.listed.region,
            membership.is_live(peer, now),
        )
        for peer in state.membership.peers.values()
    )
    identity = state.identity
    own_entry = Entry(
        identity.address,
        identity.availability_zone,
        identity.region,
        state.membership.own_state == membership.LIVE,
    )
    return (own_entry, *peers)


def compute_rendezvous_weight(key: str, candidate: str) -> int:
    """Return the rendezvous weight of a candidate for a key."""
    digest = hashlib.blake2b(f'{key}|{candidate}'.encode(), digest_size=8)
    return int.from_bytes(digest.digest())
