"""Test how what callers hold is counted and ended."""

import typing
import unittest
from unittest import mock

from mustardvale.internal.edge import caller_resources
from mustardvale.internal.relay import byte_budgets, connection_limits

KILOBYTE = 1024


class Caller:
    """Stand in for the connection of a caller that is sending a request."""

    def __init__(self, listener: str = 'front', received: int = 0) -> None:
        self.listener = listener
        self.address = '10.0.0.1'
        self.channel = mock.Mock()
        self.is_receiving = True
        self.received = received
        self.waiting_since = 0.0

    def measure_charge(self) -> caller_resources.Charge:
        """Return what has been received."""
        return caller_resources.Charge(received=self.received)

    def find_progress(self) -> float:
        """Return when something last arrived."""
        return 0.0

    def describe_waiting(self) -> None:
        """Return nothing: the request is being received."""


class Resources(unittest.TestCase):
    """Connections are counted, paused and ended at the limits."""

    def setUp(self) -> None:
        self.table = mock.Mock(queued_to_callers=0, queued_to_upstreams=0)
        self.resources = caller_resources.CallerResources(
            self.table, typing.cast('typing.Any', self)
        )

    def end_holder(self, caller: typing.Any, ending: typing.Any) -> None:
        """Close a connection, as the server does."""
        self.resources.remove_connection(caller)

    def end_waiting(self, caller: typing.Any) -> None:
        """Close a connection without a request."""
        self.resources.remove_connection(caller)

    def add(self, caller: Caller) -> Caller:
        """Open a connection."""
        self.resources.add_connection(typing.cast('typing.Any', caller))
        return caller

    def test_each_full_listener_accepts_again(self) -> None:
        """Guard against a listener that stays closed after it has room."""
        limits = connection_limits.ListenerLimits(1, 1)
        self.resources.apply_limits(
            byte_budgets.Budget(), {'front': limits, 'peers': limits}
        )
        caller = self.add(Caller())
        self.assertFalse(self.resources.has_room('front', 1.0))
        self.assertTrue(self.resources.has_room('peers', 1.0))
        self.resources.remove_connection(typing.cast('typing.Any', caller))
        self.table.watch_listeners.assert_called_once()

    def test_ended_connection_is_not_paused(self) -> None:
        """Guard against a closed connection that is kept as a paused one."""
        budget = byte_budgets.Budget(
            total_bytes=8 * KILOBYTE,
            large_bytes=8 * KILOBYTE,
            narrow_bytes=8 * KILOBYTE,
        )
        self.resources.apply_limits(budget, {})
        answered = self.add(Caller(received=64 * KILOBYTE))
        answered.is_receiving = False
        self.resources.settle(typing.cast('typing.Any', answered), 0.0)
        caller = self.add(Caller(received=64 * KILOBYTE))
        self.resources.settle(typing.cast('typing.Any', caller), 0.0)
        self.assertNotIn(caller, self.resources.open_connections)
        self.assertNotIn(caller, self.resources.paused)
