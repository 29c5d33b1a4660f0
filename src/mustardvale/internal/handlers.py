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
    load_reports,
    log_streams,
    membership,
    operations,
    partitions,
    prefixes,
    reducer,
    sends,
    statuses,
    suspicions,
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
    load_reports,
    log_streams,
    membership,
    operations,
    partitions,
    prefixes,
    sends,
    statuses,
    suspicions,
    upstreams,
)

reduce = reducer.reduce
