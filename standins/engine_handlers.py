"""Import the modules that register handlers with `engine.reduce`."""

from standins import (
    engine,
    engine_batches,
    engine_faults,
    engine_orders,
    engine_reports,
    engine_sessions,
    engine_streams,
)

reduce = engine.reduce

REGISTERED = (
    engine_batches,
    engine_faults,
    engine_orders,
    engine_reports,
    engine_sessions,
    engine_streams,
)
