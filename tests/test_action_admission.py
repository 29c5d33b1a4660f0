"""Test the admission of actions and the longest deadline."""

import dataclasses
import unittest

import immutables

from mustardvale import errors
from mustardvale.internal import lifecycle
from mustardvale.internal.edge import codec, wire
from tests import action_model

KEYS = [
    action_model.make_key(action_model.WALL, number) for number in range(2000)
]


class Admission(unittest.TestCase):
    """Only rate limits and a graceful shutdown refuse actions; none is queued."""

    def setUp(self) -> None:
        """Build a site in which the heartbeats have expired."""
        self.site = action_model.Site()
        self.site.now += 4

    def ask(self, key: str) -> list[object]:
        """Request an action from instance 0 and return its replies."""
        self.site.ask(0, key, b'{}', 10)
        return list(self.site.requests.values())[-1].replies

    def test_account_at_its_limit(self) -> None:
        """Guard against an account that exceeds its requests per second."""
        codes = [
            reply.code
            for key in KEYS
            for reply in self.ask(key)
            if hasattr(reply, 'code')
        ]
        self.assertIn(errors.RATE_LIMITED, codes)

    def test_instance_about_to_stop(self) -> None:
        """Guard against an action that a graceful shutdown would interrupt."""
        instance = self.site.instances[0]
        stopping = lifecycle.Stopping(self.site.now - 1)
        instance.state = dataclasses.replace(
            instance.state,
            stopping=stopping,
        )
        (reply,) = self.ask(KEYS[0])
        self.assertIs(reply.code, errors.STOPPING)
        self.assertIs(reply.outcome, errors.Outcome.NOT_RUN)


class Deadline(unittest.TestCase):
    """A request ends before a graceful shutdown stops waiting for it."""

    def decode(self, milliseconds: str) -> object:
        """Decode a request with a deadline."""
        headers = immutables.Map({'mustardvale-deadline-ms': milliseconds})
        raw = wire.RawRequest('GET', '/v1/entries', '', headers, b'')
        return codec.decode_request(raw)

    def test_longest_deadline(self) -> None:
        """Guard against the rejection of a valid deadline."""
        self.assertEqual(self.decode('600000').deadline_seconds, 600)

    def test_too_long_deadline(self) -> None:
        """Guard against a request that outlasts a graceful shutdown."""
        with self.assertRaises(wire.DecodeError):
            self.decode('600001')
