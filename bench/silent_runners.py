"""Disturb all runners of a site at once, and count how its streams end.

    PYTHONPATH=src:. python -m bench.silent_runners --fault silent --seconds 1.3

Faults are `silent` (the process of all runners is suspended), `crash`, `cut`
and `drain` (of half of the model runners). Half of the time has no fault.
"""

import collections
import json
import shutil
import time
import typing

import fire

from bench import relay_checks, relay_load, relay_sites

# Callers that leave on purpose do so well before this silence.
MINIMUM_CALLER_PATIENCE_SECONDS = 1.0
RUNNER_FAULTS = {
    'crash': {'down': True},
    'cut': {'dark': True},
    'drain': {'draining': True},
}


def begin_fault(site: relay_sites.RelaySite, fault: str) -> None:
    """Disturb the runners."""
    if fault == 'silent':
        site.freeze('runners')
        return
    for name in list_disturbed(site):
        site.set_runner_faults(name, **RUNNER_FAULTS[fault])


def end_fault(site: relay_sites.RelaySite, fault: str) -> None:
    """End the disturbance; runners that were gone restart without layers."""
    if fault == 'silent':
        site.resume('runners')
        return
    for name in list_disturbed(site):
        site.set_runner_faults(name, born=fault != 'cut')


def list_disturbed(site: relay_sites.RelaySite) -> list[str]:
    """Return every second model runner of each zone."""
    model = [
        row['runner_id'] for row in site.runners if row['service'] == 'model'
    ]
    return [name for place, name in enumerate(model) if place % 4 < 2]


def count_outcomes(history: relay_checks.History) -> dict[str, typing.Any]:
    """Count first attempts by outcome, and requests that ended whole."""
    first: collections.Counter[str] = collections.Counter()
    whole = set()
    asked = {
        line['id']
        for line in history.lines
        if line['event'] == 'ask' and line['kind'] == 'generate'
    }
    left_on_purpose = set()
    for line in history.lines:
        if line.get('id') not in asked:
            continue
        outcome = name_outcome(line)
        request_id = line['id'].partition('.')[0]
        if outcome == 'whole':
            whole.add(request_id)
        if outcome == 'left on purpose':
            left_on_purpose.add(request_id)
        if outcome and request_id == line['id']:
            first[outcome] += 1
    requests = {name.partition('.')[0] for name in asked} - left_on_purpose
    return {
        'requests': len(requests),
        'whole': len(whole & requests),
        'first attempts': dict(sorted(first.items())),
    }


def name_outcome(line: relay_checks.Line) -> str:
    """Return how an attempt ended, or nothing if the line is not of an end."""
    if line['event'] == 'left':
        if line['silent'] < MINIMUM_CALLER_PATIENCE_SECONDS:
            return 'left on purpose'
        return 'caller left'
    if line['event'] == 'lost':
        return 'cut'
    if 'whole' not in line:
        return ''
    return 'whole' if line['whole'] else f'status {line["status"]}'


def main(
    fault: str = 'silent',
    seconds: float = 1.3,
    rounds: int = 10,
    seed: int = 1,
    rate: float = 30,
    patience: float = relay_load.MAXIMUM_GAP_SECONDS,
) -> None:
    """Run the load beside repeated faults and print the outcomes."""
    duration = 2 * seconds * rounds + 4
    with relay_sites.RelaySite(seed=seed, rate=rate, seconds=duration) as site:
        load = site.build_load_process(maximum_gap_seconds=patience)
        load.start()
        time.sleep(2)
        for _ in range(rounds):
            begin_fault(site, fault)
            time.sleep(seconds)
            end_fault(site, fault)
            time.sleep(seconds)
        while load.is_running:
            time.sleep(0.1)
        print(fault, seconds, json.dumps(count_outcomes(site.read_history())))
    shutil.rmtree(site.directory)


if __name__ == '__main__':
    fire.Fire(main)
