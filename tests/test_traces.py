"""Test the trace contexts of requests and the recording of spans."""

import unittest

import immutables

from mustardvale.internal import effects
from mustardvale.internal.edge import (
    codec,
    entry_metrics,
    performer,
    runtime,
    trace_contexts,
    wire,
)

SAMPLED = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'
UNSAMPLED = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00'


def decode(header: str) -> str:
    """Return the context of a request with a `traceparent` header."""
    headers = immutables.Map({'traceparent': header} if header else {})
    raw = wire.RawRequest('GET', '/v1/entries', '', headers, b'')
    return codec.decode_request(raw).traceparent


class Context(unittest.TestCase):
    """All spans of one request belong to one trace."""

    def test_context_of_the_caller_is_kept(self) -> None:
        """Guard against a trace that ends at the entry instance."""
        self.assertEqual(decode(SAMPLED), SAMPLED)

    def test_request_without_context_begins_one_trace(self) -> None:
        """Guard against a request that has no trace context."""
        self.assertRegex(decode(''), trace_contexts.TRACEPARENT_PATTERN)

    def test_malformed_context_is_replaced(self) -> None:
        """Guard against spans with an invalid trace context."""
        for header in ('x', '00-' + '0' * 32 + '-' + '1' * 16 + '-01'):
            self.assertRegex(decode(header), trace_contexts.TRACEPARENT_PATTERN)
            self.assertNotEqual(decode(header), header)


class Sampling(unittest.TestCase):
    """Only the spans of sampled traces are recorded."""

    def record(self, traceparent: str) -> list[object]:
        """Record one span and return the kept spans."""
        loop = runtime.Runtime(
            lambda event, state: None,
            None,
            performer.perform,
            entry_metrics.build(),
        )
        span = effects.RecordSpan('stage', traceparent, 1, 2)
        performer.perform(span, loop)
        return list(loop.spans.processor.finished_spans)

    def test_sampled_span_has_the_trace_of_the_caller(self) -> None:
        """Guard against a span outside the trace of its request."""
        (span,) = self.record(SAMPLED)
        self.assertEqual(f'{span.context.trace_id:032x}', SAMPLED[3:35])

    def test_unsampled_span_is_not_recorded(self) -> None:
        """Guard against the cost of spans of unsampled traces."""
        self.assertEqual(self.record(UNSAMPLED), [])
