"""Guard what is known of the prefix caches of runners."""

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

WHOLE = calls.FULL_SET_SEQUENCE


def build_state() -> state.State:
    """Build the state of an instance that uses one runner."""
    built = builders.build_state()
    table = builders.build_table((builders.build_upstream(1, 0, 12),))
    return upstreams.with_table(built, table)


def answer(
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


def change(
    sequence: int,
    added: tuple[str, ...] = (),
    removed: tuple[str, ...] = (),
) -> calls.CacheEvent:
    """Build a cache event."""
    return calls.CacheEvent(sequence, added, removed)


def known(current: state.State) -> set[str]:
    """Return the digests that the runner is known to hold."""
    return {
        digest
        for digest, holders in current.prefixes.holders.items()
        if 'runner-1' in holders
    }


class CacheEvents(unittest.TestCase):
    """The known prefixes follow the cache events of a runner."""

    def setUp(self) -> None:
        """Read a whole set."""
        whole = calls.CacheEventsRead((change(6, ('a', 'b')),), True, 7)
        self.current = answer(WHOLE, whole, build_state()).state

    def test_events_change_the_set(self) -> None:
        """Guard against prefixes that stay known after their removal."""
        read = calls.CacheEventsRead(
            (change(7, ('c',)), change(8, ('d',), ('a',))),
            complete=False,
            next=9,
        )
        current = answer(7, read, self.current).state
        self.assertEqual(known(current), {'b', 'c', 'd'})

    def test_gap_forgets_and_asks_for_the_whole_set(self) -> None:
        """Guard against removals that were in a missing event."""
        for read in (
            calls.CacheEventsRead((change(8, ('c',)),), False, 9),
            calls.CacheEventsRead((change(7), change(9)), False, 10),
            calls.CacheEventsRead((change(7),), False, 9),
            calls.CacheEventsRead((), False, 3),
        ):
            with self.subTest(read=read):
                transition = answer(7, read, self.current)
                self.assertEqual(known(transition.state), set())
                due = timers.CacheEventsDue('runner-1')
                self.assertIn(effects.SetTimer(due, 0), transition.effects)
                asked = handlers.reduce(
                    events.TimerFired(at=2, timer=due),
                    transition.state,
                )
                self.assertEqual(
                    asked.effects[0].call.from_sequence,  # type: ignore[attr-defined]
                    WHOLE,
                )

    def test_partial_answer_to_the_whole_set_is_not_asked_at_once(
        self,
    ) -> None:
        """Guard against a loop of questions to a faulty runner."""
        read = calls.CacheEventsRead((change(3),), False, 9)
        transition = answer(WHOLE, read, build_state())
        due = timers.CacheEventsDue('runner-1')
        self.assertIn(
            effects.SetTimer(due, prefixes.LOAD_PERIODS_PER_POLL),
            transition.effects,
        )

    def test_engine_without_cache_events_is_left_alone(self) -> None:
        """Guard against a question each second that is answered with 404."""
        refused = calls.PlatformRefused(404, 'not found')
        transition = answer(WHOLE, refused, build_state())
        due = timers.CacheEventsDue('runner-1')
        self.assertEqual(
            transition.effects,
            (effects.SetTimer(due, prefixes.UNSUPPORTED_RETRY_SECONDS),),
        )

    def test_number_of_digests_is_bounded(self) -> None:
        """Guard against memory that grows with the caches of all runners."""
        many = tuple(f'{number:05}' for number in range(5000))
        whole = calls.CacheEventsRead((change(6, many),), True, 7)
        current = answer(WHOLE, whole, build_state()).state
        self.assertEqual(
            len(known(current)),
            prefixes.MAXIMUM_DIGESTS_PER_RUNNER,
        )

    def test_unused_runner_is_forgotten(self) -> None:
        """Guard against prefixes of runners that are gone."""
        gone = upstreams.with_table(self.current, upstreams.UpstreamTable())
        due = timers.CacheEventsDue('runner-1')
        after = handlers.reduce(events.TimerFired(at=2, timer=due), gone)
        self.assertEqual(known(after.state), set())
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
        """Guard against runners that are found by prefixes they lost."""
        table = prefixes.PrefixTable()
        expected: dict[str, set[str]] = {}
        for one in changes:
            for runner, digests in one.items():
                expected[runner] = digests
                held = immutables.Map(dict.fromkeys(digests))
                table = table.replace(
                    runner,
                    prefixes.RunnerPrefixes(1, held),
                )
        for digest in 'abcdef':
            self.assertEqual(
                table.holders.get(digest, frozenset()),
                {one for one in expected if digest in expected[one]},
            )


class Digests(unittest.TestCase):
    """Digests name model, version, adapter and the first tokens."""

    tokens = tuple(f'w{number}' for number in range(70))

    def test_lengths_double(self) -> None:
        """Guard against digests of other lengths than engines report."""
        found = prefixes.digest_prefixes('m', '1', '', self.tokens)
        self.assertEqual(len(found), 3)
        shorter = prefixes.digest_prefixes('m', '1', '', self.tokens[:32])
        self.assertEqual(found[:2], shorter)

    def test_all_parts_matter(self) -> None:
        """Guard against a cache hit for another model or adapter."""
        found = {
            prefixes.digest_prefixes(*names, self.tokens)[0]
            for names in (
                ('m', '1', ''),
                ('m', '2', ''),
                ('n', '1', ''),
                ('m', '1', 'rind'),
                ('m1', '', ''),
            )
        }
        self.assertEqual(len(found), 5)

    def test_engine_stand_in_reports_the_same_digests(self) -> None:
        """Guard against prefixes that are never found."""
        self.assertEqual(
            prefixes.digest_prefixes('m', '1', 'rind', self.tokens),
            prefix_cache.digest_prefixes('m', '1', 'rind', self.tokens),
        )
