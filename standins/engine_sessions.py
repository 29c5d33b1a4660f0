"""Close, export and import the sessions of an engine stand-in."""

import dataclasses

from mustardvale.internal import calls, effects, events, transitions
from standins import (
    engine,
    engine_batches,
    engine_faults,
    engine_streams,
    json_codec,
    step_audit,
)


@dataclasses.dataclass(frozen=True, slots=True)
class ExportSession:
    """Request a copy of the KV cache of a session."""

    session: str


@dataclasses.dataclass(frozen=True, slots=True)
class SessionCopy:
    """Hold the KV cache of a session: a digest for each layer.

    `position` is the next position; layers are a half-open range.
    """

    model: str
    version: str
    adapter: str
    first_layer: int
    end_layer: int
    position: int
    digests: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ImportSession:
    """Request to open a session with the KV cache of another engine."""

    session: str
    copy: SessionCopy


@dataclasses.dataclass(frozen=True, slots=True)
class ImportDue:
    """Open an imported session when its copy has been transferred."""

    instance_id: str
    request_id: str
    request: ImportSession


UNKNOWN_SESSION = json_codec.Refused(404, 'the session is unknown')
BUSY_SESSION = json_codec.Refused(409, 'a step of the session is in flight')
OPEN_SESSION = json_codec.Refused(409, 'the session is already open')
COPY_MISMATCH = json_codec.Refused(
    409,
    'the copy is of another model, version, adapter or layer range',
)


@engine.on_request.register(calls.CloseSession)
def close_session(
    request: calls.CloseSession,
    event: events.CallerRequested,
    state: engine.State,
) -> engine.Transition:
    """Close a session, cancel its steps and end its stream."""
    session = request.session
    state = engine_batches.cancel_steps(session, state)
    if session in state.sessions:
        sessions = state.sessions.delete(session)
        state = dataclasses.replace(state, sessions=sessions)
    return engine_streams.cancel_stream(session, state).then(
        lambda next_state: engine.answer(
            event.request_id, json_codec.Done(), next_state
        ),
    )


def is_busy(session: str, state: engine.State) -> bool:
    """Return whether a step of the session is queued or running."""
    return any(
        queued.step.session == session
        for queued in state.waiting_steps + state.running_steps
    )


@engine.on_request.register(ExportSession)
def export_session(
    request: ExportSession,
    event: events.CallerRequested,
    state: engine.State,
) -> engine.Transition:
    """Send a copy of an idle session after its transfer time."""
    session = state.sessions.get(request.session)
    if session is None:
        return engine.answer(event.request_id, UNKNOWN_SESSION, state)
    if is_busy(request.session, state):
        return engine.answer(event.request_id, BUSY_SESSION, state)
    config = state.config
    copy = SessionCopy(
        config.model,
        config.version,
        session.adapter,
        config.first_layer,
        config.end_layer,
        session.position,
        session.digests,
    )
    later = engine_faults.DelayedReply(
        config.instance_id,
        event.request_id,
        copy,
    )
    seconds = session.position * config.position_copy_seconds
    return transitions.Transition(state, (effects.SetTimer(later, seconds),))


@engine.on_request.register(ImportSession)
def import_session(
    request: ImportSession,
    event: events.CallerRequested,
    state: engine.State,
) -> engine.Transition:
    """Open a session from a copy after its transfer time."""
    due = ImportDue(state.config.instance_id, event.request_id, request)
    seconds = request.copy.position * state.config.position_copy_seconds
    return transitions.Transition(state, (effects.SetTimer(due, seconds),))


@engine.on_timer.register(ImportDue)
def open_imported_session(
    timer: ImportDue,
    event: events.TimerFired,
    state: engine.State,
) -> engine.Transition:
    """Open an imported session if the engine holds the layers of the copy."""
    config = state.config
    copy = timer.request.copy
    if (copy.model, copy.version, copy.first_layer, copy.end_layer) != (
        config.model,
        config.version,
        config.first_layer,
        config.end_layer,
    ) or (copy.adapter and copy.adapter not in config.adapters):
        return engine.answer(timer.request_id, COPY_MISMATCH, state)
    name = timer.request.session
    if name in state.sessions:
        return engine.answer(timer.request_id, OPEN_SESSION, state)
    session = engine.Session(copy.position, copy.digests, copy.adapter)
    span = step_audit.Span(
        config.first_layer,
        config.end_layer,
        copy.position,
        copy.position,
        imported=True,
    )
    state = dataclasses.replace(
        state,
        sessions=state.sessions.set(name, session),
        audit=step_audit.record_span(name, span, state.audit),
    )
    return engine_faults.reply_with_faults(
        timer.request_id, json_codec.Done(), state
    )
