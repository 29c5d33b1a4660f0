"""Request model answers, resume them after errors and check their tokens."""

import dataclasses
import functools
import typing

from bench import (
    load_calls,
    load_client,
    load_history,
    load_requests,
    load_state,
    load_work,
)
from mustardvale.internal import caller_messages, effects, events, transitions
from standins import reference_model


@load_requests.build_call.register(load_work.AnswerWork)
def build_answer_call(
    work: load_work.AnswerWork,
    request: load_state.Request,
    account: str,
    deadline_seconds: float,
) -> load_calls.AnswerCall:
    """Build a call for the tokens that the caller does not have yet."""
    return load_calls.AnswerCall(
        request_id=request.request_id,
        call_number=request.call_count,
        account=account,
        model=work.model,
        adapter=work.adapter,
        prompt=work.prompt,
        delivered_tokens=request.tokens,
        maximum_tokens=work.maximum_tokens,
        deadline_seconds=deadline_seconds,
    )


@load_requests.build_start_fields.register(load_work.AnswerWork)
def build_answer_start_fields(
    work: load_work.AnswerWork,
    request: load_state.Request,
) -> dict[str, typing.Any]:
    """Build the fields of a `start` line for a model answer."""
    return {
        'target': work.model,
        'adapter': work.adapter,
        'prompt': work.prompt,
        'maximum_tokens': work.maximum_tokens,
        'delivered': len(request.tokens),
    }


def handle_part(
    call: load_calls.AnswerCall,
    event: events.CallPartArrived,
    state: load_state.State,
) -> load_state.Transition:
    """Dispatch a part of the current call; count parts of earlier calls."""
    request = load_requests.find_current_request(call, state)
    if request is None:
        return transitions.Transition(state, (effects.Count('late_parts'),))
    return on_part(event.part, request, event, state)


@functools.singledispatch
def on_part(
    part: typing.Any,
    request: load_state.Request,
    event: events.CallPartArrived,
    state: load_state.State,
) -> load_state.Transition:
    """Dispatch on the kind of part."""
    raise TypeError(type(part).__name__)


@on_part.register(caller_messages.TokenPart)
def handle_token(
    part: caller_messages.TokenPart,
    request: load_state.Request,
    event: events.CallPartArrived,
    state: load_state.State,
) -> load_state.Transition:
    """Add a token; one with an unexpected index ends the request as wrong."""
    if part.index != len(request.tokens):
        problem = f'token {part.index} in place of {len(request.tokens)}'
        return load_requests.finish_request(
            request, 'wrong', event, state, problem
        )
    updated_request = dataclasses.replace(
        request,
        tokens=(*request.tokens, part.token),
        last_token_at=event.at,
    )
    emitted = (
        observe_token(request, event),
        effects.Count('tokens', (str(event.at <= state.ends_at),)),
        *load_requests.build_stall_timer(updated_request, state),
    )
    is_first = len(request.tokens) == request.tokens_before_call
    if is_first or (
        event.at - request.tokens_recorded_at
        > load_history.TOKENS_PERIOD_SECONDS
    ):
        updated_request = dataclasses.replace(
            updated_request, tokens_recorded_at=event.at
        )
        record = load_requests.build_record(
            'tokens',
            updated_request,
            event,
            count=len(updated_request.tokens),
        )
        emitted = (*emitted, record)
    return transitions.Transition(
        load_state.with_request(updated_request, state), emitted
    )


def observe_token(
    request: load_state.Request,
    event: events.Event,
) -> effects.Effect:
    """Observe the time to the first token or since the previous one.

    Gaps between two calls count as well, because the caller waits for them.
    """
    if not request.tokens:
        latency_seconds = event.at - request.due_at
        return effects.Observe('first_token', latency_seconds)
    return effects.Observe('between_tokens', event.at - request.last_token_at)


@on_part.register(load_calls.AnswerEnd)
def handle_end(
    part: load_calls.AnswerEnd,
    request: load_state.Request,
    event: events.CallPartArrived,
    state: load_state.State,
) -> load_state.Transition:
    """Check a complete answer and end its request."""
    request = load_requests.close_segment(request, part.version)
    record = load_requests.build_record(
        'end',
        request,
        event,
        count=part.token_count,
        version=part.version,
    )
    problem = find_problem(request, part, state.plan)
    verdict = 'wrong' if problem else 'right'
    latency_seconds = event.at - request.due_at
    ended = load_requests.finish_request(
        request, verdict, event, state, problem
    )
    return transitions.Transition(
        ended.state,
        (
            record,
            effects.Observe('answer', latency_seconds),
            effects.Count('answers', (str(event.at <= state.ends_at),)),
            *ended.effects,
        ),
    )


@on_part.register(load_calls.CallError)
def handle_error_line(
    part: load_calls.CallError,
    request: load_state.Request,
    event: events.CallPartArrived,
    state: load_state.State,
) -> load_state.Transition:
    """Resume an answer whose stream ended with an error line."""
    return load_requests.handle_error(request, part, event, state)


def handle_closed_stream(
    call: load_calls.AnswerCall,
    event: events.CallAnswered,
    state: load_state.State,
) -> load_state.Transition:
    """Resume an answer that got an error, or a stream without an end mark."""
    request = load_requests.find_current_request(call, state)
    if request is None:
        return transitions.Transition(state)
    error = event.answer
    if isinstance(error, load_calls.StreamClosed):
        error = load_calls.CallError('truncated')
    return load_requests.handle_error(request, error, event, state)


def handle_stall(
    timer: load_state.StallTimeout,
    event: events.TimerFired,
    state: load_state.State,
) -> load_state.Transition:
    """Resume an answer at another entry address if its next token is overdue.

    The connection is closed as well, so that the entry instance stops producing
    an answer that no caller reads.
    """
    request = state.requests.get(timer.request_id)
    if request is None or request.call_count != timer.call_number:
        return transitions.Transition(state)
    error = load_calls.CallError('stalled')
    abandon = load_client.AbandonCall(timer.request_id, timer.call_number)
    return load_requests.handle_error(
        request,
        error,
        event,
        state,
    ).with_effects(abandon)


def find_problem(
    request: load_state.Request,
    end: load_calls.AnswerEnd,
    plan: load_state.LoadPlan,
) -> str:
    """Return a description of a wrong complete answer, or an empty string."""
    work = request.work
    assert isinstance(work, load_work.AnswerWork), 'only answers have tokens'
    if end.token_count != len(request.tokens):
        return f'end mark says {end.token_count}, got {len(request.tokens)}'
    if end.token_count != work.maximum_tokens:
        return f'{end.token_count} tokens, asked for {work.maximum_tokens}'
    for segment in request.segments:
        versions = (segment.version,) if segment.version else plan.versions
        if not any(
            has_reference_tokens(segment, version, request, plan)
            for version in versions
        ):
            return f'tokens {segment.first_index} to {segment.end_index} differ'
    return ''


def has_reference_tokens(
    segment: load_state.Segment,
    version: str,
    request: load_state.Request,
    plan: load_state.LoadPlan,
) -> bool:
    """Return whether a model version produces the tokens of a segment."""
    work = request.work
    assert isinstance(work, load_work.AnswerWork), 'only answers have tokens'
    model = plan.document.find_model(work.model)
    assert model is not None, 'the work was drawn from the document'
    count = segment.end_index - segment.first_index
    if not count:
        return True
    expected = reference_model.compute_answer(
        work.model,
        version,
        work.adapter,
        model.layers,
        work.prompt + request.tokens[: segment.first_index],
        count,
    )
    return expected == request.tokens[segment.first_index : segment.end_index]
