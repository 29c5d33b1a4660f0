"""Check what callers and runners saw of instances that relay requests.

The history has a line for each attempt of a caller (`attempt`), for how it ended
(`answer`, `lost`, `left`), for what runners were given (`run`, `refusal`,
`move`) and for what the operator did (`config_sent`, `config` for its confirmation, `draining`, `fault`,
`settled`). Times are in seconds since the epoch.
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
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
MAXIMUM_RUNS = 2
# The platform allows this many requests over their limit of runs.
ALLOWED_EXCESS_REQUESTS = 3
REVOCATION_SECONDS = 5.0
DRAIN_SECONDS = 2.0
DEADLINE_MS = 5000
DEADLINE_SLACK_MS = 500
RETRY_RATIO = 0.2
RETRY_ALLOWANCE = 60
RETRY_WINDOW_SECONDS = 10.0
# Bounds on leaving runners hold for a site that was calm for this long.
UNDISTURBED_SECONDS = 3.0
# After all faults have ended the site serves again within this time.
RECOVERY_SECONDS = 12.0
MINIMUM_SERVED_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """Hold the lines of a run by what they tell."""

    lines: tuple[Line, ...]

    def select(self, *kinds: str) -> tuple[Line, ...]:
        """Return the lines of some kinds, in the order of their times."""
        found = (line for line in self.lines if line['event'] in kinds)
        return tuple(sorted(found, key=lambda line: line['at']))

    def attempts_by_id(self) -> dict[str, Line]:
        """Return the attempts of callers by their id."""
        return {line['id']: line for line in self.select('ask')}


def check(history: History) -> tuple[Violation, ...]:
    """Return every broken promise that a history shows."""
    return tuple(
        violation for check_one in CHECKS for violation in check_one(history)
    )


def check_at_most_once(history: History) -> abc.Iterator[Violation]:
    """Find requests that must not run twice and did."""
    attempts = history.attempts_by_id()
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
    """Find requests that ran although the caller was told the opposite."""
    attempts = history.attempts_by_id()
    runs = {line['id'] for line in history.select('run')}
    for line in history.select('answer'):
        promised = line['status'] in NOT_RUN_STATUSES
        if promised and line['id'] in runs:
            if attempts[line['id']]['kind'] == NON_IDEMPOTENT_KIND:
                yield Violation(
                    'not run is certain', line['id'], f'{line["status"]}, ran'
                )


def check_answers(history: History) -> abc.Iterator[Violation]:
    """Find answers that are not what the runner gave."""
    attempts = history.attempts_by_id()
    for line in history.select('answer', 'lost', 'left'):
        if not line['sound']:
            yield Violation('whole answers', line['id'], 'wrong bytes')
        if line['event'] != 'answer' or line['status'] // 100 != 2:
            continue
        stamp = f'{line["id"]}.{attempts[line["id"]]["digest"]}'
        if not line['whole']:
            yield Violation('whole answers', line['id'], 'looks complete')
        if not line['stamp'].endswith(f'.{stamp}'):
            yield Violation('whole answers', line['id'], 'of another request')


def check_unrequested_runs(history: History) -> abc.Iterator[Violation]:
    """Find runs that no caller asked for in this form."""
    attempts = history.attempts_by_id()
    for run in history.select('run'):
        attempt = attempts.get(run['id'])
        if attempt is None:
            yield Violation('nothing unasked', run['id'], 'unknown id')
        elif (run['digest'], run['tenant']) != (
            attempt['digest'],
            attempt['tenant'],
        ):
            yield Violation('nothing unasked', run['id'], 'changed')
        elif run['key_seen']:
            yield Violation('nothing unasked', run['id'], 'key passed on')


def check_layers(history: History) -> abc.Iterator[Violation]:
    """Find chains that do not run every layer once and in order."""
    for run in history.select('run', 'move'):
        if not run['layers']:
            continue
        reached = 0
        for first, end in run['layers']:
            if first != reached:
                break
            reached = end
        if reached != LAYER_COUNT:
            yield Violation('layers in order', run['id'], str(run['layers']))


def check_run_counts(history: History) -> abc.Iterator[Violation]:
    """Find more requests than allowed that ran too often."""
    counts = collections.Counter(line['id'] for line in history.select('run'))
    over = [
        attempt_id
        for attempt_id, count in counts.items()
        if count > MAXIMUM_RUNS
    ]
    if len(over) > ALLOWED_EXCESS_REQUESTS:
        yield Violation('runs of a request', over[0], f'{len(over)} over')


def check_retry_budget(history: History) -> abc.Iterator[Violation]:
    """Find windows in which more was sent again than the budget allows."""
    asked = [line['at'] for line in history.select('ask')]
    seen: set[str] = set()
    repeats = []
    for line in history.select('run', 'refusal'):
        if line['id'] in seen:
            repeats.append(line['at'])
        seen.add(line['id'])
    for end in repeats:
        begin = end - RETRY_WINDOW_SECONDS
        sent = sum(begin < at <= end for at in repeats)
        # Requests count in this window or the one before, whichever is more.
        requests = max(
            sum(begin - back < at <= end - back for at in asked)
            for back in (0, RETRY_WINDOW_SECONDS / 2, RETRY_WINDOW_SECONDS)
        )
        if sent > RETRY_RATIO * requests + RETRY_ALLOWANCE:
            yield Violation('retry budget', str(end), f'{sent} of {requests}')
            return


def check_deadlines(history: History) -> abc.Iterator[Violation]:
    """Find runs that were given more time than their caller waits."""
    for run in history.select('run'):
        given = run['deadline_ms']
        if given is None or given > DEADLINE_MS + DEADLINE_SLACK_MS:
            yield Violation('time budget', run['id'], f'{given} ms')


def check_revoked_keys(history: History) -> abc.Iterator[Violation]:
    """Find runs of requests whose key had been taken away for long."""
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

    One that was sent may be in force although its confirmation was lost.
    """
    bound = max(
        (
            config['version']
            for config in confirmed
            if config['at'] + REVOCATION_SECONDS < attempt['at']
        ),
        default=0,
    )
    return any(
        attempt['key'] in config['keys']
        for config in sent
        if config['version'] >= bound
    )


def check_leaving_runners(history: History) -> abc.Iterator[Violation]:
    """Find runs at runners that had been leaving for long, on a calm site."""
    faults = [line['at'] for line in history.select('fault')]
    for leaving in history.select('draining'):
        returned = [
            line['at']
            for line in history.select('returned')
            if line['runner'] == leaving['runner']
            and line['at'] > leaving['at']
        ]
        late_from = leaving['at'] + DRAIN_SECONDS
        for run in history.select('run'):
            if run['runner'] != leaving['runner'] or run['at'] < late_from:
                continue
            calm = not any(
                leaving['at'] - UNDISTURBED_SECONDS < at < run['at']
                for at in faults
            )
            if calm and run['at'] < min(returned, default=late_from):
                yield Violation('leaving runners', run['id'], 'run late')


def check_recovery(history: History) -> abc.Iterator[Violation]:
    """Find a site that does not serve after all faults have ended."""
    for settled in history.select('settled'):
        since = settled['at'] + RECOVERY_SECONDS
        asked = {
            line['id'] for line in history.select('ask') if line['at'] >= since
        }
        served = {
            line['id']
            for line in history.select('answer')
            if line['id'] in asked and line['status'] // 100 == 2
        }
        if asked and len(served) < MINIMUM_SERVED_SHARE * len(asked):
            yield Violation(
                'recovery', str(since), f'{len(served)} of {len(asked)}'
            )


CHECKS = (
    check_at_most_once,
    check_refusals,
    check_answers,
    check_unrequested_runs,
    check_layers,
    check_run_counts,
    check_retry_budget,
    check_deadlines,
    check_revoked_keys,
    check_leaving_runners,
    check_recovery,
)
