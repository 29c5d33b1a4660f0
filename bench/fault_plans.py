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
class Targets:
    """Name the instances of a site that faults may hit."""

    entries: tuple[str, ...]
    runners: tuple[str, ...]
    action_runners: tuple[str, ...]


def disturb(target: str, **faults: typing.Any) -> Disturb:
    """Return the fault that switches faults of a stand-in on."""
    return Disturb(target, tuple(faults.items()))


Source = random.Random
Draw = abc.Callable[[Source, Targets], Fault]

KINDS: types.MappingProxyType[str, Draw] = types.MappingProxyType(
    {
        'kill_runner': lambda source, to: Kill(source.choice(to.runners)),
        'freeze_runner': lambda source, to: Freeze(source.choice(to.runners)),
        'slow_runner': lambda source, to: disturb(
            source.choice(to.runners),
            slowdown=10,
        ),
        'leave_runner': lambda source, to: disturb(
            source.choice(to.runners),
            leaving=True,
        ),
        'kill_entry': lambda source, to: Kill(source.choice(to.entries)),
        'freeze_entry': lambda source, to: Freeze(source.choice(to.entries)),
        'stop_entry': lambda source, to: Stop(source.choice(to.entries)),
        'log_down': lambda source, to: disturb('log', down=True),
        'log_slow': lambda source, to: disturb('log', delay_seconds=0.5),
        'log_loses_answers': lambda source, to: disturb('log', lose_answers=3),
        'list_down': lambda source, to: disturb('list', down=True),
        'action_loses_answers': lambda source, to: disturb(
            source.choice(to.action_runners),
            lose_answers=2,
        ),
        'freeze_action': lambda source, to: disturb(
            source.choice(to.action_runners),
            freeze=True,
        ),
        'promote': lambda source, to: Promote(1),
        'race': lambda source, to: Promote(2),
    }
)


def draw_plan(
    seed: int,
    seconds: float,
    targets: Targets,
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
