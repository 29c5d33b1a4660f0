"""Decide how many requests may be open at an upstream that starts or returns.

Its capacity is divided among all instances. They first use a small share of
it. Answers that come in time raise the share, slow answers, refusals and lost
connections lower it, and time alone changes nothing. Once all of the capacity
has been in use for a while, the upstream is chosen like any other.
"""

import dataclasses
import enum
import functools
import math
import typing
import zlib
from collections import abc

import immutables

from mustardvale.internal import draws
from mustardvale.internal.relay import calls, loads

# One raise reaches the full share, and an upstream at half speed serves this.
INITIAL_SHARE = 0.5
MINIMUM_SHARE = 1 / 16
RAISE_FACTOR = 2.0
REFUSAL_FACTOR = 0.5
# An answer at half speed takes twice the usual time.
TIMELY_RATIO = 1.5
# Delays of the network and of this process, which say nothing of the upstream.
SLACK_SECONDS = 0.02
# An upstream with its full share keeps its limit until the mean loads show it.
SETTLING_SECONDS = loads.AVERAGING_SECONDS
# Bounds the arrivals in any 100 ms where answers take less than that.
MINIMUM_TURN_SECONDS = 0.1
# The last request of a turn is still open while the next instance begins.
REQUESTS_PER_TURN = 16
MAXIMUM_PACES = 64
BASELINE_WEIGHT = 0.1


class PaceKind(enum.Enum):
    """Name why the requests to an upstream are limited, as log lines show it."""

    COLD = 'started'
    RECOVERED = 'recovered'
    RETURNED = 'returned'


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """Hold how much of an upstream's capacity all instances may use.

    `capacity` is the number of requests that the upstream can hold, and `share`
    the part of it that may be in use. `turn_seconds` is how long a request
    usually lasts, and `slowness` the factor by which the last answer took
    longer, at least 1. `offset` is a number in [0, 1) that is the same for the
    instances of a zone; it shifts their turns. `step` counts the changes, so that instances recognize
    the newer of two findings, and `changed_at` is the time of the last one.
    `full_since` is when the whole capacity became usable.
    """

    kind: PaceKind
    started_at_ms: int
    capacity: float
    turn_seconds: float
    began_at: float
    changed_at: float
    offset: float = 0.0
    share: float = INITIAL_SHARE
    slowness: float = 1.0
    step: int = 0
    full_since: float | None = None


PaceMap: typing.TypeAlias = 'immutables.Map[str, Pace]'


@dataclasses.dataclass(frozen=True, slots=True)
class PaceState:
    """Hold the limited upstreams and how fast the others of a service answer.

    `baselines` has the mean ratio of measured to modelled times by service, and
    `logged_paces` the paces when they were last logged.
    """

    paces: PaceMap = immutables.Map()
    logged_paces: PaceMap = immutables.Map()
    baselines: immutables.Map[str, float] = immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """Describe what a request showed of an upstream; `sent_at` is its start."""

    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Answered(Evidence):
    """Report a first event or an answer after a time in seconds."""

    seconds: float
    expected_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refused(Evidence):
    """Report a refusal to run a request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Lost(Evidence):
    """Report a reset or another failure of a send."""


def change_share(pace: Pace, share: float, now: float) -> Pace:
    """Set the share, within its bounds; another one is a new finding."""
    bounded = max(MINIMUM_SHARE, min(share, 1.0))
    if bounded == pace.share:
        return pace
    return dataclasses.replace(
        pace,
        share=bounded,
        step=pace.step + 1,
        changed_at=now,
        full_since=now if bounded >= 1 else None,
    )


@functools.singledispatch
def judge(evidence: Evidence, pace: Pace, now: float) -> Pace:
    """Return the pace after what a request has shown."""
    raise TypeError(f'no rule for {type(evidence).__name__}')


@judge.register
def judge_answer(evidence: Answered, pace: Pace, now: float) -> Pace:
    """Raise the share after an answer in time, limit it after a slow one.

    Requests that were sent before the last raise have not met the higher load,
    so that they raise nothing. A slowness that is new is a finding also where
    the share is low enough already: it makes the turns longer.
    """
    ratio = evidence.seconds / (evidence.expected_seconds + SLACK_SECONDS)
    measured = dataclasses.replace(pace, slowness=max(ratio, 1.0))
    if ratio > TIMELY_RATIO:
        limited = change_share(measured, min(pace.share, 1 / ratio), now)
        is_found = ratio > pace.slowness * TIMELY_RATIO
        if limited is measured and is_found:
            return dataclasses.replace(measured, step=pace.step + 1)
        return limited
    if evidence.sent_at < pace.changed_at or pace.share >= 1:
        return measured
    return change_share(measured, pace.share * RAISE_FACTOR, now)


@judge.register
def judge_refusal(evidence: Refused, pace: Pace, now: float) -> Pace:
    """Lower the share; requests that are refused together count once."""
    if evidence.sent_at < pace.changed_at:
        return pace
    return change_share(pace, pace.share * REFUSAL_FACTOR, now)


@judge.register
def judge_loss(evidence: Lost, pace: Pace, now: float) -> Pace:
    """Return to the smallest share."""
    return change_share(pace, MINIMUM_SHARE, now)


def restart(pace: Pace, kind: PaceKind, now: float) -> Pace:
    """Return the pace of an upstream that has failed or waits again."""
    share = min(pace.share, INITIAL_SHARE)
    return change_share(dataclasses.replace(pace, kind=kind), share, now)


def is_over(pace: Pace, now: float) -> bool:
    """Return whether an upstream is chosen like any other again."""
    return (
        pace.full_since is not None
        and now - pace.full_since >= SETTLING_SECONDS
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Name the place of an instance among those of its zone, in their order.

    All zones are taken to have as many instances.
    """

    index: int
    zone_size: int
    instance_count: int


def compute_allowance(pace: Pace, place: Place, now: float) -> int:
    """Return how many requests an instance may have open at an upstream.

    A fraction of a request is granted to some instances, which take turns. The instances of a zone differ by their index, so that as many
    as intended have a turn, and their turns end one after the other. The zones
    differ by the offset.
    """
    granted = pace.share * pace.capacity / max(place.instance_count, 1)
    whole = int(granted)
    fraction = granted - whole
    seconds = max(pace.turn_seconds, MINIMUM_TURN_SECONDS) * pace.slowness
    seconds *= REQUESTS_PER_TURN
    turns = (now - pace.began_at) / seconds
    position = pace.offset + place.index / place.zone_size - turns * fraction
    return whole + (position - math.floor(position) < fraction)


def draw_offset(zone: str, runner_id: str, started_at_ms: int) -> float:
    """Return the number that all instances of a zone derive for a process."""
    text = f'{zone} {runner_id} {started_at_ms}'
    return draws.draw(draws.draw(zlib.crc32(text.encode())).seed).fraction


def list_used_up(
    paces: PaceMap,
    own_loads: loads.LoadMap,
    place: Place,
    now: float,
) -> frozenset[str]:
    """Return the upstreams at which this instance may open no more requests."""
    return frozenset(
        runner_id
        for runner_id, pace in paces.items()
        if not is_over(pace, now)
        and own_loads.get(runner_id, loads.NO_LOAD).request_count
        >= compute_allowance(pace, place, now)
    )


def update_baseline(before: float | None, ratio: float) -> float:
    """Return the mean ratio of measured to modelled times."""
    if before is None:
        return ratio
    return before + BASELINE_WEIGHT * (ratio - before)


def build_reports(paces: PaceMap, now: float) -> tuple[calls.ReportedPace, ...]:
    """Return what this instance has found, for the others of its zone."""
    return tuple(
        calls.ReportedPace(
            runner_id, pace.started_at_ms, pace.share, pace.slowness, pace.step
        )
        for runner_id, pace in sorted(paces.items())
        if pace.step and not is_over(pace, now)
    )


def merge_reports(
    paces: PaceMap, reported: abc.Sequence[calls.ReportedPace], now: float
) -> PaceMap:
    """Adopt later findings of others; of equal steps the lower share counts.

    A report of an upstream that is not limited here, or of another process, is
    ignored.
    """
    for item in reported[:MAXIMUM_PACES]:
        known = paces.get(item.runner_id)
        if known is None or known.started_at_ms != item.started_at_ms:
            continue
        if (item.step, -item.share) <= (known.step, -known.share):
            continue
        adopted = change_share(known, item.share, now)
        paces = paces.set(
            item.runner_id,
            dataclasses.replace(
                adopted, step=item.step, slowness=max(item.slowness, 1.0)
            ),
        )
    return paces
