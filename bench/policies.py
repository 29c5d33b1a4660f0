"""Compare the routing policies with real processes.

    python -m bench.policies --accelerators mixed --reports stale

Each policy gets the same requests (one seed) at the same parts of the bound. An
engine runs at most `BATCH_LIMIT` steps in an iteration, so the bound of a stage
is the sum of `BATCH_LIMIT / iteration` over its runners, in tokens per second.
"""

import dataclasses
import os
import types
import typing
from collections import abc

import fire
import immutables

from bench import demo, measurements, site_specs, sites
from mustardvale.internal import routing

COMMAND = 'PYTHONPATH=src:. python -m bench.policies'
RUNNERS = 12
STAGES = 2
ENTRIES = 3
BATCH_LIMIT = 2
INPUT_MS = 0.02
MILLISECONDS = 1000
MEAN_TOKENS = 20
SECONDS = 12
PARTS = (0.5, 0.8, 0.95, 1.2)
STALE_SECONDS = 3.0
KINDS = types.MappingProxyType(
    {
        'uniform': (50,),
        'mixed': (25, 50, 50, 100),
    }
)
LAGS = types.MappingProxyType({'fresh': 0.0, 'stale': STALE_SECONDS})


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """Describe one run: the site, the policy and the part of the bound."""

    accelerators: str
    reports: str
    policy: str
    part: float
    seed: int

    @property
    def kinds(self) -> tuple[site_specs.Accelerator, ...]:
        """Return the kinds of accelerators, one for each runner in turn."""
        return tuple(
            site_specs.Accelerator(
                f'kind-{milliseconds}', milliseconds, INPUT_MS
            )
            for milliseconds in KINDS[self.accelerators]
        )

    @property
    def bound(self) -> float:
        """Return the most tokens per second that a stage can run."""
        kinds = self.kinds
        return sum(
            BATCH_LIMIT / kinds[rank % len(kinds)].iteration_ms * MILLISECONDS
            for rank in range(RUNNERS // STAGES)
        )

    @property
    def spec(self) -> site_specs.SiteSpec:
        """Return the site of the run."""
        return site_specs.SiteSpec(
            entries=ENTRIES,
            runners=RUNNERS,
            stages=STAGES,
            action_runners=0,
            seed=self.seed,
            runners_per_process=RUNNERS,
            accelerators=self.kinds,
            entry_arguments=(f'--policy={self.policy}',),
            engine_options=immutables.Map(
                batch_limit=BATCH_LIMIT,
                load_lag_seconds=LAGS[self.reports],
            ),
        )


def run(cell: Cell) -> dict[str, typing.Any]:
    """Run one cell and return what was served."""
    rate = cell.bound * cell.part / MEAN_TOKENS
    with sites.Site(cell.spec) as site:
        summary = demo.run_load(site, SECONDS, rate, cell.seed)
    machine_load = os.getloadavg()[0]
    latency = summary['latency']
    return {
        'policy': cell.policy,
        'part_of_bound': cell.part,
        'seed': cell.seed,
        'machine_load': round(machine_load, 1),
        'requests_per_second': round(rate, 2),
        'tokens_per_second': summary['tokens_per_second'],
        'share_of_bound': round(summary['tokens_per_second'] / cell.bound, 3),
        'first_token_ms': select(latency['first_token']),
        'between_tokens_ms': select(latency['between_tokens']),
        'answer_ms': select(latency['answer']),
        'verdicts': summary['verdicts'],
        'refusals': summary['refusals'],
        'failures': summary['failures'],
    }


def select(found: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Return the percentiles of a latency."""
    return {name: found.get(f'{name}_ms') for name in ('p50', 'p95')}


def main(
    accelerators: str = 'mixed',
    reports: str = 'stale',
    parts: abc.Sequence[float] = PARTS,
    seeds: abc.Sequence[int] = (1,),
) -> None:
    """Run all policies with one kind of site and write the results."""
    rows = []
    for seed in seeds:
        for part in parts:
            for policy in routing.POLICIES:
                row = run(Cell(accelerators, reports, policy, part, seed))
                print(row, flush=True)
                rows.append(row)
    name = f'policies-{accelerators}-{reports}'
    bound = Cell(accelerators, reports, '', 0, 0).bound
    options = f'--accelerators={accelerators} --reports={reports}'
    measurements.write(
        name,
        f'{COMMAND} {options} --parts={list(parts)} --seeds={list(seeds)}',
        {'bound_tokens_per_second': bound, 'runs': rows},
    )


if __name__ == '__main__':
    fire.Fire(main)
