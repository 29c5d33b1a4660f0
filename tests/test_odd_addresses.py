"""Test addresses to which nothing can connect."""

import typing
import unittest

from mustardvale.internal import events
from mustardvale.internal.edge import channels, http_client, wire
from mustardvale.internal.relay import members
from tests import odd_entries, relay_states


class FakePoller:
    """Accept the requests to watch a socket, and watch nothing."""

    channel_table: typing.Any = None

    def addWriter(self, source: object, sock: object) -> None:  # noqa: N802
        """Ignore the call."""

    def isWriting(self, sock: object) -> bool:  # noqa: N802
        """Return that output is not watched."""
        return False

    def discard(self, sock: object) -> None:
        """Ignore the call."""


class Calls(unittest.TestCase):
    """A call to an address that does not exist fails, once."""

    def setUp(self) -> None:
        self.failures: list[events.Failure] = []
        self.client = http_client.HttpClient(
            typing.cast(typing.Any, self), FakePoller(), self.record_event
        )

    def encode_call(self, call: typing.Any) -> wire.RawCall:
        """Encode a call, in place of a codec."""
        return wire.RawCall('GET', '/')

    def record_event(self, kind: type, **fields: typing.Any) -> None:
        """Record a failure."""
        self.failures.append(fields['failure'])

    def test_odd_addresses(self) -> None:
        """Guard against a call that raises and has no end."""
        for address in odd_entries.ODD_ADDRESSES:
            if address.startswith('host'):
                continue
            with self.subTest(address[:40]):
                self.failures.clear()
                self.client.start_call('c', address, 1.0)
                # An address without a fault in its form may be connecting.
                for connection in tuple(self.client.connections.values()):
                    self.client.close_and_fail(
                        connection, events.FailureKind.REFUSED, 'test'
                    )
                self.assertEqual(1, len(self.failures))
                self.assertFalse(self.failures[0].was_sent)
                self.assertFalse(self.client.connections)


class Sends(unittest.TestCase):
    """A send to an address that does not exist fails, once."""

    def test_odd_addresses(self) -> None:
        """Guard against a send that raises and has no end."""
        table = channels.ChannelTable(typing.cast(typing.Any, FakePoller()))
        for address in odd_entries.ODD_ADDRESSES:
            if address.startswith('host'):
                continue
            with self.subTest(address[:40]):
                self.problems: list[str] = []
                channel = table.connect(address, self)
                if channel.is_closing:
                    table.on_writable(channel.sock)
                    self.assertEqual(1, len(self.problems))
                table.close(channel)

    def on_error(self, channel: channels.Channel, problem: str) -> None:
        """Record an error, in place of the owner of a channel."""
        self.problems.append(problem)


class MemberNames(unittest.TestCase):
    """A member whose addresses cannot be used is not listed."""

    def test_odd_addresses(self) -> None:
        """Guard against callers that are sent to an impossible address."""
        sound = 'entry-2|127.1.2.4:80|zone-a|region|127.1.2.4:84'
        for odd in odd_entries.ODD_ADDRESSES:
            with self.subTest(odd[:40]):
                names = (
                    sound,
                    f'entry-3|{odd}|zone-a|region|127.1.2.5:84',
                    f'entry-4|127.1.2.6:80|zone-a|region|{odd}',
                )
                listed = members.decode_members(names)
                self.assertEqual(
                    [sound], [members.format_member(one) for one in listed]
                )

    def test_directory(self) -> None:
        """Guard against an odd member in the answers to callers."""
        instance = relay_states.Instance()
        names = (
            members.encode_member(instance.state.identity),
            'entry-2|127.1.2.4:80|zone-a|region|127.1.2.4:84',
            'entry-3|127.1.2.4:65536|zone-a|region|127.1.2.5:84',
        )
        state = members.record_members('zone-a', names, instance.state).state
        self.assertEqual(('127.1.2.4:80',), members.list_other_addresses(state))
