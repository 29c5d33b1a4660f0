"""Stand-ins of the platform for the cases of this review.

`Store` is the metadata store (logs, newest records, consumer groups), `Runner`
a runner of a plain service, `Link` a proxy that can fall silent, and `Entry` an
entry instance of the project, started as in the deploy file. All of them use
loopback addresses and free ports.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import time
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
ADDRESS = '127.0.0.1'
# Below the ports of outgoing connections.
PORTS = (10_000, 32_000)
TAKEN_PORTS = set()
HOST = 'desk.example'
KEY = 'key-of-ann'
PARTITIONS = 8
ENTRY_TTL_SECONDS = 3.6
HEARTBEAT_SECONDS = 1.2


def find_free_port():
    """Return a port that is free now, and that no outgoing connection takes."""
    while True:
        port = random.randrange(*PORTS)
        if port in TAKEN_PORTS:
            continue
        with socket.socket() as sock:
            try:
                sock.bind((ADDRESS, port))
            except OSError:
                continue
        TAKEN_PORTS.add(port)
        return port


async def read_head(reader):
    """Return the first line and the headers of a message."""
    raw = await reader.readuntil(b'\r\n\r\n')
    first, *lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.strip().lower()] = text.strip()
    return first, headers


async def read_message(reader):
    """Return the first line, the headers and the body of a message."""
    first, headers = await read_head(reader)
    length = int(headers.get('content-length', 0))
    return first, headers, await reader.readexactly(length)


class Store:
    """Keep logs and groups as PROTOCOL.md says; lose nothing."""

    def __init__(self):
        self.logs = {}
        self.newest = {}
        self.written_at = {}
        self.groups = {}
        self.has_news = asyncio.Condition()
        self.era = None
        self.is_down = False
        self.port = find_free_port()

    async def start(self):
        """Accept calls, and drop what has expired."""
        self.server = await asyncio.start_server(self.serve, ADDRESS, self.port)
        self.sweeper = asyncio.create_task(self.sweep())

    async def append(self, topic, key, content):
        """Append one record; an empty one drops its key."""
        log = self.logs.setdefault(topic, [])
        newest = self.newest.setdefault(topic, {})
        log.append((key, content))
        if content:
            newest[key] = (content, len(log) - 1)
        else:
            newest.pop(key, None)
        self.written_at[topic, key] = time.monotonic()
        async with self.has_news:
            self.has_news.notify_all()

    async def sweep(self):
        """Drop silent runners and members."""
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for key in list(self.newest.get('keyed.servers', ())):
                silent = now - self.written_at['keyed.servers', key]
                if silent > ENTRY_TTL_SECONDS:
                    await self.append('keyed.servers', key, b'')
            for group in self.groups.values():
                self.drop_expired(group, now)

    def drop_expired(self, group, now):
        """Remove the members whose time is up."""
        for member, until in list(group['members'].items()):
            if until < now:
                self.leave(group, member)

    def leave(self, group, member):
        """Remove a member and release its partitions."""
        if group['members'].pop(member, None) is None:
            return
        group['generation'] += 1
        group['owners'] = {
            part: owner
            for part, owner in group['owners'].items()
            if owner != member
        }

    def join(self, call):
        """Add or keep a member; hand it the partitions that are free.

        A partition that moves is no longer listed, and is free once its owner
        has joined with the generation that it was told then.
        """
        now = time.monotonic()
        group = self.groups.setdefault(
            call['group'], {'generation': 0, 'members': {}, 'owners': {}}
        )
        self.drop_expired(group, now)
        member, owners = call['member'], group['owners']
        if member not in group['members']:
            group['generation'] += 1
        group['members'][member] = now + call['ttl-ms'] / 1000
        order = sorted(group['members'])
        parts = [(t, p) for t in call['topics'] for p in range(PARTITIONS)]
        wanted = {p: order[i % len(order)] for i, p in enumerate(parts)}
        if call.get('generation', 0) >= group['generation']:
            for part, owner in list(owners.items()):
                if owner == member and wanted[part] != member:
                    del owners[part]
        for part, owner in wanted.items():
            if owner == member and part not in owners:
                owners[part] = member
        held = [
            [topic, part, 0]
            for (topic, part), owner in sorted(owners.items())
            if owner == member and wanted[topic, part] == member
        ]
        return {'generation': group['generation'], 'parts': held}

    async def serve(self, reader, writer):
        """Answer the calls of one connection."""
        try:
            while True:
                first, _, body = await read_message(reader)
                target = first.split(' ')[1]
                path, _, query = target.partition('?')
                fields = dict(parse.parse_qsl(query))
                status, answer = await self.answer(path, fields, body)
                kind = 'application/octet-stream'
                if path != '/api/log-read':
                    kind = 'application/json'
                era = '' if self.era is None else f'Store-Era: {self.era}\r\n'
                head = (
                    f'HTTP/1.1 {status} -\r\nContent-Type: {kind}\r\n{era}'
                    f'Content-Length: {len(answer)}\r\n\r\n'
                )
                writer.write(head.encode() + answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, path, fields, body):
        """Return the status and the body of an answer."""
        if self.is_down:
            return 503, b'{}'
        if path == '/api/log-newest':
            topic = fields['topic']
            rows = [
                {
                    'key': key,
                    'value': base64.b64encode(content).decode(),
                    'offset': offset,
                }
                for key, (content, offset) in sorted(
                    self.newest.get(topic, {}).items()
                )
            ]
            end = len(self.logs.get(topic, ()))
            return 200, encode({'items': rows, 'has-more': False, 'end': end})
        if path == '/api/log-read':
            return 200, await self.read(fields)
        if path == '/api/log-append':
            start = 0
            while start < len(body):
                (length,) = struct.unpack_from('>I', body, start)
                record = body[start + 4 : start + 4 + length]
                start += 4 + length
                key = record[1 : 1 + record[0]].decode()
                await self.append(fields['topic'], key, record[1 + record[0] :])
            end = len(self.logs[fields['topic']])
            return 200, encode({'offset': end - 1, 'end': end})
        if path == '/api/log-join':
            return 200, encode(self.join(json.loads(body)))
        if path == '/api/log-leave':
            call = json.loads(body)
            if call['group'] in self.groups:
                self.leave(self.groups[call['group']], call['member'])
            return 200, encode({})
        if path == '/api/log-owners':
            group = self.groups.get(fields['group'], {'owners': {}})
            rows = [[t, p, o, 0] for (t, p), o in sorted(group['owners'].items())]
            return 200, encode(rows)
        return 404, b'{}'

    async def read(self, fields):
        """Return records, at once or when there are some."""
        topic, source = fields['topic'], int(fields['source'])
        until = time.monotonic() + int(fields.get('wait-ms', 0)) / 1000
        while len(self.logs.get(topic, ())) <= source:
            left = until - time.monotonic()
            if left <= 0:
                break
            async with self.has_news:
                try:
                    await asyncio.wait_for(self.has_news.wait(), left)
                except asyncio.TimeoutError:
                    break
        log = self.logs.get(topic, [])
        answer = struct.pack('>QQ', len(log), 0)
        for key, content in log[source:]:
            record = bytes((len(key),)) + key.encode() + content
            answer += struct.pack('>I', len(record)) + record
        return answer


def encode(fields):
    """Return fields as JSON."""
    return json.dumps(fields).encode()


class Runner:
    """Run requests of a plain service; register in the store.

    `on_request(attempt_id)` is called when it begins to run a request.
    """

    def __init__(self, name, service, store, on_request, work_seconds=0.02):
        self.name = name
        self.service = service
        self.store = store
        self.on_request = on_request
        self.work_seconds = work_seconds
        self.count = 0
        self.is_leaving = False
        self.writers = set()
        self.port = find_free_port()
        self.born = int(time.time() * 1000)

    async def start(self):
        """Accept requests, and write heartbeats."""
        self.server = await asyncio.start_server(self.serve, ADDRESS, self.port)
        self.heartbeats = asyncio.create_task(self.beat())

    async def beat(self):
        """Write the entry of this runner again and again."""
        while True:
            self.count += 1
            await self.write_entry(self.count)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def write_entry(self, count):
        """Have the store execute the heartbeat with a count."""
        entry = {
            'service': self.service,
            'address': f'{ADDRESS}:{self.port}',
            'zone': 'zone-a',
            'version': 1,
            'slots': 6,
            'state': 'ready',
            'cold-left-ms': 0,
            'seq': count,
            'born': self.born,
        }
        await self.store.append('keyed.servers', self.name, encode(entry))

    async def pause_heartbeats(self):
        """Wait until the next heartbeat is due, and stop them; return the count."""
        count = self.count
        while self.count == count:
            await asyncio.sleep(0.01)
        await asyncio.sleep(HEARTBEAT_SECONDS - 0.05)
        self.heartbeats.cancel()
        return self.count

    async def leave(self):
        """Remove the entry without reporting `draining`, and serve on."""
        self.is_leaving = True
        self.heartbeats.cancel()
        await self.store.append('keyed.servers', self.name, b'')

    def exit(self):
        """End: close the port and all connections, also of running work."""
        self.server.close()
        self.heartbeats.cancel()
        for writer in self.writers:
            writer.transport.abort()

    async def serve(self, reader, writer):
        """Answer the requests of one connection."""
        self.writers.add(writer)
        try:
            while True:
                _, headers, _ = await read_message(reader)
                attempt_id = headers.get('attempt-id', '')
                leaving = 'Server-Leaving: 1\r\n' if self.is_leaving else ''
                if headers.get('expect-instance', self.name) != self.name:
                    status, stamp, body = '421 -', '', ''
                else:
                    self.on_request(attempt_id)
                    await asyncio.sleep(self.work_seconds)
                    stamp = f'Server-Stamp: {self.name}.{attempt_id}\r\n'
                    status, body = '200 OK', f'done by {self.name}'
                writer.write(
                    (
                        f'HTTP/1.1 {status}\r\nAttempt-Id: {attempt_id}\r\n'
                        f'{stamp}{leaving}Content-Length: {len(body)}\r\n\r\n'
                        f'{body}'
                    ).encode()
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Link:
    """Pass connections on to a port; a silent link delivers nothing."""

    def __init__(self, target):
        self.target = target
        self.port = find_free_port()
        self.is_up = asyncio.Event()
        self.is_up.set()

    async def start(self):
        """Accept connections."""
        self.server = await asyncio.start_server(self.serve, ADDRESS, self.port)

    async def serve(self, reader, writer):
        """Pass one connection on."""
        await self.is_up.wait()
        try:
            answers, requests = await asyncio.open_connection(
                ADDRESS, self.target
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self.pump(reader, requests), self.pump(answers, writer)
        )

    async def pump(self, reader, writer):
        """Pass one direction on, held up while the link is silent."""
        try:
            while piece := await reader.read(65536):
                await self.is_up.wait()
                writer.write(piece)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


def build_route(name, kind, service='desk', **fields):
    """Return a route of the configuration."""
    return {
        'name': name,
        'host': HOST,
        'path-prefix': f'/{name}/',
        'kind': kind,
        'timeout-ms': 5000,
        'target-latency-ms': 300,
        'max-attempts': 1 if kind == 'non_idempotent' else 2,
        'service': service,
        'priority': 1,
        **fields,
    }


def build_configuration(version, routes, keys):
    """Return a configuration; `keys` is the keys by tenant."""
    services = sorted({route['service'] for route in routes})
    return encode(
        {
            'version': version,
            'routes': routes,
            'services': [{'name': name} for name in services],
            'limits': {
                'max-header-bytes': 16384,
                'max-body-bytes': 1048576,
                'header-timeout-ms': 3000,
                'idle-timeout-ms': 15000,
            },
            'tenants': [
                {'name': name, 'api-keys': held} for name, held in keys.items()
            ],
        }
    )


def render(template, fields):
    """Fill in the placeholders that deploy/settings.toml.template uses."""

    def find(match):
        path, _, form = match.group(1).partition('|')
        found = fields
        for name in path.split('.'):
            found = found[int(name) if name.isdigit() else name]
        return json.dumps(found) if form == 'json' else str(found)

    return re.sub(r'\{\{([^}]+)\}\}', find, template)


class Entry:
    """Run one entry instance as a process of its own."""

    def __init__(self, name, store_port, folder, bootstrap=False):
        self.name = name
        self.folder = pathlib.Path(folder)
        front, ready, directory, metrics, peers = (
            find_free_port() for _ in range(5)
        )
        self.front, self.ready = front, ready
        self.process = None
        template = (ROOT / 'deploy/settings.toml.template').read_text()
        fields = {
            'node': name,
            'zone': 'zone-a',
            'region': 'region',
            'listen': {
                'front': f'{ADDRESS}:{front}',
                'ready': f'{ADDRESS}:{ready}',
                'directory': f'{ADDRESS}:{directory}',
            },
            'port-range': [metrics, peers],
            'platform': {'address': f'{ADDRESS}:{store_port}'},
            'bounds': {
                'strict-revoke': True,
                'revoke-ms': 5000,
                'grace-s': 8,
                'retry-ratio': 0.2,
                'retry-window-s': 10,
                'retry-slack': 198,
                'ttl_max_s': 5,
            },
            'limits': {'memory-mb': 300, 'max-fds': 4100},
            'bootstrap': bootstrap,
        }
        self.settings = self.folder / f'{name}.toml'
        self.settings.write_text(render(template, fields))

    def start(self):
        """Start the process, with the command of the deploy file."""
        with (self.folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, 'deploy/run_entry.py'],
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'MUSTARDVALE_NODE_FILE': str(self.settings),
                },
                stdout=log,
                stderr=log,
            )

    def terminate(self):
        """Ask the process to stop."""
        self.process.send_signal(signal.SIGTERM)

    async def wait_for_exit(self, seconds):
        """Wait until the process has ended; return whether it has."""
        until = time.monotonic() + seconds
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        return self.process.poll() is not None

    def end(self):
        """Kill the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def wait_until_ready(self, seconds=20):
        """Wait until the readiness call answers 200; return whether it did."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    async def is_ready(self):
        """Return whether the readiness call answers 200."""
        try:
            reader, writer = await asyncio.open_connection(ADDRESS, self.ready)
        except OSError:
            return False
        try:
            writer.write(
                b'GET /api/readiness HTTP/1.1\r\nHost: ready\r\n'
                b'Connection: close\r\n\r\n'
            )
            line = await asyncio.wait_for(reader.readline(), 1)
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()
        return b' 200' in line


async def send_request(
    entry, attempt_id, target, method='POST', key=KEY, deadline_ms=3000
):
    """Send one request on a new connection; return the status, 0 for none."""
    head = (
        f'{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Attempt-Id: {attempt_id}\r\nApi-Key: {key}\r\n'
        f'Deadline-Ms: {deadline_ms}\r\nContent-Length: 0\r\n\r\n'
    )
    try:
        reader, writer = await asyncio.open_connection(ADDRESS, entry.front)
    except OSError:
        return 0
    try:
        writer.write(head.encode())
        first, _, _ = await asyncio.wait_for(
            read_message(reader), deadline_ms / 1000 + 1
        )
        return int(first.split(' ')[1])
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return 0
    finally:
        writer.close()


class Record:
    """Write what happens to a file, with seconds since the start."""

    def __init__(self, path):
        self.path = pathlib.Path(path)
        self.started_at = time.monotonic()
        self.lines = []

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def note(self, text):
        """Add a line."""
        self.lines.append(f'{self.now():8.3f}  {text}')

    def write(self):
        """Write the file."""
        self.path.write_text('\n'.join(self.lines) + '\n')
