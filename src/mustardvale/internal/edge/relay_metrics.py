"""Declare the metrics of an instance that relays requests."""

from mustardvale.internal.edge import metrics


def build() -> metrics.Metrics:
    """Declare and return the metrics of an instance."""
    declared = metrics.Metrics()
    for name, text, labels in COUNTERS:
        declared.declare_counter(name, text, labels)
    for name, text, labels in HISTOGRAMS:
        declared.declare_histogram(name, text, labels)
    for name, text in GAUGES:
        declared.declare_gauge(name, text)
    return declared


COUNTERS: tuple[tuple[str, str, tuple[str, ...]], ...] = (
    ('relayed', 'Relayed requests by how they ended', ('kind', 'end')),
    ('relay_refusals', 'Refused requests', ('code',)),
    ('store_failures', 'Calls to the store without an answer', ('what',)),
    ('orders', 'Orders to runners by what became of them', ('end',)),
    ('probes', 'Reports of runners asked for because of silence', ()),
    ('moves', 'Moved requests by what became of them', ('verdict',)),
    ('reports_lost', 'Reports of runners without an answer', ()),
    ('stray_answers', 'Answers that belonged to another request', ()),
    ('runner_crashes', 'Crashes under requests without an event', ()),
    ('runner_announcements', 'Runners that leave or ask to wait', ('kind',)),
    ('malformed_announcements', 'Unusable headers of runners', ('header',)),
    ('request_waits', 'Requests that waited', ('cause', 'priority', 'outcome')),
    ('caller_closes', 'Connections closed with a request', ('kind',)),
    ('log_lines_left_out', 'Log lines that were not written', ()),
)

HISTOGRAMS: tuple[tuple[str, str, tuple[str, ...]], ...] = (
    ('relay_seconds', 'Time from a request to its end', ('kind',)),
    ('first_event_seconds', 'Time from a request to its first event', ()),
    ('request_wait_seconds', 'Time that a request waited', ('cause',)),
    ('expected_wait_seconds', 'Expected wait for capacity', ()),
    ('between_events_seconds', 'Time between two parts of a stream', ()),
)

GAUGES = (
    ('configuration_version', 'Version of the configuration in force'),
    ('members', 'Entry instances that are taken to live'),
    ('blocked_prompt_parts', 'Combinations of prompt parts that are refused'),
)
