"""Import every module that registers handlers with the reducer."""

from mustardvale.internal.relay import (
    admission,
    answers,
    configuration_feed,
    crash_tracking,
    failed_events,
    fault_moves,
    fault_telling,
    idle_connections,
    lifecycle,
    members,
    monitoring,
    moves,
    orders,
    peer_feed,
    peer_updates,
    reducer,
    runner_list,
    startup_admission,
    store_copies,
    runner_watch,
)

REGISTERED = (
    admission,
    answers,
    configuration_feed,
    crash_tracking,
    failed_events,
    fault_moves,
    fault_telling,
    idle_connections,
    lifecycle,
    members,
    moves,
    orders,
    peer_feed,
    peer_updates,
    runner_list,
    store_copies,
    runner_watch,
    monitoring,
    startup_admission,
)

reduce = reducer.reduce
