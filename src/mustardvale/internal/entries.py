"""Tell callers which entry addresses to use."""

import hashlib
from typing import TYPE_CHECKING

from mustardvale.internal import (
    effects,
    events,
    membership,
    reducer,
    replies,
    transitions,
)

if TYPE_CHECKING:
    from mustardvale.internal import state as states


@reducer.on_request.register(replies.EntriesWanted)
def answer_entries(
    wanted: replies.EntriesWanted,
    event: events.CallerRequested,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Answer with the live entries in the order for this caller."""
    caller_id = wanted.caller_id or wanted.caller_address
    ordered = sorted(
        live_entries(event.at, state),
        key=lambda entry: (
            entry.availability_zone != wanted.availability_zone,
            -weight(caller_id, entry.address),
        ),
    )
    found = replies.EntriesFound(
        tuple(ordered),
        state.timing.address_validity,
    )
    return transitions.Transition(
        state,
        (effects.Reply(event.request_id, found),),
    )


def live_entries(
    now: float,
    state: 'states.State',
) -> tuple[replies.EntryAddress, ...]:
    """Return the addresses that take new requests."""
    peers = tuple(
        replies.EntryAddress(
            peer.listed.address,
            peer.listed.availability_zone,
        )
        for peer in state.membership.peers.values()
        if membership.is_live(peer, now)
    )
    if state.membership.own_state != membership.LIVE:
        return peers
    own = replies.EntryAddress(
        state.identity.address,
        state.identity.availability_zone,
    )
    return (own, *peers)


def weight(caller_id: str, address: str) -> int:
    """Return the rendezvous weight of an address for a caller."""
    digest = hashlib.blake2b(f'{caller_id}|{address}'.encode(), digest_size=8)
    return int.from_bytes(digest.digest())
