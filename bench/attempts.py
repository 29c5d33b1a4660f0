"""Measure how many actions the log bears and what their attempts cost.

Starts the log, the list, one action service and one entry instance, sends
actions at several rates on many connections, and writes the appends per second
at the log and the time from an attempt until it has won its key.
"""

import base64
import dataclasses
import json
import os
import pathlib
import secrets
import selectors
import socket
import sys
import time
import tracemalloc

from mustardvale.internal import addresses, attempts, records
from mustardvale.internal.edge import codec_records
from tests import action_site

RATES_PER_SECOND = (10, 25, 50, 100, 150)
MEASUREMENT_SECONDS = 8.0
WARM_UP_SECONDS = 1.0
DRAIN_SECONDS = 5.0
APPEND_LIMIT_PER_SECOND = 300
PARTITIONS = 16
ANSWER_BYTES = 65
ACCOUNT = 'cellar-hands'
KEYS_IN_MEMORY = 20_000
RESULTS_PATH = pathlib.Path('docs/measurements/attempts.json')


@dataclasses.dataclass(frozen=True)
class Row:
    """Hold the result of one rate; times are in milliseconds."""

    wanted_per_second: float
    done_per_second: float
    not_done: int
    executions: int
    appends_per_second: float
    records_per_append: float
    latency_p50_ms: float
    latency_p95_ms: float
    idempotent_p50_ms: float
    entry_cpu_cores: float
    log_cpu_cores: float


class PendingAction:
    """Track one action on its own connection."""

    def __init__(self, due_at: float) -> None:
        self.due_at = due_at
        self.received = b''


def build_request(address: str, key: str) -> bytes:
    """Return the bytes of one request for an action."""
    body = b'"wheel"'
    operation = 'log-wheel' if key else 'read-rack'
    lines = (
        f'POST /v1/actions/{action_site.SERVICE}/{operation} HTTP/1.1',
        f'Host: {address}',
        f'Authorization: Bearer {action_site.ACCOUNT_KEY}',
        f'Idempotency-Key: {key}',
        'Mustardvale-Deadline-Ms: 8000',
        f'Content-Length: {len(body)}',
        'Connection: close',
    )
    return '\r\n'.join((*lines, '', '')).encode() + body


def connect(address: str) -> socket.socket:
    """Open a connection."""
    return socket.create_connection(addresses.split(address), timeout=10)


class ActionLoad:
    """Send actions at fixed times and keep the latency of each answer."""

    def __init__(self, address: str, is_keyed: bool) -> None:
        self.address = address
        self.is_keyed = is_keyed
        self.latencies: list[float] = []
        self.not_done = 0

    def run(self, rate: float, seconds: float) -> None:
        """Send `rate` actions a second, timed from when each was due."""
        count = int(rate * seconds)
        start = time.monotonic() + 0.1
        end = start + seconds + DRAIN_SECONDS
        sent = 0
        with selectors.DefaultSelector() as selector:
            while time.monotonic() < end:
                due = start + sent / rate
                while sent < count and due <= time.monotonic():
                    self.send(due, selector)
                    sent += 1
                    due = start + sent / rate
                if sent == count and not selector.get_map():
                    return
                wait = due - time.monotonic() if sent < count else 0.1
                for key, _ in selector.select(max(wait, 0.001)):
                    self.receive(key, selector)
            self.not_done += len(selector.get_map())

    def send(self, due: float, selector: selectors.BaseSelector) -> None:
        """Send one action on a new connection."""
        key = action_site.new_key() if self.is_keyed else ''
        connection = connect(self.address)
        connection.sendall(build_request(self.address, key))
        connection.setblocking(False)
        selector.register(connection, selectors.EVENT_READ, PendingAction(due))

    def receive(
        self,
        key: selectors.SelectorKey,
        selector: selectors.BaseSelector,
    ) -> None:
        """Read an answer, which ends with its connection."""
        connection = key.fileobj
        assert isinstance(connection, socket.socket)
        part = connection.recv(65536)
        key.data.received += part
        if part and b'"execution"' not in key.data.received:
            return
        selector.unregister(connection)
        connection.close()
        if key.data.received.startswith(b'HTTP/1.1 200'):
            self.latencies.append(time.monotonic() - key.data.due_at)
        else:
            self.not_done += 1


def count_appends(site: action_site.Site) -> tuple[int, int]:
    """Return the appends and the records of all partitions in the log."""
    appends = 0
    found = 0
    for partition in range(PARTITIONS):
        stored = read_partition(site, partition)
        appends += len({one['appended_at'] for one in stored})
        found += len(stored)
    return appends, found


def read_partition(
    site: action_site.Site, partition: int
) -> list[dict[str, float]]:
    """Return all records of a partition."""
    path = f'/v1/streams/attempts.{partition}/records?from=0&limit=1000000'
    records: list[dict[str, float]] = action_site.request(
        'GET',
        site.log,
        path,
    ).body['records']
    return records


def read_cpu_seconds(site: action_site.Site, name: str) -> float:
    """Return the processor time of a process."""
    path = pathlib.Path(f'/proc/{site.processes[name].pid}/stat')
    fields = path.read_text().rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100


def percentile_ms(found: list[float], share: float) -> float:
    """Return a percentile in milliseconds."""
    if not found:
        return 0
    ordered = sorted(found)
    return round(1000 * ordered[int(share * (len(ordered) - 1))], 1)


def measure_rate(rate: float) -> Row:
    """Measure one rate on a new site."""
    site = action_site.Site(services=1, entries=1)
    try:
        site.start()
        # The entry tails all partitions once it knows that it is alone.
        time.sleep(4)
        plain = ActionLoad(site.entries[0], is_keyed=False)
        plain.run(20, 3)
        warm = ActionLoad(site.entries[0], is_keyed=True)
        warm.run(rate, WARM_UP_SECONDS)
        return measure_started_site(
            rate, site, percentile_ms(plain.latencies, 0.5)
        )
    finally:
        site.stop()


def measure_started_site(
    rate: float, site: action_site.Site, idempotent_p50_ms: float
) -> Row:
    """Measure one rate on a site that runs."""
    appends_before, records_before = count_appends(site)
    executions_before = read_execution_count(site)
    cpu_before = [read_cpu_seconds(site, name) for name in ('entry-0', 'log')]
    load = ActionLoad(site.entries[0], is_keyed=True)
    started = time.monotonic()
    load.run(rate, MEASUREMENT_SECONDS)
    took = time.monotonic() - started
    cpu = [read_cpu_seconds(site, name) for name in ('entry-0', 'log')]
    time.sleep(1)
    appends, records = count_appends(site)
    return Row(
        wanted_per_second=rate,
        done_per_second=round(len(load.latencies) / took, 1),
        not_done=load.not_done,
        executions=read_execution_count(site) - executions_before,
        appends_per_second=round((appends - appends_before) / took, 1),
        records_per_append=round(
            (records - records_before) / max(appends - appends_before, 1),
            2,
        ),
        latency_p50_ms=percentile_ms(load.latencies, 0.5),
        latency_p95_ms=percentile_ms(load.latencies, 0.95),
        idempotent_p50_ms=idempotent_p50_ms,
        entry_cpu_cores=round((cpu[0] - cpu_before[0]) / took, 2),
        log_cpu_cores=round((cpu[1] - cpu_before[1]) / took, 2),
    )


def read_execution_count(site: action_site.Site) -> int:
    """Return the number of keyed executions at the service."""
    ledger = action_site.request('GET', site.services[0], '/ledger').body
    return sum(ledger['by_key'].values())


def measure_bytes_per_key() -> int:
    """Return the memory that one answered key takes in a partition."""
    tracemalloc.start()
    table = build_attempt_table(KEYS_IN_MEMORY)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held // len(table.keys)


def build_attempt_table(count: int) -> attempts.AttemptTable:
    """Fold the attempts and answers of keys as a reader decodes them."""
    table = attempts.AttemptTable()
    answer = base64.b64encode(b'x' * ANSWER_BYTES).decode()
    for number in range(count):
        key = action_site.new_key(number)
        attempt_id = f'entry-0.1796372000000.{number}'
        claimed = records.ActionAttempt(
            attempt_id,
            f'{ACCOUNT}',
            key,
            secrets.token_hex(16),
            'entry-0',
        )
        done = records.AttemptDone(
            attempt_id,
            ACCOUNT,
            key,
            claimed.body_digest,
            200,
            'application/json',
            f'{answer}',
            ANSWER_BYTES,
        )
        for record in (claimed, done):
            decoded = codec_records.decode_record(
                json.loads(json.dumps(codec_records.encode_record(record))),
            )
            table = attempts.fold(decoded, time.time(), table).table
    return table


def main() -> None:
    """Measure all rates and write the results."""
    rows = []
    for rate in RATES_PER_SECOND:
        row = measure_rate(rate)
        rows.append(dataclasses.asdict(row))
        sys.stdout.write(f'{row}\n')
        sys.stdout.flush()
    RESULTS_PATH.parent.mkdir(parents=True, exist_ok=True)
    table = {
        'append_limit_per_second': APPEND_LIMIT_PER_SECOND,
        'entries': 1,
        'bytes_per_key': measure_bytes_per_key(),
        'answer_bytes': ANSWER_BYTES,
        'load_average_1_min': os.getloadavg()[0],
        'processors': os.cpu_count(),
        'rows': rows,
    }
    RESULTS_PATH.write_text(f'{json.dumps(table, indent=2)}\n')


if __name__ == '__main__':
    main()
