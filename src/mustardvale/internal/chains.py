"""Choose runners whose layer ranges together hold a whole model."""

import dataclasses
import typing
from collections import abc

import immutables

from mustardvale import document as documents
from mustardvale.internal import draws, placements, routing, upstreams

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

# A prefix that more runners have than this needs no search for all of them.
MAXIMUM_PREFERRED_RUNNERS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Stage:
    """Name the runner that holds layers `first_layer` up to `end_layer`."""

    instance_id: str
    address: str
    first_layer: int
    end_layer: int


@dataclasses.dataclass(frozen=True, slots=True)
class SelectionState:
    """Hold what decisions hand on: the seed and the turns of round robin."""

    seed: int
    round_robin_counts: immutables.Map[placements.RoundRobinKey, int] = (
        immutables.Map()
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Chain:
    """Hold stages that cover all layers in order; no stages if none do."""

    stages: tuple[Stage, ...]
    selection_state: SelectionState


@dataclasses.dataclass(frozen=True, slots=True)
class ChainRequest:
    """Say what a chain has to run, and on which runners it must not.

    `inputs` is the length of the prefill, `cached_inputs` how much of it each
    runner has in its prefix cache.
    """

    model: documents.Model
    adapter: str
    excluded_ids: frozenset[str] = frozenset()
    input_count: int = 1
    cached_input_counts: immutables.Map[str, int] = immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True)
class CandidateView:
    """Give the candidates of some ids without a copy of each."""

    ids: tuple[str, ...]
    table: upstreams.UpstreamTable

    def __len__(self) -> int:
        """Return the number of candidates."""
        return len(self.ids)

    def __getitem__(self, index: int) -> routing.Candidate:
        """Return one candidate."""
        return self.table.by_id[self.ids[index]].candidate

    def __iter__(self) -> abc.Iterator[routing.Candidate]:
        """Return all candidates."""
        by_id = self.table.by_id
        return (by_id[instance_id].candidate for instance_id in self.ids)


def choose_chain(
    wanted: ChainRequest,
    table: upstreams.UpstreamTable,
    policy: routing.Policy,
    drawn: SelectionState,
    now: float,
) -> Chain:
    """Choose one runner for each layer range, from the first layer on."""
    model = wanted.model
    held = placements.ModelKey(
        model.pool,
        model.name,
        model.version,
        wanted.adapter,
    )
    ranges = placements.find_viable(
        exclude_runners(
            wanted.excluded_ids, table.placement_index.get(held, ())
        ),
        model.layers,
    )
    chain = Chain((), drawn)
    layer = 0
    while layer < model.layers:
        fitting = tuple(one for one in ranges if one.first_layer == layer)
        if not fitting:
            return Chain((), drawn)
        offer = choose_range(
            fitting, chain.selection_state, StageSelection(held, table, now)
        )
        chain = add_stage(wanted, offer, policy, chain)
        assert chain.stages[-1].end_layer > layer, 'a stage holds a layer'
        layer = chain.stages[-1].end_layer
    return chain


@dataclasses.dataclass(frozen=True, slots=True)
class StageSelection:
    """Hold a layer range from which one runner is to be chosen."""

    model_key: placements.ModelKey
    table: upstreams.UpstreamTable
    now: float
    layer_range: placements.LayerRange = placements.EMPTY_RANGE
    seed: int = 0

    @property
    def round_robin_key(self) -> placements.RoundRobinKey:
        """Return what round robin counts."""
        layers = self.layer_range
        return placements.RoundRobinKey(
            self.model_key,
            layers.first_layer,
            layers.end_layer,
        )


def add_stage(
    wanted: ChainRequest,
    offer: StageSelection,
    policy: routing.Policy,
    chain: Chain,
) -> Chain:
    """Choose a runner of the offered range as the next stage of a chain."""
    turns = chain.selection_state.round_robin_counts
    work = routing.Work(
        now=offer.now,
        input_count=wanted.input_count,
        round_robin_count=turns.get(offer.round_robin_key, 0),
        cached_input_counts=wanted.cached_input_counts,
        preferred_candidates=find_preferred(wanted, offer),
    )
    members = CandidateView(offer.layer_range.instance_ids, offer.table)
    choice = routing.choose(policy, members, offer.seed, work)
    if choice.round_robin_count != work.round_robin_count:
        turns = turns.set(offer.round_robin_key, choice.round_robin_count)
    chosen = offer.table.by_id[choice.candidate.instance_id]
    return Chain(
        (*chain.stages, to_stage(chosen, offer.layer_range)),
        SelectionState(choice.seed, turns),
    )


def exclude_runners(
    excluded: frozenset[str],
    ranges: tuple[placements.LayerRange, ...],
) -> tuple[placements.LayerRange, ...]:
    """Return the ranges without the excluded runners."""
    if not excluded:
        return ranges
    left = (
        dataclasses.replace(
            one,
            instance_ids=tuple(
                member for member in one.instance_ids if member not in excluded
            ),
        )
        for one in ranges
    )
    return tuple(one for one in left if one.instance_ids)


def choose_range(
    fitting: tuple[placements.LayerRange, ...],
    drawn: SelectionState,
    offer: StageSelection,
) -> StageSelection:
    """Draw one of the ranges that begin at a layer, by number of runners."""
    if len(fitting) == 1:
        return dataclasses.replace(
            offer,
            layer_range=fitting[0],
            seed=drawn.seed,
        )
    following = draws.draw(drawn.seed)
    ids = tuple(one.instance_ids for one in fitting for _ in one.instance_ids)
    chosen = ids[int(following.fraction * len(ids))]
    return dataclasses.replace(
        offer,
        layer_range=next(one for one in fitting if one.instance_ids is chosen),
        seed=following.seed,
    )


def find_preferred(
    wanted: ChainRequest,
    offer: StageSelection,
) -> tuple[routing.Candidate, ...]:
    """Return the runners of a large range that hold most of the prefix."""
    layers = offer.layer_range
    if (
        not wanted.cached_input_counts
        or len(layers.instance_ids) <= routing.SAMPLE_SIZE
    ):
        return ()
    holders = (
        offer.table.by_id[holder]
        for holder in wanted.cached_input_counts
        if holder in offer.table.by_id and holder not in wanted.excluded_ids
    )
    fitting = sorted(
        (
            holder
            for holder in holders
            if upstreams.holds_layers(holder, offer.model_key, layers)
        ),
        key=lambda one: -wanted.cached_input_counts[one.listed.instance_id],
    )
    return tuple(one.candidate for one in fitting[:MAXIMUM_PREFERRED_RUNNERS])


def with_selection_state(
    drawn: SelectionState, state: 'states.State'
) -> 'states.State':
    """Keep what the next decision needs in the state."""
    return dataclasses.replace(
        state, seed=drawn.seed, round_robin_counts=drawn.round_robin_counts
    )


def to_stage(
    upstream: upstreams.Upstream,
    layer_range: placements.LayerRange,
) -> Stage:
    """Describe an upstream as a stage."""
    return Stage(
        upstream.listed.instance_id,
        upstream.listed.address,
        layer_range.first_layer,
        layer_range.end_layer,
    )
