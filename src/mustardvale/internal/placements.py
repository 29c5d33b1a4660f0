"""Index the usable runners by what they hold.

The index is updated whenever an upstream changes its placement or becomes
usable or unusable, so that routing need not scan all upstreams.
"""

import dataclasses

import immutables


@dataclasses.dataclass(frozen=True, slots=True)
class ModelKey:
    """Identify a model version with an adapter (empty for none) in a pool."""

    pool: str
    model: str
    version: str
    adapter: str


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerPlacement:
    """Describe the model and the layers that one runner holds."""

    pool: str
    model: str
    version: str
    adapters: tuple[str, ...]
    first_layer: int
    end_layer: int

    @property
    def model_keys(self) -> tuple[ModelKey, ...]:
        """Return the keys that the runner serves, first without adapter."""
        return tuple(
            ModelKey(self.pool, self.model, self.version, adapter)
            for adapter in ('', *self.adapters)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class LayerRange:
    """Hold the ids of the usable runners of one layer range."""

    first_layer: int
    end_layer: int
    instance_ids: tuple[str, ...]


EMPTY_RANGE = LayerRange(0, 0, ())

PlacementIndex = immutables.Map[ModelKey, tuple[LayerRange, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class RoundRobinKey:
    """Identify one layer range of a model for round-robin counts."""

    model_key: ModelKey
    first_layer: int
    end_layer: int


def add_runner(
    instance_id: str, placement: RunnerPlacement, index: PlacementIndex
) -> PlacementIndex:
    """Add a runner to the index."""
    for model_key in placement.model_keys:
        ranges = index.get(model_key, ())
        matching = find_range(ranges, placement)
        others = tuple(
            layer_range for layer_range in ranges if layer_range is not matching
        )
        matching = dataclasses.replace(
            matching, instance_ids=(*matching.instance_ids, instance_id)
        )
        index = index.set(
            model_key, tuple(sorted((*others, matching), key=get_layer_bounds))
        )
    return index


def remove_runner(
    instance_id: str, placement: RunnerPlacement, index: PlacementIndex
) -> PlacementIndex:
    """Remove a runner from the index."""
    for model_key in placement.model_keys:
        ranges = index.get(model_key, ())
        matching = find_range(ranges, placement)
        remaining_ids = tuple(
            other for other in matching.instance_ids if other != instance_id
        )
        others = tuple(
            layer_range for layer_range in ranges if layer_range is not matching
        )
        if remaining_ids:
            matching = dataclasses.replace(matching, instance_ids=remaining_ids)
            others = tuple(sorted((*others, matching), key=get_layer_bounds))
        index = index.set(model_key, others)
    return index


def find_range(
    ranges: tuple[LayerRange, ...], placement: RunnerPlacement
) -> LayerRange:
    """Return the range of a placement, or an empty one if there is none."""
    layers = (placement.first_layer, placement.end_layer)
    return next(
        (
            layer_range
            for layer_range in ranges
            if get_layer_bounds(layer_range) == layers
        ),
        LayerRange(placement.first_layer, placement.end_layer, ()),
    )


def get_layer_bounds(layer_range: LayerRange) -> tuple[int, int]:
    """Return the first and end layer, by which ranges are sorted."""
    return (layer_range.first_layer, layer_range.end_layer)


def find_viable(
    ranges: tuple[LayerRange, ...],
    layers: int,
) -> tuple[LayerRange, ...]:
    """Return the ranges that can be continued up to the last layer.

    While runners move between two partitionings of the layers, a range may
    end where no other range begins.
    """
    reachable = {layers}
    viable: list[LayerRange] = []
    for layer_range in reversed(ranges):
        if layer_range.end_layer in reachable:
            reachable.add(layer_range.first_layer)
            viable.append(layer_range)
    return tuple(reversed(viable))
