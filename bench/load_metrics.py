"""Keep the counters and histograms of the load tool and summarise them."""

import collections
import dataclasses
import json
import typing

from hdrh import histogram  # type: ignore[import-untyped]

from mustardvale.internal.edge import metrics

MICROSECONDS_PER_SECOND = 1_000_000
MICROSECONDS_PER_MILLISECOND = 1000
MAXIMUM_MICROSECONDS = 120 * MICROSECONDS_PER_SECOND
SIGNIFICANT_FIGURES = 3
HISTOGRAM_NAMES = (
    'first_token',
    'between_tokens',
    'answer',
    'action',
    'start_lag',
)
# Label of events before the end of the arrivals: `str` of a true comparison.
IN_TIME = 'True'


@dataclasses.dataclass(frozen=True, slots=True)
class Latency:
    """Hold percentiles of a latency in milliseconds."""

    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    max_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Hold the summary of a run.

    Rates count only events before the end of the arrivals. `refusals` counts
    the calls that got an error in place of an answer, by code; `failures`
    counts the other calls that failed, by code or kind. `verdicts` counts
    requests, and `recovered` those with the verdict `right` that had an error.
    """

    seconds: float
    requests: int
    requests_per_second: float
    answers_per_second: float
    tokens_per_second: float
    calls: dict[str, int]
    verdicts: dict[str, dict[str, int]]
    refusals: dict[str, int]
    failures: dict[str, int]
    recovered: int
    wrong_answers: int
    cut: int
    reducer_errors: int
    latency: dict[str, Latency]

    def to_json(self) -> str:
        """Return the summary as JSON."""
        return json.dumps(dataclasses.asdict(self), indent=2)


class LoadMetrics(metrics.Metrics):
    """Keep counters and HDR histograms."""

    def __init__(self) -> None:
        super().__init__()
        self.counts: dict[str, collections.Counter[tuple[str, ...]]] = (
            collections.defaultdict(collections.Counter)
        )
        self.latency_histograms = {
            name: histogram.HdrHistogram(
                1,
                MAXIMUM_MICROSECONDS,
                SIGNIFICANT_FIGURES,
            )
            for name in HISTOGRAM_NAMES
        }

    def count(
        self,
        name: str,
        labels: tuple[str, ...] = (),
        amount: float = 1,
    ) -> None:
        """Add to a counter."""
        self.counts[name][labels] += int(amount)

    def observe(
        self,
        name: str,
        seconds: float,
        labels: tuple[str, ...] = (),
    ) -> None:
        """Record a duration in the histogram of this name."""
        micros = max(int(seconds * MICROSECONDS_PER_SECOND), 1)
        self.latency_histograms[name].record_value(
            min(micros, MAXIMUM_MICROSECONDS)
        )

    def group_by_label(self, name: str) -> dict[str, int]:
        """Return the counts of a counter with one label, by the label."""
        return {labels[0]: count for labels, count in self.counts[name].items()}

    def sum_counts(self, name: str) -> int:
        """Return the sum of a counter over all labels."""
        return sum(self.counts[name].values())

    def group_verdicts(self) -> dict[str, dict[str, int]]:
        """Return the verdicts by kind of work."""
        by_work: dict[str, dict[str, int]] = {}
        for (work, verdict), count in self.counts['verdicts'].items():
            by_work.setdefault(work, {})[verdict] = count
        return by_work

    def summarise(self, seconds: float) -> Summary:
        """Summarise a run whose arrivals lasted `seconds`."""
        verdicts = self.group_verdicts()
        return Summary(
            seconds=round(seconds, 3),
            requests=self.sum_counts('requests'),
            requests_per_second=self.compute_rate('requests', seconds),
            answers_per_second=self.compute_rate('answers', seconds),
            tokens_per_second=self.compute_rate('tokens', seconds),
            calls=self.group_by_label('calls'),
            verdicts=verdicts,
            refusals=self.group_by_label('refusals'),
            failures=self.group_by_label('failures'),
            recovered=self.sum_counts('recovered'),
            wrong_answers=sum(
                by_verdict.get('wrong', 0) for by_verdict in verdicts.values()
            ),
            cut=sum(
                by_verdict.get('cut', 0) for by_verdict in verdicts.values()
            ),
            reducer_errors=self.sum_counts('reducer_errors'),
            latency={
                name: summarise_histogram(recorded)
                for name, recorded in self.latency_histograms.items()
            },
        )

    def compute_rate(self, name: str, seconds: float) -> float:
        """Return the rate of the events counted before the arrivals ended."""
        return round(self.counts[name][(IN_TIME,)] / seconds, 2)


def summarise_histogram(recorded_histogram: typing.Any) -> Latency:
    """Return the count and percentiles of a histogram of microseconds."""

    def get_milliseconds(percentile: float) -> float:
        micros = float(recorded_histogram.get_value_at_percentile(percentile))
        return round(micros / MICROSECONDS_PER_MILLISECOND, 3)

    return Latency(
        recorded_histogram.get_total_count(),
        get_milliseconds(50),
        get_milliseconds(95),
        get_milliseconds(99),
        get_milliseconds(100),
    )
