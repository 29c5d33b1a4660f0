"""Test the choice of chains and the placement index."""

import dataclasses
import unittest

import hypothesis
from hypothesis import strategies

from mustardvale import document
from mustardvale.internal import chains, placements, routing, upstreams
from tests import builders

MODEL = document.Model('affinage', '3', 12, builders.POOL, ('rind',))
POLICIES = tuple(routing.POLICIES.values())


def choose(
    table: upstreams.UpstreamTable,
    policy: routing.Policy,
    seed: int = 1,
    excluded: frozenset[str] = frozenset(),
) -> chains.Chain:
    """Choose a chain for the model of the tests."""
    return chains.choose_chain(
        chains.ChainRequest(MODEL, '', excluded),
        table,
        policy,
        chains.SelectionState(seed),
        100,
    )


@strategies.composite
def runners(
    draw: strategies.DrawFn,
) -> tuple[upstreams.Upstream, ...]:
    """Generate runners with any layers in any state."""
    count = draw(strategies.integers(0, 24))
    built = []
    for number in range(count):
        first = draw(strategies.integers(0, 11))
        end = draw(strategies.integers(first + 1, 12))
        runner = builders.build_upstream(
            number,
            first,
            end,
            is_leaving=draw(strategies.integers(0, 5)) == 0,
            ejected_until=draw(strategies.sampled_from((0.0, 0.0, 105.0))),
            is_polled=draw(strategies.integers(0, 5)) > 0,
        )
        built.append(runner)
    return tuple(built)


class ChainCoverage(unittest.TestCase):
    """A chain runs every layer exactly once, in order."""

    @hypothesis.given(
        members=runners(),
        policy=strategies.sampled_from(POLICIES),
        seed=strategies.integers(0, 1 << 63),
    )
    def test_stages_cover_all_layers_in_order(
        self,
        members: tuple[upstreams.Upstream, ...],
        policy: routing.Policy,
        seed: int,
    ) -> None:
        """Guard against a chain that omits a layer or runs it twice."""
        chain = choose(builders.build_table(members), policy, seed)
        layers = tuple(
            layer
            for stage in chain.stages
            for layer in range(stage.first_layer, stage.end_layer)
        )
        self.assertIn(layers, ((), tuple(range(12))))

    @hypothesis.given(
        members=runners(),
        policy=strategies.sampled_from(POLICIES),
        excluded=strategies.sets(strategies.integers(0, 23)),
    )
    def test_no_unusable_runner_is_chosen(
        self,
        members: tuple[upstreams.Upstream, ...],
        policy: routing.Policy,
        excluded: set[int],
    ) -> None:
        """Guard against work sent to leaving, ejected or excluded runners."""
        names = frozenset(f'runner-{number}' for number in excluded)
        table = builders.build_table(members)
        for stage in choose(table, policy, excluded=names).stages:
            chosen = table.by_id[stage.instance_id]
            self.assertFalse(chosen.is_leaving)
            self.assertEqual(chosen.ejected_until, 0)
            self.assertTrue(chosen.is_polled)
            self.assertNotIn(stage.instance_id, names)

    @hypothesis.given(
        members=runners(),
        policy=strategies.sampled_from(POLICIES),
    )
    def test_chain_is_found_when_there_is_one(
        self,
        members: tuple[upstreams.Upstream, ...],
        policy: routing.Policy,
    ) -> None:
        """Guard against dead ends between two partitionings of the layers."""
        reached = {0}
        for layer in range(12):
            reached |= {
                runner.report.end_layer
                for runner in members
                if layer in reached
                and runner.report is not None
                and runner.report.first_layer == layer
                and upstreams.is_in_use(runner)
            }
        stages = choose(builders.build_table(members), policy).stages
        self.assertEqual(bool(stages), 12 in reached)


class PlacementIndex(unittest.TestCase):
    """The index holds exactly the usable runners."""

    @hypothesis.given(first=runners(), second=runners())
    def test_index_after_changes_equals_index_built_anew(
        self,
        first: tuple[upstreams.Upstream, ...],
        second: tuple[upstreams.Upstream, ...],
    ) -> None:
        """Guard against stale entries in the index after a change."""
        changed = builders.build_table((*first, *second))
        for member in first:
            current = changed.by_id[member.listed.instance_id]
            if member is current:
                changed = changed.without(member)
        self.assertEqual(
            find_ids_by_range(changed),
            find_ids_by_range(builders.build_table(changed.by_id.values())),
        )

    def test_adapter_is_indexed(self) -> None:
        """Guard against sending an adapter to a runner that lacks it."""
        plain = builders.build_upstream(0, 0, 12)
        assert plain.report is not None
        report = dataclasses.replace(
            plain.report,
            instance_id='runner-1',
            adapters=('rind',),
        )
        with_adapter = builders.build_upstream(1, 0, 12, report=report)
        chain = chains.choose_chain(
            chains.ChainRequest(MODEL, 'rind'),
            builders.build_table((plain, with_adapter)),
            routing.ExpectedCompletion(),
            chains.SelectionState(1),
            100,
        )
        self.assertEqual(chain.stages[0].instance_id, 'runner-1')


class RoundRobinTurns(unittest.TestCase):
    """Round robin keeps its counts in the state."""

    def test_every_runner_gets_its_turn(self) -> None:
        """Guard against counts that are lost between two decisions."""
        table = builders.build_table(
            builders.build_upstream(number, 0, 12) for number in range(5)
        )
        state = builders.build_state()
        chosen = []
        for _ in range(10):
            chain = chains.choose_chain(
                chains.ChainRequest(MODEL, ''),
                table,
                routing.RoundRobin(),
                chains.SelectionState(state.seed, state.round_robin_counts),
                100,
            )
            state = chains.with_selection_state(chain.selection_state, state)
            chosen.append(chain.stages[0].instance_id)
        self.assertEqual(len(set(chosen[:5])), 5)
        self.assertEqual(chosen[:5], chosen[5:])


def find_ids_by_range(
    table: upstreams.UpstreamTable,
) -> dict[placements.ModelKey, dict[tuple[int, int], set[str]]]:
    """Return the ids in the index, ignoring their order."""
    return {
        model_key: {
            placements.get_layer_bounds(layer_range): set(
                layer_range.instance_ids
            )
            for layer_range in ranges
        }
        for model_key, ranges in table.placement_index.items()
        if ranges
    }
