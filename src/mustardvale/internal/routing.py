"""Choose the upstream that runs a piece of work."""

import dataclasses
import functools

from mustardvale.internal import draws


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Describe an upstream as a policy sees it.

    `in_flight` counts what this instance sent and has no answer to, `queued`
    is what the upstream reported, `step_seconds` the time of one iteration.
    """

    instance_id: str
    in_flight: int = 0
    queued: int = 0
    step_seconds: float = 0
    link_seconds: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Hold the chosen candidate and the seed for the next draw."""

    candidate: Candidate
    seed: int


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Mark a data class as a routing policy."""


@dataclasses.dataclass(frozen=True, slots=True)
class RandomChoice(Policy):
    """Choose uniformly at random."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectedCompletion(Policy):
    """Choose the candidate that is expected to finish first."""


@functools.singledispatch
def choose(
    policy: Policy,
    candidates: tuple[Candidate, ...],
    seed: int,
) -> Choice:
    """Choose one of at least one candidates."""
    raise TypeError(f'no policy {type(policy).__name__}')


@choose.register(RandomChoice)
def choose_at_random(
    policy: RandomChoice,
    candidates: tuple[Candidate, ...],
    seed: int,
) -> Choice:
    """Choose uniformly at random."""
    drawn = draws.draw(seed)
    index = int(drawn.unit * len(candidates))
    return Choice(candidates[index], drawn.seed)


@choose.register(ExpectedCompletion)
def choose_by_completion(
    policy: ExpectedCompletion,
    candidates: tuple[Candidate, ...],
    seed: int,
) -> Choice:
    """Choose the earliest expected completion, ties at random."""
    drawn = draws.draw(seed)
    start = int(drawn.unit * len(candidates))
    rotated = candidates[start:] + candidates[:start]
    return Choice(min(rotated, key=expected_seconds), drawn.seed)


def expected_seconds(candidate: Candidate) -> float:
    """Return the time until work sent now is expected to be done."""
    ahead = candidate.in_flight + candidate.queued + 1
    return ahead * candidate.step_seconds + candidate.link_seconds
