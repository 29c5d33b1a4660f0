"""Define the state of an entry instance."""

import dataclasses

import immutables

from mustardvale.internal import (
    action_calls,
    action_forwards,
    idempotent_operations,
    lifecycle,
    log_streams,
    placements,
    routing,
    step_calls,
)
from mustardvale.internal import admission as admissions
from mustardvale.internal import configuration as configurations
from mustardvale.internal import generations as generation_tables
from mustardvale.internal import limits as account_limits
from mustardvale.internal import membership as memberships
from mustardvale.internal import orders as order_tables
from mustardvale.internal import partitions as partition_tables
from mustardvale.internal import prefixes as prefix_tables
from mustardvale.internal import retries as retry_budgets
from mustardvale.internal import suspects as suspect_tables
from mustardvale.internal import timing as timings
from mustardvale.internal import upstreams as upstream_tables


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class State:
    """Hold the complete state of an entry instance.

    `seed` is the state of the pseudo-random generator that all decisions use.
    """

    identity: memberships.Identity
    seed: int
    policy: routing.Policy = routing.ExpectedCompletion()
    round_robin_counts: immutables.Map[placements.RoundRobinKey, int] = (
        immutables.Map()
    )
    configuration: configurations.ConfigurationState
    log: log_streams.LogState
    membership: memberships.Membership
    upstreams: upstream_tables.UpstreamTable = upstream_tables.UpstreamTable()
    prefixes: prefix_tables.PrefixTable = prefix_tables.PrefixTable()
    step_queues: step_calls.StepQueues = immutables.Map()
    generations: generation_tables.Generations = immutables.Map()
    operations: idempotent_operations.Operations = immutables.Map()
    actions: action_calls.ActionTable = action_calls.ActionTable()
    forwards: action_forwards.Forwards = immutables.Map()
    partitions: partition_tables.Partitions = immutables.Map()
    orders: order_tables.OrderState = order_tables.OrderState()
    timing: timings.Timing = timings.Timing()
    admission: admissions.AdmissionState = admissions.AdmissionState()
    limits: account_limits.LimitState = account_limits.LimitState()
    retries: retry_budgets.RetryBudget = retry_budgets.RetryBudget()
    suspects: suspect_tables.SuspectState = suspect_tables.SuspectState()
    stopping: lifecycle.Stopping | None = None
