"""Emulate an upstream service and keep a ledger of what it executed."""

import dataclasses
import functools
import typing

import immutables

from mustardvale.internal import calls, effects, events, transitions
from standins import json_codec

LEAVING = json_codec.Refused(503, 'the service is leaving', leaving=True)
REFUSED = json_codec.Refused(503, 'the service refuses operations')


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """Request one operation.

    `idempotency_key` and `attempt_id` are empty if the caller sent none.
    """

    name: str
    idempotency_key: str
    attempt_id: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Hold the active faults.

    A service with `down` closes connections, one with `refuse` or `leaving`
    answers 503, and one with `freeze` does not answer; none of them executes
    operations. `delay_seconds` is added to the duration of an operation. The
    next `lose_answers` operations are executed, but their connection is closed
    instead of an answer.
    """

    down: bool = False
    refuse: bool = False
    freeze: bool = False
    leaving: bool = False
    delay_seconds: float = 0
    lose_answers: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLedger:
    """Request the counts of executions."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ledger:
    """Count executions per idempotency key, attempt and operation."""

    by_key: immutables.Map[str, int] = immutables.Map()
    by_attempt: immutables.Map[str, int] = immutables.Map()
    by_operation: immutables.Map[str, int] = immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerPage:
    """Hold the counts of executions in the form that is encoded."""

    by_key: dict[str, int]
    by_attempt: dict[str, int]
    by_operation: dict[str, int]
    repeats_refused: int


@dataclasses.dataclass(frozen=True, slots=True)
class OperationDone:
    """Answer an operation.

    `execution` is the number of executions so far, including this one.
    """

    instance_id: str
    operation: str
    execution: int


@dataclasses.dataclass(frozen=True, slots=True)
class DelayedOperation:
    """Execute an operation when its duration has elapsed."""

    request_id: str
    operation: Operation


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Hold the ledger, the answers by idempotency key and running operations.

    A service with `checks_keys` answers a repeated key from `answers` and does
    not execute the operation again. Operations take `operation_seconds`.
    """

    instance_id: str
    checks_keys: bool = False
    operation_seconds: float = 0
    ledger: Ledger = Ledger()
    answers: immutables.Map[str, OperationDone] = immutables.Map()
    waiting_operations: immutables.Map[str, Operation] = immutables.Map()
    executions: int = 0
    repeats_refused: int = 0
    faults: Faults = Faults()


Transition = transitions.Transition[State]


@functools.singledispatch
def reduce(event: events.Event, state: State) -> Transition:
    """Ignore events without a handler."""
    return transitions.Transition(state)


@reduce.register(events.StopRequested)
def stop(event: events.StopRequested, state: State) -> Transition:
    """Stop without waiting for running operations."""
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


def answer(request_id: str, reply: typing.Any, state: State) -> Transition:
    """Answer a request."""
    return transitions.Transition(
        state,
        (effects.Reply(request_id, reply),),
    )


@on_request.register(Faults)
def set_faults(
    request: Faults,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Replace all active faults."""
    changed = dataclasses.replace(state, faults=request)
    return answer(event.request_id, json_codec.Done(), changed)


@on_request.register(ReadLedger)
def show_ledger(
    request: ReadLedger,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Answer with the counts, whatever faults are active."""
    page = LedgerPage(
        dict(state.ledger.by_key),
        dict(state.ledger.by_attempt),
        dict(state.ledger.by_operation),
        state.repeats_refused,
    )
    return answer(event.request_id, page, state)


@on_request.register(calls.ReadLoad)
def report_load(
    request: calls.ReadLoad,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Report the load unless the service is frozen or down."""
    if state.faults.freeze:
        return transitions.Transition(state)
    if state.faults.down:
        return transitions.Transition(
            state,
            (effects.CloseCaller(event.request_id),),
        )
    report = calls.LoadReport(
        instance_id=state.instance_id,
        queued=len(state.waiting_operations),
        step_seconds=state.operation_seconds + state.faults.delay_seconds,
        leaving=state.faults.leaving,
    )
    return answer(event.request_id, report, state)


@on_request.register(Operation)
def receive_operation(
    request: Operation,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Execute an operation after its duration unless a fault prevents it."""
    faults = state.faults
    if faults.freeze:
        return transitions.Transition(state)
    if faults.down:
        return transitions.Transition(
            state,
            (effects.CloseCaller(event.request_id),),
        )
    if faults.refuse or faults.leaving:
        refusal = LEAVING if faults.leaving else REFUSED
        return answer(event.request_id, refusal, state)
    seconds = state.operation_seconds + faults.delay_seconds
    if not seconds:
        return execute(request, event.request_id, state)
    waiting = state.waiting_operations.set(event.request_id, request)
    timer = DelayedOperation(event.request_id, request)
    return transitions.Transition(
        dataclasses.replace(state, waiting_operations=waiting),
        (effects.SetTimer(timer, seconds),),
    )


@reduce.register(events.TimerFired)
def execute_delayed(event: events.TimerFired, state: State) -> Transition:
    """Execute an operation whose duration has elapsed."""
    timer: DelayedOperation = event.timer
    waiting = state.waiting_operations.delete(timer.request_id)
    return execute(
        timer.operation,
        timer.request_id,
        dataclasses.replace(state, waiting_operations=waiting),
    )


def execute(request: Operation, request_id: str, state: State) -> Transition:
    """Execute an operation, or repeat the answer to a known key."""
    earlier = state.answers.get(request.idempotency_key)
    if state.checks_keys and earlier is not None:
        repeats = state.repeats_refused + 1
        return answer(
            request_id,
            earlier,
            dataclasses.replace(state, repeats_refused=repeats),
        )
    executed = record_execution(request, state)
    done = OperationDone(
        executed.instance_id,
        request.name,
        executed.executions,
    )
    if request.idempotency_key:
        executed = dataclasses.replace(
            executed,
            answers=executed.answers.set(request.idempotency_key, done),
        )
    if executed.faults.lose_answers:
        return lose_answer(request_id, executed)
    return answer(request_id, done, executed)


def record_execution(request: Operation, state: State) -> State:
    """Add an execution to the ledger."""
    ledger = state.ledger
    ledger = Ledger(
        increment(ledger.by_key, request.idempotency_key),
        increment(ledger.by_attempt, request.attempt_id),
        increment(ledger.by_operation, request.name),
    )
    return dataclasses.replace(
        state,
        ledger=ledger,
        executions=state.executions + 1,
    )


def increment(
    counts: immutables.Map[str, int],
    name: str,
) -> immutables.Map[str, int]:
    """Increment the count of a name; the empty name is not counted."""
    if not name:
        return counts
    return counts.set(name, counts.get(name, 0) + 1)


def lose_answer(request_id: str, state: State) -> Transition:
    """Close the connection instead of answering."""
    faults = dataclasses.replace(
        state.faults,
        lose_answers=state.faults.lose_answers - 1,
    )
    return transitions.Transition(
        dataclasses.replace(state, faults=faults),
        (effects.CloseCaller(request_id),),
    )
