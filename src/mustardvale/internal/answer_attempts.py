"""Start attempts at model answers and restart those that fail."""

import dataclasses
import functools
import typing

from mustardvale import errors
from mustardvale.internal import (
    answer_completion,
    chains,
    effects,
    events,
    generations,
    prefixes,
    reducer,
    retries,
    step_calls,
    suspects,
    timers,
    transitions,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

MAXIMUM_ATTEMPTS = 5
RESTART_DELAY_SECONDS = 0.05


def start_attempt(
    generation: generations.Generation,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Choose a chain and send the prefill, or wait until there is a chain."""
    if generation.is_complete:
        return answer_completion.complete_answer(generation, event, state)
    chain = find_chain(generation, event, state)
    state = chains.with_selection_state(chain.selection_state, state)
    if not chain.stages:
        return wait_for_chain(generation, state)
    started = generations.start_attempt(generation, chain.stages, event.at)
    step = generations.build_first_step(started)
    return step_calls.enqueue(
        started.current_stage.address,
        step,
        answer_completion.with_generation(started, state),
    )


def find_chain(
    generation: generations.Generation,
    event: events.Event,
    state: 'states.State',
) -> chains.Chain:
    """Choose a chain, avoiding runners that failed if possible."""
    request = chains.ChainRequest(
        generation.model,
        generation.request.adapter,
        generation.failed_upstreams,
        len(generation.tokens),
        prefixes.find_cached(generation, state),
    )
    choose = functools.partial(
        chains.choose_chain,
        table=state.upstreams,
        policy=state.policy,
        selection_state=chains.SelectionState(
            state.seed, state.round_robin_counts
        ),
        now=event.at,
    )
    chain = choose(request)
    if chain.stages or not request.excluded_ids:
        return chain
    return choose(dataclasses.replace(request, excluded_ids=frozenset()))


def wait_for_chain(
    generation: generations.Generation,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Refuse a new request, or schedule a retry for an answer in flight."""
    if generation.attempt == 0:
        return answer_completion.refuse_admitted(
            generation.request_id,
            errors.NO_UPSTREAM,
            f'no runners hold all layers of {generation.model.name}',
            state,
        )
    timer = timers.AttemptRestartDue(generation.request_id, generation.attempt)
    return transitions.Transition(
        answer_completion.with_generation(generation, state),
        (effects.SetTimer(timer, RESTART_DELAY_SECONDS),),
    )


@reducer.on_timer.register(timers.AttemptRestartDue)
def restart_attempt(
    timer: timers.AttemptRestartDue,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Start the next attempt unless it runs or the request is refused."""
    generation = state.generations.get(timer.request_id)
    if generation is None or generation.attempt != timer.attempt:
        return transitions.Transition(state)
    refused = suspects.is_refused(
        generation.fingerprint, event.wall_time, state
    )
    if generation.chain or refused:
        return transitions.Transition(state)
    return start_attempt(generation, event, state)


def restart_elsewhere(
    generation: generations.Generation,
    problem: str,
    event: events.CallAnswered | events.CallFailed,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Abandon the current attempt and start another on a different chain."""
    abandoned = generations.abandon_attempt(
        generation,
        generation.current_stage.instance_id,
        problem,
    )
    closed = answer_completion.close_sessions(generation)
    count = effects.Count('attempts_abandoned', (problem,))
    if suspects.is_refused(generation.fingerprint, event.wall_time, state):
        # The `SuspectCheckDue` timer is set and aborts the answer.
        return transitions.Transition(
            answer_completion.with_generation(abandoned, state),
            (*closed, count),
        )
    withdrawal = retries.withdraw(problem, state)
    state = withdrawal.state
    if generation.attempt >= MAXIMUM_ATTEMPTS or not withdrawal.is_granted:
        return answer_completion.abort_answer(
            abandoned,
            errors.NO_UPSTREAM,
            f'{generation.attempt} attempts failed, the last one: {problem}',
            state,
        ).with_effects(*closed, count)
    state = answer_completion.with_generation(abandoned, state)
    if suspects.is_isolated(generation.fingerprint, state):
        # Copies of the request may be running on other runners; the delay lets
        # their results show first whether the request crashes runners.
        return wait_for_chain(abandoned, state).with_effects(*closed, count)
    return start_attempt(abandoned, event, state).with_effects(*closed, count)
