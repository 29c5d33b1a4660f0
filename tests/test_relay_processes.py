"""Test a relaying instance as a process, through its callers."""

import http.client
import json
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing
import unittest

from tests import relay_site


class RelayCase(unittest.TestCase):
    """Provide an instance with two runners to each test."""

    def setUp(self) -> None:
        self.site = relay_site.RelaySite()
        self.addCleanup(self.site.stop)
        self.site.start()

    def set_responses(self, respond: typing.Any) -> None:
        """Let all runners answer with one function."""
        for runner in self.site.runners:
            runner.respond = respond

    def list_received(self) -> list[relay_site.ReceivedRequest]:
        """Return the requests that all runners have received."""
        return [
            received
            for runner in self.site.runners
            for received in runner.received
        ]

    def exchange(
        self, sock: socket.socket, request: bytes
    ) -> tuple[int, bytes]:
        """Send a request, and return the status and body of its answer."""
        sock.sendall(request)
        answer = relay_site.read_answer(sock)
        return answer.status, answer.read()


class CompleteAnswers(RelayCase):
    """Requests and answers are relayed unchanged on reused connections."""

    def test_body_and_proof_are_forwarded_unchanged(self) -> None:
        """Guard against an instance that changes bodies or headers."""
        with self.site.connect() as sock:
            sock.sendall(
                relay_site.encode_request('/write/x?a=%20b', 'a1', b'\0body')
            )
            answer = relay_site.read_answer(sock)
            self.assertEqual(200, answer.status)
            self.assertEqual(relay_site.PROOF, answer.headers['server-stamp'])
            self.assertEqual(b'\0body', answer.read())
        received = self.list_received()[0]
        self.assertEqual('/write/x?a=%20b', received.target)
        self.assertEqual('ann', received.headers['tenant'])
        self.assertNotIn('api-key', received.headers)

    def test_pipelined_and_chunked_requests(self) -> None:
        """Guard against pipelined requests that are lost or joined."""
        chunked = relay_site.encode_request('/write/x', 'a2').replace(
            b'Content-Length: 0\r\n\r\n',
            b'Transfer-Encoding: chunked\r\n\r\n2\r\nse\r\n4\r\ncond\r\n0\r\n\r\n',
        )
        with self.site.connect() as sock:
            sock.sendall(
                relay_site.encode_request('/write/x', 'a1', b'first') + chunked
            )
            answers = relay_site.read_pipelined_answers(sock, 2)
        self.assertEqual([(200, b'first'), (200, b'second')], answers)

    def test_late_extra_answer_is_skipped(self) -> None:
        """Guard against an answer that is given to another request."""

        def answer_twice(
            received: relay_site.ReceivedRequest, sock: socket.socket
        ) -> bool:
            answer = relay_site.encode_answer(
                received, received.headers['attempt-id'].encode()
            )
            sock.sendall(answer)
            time.sleep(0.1)
            sock.sendall(answer)
            return True

        self.set_responses(answer_twice)
        with self.site.connect() as sock:
            for number in range(6):
                name = f'a{number}'
                status, body = self.exchange(
                    sock, relay_site.encode_request('/read/x', name)
                )
                self.assertEqual((200, name.encode()), (status, body))
                time.sleep(0.02)

    def test_slow_reader_gets_the_complete_answer(self) -> None:
        """Guard against a connection that closes before its answer is read."""
        body = b'z' * 6_000_000

        def answer_with_large_body(
            received: relay_site.ReceivedRequest, sock: socket.socket
        ) -> bool:
            sock.sendall(relay_site.encode_answer(received, body))
            return True

        self.set_responses(answer_with_large_body)
        with self.site.connect() as sock:
            sock.sendall(
                relay_site.encode_request(
                    '/write/x', 'a1', headers='Connection: close\r\n'
                )
            )
            time.sleep(2.5)
            answer = relay_site.read_answer(sock)
            self.assertEqual(len(body), len(answer.read()))

    def test_header_values_of_any_bytes_are_forwarded(self) -> None:
        """Guard against a request without an answer because of its headers."""
        name = 'caf\u00e9'.encode()

        def answer_with_name(
            received: relay_site.ReceivedRequest, sock: socket.socket
        ) -> bool:
            sock.sendall(
                relay_site.encode_answer(
                    received,
                    received.headers['x-name'].encode('latin-1'),
                    headers=b'X-Name: %s\r\n' % name,
                )
            )
            return True

        self.set_responses(answer_with_name)
        request = relay_site.encode_request(
            '/read/x', 'a1', headers='X-Name: ?\r\n'
        )
        with self.site.connect() as sock:
            status, body = self.exchange(sock, request.replace(b'?', name))
        self.assertEqual((200, name), (status, body))

    def test_refused_head_request_gets_an_answer(self) -> None:
        """Guard against a HEAD request whose refusal cannot be written."""
        request = relay_site.encode_request('/none/x', 'a1')
        with self.site.connect() as sock:
            sock.sendall(request.replace(b'POST', b'HEAD'))
            answer = http.client.HTTPResponse(sock, method='HEAD')
            answer.begin()
        self.assertEqual(404, answer.status)

    def test_number_out_of_range_is_refused(self) -> None:
        """Guard against a request without an answer because of a number."""
        request = relay_site.encode_request('/read/x', 'a1').replace(
            b'Deadline-Ms: 3000', b'Deadline-Ms: 1%s' % (b'0' * 400)
        )
        with self.site.connect() as sock:
            self.assertEqual(400, self.exchange(sock, request)[0])

    def test_request_with_lost_answer_is_not_retried(self) -> None:
        """Guard against a retry of a request that may run only once."""
        self.set_responses(lambda received, sock: False)
        with self.site.connect() as sock:
            status, _ = self.exchange(
                sock, relay_site.encode_request('/write/x', 'a1', b'once')
            )
        self.assertEqual(502, status)
        self.assertEqual(1, len(self.list_received()))

    def test_large_bodies_on_one_connection(self) -> None:
        """Guard against parsing the rest of a body as the next request."""
        self.set_responses(relay_site.echo_body)
        with self.site.connect() as sock:
            for name in ('a1', 'a2'):
                status, body = self.exchange(
                    sock,
                    relay_site.encode_request('/write/x', name, b'z' * 90_000),
                )
                self.assertEqual((200, 90_000), (status, len(body)))


class InvalidInput(RelayCase):
    """Malformed or oversized requests get the status for their error."""

    def fetch_status(self, request: bytes) -> int:
        """Return the status of the answer to the bytes of a request."""
        with self.site.connect() as sock:
            sock.sendall(request)
            return relay_site.read_answer(sock).status

    def test_malformed_and_too_large(self) -> None:
        """Guard against closing the connection without an error status."""
        valid_request = relay_site.encode_request('/read/x', 'a1')
        for expected, request in (
            (400, b'nonsense\r\n\r\n'),
            (431, valid_request.replace(b'\r\n\r\n', b'\r\nX: ' + b'y' * 9000)),
            (
                413,
                valid_request.replace(
                    b'Content-Length: 0', b'Content-Length: 100001'
                ),
            ),
            (
                400,
                valid_request.replace(b'Deadline-Ms: 3000', b'Deadline-Ms: x'),
            ),
            (400, valid_request.replace(b'Attempt-Id: a1\r\n', b'')),
            (401, valid_request.replace(relay_site.KEY.encode(), b'other')),
            (404, valid_request.replace(b'/read/x', b'/none/x')),
            (408, valid_request[:-2]),
        ):
            with self.subTest(expected=expected):
                self.assertEqual(expected, self.fetch_status(request))
        self.assertFalse(self.list_received())


class Streams(RelayCase):
    """Events are forwarded at once, and interrupted streams resume."""

    def test_events_are_forwarded_immediately(self) -> None:
        """Guard against events that are buffered until the stream ends."""

        def stream(
            received: relay_site.ReceivedRequest, sock: socket.socket
        ) -> bool:
            sock.sendall(encode_stream_head(received))
            for number in (1, 2):
                sock.sendall(encode_chunk(b'id: %d\n\n' % number))
                time.sleep(0.3)
            sock.sendall(b'0\r\n\r\n')
            return True

        self.set_responses(stream)
        with self.site.connect() as sock:
            sock.sendall(relay_site.encode_request('/stream/x', 'a1'))
            answer = relay_site.read_answer(sock)
            started_at = time.monotonic()
            first = answer.read1()
            self.assertLess(time.monotonic() - started_at, 0.25)
            self.assertEqual(b'id: 1\n\n', first)
            self.assertEqual(b'id: 2\n\n', answer.read())

    def test_interrupted_stream_resumes(self) -> None:
        """Guard against events that are lost or repeated by a resumption."""

        def stream(
            received: relay_site.ReceivedRequest, sock: socket.socket
        ) -> bool:
            after = int(received.headers.get('last-event-id', 0))
            sock.sendall(encode_stream_head(received))
            for number in range(after + 1, 7):
                sock.sendall(encode_chunk(b'id: %d\n\n' % number))
                if not after and number == 3:
                    sock.sendall(b'7\r\nid: 4')
                    return False
            sock.sendall(b'0\r\n\r\n')
            return True

        self.set_responses(stream)
        with self.site.connect() as sock:
            status, body = self.exchange(
                sock, relay_site.encode_request('/stream/x', 'a1')
            )
        expected = b''.join(b'id: %d\n\n' % number for number in range(1, 7))
        self.assertEqual((200, expected), (status, body))

    def test_stream_that_cannot_resume_is_aborted(self) -> None:
        """Guard against a broken stream that ends like a complete one."""

        def stream(
            received: relay_site.ReceivedRequest, sock: socket.socket
        ) -> bool:
            after = int(received.headers.get('last-event-id', 0))
            sock.sendall(encode_stream_head(received))
            sock.sendall(encode_chunk(b'id: %d\n\n' % (after + 1)))
            return False

        self.set_responses(stream)
        with self.site.connect() as sock:
            sock.sendall(relay_site.encode_request('/stream/x', 'a1'))
            answer = relay_site.read_answer(sock)
            with self.assertRaises(http.client.IncompleteRead):
                answer.read()

    def test_caller_disconnect_closes_the_upstream_connection(self) -> None:
        """Guard against a runner that continues after its caller has left."""
        received_byte_counts: list[int] = []

        def stream(
            received: relay_site.ReceivedRequest, sock: socket.socket
        ) -> bool:
            sock.sendall(
                encode_stream_head(received) + encode_chunk(b'id: 1\n\n')
            )
            sock.settimeout(5)
            received_byte_counts.append(len(sock.recv(10)))
            return False

        self.set_responses(stream)
        with self.site.connect() as sock:
            sock.sendall(relay_site.encode_request('/stream/x', 'a1'))
            relay_site.read_answer(sock).read1()
        deadline = time.monotonic() + 3
        while not received_byte_counts and time.monotonic() < deadline:
            time.sleep(0.02)
        self.assertEqual([0], received_byte_counts)


def encode_stream_head(received: relay_site.ReceivedRequest) -> bytes:
    """Encode the head of a streamed answer."""
    return (
        f'HTTP/1.1 200 OK\r\nAttempt-Id: {received.headers["attempt-id"]}\r\n'
        f'Server-Stamp: {relay_site.PROOF}\r\n'
        'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
    ).encode()


def encode_chunk(content: bytes) -> bytes:
    """Encode one chunk of a body."""
    return b'%x\r\n%s\r\n' % (len(content), content)


class Platform(RelayCase):
    """Changes in the store take effect, and its outage is handled."""

    def test_new_configuration_and_removed_key(self) -> None:
        """Guard against a key that still works after its removal."""
        changed = {**relay_site.CONFIGURATION, 'version': 2, 'tenants': []}
        self.site.store.append_record('keyed.op', 'config', changed)
        time.sleep(0.5)
        with self.site.connect() as sock:
            status, _ = self.exchange(
                sock, relay_site.encode_request('/read/x', 'a1')
            )
        self.assertEqual(401, status)

    def test_unreachable_store_refuses_keys(self) -> None:
        """Guard against accepting keys by an outdated configuration."""
        self.site.store.is_unresponsive = True
        time.sleep(5.5)
        with self.site.connect() as sock:
            status, _ = self.exchange(
                sock, relay_site.encode_request('/read/x', 'a1')
            )
        self.assertEqual(503, status)
        self.assertFalse(self.list_received())

    def test_directory_and_metrics(self) -> None:
        """Guard against a directory or metrics page that cannot be read."""
        _, body = self.site.get(
            self.site.addresses[2], '/api/resolve?name=site.example'
        )
        self.assertEqual([self.site.front], json.loads(body)['addrs'])
        _, page = self.site.get(self.site.addresses[3], '/metrics')
        self.assertIn(b'mustardvale_configuration_version 1.0', page)

    def test_reload_of_settings(self) -> None:
        """Guard against an invalid file that stops or changes the instance."""
        assert self.site.process is not None
        self.site.settings_path.write_text('instance-id = 7 7')
        self.site.process.send_signal(signal.SIGHUP)
        time.sleep(0.5)
        self.site.write_settings(**{'retry-slack': 7})
        time.sleep(1.5)
        events = [line['message'] for line in self.site.read_log_lines()]
        self.assertIn('settings_rejected', events)
        self.assertIn('settings_reloaded', events)
        self.assertIsNone(self.site.process.poll())


class GracefulShutdown(RelayCase):
    """A graceful shutdown completes open requests, then ends the process."""

    def test_open_request_is_finished(self) -> None:
        """Guard against a graceful shutdown that aborts a request."""

        def answer_slowly(
            received: relay_site.ReceivedRequest, sock: socket.socket
        ) -> bool:
            time.sleep(0.8)
            return relay_site.echo_body(received, sock)

        self.set_responses(answer_slowly)
        assert self.site.process is not None
        with self.site.connect() as sock:
            sock.sendall(relay_site.encode_request('/write/x', 'a1', b'stop'))
            time.sleep(0.2)
            self.site.process.send_signal(signal.SIGTERM)
            self.site.await_readiness(503)
            answer = relay_site.read_answer(sock)
            self.assertEqual(b'stop', answer.read())
        self.assertEqual(0, self.site.process.wait(timeout=10))


class StartOfTheProcess(unittest.TestCase):
    """A process that starts is not ended by a signal to reload."""

    def test_reload_signal_is_ignored_while_modules_are_imported(self) -> None:
        """Guard against a process that ends by SIGHUP before it serves."""
        with tempfile.TemporaryDirectory() as directory:
            package = pathlib.Path(directory) / 'mustardvale'
            package.mkdir()
            (package / '__init__.py').write_text('')
            (package / 'relay_daemon.py').write_text(
                'import os, signal\n'
                'os.kill(os.getpid(), signal.SIGHUP)\n'
                'def main(): pass\n'
            )
            ended = subprocess.run(
                [sys.executable, 'deploy/run_entry.py'],
                check=False,
                cwd=relay_site.ROOT,
                env={'PYTHONPATH': directory},
            )
        self.assertEqual(0, ended.returncode)


class InvalidSettings(unittest.TestCase):
    """Invalid settings prevent the start, and every problem is printed."""

    def test_every_problem_is_listed(self) -> None:
        """Guard against a start with invalid settings."""
        site = relay_site.RelaySite(0)
        self.addCleanup(site.stop)
        site.launch(**{'front-address': 'here', 'retry-ratio': -1})
        assert site.process is not None
        exit_code = site.process.wait(timeout=relay_site.START_SECONDS)
        self.assertEqual(2, exit_code)
        self.assertIn('front-address', site.read_log())
        self.assertIn('retry-ratio', site.read_log())
