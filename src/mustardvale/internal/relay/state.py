"""Define the state of an instance that relays requests."""

import dataclasses

import immutables

from mustardvale.internal.relay import (
    configuration,
    idle_connections,
    instance_settings,
)
from mustardvale.internal.relay import exchanges as exchange_tables
from mustardvale.internal.relay import loads as load_tables
from mustardvale.internal.relay import members as member_tables
from mustardvale.internal.relay import orders as order_tables
from mustardvale.internal.relay import peer_feed as peer_feeds
from mustardvale.internal.relay import retry_budgets as retry_budget_tables
from mustardvale.internal.relay import runner_list as runner_lists
from mustardvale.internal.relay import runners as runner_tables


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationState:
    """Hold the configuration in force and how old that knowledge is.

    `position` is where the log goes on, `confirmed_at` when the read that
    last confirmed the configuration was sent. `reading` tells that a read is
    under way or due.
    """

    active: configuration.Configuration | None = None
    position: int | None = None
    confirmed_at: float | None = None
    requested_at: float = 0.0
    is_reading: bool = False
    failing_since: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class State:
    """Hold everything that an instance knows; `seed` feeds random draws.

    `longest_rest` is how many seconds a kept connection may be idle.
    `probes` has when each runner was last asked what it waits for, `heard`
    when a stream last brought something through each runner. Until
    `held_up_until` silence says nothing: this instance was held up itself.
    """

    identity: instance_settings.Identity
    limits: instance_settings.Limits
    seed: int
    configuration: ConfigurationState = ConfigurationState()
    runner_list: runner_lists.RunnerListState = runner_lists.RunnerListState()
    runners: runner_tables.RunnerMap = immutables.Map()
    members: member_tables.MemberState = member_tables.MemberState()
    orders: order_tables.OrderState = order_tables.OrderState()
    loads: load_tables.LoadMap = immutables.Map()
    mean_loads: load_tables.LoadMap = immutables.Map()
    exchanges: exchange_tables.ExchangeMap = immutables.Map()
    peer_feed: peer_feeds.PeerFeedState = peer_feeds.PeerFeedState()
    request_ids_by_send: immutables.Map[str, str] = immutables.Map()
    retry_buckets: retry_budget_tables.RetryBuckets = immutables.Map()
    send_count: int = 0
    maximum_idle_seconds: float = idle_connections.MAXIMUM_IDLE_SECONDS
    probed_at: immutables.Map[str, float] = immutables.Map()
    last_activity_at: immutables.Map[str, float] = immutables.Map()
    last_check_at: float = 0.0
    silence_ignored_until: float = 0.0
    shutdown: instance_settings.Shutdown | None = None
