"""Apply the updates of the reader that this instance follows."""

import dataclasses
import typing

from mustardvale.internal import events, transitions
from mustardvale.internal.relay import (
    calls,
    configuration_feed,
    crash_tracking,
    fault_moves,
    members,
    peer_feed,
    reducer,
    runner_list,
    runners,
)
from mustardvale.internal.relay import effects as relay_effects

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states


# Updates that took longer are discarded. If this instance was suspended, its
# reader may have removed delisted runners that the update does not mention.
MAXIMUM_WAIT_SECONDS = 5.0


@reducer.on_answer.register(calls.FollowPeer)
def handle_update(
    call: calls.FollowPeer, event: events.CallAnswered, state: 'states.State'
) -> reducer.Transition:
    """Apply an update and request the next one."""
    update = event.answer
    if not isinstance(update, calls.PeerUpdate):
        return abandon_reader(f'status {update.status}', event.at, state)
    if event.at - state.peer_feed.requested_at > MAXIMUM_WAIT_SECONDS:
        return abandon_reader('the update is too late', event.at, state)
    if update.complete_from > (state.runner_list.position or 0):
        # A reader that has just started does not know the earlier changes.
        return runner_list.read_from_store(event.at, state)
    return (
        apply_runner_changes(update, event.at, state)
        .then(lambda current: apply_members(update, current))
        .then(lambda current: apply_crashes(update, event.at, current))
        .then(
            lambda current: fault_moves.apply_update(update, event.at, current)
        )
        .then(lambda current: apply_confirmation(update, event.at, current))
        .then(lambda current: runner_list.read_next(event.at, current))
    )


def apply_runner_changes(
    update: calls.PeerUpdate, now: float, state: 'states.State'
) -> reducer.Transition:
    """Apply changes of the runner list; the position never moves back.

    Clears the unconfirmed drops of this instance: the reader has already
    confirmed or discarded them.
    """
    known = state.runner_list
    position = max(known.position or 0, update.list_position)
    runner_map = state.runners
    for change in update.changes:
        if change.entry is None:
            runner_map = runners.record_delisting(
                runner_map, change.runner_id, position, now
            )
        else:
            runner_map = runners.record_listing(
                runner_map, change.entry, position
            )
    return runner_list.replace_runners(
        runner_list.remove_expired(runner_map, now),
        dataclasses.replace(
            known,
            position=position,
            unconfirmed_drops=frozenset(),
            read_at=now,
            is_failing=False,
        ),
        state,
    )


def apply_members(
    update: calls.PeerUpdate, state: 'states.State'
) -> reducer.Transition:
    """Store the members that the reader knows, if they differ."""
    if not update.zone_members:
        return transitions.Transition(state)
    zone = state.identity.availability_zone
    return members.record_members(zone, update.zone_members, state).then(
        lambda current: members.record_members(
            members.READER_GROUP, update.readers, current
        )
    )


def apply_crashes(
    update: calls.PeerUpdate, now: float, state: 'states.State'
) -> reducer.Transition:
    """Merge the evidence of crashes that the reader has, if it differs."""
    if update.crashes is None:
        return transitions.Transition(state)
    return crash_tracking.apply_report(update.crashes, now, state)


def apply_confirmation(
    update: calls.PeerUpdate, now: float, state: 'states.State'
) -> reducer.Transition:
    """Apply the reader's confirmation, or fetch a newer configuration.

    The reader measures the age of its confirmation after this instance has
    sent the request. Counting that age from the time of the request never makes
    the confirmation look newer than it is.
    """
    known = state.configuration
    own_position = known.position or 0
    if update.configuration_position > own_position:
        return configuration_feed.fetch_newest(now, state)
    confirmed_at = state.peer_feed.requested_at - update.confirmed_seconds
    if update.configuration_position == own_position:
        known = dataclasses.replace(
            known, confirmed_at=max(known.confirmed_at or 0, confirmed_at)
        )
    return configuration_feed.record_confirmation(known, now, state)


@reducer.on_failure.register(calls.FollowPeer)
def handle_failure(
    call: calls.FollowPeer, event: events.CallFailed, state: 'states.State'
) -> reducer.Transition:
    """Abandon a reader that did not answer."""
    return abandon_reader(event.failure.kind.value, event.at, state)


def abandon_reader(
    problem: str, now: float, state: 'states.State'
) -> reducer.Transition:
    """Read from the store at once, and follow another reader afterwards.

    Asking the other reader first would make the list too old if that one does
    not answer either.
    """
    log_effect = relay_effects.LogDecision(
        'reader_lost',
        (
            ('reader', state.peer_feed.reader_id),
            ('problem', problem),
            ('asked_ms', int((now - state.peer_feed.requested_at) * 1000)),
        ),
    )
    reading = runner_list.read_from_store(
        now, peer_feed.record_reader_failure(now, state)
    )
    return dataclasses.replace(reading, effects=(log_effect, *reading.effects))
