"""Keep what is known of the upstreams."""

import dataclasses
from typing import TYPE_CHECKING

import immutables

from mustardvale.internal import (
    calls,
    effects,
    events,
    reducer,
    timers,
    transitions,
)

if TYPE_CHECKING:
    from mustardvale.internal import state as states

LOAD_PERIOD_SECONDS = 1.0
LOAD_TIMEOUT_SECONDS = 2.0
EJECTION_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """Describe one upstream by the list, its report and direct evidence.

    `in_flight` counts the steps or actions that this instance has sent and not
    had answered. `ejected_until` is a monotonic time.
    """

    listed: calls.ListedInstance
    report: calls.LoadReport | None = None
    reported_at: float = 0
    in_flight: int = 0
    leaving: bool = False
    ejected_until: float = 0
    first_seen_at: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamTable:
    """Hold all upstreams by instance id, and the ids by address."""

    by_id: immutables.Map[str, Upstream] = immutables.Map()
    ids: immutables.Map[str, str] = immutables.Map()

    def at_address(self, address: str) -> Upstream | None:
        """Return the upstream at an address."""
        return self.by_id.get(self.ids.get(address, ''))

    def replace(self, upstream: Upstream) -> 'UpstreamTable':
        """Return the table with an upstream added or replaced."""
        listed = upstream.listed
        return UpstreamTable(
            self.by_id.set(listed.instance_id, upstream),
            self.ids.set(listed.address, listed.instance_id),
        )

    def without(self, upstream: Upstream) -> 'UpstreamTable':
        """Return the table without an upstream."""
        listed = upstream.listed
        by_address = self.ids
        if by_address.get(listed.address) == listed.instance_id:
            by_address = by_address.delete(listed.address)
        return UpstreamTable(self.by_id.delete(listed.instance_id), by_address)


def is_usable(upstream: Upstream, now: float) -> bool:
    """Return whether new work may be sent to an upstream."""
    return not (
        upstream.leaving
        or upstream.listed.state is calls.ListedState.LEAVING
        or upstream.ejected_until > now
        or upstream.report is None
    )


def with_table(state: 'states.State', table: UpstreamTable) -> 'states.State':
    """Replace the part of the state that this module owns."""
    return dataclasses.replace(state, upstreams=table)


def take_listed(
    listed: tuple[calls.ListedInstance, ...],
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Merge the rows of the instance list that are upstreams."""
    table = state.upstreams
    new: list[effects.Effect] = []
    for row in listed:
        known = table.by_id.get(row.instance_id)
        if known is None:
            table = table.replace(Upstream(row, first_seen_at=event.at))
            new.append(effects.SetTimer(timers.LoadDue(row.instance_id), 0))
        else:
            table = table.replace(dataclasses.replace(known, listed=row))
    present = {row.instance_id for row in listed}
    for upstream in tuple(table.by_id.values()):
        if upstream.listed.instance_id not in present:
            table = table.without(upstream)
    return transitions.Transition(with_table(state, table), tuple(new))


@reducer.on_timer.register(timers.LoadDue)
def ask_load(
    timer: timers.LoadDue,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Ask an upstream for its load unless it is gone."""
    upstream = state.upstreams.by_id.get(timer.instance_id)
    if upstream is None:
        return transitions.Transition(state)
    call = effects.Call(
        calls.ReadLoad(),
        upstream.listed.address,
        LOAD_TIMEOUT_SECONDS,
    )
    return transitions.Transition(state, (call,))


@reducer.on_answer.register(calls.ReadLoad)
def take_load(
    call: calls.ReadLoad,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Keep a load report and ask again after the period."""
    upstream = state.upstreams.at_address(event.address)
    if upstream is None:
        return transitions.Transition(state)
    again = effects.SetTimer(
        timers.LoadDue(upstream.listed.instance_id),
        LOAD_PERIOD_SECONDS,
    )
    if not isinstance(event.answer, calls.LoadReport):
        return transitions.Transition(state, (again,))
    upstream = dataclasses.replace(
        upstream,
        report=event.answer,
        reported_at=event.at,
        leaving=upstream.leaving or event.answer.leaving,
    )
    table = state.upstreams.replace(upstream)
    return transitions.Transition(with_table(state, table), (again,))


@reducer.on_failure.register(calls.ReadLoad)
def take_load_failure(
    call: calls.ReadLoad,
    event: events.CallFailed,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Eject an upstream that does not answer and ask again."""
    upstream = state.upstreams.at_address(event.address)
    if upstream is None:
        return transitions.Transition(state)
    again = effects.SetTimer(
        timers.LoadDue(upstream.listed.instance_id),
        LOAD_PERIOD_SECONDS,
    )
    return eject(event.address, event, state).with_effects(again)


def eject(
    address: str,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Send nothing new to a failing upstream for a while."""
    upstream = state.upstreams.at_address(address)
    if upstream is None:
        return transitions.Transition(state)
    ejected = dataclasses.replace(
        upstream,
        ejected_until=event.at + EJECTION_SECONDS,
    )
    transition = transitions.Transition(
        with_table(state, state.upstreams.replace(ejected)),
    )
    if upstream.ejected_until > event.at:
        return transition
    return transition.with_effects(
        effects.Count('ejections', (upstream.listed.pool,)),
        effects.LogChange(
            'upstream ejected',
            (('upstream', upstream.listed.instance_id),),
        ),
    )


def mark_leaving(address: str, state: 'states.State') -> 'states.State':
    """Send nothing new to an upstream that says that it is leaving."""
    upstream = state.upstreams.at_address(address)
    if upstream is None:
        return state
    leaving = dataclasses.replace(upstream, leaving=True)
    return with_table(state, state.upstreams.replace(leaving))


def add_in_flight(
    address: str,
    amount: int,
    state: 'states.State',
) -> 'states.State':
    """Change the count of unanswered work at an upstream."""
    upstream = state.upstreams.at_address(address)
    if upstream is None:
        return state
    changed = dataclasses.replace(
        upstream,
        in_flight=max(upstream.in_flight + amount, 0),
    )
    return with_table(state, state.upstreams.replace(changed))
