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
LATEST_SECONDS = 5.0


@reducer.on_answer.register(calls.FollowPeer)
def take_news(
    call: calls.FollowPeer, event: events.CallAnswered, state: 'states.State'
) -> reducer.Transition:
    """Apply news and wait for more."""
    news = event.answer
    if not isinstance(news, calls.PeerNews):
        return leave_reader(f'status {news.status}', event.at, state)
    if event.at - state.feed.asked_at > LATEST_SECONDS:
        return leave_reader('late news', event.at, state)
    if news.complete_from > (state.runner_list.position or 0):
        # A reader that has just started does not know what went before.
        return runner_list.read_store(event.at, state)
    return (
        take_list(news, event.at, state)
        .then(lambda listed: take_confirmation(news, event.at, listed))
        .then(lambda confirmed: runner_list.read(event.at, confirmed))
    )


def take_list(
    news: calls.PeerNews, now: float, state: 'states.State'
) -> reducer.Transition:
    """Apply the changes of the list, unless this instance has read further.

    The reader has decided about the entries that this one held back.
    """
    known = state.runner_list
    position = max(known.position or 0, news.list_position)
    table = state.runners
    for change in news.changes:
        if change.entry is None:
            table = runners.unlisted(table, change.runner_id, position, now)
        else:
            table = runners.listed(table, change.entry, position)
    return runner_list.adopt(
        runner_list.forget_old(table, now),
        dataclasses.replace(
            known,
            position=position,
            dropped=frozenset(),
            read_at=now,
            failing=False,
        ),
        state,
    )


def take_confirmation(
    news: calls.PeerNews, now: float, state: 'states.State'
) -> reducer.Transition:
    """Confirm the configuration, or read the one that is newer.

    The reader said how old its confirmation was after this instance had
    asked, so that the time since the question covers all that lies between.
    """
    known = state.configuration
    own = known.position or 0
    if news.configuration_position > own:
        return configuration_feed.fetch(now, state)
    confirmed_at = state.feed.asked_at - news.confirmed_seconds
    if news.configuration_position == own:
        known = dataclasses.replace(
            known, confirmed_at=max(known.confirmed_at or 0, confirmed_at)
        )
    return configuration_feed.note_confirmed(known, now, state)


@reducer.on_failure.register(calls.FollowPeer)
def take_silence(
    call: calls.FollowPeer, event: events.CallFailed, state: 'states.State'
) -> reducer.Transition:
    """Read without the reader that did not answer."""
    return leave_reader(event.failure.kind.value, event.at, state)


def leave_reader(
    problem: str, now: float, state: 'states.State'
) -> reducer.Transition:
    """Read the store at once, and follow another reader from then on.

    A second reader that does not answer either would make the list too old.
    """
    logged = relay_effects.LogDecision(
        'reader_lost',
        (
            ('reader', state.feed.reader),
            ('problem', problem),
            ('asked_ms', int((now - state.feed.asked_at) * 1000)),
        ),
    )
    following = runner_list.read_store(now, peer_feed.fail_reader(now, state))
    return dataclasses.replace(following, effects=(logged, *following.effects))
