"""Hold the metrics of a process."""

import prometheus_client
from prometheus_client import registry

LATENCY_BUCKETS_SECONDS = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.34,
    0.5,
    1,
    2,
    5,
    10,
)

NAMESPACE = 'mustardvale'


class Metrics:
    """Hold counters, histograms and gauges by name.

    An undeclared name raises `KeyError`, so that the first test that reaches a
    misspelt name fails.
    """

    def __init__(self) -> None:
        self.registry = registry.CollectorRegistry()
        self.counters: dict[str, prometheus_client.Counter] = {}
        self.histograms: dict[str, prometheus_client.Histogram] = {}
        self.gauges: dict[str, prometheus_client.Gauge] = {}
        self.declare_counter('reducer_errors', 'Failed reductions', ('event',))
        self.declare_counter('effect_errors', 'Failed effects', ('effect',))

    def declare_counter(
        self,
        name: str,
        text: str,
        labels: tuple[str, ...] = (),
    ) -> None:
        """Declare a counter."""
        self.counters[name] = prometheus_client.Counter(
            name,
            text,
            labels,
            namespace=NAMESPACE,
            registry=self.registry,
        )

    def declare_histogram(
        self,
        name: str,
        text: str,
        labels: tuple[str, ...] = (),
    ) -> None:
        """Declare a histogram of durations in seconds."""
        self.histograms[name] = prometheus_client.Histogram(
            name,
            text,
            labels,
            namespace=NAMESPACE,
            registry=self.registry,
            buckets=LATENCY_BUCKETS_SECONDS,
        )

    def declare_gauge(
        self,
        name: str,
        text: str,
        labels: tuple[str, ...] = (),
    ) -> None:
        """Declare a gauge."""
        self.gauges[name] = prometheus_client.Gauge(
            name,
            text,
            labels,
            namespace=NAMESPACE,
            registry=self.registry,
        )

    def count(
        self,
        name: str,
        labels: tuple[str, ...] = (),
        amount: float = 1,
    ) -> None:
        """Add to a counter."""
        counter = self.counters[name]
        (counter.labels(*labels) if labels else counter).inc(amount)

    def observe(
        self,
        name: str,
        seconds: float,
        labels: tuple[str, ...] = (),
    ) -> None:
        """Record a duration in a histogram."""
        histogram = self.histograms[name]
        (histogram.labels(*labels) if labels else histogram).observe(seconds)

    def set_gauge(
        self,
        name: str,
        level: float,
        labels: tuple[str, ...] = (),
    ) -> None:
        """Set a gauge."""
        gauge = self.gauges[name]
        (gauge.labels(*labels) if labels else gauge).set(level)

    def expose(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
