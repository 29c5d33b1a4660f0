"""Measure the processor time of the log lines of a relaying instance.

    PYTHONPATH=src:. python -m bench.log_cost --write

A line about a send along a chain of eight parts, the longest usual one, goes
through the formatter and the bounded output to a descriptor that takes all.
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
# Lines a second of one instance: mean and worst second of a day with faults,
# and the most that the budget lets through.
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
    """Return the processor seconds of one line."""
    started = time.process_time()
    for _ in range(LINE_COUNT):
        logger.info('request_sent', extra=LINE_FIELDS)
    return (time.process_time() - started) / LINE_COUNT


def measure() -> dict[str, typing.Any]:
    """Measure the cost of a line and of the usual numbers of lines."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    output = bounded_output.BoundedOutput(descriptor)
    logs.configure('INFO', 'edge-melton-vault-1', output)
    logger = logging.getLogger('mustardvale')
    best = min(measure_line_seconds(logger) for _ in range(REPEAT_COUNT))
    os.close(descriptor)
    return {
        'microseconds_per_line': round(best * MICROSECONDS_PER_SECOND, 1),
        'core_share': {
            name: round(rate * best, 5)
            for name, rate in LINES_PER_SECOND.items()
        },
    }


def main(write: bool = False) -> None:
    """Print the measurement, and keep it beside the pages if asked to."""
    found = measure()
    print(found)
    if write:
        command = 'PYTHONPATH=src:. python -m bench.log_cost --write'
        measurements.write('log_cost', command, found)


if __name__ == '__main__':
    fire.Fire(main)
