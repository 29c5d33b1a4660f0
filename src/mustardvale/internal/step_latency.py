"""Estimate the latency of step calls; derive timeouts and find outliers."""

import dataclasses
import statistics

from mustardvale.internal import calls, routing

# Weights of a new sample in the mean and the deviation (Jacobson 1988).
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
LINK_WEIGHT = 1 / 4
TIMEOUT_DEVIATIONS = 4

# A call that takes this many times its expected time is considered lost.
TIMEOUT_FACTOR = 4
# Pauses of a working process, e.g. for garbage collection or on a busy host,
# are shorter than this.
SHORTEST_TIMEOUT_SECONDS = 0.3
LONGEST_TIMEOUT_SECONDS = 5.0

OUTLIER_FACTOR = 3
OUTLIER_MARGIN_SECONDS = 0.02
OUTLIER_MINIMUM_SAMPLES = 20
OUTLIER_MINIMUM_PEERS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class StepLatency:
    """Hold the mean and the deviation of the duration of step calls.

    The expected duration of the prefill is subtracted from each sample.
    """

    mean_seconds: float = 0
    deviation_seconds: float = 0
    sample_count: int = 0


def add_sample(latency: StepLatency, seconds: float) -> StepLatency:
    """Return the estimate after one more call."""
    if not latency.sample_count:
        return StepLatency(seconds, seconds / 2, 1)
    error = seconds - latency.mean_seconds
    deviation = latency.deviation_seconds
    return StepLatency(
        latency.mean_seconds + MEAN_WEIGHT * error,
        deviation + DEVIATION_WEIGHT * (abs(error) - deviation),
        latency.sample_count + 1,
    )


def add_link_sample(link_seconds: float, seconds: float) -> float:
    """Return the estimated link time after one more round trip.

    A shorter sample is used at once; a longer one is smoothed.
    """
    if not link_seconds or seconds < link_seconds:
        return seconds
    return link_seconds + LINK_WEIGHT * (seconds - link_seconds)


def estimate_prefill_seconds(
    call: calls.RunSteps, step_seconds: float
) -> float:
    """Return the expected duration of the inputs beyond one per step."""
    extra = sum(len(step.inputs) - 1 for step in call.steps)
    return extra / routing.INPUTS_PER_ITERATION * step_seconds


def compute_timeout_seconds(
    call: calls.RunSteps,
    latency: StepLatency,
    candidate: routing.Candidate,
) -> float:
    """Return the seconds after which a step call is considered lost."""
    step_seconds = max(candidate.step_seconds, latency.mean_seconds)
    if not step_seconds:
        return LONGEST_TIMEOUT_SECONDS
    expected = (
        step_seconds
        + TIMEOUT_DEVIATIONS * latency.deviation_seconds
        + candidate.link_seconds
        + estimate_prefill_seconds(call, step_seconds)
    )
    return min(
        max(TIMEOUT_FACTOR * expected, SHORTEST_TIMEOUT_SECONDS),
        LONGEST_TIMEOUT_SECONDS,
    )


def is_outlier(latency: StepLatency, others: tuple[StepLatency, ...]) -> bool:
    """Return whether a latency far exceeds the median of comparable ones."""
    measured = tuple(
        other.mean_seconds
        for other in others
        if other.sample_count >= OUTLIER_MINIMUM_SAMPLES
    )
    if (
        latency.sample_count < OUTLIER_MINIMUM_SAMPLES
        or len(measured) < OUTLIER_MINIMUM_PEERS
    ):
        return False
    median = statistics.median(measured)
    return latency.mean_seconds > (
        OUTLIER_FACTOR * median + OUTLIER_MARGIN_SECONDS
    )
