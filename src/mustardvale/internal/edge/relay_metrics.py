"""Declare the metrics of an instance that relays requests."""

from mustardvale.internal.edge import metrics


def build() -> metrics.Metrics:
    """Declare and return the metrics of an instance."""
    declared = metrics.Metrics()
    for name, text, labels in COUNTERS:
        declared.declare_counter(name, text, labels)
    for name, text, labels in HISTOGRAMS:
        declared.declare_histogram(name, text, labels)
    for name, text, labels in GAUGES:
        declared.declare_gauge(name, text, labels)
    return declared


COUNTERS: tuple[tuple[str, str, tuple[str, ...]], ...] = (
    ('relayed', 'Relayed requests by how they ended', ('kind', 'end')),
    ('relay_refusals', 'Refused requests', ('code',)),
    ('store_failures', 'Calls to the store without an answer', ('what',)),
    ('store_restores', 'Restores of the store that were seen', ()),
    ('outdated_store_answers', 'Answers of an earlier era of the store', ()),
    ('orders', 'Orders to runners by what became of them', ('end',)),
    ('probes', 'Reports of runners asked for because of silence', ()),
    ('moves', 'Moved requests by what became of them', ('verdict',)),
    ('reports_lost', 'Reports of runners without an answer', ()),
    ('stray_answers', 'Answers that belonged to another request', ()),
    ('runner_crashes', 'Crashes under requests that may be harmful', ()),
    (
        'runner_faults',
        'Faults of runners that became known',
        ('kind', 'origin'),
    ),
    (
        'upstream_paces',
        'Limits of upstreams that start or return',
        ('cause', 'change'),
    ),
    ('runner_announcements', 'Runners that leave or ask to wait', ('kind',)),
    ('malformed_announcements', 'Unusable headers of runners', ('header',)),
    ('request_waits', 'Requests that waited', ('cause', 'priority', 'outcome')),
    ('caller_closes', 'Connections closed with a request', ('kind',)),
    ('callers_ended', 'Callers ended at the limits for all', ('reason',)),
    ('log_lines_left_out', 'Log lines that were not written', ()),
)

HISTOGRAMS: tuple[tuple[str, str, tuple[str, ...]], ...] = (
    ('relay_seconds', 'Time from a request to its end', ('kind',)),
    ('first_event_seconds', 'Time from a request to its first event', ()),
    ('request_wait_seconds', 'Time that a request waited', ('cause',)),
    ('expected_wait_seconds', 'Expected wait for capacity', ()),
    ('between_events_seconds', 'Time between two parts of a stream', ()),
    (
        'fault_to_move_seconds',
        'Time from a fault of a runner to an order to move a stream',
        ('kind',),
    ),
)

GAUGES: tuple[tuple[str, str, tuple[str, ...]], ...] = (
    ('configuration_version', 'Version of the configuration in force', ()),
    ('members', 'Entry instances that are taken to live', ()),
    (
        'blocked_prompt_parts',
        'Combinations of prompt parts that are refused',
        (),
    ),
    ('held_bytes', 'Bytes held for callers by kind', ('kind',)),
    ('caller_connections', 'Open connections of callers', ()),
    ('store_era', 'Era of the store, which counts its restores', ()),
)
