"""Run the proxy that injects faults into the connections of a site.

    python -m standins.loopback_proxy_main PLAN

PLAN is a JSON file with the `control` address, which takes faults, and `links`,
each with its `name` and the addresses `listen` and `target`.
"""

import functools
import itertools
import json
import pathlib
import socket
import struct
import typing

import fire
import immutables

from mustardvale.internal import addresses
from mustardvale.internal.edge import (
    channels,
    logs,
    loop,
    metrics,
    performer,
    relay_server,
    relay_wire,
    wire,
)
from standins import loopback_proxy

BACKLOG = 128
CONTROL_LISTENER = 'control'
# Closing a socket with a linger time of zero resets its connection.
RESET_LINGER = struct.pack('ii', 1, 0)


class ControlCodec:
    """Decode requests to set faults and encode their answers."""

    def decode_request(
        self, received: relay_wire.ReceivedRequest
    ) -> typing.Any:
        """Decode faults, or raise `wire.DecodeError`."""
        try:
            return loopback_proxy.decode_faults(json.loads(received.body))
        except (KeyError, TypeError, ValueError) as error:
            raise wire.DecodeError(400, 'malformed', repr(error)) from error

    def encode_reply(
        self, reply: typing.Any
    ) -> tuple[relay_wire.ReplyHead, bytes]:
        """Encode a confirmation."""
        return relay_wire.ReplyHead(200), b'{}'

    def encode_head(self, head: typing.Any) -> relay_wire.ReplyHead:
        """Raise an error: no request here has a streamed answer."""
        raise TypeError(type(head).__name__)

    def encode_error(
        self, status: int, code: str, message: str
    ) -> tuple[relay_wire.ReplyHead, bytes]:
        """Encode the answer to a request that did not decode."""
        return relay_wire.ReplyHead(status), message.encode()


class SideOwner:
    """Report the events of one side of a connection."""

    def __init__(
        self, number: int, side: loopback_proxy.Side, runtime: 'ProxyLoop'
    ) -> None:
        self.number = number
        self.side = side
        self.runtime = runtime

    def on_connected(self, channel: channels.Channel) -> None:
        """Do nothing: the table writes the output that waited."""

    def on_received(self, channel: channels.Channel, received: bytes) -> None:
        """Report input."""
        if not received:
            # Otherwise the poller reports the end of the input repeatedly.
            self.runtime.table.pause_reading(channel)
        self.runtime.emit_event(
            loopback_proxy.BytesReceived,
            connection=self.number,
            side=self.side,
            received=received,
        )

    def on_error(self, channel: channels.Channel, problem: str) -> None:
        """Report an error on this side."""
        self.runtime.emit_event(
            loopback_proxy.ConnectionBroken, connection=self.number
        )

    def on_drained(self, channel: channels.Channel) -> None:
        """Do nothing: written output needs no reaction."""


class ProxyLoop(loop.Loop):
    """Run the loop that forwards the connections of all links."""

    def __init__(self, plan: dict[str, typing.Any]) -> None:
        poller = channels.DirectPoller()
        targets = {row['name']: row['target'] for row in plan['links']}
        super().__init__(
            loopback_proxy.reduce,
            loopback_proxy.State(immutables.Map(targets)),
            performer.perform,
            metrics.Metrics(),
            poller=poller,
        )
        self.table = channels.ChannelTable(poller)
        self.control = relay_server.RelayServer(
            self.table, ControlCodec(), self.emit_event
        )
        self.server = self.control
        self.control.listen(CONTROL_LISTENER, addresses.split(plan['control']))
        self.numbers = itertools.count(1)
        self.sides: dict[tuple[int, loopback_proxy.Side], channels.Channel] = {}
        for row in plan['links']:
            self.table.listen(
                addresses.split(row['listen']),
                BACKLOG,
                functools.partial(self.accept_callers, row['name']),
            )

    def accept_callers(self, link: str, sock: socket.socket) -> None:
        """Accept all pending connections of a link."""
        while True:
            try:
                accepted, _ = sock.accept()
            except OSError:
                # No connection is pending, or a caller has reset one.
                return
            number = next(self.numbers)
            side = loopback_proxy.Side.CALLER
            owner = SideOwner(number, side, self)
            self.sides[number, side] = self.table.add_accepted(accepted, owner)
            self.emit_event(
                loopback_proxy.ConnectionAccepted, link=link, connection=number
            )

    def connect_target(self, number: int, address: str) -> None:
        """Connect to the target of a connection."""
        side = loopback_proxy.Side.TARGET
        owner = SideOwner(number, side, self)
        self.sides[number, side] = self.table.connect(address, owner)

    def forward(
        self, number: int, source: loopback_proxy.Side, received: bytes
    ) -> None:
        """Write bytes from one side to the other."""
        sides = set(loopback_proxy.Side) - {source}
        channel = self.sides.get((number, sides.pop()))
        if channel is not None:
            self.table.write(channel, received)

    def close_connection(self, number: int, reset: bool) -> None:
        """Close both sides after their pending output, or reset them."""
        for side in loopback_proxy.Side:
            channel = self.sides.pop((number, side), None)
            if channel is None or channel.is_closed:
                continue
            if reset:
                channel.sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER
                )
                self.table.close(channel)
            else:
                self.table.close_when_written(channel)


@performer.perform.register(loopback_proxy.Connect)
def perform_connect(effect: loopback_proxy.Connect, runtime: ProxyLoop) -> None:
    """Connect to the target of a connection."""
    runtime.connect_target(effect.connection, effect.address)


@performer.perform.register(loopback_proxy.Forward)
def perform_forward(effect: loopback_proxy.Forward, runtime: ProxyLoop) -> None:
    """Forward bytes."""
    runtime.forward(effect.connection, effect.source, effect.forwarded)


@performer.perform.register(loopback_proxy.CloseConnection)
def perform_close(
    effect: loopback_proxy.CloseConnection, runtime: ProxyLoop
) -> None:
    """Close a connection."""
    runtime.close_connection(effect.connection, effect.reset)


def serve(plan: str) -> None:
    """Serve until the process is stopped."""
    logs.configure('INFO', 'proxy')
    ProxyLoop(json.loads(pathlib.Path(plan).read_text())).run()


if __name__ == '__main__':
    fire.Fire(serve)
