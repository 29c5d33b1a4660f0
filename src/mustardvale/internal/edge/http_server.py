"""Serve callers over HTTP with circuits.web."""

import socket
import typing
from collections import abc

import circuits
import immutables
from circuits.web import events as web_events
from circuits.web import http

from mustardvale.internal import events
from mustardvale.internal.edge import http_checks, http_guard, wire

MAXIMUM_QUEUED_BYTES = 256 * 1024
LOWEST_SERVER_ERROR_STATUS = 500


class CallerCodec(typing.Protocol):
    """Decode requests of callers and encode replies."""

    def decode_request(self, raw: wire.RawRequest) -> typing.Any:
        """Decode a request, or raise `wire.DecodeError`."""

    def encode_reply(self, reply: typing.Any) -> wire.RawReply:
        """Encode a complete reply."""

    def encode_part(self, part: typing.Any) -> bytes:
        """Encode one part of a streamed answer."""

    def encode_error(self, error: wire.DecodeError) -> wire.RawReply:
        """Encode the error reply to a request that did not decode."""


class Exchange:
    """Track one request from its arrival to the end of its answer.

    `is_blocked` is true while the caller reads more slowly than parts arrive.
    """

    def __init__(self, request: typing.Any, response: typing.Any) -> None:
        self.request = request
        self.response = response
        self.is_streaming = False
        self.queued_bytes = 0
        self.is_blocked = False


class HttpServer(circuits.Component):
    """Report requests as events and send the replies that effects carry."""

    channel = 'web'

    def __init__(
        self,
        bind: tuple[str, int],
        codec: CallerCodec,
        emit_event: abc.Callable[..., None],
        id_prefix: str,
        limits: http_checks.Limits | None = None,
    ) -> None:
        super().__init__()
        self.codec = codec
        self.emit_event = emit_event
        self.id_prefix = id_prefix
        self.request_count = 0
        self.exchanges: dict[str, Exchange] = {}
        self.request_ids: dict[socket.socket, str] = {}
        self.tcp = http_guard.CallerListener(bind, channel='web').register(self)
        self.http = http.HTTP(self.tcp, channel='web').register(self)
        self.guard: http_guard.HttpGuard | None = None
        if limits is not None:
            self.guard = http_guard.HttpGuard(
                self.tcp,
                codec.encode_error,
                limits,
            ).register(self)

    @circuits.handler('request', priority=1)
    def on_request(
        self, event: typing.Any, request: typing.Any, response: typing.Any
    ) -> bool:
        """Report a request.

        circuits.web sends no answer of its own if the returned value is a
        boolean.
        """
        self.request_count += 1
        request_id = f'{self.id_prefix}-{self.request_count}'
        self.exchanges[request_id] = Exchange(request, response)
        self.request_ids[request.sock] = request_id
        try:
            decoded = self.codec.decode_request(build_raw_request(request))
        except wire.DecodeError as error:
            self.send_raw(request_id, self.codec.encode_error(error))
            return True
        self.emit_event(
            events.CallerRequested,
            request_id=request_id,
            request=decoded,
        )
        return True

    @circuits.handler('httperror', priority=1)
    def on_http_error(
        self,
        event: typing.Any,
        request: typing.Any,
        response: typing.Any,
        code: int | None = None,
        **_: typing.Any,
    ) -> None:
        """Answer requests that circuits.web rejects with a JSON error."""
        event.stop()
        status = int(code or event.code)
        error = wire.DecodeError(status, 'malformed_request', 'bad request')
        if status >= LOWEST_SERVER_ERROR_STATUS:
            error = wire.DecodeError(status, 'internal_error', 'server error')
        response.close = True
        self.respond(response, self.codec.encode_error(error))

    @circuits.handler('disconnect')
    def on_disconnect(self, sock: socket.socket) -> None:
        """Report a caller that disconnected before the end of its answer."""
        request_id = self.request_ids.pop(sock, None)
        if self.exchanges.pop(request_id or '', None) is not None:
            self.emit_event(events.CallerLeft, request_id=request_id)

    @circuits.handler('_write')
    def on_written(self, sock: socket.socket) -> None:
        """Report that a blocked caller has caught up: its output is written."""
        request_id = self.request_ids.get(sock)
        exchange = self.exchanges.get(request_id or '')
        if exchange is None or self.tcp._buffers.get(sock):
            return
        exchange.queued_bytes = 0
        if exchange.is_blocked:
            exchange.is_blocked = False
            self.emit_event(events.CallerCaughtUp, request_id=request_id)

    def reply(self, request_id: str, reply: typing.Any) -> None:
        """Send a complete reply, unless the caller has disconnected."""
        self.send_raw(request_id, self.codec.encode_reply(reply))

    def fail_request(self, request_id: str) -> None:
        """Answer a request whose event the reducer failed to handle."""
        exchange = self.exchanges.get(request_id)
        if exchange is not None and exchange.is_streaming:
            self.close_caller(request_id)
            return
        error = wire.DecodeError(500, 'internal_error', 'internal error')
        self.send_raw(request_id, self.codec.encode_error(error))

    def send_raw(self, request_id: str, raw: wire.RawReply) -> None:
        """Send an encoded complete reply."""
        exchange = self.remove_exchange(request_id)
        if exchange is not None:
            self.respond(exchange.response, raw)

    def respond(self, response: typing.Any, raw: wire.RawReply) -> None:
        """Send an encoded reply through a response of circuits.web."""
        set_head(response, raw)
        response.body = raw.body
        self.fire(web_events.response(response))

    def stream_part(self, request_id: str, part: typing.Any) -> None:
        """Send one part of a streamed answer; report a slow caller."""
        exchange = self.exchanges.get(request_id)
        if exchange is None:
            return
        self.begin_stream(exchange)
        body = self.codec.encode_part(part)
        self.fire(web_events.stream(exchange.response, body))
        exchange.queued_bytes += len(body)
        if exchange.queued_bytes > MAXIMUM_QUEUED_BYTES and (
            not exchange.is_blocked
        ):
            exchange.is_blocked = True
            self.emit_event(events.CallerBlocked, request_id=request_id)

    def end_stream(self, request_id: str, end: typing.Any) -> None:
        """Send the last part of a streamed answer and complete it."""
        exchange = self.remove_exchange(request_id)
        if exchange is None:
            return
        self.begin_stream(exchange)
        body = self.codec.encode_part(end)
        self.fire(web_events.stream(exchange.response, body))
        self.fire(web_events.stream(exchange.response, None))

    def begin_stream(self, exchange: Exchange) -> None:
        """Send the head of a streamed answer, unless it was sent."""
        if exchange.is_streaming:
            return
        exchange.is_streaming = True
        response = exchange.response
        head = wire.RawReply(200, None, (), 'application/x-ndjson')
        set_head(response, head)
        response.stream = True
        # With an empty tuple circuits.web announces no content length.
        response.body = ()
        self.fire(web_events.response(response))

    def close_caller(self, request_id: str) -> None:
        """Close a connection, so that the caller sees a truncated answer."""
        exchange = self.remove_exchange(request_id)
        if exchange is not None:
            self.tcp.close(exchange.request.sock)

    def remove_exchange(self, request_id: str) -> Exchange | None:
        """Remove and return the exchange of a request."""
        exchange = self.exchanges.pop(request_id, None)
        if exchange is not None:
            self.request_ids.pop(exchange.request.sock, None)
        return exchange

    def drain_input(self) -> None:
        """Refuse incomplete requests before the loop stops."""
        if self.guard is not None:
            self.guard.refuse_incomplete()

    def is_flushed(self) -> bool:
        """Return whether no output is queued, and no announced rest missing."""
        if self.guard is not None and self.guard.is_delaying_stop():
            return False
        return not any(self.tcp._buffers.values())


def set_head(response: typing.Any, raw: wire.RawReply) -> None:
    """Set the status and headers of a response."""
    response.status = raw.status
    response.headers['Content-Type'] = raw.content_type
    for name, value in raw.headers:
        response.headers[name] = value


def build_raw_request(request: typing.Any) -> wire.RawRequest:
    """Convert a request of circuits.web; HEAD is handled as GET."""
    return wire.RawRequest(
        method='GET' if request.method == 'HEAD' else request.method,
        path=request.path,
        query=request.qs or '',
        headers=immutables.Map(
            {name.lower(): value for name, value in request.headers.items()}
        ),
        body=request.body.read(),
        caller_address=f'{request.remote.ip}:{request.remote.port}',
    )
