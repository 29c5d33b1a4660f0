"""Exchange evidence of crashes with other instances.

The clocks of two instances differ, so that a report says how long ago something
was. Reports may arrive late, twice or in any order: merging them is idempotent
and keeps the earliest time of a crash and the latest beginning of an answer.
"""

import dataclasses
import typing

from mustardvale.internal.relay import calls, crash_evidence, crash_records

if typing.TYPE_CHECKING:
    from collections import abc


def build_report(
    known: crash_evidence.CrashState,
    crashes: 'abc.Iterable[crash_records.Crash]',
    parts: 'abc.Iterable[str]',
    now: float,
) -> calls.ReportCrashes:
    """Return a report of some crashes and of the parts that have begun."""
    return calls.ReportCrashes(
        known.checksum,
        tuple(
            calls.ReportedCrash(
                crash.process, now - crash.crashed_at, crash.requests
            )
            for crash in crashes
        ),
        tuple(
            calls.BegunPart(part, now - known.begun.find(part))
            for part in sorted(parts)
            if known.begun.find(part) > crash_records.NEVER
        ),
    )


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
        if not reported.requests:
            continue
        crash = crash_records.Crash(
            reported.process,
            compute_time(reported.age_seconds, now),
            limit_requests(reported.requests),
        )
        crashes = crash_records.merge_crash(crashes, crash)
    begun = known.begun
    for begun_part in report.begun[: crash_records.MAXIMUM_BEGUN_PARTS]:
        begun = crash_records.record_begun(
            begun,
            (begun_part.part,),
            compute_time(begun_part.age_seconds, now),
        )
    return crash_evidence.update_conclusions(
        dataclasses.replace(known, crashes=crashes, begun=begun), now
    )


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


def compute_time(age_seconds: float, now: float) -> float:
    """Return the time of something that was `age_seconds` ago."""
    age = min(max(age_seconds, 0.0), crash_records.CRASH_RETENTION_SECONDS)
    return now - age
