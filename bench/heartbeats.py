"""Compute and measure the control traffic of an entry instance.

    python -m bench.heartbeats

The computed traffic is that of the encoded heartbeats that the reducer sends
at sites of several sizes, with the headers of ZMTP, TCP and IP. The measured
traffic is read from the counters of separate processes over 20 s without
callers. With 20 instances each sends heartbeats along the ring to five others,
as it does with 410.
"""

import re
import statistics
import time
import typing

import fire

from bench import measurements, processes, site_specs, sites
from mustardvale import daemon, settings
from mustardvale.internal import (
    calls,
    effects,
    events,
    handlers,
    listings,
    membership,
    messages,
    state,
    subsets,
    timers,
)
from mustardvale.internal.edge import codec_peer

COMMAND = 'PYTHONPATH=src:. python -m bench.heartbeats'
ENTRY_COUNTS = (7, 20, 410)
ACCOUNT_COUNTS = (0, 10, 690)
# The header of a ZMTP frame has 2 bytes, or 9 if the frame is over 255 bytes.
# TCP and IP headers have 52 bytes each for the segment and its acknowledgement.
SHORT_FRAME_BYTES = 255
SHORT_HEADER_BYTES = 2
LONG_HEADER_BYTES = 9
TCP_IP_HEADER_BYTES = 104
SETTLE_SECONDS = 5
MEASURE_SECONDS = 20
BYTE_COUNTERS = re.compile(
    r'^mustardvale_(call|peer)_bytes_total\{(.*)\} (\S+)$',
    re.MULTILINE,
)


def build_state(entries: int) -> state.State:
    """Return the state of an entry instance that has read the instance list."""
    arguments = (
        '--instance-id=entry-0',
        '--address=10.1.0.0:80',
        '--peer-address=10.1.0.0:81',
        '--availability-zone=melton-vault',
        '--region=east-mids',
        '--environment=production',
        '--log-address=10.2.0.1:80',
        '--list-address=10.2.0.2:80',
    )
    rows = tuple(
        calls.ListedInstance(
            f'entry-{number}',
            membership.ENTRY_POOL,
            f'10.1.{number // 200}.{number % 200}:80',
            'melton-vault',
            peer_address=f'10.1.{number // 200}.{number % 200}:81',
        )
        for number in range(entries)
    )
    answered = events.CallAnswered(
        at=100,
        call=calls.ListInstances(),
        address='10.2.0.2:80',
        answer=calls.InstancesListed(rows),
    )
    built = daemon.build_initial_state(settings.read(arguments, {}))
    return handlers.reduce(answered, built).state


def compute_frame_bytes(message: messages.PeerMessage) -> int:
    """Return the bytes of a message on the network, with all headers."""
    frame = codec_peer.encode_message('10.1.0.0:81', message)
    header = LONG_HEADER_BYTES
    if len(frame) <= SHORT_FRAME_BYTES:
        header = SHORT_HEADER_BYTES
    return len(frame) + header + TCP_IP_HEADER_BYTES


def compute_heartbeats(entries: int) -> dict[str, typing.Any]:
    """Return the heartbeat bytes that an instance sends per second.

    The heartbeats report the usage of each number of client accounts in turn.
    """
    current = build_state(entries)
    fired = events.TimerFired(at=101, wall_time=1, timer=timers.HeartbeatDue())
    transition = handlers.reduce(fired, current)
    sends = [
        effect
        for effect in transition.effects
        if isinstance(effect, effects.SendToPeer)
    ]
    results: dict[str, typing.Any] = {'entries': entries, 'targets': len(sends)}
    heartbeat = sends[0].message
    for accounts in ACCOUNT_COUNTS:
        frame_bytes = compute_frame_bytes(build_with_usage(heartbeat, accounts))
        results[f'bytes_per_second_{accounts}_accounts'] = round(
            len(sends) * frame_bytes / membership.HEARTBEAT_PERIOD_SECONDS,
        )
    return results


def build_with_usage(
    heartbeat: messages.Heartbeat,
    accounts: int,
) -> messages.Heartbeat:
    """Return a copy of a heartbeat that reports the usage of some accounts."""
    fields = {
        name: getattr(heartbeat, name)
        for name in heartbeat.__dataclass_fields__
    }
    fields['usage'] = tuple(
        messages.AccountUsage(f'account-{number}', 1.5, 100.5)
        for number in range(accounts)
    )
    return messages.Heartbeat(**fields)


def compute_polls(runners: int, entries: int) -> dict[str, float]:
    """Return the bytes per second of load reports and of the instance list."""
    members = round(subsets.find_share(entries) * runners)
    if runners <= subsets.SMALL_POOL_RUNNERS:
        members = runners
    rows = runners + entries
    load_period = subsets.compute_poll_period_seconds(members)
    list_period = listings.compute_list_period_seconds(rows)
    return {
        'entries': entries,
        'runners': runners,
        'members': members,
        'load_period_seconds': round(load_period, 1),
        'load_bytes_per_second': round(
            members * subsets.POLL_BYTES / load_period,
        ),
        'list_period_seconds': round(list_period, 1),
        'list_bytes_per_second': round(
            rows * listings.LIST_ROW_BYTES / list_period,
        ),
    }


def read_byte_counters(address: str) -> dict[str, float]:
    """Return the byte counters of an entry instance by kind and labels."""
    page = processes.send_request('GET', address, '/metrics').body.decode()
    return {
        f'{kind} {labels}': float(count)
        for kind, labels, count in BYTE_COUNTERS.findall(page)
    }


def measure(entries: int, runners: int) -> dict[str, typing.Any]:
    """Return the bytes per second of a running site, as mean per instance."""
    spec = site_specs.SiteSpec(
        entries=entries,
        runners=runners,
        action_runners=0,
    )
    with sites.Site(spec) as site:
        time.sleep(SETTLE_SECONDS)
        before = [
            read_byte_counters(address) for address in site.entry_addresses
        ]
        started = time.monotonic()
        time.sleep(MEASURE_SECONDS)
        after = [
            read_byte_counters(address) for address in site.entry_addresses
        ]
        seconds = time.monotonic() - started
    names = sorted({name for counters in after for name in counters})
    return {
        'entries': entries,
        'runners': runners,
        'bytes_per_second': {
            name: round(
                statistics.mean(
                    (late.get(name, 0) - early.get(name, 0)) / seconds
                    for early, late in zip(before, after, strict=True)
                ),
                1,
            )
            for name in names
        },
    }


def main() -> None:
    """Compute and measure the traffic, print the results and write them."""
    results = {
        'heartbeats_computed': [
            compute_heartbeats(count) for count in ENTRY_COUNTS
        ],
        'polls_computed': [
            compute_polls(40, 7),
            compute_polls(400, 60),
            compute_polls(3400, 410),
        ],
        'measured': [measure(7, 12), measure(20, 6)],
    }
    for name, rows in results.items():
        for row in rows:
            print(name, row)
    measurements.write('heartbeats', COMMAND, results)


if __name__ == '__main__':
    fire.Fire(main)
