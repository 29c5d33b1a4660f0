"""Divide limits that all instances share among them."""

import typing

from mustardvale.internal.relay import members

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

# The store lists a member only once partitions have been handed over to it, so
# that the lists of instances that start together lack most of them for a time.
SETTLING_SECONDS = 2 * members.HANDOVER_SECONDS
# The generation of a zone's group counts its changes, and is therefore no less
# than the number of members that have joined. In a group that is older than
# this instance it may be much more.
MAXIMUM_ASSUMED_ZONE_MEMBERS = 64


def count_shares(now: float, state: 'states.State') -> int:
    """Return by how many instances a shared limit is divided.

    The first lists of an instance may be incomplete. Until they have settled,
    its share is that of a site with as many zones and members as there may be.
    """
    listed_count = members.count_instances(state)
    joined_at = state.members.first_joined_at
    if joined_at is None or now - joined_at >= SETTLING_SECONDS:
        return listed_count
    zone_members = MAXIMUM_ASSUMED_ZONE_MEMBERS
    if state.members.zone.generation:
        zone_members = min(zone_members, state.members.zone.generation)
    return max(listed_count, zone_members * members.ASSUMED_ZONE_COUNT)
