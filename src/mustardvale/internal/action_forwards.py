"""Forward actions to the instance that owns their partition."""

import dataclasses
import typing

import immutables

from mustardvale import errors
from mustardvale.internal import (
    action_claims,
    action_keys,
    action_requests,
    action_results,
    effects,
    events,
    membership,
    messages,
    partitions,
    reducer,
    timers,
    transitions,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

OWNER_CHECK_PERIOD_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Hold a forwarded request; `is_accepted` is true once the owner has it."""

    request: action_requests.OperationRequest
    owner_id: str
    is_accepted: bool = False


Forwards = immutables.Map[str, Forward]


def forward(
    forward_id: str,
    request: action_requests.OperationRequest,
    owner: membership.Peer,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Forward a request to its owner and start its timers."""
    remaining_seconds = request.deadline_at - event.at
    message = messages.ForwardAction(
        forward_id=forward_id,
        reply_to=state.identity.peer_address,
        account=request.account,
        service=request.service,
        operation=request.operation,
        idempotency_key=request.idempotency_key,
        body=request.body,
        deadline_seconds=remaining_seconds,
        deadline_wall=event.wall_time + remaining_seconds,
        traceparent=request.traceparent,
    )
    forwarded = Forward(request, owner.listed.instance_id)
    forwards = state.forwards.set(forward_id, forwarded)
    return transitions.Transition(
        dataclasses.replace(state, forwards=forwards),
        (
            effects.SendToPeer(owner.listed.peer_address, message),
            effects.SetTimer(
                timers.ForwardDeadline(forward_id), remaining_seconds
            ),
            effects.SetTimer(
                timers.ForwardCheckDue(forward_id), OWNER_CHECK_PERIOD_SECONDS
            ),
            effects.Count('actions_forwarded'),
        ),
    )


@reducer.on_peer_message.register(messages.ForwardAction)
def accept_forwarded(
    message: messages.ForwardAction,
    event: events.PeerMessageReceived,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Acknowledge a forwarded action and run it; it is not forwarded again."""
    accepted = effects.SendToPeer(
        message.reply_to,
        messages.ActionAccepted(message.forward_id),
    )
    transition = run_forwarded(message, event, state)
    return transitions.Transition(
        transition.state, (accepted, *transition.effects)
    )


def run_forwarded(
    message: messages.ForwardAction,
    event: events.PeerMessageReceived,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Run an action that a peer forwarded."""
    document = state.configuration.document
    service = document.find_service(message.service) if document else None
    request = action_requests.OperationRequest(
        origin=action_requests.ForwardingPeer(
            message.forward_id,
            message.reply_to,
        ),
        account=message.account,
        service=message.service,
        operation=message.operation,
        pool=service.pool if service else '',
        idempotency_key=action_keys.canonicalize(message.idempotency_key),
        body=message.body,
        body_digest=action_keys.digest_body(
            message.service,
            message.operation,
            message.body,
        ),
        received_at=event.at,
        deadline_at=event.at + find_remaining_seconds(message, event),
        traceparent=message.traceparent,
    )
    error = action_keys.find_key_error(message.idempotency_key, event.wall_time)
    if request.deadline_at <= event.at:
        error = action_results.build_not_sent()
    if service is None:
        error = action_requests.build_not_run(
            errors.NOT_READY,
            f'the document in force has no service {message.service!r}',
        )
    if error is not None:
        return action_requests.finish_request(request, error, event, state)
    return action_claims.accept_call(request, event, state)


def find_remaining_seconds(
    message: messages.ForwardAction,
    event: events.PeerMessageReceived,
) -> float:
    """Return the seconds left until the deadline.

    The wall time bounds them, with a tolerance for clock skew, because
    the message may have waited before it was read.
    """
    by_wall_time = message.deadline_wall - event.wall_time
    return min(
        message.deadline_seconds,
        by_wall_time + partitions.MAXIMUM_CLOCK_SKEW_SECONDS,
    )


@reducer.on_peer_message.register(messages.ActionAccepted)
def handle_acceptance(
    message: messages.ActionAccepted,
    event: events.PeerMessageReceived,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Record that the owner has received a forwarded action."""
    forwarded = state.forwards.get(message.forward_id)
    if forwarded is None:
        return transitions.Transition(state)
    accepted = dataclasses.replace(forwarded, is_accepted=True)
    forwards = state.forwards.set(message.forward_id, accepted)
    return transitions.Transition(dataclasses.replace(state, forwards=forwards))


@reducer.on_timer.register(timers.ForwardCheckDue)
def check_owner(
    timer: timers.ForwardCheckDue,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Run a forwarded action here if its owner is down or has not accepted it.

    This cannot send the action twice, because the log decides which attempt
    may send. The outcome `not_run` is no longer certain, since the owner may
    run the action.
    """
    forwarded = state.forwards.get(timer.forward_id)
    if forwarded is None:
        return transitions.Transition(state)
    owner = state.membership.peers.get(forwarded.owner_id)
    is_owner_live = owner is not None and membership.is_live(owner, event.at)
    if forwarded.is_accepted and is_owner_live:
        rearm = effects.SetTimer(timer, OWNER_CHECK_PERIOD_SECONDS)
        return transitions.Transition(state, (rearm,))
    forwards = state.forwards.delete(timer.forward_id)
    request = dataclasses.replace(forwarded.request, may_run_elsewhere=True)
    return action_claims.accept_call(
        request,
        event,
        dataclasses.replace(state, forwards=forwards),
    ).with_effects(
        effects.CancelTimer(timers.ForwardDeadline(timer.forward_id)),
        effects.Count('actions_taken_over'),
    )


@reducer.on_peer_message.register(messages.ActionOutcome)
def handle_outcome(
    message: messages.ActionOutcome,
    event: events.PeerMessageReceived,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Deliver the outcome of a forwarded action to its caller."""
    result = action_requests.build_result(message)
    return finish_forward(message.forward_id, result, event, state)


@reducer.on_timer.register(timers.ForwardDeadline)
def expire(
    timer: timers.ForwardDeadline,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Report an unknown outcome at the deadline of a forwarded action."""
    result = action_results.build_not_answered()
    return finish_forward(timer.forward_id, result, event, state)


def finish_forward(
    forward_id: str,
    result: action_requests.Result,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Deliver the result of a forwarded request unless it has one."""
    forwarded = state.forwards.get(forward_id)
    if forwarded is None:
        count = effects.Count('late_action_results')
        return transitions.Transition(state, (count,))
    forwards = state.forwards.delete(forward_id)
    cancel = effects.CancelTimer(timers.ForwardDeadline(forward_id))
    return action_requests.finish_request(
        forwarded.request,
        result,
        event,
        dataclasses.replace(state, forwards=forwards),
    ).with_effects(cancel)
