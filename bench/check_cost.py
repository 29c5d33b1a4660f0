"""Measure the processor time of a check of all requests by their number.

PYTHONPATH=src:. python -m bench.check_cost --write

All requests are streams that make progress, as on a calm day.
"""

import dataclasses
import random
import statistics
import time
import typing

import fire
import immutables

from bench import chain_cost, measurements
from mustardvale.internal import events
from mustardvale.internal.relay import (
    choices,
    exchanges,
    handlers,
    loads,
    timers,
)
from mustardvale.internal.relay import state as states

CHECK_COUNT = 100
STREAM_COUNTS = (10, 100, 300)
ZONE_COUNT = 5
NOW = 10.0
# Streams have delivered something within this time.
EVENT_GAP_SECONDS = 0.1


def build_state(stream_count: int) -> states.State:
    """Return the state of an instance with open streams."""
    state = chain_cost.build_state(ZONE_COUNT)
    random_source = random.Random(1)
    exchange = chain_cost.build_exchange()
    open_streams: dict[str, exchanges.Exchange] = {}
    for number in range(stream_count):
        target = choices.choose_target(
            exchange, NOW, dataclasses.replace(state, seed=number)
        )
        assert target is not None, 'a placed site has a chain'
        attempt = exchanges.Attempt(
            f's{number}',
            target.runner_id,
            1.0,
            chain=target.chain,
            is_sent=True,
            last_received_at=NOW - random_source.random() * EVENT_GAP_SECONDS,
            first_event_at=2.0,
        )
        open_streams[f'r{number}'] = dataclasses.replace(
            exchange, request_id=f'r{number}', attempts=(attempt,)
        )
        state = dataclasses.replace(
            state, loads=loads.add_chain(state.loads, target.chain, 900, 1)
        )
    return dataclasses.replace(
        state,
        exchanges=immutables.Map(open_streams),
        mean_loads=state.loads,
        last_check_at=NOW,
        check_due_at=NOW,
    )


def measure(stream_count: int) -> dict[str, float]:
    """Return the mean time of a check in milliseconds."""
    state = build_state(stream_count)
    due = events.TimerFired(
        at=NOW, wall_time=0.0, timer=timers.ExchangeCheckDue()
    )
    check_seconds = []
    for _ in range(CHECK_COUNT):
        started = time.process_time()
        handlers.reduce(due, state)
        check_seconds.append(time.process_time() - started)
    return {'mean_ms': round(statistics.fmean(check_seconds) * 1000, 3)}


def main(write: bool = False) -> None:
    """Print the results and write them to the documentation if `write`."""
    results: dict[str, typing.Any] = {
        f'{count} streams': measure(count) for count in STREAM_COUNTS
    }
    print(results)
    if write:
        command = 'PYTHONPATH=src:. python -m bench.check_cost --write'
        measurements.write('check_cost', command, results)


if __name__ == '__main__':
    fire.Fire(main)
