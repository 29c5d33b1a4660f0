"""Move running model requests away from parts of their chains that fail.

The first runner of a chain reports which requests wait for a part that does
not answer. A moved request keeps what its other parts hold; only the new part
reads its tokens again, which a send from the beginning would do everywhere.
"""

import dataclasses
import typing
from collections import abc

from mustardvale.internal import effects, events, transitions
from mustardvale.internal.relay import (
    answers,
    calls,
    chains,
    dispatch,
    completion,
    exchanges,
    loads,
    reducer,
    requests,
    runners,
)
from mustardvale.internal.relay import effects as relay_effects

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

# A request without its first event is looked into after this time, early
# enough to be on time elsewhere. A stream that pauses is late before a report
# can tell why, so that it has more time to go on by itself.
FIRST_EVENT_PROBE_SECONDS = 0.15
STREAM_PAUSE_PROBE_SECONDS = 0.3
# Reports are some hundred milliseconds old, so the first may not show a fault.
PROBE_PERIOD_SECONDS = 0.2
PROBE_TIMEOUT_SECONDS = 0.25
MOVE_TIMEOUT_SECONDS = 0.4
# A runner that was reported as the one that others wait for is left alone for
# about as long as the platform takes to drop its entry.
FAULT_AVOID_SECONDS = 4.0
# Nothing at all goes there for a part of that time, after which it may be
# tried where nothing else is left.
FAULT_EXCLUSION_SECONDS = 2.0
MAXIMUM_MOVES = 4


def probe_first_runner(
    attempt: exchanges.Attempt, now: float, state: 'states.State'
) -> reducer.Transition:
    """Ask the first runner of a silent stream what it waits for."""
    if not attempt.sent or not is_silent(attempt, now):
        return transitions.Transition(state)
    asked = state.probes.get(attempt.runner_id, 0.0)
    runner = state.runners.get(attempt.runner_id)
    if runner is None or now - asked < PROBE_PERIOD_SECONDS:
        return transitions.Transition(state)
    return transitions.Transition(
        dataclasses.replace(
            state, probes=state.probes.set(attempt.runner_id, now)
        ),
        (
            effects.Call(
                calls.ProbeRunner(attempt.runner_id),
                runner.listed.address,
                PROBE_TIMEOUT_SECONDS,
            ),
            effects.Count('probes', ()),
        ),
    )


def is_silent(attempt: exchanges.Attempt, now: float) -> bool:
    """Return whether nothing has come for longer than usual."""
    limit = STREAM_PAUSE_PROBE_SECONDS
    if attempt.first_heard_at is None:
        limit = FIRST_EVENT_PROBE_SECONDS
    return now - attempt.heard_at >= limit


@reducer.on_answer.register(calls.ProbeRunner)
def handle_probe_answer(
    call: calls.ProbeRunner, event: events.CallAnswered, state: 'states.State'
) -> reducer.Transition:
    """Blame the parts that requests wait for, and move the requests."""
    report = event.answer
    if not isinstance(report, calls.RunnerReport):
        return transitions.Transition(state)
    table = runners.paced(state.runners, call.runner_id, report.pace, event.at)
    state = dataclasses.replace(state, runners=table)
    at_fault = {
        runners.find_address(state.runners, stalled.fault_address)
        for stalled in report.stalled
    } - {None}
    if not at_fault:
        return transitions.Transition(state)
    blamed = frozenset(runner_id for runner_id in at_fault if runner_id)
    return mark_faulty(blamed, 'stalled', event.at, state).then(
        lambda next_state: move_affected(blamed, event.at, next_state)
    )


@reducer.on_failure.register(calls.ProbeRunner)
def handle_probe_failure(
    call: calls.ProbeRunner, event: events.CallFailed, state: 'states.State'
) -> reducer.Transition:
    """Blame a first runner that does not answer, if it is silent besides."""
    heard = state.heard.get(call.runner_id, 0.0)
    flowing = event.at - heard < FIRST_EVENT_PROBE_SECONDS
    if flowing or event.at < state.held_up_until:
        return transitions.Transition(state)
    blamed = frozenset((call.runner_id,))
    return mark_faulty(blamed, 'unreachable', event.at, state).then(
        lambda next_state: move_affected(blamed, event.at, next_state)
    )


def mark_faulty(
    faulty: frozenset[str], reason: str, now: float, state: 'states.State'
) -> reducer.Transition:
    """Let other runners go first for a while."""
    table = state.runners
    fresh = []
    for runner_id in sorted(faulty):
        known = table[runner_id]
        if known.avoid_until < now + FAULT_AVOID_SECONDS / 2:
            fresh.append(runner_id)
            table = runners.avoid(table, runner_id, now + FAULT_AVOID_SECONDS)
            table = runners.shun(
                table, runner_id, now + FAULT_EXCLUSION_SECONDS
            )
    logged = tuple(
        relay_effects.LogDecision(
            'runner_blamed', (('runner', runner_id), ('reason', reason))
        )
        for runner_id in fresh
    )
    return transitions.Transition(
        dataclasses.replace(state, runners=table), logged
    )


def move_affected(
    faulty: frozenset[str], now: float, state: 'states.State'
) -> reducer.Transition:
    """Move every request whose chain has a faulty part."""
    affected = [
        answers.OpenAttempt(exchange, attempt)
        for exchange in state.exchanges.values()
        for attempt in exchange.attempts
        if is_affected(attempt, faulty)
    ]
    return transitions.Transition(state).then_each(
        affected,
        lambda found, next_state: move_attempt(
            next_state.exchanges[found.exchange.request_id],
            found.attempt,
            faulty,
            now,
            next_state,
        ),
    )


def is_affected(attempt: exchanges.Attempt, faulty: frozenset[str]) -> bool:
    """Return whether the chain of an attempt has a faulty part."""
    return any(part.runner_id in faulty for part in attempt.chain)


def move_attempt(
    exchange: exchanges.Exchange,
    attempt: exchanges.Attempt,
    faulty: frozenset[str],
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Order the first runner to go on without the faulty parts.

    A request whose first runner is at fault starts again elsewhere instead.
    """
    if attempt.moving_to or not attempt.sent:
        return transitions.Transition(state)
    if attempt.runner_id in faulty or attempt.moves >= MAXIMUM_MOVES:
        return restart_elsewhere(
            exchange, attempt, 'first runner fails', now, state
        )
    chain = replace_faulty_parts(exchange, attempt, faulty, now, state)
    if chain is None:
        return restart_elsewhere(exchange, attempt, 'no substitute', now, state)
    moving = dataclasses.replace(
        attempt, moving_to=chain, moves=attempt.moves + 1, heard_at=now
    )
    next_state = answers.store_attempt(
        answers.OpenAttempt(exchange, attempt), moving, state
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
    """Return the log line of an order to move."""
    return relay_effects.LogDecision(
        'stream_moving',
        (
            ('request', exchange.request.attempt_id),
            ('from', dispatch.format_chain(attempt.chain)),
            ('to', dispatch.format_chain(chain)),
            ('faulty', sorted(faulty)),
            ('last_event', exchange.last_event),
            ('silent_ms', int((now - attempt.heard_at) * 1000)),
        ),
    )


def restart_elsewhere(
    exchange: exchanges.Exchange,
    attempt: exchanges.Attempt,
    problem: str,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Send a request elsewhere, if it may be and anything can take it.

    Otherwise it stays where it is: silence alone is no reason to end it.
    """
    rest = answers.record_failed_attempt(
        exchanges.without_attempt(exchange, attempt.send_id),
        attempt,
        problem,
    )
    if not dispatch.may_retry(rest, now, state) or (
        dispatch.choose_target(rest, now, state) is None
    ):
        return transitions.Transition(state)
    found = answers.OpenAttempt(exchange, attempt)
    return answers.retry_failed(found, problem, now, state)


def replace_faulty_parts(
    exchange: exchanges.Exchange,
    attempt: exchanges.Attempt,
    faulty: frozenset[str],
    now: float,
    state: 'states.State',
) -> requests.Chain | None:
    """Return a chain with substitutes for the faulty parts, if there is one."""
    active = state.configuration.active
    service = active.services.get(exchange.service) if active else None
    if service is None or service.engine is None:
        return None
    candidates = exclude_runners(
        dispatch.list_candidates(service.engine, exchange.service, now, state),
        attempt.chain,
    )
    work = dispatch.estimate_work(exchange, service.engine)
    repaired: tuple[requests.ChainPart, ...] = ()
    for span in split_at_faults(attempt.chain, faulty):
        first, last = span[0], span[-1]
        if first.runner_id not in faulty:
            repaired += span
            continue
        missing = chains.Span(
            first.first_layer, last.end_layer, repaired[-1].zone
        )
        substitutes = chains.find(
            service.engine,
            candidates,
            work,
            missing,
            state.seed,
            dispatch.build_link_load_lookup(state),
        )
        if not substitutes:
            return None
        candidates = exclude_runners(candidates, substitutes)
        repaired += substitutes
    return repaired


def split_at_faults(
    chain: requests.Chain, faulty: frozenset[str]
) -> list[requests.Chain]:
    """Split a chain where faulty parts begin or end."""
    split: list[requests.Chain] = []
    for part in chain:
        if split and is_same_health(split[-1][-1], part, faulty):
            split[-1] = (*split[-1], part)
        else:
            split.append((part,))
    return split


def is_same_health(
    one: requests.ChainPart,
    other: requests.ChainPart,
    faulty: frozenset[str],
) -> bool:
    """Return whether both parts are faulty, or none of them."""
    return (one.runner_id in faulty) == (other.runner_id in faulty)


def exclude_runners(
    candidates: abc.Sequence[chains.Candidate], chain: requests.Chain
) -> tuple[chains.Candidate, ...]:
    """Leave out the runners of a chain."""
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
    """Take over the new chain, or try another way."""
    found = answers.find_open_attempt(call.send_id, state)
    if found is None:
        return transitions.Transition(state)
    answer = event.answer
    verdict = (
        answer.verdict
        if isinstance(answer, calls.OrderAnswer)
        else calls.OrderVerdict.REFUSED
    )
    counted = effects.Count('moves', (verdict.value,))
    if verdict in {calls.OrderVerdict.BEGUN, calls.OrderVerdict.HOLDS}:
        return adopt_chain(found, call.chain, event.at, state).with_effects(
            counted
        )
    stopped = dataclasses.replace(found.attempt, moving_to=())
    state = answers.store_attempt(found, stopped, state)
    if verdict is calls.OrderVerdict.CONFLICT:
        at_fault = runners.find_address(state.runners, answer.fault_address)
        if at_fault is not None:
            state = dataclasses.replace(
                state,
                runners=runners.failed(state.runners, at_fault, event.at),
            )
        return transitions.Transition(state, (counted,))
    exchange = state.exchanges[found.exchange.request_id]
    return restart_elsewhere(
        exchange, stopped, f'move {verdict.value}', event.at, state
    ).with_effects(counted)


@reducer.on_failure.register(calls.MoveRequest)
def handle_move_failure(
    call: calls.MoveRequest, event: events.CallFailed, state: 'states.State'
) -> reducer.Transition:
    """Go on watching: the order may have been carried out."""
    counted = effects.Count('moves', ('unanswered',))
    found = answers.find_open_attempt(call.send_id, state)
    if found is None:
        return transitions.Transition(state, (counted,))
    stopped = dataclasses.replace(found.attempt, moving_to=())
    return transitions.Transition(
        answers.store_attempt(found, stopped, state), (counted,)
    )


def adopt_chain(
    found: answers.OpenAttempt,
    chain: requests.Chain,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Count an attempt on its new chain."""
    moved = dataclasses.replace(
        found.attempt, chain=chain, moving_to=(), heard_at=now
    )
    table = completion.remove_load(state.loads, found.attempt)
    table = loads.add_chain(table, chain, moved.tokens, 1)
    kept = answers.store_attempt(found, moved, state)
    return transitions.Transition(
        dataclasses.replace(kept, loads=table),
        (
            relay_effects.LogDecision(
                'stream_moved',
                (
                    ('request', found.exchange.request.attempt_id),
                    ('chain', dispatch.format_chain(chain)),
                ),
            ),
        ),
    )
