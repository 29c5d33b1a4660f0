"""Read and write non-blocking sockets that a poller watches."""

import errno
import select
import socket
import struct
import time
import typing
from collections import abc

from circuits.core import pollers

from mustardvale.internal import addresses

PENDING_CONNECT_CODES = frozenset((0, errno.EINPROGRESS, errno.EWOULDBLOCK))
# No connection can be accepted, so that the listener stays readable.
EXHAUSTED_CODES = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)
RECEIVE_BYTES = 64 * 1024
# Events of one listener that are handled at once before it is closed; each
# accepts several connections.
MAXIMUM_ACCEPT_EVENTS = 8
# TCP_USER_TIMEOUT: a connection fails if sent data is not acknowledged for this
# long. The default of the kernel is many minutes.
USER_TIMEOUT_MS = 3000
# SO_LINGER with a time of 0: closing the socket resets the connection.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Channel:
    """Hold one socket, its queued output and the owner of its events.

    `error_code` is why the connection could not be opened, 0 if it is unknown.
    `written_at` is when output was queued or when part of it was written.
    """

    def __init__(
        self, sock: socket.socket, is_connected: bool, is_accepted: bool = False
    ) -> None:
        self.sock = sock
        self.is_connected = is_connected
        self.is_accepted = is_accepted
        self.output = bytearray()
        self.written_at = 0.0
        self.receive_bytes = RECEIVE_BYTES
        self.on_closed: abc.Callable[[], None] | None = None
        self.is_closing = False
        self.is_reading = False
        self.is_closed = False
        self.error_code = 0
        self.owner: typing.Any = None


class ChannelOwner(typing.Protocol):
    """Handle the events of a channel."""

    def on_connected(self, channel: Channel) -> None:
        """Handle an established connection."""

    def on_received(self, channel: Channel, received: bytes) -> None:
        """Handle input; empty input means the end of the peer's output."""

    def on_error(self, channel: Channel, problem: str) -> None:
        """Handle a connection that failed or could not be opened."""

    def on_drained(self, channel: Channel) -> None:
        """Handle that all queued output has been written."""


class DirectPoller(pollers.EPoll):
    """Call the channel table for its sockets' events, without an event queue.

    Two events in the queue of circuits for each part of a stream would take
    more time than the part itself.
    """

    channel_table: 'ChannelTable | None' = None

    def discard(self, sock: typing.Any) -> None:
        """Stop watching a socket, and forget its descriptor."""
        descriptor = sock.fileno()
        super().discard(sock)
        if self._map.get(descriptor) is sock:
            del self._map[descriptor]

    def _generate_events(self, event: typing.Any) -> None:
        """Wait for events, and handle those of sockets that are still open.

        The handler of one event may close the socket of another one. A new
        socket may then have its descriptor.
        """
        reported = [
            (self._map.get(descriptor), descriptor, flags)
            for descriptor, flags in self._poller.poll(event.time_left)
        ]
        for sock, descriptor, flags in reported:
            if self._map.get(descriptor) is sock:
                self._process(descriptor, flags)

    def _process(self, fileno: int, event: int) -> None:
        """Handle an event that the kernel reports for a descriptor."""
        sock = self._map.get(fileno)
        if self.channel_table is None or not self.channel_table.owns(sock):
            super()._process(fileno, event)
            return
        if event & select.EPOLLIN:
            self.channel_table.on_readable(sock)
        elif event & (select.EPOLLHUP | select.EPOLLERR):
            self.channel_table.on_disconnected(sock)
            return
        if event & select.EPOLLOUT:
            self.channel_table.on_writable(sock)


class ChannelTable:
    """Watch channels and listening sockets with one poller."""

    # circuits would fire events of these sockets under this name. `DirectPoller`
    # handles them instead.
    channel = 'channels'

    def __init__(self, poller: DirectPoller) -> None:
        self.poller = poller
        poller.channel_table = self
        self.channels: dict[socket.socket, Channel] = {}
        # Queued output on accepted connections, and on those opened here.
        self.queued_to_callers = 0
        self.queued_to_upstreams = 0
        self.listeners: dict[
            socket.socket, abc.Callable[[socket.socket], None]
        ] = {}

    def owns(self, sock: typing.Any) -> bool:
        """Return whether a socket belongs to this table."""
        return sock in self.channels or sock in self.listeners

    def listen(
        self,
        address: tuple[str, int],
        backlog: int,
        accept: abc.Callable[[socket.socket], None],
    ) -> None:
        """Accept connections at an address."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(backlog)
        sock.setblocking(False)
        self.listeners[sock] = accept
        self.poller.addReader(self, sock)

    def accept(self, listener: socket.socket) -> socket.socket | None:
        """Accept a connection, if there is one.

        A listener is not watched while the process can open no socket, because
        the poller would report its pending connections without end.
        """
        try:
            accepted, _ = listener.accept()
        except OSError as error:
            if error.errno in EXHAUSTED_CODES:
                self.poller.removeReader(listener)
            return None
        return accepted

    def pause_accepting(self, listener: socket.socket) -> None:
        """Leave a listener out until `watch_listeners` is called."""
        if self.poller.isReading(listener):
            self.poller.removeReader(listener)

    def watch_listeners(self) -> None:
        """Watch the listeners again that were left out."""
        for listener in self.listeners:
            if not self.poller.isReading(listener):
                self.poller.addReader(self, listener)

    def accept_pending(self) -> None:
        """Accept the connections that the poller has not reported yet."""
        for sock, accept in tuple(self.listeners.items()):
            for _ in range(MAXIMUM_ACCEPT_EVENTS):
                accept(sock)

    def stop_listening(self) -> None:
        """Close all listening sockets."""
        for sock in tuple(self.listeners):
            self.poller.discard(sock)
            sock.close()
        self.listeners.clear()

    def add_accepted(self, sock: socket.socket, owner: ChannelOwner) -> Channel:
        """Watch an accepted socket."""
        set_socket_options(sock)
        channel = Channel(sock, is_connected=True, is_accepted=True)
        channel.owner = owner
        self.channels[sock] = channel
        self.resume_reading(channel)
        return channel

    def connect(self, address: str, owner: ChannelOwner) -> Channel:
        """Open a connection, and report the outcome to its owner."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        set_socket_options(sock)
        channel = Channel(sock, is_connected=False)
        channel.owner = owner
        self.channels[sock] = channel
        try:
            code = sock.connect_ex(addresses.split(address))
        except (OSError, ValueError, OverflowError):
            code = errno.EADDRNOTAVAIL
        if code not in PENDING_CONNECT_CODES:
            # The owner learns of the failure from the poller, once it holds the
            # channel that is returned here.
            channel.is_closing = True
            channel.error_code = code
        self.poller.addWriter(self, sock)
        return channel

    def write(self, channel: Channel, output: bytes) -> None:
        """Write what the socket accepts at once, and queue the rest."""
        if channel.is_closed:
            return
        if channel.output or not channel.is_connected:
            self.queue_output(channel, output)
            return
        try:
            count = channel.sock.send(output)
        except BlockingIOError:
            count = 0
        except OSError as error:
            self.fail_channel(channel, str(error))
            return
        if count < len(output):
            self.queue_output(channel, output[count:])
            self.poller.addWriter(self, channel.sock)

    def queue_output(self, channel: Channel, output: bytes) -> None:
        """Queue output until the socket accepts it."""
        if not channel.output:
            channel.written_at = time.monotonic()
        channel.output += output
        self.count_queued(channel, len(output))

    def count_queued(self, channel: Channel, change: int) -> None:
        """Add to the queued bytes of the kind of a channel."""
        if channel.is_accepted:
            self.queued_to_callers += change
        else:
            self.queued_to_upstreams += change

    def close_when_written(self, channel: Channel) -> None:
        """Close a channel once its queued output has been written."""
        if channel.output and not channel.is_closed:
            channel.is_closing = True
        else:
            self.close(channel)

    def close(self, channel: Channel) -> None:
        """Close a channel at once, without a report to its owner."""
        if channel.is_closed:
            return
        channel.is_closed = True
        self.channels.pop(channel.sock, None)
        self.poller.discard(channel.sock)
        channel.sock.close()
        self.count_queued(channel, -len(channel.output))
        channel.output.clear()
        if channel.on_closed is not None:
            channel.on_closed()

    def reset(self, channel: Channel) -> None:
        """Close a channel with a reset, which discards its queued output."""
        if not channel.is_closed:
            channel.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        self.close(channel)

    def fail_channel(self, channel: Channel, problem: str) -> None:
        """Close a channel, and report the error to its owner."""
        if not channel.is_closed:
            self.close(channel)
            channel.owner.on_error(channel, problem)

    def pause_reading(self, channel: Channel) -> None:
        """Stop reading, so that TCP flow control slows the sender down."""
        if channel.is_reading and not channel.is_closed:
            channel.is_reading = False
            self.poller.removeReader(channel.sock)

    def resume_reading(self, channel: Channel) -> None:
        """Start reading, or start it again after a pause."""
        if not channel.is_reading and not channel.is_closed:
            channel.is_reading = True
            self.poller.addReader(self, channel.sock)

    def on_readable(self, sock: socket.socket) -> None:
        """Accept connections, or read input."""
        accept = self.listeners.get(sock)
        if accept is not None:
            accept(sock)
            return
        channel = self.channels.get(sock)
        if channel is None or not channel.is_reading:
            return
        try:
            received = sock.recv(channel.receive_bytes)
        except BlockingIOError:
            return
        except OSError as error:
            self.fail_channel(channel, str(error))
            return
        channel.owner.on_received(channel, received)

    def call_when_writable(self, channel: Channel) -> None:
        """Call `on_drained` in a later turn, after other sockets' events."""
        if not channel.is_closed and not self.poller.isWriting(channel.sock):
            self.poller.addWriter(self, channel.sock)

    def read_available(self, channel: Channel) -> None:
        """Read input that the poller has not reported yet."""
        self.on_readable(channel.sock)

    def has_unread_input(self, channel: Channel) -> bool:
        """Return whether input waits that the poller has not reported yet."""
        if channel.is_closed:
            return False
        try:
            return bool(channel.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            # Nothing has arrived, or the connection is broken.
            return False

    def on_writable(self, sock: socket.socket) -> None:
        """Complete the connection, or write queued output."""
        channel = self.channels.get(sock)
        if channel is None:
            return
        if not channel.is_connected:
            self.complete_connect(channel)
            return
        self.write_queued(channel)

    def complete_connect(self, channel: Channel) -> None:
        """Report to the owner whether the connection was established."""
        code = channel.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code or channel.is_closing:
            channel.error_code = code or channel.error_code
            self.fail_channel(channel, f'connect failed ({code})')
            return
        channel.is_connected = True
        self.resume_reading(channel)
        channel.owner.on_connected(channel)
        if not channel.is_closed:
            self.write_queued(channel)

    def write_queued(self, channel: Channel) -> None:
        """Write queued output, and stop watching once it is all written."""
        if channel.output:
            try:
                count = channel.sock.send(channel.output)
            except BlockingIOError:
                return
            except OSError as error:
                self.fail_channel(channel, str(error))
                return
            del channel.output[:count]
            channel.written_at = time.monotonic()
            self.count_queued(channel, -count)
        if channel.output:
            return
        self.poller.removeWriter(channel.sock)
        if channel.is_closing:
            self.close(channel)
        else:
            channel.owner.on_drained(channel)

    def on_disconnected(self, sock: socket.socket) -> None:
        """Fail a channel whose socket reports an error or a hang-up."""
        channel = self.channels.get(sock)
        if channel is None:
            return
        if not channel.is_connected and not channel.error_code:
            channel.error_code = sock.getsockopt(
                socket.SOL_SOCKET, socket.SO_ERROR
            )
        self.fail_channel(channel, 'connection failed')


def set_socket_options(sock: socket.socket) -> None:
    """Make a socket non-blocking, and set its TCP options."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )
