"""Stand in for a runner of a plain service.

It follows PROTOCOL.md, section "Runners": a request runs for `work_seconds`, and
one that names another runner in `Expect-Instance` is answered with 421.
"""

import asyncio
import json
import time
import typing

import http1
import store as stores

HEARTBEAT_SECONDS = 1.2


class Runner:
    """Serve requests at one address, and register in the store.

    `is_leaving` adds `Server-Leaving` to all answers. A runner that has ended
    has closed its connections, and refuses new ones.
    """

    def __init__(
        self,
        runner_id: str,
        service: str,
        zone: str,
        store: stores.Store,
        record: typing.Callable[..., None],
        slots: int = 6,
    ) -> None:
        self.runner_id = runner_id
        self.service = service
        self.zone = zone
        self.store = store
        self.record = record
        self.slots = slots
        self.work_seconds = 0.06
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        self.is_leaving = False
        self.is_registered = False
        self.heartbeat_count = 0
        self.running = 0
        self.address = ''
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.heartbeat: asyncio.Task | None = None

    async def start(self, host: str, is_listening: bool = True) -> None:
        """Listen on a free port, and register."""
        self.server = await asyncio.start_server(
            self.serve, host, 0, limit=http1.MAXIMUM_LINE_BYTES
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'
        if not is_listening:
            self.server.close()
        self.is_registered = True
        await self.write_entry()
        self.heartbeat = asyncio.create_task(self.write_entries())

    async def write_entries(self) -> None:
        """Write the entry again in each heartbeat period."""
        while self.is_registered:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            if self.is_registered:
                await self.write_entry()

    def build_entry(self) -> dict[str, object]:
        """Return the entry of the runner."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 1,
            'slots': self.slots,
            'state': self.state,
            'cold-left-ms': 0,
            'seq': self.heartbeat_count,
            'born': self.born,
        }

    async def write_entry(self) -> float:
        """Write the entry; return the time of its confirmation."""
        self.heartbeat_count += 1
        entry = json.dumps(self.build_entry()).encode()
        return await self.store.write(
            stores.SERVERS, self.runner_id.encode(), entry
        )

    async def announce_draining(self) -> float:
        """Report `draining`; return the time of the confirmation."""
        self.state = 'draining'
        self.is_leaving = True
        return await self.write_entry()

    async def deregister(self) -> float:
        """Remove the entry; return the time of the confirmation."""
        self.is_registered = False
        return await self.store.write(
            stores.SERVERS, self.runner_id.encode(), b''
        )

    def end(self) -> None:
        """End as a process does: close the listener and all connections."""
        self.is_registered = False
        if self.server is not None:
            self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        try:
            while True:
                request = await http1.read_message(reader)
                if request is None:
                    break
                await self.answer(request, writer)
        except (http1.ProtocolError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(
        self, request: http1.Message, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request, or refuse it."""
        attempt_id = request.headers.get('attempt-id', '')
        headers = {'Attempt-Id': attempt_id} if attempt_id else {}
        if self.is_leaving:
            headers['Server-Leaving'] = '1'
        expected = request.headers.get('expect-instance', self.runner_id)
        if expected != self.runner_id:
            headers['Not-Executed'] = '1'
            writer.write(http1.encode('HTTP/1.1 421 Any', headers))
            return
        if self.running >= self.slots:
            headers['Not-Executed'] = '1'
            writer.write(http1.encode('HTTP/1.1 503 Any', headers))
            return
        self.record('arrived', runner=self.runner_id, id=attempt_id)
        self.running += 1
        try:
            await asyncio.sleep(self.work_seconds)
        finally:
            self.running -= 1
        headers['Server-Stamp'] = f'{self.runner_id}.{attempt_id}'
        headers['Keep-Alive'] = 'timeout=5'
        body = f'run of {attempt_id} by {self.runner_id}\n'.encode()
        writer.write(http1.encode('HTTP/1.1 200 OK', headers, body))
        await writer.drain()
        self.record('ran', runner=self.runner_id, id=attempt_id)
