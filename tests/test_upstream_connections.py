"""Test which connections to upstreams are reused, and for how long."""

import unittest

from mustardvale.internal.relay import events as relay_events
from tests import test_faulty_upstreams

HEAD = b'HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\n'


class EndedConnections(unittest.TestCase):
    """A connection whose upstream has closed it carries no other request."""

    def test_answer_without_length(self) -> None:
        """Guard against a request that fails behind a sound answer.

        Such an answer ends with its connection, and what waits for a place at
        the upstream is sent before the poller reports the end once more.
        """
        upstream = test_faulty_upstreams.UpstreamClient()
        upstream.start_send('a1')
        upstream.receive(b'%s\r\nread' % HEAD)
        upstream.receive(b'')
        self.assertEqual({'s-a1': b'read'}, upstream.read_bodies())
        self.assertTrue(upstream.list_events(relay_events.SendEnded))
        upstream.start_send('a2')
        self.assertEqual(2, len(upstream.table.owners))


class KeepAliveTimes(unittest.TestCase):
    """The time that an upstream states may be any number."""

    def test_numbers_that_are_too_long(self) -> None:
        """Guard against an answer that never ends because of its header.

        Such numbers do not fit into a float, or are not converted at all.
        """
        for digits in (400, 5000):
            with self.subTest(digits=digits):
                upstream = test_faulty_upstreams.UpstreamClient()
                upstream.start_send('a1')
                upstream.receive(
                    b'%sKeep-Alive: timeout=%s\r\nContent-Length: 0\r\n\r\n'
                    % (HEAD, b'9' * digits)
                )
                self.assertTrue(upstream.list_events(relay_events.SendEnded))
