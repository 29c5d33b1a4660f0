"""Test the sockets of a poller, without a loop around it."""

import os
import socket
import struct
import time
import typing
import unittest

from bench import processes
from mustardvale.internal import addresses
from mustardvale.internal.edge import channels

# Output that the socket buffers of the loopback interface cannot hold.
EXCESS_OUTPUT = bytes(32 * 1024 * 1024)
# The kernel reports what happened on the loopback interface within this time.
DELIVERY_SECONDS = 0.05
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class PollEvent:
    """Provide the time limit of a poll."""

    time_left = 0.0


class Owner:
    """Record the events of a channel; react to input as a test sets."""

    def __init__(self) -> None:
        self.received: list[bytes] = []
        self.problems: list[str] = []
        self.is_connected = False
        self.react: typing.Callable[[], None] = bool

    def on_connected(self, channel: channels.Channel) -> None:
        """Record that the connection was established."""
        self.is_connected = True

    def on_received(self, channel: channels.Channel, received: bytes) -> None:
        """Record and react to input."""
        self.received.append(received)
        self.react()

    def on_error(self, channel: channels.Channel, problem: str) -> None:
        """Record a failure."""
        self.problems.append(problem)

    def on_drained(self, channel: channels.Channel) -> None:
        """Ignore that all output has been written."""


class ReusedDescriptors(unittest.TestCase):
    """An event of a closed socket doesn't act on the next one.

    One poll reports events of many sockets. A handler of the first ones may
    close another socket, whose descriptor the kernel then gives to a new one.
    """

    def setUp(self) -> None:
        self.poller = channels.DirectPoller()
        self.table = channels.ChannelTable(self.poller)
        self.addCleanup(self.table.stop_listening)
        self.accepted: list[channels.Channel] = []
        self.address = processes.find_free_addresses(1)[0]
        self.table.listen(addresses.split(self.address), 8, self.accept)

    def accept(self, listener: socket.socket) -> None:
        """Accept the pending connection."""
        sock, _ = listener.accept()
        self.accepted.append(self.table.add_accepted(sock, Owner()))

    def open_pair(self) -> tuple[socket.socket, channels.Channel]:
        """Return the peer's socket and the channel of a connection."""
        with socket.create_server(('127.0.0.1', 0)) as server:
            peer = socket.create_connection(server.getsockname())
            own, _ = server.accept()
        self.addCleanup(peer.close)
        channel = self.table.add_accepted(own, Owner())
        self.addCleanup(self.table.close, channel)
        return peer, channel

    def open_unread(self) -> tuple[socket.socket, channels.Channel]:
        """Return a connection that is polled for output only.

        So is one that is being opened. Its hang-up is reported without input.
        """
        peer, channel = self.open_pair()
        self.table.pause_reading(channel)
        self.table.write(channel, EXCESS_OUTPUT)
        return peer, channel

    def occupy_descriptors(self, highest: int) -> None:
        """Occupy all free descriptors up to one."""
        descriptor = -1
        while descriptor < highest:
            descriptor = os.dup(0)
            self.addCleanup(os.close, descriptor)

    def reset(self, peer: socket.socket) -> None:
        """Reset a connection, and occupy the descriptor of the peer."""
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        descriptor = peer.fileno()
        peer.close()
        self.occupy_descriptors(descriptor)

    def poll(self) -> None:
        """Handle all events of one poll."""
        time.sleep(DELIVERY_SECONDS)
        self.poller._generate_events(PollEvent())

    def test_hang_up_spares_a_caller_that_was_accepted_meanwhile(self) -> None:
        """Guard against a caller that gets neither an answer nor a refusal."""
        closed_peer, closed = self.open_unread()
        peer, trigger = self.open_pair()
        trigger.owner.react = lambda: self.table.close(closed)
        descriptor = closed.sock.fileno()
        peer.sendall(b'close the other one')
        caller = socket.create_connection(addresses.split(self.address))
        self.addCleanup(caller.close)
        caller.sendall(b'a whole request')
        self.occupy_descriptors(descriptor)
        self.reset(closed_peer)
        self.poll()
        (accepted,) = self.accepted
        self.assertEqual(descriptor, accepted.sock.fileno())
        self.poll()
        self.assertEqual([b'a whole request'], accepted.owner.received)

    def test_hang_up_spares_a_connection_that_is_opened_meanwhile(self) -> None:
        """Guard against an upstream that counts as unreachable."""
        closed_peer, closed = self.open_unread()
        peer, trigger = self.open_pair()
        owner = Owner()
        opened: list[channels.Channel] = []

        def replace_closed() -> None:
            self.table.close(closed)
            opened.append(self.table.connect(self.address, owner))
            descriptors.append(opened[0].sock.fileno())

        descriptors = [closed.sock.fileno()]
        trigger.owner.react = replace_closed
        self.occupy_descriptors(descriptors[0])
        peer.sendall(b'close the other one')
        self.reset(closed_peer)
        self.poll()
        self.assertEqual(descriptors[0], descriptors[1])
        self.poll()
        self.assertEqual([], owner.problems)
        self.assertTrue(owner.is_connected)

    def test_events_behind_one_of_a_closed_socket_are_handled(self) -> None:
        """Guard against a poll that ends with an exception."""
        closed_peer, closed = self.open_unread()
        peer, trigger = self.open_pair()
        last_peer, last = self.open_pair()
        trigger.owner.react = lambda: self.table.close(closed)
        peer.sendall(b'close the other one')
        self.reset(closed_peer)
        time.sleep(DELIVERY_SECONDS)
        last_peer.sendall(b'behind it')
        self.poll()
        self.assertEqual([b'behind it'], last.owner.received)
