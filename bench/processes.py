"""Start, stop, suspend and kill processes, and send them HTTP requests."""

import contextlib
import dataclasses
import json
import os
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import time
import types
import typing
from collections import abc
from http import client

MAXIMUM_OCTET = 254
ROOT = pathlib.Path(__file__).resolve().parent.parent
HTTP_TIMEOUT_SECONDS = 5.0
POLL_PERIOD_SECONDS = 0.05
KILL_TIMEOUT_SECONDS = 5.0
LOG_TAIL_BYTES = 2000


class ProcessError(Exception):
    """Report a process that did not start, answer or stop as expected."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessSpec:
    """Describe a process: `python -m module arguments`.

    `address` is the `host:port` that it serves, `name` is unique at its site.
    """

    name: str
    module: str
    address: str
    arguments: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Hold the status and body of an HTTP answer."""

    status: int
    body: bytes

    def decode_json(self) -> typing.Any:
        """Decode the body."""
        return json.loads(self.body)


def find_free_addresses(count: int) -> tuple[str, ...]:
    """Find free addresses on a random loopback host for one site.

    On 127.0.0.1 a connection of another process can take a port between its
    choice and its use. All sockets are bound before the first is closed, so
    that no port is found twice.
    """
    octets = (secrets.randbelow(MAXIMUM_OCTET) + 1 for _ in range(3))
    host = '.'.join(('127', *map(str, octets)))
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((host, 0))
        return tuple(f'{host}:{probe.getsockname()[1]}' for probe in probes)


class Startable:
    """Start at the beginning of a `with` statement and stop at its end."""

    def start(self) -> None:
        """Start everything."""
        raise NotImplementedError

    def stop(self) -> None:
        """Stop everything that was started."""
        raise NotImplementedError

    def __enter__(self) -> typing.Self:
        """Start everything, or stop what has started."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Stop everything."""
        self.stop()


def send_request(
    method: str,
    address: str,
    target: str,
    body: typing.Any = None,
) -> HttpAnswer:
    """Send one HTTP request with a JSON body; raise `OSError` on failure."""
    connection = client.HTTPConnection(address, timeout=HTTP_TIMEOUT_SECONDS)
    try:
        encoded = b'' if body is None else json.dumps(body).encode()
        connection.request(
            method,
            target,
            encoded,
            {'Content-Type': 'application/json'},
        )
        answer = connection.getresponse()
        return HttpAnswer(answer.status, answer.read())
    except client.HTTPException as error:
        raise ConnectionError(f'{method} {address}{target}: {error}') from error
    finally:
        connection.close()


def wait_until(
    is_met: abc.Callable[[], bool],
    timeout_seconds: float,
    condition: str,
) -> None:
    """Poll until a condition is met; raise `ProcessError` on a timeout."""
    deadline = time.monotonic() + timeout_seconds
    while not is_met():
        if time.monotonic() > deadline:
            raise ProcessError(f'{condition}: not within {timeout_seconds} s')
        time.sleep(POLL_PERIOD_SECONDS)


def is_answering(address: str, target: str, status: int | None = None) -> bool:
    """Return whether a GET is answered, with the given status if any."""
    try:
        answer = send_request('GET', address, target)
    except OSError:
        return False
    return status is None or answer.status == status


class Process:
    """Control one process; its output goes to a file of its own."""

    def __init__(self, spec: ProcessSpec, log_directory: pathlib.Path) -> None:
        self.spec = spec
        self.log_path = log_directory / f'{spec.name}.log'
        self.popen: subprocess.Popen[bytes] | None = None

    @property
    def process_id(self) -> int:
        """Return the id of the running or last process."""
        if self.popen is None:
            raise ProcessError(f'{self.spec.name} was not started')
        return self.popen.pid

    @property
    def is_running(self) -> bool:
        """Return whether the process runs or is suspended."""
        return self.popen is not None and self.popen.poll() is None

    def start(self) -> None:
        """Start the process; its output is appended to the log file."""
        if self.is_running:
            raise ProcessError(f'{self.spec.name} is running already')
        command = [
            sys.executable,
            '-m',
            self.spec.module,
            *self.spec.arguments,
        ]
        path = os.pathsep.join((str(ROOT / 'src'), str(ROOT)))
        with self.log_path.open('ab') as log:
            self.popen = subprocess.Popen(
                command,
                cwd=ROOT,
                env=os.environ | {'PYTHONPATH': path},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.popen is not None and self.is_running:
            self.popen.send_signal(number)

    def freeze(self) -> None:
        """Suspend the process; the kernel still accepts connections for it.

        On a busy machine the signal takes effect late, so wait until it has.
        """
        if not self.is_running:
            return
        self.signal(signal.SIGSTOP)
        awaited = os.WSTOPPED | os.WEXITED | os.WNOWAIT
        os.waitid(os.P_PID, self.process_id, awaited)

    def resume(self) -> None:
        """Resume a suspended process."""
        self.signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        self.wait(KILL_TIMEOUT_SECONDS)

    def request_stop(self) -> None:
        """Request a graceful shutdown of the process, which may be suspended."""
        self.signal(signal.SIGTERM)
        self.resume()

    def stop(self, timeout_seconds: float) -> int:
        """Stop the process gracefully, or kill it after the timeout."""
        self.request_stop()
        try:
            return self.wait(timeout_seconds)
        except ProcessError:
            self.kill()
            return self.wait(KILL_TIMEOUT_SECONDS)

    def wait(self, timeout_seconds: float) -> int:
        """Return the exit status once the process has ended."""
        if self.popen is None:
            return 0
        try:
            return self.popen.wait(timeout_seconds)
        except subprocess.TimeoutExpired as error:
            raise ProcessError(
                f'{self.spec.name} still runs after {timeout_seconds} s',
            ) from error

    def read_log_tail(self) -> str:
        """Return the last bytes of the log for error messages."""
        text = self.log_path.read_bytes() if self.log_path.exists() else b''
        return text[-LOG_TAIL_BYTES:].decode(errors='replace')

    def check_running(self) -> None:
        """Raise `ProcessError` with the end of the log if the process ended."""
        if not self.is_running:
            raise ProcessError(
                f'{self.spec.name} ended:\n{self.read_log_tail()}'
            )
