"""Share what is read from the store between the instances of a zone.

Two instances of each zone read the list of upstreams and the log of the
configuration; the others wait for news of one of them. The calls to the store
therefore grow with the zones and not with the instances. An instance whose
reader does not answer reads for itself.
"""

import dataclasses
import typing

import immutables

from mustardvale.internal import effects, events, transitions
from mustardvale.internal.relay import calls, members, reducer, requests
from mustardvale.internal.relay import effects as relay_effects

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

# One may be lost without any other instance noticing for long.
READERS_PER_ZONE = 2
# Readers answer after each of their reads of the list, which are 0.7 s apart.
ANSWER_TIMEOUT_SECONDS = 1.2
FAILED_READER_SECONDS = 5.0
MAXIMUM_FOLLOWER_COUNT = 256
UNAVAILABLE = 503


@dataclasses.dataclass(frozen=True, slots=True)
class PeerFeedState:
    """Hold who waits for news here, and whose news this instance follows.

    `failed` has readers that did not answer and until when others go first.
    """

    followers: immutables.Map[str, calls.FollowPeer] = immutables.Map()
    reader_id: str = ''
    requested_at: float = 0.0
    failed_until: immutables.Map[str, float] = immutables.Map()


def choose_reader(now: float, state: 'states.State') -> members.Member | None:
    """Return the instance to follow, or none where this one reads itself."""
    known = state.configuration.position, state.runner_list.position
    unlisted = state.members.listed_generation < 0
    if None in known or unlisted or state.shutdown is not None:
        return None
    own = state.identity
    readers = list_zone_members(state)[:READERS_PER_ZONE]
    if any(member.instance_id == own.instance_id for member in readers):
        return None
    # Followers spread over the readers by where they listen.
    turn = sum(own.addresses.peers.encode()) % max(len(readers), 1)
    for member in (*readers[turn:], *readers[:turn]):
        if state.peer_feed.failed_until.get(member.instance_id, 0.0) <= now:
            return member
    return None


def list_zone_members(state: 'states.State') -> tuple[members.Member, ...]:
    """Return the instances of the own zone in the order of their ids."""
    return tuple(
        member
        for member in state.members.listed
        if member.availability_zone == state.identity.availability_zone
    )


def may_have_followers(state: 'states.State') -> bool:
    """Return whether the own zone has instances that do not read."""
    return len(list_zone_members(state)) > READERS_PER_ZONE


def is_following(state: 'states.State') -> bool:
    """Return whether another instance reads for this one now."""
    return bool(state.peer_feed.reader_id)


def request_update(
    reader: members.Member, now: float, state: 'states.State'
) -> reducer.Transition:
    """Wait for news of a reader."""
    listed_to = state.runner_list.position
    configured_to = state.configuration.position
    assert listed_to is not None, 'followers have read the list'
    assert configured_to is not None, 'followers have read the configuration'
    call = calls.FollowPeer(listed_to, configured_to)
    return change_reader(reader.instance_id, now, state).with_effects(
        effects.Call(call, reader.peers, ANSWER_TIMEOUT_SECONDS)
    )


def change_reader(
    reader_id: str, now: float, state: 'states.State'
) -> reducer.Transition:
    """Note whose news this instance follows; none if it reads itself."""
    feed = dataclasses.replace(
        state.peer_feed, reader_id=reader_id, requested_at=now
    )
    next_state = dataclasses.replace(state, peer_feed=feed)
    if reader_id == state.peer_feed.reader_id:
        return transitions.Transition(next_state)
    logged = relay_effects.LogDecision(
        'reader_changed',
        (
            ('reader', reader_id or None),
            ('before', state.peer_feed.reader_id or None),
            ('generation', state.members.generation),
        ),
    )
    return transitions.Transition(next_state, (logged,))


def record_reader_failure(now: float, state: 'states.State') -> 'states.State':
    """Let other readers go first for a while."""
    failed = state.peer_feed.failed_until.set(
        state.peer_feed.reader_id, now + FAILED_READER_SECONDS
    )
    return dataclasses.replace(
        state,
        peer_feed=dataclasses.replace(state.peer_feed, failed_until=failed),
    )


@reducer.on_request.register(calls.FollowPeer)
def handle_follow_request(
    wanted: calls.FollowPeer,
    event: events.CallerRequested,
    state: 'states.State',
) -> reducer.Transition:
    """Let an instance wait for the next read, if this one reads."""
    crowded = len(state.peer_feed.followers) >= MAXIMUM_FOLLOWER_COUNT
    if crowded or is_following(state) or state.shutdown is not None:
        refusal = requests.Refusal(UNAVAILABLE, 'not_reading')
        return transitions.Transition(
            state, (effects.Reply(event.request_id, refusal),)
        )
    followers = state.peer_feed.followers.set(event.request_id, wanted)
    feed = dataclasses.replace(state.peer_feed, followers=followers)
    return transitions.Transition(dataclasses.replace(state, peer_feed=feed))


def remove_follower(request_id: str, state: 'states.State') -> 'states.State':
    """Forget an instance that does not wait any more."""
    if request_id not in state.peer_feed.followers:
        return state
    followers = state.peer_feed.followers.delete(request_id)
    return dataclasses.replace(
        state,
        peer_feed=dataclasses.replace(state.peer_feed, followers=followers),
    )


def answer_followers(now: float, state: 'states.State') -> reducer.Transition:
    """Tell all instances that wait what has been read."""
    confirmed = state.configuration.confirmed_at
    if confirmed is None or state.configuration.failing_since is not None:
        return refuse_followers(state)
    told = tuple(
        effects.Reply(request_id, build_update(wanted, now - confirmed, state))
        for request_id, wanted in state.peer_feed.followers.items()
    )
    feed = dataclasses.replace(state.peer_feed, followers=immutables.Map())
    return transitions.Transition(
        dataclasses.replace(state, peer_feed=feed), told
    )


def refuse_followers(state: 'states.State') -> reducer.Transition:
    """Let all instances that wait read for themselves.

    The store may serve them while it does not answer here.
    """
    refusal = requests.Refusal(UNAVAILABLE, 'not_reading')
    refused = tuple(
        effects.Reply(request_id, refusal)
        for request_id in state.peer_feed.followers
    )
    feed = dataclasses.replace(state.peer_feed, followers=immutables.Map())
    return transitions.Transition(
        dataclasses.replace(state, peer_feed=feed), refused
    )


def build_update(
    wanted: calls.FollowPeer, confirmed_seconds: float, state: 'states.State'
) -> calls.PeerUpdate:
    """Return what has changed from a position on.

    A drop that was held back may be noted at a position that the follower
    has reached already, so that changes at that position are sent as well.
    """
    changes = tuple(
        calls.RunnerChange(
            runner_id, runner.listed if runner.delisted_at is None else None
        )
        for runner_id, runner in state.runners.items()
        if runner.changed_position >= wanted.list_position
    )
    return calls.PeerUpdate(
        state.runner_list.position or 0,
        state.runner_list.complete_from or 0,
        changes,
        state.configuration.position or 0,
        confirmed_seconds,
    )
