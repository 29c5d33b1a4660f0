"""Test the prefix cache of the engine stand-in and its events."""

import dataclasses
import hashlib
import unittest

from standins import prefix_cache
from tests import engine_cases

INPUTS = tuple(f't{number}' for number in range(40))


def build_digests(*names: str) -> tuple[str, ...]:
    """Return names as the digests of a series of prefixes."""
    return tuple(names)


def read_published(cache: prefix_cache.Cache) -> set[str]:
    """Return the complete set of published digests."""
    read = prefix_cache.read_events(prefix_cache.ReadCacheEvents(None), cache)
    return {digest for event in read.events for digest in event.added}


class Digests(unittest.TestCase):
    """Prefix digests are computed as documented."""

    def test_lengths_and_separators(self) -> None:
        """Guard against digests that readers cannot reproduce."""
        prefixes = prefix_cache.digest_prefixes('m', '3', '', INPUTS)
        self.assertEqual(len(prefixes), 2)
        text = '\x1f'.join(('m', '3', '', *INPUTS[:16])) + '\x1f'
        expected = hashlib.blake2b(text.encode(), digest_size=16)
        self.assertEqual(prefixes[0], expected.hexdigest())


class CachedPrefill(unittest.TestCase):
    """A cached prefix makes a prefill faster and changes nothing else."""

    def prefill(self, driver, session: str) -> float:
        """Run a prefill and return how long it took."""
        start_time = driver.now
        step = engine_cases.build_step(session, inputs=INPUTS)
        engine_cases.send_steps(driver, session, step)
        while session not in driver.replies:
            driver.pass_time(0.001)
        return driver.now - start_time

    def test_second_prefill_is_faster(self) -> None:
        """Guard against a cache that saves nothing or changes tokens."""
        driver = engine_cases.build_driver()
        first = self.prefill(driver, 's')
        second = self.prefill(driver, 't')
        self.assertAlmostEqual(first - second, 0.032, delta=0.0015)
        outputs = [driver.replies[name].results[0].outputs for name in 'st']
        self.assertEqual(outputs[0], outputs[1])

    def test_no_cache(self) -> None:
        """Guard against a cache that ignores its limit."""
        driver = engine_cases.build_driver(cache_positions=0)
        first = self.prefill(driver, 's')
        self.assertAlmostEqual(first, self.prefill(driver, 't'), delta=0.0015)


class Eviction(unittest.TestCase):
    """A full cache evicts the least recently used prefixes."""

    def test_order(self) -> None:
        """Guard against evicting a prefix that was just used."""
        cache = prefix_cache.Cache(positions_limit=48)
        for number, names in enumerate(
            (('a',), ('b',), ('c',), ('a',), ('d',))
        ):
            cache = prefix_cache.store(build_digests(*names), number, cache)
        self.assertEqual(set(cache.entries), {'c', 'a', 'd'})
        self.assertEqual(cache.positions, 48)

    def test_long_prefix_goes_first(self) -> None:
        """Guard against keeping a long prefix without the shorter ones."""
        cache = prefix_cache.Cache(positions_limit=32)
        cache = prefix_cache.store(build_digests('a16', 'a32', 'a64'), 0, cache)
        self.assertEqual(set(cache.entries), {'a16', 'a32'})


class CacheEvents(unittest.TestCase):
    """Events are delayed, and sequence numbers reveal lost ones."""

    def build(self, **fields) -> prefix_cache.Cache:
        """Store five prefixes, one each second from 0 to 4."""
        cache = prefix_cache.Cache(positions_limit=1000, **fields)
        for number in range(5):
            cache = prefix_cache.store(
                build_digests(f'd{number}'), number, cache
            )
        return cache

    def read(self, cache, first: int) -> tuple[list[int], int]:
        """Return the sequence numbers of the events read, and the next one."""
        read = prefix_cache.read_events(
            prefix_cache.ReadCacheEvents(first), cache
        )
        return [event.sequence for event in read.events], read.next

    def test_delay(self) -> None:
        """Guard against events that are published before their delay."""
        cache = self.build(event_delay_seconds=2)
        cache = prefix_cache.publish(4.5, cache)
        self.assertEqual(self.read(cache, 0), ([0, 1, 2], 3))
        self.assertEqual(read_published(cache), {'d0', 'd1', 'd2'})

    def test_gap(self) -> None:
        """Guard against a lost event that readers cannot detect."""
        cache = prefix_cache.publish(9, self.build(event_loss=2))
        self.assertEqual(self.read(cache, 0), ([0, 2, 4], 5))
        self.assertEqual(
            read_published(cache), {f'd{number}' for number in range(5)}
        )

    def test_old_events_are_dropped(self) -> None:
        """Guard against a log that grows without limit."""
        cache = prefix_cache.Cache(positions_limit=10**6)
        for number in range(3 * prefix_cache.EVENTS_KEPT):
            cache = prefix_cache.store(
                build_digests(f'd{number}'), number, cache
            )
        self.assertLessEqual(len(cache.log), 2 * prefix_cache.EVENTS_KEPT)
        cache = prefix_cache.publish(10**6, cache)
        sequences, following = self.read(cache, 0)
        self.assertEqual(sequences[0], 2 * prefix_cache.EVENTS_KEPT)
        self.assertEqual(following, 3 * prefix_cache.EVENTS_KEPT)

    def test_crash_empties_the_cache(self) -> None:
        """Guard against cached prefixes that survive a crash."""
        driver = engine_cases.build_driver(cache_event_delay_seconds=0)
        step = engine_cases.build_step('s', inputs=INPUTS)
        engine_cases.run_steps(driver, 'r0', step)
        request = prefix_cache.ReadCacheEvents(None)
        cached = driver.ask('before', request).events[0].added
        self.assertEqual(len(cached), 2)
        faults = dataclasses.replace(
            driver.state.faults,
            die=True,
            restart_seconds=1,
        )
        driver.ask('faults', faults)
        driver.pass_time(2)
        self.assertEqual(driver.ask('after', request).events[0].added, ())
