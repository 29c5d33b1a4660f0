"""Run the relay on stand-ins of the users' platform, and print what it served."""

import collections
import statistics
import time
import typing

from bench import relay_checks, relay_sites

LOAD_MARGIN_SECONDS = 20.0
MILLISECONDS = 1000
QUANTILES = 20


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
            f' with {relay_checks.LAYERS} layers, ready after'
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
        'rows': count_ends(history),
        'latency': measure(history),
        'violations': relay_checks.check(history),
        'left': left,
        'directory': str(site.directory),
    }


def count_ends(history: relay_checks.History) -> list[list[typing.Any]]:
    """Return how the attempts of each kind ended."""
    asks = history.asks()
    counts: dict[str, collections.Counter[str]] = {}
    for line in history.of('answer', 'lost', 'left'):
        found = counts.setdefault(
            asks[line['id']]['kind'], collections.Counter()
        )
        found[str(line.get('status') or line['event'])] += 1
    names = sorted({name for found in counts.values() for name in found})
    rows: list[list[typing.Any]] = [['attempts', 'total', *names]]
    for kind, found in sorted(counts.items()):
        ends = [found[name] for name in names]
        rows.append([kind, found.total(), *ends])
    return rows


def measure(history: relay_checks.History) -> list[list[typing.Any]]:
    """Return the times to whole answers in milliseconds, by kind."""
    asks = history.asks()
    times: dict[str, list[float]] = {}
    for line in history.of('answer'):
        if line['status'] // 100 == 2:
            kind = asks[line['id']]['kind']
            times.setdefault(kind, []).append(line['seconds'] * MILLISECONDS)
    rows: list[list[typing.Any]] = [
        ['whole answer (ms)', 'count', 'p50', 'p95']
    ]
    for kind, found in sorted(times.items()):
        if len(found) > 1:
            cuts = statistics.quantiles(found, n=QUANTILES)
            middle, high = cuts[QUANTILES // 2 - 1], cuts[-1]
            rows.append([kind, len(found), round(middle), round(high)])
    return rows


def is_right(seen: dict[str, typing.Any]) -> bool:
    """Return whether nothing was wrong and no process is left."""
    return not seen['violations'] and not seen['left']
