"""Guard where layers are placed and which chains requests take."""

import dataclasses
import itertools
import unittest

import hypothesis
import immutables
from hypothesis import strategies

from mustardvale.internal.relay import (
    chains,
    engines,
    loads,
    placement,
    runners,
)
from tests import relay_states

ENGINE = relay_states.ENGINE
ZONES = ('zone-a', 'zone-b', 'zone-c')
# Accelerators of the cooperative's site by zone.
SITE = {
    'zone-a': {'large': 2, 'small': 4, 'wide': 4},
    'zone-b': {'large': 1, 'small': 6, 'wide': 6},
    'zone-c': {'large': 1, 'small': 10, 'wide': 4},
}


def build_pool(
    site: dict[str, dict[str, int]],
) -> tuple[runners.ListedRunner, ...]:
    """Return empty runners."""
    numbers = itertools.count(1)
    return tuple(
        relay_states.build_model_runner(
            f'm{next(numbers)}',
            0,
            0,
            accelerator=kind,
            availability_zone=zone,
        )
        for zone, kinds in site.items()
        for kind, count in kinds.items()
        for _ in range(count)
    )


def place(
    pool: tuple[runners.ListedRunner, ...], held: placement.HeldRanges
) -> dict[str, runners.LayerRange]:
    """Return what each runner holds after a plan."""
    assigned = placement.plan_assignments(ENGINE, pool, held)
    return {
        **held,
        **{item.runner_id: item.layers for item in assigned},
    }


def count_holders(
    pool: tuple[runners.ListedRunner, ...],
    held: dict[str, runners.LayerRange],
    zone: str = '',
) -> list[int]:
    """Return how many runners hold each layer, of one zone or anywhere."""
    counts = [0] * ENGINE.layer_count
    for runner in pool:
        if zone in {'', runner.availability_zone}:
            layers = held[runner.runner_id]
            for layer in range(layers.first, layers.end):
                counts[layer] += 1
    return counts


class Placement(unittest.TestCase):
    """Each zone holds the model, and the loss of one runner no layer."""

    def setUp(self) -> None:
        self.pool = build_pool(SITE)
        self.held = place(self.pool, immutables.Map())

    def test_every_zone_holds_every_layer(self) -> None:
        """Guard against chains that have to leave their zone."""
        for zone in ZONES:
            counts = count_holders(self.pool, self.held, zone)
            self.assertGreaterEqual(min(counts), 1, zone)

    def test_every_layer_has_three_holders(self) -> None:
        """Guard against a layer that two losses take away."""
        self.assertGreaterEqual(min(count_holders(self.pool, self.held)), 3)

    def test_layers_leave_room_for_requests(self) -> None:
        """Guard against a runner that crashes, or holds no request."""
        for runner in self.pool:
            layers = self.held[runner.runner_id]
            room = engines.compute_token_capacity(
                ENGINE, runner.accelerator, layers.count
            )
            self.assertGreater(room, 10_000)

    def test_nothing_moves_that_holds_layers(self) -> None:
        """Guard against loads when a plan is made again."""
        self.assertFalse(
            placement.plan_assignments(
                ENGINE, self.pool, immutables.Map(self.held)
            )
        )

    def test_replacement_takes_what_was_lost(self) -> None:
        """Guard against a hole that stays after a runner was replaced."""
        for lost in self.pool:
            with self.subTest(lost=lost.runner_id):
                rest = dict(self.held)
                before = rest.pop(lost.runner_id)
                again = placement.plan_assignments(
                    ENGINE, self.pool, immutables.Map(rest)
                )
                counts = count_holders(
                    self.pool,
                    {**rest, lost.runner_id: again[0].layers},
                    lost.availability_zone,
                )
                self.assertGreaterEqual(min(counts), 1)
                self.assertEqual(before.count, again[0].layers.count)

    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from(ZONES),
            strategies.dictionaries(
                strategies.sampled_from(('large', 'small', 'wide')),
                strategies.integers(0, 12),
            ),
        ),
        strategies.randoms(use_true_random=False),
    )
    def test_any_pool(
        self, site: dict[str, dict[str, int]], random: strategies.DataObject
    ) -> None:
        """Guard against ranges outside of the model or of the memory."""
        pool = build_pool(site)
        held = place(pool, immutables.Map())
        for runner in pool:
            layers = held[runner.runner_id]
            kind = ENGINE.accelerators[runner.accelerator]
            self.assertGreaterEqual(layers.first, 0)
            self.assertLessEqual(layers.end, ENGINE.layer_count)
            self.assertLess(layers.count * ENGINE.layer_mb, kind.memory_mb)


class Repair(unittest.TestCase):
    """A gap that no empty runner closes is closed by a spare one."""

    def setUp(self) -> None:
        self.pool = build_pool(SITE)
        self.held = place(self.pool, immutables.Map())

    def test_whole_zones_need_none(self) -> None:
        """Guard against loads that close nothing."""
        self.assertIsNone(
            placement.find_repair(ENGINE, self.pool, immutables.Map(self.held))
        )

    def test_gap_is_closed_without_another(self) -> None:
        """Guard against a zone that stays incomplete after a loss."""
        closed = 0
        for lost in self.pool:
            pool = tuple(runner for runner in self.pool if runner != lost)
            held = {
                runner.runner_id: self.held[runner.runner_id] for runner in pool
            }
            zone = lost.availability_zone
            before = count_holders(pool, held, zone).count(0)
            for _ in range(4):
                change = placement.find_repair(
                    ENGINE, pool, immutables.Map(held)
                )
                if change is None:
                    break
                held[change.runner_id] = change.layers
            after = count_holders(pool, held, zone).count(0)
            self.assertLessEqual(after, before)
            closed += before > 0 and after == 0
        self.assertGreater(closed, 0)


class Rebuilding(unittest.TestCase):
    """A zone that lost too much for its spare runners is built anew."""

    def lose(self, zone: str, kind: str) -> tuple[object, dict]:
        """Return pool and ranges without the first runner of a kind."""
        pool = build_pool(SITE)
        held = place(pool, immutables.Map())
        lost = next(
            runner
            for runner in pool
            if (runner.availability_zone, runner.accelerator) == (zone, kind)
        )
        rest = tuple(runner for runner in pool if runner != lost)
        return rest, {item.runner_id: held[item.runner_id] for item in rest}

    def test_zone_holds_every_layer_again(self) -> None:
        """Guard against a zone whose other runners serve nobody."""
        for zone in ZONES:
            pool, held = self.lose(zone, 'large')
            changed = placement.plan_rebuild(ENGINE, pool, immutables.Map(held))
            after = {
                **held,
                **{item.runner_id: item.layers for item in changed},
            }
            self.assertGreaterEqual(
                min(count_holders(pool, after, zone)), 1, zone
            )

    def test_other_zones_keep_their_ranges(self) -> None:
        """Guard against loads in zones that are whole."""
        pool, held = self.lose('zone-a', 'large')
        changed = placement.plan_rebuild(ENGINE, pool, immutables.Map(held))
        zones = {
            runner.availability_zone
            for runner in pool
            if runner.runner_id in {item.runner_id for item in changed}
        }
        self.assertEqual({'zone-a'}, zones)

    def test_zone_too_small_stays_as_it_is(self) -> None:
        """Guard against loads that cannot make a zone whole."""
        pool = build_pool({'zone-a': {'small': 3}})
        held = place(pool, immutables.Map())
        self.assertFalse(
            placement.plan_rebuild(ENGINE, pool, immutables.Map(held))
        )


class Chains(unittest.TestCase):
    """A chain runs every layer once and in order on runners with room."""

    def setUp(self) -> None:
        pool = build_pool(SITE)
        held = place(pool, immutables.Map())
        self.runners = {
            entry.runner_id: runners.Runner(
                dataclasses.replace(entry, layers=held[entry.runner_id]), 0
            )
            for entry in pool
        }

    def candidates(
        self, load: loads.Load = loads.NO_LOAD
    ) -> list[chains.Candidate]:
        """Describe all runners under one load."""
        found = (
            chains.build_candidate(ENGINE, runner, load, 1.0)
            for runner in self.runners.values()
        )
        return [candidate for candidate in found if candidate is not None]

    def find(self, candidates: list[chains.Candidate], seed: int = 1):
        """Return a chain for a usual request over all layers."""
        work = chains.Work(800, 200)
        span = chains.LayerSpan(0, ENGINE.layer_count, '')
        return chains.find_chain(ENGINE, candidates, work, span, seed)

    @hypothesis.given(
        strategies.sets(strategies.integers(0, 37), max_size=20),
        strategies.integers(0, 1000),
    )
    def test_every_layer_once_and_in_order(
        self, lost: set[int], seed: int
    ) -> None:
        """Guard against a token that misses a layer or runs one twice."""
        candidates = [
            candidate
            for number, candidate in enumerate(self.candidates())
            if number not in lost
        ]
        chain = self.find(candidates, seed)
        if chain is None:
            held = {
                layer
                for candidate in candidates
                for layer in range(candidate.layers.first, candidate.layers.end)
            }
            self.assertNotEqual(ENGINE.layer_count, len(held))
            return
        layer = 0
        for part in chain:
            holder = self.runners[part.runner_id].listed.layers
            self.assertEqual(layer, part.first_layer)
            self.assertLess(part.first_layer, part.end_layer)
            self.assertLessEqual(holder.first, part.first_layer)
            self.assertGreaterEqual(holder.end, part.end_layer)
            layer = part.end_layer
        self.assertEqual(ENGINE.layer_count, layer)
        names = [part.runner_id for part in chain]
        self.assertEqual(len(names), len(set(names)))

    def test_idle_site_stays_within_one_zone(self) -> None:
        """Guard against chains that fill the links between zones."""
        for seed in range(20):
            chain = self.find(self.candidates(), seed)
            zones = {
                self.runners[part.runner_id].listed.availability_zone
                for part in chain
            }
            self.assertEqual(1, len(zones))

    def test_full_runners_are_left_out(self) -> None:
        """Guard against requests that push others out of memory."""
        full = loads.Load(request_count=90, token_layers=1e9)
        self.assertIsNone(self.find(self.candidates(full)))

    def test_crowded_runner_goes_last(self) -> None:
        """Guard against filling one runner while others have room."""
        chain = self.find(self.candidates())
        crowded = chain[0].runner_id
        candidates = [
            dataclasses.replace(candidate, memory_share=0.85)
            if candidate.runner_id == crowded
            else candidate
            for candidate in self.candidates()
        ]
        again = self.find(candidates)
        self.assertNotIn(crowded, [part.runner_id for part in again])

    def test_slow_runner_goes_last(self) -> None:
        """Guard against a runner that reports it is slow."""
        chain = self.find(self.candidates())
        slow = chain[0].runner_id
        self.runners[slow] = dataclasses.replace(
            self.runners[slow], slowdown=8.0, slowdown_until=1e9
        )
        again = self.find(self.candidates())
        self.assertNotIn(slow, [part.runner_id for part in again])


class Links(unittest.TestCase):
    """Links between zones carry a bounded number of requests."""

    def setUp(self) -> None:
        self.candidates = [
            chains.build_candidate(
                ENGINE,
                runners.Runner(entry, 0),
                loads.NO_LOAD,
                1.0,
            )
            for entry in (
                relay_states.build_model_runner('m1', 0, 40),
                relay_states.build_model_runner(
                    'm2', 40, 80, availability_zone='zone-b'
                ),
            )
        ]

    def find(self, on_link: float) -> object:
        """Return the only chain, which crosses a link with a load."""
        return chains.find_chain(
            ENGINE,
            self.candidates,
            chains.Work(800, 200),
            chains.LayerSpan(0, 80, ''),
            1,
            lambda one, other: on_link,
        )

    def test_full_link_takes_no_more(self) -> None:
        """Guard against a link that makes every request on it late."""
        self.assertIsNotNone(self.find(4))
        self.assertIsNone(self.find(chains.FULL_LINK_REQUESTS))

    def test_crossings_are_counted_and_released(self) -> None:
        """Guard against a link that looks busy for ever."""
        chain = self.find(0)
        table = loads.add_chain(immutables.Map(), chain, 900, 1)
        link = loads.build_link_key('zone-b', 'zone-a')
        self.assertEqual(1, table[link].request_count)
        self.assertFalse(loads.add_chain(table, chain, 900, -1))


class Loads(unittest.TestCase):
    """Loads are counted here and estimated for all instances."""

    def test_load_of_the_other_instances_counts(self) -> None:
        """Guard against instances that fill the same runners together."""
        own = immutables.Map({'m1': loads.Load(2, 2, 1000.0)})
        mean = immutables.Map({'m1': loads.Load(1.5, 1.5, 800.0)})
        total = loads.estimate_total_load('m1', own, mean, 7)
        self.assertAlmostEqual(1000 + 6 * 800, total.token_layers)
        self.assertAlmostEqual(2 + 6 * 1.5, total.request_count)

    def test_one_request_does_not_look_like_one_of_each_instance(self) -> None:
        """Guard against runners that look full by chance."""
        own = immutables.Map({'m1': loads.Load(1, 1, 900.0)})
        means = loads.update_means(own, immutables.Map(), 0.04)
        total = loads.estimate_total_load('m1', own, means, 7)
        self.assertLess(total.token_layers, 1.1 * 900)

    def test_mean_follows_and_is_forgotten(self) -> None:
        """Guard against loads that are believed for ever."""
        own = immutables.Map({'m1': loads.Load(4, 4, 900.0)})
        means: loads.LoadMap = immutables.Map()
        for _ in range(1000):
            means = loads.update_means(own, means, 0.04)
        self.assertAlmostEqual(4, means['m1'].request_count, 2)
        for _ in range(2000):
            means = loads.update_means(immutables.Map(), means, 0.04)
        self.assertFalse(means)

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(1, 5), strategies.floats(1, 5000)
            ),
            max_size=20,
        )
    )
    def test_nothing_is_left(self, work: list[tuple[int, float]]) -> None:
        """Guard against load that stays for ever."""
        table: loads.LoadMap = immutables.Map()
        chain = [
            (
                relay_states.requests.ChainPart(f'm{number}', '', 0, 40),
                relay_states.requests.ChainPart('last', '', 40, 80),
            )
            for number, _ in work
        ]
        for parts, (_, tokens) in zip(chain, work, strict=True):
            table = loads.add_chain(table, parts, tokens, 1)
        for parts, (_, tokens) in zip(chain, work, strict=True):
            table = loads.add_chain(table, parts, tokens, -1)
        self.assertFalse(table)
