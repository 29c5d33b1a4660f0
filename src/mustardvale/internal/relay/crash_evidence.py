"""Find the requests and the parts of prompts that crash runners.

A harmful part crashes each runner that begins to write an answer to a prompt
with it. Evidence is therefore twofold: the requests that had got no event yet
when their runner crashed, and the parts with which requests have begun to write
since. A part is harmful if several crashes have it in common, and no request
with it has begun to write after the first of them.

A whole request may be harmful too, although others share the parts of its
prompt. Its fingerprints count as parts that only its repeats have.

Everything here is a function of the evidence, so that instances that have the
same evidence reach the same conclusion.
"""

import dataclasses
import zlib
from collections import abc

import immutables

from mustardvale.internal.relay import crash_records, repeated_requests

# Crashes that a part needs to be harmful. A part with which requests have begun
# to write shortly before needs one more, because most runners that crash have
# some request with a common part.
MINIMUM_CRASHES = 2
MINIMUM_CRASHES_OF_KNOWN_PART = 3
KNOWN_PART_SECONDS = 30.0
STRONG_CRASHES = 6
# New requests with an unknown part of a crash are not sent for this long. The
# crashed requests, which are retried, show meanwhile whether it is harmful.
HOLD_SECONDS = 1.0


def list_suspected(
    crashes: tuple[crash_records.Crash, ...], begun: crash_records.BegunParts
) -> frozenset[str]:
    """Return the parts with which no request has begun since a crash."""
    return frozenset(
        part
        for crash in crashes
        for part in crash.parts
        if is_suspected(part, crash, begun)
    )


def is_suspected(
    part: str, crash: crash_records.Crash, begun: crash_records.BegunParts
) -> bool:
    """Return whether no request with a part has begun since a crash."""
    return begun.find(part) < crash.crashed_at


def find_blocks(
    crashes: tuple[crash_records.Crash, ...], begun: crash_records.BegunParts
) -> tuple[crash_records.Block, ...]:
    """Return a block for each combination of parts that is harmful.

    The strongest suspicion comes first. The crashes that it explains are no
    evidence against the other parts of the same prompts.
    """
    blocks: tuple[crash_records.Block, ...] = ()
    unexplained = crashes
    while unexplained:
        found = find_most_harmful(unexplained, begun)
        if not found:
            break
        blocks += found
        unexplained = tuple(
            crash for crash in unexplained if not is_explained(crash, found)
        )
    return blocks


def is_explained(
    crash: crash_records.Crash, blocks: tuple[crash_records.Block, ...]
) -> bool:
    """Return whether a crash had a request that is now refused."""
    return any(
        block.parts <= set(request.parts)
        for block in blocks
        for request in crash.requests
    )


def list_held(
    crashes: tuple[crash_records.Crash, ...],
    begun: crash_records.BegunParts,
    blocks: tuple[crash_records.Block, ...],
    now: float,
) -> crash_records.PartTimes:
    """Return until when new requests with a part are held back.

    They are the parts that were unknown before a recent crash, unless a part
    that is refused explains it.
    """
    recent = [
        crash
        for crash in crashes
        if now - crash.crashed_at < HOLD_SECONDS
        and not is_explained(crash, blocks)
    ]
    return immutables.Map(
        {
            part: crash.crashed_at + HOLD_SECONDS
            for crash in recent
            for part in crash.parts
            if not crash_records.is_fingerprint(part)
            and crash.crashed_at - begun.find(part) >= KNOWN_PART_SECONDS
        }
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """Hold the evidence against one part.

    `occurrences` names its requests by crash and position, and `is_known` says
    that requests with it had begun shortly before the first of the crashes.
    """

    part: str
    crashed_at: tuple[float, ...]
    client_accounts: frozenset[str]
    occurrences: frozenset[tuple[str, int]]
    is_known: bool

    @property
    def crash_count(self) -> int:
        """Return the number of crashes at different moments."""
        return crash_records.count_moments(self.crashed_at)

    @property
    def is_sufficient(self) -> bool:
        """Return whether the evidence suffices to refuse requests."""
        if self.is_known:
            return self.crash_count >= MINIMUM_CRASHES_OF_KNOWN_PART
        return self.crash_count >= MINIMUM_CRASHES


def find_most_harmful(
    crashes: tuple[crash_records.Crash, ...], begun: crash_records.BegunParts
) -> tuple[crash_records.Block, ...]:
    """Return the blocks for the parts with the most crashes, if any suffice.

    Parts that always came together are refused only together. While two
    crashes have several unrelated parts in common, a third one has to tell
    which of them is harmful.
    """
    suspicions = [
        suspicion
        for suspicion in collect_suspicions(crashes, begun)
        if suspicion.is_sufficient
    ]
    for rank in sorted(set(map(rank_suspicion, suspicions)), reverse=True):
        strongest = [
            suspicion
            for suspicion in suspicions
            if rank_suspicion(suspicion) == rank
        ]
        blocks = build_blocks(strongest)
        if blocks:
            return blocks
    return ()


def build_blocks(strongest: list[Suspicion]) -> tuple[crash_records.Block, ...]:
    """Return the blocks for equally strong suspicions that are unambiguous."""
    groups: dict[frozenset[tuple[str, int]], list[Suspicion]] = {}
    for suspicion in strongest:
        groups.setdefault(suspicion.occurrences, []).append(suspicion)
    return tuple(
        build_block(group)
        for occurrences, group in groups.items()
        if group[0].crash_count > MINIMUM_CRASHES
        or is_only_cause(occurrences, groups)
    )


def is_only_cause(
    occurrences: frozenset[tuple[str, int]],
    groups: abc.Iterable[frozenset[tuple[str, int]]],
) -> bool:
    """Return whether no other group is a possible cause of the same crashes."""
    processes = {process for process, _ in occurrences}
    return not any(
        processes & {process for process, _ in other}
        for other in groups
        if other != occurrences
    )


def rank_suspicion(suspicion: Suspicion) -> tuple[bool, int, bool]:
    """Return the rank by which the strongest suspicion is chosen.

    A part that no request has begun with comes before one that is known, which
    several harmful parts may have in common, unless the known one has many
    crashes without any beginning between them. A whole request comes before a
    known part, unless that one has more crashes: it has them if it is harmful,
    because other requests crash runners with it too.
    """
    is_request = crash_records.is_fingerprint(suspicion.part)
    is_unknown_part = not suspicion.is_known and not is_request
    is_first = is_unknown_part or suspicion.crash_count >= STRONG_CRASHES
    return is_first, suspicion.crash_count, is_request


def collect_suspicions(
    crashes: tuple[crash_records.Crash, ...], begun: crash_records.BegunParts
) -> list[Suspicion]:
    """Return the evidence against each part that crashes have."""
    occurrences: dict[str, list[tuple[crash_records.Crash, int]]] = {}
    for crash in crashes:
        for position, request in enumerate(crash.requests):
            for part in set(request.parts):
                if is_suspected(part, crash, begun):
                    occurrences.setdefault(part, []).append((crash, position))
    return [
        build_suspicion(part, found, begun)
        for part, found in sorted(occurrences.items())
    ]


def build_suspicion(
    part: str,
    found: list[tuple[crash_records.Crash, int]],
    begun: crash_records.BegunParts,
) -> Suspicion:
    """Return the evidence against a part."""
    crashed_at = tuple({crash.crashed_at for crash, _ in found})
    return Suspicion(
        part,
        crashed_at,
        frozenset(
            crash.requests[position].client_account for crash, position in found
        ),
        frozenset((crash.process, position) for crash, position in found),
        is_known=min(crashed_at) - begun.find(part) < KNOWN_PART_SECONDS,
    )


def build_block(group: list[Suspicion]) -> crash_records.Block:
    """Return the block for parts that always came together."""
    first = group[0]
    required = (
        MINIMUM_CRASHES_OF_KNOWN_PART if first.is_known else MINIMUM_CRASHES
    )
    return crash_records.Block(
        frozenset(suspicion.part for suspicion in group),
        first.client_accounts,
        first.crash_count,
        crash_records.compute_block_end(
            first.crashed_at, first.crash_count - required
        ),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class CrashState:
    """Hold the evidence of an instance, and what follows from it.

    `suspected` are the parts with which no request has begun since a crash, and
    `held` has the time until which new requests with a part are held back.
    `unconfirmed` has the requests of connections that a runner closed, by its
    process, until it is known whether it has crashed. `losses` has the requests
    whose runners may have crashed, by fingerprint, and `completed` when requests
    under suspicion were answered whole. `synchronized` has the addresses of the
    readers with which evidence has been exchanged. `checksum` tells whether two
    instances have the same evidence.
    """

    crashes: tuple[crash_records.Crash, ...] = ()
    begun: crash_records.BegunParts = crash_records.BegunParts()
    suspected: frozenset[str] = frozenset()
    blocks: tuple[crash_records.Block, ...] = ()
    held: crash_records.PartTimes = immutables.Map()
    unconfirmed: 'immutables.Map[str, tuple[crash_records.CrashedRequest, ...]]' = immutables.Map()
    losses: crash_records.LossMap = immutables.Map()
    completed: crash_records.BegunParts = crash_records.BegunParts()
    suspected_repeats: frozenset[str] = frozenset()
    synchronized: frozenset[str] = frozenset()
    checksum: int = 0


def update_conclusions(known: CrashState, now: float) -> CrashState:
    """Return the state with the conclusions from its evidence."""
    crashes = crash_records.drop_expired(known.crashes, now)
    suspected = list_suspected(crashes, known.begun)
    repeats = repeated_requests.list_suspected(crashes, known.completed)
    blocks = find_blocks(crashes, known.begun)
    unexplained = tuple(
        crash for crash in crashes if not is_explained(crash, blocks)
    )
    return dataclasses.replace(
        known,
        crashes=crashes,
        suspected=suspected,
        suspected_repeats=repeats,
        blocks=blocks
        + repeated_requests.find_blocks(unexplained, known.completed),
        held=list_held(crashes, known.begun, blocks, now),
        checksum=compute_checksum(crashes, suspected | repeats),
    )


def compute_checksum(
    crashes: tuple[crash_records.Crash, ...], suspected: frozenset[str]
) -> int:
    """Return a checksum of evidence that does not depend on its times.

    Without lost requests it is that of an earlier release.
    """
    if not crashes:
        return 0
    text = repr(
        (
            sorted(
                (crash.process, crash.requests, *crash.lost)
                for crash in crashes
            ),
            sorted(suspected),
        )
    )
    return zlib.crc32(text.encode())
