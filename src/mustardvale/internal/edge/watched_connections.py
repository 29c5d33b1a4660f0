"""Keep idle connections open, and report how they end."""

import errno
import typing
from collections import abc

from mustardvale.internal.edge import channels
from mustardvale.internal.relay import events as relay_events


class WatchedConnection:
    """Report what happens to the connection to one address."""

    def __init__(self, address: str, table: 'WatchedConnections') -> None:
        self.address = address
        self.table = table

    def on_connected(self, channel: channels.Channel) -> None:
        """Report that the connection was accepted."""
        self.table.emit_event(relay_events.WatchOpened, address=self.address)

    def on_received(self, channel: channels.Channel, received: bytes) -> None:
        """Close a connection that the other process ends or writes on.

        A server may write an error before it closes an idle connection.
        """
        self.table.channel_table.close(channel)
        self.table.end(self.address, relay_events.WatchEnd.LOST)

    def on_error(self, channel: channels.Channel, problem: str) -> None:
        """Report that the connection is lost or could not be opened."""
        end = relay_events.WatchEnd.FAILED
        if channel.is_connected:
            end = relay_events.WatchEnd.LOST
        elif channel.error_code == errno.ECONNREFUSED:
            end = relay_events.WatchEnd.REFUSED
        self.table.end(self.address, end)

    def on_drained(self, channel: channels.Channel) -> None:
        """Ignore the event: nothing is written."""


class WatchedConnections:
    """Keep one connection to each watched address."""

    def __init__(
        self,
        channel_table: channels.ChannelTable,
        emit_event: abc.Callable[..., None],
    ) -> None:
        self.channel_table = channel_table
        self.emit_event = emit_event
        self.channels: dict[str, channels.Channel] = {}

    def watch(self, addresses: typing.AbstractSet[str]) -> None:
        """Open the connections that are missing, and close all others."""
        for address in self.channels.keys() - addresses:
            self.channel_table.close(self.channels.pop(address))
        for address in sorted(addresses - self.channels.keys()):
            self.open(address)

    def open(self, address: str) -> None:
        """Open a connection; report a failure if there is no descriptor."""
        try:
            self.channels[address] = self.channel_table.connect(
                address, WatchedConnection(address, self)
            )
        except OSError:
            self.end(address, relay_events.WatchEnd.FAILED)

    def end(self, address: str, end: relay_events.WatchEnd) -> None:
        """Forget a connection that is closed, and report its end."""
        self.channels.pop(address, None)
        self.emit_event(relay_events.WatchEnded, address=address, end=end)
