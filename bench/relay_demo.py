"""Run the relay on stand-ins of the users' platform, and print what it served."""

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
    """Run the load at a site without faults and return what was seen.

    Raises `ProcessError` where the site or the load does not run.
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
        load = site.build_load()
        load.start()
        try:
            load.wait(seconds + LOAD_MARGIN_SECONDS)
        finally:
            load.kill()
        history = site.read_history()
    left = sum(one.is_running for one in site.processes.values())
    return {
        'rows': count_outcomes(history),
        'latency': measure_latency(history),
        'violations': relay_checks.check(history),
        'left': left,
        'directory': str(site.directory),
    }


def count_outcomes(history: relay_checks.History) -> list[list[typing.Any]]:
    """Return how the attempts of each kind ended."""
    attempts = history.attempts_by_id()
    counts: dict[str, collections.Counter[str]] = {}
    for line in history.select('answer', 'lost', 'left'):
        found = counts.setdefault(
            attempts[line['id']]['kind'], collections.Counter()
        )
        found[str(line.get('status') or line['event'])] += 1
    names = sorted({name for found in counts.values() for name in found})
    rows: list[list[typing.Any]] = [['attempts', 'total', *names]]
    for kind, found in sorted(counts.items()):
        ends = [found[name] for name in names]
        rows.append([kind, found.total(), *ends])
    return rows


def measure_latency(history: relay_checks.History) -> list[list[typing.Any]]:
    """Return the times to whole answers in milliseconds, by kind."""
    attempts = history.attempts_by_id()
    times: dict[str, list[float]] = {}
    for line in history.select('answer'):
        if line['status'] // 100 == 2:
            kind = attempts[line['id']]['kind']
            times.setdefault(kind, []).append(
                line['seconds'] * MILLISECONDS_PER_SECOND
            )
    rows: list[list[typing.Any]] = [
        ['whole answer (ms)', 'count', 'p50', 'p95']
    ]
    for kind, found in sorted(times.items()):
        if len(found) > 1:
            cuts = statistics.quantiles(found, n=QUANTILE_COUNT)
            middle, high = cuts[QUANTILE_COUNT // 2 - 1], cuts[-1]
            rows.append([kind, len(found), round(middle), round(high)])
    return rows


def is_successful(seen: dict[str, typing.Any]) -> bool:
    """Return whether nothing was wrong and no process is left."""
    return not seen['violations'] and not seen['left']
