"""Know whether an era of the store has settled, across restarts.

After a restore, the store shows an older configuration until the operator has
written the newest one again. Instances that see the rise of the era wait for
that, and then record in the store that the era has settled. One that starts
reads this record before the configuration: in a settled era the first read
confirms the configuration, in any other era reads confirm after the same wait.
"""

import dataclasses
import typing

from mustardvale.internal import effects, events, transitions
from mustardvale.internal.relay import (
    calls,
    configuration_feed,
    members,
    reducer,
    store_copies,
    timers,
)
from mustardvale.internal.relay import effects as relay_effects

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

CALL_TIMEOUT_SECONDS = 1.0
# The configuration is read without the record if that takes longer.
LATE_SECONDS = 0.25
CHECK_PERIOD_SECONDS = 1.0
# Pause after a record that the store has not confirmed.
FAILURE_PERIOD_SECONDS = 5.0


def begin(now: float, state: 'states.State') -> reducer.Transition:
    """Read which era has settled, and then the configuration."""
    if not store_copies.is_confirmation_limited(state):
        return configuration_feed.poll_next(state, now)
    check = effects.SetTimer(timers.SettledEraDue(), CHECK_PERIOD_SECONDS)
    if state.store_copy.starts_with_site:
        return configuration_feed.poll_next(state, now).with_effects(check)
    copy = dataclasses.replace(state.store_copy, awaits_record=True)
    reading = dataclasses.replace(state.configuration, is_reading=True)
    return transitions.Transition(
        dataclasses.replace(state, store_copy=copy, configuration=reading),
        (
            check,
            build_call(calls.ReadSettledEra(), state),
            effects.SetTimer(timers.SettledEraLate(), LATE_SECONDS),
        ),
    )


def build_call(call: typing.Any, state: 'states.State') -> effects.Call:
    """Return a call to the store."""
    return effects.Call(
        call, state.identity.addresses.store, CALL_TIMEOUT_SECONDS
    )


def read_configuration(now: float, state: 'states.State') -> reducer.Transition:
    """Read the configuration, if that has waited for the record."""
    copy = state.store_copy
    if not copy.awaits_record:
        return transitions.Transition(state)
    unblocked = dataclasses.replace(
        state, store_copy=dataclasses.replace(copy, awaits_record=False)
    )
    return configuration_feed.poll_next(unblocked, now)


@reducer.on_answer.register(calls.ReadSettledEra)
def handle_settled_era(
    call: calls.ReadSettledEra,
    event: events.CallAnswered,
    state: 'states.State',
) -> reducer.Transition:
    """Store the settled era, and read the configuration."""
    if isinstance(event.answer, calls.SettledEraRead):
        state = store_copies.record_settled(event.answer.era, event.at, state)
    copy = state.store_copy
    log_effect = relay_effects.LogDecision(
        'store_era_read',
        (
            ('era', copy.era),
            ('settled', copy.settled_era),
            ('wait_ms', round(max(copy.confirms_from - event.at, 0) * 1000)),
        ),
    )
    return read_configuration(event.at, state).with_effects(log_effect)


@reducer.on_failure.register(calls.ReadSettledEra)
def handle_unread_era(
    call: calls.ReadSettledEra, event: events.CallFailed, state: 'states.State'
) -> reducer.Transition:
    """Read the configuration; it is confirmed as in an unsettled era."""
    return read_configuration(event.at, state)


@reducer.on_timer.register(timers.SettledEraLate)
def handle_late_era(
    timer: timers.SettledEraLate,
    event: events.TimerFired,
    state: 'states.State',
) -> reducer.Transition:
    """Read the configuration, unless it is being read."""
    return read_configuration(event.at, state)


@reducer.on_timer.register(timers.SettledEraDue)
def record_if_settled(
    timer: timers.SettledEraDue,
    event: events.TimerFired,
    state: 'states.State',
) -> reducer.Transition:
    """Record the present era once it has settled, and check again later."""
    next_check = effects.SetTimer(timer, CHECK_PERIOD_SECONDS)
    era = state.store_copy.era
    if era is None or not must_record(event.at, state):
        return transitions.Transition(state, (next_check,))
    record = build_call(calls.RecordSettledEra(era), state)
    return transitions.Transition(state, (record,))


def must_record(now: float, state: 'states.State') -> bool:
    """Return whether this instance has to record the present era as settled.

    It holds the right to order runners, so that one instance records it, and
    the store has confirmed the configuration in this era.
    """
    copy, known = state.store_copy, state.configuration
    if copy.settled_era == copy.era or not members.is_leader(state, now):
        return False
    return known.confirmed_era == copy.era


@reducer.on_answer.register(calls.RecordSettledEra)
def handle_recorded_era(
    call: calls.RecordSettledEra,
    event: events.CallAnswered,
    state: 'states.State',
) -> reducer.Transition:
    """Store that the era is recorded, or try again later."""
    if not isinstance(event.answer, calls.SettledEraRecorded):
        return check_later(state)
    copy = dataclasses.replace(state.store_copy, settled_era=call.era)
    log_effect = relay_effects.LogDecision(
        'store_era_settled', (('era', call.era),)
    )
    return check_later(
        dataclasses.replace(state, store_copy=copy), CHECK_PERIOD_SECONDS
    ).with_effects(log_effect)


@reducer.on_failure.register(calls.RecordSettledEra)
def handle_unrecorded_era(
    call: calls.RecordSettledEra,
    event: events.CallFailed,
    state: 'states.State',
) -> reducer.Transition:
    """Try to record the era again later."""
    return check_later(state)


def check_later(
    state: 'states.State', delay_seconds: float = FAILURE_PERIOD_SECONDS
) -> reducer.Transition:
    """Check later whether the era can be recorded."""
    return transitions.Transition(
        state, (effects.SetTimer(timers.SettledEraDue(), delay_seconds),)
    )
