"""Check the history of a run against the promises.

The history is what the load tool writes (see `bench.load_history`). Further
evidence is the ledger of the action service, the audit of the engines and what
each entry instance said of its document over time.
"""

import collections
import dataclasses
import functools
import typing
from collections import abc

Line = abc.Mapping[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Hold the document version that one entry instance stated at one time."""

    at: float
    instance_id: str
    version: int
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """Hold everything that was recorded in one run.

    `executions` counts the executions for each idempotency key, `ledger_whole`
    is false when an action runner was killed, whose count is then lost.
    `repeated_steps` are steps that an engine applied twice or out of order.
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
    """Describe one broken promise."""

    promise: str
    subject: str
    problem: str


def check(evidence: Evidence) -> tuple[Violation, ...]:
    """Return every broken promise that the evidence shows."""
    return tuple(
        violation for check_one in CHECKS for violation in check_one(evidence)
    )


def group_calls_by_key(evidence: Evidence) -> dict[str, list[Line]]:
    """Return the ends and errors of the actions, by idempotency key."""
    found: dict[str, list[Line]] = collections.defaultdict(list)
    for line in evidence.lines:
        if line['key'] and line['event'] in {'end', 'error'}:
            found[line['key']].append(line)
    return found


def check_step_violations(evidence: Evidence) -> abc.Iterator[Violation]:
    """Check that no engine applied a step twice or out of order (P1)."""
    for step in evidence.step_violations:
        yield Violation('P1', step, 'applied twice or out of order')


def check_verdicts(evidence: Evidence) -> abc.Iterator[Violation]:
    """Check that every answer is the one that its request has (P1, P2)."""
    for line in evidence.lines:
        if line['event'] == 'verdict' and line['verdict'] == 'wrong':
            problem = line.get('problem', 'wrong answer')
            yield Violation('P2', line['request'], str(problem))


def check_complete_answers(evidence: Evidence) -> abc.Iterator[Violation]:
    """Check that an end mark comes only after all wanted tokens (P2)."""
    wanted = {
        line['request']: line['maximum_tokens']
        for line in evidence.lines
        if line['event'] == 'start' and line['work'] == 'answer'
    }
    for line in evidence.lines:
        if line['event'] != 'end' or line['work'] != 'answer':
            continue
        if line['count'] != wanted.get(line['request']):
            problem = f'ended whole after {line["count"]} tokens'
            yield Violation('P2', line['request'], problem)


def check_refused_actions(evidence: Evidence) -> abc.Iterator[Violation]:
    """Check that what was always refused as not run did not run (P3)."""
    for key, lines in group_calls_by_key(evidence).items():
        refused = all(is_not_run(line) for line in lines)
        if refused and evidence.executions_by_key.get(key, 0):
            yield Violation('P3', key, 'said to be not run, but it ran')


def is_not_run(line: Line) -> bool:
    """Return whether a call was certainly not run, by what its caller saw."""
    if line['event'] != 'error':
        return False
    return line.get('outcome') == 'not_run' or line.get('sent') is False


def check_at_most_once(evidence: Evidence) -> abc.Iterator[Violation]:
    """Check that no action ran twice (P4)."""
    for key, count in evidence.executions_by_key.items():
        if key and count > 1:
            yield Violation('P4', key, f'ran {count} times')


def check_completed_actions(evidence: Evidence) -> abc.Iterator[Violation]:
    """Check that what was said to be done ran, and stays done (P3, P4)."""
    for key, lines in group_calls_by_key(evidence).items():
        ends = [line for line in lines if line['event'] == 'end']
        if not ends:
            continue
        if evidence.is_ledger_complete and not evidence.executions_by_key.get(
            key, 0
        ):
            yield Violation('P4', key, 'said to be done, but it did not run')
        bodies = {line.get('body') for line in ends}
        if len(bodies) > 1:
            yield Violation('P2', key, 'repeats got different answers')
        yield from check_refusals_after_completion(key, ends, lines)


def check_refusals_after_completion(
    key: str,
    ends: list[Line],
    lines: list[Line],
) -> abc.Iterator[Violation]:
    """Check that a done key is not said to be free afterwards (P3)."""
    first_end = min(line['at'] for line in ends)
    for line in lines:
        denied = is_not_run(line) and line.get('scope') == 'key'
        if denied and line['at'] > first_end:
            yield Violation('P3', key, 'done, then said to be not run')


def check_version_order(evidence: Evidence) -> abc.Iterator[Violation]:
    """Check that no instance goes back to an earlier document (P7)."""
    latest: dict[str, Observation] = {}
    for seen in sorted(evidence.observations, key=lambda one: one.at):
        if not seen.version:
            continue
        before = latest.get(seen.instance_id)
        if before is not None and seen.version < before.version:
            problem = f'version {before.version}, later {seen.version}'
            yield Violation('P7', seen.instance_id, problem)
        latest[seen.instance_id] = seen


def check_version_offsets(evidence: Evidence) -> abc.Iterator[Violation]:
    """Check that a version names the same promotion everywhere (P7)."""
    offsets: dict[int, set[int]] = collections.defaultdict(set)
    for seen in evidence.observations:
        if seen.version:
            offsets[seen.version].add(seen.offset)
    for version, found in offsets.items():
        if len(found) > 1:
            problem = f'promoted at different offsets: {sorted(found)}'
            yield Violation('P7', f'version {version}', problem)


def check_in_force(
    evidence: Evidence,
    limit_seconds: float,
    promoted_at: abc.Mapping[int, float],
    exempt: abc.Collection[str] = (),
) -> tuple[Violation, ...]:
    """Check that promotions are in force everywhere in time (P7).

    `excused` are instances that were stopped or paused by a fault.
    """
    checked = functools.partial(
        find_outdated_instances, evidence.observations, exempt
    )
    return tuple(
        Violation(
            'P7',
            f'version {version}',
            f'not in force after {limit_seconds} s at {sorted(late)}',
        )
        for version, at in promoted_at.items()
        if (late := checked(version, at + limit_seconds))
    )


def find_outdated_instances(
    observations: tuple[Observation, ...],
    exempt: abc.Collection[str],
    version: int,
    due_at: float,
) -> set[str]:
    """Return the instances that state an earlier version when it is due."""
    return {
        seen.instance_id
        for seen in observations
        if seen.at > due_at
        and 0 < seen.version < version
        and seen.instance_id not in exempt
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
