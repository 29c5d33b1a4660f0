"""Know which runners have which prefixes in their caches.

Runners report what enters and leaves their caches, late and with gaps. What
is known here only steers the choice of a runner, so an error costs time only.
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
# What is cached changes more slowly than the load.
LOAD_PERIODS_PER_POLL = 4
# Engines without cache events may be replaced by others that have them.
UNSUPPORTED_RETRY_SECONDS = 60.0
# 256 digests of 680 runners fit in 30 MB of the memory that a node has.
MAXIMUM_DIGESTS_PER_RUNNER = 256


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerPrefixes:
    """Hold the digests that a runner has, of which some are left out.

    `following` is the sequence number that its next event should have.
    """

    next_sequence: int = calls.FULL_SET_SEQUENCE
    digests: immutables.Map[str, None] = immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixTable:
    """Hold the prefixes by runner id, and the runner ids by prefix."""

    by_runner: immutables.Map[str, RunnerPrefixes] = immutables.Map()
    holders: immutables.Map[str, frozenset[str]] = immutables.Map()

    def replace(
        self,
        instance_id: str,
        prefixes: RunnerPrefixes | None,
    ) -> 'PrefixTable':
        """Return the table with the prefixes of one runner replaced."""
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
    done = 0
    length = SHORTEST_PREFIX_TOKENS
    while length <= min(len(tokens), LONGEST_PREFIX_TOKENS):
        for token in tokens[done:length]:
            hasher.update(token.encode() + SEPARATOR)
        digests.append(hasher.copy().hexdigest())
        done = length
        length *= 2
    return tuple(digests)


def find_cached(
    generation: generations.Generation,
    state: 'states.State',
) -> immutables.Map[str, int]:
    """Return how many tokens of an answer each runner has cached."""
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
    """Start to ask a runner for its cache events."""
    return effects.SetTimer(timers.CacheEventsDue(instance_id), 0)


@reducer.on_timer.register(timers.CacheEventsDue)
def request_events(
    timer: timers.CacheEventsDue,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Ask a runner for its cache events, or forget one that is not used."""
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
    """Ask again after some periods of the load reports, or a longer time."""
    period = LOAD_PERIODS_PER_POLL * subsets.poll_period_seconds(
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
    """Keep what a runner reports, and after a gap ask for the whole set."""
    if not isinstance(event.answer, calls.CacheEventsRead):
        again = schedule_poll(call, state, UNSUPPORTED_RETRY_SECONDS)
        return transitions.Transition(state, (again,))
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
    """Forget what a runner has cached and ask for the whole set."""
    table = state.prefixes.replace(call.instance_id, RunnerPrefixes())
    again = start_polling(call.instance_id)
    if call.from_sequence == calls.FULL_SET_SEQUENCE:
        # Asked for the whole set, the runner gave only a part of it.
        again = schedule_poll(call, state)
    return transitions.Transition(
        with_prefixes(table, state),
        (again, effects.Count('cache_event_gaps')),
    )


def has_gap(
    call: calls.ReadCacheEvents,
    read: calls.CacheEventsRead,
) -> bool:
    """Return whether events are missing between those known and those read."""
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
    """Return the digests after one event."""
    changed = digests.mutate()
    for removed in cache_event.removed:
        changed.pop(removed, None)
    for added in cache_event.added:
        changed[added] = None
    return changed.finish()


def limit_digests(
    digests: immutables.Map[str, None],
) -> immutables.Map[str, None]:
    """Return the digests, or a fixed part of them if there are too many."""
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
    """Ask again later; the load reports tell whether the runner works."""
    return transitions.Transition(state, (schedule_poll(call, state),))
