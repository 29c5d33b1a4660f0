"""Stand in for a model engine that holds a range of layers."""

import dataclasses
import functools
from typing import Any

import immutables

from mustardvale.internal import calls, effects, events, transitions
from standins import json_codec, reference_model

LEAVING = json_codec.Refused(503, 'the runner is leaving', leaving=True)


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """Describe what an engine holds and how fast it runs.

    One iteration takes `iteration_seconds` plus `input_seconds` for each input
    of each step that it runs.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """Hold the state of one session: the next position and layer digests."""

    position: int
    digests: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PendingCall:
    """Hold a call whose steps wait for an iteration."""

    request_id: str
    steps: tuple[calls.Step, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Hold the faults that are switched on.

    A frozen engine accepts calls and answers none. `slowdown` multiplies the
    time of an iteration. A step with the input `crash_on` ends the process.
    """

    frozen: bool = False
    leaving: bool = False
    slowdown: float = 1
    crash_on: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class IterationDone:
    """End the iteration that is running."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Hold the sessions, the waiting calls and the running iteration."""

    held: Held
    sessions: immutables.Map[str, Session] = immutables.Map()
    waiting: tuple[PendingCall, ...] = ()
    running: tuple[PendingCall, ...] = ()
    iterations: int = 0
    steps_run: int = 0
    faults: Faults = Faults()


Transition = transitions.Transition[State]


@functools.singledispatch
def reduce(event: events.Event, state: State) -> Transition:
    """Ignore events that concern no step."""
    return transitions.Transition(state)


@reduce.register(events.StopRequested)
def stop(event: events.StopRequested, state: State) -> Transition:
    """Stop at once."""
    return transitions.Transition(state, (effects.StopLoop(),))


@reduce.register(events.CallerRequested)
def receive(event: events.CallerRequested, state: State) -> Transition:
    """Dispatch on the request."""
    return on_request(event.wanted, event, state)


@functools.singledispatch
def on_request(
    wanted: Any,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Handle a request."""
    raise TypeError(type(wanted).__name__)


def answer(request_id: str, reply: Any, state: State) -> Transition:
    """Answer a request."""
    return transitions.Transition(
        state,
        (effects.Reply(request_id, reply),),
    )


@on_request.register(Faults)
def set_faults(
    wanted: Faults,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Switch faults."""
    changed = dataclasses.replace(state, faults=wanted)
    return answer(event.request_id, json_codec.Done(), changed).then(
        start_iteration,
    )


@on_request.register(calls.ReadLoad)
def report_load(
    wanted: calls.ReadLoad,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Report the load."""
    held = state.held
    waiting = sum(len(call.steps) for call in state.waiting)
    report = calls.LoadReport(
        instance_id=held.instance_id,
        accelerator=held.accelerator,
        model=held.model,
        version=held.version,
        adapters=held.adapters,
        first_layer=held.first_layer,
        end_layer=held.end_layer,
        queued=waiting,
        step_seconds=held.iteration_seconds * state.faults.slowdown,
        leaving=state.faults.leaving,
    )
    if state.faults.frozen:
        return transitions.Transition(state)
    return answer(event.request_id, report, state)


@on_request.register(calls.CloseSession)
def close_session(
    wanted: calls.CloseSession,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Free a session."""
    if wanted.session in state.sessions:
        sessions = state.sessions.delete(wanted.session)
        state = dataclasses.replace(state, sessions=sessions)
    return answer(event.request_id, json_codec.Done(), state)


@on_request.register(calls.RunSteps)
def receive_steps(
    wanted: calls.RunSteps,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Queue steps for the next iteration."""
    if state.faults.crash_on and crashes(wanted, state):
        return transitions.Transition(state, (effects.StopLoop(1),))
    opens = any(step.position == 0 for step in wanted.steps)
    if state.faults.leaving and opens:
        return answer(event.request_id, LEAVING, state)
    pending = PendingCall(event.request_id, wanted.steps)
    waiting = (*state.waiting, pending)
    return start_iteration(dataclasses.replace(state, waiting=waiting))


def crashes(wanted: calls.RunSteps, state: State) -> bool:
    """Return whether a step has the input that ends the process."""
    return any(state.faults.crash_on in step.inputs for step in wanted.steps)


def start_iteration(state: State) -> Transition:
    """Run all waiting steps in one iteration unless one is running."""
    if state.running or not state.waiting or state.faults.frozen:
        return transitions.Transition(state)
    inputs = sum(
        len(step.inputs) for call in state.waiting for step in call.steps
    )
    held = state.held
    seconds = held.iteration_seconds + inputs * held.input_seconds
    state = dataclasses.replace(
        state,
        running=state.waiting,
        waiting=(),
        iterations=state.iterations + 1,
    )
    timer = effects.SetTimer(
        IterationDone(state.iterations),
        seconds * state.faults.slowdown,
    )
    return transitions.Transition(state, (timer,))


@reduce.register(events.TimerFired)
def end_iteration(event: events.TimerFired, state: State) -> Transition:
    """Answer the calls of the iteration and start the next one."""
    if state.faults.frozen:
        return transitions.Transition(
            state,
            (effects.SetTimer(event.timer, state.held.iteration_seconds),),
        )
    running = state.running
    transition: Transition = transitions.Transition(
        dataclasses.replace(state, running=()),
    )
    for call in running:
        transition = transition.then(functools.partial(answer_call, call))
    return transition.then(start_iteration)


def answer_call(call: PendingCall, state: State) -> Transition:
    """Run the steps of a call and answer it."""
    results: tuple[calls.StepResult, ...] = ()
    for step in call.steps:
        applied = run_step(step, state)
        state = applied.state
        results = (*results, applied.outcome)
    return answer(call.request_id, calls.StepsRun(results), state)


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """Pair the state after a step with its result."""

    state: State
    outcome: calls.StepResult


def run_step(step: calls.Step, state: State) -> Applied:
    """Apply a step to its session, or refuse it."""
    held = state.held
    outcome = functools.partial(calls.StepResult, step.session, step.position)
    if (step.model, step.version) != (held.model, held.version):
        return Applied(state, outcome(error='wrong_model'))
    session = state.sessions.get(step.session) or open_session(step, held)
    if step.position != session.position:
        return Applied(state, outcome(error='wrong_position'))
    ran = run_inputs(step, session, held)
    state = dataclasses.replace(
        state,
        sessions=state.sessions.set(step.session, ran.session),
        steps_run=state.steps_run + 1,
    )
    return Applied(state, outcome(outputs=ran.outputs))


def open_session(step: calls.Step, held: Held) -> Session:
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
            for layer in range(held.first_layer, held.end_layer)
        ),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Ran:
    """Pair a session after its inputs with what the stage put out."""

    session: Session
    outputs: tuple[str, ...]


def run_inputs(step: calls.Step, session: Session, held: Held) -> Ran:
    """Run the held layers on each input in order."""
    digests = session.digests
    outputs: tuple[str, ...] = ()
    for text in step.inputs:
        embedded = text if held.first_layer else reference_model.embed(text)
        passed = reference_model.run_layers(digests, embedded)
        digests = passed.digests
        outputs = (*outputs, passed.activation)
    moved = Session(session.position + len(step.inputs), digests)
    if held.end_layer == held.layers:
        outputs = (reference_model.to_token(outputs[-1]),)
    return Ran(moved, outputs)
