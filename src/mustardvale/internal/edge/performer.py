"""Perform the effects of reducers."""

import functools
import logging
import sys
import time
import typing

import prometheus_client

from mustardvale.internal import effects, pages
from mustardvale.internal.edge import trace_contexts

if typing.TYPE_CHECKING:
    from mustardvale.internal.edge import runtime as runtimes

logger = logging.getLogger('mustardvale')


@functools.singledispatch
def perform(effect: effects.Effect, runtime: 'runtimes.Runtime') -> None:
    """Perform one effect."""
    raise TypeError(f'no performer for {type(effect).__name__}')


@perform.register(effects.Call)
def perform_call(effect: effects.Call, runtime: 'runtimes.Runtime') -> None:
    """Start a call."""
    assert runtime.client is not None, 'a process that calls has a client'
    runtime.client.start_call(
        effect.call,
        effect.address,
        effect.timeout_seconds,
    )


@perform.register(effects.SetTimer)
def perform_set_timer(
    effect: effects.SetTimer,
    runtime: 'runtimes.Runtime',
) -> None:
    """Set a timer."""
    runtime.timer_queue.set_timer(effect.timer, effect.delay_seconds)


@perform.register(effects.CancelTimer)
def perform_cancel_timer(
    effect: effects.CancelTimer,
    runtime: 'runtimes.Runtime',
) -> None:
    """Cancel a timer."""
    runtime.timer_queue.cancel_timer(effect.timer)


@perform.register(effects.Reply)
def perform_reply(effect: effects.Reply, runtime: 'runtimes.Runtime') -> None:
    """Send a complete reply to a caller."""
    assert runtime.server is not None, 'a process that replies has a server'
    runtime.server.reply(
        effect.request_id,
        render_page(effect.reply, runtime),
    )


@functools.singledispatch
def render_page(reply: typing.Any, runtime: 'runtimes.Runtime') -> typing.Any:
    """Return the reply; render pages whose content only the edge has."""
    return reply


@render_page.register(pages.MetricsPage)
def render_metrics(
    reply: pages.MetricsPage,
    runtime: 'runtimes.Runtime',
) -> pages.Text:
    """Render the metrics in the Prometheus text format."""
    return pages.Text(
        runtime.metrics.expose(),
        prometheus_client.CONTENT_TYPE_LATEST,
    )


@render_page.register(pages.SpansPage)
def render_spans(
    reply: pages.SpansPage,
    runtime: 'runtimes.Runtime',
) -> pages.Text:
    """Render the latest spans as lines of JSON."""
    lines = '\n'.join(
        span.to_json(indent=None)
        for span in runtime.spans.processor.finished_spans
    )
    return pages.Text(lines.encode(), 'application/x-ndjson')


@perform.register(effects.StreamPart)
def perform_stream_part(
    effect: effects.StreamPart,
    runtime: 'runtimes.Runtime',
) -> None:
    """Send a part of a streamed answer."""
    assert runtime.server is not None, 'a process that streams has a server'
    runtime.server.stream_part(effect.request_id, effect.part)


@perform.register(effects.StreamEnd)
def perform_stream_end(
    effect: effects.StreamEnd,
    runtime: 'runtimes.Runtime',
) -> None:
    """Complete a streamed answer."""
    assert runtime.server is not None, 'a process that streams has a server'
    runtime.server.end_stream(effect.request_id, effect.end)


@perform.register(effects.CloseCaller)
def perform_close_caller(
    effect: effects.CloseCaller,
    runtime: 'runtimes.Runtime',
) -> None:
    """Close the connection of a caller."""
    assert runtime.server is not None, 'a process with callers has a server'
    runtime.server.close_caller(effect.request_id)


@perform.register(effects.ConnectPeers)
def perform_connect_peers(
    effect: effects.ConnectPeers,
    runtime: 'runtimes.Runtime',
) -> None:
    """Set the peers to stay connected to."""
    assert runtime.peers is not None, 'an entry instance has a peer socket'
    runtime.peers.connect_peers(effect.addresses)


@perform.register(effects.SendToPeer)
def perform_send_to_peer(
    effect: effects.SendToPeer,
    runtime: 'runtimes.Runtime',
) -> None:
    """Send a message to a peer."""
    assert runtime.peers is not None, 'an entry instance has a peer socket'
    runtime.peers.send(effect.address, effect.message)


@perform.register(effects.Count)
def perform_count(effect: effects.Count, runtime: 'runtimes.Runtime') -> None:
    """Add to a counter."""
    runtime.metrics.count(effect.counter, effect.labels, effect.amount)


@perform.register(effects.Observe)
def perform_observe(
    effect: effects.Observe,
    runtime: 'runtimes.Runtime',
) -> None:
    """Record a duration."""
    runtime.metrics.observe(effect.histogram, effect.seconds, effect.labels)


@perform.register(effects.SetGauge)
def perform_set_gauge(
    effect: effects.SetGauge,
    runtime: 'runtimes.Runtime',
) -> None:
    """Set a gauge."""
    runtime.metrics.set_gauge(effect.gauge, effect.level, effect.labels)


@perform.register(effects.LogChange)
def perform_log_change(
    effect: effects.LogChange,
    runtime: 'runtimes.Runtime',
) -> None:
    """Write a log line."""
    logger.info(effect.message, extra=dict(effect.fields))


@perform.register(effects.RecordSpan)
def perform_record_span(
    effect: effects.RecordSpan,
    runtime: 'runtimes.Runtime',
) -> None:
    """Record a span, if its trace is sampled."""
    if not trace_contexts.is_sampled(effect.traceparent):
        return
    runtime.spans.record(effect, time.time() - time.monotonic())


@perform.register(effects.Print)
def perform_print(effect: effects.Print, runtime: 'runtimes.Runtime') -> None:
    """Print a line to standard output."""
    sys.stdout.write(f'{effect.text}\n')
    sys.stdout.flush()


@perform.register(effects.StopLoop)
def perform_stop_loop(
    effect: effects.StopLoop,
    runtime: 'runtimes.Runtime',
) -> None:
    """Stop the loop after queued output has been written."""
    runtime.begin_stop(effect.exit_code, effect.flush_seconds)
