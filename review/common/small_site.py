"""Run a small site: the project's entry instances, on stand-ins.

The entry instances are started with the command of the deploy file, at free
loopback addresses, with the settings that the template of the deploy file
renders for a small deployment.
"""

import asyncio
import json
import os
import pathlib
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing

import http1
import store as stores

ROOT = pathlib.Path(__file__).resolve().parents[2]
ENTRY_COMMAND = (sys.executable, 'deploy/run_entry.py')
SETTINGS_VARIABLE = 'MUSTARDVALE_NODE_FILE'
HOST = 'portal.example'
KEY = 'n2ctnfzs989anu6wsjnb'
START_TIMEOUT_SECONDS = 20.0
BROKEN_STATUS = 10
# Bounds of the sheets of both sites.
DRAIN_SECONDS = 2.0
GRACE_SECONDS = 8.0
CONTACT_SECONDS = 3.0
REVOKE_MS = 5000


class CannotRun(Exception):
    """Report that a case could not be set up."""


def choose_host() -> str:
    """Return a random loopback address, on which all ports are free."""
    return '127.' + '.'.join(str(secrets.randbelow(250) + 2) for _ in range(3))


def find_free_ports(host: str, count: int) -> list[int]:
    """Return free ports of a loopback address."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((host, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


class Recorder:
    """Write what was sent, answered and run to `record.txt`."""

    def __init__(self, path: pathlib.Path) -> None:
        self.started_at = time.time()
        self.lines: list[dict[str, typing.Any]] = []
        self.opened = path.open('w')

    def record(self, event: str, **fields: typing.Any) -> None:
        """Write a line with the seconds since the start."""
        line = {'event': event, 'at': time.time(), **fields}
        self.lines.append(line)
        details = ' '.join(f'{name}={text}' for name, text in fields.items())
        seconds = line['at'] - self.started_at
        self.opened.write(f'{seconds:8.3f} {event} {details}\n')
        self.opened.flush()

    def say(self, text: str) -> None:
        """Write a conclusion to the record and to standard output."""
        self.opened.write(f'{text}\n')
        self.opened.flush()
        print(text, flush=True)


class Entry:
    """Control one entry instance, a process of its own."""

    def __init__(
        self, name: str, zone: str, store_address: str, folder: pathlib.Path
    ) -> None:
        self.name = name
        self.zone = zone
        self.host = choose_host()
        front, ready, directory, metrics, peers = find_free_ports(self.host, 5)
        self.front = (self.host, front)
        self.ready = (self.host, ready)
        self.directory = (self.host, directory)
        self.metrics = (self.host, metrics)
        self.settings_path = folder / f'{name}.toml'
        self.log_path = folder / f'{name}.log'
        self.process: subprocess.Popen | None = None
        fields = {
            'instance-id': name,
            'availability-zone': zone,
            'region': 'astana',
            'front-address': f'{self.host}:{front}',
            'readiness-address': f'{self.host}:{ready}',
            'directory-address': f'{self.host}:{directory}',
            'metrics-port': metrics,
            'peer-port': peers,
            'store-address': store_address,
            'strict-revocation': True,
            'revocation-ms': REVOKE_MS,
            'stop-seconds': GRACE_SECONDS,
            'retry-ratio': 0.2,
            'retry-window-seconds': 10,
            'retry-slack': 196,
            'longest-validity-seconds': 5,
        }
        self.settings_path.write_text(
            ''.join(
                f'{name} = {json.dumps(setting)}\n'
                for name, setting in fields.items()
            )
        )

    def start(self) -> None:
        """Start the process as the deploy file does."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment[SETTINGS_VARIABLE] = str(self.settings_path)
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                ENTRY_COMMAND,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def ask_readiness(self) -> int:
        """Return the status of the readiness page, or 0 without an answer."""
        try:
            answer = await asyncio.wait_for(
                call(self.ready, 'GET', '/api/readiness', {'Host': self.host}),
                1.0,
            )
        except (OSError, http1.ProtocolError, TimeoutError):
            return 0
        return answer.status if answer else 0

    async def wait_until_ready(
        self, seconds: float = START_TIMEOUT_SECONDS
    ) -> bool:
        """Wait until the instance says that it is ready."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.ask_readiness() == 200:
                return True
            await asyncio.sleep(0.05)
        return False


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b'',
) -> http1.Message | None:
    """Send a request on a new connection, and return its answer."""
    reader, writer = await asyncio.open_connection(
        *address, limit=http1.MAXIMUM_LINE_BYTES
    )
    try:
        writer.write(http1.encode(f'{method} {target} HTTP/1.1', headers, body))
        await writer.drain()
        return await http1.read_message(reader)
    finally:
        writer.close()


class Site:
    """Hold the store, the entry instances and the record of a case."""

    def __init__(self, case_folder: pathlib.Path, page_size: int = 500) -> None:
        self.recorder = Recorder(case_folder / 'record.txt')
        self.record = self.recorder.record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.store = stores.Store(page_size)
        self.entries: list[Entry] = []
        self.version = 0
        self.request_count = 0

    async def write_configuration(
        self,
        routes: list[dict[str, typing.Any]],
        engine: dict[str, object] | None = None,
    ) -> float:
        """Write the next version; return the time of its confirmation.

        With an engine, the services are those of model runners.
        """
        self.version += 10
        configuration = {
            'version': self.version,
            'routes': routes,
            'services': [
                {'name': name, **({'engine': engine} if engine else {})}
                for name in sorted({route['service'] for route in routes})
            ],
            'limits': {
                'max-header-bytes': 16384,
                'max-body-bytes': 4194304,
                'header-timeout-ms': 3000,
                'idle-timeout-ms': 15000,
            },
            'tenants': [{'name': 'hule930', 'api-keys': [KEY]}],
        }
        confirmed_at = await self.store.write(
            stores.OPERATOR, b'config', json.dumps(configuration).encode()
        )
        self.record('configuration', version=self.version)
        return confirmed_at

    async def add_entry(self, name: str, zone: str) -> Entry:
        """Add an entry instance, which is not started yet."""
        store_address = await self.store.listen(choose_host(), name)
        entry = Entry(name, zone, store_address, self.folder)
        self.entries.append(entry)
        return entry

    async def start_entry(self, entry: Entry) -> None:
        """Start an entry instance and wait until it is ready."""
        entry.start()
        self.record('started', entry=entry.name)
        if not await entry.wait_until_ready():
            raise CannotRun(f'{entry.name} is not ready')
        self.record('ready', entry=entry.name)

    async def send(
        self,
        entry: Entry,
        method: str,
        path: str,
        deadline_ms: int = 3000,
        body: bytes = b'',
        prompt: dict[str, str] | None = None,
    ) -> http1.Message | None:
        """Send a request with a key, and record its answer.

        `prompt` holds the headers of a model request.
        """
        self.request_count += 1
        attempt_id = f'q{self.request_count:06d}'
        headers = {
            'Host': HOST,
            'Attempt-Id': attempt_id,
            'Deadline-Ms': str(deadline_ms),
            'Api-Key': KEY,
            **(prompt or {}),
        }
        self.record('sent', entry=entry.name, id=attempt_id, method=method)
        answer, problem = None, ''
        try:
            answer = await asyncio.wait_for(
                call(entry.front, method, path, headers, body),
                deadline_ms / 1000,
            )
        except TimeoutError:
            problem = 'no answer in time'
        except (OSError, http1.ProtocolError) as error:
            problem = repr(error)
        status = answer.status if answer else 'none'
        headers = answer.headers if answer else {}
        self.record(
            'answered',
            id=attempt_id,
            status=status,
            stamp=headers.get('server-stamp', ''),
            leaving=headers.get('server-leaving', ''),
            why=problem,
        )
        return answer

    def end(self) -> None:
        """Kill all processes that were started, and remove their files."""
        for entry in self.entries:
            entry.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def build_route(
    name: str, kind: str, service: str, timeout_ms: int = 3000
) -> dict[str, typing.Any]:
    """Return a route like those of the handbook portal's plain service."""
    return {
        'name': name,
        'host': HOST,
        'path-prefix': f'/{name}/',
        'kind': kind,
        'timeout-ms': timeout_ms,
        'target-latency-ms': 400,
        'max-attempts': 2 if kind == 'idempotent' else 1,
        'priority': 2,
        'service': service,
    }


async def play_until_signal(case: typing.Awaitable[bool]) -> bool:
    """Play a case; SIGTERM cancels it, so that its processes end too."""
    task = asyncio.ensure_future(case)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


def build_streaming_route(name: str, service: str) -> dict[str, typing.Any]:
    """Return a route like those of the handbook portal's model runners."""
    return {
        **build_route(name, 'streaming', service, 20_000),
        'target-latency-ms': 500,
        'gap-target-ms': 250,
        'max-attempts': 2,
        'priority': 1,
        'resumable': True,
        'sticky': True,
    }


def run_case(play: typing.Callable[..., typing.Any], case_file: str) -> None:
    """Run a case; `common/run.sh` maps the exit status.

    It is `BROKEN_STATUS` if the rule was broken, and 0 if it held. Anything
    else, such as the 1 of an exception, means that the case could not run.
    """
    folder = pathlib.Path(case_file).resolve().parent
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        is_broken = asyncio.run(play_until_signal(play(folder, has_trouble)))
    except (CannotRun, asyncio.CancelledError) as error:
        print(f'the case could not run: {error!r}', flush=True)
        sys.exit(2)
    sys.exit(BROKEN_STATUS if is_broken else 0)
