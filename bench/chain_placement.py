"""Compare placements of layers and choices of chains with simpler ones.

    python -m bench.chain_placement

The pure functions of the product choose for several instances, each of which
counts only what it sent itself. Requests hold memory on every part of their
chain for as long as the model of the engine says; one that does not fit is
refused. The accelerators are those of the two sites.
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
    engines,
    loads,
    placement,
    requests,
    runners,
)

COMMAND = 'PYTHONPATH=src:. python -m bench.chain_placement'
INSTANCE_COUNT = 7
TRIAL_SECONDS = 30.0
MEAN_UPDATE_SECONDS = 0.2
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
    """Name a placement, a choice and a load in requests a second."""

    placement: str
    choice: str
    per_second: float
    lost: bool = False


def build_pool(site: AcceleratorCounts = SITE) -> Pool:
    """Return the empty runners of a site."""
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
    """Place as the product does."""
    return {
        item.runner_id: item.layers
        for item in placement.plan_assignments(ENGINE, pool, immutables.Map())
    }


def place_equal_shares(pool: Pool) -> dict[str, runners.LayerRange]:
    """Give every runner as many layers as the smallest one can hold."""
    count = min(
        engines.compute_maximum_layers(ENGINE, kind, 20_000)
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
    """Place one copy in each zone, as wide as memory allows, and no more."""
    placed = {}
    for zone in SITE:
        first = 0
        for runner in pool:
            if runner.availability_zone != zone or first >= ENGINE.layer_count:
                continue
            count = engines.compute_maximum_layers(
                ENGINE, runner.accelerator, 40_000
            )
            end = min(first + count, ENGINE.layer_count)
            placed[runner.runner_id] = runners.LayerRange(first, end)
            first = end
    return placed


def choose_cheapest(
    candidates: abc.Sequence[chains.Candidate], work: chains.Work, seed: int
) -> requests.Chain | None:
    """Choose as the product does."""
    span = chains.LayerSpan(0, ENGINE.layer_count, '')
    return chains.find_chain(ENGINE, candidates, work, span, seed)


def choose_fastest(
    candidates: abc.Sequence[chains.Candidate], work: chains.Work, seed: int
) -> requests.Chain | None:
    """Take the fastest accelerator at each layer, whatever its load."""
    chain: list[requests.ChainPart] = []
    layer = 0
    while layer < ENGINE.layer_count:
        holding = [
            candidate
            for candidate in candidates
            if candidate.layers.first <= layer < candidate.layers.end
        ]
        if not holding:
            return None
        fastest = min(
            holding,
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
    """Hold runners, what requests hold of their memory, and the instances."""

    def __init__(self, trial: Trial, source: random.Random) -> None:
        pool = build_pool()
        placed = PLACEMENTS[trial.placement](pool)
        lost = set()
        if trial.lost:
            count = round(LOST_RUNNER_SHARE * len(pool))
            lost = set(
                source.sample([entry.runner_id for entry in pool], count)
            )
        self.runners = [
            runners.Runner(
                dataclasses.replace(entry, layers=placed[entry.runner_id]), 0
            )
            for entry in pool
            if entry.runner_id in placed and entry.runner_id not in lost
        ]
        self.total_loads: loads.LoadMap = immutables.Map()
        self.own_loads: list[loads.LoadMap] = [
            immutables.Map() for _ in range(INSTANCE_COUNT)
        ]
        self.mean_loads: list[loads.LoadMap] = [
            immutables.Map() for _ in range(INSTANCE_COUNT)
        ]

    def build_candidates(self, instance: int) -> list[chains.Candidate]:
        """Describe the runners as one instance sees them."""
        found = []
        for runner in self.runners:
            load = loads.estimate_total_load(
                runner.listed.runner_id,
                self.own_loads[instance],
                self.mean_loads[instance],
                INSTANCE_COUNT,
            )
            candidate = chains.build_candidate(ENGINE, runner, load, 1.0)
            if candidate is not None:
                found.append(candidate)
        return found

    def has_room(self, chain: requests.Chain, tokens: float) -> bool:
        """Return whether every part has room for a request."""
        known = {runner.listed.runner_id: runner for runner in self.runners}
        for part in chain:
            listed = known[part.runner_id].listed
            assert listed.layers is not None, 'a part holds layers'
            capacity = listed.layers.count * engines.compute_token_capacity(
                ENGINE, listed.accelerator, listed.layers.count
            )
            taken = self.total_loads.get(
                part.runner_id, loads.NO_LOAD
            ).token_layers
            layers = part.end_layer - part.first_layer
            if taken + tokens * layers > capacity:
                return False
        return True

    def compute_duration_seconds(
        self, chain: requests.Chain, work: chains.Work
    ) -> float:
        """Return how long a request holds its memory."""
        known = {runner.listed.runner_id: runner for runner in self.runners}
        seconds = 0.0
        for part in chain:
            kind = known[part.runner_id].listed.accelerator
            layers = part.end_layer - part.first_layer
            load = self.total_loads.get(part.runner_id, loads.NO_LOAD)
            step = engines.compute_step_seconds(
                ENGINE, kind, layers, load.request_count
            )
            seconds += step * work.output_tokens
            seconds += engines.compute_prefill_seconds(
                ENGINE, kind, layers, work.prompt_tokens
            )
        return seconds

    def update_loads(
        self,
        instance: int,
        chain: requests.Chain,
        tokens: float,
        sign: int,
    ) -> None:
        """Add a request, or take it away."""
        self.total_loads = loads.add_chain(
            self.total_loads, chain, tokens, sign
        )
        self.own_loads[instance] = loads.add_chain(
            self.own_loads[instance], chain, tokens, sign
        )


def run_trial(trial: Trial, seed: int = 1) -> dict[str, typing.Any]:
    """Play one trial and return its figures."""
    source = random.Random(seed)
    site = SimulatedSite(trial, source)
    ends: list[tuple[float, int, int, requests.Chain, float]] = []
    numbers = itertools.count()
    now, next_mean = 0.0, 0.0
    asked = refused = 0
    seconds: list[float] = []
    crossings: list[int] = []
    while now < TRIAL_SECONDS:
        now += source.expovariate(trial.per_second)
        while ends and ends[0][0] <= now:
            _, _, instance, chain, tokens = heapq.heappop(ends)
            site.update_loads(instance, chain, tokens, -1)
        while next_mean <= now:
            next_mean += MEAN_UPDATE_SECONDS
            site.mean_loads = [
                loads.update_means(own, mean, MEAN_UPDATE_SECONDS)
                for own, mean in zip(
                    site.own_loads, site.mean_loads, strict=True
                )
            ]
        instance = source.randrange(INSTANCE_COUNT)
        work = chains.Work(
            max(int(source.gauss(800, 400)), 60),
            max(source.gauss(220, 150), 10),
        )
        tokens = work.prompt_tokens + work.output_tokens * 0.6
        found = CHOICES[trial.choice](
            site.build_candidates(instance), work, source.randrange(1 << 60)
        )
        asked += 1
        if not found or not site.has_room(found, tokens):
            refused += 1
            continue
        lasts = site.compute_duration_seconds(found, work)
        seconds.append(lasts)
        crossings.append(len(loads.list_zone_links(found)))
        site.update_loads(instance, found, tokens, 1)
        heapq.heappush(
            ends, (now + lasts, next(numbers), instance, found, tokens)
        )
    return {
        **dataclasses.asdict(trial),
        'asked': asked,
        'refused_share': round(refused / asked, 4),
        'mean_seconds': round(statistics.fmean(seconds or [0]), 3),
        'crossings_each': round(statistics.fmean(crossings or [0]), 3),
    }


def main(seed: int = 1) -> None:
    """Run all trials and keep their figures."""
    rows = [
        run_trial(Trial(placed, chosen, per_second, lost), seed)
        for placed in PLACEMENTS
        for chosen in CHOICES
        for per_second, lost in ((42.0, False), (58.0, False), (46.0, True))
    ]
    path = measurements.write('chain_placement', COMMAND, {'rows': rows})
    print(f'wrote {path}')


if __name__ == '__main__':
    fire.Fire(main)
