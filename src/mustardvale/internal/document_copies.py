"""Exchange the document in force with other entry instances.

An instance needs a copy if it starts while the log is down, or if it missed
records that the log has dropped.
"""

import dataclasses
import typing

from mustardvale.internal import (
    configuration,
    effects,
    events,
    membership,
    messages,
    promotions,
    reducer,
    timers,
    transitions,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

# Two heartbeat periods, so that every live peer has been heard before the one
# with the latest document is chosen.
INITIAL_DELAY_SECONDS = 2 * membership.HEARTBEAT_PERIOD_SECONDS
CHECK_PERIOD_SECONDS = 0.5


@reducer.on_timer.register(timers.DocumentCheckDue)
def request_copy_if_needed(
    timer: timers.DocumentCheckDue,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Request the latest document from a peer if this instance needs it."""
    rearm = effects.SetTimer(timer, CHECK_PERIOD_SECONDS)
    heartbeat = find_latest_heartbeat(event.at, state)
    if heartbeat is None or not is_copy_needed(heartbeat, state):
        return transitions.Transition(state, (rearm,))
    request = messages.DocumentRequest(
        state.configuration.environment,
        state.identity.peer_address,
    )
    send = effects.SendToPeer(heartbeat.peer_address, request)
    return transitions.Transition(state, (send, rearm))


def find_latest_heartbeat(
    now: float,
    state: 'states.State',
) -> messages.Heartbeat | None:
    """Return the last heartbeat of the live peer with the latest document."""
    heartbeats = (
        peer.heartbeat
        for peer in state.membership.peers.values()
        if now - peer.heard_at < membership.SUSPECT_AFTER_SECONDS
    )
    return max(
        (
            heartbeat
            for heartbeat in heartbeats
            if heartbeat is not None
            and heartbeat.environment == state.configuration.environment
            and heartbeat.document_version > 0
        ),
        key=lambda heartbeat: (
            heartbeat.document_offset,
            heartbeat.instance_id,
        ),
        default=None,
    )


def is_copy_needed(
    heartbeat: messages.Heartbeat,
    state: 'states.State',
) -> bool:
    """Return whether this instance needs the document of a peer."""
    own_configuration = state.configuration
    if heartbeat.document_offset > own_configuration.promoted.offset:
        return True
    return (
        not own_configuration.promoted.is_contiguous
        or is_starting_without_log(state)
    )


def is_starting_without_log(state: 'states.State') -> bool:
    """Return whether the log failed before it was read to its end."""
    return not state.log.is_available and not state.configuration.is_caught_up


@reducer.on_peer_message.register(messages.DocumentRequest)
def send_copy(
    message: messages.DocumentRequest,
    event: events.PeerMessageReceived,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Send a copy unless this instance may have missed a later document."""
    own_configuration = state.configuration
    promoted = own_configuration.promoted
    if (
        message.environment != own_configuration.environment
        or not own_configuration.is_caught_up
        or not promoted.is_contiguous
    ):
        return transitions.Transition(state)
    copy = messages.DocumentCopy(
        environment=own_configuration.environment,
        version=promoted.version,
        offset=promoted.offset,
        as_of=promoted.as_of,
        document=promoted.document,
        operator=promoted.operator,
    )
    return transitions.Transition(
        state,
        (
            effects.SendToPeer(message.reply_to, copy),
            effects.Count('document_copies', ('sent',)),
        ),
    )


@reducer.on_peer_message.register(messages.DocumentCopy)
def handle_copy(
    message: messages.DocumentCopy,
    event: events.PeerMessageReceived,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Adopt a copy from a peer and apply the document that is then in force.

    An instance that starts without the log treats the copy as the end of the
    stream.
    """
    own_configuration = state.configuration
    if message.environment != own_configuration.environment:
        return transitions.Transition(state)
    candidate = promotions.PromotionState(
        version=message.version,
        offset=message.offset,
        document=message.document,
        as_of=message.as_of,
        operator=message.operator,
    )
    promoted = promotions.adopt_peer_state(
        candidate, own_configuration.promoted
    )
    result = 'ignored' if promoted == own_configuration.promoted else 'adopted'
    is_covered = promoted.is_contiguous and promoted.as_of >= message.as_of
    updated = dataclasses.replace(
        own_configuration,
        promoted=promoted,
        is_caught_up=own_configuration.is_caught_up
        or (is_covered and is_starting_without_log(state)),
    )
    return configuration.apply_promoted(
        event,
        dataclasses.replace(state, configuration=updated),
    ).with_effects(effects.Count('document_copies', (result,)))
