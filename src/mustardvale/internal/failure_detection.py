"""Spread the news that an entry instance is not heard.

At a large site only a few peers watch an instance. One that does not hear it
tells its targets, and each that learns of it tells its own. An instance that
learns of this itself sends a heartbeat at once, which is relayed as news.
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
    """Tell others which of the watched peers are not heard.

    At a small site each instance hears every other one itself.
    """
    rearm = effects.SetTimer(timer, CHECK_PERIOD_SECONDS)
    transition = transitions.Transition(state, (rearm,))
    if heartbeat_rings.is_full_mesh(state.membership.ring):
        return transition
    for peer in state.membership.peers.values():
        if is_silent(peer, event.at):
            transition = transition.then(
                functools.partial(suspect_peer, peer, event),
            )
    return transition


def is_silent(peer: membership.Peer, now: float) -> bool:
    """Return whether a watched peer is not heard and others must know."""
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
    """Suspect a peer and pass this on."""
    assert peer.heartbeat is not None, 'only a peer once heard is suspected'
    suspected = dataclasses.replace(peer, suspected_at=event.at)
    news = messages.PeerSuspected(
        peer.listed.instance_id,
        peer.heartbeat.incarnation,
        peer.heartbeat.beat,
    )
    state = membership.with_peer(suspected, state)
    return transitions.Transition(
        state,
        (
            effects.Count('peers_suspected'),
            *membership.send_to_targets(news, state),
        ),
    )


@reducer.on_peer_message.register(messages.PeerSuspected)
def handle_suspicion(
    message: messages.PeerSuspected,
    event: events.PeerMessageReceived,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Pass on the news that a peer is not heard, or deny it."""
    if message.instance_id == state.identity.instance_id:
        deny = effects.SetTimer(timers.HeartbeatDue(), 0)
        return transitions.Transition(state, (deny,))
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
