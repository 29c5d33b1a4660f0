"""Test the HTTP edge against malformed and hostile requests."""

import json
import signal
import socket
import time
import unittest

from bench import processes
from mustardvale.internal.edge import codec_peer, http_guard
from tests import site_processes

REQUEST_SECONDS = 1.0
IDLE_SECONDS = 1.5
CONNECTION_LIMIT = 12
LIVENESS_REQUEST = b'GET /livez HTTP/1.1\r\nHost: x\r\n\r\n'


def post(body: bytes, *headers: bytes) -> bytes:
    """Build a request for a model answer."""
    return b'\r\n'.join(
        (
            b'POST /v1/answers HTTP/1.1',
            b'Host: x',
            b'Authorization: Bearer colston-dairy-key',
            b'Content-Length: %d' % len(body),
            *headers,
            b'',
            body,
        ),
    )


def build_answer_body(tokens: int) -> bytes:
    """Build the body of a request for a model answer."""
    return json.dumps(
        {'model': 'affinage', 'prompt': 'how old', 'maximum_tokens': tokens},
    ).encode()


class GuardedCase(unittest.TestCase):
    """Run one entry instance for all tests of a class."""

    site: site_processes.Site
    discard_seconds = 0.2

    @classmethod
    def setUpClass(cls) -> None:
        """Start the site."""
        cls.site = site_processes.Site()
        cls.addClassCleanup(cls.site.stop)
        cls.site.start(
            iteration_ms=20,
            request_seconds=REQUEST_SECONDS,
            idle_seconds=IDLE_SECONDS,
            connections=CONNECTION_LIMIT,
            discard_seconds=cls.discard_seconds,
        )

    def setUp(self) -> None:
        """Open a second connection, which sends only valid requests."""
        self.other_connection = self.connect()

    def tearDown(self) -> None:
        """Check that the process runs and has logged no traceback."""
        assert self.site.entry is not None
        self.assertIsNone(self.site.entry.poll(), 'the process has ended')
        self.assertEqual(self.site.answer('how old', 2)[0], 200)
        self.assertNotIn('Traceback', self.site.read_error_log())

    def connect(self) -> socket.socket:
        """Open a connection."""
        host, _, port = self.site.address.rpartition(':')
        sock = socket.create_connection((host, int(port)), timeout=5)
        self.addCleanup(sock.close)
        return sock

    def check_other_caller(self) -> None:
        """Check that the second connection still works."""
        self.other_connection.sendall(LIVENESS_REQUEST)
        received = self.read_until(self.other_connection, b'}')
        self.assertTrue(received.startswith(b'HTTP/1.1 200'), received)

    def read_until(self, sock: socket.socket, end: bytes) -> bytes:
        """Read until some bytes arrive or the connection ends."""
        received = b''
        while end not in received:
            more = sock.recv(65536)
            if not more:
                return received
            received += more
        return received

    def read_all(self, sock: socket.socket) -> bytes:
        """Read up to the end of the connection."""
        received = b''
        while more := sock.recv(65536):
            received += more
        return received

    def exchange(self, request: bytes) -> bytes:
        """Send bytes and return all received until the connection ends."""
        sock = self.connect()
        sock.sendall(request)
        return self.read_all(sock)

    def check_refused(self, received: bytes, status: int, code: str) -> None:
        """Check the status and the JSON body of a refusal."""
        head, _, body = received.partition(b'\r\n\r\n')
        self.assertTrue(head.startswith(b'HTTP/1.1 %d' % status), received)
        self.assertIn(b'application/json', head)
        error = json.loads(body)['error']
        self.assertEqual((error['code'], error['outcome']), (code, 'not_run'))
        self.assertTrue(error['remedy'])
        self.check_other_caller()


class OversizedInput(GuardedCase):
    """Input beyond the limits is rejected and not kept in memory."""

    def test_large_header(self) -> None:
        """Guard against buffering a whole header of 2 MB."""
        sock = self.connect()
        sock.sendall(b'GET /livez HTTP/1.1\r\nHost: x\r\nBig: ')
        sock.sendall(b'x' * 65536)
        received = self.read_until(sock, b'}}')
        self.check_refused(received, 431, 'headers_too_large')
        with self.assertRaises(ConnectionError):
            for _ in range(100):
                sock.sendall(b'x' * 65536)
                time.sleep(0.01)

    def test_header_just_over_the_limit(self) -> None:
        """Guard against a limit that applies only to incomplete headers."""
        big = b'x' * (16 * 1024)
        request = b'GET /livez HTTP/1.1\r\nHost: x\r\nBig: %s\r\n\r\n' % big
        received = self.exchange(request)
        self.check_refused(received, 431, 'headers_too_large')

    def test_announced_body(self) -> None:
        """Guard against reading a body whose announced length is too large."""
        request = post(b'').replace(
            b'Content-Length: 0',
            b'Content-Length: %d' % (1024 * 1024 + 1),
        )
        received = self.exchange(request)
        self.check_refused(received, 413, 'payload_too_large')

    def test_chunked_body(self) -> None:
        """Guard against buffering an endless chunked body."""
        sock = self.connect()
        sock.sendall(
            post(b'').replace(
                b'Content-Length: 0',
                b'Transfer-Encoding: chunked',
            ),
        )
        piece = b'10000\r\n' + b'x' * 65536 + b'\r\n'
        for _ in range(17):
            sock.sendall(piece)
        received = self.read_until(sock, b'}}')
        self.check_refused(received, 413, 'payload_too_large')

    def test_largest_body(self) -> None:
        """Guard against a limit below the documented 1 MiB."""
        body = build_answer_body(1).ljust(1024 * 1024)
        sock = self.connect()
        sock.sendall(post(body))
        received = self.read_until(sock, b'"end":true')
        self.assertTrue(received.startswith(b'HTTP/1.1 200'), received)

    def test_compressed_body(self) -> None:
        """Guard against a small body that decompresses without limit."""
        received = self.exchange(post(b'x', b'Content-Encoding: gzip'))
        self.check_refused(received, 415, 'unsupported_encoding')


class MalformedInput(GuardedCase):
    """Malformed input gets a JSON error."""

    def check_malformed(self, request: bytes) -> None:
        """Check that a request is refused with status 400."""
        received = self.exchange(request)
        self.check_refused(received, 400, 'malformed_request')

    def test_length_that_is_no_number(self) -> None:
        """Guard against status 500 with a traceback."""
        request = post(b'').replace(b'Length: 0', b'Length: abc')
        self.check_malformed(request)

    def test_two_lengths(self) -> None:
        """Guard against request smuggling through two content lengths."""
        self.check_malformed(post(b'x', b'Content-Length: 2'))

    def test_length_and_chunks(self) -> None:
        """Guard against request smuggling through two forms of body length."""
        received = self.exchange(post(b'x', b'Transfer-Encoding: gzip'))
        self.check_refused(received, 400, 'malformed_request')

    def test_paths_with_two_spellings(self) -> None:
        """Guard against a redirect instead of an error."""
        for path in (
            b'/v1/../livez',
            b'//livez',
            b'/./livez',
            b'/livez/',
            b'/%6civez',
            b'http://x/livez',
            b'/livez\\x',
            b'/v1/answers;x',
        ):
            with self.subTest(path=path):
                self.check_malformed(LIVENESS_REQUEST.replace(b'/livez', path))

    def test_no_host(self) -> None:
        """Guard against accepting a request without the Host header."""
        self.check_malformed(LIVENESS_REQUEST.replace(b'Host: x\r\n', b''))

    def test_first_line(self) -> None:
        """Guard against a traceback for input such as a TLS handshake."""
        self.check_malformed(b'\x16\x03\x01\x02\x00\x01\x00\r\n\r\n')

    def test_header_bytes(self) -> None:
        """Guard against header bytes that circuits.web cannot decode."""
        self.check_malformed(
            LIVENESS_REQUEST.replace(b'Host: x', b'Host: x\r\nNote: \xff\xfe'),
        )

    def test_json(self) -> None:
        """Guard against a traceback for a body that is not JSON."""
        sock = self.connect()
        sock.sendall(post(b'{"model": '))
        received = self.read_until(sock, b'}}')
        self.check_refused(received, 400, 'malformed_request')

    def test_json_bytes(self) -> None:
        """Guard against a traceback for a body that is not UTF-8."""
        sock = self.connect()
        sock.sendall(post(b'\xff\xfe\x00'))
        received = self.read_until(sock, b'}}')
        self.check_refused(received, 400, 'malformed_request')

    def test_unknown_expectation(self) -> None:
        """Guard against a caller that waits for a reply to its expectation."""
        received = self.exchange(post(b'x', b'Expect: tea'))
        self.check_refused(received, 417, 'expectation_failed')


class UnknownNames(GuardedCase):
    """A wrong account key or model is refused before anything is sent."""

    def test_unknown_model(self) -> None:
        """Guard against accepting a model that the document does not name."""
        status, body = self.site.answer('how old', 1, model='none')
        code = json.loads(body)['error']['code']
        self.assertEqual((status, code), (404, 'unknown_model'))
        self.check_other_caller()

    def test_wrong_key(self) -> None:
        """Guard against accepting a key that belongs to no account."""
        status, body = self.site.answer('how old', 1, account='nobody')
        code = json.loads(body)['error']['code']
        self.assertEqual((status, code), (401, 'unauthorized'))
        self.check_other_caller()


class PeerFrames(GuardedCase):
    """A peer frame that does not decode is counted and dropped."""

    def test_frames_that_do_not_decode(self) -> None:
        """Guard against a frame that ends the process or is accepted."""
        import zmq

        good = codec_peer.encode_message(
            'x:1',
            codec_peer.messages.DocumentRequest('production', 'x:1'),
        )
        context = zmq.Context()
        self.addCleanup(context.term)
        with context.socket(zmq.PUSH) as sock:
            sock.connect(f'tcp://{self.site.peer_address}')
            for frame in (b'', b'\xc1', b'\x00' * 100, good[:-3], b'x' * 9999):
                sock.send(frame)
            time.sleep(0.3)
        _, page = site_processes.send_request(
            self.site.address, 'GET', '/metrics'
        )
        self.assertIn(b'mustardvale_peer_frames_rejected_total 5.0', page)
        self.check_other_caller()


class Protocol(GuardedCase):
    """Pipelining, HTTP/1.0, HEAD and other forms of HTTP are served."""

    def test_pipelined_requests(self) -> None:
        """Guard against the loss of a pipelined request."""
        sock = self.connect()
        second = b'GET /v1/nothing HTTP/1.1\r\nHost: x\r\n\r\n'
        sock.sendall(LIVENESS_REQUEST + second + LIVENESS_REQUEST)
        received = b''
        while received.count(b'HTTP/1.1 ') < 3 or not received.endswith(b'}'):
            received += sock.recv(65536)
        statuses = [part[:3] for part in received.split(b'HTTP/1.1 ')[1:]]
        self.assertEqual(statuses, [b'200', b'404', b'200'])
        self.check_other_caller()

    def test_request_while_an_answer_streams(self) -> None:
        """Guard against an answer that is cut off by, or mixed with, the next."""
        sock = self.connect()
        sock.sendall(post(build_answer_body(20)))
        received = self.read_until(sock, b'"token"')
        sock.sendall(post(build_answer_body(3)))
        while received.count(b'"end":true') < 2:
            received += sock.recv(65536)
        self.assertEqual(received.count(b'"token"'), 23)
        first, _, _ = received.partition(b'"end":true')
        self.assertEqual(first.count(b'"token"'), 20)

    def test_flood_while_an_answer_streams(self) -> None:
        """Guard against buffering input without limit during an answer."""
        sock = self.connect()
        sock.sendall(post(build_answer_body(50)))
        self.read_until(sock, b'"token"')
        sock.settimeout(0.2)
        sent = 0
        with self.assertRaises(TimeoutError):
            while sent < 64 * 1024 * 1024:
                sent += sock.send(LIVENESS_REQUEST * 1000)
        self.check_other_caller()

    def test_requests_in_small_pieces(self) -> None:
        """Guard against the loss of a request that arrives byte by byte."""
        sock = self.connect()
        for number in range(len(LIVENESS_REQUEST)):
            sock.sendall(LIVENESS_REQUEST[number : number + 1])
        received = self.read_until(sock, b'}')
        self.assertTrue(received.startswith(b'HTTP/1.1 200'), received)

    def test_http_1_0(self) -> None:
        """Guard against a chunked answer to an HTTP/1.0 caller."""
        request = post(build_answer_body(3)).replace(b'HTTP/1.1', b'HTTP/1.0')
        received = self.exchange(request)
        head, _, body = received.partition(b'\r\n\r\n')
        self.assertIn(b' 200 ', head.partition(b'\r\n')[0])
        lines = [json.loads(line) for line in body.splitlines()]
        self.assertEqual((len(lines), lines[-1]['end']), (4, True))

    def test_head(self) -> None:
        """Guard against a connection that stays open without service."""
        received = self.exchange(LIVENESS_REQUEST.replace(b'GET', b'HEAD'))
        head, _, body = received.partition(b'\r\n\r\n')
        self.assertTrue(head.startswith(b'HTTP/1.1 200'), received)
        self.assertEqual(body, b'')
        self.check_other_caller()

    def test_expect_continue(self) -> None:
        """Guard against a caller that waits for `100 Continue` in vain."""
        sock = self.connect()
        body = build_answer_body(1)
        sock.sendall(post(body, b'Expect: 100-continue').removesuffix(body))
        interim = self.read_until(sock, b'\r\n\r\n')
        self.assertTrue(interim.startswith(b'HTTP/1.1 100'), interim)
        sock.sendall(body)
        received = self.read_until(sock, b'"end":true')
        self.assertTrue(received.startswith(b'HTTP/1.1 200'), received)

    def test_close_is_honoured(self) -> None:
        """Guard against closing the connection before the answer has ended."""
        request = post(build_answer_body(5), b'Connection: close')
        received = self.exchange(request)
        self.assertIn(b'"end":true', received)


class TimeLimits(GuardedCase):
    """Incomplete requests and idle connections time out."""

    def test_incomplete_body(self) -> None:
        """Guard against waiting without limit for the rest of a body."""
        started = time.monotonic()
        request = post(b'').replace(b'Length: 0', b'Length: 9') + b'x'
        received = self.exchange(request)
        self.assertLess(time.monotonic() - started, REQUEST_SECONDS + 1)
        self.check_refused(received, 408, 'request_timeout')

    def test_slow_header(self) -> None:
        """Guard against a header that is sent byte by byte without end."""
        sock = self.connect()
        with self.assertRaises((ConnectionError, TimeoutError)):
            for _ in range(60):
                sock.sendall(b'G')
                time.sleep(0.05)
        self.check_other_caller()

    def test_idle_connection(self) -> None:
        """Guard against idle connections that are never closed."""
        sock = self.connect()
        sock.sendall(LIVENESS_REQUEST)
        self.read_until(sock, b'}')
        started = time.monotonic()
        self.assertEqual(sock.recv(1), b'')
        waited = time.monotonic() - started
        self.assertGreater(waited, IDLE_SECONDS - 0.2)
        self.assertLess(waited, IDLE_SECONDS + 1)

    def test_long_answer_is_not_idle(self) -> None:
        """Guard against an idle timeout during a streamed answer."""
        tokens = int(3 * IDLE_SECONDS / 0.02) // 2
        status, body = self.site.answer('how old', tokens)
        self.assertEqual((status, body.count(b'"token"')), (200, tokens))


class UnreadInput(GuardedCase):
    """A caller who still sends can read its last answer."""

    discard_seconds = 5.0

    def get_problem(self, sock: socket.socket) -> int:
        """Return the error of a connection after a moment."""
        time.sleep(0.05)
        return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)

    def test_refused_upload(self) -> None:
        """Guard against a reset of a caller who reads after its upload."""
        part = b'x' * 75_000
        sock = self.connect()
        head = post(b'').replace(b'Length: 0', b'Length: %d' % (16 * len(part)))
        sock.sendall(head)
        for _ in range(16):
            sock.sendall(part)
            time.sleep(0.05)
        self.check_refused(self.read_all(sock), 413, 'payload_too_large')

    def test_input_behind_a_last_answer(self) -> None:
        """Guard against a reset behind an answer that closes."""
        for method in (b'GET', b'HEAD'):
            sock = self.connect()
            request = LIVENESS_REQUEST.replace(b'GET', method)
            sock.sendall(
                request.replace(b'x\r\n', b'x\r\nConnection: close\r\n')
            )
            self.assertIn(b' 200 ', self.read_all(sock))
            sock.sendall(b'x')
            self.assertEqual(0, self.get_problem(sock), method)

    def test_oldest_connection_goes_first(self) -> None:
        """Guard against callers who hold all connections by sending on."""
        head = post(b'').replace(b'Length: 0', b'Length: 9000000')
        made = [self.connect() for _ in range(CONNECTION_LIMIT // 2 + 1)]
        for sock in made:
            sock.sendall(head)
            self.assertIn(b' 413 ', self.read_all(sock))
        for sock in made:
            sock.sendall(b'x')
        problems = [self.get_problem(sock) for sock in made]
        self.assertNotEqual(0, problems[0])
        self.assertEqual([0], list(set(problems[1:])))


class PlannedStop(unittest.TestCase):
    """A stop refuses incomplete requests, and its callers read the refusal."""

    def test_upload_during_a_stop(self) -> None:
        """Guard against an exit that resets a caller who still sends."""
        site = site_processes.Site()
        self.addCleanup(site.stop)
        site.start(address_validity_seconds=1, discard_seconds=5)
        assert site.entry is not None
        host, _, port = site.address.rpartition(':')
        with socket.create_connection((host, int(port)), timeout=5) as sock:
            part = b'x' * 1000
            head = post(b'').replace(b'Length: 0', b'Length: 25000')
            sock.sendall(head)
            site.entry.send_signal(signal.SIGTERM)
            for _ in range(25):
                sock.sendall(part)
                time.sleep(0.1)
            received = sock.recv(65536)
        self.assertTrue(received.startswith(b'HTTP/1.1 503'), received)
        self.assertIn(b'"stopping"', received)
        self.assertEqual(0, site.entry.wait(timeout=5))


class ConnectionLimit(GuardedCase):
    """The number of connections is bounded."""

    def test_connections_over_the_limit(self) -> None:
        """Guard against callers that exhaust the file descriptors."""
        held = [self.connect() for _ in range(CONNECTION_LIMIT - 1)]
        time.sleep(0.2)
        extra = self.connect()
        received = self.read_all(extra)
        self.check_refused(received, 503, 'overloaded')
        self.assertIn(b'Retry-After', received)
        for sock in held:
            sock.close()
        time.sleep(0.3)
        self.assertEqual(self.site.answer('how old', 1)[0], 200)


class HalfClosedCaller(GuardedCase):
    """A caller that shuts down its sending side costs no processor time."""

    def test_no_spinning(self) -> None:
        """Guard against a loop that spins after the end of the input."""
        assert self.site.entry is not None
        sock = self.connect()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.sendall(LIVENESS_REQUEST.replace(b'livez', b'metrics') * 400)
        before = wait_until_idle(self.site.entry.pid)
        sock.shutdown(socket.SHUT_WR)
        time.sleep(1)
        used = read_processor_seconds(self.site.entry.pid) - before
        self.assertLess(used, 0.5)


def wait_until_idle(process_id: int) -> float:
    """Wait until a process is idle; return the processor time it has used.

    After a fixed pause, a busy machine may still serve requests, which would
    count as a spinning loop.
    """
    used = read_processor_seconds(process_id)
    for _ in range(60):
        time.sleep(0.5)
        before, used = used, read_processor_seconds(process_id)
        if used - before < 0.1:
            break
    return used


def read_processor_seconds(process_id: int) -> float:
    """Return the processor time of a process in seconds."""
    with open(f'/proc/{process_id}/stat') as stat:
        fields = stat.read().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


class OutputForClosedSocket(unittest.TestCase):
    """Output for a closed connection is dropped."""

    def test_write_to_a_closed_socket(self) -> None:
        """Guard against output that stays queued or raises in the handler."""
        (address,) = processes.find_free_addresses(1)
        host, _, port = address.rpartition(':')
        server = http_guard.CallerListener((host, int(port)), channel='web')
        self.addCleanup(server._sock.close)
        closed = socket.socket()
        closed.close()
        server.write(closed, b'late')
        self.assertNotIn(closed, server._buffers)
