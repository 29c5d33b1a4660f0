"""Track which runners have which prefixes in their caches.

Runners report additions to and evictions from their caches, with delays and
gaps. The table only influences the choice of a runner, so an error costs time
but not correctness.
"""

import dataclasses
import functools
import hashlib
import typing

import immutables

from mustardvale.internal import (
    calls,
    effects,
    events,
    generations,
    reducer,
    subsets,
    timers,
    transitions,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

SHORTEST_PREFIX_TOKENS = 16
LONGEST_PREFIX_TOKENS = 16384
DIGEST_BYTES = 16
SEPARATOR = b'\x1f'

EVENTS_TIMEOUT_SECONDS = 2.0
# The contents of the caches change more slowly than the load.
LOAD_PERIODS_PER_POLL = 4
# A runner without cache events may be replaced by one that has them.
UNSUPPORTED_RETRY_SECONDS = 60.0
# 256 digests of each of 680 runners fit in 30 MB of a node's memory.
MAXIMUM_DIGESTS_PER_RUNNER = 256


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerPrefixes:
    """Hold the digests in the cache of a runner, up to a maximum number.

    `next_sequence` is the expected sequence number of its next event.
    """

    next_sequence: int = calls.FULL_SET_SEQUENCE
    digests: immutables.Map[str, None] = immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixTable:
    """Hold the digests by runner id and the runner ids by digest."""

    by_runner: immutables.Map[str, RunnerPrefixes] = immutables.Map()
    holders: immutables.Map[str, frozenset[str]] = immutables.Map()

    def replace(
        self,
        instance_id: str,
        prefixes: RunnerPrefixes | None,
    ) -> 'PrefixTable':
        """Return the table with the digests of one runner replaced.

        `None` removes the runner.
        """
        known = self.by_runner.get(instance_id, RunnerPrefixes())
        after = RunnerPrefixes() if prefixes is None else prefixes
        holders = self.holders
        for added in after.digests:
            if added not in known.digests:
                holder_ids = holders.get(added, frozenset()) | {instance_id}
                holders = holders.set(added, holder_ids)
        for removed in known.digests:
            if removed not in after.digests:
                holder_ids = holders.get(removed, frozenset()) - {instance_id}
                holders = (
                    holders.set(removed, holder_ids)
                    if holder_ids
                    else holders.delete(removed)
                )
        by_runner = self.by_runner.set(instance_id, after)
        if prefixes is None:
            by_runner = by_runner.delete(instance_id)
        return PrefixTable(by_runner, holders)


def digest_prefixes(
    model: str,
    version: str,
    adapter: str,
    tokens: tuple[str, ...],
) -> tuple[str, ...]:
    """Return the digests of the first 16, 32, 64 and so on tokens.

    The digest is BLAKE2b over model, version, adapter and tokens, each
    followed by the separator.
    """
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for name in (model, version, adapter):
        hasher.update(name.encode() + SEPARATOR)
    digests: list[str] = []
    hashed_count = 0
    length = SHORTEST_PREFIX_TOKENS
    while length <= min(len(tokens), LONGEST_PREFIX_TOKENS):
        for token in tokens[hashed_count:length]:
            hasher.update(token.encode() + SEPARATOR)
        digests.append(hasher.copy().hexdigest())
        hashed_count = length
        length *= 2
    return tuple(digests)


def find_cached(
    generation: generations.Generation,
    state: 'states.State',
) -> immutables.Map[str, int]:
    """Return the number of cached tokens of an answer by runner id."""
    holders = state.prefixes.holders
    if not holders:
        return immutables.Map()
    digests = digest_prefixes(
        generation.model.name,
        generation.model.version,
        generation.request.adapter,
        generation.tokens,
    )
    cached: dict[str, int] = {}
    length = SHORTEST_PREFIX_TOKENS
    for digest in digests:
        cached.update(dict.fromkeys(holders.get(digest, ()), length))
        length *= 2
    return immutables.Map(cached)


def start_polling(instance_id: str) -> effects.Effect:
    """Start polling a runner for its cache events."""
    return effects.SetTimer(timers.CacheEventsDue(instance_id), 0)


@reducer.on_timer.register(timers.CacheEventsDue)
def request_events(
    timer: timers.CacheEventsDue,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Fetch the cache events of a runner, or remove one no longer in use."""
    upstream = state.upstreams.by_id.get(timer.instance_id)
    if upstream is None or not upstream.is_polled:
        table = state.prefixes.replace(timer.instance_id, None)
        return transitions.Transition(with_prefixes(table, state))
    known = state.prefixes.by_runner.get(timer.instance_id, RunnerPrefixes())
    call = effects.Call(
        calls.ReadCacheEvents(timer.instance_id, known.next_sequence),
        upstream.listed.address,
        EVENTS_TIMEOUT_SECONDS,
    )
    return transitions.Transition(state, (call,))


def with_prefixes(table: PrefixTable, state: 'states.State') -> 'states.State':
    """Replace the part of the state that this module owns."""
    return dataclasses.replace(state, prefixes=table)


def schedule_poll(
    call: calls.ReadCacheEvents,
    state: 'states.State',
    minimum_seconds: float = 0,
) -> effects.Effect:
    """Schedule the next poll, after at least `minimum_seconds`."""
    period = LOAD_PERIODS_PER_POLL * subsets.compute_poll_period_seconds(
        state.upstreams.polled_count
    )
    timer = timers.CacheEventsDue(call.instance_id)
    return effects.SetTimer(timer, max(period, minimum_seconds))


@reducer.on_answer.register(calls.ReadCacheEvents)
def handle_events(
    call: calls.ReadCacheEvents,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Apply cache events, or request the full set after a gap."""
    if not isinstance(event.answer, calls.CacheEventsRead):
        next_poll = schedule_poll(call, state, UNSUPPORTED_RETRY_SECONDS)
        return transitions.Transition(state, (next_poll,))
    known = state.prefixes.by_runner.get(call.instance_id, RunnerPrefixes())
    if call.from_sequence != known.next_sequence:
        return transitions.Transition(state, (schedule_poll(call, state),))
    read = event.answer
    if not read.complete and has_gap(call, read):
        return reset_events(call, state)
    digests = known.digests
    if read.complete:
        digests = immutables.Map()
    digests = functools.reduce(apply_event, read.events, digests)
    updated = RunnerPrefixes(read.next, limit_digests(digests))
    table = state.prefixes.replace(call.instance_id, updated)
    return transitions.Transition(
        with_prefixes(table, state),
        (schedule_poll(call, state),),
    )


def reset_events(
    call: calls.ReadCacheEvents,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Clear the digests of a runner and request the full set."""
    table = state.prefixes.replace(call.instance_id, RunnerPrefixes())
    next_poll = start_polling(call.instance_id)
    if call.from_sequence == calls.FULL_SET_SEQUENCE:
        # The runner returned only a part of the full set; an immediate retry
        # would loop.
        next_poll = schedule_poll(call, state)
    return transitions.Transition(
        with_prefixes(table, state),
        (next_poll, effects.Count('cache_event_gaps')),
    )


def has_gap(
    call: calls.ReadCacheEvents,
    read: calls.CacheEventsRead,
) -> bool:
    """Return whether sequence numbers are missing from the events read."""
    expected = call.from_sequence
    for cache_event in read.events:
        if cache_event.sequence != expected:
            return True
        expected += 1
    return read.next != expected


def apply_event(
    digests: immutables.Map[str, None],
    cache_event: calls.CacheEvent,
) -> immutables.Map[str, None]:
    """Return the digests after one cache event."""
    changed = digests.mutate()
    for removed in cache_event.removed:
        changed.pop(removed, None)
    for added in cache_event.added:
        changed[added] = None
    return changed.finish()


def limit_digests(
    digests: immutables.Map[str, None],
) -> immutables.Map[str, None]:
    """Return the digests, or a deterministic subset if there are too many."""
    if len(digests) <= MAXIMUM_DIGESTS_PER_RUNNER:
        return digests
    kept = sorted(digests)[:MAXIMUM_DIGESTS_PER_RUNNER]
    return immutables.Map(dict.fromkeys(kept))


@reducer.on_failure.register(calls.ReadCacheEvents)
def handle_events_failure(
    call: calls.ReadCacheEvents,
    event: events.CallFailed,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Schedule the next poll; failures are detected by the load reports."""
    return transitions.Transition(state, (schedule_poll(call, state),))
