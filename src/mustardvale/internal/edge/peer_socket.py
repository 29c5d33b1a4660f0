"""Exchange messages with other entry instances over ZeroMQ."""

import typing
from collections import abc

import circuits
import zmq

from mustardvale.internal import events

HIGH_WATER_MARK_MESSAGES = 256
MAXIMUM_MESSAGE_BYTES = 4 * 1024 * 1024


class PeerDecodeError(Exception):
    """Report a frame that does not decode."""


class PeerCodec(typing.Protocol):
    """Encode and decode messages between entry instances."""

    def encode_message(self, sender: str, message: typing.Any) -> bytes:
        """Encode a message."""

    def decode_message(self, frame: bytes) -> tuple[str, typing.Any]:
        """Decode sender and message, or raise `PeerDecodeError`."""


class PeerSocket(circuits.Component):
    """Send to and receive from peers without blocking.

    The descriptor of a ZeroMQ socket is edge-triggered, and sending on a socket
    resets its edge. A separate socket therefore receives.
    """

    channel = 'peers'

    def __init__(
        self,
        address: str,
        codec: PeerCodec,
        poller: typing.Any,
        emit_event: abc.Callable[..., None],
        count: abc.Callable[..., None],
    ) -> None:
        super().__init__()
        self.address = address
        self.codec = codec
        self.emit_event = emit_event
        self.count = count
        self.context = zmq.Context()
        self.receiver = self.context.socket(zmq.PULL)
        self.receiver.set(zmq.MAXMSGSIZE, MAXIMUM_MESSAGE_BYTES)
        self.receiver.set(zmq.RCVHWM, HIGH_WATER_MARK_MESSAGES)
        self.receiver.bind(f'tcp://{address}')
        self.senders: dict[str, zmq.Socket[bytes]] = {}
        poller.addReader(self, self.receiver.get(zmq.FD))
        circuits.Timer(0, drain(), self.channel).register(self)

    @circuits.handler('_read', 'drain')
    def on_readable(self, *_: typing.Any) -> None:
        """Receive all queued messages: the descriptor is edge-triggered."""
        while int(self.receiver.get(zmq.EVENTS)) & zmq.POLLIN:
            self.receive(self.receiver.recv(zmq.NOBLOCK))

    def receive(self, frame: bytes) -> None:
        """Report a message; count and drop a frame that does not decode."""
        self.count('peer_bytes', ('received',), len(frame))
        try:
            sender, message = self.codec.decode_message(frame)
        except PeerDecodeError:
            self.count('peer_frames_rejected')
            return
        self.emit_event(
            events.PeerMessageReceived, sender=sender, message=message
        )

    def connect_peers(self, addresses: tuple[str, ...]) -> None:
        """Connect to exactly these addresses and close other connections."""
        for removed in set(self.senders) - set(addresses):
            self.senders.pop(removed).close(linger=0)
        for address in addresses:
            self.get_sender(address)

    def get_sender(self, address: str) -> 'zmq.Socket[bytes]':
        """Return the sending socket for an address; connect it if needed."""
        sender = self.senders.get(address)
        if sender is None:
            sender = self.context.socket(zmq.PUSH)
            sender.set(zmq.SNDHWM, HIGH_WATER_MARK_MESSAGES)
            sender.set(zmq.LINGER, 0)
            # Drop messages to a peer without a connection instead of queueing
            # them, so that none is delivered late.
            sender.set(zmq.IMMEDIATE, 1)
            sender.connect(f'tcp://{address}')
            self.senders[address] = sender
        return sender

    def send(self, address: str, message: typing.Any) -> None:
        """Send a message; without a connection, count it as dropped."""
        frame = self.codec.encode_message(self.address, message)
        try:
            self.get_sender(address).send(frame, zmq.NOBLOCK)
        except zmq.Again:
            self.count('peer_messages_dropped')
            return
        self.count('peer_bytes', ('sent',), len(frame))

    @circuits.handler('stopped', channel='*')
    def on_stopped(self, *_: typing.Any) -> None:
        """Close all sockets."""
        for sender in self.senders.values():
            sender.close(linger=0)
        self.receiver.close(linger=0)
        self.context.term()


class drain(circuits.Event):  # noqa: N801
    """Ask for a first read: messages may arrive before the polling starts."""
