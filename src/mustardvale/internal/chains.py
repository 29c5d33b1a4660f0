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
MAXIMUM_PREFERRED = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Stage:
    """Name the runner that holds layers `first_layer` up to `end_layer`."""

    instance_id: str
    address: str
    first_layer: int
    end_layer: int


@dataclasses.dataclass(frozen=True, slots=True)
class Draws:
    """Hold what decisions hand on: the seed and the turns of round robin."""

    seed: int
    turns: immutables.Map[placements.Turn, int] = immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True)
class Chain:
    """Hold stages that cover all layers in order; no stages if none do."""

    stages: tuple[Stage, ...]
    draws: Draws


@dataclasses.dataclass(frozen=True, slots=True)
class ChainWanted:
    """Say what a chain has to run, and on which runners it must not.

    `inputs` is the length of the prefill, `cached_inputs` how much of it each
    runner has in its prefix cache.
    """

    model: documents.Model
    adapter: str
    excluded: frozenset[str] = frozenset()
    inputs: int = 1
    cached_inputs: immutables.Map[str, int] = immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True)
class Members:
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
    wanted: ChainWanted,
    table: upstreams.UpstreamTable,
    policy: routing.Policy,
    drawn: Draws,
    now: float,
) -> Chain:
    """Choose one runner for each layer range, from the first layer on."""
    model = wanted.model
    held = placements.Held(
        model.pool,
        model.name,
        model.version,
        wanted.adapter,
    )
    ranges = placements.find_viable(
        without(wanted.excluded, table.index.get(held, ())),
        model.layers,
    )
    chain = Chain((), drawn)
    layer = 0
    while layer < model.layers:
        fitting = tuple(one for one in ranges if one.first_layer == layer)
        if not fitting:
            return Chain((), drawn)
        offer = draw_range(fitting, chain.draws, Offer(held, table, now))
        chain = add_stage(wanted, offer, policy, chain)
        assert chain.stages[-1].end_layer > layer, 'a stage holds a layer'
        layer = chain.stages[-1].end_layer
    return chain


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """Hold a layer range from which one runner is to be chosen."""

    held: placements.Held
    table: upstreams.UpstreamTable
    now: float
    layer_range: placements.LayerRange = placements.NO_LAYERS
    seed: int = 0

    @property
    def turn(self) -> placements.Turn:
        """Return what round robin counts."""
        layers = self.layer_range
        return placements.Turn(
            self.held,
            layers.first_layer,
            layers.end_layer,
        )


def add_stage(
    wanted: ChainWanted,
    offer: Offer,
    policy: routing.Policy,
    chain: Chain,
) -> Chain:
    """Choose a runner of the offered range as the next stage of a chain."""
    turns = chain.draws.turns
    work = routing.Work(
        now=offer.now,
        inputs=wanted.inputs,
        turn=turns.get(offer.turn, 0),
        cached_inputs=wanted.cached_inputs,
        preferred=find_preferred(wanted, offer),
    )
    members = Members(offer.layer_range.ids, offer.table)
    choice = routing.choose(policy, members, offer.seed, work)
    if choice.turn != work.turn:
        turns = turns.set(offer.turn, choice.turn)
    chosen = offer.table.by_id[choice.candidate.instance_id]
    return Chain(
        (*chain.stages, to_stage(chosen, offer.layer_range)),
        Draws(choice.seed, turns),
    )


def without(
    excluded: frozenset[str],
    ranges: tuple[placements.LayerRange, ...],
) -> tuple[placements.LayerRange, ...]:
    """Return the ranges without the excluded runners."""
    if not excluded:
        return ranges
    left = (
        dataclasses.replace(
            one,
            ids=tuple(member for member in one.ids if member not in excluded),
        )
        for one in ranges
    )
    return tuple(one for one in left if one.ids)


def draw_range(
    fitting: tuple[placements.LayerRange, ...],
    drawn: Draws,
    offer: Offer,
) -> Offer:
    """Draw one of the ranges that begin at a layer, by number of runners."""
    if len(fitting) == 1:
        return dataclasses.replace(
            offer,
            layer_range=fitting[0],
            seed=drawn.seed,
        )
    following = draws.draw(drawn.seed)
    ids = tuple(one.ids for one in fitting for _ in one.ids)
    chosen = ids[int(following.unit * len(ids))]
    return dataclasses.replace(
        offer,
        layer_range=next(one for one in fitting if one.ids is chosen),
        seed=following.seed,
    )


def find_preferred(
    wanted: ChainWanted,
    offer: Offer,
) -> tuple[routing.Candidate, ...]:
    """Return the runners of a large range that hold most of the prefix."""
    layers = offer.layer_range
    if not wanted.cached_inputs or len(layers.ids) <= routing.SAMPLE_SIZE:
        return ()
    holders = (
        offer.table.by_id[holder]
        for holder in wanted.cached_inputs
        if holder in offer.table.by_id and holder not in wanted.excluded
    )
    fitting = sorted(
        (
            holder
            for holder in holders
            if upstreams.holds_layers(holder, offer.held, layers)
        ),
        key=lambda one: -wanted.cached_inputs[one.listed.instance_id],
    )
    return tuple(one.candidate for one in fitting[:MAXIMUM_PREFERRED])


def with_draws(drawn: Draws, state: 'states.State') -> 'states.State':
    """Keep what the next decision needs in the state."""
    return dataclasses.replace(state, seed=drawn.seed, turns=drawn.turns)


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
