"""Estimate the time and memory that runners need for model requests."""

import dataclasses

import immutables

BYTES_PER_MB = 1_000_000
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000
TOKENS_PER_THOUSAND = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Accelerator:
    """Describe one kind of accelerator.

    `step_factor` multiplies the time of decoding steps and `prefill_factor`
    that of the prefill.
    """

    name: str
    memory_mb: float
    step_factor: float = 1.0
    prefill_factor: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """Describe the engine of a service.

    Times are in seconds and are those of all layers on an accelerator whose
    factors are 1. `zone_link_mbps` is the bandwidth of the link between two
    zones in Mbit/s, 0 if it is not limited. `concurrent_loads` is how many
    runners can load layers at the same time.
    """

    layer_count: int
    layer_mb: float
    cache_bytes_per_token: float
    slots: int
    accelerators: immutables.Map[str, Accelerator]
    base_step_seconds: float = 0.001
    step_seconds_per_sequence: float = 0.0
    step_seconds_per_thousand_tokens: float = 0.0
    prefill_tokens_per_second: float = 100_000.0
    activation_bytes_per_token: float = 0.0
    zone_link_mbps: float = 0.0
    zone_delay_seconds: immutables.Map[tuple[str, str], float] = (
        immutables.Map()
    )
    typical_prompt_tokens: int = 800
    typical_output_tokens: int = 200
    model_load_seconds: float = 10.0
    concurrent_loads: int = 1


def compute_layer_share(engine: Engine, layer_count: int) -> float:
    """Return a number of layers as a share of the model's layers."""
    return layer_count / engine.layer_count


def compute_cache_bytes_per_token_layer(engine: Engine) -> float:
    """Return the cache bytes of one token in one layer."""
    return engine.cache_bytes_per_token / engine.layer_count


def compute_token_capacity(
    engine: Engine, accelerator: str, layer_count: int
) -> float:
    """Return the number of tokens that fit in memory next to the layers."""
    kind = engine.accelerators[accelerator]
    free_bytes = (kind.memory_mb - layer_count * engine.layer_mb) * BYTES_PER_MB
    token_bytes = compute_cache_bytes_per_token_layer(engine) * layer_count
    return free_bytes / token_bytes if token_bytes else 0.0


def compute_maximum_layers(
    engine: Engine, accelerator: str, token_count: float
) -> int:
    """Return the largest number of layers that leaves room for tokens."""
    kind = engine.accelerators[accelerator]
    cache_bytes_per_layer = (
        compute_cache_bytes_per_token_layer(engine) * token_count
    )
    layer_count = (
        kind.memory_mb
        * BYTES_PER_MB
        / (engine.layer_mb * BYTES_PER_MB + cache_bytes_per_layer)
    )
    return min(int(layer_count), engine.layer_count)


def compute_sequence_seconds(engine: Engine) -> float:
    """Return the time that each sequence adds to a step of all layers."""
    context_thousands = engine.typical_prompt_tokens / TOKENS_PER_THOUSAND
    return (
        engine.step_seconds_per_sequence
        + engine.step_seconds_per_thousand_tokens * context_thousands
    )


def compute_step_seconds(
    engine: Engine, accelerator: str, layer_count: int, sequence_count: float
) -> float:
    """Return the time of one decoding step for a batch of sequences."""
    kind = engine.accelerators[accelerator]
    all_layers_seconds = (
        engine.base_step_seconds
        + compute_sequence_seconds(engine) * sequence_count
    )
    return (
        compute_layer_share(engine, layer_count)
        * kind.step_factor
        * all_layers_seconds
    )


def compute_prefill_seconds(
    engine: Engine, accelerator: str, layer_count: int, token_count: int
) -> float:
    """Return the time of the prefill of a prompt in a number of layers."""
    kind = engine.accelerators[accelerator]
    all_layers_seconds = token_count / engine.prefill_tokens_per_second
    return (
        compute_layer_share(engine, layer_count)
        * kind.prefill_factor
        * all_layers_seconds
    )


def compute_transfer_seconds(
    engine: Engine, source: str, target: str, token_count: int
) -> float:
    """Return the time to send a prompt's activations between zones."""
    if source == target or not engine.zone_link_mbps:
        return 0.0
    bits = token_count * engine.activation_bytes_per_token * BITS_PER_BYTE
    sending = bits / (engine.zone_link_mbps * BITS_PER_MEGABIT)
    return sending + find_zone_delay_seconds(engine, source, target)


def find_zone_delay_seconds(engine: Engine, source: str, target: str) -> float:
    """Return the one-way delay between two zones in seconds.

    A delay that is configured for one direction holds for both.
    """
    if source == target:
        return 0.0
    delays = engine.zone_delay_seconds
    return delays.get((source, target), delays.get((target, source), 0.0))
