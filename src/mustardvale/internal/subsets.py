"""Choose the runners that one entry instance uses.

Each entry instance ranks the runners of a pool by rendezvous hash, so that a
runner that comes or goes changes the subsets of few instances by one runner
each, and an instance that comes or goes changes no other instance's subset.
"""

import hashlib
import math
from collections import abc

# Up to this many runners every instance uses all.
SMALL_POOL_RUNNERS = 64
SUBSET_SHARE = 0.2
MINIMUM_STAGE_RUNNERS = 8
# A runner is in the subset of each of n instances with the chance p, so the
# standard deviation of its load is sqrt((1 - p) / (n * p)) of the mean.
# Subsets are large enough that this stays below a tenth.
MAXIMUM_LOAD_DEVIATION = 0.1
# As long as a stage lacks runners, this part of the subset's size is tried.
TRIAL_SHARE = 0.25

# Load reports may use a third of the 18 KB/s that a node has for control. The
# first 64 are asked each second all the same: reports are fresh where pools
# are small.
POLL_BYTES_PER_SECOND = 6000
# One question and answer with their headers and those of TCP/IP.
POLL_BYTES = 700
FREQUENTLY_POLLED_RUNNERS = 64
SHORTEST_PERIOD_SECONDS = 1.0


def rank(entry_id: str, ids: abc.Iterable[str]) -> tuple[str, ...]:
    """Return runner ids in the order of preference of an entry instance."""
    return tuple(sorted(ids, key=lambda one: compute_weight(entry_id, one)))


def compute_weight(entry_id: str, instance_id: str) -> bytes:
    """Return the rendezvous weight of a runner; the least goes first."""
    text = f'{entry_id}|{instance_id}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def choose(
    ranked: tuple[str, ...],
    stages: abc.Mapping[str, abc.Hashable],
    entry_count: int,
) -> frozenset[str]:
    """Choose from ranked runners, given the stages of those that reported.

    `entries` is the number of entry instances that choose.

    A stage of which fewer than the minimum are chosen gets more of its
    runners, and some whose stage is not known yet are tried as well.
    """
    if len(ranked) <= SMALL_POOL_RUNNERS:
        return frozenset(ranked)
    size = math.ceil(find_share(entry_count) * len(ranked))
    missing = dict.fromkeys(stages.values(), MINIMUM_STAGE_RUNNERS)
    for one in ranked[:size]:
        stage = stages.get(one)
        if stage is not None:
            missing[stage] -= 1
    is_incomplete = any(count > 0 for count in missing.values())
    trials = math.ceil(TRIAL_SHARE * size) if is_incomplete else 0
    chosen = set(ranked[:size])
    for other in ranked[size:]:
        stage = stages.get(other)
        if stage is None:
            is_wanted = trials > 0
            trials -= 1
        else:
            is_wanted = missing[stage] > 0
            missing[stage] -= 1
        if is_wanted:
            chosen.add(other)
    return frozenset(chosen)


def find_share(entry_count: int) -> float:
    """Return the part of a pool that each of some entry instances uses."""
    needed = 1 / (1 + entry_count * MAXIMUM_LOAD_DEVIATION**2)
    return max(SUBSET_SHARE, needed)


def poll_period_seconds(runner_count: int) -> float:
    """Return how often each member is asked for its load.

    Instances pass on what concerns all of them, such as leaving runners, so
    that a runner that many instances use is asked by some of them each second.
    """
    return max(
        SHORTEST_PERIOD_SECONDS,
        (runner_count - FREQUENTLY_POLLED_RUNNERS)
        * POLL_BYTES
        / POLL_BYTES_PER_SECOND,
    )
