"""Adapt the limit of concurrent requests to the measured latency."""

import dataclasses

import immutables

INITIAL_LIMIT = 128.0
SMALLEST_LIMIT = 8.0
LARGEST_LIMIT = 2048.0
WINDOW_SECONDS = 1.0
# The target for the time between two tokens is the larger of this and twice the
# best time of the model, since some models are slow even without load.
TARGET_TOKEN_GAP_SECONDS = 0.025
BEST_GAP_FACTOR = 2.0
# The target applies to the 95th percentile, so 5 % of answers may be slower.
MAXIMUM_SLOW_SHARE = 0.05
# A slow window multiplies the limit by a factor between these bounds. Smaller
# reductions would not end an overload within seconds; larger ones would reject
# work that the runners can handle.
SMALLEST_DECREASE = 0.9
LARGEST_DECREASE = 0.5
INCREASE_FACTOR = 1.05
BUSY_SHARE = 0.8
# The best time grows by this factor in each window, so that one outlier does
# not persist.
BEST_GAP_GROWTH = 1.02
SMOOTHING_WEIGHT = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class LimitWindow:
    """Hold the limit and the measurements of the current window.

    `latency_ratio_sum` sums the ratios of measured to allowed time between
    tokens over all answers.
    """

    limit: float = INITIAL_LIMIT
    started_at: float = 0
    answer_count: int = 0
    slow_answer_count: int = 0
    latency_ratio_sum: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ConcurrencyState:
    """Hold the current window and, by model, the times between tokens.

    `smoothed_answer_seconds` is the smoothed duration of a running request.
    """

    window: LimitWindow = LimitWindow()
    best_token_gaps: immutables.Map[str, float] = immutables.Map()
    smoothed_token_gaps: immutables.Map[str, float] = immutables.Map()
    smoothed_answer_seconds: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Describe one complete answer.

    `token_gap_seconds` is the mean time between its tokens, 0 if unknown;
    `answer_seconds` is the time since the request was started.
    """

    model: str
    token_gap_seconds: float
    answer_seconds: float
    running_count: int


def observe(
    sample: Sample, now: float, state: ConcurrencyState
) -> ConcurrencyState:
    """Record a sample and adapt the limit at the end of the window."""
    smoothed = state.smoothed_answer_seconds or sample.answer_seconds
    smoothed += SMOOTHING_WEIGHT * (sample.answer_seconds - smoothed)
    state = dataclasses.replace(state, smoothed_answer_seconds=smoothed)
    if not sample.token_gap_seconds:
        return state
    best_gap = state.best_token_gaps.get(sample.model, sample.token_gap_seconds)
    allowed_gap = max(TARGET_TOKEN_GAP_SECONDS, BEST_GAP_FACTOR * best_gap)
    window = state.window
    window = dataclasses.replace(
        window,
        answer_count=window.answer_count + 1,
        slow_answer_count=window.slow_answer_count
        + int(sample.token_gap_seconds > allowed_gap),
        latency_ratio_sum=window.latency_ratio_sum
        + sample.token_gap_seconds / allowed_gap,
    )
    best_gap = min(best_gap, sample.token_gap_seconds)
    if now - window.started_at >= WINDOW_SECONDS:
        window = adapt_limit(window, sample.running_count, now)
        best_gap *= BEST_GAP_GROWTH
    return dataclasses.replace(
        state,
        window=window,
        best_token_gaps=state.best_token_gaps.set(sample.model, best_gap),
        smoothed_token_gaps=state.smoothed_token_gaps.set(
            sample.model, smooth_token_gap(sample, state)
        ),
    )


def smooth_token_gap(sample: Sample, state: ConcurrencyState) -> float:
    """Return the smoothed time between tokens of the sample's model."""
    gap = state.smoothed_token_gaps.get(sample.model, sample.token_gap_seconds)
    return gap + SMOOTHING_WEIGHT * (sample.token_gap_seconds - gap)


def adapt_limit(
    window: LimitWindow, running_count: int, now: float
) -> LimitWindow:
    """Lower the limit after a slow window; raise it if it was nearly used."""
    limit = window.limit
    if window.slow_answer_count > MAXIMUM_SLOW_SHARE * window.answer_count:
        factor = window.answer_count / window.latency_ratio_sum
        factor = min(max(factor, LARGEST_DECREASE), SMALLEST_DECREASE)
        limit = max(limit * factor, SMALLEST_LIMIT)
    elif running_count >= BUSY_SHARE * limit:
        limit = min(limit * INCREASE_FACTOR + 1, LARGEST_LIMIT)
    return LimitWindow(limit, now)


def estimate_minimum_seconds(
    model: str, tokens: int, state: ConcurrencyState
) -> float:
    """Return the minimum duration of an answer in seconds, 0 if unknown."""
    return state.best_token_gaps.get(model, 0) * max(tokens - 1, 0)


def estimate_answer_seconds(
    model: str, tokens: int, state: ConcurrencyState
) -> float:
    """Return the expected duration of an answer in seconds, 0 if unknown."""
    return state.smoothed_token_gaps.get(model, 0) * tokens


def estimate_wait_seconds(ahead: int, state: ConcurrencyState) -> float:
    """Return the expected seconds until `ahead` requests have started."""
    return ahead * state.smoothed_answer_seconds / state.window.limit
