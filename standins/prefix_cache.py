"""Cache prompt prefixes in limited memory and report changes late.

The cache holds the digests of prefixes of 16, 32, 64 and so on inputs. A
prefix takes the memory of the positions that the next shorter one lacks. The
least recently used prefixes are evicted. Events are published after a delay,
some are lost, and only the latest ones are kept; gaps in the sequence numbers
reveal the missing ones. Stages after the first one get activations as inputs,
so their digests are of activations.
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
    """Request the events from a sequence number on.

    Without a number, request the complete set of published digests.
    """

    from_sequence: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """Report the digests of prefixes that were cached or evicted."""

    sequence: int
    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEventsRead:
    """Answer a read of events.

    `complete` means that the only event holds the complete set of digests.
    `next` is the sequence number of the next event to be published.
    """

    events: tuple[CacheEvent, ...]
    complete: bool
    next: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoggedEvent:
    """Hold an event and its time; readers do not get a `lost` one."""

    event: CacheEvent
    at: float
    lost: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Describe a cached prefix.

    `positions` is the memory that it takes, `used` the number of its last use.
    """

    positions: int
    used: int


@dataclasses.dataclass(frozen=True, slots=True)
class Cache:
    """Hold the cached prefixes and the events about them.

    `published` is the set of digests according to the published events. `log`
    holds the events that are not published yet and the latest published ones.
    `positions` is the memory in use, `uses` and `sequence` count uses and
    events. A `positions_limit` of 0 turns the cache off.
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

    A digest is 128-bit BLAKE2b in hexadecimal over model, version, adapter and
    inputs, each followed by the separator.
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
    """Cache prefixes, or renew their use, and log the change.

    `digests` are in the order of length, the shortest first.
    """
    if not digests or not cache.positions_limit:
        return cache
    previous_entries = cache.entries
    entries = previous_entries.mutate()
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
        if digest not in previous_entries and digest in cache.entries
    )
    removed = tuple(
        digest for digest in previous_entries if digest not in cache.entries
    )
    return log_event(added, removed, at, cache)


def evict(cache: Cache) -> Cache:
    """Evict the least recently used prefixes until the rest fits.

    Of prefixes with the same last use the longest are evicted first, because a
    prefix is found only if all shorter ones are cached.
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
    # Publishing drops old events, so the log is bounded without readers.
    return publish(at, cache) if len(cache.log) > 2 * EVENTS_KEPT else cache


def publish(now: float, cache: Cache) -> Cache:
    """Publish the events whose delay has elapsed and drop the oldest ones."""
    published = cache.published.mutate()
    next_sequence = cache.published_next
    for logged in cache.log:
        if logged.event.sequence < next_sequence:
            continue
        if logged.at > now - cache.event_delay_seconds:
            break
        published.update(dict.fromkeys(logged.event.added))
        for digest in logged.event.removed:
            published.pop(digest, None)
        next_sequence = logged.event.sequence + 1
    first_kept = next_sequence - EVENTS_KEPT
    return dataclasses.replace(
        cache,
        published=published.finish(),
        published_next=next_sequence,
        log=tuple(
            logged
            for logged in cache.log
            if logged.event.sequence >= first_kept
        ),
    )


def read_events(request: ReadCacheEvents, cache: Cache) -> CacheEventsRead:
    """Return published events, or the complete published set."""
    next_sequence = cache.published_next
    first = request.from_sequence
    if first is None:
        complete_set = CacheEvent(next_sequence, tuple(cache.published))
        return CacheEventsRead((complete_set,), True, next_sequence)
    events = tuple(
        logged.event
        for logged in cache.log
        if first <= logged.event.sequence < next_sequence and not logged.lost
    )
    return CacheEventsRead(events, False, next_sequence)
