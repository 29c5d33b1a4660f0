"""Move running model requests away from faulty runners of their chains.

The first runner of a chain reports which requests wait for a runner that does
not respond. A moved request keeps the caches of its other runners; only the
substitute processes its tokens again. A new send would do so at every runner.
"""

import dataclasses
import functools
import typing
from collections import abc

from mustardvale.internal import effects, events, transitions
from mustardvale.internal.relay import (
    announcements,
    calls,
    chains,
    choices,
    completion,
    dispatch,
    engines,
    exchanges,
    fault_reports,
    fault_telling,
    hedges,
    loads,
    open_attempts,
    pace_tracking,
    reachability,
    reducer,
    requests,
    runners,
    upstream_pace,
)
from mustardvale.internal.relay import effects as relay_effects

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

# Silence after which the first runner is probed. Before the first event it is
# short enough for another chain to answer within the target time. A pause of
# a stream misses its target before a report can arrive in any case, so that
# the stream gets more time to continue by itself.
FIRST_EVENT_PROBE_SECONDS = 0.15
STREAM_PAUSE_PROBE_SECONDS = 0.3
# Reports lag by a few hundred milliseconds, so that the first one may not show
# the fault yet.
PROBE_PERIOD_SECONDS = 0.2
MOVE_TIMEOUT_SECONDS = 0.4
# A faulty runner is deprioritized for about as long as the platform takes to
# drop the entry of a crashed one.
FAULT_DEPRIORITIZE_SECONDS = 4.0
# It is excluded entirely for part of that time. After that it may be used where
# no other runner is available.
FAULT_EXCLUSION_SECONDS = 2.0
MAXIMUM_MOVES = 4
# A probe without an answer may be due to the network or to this instance. A
# part that a first runner reports as stalled is at fault by itself.
SILENCE_REASON = 'unreachable'
STALL_REASON = 'stalled'


def probe_first_runner(
    attempt: exchanges.Attempt, now: float, state: 'states.State'
) -> reducer.Transition:
    """Ask the first runner of a silent stream which runners it waits for."""
    if not attempt.is_sent or not is_silent(attempt, now):
        return transitions.Transition(state)
    probed_at = state.probed_at.get(attempt.runner_id, 0.0)
    runner = state.runners.get(attempt.runner_id)
    if runner is None or now - probed_at < PROBE_PERIOD_SECONDS:
        return transitions.Transition(state)
    return reachability.probe_runner(runner, now, state)


def is_silent(attempt: exchanges.Attempt, now: float) -> bool:
    """Return whether nothing was received for long enough to probe."""
    return now >= compute_silent_at(attempt)


def compute_silent_at(attempt: exchanges.Attempt) -> float:
    """Return from when on an attempt counts as silent."""
    limit = STREAM_PAUSE_PROBE_SECONDS
    if attempt.first_event_at is None:
        limit = FIRST_EVENT_PROBE_SECONDS
    return attempt.last_received_at + limit


@reducer.on_answer.register(calls.ProbeRunner)
def handle_probe_answer(
    call: calls.ProbeRunner, event: events.CallAnswered, state: 'states.State'
) -> reducer.Transition:
    """Mark the runners that requests wait for, and move the requests.

    A runner that was unreachable is used again.
    """
    report = event.answer
    if not isinstance(report, calls.RunnerReport):
        return transitions.Transition(state)
    runner_map = runners.record_slowdown(
        runners.record_reachable(state.runners, call.runner_id),
        call.runner_id,
        report.slowdown,
        event.at,
    )
    noted = announcements.record_announcement(
        call.runner_id,
        report.announcement,
        event.at,
        dataclasses.replace(state, runners=runner_map),
    )
    at_fault = {
        runners.find_id_by_address(runner_map, stalled.fault_address)
        for stalled in report.stalled
    } - {None}
    if not at_fault:
        return noted
    faulty = frozenset(runner_id for runner_id in at_fault if runner_id)
    return (
        noted.then(
            lambda current: mark_faulty(faulty, STALL_REASON, event.at, current)
        )
        .then(
            lambda current: fault_telling.tell_stalled(
                faulty, event.at, current
            )
        )
        .then(lambda current: move_affected(faulty, event.at, current))
    )


@reducer.on_failure.register(calls.ProbeRunner)
def handle_probe_failure(
    call: calls.ProbeRunner, event: events.CallFailed, state: 'states.State'
) -> reducer.Transition:
    """Mark an unreachable first runner, unless its streams are active.

    Shortly after this instance was suspended or delayed, a failure proves
    nothing.
    """
    last_activity = exchanges.list_last_activity(state.exchanges)
    received_at = last_activity.get(call.runner_id, 0.0)
    is_streaming = event.at - received_at < FIRST_EVENT_PROBE_SECONDS
    if is_streaming or event.at < state.silence_ignored_until:
        return transitions.Transition(state)
    faulty = frozenset((call.runner_id,))
    is_silent_call = event.failure.kind is events.FailureKind.TIMED_OUT
    reason = SILENCE_REASON if is_silent_call else 'failed'
    until = event.at + FAULT_DEPRIORITIZE_SECONDS
    return (
        mark_faulty(faulty, reason, event.at, state)
        .then(
            lambda current: reachability.record_unreachable(
                call.runner_id, until, current
            )
        )
        .then(lambda current: move_affected(faulty, event.at, current))
    )


def mark_faulty(
    faulty: frozenset[str], reason: str, now: float, state: 'states.State'
) -> reducer.Transition:
    """Exclude faulty runners for a while, and deprioritize them for longer."""
    runner_map = state.runners
    newly_faulty = []
    # A runner may be removed from the list while it is asked.
    known = sorted(runner_id for runner_id in faulty if runner_id in runner_map)
    for runner_id in known:
        runner = runner_map[runner_id]
        if is_newly_faulty(runner, reason, now):
            newly_faulty.append(runner_id)
            runner_map = runners.deprioritize(
                runner_map, runner_id, now + FAULT_DEPRIORITIZE_SECONDS
            )
            runner_map = exclude_faulty(runner_map, runner_id, reason, now)
    log_effects = tuple(
        relay_effects.LogDecision(
            'runner_blamed', (('runner', runner_id), ('reason', reason))
        )
        for runner_id in newly_faulty
    )
    marked = dataclasses.replace(state, runners=runner_map)
    return transitions.Transition(
        pace_tracking.begin(
            newly_faulty, upstream_pace.PaceKind.RECOVERED, now, marked
        ),
        log_effects,
    )


def is_newly_faulty(runner: runners.Runner, reason: str, now: float) -> bool:
    """Return whether a fault of a runner tells more than what is known."""
    if runner.silent_since and reason != SILENCE_REASON:
        return True
    # Another instance's report of a stall deprioritizes without excluding.
    if reason == STALL_REASON and runner.excluded_until <= now:
        return True
    return runner.deprioritized_until < now + FAULT_DEPRIORITIZE_SECONDS / 2


def exclude_faulty(
    runner_map: runners.RunnerMap, runner_id: str, reason: str, now: float
) -> runners.RunnerMap:
    """Exclude a faulty runner; note whether only its silence shows that."""
    until = now + FAULT_EXCLUSION_SECONDS
    if reason == SILENCE_REASON:
        return runners.exclude_silent(runner_map, runner_id, now, until)
    return runners.exclude(runner_map, runner_id, until)


def move_affected(
    faulty: frozenset[str], now: float, state: 'states.State'
) -> reducer.Transition:
    """Move every request whose chain has a faulty runner."""
    affected = [
        open_attempts.OpenAttempt(exchange, attempt)
        for exchange in state.exchanges.values()
        for attempt in exchange.attempts
        if is_affected(attempt, faulty)
    ]
    return transitions.Transition(state).then_each(
        affected,
        lambda open_attempt, current: move_attempt(
            current.exchanges[open_attempt.exchange.request_id],
            open_attempt.attempt,
            faulty,
            now,
            current,
        ),
    )


def is_affected(attempt: exchanges.Attempt, faulty: frozenset[str]) -> bool:
    """Return whether the chain of an attempt has a faulty runner."""
    return any(part.runner_id in faulty for part in attempt.chain)


def move_attempt(
    exchange: exchanges.Exchange,
    attempt: exchanges.Attempt,
    faulty: frozenset[str],
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Order the first runner to continue without the faulty runners.

    A request whose first runner is faulty gets a second send instead.
    """
    if attempt.pending_chain or not attempt.is_sent:
        return transitions.Transition(state)
    if attempt.runner_id in faulty or attempt.move_count >= MAXIMUM_MOVES:
        return hedges.send_beside(
            exchange,
            attempt,
            'the first runner is faulty or the request was moved too often',
            now,
            state,
        )
    chain = replace_faulty_parts(exchange, attempt, faulty, now, state)
    if chain is None:
        return hedges.send_beside(
            exchange, attempt, 'no substitute is available', now, state
        )
    moving = dataclasses.replace(
        attempt,
        pending_chain=chain,
        move_count=attempt.move_count + 1,
        last_received_at=now,
    )
    next_state = store_moved(
        open_attempts.OpenAttempt(exchange, attempt), moving, state
    )
    call = calls.MoveRequest(
        attempt.runner_id,
        attempt.send_id,
        exchange.request.attempt_id,
        chain,
    )
    return transitions.Transition(
        next_state,
        (
            effects.Call(call, chain[0].address, MOVE_TIMEOUT_SECONDS),
            build_move_log(exchange, attempt, chain, faulty, now),
        ),
    )


def build_move_log(
    exchange: exchanges.Exchange,
    attempt: exchanges.Attempt,
    chain: requests.Chain,
    faulty: frozenset[str],
    now: float,
) -> effects.Effect:
    """Return the effect that logs an order to move."""
    return relay_effects.LogDecision(
        'stream_moving',
        (
            ('request', exchange.request.attempt_id),
            ('from', dispatch.format_chain(attempt.chain)),
            ('to', dispatch.format_chain(chain)),
            ('faulty', sorted(faulty)),
            ('last_event', exchange.last_event_id),
            ('silent_ms', int((now - attempt.last_received_at) * 1000)),
        ),
    )


def replace_faulty_parts(
    exchange: exchanges.Exchange,
    attempt: exchanges.Attempt,
    faulty: frozenset[str],
    now: float,
    state: 'states.State',
) -> requests.Chain | None:
    """Return a chain with substitutes for faulty runners, if one exists."""
    service = choices.find_service(exchange, state)
    if service is None or service.engine is None:
        return None
    candidates = exclude_runners(
        choices.list_candidates(service.engine, exchange.service, now, state),
        attempt.chain,
    )
    work = choices.estimate_work(exchange, service.engine)
    repaired: tuple[requests.ChainPart, ...] = ()
    for span in split_at_faults(attempt.chain, faulty):
        first, last = span[0], span[-1]
        if first.runner_id not in faulty:
            repaired += span
            continue
        missing = chains.LayerSpan(
            first.first_layer, last.end_layer, repaired[-1].zone
        )
        substitutes = find_substitutes(
            service.engine, candidates, work, missing, now, state
        )
        if not substitutes:
            return None
        candidates = exclude_runners(candidates, substitutes)
        repaired += substitutes
    return repaired


def find_substitutes(
    engine: engines.Engine,
    candidates: abc.Sequence[chains.Candidate],
    work: chains.Work,
    missing: chains.LayerSpan,
    now: float,
    state: 'states.State',
) -> requests.Chain | None:
    """Return a chain over missing layers.

    Runners whose allowance is used up are left out if there are others.
    """
    find = functools.partial(
        chains.find_chain,
        engine,
        work=work,
        span=missing,
        seed=state.seed,
        find_link_load=choices.build_link_load_lookup(state),
    )
    used_up_ids = pace_tracking.list_used_up(now, state)
    if not used_up_ids:
        return find(candidates=candidates)
    free = [item for item in candidates if item.runner_id not in used_up_ids]
    return find(candidates=free) or find(candidates=candidates)


def split_at_faults(
    chain: requests.Chain, faulty: frozenset[str]
) -> list[requests.Chain]:
    """Split a chain into spans that are either faulty or healthy."""
    split: list[requests.Chain] = []
    for part in chain:
        if split and is_same_health(split[-1][-1], part, faulty):
            split[-1] = (*split[-1], part)
        else:
            split.append((part,))
    return split


def is_same_health(
    part: requests.ChainPart,
    other: requests.ChainPart,
    faulty: frozenset[str],
) -> bool:
    """Return whether both parts are faulty, or both are healthy."""
    return (part.runner_id in faulty) == (other.runner_id in faulty)


def exclude_runners(
    candidates: abc.Sequence[chains.Candidate], chain: requests.Chain
) -> tuple[chains.Candidate, ...]:
    """Return the candidates that are not in a chain."""
    taken = {part.runner_id for part in chain}
    return tuple(
        candidate
        for candidate in candidates
        if candidate.runner_id not in taken
    )


@reducer.on_answer.register(calls.MoveRequest)
def handle_move_answer(
    call: calls.MoveRequest, event: events.CallAnswered, state: 'states.State'
) -> reducer.Transition:
    """Adopt the new chain, or send the request elsewhere too.

    After a conflict the attempt stays open and the next probe may move it.
    """
    open_attempt = open_attempts.find_open_attempt(call.send_id, state)
    if open_attempt is None:
        return transitions.Transition(state)
    answer = event.answer
    verdict = (
        answer.verdict
        if isinstance(answer, calls.OrderAnswer)
        else calls.OrderVerdict.REFUSED
    )
    count_effect = effects.Count('moves', (verdict.value,))
    if verdict in {
        calls.OrderVerdict.ACCEPTED,
        calls.OrderVerdict.ALREADY_DONE,
    }:
        adopted = adopt_chain(open_attempt, call.chain, event.at, state)
        return adopted.with_effects(count_effect).then(
            lambda current: leave_crashed(call.send_id, event.at, current)
        )
    unmoved = dataclasses.replace(open_attempt.attempt, pending_chain=())
    state = store_moved(open_attempt, unmoved, state)
    if verdict is calls.OrderVerdict.CONFLICT:
        at_fault = runners.find_id_by_address(
            state.runners, answer.fault_address
        )
        if at_fault is not None:
            state = dataclasses.replace(
                state,
                runners=runners.record_failure(
                    state.runners, at_fault, event.at
                ),
            )
        return transitions.Transition(state, (count_effect,)).then(
            lambda current: leave_crashed(call.send_id, event.at, current)
        )
    exchange = state.exchanges[open_attempt.exchange.request_id]
    return hedges.send_beside(
        exchange, unmoved, f'move {verdict.value}', event.at, state
    ).with_effects(count_effect)


@reducer.on_failure.register(calls.MoveRequest)
def handle_move_failure(
    call: calls.MoveRequest, event: events.CallFailed, state: 'states.State'
) -> reducer.Transition:
    """Keep the attempt open: the order may have been carried out."""
    count_effect = effects.Count('moves', ('unanswered',))
    open_attempt = open_attempts.find_open_attempt(call.send_id, state)
    if open_attempt is None:
        return transitions.Transition(state, (count_effect,))
    unmoved = dataclasses.replace(open_attempt.attempt, pending_chain=())
    return transitions.Transition(
        store_moved(open_attempt, unmoved, state), (count_effect,)
    )


def leave_crashed(
    send_id: str, now: float, state: 'states.State'
) -> reducer.Transition:
    """Move a request again if a runner of its chain has crashed meanwhile."""
    open_attempt = open_attempts.find_open_attempt(send_id, state)
    crashed = fault_reports.list_crashed(state.faults, state.runners, now)
    if open_attempt is None or not is_movable(open_attempt.attempt, crashed):
        return transitions.Transition(state)
    return move_attempt(
        open_attempt.exchange, open_attempt.attempt, crashed, now, state
    )


def is_movable(attempt: exchanges.Attempt, faulty: frozenset[str]) -> bool:
    """Return whether another part than the first runner is faulty.

    The connection to a first runner that has crashed ends by itself, and the
    request is then sent elsewhere.
    """
    return attempt.runner_id not in faulty and is_affected(attempt, faulty)


def adopt_chain(
    open_attempt: open_attempts.OpenAttempt,
    chain: requests.Chain,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Store the new chain of an attempt."""
    moved = dataclasses.replace(
        open_attempt.attempt,
        chain=chain,
        pending_chain=(),
        last_received_at=now,
    )
    return transitions.Transition(
        store_moved(open_attempt, moved, state),
        (
            relay_effects.LogDecision(
                'stream_moved',
                (
                    ('request', open_attempt.exchange.request.attempt_id),
                    ('chain', dispatch.format_chain(chain)),
                ),
            ),
        ),
    )


def store_moved(
    open_attempt: open_attempts.OpenAttempt,
    moved: exchanges.Attempt,
    state: 'states.State',
) -> 'states.State':
    """Store an attempt whose chain changes, and move its load with it.

    The load counts at the new chain from the order on, so that the next
    requests to move choose other substitutes.
    """
    load_map = loads.add_chain(
        completion.remove_load(state.loads, open_attempt.attempt),
        moved.loaded_chain,
        moved.estimated_tokens,
        1,
    )
    stored = open_attempts.store_attempt(open_attempt, moved, state)
    return dataclasses.replace(stored, loads=load_map)
