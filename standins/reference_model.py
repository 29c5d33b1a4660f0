"""Compute the answers that engine stand-ins must give.

Each layer keeps a running CRC of its inputs. A layer that runs twice, not at
all or out of order changes every later token, so the text of an answer shows
whether each layer ran exactly once for each token.
"""

import dataclasses
import functools
import zlib

VOCABULARY = 50_000
OUTPUT_MARK = b'out'


def compute_layer_seed(
    model: str, version: str, adapter: str, layer: int
) -> int:
    """Return the initial digest of a layer in a session."""
    return zlib.crc32(f'{model}|{version}|{adapter}|{layer}'.encode())


def embed(token: str) -> str:
    """Return the activation of a token, the input of the first layer."""
    return f'{zlib.crc32(token.encode()):08x}'


@dataclasses.dataclass(frozen=True, slots=True)
class LayerPass:
    """Hold the digests of layers and the activation after the last layer."""

    digests: tuple[int, ...]
    activation: str


def run_layers(digests: tuple[int, ...], activation: str) -> LayerPass:
    """Run the activation of one position through layers in order."""
    updated_digests = []
    for digest in digests:
        updated = zlib.crc32(activation.encode(), digest)
        updated_digests.append(updated)
        activation = f'{zlib.crc32(OUTPUT_MARK, updated):08x}'
    return LayerPass(tuple(updated_digests), activation)


def to_token(activation: str) -> str:
    """Return the token for the activation after the last layer."""
    return f'w{int(activation, 16) % VOCABULARY}'


@functools.lru_cache(maxsize=4096)
def compute_answer(
    model: str,
    version: str,
    adapter: str,
    layers: int,
    prompt: tuple[str, ...],
    count: int,
) -> tuple[str, ...]:
    """Return the `count` tokens of the answer to a prompt."""
    digests = tuple(
        compute_layer_seed(model, version, adapter, layer)
        for layer in range(layers)
    )
    layer_pass = LayerPass(digests, '')
    for token in prompt:
        layer_pass = run_layers(layer_pass.digests, embed(token))
    tokens = [to_token(layer_pass.activation)]
    while len(tokens) < count:
        layer_pass = run_layers(layer_pass.digests, embed(tokens[-1]))
        tokens.append(to_token(layer_pass.activation))
    return tuple(tokens)
