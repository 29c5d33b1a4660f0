"""Detect entry instances that fail and spread the suspicion.

At a large site only a few peers watch an instance. A watcher that hears no
heartbeat reports the suspicion to its targets, which relay it to theirs. An
instance that learns that it is suspected sends a heartbeat at once, which is
relayed as a change of its status.
"""

import dataclasses
import functools
import typing

from mustardvale.internal import (
    effects,
    events,
    heartbeat_rings,
    membership,
    messages,
    reducer,
    timers,
    transitions,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

CHECK_PERIOD_SECONDS = 1.0
REPORT_PERIOD_SECONDS = 10.0


@reducer.on_timer.register(timers.SilenceCheckDue)
def report_silent_peers(
    timer: timers.SilenceCheckDue,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Report the watched peers that are not heard.

    At a small site every instance hears all others itself, so none is reported.
    """
    rearm = effects.SetTimer(timer, CHECK_PERIOD_SECONDS)
    transition = transitions.Transition(state, (rearm,))
    if heartbeat_rings.is_full_mesh(state.membership.ring):
        return transition
    for peer in state.membership.peers.values():
        if is_report_due(peer, event.at):
            transition = transition.then(
                functools.partial(suspect_peer, peer, event),
            )
    return transition


def is_report_due(peer: membership.Peer, now: float) -> bool:
    """Return whether a watched peer is silent and a report is due."""
    return (
        peer.is_watched
        and peer.heartbeat is not None
        and now - peer.heard_at >= membership.SUSPECT_AFTER_SECONDS
        and now - peer.suspected_at >= REPORT_PERIOD_SECONDS
    )


def suspect_peer(
    peer: membership.Peer,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Mark a peer as suspected and report it to the targets."""
    assert peer.heartbeat is not None, 'a suspected peer was heard once'
    suspected = dataclasses.replace(peer, suspected_at=event.at)
    report = messages.PeerSuspected(
        peer.listed.instance_id,
        peer.heartbeat.incarnation,
        peer.heartbeat.beat,
    )
    state = membership.with_peer(suspected, state)
    return transitions.Transition(
        state,
        (
            effects.Count('peers_suspected'),
            *membership.send_to_targets(report, state),
        ),
    )


@reducer.on_peer_message.register(messages.PeerSuspected)
def handle_suspicion(
    message: messages.PeerSuspected,
    event: events.PeerMessageReceived,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Relay a new suspicion, or refute one about this instance.

    A suspicion older than the last heartbeat of the peer is dropped. So is one
    about a peer that was suspected a moment ago, which ends the relaying.
    """
    if message.instance_id == state.identity.instance_id:
        early_heartbeat = effects.SetTimer(timers.HeartbeatDue(), 0)
        return transitions.Transition(state, (early_heartbeat,))
    peer = state.membership.peers.get(message.instance_id)
    if peer is None or (
        event.at - peer.suspected_at < REPORT_PERIOD_SECONDS / 2
    ):
        return transitions.Transition(state)
    if peer.heartbeat is not None and (
        (peer.heartbeat.incarnation, peer.heartbeat.beat)
        > (message.incarnation, message.beat)
    ):
        return transitions.Transition(state)
    state = membership.with_peer(
        dataclasses.replace(peer, suspected_at=event.at),
        state,
    )
    return transitions.Transition(
        state, membership.send_to_targets(message, state)
    )
