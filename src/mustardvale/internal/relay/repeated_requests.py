"""Find the requests that come again and crash their runners each time.

A crash cuts many sound streams, and one that is sent again may meet a second
crash. Evidence therefore needs crashes at several moments, several requests
with the same fingerprints, and none that was answered whole since. If several
requests explain the same crashes, a further one has to tell which is harmful.

Everything here is a function of the evidence, so that instances that have the
same evidence reach the same conclusion.
"""

import dataclasses
from collections import abc

from mustardvale.internal.relay import crash_records

MINIMUM_CRASHES = 3
MINIMUM_ARRIVALS = 2
# From so many crashes on, several requests may be the cause of the same ones.
STRONG_CRASHES = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """Hold the evidence against the requests with one fingerprint.

    `occurrences` names them by process and arrival.
    """

    fingerprint: str
    crashed_at: tuple[float, ...]
    client_accounts: frozenset[str]
    occurrences: frozenset[tuple[str, str]]

    @property
    def crash_count(self) -> int:
        """Return the number of crashes at different moments."""
        return crash_records.count_moments(self.crashed_at)

    @property
    def processes(self) -> frozenset[str]:
        """Return the processes that have crashed."""
        return frozenset(process for process, _ in self.occurrences)

    @property
    def is_sufficient(self) -> bool:
        """Return whether the evidence suffices to refuse requests."""
        arrivals = {arrival for _, arrival in self.occurrences}
        is_repeated = len(arrivals) >= MINIMUM_ARRIVALS
        return is_repeated and self.crash_count >= MINIMUM_CRASHES


def list_suspected(
    crashes: tuple[crash_records.Crash, ...],
    completed: crash_records.BegunParts,
) -> frozenset[str]:
    """Return the fingerprints without a whole answer since a crash."""
    return frozenset(
        fingerprint
        for crash in crashes
        for fingerprint in crash.lost_fingerprints
        if completed.find(fingerprint) < crash.crashed_at
    )


def find_blocks(
    crashes: tuple[crash_records.Crash, ...],
    completed: crash_records.BegunParts,
) -> tuple[crash_records.Block, ...]:
    """Return a block for each request that is harmful.

    The strongest suspicion comes first. The crashes that it explains are no
    evidence against other requests.
    """
    blocks: tuple[crash_records.Block, ...] = ()
    unexplained = crashes
    while unexplained:
        found = find_most_harmful(unexplained, completed)
        if not found:
            break
        blocks += found
        blamed = frozenset[str]().union(*(block.parts for block in found))
        unexplained = tuple(
            crash for crash in unexplained if not is_explained(crash, blamed)
        )
    return blocks


def is_explained(crash: crash_records.Crash, blamed: abc.Set[str]) -> bool:
    """Return whether a crash had a request that is now refused."""
    return bool(blamed & crash.lost_fingerprints)


def find_most_harmful(
    crashes: tuple[crash_records.Crash, ...],
    completed: crash_records.BegunParts,
) -> tuple[crash_records.Block, ...]:
    """Return the blocks for the requests with the most crashes, if any."""
    sufficient = [
        suspicion
        for suspicion in collect_suspicions(crashes, completed)
        if suspicion.is_sufficient
    ]
    most = max((suspicion.crash_count for suspicion in sufficient), default=0)
    groups: dict[frozenset[tuple[str, str]], list[Suspicion]] = {}
    for suspicion in sufficient:
        if suspicion.crash_count == most:
            groups.setdefault(suspicion.occurrences, []).append(suspicion)
    return tuple(
        build_block(group)
        for group in groups.values()
        if most >= STRONG_CRASHES or is_only_cause(group[0], groups.values())
    )


def is_only_cause(
    suspicion: Suspicion, groups: abc.Iterable[list[Suspicion]]
) -> bool:
    """Return whether no other request is a possible cause of the crashes."""
    return not any(
        suspicion.processes & other[0].processes
        for other in groups
        if other[0].occurrences != suspicion.occurrences
    )


def collect_suspicions(
    crashes: tuple[crash_records.Crash, ...],
    completed: crash_records.BegunParts,
) -> list[Suspicion]:
    """Return the evidence against each fingerprint that crashes have."""
    occurrences: dict[
        str, list[tuple[crash_records.Crash, crash_records.LostRequest]]
    ] = {}
    for crash in crashes:
        for found in crash.lost:
            for fingerprint in found.fingerprints:
                if completed.find(fingerprint) < crash.crashed_at:
                    occurrences.setdefault(fingerprint, []).append(
                        (crash, found)
                    )
    return [
        Suspicion(
            fingerprint,
            tuple({crash.crashed_at for crash, _ in pairs}),
            frozenset(found.client_account for _, found in pairs),
            frozenset((crash.process, found.arrival) for crash, found in pairs),
        )
        for fingerprint, pairs in sorted(occurrences.items())
    ]


def build_block(group: list[Suspicion]) -> crash_records.Block:
    """Return the block for fingerprints that always came together."""
    first = group[0]
    return crash_records.Block(
        frozenset(suspicion.fingerprint for suspicion in group),
        first.client_accounts,
        first.crash_count,
        crash_records.compute_block_end(
            first.crashed_at, first.crash_count - MINIMUM_CRASHES
        ),
        is_repeat=True,
    )
