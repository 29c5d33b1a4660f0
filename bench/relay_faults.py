"""Draw random schedules of faults for a site that relays requests."""

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
# Faults of runners after which another process runs under the same id.
RESTARTING_FAULTS = frozenset(('down', 'dark', 'draining', 'leaving'))
# Faults of runners that break no open stream off.
UNBROKEN_FAULTS = frozenset(('suspended', 'full', 'retry_after_seconds'))
# Ages of the copies from which the store is restored.
COPY_SECONDS = (0.5, 2.0, 5.0)
# Times after a restore until the operator writes its last version again.
REWRITE_SECONDS = (0.0, 0.4, 1.5)
# What runners ask for that want no requests.
ASKED_WAITS_SECONDS = (0.7, 1.5, 3.0, 6.0)


@dataclasses.dataclass(frozen=True, slots=True)
class FaultTargets:
    """Hold the names of the instances and runners that faults may affect."""

    entries: tuple[str, ...]
    model_runners: tuple[str, ...]
    plain_runners: tuple[str, ...]

    @property
    def runners(self) -> tuple[str, ...]:
        """Return the names of all runners."""
        return (*self.model_runners, *self.plain_runners)

    @property
    def links(self) -> tuple[str, ...]:
        """Return the names of all links of the proxy."""
        stores = (f'store.{name}' for name in self.entries)
        return (*stores, *self.model_runners, *self.plain_runners)


@dataclasses.dataclass(frozen=True, slots=True)
class KillAll(Fault):
    """Kill all entry instances at once and restart them at the end."""


@dataclasses.dataclass(frozen=True, slots=True)
class DisturbStore(Fault):
    """Activate faults of the store and clear them at the end."""

    faults: tuple[tuple[str, typing.Any], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RestoreStore(Fault):
    """Restore the store from a copy that is `copy_seconds` old.

    The operator writes its last version again after `rewrite_seconds`.
    """

    copy_seconds: float
    rewrite_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class RestartBesideRestore(Fault):
    """Kill some entry instances, and start them in the restored store.

    The operator writes its last version again `rewrite_seconds` after them.
    """

    names: tuple[str, ...]
    copy_seconds: float
    rewrite_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class DisturbRunner(fault_plans.Disturb):
    """Activate faults of a runner and clear them at the end.

    After the faults `RESTARTING_FAULTS`, it then restarts without layers.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class DisturbLink(fault_plans.Disturb):
    """Activate faults of a link and clear them at the end."""


@dataclasses.dataclass(frozen=True, slots=True)
class Together(Fault):
    """Begin several faults one right after the other, and end them so."""

    faults: tuple[Fault, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Configure(Fault):
    """Write `count` versions of the configuration in quick succession.

    The key of the tenant `revoked`, if any, is missing until the end.
    """

    count: int
    revoked: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeSettings(Fault):
    """Change the settings file of an instance until the end.

    The instance is told by SIGHUP if `signalled`. It rejects settings that are
    not `usable` and keeps its current ones.
    """

    target: str
    signalled: bool
    usable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveEntry(Fault):
    """Leave an odd entry in the list of runners and drop it at the end.

    `kind` is a key of `ODD_ENTRIES`.
    """

    kind: str


def build_store_fault(**faults: typing.Any) -> DisturbStore:
    """Return a fault that activates faults of the store."""
    return DisturbStore(tuple(faults.items()))


def build_runner_fault(target: str, **faults: typing.Any) -> DisturbRunner:
    """Return a fault that activates faults of a runner."""
    return DisturbRunner(target, tuple(faults.items()))


def draw_suspensions(
    random_source: RandomSource, targets: FaultTargets
) -> Together:
    """Draw suspensions of one, half or all runners of a service."""
    names = random_source.choice((targets.model_runners, targets.plain_runners))
    count = random_source.choice((1, (len(names) + 1) // 2, len(names)))
    return Together(
        tuple(
            build_runner_fault(name, suspended=True)
            for name in random_source.sample(names, count)
        )
    )


def draw_reloaded_stops(
    random_source: RandomSource, targets: FaultTargets
) -> Together:
    """Draw stops of up to half of the instances, each after a SIGHUP."""
    most = (len(targets.entries) + 1) // 2
    names = random_source.sample(
        targets.entries, random_source.randint(1, most)
    )
    return Together(
        tuple(
            fault
            for name in names
            for fault in (
                ChangeSettings(name, signalled=True, usable=True),
                fault_plans.Stop(name),
            )
        )
    )


def draw_restarts_beside_restore(
    random_source: RandomSource, targets: FaultTargets
) -> RestartBesideRestore:
    """Draw restarts of one or all instances beside a restore of the store."""
    count = random_source.choice((1, len(targets.entries)))
    return RestartBesideRestore(
        tuple(random_source.sample(targets.entries, count)),
        random_source.choice(COPY_SECONDS),
        random_source.choice(REWRITE_SECONDS),
    )


def build_link_fault(target: str, **faults: typing.Any) -> DisturbLink:
    """Return a fault that activates faults of a link."""
    return DisturbLink(target, tuple(faults.items()))


ENTRY_FIELDS = (
    b'"service":"plain","zone":"zone-a","state":"ready","slots":4,"kind":"x"'
)
DEPTH = 20_000
ODD_ENTRIES: types.MappingProxyType[str, bytes] = types.MappingProxyType(
    {
        'deep': b'[' * DEPTH + b']' * DEPTH,
        'deep field': b'{%s,"address":"127.0.0.1:9","layers":%s}'
        % (ENTRY_FIELDS, b'[' * DEPTH + b']' * DEPTH),
        'number': b'{%s,"address":"127.0.0.1:9","born":%s}'
        % (ENTRY_FIELDS, b'9' * 400),
        'long number': b'{%s,"address":"127.0.0.1:9","born":%s}'
        % (ENTRY_FIELDS, b'9' * 5000),
        'port': b'{%s,"address":"127.0.0.1:65536"}' % ENTRY_FIELDS,
        'line end': b'{%s,"address":"127.0.0.1:9\\n"}' % ENTRY_FIELDS,
        'layers': b'{%s,"address":"127.0.0.1:9","layers":'
        b'[{"source":0,"target":1000000000000}]}' % ENTRY_FIELDS,
        'bytes': bytes(range(256)),
        'text': b'"ready"',
    }
)

DrawFault = abc.Callable[[RandomSource, FaultTargets], Fault]

KINDS: types.MappingProxyType[str, DrawFault] = types.MappingProxyType(
    {
        'kill_entry': lambda random_source, targets: fault_plans.Kill(
            random_source.choice(targets.entries)
        ),
        'stop_entry': lambda random_source, targets: fault_plans.Stop(
            random_source.choice(targets.entries)
        ),
        'freeze_entry': lambda random_source, targets: fault_plans.Freeze(
            random_source.choice(targets.entries)
        ),
        'kill_all_entries': lambda random_source, targets: KillAll(),
        'freeze_store': lambda random_source, targets: fault_plans.Freeze(
            'store'
        ),
        'store_down': lambda random_source, targets: build_store_fault(
            down=True
        ),
        'store_silent': lambda random_source, targets: build_store_fault(
            silent=True
        ),
        'store_slow': lambda random_source, targets: build_store_fault(
            delay_seconds=FAULT_DELAY_SECONDS
        ),
        'store_loses_answers': lambda random_source, targets: build_store_fault(
            lose_answers=4
        ),
        'store_forgets': lambda random_source, targets: build_store_fault(
            forget=True
        ),
        'runner_crashes': lambda random_source, targets: build_runner_fault(
            random_source.choice(targets.model_runners), down=True
        ),
        'runner_dark': lambda random_source, targets: build_runner_fault(
            random_source.choice(targets.model_runners), dark=True
        ),
        'runner_drains': lambda random_source, targets: build_runner_fault(
            random_source.choice(targets.model_runners), draining=True
        ),
        'runner_full': lambda random_source, targets: build_runner_fault(
            random_source.choice(targets.model_runners), full=True
        ),
        'runner_cuts_streams': lambda random_source, targets: (
            build_runner_fault(
                random_source.choice(targets.model_runners), cut=4
            )
        ),
        'plain_runner_loses_answers': lambda random_source, targets: (
            build_runner_fault(
                random_source.choice(targets.plain_runners), lose_answers=3
            )
        ),
        'plain_runner_drains': lambda random_source, targets: (
            build_runner_fault(
                random_source.choice(targets.plain_runners), draining=True
            )
        ),
        'link_resets': lambda random_source, targets: build_link_fault(
            random_source.choice(targets.links), reset=True
        ),
        'link_refuses': lambda random_source, targets: build_link_fault(
            random_source.choice(targets.links), refuse=True
        ),
        'link_silent': lambda random_source, targets: build_link_fault(
            random_source.choice(targets.links), silent=LINK_SIDES
        ),
        'link_cut_one_way': lambda random_source, targets: build_link_fault(
            random_source.choice(targets.links),
            silent=(random_source.choice(LINK_SIDES),),
        ),
        'link_slow': lambda random_source, targets: build_link_fault(
            random_source.choice(targets.links),
            delay_seconds=FAULT_DELAY_SECONDS / 2,
        ),
        'configure': lambda random_source, targets: Configure(
            random_source.randint(1, 4)
        ),
        'revoke': lambda random_source, targets: Configure(1, revoked='eve'),
        'change_settings': lambda random_source, targets: ChangeSettings(
            random_source.choice(targets.entries),
            signalled=random_source.random() < 1 / 2,
            usable=random_source.random() < 3 / 4,
        ),
    }
)

# Kinds that are drawn only if they are named, so that earlier seeds draw the
# same faults as before.
NAMED_KINDS: types.MappingProxyType[str, DrawFault] = types.MappingProxyType(
    {
        'odd_entry': lambda random_source, targets: LeaveEntry(
            random_source.choice(tuple(ODD_ENTRIES))
        ),
        'runner_leaves': lambda random_source, targets: build_runner_fault(
            random_source.choice(targets.runners), leaving=True
        ),
        'runner_leaves_as_listed': lambda random_source, targets: (
            build_runner_fault(
                random_source.choice(targets.runners),
                leaving=True,
                draining=True,
            )
        ),
        'runner_asks_to_wait': lambda random_source, targets: (
            build_runner_fault(
                random_source.choice(targets.runners),
                full=True,
                retry_after_seconds=random_source.choice(ASKED_WAITS_SECONDS),
            )
        ),
        'plain_runner_full': lambda random_source, targets: build_runner_fault(
            random_source.choice(targets.plain_runners), full=True
        ),
        'runners_suspended': draw_suspensions,
        'reloaded_stops': draw_reloaded_stops,
        'store_restored': lambda random_source, targets: RestoreStore(
            random_source.choice(COPY_SECONDS),
            random_source.choice(REWRITE_SECONDS),
        ),
        'restarts_beside_restore': draw_restarts_beside_restore,
        'runner_endless': lambda random_source, targets: build_runner_fault(
            random_source.choice(targets.model_runners), endless=2
        ),
    }
)


def choose_kinds(names: str) -> tuple[str, ...]:
    """Return the kinds of names joined by `+`, of `all`, or the unnamed."""
    if names == 'all':
        return (*KINDS, *NAMED_KINDS)
    return tuple(names.split('+')) if names else tuple(KINDS)


def draw_plan(
    seed: int,
    seconds: float,
    targets: FaultTargets,
    kinds: abc.Sequence[str] = tuple(KINDS),
    period_seconds: float = 1.2,
) -> tuple[fault_plans.PlannedFault, ...]:
    """Draw faults that start about once a period and last up to three periods.

    Most of the time two or more faults overlap. The same seed draws the same
    faults.
    """
    random_source = random.Random(seed)
    planned_faults = []
    at = period_seconds
    while at < seconds:
        kind = random_source.choice(kinds)
        draw = KINDS.get(kind) or NAMED_KINDS[kind]
        fault = draw(random_source, targets)
        duration_seconds = random_source.uniform(
            period_seconds / 2, period_seconds * 3
        )
        planned_faults.append(
            fault_plans.PlannedFault(at, duration_seconds, fault)
        )
        at += random_source.uniform(period_seconds / 2, period_seconds * 3 / 2)
    return tuple(planned_faults)
