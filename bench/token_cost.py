"""Measure the processor time of an entry instance per token.

    PYTHONPATH=src:. python -m bench.token_cost --output docs/measurements

One entry instance and six runners in three stages serve answers at several
request rates. Steps that wait for the same runner share a call, so that the
cost per token decreases as the load increases.
"""

import json
import pathlib
import time
import typing

import fire

from bench import control_cost, demo, processes, site_specs, sites

WARM_UP_SECONDS = 3.0
MEASURE_SECONDS = 10.0
RATES = (2, 5, 10, 20)
LOAD_MARGIN_SECONDS = 40.0
MILLISECONDS_PER_SECOND = 1000


def read_token_count(address: str) -> float:
    """Return the number of tokens that an entry instance has delivered."""
    page = processes.send_request('GET', address, '/metrics').body.decode()
    return sum(
        float(line.rpartition(' ')[2])
        for line in page.splitlines()
        if line.startswith('mustardvale_tokens_total{')
    )


def measure(rate: float) -> dict[str, typing.Any]:
    """Measure the cost per token at a rate of requests per second."""
    spec = site_specs.SiteSpec(entries=1, runners=6, action_runners=0)
    with sites.Site(spec) as site:
        entry = site.plan.entries[0]
        process_id = site.find_process(entry.instance_id).process_id
        seconds = WARM_UP_SECONDS + MEASURE_SECONDS + 2
        load = demo.build_load_process(site, seconds, rate, seed=1)
        load.start()
        try:
            time.sleep(WARM_UP_SECONDS)
            processor_seconds_before = control_cost.read_processor_seconds(
                process_id
            )
            tokens_before = read_token_count(entry.address)
            time.sleep(MEASURE_SECONDS)
            processor_seconds = (
                control_cost.read_processor_seconds(process_id)
                - processor_seconds_before
            )
            tokens = read_token_count(entry.address) - tokens_before
            load.wait(LOAD_MARGIN_SECONDS)
        finally:
            load.kill()
    return {
        'requests_per_second': rate,
        'tokens_per_second': round(tokens / MEASURE_SECONDS, 1),
        'core_share': round(processor_seconds / MEASURE_SECONDS, 3),
        'milliseconds_per_token': round(
            processor_seconds / tokens * MILLISECONDS_PER_SECOND, 2
        ),
    }


def main(output: str = 'docs/measurements') -> None:
    """Measure all rates, print the results and write them to a folder."""
    rows = []
    for rate in RATES:
        row = measure(rate)
        print(json.dumps(row), flush=True)
        rows.append(row)
    path = pathlib.Path(output) / 'token_cost.json'
    path.write_text(json.dumps(rows, indent=1) + '\n')


if __name__ == '__main__':
    fire.Fire(main)
