"""Stand in for the platform's store: logs, newest records and groups.

It follows PROTOCOL.md, section "The platform's metadata store". A page of the
newest records has at most `page_size` items. The store loses nothing that it
has confirmed, and executes one call at a time.
"""

import asyncio
import base64
import functools
import json
import struct
import time
import typing
from urllib import parse

import http1

Record = tuple[bytes, bytes]
PARTS_PER_TOPIC = 8
SERVERS = 'keyed.servers'
OPERATOR = 'keyed.op'


class Topic:
    """Hold all records of a topic, and the newest one of each key."""

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.newest: dict[bytes, bytes] = {}

    def append(self, key: bytes, value: bytes) -> None:
        """Append a record; one without a value drops its key."""
        self.records.append((key, value))
        if value:
            self.newest[key] = value
        else:
            self.newest.pop(key, None)


class Group:
    """Hold the members of a group with the times at which they expire."""

    def __init__(self) -> None:
        self.generation = 0
        self.topics: tuple[str, ...] = ()
        self.expiry: dict[str, float] = {}
        self.held: dict[tuple[str, int], str] = {}


class Store:
    """Serve the calls of the platform's store at one address.

    Each machine of the system calls it at an address of its own. Calls of the
    machines in `rejected` are answered with 503. `answer_seconds` is the time of
    each answer. `after_page` is called with the key that a page of the runners'
    entries begins after, once that page was sent.
    """

    def __init__(self, page_size: int = 500) -> None:
        self.page_size = page_size
        self.answer_seconds = 0.004
        self.topics: dict[str, Topic] = {}
        self.groups: dict[str, Group] = {}
        self.rejected: set[str] = set()
        self.appended = asyncio.Condition()
        self.after_page: typing.Callable[[str], None] | None = None
        self.servers: list[asyncio.Server] = []

    async def listen(self, host: str, machine: str) -> str:
        """Listen for a machine on a free port; return the address."""
        server = await asyncio.start_server(
            functools.partial(self.serve, machine),
            host,
            0,
            limit=http1.MAXIMUM_LINE_BYTES,
        )
        self.servers.append(server)
        return f'{host}:{server.sockets[0].getsockname()[1]}'

    async def write(self, topic: str, key: bytes, value: bytes) -> float:
        """Append a record; return the time of its confirmation."""
        self.topics.setdefault(topic, Topic()).append(key, value)
        async with self.appended:
            self.appended.notify_all()
        return time.time()

    async def serve(
        self,
        machine: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one connection of a machine."""
        try:
            while True:
                request = await http1.read_message(reader)
                if request is None:
                    break
                path, _, query = request.target.partition('?')
                fields = dict(parse.parse_qsl(query))
                await asyncio.sleep(self.answer_seconds)
                status, body = 503, b'{}'
                if machine not in self.rejected:
                    status, body = await self.execute(path, fields, request)
                writer.write(http1.encode(f'HTTP/1.1 {status} Any', {}, body))
                await writer.drain()
                if path == '/api/log-newest' and status == 200:
                    self.report_page(fields)
        except (http1.ProtocolError, ConnectionError):
            pass
        finally:
            writer.close()

    def report_page(self, fields: dict[str, str]) -> None:
        """Report a page of the runners' entries that was sent."""
        if self.after_page is not None and fields['topic'] == SERVERS:
            self.after_page(fields.get('after', ''))

    async def execute(
        self, path: str, fields: dict[str, str], request: http1.Message
    ) -> tuple[int, bytes]:
        """Execute a call; return the status and the body of its answer."""
        if path == '/api/log-newest':
            return 200, self.read_newest(fields)
        if path == '/api/log-read':
            return await self.read_log(fields)
        if path == '/api/log-owners':
            return 200, self.list_owners(fields['group'])
        if path == '/api/log-join':
            return 200, self.join(json.loads(request.body))
        if path == '/api/log-leave':
            return 200, self.leave(json.loads(request.body))
        return 404, b'{}'

    def read_newest(self, fields: dict[str, str]) -> bytes:
        """Return a page of the newest record of each key."""
        topic = self.topics.setdefault(fields['topic'], Topic())
        after = fields.get('after')
        keys = sorted(
            key for key in topic.newest if after is None or key > after.encode()
        )
        page = keys[: self.page_size]
        items = [
            {
                'key': key.decode('utf-8', 'replace'),
                'value': base64.b64encode(topic.newest[key]).decode(),
                'offset': 0,
            }
            for key in page
        ]
        return json.dumps(
            {
                'items': items,
                'has-more': len(keys) > len(page),
                'end': len(topic.records),
            }
        ).encode()

    async def read_log(self, fields: dict[str, str]) -> tuple[int, bytes]:
        """Return the records from an offset on; wait for one if asked to."""
        topic = self.topics.setdefault(fields['topic'], Topic())
        source = int(fields['source'])
        until = time.monotonic() + int(fields.get('wait-ms', 0)) / 1000
        while source >= len(topic.records) and time.monotonic() < until:
            try:
                async with self.appended:
                    await asyncio.wait_for(
                        self.appended.wait(), until - time.monotonic()
                    )
            except TimeoutError:
                break
        body = struct.pack('>QQ', len(topic.records), 0)
        for key, value in topic.records[source:]:
            record = bytes((len(key),)) + key + value
            body += struct.pack('>I', len(record)) + record
        return 200, body

    def find_group(self, name: str) -> Group:
        """Return a group without the members that have expired."""
        group = self.groups.setdefault(name, Group())
        now = time.monotonic()
        for member, until in tuple(group.expiry.items()):
            if until < now:
                self.remove(group, member)
        return group

    def remove(self, group: Group, member: str) -> None:
        """Remove a member and release its partitions."""
        if group.expiry.pop(member, None) is None:
            return
        group.generation += 1
        for partition, holder in tuple(group.held.items()):
            if holder == member:
                del group.held[partition]

    def join(self, call: dict[str, typing.Any]) -> bytes:
        """Add or renew a member, and return the partitions that it holds.

        A partition passes to another member once its holder has joined with
        the newest generation, has left or has expired.
        """
        group = self.find_group(call['group'])
        member = call['member']
        if member not in group.expiry:
            group.generation += 1
        group.topics = tuple(call['topics'])
        group.expiry[member] = time.monotonic() + call['ttl-ms'] / 1000
        members = sorted(group.expiry)
        partitions = [
            (topic, part)
            for topic in group.topics
            for part in range(PARTS_PER_TOPIC)
        ]
        owned = []
        for index, partition in enumerate(partitions):
            assigned = members[index % len(members)]
            holder = group.held.get(partition)
            knows_newest = call.get('generation', 0) >= group.generation
            if holder == member and assigned != member and knows_newest:
                del group.held[partition]
            if assigned == member and partition not in group.held:
                group.held[partition] = member
            if group.held.get(partition) == member == assigned:
                owned.append([*partition, 0])
        return json.dumps(
            {'generation': group.generation, 'parts': owned}
        ).encode()

    def leave(self, call: dict[str, typing.Any]) -> bytes:
        """Remove a member."""
        self.remove(self.find_group(call['group']), call['member'])
        return b'{}'

    def list_owners(self, name: str) -> bytes:
        """Return the rows of topic, partition, member and offset."""
        group = self.find_group(name)
        rows = [
            [*partition, member, 0]
            for partition, member in sorted(group.held.items())
        ]
        return json.dumps({'parts': rows}).encode()
