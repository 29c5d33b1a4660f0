"""Follow the configuration in the platform's store.

A long poll returns as soon as there is a new version. An answer without one
confirms the active version as of the time at which the poll was sent. The age
of the configuration, which limits the use of revoked keys, counts from then.
"""

import dataclasses
import typing

from mustardvale.internal import effects, events, transitions
from mustardvale.internal.relay import (
    calls,
    configuration,
    exchanges,
    limit_shares,
    part_terms,
    peer_feed,
    reducer,
    retry_budgets,
    startup_waits,
    store_copies,
    timers,
)
from mustardvale.internal.relay import effects as relay_effects

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

# Wait of a poll, as a share of the time for which a configuration may be used.
# Below one half, so that a second poll is possible if the first gets no answer.
POLL_SHARE = 0.3
# The same share if there may be followers. They receive a confirmation up
# to two reads of the runner list later and need time to notice a failed reader.
FOLLOWED_POLL_SHARE = 0.2
# A poll on a connection that has gone silent, and the next one, take less than
# the three seconds after which an instance whose links were cut is expected to
# know the newest version.
MAXIMUM_POLL_SECONDS = 1.5
ANSWER_TIMEOUT_SECONDS = 1.0
RETRY_DELAY_SECONDS = 0.25
# A follower that the store does not answer fetches a newer version no more often
# than this, while its reader keeps telling it of one.
FETCH_RETRY_SECONDS = 2.0
# Requests with keys are refused this long before the limit, so that a request
# that was just admitted does not run past it.
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
    """Return the time since the last confirmation, or `None` before it."""
    confirmed = state.configuration.confirmed_at
    return None if confirmed is None else now - confirmed


def may_serve_keys(state: 'states.State', now: float) -> bool:
    """Return whether the configuration is recent enough to check keys."""
    limit = state.limits.key_revocation_seconds
    age_seconds = compute_age_seconds(state, now)
    if age_seconds is None:
        return False
    return limit is None or age_seconds < limit - REVOCATION_MARGIN_SECONDS


def poll_next(state: 'states.State', now: float) -> reducer.Transition:
    """Send the next poll, unless this instance follows a reader.

    The reader is another instance, which then confirms the configuration in
    place of the store.
    """
    known = state.configuration
    if peer_feed.is_following(state):
        idle = dataclasses.replace(known, is_reading=False)
        return transitions.Transition(
            dataclasses.replace(state, configuration=idle)
        )
    # After a failure, poll without a wait to get a confirmation at once.
    failing = known.failing_since is not None
    wait = 0.0 if failing else compute_poll_seconds(state)
    return send_poll(limit_wait(wait, now, state), now, state)


def limit_wait(wait_seconds: float, now: float, state: 'states.State') -> float:
    """Return the wait of a poll, shorter where it delays a confirmation.

    After a restore of the store, no poll lasts beyond the time from which polls
    confirm again, and the first one after it does not wait.
    """
    known = state.configuration
    if known.unshown_version is not None or is_confirmed_since(
        state.store_copy.confirms_from, known.confirmed_at
    ):
        return wait_seconds
    return min(
        wait_seconds, store_copies.compute_confirmation_delay(state, now)
    )


def is_confirmed_since(
    confirms_from: float, confirmed_at: float | None
) -> bool:
    """Return whether the last confirmation is no older than a time."""
    return (confirmed_at or 0.0) >= confirms_from


def send_poll(
    wait_seconds: float, now: float, state: 'states.State'
) -> reducer.Transition:
    """Send a poll that waits up to `wait_seconds` for a new version.

    Without a known position it reads the newest version at once.
    """
    known = state.configuration
    polling = dataclasses.replace(known, is_reading=True)
    next_state = dataclasses.replace(state, configuration=polling)
    if known.position is None:
        call: typing.Any = calls.ReadConfiguration(requested_at=now)
        wait_seconds = 0.0
    else:
        call = calls.FollowConfiguration(
            known.position, wait_seconds, now, state.store_copy.era
        )
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
    """Poll the store again, unless a poll is pending."""
    if state.configuration.is_reading:
        return transitions.Transition(state)
    return poll_next(state, now)


def fetch_newest(now: float, state: 'states.State') -> reducer.Transition:
    """Read a newer version that a reader has reported, without a wait."""
    known = state.configuration
    retry_at = 0.0
    if known.failing_since is not None and known.failed_at is not None:
        retry_at = known.failed_at + FETCH_RETRY_SECONDS
    if known.is_reading or now < retry_at:
        return transitions.Transition(state)
    return send_poll(0.0, now, state)


def record_confirmation(
    confirmed: 'states.ConfigurationState', now: float, state: 'states.State'
) -> reducer.Transition:
    """Store the state of a configuration that a reader has confirmed."""
    log_effects = build_recovery_log(state.configuration, now)
    recovered = dataclasses.replace(confirmed, failing_since=None)
    recorded: reducer.Transition = transitions.Transition(
        dataclasses.replace(state, configuration=recovered), log_effects
    )
    return recorded.then(lambda current: end_startup(now, current))


def end_startup(now: float, state: 'states.State') -> reducer.Transition:
    """Store whether keys can be checked, and check who waits for that."""
    if may_serve_keys(state, now):
        state = startup_waits.record_keys_usable(state)
    return startup_waits.request_check(now, state)


def build_recovery_log(
    known: 'states.ConfigurationState', now: float
) -> tuple[effects.Effect, ...]:
    """Return the log line for the end of a failure, if there was one."""
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
    """Apply a read, or start again from the newest version."""
    if isinstance(event.answer, calls.ConfigurationRead):
        if event.answer.next_page:
            return read_next_page(call, event.answer, state)
        return apply_read(call, event.answer, event.at, state)
    if isinstance(event.answer, calls.HistoryCompacted):
        known = dataclasses.replace(state.configuration, position=None)
        return poll_next(
            dataclasses.replace(state, configuration=known), event.at
        )
    return record_failure(f'status {event.answer.status}', event.at, state)


def read_next_page(
    call: calls.ReadConfiguration,
    read: calls.ConfigurationRead,
    state: 'states.State',
) -> reducer.Transition:
    """Read the page behind one that does not have the configuration.

    The log is followed from the first page on, so that no version is missed
    that is written while the pages are read.
    """
    position = read.position if call.position is None else call.position
    next_call = calls.ReadConfiguration(
        read.next_page, position, call.requested_at, state.store_copy.era
    )
    return transitions.Transition(
        state,
        (
            effects.Call(
                next_call,
                state.identity.addresses.store,
                ANSWER_TIMEOUT_SECONDS,
            ),
        ),
    )


def apply_read(
    call: typing.Any,
    read: calls.ConfigurationRead,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Activate a newer version, inform the followers and poll again.

    A confirmation that another instance has given meanwhile may be newer.
    """
    state = record_shown_version(read.configuration, state)
    known = state.configuration
    active = known.active
    confirmed_at, confirmed_era = known.confirmed_at, known.confirmed_era
    if store_copies.may_confirm(call.requested_at, state):
        confirmed_at = max(confirmed_at or 0, call.requested_at)
        confirmed_era = state.store_copy.era
    change_effects = build_recovery_log(known, now)
    newest = read.configuration
    if newest is not None and (
        active is None or newest.version > active.version
    ):
        active = newest
        change_effects += build_change_effects(
            known.active, newest, read.position
        )
    confirmed = dataclasses.replace(
        known,
        active=active,
        position=read.position,
        confirmed_at=confirmed_at,
        confirmed_era=confirmed_era,
        failing_since=None,
    )
    services = () if active is None else active.services
    open_exchanges = state.exchanges
    if active is not None and active is not known.active:
        open_exchanges = exchanges.extend_deadlines(open_exchanges, active)
    next_state = dataclasses.replace(
        state,
        configuration=confirmed,
        exchanges=open_exchanges,
        retry_buckets=retry_budgets.add_services(
            state.retry_buckets,
            services,
            now,
            compute_initial_retries(now, state),
        ),
    )
    if active is not known.active:
        next_state = index_part_terms(next_state)
    adopted: reducer.Transition = transitions.Transition(
        next_state, change_effects
    )
    if must_inform(known, next_state):
        adopted = adopted.then(
            lambda current: peer_feed.answer_followers(now, current)
        )
    return adopted.then(lambda current: end_startup(now, current)).then(
        lambda current: poll_next(current, now)
    )


def must_inform(
    before: 'states.ConfigurationState', state: 'states.State'
) -> bool:
    """Return whether followers wait for what a read has shown.

    It is a newer version, or the first confirmation after a restore.
    """
    known, confirms_from = state.configuration, state.store_copy.confirms_from
    is_first = not is_confirmed_since(confirms_from, before.confirmed_at)
    return known.active is not before.active or (
        is_first and is_confirmed_since(confirms_from, known.confirmed_at)
    )


def record_shown_version(
    shown: configuration.Configuration | None, state: 'states.State'
) -> 'states.State':
    """Record that a restored store shows the active version, or a newer one."""
    known = state.configuration
    awaited = known.unshown_version
    if awaited is None or shown is None or shown.version < awaited:
        return state
    return dataclasses.replace(
        state, configuration=dataclasses.replace(known, unshown_version=None)
    )


def index_part_terms(state: 'states.State') -> 'states.State':
    """Return the state with the terms of its runners under its services."""
    active = state.configuration.active
    if active is None:
        return state
    terms = part_terms.update_index(
        state.part_terms, active.services, state.runners, state.runner_index
    )
    return dataclasses.replace(state, part_terms=terms)


def compute_initial_retries(now: float, state: 'states.State') -> float:
    """Return the retries for a service that a version adds.

    A new process starts without any, because the process before it may have
    spent them.
    """
    if state.configuration.active is None:
        return 0.0
    return retry_budgets.BURST_SHARE * retry_budgets.compute_quota(
        state.limits, limit_shares.count_shares(now, state)
    )


def build_change_effects(
    before: configuration.Configuration | None,
    after: configuration.Configuration,
    position: int,
) -> tuple[effects.Effect, ...]:
    """Return the gauge, the log line and the caller limits of a version."""
    change_effects: tuple[effects.Effect, ...] = (
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
        change_effects += (
            relay_effects.LimitCallers(
                after.caller_limits.maximum_header_bytes,
                after.caller_limits.maximum_body_bytes,
                after.caller_limits.header_timeout_seconds,
                after.caller_limits.idle_timeout_seconds,
            ),
        )
    return change_effects


@reducer.on_failure.register(calls.ReadConfiguration)
@reducer.on_failure.register(calls.FollowConfiguration)
def handle_failure(
    call: typing.Any, event: events.CallFailed, state: 'states.State'
) -> reducer.Transition:
    """Record that the store did not answer."""
    return record_failure(event.failure.kind.value, event.at, state)


def record_failure(
    problem: str, now: float, state: 'states.State'
) -> reducer.Transition:
    """Count a failed read and schedule a retry; the active version stays."""
    known = state.configuration
    failure_effects: tuple[effects.Effect, ...] = (
        effects.Count('store_failures', ('configuration',)),
        effects.SetTimer(timers.ConfigurationRetryDue(), RETRY_DELAY_SECONDS),
    )
    if known.failing_since is None:
        failure_effects += (
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
        failed_at=now,
    )
    failed: reducer.Transition = transitions.Transition(
        dataclasses.replace(state, configuration=failing), failure_effects
    )
    return failed.then(
        lambda current: startup_waits.request_check(now, current)
    )


@reducer.on_timer.register(timers.ConfigurationRetryDue)
def handle_retry_timer(
    timer: timers.ConfigurationRetryDue,
    event: events.TimerFired,
    state: 'states.State',
) -> reducer.Transition:
    """Poll again after a failure."""
    return poll_next(state, event.at)
