"""Measure what it costs to share evidence of crashes between instances.

PYTHONPATH=src:. python -m bench.crash_reports --write

One request with a harmful part crashes two runners. At each crash, some
instances have other requests without an event on the same runner, whose parts
are known to be harmless. The messages, their bytes and the processor time are
those of one crash; `blocking` is the number of instances that refuse the part
after the second one.
"""

import time
import typing

import fire

from bench import instance_groups, measurements
from mustardvale.internal.relay import (
    crash_records,
    crash_sharing,
)

# Instances and zones of a small, a grown and a large site.
SITES = ((6, 3), (58, 3), (195, 5))
CRASH_COUNT = 2
SECONDS_BETWEEN_CRASHES = 0.3
BYSTANDER_COUNT = 6
HARMFUL = 'harmful'
MILLISECONDS_PER_SECOND = 1000


def report_crash(group: instance_groups.Group, number: int) -> None:
    """Let several instances record the same crash, one with the part."""
    reporters = group.names[-BYSTANDER_COUNT:]
    for index, name in enumerate(reporters):
        parts: tuple[str, ...] = (f'system-{index}',)
        if not index:
            parts += (HARMFUL,)
        request = crash_records.CrashedRequest('account', parts)
        group.apply(
            name,
            lambda state, request=request: crash_sharing.record_crash(
                f'runner-{number}/1', (request,), group.now, state
            ),
        )


def know_bystanders(group: instance_groups.Group) -> None:
    """Let the instances have seen the parts of the other requests begin."""
    parts = [f'system-{index}' for index in range(BYSTANDER_COUNT)]
    for name, state in group.states.items():
        begun = crash_records.record_begun(
            state.crashes.begun, parts, group.now - 1
        )
        group.states[name] = crash_sharing.replace_crashes(state, begun=begun)


def measure(instance_count: int, zone_count: int) -> dict[str, typing.Any]:
    """Return the cost of a crash at a site."""
    group = instance_groups.Group(instance_count, zone_count)
    know_bystanders(group)
    group.traffic = instance_groups.Traffic()
    started = time.process_time()
    for number in range(CRASH_COUNT):
        report_crash(group, number)
        group.now += SECONDS_BETWEEN_CRASHES
    used_seconds = time.process_time() - started
    traffic = group.traffic
    return {
        'instances': instance_count,
        'messages': round(traffic.message_count / CRASH_COUNT),
        'kilobytes': round(traffic.byte_count / CRASH_COUNT / 1000, 1),
        'most_messages_at_one': round(
            max(traffic.received.values()) / CRASH_COUNT
        ),
        'processor_ms_per_instance': round(
            used_seconds
            * MILLISECONDS_PER_SECOND
            / CRASH_COUNT
            / instance_count,
            2,
        ),
        'blocking': group.count_blocking(),
    }


def main(write: bool = False) -> None:
    """Print the results and write them to the documentation if `write`."""
    results = {'sites': [measure(*site) for site in SITES]}
    print(results)
    if write:
        command = 'PYTHONPATH=src:. python -m bench.crash_reports --write'
        measurements.write('crash_reports', command, results)


if __name__ == '__main__':
    fire.Fire(main)
