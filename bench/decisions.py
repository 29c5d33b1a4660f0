"""Measure the time of a routing decision by policy and number of runners.

    python -m bench.decisions

All runners hold the same layers, so that each is a candidate of each decision.
"""

import dataclasses
import statistics
import time
import typing
from collections import abc

import fire
import immutables

from bench import measurements
from mustardvale import document as documents
from mustardvale.internal import calls, chains, placements, routing, upstreams

COMMAND = 'PYTHONPATH=src:. python -m bench.decisions'
RUNNER_COUNTS = (40, 400, 3400)
REPEAT_COUNT = 7
REPEAT_SECONDS = 0.2
MICROSECONDS_PER_SECOND = 1e6
MODEL = documents.Model('affinage', '3', 24, 'mustardvale-pool')
# Monotonic time of all decisions.
NOW_SECONDS = 100
STEP_SECONDS = (0.003, 0.004, 0.005, 0.006)


def build_table(count: int) -> upstreams.UpstreamTable:
    """Return a table of usable runners with different loads and speeds."""
    table = upstreams.UpstreamTable()
    for number in range(count):
        row = calls.ListedInstance(
            f'runner-{number}',
            MODEL.pool,
            f'10.0.{number // 200}.{number % 200}:80',
            'zone-0',
        )
        candidate = routing.Candidate(
            row.instance_id,
            in_flight=number % 3,
            queued=number % 7,
            step_seconds=STEP_SECONDS[number % len(STEP_SECONDS)],
            link_seconds=0.001,
        )
        report = calls.LoadReport(
            row.instance_id,
            model=MODEL.name,
            version=MODEL.version,
            end_layer=MODEL.layers,
        )
        built = upstreams.build(row, 0)
        table = table.replace(
            dataclasses.replace(
                built,
                candidate=candidate,
                report=report,
                is_polled=True,
            ),
        )
    return table


def measure(decide: abc.Callable[[int], int]) -> dict[str, float]:
    """Return statistics of the microseconds per decision.

    `decide` takes a seed and returns that of the next decision.
    """
    samples = []
    seed = 1
    for _ in range(REPEAT_COUNT):
        count = 0
        started = time.perf_counter()
        while time.perf_counter() - started < REPEAT_SECONDS:
            seed = decide(seed)
            count += 1
        samples.append(
            (time.perf_counter() - started) / count * MICROSECONDS_PER_SECOND
        )
    return {
        'median': round(statistics.median(samples), 1),
        'least': round(min(samples), 1),
        'greatest': round(max(samples), 1),
    }


def build_decision(
    policy: routing.Policy,
    table: upstreams.UpstreamTable,
) -> abc.Callable[[int], int]:
    """Return a function that chooses a chain of one stage."""
    request = chains.ChainRequest(MODEL, '', input_count=24)

    def decide(seed: int) -> int:
        """Choose a chain and return the next seed."""
        chain = chains.choose_chain(
            request,
            table,
            policy,
            chains.SelectionState(seed),
            NOW_SECONDS,
        )
        return chain.selection_state.seed

    return decide


def build_baseline_decision(
    table: upstreams.UpstreamTable,
) -> abc.Callable[[int], int]:
    """Return the decision of the first version, kept as a baseline.

    It filters all upstreams and copies a candidate for each usable one.
    """
    policy = routing.ExpectedCompletion(sample_size=0)
    key = placements.ModelKey(MODEL.pool, MODEL.name, MODEL.version, '')

    def decide(seed: int) -> int:
        """Choose from copies of all usable candidates; return the next seed."""
        usable = tuple(
            dataclasses.replace(upstream.candidate)
            for upstream in table.by_id.values()
            if upstreams.is_usable(upstream, NOW_SECONDS)
            and upstream.report is not None
            and (upstream.report.model, upstream.report.version)
            == (key.model, key.version)
        )
        return routing.choose(policy, usable, seed).seed

    return decide


def measure_count(count: int) -> dict[str, typing.Any]:
    """Return the results of all policies for a number of runners."""
    table = build_table(count)
    policies = {
        **routing.POLICIES,
        'expected-completion of all': routing.ExpectedCompletion(0),
    }
    cached_input_counts = immutables.Map(
        {f'runner-{number}': 512 for number in range(8)}
    )
    request = chains.ChainRequest(
        MODEL, '', input_count=600, cached_input_counts=cached_input_counts
    )
    results = {
        name: measure(build_decision(policy, table))
        for name, policy in policies.items()
    }
    results['expected-completion with prefixes'] = measure(
        lambda seed: (
            chains.choose_chain(
                request,
                table,
                routing.ExpectedCompletion(),
                chains.SelectionState(seed),
                NOW_SECONDS,
            ).selection_state.seed
        ),
    )
    results['first version'] = measure(build_baseline_decision(table))
    return results


def main() -> None:
    """Measure all numbers of runners, print a table and write the results."""
    results = {count: measure_count(count) for count in RUNNER_COUNTS}
    for name in results[RUNNER_COUNTS[0]]:
        row = ' | '.join(
            str(results[count][name]['median']) for count in RUNNER_COUNTS
        )
        print(f'| {name} | {row} |')
    measurements.write(
        'decisions',
        COMMAND,
        {'unit': 'microseconds', 'runners': results},
    )


if __name__ == '__main__':
    fire.Fire(main)
