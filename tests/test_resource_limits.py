"""Test that the resources which callers hold in one instance are limited.

A crowd connects to a real process and stays connected. The tests check no
times and no share of served requests.
"""

import asyncio
import contextlib
import copy
import itertools
import pathlib
import socket
import time
import unittest
from collections import abc
from unittest import mock

from tests import relay_site

CLIENT_COUNT = 24
CONNECTIONS_PER_CLIENT = 10
MEMORY_MB = 120
MAXIMUM_DESCRIPTORS = 160
BODY_LIMIT_BYTES = 4 * 1024 * 1024
BODY_BYTES = 3_900_000
ANSWER_BYTES = 1_000_000
# Socket buffers of the crowd, so that answers queue in the instance.
BUFFER_BYTES = 4096
CROWD_SECONDS = 3.0
SERVED_SECONDS = 30.0
FRONT, READINESS, DIRECTORY, METRICS, PEERS = range(5)
PORTS = {
    'front': FRONT,
    'readiness': READINESS,
    'directory': DIRECTORY,
    'metrics': METRICS,
    'peers': PEERS,
}

Pieces = abc.Iterable[bytes]


def encode_head(framing: str, target: str = '/read/x') -> bytes:
    """Encode the head of a request with a body."""
    return (
        f'POST {target} HTTP/1.1\r\nHost: {relay_site.HOST}\r\nAttempt-Id: a\r\n'
        f'Api-Key: {relay_site.KEY}\r\n{framing}\r\n\r\n'
    ).encode()


CHUNKED_HEAD = encode_head('Transfer-Encoding: chunked')


def send_chunks(size: int, count: int) -> Pieces:
    """Yield a chunked body without its end."""
    chunk = b'%x\r\n%s\r\n' % (size, b'x' * size)
    batch = max(65_536 // size, 1)
    yield CHUNKED_HEAD
    for _ in range(count // batch):
        yield chunk * batch


def send_announced(announced_bytes: int, sent_bytes: int) -> Pieces:
    """Yield a body with a length, or the beginning of it."""
    yield encode_head(f'Content-Length: {announced_bytes}')
    for _ in range(sent_bytes // 65_536):
        yield b'x' * 65_536


def send_endless(head: bytes, piece: bytes) -> Pieces:
    """Yield a piece again and again."""
    return itertools.chain((head,), itertools.repeat(piece))


def send_pipelined(target: str, count: int) -> Pieces:
    """Yield requests without a body, one behind the other."""
    request = (
        f'GET {target} HTTP/1.1\r\nHost: {relay_site.HOST}\r\nAttempt-Id: a\r\n'
        f'Api-Key: {relay_site.KEY}\r\nDeadline-Ms: 3000\r\n\r\n'
    ).encode()
    return itertools.repeat(request * 50, count // 50)


async def hold_connection(
    address: str, pieces: Pieces, pause_seconds: float, ends: asyncio.Event
) -> None:
    """Send to an instance, read nothing, and stay connected."""
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    with socket.socket() as sock, contextlib.suppress(OSError):
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        await loop.sock_connect(sock, (host, int(port)))
        for piece in pieces:
            await loop.sock_sendall(sock, piece)
            await asyncio.sleep(pause_seconds)
        await ends.wait()


def read_peak_bytes(process_id: int) -> int:
    """Return the largest resident memory that a process has had."""
    lines = pathlib.Path(f'/proc/{process_id}/status').read_text().splitlines()
    peak = next(line for line in lines if line.startswith('VmHWM'))
    return int(peak.split()[1]) * 1024


def count_descriptors(process_id: int) -> int:
    """Return the open descriptors of a process."""
    return sum(1 for _ in pathlib.Path(f'/proc/{process_id}/fd').iterdir())


class CrowdCase(unittest.IsolatedAsyncioTestCase):
    """Run one instance with lowered limits."""

    def setUp(self) -> None:
        configuration = copy.deepcopy(relay_site.CONFIGURATION)
        configuration['limits']['max-body-bytes'] = BODY_LIMIT_BYTES
        self.site = relay_site.RelaySite()
        self.addCleanup(self.site.stop)
        with mock.patch.object(relay_site, 'CONFIGURATION', configuration):
            self.site.start(
                **{
                    'memory-mb': MEMORY_MB,
                    'max-descriptors': MAXIMUM_DESCRIPTORS,
                }
            )
        assert self.site.process is not None, 'the instance was started'
        self.process = self.site.process
        self.most_descriptors = 0

    async def watch_descriptors(self, ends: asyncio.Event) -> None:
        """Record the most descriptors that the instance has open."""
        while not ends.is_set() and self.process.poll() is None:
            self.most_descriptors = max(
                self.most_descriptors, count_descriptors(self.process.pid)
            )
            await asyncio.sleep(0.02)

    async def run_crowd(
        self,
        build_pieces: abc.Callable[[], Pieces],
        port: int = FRONT,
        count: int = CLIENT_COUNT,
        pause_seconds: float = 0.0,
    ) -> None:
        """Let the crowd send, and check the instance while it is connected."""
        ends = asyncio.Event()
        self.most_descriptors = 0
        address = self.site.addresses[port]
        async with asyncio.TaskGroup() as group:
            watch = group.create_task(self.watch_descriptors(ends))
            crowd = [
                group.create_task(
                    hold_connection(
                        address, build_pieces(), pause_seconds, ends
                    )
                )
                for _ in range(count)
            ]
            await asyncio.sleep(CROWD_SECONDS)
            is_served = await asyncio.to_thread(self.await_answer)
            ends.set()
            for task in crowd:
                task.cancel()
            await watch
        self.assertIsNone(self.process.poll())
        self.assertLess(read_peak_bytes(self.process.pid), MEMORY_MB * 1024**2)
        self.assertLess(self.most_descriptors, MAXIMUM_DESCRIPTORS)
        self.assertTrue(is_served)

    def await_answer(self) -> bool:
        """Return whether an ordinary request is answered in the end."""
        deadline = time.monotonic() + SERVED_SECONDS
        request = relay_site.encode_request('/read/x', 'ordinary', b'ordinary')
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError), self.site.connect() as sock:
                sock.sendall(request)
                answer = relay_site.read_answer(sock)
                if answer.status == 200 and answer.read() == b'ordinary':
                    return True
            time.sleep(0.1)
        return False


class HeldBodies(CrowdCase):
    """Bodies of a crowd do not use up the memory of the instance."""

    async def test_large_chunks_that_stop_before_the_end(self) -> None:
        """Guard against a limit for each caller and none for all."""
        await self.run_crowd(lambda: send_chunks(65_536, BODY_BYTES // 65_536))

    async def test_small_chunks_that_stop_before_the_end(self) -> None:
        """Guard against chunks that cost more than their bytes."""
        await self.run_crowd(lambda: send_chunks(64, BODY_BYTES // 64))

    async def test_announced_bodies_that_stop_before_the_end(self) -> None:
        """Guard against announced lengths that pass the limit for all."""
        await self.run_crowd(lambda: send_announced(BODY_BYTES, BODY_BYTES))

    async def test_bodies_over_the_limit(self) -> None:
        """Guard against refused bodies that are kept."""
        size = 2 * BODY_LIMIT_BYTES
        await self.run_crowd(lambda: send_announced(size, size))
        await self.run_crowd(lambda: send_chunks(65_536, size // 65_536))


class EndlessFraming(CrowdCase):
    """Framing without an end does not use up the memory of the instance."""

    async def test_trailers(self) -> None:
        """Guard against trailers that are kept until their end."""
        head = CHUNKED_HEAD + b'0\r\n'
        await self.run_crowd(lambda: send_endless(head, b'a: b\r\n' * 1000))

    async def test_chunk_extensions(self) -> None:
        """Guard against extensions that are kept until the body's end."""
        piece = b'1;' + b'e' * 3000 + b'\r\nx\r\n'
        await self.run_crowd(lambda: send_endless(CHUNKED_HEAD, piece))


class UnreadAnswers(CrowdCase):
    """Answers that are not read do not use up the memory of the instance."""

    async def test_large_answers(self) -> None:
        """Guard against answers that are queued behind unread ones."""

        def respond(
            received: relay_site.ReceivedRequest, sock: socket.socket
        ) -> bool:
            body = received.body or b'x' * ANSWER_BYTES
            sock.sendall(relay_site.encode_answer(received, body))
            return True

        for runner in self.site.runners:
            runner.respond = respond
        await self.run_crowd(lambda: send_pipelined('/read/x', 1000))

    async def test_metrics(self) -> None:
        """Guard against thousands of pipelined requests without a reader."""
        await self.run_crowd(lambda: send_pipelined('/metrics', 5000), METRICS)


class ManyConnections(CrowdCase):
    """Connections of a crowd leave descriptors to others."""

    async def run_connections(
        self, build_pieces: abc.Callable[[], Pieces], pause_seconds: float = 0.0
    ) -> None:
        """Let the crowd open several connections each, at every port."""
        for name, port in PORTS.items():
            with self.subTest(port=name):
                await self.run_crowd(
                    build_pieces,
                    port,
                    CLIENT_COUNT * CONNECTIONS_PER_CLIENT,
                    pause_seconds,
                )

    async def test_connections_without_a_request(self) -> None:
        """Guard against idle connections that take all descriptors."""
        await self.run_connections(lambda: ())

    async def test_headers_byte_by_byte(self) -> None:
        """Guard against heads that never end."""
        pieces = [bytes([byte]) for byte in CHUNKED_HEAD]
        await self.run_connections(lambda: pieces, 0.05)

    async def test_announced_lengths_that_never_arrive(self) -> None:
        """Guard against bodies of which nothing arrives."""
        await self.run_connections(lambda: send_announced(1000, 0))

    async def test_refused_connections_are_answered(self) -> None:
        """Guard against a close that does not say whether a request ran."""
        # All connect before the first answer is read: idle connections are ended
        # to make room for new ones once they have waited for a while.
        crowd = []
        for _ in range(MAXIMUM_DESCRIPTORS):
            sock = self.site.connect()
            self.addCleanup(sock.close)
            sock.sendall(relay_site.encode_request('/read/x', 'a', b'a'))
            crowd.append(sock)
        statuses = {relay_site.read_answer(sock).status for sock in crowd}
        self.assertEqual({200, 503}, statuses)
