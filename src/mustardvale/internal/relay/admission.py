"""Decide whether a request may be relayed, before it is sent."""

import dataclasses
import typing

from mustardvale.internal import draws, effects, events, transitions
from mustardvale.internal.relay import (
    capacity_waits,
    completion,
    configuration,
    configuration_feed,
    dispatch,
    exchanges,
    fingerprints,
    limit_shares,
    peer_feed,
    prompt_blocks,
    reducer,
    requests,
    retry_budgets,
    return_times,
    startup_waits,
    stopping,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

# With a configuration older than this, a request for an unknown route or with
# an unknown key is refused as unavailable: a newer one may have added them.
MAXIMUM_DENIAL_AGE_SECONDS = 4.0
# Short, because other instances usually can serve the request.
NOT_READY_RETRY_SECONDS = 0.05
MAXIMUM_URGENCY = 9


class AdmissionError(Exception):
    """Report a request that may not be relayed, with the refusal to send."""

    def __init__(self, refusal: requests.Refusal, reason: str) -> None:
        super().__init__(reason)
        self.refusal = refusal
        self.reason = reason


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """Hold the route and the tenant of a request that may be relayed."""

    route: configuration.Route
    tenant: configuration.Tenant | None


def relay_or_refuse(
    event: events.CallerRequested, now: float, state: 'states.State'
) -> reducer.Transition:
    """Relay a request that may have waited since its event, or refuse it."""
    request = event.request
    try:
        admitted = check_request(request, now, state)
    except AdmissionError as error:
        return completion.refuse_unadmitted(
            event.request_id, request, error.refusal, error.reason, state
        )
    drawn = draws.draw(state.seed)
    state = dataclasses.replace(state, seed=drawn.seed)
    service = configuration.pick_service(admitted.route, drawn.fraction)
    exchange = build_exchange(event, request, admitted, service, state)
    exchange, state = keep_promise(exchange, now, state)
    budgets = retry_budgets.credit_request(
        state.retry_buckets,
        service,
        now,
        state.limits,
        limit_shares.count_shares(now, state),
    )
    state = dataclasses.replace(
        state,
        retry_buckets=budgets,
        exchanges=state.exchanges.set(event.request_id, exchange),
    )
    return dispatch.try_send(exchange, now, state)


def find_urgency(request: requests.ClientRequest, state: 'states.State') -> int:
    """Return the urgency of a request that has not been admitted yet."""
    active = state.configuration.active
    if active is None:
        return MAXIMUM_URGENCY
    route = configuration.find_route(active, request.host, request.path)
    if route is None:
        return MAXIMUM_URGENCY
    tenant = None
    if active.is_key_required and not route.is_public:
        tenant = active.tenants_by_key.get(request.api_key)
    return compute_urgency(route, tenant)


def compute_urgency(
    route: configuration.Route, tenant: configuration.Tenant | None
) -> int:
    """Return the urgency of a request, 0 for the most urgent."""
    priority = route.priority
    if tenant is not None and tenant.priority is not None:
        priority = tenant.priority
    return max(0, min(priority, MAXIMUM_URGENCY))


def check_request(
    request: requests.ClientRequest, now: float, state: 'states.State'
) -> AdmittedRequest:
    """Return the route and tenant of a request, or raise `AdmissionError`."""
    active = state.configuration.active
    if not stopping.is_accepting(state, now):
        raise build_unavailable_error(
            request,
            'this instance stops',
            stopping.compute_retry_seconds(state, now),
        )
    if not request.attempt_id:
        raise AdmissionError(
            requests.Refusal(400, 'attempt_id_required'),
            'the attempt id is missing',
        )
    if active is None:
        raise build_unavailable_error(request, startup_waits.NO_CONFIGURATION)
    route = configuration.find_route(active, request.host, request.path)
    if route is None:
        raise build_denial(request, 404, 'not_found', now, state)
    tenant = None
    if active.is_key_required and not route.is_public:
        tenant = find_tenant(request, active, now, state)
    check_harm(request, tenant, now, state)
    return AdmittedRequest(route, tenant)


def check_harm(
    request: requests.ClientRequest,
    tenant: configuration.Tenant | None,
    now: float,
    state: 'states.State',
) -> None:
    """Raise `AdmissionError` if a request or its prompt crashes runners."""
    block = prompt_blocks.find_block(
        request, tenant.name if tenant else None, now, state
    )
    if block is None:
        check_hold(request, now, state)
        return
    refusal = requests.Refusal(
        completion.SERVICE_UNAVAILABLE_STATUS,
        'harmful_prompt' if request.prompt else 'harmful_request',
        request.attempt_id,
        prompt_blocks.compute_retry_after_seconds(block, now, state),
    )
    raise AdmissionError(refusal, prompt_blocks.REFUSAL_REASON)


def check_hold(
    request: requests.ClientRequest, now: float, state: 'states.State'
) -> None:
    """Raise `AdmissionError` while a part may have crashed a runner."""
    hold_seconds = prompt_blocks.find_hold_seconds(request.prompt, now, state)
    if hold_seconds:
        raise build_unavailable_error(
            request, prompt_blocks.HOLD_REASON, hold_seconds
        )


def find_tenant(
    request: requests.ClientRequest,
    active: configuration.Configuration,
    now: float,
    state: 'states.State',
) -> configuration.Tenant:
    """Return the tenant of a key, or raise `AdmissionError`."""
    if not configuration_feed.may_serve_keys(state, now):
        raise build_unavailable_error(
            request, 'the configuration is too old for keys'
        )
    tenant = active.tenants_by_key.get(request.api_key)
    if tenant is None:
        raise build_denial(request, 401, 'unauthorized', now, state)
    return tenant


def build_unavailable_error(
    request: requests.ClientRequest,
    reason: str,
    retry_seconds: float = NOT_READY_RETRY_SECONDS,
) -> AdmissionError:
    """Return a refusal that asks the caller to retry."""
    return AdmissionError(
        requests.Refusal(503, 'unavailable', request.attempt_id, retry_seconds),
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
    age_seconds = configuration_feed.compute_age_seconds(state, now)
    if age_seconds is None or age_seconds > MAXIMUM_DENIAL_AGE_SECONDS:
        return build_unavailable_error(
            request, f'{code}, according to an old configuration'
        )
    return AdmissionError(
        requests.Refusal(status, code, request.attempt_id), code
    )


def build_exchange(
    event: events.CallerRequested,
    request: requests.ClientRequest,
    admitted: AdmittedRequest,
    service: str,
    state: 'states.State',
) -> exchanges.Exchange:
    """Return the initial state of a request that is relayed."""
    active = state.configuration.active
    route, tenant = admitted.route, admitted.tenant
    return exchanges.Exchange(
        event.request_id,
        request,
        route,
        service,
        event.at,
        exchanges.compute_deadline(request, route.timeout_seconds, event.at),
        admitted_service=active.services.get(service) if active else None,
        tenant=None if tenant is None else tenant.name,
        urgency=compute_urgency(route, tenant),
        last_event_id=request.last_event_id,
        account_weight=1.0 if tenant is None else tenant.weight,
    )


def keep_promise(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> tuple[exchanges.Exchange, 'states.State']:
    """Mark the request of a caller that returns as it was told to.

    Each promise holds for one request.
    """
    promises = state.capacity.promises
    if not promises:
        return exchange, state
    request = exchange.request
    fingerprint = fingerprints.compute_fingerprint(
        exchange.tenant or '', request, request.path
    )
    promise = return_times.find_promise(promises, fingerprint, now)
    if promise is None:
        return exchange, state
    returning = dataclasses.replace(
        exchange, is_returning=True, pass_count=promise.pass_count
    )
    return returning, capacity_waits.with_capacity(
        state, promises=promises.delete(fingerprint)
    )


@reducer.reduce.register(events.CallerLeft)
def handle_caller_left(
    event: events.CallerLeft, state: 'states.State'
) -> reducer.Transition:
    """Drop the request of a caller, or the feed of a peer, that has left."""
    if event.request_id in state.startup.waiting:
        return startup_waits.end_wait(
            event.request_id, None, 'left', event.at, state
        )
    exchange = state.exchanges.get(event.request_id)
    if exchange is None:
        return transitions.Transition(
            peer_feed.remove_follower(event.request_id, state)
        )
    return completion.close_exchange(exchange, 'caller_left', event.at, state)


@reducer.reduce.register(events.CallerBlocked)
@reducer.reduce.register(events.CallerCaughtUp)
def apply_backpressure(
    event: events.CallerBlocked | events.CallerCaughtUp, state: 'states.State'
) -> reducer.Transition:
    """Pause the upstream's answer while the caller does not read."""
    exchange = state.exchanges.get(event.request_id)
    if exchange is None:
        return transitions.Transition(state)
    is_blocked = isinstance(event, events.CallerBlocked)
    changed = dataclasses.replace(exchange, is_caller_blocked=is_blocked)
    next_state = dataclasses.replace(
        state, exchanges=state.exchanges.set(event.request_id, changed)
    )
    flow_control: tuple[effects.Effect, ...] = tuple(
        dispatch.build_flow_control_effect(attempt.send_id, is_blocked)
        for attempt in exchange.attempts
    )
    return transitions.Transition(next_state, flow_control)
