"""Measure the time from a fault to full throughput.

    PYTHONPATH=src:. python -m bench.recovery --output docs/measurements

For each kind of fault one site is put under steady load and disturbed ten
times. The recovery time runs from the fault to the end of the first second
with 95 % of the tokens of the five seconds before the fault. The stall is the
longest pause that a caller saw between two tokens, or before the first one.
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
    """Return the deaths of half of the instances of one zone."""
    zone = site.plan.entries[0].availability_zone
    members = [
        member.instance_id
        for member in (*site.plan.entries, *site.plan.runners)
        if member.availability_zone == zone
    ]
    return tuple(fault_plans.Kill(name) for name in members[::2])


def choose_runner(site: sites.Site, number: int) -> str:
    """Return another runner for each repetition."""
    runners = site.plan.runners
    return runners[number % len(runners)].instance_id


def choose_entry(site: sites.Site, number: int) -> str:
    """Return another entry instance for each repetition."""
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
    """Hold tokens that a caller got at one time of the monotonic clock."""

    at: float
    token_count: int
    request_id: str


def read_arrivals(path: pathlib.Path) -> list[TokenArrival]:
    """Return when callers got tokens, from a history."""
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
            new = line['count'] - counts[line['request']]
            counts[line['request']] = line['count']
            arrivals.append(TokenArrival(line['at'], new, line['request']))
    return sorted(arrivals, key=lambda one: one.at)


def count_tokens(arrivals: list[TokenArrival], start: float, end: float) -> int:
    """Return the tokens that came in a span of time."""
    return sum(one.token_count for one in arrivals if start <= one.at < end)


def compute_recovery_seconds(
    arrivals: list[TokenArrival], fault_at: float
) -> float:
    """Return the time to the end of the first full second, or infinity."""
    before = count_tokens(arrivals, fault_at - BASELINE_SECONDS, fault_at)
    wanted = before / BASELINE_SECONDS * WINDOW_SECONDS * RECOVERED_SHARE
    for step in itertools.count():
        start = fault_at + step * WINDOW_STEP_SECONDS
        if start > fault_at + FAULT_PERIOD_SECONDS - BASELINE_SECONDS:
            return math.inf
        if count_tokens(arrivals, start, start + WINDOW_SECONDS) >= wanted:
            return start + WINDOW_SECONDS - fault_at
    raise AssertionError('the count has no end')


def compute_longest_stall(
    arrivals: list[TokenArrival], fault_at: float
) -> float:
    """Return the longest pause of a request that a fault may have caused."""
    last: dict[str, float] = {}
    longest = 0.0
    for one in arrivals:
        earlier = last.get(one.request_id)
        touched = fault_at <= one.at < fault_at + FAULT_PERIOD_SECONDS
        if earlier is not None and touched:
            longest = max(longest, one.at - max(earlier, fault_at))
        last[one.request_id] = one.at
    return longest


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """Hold what the repetitions of one kind of fault showed."""

    kind: str
    recovery_seconds: tuple[float, ...]
    stall_seconds: tuple[float, ...]
    tokens_per_second: float
    verdicts: abc.Mapping[str, typing.Any]


def measure_fault(
    kind: str, repetitions: int, rate: float, seed: int
) -> Measurement:
    """Disturb one site repeatedly."""
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
    """Begin and end the faults of one kind; return when they began."""
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
    """Return the machine-readable row of one kind."""
    ordered = sorted(measured.recovery_seconds)
    return {
        'fault': measured.kind,
        'runs': len(ordered),
        'recovery_seconds': [round(one, 2) for one in ordered],
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
    """Write the table for people."""
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
        wrong = sum(one.get('wrong', 0) for one in verdicts.values())
        cut = sum(one.get('cut', 0) for one in verdicts.values())
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
