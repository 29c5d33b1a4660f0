"""Follow the configuration in the platform's store.

A long poll returns as soon as a new version is there. An answer without one
confirms the version in force as of the moment at which the poll was sent, from
which the age that revoked keys depend on is counted.
"""

import dataclasses
import typing

from mustardvale.internal import effects, events, transitions
from mustardvale.internal.relay import (
    calls,
    configuration,
    peer_feed,
    reducer,
    retry_budgets,
    timers,
)
from mustardvale.internal.relay import effects as relay_effects

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

# A poll that waits for this share of the time for which a configuration may
# be used leaves room for a second poll when the first gets no answer.
POLL_SHARE = 0.4
# Instances that follow this one hear of a confirmation up to two of its reads
# of the list later, and have to find out in time when it fails.
FOLLOWED_POLL_SHARE = 0.2
MAXIMUM_POLL_SECONDS = 10.0
ANSWER_TIMEOUT_SECONDS = 1.0
RETRY_DELAY_SECONDS = 0.25
# Requests with keys are refused this long before the limit, for the time that
# passes between the check and the end of the limit elsewhere.
REVOCATION_MARGIN_SECONDS = 0.3


def compute_poll_seconds(state: 'states.State') -> float:
    """Return how long a poll waits for a new version."""
    limit = state.limits.key_revocation_seconds
    if limit is None:
        return MAXIMUM_POLL_SECONDS
    share = POLL_SHARE
    if peer_feed.may_have_followers(state):
        share = FOLLOWED_POLL_SHARE
    return min(limit * share, MAXIMUM_POLL_SECONDS)


def compute_age_seconds(state: 'states.State', now: float) -> float | None:
    """Return how long ago the configuration was confirmed, in seconds."""
    confirmed = state.configuration.confirmed_at
    return None if confirmed is None else now - confirmed


def may_serve_keys(state: 'states.State', now: float) -> bool:
    """Return whether requests with keys may be served."""
    limit = state.limits.key_revocation_seconds
    known = compute_age_seconds(state, now)
    if known is None:
        return False
    return limit is None or known < limit - REVOCATION_MARGIN_SECONDS


def poll_next(state: 'states.State', now: float) -> reducer.Transition:
    """Ask for what follows the known position, or for the newest version.

    Nothing is asked while another instance confirms the configuration.
    """
    known = state.configuration
    if known.failing_since is None and peer_feed.is_following(state):
        idle = dataclasses.replace(known, is_reading=False)
        return transitions.Transition(
            dataclasses.replace(state, configuration=idle)
        )
    # After a failure a quick answer matters more than a cheap poll.
    failing = known.failing_since is not None
    wait = 0.0 if failing else compute_poll_seconds(state)
    return send_poll(wait, now, state)


def send_poll(
    wait_seconds: float, now: float, state: 'states.State'
) -> reducer.Transition:
    """Ask the store, which waits that long for a new version."""
    known = state.configuration
    asked = dataclasses.replace(known, requested_at=now, is_reading=True)
    next_state = dataclasses.replace(state, configuration=asked)
    if known.position is None:
        call: typing.Any = calls.ReadConfiguration()
        wait_seconds = 0.0
    else:
        call = calls.FollowConfiguration(known.position, wait_seconds)
    return transitions.Transition(
        next_state,
        (
            effects.Call(
                call,
                state.identity.addresses.store,
                wait_seconds + ANSWER_TIMEOUT_SECONDS,
            ),
        ),
    )


def resume_polling(now: float, state: 'states.State') -> reducer.Transition:
    """Begin to follow the store again, unless this goes on."""
    if state.configuration.is_reading:
        return transitions.Transition(state)
    return poll_next(state, now)


def fetch_newest(now: float, state: 'states.State') -> reducer.Transition:
    """Read a newer version that another instance knows of."""
    if state.configuration.is_reading:
        return transitions.Transition(state)
    return send_poll(0.0, now, state)


def record_confirmation(
    confirmed: 'states.ConfigurationState', now: float, state: 'states.State'
) -> reducer.Transition:
    """Keep a configuration that another instance has confirmed."""
    logged = describe_recovery(state.configuration, now)
    kept = dataclasses.replace(confirmed, failing_since=None)
    return transitions.Transition(
        dataclasses.replace(state, configuration=kept), logged
    )


def describe_recovery(
    known: 'states.ConfigurationState', now: float
) -> tuple[effects.Effect, ...]:
    """Return the log line of a source that is back."""
    if known.failing_since is None:
        return ()
    return (
        relay_effects.LogDecision(
            'store_regained',
            (
                ('what', 'configuration'),
                ('seconds', round(now - known.failing_since, 3)),
            ),
        ),
    )


@reducer.on_answer.register(calls.ReadConfiguration)
@reducer.on_answer.register(calls.FollowConfiguration)
def handle_answer(
    call: typing.Any, event: events.CallAnswered, state: 'states.State'
) -> reducer.Transition:
    """Take what the store answered."""
    if isinstance(event.answer, calls.ConfigurationRead):
        return apply_read(event.answer, event.at, state)
    if isinstance(event.answer, calls.HistoryCompacted):
        known = dataclasses.replace(state.configuration, position=None)
        return poll_next(
            dataclasses.replace(state, configuration=known), event.at
        )
    return record_failure(f'status {event.answer.status}', event.at, state)


def apply_read(
    read: calls.ConfigurationRead, now: float, state: 'states.State'
) -> reducer.Transition:
    """Put a newer version in force and go on following."""
    known = state.configuration
    active = known.active
    logged = describe_recovery(known, now)
    newest = read.configuration
    if newest is not None and (
        active is None or newest.version > active.version
    ):
        active = newest
        logged += describe_change(known.active, newest, read.position)
    following = dataclasses.replace(
        known,
        active=active,
        position=read.position,
        confirmed_at=known.requested_at,
        failing_since=None,
    )
    services = () if active is None else active.services
    next_state = dataclasses.replace(
        state,
        configuration=following,
        retry_buckets=retry_budgets.add_services(
            state.retry_buckets, services, now
        ),
    )
    adopted: reducer.Transition = transitions.Transition(next_state, logged)
    if active is not known.active:
        adopted = adopted.then(
            lambda changed: peer_feed.answer_followers(now, changed)
        )
    return adopted.then(lambda following: poll_next(following, now))


def describe_change(
    before: configuration.Configuration | None,
    after: configuration.Configuration,
    position: int,
) -> tuple[effects.Effect, ...]:
    """Return the effects of a new version."""
    described: tuple[effects.Effect, ...] = (
        effects.SetGauge('configuration_version', after.version),
        relay_effects.LogDecision(
            'configuration_adopted',
            (
                ('version', after.version),
                ('before', before.version if before else None),
                ('position', position),
                ('routes', sum(map(len, after.routes_by_host.values()))),
                ('keys', len(after.tenants_by_key)),
            ),
        ),
    )
    if after.caller_limits is not None:
        described += (
            relay_effects.LimitCallers(
                after.caller_limits.maximum_header_bytes,
                after.caller_limits.maximum_body_bytes,
                after.caller_limits.header_timeout_seconds,
                after.caller_limits.idle_timeout_seconds,
            ),
        )
    return described


@reducer.on_failure.register(calls.ReadConfiguration)
@reducer.on_failure.register(calls.FollowConfiguration)
def handle_failure(
    call: typing.Any, event: events.CallFailed, state: 'states.State'
) -> reducer.Transition:
    """Read again soon after a read without an answer."""
    return record_failure(event.failure.kind.value, event.at, state)


def record_failure(
    problem: str, now: float, state: 'states.State'
) -> reducer.Transition:
    """Keep the version in force and read again soon."""
    known = state.configuration
    logged: tuple[effects.Effect, ...] = (
        effects.Count('store_failures', ('configuration',)),
        effects.SetTimer(timers.ConfigurationDue(), RETRY_DELAY_SECONDS),
    )
    if known.failing_since is None:
        logged += (
            relay_effects.LogDecision(
                'store_lost',
                (
                    ('what', 'configuration'),
                    ('problem', problem),
                    ('version', known.active.version if known.active else None),
                ),
            ),
        )
    failing = dataclasses.replace(
        known,
        failing_since=now
        if known.failing_since is None
        else known.failing_since,
    )
    return transitions.Transition(
        dataclasses.replace(state, configuration=failing), logged
    )


@reducer.on_timer.register(timers.ConfigurationDue)
def handle_retry_timer(
    timer: timers.ConfigurationDue,
    event: events.TimerFired,
    state: 'states.State',
) -> reducer.Transition:
    """Read the configuration after a failure."""
    return poll_next(state, event.at)
