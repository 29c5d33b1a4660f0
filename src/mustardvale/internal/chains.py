"""Choose runners whose layer ranges together cover a whole model."""

import dataclasses
import typing
from collections import abc

import immutables

from mustardvale import document as documents
from mustardvale.internal import draws, placements, routing, upstreams

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

# Of many runners that hold a prefix, comparing this many is enough.
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
    """Hold the state that selections pass on: seed and round-robin counts."""

    seed: int
    round_robin_counts: immutables.Map[placements.RoundRobinKey, int] = (
        immutables.Map()
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Chain:
    """Hold stages that cover all layers in order, none if no chain exists."""

    stages: tuple[Stage, ...]
    selection_state: SelectionState


@dataclasses.dataclass(frozen=True, slots=True)
class ChainRequest:
    """Describe the work for a chain and the runners to avoid.

    `input_count` is the length of the prefill; `cached_input_counts` maps
    runner ids to the part of it that is in their prefix cache.
    """

    model: documents.Model
    adapter: str
    excluded_ids: frozenset[str] = frozenset()
    input_count: int = 1
    cached_input_counts: immutables.Map[str, int] = immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True)
class CandidateView:
    """Provide access to the candidates of some ids without copying them."""

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
    request: ChainRequest,
    table: upstreams.UpstreamTable,
    policy: routing.Policy,
    selection_state: SelectionState,
    now: float,
) -> Chain:
    """Choose one runner for each layer range, from the first layer on."""
    model = request.model
    model_key = placements.ModelKey(
        model.pool,
        model.name,
        model.version,
        request.adapter,
    )
    ranges = placements.find_viable(
        exclude_runners(
            request.excluded_ids, table.placement_index.get(model_key, ())
        ),
        model.layers,
    )
    chain = Chain((), selection_state)
    layer = 0
    while layer < model.layers:
        matching = tuple(
            layer_range
            for layer_range in ranges
            if layer_range.first_layer == layer
        )
        if not matching:
            return Chain((), selection_state)
        selection = choose_range(
            matching,
            chain.selection_state,
            StageSelection(model_key, table, now),
        )
        chain = add_stage(request, selection, policy, chain)
        assert chain.stages[-1].end_layer > layer, (
            'a stage must hold at least one layer'
        )
        layer = chain.stages[-1].end_layer
    return chain


@dataclasses.dataclass(frozen=True, slots=True)
class StageSelection:
    """Hold the inputs for choosing one runner of a layer range."""

    model_key: placements.ModelKey
    table: upstreams.UpstreamTable
    now: float
    layer_range: placements.LayerRange = placements.EMPTY_RANGE
    seed: int = 0

    @property
    def round_robin_key(self) -> placements.RoundRobinKey:
        """Return the key of the round-robin count for the layer range."""
        layer_range = self.layer_range
        return placements.RoundRobinKey(
            self.model_key,
            layer_range.first_layer,
            layer_range.end_layer,
        )


def add_stage(
    request: ChainRequest,
    selection: StageSelection,
    policy: routing.Policy,
    chain: Chain,
) -> Chain:
    """Choose a runner of the layer range as the next stage of a chain."""
    round_robin_counts = chain.selection_state.round_robin_counts
    work = routing.Work(
        now=selection.now,
        input_count=request.input_count,
        round_robin_count=round_robin_counts.get(selection.round_robin_key, 0),
        cached_input_counts=request.cached_input_counts,
        preferred_candidates=find_preferred(request, selection),
    )
    members = CandidateView(selection.layer_range.instance_ids, selection.table)
    choice = routing.choose(policy, members, selection.seed, work)
    if choice.round_robin_count != work.round_robin_count:
        round_robin_counts = round_robin_counts.set(
            selection.round_robin_key, choice.round_robin_count
        )
    chosen = selection.table.by_id[choice.candidate.instance_id]
    return Chain(
        (*chain.stages, to_stage(chosen, selection.layer_range)),
        SelectionState(choice.seed, round_robin_counts),
    )


def exclude_runners(
    excluded: frozenset[str],
    ranges: tuple[placements.LayerRange, ...],
) -> tuple[placements.LayerRange, ...]:
    """Return the ranges without the excluded runners."""
    if not excluded:
        return ranges
    remaining = (
        dataclasses.replace(
            layer_range,
            instance_ids=tuple(
                instance_id
                for instance_id in layer_range.instance_ids
                if instance_id not in excluded
            ),
        )
        for layer_range in ranges
    )
    return tuple(
        layer_range for layer_range in remaining if layer_range.instance_ids
    )


def choose_range(
    matching: tuple[placements.LayerRange, ...],
    selection_state: SelectionState,
    selection: StageSelection,
) -> StageSelection:
    """Draw one of several layer ranges, weighted by number of runners."""
    if len(matching) == 1:
        return dataclasses.replace(
            selection,
            layer_range=matching[0],
            seed=selection_state.seed,
        )
    drawn = draws.draw(selection_state.seed)
    ids = tuple(
        layer_range.instance_ids
        for layer_range in matching
        for _ in layer_range.instance_ids
    )
    chosen = ids[int(drawn.fraction * len(ids))]
    return dataclasses.replace(
        selection,
        layer_range=next(
            layer_range
            for layer_range in matching
            if layer_range.instance_ids is chosen
        ),
        seed=drawn.seed,
    )


def find_preferred(
    request: ChainRequest,
    selection: StageSelection,
) -> tuple[routing.Candidate, ...]:
    """Return the runners with the longest cached prefix in a large range.

    A small range needs none, since all its runners are compared.
    """
    layer_range = selection.layer_range
    if (
        not request.cached_input_counts
        or len(layer_range.instance_ids) <= routing.SAMPLE_SIZE
    ):
        return ()
    holders = (
        selection.table.by_id[instance_id]
        for instance_id in request.cached_input_counts
        if instance_id in selection.table.by_id
        and instance_id not in request.excluded_ids
    )
    matching = sorted(
        (
            holder
            for holder in holders
            if upstreams.holds_layers(holder, selection.model_key, layer_range)
        ),
        key=lambda holder: (
            -request.cached_input_counts[holder.listed.instance_id]
        ),
    )
    return tuple(
        holder.candidate for holder in matching[:MAXIMUM_PREFERRED_RUNNERS]
    )


def with_selection_state(
    selection_state: SelectionState, state: 'states.State'
) -> 'states.State':
    """Store the selection state for the next decision."""
    return dataclasses.replace(
        state,
        seed=selection_state.seed,
        round_robin_counts=selection_state.round_robin_counts,
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
