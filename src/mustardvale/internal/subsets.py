"""Choose the subset of runners that one entry instance uses.

Each entry instance ranks the runners of a pool by rendezvous hashing. Adding or
removing a runner changes the subsets of few instances, by one runner each;
adding or removing an instance changes no subset of another instance.
"""

import hashlib
import math
from collections import abc

# In pools of up to this size, every instance uses all runners.
SMALL_POOL_RUNNERS = 64
SUBSET_SHARE = 0.2
MINIMUM_STAGE_RUNNERS = 8
# A runner is in the subset of each of n instances with probability p, so the
# relative standard deviation of its load is sqrt((1 - p) / (n * p)). Subsets
# are large enough to keep it below this.
MAXIMUM_LOAD_DEVIATION = 0.1
# While a stage lacks runners, runners of unknown stages are added, up to this
# fraction of the size of the subset.
TRIAL_SHARE = 0.25

# Load reports may use a third of the 18 KB/s that a node has for control
# traffic. The first 64 runners do not count, which keeps the reports of small
# pools fresh.
POLL_BYTES_PER_SECOND = 6000
# One request and response, including the HTTP and TCP/IP headers.
POLL_BYTES = 700
FREQUENTLY_POLLED_RUNNERS = 64
SHORTEST_PERIOD_SECONDS = 1.0


def rank(entry_id: str, ids: abc.Iterable[str]) -> tuple[str, ...]:
    """Return runner ids in an entry instance's order of preference."""
    return tuple(
        sorted(
            ids, key=lambda instance_id: compute_weight(entry_id, instance_id)
        )
    )


def compute_weight(entry_id: str, instance_id: str) -> bytes:
    """Return the rendezvous weight of a runner; the lowest ranks first."""
    text = f'{entry_id}|{instance_id}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def choose(
    ranked: tuple[str, ...],
    stages: abc.Mapping[str, abc.Hashable],
    entry_count: int,
) -> frozenset[str]:
    """Choose a subset of the ranked runners.

    `stages` maps the ids of runners that have reported to their stages;
    `entry_count` is the number of entry instances. Runners are added to stages
    with less than the minimum; meanwhile, runners of unknown stages are tried.
    """
    if len(ranked) <= SMALL_POOL_RUNNERS:
        return frozenset(ranked)
    size = math.ceil(find_share(entry_count) * len(ranked))
    missing = dict.fromkeys(stages.values(), MINIMUM_STAGE_RUNNERS)
    for instance_id in ranked[:size]:
        stage = stages.get(instance_id)
        if stage is not None:
            missing[stage] -= 1
    is_incomplete = any(count > 0 for count in missing.values())
    trials = math.ceil(TRIAL_SHARE * size) if is_incomplete else 0
    chosen = set(ranked[:size])
    for instance_id in ranked[size:]:
        stage = stages.get(instance_id)
        if stage is None:
            is_wanted = trials > 0
            trials -= 1
        else:
            is_wanted = missing[stage] > 0
            missing[stage] -= 1
        if is_wanted:
            chosen.add(instance_id)
    return frozenset(chosen)


def find_share(entry_count: int) -> float:
    """Return the fraction of a pool that each entry instance uses."""
    needed = 1 / (1 + entry_count * MAXIMUM_LOAD_DEVIATION**2)
    return max(SUBSET_SHARE, needed)


def compute_poll_period_seconds(runner_count: int) -> float:
    """Return the period at which each runner is polled for its load.

    The period may be long, since many instances use each runner of a large pool
    and some of them poll it every second. Their heartbeats report what concerns
    all instances, such as leaving runners.
    """
    return max(
        SHORTEST_PERIOD_SECONDS,
        (runner_count - FREQUENTLY_POLLED_RUNNERS)
        * POLL_BYTES
        / POLL_BYTES_PER_SECOND,
    )
