"""Measure the processor time of the choice of a chain at two site sizes.

PYTHONPATH=src:. python -m bench.chain_cost --write
"""

import random
import statistics
import time
import typing

import fire
from bench import chain_placement, measurements
from mustardvale.internal.relay import chains, loads, runners

CHOICE_COUNT = 400
MILLISECONDS_PER_SECOND = 1000
PERCENTILE_COUNT = 100
# A model request of typical size, in prompt and output tokens.
WORK = chains.Work(800, 220)
SITES: dict[str, chain_placement.AcceleratorCounts] = {
    '38 runners in 3 zones': chain_placement.SITE,
    '93 runners in 3 zones': {
        'a': {'a100': 4, 'v100': 10, 'l4': 11},
        'b': {'a100': 3, 'v100': 14, 'l4': 16},
        'c': {'a100': 2, 'v100': 24, 'l4': 9},
    },
}


def build_candidates(
    site: chain_placement.AcceleratorCounts, random_source: random.Random
) -> list[chains.Candidate]:
    """Return the runners of a site as candidates with random loads."""
    pool = chain_placement.build_pool(site)
    placed = chain_placement.place_least_covered(pool)
    candidates = []
    for runner in pool:
        listed = runners.ListedRunner(
            runner.runner_id,
            runner.service,
            runner.address,
            runner.availability_zone,
            accelerator=runner.accelerator,
            layers=placed[runner.runner_id],
        )
        load = loads.Load(
            random_source.randint(0, 20), random_source.randint(0, 9)
        )
        candidates.append(
            chains.build_candidate(
                chain_placement.ENGINE, runners.Runner(listed), load, 0
            )
        )
    return [candidate for candidate in candidates if candidate is not None]


def measure(site: chain_placement.AcceleratorCounts) -> dict[str, float]:
    """Return the mean and 99th percentile time of a choice in milliseconds."""
    random_source = random.Random(1)
    candidates = build_candidates(site, random_source)
    engine = chain_placement.ENGINE
    span = chains.LayerSpan(0, engine.layer_count, '')
    choice_milliseconds = []
    for _ in range(CHOICE_COUNT):
        started = time.process_time()
        chain = chains.find_chain(
            engine, candidates, WORK, span, random_source.randrange(1 << 60)
        )
        choice_milliseconds.append(
            (time.process_time() - started) * MILLISECONDS_PER_SECOND
        )
        assert chain, 'a placed site has a chain'
    return {
        'mean_ms': round(statistics.fmean(choice_milliseconds), 3),
        'p99_ms': round(
            statistics.quantiles(choice_milliseconds, n=PERCENTILE_COUNT)[-1], 3
        ),
    }


def main(write: bool = False) -> None:
    """Print the results and write them to the documentation if `write`."""
    results: dict[str, typing.Any] = {
        name: measure(site) for name, site in SITES.items()
    }
    print(results)
    if write:
        command = 'PYTHONPATH=src:. python -m bench.chain_cost --write'
        measurements.write('chain_cost', command, results)


if __name__ == '__main__':
    fire.Fire(main)
