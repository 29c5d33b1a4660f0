"""Import all modules that register handlers with the engine stand-in."""

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

MODULES = (
    engine_batches,
    engine_faults,
    engine_orders,
    engine_reports,
    engine_sessions,
    engine_streams,
)
