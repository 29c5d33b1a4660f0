"""Apply the updates of the reader that this instance follows."""

import dataclasses
import typing

from mustardvale.internal import events, transitions
from mustardvale.internal.relay import (
    calls,
    configuration_feed,
    crash_sharing,
    fault_moves,
    heartbeat_log,
    members,
    pace_tracking,
    peer_feed,
    reducer,
    runner_list,
    runners,
    store_copies,
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
    observed = store_copies.observe_era(update.era, event.at, state)
    if not is_applicable(call, update, observed.state):
        return observed.then(
            lambda current: runner_list.read_from_store(event.at, current)
        )
    apply_list = (
        apply_complete_list if update.is_complete else apply_runner_changes
    )
    listed = observed.then(
        lambda current: apply_list(update, event.at, current)
    )
    return (
        listed.then(lambda current: apply_reports(update, event.at, current))
        .then(lambda current: apply_confirmation(update, event.at, current))
        .then(lambda current: runner_list.read_next(event.at, current))
    )


def apply_reports(
    update: calls.PeerUpdate, now: float, state: 'states.State'
) -> reducer.Transition:
    """Apply what an update tells of members, crashes and faults of runners."""
    return (
        apply_members(
            update, pace_tracking.apply_reports(update.paces, now, state)
        )
        .then(lambda current: apply_crashes(update, now, current))
        .then(lambda current: fault_moves.apply_update(update, now, current))
    )


def is_applicable(
    call: calls.FollowPeer, update: calls.PeerUpdate, state: 'states.State'
) -> bool:
    """Return whether an update has all that this instance lacks.

    A reader that has just started does not know the earlier changes, and the
    list of one that has not seen the last restore of the store is outdated.
    """
    if store_copies.is_earlier(update.era, state):
        return False
    if update.is_complete:
        return True
    has_all_changes = update.complete_from <= (state.runner_list.position or 0)
    return has_all_changes and store_copies.is_current(call.era, state)


def apply_complete_list(
    update: calls.PeerUpdate, now: float, state: 'states.State'
) -> reducer.Transition:
    """Apply all entries of a reader, and forget those that it does not have.

    Until the runners have written their entries again, entries that are older
    than what is known, and missing ones, change nothing. The list is then
    requested again, because changes alone would not resolve them.
    """
    is_settled = store_copies.is_rewritten(now, state)
    runner_map = state.runners
    is_disputed = False
    for change in list_complete(update, state):
        if not is_settled and is_contradicted(change, state):
            is_disputed = True
        elif change.entry is None:
            runner_map = runners.record_delisting(
                runner_map, change.runner_id, update.list_position, now
            )
        else:
            runner_map = runners.record_listing(
                runner_map, change.entry, update.list_position
            )
    return runner_list.replace_runners(
        runner_list.remove_expired(runner_map, now),
        dataclasses.replace(
            record_last_heartbeats(update, state),
            position=update.list_position,
            complete_from=update.list_position,
            unconfirmed_drops=frozenset(),
            read_at=now,
            is_failing=False,
            is_disputed=is_disputed,
        ),
        state,
    )


def record_last_heartbeats(
    update: calls.PeerUpdate, state: 'states.State'
) -> runner_list.RunnerListState:
    """Remember the last heartbeats of dropped processes.

    This instance may read the store itself later, and late ones with it.
    """
    known = state.runner_list
    heartbeats = known.heartbeats
    for change in update.changes:
        if change.last_heartbeat is not None:
            heartbeats = heartbeat_log.record(
                heartbeats, change.runner_id, change.last_heartbeat
            )
    return dataclasses.replace(
        known,
        heartbeats=heartbeat_log.forget_removed(heartbeats, state.runners),
    )


def list_complete(
    update: calls.PeerUpdate, state: 'states.State'
) -> tuple[calls.RunnerChange, ...]:
    """Return all entries of a reader, and drops of those that it lacks."""
    listed = frozenset(change.runner_id for change in update.changes)
    return update.changes + tuple(
        calls.RunnerChange(runner_id, None)
        for runner_id in state.runners
        if runner_id not in listed
    )


def is_contradicted(change: calls.RunnerChange, state: 'states.State') -> bool:
    """Return whether a later state of the same process is known."""
    known = state.runners.get(change.runner_id)
    if known is None:
        return False
    if change.entry is None:
        return known.delisted_at is None
    return runners.is_superseded(
        known.listed, change.entry
    ) or runners.is_doubtful(known, change.entry)


def apply_runner_changes(
    update: calls.PeerUpdate, now: float, state: 'states.State'
) -> reducer.Transition:
    """Apply changes of the runner list; the position never moves back.

    Clears the unconfirmed drops of this instance: the reader has already
    confirmed or discarded them.
    """
    known = record_last_heartbeats(update, state)
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
            is_disputed=False,
        ),
        state,
    )


def apply_members(
    update: calls.PeerUpdate, state: 'states.State'
) -> reducer.Transition:
    """Store the members that the reader knows, if they differ."""
    zone = state.identity.availability_zone
    is_remote = any(
        member.instance_id == state.peer_feed.reader_id
        and member.availability_zone != zone
        for member in state.members.readers.listed
    )
    if is_remote or not update.zone_members:
        # The reader of another zone does not know the members of this one.
        return transitions.Transition(state)
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
    return crash_sharing.apply_report(update.crashes, now, state)


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
    if update.configuration_position == own_position and may_confirm(
        update, confirmed_at, state
    ):
        known = dataclasses.replace(
            known,
            confirmed_at=max(known.confirmed_at or 0, confirmed_at),
            confirmed_era=state.store_copy.era,
        )
    return configuration_feed.record_confirmation(known, now, state)


def may_confirm(
    update: calls.PeerUpdate, confirmed_at: float, state: 'states.State'
) -> bool:
    """Return whether a reader's confirmation holds for this instance.

    A reader applies the rules for a restored store itself, so that what it has
    confirmed in the present era holds at once. What it has confirmed before, or
    in an era that it does not name, holds under the rules of this instance. The
    same position may be that of another version, which the reader still has
    from before a restore.
    """
    active = state.configuration.active
    if update.confirmed_version is not None and (
        active is None or active.version != update.confirmed_version
    ):
        return False
    if update.confirmed_era is None or not store_copies.is_current(
        update.confirmed_era, state
    ):
        return store_copies.may_confirm(confirmed_at, state)
    return state.configuration.unshown_version is None


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
    not answer either. Where the store has just not answered this instance,
    another reader is asked instead.
    """
    log_effect = relay_effects.LogDecision(
        'reader_lost',
        (
            ('reader', state.peer_feed.reader_id),
            ('problem', problem),
            ('asked_ms', int((now - state.peer_feed.requested_at) * 1000)),
        ),
    )
    has_lost_store = peer_feed.has_lost_store(now, state)
    read = (
        runner_list.read_next if has_lost_store else runner_list.read_from_store
    )
    reading = read(now, peer_feed.record_reader_failure(now, state))
    return dataclasses.replace(reading, effects=(log_effect, *reading.effects))
