"""Start one relaying instance as a process, with fakes of the platform.

The fake store and runners are servers on threads of the test process. They
answer with the records and functions that a test sets.
"""

import base64
import collections
import http.client
import json
import pathlib
import socket
import socketserver
import struct
import subprocess
import sys
import tempfile
import threading
import time
import typing
import urllib.parse

from bench import processes

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_SECONDS = 20.0
# The retry budget of a new process starts at zero. With the slack of the
# settings below, each of 20 instances may send a retry after this time.
RETRY_ACCRUAL_SECONDS = 0.15
HOST = 'site.example'
KEY = 'key-of-ann'
PROOF = 'stamp-of-the-runner'

CONFIGURATION = {
    'version': 1,
    'routes': [
        {
            'name': 'read',
            'host': HOST,
            'path-prefix': '/read/',
            'kind': 'idempotent',
            'timeout-ms': 3000,
            'target-latency-ms': 500,
            'max-attempts': 2,
            'service': 'plain',
        },
        {
            'name': 'write',
            'host': HOST,
            'path-prefix': '/write/',
            'kind': 'non_idempotent',
            'timeout-ms': 3000,
            'target-latency-ms': 500,
            'max-attempts': 1,
            'service': 'plain',
        },
        {
            'name': 'stream',
            'host': HOST,
            'path-prefix': '/stream/',
            'kind': 'streaming',
            'timeout-ms': 5000,
            'target-latency-ms': 1000,
            'gap-target-ms': 500,
            'max-attempts': 2,
            'resumable': True,
            'service': 'plain',
        },
    ],
    'services': [{'name': 'plain'}],
    'limits': {
        'max-header-bytes': 4096,
        'max-body-bytes': 100_000,
        'header-timeout-ms': 1000,
        'idle-timeout-ms': 3000,
    },
    'tenants': [{'name': 'ann', 'api-keys': [KEY]}],
}


class FakeServer(socketserver.ThreadingTCPServer):
    """Accept connections at a free address, until it is closed."""

    allow_reuse_address = True
    daemon_threads = True

    def __init__(self, handler: type[socketserver.BaseRequestHandler]) -> None:
        host, _, port = processes.find_free_addresses(1)[0].rpartition(':')
        super().__init__((host, int(port)), handler)
        self.address = f'{host}:{port}'
        threading.Thread(target=self.serve_forever, daemon=True).start()


class ReceivedRequest(typing.NamedTuple):
    """Hold a request as it was received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


def read_request(stream: typing.Any) -> ReceivedRequest | None:
    """Read one request; return none at the end of the input."""
    line = stream.readline().decode('latin-1')
    if not line.strip():
        return None
    method, target, _ = line.split(' ', 2)
    headers = {}
    while head := stream.readline().decode('latin-1').strip():
        name, _, text = head.partition(':')
        headers[name.lower()] = text.strip()
    body = stream.read(int(headers.get('content-length', 0)))
    return ReceivedRequest(method, target, headers, body)


class FakeStore:
    """Answer the store's calls from records in memory."""

    def __init__(self) -> None:
        # A topic is created on first use.
        self.records: dict[str, list[tuple[str, bytes]]] = (
            collections.defaultdict(list)
        )
        self.changed = threading.Condition()
        self.is_unresponsive = False
        self.members: dict[str, float] = {}
        store = self

        class Handler(socketserver.StreamRequestHandler):
            """Serve one connection."""

            def handle(self) -> None:
                """Answer calls until the caller closes the connection."""
                while (received := read_request(self.rfile)) is not None:
                    status, body = store.answer(received)
                    if store.is_unresponsive:
                        time.sleep(30)
                        return
                    self.wfile.write(
                        b'HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n'
                        % (status, len(body))
                        + body
                    )

        self.server = FakeServer(Handler)

    def append_record(self, topic: str, key: str, table: typing.Any) -> None:
        """Append a record."""
        content = b'' if table is None else json.dumps(table).encode()
        self.append_bytes(topic, key, content)

    def append_bytes(self, topic: str, key: str, content: bytes) -> None:
        """Append a record with any content, as another writer may."""
        with self.changed:
            self.records[topic].append((key, content))
            self.changed.notify_all()

    def answer(self, received: ReceivedRequest) -> tuple[int, bytes]:
        """Return the status and body of the answer to a call."""
        path, _, text = received.target.partition('?')
        query = dict(urllib.parse.parse_qsl(text))
        if path == '/api/log-newest':
            return 200, self.encode_newest(query['topic'])
        if path == '/api/log-read':
            return 200, self.encode_records(query)
        if path == '/api/log-join':
            member = json.loads(received.body)['member']
            self.members[member] = time.monotonic()
            parts = [['mustardvale.members.0', 0, 0]]
            return 200, json.dumps(
                {'generation': 1, 'ttl-ms': 3000, 'parts': parts}
            ).encode()
        if path == '/api/log-owners':
            rows = [['t', 0, member, 0] for member in self.members]
            return 200, json.dumps({'parts': rows}).encode()
        return 200, b'{}'

    def encode_newest(self, topic: str) -> bytes:
        """Encode the newest record of each key of a topic."""
        records = self.records[topic]
        latest = dict(records)
        items = [
            {'key': key, 'value': base64.b64encode(content).decode()}
            for key, content in latest.items()
        ]
        return json.dumps(
            {'items': items, 'has-more': False, 'end': len(records)}
        ).encode()

    def encode_records(self, query: dict[str, str]) -> bytes:
        """Encode the records from an offset on; wait for the first one."""
        records = self.records[query['topic']]
        source = int(query['source'])
        with self.changed:
            self.changed.wait_for(
                lambda: len(records) > source,
                int(query.get('wait-ms', 0)) / 1000,
            )
            new_records = records[source:]
        body = struct.pack('>QQ', len(records), 0)
        for key, content in new_records:
            record = bytes((len(key),)) + key.encode() + content
            body += struct.pack('>I', len(record)) + record
        return body


class FakeRunner:
    """Answer requests with the function that a test sets.

    The function writes to the socket itself, and returns whether to read the
    next request.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.received: list[ReceivedRequest] = []
        self.respond: typing.Callable[
            [ReceivedRequest, socket.socket], bool
        ] = echo_body
        runner = self

        class Handler(socketserver.StreamRequestHandler):
            """Serve one connection."""

            def handle(self) -> None:
                """Answer requests until the caller closes the connection."""
                while (received := read_request(self.rfile)) is not None:
                    runner.received.append(received)
                    if not runner.respond(received, self.connection):
                        return

        self.server = FakeServer(Handler)

    def build_entry(self, **fields: typing.Any) -> dict[str, typing.Any]:
        """Return the runner's entry for the store."""
        return {
            'service': 'plain',
            'address': self.server.address,
            'zone': 'zone-a',
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'born': 1,
            'seq': 1,
            **fields,
        }


def encode_answer(
    received: ReceivedRequest,
    body: bytes,
    status: int = 200,
    headers: bytes = b'',
) -> bytes:
    """Encode a complete answer with the runner's proof."""
    return (
        b'HTTP/1.1 %d OK\r\nAttempt-Id: %s\r\nServer-Stamp: %s\r\n%s'
        b'Keep-Alive: timeout=9\r\nContent-Length: %d\r\n\r\n'
        % (
            status,
            received.headers['attempt-id'].encode(),
            PROOF.encode(),
            headers,
            len(body),
        )
    ) + body


def echo_body(received: ReceivedRequest, sock: socket.socket) -> bool:
    """Answer with the body of the request."""
    sock.sendall(encode_answer(received, received.body or b'read'))
    return True


class RelaySite:
    """Run one instance with a fake store and fake runners."""

    def __init__(self, runner_count: int = 2) -> None:
        self.store = FakeStore()
        self.runners = [
            FakeRunner(f'i-{number}') for number in range(runner_count)
        ]
        self.addresses = processes.find_free_addresses(5)
        self.directory = tempfile.TemporaryDirectory()
        self.log_path = pathlib.Path(self.directory.name) / 'log'
        self.settings_path = pathlib.Path(self.directory.name) / 'settings'
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def front(self) -> str:
        """Return the address at which callers connect."""
        return self.addresses[0]

    def start(self, **fields: typing.Any) -> None:
        """Start the instance; wait until it is ready and may send a retry."""
        self.launch(**fields)
        self.await_readiness(200)
        time.sleep(RETRY_ACCRUAL_SECONDS)

    def launch(self, **fields: typing.Any) -> None:
        """Start the instance without waiting for it."""
        for runner in self.runners:
            self.store.append_record(
                'keyed.servers', runner.name, runner.build_entry()
            )
        self.store.append_record('keyed.op', 'config', CONFIGURATION)
        self.write_settings(**fields)
        with self.log_path.open('wb') as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'mustardvale.relay_daemon',
                    str(self.settings_path),
                ],
                cwd=ROOT,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={'PYTHONPATH': str(ROOT / 'src')},
            )

    def write_settings(self, **fields: typing.Any) -> None:
        """Write the settings file."""
        table = {
            'instance-id': 'entry-1',
            'availability-zone': 'zone-a',
            'region': 'region',
            'front-address': self.addresses[0],
            'readiness-address': self.addresses[1],
            'directory-address': self.addresses[2],
            'metrics-port': self.addresses[3].rpartition(':')[2],
            'peer-port': self.addresses[4].rpartition(':')[2],
            'store-address': self.store.server.address,
            'strict-revocation': True,
            'stop-seconds': 4,
            # A large slack gives tests a retry budget soon after the start.
            'retry-slack': 4000,
            **fields,
        }
        self.settings_path.write_text(
            ''.join(
                f'{name} = {json.dumps(item)}\n' for name, item in table.items()
            )
        )

    def await_readiness(self, status: int) -> None:
        """Wait until the readiness request is answered with a status."""
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            try:
                if self.get(self.addresses[1], '/api/readiness')[0] == status:
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise AssertionError(f'not {status}: {self.read_log()}')

    def read_log(self) -> str:
        """Return the output of the instance."""
        return self.log_path.read_text()

    def read_log_lines(self) -> list[dict[str, typing.Any]]:
        """Return the decoded log lines of the instance."""
        return [json.loads(line) for line in self.read_log().splitlines()]

    def get(self, address: str, path: str) -> tuple[int, bytes]:
        """Send a `GET` request to one of the instance's addresses."""
        host, _, port = address.rpartition(':')
        connection = http.client.HTTPConnection(host, int(port), timeout=5)
        try:
            connection.request('GET', path)
            answer = connection.getresponse()
            return answer.status, answer.read()
        finally:
            connection.close()

    def connect(self) -> socket.socket:
        """Connect to the address for callers."""
        host, _, port = self.front.rpartition(':')
        return socket.create_connection((host, int(port)), timeout=5)

    def stop(self) -> None:
        """Stop the instance and the fakes."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        for server in (
            self.store.server,
            *(runner.server for runner in self.runners),
        ):
            server.shutdown()
            server.server_close()
        self.directory.cleanup()


def encode_request(
    path: str, attempt_id: str, body: bytes = b'', headers: str = ''
) -> bytes:
    """Encode a request of a caller."""
    return (
        f'POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt_id}\r\n'
        f'Api-Key: {KEY}\r\nDeadline-Ms: 3000\r\n{headers}'
        f'Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body


def read_answer(sock: socket.socket) -> http.client.HTTPResponse:
    """Read the head of an answer; its body is read from the result."""
    answer = http.client.HTTPResponse(sock)
    answer.begin()
    return answer


def read_pipelined_answers(
    sock: socket.socket, count: int
) -> list[tuple[int, bytes]]:
    """Return the statuses and bodies of answers that arrive back to back.

    `read_answer` buffers what it reads from the socket, so that a second
    answer that arrives in the same read is lost to its next call.
    """
    answers = []
    with sock.makefile('rb') as stream:
        for _ in range(count):
            status = int(stream.readline().split()[1])
            headers = http.client.parse_headers(stream)
            body = stream.read(int(headers['Content-Length']))
            answers.append((status, body))
    return answers
