"""Import every module that registers handlers with the reducer."""

from mustardvale.internal import (
    admission,
    answers,
    configuration,
    entries,
    lifecycle,
    log_streams,
    membership,
    reducer,
    statuses,
    upstreams,
)

REGISTERED = (
    admission,
    answers,
    configuration,
    entries,
    lifecycle,
    log_streams,
    membership,
    statuses,
    upstreams,
)

reduce = reducer.reduce
