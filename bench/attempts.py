"""Measure the appends and the latency that attempts of actions cause.

Starts the log, the instance list, one action service and one entry instance,
sends actions at several rates, each on its own connection, and writes the
appends per second at the log and the latency of actions with and without an
idempotency key. The difference between the two latencies is the time that an
attempt takes to claim its key.
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
    """Hold the results at one rate.

    `wanted_per_second` is the rate of requests, `done_per_second` that of
    answers with status 200. `not_done` counts requests with another answer or
    with none by the end of the drain. `idempotent_p50_ms` is the median latency
    of an operation without a key.
    """

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
    """Hold an action that waits for its answer, and the bytes received."""

    def __init__(self, due_at: float) -> None:
        self.due_at = due_at
        self.received = b''


def build_request(address: str, key: str) -> bytes:
    """Build the request for an action, or for a read if the key is empty."""
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
    """Open a connection to a `host:port` address."""
    return socket.create_connection(addresses.split(address), timeout=10)


class ActionLoad:
    """Send actions at fixed times and record the latency of each answer."""

    def __init__(self, address: str, is_keyed: bool) -> None:
        self.address = address
        self.is_keyed = is_keyed
        self.latencies: list[float] = []
        self.not_done = 0

    def run(self, rate: float, seconds: float) -> None:
        """Send `rate` actions a second; latencies count from the due time."""
        count = int(rate * seconds)
        start = time.monotonic() + 0.1
        end = start + seconds + DRAIN_SECONDS
        sent_count = 0
        with selectors.DefaultSelector() as selector:
            while time.monotonic() < end:
                due_at = start + sent_count / rate
                while sent_count < count and due_at <= time.monotonic():
                    self.send(due_at, selector)
                    sent_count += 1
                    due_at = start + sent_count / rate
                if sent_count == count and not selector.get_map():
                    return
                wait_seconds = (
                    due_at - time.monotonic() if sent_count < count else 0.1
                )
                for key, _ in selector.select(max(wait_seconds, 0.001)):
                    self.receive(key, selector)
            self.not_done += len(selector.get_map())

    def send(self, due_at: float, selector: selectors.BaseSelector) -> None:
        """Send one action on a new connection."""
        key = action_site.generate_key() if self.is_keyed else ''
        connection = connect(self.address)
        connection.sendall(build_request(self.address, key))
        connection.setblocking(False)
        selector.register(
            connection, selectors.EVENT_READ, PendingAction(due_at)
        )

    def receive(
        self,
        key: selectors.SelectorKey,
        selector: selectors.BaseSelector,
    ) -> None:
        """Read a part of an answer, and record the answer at its end.

        An answer is complete once its `execution` field has arrived or the
        connection is closed.
        """
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
    """Count the appends and the records of all partitions in the log.

    The records of one append share their `appended_at`.
    """
    appends = 0
    record_count = 0
    for partition in range(PARTITIONS):
        stored = read_partition(site, partition)
        appends += len({record['appended_at'] for record in stored})
        record_count += len(stored)
    return appends, record_count


def read_partition(
    site: action_site.Site, partition: int
) -> list[dict[str, float]]:
    """Return all stored records of a partition."""
    path = f'/v1/streams/attempts.{partition}/records?from=0&limit=1000000'
    records: list[dict[str, float]] = action_site.request(
        'GET',
        site.log_address,
        path,
    ).body['records']
    return records


def read_cpu_seconds(site: action_site.Site, name: str) -> float:
    """Return the processor time of a process in seconds.

    The user and the system time are fields 14 and 15 of `/proc/PID/stat`, so 11
    and 12 counted from 0 after the command name. Their unit is the clock tick,
    1/100 s on Linux.
    """
    path = pathlib.Path(f'/proc/{site.processes[name].pid}/stat')
    fields = path.read_text().rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100


def compute_percentile_ms(latencies: list[float], share: float) -> float:
    """Return a percentile of latencies in milliseconds."""
    if not latencies:
        return 0
    ordered = sorted(latencies)
    return round(1000 * ordered[int(share * (len(ordered) - 1))], 1)


def measure_rate(rate: float) -> Row:
    """Measure one rate on a new site."""
    site = action_site.Site(services=1, entries=1)
    try:
        site.start()
        # The entry instance reads all partitions only after it has found
        # that it has no peers.
        time.sleep(4)
        idempotent = ActionLoad(site.entries[0], is_keyed=False)
        idempotent.run(20, 3)
        warm_up = ActionLoad(site.entries[0], is_keyed=True)
        warm_up.run(rate, WARM_UP_SECONDS)
        return measure_started_site(
            rate, site, compute_percentile_ms(idempotent.latencies, 0.5)
        )
    finally:
        site.stop()


def measure_started_site(
    rate: float, site: action_site.Site, idempotent_p50_ms: float
) -> Row:
    """Measure one rate on a site that has started."""
    appends_before, records_before = count_appends(site)
    executions_before = read_execution_count(site)
    cpu_before = [read_cpu_seconds(site, name) for name in ('entry-0', 'log')]
    load = ActionLoad(site.entries[0], is_keyed=True)
    started = time.monotonic()
    load.run(rate, MEASUREMENT_SECONDS)
    elapsed_seconds = time.monotonic() - started
    cpu = [read_cpu_seconds(site, name) for name in ('entry-0', 'log')]
    time.sleep(1)
    appends, record_count = count_appends(site)
    return Row(
        wanted_per_second=rate,
        done_per_second=round(len(load.latencies) / elapsed_seconds, 1),
        not_done=load.not_done,
        executions=read_execution_count(site) - executions_before,
        appends_per_second=round(
            (appends - appends_before) / elapsed_seconds, 1
        ),
        records_per_append=round(
            (record_count - records_before) / max(appends - appends_before, 1),
            2,
        ),
        latency_p50_ms=compute_percentile_ms(load.latencies, 0.5),
        latency_p95_ms=compute_percentile_ms(load.latencies, 0.95),
        idempotent_p50_ms=idempotent_p50_ms,
        entry_cpu_cores=round((cpu[0] - cpu_before[0]) / elapsed_seconds, 2),
        log_cpu_cores=round((cpu[1] - cpu_before[1]) / elapsed_seconds, 2),
    )


def read_execution_count(site: action_site.Site) -> int:
    """Return how many actions with a key the service has executed."""
    ledger = action_site.request('GET', site.services[0], '/ledger').body
    return sum(ledger['by_key'].values())


def measure_bytes_per_key() -> int:
    """Return the memory in bytes of one answered key in an attempt table."""
    tracemalloc.start()
    table = build_attempt_table(KEYS_IN_MEMORY)
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return traced_bytes // len(table.keys)


def build_attempt_table(count: int) -> attempts.AttemptTable:
    """Build a table of answered keys as a reader of the log does.

    Records are encoded and decoded first, so that their strings take as much
    memory as at a reader.
    """
    table = attempts.AttemptTable()
    answer = base64.b64encode(b'x' * ANSWER_BYTES).decode()
    for number in range(count):
        key = action_site.generate_key(number)
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
    results = {
        'append_limit_per_second': APPEND_LIMIT_PER_SECOND,
        'entries': 1,
        'bytes_per_key': measure_bytes_per_key(),
        'answer_bytes': ANSWER_BYTES,
        'load_average_1_min': os.getloadavg()[0],
        'processors': os.cpu_count(),
        'rows': rows,
    }
    RESULTS_PATH.write_text(f'{json.dumps(results, indent=2)}\n')


if __name__ == '__main__':
    main()
