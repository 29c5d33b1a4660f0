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
import typing
import zlib
from collections import abc

import immutables

# Crashes that a part needs to be harmful. A part with which requests have begun
# to write shortly before needs one more, because most runners that crash have
# some request with a common part.
MINIMUM_CRASHES = 2
MINIMUM_CRASHES_OF_KNOWN_PART = 3
KNOWN_PART_SECONDS = 30.0
STRONG_CRASHES = 6
# Runners that crash at the same moment have a common cause outside of the
# requests, such as a lost rack.
SAME_MOMENT_SECONDS = 0.1
# Client accounts whose requests must have crashed runners before the requests
# of all others are refused.
ACCOUNTS_FOR_ALL = 3
# A harmful part is refused for this long after its last crash, and for twice as
# long after each further one.
INITIAL_BLOCK_SECONDS = 30.0
MAXIMUM_BLOCK_SECONDS = 600.0
MAXIMUM_DOUBLINGS = 8
# New requests with an unknown part of a crash are not sent for this long. The
# crashed requests, which are retried, show meanwhile whether it is harmful.
HOLD_SECONDS = 1.0
# The id of a part of a prompt contains no colon, so that no caller can give it
# the form of a fingerprint.
FINGERPRINT_PREFIX = 'request:'
# Bounds of what is kept, whatever callers send. A request has up to 16 shared
# parts and two fingerprints.
MAXIMUM_CRASHES = 32
MAXIMUM_REQUESTS_PER_CRASH = 16
MAXIMUM_PARTS = 18
MAXIMUM_BEGUN_PARTS = 2048
CRASH_RETENTION_SECONDS = 900.0

PartTimes: typing.TypeAlias = 'immutables.Map[str, float]'
NEVER = float('-inf')


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class CrashedRequest:
    """Describe a request that had got no event when its runner crashed.

    `parts` are the ids of the parts of its prompt that other requests may
    share, and the fingerprints of the whole request.
    """

    client_account: str
    parts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """Hold the crash of one process of a runner."""

    process: str
    crashed_at: float
    requests: tuple[CrashedRequest, ...]

    @property
    def parts(self) -> frozenset[str]:
        """Return the parts of the prompts of all requests."""
        return frozenset().union(*(request.parts for request in self.requests))


@dataclasses.dataclass(frozen=True, slots=True)
class Block:
    """Refuse requests whose prompts have all of `parts`.

    The block is for the client accounts whose requests have crashed runners,
    or for all once there are three. Neither a single account nor one beside a
    bystander can have the requests of all others refused.
    """

    parts: frozenset[str]
    client_accounts: frozenset[str]
    crash_count: int
    blocked_until: float

    def covers(self, client_account: str, parts: abc.Set[str]) -> bool:
        """Return whether a request is to be refused."""
        is_affected = (
            len(self.client_accounts) >= ACCOUNTS_FOR_ALL
            or client_account in self.client_accounts
        )
        return is_affected and self.parts <= parts


@dataclasses.dataclass(frozen=True, slots=True)
class BegunParts:
    """Hold when a request with a part last began to write its answer.

    When `recent` is full, it replaces `older`. Both together are a bounded
    substitute for a cache that drops the entries that were used longest ago.
    """

    recent: PartTimes = immutables.Map()
    older: PartTimes = immutables.Map()

    def find(self, part: str) -> float:
        """Return when a request with a part last began to write."""
        begun_at = self.recent.get(part)
        return self.older.get(part, NEVER) if begun_at is None else begun_at


def record_begun(
    begun: BegunParts, parts: abc.Iterable[str], begun_at: float
) -> BegunParts:
    """Record that a request with some parts has begun to write."""
    recent = begun.recent
    for part in parts:
        if begun.find(part) < begun_at:
            recent = recent.set(part, begun_at)
    if len(recent) > MAXIMUM_BEGUN_PARTS:
        return BegunParts(older=recent)
    return BegunParts(recent, begun.older)


def merge_crash(
    crashes: tuple[Crash, ...], reported: Crash
) -> tuple[Crash, ...]:
    """Add a crash, or the requests that a known crash did not have."""
    others = tuple(
        crash for crash in crashes if crash.process != reported.process
    )
    known = [crash for crash in crashes if crash.process == reported.process]
    requests = {
        request for crash in (*known, reported) for request in crash.requests
    }
    merged = Crash(
        reported.process,
        min(crash.crashed_at for crash in (*known, reported)),
        tuple(sorted(requests, key=rank_request)[:MAXIMUM_REQUESTS_PER_CRASH]),
    )
    ordered = sorted(
        (*others, merged), key=lambda crash: (crash.crashed_at, crash.process)
    )
    return tuple(ordered[-MAXIMUM_CRASHES:])


def rank_request(request: CrashedRequest) -> tuple[int, CrashedRequest]:
    """Return the rank by which the requests of a crash are kept.

    It depends on no name alone, so that one client account cannot always
    displace the requests of another one.
    """
    return zlib.crc32(repr(request).encode()), request


def drop_expired(crashes: tuple[Crash, ...], now: float) -> tuple[Crash, ...]:
    """Return the crashes that are recent enough to count."""
    return tuple(
        crash
        for crash in crashes
        if now - crash.crashed_at < CRASH_RETENTION_SECONDS
    )


def list_suspected(
    crashes: tuple[Crash, ...], begun: BegunParts
) -> frozenset[str]:
    """Return the parts with which no request has begun since a crash."""
    return frozenset(
        part
        for crash in crashes
        for part in crash.parts
        if is_suspected(part, crash, begun)
    )


def is_suspected(part: str, crash: Crash, begun: BegunParts) -> bool:
    """Return whether no request with a part has begun since a crash."""
    return begun.find(part) < crash.crashed_at


def find_blocks(
    crashes: tuple[Crash, ...], begun: BegunParts
) -> tuple[Block, ...]:
    """Return a block for each combination of parts that is harmful.

    The strongest suspicion comes first. The crashes that it explains are no
    evidence against the other parts of the same prompts.
    """
    blocks: tuple[Block, ...] = ()
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


def is_explained(crash: Crash, blocks: tuple[Block, ...]) -> bool:
    """Return whether a crash had a request that is now refused."""
    return any(
        block.parts <= set(request.parts)
        for block in blocks
        for request in crash.requests
    )


def list_held(
    crashes: tuple[Crash, ...],
    begun: BegunParts,
    blocks: tuple[Block, ...],
    now: float,
) -> PartTimes:
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
            if not is_fingerprint(part)
            and crash.crashed_at - begun.find(part) >= KNOWN_PART_SECONDS
        }
    )


def is_fingerprint(part: str) -> bool:
    """Return whether a part stands for a whole request."""
    return part.startswith(FINGERPRINT_PREFIX)


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
        return count_moments(self.crashed_at)

    @property
    def is_sufficient(self) -> bool:
        """Return whether the evidence suffices to refuse requests."""
        if self.is_known:
            return self.crash_count >= MINIMUM_CRASHES_OF_KNOWN_PART
        return self.crash_count >= MINIMUM_CRASHES


def count_moments(times: tuple[float, ...]) -> int:
    """Count times, those at about the same moment once."""
    count = 0
    counted_at = NEVER
    for crashed_at in sorted(times):
        if crashed_at - counted_at > SAME_MOMENT_SECONDS:
            count += 1
            counted_at = crashed_at
    return count


def find_most_harmful(
    crashes: tuple[Crash, ...], begun: BegunParts
) -> tuple[Block, ...]:
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


def build_blocks(strongest: list[Suspicion]) -> tuple[Block, ...]:
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
    is_request = is_fingerprint(suspicion.part)
    is_unknown_part = not suspicion.is_known and not is_request
    is_first = is_unknown_part or suspicion.crash_count >= STRONG_CRASHES
    return is_first, suspicion.crash_count, is_request


def collect_suspicions(
    crashes: tuple[Crash, ...], begun: BegunParts
) -> list[Suspicion]:
    """Return the evidence against each part that crashes have."""
    occurrences: dict[str, list[tuple[Crash, int]]] = {}
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
    part: str, found: list[tuple[Crash, int]], begun: BegunParts
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


def build_block(group: list[Suspicion]) -> Block:
    """Return the block for parts that always came together."""
    first = group[0]
    required = (
        MINIMUM_CRASHES_OF_KNOWN_PART if first.is_known else MINIMUM_CRASHES
    )
    doublings = min(first.crash_count - required, MAXIMUM_DOUBLINGS)
    seconds = min(INITIAL_BLOCK_SECONDS * 2**doublings, MAXIMUM_BLOCK_SECONDS)
    return Block(
        frozenset(suspicion.part for suspicion in group),
        first.client_accounts,
        first.crash_count,
        max(first.crashed_at) + seconds,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class CrashState:
    """Hold the evidence of an instance, and what follows from it.

    `suspected` are the parts with which no request has begun since a crash, and
    `held` has the time until which new requests with a part are held back.
    `unconfirmed` has the requests of connections that a runner closed, by its
    process, until it is known whether it has crashed. `synchronized` has the
    addresses of the readers with which evidence has been exchanged. `checksum`
    tells whether two instances have the same evidence.
    """

    crashes: tuple[Crash, ...] = ()
    begun: BegunParts = BegunParts()
    suspected: frozenset[str] = frozenset()
    blocks: tuple[Block, ...] = ()
    held: PartTimes = immutables.Map()
    unconfirmed: 'immutables.Map[str, tuple[CrashedRequest, ...]]' = (
        immutables.Map()
    )
    synchronized: frozenset[str] = frozenset()
    checksum: int = 0


def update_conclusions(known: CrashState, now: float) -> CrashState:
    """Return the state with the conclusions from its evidence."""
    crashes = drop_expired(known.crashes, now)
    suspected = list_suspected(crashes, known.begun)
    blocks = find_blocks(crashes, known.begun)
    return dataclasses.replace(
        known,
        crashes=crashes,
        suspected=suspected,
        blocks=blocks,
        held=list_held(crashes, known.begun, blocks, now),
        checksum=compute_checksum(crashes, suspected),
    )


def compute_checksum(
    crashes: tuple[Crash, ...], suspected: frozenset[str]
) -> int:
    """Return a checksum of evidence that does not depend on its times."""
    if not crashes:
        return 0
    text = repr(
        (
            sorted((crash.process, crash.requests) for crash in crashes),
            sorted(suspected),
        )
    )
    return zlib.crc32(text.encode())
