"""Define the state of an instance that relays requests."""

import dataclasses

import immutables

from mustardvale.internal.relay import (
    bounds,
    configuration,
    idle_connections,
)
from mustardvale.internal.relay import exchanges as exchange_tables
from mustardvale.internal.relay import loads as load_tables
from mustardvale.internal.relay import members as member_tables
from mustardvale.internal.relay import orders as order_tables
from mustardvale.internal.relay import peer_feed as peer_feeds
from mustardvale.internal.relay import repeats as repeat_ledgers
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
    asked_at: float = 0.0
    reading: bool = False
    failing_since: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class State:
    """Hold everything that an instance knows; `seed` feeds random draws.

    `longest_rest` is how many seconds a kept connection may be idle.
    `probes` has when each runner was last asked what it waits for, `heard`
    when a stream last brought something through each runner. Until
    `held_up_until` silence says nothing: this instance was held up itself.
    """

    identity: bounds.Identity
    limits: bounds.Bounds
    seed: int
    configuration: ConfigurationState = ConfigurationState()
    runner_list: runner_lists.ListState = runner_lists.ListState()
    runners: runner_tables.RunnerMap = immutables.Map()
    members: member_tables.MemberState = member_tables.MemberState()
    orders: order_tables.OrderState = order_tables.OrderState()
    loads: load_tables.LoadMap = immutables.Map()
    mean_loads: load_tables.LoadMap = immutables.Map()
    exchanges: exchange_tables.ExchangeMap = immutables.Map()
    feed: peer_feeds.FeedState = peer_feeds.FeedState()
    sends: immutables.Map[str, str] = immutables.Map()
    repeats: repeat_ledgers.Ledger = immutables.Map()
    send_count: int = 0
    longest_rest: float = idle_connections.LONGEST_REST_SECONDS
    probes: immutables.Map[str, float] = immutables.Map()
    heard: immutables.Map[str, float] = immutables.Map()
    looked_at: float = 0.0
    held_up_until: float = 0.0
    stopping: bounds.Stopping | None = None
