"""Draw a schedule of faults for a site that relays requests."""

import dataclasses
import random
import types
import typing
from collections import abc

from bench import fault_plans

Fault = fault_plans.Fault
RandomSource = random.Random
LINK_SIDES = ('caller', 'target')
FAULT_DELAY_SECONDS = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class FaultTargets:
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


def build_store_fault(**faults: typing.Any) -> DisturbStore:
    """Return the fault that disturbs the store."""
    return DisturbStore(tuple(faults.items()))


def build_runner_fault(target: str, **faults: typing.Any) -> DisturbRunner:
    """Return the fault that disturbs a runner."""
    return DisturbRunner(target, tuple(faults.items()))


def build_link_fault(target: str, **faults: typing.Any) -> DisturbLink:
    """Return the fault that disturbs a link."""
    return DisturbLink(target, tuple(faults.items()))


DrawFault = abc.Callable[[RandomSource, FaultTargets], Fault]

KINDS: types.MappingProxyType[str, DrawFault] = types.MappingProxyType(
    {
        'kill_entry': lambda source, targets: fault_plans.Kill(
            source.choice(targets.entries)
        ),
        'stop_entry': lambda source, targets: fault_plans.Stop(
            source.choice(targets.entries)
        ),
        'freeze_entry': lambda source, targets: fault_plans.Freeze(
            source.choice(targets.entries)
        ),
        'kill_all_entries': lambda source, targets: KillAll(),
        'freeze_store': lambda source, targets: fault_plans.Freeze('store'),
        'store_down': lambda source, targets: build_store_fault(down=True),
        'store_silent': lambda source, targets: build_store_fault(silent=True),
        'store_slow': lambda source, targets: build_store_fault(
            delay_seconds=FAULT_DELAY_SECONDS
        ),
        'store_loses_answers': lambda source, targets: build_store_fault(
            lose_answers=4
        ),
        'store_forgets': lambda source, targets: build_store_fault(forget=True),
        'runner_crashes': lambda source, targets: build_runner_fault(
            source.choice(targets.model_runners), down=True
        ),
        'runner_dark': lambda source, targets: build_runner_fault(
            source.choice(targets.model_runners), dark=True
        ),
        'runner_drains': lambda source, targets: build_runner_fault(
            source.choice(targets.model_runners), draining=True
        ),
        'runner_full': lambda source, targets: build_runner_fault(
            source.choice(targets.model_runners), full=True
        ),
        'runner_cuts_streams': lambda source, targets: build_runner_fault(
            source.choice(targets.model_runners), cut=4
        ),
        'plain_runner_loses_answers': lambda source, targets: (
            build_runner_fault(
                source.choice(targets.plain_runners), lose_answers=3
            )
        ),
        'plain_runner_drains': lambda source, targets: build_runner_fault(
            source.choice(targets.plain_runners), draining=True
        ),
        'link_resets': lambda source, targets: build_link_fault(
            source.choice(targets.links), reset=True
        ),
        'link_refuses': lambda source, targets: build_link_fault(
            source.choice(targets.links), refuse=True
        ),
        'link_silent': lambda source, targets: build_link_fault(
            source.choice(targets.links), silent=LINK_SIDES
        ),
        'link_cut_one_way': lambda source, targets: build_link_fault(
            source.choice(targets.links), silent=(source.choice(LINK_SIDES),)
        ),
        'link_slow': lambda source, targets: build_link_fault(
            source.choice(targets.links), delay_seconds=FAULT_DELAY_SECONDS / 2
        ),
        'configure': lambda source, targets: Configure(source.randint(1, 4)),
        'revoke': lambda source, targets: Configure(1, revoked='eve'),
        'change_settings': lambda source, targets: ChangeSettings(
            source.choice(targets.entries),
            signalled=source.random() < 1 / 2,
            usable=source.random() < 3 / 4,
        ),
    }
)


def draw_plan(
    seed: int,
    seconds: float,
    targets: FaultTargets,
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
