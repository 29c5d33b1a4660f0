"""Import every module that registers handlers with the reducer."""

from mustardvale.internal import (
    answers,
    configuration,
    document_copies,
    entries,
    lifecycle,
    log_streams,
    membership,
    reducer,
    snapshots,
    statuses,
    upstreams,
)

REGISTERED = (
    answers,
    configuration,
    document_copies,
    entries,
    lifecycle,
    log_streams,
    membership,
    snapshots,
    statuses,
    upstreams,
)

reduce = reducer.reduce
