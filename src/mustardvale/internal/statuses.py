"""Answer the requests of operators and health checks."""

import dataclasses
import typing

from mustardvale.internal import (
    caller_messages,
    effects,
    events,
    limits,
    membership,
    messages,
    pages,
    reducer,
    transitions,
    upstreams,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

SUSPECT = 'suspect'
UNHEARD = 'unheard'


@reducer.on_request.register(caller_messages.ReadinessRequest)
def answer_readiness(
    request: caller_messages.ReadinessRequest,
    event: events.CallerRequested,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Answer whether this instance accepts requests."""
    readiness = caller_messages.Readiness(True)
    if state.membership.own_state != membership.LIVE:
        readiness = caller_messages.Readiness(False, 'the instance is leaving')
    elif state.configuration.document is None:
        readiness = caller_messages.Readiness(
            False, 'no document is in force yet'
        )
    return transitions.Transition(
        state,
        (effects.Reply(event.request_id, readiness),),
    )


@reducer.on_request.register(caller_messages.StatusRequest)
def answer_status(
    request: caller_messages.StatusRequest,
    event: events.CallerRequested,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Answer with the known instances, upstreams and client accounts."""
    own = describe_instance(membership.build_heartbeat(state), 0)
    peers = tuple(
        describe_peer(peer, event.at)
        for peer in state.membership.peers.values()
    )
    status = caller_messages.Status(
        instances=(own, *peers),
        upstreams=tuple(
            describe_upstream(upstream, event.at)
            for upstream in state.upstreams.by_id.values()
        ),
        accounts=describe_accounts(state),
    )
    return transitions.Transition(
        state,
        (effects.Reply(event.request_id, status),),
    )


def describe_peer(
    peer: membership.Peer,
    now: float,
) -> caller_messages.InstanceStatus:
    """Describe a peer, including one that has never sent a heartbeat."""
    if peer.heartbeat is None:
        return caller_messages.InstanceStatus(
            instance_id=peer.listed.instance_id,
            address=peer.listed.address,
            availability_zone=peer.listed.availability_zone,
            state=UNHEARD,
            environment='',
            document_version=0,
            document_offset=-1,
            in_force_since=0,
            heard_seconds_ago=-1,
        )
    described = describe_instance(peer.heartbeat, now - peer.heard_at)
    return dataclasses.replace(described, state=find_peer_state(peer, now))


def find_peer_state(peer: membership.Peer, now: float) -> str:
    """Return the state of a peer from the list and its last heartbeat."""
    assert peer.heartbeat is not None, 'the peer has sent a heartbeat'
    if peer.listed.state.value == membership.LEAVING:
        return membership.LEAVING
    is_silent = now - peer.heard_at >= membership.SUSPECT_AFTER_SECONDS
    if is_silent and peer.heartbeat.state == membership.LIVE:
        return SUSPECT
    return peer.heartbeat.state


def describe_instance(
    heartbeat: messages.Heartbeat,
    heard_seconds_ago: float,
) -> caller_messages.InstanceStatus:
    """Describe an entry instance from its heartbeat."""
    return caller_messages.InstanceStatus(
        instance_id=heartbeat.instance_id,
        address=heartbeat.address,
        availability_zone=heartbeat.availability_zone,
        state=heartbeat.state,
        environment=heartbeat.environment,
        document_version=heartbeat.document_version,
        document_offset=heartbeat.document_offset,
        in_force_since=heartbeat.in_force_since,
        heard_seconds_ago=round(heard_seconds_ago, 3),
    )


def describe_upstream(
    upstream: upstreams.Upstream,
    now: float,
) -> caller_messages.UpstreamStatus:
    """Describe an upstream."""
    report = upstream.report
    layers = f'{report.first_layer}-{report.end_layer}' if report else ''
    return caller_messages.UpstreamStatus(
        instance_id=upstream.listed.instance_id,
        pool=upstream.listed.pool,
        address=upstream.listed.address,
        availability_zone=upstream.listed.availability_zone,
        state=find_upstream_state(upstream, now),
        in_flight=upstream.in_flight,
        queued=report.queued if report else 0,
        layers=layers,
    )


def find_upstream_state(upstream: upstreams.Upstream, now: float) -> str:
    """Return the state of an upstream as shown to operators."""
    if upstream.is_leaving or upstream.listed.state.value == membership.LEAVING:
        return 'leaving'
    if upstream.ejected_until > now:
        return 'ejected'
    return 'usable' if upstream.report else 'unreported'


def describe_accounts(
    state: 'states.State',
) -> tuple[caller_messages.AccountStatus, ...]:
    """Describe the client accounts of the document in force."""
    document = state.configuration.document
    if document is None:
        return ()
    return tuple(
        caller_messages.AccountStatus(
            name=account.name,
            priority=account.priority.value,
            requests_per_second=account.requests_per_second,
            tokens_per_second=account.tokens_per_second,
            share=limits.find_share(account.name, state.limits).tokens,
        )
        for account in document.client_accounts
    )


@reducer.on_request.register(caller_messages.LivenessRequest)
def answer_liveness(
    request: caller_messages.LivenessRequest,
    event: events.CallerRequested,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Answer that the event loop is running."""
    alive = caller_messages.Readiness(True)
    return transitions.Transition(
        state,
        (effects.Reply(event.request_id, alive),),
    )


@reducer.on_request.register(caller_messages.MetricsRequest)
def answer_metrics(
    request: caller_messages.MetricsRequest,
    event: events.CallerRequested,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Have the edge answer with its metrics."""
    return transitions.Transition(
        state,
        (effects.Reply(event.request_id, pages.MetricsPage()),),
    )


@reducer.on_request.register(caller_messages.SpansRequest)
def answer_spans(
    request: caller_messages.SpansRequest,
    event: events.CallerRequested,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Have the edge answer with its latest trace spans."""
    return transitions.Transition(
        state,
        (effects.Reply(event.request_id, pages.SpansPage()),),
    )
