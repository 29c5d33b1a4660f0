"""Stream complete generations from an engine that holds all layers."""

import dataclasses
import typing

import immutables

from mustardvale.internal import (
    caller_messages,
    calls,
    effects,
    events,
    transitions,
)
from standins import engine, engine_batches, engine_faults, json_codec

# A stream can be resumed for this long after its caller has disconnected.
RESUME_WINDOW_SECONDS = 30.0

MISSING_LAYERS = json_codec.Refused(409, 'the engine does not hold all layers')
TOKENS_MISMATCH = json_codec.Refused(
    409,
    'the delivered tokens are not those of the session',
)
STREAM_IN_USE = json_codec.Refused(409, 'another caller reads the stream')


@dataclasses.dataclass(frozen=True, slots=True)
class StartStream:
    """Request a streamed generation, or the rest of one.

    `delivered` are the tokens that the caller already has. The stream of a
    known session continues after them; an unknown session is opened with the
    prompt and those tokens.
    """

    session: str
    model: str
    version: str
    prompt: tuple[str, ...]
    maximum_tokens: int
    adapter: str = ''
    delivered: tuple[str, ...] = ()
    priority: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEnded:
    """End a complete stream; `tokens` is the number of tokens in it."""

    tokens: int
    end: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class StreamFailed:
    """End a stream with an error."""

    error: str


@dataclasses.dataclass(frozen=True, slots=True)
class StreamExpired:
    """Close a stream that was not resumed in time."""

    instance_id: str
    session: str


@engine.on_request.register(StartStream)
def start_stream(
    request: StartStream,
    event: events.CallerRequested,
    state: engine.State,
) -> engine.Transition:
    """Start or resume a stream, or refuse the request."""
    config = state.config
    if config.first_layer or config.end_layer != config.layers:
        return engine.answer(event.request_id, MISSING_LAYERS, state)
    open_stream = state.streams.get(request.session)
    if open_stream is not None:
        return resume_stream(request, open_stream, event, state)
    if state.faults.refuse:
        return engine.answer(event.request_id, engine_batches.REFUSED, state)
    if state.faults.leaving:
        return engine.answer(event.request_id, engine_batches.LEAVING, state)
    stream = engine.Stream(
        request_id=event.request_id,
        template=calls.Step(
            request.session,
            request.model,
            request.version,
            request.adapter,
            0,
            (),
            request.priority,
        ),
        prompt=request.prompt,
        tokens=request.delivered,
        maximum_tokens=request.maximum_tokens,
        sent=len(request.delivered),
    )
    return advance_stream(stream, state)


def resume_stream(
    request: StartStream,
    open_stream: engine.Stream,
    event: events.CallerRequested,
    state: engine.State,
) -> engine.Transition:
    """Continue an open stream after the tokens that its caller has."""
    if open_stream.request_id:
        return engine.answer(event.request_id, STREAM_IN_USE, state)
    count = len(request.delivered)
    has_same_tokens = (request.prompt, request.delivered) == (
        open_stream.prompt,
        open_stream.tokens[:count],
    )
    if not has_same_tokens:
        return engine.answer(event.request_id, TOKENS_MISMATCH, state)
    stream = dataclasses.replace(
        open_stream,
        request_id=event.request_id,
        maximum_tokens=request.maximum_tokens,
        sent=count,
        blocked=False,
    )
    timer = StreamExpired(state.config.instance_id, request.session)
    return advance_stream(stream, state).with_effects(
        effects.CancelTimer(timer)
    )


def advance_stream(
    stream: engine.Stream, state: engine.State
) -> engine.Transition:
    """Send the tokens that the caller lacks and queue the next step.

    A stream with all its tokens ends; a blocked one queues no step.
    """
    if state.faults.drop_answers and stream.sent < len(stream.tokens):
        dropped = engine_faults.decrement_fault('drop_answers', state)
        closed = effects.CloseCaller(stream.request_id)
        return pause_stream(stream, dropped).with_effects(closed)
    parts = tuple(
        effects.StreamPart(
            stream.request_id,
            caller_messages.TokenPart(index, stream.tokens[index]),
        )
        for index in range(stream.sent, len(stream.tokens))
    )
    stream = dataclasses.replace(stream, sent=len(stream.tokens))
    if len(stream.tokens) >= stream.maximum_tokens:
        return end_stream(stream, StreamEnded(len(stream.tokens)), parts, state)
    if stream.queued or stream.blocked:
        return transitions.Transition(put_stream(stream, state), parts)
    step = build_next_step(stream, state)
    stream = dataclasses.replace(stream, queued=True)
    target = engine.StreamTarget(step.session)
    queued = engine_batches.enqueue(target, step, put_stream(stream, state))
    started = engine_batches.start_iteration(queued)
    return transitions.Transition(started.state, parts + started.effects)


def build_next_step(stream: engine.Stream, state: engine.State) -> calls.Step:
    """Build the step that runs all inputs after the session's position."""
    session = state.sessions.get(stream.template.session)
    position = session.position if session else 0
    inputs = stream.prompt + stream.tokens
    return dataclasses.replace(
        stream.template,
        position=position,
        inputs=inputs[position:],
    )


def put_stream(stream: engine.Stream, state: engine.State) -> engine.State:
    """Return the state with a stream added or replaced."""
    streams = state.streams.set(stream.template.session, stream)
    return dataclasses.replace(state, streams=streams)


def end_stream(
    stream: engine.Stream,
    end_part: typing.Any,
    parts: tuple[effects.Effect, ...],
    state: engine.State,
) -> engine.Transition:
    """Remove a stream and its session, and end the answer of its caller."""
    session = stream.template.session
    end_effects: tuple[effects.Effect, ...] = ()
    if stream.request_id:
        end_effects = (*parts, effects.StreamEnd(stream.request_id, end_part))
    return transitions.Transition(
        dataclasses.replace(
            state,
            streams=remove_key(session, state.streams),
            sessions=remove_key(session, state.sessions),
        ),
        end_effects,
    )


def remove_key(
    key: str,
    mapping: immutables.Map[str, typing.Any],
) -> immutables.Map[str, typing.Any]:
    """Return a map without a key, which may be absent."""
    return mapping.delete(key) if key in mapping else mapping


@engine_batches.deliver_result.register(engine.StreamTarget)
def receive_token(
    target: engine.StreamTarget,
    outcome: calls.StepResult,
    state: engine.State,
) -> engine.Transition:
    """Add a token to a stream and send it unless the stream is paused."""
    stream = state.streams.get(target.session)
    if stream is None:
        # The stream was cancelled while its step ran; the step may have opened
        # the session again.
        sessions = remove_key(target.session, state.sessions)
        return transitions.Transition(
            dataclasses.replace(state, sessions=sessions),
        )
    if outcome.error:
        return end_stream(stream, StreamFailed(outcome.error), (), state)
    stream = dataclasses.replace(
        stream,
        tokens=(*stream.tokens, *outcome.outputs),
        queued=False,
    )
    if not stream.request_id:
        return transitions.Transition(put_stream(stream, state))
    return advance_stream(stream, state)


def find_stream(request_id: str, state: engine.State) -> engine.Stream | None:
    """Return the stream that a request started or resumed, if it is open."""
    return next(
        (
            stream
            for stream in state.streams.values()
            if stream.request_id == request_id
        ),
        None,
    )


@engine.reduce.register(events.CallerLeft)
def pause_on_disconnect(
    event: events.CallerLeft, state: engine.State
) -> engine.Transition:
    """Pause a stream whose caller has disconnected."""
    stream = find_stream(event.request_id, state)
    if stream is None:
        return transitions.Transition(state)
    return pause_stream(stream, state)


def pause_stream(
    stream: engine.Stream,
    state: engine.State,
) -> engine.Transition:
    """Keep a stream without a caller until it is resumed or expires."""
    stream = dataclasses.replace(stream, request_id='')
    timer = StreamExpired(state.config.instance_id, stream.template.session)
    return transitions.Transition(
        put_stream(stream, state),
        (effects.SetTimer(timer, RESUME_WINDOW_SECONDS),),
    )


@engine.reduce.register(events.CallerBlocked)
def block_stream(
    event: events.CallerBlocked,
    state: engine.State,
) -> engine.Transition:
    """Queue no further step for a caller that reads too slowly."""
    stream = find_stream(event.request_id, state)
    if stream is None:
        return transitions.Transition(state)
    blocked = dataclasses.replace(stream, blocked=True)
    return transitions.Transition(put_stream(blocked, state))


@engine.reduce.register(events.CallerCaughtUp)
def unblock_stream(
    event: events.CallerCaughtUp,
    state: engine.State,
) -> engine.Transition:
    """Continue a stream once its caller has read everything sent."""
    stream = find_stream(event.request_id, state)
    if stream is None:
        return transitions.Transition(state)
    return advance_stream(dataclasses.replace(stream, blocked=False), state)


@engine.on_timer.register(StreamExpired)
def expire_stream(
    timer: StreamExpired,
    event: events.TimerFired,
    state: engine.State,
) -> engine.Transition:
    """Cancel a stream that was not resumed in time."""
    stream = state.streams.get(timer.session)
    if stream is None or stream.request_id:
        return transitions.Transition(state)
    return cancel_stream(timer.session, state)


def cancel_stream(session: str, state: engine.State) -> engine.Transition:
    """End the stream of a session, if it has one, with an error."""
    stream = state.streams.get(session)
    if stream is None:
        return transitions.Transition(state)
    return end_stream(stream, StreamFailed('cancelled'), (), state)
