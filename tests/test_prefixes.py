"""Test the table of prefixes cached by runners."""

import unittest

import hypothesis
import immutables
from hypothesis import strategies

from mustardvale.internal import (
    calls,
    effects,
    events,
    handlers,
    prefixes,
    state,
    timers,
    transitions,
    upstreams,
)
from standins import prefix_cache
from tests import builders

FULL_SET = calls.FULL_SET_SEQUENCE


def build_state() -> state.State:
    """Build the state of an instance that uses one runner."""
    built = builders.build_state()
    table = builders.build_table((builders.build_upstream(1, 0, 12),))
    return upstreams.with_table(built, table)


def reduce_answer(
    from_sequence: int,
    read: object,
    current: state.State,
) -> transitions.Transition[state.State]:
    """Return the transition after an answer with cache events."""
    answered = events.CallAnswered(
        at=1,
        call=calls.ReadCacheEvents('runner-1', from_sequence),
        address=builders.build_row(1).address,
        answer=read,
    )
    return handlers.reduce(answered, current)


def build_event(
    sequence: int,
    added: tuple[str, ...] = (),
    removed: tuple[str, ...] = (),
) -> calls.CacheEvent:
    """Build a cache event."""
    return calls.CacheEvent(sequence, added, removed)


def find_known_digests(current: state.State) -> set[str]:
    """Return the digests that the table holds for the runner."""
    return {
        digest
        for digest, holders in current.prefixes.holders.items()
        if 'runner-1' in holders
    }


class CacheEvents(unittest.TestCase):
    """The table follows the cache events of a runner."""

    def setUp(self) -> None:
        """Read a full set of digests."""
        whole = calls.CacheEventsRead((build_event(6, ('a', 'b')),), True, 7)
        self.current = reduce_answer(FULL_SET, whole, build_state()).state

    def test_events_change_the_set(self) -> None:
        """Guard against prefixes that remain after their removal."""
        read = calls.CacheEventsRead(
            (build_event(7, ('c',)), build_event(8, ('d',), ('a',))),
            complete=False,
            next=9,
        )
        current = reduce_answer(7, read, self.current).state
        self.assertEqual(find_known_digests(current), {'b', 'c', 'd'})

    def test_gap_clears_and_requests_the_full_set(self) -> None:
        """Guard against missed removals after a gap in the events."""
        for read in (
            calls.CacheEventsRead((build_event(8, ('c',)),), False, 9),
            calls.CacheEventsRead((build_event(7), build_event(9)), False, 10),
            calls.CacheEventsRead((build_event(7),), False, 9),
            calls.CacheEventsRead((), False, 3),
        ):
            with self.subTest(read=read):
                transition = reduce_answer(7, read, self.current)
                self.assertEqual(find_known_digests(transition.state), set())
                due = timers.CacheEventsDue('runner-1')
                self.assertIn(effects.SetTimer(due, 0), transition.effects)
                asked = handlers.reduce(
                    events.TimerFired(at=2, timer=due),
                    transition.state,
                )
                self.assertEqual(
                    asked.effects[0].call.from_sequence,  # type: ignore[attr-defined]
                    FULL_SET,
                )

    def test_partial_full_set_is_not_requested_again_at_once(
        self,
    ) -> None:
        """Guard against polling a faulty runner in a tight loop."""
        read = calls.CacheEventsRead((build_event(3),), False, 9)
        transition = reduce_answer(FULL_SET, read, build_state())
        due = timers.CacheEventsDue('runner-1')
        self.assertIn(
            effects.SetTimer(due, prefixes.LOAD_PERIODS_PER_POLL),
            transition.effects,
        )

    def test_engine_without_cache_events_is_polled_rarely(self) -> None:
        """Guard against polling an engine every second that answers 404."""
        refused = calls.PlatformRefused(404, 'not found')
        transition = reduce_answer(FULL_SET, refused, build_state())
        due = timers.CacheEventsDue('runner-1')
        self.assertEqual(
            transition.effects,
            (effects.SetTimer(due, prefixes.UNSUPPORTED_RETRY_SECONDS),),
        )

    def test_number_of_digests_is_bounded(self) -> None:
        """Guard against memory use that grows with the caches of runners."""
        many = tuple(f'{number:05}' for number in range(5000))
        whole = calls.CacheEventsRead((build_event(6, many),), True, 7)
        current = reduce_answer(FULL_SET, whole, build_state()).state
        self.assertEqual(
            len(find_known_digests(current)),
            prefixes.MAXIMUM_DIGESTS_PER_RUNNER,
        )

    def test_unused_runner_is_removed(self) -> None:
        """Guard against prefixes of runners no longer in use."""
        unused = upstreams.with_table(self.current, upstreams.UpstreamTable())
        due = timers.CacheEventsDue('runner-1')
        after = handlers.reduce(events.TimerFired(at=2, timer=due), unused)
        self.assertEqual(find_known_digests(after.state), set())
        self.assertEqual(after.state.prefixes.by_runner, immutables.Map())

    @hypothesis.given(
        strategies.lists(
            strategies.dictionaries(
                strategies.sampled_from('rst'),
                strategies.sets(strategies.sampled_from('abcdef')),
                min_size=1,
            ),
            max_size=12,
        )
    )
    def test_both_maps_agree(self, changes: list[dict[str, set[str]]]) -> None:
        """Guard against runners found by prefixes that they evicted."""
        table = prefixes.PrefixTable()
        expected: dict[str, set[str]] = {}
        for change in changes:
            for runner, digests in change.items():
                expected[runner] = digests
                held = immutables.Map(dict.fromkeys(digests))
                table = table.replace(
                    runner,
                    prefixes.RunnerPrefixes(1, held),
                )
        for digest in 'abcdef':
            self.assertEqual(
                table.holders.get(digest, frozenset()),
                {runner for runner in expected if digest in expected[runner]},
            )


class Digests(unittest.TestCase):
    """Digests depend on model, version, adapter and the first tokens."""

    tokens = tuple(f'w{number}' for number in range(70))

    def test_lengths_double(self) -> None:
        """Guard against prefix lengths that engines do not report."""
        digests = prefixes.digest_prefixes('m', '1', '', self.tokens)
        self.assertEqual(len(digests), 3)
        shorter = prefixes.digest_prefixes('m', '1', '', self.tokens[:32])
        self.assertEqual(digests[:2], shorter)

    def test_digest_depends_on_all_parts(self) -> None:
        """Guard against a cache hit for another model or adapter."""
        digests = {
            prefixes.digest_prefixes(*names, self.tokens)[0]
            for names in (
                ('m', '1', ''),
                ('m', '2', ''),
                ('n', '1', ''),
                ('m', '1', 'rind'),
                ('m1', '', ''),
            )
        }
        self.assertEqual(len(digests), 5)

    def test_engine_stand_in_reports_the_same_digests(self) -> None:
        """Guard against digests that never match those of engines."""
        self.assertEqual(
            prefixes.digest_prefixes('m', '1', 'rind', self.tokens),
            prefix_cache.digest_prefixes('m', '1', 'rind', self.tokens),
        )
