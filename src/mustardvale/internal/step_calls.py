"""Send the steps that wait for one runner together in one call."""

import dataclasses
from typing import TYPE_CHECKING

import immutables

from mustardvale.internal import (
    calls,
    effects,
    events,
    paces,
    transitions,
    upstreams,
)

if TYPE_CHECKING:
    from mustardvale.internal import state as states

# A second call lets steps join the runner's next iteration while the first
# call still waits for the current one.
CALLS_IN_FLIGHT_PER_RUNNER = 2
STEPS_PER_CALL = 256


@dataclasses.dataclass(frozen=True, slots=True)
class StepQueue:
    """Hold the steps that wait for a runner and the calls in flight to it."""

    calls_in_flight: int = 0
    waiting: tuple[calls.Step, ...] = ()


StepQueues = immutables.Map[str, StepQueue]


def enqueue(
    address: str,
    step: calls.Step,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Send a step with the next call to its runner."""
    queue = state.step_queues.get(address, StepQueue())
    queue = dataclasses.replace(queue, waiting=(*queue.waiting, step))
    state = upstreams.add_in_flight(address, 1, state)
    return send_waiting(address, queue, state)


def send_waiting(
    address: str,
    queue: StepQueue,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Send one call with the waiting steps if another may be in flight."""
    to_send: tuple[effects.Effect, ...] = ()
    if queue.waiting and queue.calls_in_flight < CALLS_IN_FLIGHT_PER_RUNNER:
        steps = queue.waiting[:STEPS_PER_CALL]
        call = calls.RunSteps(steps)
        timeout = find_timeout(address, call, state)
        to_send = (effects.Call(call, address, timeout),)
        queue = StepQueue(
            queue.calls_in_flight + 1,
            queue.waiting[STEPS_PER_CALL:],
        )
    queues = state.step_queues.set(address, queue)
    return transitions.Transition(
        dataclasses.replace(state, step_queues=queues),
        to_send,
    )


def find_timeout(
    address: str,
    call: calls.RunSteps,
    state: 'states.State',
) -> float:
    """Return the time after which a call counts as lost."""
    upstream = state.upstreams.at_address(address)
    if upstream is None:
        return paces.LONGEST_TIMEOUT_SECONDS
    return paces.timeout_seconds(call, upstream.pace, upstream.candidate)


def end_call(
    event: events.CallAnswered | events.CallFailed,
    call: calls.RunSteps,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Account for a call that ended and send what waits."""
    address = event.address
    queue = state.step_queues.get(address, StepQueue())
    queue = dataclasses.replace(
        queue,
        calls_in_flight=max(queue.calls_in_flight - 1, 0),
    )
    state = upstreams.add_in_flight(address, -len(call.steps), state)
    if isinstance(event, events.CallAnswered):
        state = upstreams.add_pace(address, call, event.seconds, state)
    return send_waiting(address, queue, state)
