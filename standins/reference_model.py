"""Compute the answers that the stand-in engines must give.

Each layer keeps a running digest of its inputs. A layer that runs twice, not
at all or out of order changes every later token, so that the text of an answer
shows whether each layer ran exactly once for each token.
"""

import dataclasses
import functools
import zlib

VOCABULARY = 50_000
OUTPUT_MARK = b'out'


def layer_seed(model: str, version: str, adapter: str, layer: int) -> int:
    """Return the digest that a layer starts a session with."""
    return zlib.crc32(f'{model}|{version}|{adapter}|{layer}'.encode())


def embed(token: str) -> str:
    """Return the activation of a token before the first layer."""
    return f'{zlib.crc32(token.encode()):08x}'


@dataclasses.dataclass(frozen=True, slots=True)
class LayerPass:
    """Hold the digests of layers and the activation after the last one."""

    digests: tuple[int, ...]
    activation: str


def run_layers(digests: tuple[int, ...], activation: str) -> LayerPass:
    """Run one position through layers in order."""
    following = []
    for digest in digests:
        updated = zlib.crc32(activation.encode(), digest)
        following.append(updated)
        activation = f'{zlib.crc32(OUTPUT_MARK, updated):08x}'
    return LayerPass(tuple(following), activation)


def to_token(activation: str) -> str:
    """Return the token for the last layer's activation."""
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
    """Return the tokens of a whole answer."""
    digests = tuple(
        layer_seed(model, version, adapter, layer) for layer in range(layers)
    )
    passed = LayerPass(digests, '')
    for token in prompt:
        passed = run_layers(passed.digests, embed(token))
    tokens = [to_token(passed.activation)]
    while len(tokens) < count:
        passed = run_layers(passed.digests, embed(tokens[-1]))
        tokens.append(to_token(passed.activation))
    return tuple(tokens)
