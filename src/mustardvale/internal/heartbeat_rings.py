"""Choose the peers that an entry instance sends its heartbeats to.

At a small site these are all peers (a full mesh). At a large site the
instances form a ring in the order of a hash of their ids. Each sends to its
two successors, so that every instance hears at least two others, and to a few
farther instances (fingers), so that relayed messages reach all instances in a
few hops. An instance that joins or leaves changes the targets of few others.
"""

import bisect
import dataclasses
import hashlib
from collections import abc

FULL_MESH_MAXIMUM_INSTANCES = 16
SUCCESSOR_COUNT = 2
# Distances of the farther targets as fractions of the ring.
FINGER_DISTANCES = (1 / 64, 1 / 8, 1 / 2)
POINT_BYTES = 8
CIRCUMFERENCE = 1 << (8 * POINT_BYTES)


@dataclasses.dataclass(frozen=True, slots=True)
class Ring:
    """Hold instance ids in the order of their points on the ring."""

    points: tuple[int, ...] = ()
    ids: tuple[str, ...] = ()


def build_ring(ids: abc.Iterable[str]) -> Ring:
    """Build the ring of a set of instances."""
    ordered = sorted(
        (find_point(instance_id), instance_id) for instance_id in ids
    )
    return Ring(
        tuple(point for point, _ in ordered),
        tuple(instance_id for _, instance_id in ordered),
    )


def find_point(instance_id: str) -> int:
    """Return the point of an instance, a hash of its id."""
    digest = hashlib.blake2b(instance_id.encode(), digest_size=POINT_BYTES)
    return int.from_bytes(digest.digest())


def is_full_mesh(ring: Ring) -> bool:
    """Return whether every instance sends to every other one."""
    return len(ring.ids) <= FULL_MESH_MAXIMUM_INSTANCES


def find_targets(instance_id: str, ring: Ring) -> tuple[str, ...]:
    """Return the instances to which an instance sends its heartbeats."""
    if is_full_mesh(ring):
        return tuple(other for other in ring.ids if other != instance_id)
    point = find_point(instance_id)
    after = bisect.bisect_right(ring.points, point)
    count = len(ring.ids)
    positions = [after + offset for offset in range(SUCCESSOR_COUNT)]
    for distance in FINGER_DISTANCES:
        finger_point = (point + int(distance * CIRCUMFERENCE)) % CIRCUMFERENCE
        positions.append(bisect.bisect_left(ring.points, finger_point))
    targets = dict.fromkeys(
        ring.ids[position % count] for position in positions
    )
    return tuple(other for other in targets if other != instance_id)
