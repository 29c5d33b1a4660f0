"""Control admission: start, queue or refuse requests."""

import dataclasses
import functools
import typing
from collections import abc

import immutables

from mustardvale import document as documents
from mustardvale import errors
from mustardvale.internal import (
    adaptive_concurrency,
    effects,
    events,
    limits,
    queues,
    reducer,
    refusals,
    timers,
    transitions,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

SMALLEST_RETRY_SECONDS = 0.1
# Twice the expected duration allows for the first token and for variation, so
# that the deadline interrupts few answers that were queued.
START_MARGIN_FACTOR = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """Describe a validated request.

    `tokens` is the maximum number of tokens to generate; `deadline_at` is a
    monotonic time.
    """

    account: documents.ClientAccount
    deadline_at: float
    model: str = ''
    tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionState:
    """Hold the queued requests and the start times of the running ones."""

    queue: queues.Queue = queues.Queue()
    started_at_by_request: immutables.Map[str, float] = immutables.Map()
    concurrency: adaptive_concurrency.ConcurrencyState = (
        adaptive_concurrency.ConcurrencyState()
    )


@functools.singledispatch
def start_request(
    request: typing.Any,
    event: events.CallerRequested,
    now: float,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Start an admitted request; `event` is its arrival.

    A handler that ends the request must call `release_request`.
    """
    raise TypeError(
        f'no start handler is registered for {type(request).__name__}'
    )


def with_admission(
    state: 'states.State',
    admission: AdmissionState,
) -> 'states.State':
    """Replace the part of the state that this module owns."""
    return dataclasses.replace(state, admission=admission)


def find_rank(account: documents.ClientAccount) -> int:
    """Return the rank of the account's priority, 0 for the most urgent."""
    return queues.RANKS.index(account.priority)


def admit_action(
    account: documents.ClientAccount,
    event: events.CallerRequested,
    run: abc.Callable[['states.State'], transitions.Transition['states.State']],
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Charge an action to its account and run it, or refuse it.

    Actions are short and urgent, so they bypass the queue. Only a graceful
    shutdown and the rate limit of the account refuse them.
    """
    stopping = state.stopping
    if stopping is not None and event.at >= stopping.refuse_from:
        return refuse_stopping(event.request_id, state)
    decision = limits.try_acquire(account, 0, event.at, state.limits)
    if decision.wait_seconds:
        return refuse_limited(account, decision, event.request_id, state)
    return run(dataclasses.replace(state, limits=decision.limits))


def refuse_stopping(
    request_id: str,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Refuse a request because the instance is shutting down."""
    return refusals.refuse(
        request_id,
        errors.STOPPING,
        'the instance takes no new requests',
        state,
    )


def refuse_limited(
    account: documents.ClientAccount,
    decision: limits.LimitDecision,
    request_id: str,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Refuse a request because its account is at its rate limit."""
    return refusals.refuse(
        request_id,
        errors.RATE_LIMITED,
        f'{account.name} exceeds its requests or tokens per second at this '
        'instance',
        dataclasses.replace(state, limits=decision.limits),
        max(decision.wait_seconds, SMALLEST_RETRY_SECONDS),
    )


def admit(
    admission_request: AdmissionRequest,
    event: events.CallerRequested,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Start, queue or refuse a validated request."""
    stopping = state.stopping
    if stopping is not None and event.at >= stopping.refuse_from:
        return refuse_stopping(event.request_id, state)
    minimum_seconds = adaptive_concurrency.estimate_minimum_seconds(
        admission_request.model,
        admission_request.tokens,
        state.admission.concurrency,
    )
    if event.at + minimum_seconds > admission_request.deadline_at:
        return refusals.refuse(
            event.request_id,
            errors.DEADLINE_EXCEEDED,
            f'the answer takes at least {minimum_seconds:.2f} s',
            state,
        )
    return admit_within_limits(admission_request, event, state)


def admit_within_limits(
    admission_request: AdmissionRequest,
    event: events.CallerRequested,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Apply the limits of the account and the expected wait in the queue.

    A request that can start at once is admitted whatever its expected
    duration; otherwise the estimate would stay high after a slow period.
    """
    admission = state.admission
    wait_seconds = estimate_wait_seconds(
        find_rank(admission_request.account), admission
    )
    expected_seconds = adaptive_concurrency.estimate_answer_seconds(
        admission_request.model, admission_request.tokens, admission.concurrency
    )
    if (
        wait_seconds
        and event.at + wait_seconds + expected_seconds
        > admission_request.deadline_at
    ):
        return refuse_overloaded(event.request_id, wait_seconds, state)
    decision = limits.try_acquire(
        admission_request.account,
        admission_request.tokens,
        event.at,
        state.limits,
    )
    if decision.wait_seconds:
        return refuse_limited(
            admission_request.account, decision, event.request_id, state
        )
    state = dataclasses.replace(state, limits=decision.limits)
    ticket = queues.Ticket(
        request_id=event.request_id,
        account=admission_request.account.name,
        rank=find_rank(admission_request.account),
        cost=max(admission_request.tokens, 1),
        weight=max(admission_request.account.tokens_per_second, 1),
        start_by=admission_request.deadline_at
        - START_MARGIN_FACTOR * expected_seconds,
        event=event,
    )
    if can_start(state.admission) and not state.admission.queue.count:
        return start_ticket(ticket, event.at, state)
    return enqueue(ticket, state)


def estimate_wait_seconds(rank: int, admission: AdmissionState) -> float:
    """Return the expected seconds in the queue."""
    ahead = queues.count_ahead(rank, admission.queue)
    if not ahead and can_start(admission):
        return 0
    return adaptive_concurrency.estimate_wait_seconds(
        ahead + 1, admission.concurrency
    )


def can_start(admission: AdmissionState) -> bool:
    """Return whether the concurrency limit permits another request."""
    return len(admission.started_at_by_request) < int(
        admission.concurrency.window.limit
    )


def refuse_overloaded(
    request_id: str,
    wait_seconds: float,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Refuse a request whose expected wait is too long."""
    return refusals.refuse(
        request_id,
        errors.OVERLOADED,
        f'the expected wait is {wait_seconds:.2f} s',
        state,
        max(wait_seconds, SMALLEST_RETRY_SECONDS),
    )


def enqueue(
    ticket: queues.Ticket,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Queue a request; a full queue sheds one of the lowest priority."""
    result = queues.put(ticket, state.admission.queue)
    state = with_queue(result.queue, state)
    waiting = report_waiting(state)
    delay_seconds = ticket.start_by - ticket.event.at
    expiry = effects.SetTimer(
        timers.QueueExpiry(ticket.request_id), delay_seconds
    )
    if result.ticket is None:
        return transitions.Transition(state, (expiry, waiting))
    shed = result.ticket
    refused = refuse_overloaded(
        shed.request_id,
        estimate_wait_seconds(shed.rank, state.admission),
        state,
    )
    if shed is ticket:
        return refused
    cancel_expiry = effects.CancelTimer(timers.QueueExpiry(shed.request_id))
    return refused.with_effects(expiry, cancel_expiry)


def with_queue(queue: queues.Queue, state: 'states.State') -> 'states.State':
    """Return the state with the queue replaced."""
    admission = dataclasses.replace(state.admission, queue=queue)
    return with_admission(state, admission)


def report_waiting(state: 'states.State') -> effects.Effect:
    """Report the length of the queue."""
    return effects.SetGauge('requests_waiting', state.admission.queue.count)


def start_ticket(
    ticket: queues.Ticket,
    now: float,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Start a request and count it as running."""
    running = state.admission.started_at_by_request.set(ticket.request_id, now)
    admission = dataclasses.replace(
        state.admission, started_at_by_request=running
    )
    state = with_admission(state, admission)
    return start_request(ticket.event.request, ticket.event, now, state)


def release_request(
    request_id: str,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Release the slot of a request that has ended."""
    if request_id not in state.admission.started_at_by_request:
        return transitions.Transition(state)
    running = state.admission.started_at_by_request.delete(request_id)
    admission = dataclasses.replace(
        state.admission, started_at_by_request=running
    )
    further: tuple[effects.Effect, ...] = ()
    if admission.queue.count:
        further = (effects.SetTimer(timers.AdmissionDue(), 0),)
    return transitions.Transition(with_admission(state, admission), further)


@reducer.on_timer.register(timers.AdmissionDue)
def start_waiting(
    timer: timers.AdmissionDue,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Start queued requests while the concurrency limit permits."""
    transition = transitions.Transition(state)
    while can_start(transition.state.admission):
        taken = queues.take(transition.state.admission.queue)
        if taken.ticket is None:
            break
        transition = transition.then(
            functools.partial(start_taken, taken, event.at),
        )
    return transition.with_effects(report_waiting(transition.state))


def start_taken(
    taken: queues.Removal,
    now: float,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Start a request taken from the queue."""
    assert taken.ticket is not None, 'the queue must have returned a ticket'
    cancel_expiry = effects.CancelTimer(
        timers.QueueExpiry(taken.ticket.request_id)
    )
    state = with_queue(taken.queue, state)
    return start_ticket(taken.ticket, now, state).with_effects(cancel_expiry)


@reducer.on_timer.register(timers.QueueExpiry)
def expire_waiting(
    timer: timers.QueueExpiry,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Refuse a queued request that can no longer meet its deadline."""
    ticket = queues.find_ticket(timer.request_id, state.admission.queue)
    if ticket is None:
        return transitions.Transition(state)
    wait_seconds = estimate_wait_seconds(ticket.rank, state.admission)
    state = with_queue(queues.remove(ticket, state.admission.queue), state)
    return refuse_overloaded(ticket.request_id, wait_seconds, state)


def cancel_waiting(
    request_id: str,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Remove the queued request of a caller that disconnected."""
    ticket = queues.find_ticket(request_id, state.admission.queue)
    if ticket is None:
        return transitions.Transition(state)
    state = with_queue(queues.remove(ticket, state.admission.queue), state)
    cancel_expiry = effects.CancelTimer(timers.QueueExpiry(request_id))
    return transitions.Transition(state, (cancel_expiry, report_waiting(state)))


def observe_answer(
    request_id: str,
    model: str,
    token_gap_seconds: float,
    now: float,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Adapt the concurrency limit to a complete answer.

    The request must not have been released yet.
    """
    admission = state.admission
    started_at = admission.started_at_by_request.get(request_id, now)
    sample = adaptive_concurrency.Sample(
        model,
        token_gap_seconds,
        now - started_at,
        len(admission.started_at_by_request),
    )
    before = admission.concurrency
    after = adaptive_concurrency.observe(sample, now, before)
    state = with_admission(
        state, dataclasses.replace(admission, concurrency=after)
    )
    limit = after.window.limit
    if limit == before.window.limit:
        return transitions.Transition(state)
    gauge = effects.SetGauge('concurrency_limit', limit)
    return transitions.Transition(state, (gauge,))
