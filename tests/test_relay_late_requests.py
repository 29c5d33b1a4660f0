"""Test that a planned stop answers the requests that arrive late."""

import http.client
import signal
import socket
import threading
import time

from tests import relay_site, test_relay_processes

CALLER_COUNT = 12
WORK_SECONDS = 1.2


class PlannedStop(test_relay_processes.RelayCase):
    """Callers keep using open connections until the process has ended."""

    def work(self, seconds: float) -> None:
        """Let the runners take some time for each request."""

        def respond(
            received: relay_site.ReceivedRequest, sock: socket.socket
        ) -> bool:
            time.sleep(seconds)
            return relay_site.echo_body(received, sock)

        self.set_responses(respond)

    def stop(self) -> None:
        """Ask the process to stop."""
        assert self.site.process is not None
        self.site.process.send_signal(signal.SIGTERM)

    def test_pipelined_request_beside_a_stop(self) -> None:
        """Guard against a request that is discarded with its connection."""
        self.work(0.35)
        with self.site.connect() as sock:
            for attempt_id in ('a1', 'a2'):
                sock.sendall(relay_site.encode_request('/read/x', attempt_id))
                time.sleep(0.02)
            time.sleep(0.05)
            self.stop()
            answers = relay_site.read_pipelined_answers(sock, 2)
        self.assertEqual([200, 200], [status for status, _ in answers])

    def test_requests_until_the_process_has_ended(self) -> None:
        """Guard against a request that reaches a runner and gets no answer."""
        self.work(WORK_SECONDS)
        answered: set[str] = set()
        callers = [
            threading.Thread(target=self.call_until_closed, args=(n, answered))
            for n in range(CALLER_COUNT)
        ]
        for caller in callers:
            caller.start()
        time.sleep(0.3)
        self.stop()
        for caller in callers:
            caller.join()
        assert self.site.process is not None
        self.assertEqual(0, self.site.process.wait(timeout=10))
        sent = {
            received.headers['attempt-id'] for received in self.list_received()
        }
        self.assertGreaterEqual(len(sent), CALLER_COUNT)
        self.assertEqual(set(), sent - answered)

    def call_until_closed(self, number: int, answered: set[str]) -> None:
        """Send one request after the other on a connection until it closes."""
        with self.site.connect() as sock:
            for count in range(100):
                attempt_id = f'a{number}-{count}'
                try:
                    sock.sendall(
                        relay_site.encode_request('/write/x', attempt_id, b'x')
                    )
                    answer = relay_site.read_answer(sock)
                    answer.read()
                except (OSError, http.client.HTTPException):
                    return
                answered.add(attempt_id)
                if answer.getheader('connection') == 'close':
                    return
