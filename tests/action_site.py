"""Run a small site as child processes for tests of actions."""

import contextlib
import dataclasses
import functools
import hashlib
import http.client
import itertools
import json
import os
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing
from collections import abc

from bench import processes

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_SECONDS = 15.0
DEADLINE_SECONDS = 20.0
# The token buckets of a new instance are empty. While only its peer reports
# demand, its share of the limit below is 10 requests per second.
BUCKET_FILL_SECONDS = 0.3
DAEMON = 'mustardvale.daemon'
ACCOUNT_KEY = 'cellar-hands-key'
SERVICE = 'cellar-ledger'

DOCUMENT = f"""
format = 1
environment = "production"

[[pools]]
name = "cellar-ledger"
kind = "service"

[[services]]
name = "cellar-ledger"
pool = "cellar-ledger"

[[services.operations]]
name = "log-wheel"
idempotent = false

[[services.operations]]
name = "read-rack"
idempotent = true

[[client_accounts]]
name = "cellar-hands"
key_sha256 = "{hashlib.sha256(ACCOUNT_KEY.encode()).hexdigest()}"
priority = "urgent"
requests_per_second = 200.0
tokens_per_second = 2000.0
services = ["cellar-ledger"]
"""


@dataclasses.dataclass(frozen=True)
class Answer:
    """Hold the status, headers and decoded body of a response."""

    status: int
    headers: dict[str, str]
    body: typing.Any

    @property
    def code(self) -> str:
        """Return the error code, empty if there is none."""
        return str(self.body.get('error', {}).get('code', ''))

    @property
    def outcome(self) -> str:
        """Return the outcome of an error response."""
        return str(self.body['error']['outcome'])


def generate_key(age_seconds: float = 0) -> str:
    """Return a UUID version 7 whose time is `age_seconds` ago."""
    milliseconds = int((time.time() - age_seconds) * 1000)
    number = milliseconds << 80 | secrets.randbits(80)
    number = number & ~(0xF << 76) | 7 << 76
    number = number & ~(0x3 << 62) | 2 << 62
    text = f'{number:032x}'
    return '-'.join(
        (text[:8], text[8:12], text[12:16], text[16:20], text[20:]),
    )


def request(
    method: str,
    address: str,
    path: str,
    body: typing.Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = DEADLINE_SECONDS,
) -> Answer:
    """Send one request and return its response."""
    host, _, port = address.rpartition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    with contextlib.closing(connection):
        connection.request(
            method,
            path,
            json.dumps(body).encode() if body is not None else b'',
            headers or {},
        )
        answer = connection.getresponse()
        text = answer.read()
        fields = {name.lower(): text for name, text in answer.getheaders()}
        return Answer(answer.status, fields, json.loads(text or b'{}'))


def wait_until(check: abc.Callable[[], bool], description: str) -> None:
    """Wait until a check returns true, or raise `TimeoutError`."""
    end = time.monotonic() + START_SECONDS
    while time.monotonic() < end:
        with contextlib.suppress(OSError, http.client.HTTPException):
            if check():
                return
        time.sleep(0.05)
    raise TimeoutError(description)


class Site:
    """Run the log, the instance list, services and entry instances."""

    def __init__(self, services: int = 1, entries: int = 2) -> None:
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.directory = tempfile.TemporaryDirectory()
        free = iter(processes.find_free_addresses(2 + services + 2 * entries))
        self.log_address = next(free)
        self.list_address = next(free)
        self.services = list(itertools.islice(free, services))
        self.entries = list(itertools.islice(free, entries))
        self.peers = list(itertools.islice(free, entries))

    def start(self) -> None:
        """Start all processes and wait until the entries are ready."""
        self.spawn('log', 'standins.log_main', f'--address={self.log_address}')
        self.spawn(
            'list', 'standins.list_main', f'--address={self.list_address}'
        )
        for number in range(len(self.services)):
            self.spawn_service(number)
        for address in (self.log_address, self.list_address, *self.services):
            wait_until(
                functools.partial(is_listening, address),
                f'{address} is open',
            )
        self.publish()
        for number in range(len(self.entries)):
            self.spawn_entry(number)
        for number in range(len(self.entries)):
            self.wait_until_ready(number)

    def spawn(self, name: str, module: str, *arguments: str) -> None:
        """Start one process."""
        environment = dict(os.environ, PYTHONPATH=f'{ROOT}/src:{ROOT}')
        path = pathlib.Path(self.directory.name) / f'{name}.log'
        with path.open('ab') as output:
            self.processes[name] = subprocess.Popen(
                [
                    sys.executable,
                    *build_interpreter_arguments(module),
                    *arguments,
                ],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )

    def spawn_service(self, number: int) -> None:
        """Start an action service."""
        self.spawn(
            f'service-{number}',
            'standins.action_service_main',
            f'--address={self.services[number]}',
            f'--instance-id=service-{number}',
        )

    def spawn_entry(self, number: int) -> None:
        """Start an entry instance."""
        self.spawn(
            f'entry-{number}',
            DAEMON,
            f'--instance-id=entry-{number}',
            f'--address={self.entries[number]}',
            f'--peer-address={self.peers[number]}',
            '--availability-zone=melton-vault',
            '--environment=production',
            f'--log-address={self.log_address}',
            f'--list-address={self.list_address}',
            f'--seed={number + 1}',
        )

    def publish(self) -> None:
        """List all instances and promote the document."""
        rows = [
            build_row(f'service-{number}', SERVICE, address)
            for number, address in enumerate(self.services)
        ] + [
            build_row(f'entry-{number}', 'entry', address, self.peers[number])
            for number, address in enumerate(self.entries)
        ]
        request('PUT', self.list_address, '/v1/instances', {'instances': rows})
        promotion = {
            'promotion_id': 'first',
            'operator': 'test',
            'based_on_version': 0,
            'based_on_offset': -1,
            'document': DOCUMENT,
        }
        request(
            'POST',
            self.log_address,
            '/v1/streams/environment.production/records',
            {'records': [{'kind': 'promotion', 'fields': promotion}]},
        )

    def wait_until_ready(self, number: int) -> None:
        """Wait until an entry can admit requests; raise its log if not ready.

        An entry that is ready may still refuse its first requests by the rate
        limit, since its token buckets start empty.
        """
        try:
            wait_until(lambda: self.is_ready(number), f'entry {number} ready')
        except TimeoutError as error:
            path = pathlib.Path(self.directory.name) / f'entry-{number}.log'
            raise TimeoutError(path.read_text()) from error
        time.sleep(BUCKET_FILL_SECONDS)

    def is_ready(self, number: int) -> bool:
        """Return whether an entry is ready and knows upstreams and peers."""
        entry = self.entries[number]
        if request('GET', entry, '/readyz').status != 200:
            return False
        status = request('GET', entry, '/v1/status').body
        states = [upstream['state'] for upstream in status['upstreams']]
        return states == ['usable'] * len(self.services) and len(
            status['instances']
        ) == len(self.entries)

    def request_action(
        self,
        entry: int,
        key: str = '',
        operation: str = 'log-wheel',
        body: typing.Any = 'wheel 7',
        deadline_ms: int = 8000,
    ) -> Answer:
        """Request an action from an entry."""
        headers = {
            'Authorization': f'Bearer {ACCOUNT_KEY}',
            'Mustardvale-Deadline-Ms': str(deadline_ms),
        }
        if key:
            headers['Idempotency-Key'] = key
        path = f'/v1/actions/{SERVICE}/{operation}'
        return request('POST', self.entries[entry], path, body, headers)

    def wait_until_stored(self, key: str) -> None:
        """Repeat an action until all entries return the stored answer."""
        for entry in range(len(self.entries)):
            wait_until(
                functools.partial(self.is_stored, entry, key),
                f'the answer to {key} is stored',
            )

    def is_stored(self, entry: int, key: str) -> bool:
        """Return whether an entry replays the stored answer for a key."""
        answer = self.request_action(entry, key)
        return answer.headers.get('mustardvale-replayed') == 'true'

    def count_executions(self, key: str) -> int:
        """Return how often the running services executed a key."""
        ledgers = [
            request('GET', address, '/ledger').body
            for number, address in enumerate(self.services)
            if self.processes[f'service-{number}'].poll() is None
        ]
        return sum(ledger['by_key'].get(key, 0) for ledger in ledgers)

    def set_faults(self, address: str, **faults: typing.Any) -> None:
        """Set the faults of a stand-in."""
        request('POST', address, '/faults', faults)

    def kill(self, name: str) -> None:
        """Kill one process."""
        process = self.processes[name]
        process.send_signal(signal.SIGKILL)
        process.wait()

    def stop(self) -> None:
        """Kill all processes and remove the logs."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self.directory.cleanup()


def build_interpreter_arguments(module: str) -> tuple[str, str]:
    """Return the arguments of the interpreter that start a module."""
    if module == DAEMON:
        return ('-c', f'from {DAEMON} import main; main()')
    return ('-m', module)


def build_row(
    instance_id: str,
    pool: str,
    address: str,
    peer_address: str = '',
) -> dict[str, str]:
    """Build one row of the instance list."""
    return {
        'instance_id': instance_id,
        'pool': pool,
        'address': address,
        'availability_zone': 'melton-vault',
        'peer_address': peer_address,
    }


def is_listening(address: str) -> bool:
    """Return whether a process accepts connections at an address."""
    host, _, port = address.rpartition(':')
    with socket.create_connection((host, int(port)), timeout=1):
        return True
