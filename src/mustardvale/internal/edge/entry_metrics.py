"""Declare the metrics of an entry instance."""

from mustardvale.internal.edge import metrics


def build() -> metrics.Metrics:
    """Return the metrics of an entry instance, all at zero."""
    table = metrics.Metrics()
    for name, text, labels in COUNTERS:
        table.declare_counter(name, text, labels)
    for name, text in HISTOGRAMS:
        table.declare_histogram(name, text)
    for name, text in GAUGES:
        table.declare_gauge(name, text)
    return table


COUNTERS: tuple[tuple[str, str, tuple[str, ...]], ...] = (
    ('answers', 'Model answers by how they ended', ('end',)),
    ('tokens', 'Tokens delivered', ('account',)),
    ('refusals', 'Refused requests', ('code',)),
    ('attempts_abandoned', 'Attempts of answers given up', ('problem',)),
    ('suspects', 'Requests blamed for a lost runner', ()),
    ('late_step_results', 'Step results that were not awaited', ()),
    ('ejections', 'Upstreams ejected', ('pool',)),
    ('promotions', 'Records of the environment stream', ('verdict',)),
    ('documents_unreadable', 'Documents that did not parse', ()),
    ('log_failures', 'Failed calls to the log service', ('operation',)),
    ('list_failures', 'Failed calls to the instance list', ()),
    ('peer_frames_rejected', 'Peer frames that did not decode', ()),
    ('peer_messages_dropped', 'Peer messages without a connection', ()),
)

HISTOGRAMS = (
    ('first_token_seconds', 'Time from a request to its first token'),
    ('between_tokens_seconds', 'Time between two tokens of an answer'),
)

GAUGES = (
    ('document_version', 'Version of the document in force'),
    ('requests_waiting', 'Requests in the queue'),
    ('concurrency_limit', 'Requests that may run at the same time'),
    ('log_available', 'Whether the last call to the log was answered'),
)
