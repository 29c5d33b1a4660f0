"""Import every module that registers handlers with the reducer."""

from mustardvale.internal import (
    answers,
    configuration,
    entries,
    lifecycle,
    load_reports,
    log_streams,
    membership,
    prefixes,
    reducer,
    statuses,
    upstreams,
)

REGISTERED = (
    answers,
    configuration,
    entries,
    lifecycle,
    load_reports,
    log_streams,
    membership,
    prefixes,
    statuses,
    upstreams,
)

reduce = reducer.reduce
