"""Watch a connection to each runner of this zone, to notice crashes at once.

The kernel closes the connections of a process that ends. Nothing is sent on a
watched connection, so that a runner may also close it because it is idle. It is
therefore opened again: only if that is refused, the process has crashed.
"""

import dataclasses
import typing

import immutables

from mustardvale.internal import draws, effects, events, subsets, transitions
from mustardvale.internal.relay import (
    configuration,
    fault_moves,
    fault_reports,
    members,
    reducer,
    timers,
)
from mustardvale.internal.relay import effects as relay_effects
from mustardvale.internal.relay import events as relay_events

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

CHECK_PERIOD_SECONDS = 1.0
# Runners close idle connections after a fixed time. The first openings are
# spread, so that those that follow are too.
OPENING_SPREAD_SECONDS = 3.0
# A connection that is lost sooner has not lasted. A runner may close each one
# that it has accepted.
MINIMUM_OPEN_SECONDS = 1.0
# A refusal that comes later after the loss may have another cause.
MAXIMUM_REFUSAL_SECONDS = 1.0
INITIAL_BACKOFF_SECONDS = 1.0
MAXIMUM_BACKOFF_SECONDS = 30.0
MAXIMUM_BACKOFF_DOUBLINGS = 5
# Small next to the descriptors of the smallest instances.
MAXIMUM_WATCHES = 384


@dataclasses.dataclass(frozen=True, slots=True)
class Watch:
    """Hold the watched connection to one process of a runner.

    `is_wanted` is true while the edge keeps the connection or opens it,
    `opened_at` is when it was accepted, and `lost_at` when an accepted one was
    lost that is being opened again. `failure_count` counts the attempts in a row
    that have not led to a connection that lasts.
    """

    runner_id: str
    started_at_ms: int
    is_wanted: bool = False
    opened_at: float | None = None
    lost_at: float | None = None
    failure_count: int = 0


# By the addresses of the runners.
WatchMap: typing.TypeAlias = 'immutables.Map[str, Watch]'


def choose_watched(state: 'states.State') -> dict[str, Watch]:
    """Return the runners that this instance watches, by their addresses.

    They are those of its zone if it is a reader. The runners of a zone without
    a reader are shared among the readers of the other zones.
    """
    active = state.configuration.active
    if active is None or state.stopping is not None:
        return {}
    if not members.is_reader(state):
        return {}
    usable = [
        state.runners[runner_id].listed
        for service in configuration.list_engine_services(active)
        for runner_id in list_own_share(service.name, state)
        if state.runners[runner_id].is_usable
    ]
    usable.sort(key=lambda listed: listed.address)
    return {
        listed.address: Watch(listed.runner_id, listed.started_at_ms)
        for listed in usable[:MAXIMUM_WATCHES]
    }


def list_own_share(service: str, state: 'states.State') -> list[str]:
    """Return the runners of a service that this instance watches."""
    zones = state.runner_index.get(service, immutables.Map())
    own = list(zones.get(state.identity.availability_zone, ()))
    for zone, runner_ids in zones.items():
        if not has_reader(zone, state):
            own.extend(choose_without_reader(runner_ids, state))
    return own


def has_reader(zone: str, state: 'states.State') -> bool:
    """Return whether a zone has a reader, or may have one."""
    readers = state.members.readers
    if zone == state.identity.availability_zone or not readers.listed:
        return True
    return any(reader.availability_zone == zone for reader in readers.listed)


def choose_without_reader(
    runner_ids: tuple[str, ...], state: 'states.State'
) -> list[str]:
    """Return the runners of a zone without a reader that are watched here."""
    own_id = state.identity.instance_id
    reader_ids = {reader.instance_id for reader in state.members.readers.listed}
    return [
        runner_id
        for runner_id in runner_ids
        if subsets.rank(runner_id, reader_ids | {own_id})[0] == own_id
    ]


@reducer.on_timer.register(timers.WatchCheckDue)
def check_watches(
    timer: timers.WatchCheckDue,
    event: events.TimerFired,
    state: 'states.State',
) -> reducer.Transition:
    """End the watches of runners that are gone, and begin new ones."""
    chosen = choose_watched(state)
    kept = immutables.Map(
        {
            address: watch
            for address, watch in state.watches.items()
            if is_same_process(watch, chosen.get(address))
        }
    )
    added = [address for address in chosen if address not in kept]
    checked = dataclasses.replace(state, watches=kept)
    ended: tuple[effects.Effect, ...] = ()
    if list_wanted(kept) != list_wanted(state.watches):
        ended = (build_effect(kept),)
    next_check = effects.SetTimer(timer, CHECK_PERIOD_SECONDS)
    return transitions.Transition(checked, (*ended, next_check)).then_each(
        added,
        lambda address, current: schedule_opening(
            address,
            chosen[address],
            0,
            OPENING_SPREAD_SECONDS,
            current,
        ),
    )


def is_same_process(watch: Watch, chosen: Watch | None) -> bool:
    """Return whether a watch is of the process that is to be watched.

    The next process gets a new connection, even at the same address: the old
    one may have been lost in silence.
    """
    if chosen is None:
        return False
    identity = watch.runner_id, watch.started_at_ms
    return identity == (chosen.runner_id, chosen.started_at_ms)


def list_wanted(watches: WatchMap) -> frozenset[str]:
    """Return the addresses to which connections are kept."""
    return frozenset(
        address for address, watch in watches.items() if watch.is_wanted
    )


def build_effect(watches: WatchMap) -> effects.Effect:
    """Return the effect that keeps the wanted connections open."""
    return relay_effects.WatchAddresses(list_wanted(watches))


def schedule_opening(
    address: str,
    watch: Watch,
    least_seconds: float,
    most_seconds: float,
    state: 'states.State',
) -> reducer.Transition:
    """Store a watch without a connection, and open one at a random time."""
    drawn = draws.draw(state.seed)
    spread = most_seconds - least_seconds
    waiting = dataclasses.replace(
        watch, is_wanted=False, opened_at=None, lost_at=None
    )
    return transitions.Transition(
        dataclasses.replace(
            state,
            seed=drawn.seed,
            watches=state.watches.set(address, waiting),
        ),
        (
            effects.SetTimer(
                timers.WatchDue(address),
                least_seconds + spread * drawn.fraction,
            ),
        ),
    )


@reducer.on_timer.register(timers.WatchDue)
def open_watch(
    timer: timers.WatchDue, event: events.TimerFired, state: 'states.State'
) -> reducer.Transition:
    """Open a connection, unless the runner is no longer watched."""
    watch = state.watches.get(timer.address)
    if watch is None or watch.is_wanted:
        return transitions.Transition(state)
    opening = dataclasses.replace(watch, is_wanted=True)
    return store_watch(timer.address, opening, state)


def store_watch(
    address: str, watch: Watch, state: 'states.State'
) -> reducer.Transition:
    """Store a watch, and keep the wanted connections open."""
    watches = state.watches.set(address, watch)
    return transitions.Transition(
        dataclasses.replace(state, watches=watches), (build_effect(watches),)
    )


@reducer.reduce.register(relay_events.WatchOpened)
def handle_opened(
    event: relay_events.WatchOpened, state: 'states.State'
) -> reducer.Transition:
    """Record that a runner has accepted the connection."""
    watch = state.watches.get(event.address)
    if watch is None:
        return transitions.Transition(state)
    opened = dataclasses.replace(watch, opened_at=event.at, lost_at=None)
    watches = state.watches.set(event.address, opened)
    return transitions.Transition(dataclasses.replace(state, watches=watches))


@reducer.reduce.register(relay_events.WatchEnded)
def handle_ended(
    event: relay_events.WatchEnded, state: 'states.State'
) -> reducer.Transition:
    """Open a lost connection again, or judge why it cannot be opened."""
    watch = state.watches.get(event.address)
    if watch is None or not watch.is_wanted:
        return transitions.Transition(state)
    if event.end is relay_events.WatchEnd.LOST:
        return reopen(event.address, watch, event.at, state)
    backed_off = back_off(event.address, watch, state)
    if event.end is relay_events.WatchEnd.REFUSED:
        return backed_off.then(
            lambda current: judge_refusal(watch, event.at, current)
        )
    return backed_off


def reopen(
    address: str, watch: Watch, now: float, state: 'states.State'
) -> reducer.Transition:
    """Open a lost connection again.

    The second one in a row that was lost soon is opened after a while.
    """
    opened_at = now if watch.opened_at is None else watch.opened_at
    has_lasted = now - opened_at >= MINIMUM_OPEN_SECONDS
    if watch.failure_count and not has_lasted:
        return back_off(address, watch, state)
    lost = dataclasses.replace(
        watch,
        opened_at=None,
        lost_at=now,
        failure_count=0 if has_lasted else 1,
    )
    return store_watch(address, lost, state)


def back_off(
    address: str, watch: Watch, state: 'states.State'
) -> reducer.Transition:
    """Open a connection again after a time that grows with each failure."""
    doublings = min(watch.failure_count, MAXIMUM_BACKOFF_DOUBLINGS)
    seconds = min(
        INITIAL_BACKOFF_SECONDS * 2**doublings, MAXIMUM_BACKOFF_SECONDS
    )
    failed = dataclasses.replace(watch, failure_count=watch.failure_count + 1)
    return schedule_opening(address, failed, seconds / 2, seconds, state)


def judge_refusal(
    watch: Watch, now: float, state: 'states.State'
) -> reducer.Transition:
    """Report a crash if a process that was connected refuses a connection.

    A runner that was never connected may not have been reachable at all. One
    that leaves closes its connections and its port too.
    """
    runner = state.runners.get(watch.runner_id)
    is_recent = (
        watch.lost_at is not None
        and now - watch.lost_at <= MAXIMUM_REFUSAL_SECONDS
    )
    if runner is None or not is_recent or not runner.is_usable:
        return transitions.Transition(state)
    if runner.listed.started_at_ms != watch.started_at_ms:
        return transitions.Transition(state)
    fault = fault_reports.Fault(
        watch.runner_id,
        watch.started_at_ms,
        fault_reports.FaultKind.CRASHED,
        watch.lost_at or now,
    )
    return fault_moves.handle_faults(
        (fault,), fault_reports.FaultOrigin.WATCHED, now, state
    )
