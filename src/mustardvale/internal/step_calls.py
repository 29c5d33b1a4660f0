"""Batch the queued steps of a runner into calls."""

import dataclasses
import functools
import typing

import immutables

from mustardvale.internal import (
    calls,
    effects,
    events,
    generations,
    step_latency,
    suspects,
    transitions,
    upstreams,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

# A second call lets steps join the runner's next iteration while the first
# call still waits for the current one.
MAXIMUM_CALLS_PER_RUNNER = 2
MAXIMUM_STEPS_PER_CALL = 256


@dataclasses.dataclass(frozen=True, slots=True)
class StepQueue:
    """Hold the queued steps of a runner and the number of calls in flight.

    Steps of suspects are queued separately, each for a call of its own.
    `isolated_session` is the session of the suspect that is in flight.
    """

    calls_in_flight: int = 0
    waiting: tuple[calls.Step, ...] = ()
    waiting_isolated: tuple[calls.Step, ...] = ()
    isolated_session: str = ''

    @property
    def waiting_count(self) -> int:
        """Return the number of queued steps."""
        return len(self.waiting) + len(self.waiting_isolated)


StepQueues = immutables.Map[str, StepQueue]


def enqueue(
    address: str,
    step: calls.Step,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Queue a step for the next call to its runner."""
    queue = state.step_queues.get(address, StepQueue())
    if is_isolated(step, state):
        waiting_isolated = (*queue.waiting_isolated, step)
        queue = dataclasses.replace(queue, waiting_isolated=waiting_isolated)
    else:
        queue = dataclasses.replace(queue, waiting=(*queue.waiting, step))
    state = upstreams.add_in_flight(address, 1, state)
    return send_waiting(address, queue, state)


def is_isolated(step: calls.Step, state: 'states.State') -> bool:
    """Return whether a step needs a call of its own."""
    request_id = generations.find_request_id(step.session)
    generation = state.generations.get(request_id)
    return generation is not None and suspects.is_isolated(
        generation.fingerprint,
        state,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Pair the steps of the next call with the remaining queue."""

    steps: tuple[calls.Step, ...]
    queue: StepQueue


def take_batch(queue: StepQueue) -> Batch:
    """Take the steps of the next call; none if the runner is at its limit."""
    if queue.calls_in_flight >= MAXIMUM_CALLS_PER_RUNNER:
        return Batch((), queue)
    if queue.waiting_isolated and not queue.isolated_session:
        first, *rest = queue.waiting_isolated
        rest_queue = dataclasses.replace(
            queue,
            waiting_isolated=tuple(rest),
            isolated_session=first.session,
        )
        return Batch((first,), rest_queue)
    rest_queue = dataclasses.replace(
        queue,
        waiting=queue.waiting[MAXIMUM_STEPS_PER_CALL:],
    )
    return Batch(queue.waiting[:MAXIMUM_STEPS_PER_CALL], rest_queue)


def is_current(step: calls.Step, state: 'states.State') -> bool:
    """Return whether a step belongs to the current attempt of an answer."""
    request_id = generations.find_request_id(step.session)
    generation = state.generations.get(request_id)
    if generation is None or not generation.chain:
        return False
    return generation.session == step.session


def drop_stale_steps(queue: StepQueue, state: 'states.State') -> StepQueue:
    """Remove the steps of attempts that have ended.

    Their sessions are closed; a late step would open them again.
    """
    keep = functools.partial(is_current, state=state)
    return dataclasses.replace(
        queue,
        waiting=tuple(filter(keep, queue.waiting)),
        waiting_isolated=tuple(filter(keep, queue.waiting_isolated)),
    )


def send_waiting(
    address: str,
    queue: StepQueue,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Send the next batch of queued steps if the runner may get a call."""
    sent_effects: tuple[effects.Effect, ...] = ()
    kept = drop_stale_steps(queue, state)
    dropped = queue.waiting_count - kept.waiting_count
    state = upstreams.add_in_flight(address, -dropped, state)
    queue = kept
    batch = take_batch(queue)
    queue = batch.queue
    if batch.steps:
        call = calls.RunSteps(batch.steps)
        timeout_seconds = find_timeout_seconds(address, call, state)
        sent_effects = (effects.Call(call, address, timeout_seconds),)
        in_flight = queue.calls_in_flight + 1
        queue = dataclasses.replace(queue, calls_in_flight=in_flight)
    queues = state.step_queues.set(address, queue)
    return transitions.Transition(
        dataclasses.replace(state, step_queues=queues),
        sent_effects,
    )


def carries_isolated_step(call: calls.RunSteps, queue: StepQueue) -> bool:
    """Return whether a call carries the isolated step of a suspect."""
    return any(step.session == queue.isolated_session for step in call.steps)


def find_timeout_seconds(
    address: str,
    call: calls.RunSteps,
    state: 'states.State',
) -> float:
    """Return the seconds after which a call is considered lost."""
    upstream = state.upstreams.at_address(address)
    if upstream is None:
        return step_latency.LONGEST_TIMEOUT_SECONDS
    return step_latency.compute_timeout_seconds(
        call, upstream.latency, upstream.candidate
    )


def end_call(
    event: events.CallAnswered | events.CallFailed,
    call: calls.RunSteps,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Account for a call that has ended and send queued steps."""
    address = event.address
    queue = state.step_queues.get(address, StepQueue())
    queue = dataclasses.replace(
        queue,
        calls_in_flight=max(queue.calls_in_flight - 1, 0),
        isolated_session=''
        if carries_isolated_step(call, queue)
        else queue.isolated_session,
    )
    state = upstreams.add_in_flight(address, -len(call.steps), state)
    if isinstance(event, events.CallAnswered):
        state = upstreams.add_latency_sample(
            address, call, event.duration_seconds, state
        )
    return send_waiting(address, queue, state)
