"""Declare the metrics of an entry instance."""

import typing

from mustardvale.internal.edge import http_client, metrics


def build() -> metrics.Metrics:
    """Declare and return the metrics of an entry instance."""
    declared = metrics.Metrics()
    for name, text, labels in COUNTERS:
        declared.declare_counter(name, text, labels)
    for name, text in HISTOGRAMS:
        declared.declare_histogram(name, text)
    for name, text in GAUGES:
        declared.declare_gauge(name, text)
    return declared


def count_call_bytes(metric_table: metrics.Metrics) -> http_client.CountBytes:
    """Return a function that counts the bytes of calls by type."""

    def count(call: typing.Any, sent: int, received: int) -> None:
        kind = type(call).__name__
        if sent:
            metric_table.count('call_bytes', (kind, 'sent'), sent)
        if received:
            metric_table.count('call_bytes', (kind, 'received'), received)

    return count


COUNTERS: tuple[tuple[str, str, tuple[str, ...]], ...] = (
    ('answers', 'Model answers by how they ended', ('end',)),
    ('tokens', 'Tokens delivered', ('account',)),
    ('refusals', 'Refused requests', ('code',)),
    ('attempts_abandoned', 'Attempts of answers given up', ('problem',)),
    ('suspects', 'Requests blamed for a lost runner', ()),
    ('late_step_results', 'Step results that were not awaited', ()),
    ('actions', 'Actions by how they ended', ('end',)),
    (
        'actions_taken_over',
        'Forwarded actions that were run here after all',
        (),
    ),
    ('actions_forwarded', 'Actions forwarded to another instance', ()),
    ('action_connections_refused', 'Actions sent to another runner', ()),
    ('late_action_results', 'Results of actions that were not awaited', ()),
    ('attempt_records', 'Records of actions by their effect', ('verdict',)),
    ('attempt_gaps', 'Gaps found in partitions of attempts', ()),
    ('operation_retries', 'Idempotent operations sent again', ()),
    ('ejections', 'Upstreams ejected', ('pool',)),
    (
        'ejections_withheld',
        'Failures of upstreams when a third of their pool was ejected',
        ('pool',),
    ),
    ('cache_event_gaps', 'Cache events that were missing', ()),
    ('promotions', 'Records of the environment stream', ('verdict',)),
    ('documents_unreadable', 'Documents that did not parse', ()),
    ('configuration_gaps', 'Gaps of dropped environment records', ()),
    ('document_copies', 'Document copies of peers', ('use',)),
    ('snapshots', 'Snapshots of the document handed to the log', ()),
    ('log_failures', 'Failed calls to the log service', ('operation',)),
    ('list_failures', 'Failed calls to the instance list', ()),
    ('orders', 'Orders to runners by what became of them', ('end',)),
    ('call_bytes', 'Bytes of calls', ('call', 'direction')),
    ('peer_bytes', 'Bytes of peer messages', ('direction',)),
    ('peers_suspected', 'Watched peers that were not heard', ()),
    ('peer_frames_rejected', 'Peer frames that did not decode', ()),
    ('peer_messages_dropped', 'Peer messages without a connection', ()),
)

HISTOGRAMS = (
    ('first_token_seconds', 'Time from a request to its first token'),
    ('action_seconds', 'Time from a request for an action to its end'),
    ('claim_seconds', 'Time from an attempt until it has won its key'),
    ('between_tokens_seconds', 'Time between two tokens of an answer'),
)

GAUGES = (
    ('document_version', 'Version of the document in force'),
    ('partitions_tailed', 'Partitions of attempts that are tailed'),
    ('action_keys_kept', 'Keys of actions in memory'),
    ('requests_waiting', 'Requests in the queue'),
    ('concurrency_limit', 'Requests that may run at the same time'),
    ('log_available', 'Whether the last call to the log was answered'),
)
