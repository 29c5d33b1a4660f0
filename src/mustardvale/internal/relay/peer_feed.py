"""Share reads of the store between the instances of a zone.

Two instances of each zone, the readers, read the list of upstreams and the
configuration from the store. The other instances follow one of the readers. The
number of calls to the store therefore grows with the number of zones instead of
instances. A follower whose reader does not answer reads the store itself.
"""

import dataclasses
import typing

import immutables

from mustardvale.internal import effects, events, transitions
from mustardvale.internal.relay import (
    calls,
    crash_reports,
    fault_reports,
    heartbeat_log,
    members,
    pace_tracking,
    reducer,
    requests,
    runners,
    timers,
    upstream_pace,
)
from mustardvale.internal.relay import effects as relay_effects

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

# Readers answer after each of their reads of the list, every 0.7 s.
ANSWER_TIMEOUT_SECONDS = 1.2
# A reader that did not answer is skipped for this long.
FAILED_READER_SECONDS = 5.0
# So is one that waited for the store together with this instance. It may be
# sound, and is asked again soon.
WAITING_READER_SECONDS = 2.0
# An instance that the store does not answer asks other instances for this long
# before it tries the store again.
STORE_RETRY_SECONDS = 2.0
# For this long after the store was lost, readers of other zones may be
# followed. One that answers is kept: those that this instance would prefer may
# have lost the store as well.
STORE_DOUBT_SECONDS = 10.0
MAXIMUM_FOLLOWER_COUNT = 256
UNAVAILABLE_STATUS = 503
# Several runners often crash together. Their faults travel in one message.
FAULT_TELLING_SECONDS = 0.003
# The age of a confirmation that has never been given, which no limit allows.
NEVER_SECONDS = 1e9


@dataclasses.dataclass(frozen=True, slots=True)
class PeerFeedState:
    """Hold the waiting followers and the reader that this instance follows.

    `followers` is keyed by request id, and `reader_id` is empty if this
    instance reads the store. `failed_until` has the readers that did not
    answer and the time until which they are skipped. `store_failed_at` is when
    the store last did not answer this instance, and `None` once it has.
    """

    followers: immutables.Map[str, calls.FollowPeer] = immutables.Map()
    reader_id: str = ''
    requested_at: float = 0.0
    failed_until: immutables.Map[str, float] = immutables.Map()
    store_failed_at: float | None = None


def choose_reader(now: float, state: 'states.State') -> members.Member | None:
    """Return the reader to follow, or `None` to read from the store."""
    positions = state.configuration.position, state.runner_list.position
    has_no_members = state.members.zone.listed_generation < 0
    if None in positions or has_no_members or state.stopping is not None:
        return None
    if members.is_reader(state) and not has_lost_store(now, state):
        return None
    for member in list_sources(now, state):
        if state.peer_feed.failed_until.get(member.instance_id, 0.0) <= now:
            return member
    return None


def list_sources(
    now: float, state: 'states.State'
) -> tuple[members.Member, ...]:
    """Return the readers that this instance may follow, the preferred first.

    While the store is in doubt, the reader that is followed now goes first, and
    the readers of other zones come last, for the case that the store does not
    answer those of this zone either.
    """
    readers = rotate(members.list_zone_readers(state), state)
    is_doubtful = is_store_doubtful(now, state)
    if is_doubtful:
        zone = state.identity.availability_zone
        readers += rotate(
            tuple(
                member
                for member in state.members.readers.listed
                if member.availability_zone != zone
            ),
            state,
        )
    own_id = state.identity.instance_id
    others = (member for member in readers if member.instance_id != own_id)
    if not is_doubtful:
        return tuple(others)
    kept_id = state.peer_feed.reader_id
    return tuple(
        sorted(others, key=lambda member: member.instance_id != kept_id)
    )


def rotate(
    readers: tuple[members.Member, ...], state: 'states.State'
) -> tuple[members.Member, ...]:
    """Return readers in an order that spreads the followers over them."""
    own_address = state.identity.addresses.peers
    first = sum(own_address.encode()) % max(len(readers), 1)
    return readers[first:] + readers[:first]


def has_lost_store(now: float, state: 'states.State') -> bool:
    """Return whether the store has just not answered this instance."""
    failed_at = state.peer_feed.store_failed_at
    return failed_at is not None and now - failed_at < STORE_RETRY_SECONDS


def is_store_doubtful(now: float, state: 'states.State') -> bool:
    """Return whether the store did not answer this instance lately."""
    failed_at = state.peer_feed.store_failed_at
    return failed_at is not None and now - failed_at < STORE_DOUBT_SECONDS


def record_store_answer(state: 'states.State') -> 'states.State':
    """Record that the store answers this instance."""
    if state.peer_feed.store_failed_at is None:
        return state
    feed = dataclasses.replace(state.peer_feed, store_failed_at=None)
    return dataclasses.replace(state, peer_feed=feed)


def record_store_failure(now: float, state: 'states.State') -> 'states.State':
    """Record that the store does not answer this instance.

    Where no reader has answered either, all of them are asked again: they may
    wait for the store together with this instance.
    """
    feed = dataclasses.replace(state.peer_feed, store_failed_at=now)
    failed = dataclasses.replace(state, peer_feed=feed)
    if members.is_reader(state) or choose_reader(now, failed) is not None:
        return failed
    return forget_reader_failures(failed)


def may_have_followers(state: 'states.State') -> bool:
    """Return whether the zone has more instances than readers."""
    return len(state.members.zone.listed) > members.READERS_PER_ZONE


def is_following(state: 'states.State') -> bool:
    """Return whether this instance follows a reader now."""
    return bool(state.peer_feed.reader_id)


def request_update(
    reader: members.Member, now: float, state: 'states.State'
) -> reducer.Transition:
    """Send a request to a reader, which answers after its next read."""
    list_position = state.runner_list.position
    configuration_position = state.configuration.position
    assert list_position is not None, 'followers have read the list'
    assert configuration_position is not None, (
        'followers have read the configuration'
    )
    call = calls.FollowPeer(
        list_position,
        configuration_position,
        state.members.checksum,
        state.runner_list.is_failing,
        state.crashes.checksum,
        state.store_copy.era,
        state.runner_list.is_disputed,
        fault_position=state.faults.followed_position
        if state.faults.followed_reader_id == reader.instance_id
        else 0,
        paces=upstream_pace.build_reports(state.paces.paces, now),
    )
    return change_reader(reader.instance_id, now, state).with_effects(
        effects.Call(call, reader.peers, ANSWER_TIMEOUT_SECONDS)
    )


def change_reader(
    reader_id: str, now: float, state: 'states.State'
) -> reducer.Transition:
    """Set the reader to follow, or none with an empty id; log a change."""
    feed = dataclasses.replace(
        state.peer_feed, reader_id=reader_id, requested_at=now
    )
    next_state = dataclasses.replace(state, peer_feed=feed)
    if reader_id == state.peer_feed.reader_id:
        return transitions.Transition(next_state)
    log_effect = relay_effects.LogDecision(
        'reader_changed',
        (
            ('reader', reader_id or None),
            ('before', state.peer_feed.reader_id or None),
            ('generation', state.members.zone.generation),
        ),
    )
    return transitions.Transition(next_state, (log_effect,))


def forget_reader_failures(state: 'states.State') -> 'states.State':
    """Ask all readers again."""
    return dataclasses.replace(
        state,
        peer_feed=dataclasses.replace(
            state.peer_feed, failed_until=immutables.Map()
        ),
    )


def record_reader_failure(now: float, state: 'states.State') -> 'states.State':
    """Skip the current reader for a while."""
    seconds = FAILED_READER_SECONDS
    if state.runner_list.is_failing:
        seconds = WAITING_READER_SECONDS
    failed = state.peer_feed.failed_until.set(
        state.peer_feed.reader_id, now + seconds
    )
    return dataclasses.replace(
        state,
        peer_feed=dataclasses.replace(state.peer_feed, failed_until=failed),
    )


@reducer.on_request.register(calls.FollowPeer)
def handle_follow_request(
    call: calls.FollowPeer,
    event: events.CallerRequested,
    state: 'states.State',
) -> reducer.Transition:
    """Note what a follower has found, and keep it or refuse it.

    An instance that follows a reader itself, is stopping or has too many
    followers refuses. While the store does not answer, it keeps only followers
    that the store does not answer either: the others can read for themselves.
    """
    reported = pace_tracking.apply_reports(call.paces, event.at, state)
    if reported is not state:
        return tell_paces(event.at, reported).then(
            lambda current: keep_follower(call, event, current)
        )
    return keep_follower(call, event, state)


def tell_paces(now: float, state: 'states.State') -> reducer.Transition:
    """Answer the followers because one has found a new pace.

    Followers are refused while the configuration is not confirmed. A pace is no
    reason to refuse them earlier.
    """
    known = state.configuration
    if known.confirmed_at is None or known.failing_since is not None:
        return transitions.Transition(state)
    return answer_followers(now, state)


def keep_follower(
    call: calls.FollowPeer,
    event: events.CallerRequested,
    state: 'states.State',
) -> reducer.Transition:
    """Keep a follower until the next read, or refuse it."""
    is_full = len(state.peer_feed.followers) >= MAXIMUM_FOLLOWER_COUNT
    is_reading = state.stopping is None and not is_following(state)
    can_help = call.is_store_lost or not state.runner_list.is_failing
    if is_full or not is_reading or not can_help:
        refusal = requests.Refusal(UNAVAILABLE_STATUS, 'not_reading')
        return transitions.Transition(
            state, (effects.Reply(event.request_id, refusal),)
        )
    followers = state.peer_feed.followers.set(event.request_id, call)
    feed = dataclasses.replace(state.peer_feed, followers=followers)
    kept = dataclasses.replace(state, peer_feed=feed)
    if fault_reports.has_untold(call, state.faults, event.at):
        return schedule_telling(kept)
    return transitions.Transition(kept)


def schedule_telling(state: 'states.State') -> reducer.Transition:
    """Tell other instances of faults soon.

    Later faults and followers do not postpone it.
    """
    if state.faults.is_telling_due:
        return transitions.Transition(state)
    due = dataclasses.replace(state.faults, is_telling_due=True)
    return transitions.Transition(
        dataclasses.replace(state, faults=due),
        (effects.SetTimer(timers.FaultTellingDue(), FAULT_TELLING_SECONDS),),
    )


def remove_follower(request_id: str, state: 'states.State') -> 'states.State':
    """Remove a follower that has disconnected."""
    if request_id not in state.peer_feed.followers:
        return state
    followers = state.peer_feed.followers.delete(request_id)
    return dataclasses.replace(
        state,
        peer_feed=dataclasses.replace(state.peer_feed, followers=followers),
    )


def answer_followers(now: float, state: 'states.State') -> reducer.Transition:
    """Send the changes to all followers.

    Refuses them while the configuration is not confirmed.
    """
    confirmed_at = state.configuration.confirmed_at
    if confirmed_at is None or state.configuration.failing_since is not None:
        return refuse_followers(state)
    replies = tuple(
        effects.Reply(request_id, build_update(call, now, state))
        for request_id, call in state.peer_feed.followers.items()
    )
    feed = dataclasses.replace(state.peer_feed, followers=immutables.Map())
    return transitions.Transition(
        dataclasses.replace(state, peer_feed=feed), replies
    )


def refuse_followers(state: 'states.State') -> reducer.Transition:
    """Refuse followers, so that they read the store themselves.

    The store may answer them although it does not answer this instance. Those
    that have tried it in vain wait for the next read that succeeds.
    """
    refusal = requests.Refusal(UNAVAILABLE_STATUS, 'not_reading')
    kept = immutables.Map(
        {
            request_id: call
            for request_id, call in state.peer_feed.followers.items()
            if call.is_store_lost
        }
    )
    replies = tuple(
        effects.Reply(request_id, refusal)
        for request_id in state.peer_feed.followers
        if request_id not in kept
    )
    feed = dataclasses.replace(state.peer_feed, followers=kept)
    return transitions.Transition(
        dataclasses.replace(state, peer_feed=feed), replies
    )


def needs_complete_list(call: calls.FollowPeer, state: 'states.State') -> bool:
    """Return whether a follower gets all entries, if they have been read.

    A follower that names no era is of a release without eras, and one that is
    ahead drops the update.
    """
    era = state.store_copy.era
    if call.era is None or era is None or state.runner_list.position is None:
        return False
    return call.era < era or (call.needs_complete_list and call.era == era)


def list_changes(
    position: int, state: 'states.State'
) -> tuple[calls.RunnerChange, ...]:
    """Return the entries that have changed since a position, 0 for all.

    Changes at that position are included: a drop that was unconfirmed for a
    while may be recorded at a position that the follower has reached already.
    """
    return tuple(
        build_change(runner_id, runner, state)
        for runner_id, runner in state.runners.items()
        if runner.changed_position >= position
    )


def build_change(
    runner_id: str, runner: runners.Runner, state: 'states.State'
) -> calls.RunnerChange:
    """Return what a follower is told of an upstream that has changed."""
    if runner.delisted_at is None:
        return calls.RunnerChange(runner_id, runner.listed)
    started_at_ms = runner.listed.started_at_ms
    last = heartbeat_log.find_last(
        state.runner_list.heartbeats, runner_id, started_at_ms
    )
    last_heartbeat = runners.Heartbeat(started_at_ms, last) if last else None
    return calls.RunnerChange(runner_id, None, last_heartbeat)


def compute_confirmation_age(now: float, state: 'states.State') -> float:
    """Return how long ago the configuration was confirmed, in seconds."""
    confirmed_at = state.configuration.confirmed_at
    return NEVER_SECONDS if confirmed_at is None else now - confirmed_at


def build_update(
    call: calls.FollowPeer, now: float, state: 'states.State'
) -> calls.PeerUpdate:
    """Return what a follower lacks, or all entries if it needs them.

    Positions of an earlier era of the store do not count.
    """
    is_complete = needs_complete_list(call, state)
    active = state.configuration.active
    update = calls.PeerUpdate(
        state.runner_list.position or 0,
        state.runner_list.complete_from or 0,
        list_changes(0 if is_complete else call.list_position, state),
        state.configuration.position or 0,
        compute_confirmation_age(now, state),
        era=state.store_copy.era,
        confirmed_era=state.configuration.confirmed_era,
        confirmed_version=active.version if active else None,
        is_complete=is_complete,
        fault_position=state.faults.position,
        paces=upstream_pace.build_reports(state.paces.paces, now),
    )
    if fault_reports.has_untold(call, state.faults, now):
        update = dataclasses.replace(
            update, faults=fault_reports.build_report(state.faults.faults, now)
        )
    if call.crash_checksum != state.crashes.checksum:
        update = dataclasses.replace(
            update,
            crashes=crash_reports.build_full_report(state.crashes, now),
        )
    if call.members_checksum == state.members.checksum:
        return update
    return dataclasses.replace(
        update,
        zone_members=members.format_members(state.members.zone.listed),
        readers=members.format_members(state.members.readers.listed),
    )
