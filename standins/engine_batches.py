"""Run the queued steps of an engine in batches, one batch per iteration."""

import dataclasses
import functools
import typing

from mustardvale.internal import calls, effects, events, transitions
from standins import engine, engine_faults, json_codec, prefix_cache

LEAVING = json_codec.Refused(503, 'the runner is leaving', leaving=True)
REFUSED = json_codec.Refused(503, 'the runner refuses steps')


@dataclasses.dataclass(frozen=True, slots=True)
class IterationDone:
    """End an iteration; `number` is the count of iterations up to it."""

    instance_id: str
    number: int


@engine.on_request.register(calls.RunSteps)
def receive_steps(
    request: calls.RunSteps,
    event: events.CallerRequested,
    state: engine.State,
) -> engine.Transition:
    """Queue the steps of a call, or refuse them."""
    opens_session = any(step.position == 0 for step in request.steps)
    if state.faults.refuse:
        return engine.answer(event.request_id, REFUSED, state)
    if state.faults.leaving and opens_session:
        return engine.answer(event.request_id, LEAVING, state)
    if not request.steps:
        return engine.answer(event.request_id, calls.StepsRun(()), state)
    pending = engine.PendingCall(len(request.steps))
    state = dataclasses.replace(
        state,
        pending_calls=state.pending_calls.set(event.request_id, pending),
    )
    for index, step in enumerate(request.steps):
        target = engine.CallTarget(event.request_id, index)
        state = enqueue(target, step, state)
    return start_iteration(state)


def enqueue(
    target: engine.ResultTarget,
    step: calls.Step,
    state: engine.State,
) -> engine.State:
    """Add a step to the queue."""
    queued = engine.QueuedStep(state.steps_queued, target, step)
    return dataclasses.replace(
        state,
        steps_queued=state.steps_queued + 1,
        waiting_steps=(*state.waiting_steps, queued),
    )


def cancel_steps(session: str, state: engine.State) -> engine.State:
    """Cancel the steps of a session; their results report an error."""
    return dataclasses.replace(
        state,
        waiting_steps=mark_cancelled(session, state.waiting_steps),
        running_steps=mark_cancelled(session, state.running_steps),
    )


def mark_cancelled(
    session: str,
    steps: tuple[engine.QueuedStep, ...],
) -> tuple[engine.QueuedStep, ...]:
    """Return the steps with those of a session marked as cancelled."""
    return tuple(
        dataclasses.replace(queued, cancelled=True)
        if queued.step.session == session
        else queued
        for queued in steps
    )


def start_iteration(state: engine.State) -> engine.Transition:
    """Start the next iteration unless one runs or the engine is frozen."""
    if state.running_steps or not state.waiting_steps or state.faults.frozen:
        return transitions.Transition(state)
    chosen = choose_batch(state)
    batch = tuple(find_cached_prefix(queued, state) for queued in chosen)
    numbers = {queued.sequence for queued in chosen}
    state = dataclasses.replace(
        state,
        running_steps=batch,
        waiting_steps=tuple(
            queued
            for queued in state.waiting_steps
            if queued.sequence not in numbers
        ),
        iterations=state.iterations + 1,
    )
    timer = effects.SetTimer(
        IterationDone(state.config.instance_id, state.iterations),
        compute_iteration_seconds(batch, state),
    )
    return transitions.Transition(state, (timer,))


def choose_batch(state: engine.State) -> tuple[engine.QueuedStep, ...]:
    """Choose steps by priority, then by arrival; 0 is the most urgent."""
    ordered = sorted(
        state.waiting_steps,
        key=lambda queued: (queued.step.priority, queued.sequence),
    )
    chosen: list[engine.QueuedStep] = []
    inputs = 0
    for queued in ordered[: state.config.batch_limit]:
        inputs += len(queued.step.inputs)
        if chosen and inputs > state.config.batch_inputs:
            break
        chosen.append(queued)
    return tuple(chosen)


def find_cached_prefix(
    queued: engine.QueuedStep,
    state: engine.State,
) -> engine.QueuedStep:
    """Return a step with the number of positions that are cached.

    Only prefills that are long enough for the prefix cache are looked up.
    """
    step = queued.step
    if step.position or len(step.inputs) < prefix_cache.SHORTEST_PREFIX:
        return queued
    prefixes = prefix_cache.digest_prefixes(
        step.model,
        step.version,
        step.adapter,
        step.inputs,
    )
    return dataclasses.replace(
        queued,
        prefixes=prefixes,
        cached=prefix_cache.count_cached_positions(prefixes, state.cache),
    )


def compute_iteration_seconds(
    batch: tuple[engine.QueuedStep, ...],
    state: engine.State,
) -> float:
    """Return the duration of an iteration over a batch."""
    # The last input is needed for the output, even if all inputs are cached.
    inputs = sum(
        max(len(queued.step.inputs) - queued.cached, 1) for queued in batch
    )
    config = state.config
    seconds = config.iteration_seconds + inputs * config.input_seconds
    return seconds * state.faults.slowdown


@engine.on_timer.register(IterationDone)
def end_iteration(
    timer: IterationDone,
    event: events.TimerFired,
    state: engine.State,
) -> engine.Transition:
    """Run the steps of an iteration, answer calls and start the next one."""
    if timer.number != state.iterations or not state.running_steps:
        return transitions.Transition(state)
    if state.faults.frozen:
        rearm = effects.SetTimer(timer, state.config.iteration_seconds)
        return transitions.Transition(state, (rearm,))
    poison = state.faults.poison
    if poison and any(
        poison in running.step.inputs for running in state.running_steps
    ):
        return engine_faults.crash(state)
    batch = state.running_steps
    transition: engine.Transition = transitions.Transition(
        dataclasses.replace(state, running_steps=()),
    )
    for queued in batch:
        transition = transition.then(
            functools.partial(run_queued_step, queued, event),
        )
    return transition.then(answer_completed_calls).then(start_iteration)


def run_queued_step(
    queued: engine.QueuedStep,
    event: events.Event,
    state: engine.State,
) -> engine.Transition:
    """Run one step of an iteration and deliver its result to its target."""
    if queued.cancelled:
        step = queued.step
        closed = calls.StepResult(step.session, step.position, error='closed')
        return deliver_result(queued.target, closed, state)
    applied = engine.run_step(queued.step, state)
    state = applied.state
    if queued.prefixes and not applied.outcome.error:
        cache = prefix_cache.store(queued.prefixes, event.at, state.cache)
        state = dataclasses.replace(state, cache=cache)
    return deliver_result(queued.target, applied.outcome, state)


@functools.singledispatch
def deliver_result(
    target: typing.Any,
    outcome: calls.StepResult,
    state: engine.State,
) -> engine.Transition:
    """Deliver the result of a step to its target."""
    raise TypeError(type(target).__name__)


@deliver_result.register(engine.CallTarget)
def collect_call_result(
    target: engine.CallTarget,
    outcome: calls.StepResult,
    state: engine.State,
) -> engine.Transition:
    """Keep a result until all steps of its call have run."""
    call = state.pending_calls[target.request_id]
    call = dataclasses.replace(
        call,
        results=call.results.set(target.index, outcome),
    )
    pending = state.pending_calls.set(target.request_id, call)
    return transitions.Transition(
        dataclasses.replace(state, pending_calls=pending)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class CompletedCall:
    """Pair the request id of a call with all its results in order."""

    request_id: str
    results: calls.StepsRun


def answer_completed_calls(state: engine.State) -> engine.Transition:
    """Answer the calls whose steps have all run."""
    completed = tuple(
        CompletedCall(
            request_id,
            calls.StepsRun(
                tuple(call.results[index] for index in range(call.count)),
            ),
        )
        for request_id, call in sorted(state.pending_calls.items())
        if len(call.results) == call.count
    )
    if not completed:
        return transitions.Transition(state)
    pending = state.pending_calls
    for completed_call in completed:
        pending = pending.delete(completed_call.request_id)
    state = dataclasses.replace(state, pending_calls=pending)
    if state.faults.crossed_answers:
        completed = swap_results(completed)
        state = engine_faults.decrement_fault('crossed_answers', state)
    transition: engine.Transition = transitions.Transition(state)
    for completed_call in completed:
        transition = transition.then(
            functools.partial(
                engine_faults.reply_with_faults,
                completed_call.request_id,
                completed_call.results,
            ),
        )
    return transition


def swap_results(
    completed: tuple[CompletedCall, ...],
) -> tuple[CompletedCall, ...]:
    """Give each call the results of another one.

    The results of a single call are reversed.
    """
    if len(completed) == 1:
        only = completed[0]
        crossed = calls.StepsRun(tuple(reversed(only.results.results)))
        return (CompletedCall(only.request_id, crossed),)
    shifted = completed[1:] + completed[:1]
    return tuple(
        CompletedCall(own.request_id, other.results)
        for own, other in zip(completed, shifted, strict=True)
    )


@engine.on_timer.register(engine_faults.FaultsChanged)
def resume_iterations(
    timer: engine_faults.FaultsChanged,
    event: events.TimerFired,
    state: engine.State,
) -> engine.Transition:
    """Start the next iteration, which a freeze may have held back."""
    return start_iteration(state)
