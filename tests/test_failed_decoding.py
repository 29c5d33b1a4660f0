"""Test answers that a codec fails on in an unexpected way."""

import logging
import socket
import typing
import unittest

from mustardvale.internal import events
from mustardvale.internal.edge import (
    connections,
    http_client,
    timer_queue,
    wire,
)
from tests import test_faulty_upstreams


class FailedDecoding(unittest.TestCase):
    """A call whose answer a codec fails on has failed."""

    def test_other_exceptions(self) -> None:
        """Guard against a call that ends neither way."""
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        kinds: list[type] = []
        client = http_client.HttpClient(
            typing.cast(typing.Any, self),
            test_faulty_upstreams.FakePoller(),
            lambda kind, **fields: kinds.append(kind),
        )
        self.assertIsInstance(client.timer_queue, timer_queue.TimerQueue)
        sock = socket.socket()
        self.addCleanup(sock.close)
        pending = connections.PendingCall(
            'c', '127.0.0.1:1', wire.RawCall('GET', '/')
        )
        for error in (RecursionError(), OverflowError(), MemoryError()):
            self.error = error
            pending.is_ended = False
            client.report_answer(pending, wire.RawAnswer(200, {}, b''))
        self.assertEqual([events.CallFailed] * 3, kinds)

    def decode_answer(self, call: str, raw: wire.RawAnswer) -> None:
        """Fail to decode an answer, in place of a codec."""
        raise self.error
