"""Start, answer for the instance itself, and stop as planned."""

import dataclasses
import typing

from mustardvale.internal import effects, events, caller_messages, transitions
from mustardvale.internal.relay import (
    bounds,
    calls,
    configuration_feed,
    completion,
    members,
    reducer,
    requests,
    runner_list,
    timers,
)
from mustardvale.internal.relay import effects as relay_effects
from mustardvale.internal.relay import events as relay_events

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

# Callers ask again after this time; a longer one keeps them at instances that
# have gone, a shorter one makes them ask more.
DIRECTORY_VALIDITY_SECONDS = 1.0
MAXIMUM_DIRECTORY_ADDRESSES = 64
# A store that answers neither a poll nor its repeats for this long is lost.
STORE_OUTAGE_SECONDS = 0.5
STOP_CHECK_PERIOD_SECONDS = 0.1
LEAVE_TIMEOUT_SECONDS = 1.0
# Part of the time to stop after which requests are broken off, so that their
# callers hear of it before the process ends.
STOP_ABORT_SHARE = 0.9
# Callers that have not asked for new addresses yet still come for this long.
MINIMUM_STOP_SECONDS = 3.0


@reducer.reduce.register(events.InstanceStarted)
def handle_instance_started(
    event: events.InstanceStarted, state: 'states.State'
) -> reducer.Transition:
    """Begin to follow the store and to look after requests."""
    started = relay_effects.LogDecision(
        'instance_started',
        (
            ('zone', state.identity.availability_zone),
            ('front', state.identity.addresses.front),
            ('store', state.identity.addresses.store),
        ),
    )
    return (
        transitions.Transition(
            state,
            (
                started,
                effects.SetTimer(timers.ExchangesDue(), 0),
                effects.SetTimer(timers.OrdersDue(), 0),
            ),
        )
        .then(
            lambda next_state: configuration_feed.follow(next_state, event.at)
        )
        .then(lambda next_state: runner_list.read(event.at, next_state))
        .then(lambda next_state: members.join(next_state, event.at))
    )


@reducer.on_request.register(requests.ReadinessWanted)
def answer_readiness(
    wanted: requests.ReadinessWanted,
    event: events.CallerRequested,
    state: 'states.State',
) -> reducer.Transition:
    """Tell whether this instance takes requests."""
    ready = (
        state.configuration.active is not None
        and state.runner_list.read_at is not None
        and state.stopping is None
    )
    answer = requests.ReadinessAnswer(ready)
    return transitions.Transition(
        state, (effects.Reply(event.request_id, answer),)
    )


@reducer.on_request.register(requests.DirectoryWanted)
def answer_directory(
    wanted: requests.DirectoryWanted,
    event: events.CallerRequested,
    state: 'states.State',
) -> reducer.Transition:
    """Tell which entry addresses to use."""
    validity = min(
        DIRECTORY_VALIDITY_SECONDS, state.limits.longest_validity_seconds
    )
    answer = requests.DirectoryAnswer(
        choose_addresses(event.at, state), validity
    )
    return transitions.Transition(
        state, (effects.Reply(event.request_id, answer),)
    )


def choose_addresses(now: float, state: 'states.State') -> tuple[str, ...]:
    """Return the addresses of the instances that take requests.

    An instance that stops, or has lost the store, so that it soon cannot
    serve keys, leaves itself out while it knows of others.
    """
    own = state.identity.addresses.front
    others = tuple(
        member.front for member in state.members.listed if member.front != own
    )
    failing = state.configuration.failing_since
    serving = (
        state.stopping is None
        and state.configuration.active is not None
        and (failing is None or now - failing < STORE_OUTAGE_SECONDS)
    )
    if serving or not others:
        others = (own, *others)
    return others[:MAXIMUM_DIRECTORY_ADDRESSES]


@reducer.on_request.register(requests.MetricsWanted)
def answer_metrics(
    wanted: requests.MetricsWanted,
    event: events.CallerRequested,
    state: 'states.State',
) -> reducer.Transition:
    """Answer with the metrics, which the edge holds."""
    return transitions.Transition(
        state, (effects.Reply(event.request_id, caller_messages.MetricsPage()),)
    )


@reducer.reduce.register(events.StopRequested)
def begin_stop(
    event: events.StopRequested, state: 'states.State'
) -> reducer.Transition:
    """Leave the members and finish the requests that are here."""
    if state.stopping is not None:
        return transitions.Transition(state)
    stopping = dataclasses.replace(state, stopping=bounds.Stopping(event.at))
    leave = calls.LeaveMembers(members.encode(state.identity))
    return transitions.Transition(
        stopping,
        (
            relay_effects.LogDecision(
                'stop_requested', (('open', len(state.exchanges)),)
            ),
            effects.Call(
                leave, state.identity.addresses.store, LEAVE_TIMEOUT_SECONDS
            ),
            relay_effects.CloseIdleCallers(),
            effects.SetTimer(timers.StopDue(), STOP_CHECK_PERIOD_SECONDS),
        ),
    )


@reducer.on_timer.register(timers.StopDue)
def continue_stop(
    timer: timers.StopDue, event: events.TimerFired, state: 'states.State'
) -> reducer.Transition:
    """Stop once nothing is open, or when the time to stop is nearly over."""
    assert state.stopping is not None, 'the timer follows a stop request'
    waited = event.at - state.stopping.since
    last = waited >= state.limits.stop_seconds * STOP_ABORT_SHARE
    if not last and (waited < MINIMUM_STOP_SECONDS or state.exchanges):
        return transitions.Transition(
            state, (effects.SetTimer(timer, STOP_CHECK_PERIOD_SECONDS),)
        )
    ended: reducer.Transition = transitions.Transition(state).then_each(
        state.exchanges.values(),
        lambda exchange, next_state: completion.fail_exchange(
            exchange, 'instance stops', event.at, next_state
        ),
    )
    return ended.with_effects(
        relay_effects.LogDecision(
            'instance_stopped',
            (('cut', len(state.exchanges)), ('seconds', round(waited, 3))),
        ),
        effects.StopLoop(),
    )


@reducer.reduce.register(relay_events.SettingsRead)
def apply_settings(
    event: relay_events.SettingsRead, state: 'states.State'
) -> reducer.Transition:
    """Use settings that were read and checked again."""
    return transitions.Transition(
        dataclasses.replace(state, limits=event.bounds),
        (
            relay_effects.LogDecision(
                'settings_reloaded',
                (('changed', event.bounds != state.limits),),
            ),
        ),
    )
