"""Test the indexed search for chains against the reference search."""

import dataclasses
import typing
import unittest

import hypothesis
import immutables
from hypothesis import strategies

from bench import chain_cost, chain_placement
from mustardvale.internal.relay import (
    chain_search,
    chains,
    choices,
    engines,
    exchanges,
    loads,
    part_terms,
    requests,
    runners,
)
from mustardvale.internal.relay import state as states
from tests import reference_search, relay_states

LAYER_COUNT = 6
NOW = 10.0
ZONES = ('zone-a', 'zone-b', 'zone-c')
LINKS = ('zone-a<>zone-b', 'zone-a<>zone-c', 'zone-b<>zone-c')
# Times before and after `NOW`; those after it are rarer.
TIMES = strategies.sampled_from((*[0.0] * 20, 9.0, 11.0))


@strategies.composite
def engine_variants(draw: strategies.DrawFn) -> engines.Engine:
    """Generate engines on which a chain costs from 0.1 to some ten seconds."""
    return dataclasses.replace(
        chain_placement.ENGINE,
        layer_count=LAYER_COUNT,
        slots=draw(strategies.sampled_from((2, 24))),
        base_step_seconds=draw(strategies.sampled_from((2e-4, 1e-3, 5e-3))),
        zone_link_mbps=draw(strategies.sampled_from((0.0, 16_000.0))),
        zone_delay_seconds=immutables.Map(
            {ZONES[:2]: draw(strategies.sampled_from((0.0, 0.001)))}
        ),
    )


@strategies.composite
def observed_runners(draw: strategies.DrawFn) -> runners.Runner:
    """Generate a runner of any zone with any layers and obstacles."""
    first = draw(strategies.integers(0, LAYER_COUNT - 1))
    end = draw(strategies.integers(first + 1, LAYER_COUNT))
    held = runners.LayerRange(first, end)
    listed = runners.ListedRunner(
        '',
        chain_cost.SERVICE,
        '10.0.0.1:1',
        draw(strategies.sampled_from(ZONES)),
        state=draw(
            strategies.sampled_from(
                (
                    *[runners.ListedState.READY] * 20,
                    runners.ListedState.DRAINING,
                )
            )
        ),
        accelerator=draw(strategies.sampled_from(('a100', 'v100', 'l4'))),
        layers=draw(strategies.sampled_from((*[held] * 20, None))),
    )
    return runners.Runner(
        listed,
        delisted_at=draw(strategies.sampled_from((*[None] * 20, 1.0))),
        is_leaving=draw(strategies.integers(0, 20)) == 7,
        waits_until=draw(TIMES),
        excluded_until=draw(TIMES),
        deprioritized_until=draw(TIMES),
        slowdown=draw(strategies.sampled_from((0.5, 1.0, 4.0))),
        slowdown_until=draw(TIMES),
    )


def generate_loads(names: list[str]) -> strategies.SearchStrategy[typing.Any]:
    """Generate the loads of some runners and links."""
    return strategies.dictionaries(
        strategies.sampled_from(names),
        strategies.builds(
            loads.Load,
            strategies.floats(0, 6),
            strategies.floats(0, 2),
            strategies.floats(0, 5000),
        ),
    ).map(immutables.Map)


@strategies.composite
def sites(draw: strategies.DrawFn) -> tuple[states.State, exchanges.Exchange]:
    """Generate an instance in front of runners, and a model request."""
    observed = draw(
        strategies.lists(observed_runners(), min_size=8, max_size=40)
    )
    runner_map = immutables.Map(
        {
            f'r{number}': dataclasses.replace(
                runner,
                listed=dataclasses.replace(
                    runner.listed, runner_id=f'r{number}'
                ),
            )
            for number, runner in enumerate(observed)
        }
    )
    names = [*runner_map, *LINKS]
    engine = draw(engine_variants())
    index = runners.build_index(runner_map)
    built = chain_cost.build_state(1)
    assert built.configuration.active is not None
    service = dataclasses.replace(
        built.configuration.active.services[chain_cost.SERVICE], engine=engine
    )
    services = immutables.Map({chain_cost.SERVICE: service})
    state = dataclasses.replace(
        built,
        seed=draw(strategies.integers(0, 1 << 60)),
        configuration=dataclasses.replace(
            built.configuration,
            active=dataclasses.replace(
                built.configuration.active, services=services
            ),
        ),
        runners=runner_map,
        runner_index=index,
        part_terms=part_terms.update_index(
            immutables.Map(), services, runner_map, index
        ),
        loads=draw(generate_loads(names)),
        mean_loads=draw(generate_loads(names)),
    )
    exchange = chain_cost.build_exchange()
    tokens = draw(strategies.integers(1, 4000))
    output_tokens = draw(strategies.floats(0, 800))
    prompt = requests.Prompt('m', tokens, 400, output_tokens)
    return state, dataclasses.replace(
        exchange,
        request=dataclasses.replace(exchange.request, prompt=prompt),
        tried_runner_ids=draw(
            strategies.frozensets(strategies.sampled_from(names), max_size=3)
        ),
    )


def find_engine(state: states.State) -> engines.Engine:
    """Return the engine of the model."""
    assert state.configuration.active is not None
    engine = state.configuration.active.services[chain_cost.SERVICE].engine
    assert engine is not None
    return engine


class SameChoice(unittest.TestCase):
    """The indexed search finds the chain and the cost of the reference."""

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(sites())
    def test_whole_chain(
        self, site: tuple[states.State, exchanges.Exchange]
    ) -> None:
        """Guard against a bound or an index that leaves out the best chain."""
        state, exchange = site
        engine = find_engine(state)
        expected = reference_search.find_cheap_chain(
            engine, exchange, NOW, state
        )
        found = choices.find_cheap_chain(engine, exchange, NOW, state)
        hypothesis.event(f'found: {expected is not None}')
        self.assertEqual(
            expected and (expected.cost, expected.chain),
            found and (found.cost, found.chain),
        )

    @hypothesis.given(sites(), strategies.data())
    def test_span_of_a_chain(
        self,
        site: tuple[states.State, exchanges.Exchange],
        data: strategies.DataObject,
    ) -> None:
        """Guard against other substitutes for the faulty part of a chain."""
        state, exchange = site
        engine = find_engine(state)
        first = data.draw(strategies.integers(0, LAYER_COUNT - 1))
        span = chains.LayerSpan(
            first,
            data.draw(strategies.integers(first + 1, LAYER_COUNT)),
            data.draw(strategies.sampled_from(ZONES)),
        )
        arguments = (
            engine,
            choices.list_candidates(engine, exchange.service, NOW, state),
            choices.estimate_work(exchange, engine),
            span,
            state.seed,
        )
        find_link_load = choices.build_link_load_lookup(state)
        expected = reference_search.ChainSearch(*arguments).run(find_link_load)
        self.assertEqual(
            expected and expected.chain,
            chains.find_chain(*arguments, find_link_load),
        )

    @hypothesis.given(observed_runners())
    def test_usable_runner_has_no_obstacle(
        self, runner: runners.Runner
    ) -> None:
        """Guard against two different answers to whether a runner is usable."""
        self.assertEqual(
            runner.find_obstacle(NOW) is None, runner.may_get_requests(NOW)
        )

    def test_chain_with_too_many_parts_is_not_found(self) -> None:
        """Guard against a chain that is longer than runners accept."""
        count = chain_search.MAXIMUM_CHAIN_PARTS + 1
        costs = [
            chain_search.PartCosts(layer + 1, 0.0, 0.0, 0.1, 1.0, 0.0)
            for layer in range(count)
        ]
        search = chain_search.build_search(
            costs, [(layer,) for layer in range(count)]
        )
        span = chain_search.SiteSpan(['zone-a'] * count, 0, count, '')
        self.assertIsNone(chain_search.find_zone_parts(search))
        self.assertIsNone(
            chain_search.find_site_parts(search, span, lambda one, other: 0.0)
        )


class TermsIndex(unittest.TestCase):
    """The index of terms follows the runner list and the configuration."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()

    def assert_index_is_current(self) -> None:
        """Assert that the index equals one that is built anew."""
        state = self.instance.state
        assert state.configuration.active is not None
        self.assertEqual(
            part_terms.update_index(
                immutables.Map(),
                state.configuration.active.services,
                state.runners,
                state.runner_index,
            ),
            state.part_terms,
        )

    def test_changed_entry(self) -> None:
        """Guard against choices by the layers that a runner held before."""
        self.assert_index_is_current()
        self.instance.list_runners(
            (
                *relay_states.TWO_CHAINS[1:],
                relay_states.build_model_runner('m1', 0, 20),
            )
        )
        self.assert_index_is_current()

    def test_changed_engine(self) -> None:
        """Guard against choices by the engine of an earlier version."""
        before = self.instance.state.part_terms['model']
        service = relay_states.CONFIGURATION.services['model']
        assert service.engine is not None
        for step, slots in ((1, service.engine.slots), (2, 7)):
            engine = dataclasses.replace(service.engine, slots=slots)
            changed = dataclasses.replace(service, engine=engine)
            self.instance.configure(
                dataclasses.replace(
                    relay_states.CONFIGURATION,
                    version=relay_states.CONFIGURATION.version + step,
                    services=relay_states.CONFIGURATION.services.set(
                        'model', changed
                    ),
                )
            )
            self.assert_index_is_current()
        after = self.instance.state.part_terms['model']
        for zone, terms in after.items():
            self.assertEqual(7, terms.engine.slots)
            self.assertIsNot(before[zone], terms)

    def test_outdated_terms_are_not_used(self) -> None:
        """Guard against stale layers where an update of the index is missed."""
        state = self.instance.state
        zone, known = next(iter(state.part_terms['model'].items()))
        listed = runners.list_zone_runners(
            state.runners, state.runner_index, 'model', zone
        )
        changed = tuple(
            dataclasses.replace(
                runner,
                listed=dataclasses.replace(
                    runner.listed, layers=runners.LayerRange(0, 1)
                ),
            )
            for runner in listed
        )
        terms = part_terms.find_zone_terms(
            state.part_terms, known.engine, 'model', zone, changed
        )
        self.assertEqual(
            [1] * len(changed), [part and part.end for part in terms.parts]
        )
