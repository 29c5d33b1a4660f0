"""Keep prompt prefixes in limited memory and report changes late.

The cache holds prefixes of 16, 32, 64 and so on inputs by their digest. A
prefix needs the memory of the positions that the next shorter one lacks. The
least recently used prefixes are evicted. Events are published after a delay,
some are lost, and only the latest are kept; the sequence numbers show the
gaps. At the later stages the inputs are activations, and so are what is
digested there.
"""

import dataclasses
import hashlib

import immutables

SHORTEST_PREFIX = 16
DIGEST_BYTES = 16
SEPARATOR = b'\x1f'
EVENTS_KEPT = 256


@dataclasses.dataclass(frozen=True, slots=True)
class ReadCacheEvents:
    """Ask for events from a sequence number on, or for the whole set."""

    from_sequence: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """Report digests of prefixes that entered or left the cache."""

    sequence: int
    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEventsRead:
    """Hold events; `complete` marks the whole set of digests.

    `next` is the sequence number that the next event gets.
    """

    events: tuple[CacheEvent, ...]
    complete: bool
    next: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoggedEvent:
    """Hold an event with its time; a lost one leaves a gap."""

    event: CacheEvent
    at: float
    lost: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Describe a cached prefix: its memory in positions and its last use."""

    positions: int
    used: int


@dataclasses.dataclass(frozen=True, slots=True)
class Cache:
    """Hold the cached prefixes and the events about them.

    `published` are the digests that events have told of so far, `log` holds
    events that are not published yet and the latest published ones.
    """

    positions_limit: int = 0
    event_delay_seconds: float = 0
    event_loss: int = 0
    entries: immutables.Map[str, Entry] = immutables.Map()
    positions: int = 0
    uses: int = 0
    sequence: int = 0
    log: tuple[LoggedEvent, ...] = ()
    published: immutables.Map[str, None] = immutables.Map()
    published_next: int = 0


def digest_prefixes(
    model: str,
    version: str,
    adapter: str,
    inputs: tuple[str, ...],
) -> tuple[str, ...]:
    """Return the digests of the first 16, 32, 64 and so on inputs.

    The digest is BLAKE2b over model, version, adapter and inputs, each followed
    by the separator.
    """
    hashed = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for name in (model, version, adapter):
        hashed.update(name.encode() + SEPARATOR)
    digests: list[str] = []
    length = SHORTEST_PREFIX
    done = 0
    while length <= len(inputs):
        for text in inputs[done:length]:
            hashed.update(text.encode() + SEPARATOR)
        digests.append(hashed.copy().hexdigest())
        done = length
        length *= 2
    return tuple(digests)


def count_cached_positions(digests: tuple[str, ...], cache: Cache) -> int:
    """Return how many leading positions are cached."""
    cached = 0
    length = SHORTEST_PREFIX
    for digest in digests:
        if digest not in cache.entries:
            return cached
        cached = length
        length *= 2
    return cached


def store(digests: tuple[str, ...], at: float, cache: Cache) -> Cache:
    """Cache the prefixes with these digests, shortest first."""
    if not digests or not cache.positions_limit:
        return cache
    before = cache.entries
    entries = before.mutate()
    positions = cache.positions
    length = SHORTEST_PREFIX
    uses = cache.uses + 1
    for digest in digests:
        needed = length if length == SHORTEST_PREFIX else length // 2
        if digest not in entries:
            positions += needed
        entries[digest] = Entry(needed, uses)
        length *= 2
    cache = dataclasses.replace(
        cache,
        entries=entries.finish(),
        positions=positions,
        uses=uses,
    )
    cache = evict(cache)
    added = tuple(
        digest
        for digest in digests
        if digest not in before and digest in cache.entries
    )
    removed = tuple(digest for digest in before if digest not in cache.entries)
    return log_event(added, removed, at, cache)


def evict(cache: Cache) -> Cache:
    """Evict the least recently used prefixes until the rest fits.

    Of prefixes with the same last use the longest go first, because a longer
    prefix is of no use without the shorter ones.
    """
    if cache.positions <= cache.positions_limit:
        return cache
    ordered = sorted(
        cache.entries.items(),
        key=lambda item: (item[1].used, -item[1].positions),
    )
    entries = cache.entries.mutate()
    positions = cache.positions
    for digest, entry in ordered:
        if positions <= cache.positions_limit:
            break
        del entries[digest]
        positions -= entry.positions
    return dataclasses.replace(
        cache,
        entries=entries.finish(),
        positions=positions,
    )


def log_event(
    added: tuple[str, ...],
    removed: tuple[str, ...],
    at: float,
    cache: Cache,
) -> Cache:
    """Append an event; every `event_loss`-th one is lost."""
    if not added and not removed:
        return cache
    number = cache.sequence
    loss = cache.event_loss
    logged = LoggedEvent(
        CacheEvent(number, added, removed),
        at,
        lost=bool(loss) and number % loss == loss - 1,
    )
    cache = dataclasses.replace(
        cache,
        sequence=number + 1,
        log=(*cache.log, logged),
    )
    # Publishing drops old events, also when nobody reads them.
    return publish(at, cache) if len(cache.log) > 2 * EVENTS_KEPT else cache


def publish(now: float, cache: Cache) -> Cache:
    """Publish the events whose delay is over and drop the oldest of them."""
    published = cache.published.mutate()
    following = cache.published_next
    for logged in cache.log:
        if logged.event.sequence < following:
            continue
        if logged.at > now - cache.event_delay_seconds:
            break
        published.update(dict.fromkeys(logged.event.added))
        for digest in logged.event.removed:
            published.pop(digest, None)
        following = logged.event.sequence + 1
    first_kept = following - EVENTS_KEPT
    return dataclasses.replace(
        cache,
        published=published.finish(),
        published_next=following,
        log=tuple(
            logged
            for logged in cache.log
            if logged.event.sequence >= first_kept
        ),
    )


def read_events(request: ReadCacheEvents, cache: Cache) -> CacheEventsRead:
    """Return published events, or the whole published set."""
    following = cache.published_next
    first = request.from_sequence
    if first is None:
        whole = CacheEvent(following, tuple(cache.published))
        return CacheEventsRead((whole,), True, following)
    found = tuple(
        logged.event
        for logged in cache.log
        if first <= logged.event.sequence < following and not logged.lost
    )
    return CacheEventsRead(found, False, following)
