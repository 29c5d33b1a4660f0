"""Stand in for a model engine that holds a range of layers.

This module has the state and the steps; `engine_handlers` names the modules
that add the other requests.
"""

import dataclasses
import functools
import typing

import immutables

from mustardvale.internal import calls, effects, events, transitions
from standins import prefix_cache, reference_model, step_audit

ANY_ROLE = 'any'


@dataclasses.dataclass(frozen=True, slots=True)
class EngineConfig:
    """Describe what an engine holds and how it behaves.

    One iteration takes `iteration_seconds` plus `input_seconds` for each input
    that is not cached; it runs at most `batch_limit` steps and, beyond its
    first step, at most `batch_inputs` inputs. `cache_positions` limits the
    memory of the prefix cache. A `fenced` engine refuses orders with an old
    token, another one ignores the token. `cache_event_loss` loses every n-th
    cache event. Without the address of a weight store a layer loads in
    `layer_load_seconds`. Export and import of a session take
    `position_copy_seconds` for each position. `link_seconds` is the round trip
    of the link to the engine.
    """

    instance_id: str
    accelerator: str
    model: str
    version: str
    adapters: tuple[str, ...]
    layers: int
    first_layer: int
    end_layer: int
    iteration_seconds: float
    input_seconds: float
    batch_limit: int = 32
    batch_inputs: int = 4096
    cache_positions: int = 16384
    fenced: bool = True
    role: str = ANY_ROLE
    load_lag_seconds: float = 0
    cache_event_delay_seconds: float = 0.5
    cache_event_loss: int = 0
    layer_load_seconds: float = 0.2
    position_copy_seconds: float = 0.0001
    weight_store: str = ''
    link_seconds: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """Hold the state of one session: the next position and layer digests.

    `adapter` is the one that the session was opened with.
    """

    position: int
    digests: tuple[int, ...]
    adapter: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Hold the faults that are switched on.

    A frozen engine accepts calls and answers none. A leaving one takes no new
    sessions, a refusing one no steps. `slowdown` multiplies the time of an
    iteration. The next `drop_answers` calls run and their connection is closed
    in place of an answer; a stream is closed in place of its next token. Every answer waits for `delay_seconds` in addition
    to the link, and the next `late_answers` ones for `late_seconds`. The results of
    the next `crossed_answers` iterations go to the wrong calls. `die` ends
    the engine at once, and so does running a step that has `poison` among its
    inputs: it loses all state and closes its port until it is started again
    after `restart_seconds`, or for good if that is 0.
    """

    frozen: bool = False
    leaving: bool = False
    slowdown: float = 1
    refuse: bool = False
    drop_answers: int = 0
    delay_seconds: float = 0
    late_answers: int = 0
    late_seconds: float = 1
    crossed_answers: int = 0
    die: bool = False
    poison: str = ''
    restart_seconds: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ResultTarget:
    """Mark a data class as a place that the result of a step goes to."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallTarget(ResultTarget):
    """Send a result to the caller of `/v1/steps`."""

    request_id: str
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class StreamTarget(ResultTarget):
    """Send a result to the stream of a session."""

    session: str


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedStep:
    """Hold a step that waits for an iteration or is in one.

    `prefixes` are the digests of the prefixes of a prefill, `cached` counts
    the positions that the cache had when the iteration started. A cancelled
    step does not run.
    """

    sequence: int
    target: ResultTarget
    step: calls.Step
    prefixes: tuple[str, ...] = ()
    cached: int = 0
    cancelled: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PendingCall:
    """Hold the results that a call of `/v1/steps` has so far."""

    count: int
    results: immutables.Map[int, calls.StepResult] = immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """Describe a streamed generation; without a request it is paused."""

    request_id: str
    template: calls.Step
    prompt: tuple[str, ...]
    tokens: tuple[str, ...]
    maximum_tokens: int
    sent: int
    queued: bool = False
    blocked: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Loading:
    """Describe what an order loads; `number` tells loads apart."""

    number: int
    wanted: EngineConfig
    units: int
    keeps_sessions: bool


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport(calls.LoadReport):
    """Add what only an engine reports to a load report."""

    role: str = ANY_ROLE
    loading: bool = False
    sessions: int = 0
    cached_positions: int = 0
    batch_limit: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Hold the sessions, the waiting steps and the running iteration.

    `queued` counts steps ever queued, `loads` loads ever started. `reports`
    are the last two reports when reports lag.
    """

    config: EngineConfig
    sessions: immutables.Map[str, Session] = immutables.Map()
    pending_calls: immutables.Map[str, PendingCall] = immutables.Map()
    streams: immutables.Map[str, Stream] = immutables.Map()
    waiting_steps: tuple[QueuedStep, ...] = ()
    running_steps: tuple[QueuedStep, ...] = ()
    iterations: int = 0
    steps_run: int = 0
    steps_queued: int = 0
    loads_started: int = 0
    loading: Loading | None = None
    plan_offset: int = -1
    faults: Faults = Faults()
    is_crashed: bool = False
    cache: prefix_cache.Cache = prefix_cache.Cache()
    audit: step_audit.Audit = step_audit.Audit()
    reports: tuple[EngineReport, ...] = ()


Transition = transitions.Transition[State]


@dataclasses.dataclass(frozen=True, slots=True)
class PersistentTimer:
    """Mark a data class as a timer that outlives the engine."""


@dataclasses.dataclass(frozen=True, slots=True)
class RestartDue(PersistentTimer):
    """Start a dead engine again."""

    instance_id: str


@functools.singledispatch
def reduce(event: events.Event, state: State) -> Transition:
    """Ignore events that concern no step."""
    return transitions.Transition(state)


@reduce.register(events.StopRequested)
def stop(event: events.StopRequested, state: State) -> Transition:
    """Stop at once."""
    return transitions.Transition(state, (effects.StopLoop(),))


@reduce.register(events.CallerRequested)
def reduce_request(event: events.CallerRequested, state: State) -> Transition:
    """Dispatch on the request."""
    return on_request(event.request, event, state)


@functools.singledispatch
def on_request(
    request: typing.Any,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Handle a request."""
    raise TypeError(type(request).__name__)


@reduce.register(events.TimerFired)
def reduce_timer(event: events.TimerFired, state: State) -> Transition:
    """Dispatch on the timer; timers of an earlier life are ignored."""
    if state.is_crashed and not isinstance(event.timer, PersistentTimer):
        return transitions.Transition(state)
    return on_timer(event.timer, event, state)


@functools.singledispatch
def on_timer(
    timer: typing.Any, event: events.TimerFired, state: State
) -> Transition:
    """Handle a timer."""
    raise TypeError(type(timer).__name__)


def answer(request_id: str, reply: typing.Any, state: State) -> Transition:
    """Answer a request, whatever the faults are."""
    return transitions.Transition(
        state,
        (effects.Reply(request_id, reply),),
    )


def build_cache(config: EngineConfig) -> prefix_cache.Cache:
    """Return an empty cache."""
    return prefix_cache.Cache(
        positions_limit=config.cache_positions,
        event_delay_seconds=config.cache_event_delay_seconds,
        event_loss=config.cache_event_loss,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class AppliedStep:
    """Pair the state after a step with its result."""

    state: State
    outcome: calls.StepResult


def run_step(step: calls.Step, state: State) -> AppliedStep:
    """Apply a step to its session, or refuse it."""
    outcome = functools.partial(calls.StepResult, step.session, step.position)
    refusal = find_refusal(step, state)
    if refusal:
        return AppliedStep(state, outcome(error=refusal))
    config = state.config
    session = state.sessions.get(step.session) or open_session(step, config)
    if step.position != session.position or step.adapter != session.adapter:
        return AppliedStep(state, outcome(error='wrong_position'))
    ran = run_inputs(step, session, config)
    span = step_audit.Span(
        config.first_layer,
        config.end_layer,
        step.position,
        ran.session.position,
    )
    state = dataclasses.replace(
        state,
        sessions=state.sessions.set(step.session, ran.session),
        steps_run=state.steps_run + 1,
        audit=step_audit.record_span(step.session, span, state.audit),
    )
    return AppliedStep(state, outcome(outputs=ran.outputs))


def find_refusal(step: calls.Step, state: State) -> str:
    """Return the code of a refusal that does not depend on the session."""
    config = state.config
    if state.loading is not None and not state.loading.keeps_sessions:
        return 'loading'
    if (step.model, step.version) != (config.model, config.version):
        return 'wrong_model'
    if step.adapter and step.adapter not in config.adapters:
        return 'wrong_adapter'
    return '' if step.inputs else 'no_inputs'


def open_session(step: calls.Step, config: EngineConfig) -> Session:
    """Open a session with the digests that the layers start with."""
    return Session(
        0,
        tuple(
            reference_model.layer_seed(
                step.model,
                step.version,
                step.adapter,
                layer,
            )
            for layer in range(config.first_layer, config.end_layer)
        ),
        step.adapter,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class StageOutput:
    """Pair a session after its inputs with what the stage put out."""

    session: Session
    outputs: tuple[str, ...]


def run_inputs(
    step: calls.Step, session: Session, config: EngineConfig
) -> StageOutput:
    """Run the held layers on each input in order."""
    digests = session.digests
    outputs: list[str] = []
    for text in step.inputs:
        embedded = text if config.first_layer else reference_model.embed(text)
        passed = reference_model.run_layers(digests, embedded)
        digests = passed.digests
        outputs.append(passed.activation)
    moved = dataclasses.replace(
        session,
        position=session.position + len(step.inputs),
        digests=digests,
    )
    if config.end_layer == config.layers:
        return StageOutput(moved, (reference_model.to_token(outputs[-1]),))
    return StageOutput(moved, tuple(outputs))
