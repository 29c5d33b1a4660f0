"""Test the choice of a zone for model requests of many instances.

The pattern: each of many instances sends a few requests, in front of runners
in many zones, and each zone can serve a request alone.
"""

import collections
import dataclasses
import unittest

import immutables

from mustardvale.internal.relay import chains, choices, loads, runners
from tests import relay_states

ZONES = tuple(f'zone-{letter}' for letter in 'abcde')
PARTS_PER_ZONE = 2
INSTANCE_COUNT = 195
FULL = loads.Load(request_count=90, token_layers=1e9)


def build_zone(number: int) -> tuple[runners.ListedRunner, ...]:
    """Return the entries of two runners that hold all layers together."""
    first = number * PARTS_PER_ZONE + 1
    zone = ZONES[number]
    return (
        relay_states.build_model_runner(
            f'm{first}', 0, 40, availability_zone=zone
        ),
        relay_states.build_model_runner(
            f'm{first + 1}', 40, 80, availability_zone=zone
        ),
    )


class ZoneChoice(unittest.TestCase):
    """A request uses the cheaper chain of its own and a random zone."""

    def setUp(self) -> None:
        self.listed = tuple(
            entry
            for number in range(len(ZONES))
            for entry in build_zone(number)
        )
        self.instance = relay_states.Instance(self.listed)

    def choose_zones(self, seed: int) -> set[str]:
        """Return the zones of the chain that an instance with a seed chooses."""
        self.instance.state = dataclasses.replace(
            self.instance.state, seed=seed
        )
        self.instance.receive_request(f'r{seed}', '/model/x')
        if not self.instance.sends:
            return set()
        return {part.zone for part in self.instance.sends[-1].request.chain}

    def fill_zones(self, *zones: str) -> None:
        """Set the load of all runners of some zones to full."""
        self.instance.state = dataclasses.replace(
            self.instance.state,
            loads=immutables.Map(
                {
                    entry.runner_id: FULL
                    for entry in self.listed
                    if entry.availability_zone in zones
                }
            ),
        )

    def test_instances_that_know_nothing_spread_over_the_zones(self) -> None:
        """Guard against a herd on one zone after all instances restart."""
        chosen: collections.Counter[str] = collections.Counter()
        for seed in range(INSTANCE_COUNT):
            own_zone = ZONES[seed % len(ZONES)]
            self.instance = relay_states.Instance(self.listed)
            self.instance.state = dataclasses.replace(
                self.instance.state,
                identity=dataclasses.replace(
                    relay_states.IDENTITY, availability_zone=own_zone
                ),
            )
            chosen.update(self.choose_zones(seed))
        even_share = INSTANCE_COUNT / len(ZONES)
        self.assertEqual(set(ZONES), set(chosen))
        self.assertLess(max(chosen.values()), 2 * even_share)

    def test_full_zone_is_left(self) -> None:
        """Guard against refusals while another zone has room."""
        self.fill_zones('zone-a')
        for seed in range(10):
            self.assertNotIn('zone-a', self.choose_zones(seed))

    def test_only_zone_with_room_is_found(self) -> None:
        """Guard against refusals because two full zones were picked."""
        self.fill_zones(*ZONES[:-1])
        for seed in range(10):
            self.assertEqual({ZONES[-1]}, self.choose_zones(seed))

    def test_incomplete_zones_are_combined(self) -> None:
        """Guard against refusals while two zones have all layers together."""
        self.instance = relay_states.Instance(
            (build_zone(3)[0], build_zone(4)[1])
        )
        self.assertEqual({'zone-d', 'zone-e'}, self.choose_zones(1))

    def test_two_zones_are_searched(self) -> None:
        """Guard against a cost of a choice that grows with the zones."""
        for seed in range(20):
            state = dataclasses.replace(self.instance.state, seed=seed)
            picked = choices.pick_zones('model', state)
            self.assertIn('zone-a', picked)
            self.assertEqual(choices.SEARCHED_ZONE_COUNT, len(set(picked)))


class CheapestChain(unittest.TestCase):
    """The chain within a zone is the cheapest one of all runners."""

    def test_search_of_all_runners_finds_no_cheaper_chain(self) -> None:
        """Guard against a search by zones that returns a worse chain.

        A crossing costs more than a chain on idle runners of one zone.
        """
        listed = tuple(
            entry for number in range(2) for entry in build_zone(number)
        )
        engine = relay_states.ENGINE
        for seed in range(20):
            instance = relay_states.Instance(listed)
            state = dataclasses.replace(instance.state, seed=seed)
            instance.state = state
            instance.receive_request('r1', '/model/x')
            exchange = instance.state.exchanges['r1']
            cheapest = chains.find_chain(
                engine,
                choices.list_candidates(engine, 'model', instance.now, state),
                choices.estimate_work(exchange, engine),
                chains.LayerSpan(0, engine.layer_count, ''),
                seed,
                choices.build_link_load_lookup(state),
            )
            assert cheapest is not None
            zones = {part.zone for part in cheapest}
            self.assertEqual(1, len(zones))
            chosen = instance.sends[0].request.chain
            self.assertEqual(len(cheapest), len(chosen))
