"""Check all open requests.

Waiting requests search for an upstream again, requests without time left
fail, sends that their upstream does not want any more are withdrawn, and silent
attempts are probed or hedged. One timer for all of them replaces several timers
for each request.
"""

import dataclasses
import typing
from collections import abc

from mustardvale.internal import events, transitions
from mustardvale.internal.relay import (
    capacity_waits,
    check_schedule,
    completion,
    configuration,
    dispatch,
    exchanges,
    hedges,
    loads,
    moves,
    reducer,
    runners,
    timers,
    wait_release,
    withdrawals,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

# A plain request without an answer after this share of its target time is
# sent to a second runner, which can still answer within the target.
MAXIMUM_SILENCE_TARGET_SHARE = 0.6
# A stream without a new event for this long gets a second send, even when its
# first runner reports no fault, because callers disconnect after two seconds.
# Probes report faults earlier, and a second send processes the prompt again at
# every runner of its chain.
MINIMUM_STREAM_SILENCE_SECONDS = 1.2
# Callers of routes with slower events wait longer. A pause of twice the target
# is late, but the stream may still be sound.
SILENT_GAP_COUNT = 2
# Runners through which a stream was active this recently are not suspected.
RECENT_ACTIVITY_SECONDS = 0.25
# A check that is late by more than this shows that the instance was suspended or
# had no processor time. It has yet to read what arrived meanwhile.
LATE_CHECK_SECONDS = 0.1
# Silence is ignored for as long as the check was late, but no longer than this.
MAXIMUM_GRACE_SECONDS = 0.5
SUSPECT_DEPRIORITIZE_SECONDS = 0.5


@reducer.on_timer.register(timers.ExchangeCheckDue)
def check_exchanges(
    timer: timers.ExchangeCheckDue,
    event: events.TimerFired,
    state: 'states.State',
) -> reducer.Transition:
    """Check every open request, and update the mean loads."""
    ignored_until = state.silence_ignored_until
    late_seconds = event.at - (state.check_due_at or event.at)
    if late_seconds > LATE_CHECK_SECONDS:
        ignored_until = event.at + min(late_seconds, MAXIMUM_GRACE_SECONDS)
    elapsed_seconds = event.at - (state.last_check_at or event.at)
    return (
        transitions.Transition(
            dataclasses.replace(
                state,
                last_check_at=event.at,
                silence_ignored_until=ignored_until,
                mean_loads=loads.update_means(
                    state.loads, state.mean_loads, elapsed_seconds
                ),
            )
        )
        .then(lambda current: wait_release.release_waiting(event.at, current))
        .then(lambda current: dispatch.refuse_hopeless(event.at, current))
        .then(lambda current: check_due(event.at, current))
    )


def check_due(now: float, state: 'states.State') -> reducer.Transition:
    """Check the requests that can need it now, and schedule the next check.

    Most streams make progress. For them, one comparison of times is enough.
    """
    due_ids = []
    next_at = now + check_schedule.MAXIMUM_CHECK_SECONDS
    for request_id, exchange in state.exchanges.items():
        check_at = find_check_time(exchange, now, state)
        if check_at <= now or has_unsent_attempt(exchange):
            due_ids.append(request_id)
        elif check_at < next_at:
            next_at = check_at
    due_ids = put_waiting_first(due_ids, now, state)
    return (
        transitions.Transition(state)
        .then_each(
            due_ids,
            lambda request_id, current: check_exchange(
                request_id, now, current
            ),
        )
        .then(lambda current: schedule_after(due_ids, next_at, now, current))
    )


def put_waiting_first(
    due_ids: list[str], now: float, state: 'states.State'
) -> list[str]:
    """Return due requests with the most urgent waiting ones first."""
    if all(state.exchanges[request_id].attempts for request_id in due_ids):
        return due_ids
    due = frozenset(due_ids)
    ordered = capacity_waits.order_checks(now, state)
    return [request_id for request_id in ordered if request_id in due]


def has_unsent_attempt(exchange: exchanges.Exchange) -> bool:
    """Return whether a send may have to be withdrawn."""
    for attempt in exchange.attempts:
        if not attempt.is_sent:
            return True
    return False


def schedule_next(now: float, state: 'states.State') -> reducer.Transition:
    """Schedule the next check for when the first request can need it."""
    latest_at = now + check_schedule.MAXIMUM_CHECK_SECONDS
    return schedule_after(tuple(state.exchanges), latest_at, now, state)


def schedule_after(
    checked_ids: abc.Sequence[str],
    next_at: float,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Schedule the check that follows one of some requests.

    `next_at` is when the first of the others can need one.
    """
    due_times = [
        find_check_time(state.exchanges[request_id], now, state)
        for request_id in checked_ids
        if request_id in state.exchanges
    ]
    return check_schedule.set_check(min([next_at, *due_times]), now, state)


def find_check_time(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> float:
    """Return when a request can need a check, unless an event changes it."""
    if not exchange.attempts or now < state.silence_ignored_until:
        return now
    if exchange.is_caller_blocked or not exchange.route.is_retryable:
        return exchange.deadline_at
    attempt = exchange.attempts[-1]
    if attempt.chain:
        silent_at = moves.compute_silent_at(attempt)
    elif len(exchange.attempts) == hedges.MAXIMUM_OPEN_SENDS:
        return exchange.deadline_at
    else:
        silent_at = attempt.last_received_at + compute_plain_limit(exchange)
    return min(silent_at, exchange.deadline_at)


def check_exchange(
    request_id: str, now: float, state: 'states.State'
) -> reducer.Transition:
    """Check one request, unless an earlier check has just completed it."""
    exchange = state.exchanges.get(request_id)
    if exchange is None:
        return transitions.Transition(state)
    if now >= exchange.deadline_at:
        return completion.fail_exchange(
            exchange, 'the deadline has passed', now, state
        )
    if not exchange.attempts:
        if not dispatch.is_search_due(exchange, now, state):
            return transitions.Transition(state)
        return dispatch.try_send(exchange, now, state)
    unwanted = withdrawals.list_unwanted(exchange, now, state)
    if unwanted:
        return withdrawals.withdraw_each(request_id, unwanted, now, state)
    return check_silence(exchange, now, state)


def check_silence(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> reducer.Transition:
    """Probe or hedge a request whose newest send is silent."""
    may_not_retry = (
        exchange.is_caller_blocked or not exchange.route.is_retryable
    )
    if may_not_retry or now < state.silence_ignored_until:
        return transitions.Transition(state)
    # An older attempt has been probed and hedged already.
    attempt = exchange.attempts[-1]
    check_attempt = (
        check_stream_attempt if attempt.chain else check_plain_attempt
    )
    return check_attempt(exchange, attempt, now, state)


def check_plain_attempt(
    exchange: exchanges.Exchange,
    attempt: exchanges.Attempt,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Hedge a plain request whose runner is silent for too long."""
    if now - attempt.last_received_at < compute_plain_limit(exchange):
        return transitions.Transition(state)
    return hedges.send_beside(exchange, attempt, 'silent', now, state)


def compute_plain_limit(exchange: exchanges.Exchange) -> float:
    """Return for how many seconds a plain request may get no answer."""
    return exchange.route.target_latency_seconds * MAXIMUM_SILENCE_TARGET_SHARE


def check_stream_attempt(
    exchange: exchanges.Exchange,
    attempt: exchanges.Attempt,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Probe the first runner of a silent stream, or hedge the stream."""
    silence_seconds = now - attempt.last_received_at
    is_hedged = len(exchange.attempts) == hedges.MAXIMUM_OPEN_SENDS
    if is_hedged or silence_seconds < compute_silence_limit(
        exchange.route, attempt
    ):
        return moves.probe_first_runner(attempt, now, state)
    return hedges.send_beside(
        exchange,
        attempt,
        'silent',
        now,
        deprioritize_suspects(attempt, now, state),
    )


def compute_silence_limit(
    route: configuration.Route, attempt: exchanges.Attempt
) -> float:
    """Return for how many seconds a stream may send no event."""
    expected = route.event_gap_seconds * SILENT_GAP_COUNT
    if attempt.first_event_at is None:
        expected = route.target_latency_seconds
    return max(expected, MINIMUM_STREAM_SILENCE_SECONDS)


def deprioritize_suspects(
    attempt: exchanges.Attempt, now: float, state: 'states.State'
) -> 'states.State':
    """Deprioritize the runners that may have caused the silence of a chain."""
    runner_map = state.runners
    last_activity = exchanges.list_last_activity(state.exchanges)
    for part in attempt.chain:
        active_at = last_activity.get(part.runner_id, 0.0)
        if now - active_at >= RECENT_ACTIVITY_SECONDS:
            runner_map = runners.deprioritize(
                runner_map, part.runner_id, now + SUSPECT_DEPRIORITIZE_SECONDS
            )
    return dataclasses.replace(state, runners=runner_map)
