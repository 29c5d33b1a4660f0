"""Adapt the number of requests in flight to the measured latency."""

import dataclasses

import immutables

INITIAL_LIMIT = 128.0
SMALLEST_LIMIT = 8.0
LARGEST_LIMIT = 2048.0
WINDOW_SECONDS = 1.0
# The target between two tokens; a model that is slower without load is
# measured against twice its own best time instead.
TARGET_TOKEN_GAP_SECONDS = 0.025
BEST_GAP_FACTOR = 2.0
# A twentieth of slow answers is what the target for the 95th percentile allows.
MAXIMUM_SLOW_SHARE = 0.05
# A window lowers the limit in proportion to the excess, within these bounds:
# less than a tenth is too slow to end an overload within seconds, more than a
# half gives up work that the runners can carry.
SMALLEST_DECREASE = 0.9
LARGEST_DECREASE = 0.5
INCREASE_FACTOR = 1.05
BUSY_SHARE = 0.8
# The best time fades, so that one lucky measurement does not last for ever.
BEST_GAP_GROWTH = 1.02
SMOOTHING_WEIGHT = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class LimitWindow:
    """Hold the limit and what was seen in the current window.

    `excess` is the sum over all answers of the time between tokens as a
    multiple of the one that is allowed.
    """

    limit: float = INITIAL_LIMIT
    started_at: float = 0
    answer_count: int = 0
    slow_answer_count: int = 0
    latency_ratio_sum: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ConcurrencyState:
    """Hold the best and the smoothed times between tokens by model.

    `answer_seconds` is how long a request holds its place, smoothed.
    """

    window: LimitWindow = LimitWindow()
    best_token_gaps: immutables.Map[str, float] = immutables.Map()
    smoothed_token_gaps: immutables.Map[str, float] = immutables.Map()
    smoothed_answer_seconds: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Describe one whole answer; times are in seconds.

    `gap_seconds` is the mean time between its tokens, 0 for a single token.
    """

    model: str
    token_gap_seconds: float
    held_seconds: float
    running_count: int


def observe(
    sample: Sample, now: float, state: ConcurrencyState
) -> ConcurrencyState:
    """Take a sample and end the window when it is over."""
    smoothed = state.smoothed_answer_seconds or sample.held_seconds
    smoothed += SMOOTHING_WEIGHT * (sample.held_seconds - smoothed)
    state = dataclasses.replace(state, smoothed_answer_seconds=smoothed)
    if not sample.token_gap_seconds:
        return state
    best_gap = state.best_token_gaps.get(sample.model, sample.token_gap_seconds)
    limit = max(TARGET_TOKEN_GAP_SECONDS, BEST_GAP_FACTOR * best_gap)
    concurrency = state.window
    concurrency = dataclasses.replace(
        concurrency,
        answer_count=concurrency.answer_count + 1,
        slow_answer_count=concurrency.slow_answer_count
        + int(sample.token_gap_seconds > limit),
        latency_ratio_sum=concurrency.latency_ratio_sum
        + sample.token_gap_seconds / limit,
    )
    best_gap = min(best_gap, sample.token_gap_seconds)
    if now - concurrency.started_at >= WINDOW_SECONDS:
        concurrency = adapt_limit(concurrency, sample.running_count, now)
        best_gap *= BEST_GAP_GROWTH
    return dataclasses.replace(
        state,
        window=concurrency,
        best_token_gaps=state.best_token_gaps.set(sample.model, best_gap),
        smoothed_token_gaps=state.smoothed_token_gaps.set(
            sample.model, smooth_token_gap(sample, state)
        ),
    )


def smooth_token_gap(sample: Sample, state: ConcurrencyState) -> float:
    """Return the smoothed time between tokens."""
    gap = state.smoothed_token_gaps.get(sample.model, sample.token_gap_seconds)
    return gap + SMOOTHING_WEIGHT * (sample.token_gap_seconds - gap)


def adapt_limit(
    concurrency: LimitWindow, running: int, now: float
) -> LimitWindow:
    """Lower the limit after a slow window; raise it when it is used up."""
    limit = concurrency.limit
    if (
        concurrency.slow_answer_count
        > MAXIMUM_SLOW_SHARE * concurrency.answer_count
    ):
        factor = concurrency.answer_count / concurrency.latency_ratio_sum
        factor = min(max(factor, LARGEST_DECREASE), SMALLEST_DECREASE)
        limit = max(limit * factor, SMALLEST_LIMIT)
    elif running >= BUSY_SHARE * limit:
        limit = min(limit * INCREASE_FACTOR + 1, LARGEST_LIMIT)
    return LimitWindow(limit, now)


def minimum_seconds(model: str, tokens: int, state: ConcurrencyState) -> float:
    """Return the least time that an answer takes, 0 if nothing is known."""
    return state.best_token_gaps.get(model, 0) * max(tokens - 1, 0)


def expected_seconds(model: str, tokens: int, state: ConcurrencyState) -> float:
    """Return the time that an answer takes now, 0 if nothing is known."""
    return state.smoothed_token_gaps.get(model, 0) * tokens


def wait_seconds(ahead: int, state: ConcurrencyState) -> float:
    """Return the expected time until `ahead` requests have started."""
    return ahead * state.smoothed_answer_seconds / state.window.limit
