"""Define the routing policies, which choose an upstream for a unit of work."""

import dataclasses
import functools
import types
import typing
from collections import abc

import immutables

from mustardvale.internal import draws

SLOW_START_SECONDS = 10.0
# A new runner starts with this fraction of its share of work, so that a broken
# one fails only a few answers.
SLOW_START_SHARE = 0.1
# A candidate in its slow start is replaced by another draw at most this often.
SLOW_START_DRAWS = 3
# The prefill of this many inputs takes about as long as one iteration.
INPUTS_PER_ITERATION = 200
# The best of this many candidates scores about as well as the best of all, and
# instances that hold the same reports do not all choose the same runner.
SAMPLE_SIZE = 32
# The duration of an iteration at a relative speed of 1.
NOMINAL_STEP_SECONDS = 0.004
LONG_AGO = float('-inf')


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Hold the properties of an upstream that policies use.

    `in_flight` counts the unanswered work that this instance has sent,
    `in_flight_at_report` is its value when the last load report arrived.
    `queued` is the reported queue length, `step_seconds` the duration of one
    iteration, `link_seconds` the estimated round-trip time and
    `latency_seconds` the measured mean duration of a call. `slow_start_at` is
    the monotonic time at which the slow start of the upstream began.
    """

    instance_id: str
    in_flight: int = 0
    queued: int = 0
    step_seconds: float = 0
    link_seconds: float = 0
    in_flight_at_report: int = 0
    latency_seconds: float = 0
    slow_start_at: float = LONG_AGO

    @property
    def expected_queue(self) -> int:
        """Return the reported queue length plus the work sent since.

        The result is at least `in_flight`.
        """
        sent_since_report = self.in_flight - self.in_flight_at_report
        return max(self.queued + sent_since_report, self.in_flight)


class Candidates(typing.Protocol):
    """Define the sequence operations that policies need."""

    def __len__(self) -> int:
        """Return the number of candidates."""

    def __getitem__(self, index: int, /) -> Candidate:
        """Return one candidate."""

    def __iter__(self) -> abc.Iterator[Candidate]:
        """Return all candidates."""


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Describe the work to route.

    `now` is a monotonic time. `round_robin_count` counts the earlier
    round-robin decisions for the same layers. `cached_input_counts` maps
    upstream ids to the part of the `input_count` inputs that is in their
    prefix cache; `preferred_candidates` holds candidates with such a prefix.
    """

    now: float = 0
    input_count: int = 0
    round_robin_count: int = 0
    cached_input_counts: immutables.Map[str, int] = immutables.Map()
    preferred_candidates: tuple[Candidate, ...] = ()


NO_WORK = Work()


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Hold the chosen candidate, the next seed and the round-robin count."""

    candidate: Candidate
    seed: int
    round_robin_count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Mark a data class as a routing policy."""


@dataclasses.dataclass(frozen=True, slots=True)
class RandomChoice(Policy):
    """Choose uniformly at random."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoundRobin(Policy):
    """Choose the candidates in rotation."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeastReportedLoad(Policy):
    """Choose the candidate with the shortest reported queue."""


@dataclasses.dataclass(frozen=True, slots=True)
class TwoChoices(Policy):
    """Choose the less loaded of two candidates drawn at random."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectedCompletion(Policy):
    """Choose the candidate with the earliest expected completion.

    At most `sample_size` candidates are drawn and compared; 0 compares all.
    """

    sample_size: int = SAMPLE_SIZE


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedScore(Policy):
    """Choose the lowest `a * latency + b * in_flight / relative_speed`.

    Source: T. Araki, "Autonomic WWW Server Management with Distributed
    Resources", MGC 2004. `latency_weight` is a, in 1/s; `load_weight` is b.
    """

    latency_weight: float = 1
    load_weight: float = NOMINAL_STEP_SECONDS


POLICIES: types.MappingProxyType[str, Policy] = types.MappingProxyType(
    {
        'random': RandomChoice(),
        'round-robin': RoundRobin(),
        'least-load': LeastReportedLoad(),
        'two-choices': TwoChoices(),
        'expected-completion': ExpectedCompletion(),
        'weighted-score': WeightedScore(),
    }
)


@functools.singledispatch
def choose(
    policy: Policy,
    candidates: Candidates,
    seed: int,
    work: Work = NO_WORK,
) -> Choice:
    """Choose one of the candidates, of which there must be at least one."""
    raise TypeError(
        f'no handler is registered for policy {type(policy).__name__}'
    )


@choose.register(RandomChoice)
def choose_at_random(
    policy: RandomChoice,
    candidates: Candidates,
    seed: int,
    work: Work = NO_WORK,
) -> Choice:
    """Choose uniformly at random, but less often during a slow start."""
    drawn = draws.draw(seed)
    candidate = candidates[int(drawn.fraction * len(candidates))]
    for _ in range(SLOW_START_DRAWS):
        share = compute_slow_start_share(candidate, work.now)
        if share >= 1:
            break
        acceptance = draws.draw(drawn.seed)
        drawn = draws.draw(acceptance.seed)
        if acceptance.fraction < share:
            break
        candidate = candidates[int(drawn.fraction * len(candidates))]
    return Choice(candidate, drawn.seed, work.round_robin_count)


@choose.register(RoundRobin)
def choose_round_robin(
    policy: RoundRobin,
    candidates: Candidates,
    seed: int,
    work: Work = NO_WORK,
) -> Choice:
    """Choose the next candidate; skip some turns during a slow start."""
    drawn = draws.Draw(seed, 0)
    turn = work.round_robin_count
    for _ in range(min(SLOW_START_DRAWS, len(candidates))):
        candidate = candidates[turn % len(candidates)]
        turn += 1
        share = compute_slow_start_share(candidate, work.now)
        if share >= 1:
            break
        drawn = draws.draw(drawn.seed)
        if drawn.fraction < share:
            break
    return Choice(candidate, drawn.seed, turn)


@choose.register(LeastReportedLoad)
def choose_least_reported(
    policy: LeastReportedLoad,
    candidates: Candidates,
    seed: int,
    work: Work = NO_WORK,
) -> Choice:
    """Choose the shortest reported queue; break ties at random."""
    scores = [
        (candidate.queued + 1) / compute_slow_start_share(candidate, work.now)
        for candidate in candidates
    ]
    return choose_lowest(candidates, scores, seed, work)


@choose.register(TwoChoices)
def choose_two_choices(
    policy: TwoChoices,
    candidates: Candidates,
    seed: int,
    work: Work = NO_WORK,
) -> Choice:
    """Choose the one of two with less work in flight and queued."""
    sample = draw_sample(candidates, 2, seed)
    scores = [
        (candidate.in_flight + candidate.queued + 1)
        / compute_slow_start_share(candidate, work.now)
        for candidate in sample.candidates
    ]
    return choose_lowest(sample.candidates, scores, sample.seed, work)


@choose.register(ExpectedCompletion)
def choose_by_completion(
    policy: ExpectedCompletion,
    candidates: Candidates,
    seed: int,
    work: Work = NO_WORK,
) -> Choice:
    """Choose the earliest expected completion; break ties at random."""
    if 0 < policy.sample_size < len(candidates):
        sample = draw_sample(candidates, policy.sample_size, seed)
        candidates = (*sample.candidates, *work.preferred_candidates)
        seed = sample.seed
    scores = [
        estimate_completion_seconds(candidate, work) for candidate in candidates
    ]
    return choose_lowest(candidates, scores, seed, work)


@choose.register(WeightedScore)
def choose_by_score(
    policy: WeightedScore,
    candidates: Candidates,
    seed: int,
    work: Work = NO_WORK,
) -> Choice:
    """Choose the lowest weighted score; break ties at random."""
    scores = [
        compute_weighted_score(policy, candidate)
        / compute_slow_start_share(candidate, work.now)
        for candidate in candidates
    ]
    return choose_lowest(candidates, scores, seed, work)


def choose_lowest(
    candidates: Candidates,
    scores: list[float],
    seed: int,
    work: Work,
) -> Choice:
    """Choose the candidate with the lowest score; break ties at random."""
    lowest = min(scores)
    ties = [index for index, score in enumerate(scores) if score <= lowest]
    drawn = draws.draw(seed)
    index = ties[int(drawn.fraction * len(ties))]
    return Choice(candidates[index], drawn.seed, work.round_robin_count)


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Hold candidates drawn without replacement and the next seed."""

    candidates: tuple[Candidate, ...]
    seed: int


def draw_sample(candidates: Candidates, size: int, seed: int) -> Sample:
    """Draw `size` distinct candidates, or all if there are no more.

    The candidates are evenly spaced. Their first index and their spacing are
    random, so that any size takes only two random numbers.
    """
    count = len(candidates)
    if count <= size:
        return Sample(tuple(candidates), seed)
    first = draws.draw(seed)
    second = draws.draw(first.seed)
    start = int(first.fraction * count)
    step = 1 + int(second.fraction * (count // size))
    return Sample(
        tuple(
            candidates[(start + number * step) % count]
            for number in range(size)
        ),
        second.seed,
    )


def compute_slow_start_share(candidate: Candidate, now: float) -> float:
    """Return the fraction of its share that a candidate gets now.

    The fraction grows linearly during the slow start and is 1 afterwards.
    """
    progress = (now - candidate.slow_start_at) / SLOW_START_SECONDS
    if progress >= 1:
        return 1
    return max(progress, SLOW_START_SHARE)


def estimate_completion_seconds(
    candidate: Candidate, work: Work = NO_WORK
) -> float:
    """Return the expected seconds until work sent now is complete."""
    ahead = (candidate.expected_queue + 1) / compute_slow_start_share(
        candidate, work.now
    )
    uncached = work.input_count
    if work.cached_input_counts:
        uncached -= work.cached_input_counts.get(candidate.instance_id, 0)
    iterations = ahead + uncached / INPUTS_PER_ITERATION
    return iterations * candidate.step_seconds + candidate.link_seconds


def compute_weighted_score(
    policy: WeightedScore, candidate: Candidate
) -> float:
    """Return the weighted sum of latency and load over relative speed."""
    slowness = (candidate.step_seconds or NOMINAL_STEP_SECONDS) / (
        NOMINAL_STEP_SECONDS
    )
    latency = candidate.latency_seconds or (
        candidate.step_seconds + candidate.link_seconds
    )
    return policy.latency_weight * latency + (
        policy.load_weight * candidate.in_flight * slowness
    )
