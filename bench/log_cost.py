"""Measure the processor time of log lines at an instance that relays requests.

    PYTHONPATH=src:. python -m bench.log_cost --write

The measured line is about a send along a chain of eight parts, which is the
longest usual chain. It passes the formatter and the bounded output, which
writes to the null device.
"""

import logging
import os
import time
import typing

import fire

from bench import measurements
from mustardvale.internal.edge import bounded_output, log_budget, logs

LINE_COUNT = 5000
REPEAT_COUNT = 5
CHAIN_PART_COUNT = 8
MICROSECONDS_PER_SECOND = 1_000_000
# Lines of one instance: the mean and the worst second of a day with faults, and
# the maximum that the log budget admits.
LINES_PER_SECOND = {
    'mean': 10,
    'worst second': 114,
    'bound': log_budget.ROUTINE_LINES_PER_SECOND
    + log_budget.OTHER_LINES_PER_SECOND,
}
LINE_FIELDS = {
    'request': '9c41d07be2a35f68',
    'route': 'r-cdj3ie5',
    'runner': 'i-0813851ff1',
    'chain': [
        f'i-0813851ff{part}:{part}0-{part}9' for part in range(CHAIN_PART_COUNT)
    ],
    'send': 2,
    'last_event': 12,
    'problem': 'closed',
    'config_version': 14,
    'list_age_ms': 310,
    'left_ms': 18_211,
}


def measure_line_seconds(logger: logging.Logger) -> float:
    """Return the processor seconds per line."""
    started = time.process_time()
    for _ in range(LINE_COUNT):
        logger.info('request_sent', extra=LINE_FIELDS)
    return (time.process_time() - started) / LINE_COUNT


def measure() -> dict[str, typing.Any]:
    """Return the cost of a line and of the typical line rates."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    output = bounded_output.BoundedOutput(descriptor)
    logs.configure('INFO', 'edge-melton-vault-1', output)
    logger = logging.getLogger('mustardvale')
    line_seconds = min(
        measure_line_seconds(logger) for _ in range(REPEAT_COUNT)
    )
    os.close(descriptor)
    return {
        'microseconds_per_line': round(
            line_seconds * MICROSECONDS_PER_SECOND, 1
        ),
        'core_share': {
            name: round(rate * line_seconds, 5)
            for name, rate in LINES_PER_SECOND.items()
        },
    }


def main(write: bool = False) -> None:
    """Print the results and write them to the documentation if `write`."""
    results = measure()
    print(results)
    if write:
        command = 'PYTHONPATH=src:. python -m bench.log_cost --write'
        measurements.write('log_cost', command, results)


if __name__ == '__main__':
    fire.Fire(main)
