"""Exchange evidence of crashes with other instances.

The clocks of two instances differ, so that a report says how long ago something
was. Reports may arrive late, twice or in any order: merging them is idempotent
and keeps the earliest time of a crash and the latest beginning of an answer.
"""

import dataclasses
import typing

from mustardvale.internal.relay import (
    calls,
    crash_evidence,
    crash_records,
    fingerprints,
)

if typing.TYPE_CHECKING:
    from collections import abc


def build_report(
    known: crash_evidence.CrashState,
    crashes: 'abc.Collection[crash_records.Crash]',
    parts: 'abc.Iterable[str]',
    now: float,
) -> calls.ReportCrashes:
    """Return a report of some crashes and of the parts that have begun."""
    return calls.ReportCrashes(
        known.checksum,
        tuple(
            calls.ReportedCrash(
                crash.process,
                now - crash.crashed_at,
                crash.requests,
                crash.lost,
            )
            for crash in crashes
        ),
        build_ages(known.begun, parts, now),
        build_ages(known.completed, list_lost(crashes), now),
    )


def build_ages(
    times: crash_records.BegunParts, parts: 'abc.Iterable[str]', now: float
) -> tuple[calls.BegunPart, ...]:
    """Return how long ago parts were seen, for those that were."""
    return tuple(
        calls.BegunPart(part, now - times.find(part))
        for part in sorted(parts)
        if times.find(part) > crash_records.NEVER
    )


def list_lost(
    crashes: 'abc.Iterable[crash_records.Crash]',
) -> frozenset[str]:
    """Return the fingerprints of the requests that crashes have cut."""
    return frozenset().union(*(crash.lost_fingerprints for crash in crashes))


def build_full_report(
    known: crash_evidence.CrashState, now: float
) -> calls.ReportCrashes:
    """Return a report of all evidence."""
    parts = list_parts(known.crashes)
    return build_report(known, known.crashes, parts, now)


def list_parts(
    crashes: 'abc.Iterable[crash_records.Crash]',
) -> frozenset[str]:
    """Return the parts of the prompts that crashes have."""
    return frozenset().union(*(crash.parts for crash in crashes))


def merge_report(
    known: crash_evidence.CrashState, report: calls.ReportCrashes, now: float
) -> crash_evidence.CrashState:
    """Return the evidence with that of a report."""
    crashes = known.crashes
    for reported in report.crashes[: crash_records.MAXIMUM_CRASHES]:
        if not reported.requests and not reported.lost:
            continue
        crash = crash_records.Crash(
            reported.process,
            compute_time(reported.age_seconds, now),
            limit_requests(reported.requests),
            limit_lost(reported.lost),
        )
        crashes = crash_records.merge_crash(crashes, crash)
    return crash_evidence.update_conclusions(
        dataclasses.replace(
            known,
            crashes=crashes,
            begun=merge_ages(known.begun, report.begun, now),
            completed=merge_ages(known.completed, report.completed, now),
        ),
        now,
    )


def merge_ages(
    times: crash_records.BegunParts,
    reported: tuple[calls.BegunPart, ...],
    now: float,
) -> crash_records.BegunParts:
    """Return the times with those of a report."""
    for item in reported[: crash_records.MAXIMUM_BEGUN_PARTS]:
        times = crash_records.record_begun(
            times, (item.part,), compute_time(item.age_seconds, now)
        )
    return times


def limit_requests(
    crashed_requests: tuple[crash_records.CrashedRequest, ...],
) -> tuple[crash_records.CrashedRequest, ...]:
    """Return as many requests and parts as an instance records itself."""
    kept = crashed_requests[: crash_records.MAXIMUM_REQUESTS_PER_CRASH]
    return tuple(
        dataclasses.replace(
            request, parts=request.parts[: crash_records.MAXIMUM_PARTS]
        )
        for request in kept
    )


def limit_lost(
    lost: tuple[crash_records.LostRequest, ...],
) -> tuple[crash_records.LostRequest, ...]:
    """Return as many requests and fingerprints as an instance records itself."""
    return tuple(
        dataclasses.replace(
            found,
            fingerprints=found.fingerprints[: fingerprints.MAXIMUM_COUNT],
        )
        for found in lost[: crash_records.MAXIMUM_LOST_PER_CRASH]
        if found.fingerprints
    )


def compute_time(age_seconds: float, now: float) -> float:
    """Return the time of something that was `age_seconds` ago."""
    age = min(max(age_seconds, 0.0), crash_records.CRASH_RETENTION_SECONDS)
    return now - age
