"""Import every module that registers handlers with the reducer."""

from mustardvale.internal import (
    action_deadlines,
    actions,
    answers,
    attempt_streams,
    claims,
    configuration,
    entries,
    forwards,
    lifecycle,
    log_streams,
    membership,
    operations,
    partitions,
    reducer,
    sends,
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
    entries,
    forwards,
    lifecycle,
    log_streams,
    membership,
    operations,
    partitions,
    sends,
    statuses,
    upstreams,
)

reduce = reducer.reduce
