"""Run entry instances with their stand-ins as processes, for tests."""

import http.client
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
import typing

from bench import processes as bench_processes

ROOT = pathlib.Path(__file__).resolve().parent.parent
DOCUMENT = ROOT / 'examples' / 'cooperative.toml'
START_TIMEOUT_SECONDS = 20.0


def send_request(
    address: str,
    method: str,
    path: str,
    body: typing.Any = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, bytes]:
    """Send one request and return the status and the body of its answer."""
    host, _, port = address.rpartition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    try:
        encoded = None if body is None else json.dumps(body).encode()
        connection.request(method, path, encoded, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read()
    finally:
        connection.close()


class Site:
    """Hold the processes of a small site; `stop` ends exactly these."""

    def __init__(self) -> None:
        self.processes: list[subprocess.Popen[bytes]] = []
        self.error_log = tempfile.TemporaryFile()
        self.log_address = bench_processes.find_free_addresses(1)[0]
        self.list_address = bench_processes.find_free_addresses(1)[0]
        self.address = ''
        self.peer_address = ''
        self.addresses: tuple[str, ...] = ()
        self.peer_addresses: tuple[str, ...] = ()
        self.runners: tuple[str, ...] = ()
        self.runner_processes: list[subprocess.Popen[bytes]] = []
        self.entry: subprocess.Popen[bytes] | None = None

    def start(
        self,
        runner_count: int = 1,
        entry_count: int = 1,
        iteration_ms: float = 4,
        **flags: typing.Any,
    ) -> None:
        """Start all processes and wait until every instance is ready."""
        self.spawn('standins.log_main', address=self.log_address)
        self.spawn('standins.list_main', address=self.list_address)
        self.runners = tuple(
            bench_processes.find_free_addresses(1)[0]
            for _ in range(runner_count)
        )
        for number, address in enumerate(self.runners):
            process = self.spawn(
                'standins.engine_main',
                address=address,
                instance_id=f'runner-{number}',
                model='affinage',
                version='3',
                layers=24,
                first_layer=0,
                end_layer=24,
                adapters='rind',
                iteration_ms=iteration_ms,
            )
            self.runner_processes.append(process)
        self.start_entries(entry_count, **flags)
        self.retry(self.publish)
        self.retry(self.are_entries_ready)

    def start_entries(self, count: int, **flags: typing.Any) -> None:
        """Start the entry instances."""
        self.addresses = tuple(
            bench_processes.find_free_addresses(1)[0] for _ in range(count)
        )
        self.peer_addresses = tuple(
            bench_processes.find_free_addresses(1)[0] for _ in range(count)
        )
        self.address = self.addresses[0]
        self.peer_address = self.peer_addresses[0]
        processes = [
            self.spawn(
                'tests.guarded_entry',
                instance_id=f'entry-{number}',
                address=address,
                peer_address=self.peer_addresses[number],
                log_address=self.log_address,
                list_address=self.list_address,
                **flags,
            )
            for number, address in enumerate(self.addresses)
        ]
        self.entry = processes[0]

    def spawn(
        self, module: str, **flags: typing.Any
    ) -> subprocess.Popen[bytes]:
        """Start one module as a process."""
        process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                module,
                *(f'--{name}={value}' for name, value in flags.items()),
            ],
            cwd=ROOT,
            env={**os.environ, 'PYTHONPATH': 'src:.'},
            stdout=subprocess.DEVNULL,
            stderr=self.error_log,
        )
        self.processes.append(process)
        return process

    def retry(self, check: typing.Any) -> None:
        """Repeat a check until it passes or the start times out."""
        until = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < until:
            try:
                if check():
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise AssertionError(
            f'{check.__name__} failed; {self.read_error_log()}'
        )

    def publish(self) -> bool:
        """Register all instances in the list and promote the document."""
        rows = [
            {
                'instance_id': f'runner-{number}',
                'pool': 'mustardvale-pool',
                'address': address,
                'availability_zone': 'melton-vault',
            }
            for number, address in enumerate(self.runners)
        ]
        rows.extend(
            {
                'instance_id': f'entry-{number}',
                'pool': 'entry',
                'address': address,
                'peer_address': self.peer_addresses[number],
                'availability_zone': 'melton-vault',
            }
            for number, address in enumerate(self.addresses)
        )
        listed = {'instances': rows}
        send_request(self.list_address, 'PUT', '/v1/instances', listed)
        promotion = {
            'promotion_id': 'first',
            'operator': 'test',
            'based_on_version': 0,
            'based_on_offset': -1,
            'document': DOCUMENT.read_text(),
        }
        record = {'kind': 'promotion', 'fields': promotion}
        path = '/v1/streams/environment.production/records'
        send_request(self.log_address, 'POST', path, {'records': [record]})
        return True

    def are_entries_ready(self) -> bool:
        """Return whether every entry instance answers a request for a token."""
        for address in self.runners:
            send_request(address, 'GET', '/v1/load')
        statuses = [
            self.answer('how old', 1, address=address)[0]
            for address in self.addresses
        ]
        return statuses == [200] * len(self.addresses)

    def have_entries_heard_peers(self) -> bool:
        """Return whether every entry instance has heard all others."""
        return all(
            instance['state'] != 'unheard'
            for address in self.addresses
            for instance in json.loads(
                send_request(address, 'GET', '/v1/status')[1]
            )['instances']
        )

    def answer(
        self,
        prompt: str,
        tokens: int,
        account: str = 'colston-dairy',
        model: str = 'affinage',
        address: str = '',
    ) -> tuple[int, bytes]:
        """Ask for a model answer."""
        return send_request(
            address or self.address,
            'POST',
            '/v1/answers',
            {'model': model, 'prompt': prompt, 'maximum_tokens': tokens},
            {'Authorization': f'Bearer {account}-key'},
        )

    def begin_answer(
        self,
        prompt: str,
        tokens: int,
        address: str,
        account: str = 'colston-dairy',
    ) -> http.client.HTTPConnection:
        """Ask for a model answer; return its connection without waiting."""
        host, _, port = address.rpartition(':')
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        body = {
            'model': 'affinage',
            'prompt': prompt,
            'maximum_tokens': tokens,
        }
        connection.request(
            'POST',
            '/v1/answers',
            json.dumps(body).encode(),
            {'Authorization': f'Bearer {account}-key'},
        )
        return connection

    def read_error_log(self) -> str:
        """Return what all processes wrote to standard error."""
        self.error_log.seek(0)
        return self.error_log.read().decode()

    def stop(self) -> None:
        """End the processes that were started here."""
        for process in self.processes:
            process.kill()
            process.wait()
        self.error_log.close()
