"""Draw a schedule of faults from a seed."""

import dataclasses
import random
import types
import typing
from collections import abc


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Mark a data class as a fault."""


@dataclasses.dataclass(frozen=True, slots=True)
class Kill(Fault):
    """Kill a process and start it again when the fault ends."""

    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Freeze(Fault):
    """Pause a process and resume it when the fault ends."""

    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Stop(Fault):
    """Stop an instance as planned and start it again when the fault ends."""

    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Disturb(Fault):
    """Switch faults of a stand-in on, and off when the fault ends."""

    target: str
    faults: tuple[tuple[str, typing.Any], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Promote(Fault):
    """Append promotions that are all based on the version in force."""

    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedFault:
    """Say when a fault begins and how long it lasts, in seconds of the load."""

    at: float
    seconds: float
    fault: Fault


@dataclasses.dataclass(frozen=True, slots=True)
class FaultTargets:
    """Name the instances of a site that faults may hit."""

    entries: tuple[str, ...]
    runners: tuple[str, ...]
    action_runners: tuple[str, ...]


def build_disturbance(target: str, **faults: typing.Any) -> Disturb:
    """Return the fault that switches faults of a stand-in on."""
    return Disturb(target, tuple(faults.items()))


RandomSource = random.Random
DrawFault = abc.Callable[[RandomSource, FaultTargets], Fault]

KINDS: types.MappingProxyType[str, DrawFault] = types.MappingProxyType(
    {
        'kill_runner': lambda source, targets: Kill(
            source.choice(targets.runners)
        ),
        'freeze_runner': lambda source, targets: Freeze(
            source.choice(targets.runners)
        ),
        'slow_runner': lambda source, targets: build_disturbance(
            source.choice(targets.runners),
            slowdown=10,
        ),
        'leave_runner': lambda source, targets: build_disturbance(
            source.choice(targets.runners),
            leaving=True,
        ),
        'kill_entry': lambda source, targets: Kill(
            source.choice(targets.entries)
        ),
        'freeze_entry': lambda source, targets: Freeze(
            source.choice(targets.entries)
        ),
        'stop_entry': lambda source, targets: Stop(
            source.choice(targets.entries)
        ),
        'log_down': lambda source, targets: build_disturbance('log', down=True),
        'log_slow': lambda source, targets: build_disturbance(
            'log', delay_seconds=0.5
        ),
        'log_loses_answers': lambda source, targets: build_disturbance(
            'log', lose_answers=3
        ),
        'list_down': lambda source, targets: build_disturbance(
            'list', down=True
        ),
        'action_loses_answers': lambda source, targets: build_disturbance(
            source.choice(targets.action_runners),
            lose_answers=2,
        ),
        'freeze_action': lambda source, targets: build_disturbance(
            source.choice(targets.action_runners),
            freeze=True,
        ),
        'promote': lambda source, targets: Promote(1),
        'race': lambda source, targets: Promote(2),
    }
)


def draw_plan(
    seed: int,
    seconds: float,
    targets: FaultTargets,
    kinds: abc.Sequence[str] = tuple(KINDS),
    period_seconds: float = 2.0,
) -> tuple[PlannedFault, ...]:
    """Draw faults that start about every period and last up to two of them.

    Two or more faults therefore overlap most of the time.
    """
    source = random.Random(seed)
    planned = []
    at = period_seconds
    while at < seconds - period_seconds:
        fault = KINDS[source.choice(kinds)](source, targets)
        lasts = source.uniform(period_seconds / 2, period_seconds * 2)
        planned.append(PlannedFault(at, lasts, fault))
        at += source.uniform(period_seconds / 2, period_seconds * 3 / 2)
    return tuple(planned)
