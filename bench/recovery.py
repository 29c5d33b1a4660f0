"""Measure the time from a fault to full throughput.

    PYTHONPATH=src:. python -m bench.recovery --output docs/measurements

For each kind of fault one site under steady load gets ten faults. The recovery
time runs from the fault to the end of the first second with 95 % of the token
rate of the five seconds before the fault. The stall is the longest time between
two tokens of one request, counted from the fault at the earliest.
"""

import collections
import dataclasses
import itertools
import json
import math
import pathlib
import statistics
import time
import typing
from collections import abc

import fire

from bench import demo, fault_plans, fault_run, site_specs, sites

WARM_UP_SECONDS = 8.0
FAULT_DURATION_SECONDS = 3.0
FAULT_PERIOD_SECONDS = 10.0
BASELINE_SECONDS = 5.0
WINDOW_SECONDS = 1.0
WINDOW_STEP_SECONDS = 0.25
RECOVERED_SHARE = 0.95
ADDRESS_VALIDITY_SECONDS = 2
LOAD_MARGIN_SECONDS = 30.0

Faults = tuple[fault_plans.Fault, ...]


def build_zone_faults(site: sites.Site) -> Faults:
    """Build the faults that kill half of the instances of one zone."""
    zone = site.plan.entries[0].availability_zone
    members = [
        member.instance_id
        for member in (*site.plan.entries, *site.plan.runners)
        if member.availability_zone == zone
    ]
    return tuple(fault_plans.Kill(name) for name in members[::2])


def choose_runner(site: sites.Site, number: int) -> str:
    """Choose another runner for each repetition."""
    runners = site.plan.runners
    return runners[number % len(runners)].instance_id


def choose_entry(site: sites.Site, number: int) -> str:
    """Choose another entry instance for each repetition."""
    entries = site.plan.entries
    return entries[number % len(entries)].instance_id


FaultBuilder = abc.Callable[[sites.Site, int], Faults]

FAULT_BUILDERS: dict[str, FaultBuilder] = {
    'runner killed': lambda site, number: (
        fault_plans.Kill(choose_runner(site, number)),
    ),
    'runner frozen': lambda site, number: (
        fault_plans.Freeze(choose_runner(site, number)),
    ),
    'entry instance killed': lambda site, number: (
        fault_plans.Kill(choose_entry(site, number)),
    ),
    'runner slowed tenfold': lambda site, number: (
        fault_plans.build_disturbance(choose_runner(site, number), slowdown=10),
    ),
    'log down': lambda site, number: (
        fault_plans.build_disturbance('log', down=True),
    ),
    'half of a zone killed': lambda site, number: build_zone_faults(site),
    'runner killed, then entry instance killed': lambda site, number: (
        fault_plans.Kill(choose_runner(site, number)),
        fault_plans.Kill(choose_entry(site, number + 1)),
    ),
}


@dataclasses.dataclass(frozen=True, slots=True)
class TokenArrival:
    """Hold tokens that a caller received at a monotonic time."""

    at: float
    token_count: int
    request_id: str


def read_arrivals(path: pathlib.Path) -> list[TokenArrival]:
    """Read the arrivals of tokens from a history, ordered by time."""
    arrivals = []
    counts: dict[str, int] = collections.defaultdict(int)
    with path.open() as lines:
        for text in lines:
            line = json.loads(text)
            if line['work'] != 'answer' or line['event'] not in {
                'tokens',
                'end',
            }:
                continue
            new_tokens = line['count'] - counts[line['request']]
            counts[line['request']] = line['count']
            arrivals.append(
                TokenArrival(line['at'], new_tokens, line['request'])
            )
    return sorted(arrivals, key=lambda arrival: arrival.at)


def count_tokens(arrivals: list[TokenArrival], start: float, end: float) -> int:
    """Count the tokens that arrived from `start` until before `end`."""
    return sum(
        arrival.token_count for arrival in arrivals if start <= arrival.at < end
    )


def compute_recovery_seconds(
    arrivals: list[TokenArrival], fault_at: float
) -> float:
    """Compute the time to the end of the first recovered window.

    Infinity means that no window recovered before the next baseline begins.
    """
    baseline_tokens = count_tokens(
        arrivals, fault_at - BASELINE_SECONDS, fault_at
    )
    wanted_tokens = (
        baseline_tokens / BASELINE_SECONDS * WINDOW_SECONDS * RECOVERED_SHARE
    )
    for step in itertools.count():
        start = fault_at + step * WINDOW_STEP_SECONDS
        if start > fault_at + FAULT_PERIOD_SECONDS - BASELINE_SECONDS:
            return math.inf
        if (
            count_tokens(arrivals, start, start + WINDOW_SECONDS)
            >= wanted_tokens
        ):
            return start + WINDOW_SECONDS - fault_at
    raise AssertionError('itertools.count does not end')


def compute_longest_stall(
    arrivals: list[TokenArrival], fault_at: float
) -> float:
    """Compute the longest time without a token in one request after a fault.

    Only the time after the fault counts.
    """
    last_token_at: dict[str, float] = {}
    longest = 0.0
    for arrival in arrivals:
        previous_at = last_token_at.get(arrival.request_id)
        is_after_fault = (
            fault_at <= arrival.at < fault_at + FAULT_PERIOD_SECONDS
        )
        if previous_at is not None and is_after_fault:
            longest = max(longest, arrival.at - max(previous_at, fault_at))
        last_token_at[arrival.request_id] = arrival.at
    return longest


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """Hold the results of all repetitions of one kind of fault."""

    kind: str
    recovery_seconds: tuple[float, ...]
    stall_seconds: tuple[float, ...]
    tokens_per_second: float
    verdicts: abc.Mapping[str, typing.Any]


def measure_fault(
    kind: str, repetitions: int, rate: float, seed: int
) -> Measurement:
    """Inject one kind of fault repeatedly at one site under load."""
    spec = site_specs.SiteSpec(
        entries=6,
        runners=12,
        seed=seed,
        entry_arguments=(
            f'--address-validity-seconds={ADDRESS_VALIDITY_SECONDS}',
        ),
    )
    seconds = WARM_UP_SECONDS + repetitions * FAULT_PERIOD_SECONDS
    with sites.Site(spec) as site:
        driver = fault_run.FaultDriver(site)
        load = demo.build_load_process(site, seconds, rate, seed)
        load.start()
        try:
            faults_at = inject_faults(kind, repetitions, driver)
            load.wait(LOAD_MARGIN_SECONDS + FAULT_PERIOD_SECONDS)
        finally:
            load.kill()
        arrivals = read_arrivals(site.directory / 'history.jsonl')
        summary = json.loads((site.directory / 'summary.json').read_text())
    return Measurement(
        kind,
        tuple(compute_recovery_seconds(arrivals, at) for at in faults_at),
        tuple(compute_longest_stall(arrivals, at) for at in faults_at),
        summary['tokens_per_second'],
        summary['verdicts'],
    )


def inject_faults(
    kind: str,
    repetitions: int,
    driver: fault_run.FaultDriver,
) -> list[float]:
    """Begin and end the faults of one kind; return their begin times."""
    time.sleep(WARM_UP_SECONDS)
    faults_at = []
    for number in range(repetitions):
        faults = FAULT_BUILDERS[kind](driver.site, number)
        faults_at.append(time.monotonic())
        for fault in faults:
            fault_run.begin_fault(fault, driver)
        time.sleep(FAULT_DURATION_SECONDS)
        for fault in faults:
            fault_run.end_fault(fault, driver)
        time.sleep(faults_at[-1] + FAULT_PERIOD_SECONDS - time.monotonic())
    return faults_at


def build_result_row(measured: Measurement) -> dict[str, typing.Any]:
    """Build the JSON row of one kind of fault."""
    ordered = sorted(measured.recovery_seconds)
    return {
        'fault': measured.kind,
        'runs': len(ordered),
        'recovery_seconds': [round(seconds, 2) for seconds in ordered],
        'median': round(statistics.median(ordered), 2),
        'worst': round(ordered[-1], 2),
        'stall_median': round(statistics.median(measured.stall_seconds), 2),
        'stall_worst': round(max(measured.stall_seconds), 2),
        'tokens_per_second': measured.tokens_per_second,
        'verdicts': measured.verdicts,
    }


def write_page(
    rows: list[dict[str, typing.Any]], rate: float, path: pathlib.Path
) -> None:
    """Write the results as a page in Markdown."""
    lines = [
        '# Recovery time',
        '',
        'From the fault to the end of the first second with 95 % of the tokens',
        'per second before it. 6 entry instances, 12 runners in 3 stages, a mixed',
        f'load of {rate:g} requests/s; a fault lasts {FAULT_DURATION_SECONDS:g} s. The stall is',
        'the longest pause that any caller saw.',
        '',
        f'    PYTHONPATH=src:. python -m bench.recovery --rate {rate:g}',
        '',
        '| fault | runs | median (s) | worst (s) | median stall (s) |'
        ' worst stall (s) | wrong | cut |',
        '|---|---|---|---|---|---|---|---|',
    ]
    for row in rows:
        verdicts = row['verdicts']
        wrong = sum(counts.get('wrong', 0) for counts in verdicts.values())
        cut = sum(counts.get('cut', 0) for counts in verdicts.values())
        lines.append(
            f'| {row["fault"]} | {row["runs"]} | {row["median"]} |'
            f' {row["worst"]} | {row["stall_median"]} | {row["stall_worst"]} |'
            f' {wrong} | {cut} |',
        )
    path.write_text('\n'.join(lines) + '\n')


def main(
    output: str = 'docs/measurements',
    repetitions: int = 10,
    rate: float = 25,
    seed: int = 1,
    kinds: str = '',
) -> None:
    """Measure all kinds of faults and write the results."""
    chosen = tuple(kinds.split('+')) if kinds else tuple(FAULT_BUILDERS)
    directory = pathlib.Path(output)
    directory.mkdir(parents=True, exist_ok=True)
    rows = []
    for kind in chosen:
        row = build_result_row(measure_fault(kind, repetitions, rate, seed))
        print(json.dumps(row), flush=True)
        rows.append(row)
    (directory / 'recovery.json').write_text(json.dumps(rows, indent=1) + '\n')
    write_page(rows, rate, directory / 'recovery.md')


if __name__ == '__main__':
    fire.Fire(main)
