"""Measure the time from an accepted promotion to its being in force.

The start is the log's time of the append, the end is the time at which an
instance applied the document; both clocks are those of one machine.
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
MILLISECONDS = 1000
TARGET_SECONDS = 9


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionTimes:
    """Hold the times of one promotion in milliseconds.

    `in_force` has one time for each instance, `command` is the run time of
    the command-line tool with the start of its process.
    """

    version: int
    in_force: tuple[float, ...]
    command: float


def percentile(times: list[float], percent: int) -> float:
    """Return the nearest-rank percentile."""
    ordered = sorted(times)
    rank = -(-len(ordered) * percent // 100)
    return ordered[max(rank, 1) - 1]


def measure_promotion(
    site: promotion_site.Site,
    directory: str,
    number: int,
) -> PromotionTimes:
    """Promote one document and wait until it is in force everywhere."""
    path = pathlib.Path(directory) / 'document.toml'
    text = EXAMPLE_DOCUMENT.read_text()
    path.write_text(text.replace('layers = 24', f'layers = {number}'))
    began = time.monotonic()
    finished = site.run_command(
        'publish',
        str(path),
        f'--environment={ENVIRONMENT}',
        '--operator=bench',
        '--json',
    )
    took = time.monotonic() - began
    assert not finished.exit_code, finished
    version = finished.report['version']
    rows = site.wait_for_version(version)
    accepted_at = find_append_time(site, version)
    return PromotionTimes(
        version,
        tuple(
            round((row['in_force_since'] - accepted_at) * MILLISECONDS, 2)
            for row in rows
        ),
        round(took * MILLISECONDS, 1),
    )


def find_append_time(site: promotion_site.Site, version: int) -> float:
    """Return the log's time of the append of a version."""
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
        **{f'p{one}': percentile(times, one) for one in PERCENTILES},
        'highest': max(times),
    }


def format_row(name: str, summary: dict[str, typing.Any]) -> str:
    """Return one row of the table."""
    cells = ' | '.join(f'{number:g}' for number in summary.values())
    return f'| {name} | {cells} |'


def write_page(command: str, found: dict[str, typing.Any]) -> None:
    """Write the page beside the figures."""
    rows = '\n'.join(
        (
            format_row('at each instance', found['each_instance']),
            format_row('at all instances', found['all_instances']),
            format_row('run of `mustardvale publish`', found['command']),
        )
    )
    (MEASUREMENTS_DIRECTORY / 'promotions.md').write_text(
        f"""# Time from accepted promotion to in force

Command: `{command}`

One machine, {found['entries']} entry instances as separate processes with stand-ins of log and
instance list and no other load from this site. Load averages of the machine at the end of the run:
{', '.join(str(one) for one in found['load_average'])}. The start is the log's time of the append, the end the
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
    found = {
        'entries': entries,
        'load_average': [round(one, 1) for one in os.getloadavg()],
        'each_instance': summarize(
            [one for promotion in measured for one in promotion.in_force],
        ),
        'all_instances': summarize([max(one.in_force) for one in measured]),
        'command': summarize([one.command for one in measured]),
        'promotions': [dataclasses.asdict(one) for one in measured],
    }
    MEASUREMENTS_DIRECTORY.mkdir(parents=True, exist_ok=True)
    (MEASUREMENTS_DIRECTORY / 'promotions.json').write_text(
        json.dumps(found, indent=1) + '\n',
    )
    arguments = f'--count={count} --entries={entries}'
    write_page(
        f'PYTHONPATH=src:. .venv/bin/python -m bench.promotions {arguments}',
        found,
    )


if __name__ == '__main__':
    fire.Fire(measure_promotions)
