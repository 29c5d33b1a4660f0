"""Report the history of one request from the log lines of all instances."""

import datetime
import json

from mustardvale.internal import events
from mustardvale.internal.commands import command_types, reducer, reports
from mustardvale.internal.commands import state as states

# Changes in what one instance knows of a runner. They affect a request only if
# that instance handled it.
RUNNER_STATE_EVENTS = frozenset(('runner_blamed', 'upstream_changed'))
# Orders to runners, which any instance may have sent.
ORDER_EVENTS = frozenset(('layers_ordered', 'order_answered'))
# Events up to this time before a request may have determined its route.
LOOKBACK = datetime.timedelta(seconds=3)
END_EVENTS = frozenset(
    (
        'request_refused',
        'request_failed',
        'request_answered',
        'stream_cut',
        'stream_completed',
        'caller_left',
    )
)
TIME_FORMAT = '%Y-%m-%d %H:%M:%S,%f'
HIDDEN_FIELDS = frozenset(
    ('asctime', 'levelname', 'message', 'instance_id', 'request')
)


@reducer.begin_command.register(command_types.Explain)
def explain(
    command: command_types.Explain,
    event: events.InstanceStarted,
    state: states.State,
) -> reducer.Transition:
    """Report the history of a request and the cause that ended it."""
    lines = sorted(read_lines(command.text), key=get_time)
    request_lines = [
        line for line in lines if line.fields.get('request') == command.id
    ]
    if not request_lines:
        failed = reports.Failed(
            'request_unknown',
            f'no log line names request {command.id}',
            'Pass the logs of all instances; routine lines are only sampled.',
        )
        return reducer.finish(failed, states.EXIT_REFUSED, state)
    related = [line for line in lines if is_related(line, request_lines)]
    history = tuple(sorted((*request_lines, *related), key=get_time))
    report = reports.RequestExplained(
        command.id, history, find_cause(request_lines)
    )
    return reducer.finish(report, states.EXIT_DONE, state)


def is_related(
    line: reports.LogLine, request_lines: list[reports.LogLine]
) -> bool:
    """Return whether a line may explain the route of a request."""
    if not request_lines[0].at - LOOKBACK <= line.at <= request_lines[-1].at:
        return False
    instances = {own_line.instance_id for own_line in request_lines}
    is_state_change = (
        line.event in RUNNER_STATE_EVENTS and line.instance_id in instances
    )
    if not is_state_change and line.event not in ORDER_EVENTS:
        return False
    runners = frozenset().union(
        *(find_runners(own_line) for own_line in request_lines)
    )
    return line.fields.get('runner') in runners


def get_time(line: reports.LogLine) -> datetime.datetime:
    """Return the time of a line, as a sort key."""
    return line.at


def read_lines(text: str) -> list[reports.LogLine]:
    """Parse JSON log lines.

    Other lines, and text before the JSON object of a line, are skipped.
    """
    log_lines = []
    for text_line in text.splitlines():
        start = text_line.find('{"asctime"')
        if start < 0:
            continue
        try:
            fields = json.loads(text_line[start:])
            at = datetime.datetime.strptime(fields['asctime'], TIME_FORMAT)
        except (ValueError, KeyError, TypeError):
            # The line is truncated, as at the end of a file.
            continue
        log_lines.append(
            reports.LogLine(
                at,
                str(fields.get('instance_id', '')),
                str(fields.get('message', '')),
                fields,
            )
        )
    return log_lines


def find_runners(line: reports.LogLine) -> frozenset[str]:
    """Return the runners that a line names, also those of its chain."""
    chain = line.fields.get('chain') or ()
    named = {str(part).partition(':')[0] for part in chain}
    runner = line.fields.get('runner')
    return frozenset(named | {str(runner)} if runner else named)


def find_cause(request_lines: list[reports.LogLine]) -> str:
    """Return the cause that ended a request, in one line."""
    ends = [line for line in request_lines if line.event in END_EVENTS]
    if not ends:
        return (
            'no log line for its end: it is still open, or the line was dropped'
        )
    last = ends[-1]
    reason = last.fields.get('problem') or last.fields.get('reason')
    earlier = [
        str(line.fields.get('problem'))
        for line in request_lines
        if line.event == 'send_failed'
    ]
    cause = f'{last.event}: {reason}' if reason else last.event
    if earlier:
        cause += f' (after {len(earlier)} failed: {", ".join(earlier)})'
    return cause


def format_fields(line: reports.LogLine) -> str:
    """Format the fields of a line that have a value."""
    return ' '.join(
        f'{name}={item}'
        for name, item in line.fields.items()
        if name not in HIDDEN_FIELDS
        and item is not None
        and item not in ('', [])
    )
