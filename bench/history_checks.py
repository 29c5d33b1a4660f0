"""Check the history of a run against the promises of the product.

The history is written by the load tool (see `bench.load_history`). Further
evidence is the ledger of the action service, the audit of the engines and the
document versions that the entry instances reported over time.
"""

import collections
import dataclasses
import functools
import operator
import typing
from collections import abc

Line = abc.Mapping[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Hold the document version that an entry instance reported at a time.

    `offset` is that of the promotion in its log; version 0 means no document.
    """

    at: float
    instance_id: str
    version: int
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """Hold everything that was recorded in one run.

    `executions_by_key` counts the executions of each idempotency key. The
    ledger is incomplete if an action runner was killed, since its counts are
    then lost. `step_violations` are steps that an engine applied twice or out
    of order.
    """

    lines: tuple[Line, ...] = ()
    executions_by_key: abc.Mapping[str, int] = dataclasses.field(
        default_factory=dict
    )
    is_ledger_complete: bool = True
    step_violations: tuple[str, ...] = ()
    observations: tuple[Observation, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """Describe how a subject, such as a request, breaks a promise, such as P1."""

    promise: str
    subject: str
    problem: str


def check(evidence: Evidence) -> tuple[Violation, ...]:
    """Return the violations that all checks find in the evidence."""
    return tuple(
        violation
        for find_violations in CHECKS
        for violation in find_violations(evidence)
    )


def group_calls_by_key(evidence: Evidence) -> dict[str, list[Line]]:
    """Return the ends and errors of actions by idempotency key."""
    calls: dict[str, list[Line]] = collections.defaultdict(list)
    for line in evidence.lines:
        if line['key'] and line['event'] in {'end', 'error'}:
            calls[line['key']].append(line)
    return calls


def check_step_violations(evidence: Evidence) -> abc.Iterator[Violation]:
    """Check that no engine applied a step twice or out of order (P1)."""
    for step in evidence.step_violations:
        yield Violation('P1', step, 'applied twice or out of order')


def check_verdicts(evidence: Evidence) -> abc.Iterator[Violation]:
    """Check that the load tool judged no answer as wrong (P1, P2)."""
    for line in evidence.lines:
        if line['event'] == 'verdict' and line['verdict'] == 'wrong':
            problem = line.get('problem', 'wrong answer')
            yield Violation('P2', line['request'], str(problem))


def check_complete_answers(evidence: Evidence) -> abc.Iterator[Violation]:
    """Check that answers end normally only after all their tokens (P2)."""
    token_counts = {
        line['request']: line['maximum_tokens']
        for line in evidence.lines
        if line['event'] == 'start' and line['work'] == 'answer'
    }
    for line in evidence.lines:
        if line['event'] != 'end' or line['work'] != 'answer':
            continue
        if line['count'] != token_counts.get(line['request']):
            problem = f'ended normally after {line["count"]} tokens'
            yield Violation('P2', line['request'], problem)


def check_refused_actions(evidence: Evidence) -> abc.Iterator[Violation]:
    """Check that actions whose calls were all refused did not run (P3)."""
    for key, lines in group_calls_by_key(evidence).items():
        is_refused = all(is_not_run(line) for line in lines)
        if is_refused and evidence.executions_by_key.get(key, 0):
            yield Violation('P3', key, 'reported as not run, but it ran')


def is_not_run(line: Line) -> bool:
    """Return whether the caller was told that its call has not run.

    That holds also for a call that was never sent.
    """
    if line['event'] != 'error':
        return False
    return line.get('outcome') == 'not_run' or line.get('sent') is False


def check_at_most_once(evidence: Evidence) -> abc.Iterator[Violation]:
    """Check that no action ran more than once (P4)."""
    for key, count in evidence.executions_by_key.items():
        if key and count > 1:
            yield Violation('P4', key, f'ran {count} times')


def check_completed_actions(evidence: Evidence) -> abc.Iterator[Violation]:
    """Check that completed actions ran and stay completed (P2, P3, P4)."""
    for key, lines in group_calls_by_key(evidence).items():
        ends = [line for line in lines if line['event'] == 'end']
        if not ends:
            continue
        if evidence.is_ledger_complete and not evidence.executions_by_key.get(
            key, 0
        ):
            yield Violation('P4', key, 'reported as done, but it did not run')
        bodies = {line.get('body') for line in ends}
        if len(bodies) > 1:
            yield Violation('P2', key, 'retries got different answers')
        yield from check_refusals_after_completion(key, ends, lines)


def check_refusals_after_completion(
    key: str,
    ends: list[Line],
    lines: list[Line],
) -> abc.Iterator[Violation]:
    """Check that no call of a completed key is refused afterwards (P3)."""
    first_end = min(line['at'] for line in ends)
    for line in lines:
        is_refused = is_not_run(line) and line.get('scope') == 'key'
        if is_refused and line['at'] > first_end:
            yield Violation('P3', key, 'done, then reported as not run')


def check_version_order(evidence: Evidence) -> abc.Iterator[Violation]:
    """Check that no instance reverts to an earlier document (P7)."""
    latest: dict[str, Observation] = {}
    by_time = sorted(evidence.observations, key=operator.attrgetter('at'))
    for observation in by_time:
        if not observation.version:
            continue
        previous = latest.get(observation.instance_id)
        if previous is not None and observation.version < previous.version:
            problem = f'version {previous.version}, later {observation.version}'
            yield Violation('P7', observation.instance_id, problem)
        latest[observation.instance_id] = observation


def check_version_offsets(evidence: Evidence) -> abc.Iterator[Violation]:
    """Check that a version is the same promotion at all instances (P7)."""
    offsets_by_version: dict[int, set[int]] = collections.defaultdict(set)
    for observation in evidence.observations:
        if observation.version:
            offsets_by_version[observation.version].add(observation.offset)
    for version, offsets in offsets_by_version.items():
        if len(offsets) > 1:
            problem = f'promoted at different offsets: {sorted(offsets)}'
            yield Violation('P7', f'version {version}', problem)


def check_in_force(
    evidence: Evidence,
    limit_seconds: float,
    promoted_at: abc.Mapping[int, float],
    exempt: abc.Collection[str] = (),
) -> tuple[Violation, ...]:
    """Check that promotions are in force at all instances in time (P7).

    `promoted_at` maps versions to times. `exempt` are the instances that a
    fault has stopped or suspended.
    """
    find_outdated = functools.partial(
        find_outdated_instances, evidence.observations, exempt
    )
    return tuple(
        Violation(
            'P7',
            f'version {version}',
            f'not in force after {limit_seconds} s at {sorted(late)}',
        )
        for version, at in promoted_at.items()
        if (late := find_outdated(version, at + limit_seconds))
    )


def find_outdated_instances(
    observations: tuple[Observation, ...],
    exempt: abc.Collection[str],
    version: int,
    due_at: float,
) -> set[str]:
    """Return the instances that report an earlier version after `due_at`."""
    return {
        observation.instance_id
        for observation in observations
        if observation.at > due_at
        and 0 < observation.version < version
        and observation.instance_id not in exempt
    }


CHECKS = (
    check_step_violations,
    check_verdicts,
    check_complete_answers,
    check_refused_actions,
    check_at_most_once,
    check_completed_actions,
    check_version_order,
    check_version_offsets,
)
