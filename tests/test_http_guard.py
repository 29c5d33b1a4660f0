"""Guard the HTTP edge against malformed and hostile callers."""

import json
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
    """Start one instance for the tests of a class."""

    site: site_processes.Site

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
        )

    def setUp(self) -> None:
        """Open the connection of a caller that does nothing wrong."""
        self.other_connection = self.connect()

    def tearDown(self) -> None:
        """Check that the process is up and that no traceback was logged."""
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
        """Check that the connection of the other caller still works."""
        self.other_connection.sendall(LIVENESS_REQUEST)
        received = self.read_until(self.other_connection, b'}')
        self.assertTrue(received.startswith(b'HTTP/1.1 200'), received)

    def read_until(self, sock: socket.socket, end: bytes) -> bytes:
        """Read up to some bytes or the end of the connection."""
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
        """Send bytes and return all that comes until the connection ends."""
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
    """Input beyond the limits is refused and not kept in memory."""

    def test_large_header(self) -> None:
        """Guard against a header of 2 MB that is kept whole."""
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
        """Guard against a limit that counts only unfinished headers."""
        big = b'x' * (16 * 1024)
        request = b'GET /livez HTTP/1.1\r\nHost: x\r\nBig: %s\r\n\r\n' % big
        received = self.exchange(request)
        self.check_refused(received, 431, 'headers_too_large')

    def test_announced_body(self) -> None:
        """Guard against reading a body that is announced as too large."""
        request = post(b'').replace(
            b'Content-Length: 0',
            b'Content-Length: %d' % (1024 * 1024 + 1),
        )
        received = self.exchange(request)
        self.check_refused(received, 413, 'payload_too_large')

    def test_chunked_body(self) -> None:
        """Guard against a body without a length that has no end."""
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
        """Guard against a limit below the documented one."""
        body = build_answer_body(1).ljust(1024 * 1024)
        sock = self.connect()
        sock.sendall(post(body))
        received = self.read_until(sock, b'"end":true')
        self.assertTrue(received.startswith(b'HTTP/1.1 200'), received)

    def test_compressed_body(self) -> None:
        """Guard against a small body that inflates without a bound."""
        received = self.exchange(post(b'x', b'Content-Encoding: gzip'))
        self.check_refused(received, 415, 'unsupported_encoding')


class MalformedInput(GuardedCase):
    """Malformed input gets a plain JSON error."""

    def check_malformed(self, request: bytes) -> None:
        """Check that a request is refused with status 400."""
        received = self.exchange(request)
        self.check_refused(received, 400, 'malformed_request')

    def test_length_that_is_no_number(self) -> None:
        """Guard against status 500 with a traceback."""
        request = post(b'').replace(b'Length: 0', b'Length: abc')
        self.check_malformed(request)

    def test_two_lengths(self) -> None:
        """Guard against a request that two readers delimit differently."""
        self.check_malformed(post(b'x', b'Content-Length: 2'))

    def test_length_and_chunks(self) -> None:
        """Guard against a body that is taken as the next request."""
        received = self.exchange(post(b'x', b'Transfer-Encoding: gzip'))
        self.check_refused(received, 400, 'malformed_request')

    def test_paths_with_two_spellings(self) -> None:
        """Guard against a redirect in place of an error."""
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
        """Guard against a request without the header that is required."""
        self.check_malformed(LIVENESS_REQUEST.replace(b'Host: x\r\n', b''))

    def test_first_line(self) -> None:
        """Guard against input that is no HTTP, such as a TLS handshake."""
        self.check_malformed(b'\x16\x03\x01\x02\x00\x01\x00\r\n\r\n')

    def test_header_bytes(self) -> None:
        """Guard against header bytes that circuits.web cannot decode."""
        self.check_malformed(
            LIVENESS_REQUEST.replace(b'Host: x', b'Host: x\r\nNote: \xff\xfe'),
        )

    def test_json(self) -> None:
        """Guard against a traceback for a body that is no JSON."""
        sock = self.connect()
        sock.sendall(post(b'{"model": '))
        received = self.read_until(sock, b'}}')
        self.check_refused(received, 400, 'malformed_request')

    def test_json_bytes(self) -> None:
        """Guard against a traceback for a body that is no text."""
        sock = self.connect()
        sock.sendall(post(b'\xff\xfe\x00'))
        received = self.read_until(sock, b'}}')
        self.check_refused(received, 400, 'malformed_request')

    def test_unknown_expectation(self) -> None:
        """Guard against a caller that waits for what never comes."""
        received = self.exchange(post(b'x', b'Expect: tea'))
        self.check_refused(received, 417, 'expectation_failed')


class UnknownNames(GuardedCase):
    """A wrong key or name is refused before anything is sent."""

    def test_unknown_model(self) -> None:
        """Guard against a model that the document does not name."""
        status, body = self.site.answer('how old', 1, model='none')
        code = json.loads(body)['error']['code']
        self.assertEqual((status, code), (404, 'unknown_model'))
        self.check_other_caller()

    def test_wrong_key(self) -> None:
        """Guard against a key that belongs to no account."""
        status, body = self.site.answer('how old', 1, account='nobody')
        code = json.loads(body)['error']['code']
        self.assertEqual((status, code), (401, 'unauthorized'))
        self.check_other_caller()


class PeerFrames(GuardedCase):
    """A frame that does not decode is counted and dropped."""

    def test_frames_that_do_not_decode(self) -> None:
        """Guard against a frame that ends the process or is believed."""
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
    """Every form of HTTP that callers use is served."""

    def test_pipelined_requests(self) -> None:
        """Guard against the loss of the second request."""
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
        """Guard against a request that cuts or enters the answer before it."""
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
        """Guard against input without a bound behind an unfinished answer."""
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
        """Guard against a request that is lost when it comes byte by byte."""
        sock = self.connect()
        for number in range(len(LIVENESS_REQUEST)):
            sock.sendall(LIVENESS_REQUEST[number : number + 1])
        received = self.read_until(sock, b'}')
        self.assertTrue(received.startswith(b'HTTP/1.1 200'), received)

    def test_http_1_0(self) -> None:
        """Guard against an answer in chunks to a caller that knows none."""
        request = post(build_answer_body(3)).replace(b'HTTP/1.1', b'HTTP/1.0')
        received = self.exchange(request)
        head, _, body = received.partition(b'\r\n\r\n')
        self.assertIn(b' 200 ', head.partition(b'\r\n')[0])
        lines = [json.loads(line) for line in body.splitlines()]
        self.assertEqual((len(lines), lines[-1]['end']), (4, True))

    def test_head(self) -> None:
        """Guard against a HEAD whose connection never serves again."""
        received = self.exchange(LIVENESS_REQUEST.replace(b'GET', b'HEAD'))
        head, _, body = received.partition(b'\r\n\r\n')
        self.assertTrue(head.startswith(b'HTTP/1.1 200'), received)
        self.assertEqual(body, b'')
        self.check_other_caller()

    def test_expect_continue(self) -> None:
        """Guard against a caller that waits for leave to send its body."""
        sock = self.connect()
        body = build_answer_body(1)
        sock.sendall(post(body, b'Expect: 100-continue').removesuffix(body))
        invitation = self.read_until(sock, b'\r\n\r\n')
        self.assertTrue(invitation.startswith(b'HTTP/1.1 100'), invitation)
        sock.sendall(body)
        received = self.read_until(sock, b'"end":true')
        self.assertTrue(received.startswith(b'HTTP/1.1 200'), received)

    def test_close_is_honoured(self) -> None:
        """Guard against an answer that is cut by its own close."""
        request = post(build_answer_body(5), b'Connection: close')
        received = self.exchange(request)
        self.assertIn(b'"end":true', received)


class TimeLimits(GuardedCase):
    """No caller holds a connection without using it."""

    def test_incomplete_body(self) -> None:
        """Guard against a body that never comes."""
        started = time.monotonic()
        request = post(b'').replace(b'Length: 0', b'Length: 9') + b'x'
        received = self.exchange(request)
        self.assertLess(time.monotonic() - started, REQUEST_SECONDS + 1)
        self.check_refused(received, 408, 'request_timeout')

    def test_slow_header(self) -> None:
        """Guard against a header that comes byte by byte for ever."""
        sock = self.connect()
        with self.assertRaises((ConnectionError, TimeoutError)):
            for _ in range(60):
                sock.sendall(b'G')
                time.sleep(0.05)
        self.check_other_caller()

    def test_idle_connection(self) -> None:
        """Guard against connections that are kept for nothing."""
        sock = self.connect()
        sock.sendall(LIVENESS_REQUEST)
        self.read_until(sock, b'}')
        started = time.monotonic()
        self.assertEqual(sock.recv(1), b'')
        waited = time.monotonic() - started
        self.assertGreater(waited, IDLE_SECONDS - 0.2)
        self.assertLess(waited, IDLE_SECONDS + 1)

    def test_long_answer_is_not_idle(self) -> None:
        """Guard against a limit that cuts an answer in mid-stream."""
        tokens = int(3 * IDLE_SECONDS / 0.02) // 2
        status, body = self.site.answer('how old', tokens)
        self.assertEqual((status, body.count(b'"token"')), (200, tokens))


class ConnectionLimit(GuardedCase):
    """The number of connections is bounded."""

    def test_connections_over_the_limit(self) -> None:
        """Guard against callers that use up all descriptors."""
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
    """A caller that closes one direction costs no processor time."""

    def test_no_spinning(self) -> None:
        """Guard against a loop that spins on the end of the input."""
        assert self.site.entry is not None
        sock = self.connect()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.sendall(LIVENESS_REQUEST.replace(b'livez', b'metrics') * 400)
        before = wait_until_idle(self.site.entry.pid)
        sock.shutdown(socket.SHUT_WR)
        time.sleep(1)
        used = processor_seconds(self.site.entry.pid) - before
        self.assertLess(used, 0.5)


def wait_until_idle(process_id: int) -> float:
    """Wait until a process has done its work; return the time it used.

    A fixed pause took the requests that were still served on a busy machine
    for a spinning loop.
    """
    used = processor_seconds(process_id)
    for _ in range(60):
        time.sleep(0.5)
        before, used = used, processor_seconds(process_id)
        if used - before < 0.1:
            break
    return used


def processor_seconds(process_id: int) -> float:
    """Return the processor time that a process has used."""
    with open(f'/proc/{process_id}/stat') as stat:
        fields = stat.read().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


class OutputForClosedSocket(unittest.TestCase):
    """Output for a caller that has left is dropped."""

    def test_write_to_a_closed_socket(self) -> None:
        """Guard against output that stays queued, or stops the handler."""
        (address,) = processes.find_addresses(1)
        host, _, port = address.rpartition(':')
        server = http_guard.CallerListener((host, int(port)), channel='web')
        self.addCleanup(server._sock.close)
        closed = socket.socket()
        closed.close()
        server.write(closed, b'late')
        self.assertNotIn(closed, server._buffers)
