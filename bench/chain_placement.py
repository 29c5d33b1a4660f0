"""Compare the placement of layers and the choice of chains with simpler ones.

    python -m bench.chain_placement

The simulation calls the functions of the product for several instances, each of
which counts only its own requests. A request occupies memory on all parts of
its chain for the time that the model of the engine gives, and is refused if a
part has no room. The accelerators are those of the two sites.
"""

import dataclasses
import heapq
import itertools
import random
import statistics
import typing
from collections import abc

import fire
import immutables

from bench import measurements
from mustardvale.internal.relay import (
    chains,
    choices,
    engines,
    loads,
    placement,
    requests,
    runners,
)

COMMAND = 'PYTHONPATH=src:. python -m bench.chain_placement'
INSTANCE_COUNT = 7
# Tokens for which the simpler placements leave memory on each runner.
EQUAL_SHARE_CACHE_TOKENS = 20_000
ZONE_CHAIN_CACHE_TOKENS = 40_000
TRIAL_SECONDS = 30.0
MEAN_UPDATE_PERIOD_SECONDS = 0.2
LOST_RUNNER_SHARE = 0.1

ENGINE = engines.Engine(
    layer_count=80,
    layer_mb=1750,
    cache_bytes_per_token=1_180_000,
    slots=96,
    accelerators=immutables.Map(
        {
            'a100': engines.Accelerator('a100', 72_000, 2.4, 3.2),
            'v100': engines.Accelerator('v100', 14_400, 5.3, 7.9),
            'l4': engines.Accelerator('l4', 21_600, 16.0, 8.2),
        }
    ),
    base_step_seconds=0.00102,
    step_seconds_per_sequence=0.00000918,
    step_seconds_per_thousand_tokens=0.0000123,
    prefill_tokens_per_second=164_000,
    activation_bytes_per_token=59_000,
    zone_link_mbps=16_000,
    typical_prompt_tokens=775,
    typical_output_tokens=220,
)
AcceleratorCounts = abc.Mapping[str, abc.Mapping[str, int]]
SITE: AcceleratorCounts = immutables.Map(
    {
        'a': {'a100': 2, 'v100': 4, 'l4': 4},
        'b': {'a100': 1, 'v100': 6, 'l4': 6},
        'c': {'a100': 1, 'v100': 10, 'l4': 4},
    }
)

Pool = tuple[runners.ListedRunner, ...]
PlaceLayers = abc.Callable[[Pool], dict[str, runners.LayerRange]]
ChooseChain = abc.Callable[
    [abc.Sequence[chains.Candidate], chains.Work, int],
    'requests.Chain | None',
]


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """Select a placement, a choice and a load in requests per second.

    If `lost`, a tenth of the runners fail after the placement.
    """

    placement: str
    choice: str
    per_second: float
    lost: bool = False


def build_pool(site: AcceleratorCounts = SITE) -> Pool:
    """Return the runners of a site without layers."""
    numbers = itertools.count(1)
    return tuple(
        runners.ListedRunner(
            f'r{next(numbers)}', 's', '10.0.0.1:1', zone, accelerator=kind
        )
        for zone, kinds in site.items()
        for kind, count in kinds.items()
        for _ in range(count)
    )


def place_least_covered(pool: Pool) -> dict[str, runners.LayerRange]:
    """Place layers as the product does."""
    return {
        item.runner_id: item.layers
        for item in placement.plan_assignments(ENGINE, pool, immutables.Map())
    }


def place_equal_shares(pool: Pool) -> dict[str, runners.LayerRange]:
    """Place as many layers on each runner as the smallest one can hold."""
    count = min(
        engines.compute_maximum_layers(ENGINE, kind, EQUAL_SHARE_CACHE_TOKENS)
        for kind in ENGINE.accelerators
    )
    firsts = itertools.cycle(range(0, ENGINE.layer_count, count))
    return {
        runner.runner_id: runners.LayerRange(
            min(first, ENGINE.layer_count - count),
            min(first, ENGINE.layer_count - count) + count,
        )
        for runner, first in zip(pool, firsts, strict=False)
    }


def place_chain_per_zone(pool: Pool) -> dict[str, runners.LayerRange]:
    """Place one copy of the model in each zone, in parts as large as fit."""
    placed = {}
    for zone in SITE:
        first = 0
        for runner in pool:
            if runner.availability_zone != zone or first >= ENGINE.layer_count:
                continue
            count = engines.compute_maximum_layers(
                ENGINE, runner.accelerator, ZONE_CHAIN_CACHE_TOKENS
            )
            end = min(first + count, ENGINE.layer_count)
            placed[runner.runner_id] = runners.LayerRange(first, end)
            first = end
    return placed


def choose_cheapest(
    candidates: abc.Sequence[chains.Candidate], work: chains.Work, seed: int
) -> requests.Chain | None:
    """Choose a chain as the product does."""
    span = chains.LayerSpan(0, ENGINE.layer_count, '')
    return chains.find_chain(ENGINE, candidates, work, span, seed)


def choose_fastest(
    candidates: abc.Sequence[chains.Candidate], work: chains.Work, seed: int
) -> requests.Chain | None:
    """Choose the fastest accelerator at each layer, regardless of its load."""
    chain: list[requests.ChainPart] = []
    layer = 0
    while layer < ENGINE.layer_count:
        holders = [
            candidate
            for candidate in candidates
            if candidate.layers.first <= layer < candidate.layers.end
        ]
        if not holders:
            return None
        fastest = min(
            holders,
            key=lambda candidate: (
                ENGINE.accelerators[candidate.accelerator].step_factor
            ),
        )
        end = fastest.layers.end
        chain.append(
            requests.ChainPart(fastest.runner_id, '', layer, end, fastest.zone)
        )
        layer = end
    return tuple(chain)


PLACEMENTS: dict[str, PlaceLayers] = {
    'least covered': place_least_covered,
    'equal shares': place_equal_shares,
    'one chain a zone': place_chain_per_zone,
}
CHOICES: dict[str, ChooseChain] = {
    'cheapest': choose_cheapest,
    'fastest': choose_fastest,
}


class SimulatedSite:
    """Hold the runners and the loads of their requests.

    `total_loads` are the actual loads. `own_loads` and `mean_loads` are those
    that each instance knows of its own requests, current and averaged.
    """

    def __init__(self, trial: Trial, random_source: random.Random) -> None:
        pool = build_pool()
        layers_by_id = PLACEMENTS[trial.placement](pool)
        lost_ids = set()
        if trial.lost:
            count = round(LOST_RUNNER_SHARE * len(pool))
            lost_ids = set(
                random_source.sample(
                    [runner.runner_id for runner in pool], count
                )
            )
        self.runners = [
            runners.Runner(
                dataclasses.replace(
                    runner, layers=layers_by_id[runner.runner_id]
                ),
                0,
            )
            for runner in pool
            if runner.runner_id in layers_by_id
            and runner.runner_id not in lost_ids
        ]
        self.total_loads: loads.LoadMap = immutables.Map()
        self.own_loads: list[loads.LoadMap] = [
            immutables.Map() for _ in range(INSTANCE_COUNT)
        ]
        self.mean_loads: list[loads.LoadMap] = [
            immutables.Map() for _ in range(INSTANCE_COUNT)
        ]

    def build_candidates(self, instance: int) -> list[chains.Candidate]:
        """Return the runners with the loads that an instance estimates."""
        candidates = []
        for runner in self.runners:
            load = loads.estimate_total_load(
                runner.listed.runner_id,
                self.own_loads[instance],
                self.mean_loads[instance],
                INSTANCE_COUNT,
            )
            candidate = chains.build_candidate(ENGINE, runner, load, 1.0)
            if candidate is not None:
                candidates.append(candidate)
        return candidates

    def has_room(self, chain: requests.Chain, tokens: float) -> bool:
        """Return whether every part of a chain has room for the tokens."""
        runners_by_id = {
            runner.listed.runner_id: runner for runner in self.runners
        }
        for part in chain:
            listed = runners_by_id[part.runner_id].listed
            assert listed.layers is not None, (
                'each part of a chain holds layers'
            )
            capacity = listed.layers.count * engines.compute_token_capacity(
                ENGINE, listed.accelerator, listed.layers.count
            )
            used_token_layers = self.total_loads.get(
                part.runner_id, loads.NO_LOAD
            ).token_layers
            layer_count = part.end_layer - part.first_layer
            if used_token_layers + tokens * layer_count > capacity:
                return False
        return True

    def compute_duration_seconds(
        self, chain: requests.Chain, work: chains.Work
    ) -> float:
        """Return how long a request occupies memory, by the engine's model."""
        runners_by_id = {
            runner.listed.runner_id: runner for runner in self.runners
        }
        seconds = 0.0
        for part in chain:
            accelerator = runners_by_id[part.runner_id].listed.accelerator
            layer_count = part.end_layer - part.first_layer
            load = self.total_loads.get(part.runner_id, loads.NO_LOAD)
            step_seconds = engines.compute_step_seconds(
                ENGINE, accelerator, layer_count, load.request_count
            )
            seconds += step_seconds * work.output_tokens
            seconds += engines.compute_prefill_seconds(
                ENGINE, accelerator, layer_count, work.prompt_tokens
            )
        return seconds

    def update_loads(
        self,
        instance: int,
        chain: requests.Chain,
        tokens: float,
        sign: int,
    ) -> None:
        """Add the load of a request, or remove it if `sign` is -1."""
        self.total_loads = loads.add_chain(
            self.total_loads, chain, tokens, sign
        )
        self.own_loads[instance] = loads.add_chain(
            self.own_loads[instance], chain, tokens, sign
        )


def run_trial(trial: Trial, seed: int = 1) -> dict[str, typing.Any]:
    """Simulate a trial and return its results."""
    random_source = random.Random(seed)
    site = SimulatedSite(trial, random_source)
    running: list[tuple[float, int, int, requests.Chain, float]] = []
    tie_breakers = itertools.count()
    now, next_update_at = 0.0, 0.0
    request_count = refused_count = 0
    durations: list[float] = []
    crossings: list[int] = []
    while now < TRIAL_SECONDS:
        now += random_source.expovariate(trial.per_second)
        while running and running[0][0] <= now:
            _, _, instance, chain, tokens = heapq.heappop(running)
            site.update_loads(instance, chain, tokens, -1)
        while next_update_at <= now:
            next_update_at += MEAN_UPDATE_PERIOD_SECONDS
            site.mean_loads = [
                loads.update_means(own, mean, MEAN_UPDATE_PERIOD_SECONDS)
                for own, mean in zip(
                    site.own_loads, site.mean_loads, strict=True
                )
            ]
        instance = random_source.randrange(INSTANCE_COUNT)
        work = chains.Work(
            max(int(random_source.gauss(800, 400)), 60),
            max(random_source.gauss(220, 150), 10),
        )
        tokens = (
            work.prompt_tokens + work.output_tokens * choices.MEAN_OUTPUT_SHARE
        )
        chosen_chain = CHOICES[trial.choice](
            site.build_candidates(instance),
            work,
            random_source.randrange(1 << 60),
        )
        request_count += 1
        if not chosen_chain or not site.has_room(chosen_chain, tokens):
            refused_count += 1
            continue
        duration_seconds = site.compute_duration_seconds(chosen_chain, work)
        durations.append(duration_seconds)
        crossings.append(len(loads.list_zone_links(chosen_chain)))
        site.update_loads(instance, chosen_chain, tokens, 1)
        heapq.heappush(
            running,
            (
                now + duration_seconds,
                next(tie_breakers),
                instance,
                chosen_chain,
                tokens,
            ),
        )
    return {
        **dataclasses.asdict(trial),
        'asked': request_count,
        'refused_share': round(refused_count / request_count, 4),
        'mean_seconds': round(statistics.fmean(durations or [0]), 3),
        'crossings_each': round(statistics.fmean(crossings or [0]), 3),
    }


def main(seed: int = 1) -> None:
    """Run all trials and write their results."""
    rows = [
        run_trial(Trial(placement_name, choice_name, per_second, lost), seed)
        for placement_name in PLACEMENTS
        for choice_name in CHOICES
        for per_second, lost in ((42.0, False), (58.0, False), (46.0, True))
    ]
    path = measurements.write('chain_placement', COMMAND, {'rows': rows})
    print(f'wrote {path}')


if __name__ == '__main__':
    fire.Fire(main)
