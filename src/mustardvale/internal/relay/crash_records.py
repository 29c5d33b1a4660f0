"""Define crashes of runners, and what is known of the requests at the time."""

import dataclasses
import typing
import zlib
from collections import abc

import immutables

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
# The id of a part of a prompt contains no colon, so that no caller can give it
# the form of a fingerprint.
FINGERPRINT_PREFIX = 'request:'
# Bounds of what is kept, whatever callers send. A request has up to 16 shared
# parts and two fingerprints.
MAXIMUM_CRASHES = 32
MAXIMUM_REQUESTS_PER_CRASH = 16
MAXIMUM_PARTS = 18
MAXIMUM_LOST_PER_CRASH = 16
# Fingerprints of which an instance keeps losses, and losses of each.
MAXIMUM_LOST_FINGERPRINTS = 512
MAXIMUM_LOSSES_PER_FINGERPRINT = 8
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


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class LostRequest:
    """Describe a request that a runner was at work on when it crashed.

    `arrival` tells the requests of callers with the same fingerprints apart. It
    stays the same when a request is sent again.
    """

    client_account: str
    fingerprints: tuple[str, ...]
    arrival: str


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """Hold the crash of one process of a runner.

    `requests` had got no event. `lost` are those that may be harmful whether
    they had got one or not.
    """

    process: str
    crashed_at: float
    requests: tuple[CrashedRequest, ...]
    lost: tuple[LostRequest, ...] = ()

    @property
    def parts(self) -> frozenset[str]:
        """Return the parts of the prompts of all requests."""
        return frozenset().union(*(request.parts for request in self.requests))

    @property
    def lost_fingerprints(self) -> frozenset[str]:
        """Return the fingerprints of the lost requests."""
        return frozenset().union(*(found.fingerprints for found in self.lost))


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """Hold a request that a runner of its chain may have lost by a crash.

    `processes` are those of the chain, and `crashed` is the one that is known
    to have crashed, empty if none is.
    """

    request_id: str
    send_id: str
    request: LostRequest
    processes: frozenset[str]
    lost_at: float
    crashed: str = ''


LossMap: typing.TypeAlias = 'immutables.Map[str, tuple[Loss, ...]]'


@dataclasses.dataclass(frozen=True, slots=True)
class Block:
    """Refuse requests whose prompts have all of `parts`.

    The block is for the client accounts whose requests have crashed runners,
    or for all once there are three. Neither a single account nor one beside a
    bystander can have the requests of all others refused. One that `is_repeat`
    is for a request that crashes runners after its first event, too.
    """

    parts: frozenset[str]
    client_accounts: frozenset[str]
    crash_count: int
    blocked_until: float
    is_repeat: bool = False

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


def name_process(runner_id: str, started_at_ms: int) -> str:
    """Return the name of a process of a runner."""
    return f'{runner_id}/{started_at_ms}'


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
    lost = {found for crash in (*known, reported) for found in crash.lost}
    merged = Crash(
        reported.process,
        min(crash.crashed_at for crash in (*known, reported)),
        tuple(sorted(requests, key=rank_request)[:MAXIMUM_REQUESTS_PER_CRASH]),
        tuple(
            sorted(lost, key=lambda found: rank_lost(reported.process, found))[
                :MAXIMUM_LOST_PER_CRASH
            ]
        ),
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


def rank_lost(process: str, found: LostRequest) -> tuple[int, LostRequest]:
    """Return the rank by which the lost requests of a crash are kept.

    It differs from crash to crash, so that none is always displaced.
    """
    return zlib.crc32(repr((process, found)).encode()), found


def drop_expired(crashes: tuple[Crash, ...], now: float) -> tuple[Crash, ...]:
    """Return the crashes that are recent enough to count."""
    return tuple(
        crash
        for crash in crashes
        if now - crash.crashed_at < CRASH_RETENTION_SECONDS
    )


def is_fingerprint(part: str) -> bool:
    """Return whether a part stands for a whole request."""
    return part.startswith(FINGERPRINT_PREFIX)


def compute_block_end(
    crash_times: abc.Iterable[float], extra_crash_count: int
) -> float:
    """Return until when a request is refused after its crashes.

    `extra_crash_count` is how many more there were than a block needs.
    """
    doublings = min(extra_crash_count, MAXIMUM_DOUBLINGS)
    seconds = INITIAL_BLOCK_SECONDS * float(2**doublings)
    return max(crash_times) + min(seconds, MAXIMUM_BLOCK_SECONDS)


def count_moments(times: tuple[float, ...]) -> int:
    """Count times, those at about the same moment once."""
    count = 0
    counted_at = NEVER
    for crashed_at in sorted(times):
        if crashed_at - counted_at > SAME_MOMENT_SECONDS:
            count += 1
            counted_at = crashed_at
    return count
