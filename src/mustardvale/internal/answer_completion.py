"""End model answers and release their resources."""

import dataclasses
import functools
import typing

from mustardvale import errors
from mustardvale.internal import (
    admission,
    caller_messages,
    calls,
    effects,
    events,
    generations,
    reducer,
    refusals,
    suspects,
    timers,
    transitions,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

CLOSE_TIMEOUT_SECONDS = 2.0
SUSPECT_MESSAGE = 'runners crashed while they ran this request'


def with_generation(
    generation: generations.Generation,
    state: 'states.State',
) -> 'states.State':
    """Return the state with a generation added or replaced."""
    updated = state.generations.set(generation.request_id, generation)
    return dataclasses.replace(state, generations=updated)


def without_generation(
    request_id: str,
    state: 'states.State',
) -> 'states.State':
    """Return the state without a generation."""
    remaining = state.generations.delete(request_id)
    return dataclasses.replace(state, generations=remaining)


def complete_answer(
    generation: generations.Generation,
    event: events.Event,
    state: 'states.State',
    token_effects: tuple[effects.Effect, ...] = (),
) -> transitions.Transition['states.State']:
    """Send the final part of an answer and release its resources.

    `token_effects` are the effects of the last token, which precede it.
    """
    end = caller_messages.AnswerEnd(
        generation.sent_token_count, generation.model.version
    )
    state = suspects.clear_losses(
        generation.fingerprint, event.wall_time, state
    )
    observed = admission.observe_answer(
        generation.request_id,
        generation.model.name,
        generation.token_gap_seconds,
        event.at,
        state,
    )
    return observed.then(
        functools.partial(release_answer, generation)
    ).with_effects(
        *token_effects,
        effects.StreamEnd(generation.request_id, end),
        effects.Count('answers', ('complete',)),
        effects.RecordSpan(
            'answer',
            generation.request.traceparent,
            generation.started_at,
            event.at,
            (('request', generation.request_id),),
        ),
    )


def release_answer(
    generation: generations.Generation,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Remove an answer, close its sessions and cancel its deadline."""
    if generation.request_id in state.generations:
        state = without_generation(generation.request_id, state)
    timer = timers.AnswerDeadline(generation.request_id)
    return admission.release_request(generation.request_id, state).with_effects(
        effects.CancelTimer(timer),
        *close_sessions(generation),
    )


def close_sessions(
    generation: generations.Generation,
) -> tuple[effects.Effect, ...]:
    """Close the sessions of the current attempt on all its runners."""
    call = calls.CloseSession(generation.session)
    return tuple(
        effects.Call(call, stage.address, CLOSE_TIMEOUT_SECONDS)
        for stage in generation.chain
    )


def abort_answer(
    generation: generations.Generation,
    code: errors.ErrorCode,
    message: str,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """End an answer with an error instead of its final part."""
    error = caller_messages.RequestError(code, message, errors.Outcome.UNKNOWN)
    answer: effects.Effect = effects.Reply(generation.request_id, error)
    if generation.first_token_at:
        answer = effects.StreamEnd(generation.request_id, error)
    return release_answer(generation, state).with_effects(
        answer,
        effects.Count('answers', (code.name,)),
    )


@reducer.on_timer.register(timers.AnswerDeadline)
def expire_answer(
    timer: timers.AnswerDeadline,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Abort an answer whose deadline has passed."""
    generation = state.generations.get(timer.request_id)
    if generation is None:
        return transitions.Transition(state)
    return abort_answer(
        generation,
        errors.DEADLINE_EXCEEDED,
        f'the answer stopped after {generation.sent_token_count} tokens',
        state,
    )


@reducer.on_timer.register(timers.SuspectCheckDue)
def abort_suspects(
    timer: timers.SuspectCheckDue,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Abort the answers of requests that have crashed too many runners."""
    transition = transitions.Transition(state)
    for generation in state.generations.values():
        if suspects.is_refused(generation.fingerprint, event.wall_time, state):
            transition = transition.then(
                functools.partial(
                    abort_answer,
                    generation,
                    errors.SUSPECT_REQUEST,
                    SUSPECT_MESSAGE,
                ),
            )
    return transition


@reducer.reduce.register(events.CallerLeft)
def cancel_answer(
    event: events.CallerLeft,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Cancel the answer of a caller that disconnected."""
    generation = state.generations.get(event.request_id)
    if generation is None:
        return admission.cancel_waiting(event.request_id, state)
    return release_answer(generation, state).with_effects(
        effects.Count('answers', ('caller_left',)),
    )


def refuse_admitted(
    request_id: str,
    code: errors.ErrorCode,
    message: str,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Refuse an admitted request of which nothing has been sent."""
    return refusals.refuse(request_id, code, message, state).then(
        functools.partial(admission.release_request, request_id),
    )
