"""Test what an instance owes to callers after it stood still for a while."""

import contextlib
import signal
import socket
import time
import typing
import unittest
from unittest import mock

from tests import relay_site

CALLER_COUNT = 100
# Linux sends the second SYN of a connection after a second.
SYN_RETRY_SECONDS = 1.3
# The instance reads all requests and begins to connect within this time.
CONNECT_SECONDS = 0.5


class FullListener:
    """Accept no connection, so that those to it stay half open."""

    def __init__(self) -> None:
        self.sock = socket.socket()
        self.sock.bind(('127.0.0.1', 0))
        self.sock.listen(0)
        self.pending = [socket.socket() for _ in range(4)]
        for sock in self.pending:
            sock.setblocking(False)
            sock.connect_ex(self.sock.getsockname())

    @property
    def address(self) -> str:
        """Return the address that is connected to."""
        return '127.0.0.1:{1}'.format(*self.sock.getsockname())

    def close(self) -> None:
        """Stop listening; connections that are tried again are refused."""
        self.sock.close()
        for sock in self.pending:
            sock.close()


class SuspendedInstance(unittest.TestCase):
    """An instance that goes on handles many events in one poll."""

    def setUp(self) -> None:
        self.listener = FullListener()
        self.addCleanup(self.listener.close)
        self.site = relay_site.RelaySite(runner_count=1)
        self.addCleanup(self.site.stop)
        runner = self.site.runners[0]
        entry = runner.build_entry(address=self.listener.address)
        with mock.patch.object(runner, 'build_entry', return_value=entry):
            self.site.start()

    @contextlib.contextmanager
    def suspend_instance(self) -> typing.Iterator[None]:
        """Suspend the instance for the duration of a block."""
        assert self.site.process is not None, 'the site was started'
        self.site.process.send_signal(signal.SIGSTOP)
        yield
        self.site.process.send_signal(signal.SIGCONT)

    def send_requests(self, path: str) -> list[socket.socket]:
        """Send a whole request on each of many new connections."""
        callers = []
        for number in range(CALLER_COUNT):
            caller = self.site.connect()
            self.addCleanup(caller.close)
            caller.sendall(relay_site.encode_request(path, f'a{number}'))
            callers.append(caller)
        return callers

    def test_requests_beside_refused_connections_are_answered(self) -> None:
        """Guard against whole requests without an answer or a refusal.

        Callers leave, so that their connections to an upstream are aborted
        while the upstream refuses them, and others arrive.
        """
        leaving = self.send_requests('/write/x')
        time.sleep(CONNECT_SECONDS)
        with self.suspend_instance():
            for caller in leaving:
                caller.close()
            callers = self.send_requests('/unknown/x')
            self.listener.close()
            time.sleep(SYN_RETRY_SECONDS)
        for caller in callers:
            self.assertEqual(404, relay_site.read_answer(caller).status)
        self.assertEqual(0, self.site.read_log().count('Traceback'))
