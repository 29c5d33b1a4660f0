"""Draw the work of the load tool's requests from a seed."""

import dataclasses
import functools
import json
import uuid

from mustardvale import document as documents
from mustardvale.internal import draws

VOCABULARY_SIZE = 5000
KEY_RANDOM_BITS = 74
DRAW_BITS = 53
MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerWork:
    """Describe a model answer to request."""

    model: str
    adapter: str
    prompt: tuple[str, ...]
    maximum_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class ActionWork:
    """Describe an operation to call; an idempotent one has no key."""

    service: str
    operation: str
    is_idempotent: bool
    key: str
    body: bytes


Work = AnswerWork | ActionWork


@dataclasses.dataclass(frozen=True, slots=True)
class Mix:
    """Hold the mix of work.

    `answers`, `idempotent_actions` and `actions` are relative weights. A prompt
    has a prefix that its account uses in every prompt, and a tail of its own of
    up to `tail_tokens`; an answer has `minimum_tokens` to `maximum_tokens`.
    """

    answers: float = 0.6
    idempotent_actions: float = 0.2
    actions: float = 0.2
    prefix_tokens: int = 32
    tail_tokens: int = 12
    minimum_tokens: int = 8
    maximum_tokens: int = 32
    adapter_share: float = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class DrawnWork:
    """Pair the next seed with the work that was drawn."""

    seed: int
    work: Work


def draw_below(seed: int, limit: int) -> tuple[int, int]:
    """Return the next seed and an integer from 0 up to `limit` exclusive."""
    drawn = draws.draw(seed)
    return drawn.seed, min(int(drawn.fraction * limit), limit - 1)


def draw_idempotency_key(wall_time: float, seed: int) -> tuple[int, str]:
    """Return the next seed and a UUID of version 7 (RFC 9562) for a time."""
    bits = 0
    for _ in range(2):
        drawn = draws.draw(seed)
        seed = drawn.seed
        bits = (bits << DRAW_BITS) | int(drawn.fraction * (1 << DRAW_BITS))
    bits &= (1 << KEY_RANDOM_BITS) - 1
    number = (
        (int(wall_time * MILLISECONDS_PER_SECOND) << 80)
        | (7 << 76)
        | ((bits >> 62) << 64)
        | (2 << 62)
        | (bits & ((1 << 62) - 1))
    )
    return seed, str(uuid.UUID(int=number))


def draw_work(
    request_id: str,
    account: str,
    mix: Mix,
    document: documents.Document,
    wall_time: float,
    seed: int,
) -> DrawnWork:
    """Draw the work of one request of a client account."""
    drawn = draws.draw(seed)
    shares = (mix.answers, mix.idempotent_actions, mix.actions)
    point = drawn.fraction * sum(shares)
    if point < mix.answers or not document.services:
        return draw_answer(account, mix, document, drawn.seed)
    is_idempotent = point < mix.answers + mix.idempotent_actions
    return draw_action(
        request_id, is_idempotent, document, wall_time, drawn.seed
    )


def draw_answer(
    account: str,
    mix: Mix,
    document: documents.Document,
    seed: int,
) -> DrawnWork:
    """Draw a model answer."""
    model = document.models[0]
    seed, extra_tokens = draw_below(
        seed,
        mix.maximum_tokens - mix.minimum_tokens + 1,
    )
    drawn = draws.draw(seed)
    adapter = ''
    if model.adapters and drawn.fraction < mix.adapter_share:
        seed, index = draw_below(drawn.seed, len(model.adapters))
        adapter = model.adapters[index]
    else:
        seed = drawn.seed
    seed, tail_tokens = draw_below(seed, mix.tail_tokens)
    tail: tuple[str, ...] = ()
    for _ in range(tail_tokens + 1):
        seed, word = draw_below(seed, VOCABULARY_SIZE)
        tail = (*tail, f'q{word}')
    return DrawnWork(
        seed,
        AnswerWork(
            model.name,
            adapter,
            build_account_prefix(account, mix.prefix_tokens) + tail,
            mix.minimum_tokens + extra_tokens,
        ),
    )


@functools.lru_cache(maxsize=1024)
def build_account_prefix(account: str, count: int) -> tuple[str, ...]:
    """Return the prefix tokens of every prompt of an account."""
    return tuple(f'{account}-{index}' for index in range(count))


def draw_action(
    request_id: str,
    is_idempotent: bool,
    document: documents.Document,
    wall_time: float,
    seed: int,
) -> DrawnWork:
    """Draw an operation of the service; its body holds the request id."""
    service = document.services[0]
    operation_names = tuple(
        operation.name
        for operation in service.operations
        if operation.idempotent is is_idempotent
    )
    seed, index = draw_below(seed, len(operation_names))
    key = ''
    if not is_idempotent:
        seed, key = draw_idempotency_key(wall_time, seed)
    body = json.dumps({'request': request_id}).encode()
    return DrawnWork(
        seed,
        ActionWork(
            service.name, operation_names[index], is_idempotent, key, body
        ),
    )
