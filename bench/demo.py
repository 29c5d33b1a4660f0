"""Run one site of stand-ins under a mixed load and print the results.

    bin/demo [--site cooperative|directorate] [--runners 40] [--seconds 20]
    bin/demo --platform

With `--platform` the demo runs the relay on the users' platform. The exit code
is 1 if an answer was wrong or stayed incomplete, a check found a violation or a
process still runs; it is 2 if the site or the load tool did not run.
"""

import collections
import json
import pathlib
import signal
import sys
import time
import typing
from collections import abc

import fire

from bench import processes, relay_demo, site_specs, sites

EXIT_FAILED = 1
EXIT_NOT_RUN = 2
LOAD_MARGIN_SECONDS = 40
RUNNERS_PER_PROCESS = 4
LATENCY_TITLES = (
    ('first_token', 'to the first token'),
    ('between_tokens', 'between tokens'),
    ('answer', 'whole model answer'),
    ('action', 'action'),
)


def build_load_process(
    site: sites.Site,
    seconds: float,
    rate: float,
    seed: int,
) -> processes.Process:
    """Build the process of the load tool without starting it."""
    options = {
        'entries': ','.join(site.entry_addresses),
        'document': str(site.spec.resolved_document_path),
        'history': str(site.directory / 'history.jsonl'),
        'summary': str(site.directory / 'summary.json'),
        'zones': ','.join(site.spec.location.zones),
        'duration_seconds': seconds,
        'rate': rate,
        'seed': seed,
    }
    if not site.plan.action_runners:
        options |= {'actions': 0, 'idempotent_actions': 0}
    return processes.Process(
        processes.ProcessSpec(
            'load',
            'bench.load',
            '',
            tuple(f'--{name}={text}' for name, text in options.items()),
        ),
        site.directory,
    )


def run_load(
    site: sites.Site,
    seconds: float,
    rate: float,
    seed: int,
) -> dict[str, typing.Any]:
    """Send load to a site and return the summary of the load tool."""
    summary = site.directory / 'summary.json'
    load = build_load_process(site, seconds, rate, seed)
    load.start()
    try:
        load.wait(seconds + LOAD_MARGIN_SECONDS)
    finally:
        load.kill()
    if not summary.exists():
        raise processes.ProcessError(
            f'the load tool wrote no summary:\n{load.read_log_tail()}'
        )
    report: dict[str, typing.Any] = json.loads(summary.read_text())
    return report


def format_table(rows: abc.Sequence[abc.Sequence[typing.Any]]) -> str:
    """Format rows as a text table; the first row holds the titles."""
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [
        max(len(cell) for cell in column) for column in zip(*texts, strict=True)
    ]
    lines = [
        '  '.join(
            cell.ljust(width) if index == 0 else cell.rjust(width)
            for index, (cell, width) in enumerate(zip(row, widths, strict=True))
        ).rstrip()
        for row in texts
    ]
    lines.insert(1, '  '.join('-' * width for width in widths))
    return '\n'.join(lines)


def build_verdict_rows(
    summary: dict[str, typing.Any],
) -> list[list[typing.Any]]:
    """Build the rows of the verdicts on requests, by kind of work."""
    verdicts = ('right', 'wrong', 'cut', 'refused', 'failed')
    rows: list[list[typing.Any]] = [['requests', 'total', *verdicts]]
    for work, count_by_verdict in sorted(summary['verdicts'].items()):
        counts = [count_by_verdict.get(verdict, 0) for verdict in verdicts]
        rows.append([work, sum(counts), *counts])
    return rows


def build_latency_rows(
    summary: dict[str, typing.Any],
) -> list[list[typing.Any]]:
    """Build the rows of the latencies in milliseconds."""
    rows: list[list[typing.Any]] = [
        ['latency (ms)', 'count', 'p50', 'p95', 'p99']
    ]
    for name, title in LATENCY_TITLES:
        latency = summary['latency'][name]
        if latency['count']:
            percentiles = [
                latency[f'{key}_ms'] for key in ('p50', 'p95', 'p99')
            ]
            rows.append([title, latency['count'], *percentiles])
    return rows


def build_entry_rows(history: pathlib.Path) -> list[list[typing.Any]]:
    """Build the rows of the calls and errors at each entry address."""
    counts: collections.Counter[tuple[str, str]] = collections.Counter()
    with history.open() as lines:
        for line in lines:
            event = json.loads(line)
            counts[event['entry'], event['event']] += 1
    rows: list[list[typing.Any]] = [
        ['entry instance', 'calls', 'whole', 'errors']
    ]
    for address in sorted({address for address, _ in counts}):
        names = ('start', 'end', 'error')
        rows.append([address, *(counts[address, name] for name in names)])
    return rows


def print_report(site: sites.Site, summary: dict[str, typing.Any]) -> None:
    """Print the results of a run."""
    history = site.directory / 'history.jsonl'
    for rows in (
        build_verdict_rows(summary),
        build_entry_rows(history),
        build_latency_rows(summary),
    ):
        print(f'{format_table(rows)}\n')
    print(
        f'{summary["requests_per_second"]} requests/s and'
        f' {summary["tokens_per_second"]} tokens/s over'
        f' {summary["seconds"]} s; {summary["recovered"]} requests were'
        ' answered correctly after an error',
    )
    for title in ('refusals', 'failures'):
        if summary[title]:
            print(f'{title} of single calls: {summary[title]}')
    print(f'history: {history}')


def exit_on_signal(number: int, _: typing.Any) -> None:
    """Exit through the context managers, which stop all processes."""
    raise SystemExit(128 + number)


def main(
    site: str = 'cooperative',
    runners: int = 12,
    entries: int = 6,
    seconds: float = 20,
    rate: float = 20,
    seed: int = 1,
    platform: bool = False,
) -> None:
    """Run the demo of one site, or of the relay on the users' platform."""
    if site not in site_specs.LOCATIONS:
        sys.exit(f'--site must be one of {", ".join(site_specs.LOCATIONS)}')
    signal.signal(signal.SIGTERM, exit_on_signal)
    spec = site_specs.SiteSpec(
        site,
        entries=entries,
        runners=runners,
        runners_per_process=RUNNERS_PER_PROCESS,
    )
    started = time.monotonic()
    try:
        if platform:
            passed = run_platform(entries, seconds, rate, seed)
        else:
            passed = run_site(spec, seconds, rate, seed)
    except processes.ProcessError as error:
        print(f'the demo did not run: {error}', file=sys.stderr)
        sys.exit(EXIT_NOT_RUN)
    print(f'{time.monotonic() - started:.1f} s in all')
    if not passed:
        sys.exit(EXIT_FAILED)


def run_platform(entries: int, seconds: float, rate: float, seed: int) -> bool:
    """Run the relay on stand-ins; return whether all checks passed."""
    results = relay_demo.run(entries, seconds, rate, seed)
    for rows in (results['rows'], results['latency']):
        print(f'{format_table(rows)}\n')
    print(f'violations: {len(results["violations"])}')
    print(
        f'{results["left"]} processes still run; logs: {results["directory"]}'
    )
    return relay_demo.is_successful(results)


def run_site(
    spec: site_specs.SiteSpec,
    seconds: float,
    rate: float,
    seed: int,
) -> bool:
    """Run load at a site; return whether all checks passed."""
    started = time.monotonic()
    with sites.Site(spec) as site:
        plan = site.plan
        print(
            f'{spec.name}: {len(plan.entries)} entry instances,'
            f' {len(plan.runners)} model runners in {spec.stages} stages,'
            f' {len(plan.action_runners)} action runners, ready after'
            f' {time.monotonic() - started:.1f} s\n',
            flush=True,
        )
        summary = run_load(site, seconds, rate, seed)
        print_report(site, summary)
        violations = site.audit()
        print(f'layers run twice or out of order: {len(violations)}')
    running_count = sum(
        process.is_running for process in site.processes.values()
    )
    print(f'{running_count} of {len(site.processes)} processes still run')
    return not (
        summary['wrong_answers']
        or summary['cut']
        or violations
        or running_count
    )


if __name__ == '__main__':
    fire.Fire(main)
