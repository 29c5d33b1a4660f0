"""Import every module that registers handlers with the reducer."""

from mustardvale.internal import (
    action_deadlines,
    actions,
    answers,
    attempt_streams,
    claims,
    configuration,
    document_copies,
    entries,
    forwards,
    lifecycle,
    log_streams,
    membership,
    operations,
    partitions,
    reducer,
    sends,
    snapshots,
    statuses,
    upstreams,
)

REGISTERED = (
    action_deadlines,
    actions,
    answers,
    attempt_streams,
    claims,
    configuration,
    document_copies,
    entries,
    forwards,
    lifecycle,
    log_streams,
    membership,
    operations,
    partitions,
    sends,
    snapshots,
    statuses,
    upstreams,
)

reduce = reducer.reduce
