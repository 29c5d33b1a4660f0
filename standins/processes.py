"""Run a stand-in as a process."""

import secrets
import typing

from mustardvale.internal import addresses
from mustardvale.internal.edge import (
    http_client,
    http_server,
    logs,
    metrics,
    performer,
    runtime,
)
from mustardvale.internal.edge import loop as loops


def run(
    name: str,
    address: str,
    reduce: loops.Reduce,
    state: typing.Any,
    codec: http_server.CallerCodec,
    call_codec: http_client.CallCodec | None = None,
) -> None:
    """Serve a reducer at `host:port` until the process is stopped."""
    logs.configure('INFO', name)
    loop = runtime.Runtime(reduce, state, performer.perform, metrics.Metrics())
    loop.server = http_server.HttpServer(
        addresses.split(address),
        codec,
        loop.emit_event,
        f'{name}-{secrets.token_hex(4)}',
    ).register(loop)
    if call_codec is not None:
        loop.client = http_client.HttpClient(
            call_codec,
            loop.poller,
            loop.emit_event,
        ).register(loop)
    loop.run()
