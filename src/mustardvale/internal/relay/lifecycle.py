"""Start and stop an instance, and answer requests about its state."""

import dataclasses
import typing

from mustardvale.internal import effects, events, pages, transitions
from mustardvale.internal.relay import (
    completion,
    members,
    reducer,
    requests,
    runner_list,
    settled_eras,
    startup_waits,
    stopping,
    timers,
)
from mustardvale.internal.relay import effects as relay_effects
from mustardvale.internal.relay import events as relay_events

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

# Callers use a directory answer for this long. With a longer time they would
# call stopped instances, with a shorter one they would ask more often.
DIRECTORY_VALIDITY_SECONDS = 1.0
MAXIMUM_DIRECTORY_ADDRESSES = 64
# After this time without an answer to a poll and its retries, the store is
# considered unreachable.
STORE_OUTAGE_SECONDS = 0.5
STOP_CHECK_PERIOD_SECONDS = 0.1
# Callers that have not fetched new addresses yet still connect for this long.
MINIMUM_STOP_SECONDS = 3.0


@reducer.reduce.register(events.InstanceStarted)
def handle_instance_started(
    event: events.InstanceStarted, state: 'states.State'
) -> reducer.Transition:
    """Start to follow the store and to check requests periodically."""
    log_effect = relay_effects.LogDecision(
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
                log_effect,
                effects.SetTimer(timers.ExchangeCheckDue(), 0),
                effects.SetTimer(timers.PlacementCheckDue(), 0),
                effects.SetTimer(timers.EvidenceExchangeDue(), 0),
                effects.SetTimer(timers.WatchCheckDue(), 0),
            ),
        )
        .then(lambda current: settled_eras.begin(event.at, current))
        .then(lambda current: runner_list.read_next(event.at, current))
        .then(lambda current: members.renew_memberships(current, event.at))
    )


@reducer.on_request.register(requests.ReadinessRequest)
def answer_readiness(
    request: requests.ReadinessRequest,
    event: events.CallerRequested,
    state: 'states.State',
) -> reducer.Transition:
    """Answer whether this instance accepts requests."""
    is_ready = (
        state.configuration.active is not None
        and state.runner_list.read_at is not None
        and state.stopping is None
    )
    answer = requests.ReadinessAnswer(is_ready)
    return transitions.Transition(
        state, (effects.Reply(event.request_id, answer),)
    )


@reducer.on_request.register(requests.DirectoryRequest)
def answer_directory(
    request: requests.DirectoryRequest,
    event: events.CallerRequested,
    state: 'states.State',
) -> reducer.Transition:
    """Answer which entry addresses to use, and for how long."""
    validity = min(
        DIRECTORY_VALIDITY_SECONDS,
        state.limits.maximum_directory_validity_seconds,
    )
    answer = requests.DirectoryAnswer(
        choose_addresses(event.at, state), validity
    )
    return transitions.Transition(
        state, (effects.Reply(event.request_id, answer),)
    )


def choose_addresses(now: float, state: 'states.State') -> tuple[str, ...]:
    """Return the front addresses of instances that accept requests.

    They are those of this zone and, where these are few, also of the readers of
    other zones. An instance that is stopping omits itself while it knows of
    others that accept requests. So does one that cannot reach the store,
    because it soon cannot check keys.
    """
    own = state.identity.addresses.front
    addresses = members.list_other_addresses(state)
    failing_since = state.configuration.failing_since
    is_serving = (
        state.stopping is None
        and state.configuration.active is not None
        and (
            failing_since is None or now - failing_since < STORE_OUTAGE_SECONDS
        )
    )
    if not addresses:
        addresses = stopping.list_last_addresses(state)
    if is_serving or not addresses:
        addresses = (own, *addresses)
    return addresses[:MAXIMUM_DIRECTORY_ADDRESSES]


@reducer.on_request.register(requests.MetricsRequest)
def answer_metrics(
    request: requests.MetricsRequest,
    event: events.CallerRequested,
    state: 'states.State',
) -> reducer.Transition:
    """Answer with the metrics, which the edge fills in."""
    return transitions.Transition(
        state, (effects.Reply(event.request_id, pages.MetricsPage()),)
    )


@reducer.reduce.register(events.StopRequested)
def begin_stop(
    event: events.StopRequested, state: 'states.State'
) -> reducer.Transition:
    """Leave the group of instances, and let open requests finish."""
    if state.stopping is not None:
        return transitions.Transition(state)
    return transitions.Transition(
        stopping.begin(state, event.at),
        (
            relay_effects.LogDecision(
                'stop_requested', (('open', len(state.exchanges)),)
            ),
            *members.leave_groups(state),
            relay_effects.CloseIdleCallers(),
            effects.SetTimer(timers.StopCheckDue(), STOP_CHECK_PERIOD_SECONDS),
        ),
    ).then(lambda current: startup_waits.request_check(event.at, current))


@reducer.on_timer.register(timers.StopCheckDue)
def continue_stop(
    timer: timers.StopCheckDue, event: events.TimerFired, state: 'states.State'
) -> reducer.Transition:
    """Stop once no request is open, or abort them near the time limit."""
    assert state.stopping is not None, 'the timer follows a stop request'
    waited_seconds = event.at - state.stopping.started_at
    must_stop = event.at >= stopping.compute_abort_time(state)
    if not must_stop and (
        waited_seconds < MINIMUM_STOP_SECONDS or state.exchanges
    ):
        return transitions.Transition(
            stopping.update(state, event.at),
            (effects.SetTimer(timer, STOP_CHECK_PERIOD_SECONDS),),
        )
    exiting = dataclasses.replace(
        state,
        stopping=dataclasses.replace(state.stopping, is_exiting=True),
    )
    aborted: reducer.Transition = transitions.Transition(exiting).then_each(
        state.exchanges.values(),
        lambda exchange, current: completion.fail_exchange(
            exchange, 'the instance stops', event.at, current
        ),
    )
    return aborted.with_effects(
        relay_effects.LogDecision(
            'instance_stopped',
            (
                ('cut', len(state.exchanges)),
                ('seconds', round(waited_seconds, 3)),
            ),
        ),
        effects.StopLoop(
            flush_seconds=stopping.compute_flush_seconds(state, event.at)
        ),
    )


@reducer.reduce.register(relay_events.SettingsRead)
def apply_settings(
    event: relay_events.SettingsRead, state: 'states.State'
) -> reducer.Transition:
    """Apply settings that were reloaded and validated."""
    return transitions.Transition(
        dataclasses.replace(state, limits=event.limits),
        (
            relay_effects.LogDecision(
                'settings_reloaded',
                (('changed', event.limits != state.limits),),
            ),
        ),
    )
