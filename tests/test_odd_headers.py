"""Test headers with bytes and numbers that are allowed but rare."""

import socket
import time

from tests import relay_site, test_relay_processes


class OddHeaders(test_relay_processes.RelayCase):
    """Odd headers are relayed or refused, and the request always ends."""

    def test_bytes_of_callers(self) -> None:
        """Guard against a request without an end for a byte beyond ASCII."""
        with self.site.connect() as sock:
            request = relay_site.encode_request('/write/x', 'a1', b'body')
            started_at = time.monotonic()
            status, body = self.exchange(
                sock, request.replace(b'Api-Key', b'X-Note: caf\xe9\r\nApi-Key')
            )
        self.assertLess(time.monotonic() - started_at, 1.0)
        self.assertEqual((200, b'body'), (status, body))
        note = self.list_received()[0].headers['x-note']
        self.assertEqual('caf\xe9', note)

    def test_bytes_of_runners(self) -> None:
        """Guard against an answer that is lost for a byte beyond ASCII."""

        def respond(
            received: relay_site.ReceivedRequest, sock: socket.socket
        ) -> bool:
            sock.sendall(
                relay_site.encode_answer(
                    received, b'whole', headers=b'X-Note: caf\xe9\r\n'
                )
            )
            return True

        self.set_responses(respond)
        with self.site.connect() as sock:
            started_at = time.monotonic()
            sock.sendall(relay_site.encode_request('/read/x', 'a1'))
            answer = relay_site.read_answer(sock)
            self.assertEqual(b'whole', answer.read())
        self.assertLess(time.monotonic() - started_at, 1.0)
        self.assertEqual('caf\xe9', answer.headers['x-note'])

    def test_numbers_of_callers(self) -> None:
        """Guard against a request without an end for a number too large."""
        for name in ('Deadline-Ms', 'Last-Event-Id', 'Token-Count'):
            for digits in (25, 400, 3000):
                with self.subTest(name=name, digits=digits):
                    with self.site.connect() as sock:
                        sock.sendall(
                            relay_site.encode_request(
                                '/read/x',
                                'a1',
                                headers=f'{name}: {"9" * digits}\r\n',
                            ).replace(b'Deadline-Ms: 3000\r\n', b'')
                        )
                        answer = relay_site.read_answer(sock)
                        answer.read()
                    self.assertIn(answer.status, (200, 400))
        self.assertNotIn('Traceback', self.site.read_log())
