"""Draw a schedule of faults for a site that relays requests."""

import dataclasses
import random
import types
import typing
from collections import abc

from bench import fault_plans

Fault = fault_plans.Fault
Source = random.Random
SIDES = ('caller', 'target')
LATE_SECONDS = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Targets:
    """Name what faults may hit."""

    entries: tuple[str, ...]
    model_runners: tuple[str, ...]
    plain_runners: tuple[str, ...]

    @property
    def links(self) -> tuple[str, ...]:
        """Return all links."""
        stores = (f'store.{name}' for name in self.entries)
        return (*stores, *self.model_runners, *self.plain_runners)


@dataclasses.dataclass(frozen=True, slots=True)
class KillAll(Fault):
    """Kill all entry instances at once and start them again at the end."""


@dataclasses.dataclass(frozen=True, slots=True)
class DisturbStore(Fault):
    """Switch faults of the store on, and off at the end."""

    faults: tuple[tuple[str, typing.Any], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DisturbRunner(fault_plans.Disturb):
    """Switch faults of a runner on; it starts again empty at the end."""


@dataclasses.dataclass(frozen=True, slots=True)
class DisturbLink(fault_plans.Disturb):
    """Switch faults of a link on, and off at the end."""


@dataclasses.dataclass(frozen=True, slots=True)
class Configure(Fault):
    """Write versions in quick succession; keys go and come back."""

    count: int
    revoked: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeSettings(Fault):
    """Change settings of an instance, with a signal or without one.

    Settings that cannot be used are rejected and change nothing.
    """

    target: str
    signalled: bool
    usable: bool


def store(**faults: typing.Any) -> DisturbStore:
    """Return the fault that disturbs the store."""
    return DisturbStore(tuple(faults.items()))


def runner(target: str, **faults: typing.Any) -> DisturbRunner:
    """Return the fault that disturbs a runner."""
    return DisturbRunner(target, tuple(faults.items()))


def link(target: str, **faults: typing.Any) -> DisturbLink:
    """Return the fault that disturbs a link."""
    return DisturbLink(target, tuple(faults.items()))


Draw = abc.Callable[[Source, Targets], Fault]

KINDS: types.MappingProxyType[str, Draw] = types.MappingProxyType(
    {
        'kill_entry': lambda source, to: fault_plans.Kill(
            source.choice(to.entries)
        ),
        'stop_entry': lambda source, to: fault_plans.Stop(
            source.choice(to.entries)
        ),
        'freeze_entry': lambda source, to: fault_plans.Freeze(
            source.choice(to.entries)
        ),
        'kill_all_entries': lambda source, to: KillAll(),
        'freeze_store': lambda source, to: fault_plans.Freeze('store'),
        'store_down': lambda source, to: store(down=True),
        'store_silent': lambda source, to: store(silent=True),
        'store_slow': lambda source, to: store(delay_seconds=LATE_SECONDS),
        'store_loses_answers': lambda source, to: store(lose_answers=4),
        'store_forgets': lambda source, to: store(forget=True),
        'runner_crashes': lambda source, to: runner(
            source.choice(to.model_runners), down=True
        ),
        'runner_dark': lambda source, to: runner(
            source.choice(to.model_runners), dark=True
        ),
        'runner_drains': lambda source, to: runner(
            source.choice(to.model_runners), draining=True
        ),
        'runner_full': lambda source, to: runner(
            source.choice(to.model_runners), full=True
        ),
        'runner_cuts_streams': lambda source, to: runner(
            source.choice(to.model_runners), cut=4
        ),
        'plain_runner_loses_answers': lambda source, to: runner(
            source.choice(to.plain_runners), lose_answers=3
        ),
        'plain_runner_drains': lambda source, to: runner(
            source.choice(to.plain_runners), draining=True
        ),
        'link_resets': lambda source, to: link(
            source.choice(to.links), reset=True
        ),
        'link_refuses': lambda source, to: link(
            source.choice(to.links), refuse=True
        ),
        'link_silent': lambda source, to: link(
            source.choice(to.links), silent=SIDES
        ),
        'link_cut_one_way': lambda source, to: link(
            source.choice(to.links), silent=(source.choice(SIDES),)
        ),
        'link_slow': lambda source, to: link(
            source.choice(to.links), delay_seconds=LATE_SECONDS / 2
        ),
        'configure': lambda source, to: Configure(source.randint(1, 4)),
        'revoke': lambda source, to: Configure(1, revoked='eve'),
        'change_settings': lambda source, to: ChangeSettings(
            source.choice(to.entries),
            signalled=source.random() < 1 / 2,
            usable=source.random() < 3 / 4,
        ),
    }
)


def draw_plan(
    seed: int,
    seconds: float,
    targets: Targets,
    kinds: abc.Sequence[str] = tuple(KINDS),
    period_seconds: float = 1.2,
) -> tuple[fault_plans.PlannedFault, ...]:
    """Draw faults that start about every period and last up to three of them.

    Two or more faults therefore overlap most of the time.
    """
    source = random.Random(seed)
    planned = []
    at = period_seconds
    while at < seconds:
        fault = KINDS[source.choice(kinds)](source, targets)
        lasts = source.uniform(period_seconds / 2, period_seconds * 3)
        planned.append(fault_plans.PlannedFault(at, lasts, fault))
        at += source.uniform(period_seconds / 2, period_seconds * 3 / 2)
    return tuple(planned)
