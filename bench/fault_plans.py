"""Draw random schedules of faults for a site."""

import dataclasses
import random
import types
import typing
from collections import abc


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Serve as the base class of all faults."""


@dataclasses.dataclass(frozen=True, slots=True)
class Kill(Fault):
    """Kill a process and restart it when the fault ends."""

    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Freeze(Fault):
    """Suspend a process and resume it when the fault ends."""

    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Stop(Fault):
    """Stop an instance gracefully and restart it when the fault ends."""

    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Disturb(Fault):
    """Activate faults of a stand-in and clear them when the fault ends."""

    target: str
    faults: tuple[tuple[str, typing.Any], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Promote(Fault):
    """Append `count` promotions that are based on the version in force.

    At most one of them is accepted.
    """

    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedFault:
    """Hold a fault, its start and its duration in seconds.

    `at` is the start in seconds after the start of the load.
    """

    at: float
    seconds: float
    fault: Fault


@dataclasses.dataclass(frozen=True, slots=True)
class FaultTargets:
    """Hold the ids of the instances that faults may affect."""

    entries: tuple[str, ...]
    runners: tuple[str, ...]
    action_runners: tuple[str, ...]


def build_disturbance(target: str, **faults: typing.Any) -> Disturb:
    """Return a fault that activates faults of a stand-in."""
    return Disturb(target, tuple(faults.items()))


RandomSource = random.Random
DrawFault = abc.Callable[[RandomSource, FaultTargets], Fault]

KINDS: types.MappingProxyType[str, DrawFault] = types.MappingProxyType(
    {
        'kill_runner': lambda random_source, targets: Kill(
            random_source.choice(targets.runners)
        ),
        'freeze_runner': lambda random_source, targets: Freeze(
            random_source.choice(targets.runners)
        ),
        'slow_runner': lambda random_source, targets: build_disturbance(
            random_source.choice(targets.runners),
            slowdown=10,
        ),
        'leave_runner': lambda random_source, targets: build_disturbance(
            random_source.choice(targets.runners),
            leaving=True,
        ),
        'kill_entry': lambda random_source, targets: Kill(
            random_source.choice(targets.entries)
        ),
        'freeze_entry': lambda random_source, targets: Freeze(
            random_source.choice(targets.entries)
        ),
        'stop_entry': lambda random_source, targets: Stop(
            random_source.choice(targets.entries)
        ),
        'log_down': lambda random_source, targets: build_disturbance(
            'log', down=True
        ),
        'log_slow': lambda random_source, targets: build_disturbance(
            'log', delay_seconds=0.5
        ),
        'log_loses_answers': lambda random_source, targets: build_disturbance(
            'log', lose_answers=3
        ),
        'list_down': lambda random_source, targets: build_disturbance(
            'list', down=True
        ),
        'action_loses_answers': lambda random_source, targets: (
            build_disturbance(
                random_source.choice(targets.action_runners),
                lose_answers=2,
            )
        ),
        'freeze_action': lambda random_source, targets: build_disturbance(
            random_source.choice(targets.action_runners),
            freeze=True,
        ),
        'promote': lambda random_source, targets: Promote(1),
        'race': lambda random_source, targets: Promote(2),
    }
)


def draw_plan(
    seed: int,
    seconds: float,
    targets: FaultTargets,
    kinds: abc.Sequence[str] = tuple(KINDS),
    period_seconds: float = 2.0,
) -> tuple[PlannedFault, ...]:
    """Draw faults that start about once a period and last up to two periods.

    Most of the time two or more faults overlap. The same seed draws the same
    faults.
    """
    random_source = random.Random(seed)
    planned_faults = []
    at = period_seconds
    while at < seconds - period_seconds:
        fault = KINDS[random_source.choice(kinds)](random_source, targets)
        duration_seconds = random_source.uniform(
            period_seconds / 2, period_seconds * 2
        )
        planned_faults.append(PlannedFault(at, duration_seconds, fault))
        at += random_source.uniform(period_seconds / 2, period_seconds * 3 / 2)
    return tuple(planned_faults)
