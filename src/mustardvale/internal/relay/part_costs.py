"""Compute what a part on a runner costs one request, from indexed terms."""

import dataclasses
import math
import random
from collections import abc

from mustardvale.internal.relay import (
    chain_search,
    chains,
    engines,
    loads,
    part_terms,
    runners,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Conditions:
    """Hold what the costs of all runners for one request have in common.

    `step_seconds` and `sequence_seconds` are the times of a decoding step of
    all layers, without sequences and for each sequence. `prefill_seconds` is
    the time of the prefill in all layers. All three are those of an accelerator
    whose factors are 1. `other_count` is the number of other instances.
    """

    now: float
    tokens: float
    output_tokens: float
    slots: int
    step_seconds: float
    sequence_seconds: float
    prefill_seconds: float
    own_loads: loads.LoadMap
    mean_loads: loads.LoadMap
    other_count: int


def build_conditions(
    engine: engines.Engine,
    work: chains.Work,
    now: float,
    known: loads.KnownLoads,
) -> Conditions:
    """Return the conditions of a request."""
    return Conditions(
        now,
        work.prompt_tokens + work.output_tokens,
        work.output_tokens,
        engine.slots,
        engine.base_step_seconds,
        engines.compute_sequence_seconds(engine),
        work.prompt_tokens / engine.prefill_tokens_per_second,
        known.own,
        known.means,
        known.instance_count - 1,
    )


def build_costs(
    part: part_terms.PartTerms,
    runner: runners.Runner,
    random_fraction: float,
    conditions: Conditions,
) -> chain_search.PartCosts:
    """Return the costs of a runner; the fraction is from 0 to 1.

    The load is estimated as in `loads.estimate_total_load`, without an object
    for each runner.
    """
    own = conditions.own_loads.get(part.runner_id, loads.NO_LOAD)
    mean = conditions.mean_loads.get(part.runner_id, loads.NO_LOAD)
    others, now = conditions.other_count, conditions.now
    capacity = part.token_layer_capacity
    sequences = own.request_count + others * mean.request_count
    chain_count = (
        own.first_part_request_count + others * mean.first_part_request_count
    )
    step_seconds = part.step_share * (
        conditions.step_seconds + conditions.sequence_seconds * sequences
    )
    factor = 1 + chains.JITTER_SHARE * random_fraction
    if runner.deprioritized_until > now or runner.slowdown_until > now:
        factor *= chains.compute_cost_factor(runner, now)
    token_layers = own.token_layers + others * mean.token_layers
    return chain_search.PartCosts(
        part.end,
        token_layers / capacity if capacity else 1.0,
        conditions.tokens / max(capacity, 1.0),
        step_seconds * conditions.output_tokens
        + part.prefill_share * conditions.prefill_seconds,
        factor,
        chain_count / conditions.slots + 1 / conditions.slots,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class PricedRunners:
    """Hold the runners of zones in the order of their random fractions.

    A fraction is `None` for a runner that may not be used.
    """

    parts: abc.Sequence[part_terms.PartTerms | None]
    runners: abc.Sequence[runners.Runner]
    fractions: abc.Sequence[float | None]
    conditions: Conditions

    def build_costs(self, position: int) -> chain_search.PartCosts:
        """Return the costs of the runner at a position."""
        part, fraction = self.parts[position], self.fractions[position]
        if part is None or fraction is None:
            return chain_search.UNUSABLE
        return build_costs(
            part, self.runners[position], fraction, self.conditions
        )


def price_runners(
    parts: abc.Sequence[part_terms.PartTerms | None],
    listed: abc.Sequence[runners.Runner],
    tried_ids: frozenset[str],
    seed: int,
    conditions: Conditions,
) -> PricedRunners:
    """Draw the fractions of the runners that may be used."""
    now = conditions.now
    draw = random.Random(seed).random
    return PricedRunners(
        parts,
        listed,
        [
            draw()
            if part is not None
            and runner.may_get_requests(now)
            and part.runner_id not in tried_ids
            else None
            for part, runner in zip(parts, listed, strict=True)
        ],
        conditions,
    )


def compute_least_costs(
    least_terms: abc.Sequence[part_terms.LeastTerms], conditions: Conditions
) -> list[float]:
    """Return a lower bound of the cost of chains from each layer on.

    It is the cost on idle runners without random additions, reduced so that
    rounding cannot raise it.
    """
    share = 1 - chain_search.ROUNDING_SHARE
    step = conditions.step_seconds * conditions.output_tokens * share
    prefill = conditions.prefill_seconds * share
    wait = chain_search.STEP_WAIT_SECONDS * share
    return [
        steps * step + prefills * prefill + count * wait
        for steps, prefills, count in least_terms
    ]


def compute_least_parts(
    part_shares: abc.Sequence[part_terms.PartShares], conditions: Conditions
) -> list[chain_search.LeastPart]:
    """Return the end of each part, and a lower bound of its layers' times."""
    share = 1 - chain_search.ROUNDING_SHARE
    step = conditions.step_seconds * conditions.output_tokens * share
    prefill = conditions.prefill_seconds * share
    return [
        (end, step_share * step + prefill_share * prefill)
        for end, step_share, prefill_share in part_shares
    ]


def compute_idle_limit(
    terms: part_terms.ZoneTerms, priced: PricedRunners
) -> float:
    """Return what the chain that is cheapest when idle costs now.

    The cheapest chain costs no more. The limit is infinite without such a
    chain.
    """
    if not terms.idle_parts:
        return math.inf
    return sum(
        chain_search.compute_part_cost(
            priced.build_costs(part.position), part.first_layer, part.end_layer
        )
        for part in terms.idle_parts
    )
