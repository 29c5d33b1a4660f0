"""Check the history of a site that relays requests against its guarantees.

The event of a history line is one of:

- of callers: `ask` for an attempt, and its end: `answer`, `lost` for a failed
  connection or `left` for an attempt that the caller aborted. An answer is
  `leaving` if its runner says in it that it leaves;
- of runners: `run`, `refusal`, with the seconds of `retry_after` if the runner
  asks to wait, and `move`, the new chain of a running request;
- of the operator: `config_sent` for a configuration and `config` for its
  confirmation, `draining` and `returned` for a runner, `broken` before a fault
  that may break off its streams, `restarted` before its process ends or another
  one begins, `plan` for a planned fault, `fault` where a fault begins or ends
  at its `target`, and `settled` when all faults have ended.

Times are in seconds since the epoch.
"""

import collections
import dataclasses
import typing
from collections import abc

from bench import history_checks

Line = abc.Mapping[str, typing.Any]
Violation = history_checks.Violation

LAYER_COUNT = 8
NON_IDEMPOTENT_KIND = 'write'
# Statuses that tell a caller that its request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
MAXIMUM_RUNS = 2
# The platform tolerates this many requests that exceed their limit of runs.
ALLOWED_EXCESS_REQUESTS = 3
REVOCATION_SECONDS = 5.0
DRAIN_SECONDS = 2.0
DEADLINE_MS = 5000
DEADLINE_SLACK_MS = 500
RETRY_RATIO = 0.2
RETRIES_PER_WINDOW = 60
RETRY_WINDOW_SECONDS = 10.0
# The bound on draining runners holds only where no fault began or ended from
# this long before the drain until the run.
UNDISTURBED_SECONDS = 3.0
# A request that arrives this long after a refusal was not sent before it.
REFUSAL_ARRIVAL_SECONDS = 0.5
MAXIMUM_ARRIVALS_IN_A_WAIT = 2
PLAIN_KINDS = frozenset(('read', NON_IDEMPOTENT_KIND))
# An instance sends the first requests to a runner that refuses at once after 0,
# 0.3 and 0.9 s, and those that cross a refusal.
REFUSAL_WINDOW_SECONDS = 2.0
MAXIMUM_WINDOW_REFUSALS = 6
# A fault that began this long before may still last.
LONGEST_FAULT_SECONDS = 4.0
MISDIRECTED_STATUS = 421
UNAUTHORIZED_STATUS = 401
RESTORING_FAULT = 'RestoreStore'
KILLING_FAULTS = frozenset(('Kill', 'KillAll'))
# A kill is recorded at most this long before the process ends.
KILL_SECONDS = 1.0
# Faults of the store end no stream that has begun.
HARMLESS_FAULTS = frozenset(('DisturbStore', 'RestoreStore'))
STREAMED_STATUS = 200
MILLISECONDS_PER_SECOND = 1000
# The site recovers within this time after all faults have ended.
RECOVERY_SECONDS = 12.0
MINIMUM_SERVED_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """Hold the history lines of one run of a site."""

    lines: tuple[Line, ...]

    def select(self, *event_names: str) -> tuple[Line, ...]:
        """Return the lines of the named events, sorted by time."""
        selected = (line for line in self.lines if line['event'] in event_names)
        return tuple(sorted(selected, key=lambda line: line['at']))

    def index_attempts(self) -> dict[str, Line]:
        """Return the `ask` line of each attempt by its id."""
        return {line['id']: line for line in self.select('ask')}


def check(history: History) -> tuple[Violation, ...]:
    """Return the violations that all checks find in a history."""
    return tuple(
        violation
        for find_violations in CHECKS
        for violation in find_violations(history)
    )


def check_at_most_once(history: History) -> abc.Iterator[Violation]:
    """Find non-idempotent requests that ran more than once."""
    attempts = history.index_attempts()
    counts = collections.Counter(line['id'] for line in history.select('run'))
    for attempt_id, count in counts.items():
        attempt = attempts.get(attempt_id)
        if (
            count > 1
            and attempt is not None
            and attempt['kind'] == NON_IDEMPOTENT_KIND
        ):
            yield Violation('at most once', attempt_id, f'{count} runs')


def check_refusals(history: History) -> abc.Iterator[Violation]:
    """Find non-idempotent requests that ran although they were refused."""
    attempts = history.index_attempts()
    runs = {line['id'] for line in history.select('run')}
    for line in history.select('answer'):
        is_refusal = line['status'] in NOT_RUN_STATUSES
        if is_refusal and line['id'] in runs:
            if attempts[line['id']]['kind'] == NON_IDEMPOTENT_KIND:
                yield Violation(
                    'not run is certain',
                    line['id'],
                    f'answered with {line["status"]}, but ran',
                )


def check_answers(history: History) -> abc.Iterator[Violation]:
    """Find answers that differ from those of the runners."""
    attempts = history.index_attempts()
    for line in history.select('answer', 'lost', 'left'):
        if not line['sound']:
            yield Violation('whole answers', line['id'], 'body has wrong bytes')
        if line['event'] != 'answer' or line['status'] // 100 != 2:
            continue
        stamp = f'{line["id"]}.{attempts[line["id"]]["digest"]}'
        if not line['whole']:
            yield Violation('whole answers', line['id'], 'body is incomplete')
        if not line['stamp'].endswith(f'.{stamp}'):
            yield Violation(
                'whole answers', line['id'], 'answer to another request'
            )


def check_missing_answers(history: History) -> abc.Iterator[Violation]:
    """Find requests that ended without any answer at a living instance.

    Faults of runners, links and the store, and planned stops, end in an answer
    with an error status at the latest.
    """
    attempts = history.index_attempts()
    kills = [
        line
        for line in history.select('fault')
        if line.get('kind') in KILLING_FAULTS
    ]
    for lost in history.select('lost'):
        # Without a head, the status is 0.
        if lost.get('status') or not lost.get('sent'):
            continue
        attempt = attempts[lost['id']]
        is_killed = any(
            kill['target'] in {'', attempt['entry']}
            and attempt['at'] - KILL_SECONDS <= kill['at'] <= lost['at']
            for kill in kills
        )
        if not is_killed:
            yield Violation('an answer to each', lost['id'], lost['problem'])


def check_cut_streams(history: History) -> abc.Iterator[Violation]:
    """Find streams that were cut although no fault breaks any stream.

    Silence of runners, a changed configuration and a disturbed store do not.
    """
    attempts = history.index_attempts()
    breaks = [
        line
        for line in history.select('fault', 'broken', 'restarted')
        if line['event'] != 'fault' or line.get('kind') not in HARMLESS_FAULTS
    ]
    for lost in history.select('lost'):
        if lost.get('status') != STREAMED_STATUS or not lost.get('sent'):
            continue
        is_late = lost['seconds'] * MILLISECONDS_PER_SECOND >= DEADLINE_MS
        begins_at = attempts[lost['id']]['at'] - LONGEST_FAULT_SECONDS
        is_broken = any(
            begins_at <= line['at'] <= lost['at'] for line in breaks
        )
        if not is_late and not is_broken:
            yield Violation('streams go on', lost['id'], lost['problem'])


def check_unrequested_runs(history: History) -> abc.Iterator[Violation]:
    """Find runs of unknown or altered requests and of forwarded API keys."""
    attempts = history.index_attempts()
    for run in history.select('run'):
        attempt = attempts.get(run['id'])
        if attempt is None:
            yield Violation('nothing unasked', run['id'], 'unknown attempt')
        elif (run['digest'], run['tenant']) != (
            attempt['digest'],
            attempt['tenant'],
        ):
            yield Violation(
                'nothing unasked', run['id'], 'digest or tenant differs'
            )
        elif run['key_seen']:
            yield Violation('nothing unasked', run['id'], 'API key forwarded')


def check_layers(history: History) -> abc.Iterator[Violation]:
    """Find chains that do not run every layer once and in order."""
    for run in history.select('run', 'move'):
        if not run['layers']:
            continue
        next_layer = 0
        for first, end in run['layers']:
            if first != next_layer:
                break
            next_layer = end
        if next_layer != LAYER_COUNT:
            yield Violation('layers in order', run['id'], str(run['layers']))


def check_run_counts(history: History) -> abc.Iterator[Violation]:
    """Find requests with too many runs, if there are more than tolerated."""
    counts = collections.Counter(line['id'] for line in history.select('run'))
    exceeding_ids = [
        attempt_id
        for attempt_id, count in counts.items()
        if count > MAXIMUM_RUNS
    ]
    if len(exceeding_ids) > ALLOWED_EXCESS_REQUESTS:
        yield Violation(
            'runs of a request',
            exceeding_ids[0],
            f'{len(exceeding_ids)} requests exceed the limit',
        )


def check_retry_budget(history: History) -> abc.Iterator[Violation]:
    """Find the first window in which retries exceed the budget."""
    request_times = [line['at'] for line in history.select('ask')]
    seen_ids: set[str] = set()
    retry_times = []
    for line in history.select('run', 'refusal'):
        if line['id'] in seen_ids:
            retry_times.append(line['at'])
        seen_ids.add(line['id'])
    for end in retry_times:
        begin = end - RETRY_WINDOW_SECONDS
        retries = sum(begin < at <= end for at in retry_times)
        # The budget follows the largest request count of this window, the
        # previous one and the one half a window earlier.
        requests = max(
            sum(begin - shift < at <= end - shift for at in request_times)
            for shift in (0, RETRY_WINDOW_SECONDS / 2, RETRY_WINDOW_SECONDS)
        )
        if retries > RETRY_RATIO * requests + RETRIES_PER_WINDOW:
            yield Violation(
                'retry budget',
                str(end),
                f'{retries} retries of {requests} requests',
            )
            return


def check_deadlines(history: History) -> abc.Iterator[Violation]:
    """Find runs without a deadline or with one after that of the caller."""
    for run in history.select('run'):
        deadline_ms = run['deadline_ms']
        if deadline_ms is None or deadline_ms > DEADLINE_MS + DEADLINE_SLACK_MS:
            yield Violation(
                'time budget', run['id'], f'deadline after {deadline_ms} ms'
            )


def check_revoked_keys(history: History) -> abc.Iterator[Violation]:
    """Find runs of requests whose key no configuration in force has."""
    runs = {line['id'] for line in history.select('run')}
    confirmed, sent = history.select('config'), history.select('config_sent')
    for attempt in history.select('ask'):
        if attempt['id'] in runs and not is_key_allowed(
            attempt, confirmed, sent
        ):
            yield Violation('revoked keys', attempt['id'], attempt['key'])


def is_key_allowed(
    attempt: Line, confirmed: abc.Sequence[Line], sent: abc.Sequence[Line]
) -> bool:
    """Return whether a configuration that may be in force has the key.

    A configuration may be in force once it is sent, since its confirmation may
    be lost. It is out of force `REVOCATION_SECONDS` after the confirmation of a
    newer version.
    """
    oldest_version = find_oldest_version(attempt['at'], confirmed)
    return any(
        attempt['key'] in config['keys']
        for config in sent
        if config['version'] >= oldest_version
    )


def find_oldest_version(at: float, confirmed: abc.Sequence[Line]) -> int:
    """Return the oldest version that may be in force at a time, or 0."""
    return max(
        (
            config['version']
            for config in confirmed
            if config['at'] + REVOCATION_SECONDS < at
        ),
        default=0,
    )


def check_denied_keys(history: History) -> abc.Iterator[Violation]:
    """Find denials of keys that all configurations that may be in force have.

    A restored store may show an older version until the operator confirms one
    again.
    """
    attempts = history.index_attempts()
    confirmed, sent = history.select('config'), history.select('config_sent')
    restore_times = [
        line['at']
        for line in history.select('fault')
        if line.get('kind') == RESTORING_FAULT
    ]
    for answer in history.select('answer'):
        if answer['status'] != UNAUTHORIZED_STATUS:
            continue
        attempt = attempts[answer['id']]
        restored_at = max(
            (at for at in restore_times if at < answer['at']), default=0.0
        )
        oldest_version = find_oldest_version(
            attempt['at'],
            [line for line in confirmed if line['at'] > restored_at],
        )
        is_known = oldest_version > 0 and all(
            attempt['key'] in config['keys']
            for config in sent
            if config['version'] >= oldest_version
            and config['at'] <= answer['at']
        )
        if is_known:
            yield Violation('keys in force', attempt['id'], attempt['key'])


def check_draining_runners(history: History) -> abc.Iterator[Violation]:
    """Find runs that started too long after their runner began to drain.

    Drains without a later `returned` and runs shortly after a fault are left
    out.
    """
    fault_times = [line['at'] for line in history.select('fault')]
    for drain in history.select('draining'):
        return_times = [
            line['at']
            for line in history.select('returned')
            if line['runner'] == drain['runner'] and line['at'] > drain['at']
        ]
        drained_at = drain['at'] + DRAIN_SECONDS
        for run in history.select('run'):
            if run['runner'] != drain['runner'] or run['at'] < drained_at:
                continue
            is_undisturbed = not any(
                drain['at'] - UNDISTURBED_SECONDS < at < run['at']
                for at in fault_times
            )
            if is_undisturbed and run['at'] < min(
                return_times, default=drained_at
            ):
                yield Violation(
                    'leaving runners', run['id'], 'run long after the drain'
                )


def check_leaving_upstreams(history: History) -> abc.Iterator[Violation]:
    """Find arrivals at a runner that has said to a caller that it leaves."""
    attempts = history.index_attempts()
    run_times: dict[tuple[str, str], float] = {
        (run['id'], run['runner']): run['at'] for run in history.select('run')
    }
    for answer in history.select('answer'):
        if not answer.get('leaving'):
            continue
        runner = answer['stamp'].partition('.')[0]
        entry = attempts[answer['id']]['entry']
        # The answer may arrive after the process that made it has ended.
        said_at = run_times.get((answer['id'], runner), float(answer['at']))
        for arrival in list_arrivals(runner, entry, history):
            asked_at = attempts[arrival['id']]['at']
            if asked_at <= answer['at'] + DRAIN_SECONDS:
                continue
            if not is_excused(runner, entry, said_at, arrival, history):
                yield Violation(
                    'leaving by its own word', arrival['id'], runner
                )


def check_waits(history: History) -> abc.Iterator[Violation]:
    """Find runners that get requests in the time for which they want none."""
    attempts = history.index_attempts()
    for refusal in history.select('refusal'):
        attempt = attempts.get(refusal['id'])
        if attempt is None or not refusal.get('retry_after'):
            continue
        runner, entry = refusal['runner'], attempt['entry']
        begins_at = refusal['at'] + REFUSAL_ARRIVAL_SECONDS
        ends_at = refusal['at'] + refusal['retry_after']
        arrivals = [
            arrival
            for arrival in list_arrivals(runner, entry, history)
            if begins_at < arrival['at'] < ends_at
            and not is_excused(runner, entry, refusal['at'], arrival, history)
        ]
        if len(arrivals) > MAXIMUM_ARRIVALS_IN_A_WAIT:
            yield Violation(
                'waits', arrivals[-1]['id'], f'{len(arrivals)} at {runner}'
            )


def check_refusing_runners(history: History) -> abc.Iterator[Violation]:
    """Find plain runners that go on to draw requests which they refuse.

    Only times at which another plain runner refuses nothing and runs requests
    of the same instance are looked at.
    """
    attempts = history.index_attempts()
    arrivals: dict[str, list[Line]] = collections.defaultdict(list)
    for line in history.select('run', 'refusal'):
        attempt = attempts.get(line['id'])
        if attempt is not None and attempt['kind'] in PLAIN_KINDS:
            arrivals[attempt['entry']].append(line)
    for lines in arrivals.values():
        for number, last in enumerate(lines):
            recent = [
                line
                for line in lines[: number + 1]
                if line['at'] > last['at'] - REFUSAL_WINDOW_SECONDS
            ]
            refusers = collections.Counter(
                line['runner'] for line in recent if line['event'] == 'refusal'
            )
            is_served = any(line['runner'] not in refusers for line in recent)
            count = refusers[last['runner']]
            if count > MAXIMUM_WINDOW_REFUSALS and is_served:
                yield Violation(
                    'refusing runners',
                    last['id'],
                    f'{count} at {last["runner"]}',
                )
                break


def list_arrivals(
    runner: str, entry: str, history: History
) -> abc.Iterator[Line]:
    """Return the requests at a runner that callers sent to an instance."""
    attempts = history.index_attempts()
    for line in history.select('run', 'refusal'):
        if line['runner'] != runner or line['id'] not in attempts:
            continue
        is_misdirected = line.get('status') == MISDIRECTED_STATUS
        if attempts[line['id']]['entry'] == entry and not is_misdirected:
            yield line


def is_excused(
    runner: str, entry: str, since: float, arrival: Line, history: History
) -> bool:
    """Return whether an arrival may follow from a fault.

    An instance that has restarted knows nothing of a runner, one whose link to
    it was disturbed may hear or arrive late, and a restarted runner is another.
    """
    for fault in history.select('fault'):
        may_last = since - LONGEST_FAULT_SECONDS < fault['at'] < arrival['at']
        is_of_all = fault['kind'] == 'KillAll'
        if may_last and (is_of_all or fault['target'] in {runner, entry}):
            return True
    return any(
        line['runner'] == runner and since < line['at'] < arrival['at']
        for line in history.select('restarted')
    )


def check_recovery(history: History) -> abc.Iterator[Violation]:
    """Find a site that serves too few attempts after all faults have ended."""
    for settled in history.select('settled'):
        recovered_at = settled['at'] + RECOVERY_SECONDS
        attempt_ids = {
            line['id']
            for line in history.select('ask')
            if line['at'] >= recovered_at
        }
        served_ids = {
            line['id']
            for line in history.select('answer')
            if line['id'] in attempt_ids and line['status'] // 100 == 2
        }
        if attempt_ids and len(served_ids) < MINIMUM_SERVED_SHARE * len(
            attempt_ids
        ):
            yield Violation(
                'recovery',
                str(recovered_at),
                f'{len(served_ids)} of {len(attempt_ids)} attempts served',
            )


CHECKS = (
    check_at_most_once,
    check_refusals,
    check_answers,
    check_missing_answers,
    check_cut_streams,
    check_unrequested_runs,
    check_layers,
    check_run_counts,
    check_retry_budget,
    check_deadlines,
    check_revoked_keys,
    check_denied_keys,
    check_draining_runners,
    check_leaving_upstreams,
    check_waits,
    check_refusing_runners,
    check_recovery,
)
