"""Take the results of steps and go on with their answers."""

import dataclasses
import functools
import typing

from mustardvale.internal import (
    answer_attempts,
    answer_ends,
    calls,
    effects,
    events,
    generations,
    limits,
    reducer,
    caller_messages,
    retries,
    step_calls,
    suspects,
    transitions,
    upstreams,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states


@reducer.on_answer.register(calls.RunSteps)
def take_steps_answer(
    call: calls.RunSteps,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Take the results of a call, or fail its steps if it was refused."""
    transition = step_calls.end_call(event, call, state)
    if isinstance(event.answer, calls.StepsRefused):
        problem = f'status {event.answer.status}'
        if event.answer.leaving:
            problem = retries.LEAVING
            transition = transition.then(
                lambda now: transitions.Transition(
                    upstreams.mark_leaving(event.address, now),
                ),
            )
        return fail_steps(call, problem, event, transition)
    for answered in event.answer.results:
        transition = transition.then(
            functools.partial(take_result, answered, event),
        )
    return transition


@reducer.on_failure.register(calls.RunSteps)
def take_steps_failure(
    call: calls.RunSteps,
    event: events.CallFailed,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Eject the runner and restart the answers whose steps are lost."""
    marks = find_marks(call, event.address, state)
    transition = (
        suspects.blame(call, marks, event, state)
        .then(functools.partial(step_calls.end_call, event, call))
        .then(lambda now: upstreams.eject(event.address, event, now))
    )
    return fail_steps(call, event.failure.kind.value, event, transition)


def find_marks(
    call: calls.RunSteps,
    address: str,
    state: 'states.State',
) -> frozenset[str]:
    """Return the fingerprints of the requests whose steps are awaited."""
    found = []
    for step in call.steps:
        request_id = generations.request_of(step.session)
        generation = state.generations.get(request_id)
        lost = calls.StepResult(step.session, step.position)
        if generation is not None and generations.is_awaited(
            generation,
            address,
            lost,
        ):
            found.append(generation.fingerprint)
    return frozenset(found)


def fail_steps(
    call: calls.RunSteps,
    problem: str,
    event: events.CallAnswered | events.CallFailed,
    transition: transitions.Transition['states.State'],
) -> transitions.Transition['states.State']:
    """Restart the answers whose steps a call did not run."""
    for step in call.steps:
        lost = calls.StepResult(step.session, step.position, error=problem)
        transition = transition.then(
            functools.partial(take_result, lost, event),
        )
    return transition


def take_result(
    answered: calls.StepResult,
    event: events.CallAnswered | events.CallFailed,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Take the result of one step, unless it is no longer awaited."""
    request_id = generations.request_of(answered.session)
    generation = state.generations.get(request_id)
    if generation is None or not generations.is_awaited(
        generation,
        event.address,
        answered,
    ):
        return transitions.Transition(
            state,
            (effects.Count('late_step_results'),),
        )
    if answered.error:
        return answer_attempts.restart_elsewhere(
            generation, answered.error, event, state
        )
    if generation.stage + 1 < len(generation.chain):
        return send_to_next_stage(generation, answered, event, state)
    return deliver_token(generation, answered.outputs[0], event, state)


def send_to_next_stage(
    generation: generations.Generation,
    answered: calls.StepResult,
    event: events.CallAnswered | events.CallFailed,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Send the outputs of a stage to the next one."""
    if len(answered.outputs) != generation.inputs:
        return answer_attempts.restart_elsewhere(
            generation, 'malformed', event, state
        )
    span = stage_span(generation, event)
    moved = generations.next_stage(generation, event.at)
    step = generations.build_step(moved, answered.outputs)
    return step_calls.enqueue(
        moved.current_stage.address,
        step,
        answer_ends.with_generation(moved, state),
    ).with_effects(span)


def deliver_token(
    generation: generations.Generation,
    token: str,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Send a token to the caller and go on with the next position."""
    moved = generations.take_token(generation, token, event.at)
    charged = limits.charge(moved.account, 1, event.at, state.limits)
    state = dataclasses.replace(state, limits=charged)
    part = caller_messages.TokenPart(moved.sent_tokens - 1, token)
    sent: tuple[effects.Effect, ...] = (
        effects.StreamPart(moved.request_id, part),
        effects.Count('tokens', (moved.account,)),
        stage_span(generation, event),
        token_latency(generation, event),
    )
    if moved.is_complete:
        return answer_ends.complete(moved, event, state, sent)
    if moved.blocked:
        moved = dataclasses.replace(moved, ready_step=True)
        return transitions.Transition(
            answer_ends.with_generation(moved, state), sent
        )
    return send_first_step(moved, state).with_effects(*sent)


def send_first_step(
    generation: generations.Generation,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Send the step of the next position to the first stage."""
    return step_calls.enqueue(
        generation.current_stage.address,
        generations.first_step(generation),
        answer_ends.with_generation(generation, state),
    )


def token_latency(
    generation: generations.Generation,
    event: events.Event,
) -> effects.Effect:
    """Observe the time to the first token or between two tokens."""
    if not generation.first_token_at:
        waited = event.at - generation.started_at
        return effects.Observe('first_token_seconds', waited)
    waited = event.at - generation.last_token_at
    return effects.Observe('between_tokens_seconds', waited)


def stage_span(
    generation: generations.Generation,
    event: events.Event,
) -> effects.Effect:
    """Record the hop to one stage for one step."""
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
def pause(
    event: events.CallerBlocked,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Send no further step for a caller that reads slowly."""
    generation = state.generations.get(event.request_id)
    if generation is None:
        return transitions.Transition(state)
    blocked = dataclasses.replace(generation, blocked=True, paced=False)
    return transitions.Transition(answer_ends.with_generation(blocked, state))


@reducer.reduce.register(events.CallerCaughtUp)
def resume(
    event: events.CallerCaughtUp,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Go on with the answer of a caller that has caught up."""
    generation = state.generations.get(event.request_id)
    if generation is None:
        return transitions.Transition(state)
    ready = generation.ready_step
    resumed = dataclasses.replace(generation, blocked=False, ready_step=False)
    if not ready:
        return transitions.Transition(
            answer_ends.with_generation(resumed, state)
        )
    return send_first_step(resumed, state)
