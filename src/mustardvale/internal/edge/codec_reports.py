"""Encode the reports of the command-line tool as text and as JSON."""

import functools
import re
import sys
import time
import typing
from collections import abc

import msgspec

from mustardvale.internal import document_changes
from mustardvale.internal.commands import explaining, reports
from mustardvale.internal.edge import performer
from mustardvale.internal.edge import runtime as runtimes

WORD_START_PATTERN = re.compile('(?<!^)(?=[A-Z])')
COLUMN_GAP = '  '


@performer.perform.register(reports.Show)
def perform_show(effect: reports.Show, runtime: runtimes.Runtime) -> None:
    """Write a report to standard output; errors in text go to standard error."""
    encode = to_json if effect.as_json else to_text
    is_error = isinstance(effect.report, ERROR_REPORTS) and not effect.as_json
    stream = sys.stderr if is_error else sys.stdout
    stream.write(encode(effect.report))
    stream.flush()
    if not effect.as_json:
        sys.stderr.write(to_stderr_note(effect.report))


@functools.singledispatch
def to_stderr_note(report: reports.Report) -> str:
    """Return the text to write to standard error next to a report."""
    return ''


@to_stderr_note.register(reports.ActiveDocument)
def document_to_note(report: reports.ActiveDocument) -> str:
    """Return the version of the document, which its text does not contain."""
    return (
        f'{report.environment}: version {report.version}, offset '
        f'{report.offset}, by {report.operator or "unknown"}\n'
    )


def to_kind_name(instance: typing.Any) -> str:
    """Return the class name of an object in snake case: `promotion_lost`."""
    return WORD_START_PATTERN.sub('_', type(instance).__name__).lower()


@to_stderr_note.register(reports.ActionShown)
def action_to_note(report: reports.ActionShown) -> str:
    """Return the idempotency key, with which the call can be repeated."""
    stored = ', stored answer of an earlier call' if report.replayed else ''
    return f'key {report.idempotency_key}{stored}\n'


def to_json(report: reports.Report) -> str:
    """Encode a report as one line of JSON, with its kind."""
    fields = msgspec.to_builtins(report)
    if isinstance(report, reports.Differences):
        fields['changes'] = [
            {'kind': to_kind_name(change), **msgspec.to_builtins(change)}
            for change in report.changes
        ]
    encoded = msgspec.json.encode({'report': to_kind_name(report), **fields})
    return f'{encoded.decode()}\n'


def to_table(
    head: tuple[str, ...],
    rows: abc.Sequence[tuple[typing.Any, ...]],
) -> str:
    """Format rows as columns under a header row."""
    lines = [head, *(tuple(str(cell) for cell in row) for row in rows)]
    widths = [
        max(len(line[index]) for line in lines) for index in range(len(head))
    ]
    return ''.join(
        COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        + '\n'
        for line in lines
    )


def to_local_time(wall_time: float) -> str:
    """Format seconds since the epoch in the local time zone."""
    return time.strftime('%Y-%m-%d %H:%M:%S', time.localtime(wall_time))


@functools.singledispatch
def to_text(report: reports.Report) -> str:
    """Encode a report as text."""
    raise TypeError(f'no text for {type(report).__name__}')


@to_text.register(reports.Failed)
def failed_to_text(report: reports.Failed) -> str:
    """Encode a failure with its remedy in one line."""
    text = f'mustardvale: {report.code}: {report.message}. {report.remedy}'
    return f'{text.rstrip()}\n'


@to_text.register(reports.RequestExplained)
def explained_to_text(report: reports.RequestExplained) -> str:
    """Encode one line for each log line, then the cause."""
    lines = [
        COLUMN_GAP.join(
            (
                line.at.strftime('%H:%M:%S.%f')[:-3],
                line.instance_id,
                line.event,
                explaining.format_fields(line),
            )
        ).rstrip()
        for line in report.history
    ]
    return '\n'.join((*lines, f'cause: {report.cause}', ''))


@to_text.register(reports.DocumentInvalid)
def invalid_to_text(report: reports.DocumentInvalid) -> str:
    """Encode the problems of a document, one per line."""
    return ''.join(
        f'{report.file_name}: {problem}\n' for problem in report.problems
    )


@to_text.register(reports.DocumentValid)
def valid_to_text(report: reports.DocumentValid) -> str:
    """Encode the confirmation that a document is valid."""
    return f'{report.file_name}: valid, for {report.environment}\n'


@to_text.register(reports.Differences)
def differences_to_text(report: reports.Differences) -> str:
    """Encode the changes of a document, one per line."""
    if not report.changes:
        return f'no change from version {report.version}\n'
    return ''.join(
        f'{document_changes.describe(change)}\n' for change in report.changes
    )


@to_text.register(reports.PromotionAccepted)
def accepted_to_text(report: reports.PromotionAccepted) -> str:
    """Encode an accepted promotion."""
    return (
        f'{report.environment}: version {report.version} accepted '
        f'(offset {report.offset}, promotion {report.promotion_id})\n'
    )


@to_text.register(reports.PromotionLost)
def lost_to_text(report: reports.PromotionLost) -> str:
    """Encode a rejected promotion with the active version and the remedy."""
    return (
        f'mustardvale: promotion_lost: {report.environment} has version '
        f'{report.winner_version} by {report.winner_operator or "unknown"}, '
        f'yours was based on version {report.based_on_version}. '
        'Run diff, merge the change and publish again.\n'
    )


@to_text.register(reports.PromotionUnknown)
def unknown_to_text(report: reports.PromotionUnknown) -> str:
    """Encode a promotion whose outcome is unknown."""
    return (
        'mustardvale: promotion_unknown: the log did not say whether it holds '
        f'promotion {report.promotion_id} to {report.environment}. Look for '
        'it with history, and at the active document with show.\n'
    )


@to_text.register(reports.AlreadyInForce)
def already_in_force_to_text(report: reports.AlreadyInForce) -> str:
    """Encode that the active document has the same text already."""
    return (
        f'{report.environment}: version {report.version} already has this '
        'text\n'
    )


@to_text.register(reports.ActiveDocument)
def document_to_text(report: reports.ActiveDocument) -> str:
    """Return the text of the document unchanged, for editing."""
    return report.document


@to_text.register(reports.HistoryShown)
def history_to_text(report: reports.HistoryShown) -> str:
    """Encode a table of promotions."""
    return to_table(
        ('TIME', 'VERSION', 'VERDICT', 'BASED ON', 'OPERATOR', 'PROMOTION'),
        tuple(
            (
                to_local_time(row.appended_at),
                row.version or '-',
                row.verdict,
                row.based_on_version,
                row.operator,
                row.promotion_id,
            )
            for row in report.promotions
        ),
    )


def format_heard_age(seconds_ago: float) -> str:
    """Format the time since the last heartbeat; below 0 there was none."""
    return 'never' if seconds_ago < 0 else f'{seconds_ago:.1f} s ago'


@to_text.register(reports.StatusShown)
def status_to_text(report: reports.StatusShown) -> str:
    """Encode a table of entry instances."""
    return to_table(
        ('INSTANCE', 'ADDRESS', 'ZONE', 'STATE', 'VERSION', 'AGE', 'HEARD'),
        tuple(
            (
                row.instance_id,
                row.address,
                row.availability_zone,
                row.state,
                f'{row.version}{" (behind)" if row.behind else ""}',
                f'{row.age_seconds:.1f} s',
                format_heard_age(row.heard_seconds_ago),
            )
            for row in report.instances
        ),
    )


@to_text.register(reports.EntriesShown)
def entries_to_text(report: reports.EntriesShown) -> str:
    """Encode a table of entry addresses in the order to try them."""
    return to_table(
        ('ADDRESS', 'ZONE'),
        tuple((row.address, row.availability_zone) for row in report.entries),
    )


@to_text.register(reports.QuotaShown)
def quota_to_text(report: reports.QuotaShown) -> str:
    """Encode a table of the limits of client accounts."""
    return to_table(
        ('ACCOUNT', 'PRIORITY', 'REQUESTS/S', 'TOKENS/S', 'SHARE'),
        tuple(
            (
                row.name,
                row.priority,
                f'{row.requests_per_second:g}',
                f'{row.tokens_per_second:g}',
                f'{row.share:.3f}',
            )
            for row in report.accounts
        ),
    )


@to_text.register(reports.UpstreamsShown)
def upstreams_to_text(report: reports.UpstreamsShown) -> str:
    """Encode a table of upstreams."""
    return to_table(
        ('POOL', 'UPSTREAM', 'ZONE', 'STATE', 'IN FLIGHT', 'QUEUED', 'LAYERS'),
        tuple(
            (
                row.pool,
                row.instance_id,
                row.availability_zone,
                row.state,
                row.in_flight,
                row.queued,
                row.layers or '-',
            )
            for row in report.upstreams
        ),
    )


@to_text.register(reports.TokenShown)
def token_to_text(report: reports.TokenShown) -> str:
    """Encode a token, with a space before all but the first one."""
    return f'{" " if report.index else ""}{report.token}'


@to_text.register(reports.AnswerShown)
def answer_to_text(report: reports.AnswerShown) -> str:
    """End the line of tokens."""
    return '\n'


@to_text.register(reports.ActionShown)
def action_to_text(report: reports.ActionShown) -> str:
    """Encode the answer of a service."""
    return f'{report.body.rstrip()}\n'


ERROR_REPORTS = (
    reports.Failed,
    reports.DocumentInvalid,
    reports.PromotionLost,
    reports.PromotionUnknown,
)
