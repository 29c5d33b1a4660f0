"""Measure the time until an accepted promotion is in force.

The time runs from the append, as the log records it, until an instance applies
the document; both read the clock of one machine.
"""

import dataclasses
import json
import os
import pathlib
import tempfile
import time
import typing

import fire

from bench import promotion_site

MEASUREMENTS_DIRECTORY = promotion_site.ROOT / 'docs' / 'measurements'
EXAMPLE_DOCUMENT = promotion_site.ROOT / 'examples' / 'cooperative.toml'
ENVIRONMENT = 'production'
PERCENTILES = (50, 95, 99)
MILLISECONDS_PER_SECOND = 1000
TARGET_SECONDS = 9


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionTimes:
    """Hold the times of one promotion in milliseconds.

    `in_force` has one time for each instance. `command` is the run time of the
    command-line tool, including the start of its process.
    """

    version: int
    in_force: tuple[float, ...]
    command: float


def compute_percentile(times: list[float], percent: int) -> float:
    """Return a percentile by the nearest-rank method."""
    ordered = sorted(times)
    rank = -(-len(ordered) * percent // 100)
    return ordered[max(rank, 1) - 1]


def measure_promotion(
    site: promotion_site.Site,
    directory: str,
    number: int,
) -> PromotionTimes:
    """Promote one document and measure until all instances apply it."""
    path = pathlib.Path(directory) / 'document.toml'
    text = EXAMPLE_DOCUMENT.read_text()
    path.write_text(text.replace('layers = 24', f'layers = {number}'))
    started = time.monotonic()
    result = site.run_command(
        'publish',
        str(path),
        f'--environment={ENVIRONMENT}',
        '--operator=bench',
        '--json',
    )
    elapsed_seconds = time.monotonic() - started
    assert not result.exit_code, result
    version = result.report['version']
    rows = site.wait_for_version(version)
    accepted_at = find_append_time(site, version)
    return PromotionTimes(
        version,
        tuple(
            round(
                (row['in_force_since'] - accepted_at) * MILLISECONDS_PER_SECOND,
                2,
            )
            for row in rows
        ),
        round(elapsed_seconds * MILLISECONDS_PER_SECOND, 1),
    )


def find_append_time(site: promotion_site.Site, version: int) -> float:
    """Return the time at which the log appended a version."""
    history = site.run_command('history', ENVIRONMENT, '--json').report
    return next(
        float(row['appended_at'])
        for row in history['promotions']
        if row['version'] == version
    )


def summarize(times: list[float]) -> dict[str, typing.Any]:
    """Return count, percentiles and extremes in milliseconds."""
    return {
        'count': len(times),
        'lowest': min(times),
        **{
            f'p{percent}': compute_percentile(times, percent)
            for percent in PERCENTILES
        },
        'highest': max(times),
    }


def format_row(name: str, summary: dict[str, typing.Any]) -> str:
    """Format one row of the table."""
    cells = ' | '.join(f'{number:g}' for number in summary.values())
    return f'| {name} | {cells} |'


def write_page(command: str, results: dict[str, typing.Any]) -> None:
    """Write the page that shows the figures."""
    rows = '\n'.join(
        (
            format_row('at each instance', results['each_instance']),
            format_row('at all instances', results['all_instances']),
            format_row('run of `mustardvale publish`', results['command']),
        )
    )
    (MEASUREMENTS_DIRECTORY / 'promotions.md').write_text(
        f"""# Time from accepted promotion to in force

Command: `{command}`

One machine, {results['entries']} entry instances as separate processes with stand-ins of log and
instance list and no other load from this site. Load averages of the machine at the end of the run:
{', '.join(str(average) for average in results['load_average'])}. The start is the log's time of the append, the end the
time at which the instance applied the document. Milliseconds; the target is {TARGET_SECONDS} s
everywhere.

| | count | lowest | p50 | p95 | p99 | highest |
|---|---|---|---|---|---|---|
{rows}

The run of the tool includes the start of Python and its imports, a read, an append and a read.
Each instance reads the log by long poll here, so that this says nothing about 410 nodes.
""",
    )


def measure_promotions(count: int = 40, entries: int = 6) -> None:
    """Measure promotions and write docs/measurements/promotions.*."""
    with (
        tempfile.TemporaryDirectory() as directory,
        promotion_site.run_site(entries) as site,
    ):
        measure_promotion(site, directory, 1)
        measured = [
            measure_promotion(site, directory, number + 2)
            for number in range(count)
        ]
    results = {
        'entries': entries,
        'load_average': [round(average, 1) for average in os.getloadavg()],
        'each_instance': summarize(
            [
                milliseconds
                for promotion in measured
                for milliseconds in promotion.in_force
            ],
        ),
        'all_instances': summarize(
            [max(promotion.in_force) for promotion in measured]
        ),
        'command': summarize([promotion.command for promotion in measured]),
        'promotions': [dataclasses.asdict(promotion) for promotion in measured],
    }
    MEASUREMENTS_DIRECTORY.mkdir(parents=True, exist_ok=True)
    (MEASUREMENTS_DIRECTORY / 'promotions.json').write_text(
        json.dumps(results, indent=1) + '\n',
    )
    arguments = f'--count={count} --entries={entries}'
    write_page(
        f'PYTHONPATH=src:. .venv/bin/python -m bench.promotions {arguments}',
        results,
    )


if __name__ == '__main__':
    fire.Fire(measure_promotions)
