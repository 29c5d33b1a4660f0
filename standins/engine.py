"""Emulate a model engine that holds a range of layers.

This module defines the state of an engine and runs single steps.
`engine_handlers` imports the modules that handle requests and timers.
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

    `layers` is the number of layers of the model; the engine holds the
    half-open range from `first_layer` to `end_layer`. One iteration takes
    `iteration_seconds` plus `input_seconds` for each input that is not cached.
    It runs at least one step, and further ones up to `batch_limit` steps and
    `batch_inputs` inputs in total. `cache_positions` limits the memory of the
    prefix cache. A `fenced` engine refuses orders with an outdated fencing
    token; others ignore the token. Load reports are one to two
    `load_lag_seconds` old. Every `cache_event_loss`-th cache event is lost; 0
    loses none. An engine without the address of a `weight_store`, and one whose
    order has a lease, loads each layer or adapter in `layer_load_seconds`.
    Export and import of a session take `position_copy_seconds` for each
    position. `link_seconds` is the round-trip time of the link to the engine.
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
    """Hold the next position of a session and the digest of each held layer.

    `adapter` is the adapter that the session was opened with.
    """

    position: int
    digests: tuple[int, ...]
    adapter: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Hold the active faults.

    A `frozen` engine accepts calls but does not answer them. A `leaving` one
    refuses new sessions, one with `refuse` all steps. `slowdown` multiplies
    the duration of an iteration. The next `drop_answers` calls are run, but
    their connection is closed instead of an answer; a stream is closed instead
    of its next token. Answers are delayed by `delay_seconds` in addition to
    the link, and the next `late_answers` ones by `late_seconds` instead. The
    results of the next `crossed_answers` iterations go to the wrong calls.
    `die` crashes the engine, and so does running a step with `poison` among
    its inputs: it closes its port and keeps only its configuration, faults,
    counters and audit. It starts again after `restart_seconds`, or never if
    that is 0.
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
    """Mark a data class as a destination of the result of a step."""


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
    """Hold a step that is queued or in the running iteration.

    `prefixes` are the digests of the prefixes of a prefill, `cached` is the
    number of leading positions that were cached when the iteration started. A
    cancelled step is not run.
    """

    sequence: int
    target: ResultTarget
    step: calls.Step
    prefixes: tuple[str, ...] = ()
    cached: int = 0
    cancelled: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PendingCall:
    """Hold the results so far of a call of `/v1/steps` with `count` steps."""

    count: int
    results: immutables.Map[int, calls.StepResult] = immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """Describe a streamed generation; one without a `request_id` is paused.

    `sent` is the number of tokens that the caller was sent. A stream is
    `queued` while its next step is queued or running, and `blocked` while its
    caller reads too slowly.
    """

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
    """Describe a load in progress; `number` identifies it.

    `target_config` is the configuration after the load, `units` the number of
    layers and adapters to load.
    """

    number: int
    target_config: EngineConfig
    units: int
    keeps_sessions: bool


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport(calls.LoadReport):
    """Extend a load report by the fields that only engines report."""

    role: str = ANY_ROLE
    loading: bool = False
    sessions: int = 0
    cached_positions: int = 0
    batch_limit: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Hold the sessions, the queued steps and the running iteration.

    The counters `iterations`, `steps_run`, `steps_queued` and `loads_started`
    survive a crash. `plan_offset` is the fencing token of the last order.
    `reports` are the last two load reports if reports lag.
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
    """Mark a data class as a timer that survives a crash of the engine."""


@dataclasses.dataclass(frozen=True, slots=True)
class RestartDue(PersistentTimer):
    """Start a crashed engine again."""

    instance_id: str


@functools.singledispatch
def reduce(event: events.Event, state: State) -> Transition:
    """Ignore events without a handler."""
    return transitions.Transition(state)


@reduce.register(events.StopRequested)
def stop(event: events.StopRequested, state: State) -> Transition:
    """Stop without waiting for running steps."""
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
    """Dispatch on the timer; a crashed engine handles only persistent ones."""
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
    """Answer a request, whatever faults are active."""
    return transitions.Transition(
        state,
        (effects.Reply(request_id, reply),),
    )


def build_cache(config: EngineConfig) -> prefix_cache.Cache:
    """Return an empty prefix cache with the limits of a configuration."""
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
    """Run a step in its session, or return the error that it is refused with.

    A step at position 0 opens its session.
    """
    build_result = functools.partial(
        calls.StepResult, step.session, step.position
    )
    refusal = find_refusal(step, state)
    if refusal:
        return AppliedStep(state, build_result(error=refusal))
    config = state.config
    session = state.sessions.get(step.session) or open_session(step, config)
    if step.position != session.position or step.adapter != session.adapter:
        return AppliedStep(state, build_result(error='wrong_position'))
    stage_output = run_inputs(step, session, config)
    span = step_audit.Span(
        config.first_layer,
        config.end_layer,
        step.position,
        stage_output.session.position,
    )
    state = dataclasses.replace(
        state,
        sessions=state.sessions.set(step.session, stage_output.session),
        steps_run=state.steps_run + 1,
        audit=step_audit.record_span(step.session, span, state.audit),
    )
    return AppliedStep(state, build_result(outputs=stage_output.outputs))


def find_refusal(step: calls.Step, state: State) -> str:
    """Return the error code of a step that no session may run, or ''."""
    config = state.config
    if state.loading is not None and not state.loading.keeps_sessions:
        return 'loading'
    if (step.model, step.version) != (config.model, config.version):
        return 'wrong_model'
    if step.adapter and step.adapter not in config.adapters:
        return 'wrong_adapter'
    return '' if step.inputs else 'no_inputs'


def open_session(step: calls.Step, config: EngineConfig) -> Session:
    """Return a session at position 0 with the initial digests of its layers."""
    return Session(
        0,
        tuple(
            reference_model.compute_layer_seed(
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
    """Pair a session after its inputs with the outputs of the stage."""

    session: Session
    outputs: tuple[str, ...]


def run_inputs(
    step: calls.Step, session: Session, config: EngineConfig
) -> StageOutput:
    """Run the held layers on each input in order.

    The last stage returns one token, other stages an activation per input.
    """
    digests = session.digests
    outputs: list[str] = []
    for text in step.inputs:
        embedded = text if config.first_layer else reference_model.embed(text)
        layer_pass = reference_model.run_layers(digests, embedded)
        digests = layer_pass.digests
        outputs.append(layer_pass.activation)
    advanced = dataclasses.replace(
        session,
        position=session.position + len(step.inputs),
        digests=digests,
    )
    if config.end_layer == config.layers:
        return StageOutput(advanced, (reference_model.to_token(outputs[-1]),))
    return StageOutput(advanced, tuple(outputs))
