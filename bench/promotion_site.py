"""Start entry instances with stand-ins for the log and instance list."""

import contextlib
import dataclasses
import functools
import json
import os
import pathlib
import subprocess
import sys
import time
import typing
from collections import abc
from urllib import error, request

from bench import processes

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 5.0
POLL_PERIOD_SECONDS = 0.02
HTTP_TIMEOUT_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class CommandResult:
    """Hold the exit code and the output of the command-line tool."""

    exit_code: int
    output: str
    error_output: str

    @property
    def report(self) -> dict[str, typing.Any]:
        """Decode the report of a command with `--json`."""
        decoded: dict[str, typing.Any] = json.loads(self.output)
        return decoded


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Hold the identity and the addresses of one entry instance."""

    instance_id: str
    address: str
    peer_address: str
    availability_zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """Hold the addresses of a running site."""

    log_address: str
    list_address: str
    entries: tuple[Entry, ...]
    environment: str = 'production'
    retention_seconds: float = 3600

    def start_command(self, *arguments: str) -> 'subprocess.Popen[str]':
        """Start the command-line tool."""
        entry_addresses = ','.join(entry.address for entry in self.entries)
        return subprocess.Popen(
            [sys.executable, '-m', 'mustardvale.command', *arguments],
            cwd=ROOT,
            env={
                **build_environment(),
                'MUSTARDVALE_LOG_ADDRESS': self.log_address,
                'MUSTARDVALE_ENTRY_ADDRESS': entry_addresses,
            },
            text=True,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )

    def run_command(self, *arguments: str) -> CommandResult:
        """Run the command-line tool and wait for its end."""
        return wait_for_command(self.start_command(*arguments))

    def read_own_status(self, entry: Entry) -> dict[str, typing.Any]:
        """Return the row of an instance in its own status."""
        status = send_request('GET', entry.address, '/v1/status')
        row: dict[str, typing.Any] = status['instances'][0]
        return row

    def wait_for_version(
        self,
        version: int,
        seconds: float = START_TIMEOUT_SECONDS,
    ) -> tuple[dict[str, typing.Any], ...]:
        """Return the status of each instance once all have a version."""
        return tuple(
            wait_until(
                functools.partial(self.read_status_since, entry, version),
                seconds,
                f'version {version} at {entry.instance_id}',
            )
            for entry in self.entries
        )

    def read_status_since(
        self, entry: Entry, version: int
    ) -> dict[str, typing.Any] | None:
        """Return the status of an instance once it has a version."""
        row = self.read_own_status(entry)
        return row if row['document_version'] >= version else None


def build_environment() -> dict[str, str]:
    """Build the environment variables of the processes."""
    return {**os.environ, 'PYTHONPATH': f'{ROOT / "src"}:{ROOT}'}


def wait_for_command(process: 'subprocess.Popen[str]') -> CommandResult:
    """Wait for the end of the command-line tool."""
    output, errors = process.communicate(timeout=START_TIMEOUT_SECONDS)
    return CommandResult(process.returncode, output, errors)


def send_request(
    method: str, address: str, path: str, body: typing.Any = None
) -> typing.Any:
    """Send an HTTP request with a JSON body; return the decoded answer."""
    encoded = None if body is None else json.dumps(body).encode()
    sent = request.Request(
        f'http://{address}{path}',
        data=encoded,
        method=method,
        headers={'content-type': 'application/json'},
    )
    with request.urlopen(sent, timeout=HTTP_TIMEOUT_SECONDS) as answer:
        return json.loads(answer.read())


def wait_until(
    probe: abc.Callable[[], typing.Any], seconds: float, condition: str
) -> typing.Any:
    """Poll until a result of `probe` is true, and return it.

    Raises `TimeoutError` after the given seconds.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        with contextlib.suppress(error.URLError, ConnectionError):
            outcome = probe()
            if outcome:
                return outcome
        time.sleep(POLL_PERIOD_SECONDS)
    raise TimeoutError(f'{condition}: not within {seconds:g} s')


def start_process(
    stack: contextlib.ExitStack,
    *arguments: str,
) -> 'subprocess.Popen[bytes]':
    """Start one process, which stops when the exit stack closes."""
    process = subprocess.Popen(
        [sys.executable, '-m', *arguments],
        cwd=ROOT,
        env=build_environment(),
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    stack.callback(stop_process, process)
    return process


def stop_process(process: 'subprocess.Popen[bytes]') -> None:
    """Stop one process, or kill it after a timeout."""
    process.terminate()
    try:
        process.wait(STOP_TIMEOUT_SECONDS)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def start_entry(
    stack: contextlib.ExitStack,
    site: Site,
    entry: Entry,
) -> 'subprocess.Popen[bytes]':
    """Start one entry instance."""
    return start_process(
        stack,
        'mustardvale.daemon',
        f'--instance-id={entry.instance_id}',
        f'--address={entry.address}',
        f'--peer-address={entry.peer_address}',
        f'--availability-zone={entry.availability_zone}',
        f'--environment={site.environment}',
        f'--log-address={site.log_address}',
        f'--list-address={site.list_address}',
        f'--log-retention-seconds={site.retention_seconds}',
        '--address-validity-seconds=1',
    )


def build_site(entry_count: int, retention_seconds: float) -> Site:
    """Choose the addresses of a site without starting it."""
    log_address, list_address, *rest = processes.find_free_addresses(
        2 + 2 * entry_count
    )
    entries = tuple(
        Entry(f'entry-{index}', address, peer_address, f'zone-{index % 3}')
        for index, (address, peer_address) in enumerate(
            zip(rest[:entry_count], rest[entry_count:], strict=True)
        )
    )
    return Site(
        log_address,
        list_address,
        entries,
        retention_seconds=retention_seconds,
    )


def start_platform(stack: contextlib.ExitStack, site: Site) -> None:
    """Start the log and the instance list."""
    start_process(
        stack,
        'standins.log_main',
        site.log_address,
        f'--retention-seconds={site.retention_seconds}',
    )
    start_process(stack, 'standins.list_main', site.list_address)
    probe = functools.partial(write_instance_list, site)
    wait_until(probe, START_TIMEOUT_SECONDS, 'instance list')


def wait_for_start(entry: Entry) -> None:
    """Wait until an entry instance answers."""
    probe = functools.partial(send_request, 'GET', entry.address, '/livez')
    wait_until(probe, START_TIMEOUT_SECONDS, entry.instance_id)


@contextlib.contextmanager
def run_site(
    entry_count: int,
    retention_seconds: float = 3600,
) -> abc.Iterator[Site]:
    """Run a site, and stop all of its processes at the end of the context."""
    site = build_site(entry_count, retention_seconds)
    with contextlib.ExitStack() as stack:
        start_platform(stack, site)
        for entry in site.entries:
            start_entry(stack, site, entry)
        for entry in site.entries:
            wait_for_start(entry)
        yield site


def write_instance_list(site: Site) -> typing.Any:
    """Write all entry instances to the instance list."""
    rows = [
        {**dataclasses.asdict(entry), 'pool': 'entry'} for entry in site.entries
    ]
    return send_request(
        'PUT', site.list_address, '/v1/instances', {'instances': rows}
    )
