"""Decide whether a request may be relayed, before anything is sent."""

import dataclasses
import typing

from mustardvale.internal import draws, effects, events, transitions
from mustardvale.internal.relay import (
    configuration,
    configuration_feed,
    dispatch,
    completion,
    exchanges,
    members,
    peer_feed,
    reducer,
    repeats,
    requests,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

# Knowledge of this age is too old to tell a caller that a route or key does
# not exist.
MAXIMUM_DENIAL_AGE_SECONDS = 4.0
# Other instances usually can serve what this one cannot yet or any more.
NOT_READY_RETRY_SECONDS = 0.05
MAXIMUM_URGENCY = 9
# An instance that stops takes requests of callers that have not asked for new
# addresses yet. Streams that begin later would hold the stop up for seconds,
# while the other instances carry the load of those that stop.
ACCEPT_AFTER_STOP_SECONDS = 1.0


class AdmissionError(Exception):
    """Carry the refusal of a request that may not be relayed."""

    def __init__(self, refusal: requests.Refusal, reason: str) -> None:
        super().__init__(reason)
        self.refusal = refusal
        self.reason = reason


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """Hold what was found out about a request that may be relayed."""

    route: configuration.Route
    tenant: configuration.Tenant | None


@reducer.on_request.register(requests.ClientRequest)
def admit_request(
    request: requests.ClientRequest,
    event: events.CallerRequested,
    state: 'states.State',
) -> reducer.Transition:
    """Relay a request, or refuse it."""
    try:
        admitted = check_request(request, event.at, state)
    except AdmissionError as denied:
        return completion.refuse_unadmitted(
            event.request_id, request, denied.refusal, denied.reason, state
        )
    drawn = draws.draw(state.seed)
    state = dataclasses.replace(state, seed=drawn.seed)
    service = configuration.pick_service(admitted.route, drawn.fraction)
    exchange = build_exchange(event, request, admitted, service)
    ledger = repeats.earn(
        state.repeats,
        service,
        event.at,
        state.limits,
        members.count(state),
    )
    state = dataclasses.replace(
        state,
        repeats=ledger,
        exchanges=state.exchanges.set(event.request_id, exchange),
    )
    return dispatch.try_send(exchange, event.at, state)


def check_request(
    request: requests.ClientRequest, now: float, state: 'states.State'
) -> AdmittedRequest:
    """Return route and tenant of a request, or raise `Denied`."""
    active = state.configuration.active
    stopping = state.stopping
    if (
        stopping is not None
        and now - stopping.since > ACCEPT_AFTER_STOP_SECONDS
    ):
        raise build_unavailable_error(request, 'this instance stops')
    if active is None:
        raise build_unavailable_error(request, 'no configuration is known yet')
    if not request.attempt_id:
        raise AdmissionError(
            requests.Refusal(400, 'attempt_id_required'), 'no attempt id'
        )
    route = configuration.find_route(active, request.host, request.path)
    if route is None:
        raise build_denial(request, 404, 'not_found', now, state)
    if route.public or not active.keyed:
        return AdmittedRequest(route, None)
    return AdmittedRequest(route, find_tenant(request, active, now, state))


def find_tenant(
    request: requests.ClientRequest,
    active: configuration.Configuration,
    now: float,
    state: 'states.State',
) -> configuration.Tenant:
    """Return the tenant that a key belongs to, or raise `Denied`."""
    if not configuration_feed.is_confirmed(state, now):
        raise build_unavailable_error(
            request, 'the configuration is too old for keys'
        )
    tenant = active.tenants.get(request.key)
    if tenant is None:
        raise build_denial(request, 401, 'unauthorized', now, state)
    return tenant


def build_unavailable_error(
    request: requests.ClientRequest, reason: str
) -> AdmissionError:
    """Return a refusal that asks the caller to come again."""
    return AdmissionError(
        requests.Refusal(
            503, 'unavailable', request.attempt_id, NOT_READY_RETRY_SECONDS
        ),
        reason,
    )


def build_denial(
    request: requests.ClientRequest,
    status: int,
    code: str,
    now: float,
    state: 'states.State',
) -> AdmissionError:
    """Return a final refusal, unless a newer configuration may allow it."""
    known = configuration_feed.age(state, now)
    if known is None or known > MAXIMUM_DENIAL_AGE_SECONDS:
        return build_unavailable_error(
            request, f'{code}, by an old configuration'
        )
    return AdmissionError(
        requests.Refusal(status, code, request.attempt_id), code
    )


def build_exchange(
    event: events.CallerRequested,
    request: requests.ClientRequest,
    admitted: AdmittedRequest,
    service: str,
) -> exchanges.Exchange:
    """Return the state of a request that may be relayed."""
    route, tenant = admitted.route, admitted.tenant
    allowed = route.timeout_seconds
    if request.deadline_seconds is not None:
        allowed = min(allowed, request.deadline_seconds)
    priority = route.priority
    if tenant is not None and tenant.priority is not None:
        priority = tenant.priority
    return exchanges.Exchange(
        event.request_id,
        request,
        route,
        service,
        event.at,
        event.at + allowed,
        tenant=None if tenant is None else tenant.name,
        urgency=max(0, min(priority, MAXIMUM_URGENCY)),
        last_event=request.last_event,
    )


@reducer.reduce.register(events.CallerLeft)
def handle_caller_left(
    event: events.CallerLeft, state: 'states.State'
) -> reducer.Transition:
    """Stop the work for a caller, or an instance, that has left."""
    exchange = state.exchanges.get(event.request_id)
    if exchange is None:
        return transitions.Transition(
            peer_feed.forget_follower(event.request_id, state)
        )
    return completion.close_exchange(exchange, 'caller_left', event.at, state)


@reducer.reduce.register(events.CallerBlocked)
@reducer.reduce.register(events.CallerCaughtUp)
def apply_backpressure(
    event: events.CallerBlocked | events.CallerCaughtUp, state: 'states.State'
) -> reducer.Transition:
    """Let the upstream wait while the caller does not read."""
    exchange = state.exchanges.get(event.request_id)
    if exchange is None:
        return transitions.Transition(state)
    blocked = isinstance(event, events.CallerBlocked)
    changed = dataclasses.replace(exchange, blocked=blocked)
    kept = dataclasses.replace(
        state, exchanges=state.exchanges.set(event.request_id, changed)
    )
    asked: tuple[effects.Effect, ...] = tuple(
        dispatch.build_flow_control_effect(attempt.send_id, blocked)
        for attempt in exchange.attempts
    )
    return transitions.Transition(kept, asked)
