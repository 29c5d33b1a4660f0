"""Serve several engine stand-ins from one process, each at its own port."""

import secrets
import socket
import typing
from collections import abc

from mustardvale.internal import addresses
from mustardvale.internal.edge import http_server, performer, runtime
from standins import engine_faults, engine_group

TOKEN_BYTES = 4


class EngineServer(http_server.HttpServer):
    """Serve one engine on a circuits channel of its own."""

    def __init__(
        self,
        bind: tuple[str, int],
        codec: http_server.CallerCodec,
        emit_event: abc.Callable[..., None],
        id_prefix: str,
    ) -> None:
        super().__init__(bind, codec, emit_event, id_prefix)
        # circuits reads the channel whenever it handles an event, so it may be
        # changed until the first event.
        for component in (self, self.tcp, self.http):
            component.channel = id_prefix

    def close_port(self) -> None:
        """Close the port and all connections immediately."""
        sockets: list[socket.socket] = [self.tcp._sock, *self.tcp._clients]
        for sock in sockets:
            self.tcp._close(sock)

    def open_port(self) -> None:
        """Listen again at the same port."""
        if self.tcp._sock is None:
            self.tcp._sock = self.tcp._create_socket()
            self.tcp._poller.addReader(self.tcp, self.tcp._sock)


class ServerGroup:
    """Send each answer through the server of its engine.

    The group has the methods of `http_server.HttpServer` that the runtime uses.
    """

    def __init__(self) -> None:
        self.servers: dict[str, EngineServer] = {}

    def add(
        self,
        instance_id: str,
        address: str,
        loop: runtime.Runtime,
    ) -> None:
        """Start the server of an engine at `host:port`."""
        self.servers[instance_id] = EngineServer(
            addresses.split(address),
            engine_group.EngineCodec(instance_id),
            loop.emit_event,
            engine_group.build_id_prefix(
                instance_id,
                secrets.token_hex(TOKEN_BYTES),
            ),
        ).register(loop)

    def find_server(self, request_id: str) -> EngineServer:
        """Return the server that a request came to."""
        return self.servers[engine_group.parse_instance_id(request_id)]

    def reply(self, request_id: str, reply: typing.Any) -> None:
        """Send a complete answer."""
        self.find_server(request_id).reply(request_id, reply)

    def fail_request(self, request_id: str) -> None:
        """Answer a request that failed inside the reducer."""
        self.find_server(request_id).fail_request(request_id)

    def stream_part(self, request_id: str, part: typing.Any) -> None:
        """Send one part of a streamed answer."""
        self.find_server(request_id).stream_part(request_id, part)

    def end_stream(self, request_id: str, end: typing.Any) -> None:
        """Complete a streamed answer."""
        self.find_server(request_id).end_stream(request_id, end)

    def close_caller(self, request_id: str) -> None:
        """Close the connection of a caller."""
        self.find_server(request_id).close_caller(request_id)

    def drain_input(self) -> None:
        """Refuse incomplete requests before the loop stops."""
        for server in self.servers.values():
            server.drain_input()

    def is_flushed(self) -> bool:
        """Return whether no output is queued for any caller."""
        return all(server.is_flushed() for server in self.servers.values())


class EngineRuntime(runtime.Runtime):
    """Run the loop of a group of engines with one server for each."""

    def __init__(self, *arguments: typing.Any) -> None:
        super().__init__(*arguments)
        self.group = ServerGroup()
        # The group replaces the single server of a runtime.
        self.server: typing.Any = self.group


@performer.perform.register(engine_faults.CloseServer)
def close_server(
    effect: engine_faults.CloseServer,
    runtime: runtime.Runtime,  # noqa: WPS442
) -> None:
    """Close the port of an engine."""
    assert isinstance(runtime, EngineRuntime), (
        'the runtime has no engine servers'
    )
    runtime.group.servers[effect.instance_id].close_port()


@performer.perform.register(engine_faults.OpenServer)
def open_server(
    effect: engine_faults.OpenServer,
    runtime: runtime.Runtime,  # noqa: WPS442
) -> None:
    """Open the port of an engine again."""
    assert isinstance(runtime, EngineRuntime), (
        'the runtime has no engine servers'
    )
    runtime.group.servers[effect.instance_id].open_port()
