"""Compare the routing policies with real processes.

    python -m bench.policies --accelerators mixed --reports stale

Each policy gets the same requests (one seed) at the same shares of the bound.
An engine runs at most `BATCH_LIMIT` steps in an iteration, so the bound of a
stage is the sum of `BATCH_LIMIT / iteration` over its runners, in tokens per
second.
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
MILLISECONDS_PER_SECOND = 1000
MEAN_ANSWER_TOKENS = 20
LOAD_SECONDS = 12
BOUND_SHARES = (0.5, 0.8, 0.95, 1.2)
STALE_REPORT_LAG_SECONDS = 3.0
ITERATION_MS = types.MappingProxyType(
    {
        'uniform': (50,),
        'mixed': (25, 50, 50, 100),
    }
)
REPORT_LAG_SECONDS = types.MappingProxyType(
    {'fresh': 0.0, 'stale': STALE_REPORT_LAG_SECONDS}
)


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """Describe one run: its site, its policy and its load.

    `bound_share` is the load as a share of the throughput bound.
    """

    accelerators: str
    reports: str
    policy: str
    bound_share: float
    seed: int

    @property
    def accelerator_kinds(self) -> tuple[site_specs.Accelerator, ...]:
        """Return the kinds of accelerators, which the runners take in turn."""
        return tuple(
            site_specs.Accelerator(
                f'kind-{milliseconds}', milliseconds, INPUT_MS
            )
            for milliseconds in ITERATION_MS[self.accelerators]
        )

    @property
    def bound_tokens_per_second(self) -> float:
        """Return the throughput bound of a stage in tokens per second."""
        kinds = self.accelerator_kinds
        return sum(
            BATCH_LIMIT
            / kinds[rank % len(kinds)].iteration_ms
            * MILLISECONDS_PER_SECOND
            for rank in range(RUNNERS // STAGES)
        )

    @property
    def site_spec(self) -> site_specs.SiteSpec:
        """Return the specification of the site."""
        return site_specs.SiteSpec(
            entries=ENTRIES,
            runners=RUNNERS,
            stages=STAGES,
            action_runners=0,
            seed=self.seed,
            runners_per_process=RUNNERS,
            accelerators=self.accelerator_kinds,
            entry_arguments=(f'--policy={self.policy}',),
            engine_options=immutables.Map(
                batch_limit=BATCH_LIMIT,
                load_lag_seconds=REPORT_LAG_SECONDS[self.reports],
            ),
        )


def run_trial(trial: Trial) -> dict[str, typing.Any]:
    """Run one trial and return its result row."""
    rate = (
        trial.bound_tokens_per_second * trial.bound_share / MEAN_ANSWER_TOKENS
    )
    with sites.Site(trial.site_spec) as site:
        summary = demo.run_load(site, LOAD_SECONDS, rate, trial.seed)
    machine_load = os.getloadavg()[0]
    latency = summary['latency']
    return {
        'policy': trial.policy,
        'part_of_bound': trial.bound_share,
        'seed': trial.seed,
        'machine_load': round(machine_load, 1),
        'requests_per_second': round(rate, 2),
        'tokens_per_second': summary['tokens_per_second'],
        'share_of_bound': round(
            summary['tokens_per_second'] / trial.bound_tokens_per_second, 3
        ),
        'first_token_ms': select_percentiles(latency['first_token']),
        'between_tokens_ms': select_percentiles(latency['between_tokens']),
        'answer_ms': select_percentiles(latency['answer']),
        'verdicts': summary['verdicts'],
        'refusals': summary['refusals'],
        'failures': summary['failures'],
    }


def select_percentiles(latency: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Return the percentiles of a latency that the results show."""
    return {name: latency.get(f'{name}_ms') for name in ('p50', 'p95')}


def main(
    accelerators: str = 'mixed',
    reports: str = 'stale',
    parts: abc.Sequence[float] = BOUND_SHARES,
    seeds: abc.Sequence[int] = (1,),
) -> None:
    """Run all policies at one kind of site and write the results."""
    rows = []
    for seed in seeds:
        for part in parts:
            for policy in routing.POLICIES:
                row = run_trial(
                    Trial(accelerators, reports, policy, part, seed)
                )
                print(row, flush=True)
                rows.append(row)
    name = f'policies-{accelerators}-{reports}'
    bound = Trial(accelerators, reports, '', 0, 0).bound_tokens_per_second
    options = f'--accelerators={accelerators} --reports={reports}'
    measurements.write(
        name,
        f'{COMMAND} {options} --parts={list(parts)} --seeds={list(seeds)}',
        {'bound_tokens_per_second': bound, 'runs': rows},
    )


if __name__ == '__main__':
    fire.Fire(main)
