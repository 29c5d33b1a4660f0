"""Continue or start the trace of a request (W3C Trace Context, level 1)."""

import random
import re

# Share of the traces started here that are recorded. Recording all is costly:
# each stage of each token has a span.
SAMPLED_SHARE = 0.01

TRACEPARENT_PATTERN = re.compile(
    '00-(?!0{32})[0-9a-f]{32}-(?!0{16})[0-9a-f]{16}-[0-9a-f]{2}'
)
SAMPLED_FLAG = 1
TRACE_ID_BITS = 128
SPAN_ID_BITS = 64

# Trace ids must be unique, not unpredictable.
RANDOM = random.Random()


def continue_or_start_trace(header: str) -> str:
    """Return a valid received context, or that of a new trace."""
    if TRACEPARENT_PATTERN.fullmatch(header):
        return header
    return start_trace(RANDOM.random() < SAMPLED_SHARE)


def start_trace(has_sampled_flag: bool) -> str:
    """Return the context of a new trace."""
    trace_id = RANDOM.getrandbits(TRACE_ID_BITS) or 1
    span_id = RANDOM.getrandbits(SPAN_ID_BITS) or 1
    return f'00-{trace_id:032x}-{span_id:016x}-{int(has_sampled_flag):02x}'


def is_sampled(traceparent: str) -> bool:
    """Return whether the spans of a trace are recorded."""
    if not TRACEPARENT_PATTERN.fullmatch(traceparent):
        return False
    flags = int(traceparent.rpartition('-')[2], 16)
    return bool(flags & SAMPLED_FLAG)
