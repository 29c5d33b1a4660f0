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
    suspicions,
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
    suspicions,
    upstreams,
)

reduce = reducer.reduce
