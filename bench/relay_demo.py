"""Run the relay with stand-ins of the platform and report what it served."""

import collections
import statistics
import time
import typing

from bench import relay_checks, relay_sites

LOAD_MARGIN_SECONDS = 20.0
MILLISECONDS_PER_SECOND = 1000
QUANTILE_COUNT = 20


def run(
    entries: int, seconds: float, rate: float, seed: int
) -> dict[str, typing.Any]:
    """Run the load at a site without faults and return the results.

    They are tables of outcomes and latencies, the violations, the number of
    processes that still run and the directory with the logs. Raises
    `ProcessError` if the site does not start or the load does not end.
    """
    started = time.monotonic()
    with relay_sites.RelaySite(
        seed, entries=entries, rate=rate, seconds=seconds
    ) as site:
        print(
            f'platform: {entries} entry instances, {len(site.runners)} runners'
            f' with {relay_checks.LAYER_COUNT} layers, ready after'
            f' {time.monotonic() - started:.1f} s\n',
            flush=True,
        )
        load = site.build_load_process()
        load.start()
        try:
            load.wait(seconds + LOAD_MARGIN_SECONDS)
        finally:
            load.kill()
        history = site.read_history()
    running_count = sum(
        process.is_running for process in site.processes.values()
    )
    return {
        'rows': count_outcomes(history),
        'latency': measure_latency(history),
        'violations': relay_checks.check(history),
        'left': running_count,
        'directory': str(site.directory),
    }


def count_outcomes(history: relay_checks.History) -> list[list[typing.Any]]:
    """Return a table of the outcomes of attempts by kind of request."""
    attempts = history.index_attempts()
    counts_by_kind: dict[str, collections.Counter[str]] = {}
    for line in history.select('answer', 'lost', 'left'):
        counts = counts_by_kind.setdefault(
            attempts[line['id']]['kind'], collections.Counter()
        )
        counts[str(line.get('status') or line['event'])] += 1
    outcomes = sorted(
        {outcome for counts in counts_by_kind.values() for outcome in counts}
    )
    rows: list[list[typing.Any]] = [['attempts', 'total', *outcomes]]
    for kind, counts in sorted(counts_by_kind.items()):
        columns = [counts[outcome] for outcome in outcomes]
        rows.append([kind, counts.total(), *columns])
    return rows


def measure_latency(history: relay_checks.History) -> list[list[typing.Any]]:
    """Return a table of the latencies of complete answers, by kind."""
    attempts = history.index_attempts()
    latencies_by_kind: dict[str, list[float]] = {}
    for line in history.select('answer'):
        if line['status'] // 100 == 2:
            kind = attempts[line['id']]['kind']
            latencies_by_kind.setdefault(kind, []).append(
                line['seconds'] * MILLISECONDS_PER_SECOND
            )
    rows: list[list[typing.Any]] = [
        ['whole answer (ms)', 'count', 'p50', 'p95']
    ]
    for kind, latencies in sorted(latencies_by_kind.items()):
        if len(latencies) > 1:
            quantiles = statistics.quantiles(latencies, n=QUANTILE_COUNT)
            p50, p95 = quantiles[QUANTILE_COUNT // 2 - 1], quantiles[-1]
            rows.append([kind, len(latencies), round(p50), round(p95)])
    return rows


def is_successful(results: dict[str, typing.Any]) -> bool:
    """Return whether there is no violation and no process still runs."""
    return not results['violations'] and not results['left']
