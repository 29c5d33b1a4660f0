"""Take the news of the instance that reads the store for this one."""

import dataclasses
import typing

from mustardvale.internal import events
from mustardvale.internal.relay import (
    calls,
    configuration_feed,
    peer_feed,
    reducer,
    runner_list,
    runners,
)
from mustardvale.internal.relay import effects as relay_effects

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states


# News that an instance reads after it was suspended for long may lack drops
# that its reader has forgotten meanwhile.
MAXIMUM_WAIT_SECONDS = 5.0


@reducer.on_answer.register(calls.FollowPeer)
def handle_update(
    call: calls.FollowPeer, event: events.CallAnswered, state: 'states.State'
) -> reducer.Transition:
    """Apply news and wait for more."""
    news = event.answer
    if not isinstance(news, calls.PeerUpdate):
        return abandon_reader(f'status {news.status}', event.at, state)
    if event.at - state.peer_feed.requested_at > MAXIMUM_WAIT_SECONDS:
        return abandon_reader('late news', event.at, state)
    if news.complete_from > (state.runner_list.position or 0):
        # A reader that has just started does not know what went before.
        return runner_list.read_from_store(event.at, state)
    return (
        apply_runner_changes(news, event.at, state)
        .then(lambda listed: apply_confirmation(news, event.at, listed))
        .then(lambda confirmed: runner_list.read_next(event.at, confirmed))
    )


def apply_runner_changes(
    news: calls.PeerUpdate, now: float, state: 'states.State'
) -> reducer.Transition:
    """Apply the changes of the list, unless this instance has read further.

    The reader has decided about the entries that this one held back.
    """
    known = state.runner_list
    position = max(known.position or 0, news.list_position)
    table = state.runners
    for change in news.changes:
        if change.entry is None:
            table = runners.record_delisting(
                table, change.runner_id, position, now
            )
        else:
            table = runners.record_listing(table, change.entry, position)
    return runner_list.replace_runners(
        runner_list.remove_expired(table, now),
        dataclasses.replace(
            known,
            position=position,
            unconfirmed_drops=frozenset(),
            read_at=now,
            is_failing=False,
        ),
        state,
    )


def apply_confirmation(
    news: calls.PeerUpdate, now: float, state: 'states.State'
) -> reducer.Transition:
    """Confirm the configuration, or read the one that is newer.

    The reader said how old its confirmation was after this instance had
    asked, so that the time since the question covers all that lies between.
    """
    known = state.configuration
    own = known.position or 0
    if news.configuration_position > own:
        return configuration_feed.fetch_newest(now, state)
    confirmed_at = state.peer_feed.requested_at - news.confirmed_seconds
    if news.configuration_position == own:
        known = dataclasses.replace(
            known, confirmed_at=max(known.confirmed_at or 0, confirmed_at)
        )
    return configuration_feed.record_confirmation(known, now, state)


@reducer.on_failure.register(calls.FollowPeer)
def handle_failure(
    call: calls.FollowPeer, event: events.CallFailed, state: 'states.State'
) -> reducer.Transition:
    """Read without the reader that did not answer."""
    return abandon_reader(event.failure.kind.value, event.at, state)


def abandon_reader(
    problem: str, now: float, state: 'states.State'
) -> reducer.Transition:
    """Read the store at once, and follow another reader from then on.

    A second reader that does not answer either would make the list too old.
    """
    logged = relay_effects.LogDecision(
        'reader_lost',
        (
            ('reader', state.peer_feed.reader_id),
            ('problem', problem),
            ('asked_ms', int((now - state.peer_feed.requested_at) * 1000)),
        ),
    )
    following = runner_list.read_from_store(
        now, peer_feed.record_reader_failure(now, state)
    )
    return dataclasses.replace(following, effects=(logged, *following.effects))
