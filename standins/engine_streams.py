"""Stream whole generations from an engine that holds all layers."""

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

# A stream whose caller has left can be resumed for this long.
RESUME_WINDOW_SECONDS = 30.0

MISSING_LAYERS = json_codec.Refused(409, 'the engine does not hold all layers')
TOKENS_MISMATCH = json_codec.Refused(
    409,
    'the delivered tokens are not those of the session',
)
STREAM_IN_USE = json_codec.Refused(409, 'another caller has the stream')


@dataclasses.dataclass(frozen=True, slots=True)
class StartStream:
    """Ask for a generation.

    A known session goes on from the tokens that were delivered; an unknown one
    is opened with the prompt and those tokens.
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
    """Mark the end of a whole stream."""

    tokens: int
    end: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class StreamFailed:
    """End a stream with an error."""

    error: str


@dataclasses.dataclass(frozen=True, slots=True)
class StreamExpired:
    """Close a stream that nobody resumed."""

    instance_id: str
    session: str


@engine.on_request.register(StartStream)
def start_stream(
    request: StartStream,
    event: events.CallerRequested,
    state: engine.State,
) -> engine.Transition:
    """Start a stream, or resume one."""
    config = state.config
    if config.first_layer or config.end_layer != config.layers:
        return engine.answer(event.request_id, MISSING_LAYERS, state)
    known = state.streams.get(request.session)
    if known is not None:
        return resume_stream(request, known, event, state)
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
    known: engine.Stream,
    event: events.CallerRequested,
    state: engine.State,
) -> engine.Transition:
    """Go on with a stream from the tokens that its caller has."""
    if known.request_id:
        return engine.answer(event.request_id, STREAM_IN_USE, state)
    count = len(request.delivered)
    same = (request.prompt, request.delivered) == (
        known.prompt,
        known.tokens[:count],
    )
    if not same:
        return engine.answer(event.request_id, TOKENS_MISMATCH, state)
    stream = dataclasses.replace(
        known,
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
    """Send the tokens that the caller lacks, then end or run the next step."""
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
    """Build the step that runs all inputs that have not run yet."""
    session = state.sessions.get(stream.template.session)
    position = session.position if session else 0
    inputs = stream.prompt + stream.tokens
    return dataclasses.replace(
        stream.template,
        position=position,
        inputs=inputs[position:],
    )


def put_stream(stream: engine.Stream, state: engine.State) -> engine.State:
    """Add or replace a stream."""
    table = state.streams.set(stream.template.session, stream)
    return dataclasses.replace(state, streams=table)


def end_stream(
    stream: engine.Stream,
    mark: typing.Any,
    parts: tuple[effects.Effect, ...],
    state: engine.State,
) -> engine.Transition:
    """End a stream, if it has a caller, and free its session."""
    session = stream.template.session
    ended: tuple[effects.Effect, ...] = ()
    if stream.request_id:
        ended = (*parts, effects.StreamEnd(stream.request_id, mark))
    return transitions.Transition(
        dataclasses.replace(
            state,
            streams=remove_key(session, state.streams),
            sessions=remove_key(session, state.sessions),
        ),
        ended,
    )


def remove_key(
    name: str,
    table: immutables.Map[str, typing.Any],
) -> immutables.Map[str, typing.Any]:
    """Return a table without a name that may not be in it."""
    return table.delete(name) if name in table else table


@engine_batches.deliver_result.register(engine.StreamTarget)
def receive_token(
    target: engine.StreamTarget,
    outcome: calls.StepResult,
    state: engine.State,
) -> engine.Transition:
    """Send a token to the stream, or keep it while the stream is paused."""
    stream = state.streams.get(target.session)
    if stream is None:
        # The stream was cancelled while its step ran.
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
    """Return the stream that a request started or resumed."""
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
    """Keep a stream for a while after its caller has left."""
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
    """Run no further step for a caller that reads too slowly."""
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
    """Go on once a slow caller has read everything."""
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
    """Free a stream that nobody resumed."""
    stream = state.streams.get(timer.session)
    if stream is None or stream.request_id:
        return transitions.Transition(state)
    return cancel_stream(timer.session, state)


def cancel_stream(session: str, state: engine.State) -> engine.Transition:
    """End the stream of a session, if it has one, and free the session."""
    stream = state.streams.get(session)
    if stream is None:
        return transitions.Transition(state)
    return end_stream(stream, StreamFailed('cancelled'), (), state)
