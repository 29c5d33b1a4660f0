"""Measure the processor time of one choice of a chain, by the runners known.

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
# A model request of the usual size, in tokens.
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
    site: chain_placement.AcceleratorCounts, source: random.Random
) -> list[chains.Candidate]:
    """Return the placed runners of a site under some load."""
    pool = chain_placement.build_pool(site)
    placed = chain_placement.place_least_covered(pool)
    found = []
    for entry in pool:
        listed = runners.ListedRunner(
            entry.runner_id,
            entry.service,
            entry.address,
            entry.availability_zone,
            accelerator=entry.accelerator,
            layers=placed[entry.runner_id],
        )
        load = loads.Load(source.randint(0, 20), source.randint(0, 9))
        found.append(
            chains.build_candidate(
                chain_placement.ENGINE, runners.Runner(listed), load, 0
            )
        )
    return [candidate for candidate in found if candidate is not None]


def measure(site: chain_placement.AcceleratorCounts) -> dict[str, float]:
    """Return the mean and the 99th percentile of a choice, in milliseconds."""
    source = random.Random(1)
    candidates = build_candidates(site, source)
    engine = chain_placement.ENGINE
    span = chains.LayerSpan(0, engine.layer_count, '')
    times = []
    for _ in range(CHOICE_COUNT):
        started = time.process_time()
        chain = chains.find_chain(
            engine, candidates, WORK, span, source.randrange(1 << 60)
        )
        times.append((time.process_time() - started) * MILLISECONDS_PER_SECOND)
        assert chain, 'a placed site has a chain'
    return {
        'mean_ms': round(statistics.fmean(times), 3),
        'p99_ms': round(statistics.quantiles(times, n=PERCENTILE_COUNT)[-1], 3),
    }


def main(write: bool = False) -> None:
    """Print the measurement, and keep it beside the pages if asked to."""
    found: dict[str, typing.Any] = {
        name: measure(site) for name, site in SITES.items()
    }
    print(found)
    if write:
        command = 'PYTHONPATH=src:. python -m bench.chain_cost --write'
        measurements.write('chain_cost', command, found)


if __name__ == '__main__':
    fire.Fire(main)
