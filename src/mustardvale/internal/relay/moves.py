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
    endings,
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
PROBE_FIRST_SECONDS = 0.15
PROBE_PAUSE_SECONDS = 0.3
# Reports are some hundred milliseconds old, so the first may not show a fault.
PROBE_PERIOD_SECONDS = 0.2
PROBE_ANSWER_SECONDS = 0.25
MOVE_ANSWER_SECONDS = 0.4
# A runner that was reported as the one that others wait for is left alone for
# about as long as the platform takes to drop its entry.
BLAME_SECONDS = 4.0
# Nothing at all goes there for a part of that time, after which it may be
# tried where nothing else is left.
SHUN_SECONDS = 2.0
MAXIMUM_MOVES = 4


def probe(
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
                PROBE_ANSWER_SECONDS,
            ),
            effects.Count('probes', ()),
        ),
    )


def is_silent(attempt: exchanges.Attempt, now: float) -> bool:
    """Return whether nothing has come for longer than usual."""
    limit = PROBE_PAUSE_SECONDS
    if attempt.first_heard_at is None:
        limit = PROBE_FIRST_SECONDS
    return now - attempt.heard_at >= limit


@reducer.on_answer.register(calls.ProbeRunner)
def take_probe(
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
    return blame(blamed, 'stalled', event.at, state).then(
        lambda next_state: move_all(blamed, event.at, next_state)
    )


@reducer.on_failure.register(calls.ProbeRunner)
def take_lost_probe(
    call: calls.ProbeRunner, event: events.CallFailed, state: 'states.State'
) -> reducer.Transition:
    """Blame a first runner that does not answer, if it is silent besides."""
    heard = state.heard.get(call.runner_id, 0.0)
    flowing = event.at - heard < PROBE_FIRST_SECONDS
    if flowing or event.at < state.held_up_until:
        return transitions.Transition(state)
    blamed = frozenset((call.runner_id,))
    return blame(blamed, 'unreachable', event.at, state).then(
        lambda next_state: move_all(blamed, event.at, next_state)
    )


def blame(
    blamed: frozenset[str], reason: str, now: float, state: 'states.State'
) -> reducer.Transition:
    """Let other runners go first for a while."""
    table = state.runners
    fresh = []
    for runner_id in sorted(blamed):
        known = table[runner_id]
        if known.avoid_until < now + BLAME_SECONDS / 2:
            fresh.append(runner_id)
            table = runners.avoid(table, runner_id, now + BLAME_SECONDS)
            table = runners.shun(table, runner_id, now + SHUN_SECONDS)
    logged = tuple(
        relay_effects.LogDecision(
            'runner_blamed', (('runner', runner_id), ('reason', reason))
        )
        for runner_id in fresh
    )
    return transitions.Transition(
        dataclasses.replace(state, runners=table), logged
    )


def move_all(
    faulty: frozenset[str], now: float, state: 'states.State'
) -> reducer.Transition:
    """Move every request whose chain has a faulty part."""
    affected = [
        answers.Open(exchange, attempt)
        for exchange in state.exchanges.values()
        for attempt in exchange.attempts
        if uses(attempt, faulty)
    ]
    return transitions.Transition(state).then_each(
        affected,
        lambda found, next_state: move(
            next_state.exchanges[found.exchange.request_id],
            found.attempt,
            faulty,
            now,
            next_state,
        ),
    )


def uses(attempt: exchanges.Attempt, faulty: frozenset[str]) -> bool:
    """Return whether the chain of an attempt has a faulty part."""
    return any(part.runner_id in faulty for part in attempt.chain)


def move(
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
        return start_again(exchange, attempt, 'first runner fails', now, state)
    chain = repair(exchange, attempt, faulty, now, state)
    if chain is None:
        return start_again(exchange, attempt, 'no substitute', now, state)
    moving = dataclasses.replace(
        attempt, moving_to=chain, moves=attempt.moves + 1, heard_at=now
    )
    next_state = answers.keep(answers.Open(exchange, attempt), moving, state)
    call = calls.MoveRequest(
        attempt.runner_id,
        attempt.send_id,
        exchange.request.attempt_id,
        chain,
    )
    return transitions.Transition(
        next_state,
        (
            effects.Call(call, chain[0].address, MOVE_ANSWER_SECONDS),
            describe_move(exchange, attempt, chain, faulty, now),
        ),
    )


def describe_move(
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
            ('from', dispatch.describe_chain(attempt.chain)),
            ('to', dispatch.describe_chain(chain)),
            ('faulty', sorted(faulty)),
            ('last_event', exchange.last_event),
            ('silent_ms', int((now - attempt.heard_at) * 1000)),
        ),
    )


def start_again(
    exchange: exchanges.Exchange,
    attempt: exchanges.Attempt,
    problem: str,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Send a request elsewhere, if it may be and anything can take it.

    Otherwise it stays where it is: silence alone is no reason to end it.
    """
    rest = answers.note_failure(
        exchanges.without_attempt(exchange, attempt.send_id),
        attempt,
        problem,
    )
    if not dispatch.may_repeat(rest, now, state) or (
        dispatch.choose(rest, now, state) is None
    ):
        return transitions.Transition(state)
    found = answers.Open(exchange, attempt)
    return answers.replace_failed(found, problem, now, state)


def repair(
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
    candidates = without(
        dispatch.describe_candidates(
            service.engine, exchange.service, now, state
        ),
        attempt.chain,
    )
    work = dispatch.measure(exchange, service.engine)
    repaired: tuple[requests.ChainPart, ...] = ()
    for span in spans(attempt.chain, faulty):
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
            dispatch.link_loads(state),
        )
        if not substitutes:
            return None
        candidates = without(candidates, substitutes)
        repaired += substitutes
    return repaired


def spans(
    chain: requests.Chain, faulty: frozenset[str]
) -> list[requests.Chain]:
    """Split a chain where faulty parts begin or end."""
    split: list[requests.Chain] = []
    for part in chain:
        if split and is_alike(split[-1][-1], part, faulty):
            split[-1] = (*split[-1], part)
        else:
            split.append((part,))
    return split


def is_alike(
    one: requests.ChainPart,
    other: requests.ChainPart,
    faulty: frozenset[str],
) -> bool:
    """Return whether both parts are faulty, or none of them."""
    return (one.runner_id in faulty) == (other.runner_id in faulty)


def without(
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
def take_move(
    call: calls.MoveRequest, event: events.CallAnswered, state: 'states.State'
) -> reducer.Transition:
    """Take over the new chain, or try another way."""
    found = answers.find(call.send_id, state)
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
    state = answers.keep(found, stopped, state)
    if verdict is calls.OrderVerdict.CONFLICT:
        at_fault = runners.find_address(state.runners, answer.fault_address)
        if at_fault is not None:
            state = dataclasses.replace(
                state,
                runners=runners.failed(state.runners, at_fault, event.at),
            )
        return transitions.Transition(state, (counted,))
    exchange = state.exchanges[found.exchange.request_id]
    return start_again(
        exchange, stopped, f'move {verdict.value}', event.at, state
    ).with_effects(counted)


@reducer.on_failure.register(calls.MoveRequest)
def take_lost_move(
    call: calls.MoveRequest, event: events.CallFailed, state: 'states.State'
) -> reducer.Transition:
    """Go on watching: the order may have been carried out."""
    counted = effects.Count('moves', ('unanswered',))
    found = answers.find(call.send_id, state)
    if found is None:
        return transitions.Transition(state, (counted,))
    stopped = dataclasses.replace(found.attempt, moving_to=())
    return transitions.Transition(
        answers.keep(found, stopped, state), (counted,)
    )


def adopt_chain(
    found: answers.Open,
    chain: requests.Chain,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Count an attempt on its new chain."""
    moved = dataclasses.replace(
        found.attempt, chain=chain, moving_to=(), heard_at=now
    )
    table = endings.release(state.loads, found.attempt)
    table = loads.add_chain(table, chain, moved.tokens, 1)
    kept = answers.keep(found, moved, state)
    return transitions.Transition(
        dataclasses.replace(kept, loads=table),
        (
            relay_effects.LogDecision(
                'stream_moved',
                (
                    ('request', found.exchange.request.attempt_id),
                    ('chain', dispatch.describe_chain(chain)),
                ),
            ),
        ),
    )
