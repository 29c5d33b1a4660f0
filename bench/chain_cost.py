"""Measure the processor time of the choice of a chain by the number of runners.

PYTHONPATH=src:. python -m bench.chain_cost --write

`zones` is the choice of the product, which searches two zones first, and `all`
the search of all runners that follows where no zone has a cheap chain.
"""

import dataclasses
import math
import random
import statistics
import time
import typing
from collections import abc

import fire
import immutables

from bench import chain_placement, measurements
from mustardvale.internal.relay import (
    chains,
    choices,
    configuration,
    exchanges,
    instance_settings,
    loads,
    part_costs,
    part_terms,
    requests,
    runners,
)
from mustardvale.internal.relay import state as states

CHOICE_COUNT = 40
MILLISECONDS_PER_SECOND = 1000
PERCENTILE_COUNT = 100
SEED_BITS = 60
SERVICE = 'model'
# A model request of typical size, in prompt and output tokens.
WORK = chains.Work(800, 220)
# Runners of each accelerator in a zone of about 40 runners, and the numbers of
# such zones: 205 runners are those of five zones, 3,400 those of two years on.
ZONE = immutables.Map({'a100': 4, 'v100': 21, 'l4': 16})
ZONE_COUNTS = (1, 2, 5, 25, 83)


def build_state(zone_count: int) -> states.State:
    """Return the state of an instance in front of runners with layers."""
    site = {f'zone-{number:02}': ZONE for number in range(zone_count)}
    pool = chain_placement.build_pool(site)
    placed = {
        runner_id: layers
        for zone in site
        for runner_id, layers in chain_placement.place_least_covered(
            tuple(runner for runner in pool if runner.availability_zone == zone)
        ).items()
    }
    random_source = random.Random(1)
    runner_map = immutables.Map(
        {
            runner.runner_id: runners.Runner(
                dataclasses.replace(
                    runner, service=SERVICE, layers=placed[runner.runner_id]
                )
            )
            for runner in pool
        }
    )
    own_loads = immutables.Map(
        {
            runner_id: loads.Load(random_source.randint(0, 20), 1, 9_000.0)
            for runner_id in sorted(runner_map)
        }
    )
    service = configuration.Service(SERVICE, chain_placement.ENGINE)
    index = runners.build_index(runner_map)
    return states.State(
        identity=instance_settings.Identity(
            'entry-1',
            'zone-00',
            'region',
            instance_settings.Addresses('', '', '', '', '', ''),
        ),
        limits=instance_settings.Limits(),
        seed=1,
        configuration=states.ConfigurationState(
            active=configuration.Configuration(
                1, services=immutables.Map({SERVICE: service})
            )
        ),
        runners=runner_map,
        runner_index=index,
        part_terms=part_terms.update_index(
            immutables.Map(), {SERVICE: service}, runner_map, index
        ),
        loads=own_loads,
    )


def build_exchange() -> exchanges.Exchange:
    """Return a model request of typical size."""
    prompt = requests.Prompt('m', WORK.prompt_tokens, 400, 220)
    route = configuration.Route(
        'r',
        'host',
        '/',
        configuration.RequestKind.STREAMING,
        (configuration.ServiceShare(SERVICE, 1),),
        timeout_seconds=20,
        target_latency_seconds=0.5,
        is_resumable=True,
    )
    request = requests.ClientRequest('a', 'POST', '/', 'host', (), b'')
    return exchanges.Exchange(
        'r1',
        dataclasses.replace(request, prompt=prompt),
        route,
        SERVICE,
        0,
        20,
    )


def search_all(
    exchange: exchanges.Exchange, now: float, state: states.State
) -> choices.FoundChain | None:
    """Search the runners of all zones."""
    engine = chain_placement.ENGINE
    conditions = part_costs.build_conditions(
        engine, WORK, now, choices.build_known_loads(state)
    )
    return choices.find_site_chain(
        engine, exchange, conditions, math.inf, state
    )


def measure(
    choose: abc.Callable[..., typing.Any], state: states.State
) -> dict[str, float]:
    """Return the mean and 99th percentile time of a choice in milliseconds."""
    random_source = random.Random(1)
    exchange = build_exchange()
    choice_milliseconds = []
    for _ in range(CHOICE_COUNT):
        drawn = dataclasses.replace(
            state, seed=random_source.getrandbits(SEED_BITS)
        )
        started = time.process_time()
        chosen = choose(exchange, 1.0, drawn)
        choice_milliseconds.append(
            (time.process_time() - started) * MILLISECONDS_PER_SECOND
        )
        assert chosen, 'a placed site has a chain'
    return {
        'mean_ms': round(statistics.fmean(choice_milliseconds), 3),
        'p99_ms': round(
            statistics.quantiles(choice_milliseconds, n=PERCENTILE_COUNT)[-1], 3
        ),
    }


def main(write: bool = False) -> None:
    """Print the results and write them to the documentation if `write`."""
    results: dict[str, typing.Any] = {}
    for zone_count in ZONE_COUNTS:
        state = build_state(zone_count)
        results[f'{len(state.runners)} runners in {zone_count} zones'] = {
            'zones': measure(choices.choose_target, state),
            'all': measure(search_all, state),
        }
    print(results)
    if write:
        command = 'PYTHONPATH=src:. python -m bench.chain_cost --write'
        measurements.write('chain_cost', command, results)


if __name__ == '__main__':
    fire.Fire(main)
