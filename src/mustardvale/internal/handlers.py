"""Import every module that registers handlers with the reducer."""

from mustardvale.internal import (
    actions,
    answers,
    configuration,
    entries,
    lifecycle,
    log_streams,
    membership,
    operations,
    reducer,
    statuses,
    upstreams,
)

REGISTERED = (
    actions,
    answers,
    configuration,
    entries,
    lifecycle,
    log_streams,
    membership,
    operations,
    statuses,
    upstreams,
)

reduce = reducer.reduce
