"""Define the state of an instance that relays requests."""

import dataclasses

import immutables

from mustardvale.internal.relay import (
    capacity_waits,
    configuration,
    crash_evidence,
    fault_reports,
    idle_connections,
    instance_settings,
)
from mustardvale.internal.relay import exchanges as exchange_tables
from mustardvale.internal.relay import loads as load_tables
from mustardvale.internal.relay import members as member_tables
from mustardvale.internal.relay import orders as order_tables
from mustardvale.internal.relay import part_terms as part_term_tables
from mustardvale.internal.relay import peer_feed as peer_feeds
from mustardvale.internal.relay import retry_budgets as retry_budget_tables
from mustardvale.internal.relay import runner_list as runner_lists
from mustardvale.internal.relay import runner_watch as runner_watches
from mustardvale.internal.relay import runners as runner_tables
from mustardvale.internal.relay import startup_waits
from mustardvale.internal.relay import stopping as shutdowns
from mustardvale.internal.relay import store_copies
from mustardvale.internal.relay import upstream_pace as pace_tables


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationState:
    """Hold the active configuration and when it was last confirmed.

    `position` is the position in the log of the store to continue from, and
    `confirmed_at` the time at which the read that last confirmed the
    configuration was sent. `confirmed_era` is the era of the store that it was
    confirmed in. `is_reading` is true while a read is pending or
    scheduled. `failing_since` is when the store stopped to answer these reads,
    and `failed_at` when the last of them failed. `unshown_version` is the
    version that a restored store has not shown again yet, and `None` if it
    needs not.
    """

    active: configuration.Configuration | None = None
    position: int | None = None
    confirmed_at: float | None = None
    confirmed_era: int | None = None
    is_reading: bool = False
    failing_since: float | None = None
    failed_at: float | None = None
    unshown_version: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class State:
    """Hold the whole state of an instance.

    `seed` is the state of the random number generator. `maximum_idle_seconds`
    is how long a connection may be idle before it is reused. `probed_at` is
    when each runner was last asked which requests are stalled.

    `last_check_at` is when the requests were last checked, and `check_due_at`
    when they are checked next.

    After this instance itself was suspended or delayed, streams are not taken
    as silent until `silence_ignored_until`.
    """

    identity: instance_settings.Identity
    limits: instance_settings.Limits
    seed: int
    store_copy: store_copies.CopyState = store_copies.CopyState()
    configuration: ConfigurationState = ConfigurationState()
    runner_list: runner_lists.RunnerListState = runner_lists.RunnerListState()
    runners: runner_tables.RunnerMap = immutables.Map()
    runner_index: runner_tables.RunnerIndex = immutables.Map()
    part_terms: part_term_tables.TermsIndex = immutables.Map()
    members: member_tables.MemberState = member_tables.MemberState()
    orders: order_tables.OrderState = order_tables.OrderState()
    loads: load_tables.LoadMap = immutables.Map()
    mean_loads: load_tables.LoadMap = immutables.Map()
    exchanges: exchange_tables.ExchangeMap = immutables.Map()
    peer_feed: peer_feeds.PeerFeedState = peer_feeds.PeerFeedState()
    crashes: crash_evidence.CrashState = crash_evidence.CrashState()
    faults: fault_reports.FaultState = fault_reports.FaultState()
    paces: pace_tables.PaceState = pace_tables.PaceState()
    watches: runner_watches.WatchMap = immutables.Map()
    request_ids_by_send: immutables.Map[str, str] = immutables.Map()
    retry_buckets: retry_budget_tables.RetryBuckets = immutables.Map()
    send_count: int = 0
    maximum_idle_seconds: float = idle_connections.MAXIMUM_IDLE_SECONDS
    probed_at: immutables.Map[str, float] = immutables.Map()
    last_check_at: float = 0.0
    check_due_at: float = 0.0
    silence_ignored_until: float = 0.0
    stopping: shutdowns.Stopping | None = None
    startup: startup_waits.StartupState = startup_waits.StartupState()
    capacity: capacity_waits.CapacityState = capacity_waits.CapacityState()
