"""Adapt the number of requests in flight to the measured latency."""

import dataclasses

import immutables

INITIAL_LIMIT = 128.0
SMALLEST_LIMIT = 8.0
LARGEST_LIMIT = 2048.0
WINDOW_SECONDS = 1.0
# The target between two tokens; a model that is slower without load is
# measured against twice its own best time instead.
TARGET_GAP_SECONDS = 0.025
SLOW_FACTOR = 2.0
# A twentieth of slow answers is what the target for the 95th percentile allows.
SLOW_PART = 0.05
# A window lowers the limit in proportion to the excess, within these bounds:
# less than a tenth is too slow to end an overload within seconds, more than a
# half gives up work that the runners can carry.
SMALLEST_DECREASE = 0.9
LARGEST_DECREASE = 0.5
INCREASE = 1.05
BUSY_PART = 0.8
# The best time fades, so that one lucky measurement does not last for ever.
BEST_GROWTH = 1.02
SMOOTHING = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Concurrency:
    """Hold the limit and what was seen in the current window.

    `excess` is the sum over all answers of the time between tokens as a
    multiple of the one that is allowed.
    """

    limit: float = INITIAL_LIMIT
    since: float = 0
    seen: int = 0
    slow: int = 0
    excess: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Paces:
    """Hold the best and the smoothed times between tokens by model.

    `answer_seconds` is how long a request holds its place, smoothed.
    """

    concurrency: Concurrency = Concurrency()
    best_gaps: immutables.Map[str, float] = immutables.Map()
    gaps: immutables.Map[str, float] = immutables.Map()
    answer_seconds: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Describe one whole answer; times are in seconds.

    `gap_seconds` is the mean time between its tokens, 0 for a single token.
    """

    model: str
    gap_seconds: float
    held_seconds: float
    running: int


def observe(sample: Sample, now: float, paces: Paces) -> Paces:
    """Take a sample and end the window when it is over."""
    smoothed = paces.answer_seconds or sample.held_seconds
    smoothed += SMOOTHING * (sample.held_seconds - smoothed)
    paces = dataclasses.replace(paces, answer_seconds=smoothed)
    if not sample.gap_seconds:
        return paces
    best = paces.best_gaps.get(sample.model, sample.gap_seconds)
    limit = max(TARGET_GAP_SECONDS, SLOW_FACTOR * best)
    concurrency = paces.concurrency
    concurrency = dataclasses.replace(
        concurrency,
        seen=concurrency.seen + 1,
        slow=concurrency.slow + int(sample.gap_seconds > limit),
        excess=concurrency.excess + sample.gap_seconds / limit,
    )
    best = min(best, sample.gap_seconds)
    if now - concurrency.since >= WINDOW_SECONDS:
        concurrency = adapt(concurrency, sample.running, now)
        best *= BEST_GROWTH
    return dataclasses.replace(
        paces,
        concurrency=concurrency,
        best_gaps=paces.best_gaps.set(sample.model, best),
        gaps=paces.gaps.set(sample.model, smooth(sample, paces)),
    )


def smooth(sample: Sample, paces: Paces) -> float:
    """Return the smoothed time between tokens."""
    gap = paces.gaps.get(sample.model, sample.gap_seconds)
    return gap + SMOOTHING * (sample.gap_seconds - gap)


def adapt(concurrency: Concurrency, running: int, now: float) -> Concurrency:
    """Lower the limit after a slow window; raise it when it is used up."""
    limit = concurrency.limit
    if concurrency.slow > SLOW_PART * concurrency.seen:
        factor = concurrency.seen / concurrency.excess
        factor = min(max(factor, LARGEST_DECREASE), SMALLEST_DECREASE)
        limit = max(limit * factor, SMALLEST_LIMIT)
    elif running >= BUSY_PART * limit:
        limit = min(limit * INCREASE + 1, LARGEST_LIMIT)
    return Concurrency(limit, now)


def needed_seconds(model: str, tokens: int, paces: Paces) -> float:
    """Return the least time that an answer takes, 0 if nothing is known."""
    return paces.best_gaps.get(model, 0) * max(tokens - 1, 0)


def expected_seconds(model: str, tokens: int, paces: Paces) -> float:
    """Return the time that an answer takes now, 0 if nothing is known."""
    return paces.gaps.get(model, 0) * tokens


def wait_seconds(ahead: int, paces: Paces) -> float:
    """Return the expected time until `ahead` requests have started."""
    return ahead * paces.answer_seconds / paces.concurrency.limit
