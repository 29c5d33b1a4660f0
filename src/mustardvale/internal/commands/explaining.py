"""Tell the history of one request from the log lines of all instances."""

import datetime
import json

from mustardvale.internal import events
from mustardvale.internal.commands import command_types, reducer, reports
from mustardvale.internal.commands import state as states

# Lines about what an instance believes of the runners that a request went to,
# and orders to these runners, which any instance may have given.
RUNNER_STATE_EVENTS = frozenset(('runner_blamed', 'upstream_changed'))
ORDER_EVENTS = frozenset(('layers_ordered', 'order_answered'))
# Beliefs from this long before a request may have decided where it went.
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
    """Show the history of a request, with what ended it last."""
    lines = sorted(read_lines(command.text), key=get_time)
    own = [line for line in lines if line.fields.get('request') == command.id]
    if not own:
        failed = reports.Failed(
            'request_unknown',
            f'no line names request {command.id}',
            'Routine lines are a sample; give the logs of all instances.',
        )
        return reducer.finish(failed, states.EXIT_REFUSED, state)
    related = [line for line in lines if is_related(line, own)]
    history = tuple(sorted((*own, *related), key=get_time))
    report = reports.RequestExplained(command.id, history, find_cause(own))
    return reducer.finish(report, states.EXIT_DONE, state)


def is_related(line: reports.LogLine, own: list[reports.LogLine]) -> bool:
    """Return whether a line tells why a request went where it did."""
    if not own[0].at - LOOKBACK <= line.at <= own[-1].at:
        return False
    instances = {known.instance_id for known in own}
    believed = (
        line.event in RUNNER_STATE_EVENTS and line.instance_id in instances
    )
    if not believed and line.event not in ORDER_EVENTS:
        return False
    used = frozenset().union(*(find_runners(known) for known in own))
    return line.fields.get('runner') in used


def get_time(line: reports.LogLine) -> datetime.datetime:
    """Return when a line was written."""
    return line.at


def read_lines(text: str) -> list[reports.LogLine]:
    """Read the lines that are ours; others, and text before them, are skipped."""
    found = []
    for written in text.splitlines():
        begin = written.find('{"asctime"')
        if begin < 0:
            continue
        try:
            fields = json.loads(written[begin:])
            at = datetime.datetime.strptime(fields['asctime'], TIME_FORMAT)
        except (ValueError, KeyError, TypeError):
            # A line that was cut off at the end of a file.
            continue
        found.append(
            reports.LogLine(
                at,
                str(fields.get('instance_id', '')),
                str(fields.get('message', '')),
                fields,
            )
        )
    return found


def find_runners(line: reports.LogLine) -> frozenset[str]:
    """Return the runners that a line names, those of its chain included."""
    chain = line.fields.get('chain') or ()
    named = {str(part).partition(':')[0] for part in chain}
    runner = line.fields.get('runner')
    return frozenset(named | {str(runner)} if runner else named)


def find_cause(own: list[reports.LogLine]) -> str:
    """Return what ended a request, in one line."""
    ends = [line for line in own if line.event in END_EVENTS]
    if not ends:
        return 'no line tells its end: it is still open, or was left out'
    last = ends[-1]
    why = last.fields.get('problem') or last.fields.get('reason')
    earlier = [
        str(line.fields.get('problem'))
        for line in own
        if line.event == 'send_failed'
    ]
    cause = f'{last.event}: {why}' if why else last.event
    if earlier:
        cause += f' (after {len(earlier)} failed: {", ".join(earlier)})'
    return cause


def format_fields(line: reports.LogLine) -> str:
    """Return the fields of a line as text."""
    return ' '.join(
        f'{name}={item}'
        for name, item in line.fields.items()
        if name not in HIDDEN_FIELDS
        and item is not None
        and item not in ('', [])
    )
