"""Run a reducer on the loop of circuits, with spans and sockets."""

import typing

from mustardvale.internal.edge import (
    http_client,
    http_server,
    loop,
    metrics,
    peer_socket,
    tracing,
)


class Runtime(loop.Loop):
    """Extend the loop by spans and by the sockets of an entry instance."""

    def __init__(
        self,
        reduce: loop.Reduce,
        state: typing.Any,
        perform: loop.Perform,
        metric_table: metrics.Metrics,
    ) -> None:
        super().__init__(reduce, state, perform, metric_table)
        self.spans = tracing.SpanRecorder()
        self.client: http_client.HttpClient | None = None
        self.server: http_server.HttpServer | None = None
        self.peers: peer_socket.PeerSocket | None = None
