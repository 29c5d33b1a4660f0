"""Keep finished spans for export."""

import collections
import typing

from opentelemetry import trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.trace.propagation import tracecontext

from mustardvale.internal import effects

MAXIMUM_SPANS_KEPT = 2048
NANOSECONDS_PER_SECOND = 1_000_000_000

PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


class RecentSpanProcessor(sdk_trace.SpanProcessor):
    """Keep the latest finished spans in memory.

    The batch processor of the SDK is not used: it starts a thread.
    """

    def __init__(self) -> None:
        self.finished_spans: collections.deque[typing.Any] = collections.deque(
            maxlen=MAXIMUM_SPANS_KEPT,
        )

    def on_end(self, span: typing.Any) -> None:
        """Keep a finished span."""
        self.finished_spans.append(span)


class SpanRecorder:
    """Record span effects as spans of the OpenTelemetry SDK."""

    def __init__(self) -> None:
        self.processor = RecentSpanProcessor()
        self.provider = sdk_trace.TracerProvider(
            resource=resources.Resource({'service.name': 'mustardvale'}),
            shutdown_on_exit=False,
        )
        self.provider.add_span_processor(self.processor)
        self.tracer = self.provider.get_tracer('mustardvale')

    def record(self, span: effects.RecordSpan, wall_offset: float) -> None:
        """Record a finished span in the trace of its request.

        `wall_offset` converts monotonic time to seconds since the epoch.
        """
        context = PROPAGATOR.extract({'traceparent': span.traceparent})
        sdk_span = self.tracer.start_span(
            span.name,
            context=context,
            kind=trace.SpanKind.SERVER,
            attributes=dict(span.attributes),
            start_time=to_nanoseconds(span.started_at + wall_offset),
        )
        sdk_span.end(to_nanoseconds(span.ended_at + wall_offset))


def to_nanoseconds(seconds: float) -> int:
    """Convert seconds to whole nanoseconds."""
    return int(seconds * NANOSECONDS_PER_SECOND)
