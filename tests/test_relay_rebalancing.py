"""Test when connections of callers are closed, so that they find others."""

import types
import typing
import unittest

from mustardvale.internal import events
from mustardvale.internal.edge import relay_server, caller_connection
from mustardvale.internal.relay import calls
from mustardvale.internal.relay import effects as relay_effects
from tests import relay_states

ZONE = relay_states.IDENTITY.availability_zone


class Growth(unittest.TestCase):
    """An instance sheds callers when others join."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()

    def list_zone(self, *numbers: int) -> list[relay_effects.RebalanceCallers]:
        """Deliver the list of the zone, and return the effects that follow."""
        known_count = len(self.instance.others)
        names = tuple(
            f'entry-{number}|10.0.0.{number}:80|{ZONE}|region|'
            f'10.0.0.{number}:84'
            for number in numbers
        )
        self.instance.emit_event(
            events.CallAnswered,
            call=calls.ListMembers(ZONE),
            address='',
            answer=calls.MembersListed(names),
        )
        return [
            effect
            for effect in self.instance.others[known_count:]
            if isinstance(effect, relay_effects.RebalanceCallers)
        ]

    def test_callers_move_to_instances_that_join(self) -> None:
        """Guard against a successor that keeps the callers of all others.

        It would refuse requests as if all runners were full, because it takes
        its own load for that of each instance.
        """
        self.list_zone(1)
        (effect,) = self.list_zone(1, 2, 3, 4)
        self.assertEqual(0.75, effect.share)

    def test_no_caller_moves_when_an_instance_leaves(self) -> None:
        """Guard against connections that are closed without need."""
        self.list_zone(1, 2, 3)
        self.assertFalse(self.list_zone(1, 3))
        self.assertFalse(self.list_zone(1, 3))

    def test_stopping_instance_moves_no_caller(self) -> None:
        """Guard against closing what the stop closes anyway."""
        self.list_zone(1)
        self.instance.emit_event(events.StopRequested)
        self.assertFalse(self.list_zone(2))


class Connections(unittest.TestCase):
    """A share of the connections is closed, each after an answer."""

    def setUp(self) -> None:
        unused: typing.Any = None
        self.server = relay_server.RelayServer(unused, unused, unused)
        self.server.connections = {
            caller_connection.CallerConnection(self.server, 'front', unused)
            for _ in range(8)
        }

    def count_closing(self) -> int:
        """Return the number of connections whose next answer is the last."""
        return sum(map(self.server.is_answer_last, self.server.connections))

    def test_share_of_connections_is_closed(self) -> None:
        """Guard against callers that all connect again at once."""
        self.server.rebalance(0.25, 0)
        self.assertEqual(2, self.count_closing())

    def test_callers_first_learn_the_new_addresses(self) -> None:
        """Guard against callers that connect to the same instance again."""
        self.server.rebalance(0.5, 60.0)
        self.assertEqual(0, self.count_closing())

    def test_stop_closes_all(self) -> None:
        """Guard against a stop that keeps connections open."""
        self.server.is_closing = True
        self.assertEqual(8, self.count_closing())


class IdleConnections(unittest.TestCase):
    """A stop closes idle connections, but loses no answer."""

    def setUp(self) -> None:
        unused: typing.Any = None
        self.closed: list[typing.Any] = []
        channel_table: typing.Any = types.SimpleNamespace(
            close=self.closed.append,
            read_available=lambda channel: None,
            pause_reading=lambda channel: None,
        )
        self.server = relay_server.RelayServer(channel_table, unused, unused)

    def connect(self, output: bytes) -> caller_connection.CallerConnection:
        """Return an idle connection with output that is still queued."""
        unused: typing.Any = None
        connection = caller_connection.CallerConnection(
            self.server, 'front', unused
        )
        self.shutdowns: list[int] = []
        channel: typing.Any = types.SimpleNamespace(
            output=bytearray(output),
            is_closed=False,
            sock=types.SimpleNamespace(shutdown=self.shutdowns.append),
        )
        connection.channel = channel
        self.server.connections.add(connection)
        return connection

    def test_idle_connection_is_closed(self) -> None:
        """Guard against a stop that waits for idle connections."""
        connection = self.connect(b'')
        self.server.close_idle()
        self.assertEqual([connection.channel], self.closed)

    def test_queued_end_of_an_answer_is_written(self) -> None:
        """Guard against a stop that cuts an answer to a slow reader."""
        connection = self.connect(b'rest of an answer')
        self.server.close_idle()
        self.assertFalse(self.closed)
        channel: typing.Any = connection.channel
        channel.output.clear()
        connection.on_drained(channel)
        self.assertEqual(1, len(self.shutdowns))
