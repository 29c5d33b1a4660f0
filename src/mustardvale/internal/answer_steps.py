"""Handle the results of steps and advance their answers."""

import dataclasses
import functools
import typing

from mustardvale.internal import (
    answer_attempts,
    answer_completion,
    caller_messages,
    calls,
    effects,
    events,
    generations,
    limits,
    reducer,
    retries,
    step_calls,
    suspects,
    transitions,
    upstreams,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states


@reducer.on_answer.register(calls.RunSteps)
def handle_steps_answer(
    call: calls.RunSteps,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Handle the results of a call, or fail its steps if it was refused."""
    transition = step_calls.end_call(event, call, state)
    if isinstance(event.answer, calls.StepsRefused):
        problem = f'status {event.answer.status}'
        if event.answer.is_leaving:
            problem = retries.LEAVING
            transition = transition.then(
                lambda current: transitions.Transition(
                    upstreams.mark_leaving_at(event.address, current),
                ),
            )
        return fail_steps(call, problem, event, transition)
    for result in event.answer.results:
        transition = transition.then(
            functools.partial(handle_step_result, result, event),
        )
    return transition


@reducer.on_failure.register(calls.RunSteps)
def handle_steps_failure(
    call: calls.RunSteps,
    event: events.CallFailed,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Eject the runner and restart the answers whose steps were lost."""
    fingerprints = find_fingerprints(call, event.address, state)
    transition = (
        suspects.record_losses(call, fingerprints, event, state)
        .then(functools.partial(step_calls.end_call, event, call))
        .then(lambda current: upstreams.eject(event.address, event, current))
    )
    return fail_steps(call, event.failure.kind.value, event, transition)


def find_fingerprints(
    call: calls.RunSteps,
    address: str,
    state: 'states.State',
) -> frozenset[str]:
    """Return the fingerprints of requests that await a step of the call."""
    fingerprints = []
    for step in call.steps:
        request_id = generations.find_request_id(step.session)
        generation = state.generations.get(request_id)
        lost = calls.StepResult(step.session, step.position)
        if generation is not None and generations.is_awaited(
            generation,
            address,
            lost,
        ):
            fingerprints.append(generation.fingerprint)
    return frozenset(fingerprints)


def fail_steps(
    call: calls.RunSteps,
    problem: str,
    event: events.CallAnswered | events.CallFailed,
    transition: transitions.Transition['states.State'],
) -> transitions.Transition['states.State']:
    """Restart the answers whose steps the call did not run."""
    for step in call.steps:
        lost = calls.StepResult(step.session, step.position, error=problem)
        transition = transition.then(
            functools.partial(handle_step_result, lost, event),
        )
    return transition


def handle_step_result(
    result: calls.StepResult,
    event: events.CallAnswered | events.CallFailed,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Handle the result of one step, unless it is no longer awaited."""
    request_id = generations.find_request_id(result.session)
    generation = state.generations.get(request_id)
    if generation is None or not generations.is_awaited(
        generation,
        event.address,
        result,
    ):
        return transitions.Transition(
            state,
            (effects.Count('late_step_results'),),
        )
    if result.error:
        return answer_attempts.restart_elsewhere(
            generation, result.error, event, state
        )
    if generation.stage_index + 1 < len(generation.chain):
        return send_to_next_stage(generation, result, event, state)
    return deliver_token(generation, result.outputs[0], event, state)


def send_to_next_stage(
    generation: generations.Generation,
    result: calls.StepResult,
    event: events.CallAnswered | events.CallFailed,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Send the outputs of a stage to the next stage."""
    if len(result.outputs) != generation.input_count:
        return answer_attempts.restart_elsewhere(
            generation, 'malformed', event, state
        )
    span = record_stage_span(generation, event)
    advanced = generations.advance_stage(generation, event.at)
    step = generations.build_step(advanced, result.outputs)
    return step_calls.enqueue(
        advanced.current_stage.address,
        step,
        answer_completion.with_generation(advanced, state),
    ).with_effects(span)


def deliver_token(
    generation: generations.Generation,
    token: str,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Send a token to the caller and start the step of the next position."""
    advanced = generations.append_token(generation, token, event.at)
    charged = limits.charge(advanced.account, 1, event.at, state.limits)
    state = dataclasses.replace(state, limits=charged)
    part = caller_messages.TokenPart(advanced.sent_token_count - 1, token)
    token_effects: tuple[effects.Effect, ...] = (
        effects.StreamPart(advanced.request_id, part),
        effects.Count('tokens', (advanced.account,)),
        record_stage_span(generation, event),
        observe_token_latency(generation, event),
    )
    if advanced.is_complete:
        return answer_completion.complete_answer(
            advanced, event, state, token_effects
        )
    if advanced.is_blocked:
        advanced = dataclasses.replace(advanced, has_deferred_step=True)
        return transitions.Transition(
            answer_completion.with_generation(advanced, state), token_effects
        )
    return send_first_step(advanced, state).with_effects(*token_effects)


def send_first_step(
    generation: generations.Generation,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Send the step of the next position to the first stage."""
    return step_calls.enqueue(
        generation.current_stage.address,
        generations.build_first_step(generation),
        answer_completion.with_generation(generation, state),
    )


def observe_token_latency(
    generation: generations.Generation,
    event: events.Event,
) -> effects.Effect:
    """Record the time to the first token or between two tokens."""
    if not generation.first_token_at:
        waited_seconds = event.at - generation.started_at
        return effects.Observe('first_token_seconds', waited_seconds)
    waited_seconds = event.at - generation.last_token_at
    return effects.Observe('between_tokens_seconds', waited_seconds)


def record_stage_span(
    generation: generations.Generation,
    event: events.Event,
) -> effects.Effect:
    """Record a trace span for one step at one stage."""
    stage = generation.current_stage
    return effects.RecordSpan(
        'stage',
        generation.request.traceparent,
        generation.step_started_at,
        event.at,
        (
            ('upstream', stage.instance_id),
            ('session', generation.session),
            ('position', str(generation.position)),
        ),
    )


@reducer.reduce.register(events.CallerBlocked)
def pause_answer(
    event: events.CallerBlocked,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Pause the answer of a caller whose output buffer is full."""
    generation = state.generations.get(event.request_id)
    if generation is None:
        return transitions.Transition(state)
    blocked = dataclasses.replace(
        generation, is_blocked=True, is_uninterrupted=False
    )
    return transitions.Transition(
        answer_completion.with_generation(blocked, state)
    )


@reducer.reduce.register(events.CallerCaughtUp)
def resume_answer(
    event: events.CallerCaughtUp,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Resume the answer of a caller that has caught up."""
    generation = state.generations.get(event.request_id)
    if generation is None:
        return transitions.Transition(state)
    had_deferred_step = generation.has_deferred_step
    resumed = dataclasses.replace(
        generation, is_blocked=False, has_deferred_step=False
    )
    if not had_deferred_step:
        return transitions.Transition(
            answer_completion.with_generation(resumed, state)
        )
    return send_first_step(resumed, state)
