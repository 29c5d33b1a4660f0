"""Test unusual input of callers, with sockets but without processes."""

import http.client

from tests import relay_site, test_relay_server

REQUEST = relay_site.encode_request('/read/x', 'a1')


class EmptyLines(test_relay_server.ServerCase):
    """Empty lines before a request are ignored, as RFC 9112 (2.2) asks."""

    def test_line_behind_a_body(self) -> None:
        """Guard against a refusal that nobody asked for, and a close.

        Some callers end the body of a request with an empty line.
        """
        sock, connection = self.accept()
        self.deliver(connection, b'%s\r\n' % REQUEST)
        self.server.reply(self.list_request_ids()[0], test_relay_server.ANSWER)
        answer = relay_site.read_answer(sock)
        self.assertEqual(b'read', answer.read())
        self.deliver(connection, REQUEST)
        self.assertEqual(2, len(self.list_request_ids()))

    def test_line_that_arrives_in_parts(self) -> None:
        """Guard against an empty line whose end arrives with the request."""
        _, connection = self.accept()
        self.deliver(connection, b'\r')
        self.deliver(connection, b'\n\r\n%s' % REQUEST)
        self.assertEqual(1, len(self.list_request_ids()))

    def test_line_on_an_idle_connection(self) -> None:
        """Guard against a 408 where no request was begun."""
        _, connection = self.accept()
        self.deliver(connection, b'\r\n')
        self.pass_time(2)
        self.deliver(connection, REQUEST)
        self.assertEqual(1, len(self.list_request_ids()))


class Methods(test_relay_server.ServerCase):
    """Each method gets a complete answer."""

    def test_malformed_request_behind_a_head_request(self) -> None:
        """Guard against a refusal whose body is announced and left out."""
        sock, connection = self.accept()
        self.deliver(connection, REQUEST.replace(b'POST', b'HEAD'))
        self.server.reply(self.list_request_ids()[0], test_relay_server.ANSWER)
        head = http.client.HTTPResponse(sock, method='HEAD')
        head.begin()
        self.deliver(connection, b'nonsense\r\n\r\n')
        answer = relay_site.read_answer(sock)
        self.assertEqual(400, answer.status)
        self.assertIn(b'malformed_request', answer.read())

    def test_tunnel(self) -> None:
        """Guard against `CONNECT`, whose success has no end of an answer."""
        sock, connection = self.accept()
        self.deliver(connection, REQUEST.replace(b'POST', b'CONNECT'))
        self.assertEqual(501, relay_site.read_answer(sock).status)
        self.assertFalse(self.list_request_ids())


class ClosesWithARequest(test_relay_server.ServerCase):
    """Connections that are closed with a request on them are counted."""

    def test_each_kind_is_counted_once(self) -> None:
        """Guard against a request without an end that no line shows."""
        _, receiving = self.accept()
        self.deliver(receiving, REQUEST[:20])
        self.deliver(receiving, b'')
        _, failed = self.accept()
        self.deliver(failed, REQUEST)
        failed.on_error(failed.channel, 'reset')
        _, cut = self.accept()
        self.deliver(cut, REQUEST)
        self.server.close_caller(self.list_request_ids()[-1])
        _, idle = self.accept()
        self.deliver(idle, b'')
        kinds = [
            (close.phase.value, close.reason.value)
            for close in self.server.take_closes().elements()
        ]
        self.assertEqual(
            [('receiving', 'ended'), ('answering', 'failed')], kinds[:2]
        )
        self.assertEqual([('answering', 'cut')], kinds[2:])
        self.assertFalse(self.server.take_closes())
