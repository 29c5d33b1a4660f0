"""Test the placement of layers and the choice of chains."""

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
# Number of accelerators of each kind by zone, as on the cooperative's site.
SITE = {
    'zone-a': {'large': 2, 'small': 4, 'wide': 4},
    'zone-b': {'large': 1, 'small': 6, 'wide': 6},
    'zone-c': {'large': 1, 'small': 10, 'wide': 4},
}


def build_pool(
    site: dict[str, dict[str, int]],
) -> tuple[runners.ListedRunner, ...]:
    """Return runners without layers."""
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


def assign_layers(
    pool: tuple[runners.ListedRunner, ...], held: placement.HeldRanges
) -> dict[str, runners.LayerRange]:
    """Return the range of each runner after the planned assignments."""
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
    """Return how many runners hold each layer, in one zone or in all."""
    counts = [0] * ENGINE.layer_count
    for runner in pool:
        if zone in {'', runner.availability_zone}:
            layers = held[runner.runner_id]
            for layer in range(layers.first, layers.end):
                counts[layer] += 1
    return counts


class Placement(unittest.TestCase):
    """Each zone holds the whole model, and each layer has several copies."""

    def setUp(self) -> None:
        self.pool = build_pool(SITE)
        self.held = assign_layers(self.pool, immutables.Map())

    def test_every_zone_holds_every_layer(self) -> None:
        """Guard against chains that have to cross zones."""
        for zone in ZONES:
            counts = count_holders(self.pool, self.held, zone)
            self.assertGreaterEqual(min(counts), 1, zone)

    def test_every_layer_has_three_holders(self) -> None:
        """Guard against losing a layer when two runners are lost."""
        self.assertGreaterEqual(min(count_holders(self.pool, self.held)), 3)

    def test_layers_leave_room_for_requests(self) -> None:
        """Guard against a runner without memory for requests."""
        for runner in self.pool:
            layers = self.held[runner.runner_id]
            token_capacity = engines.compute_token_capacity(
                ENGINE, runner.accelerator, layers.count
            )
            self.assertGreater(token_capacity, 10_000)

    def test_runners_with_layers_are_not_reassigned(self) -> None:
        """Guard against loading layers again when planning is repeated."""
        self.assertFalse(
            placement.plan_assignments(
                ENGINE, self.pool, immutables.Map(self.held)
            )
        )

    def test_replacement_covers_the_lost_layers(self) -> None:
        """Guard against a gap that remains after a runner was replaced."""
        for lost in self.pool:
            with self.subTest(lost=lost.runner_id):
                remaining = dict(self.held)
                before = remaining.pop(lost.runner_id)
                assignments = placement.plan_assignments(
                    ENGINE, self.pool, immutables.Map(remaining)
                )
                counts = count_holders(
                    self.pool,
                    {**remaining, lost.runner_id: assignments[0].layers},
                    lost.availability_zone,
                )
                self.assertGreaterEqual(min(counts), 1)
                self.assertEqual(before.count, assignments[0].layers.count)

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
    def test_ranges_fit_for_any_pool(
        self, site: dict[str, dict[str, int]], random: strategies.DataObject
    ) -> None:
        """Guard against ranges that exceed the model or the memory."""
        pool = build_pool(site)
        held = assign_layers(pool, immutables.Map())
        for runner in pool:
            layers = held[runner.runner_id]
            kind = ENGINE.accelerators[runner.accelerator]
            self.assertGreaterEqual(layers.first, 0)
            self.assertLessEqual(layers.end, ENGINE.layer_count)
            self.assertLess(layers.count * ENGINE.layer_mb, kind.memory_mb)


class Repair(unittest.TestCase):
    """A gap is closed by a runner whose layers others hold."""

    def setUp(self) -> None:
        self.pool = build_pool(SITE)
        self.held = assign_layers(self.pool, immutables.Map())

    def test_complete_zones_need_no_repair(self) -> None:
        """Guard against loading layers that close no gap."""
        self.assertIsNone(
            placement.find_repair(ENGINE, self.pool, immutables.Map(self.held))
        )

    def test_repair_closes_a_gap_without_opening_another(self) -> None:
        """Guard against a zone that stays incomplete after losing a runner."""
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
    """A zone with a gap that no single runner can close is planned anew."""

    def lose_runner(self, zone: str, kind: str) -> tuple[object, dict]:
        """Return the pool and its ranges without the first runner of a kind."""
        pool = build_pool(SITE)
        held = assign_layers(pool, immutables.Map())
        lost = next(
            runner
            for runner in pool
            if (runner.availability_zone, runner.accelerator) == (zone, kind)
        )
        remaining = tuple(runner for runner in pool if runner != lost)
        return remaining, {
            item.runner_id: held[item.runner_id] for item in remaining
        }

    def test_zone_holds_every_layer_again(self) -> None:
        """Guard against a zone whose remaining runners get no requests."""
        for zone in ZONES:
            pool, held = self.lose_runner(zone, 'large')
            changed = placement.plan_rebuild(ENGINE, pool, immutables.Map(held))
            after = {
                **held,
                **{item.runner_id: item.layers for item in changed},
            }
            self.assertGreaterEqual(
                min(count_holders(pool, after, zone)), 1, zone
            )

    def test_other_zones_keep_their_ranges(self) -> None:
        """Guard against loading layers in zones that are complete."""
        pool, held = self.lose_runner('zone-a', 'large')
        changed = placement.plan_rebuild(ENGINE, pool, immutables.Map(held))
        zones = {
            runner.availability_zone
            for runner in pool
            if runner.runner_id in {item.runner_id for item in changed}
        }
        self.assertEqual({'zone-a'}, zones)

    def test_zone_too_small_for_the_model_is_unchanged(self) -> None:
        """Guard against loading layers in a zone that stays incomplete."""
        pool = build_pool({'zone-a': {'small': 3}})
        held = assign_layers(pool, immutables.Map())
        self.assertFalse(
            placement.plan_rebuild(ENGINE, pool, immutables.Map(held))
        )


class Chains(unittest.TestCase):
    """A chain runs every layer once, in order, on runners with capacity."""

    def setUp(self) -> None:
        pool = build_pool(SITE)
        held = assign_layers(pool, immutables.Map())
        self.runners = {
            entry.runner_id: runners.Runner(
                dataclasses.replace(entry, layers=held[entry.runner_id]), 0
            )
            for entry in pool
        }

    def build_candidates(
        self, load: loads.Load = loads.NO_LOAD
    ) -> list[chains.Candidate]:
        """Return the candidates for all runners, with the same load."""
        candidates = (
            chains.build_candidate(ENGINE, runner, load, 1.0)
            for runner in self.runners.values()
        )
        return [candidate for candidate in candidates if candidate is not None]

    def find_chain(self, candidates: list[chains.Candidate], seed: int = 1):
        """Return a chain over all layers for a request of typical size."""
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
        """Guard against a chain that skips or repeats a layer."""
        candidates = [
            candidate
            for number, candidate in enumerate(self.build_candidates())
            if number not in lost
        ]
        chain = self.find_chain(candidates, seed)
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
        """Guard against needless load on the links between zones."""
        for seed in range(20):
            chain = self.find_chain(self.build_candidates(), seed)
            zones = {
                self.runners[part.runner_id].listed.availability_zone
                for part in chain
            }
            self.assertEqual(1, len(zones))

    def test_full_runners_are_left_out(self) -> None:
        """Guard against requests that evict others from memory."""
        full = loads.Load(request_count=90, token_layers=1e9)
        self.assertIsNone(self.find_chain(self.build_candidates(full)))

    def test_runner_with_little_memory_is_avoided(self) -> None:
        """Guard against filling one runner while others have capacity."""
        chain = self.find_chain(self.build_candidates())
        crowded = chain[0].runner_id
        candidates = [
            dataclasses.replace(candidate, memory_share=0.85)
            if candidate.runner_id == crowded
            else candidate
            for candidate in self.build_candidates()
        ]
        second_chain = self.find_chain(candidates)
        self.assertNotIn(crowded, [part.runner_id for part in second_chain])

    def test_slow_runner_is_avoided(self) -> None:
        """Guard against sending requests to a runner that reports a slowdown."""
        chain = self.find_chain(self.build_candidates())
        slow = chain[0].runner_id
        self.runners[slow] = dataclasses.replace(
            self.runners[slow], slowdown=8.0, slowdown_until=1e9
        )
        second_chain = self.find_chain(self.build_candidates())
        self.assertNotIn(slow, [part.runner_id for part in second_chain])


class Links(unittest.TestCase):
    """Links between zones carry a limited number of requests."""

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

    def find_chain(self, request_count: float) -> object:
        """Return the only chain, which crosses a link with some requests."""
        return chains.find_chain(
            ENGINE,
            self.candidates,
            chains.Work(800, 200),
            chains.LayerSpan(0, 80, ''),
            1,
            lambda one, other: request_count,
        )

    def test_full_link_is_not_used(self) -> None:
        """Guard against overloading a link, which delays all its requests."""
        self.assertIsNotNone(self.find_chain(4))
        self.assertIsNone(self.find_chain(chains.FULL_LINK_REQUESTS))

    def test_crossings_are_counted_and_released(self) -> None:
        """Guard against load on a link that is never removed."""
        chain = self.find_chain(0)
        load_map = loads.add_chain(immutables.Map(), chain, 900, 1)
        link = loads.build_link_key('zone-b', 'zone-a')
        self.assertEqual(1, load_map[link].request_count)
        self.assertFalse(loads.add_chain(load_map, chain, 900, -1))


class Loads(unittest.TestCase):
    """The load of all instances is estimated from the own load."""

    def test_load_of_the_other_instances_counts(self) -> None:
        """Guard against several instances filling the same runners."""
        own = immutables.Map({'m1': loads.Load(2, 2, 1000.0)})
        mean = immutables.Map({'m1': loads.Load(1.5, 1.5, 800.0)})
        total = loads.estimate_total_load('m1', own, mean, 7)
        self.assertAlmostEqual(1000 + 6 * 800, total.token_layers)
        self.assertAlmostEqual(2 + 6 * 1.5, total.request_count)

    def test_one_request_is_not_multiplied_by_the_instances(self) -> None:
        """Guard against overestimating the load after a single request."""
        own = immutables.Map({'m1': loads.Load(1, 1, 900.0)})
        means = loads.update_means(own, immutables.Map(), 0.04)
        total = loads.estimate_total_load('m1', own, means, 7)
        self.assertLess(total.token_layers, 1.1 * 900)

    def test_mean_converges_and_expires(self) -> None:
        """Guard against means that outlast the load."""
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
    def test_finished_requests_leave_no_load(
        self, work: list[tuple[int, float]]
    ) -> None:
        """Guard against load that is never removed."""
        load_map: loads.LoadMap = immutables.Map()
        request_chains = [
            (
                relay_states.requests.ChainPart(f'm{number}', '', 0, 40),
                relay_states.requests.ChainPart('last', '', 40, 80),
            )
            for number, _ in work
        ]
        for parts, (_, tokens) in zip(request_chains, work, strict=True):
            load_map = loads.add_chain(load_map, parts, tokens, 1)
        for parts, (_, tokens) in zip(request_chains, work, strict=True):
            load_map = loads.add_chain(load_map, parts, tokens, -1)
        self.assertFalse(load_map)
