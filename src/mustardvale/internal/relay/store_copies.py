"""Decide what follows when the store has been restored from an older copy.

The store counts its restores and names the count, its era, in every answer. A
rise means that the end of each log is lost and that its offsets are assigned
again. What was taken from the store is then read again; what no longer depends
on the store stays. A store that names no era is used as if it never loses data.
"""

import dataclasses
import functools
import typing

from mustardvale.internal import effects, events, transitions
from mustardvale.internal.relay import calls, members, reducer
from mustardvale.internal.relay import effects as relay_effects
from mustardvale.internal.relay import events as relay_events

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

# The operator writes its last version again within this time of a restore.
# Until then a read may show an older one as the newest.
REWRITE_SECONDS = 2.5
# The holder of a right that the store no longer knows may not have seen the
# rise. Its right ends by its own clock within the lifetime of a membership.
RIGHT_WAIT_SECONDS = members.MEMBERSHIP_LIFETIME_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class CopyState:
    """Hold the known era of the store, and what waits after it was first seen.

    `era` is `None` before the first answer and for a store that names none.
    Before `confirms_from`, reads are sent that confirm no configuration, before
    `lists_from` lists of members may be incomplete, and before `rights_from` no
    right to order runners is granted. `restored_at` is when a rise was last
    seen. `starts_with_site` is true in a process that starts together with the
    whole site, so that no other process can hold a right. `settled_era` is the
    latest era that is known to be recorded as settled. While `awaits_record`,
    the configuration is not read yet.
    """

    era: int | None = None
    restored_at: float | None = None
    confirms_from: float = 0.0
    lists_from: float = 0.0
    rights_from: float = 0.0
    starts_with_site: bool = False
    settled_era: int | None = None
    awaits_record: bool = False


@reducer.reduce.register(relay_events.StoreAnswered)
def reduce_store_answer(
    event: relay_events.StoreAnswered, state: 'states.State'
) -> reducer.Transition:
    """Drop an answer of an earlier era; otherwise apply it in its era."""
    if is_earlier(event.era, state):
        return fail_outdated(event, state)
    return observe_era(event.era, event.at, state).then(
        lambda current: answer_in_era(event.call, event, current)
    )


def is_earlier(era: int | None, state: 'states.State') -> bool:
    """Return whether an era is earlier than the known one."""
    known = state.store_copy.era
    return era is not None and known is not None and era < known


def is_current(era: int | None, state: 'states.State') -> bool:
    """Return whether a position of an era exists in the known one."""
    return era == state.store_copy.era


def fail_outdated(
    event: events.CallAnswered, state: 'states.State'
) -> reducer.Transition:
    """Handle a call whose answer may not be used as one that failed."""
    failure = events.Failure(events.FailureKind.OUTDATED, was_sent=True)
    failed = events.CallFailed(
        at=event.at,
        wall_time=event.wall_time,
        call=event.call,
        address=event.address,
        failure=failure,
    )
    counted: reducer.Transition = transitions.Transition(
        state, (effects.Count('outdated_store_answers', ()),)
    )
    return counted.then(lambda current: reducer.reduce(failed, current))


@functools.singledispatch
def answer_in_era(
    call: typing.Any, event: events.CallAnswered, state: 'states.State'
) -> reducer.Transition:
    """Apply an answer to a call that relies on no earlier answer."""
    return reducer.reduce_answer(event, state)


@answer_in_era.register(calls.FollowConfiguration)
@answer_in_era.register(calls.FollowRunners)
def answer_follow(
    call: calls.FollowConfiguration | calls.FollowRunners,
    event: events.CallAnswered,
    state: 'states.State',
) -> reducer.Transition:
    """Apply an answer, or read anew if its position is of an earlier era.

    That position may exist again, with other records before it.
    """
    if is_current(call.era, state):
        return reducer.reduce_answer(event, state)
    compacted = dataclasses.replace(event, answer=calls.HistoryCompacted())
    return reducer.reduce_answer(compacted, state)


@answer_in_era.register(calls.ReadConfiguration)
def answer_configuration_page(
    call: calls.ReadConfiguration,
    event: events.CallAnswered,
    state: 'states.State',
) -> reducer.Transition:
    """Apply a page, unless earlier pages are of an earlier era."""
    if call.position is None or is_current(call.era, state):
        return reducer.reduce_answer(event, state)
    return fail_outdated(event, state)


@answer_in_era.register(calls.ReadRunners)
def answer_runner_page(
    call: calls.ReadRunners, event: events.CallAnswered, state: 'states.State'
) -> reducer.Transition:
    """Apply a page, unless earlier pages are of an earlier era."""
    if call.earlier is None or is_current(call.era, state):
        return reducer.reduce_answer(event, state)
    return fail_outdated(event, state)


def observe_era(
    era: int | None, now: float, state: 'states.State'
) -> reducer.Transition:
    """Adopt a higher era; re-evaluate everything that was taken before it.

    A process that has read nothing yet has nothing to re-evaluate. Unless all
    start together, another one may still hold a right of the era before, and
    the store may just have been restored.
    """
    known = state.store_copy.era
    if era is None or (known is not None and era <= known):
        return transitions.Transition(state)
    if has_read_nothing(state):
        waits = not state.store_copy.starts_with_site
        first = dataclasses.replace(
            state.store_copy,
            era=era,
            rights_from=now + RIGHT_WAIT_SECONDS if waits else 0.0,
            confirms_from=now + REWRITE_SECONDS
            if waits and is_confirmation_limited(state)
            else 0.0,
        )
        return transitions.Transition(
            dataclasses.replace(state, store_copy=first),
            (effects.SetGauge('store_era', era),),
        )
    return restart_from_copy(era, now, state)


def is_confirmation_limited(state: 'states.State') -> bool:
    """Return whether keys may be used only after a recent confirmation."""
    return state.limits.key_revocation_seconds is not None


def record_settled(
    era: int | None, now: float, state: 'states.State'
) -> 'states.State':
    """Store which era is recorded as settled; it may be the present one.

    Reads that are sent from now on then confirm at once.
    """
    known = state.store_copy
    settled = dataclasses.replace(known, settled_era=era)
    if era is not None and era == known.era:
        settled = dataclasses.replace(
            settled, confirms_from=min(known.confirms_from, now)
        )
    return dataclasses.replace(state, store_copy=settled)


def has_read_nothing(state: 'states.State') -> bool:
    """Return whether this process has taken nothing from the store yet."""
    known = state.members
    return (
        state.store_copy.era is None
        and state.configuration.position is None
        and state.runner_list.position is None
        and not (known.zone.generation or known.readers.generation)
    )


def restart_from_copy(
    era: int, now: float, state: 'states.State'
) -> reducer.Transition:
    """Discard what an earlier era has assigned, and log the rise."""
    seen = dataclasses.replace(
        state.store_copy,
        era=era,
        restored_at=now,
        confirms_from=now + REWRITE_SECONDS,
        lists_from=now + members.HANDOVER_SECONDS,
        rights_from=now + RIGHT_WAIT_SECONDS,
    )
    next_state = dataclasses.replace(state, store_copy=seen)
    for discard in (
        discard_configuration_position,
        discard_list_position,
        discard_memberships,
    ):
        next_state = discard(now, next_state)
    return transitions.Transition(
        next_state, build_rise_effects(era, now, state)
    )


def build_rise_effects(
    era: int, now: float, state: 'states.State'
) -> tuple[effects.Effect, ...]:
    """Return the effects that count and log a rise of the era.

    `state` is that from before the rise.
    """
    held = members.is_leader(state, now)
    rise_effects: tuple[effects.Effect, ...] = (
        effects.Count('store_restores', ()),
        effects.SetGauge('store_era', era),
        relay_effects.LogDecision(
            'store_restored',
            (
                ('era', era),
                ('before', state.store_copy.era),
                ('position', state.configuration.position),
                ('list_position', state.runner_list.position),
                ('held', held),
            ),
        ),
    )
    if not held:
        return rise_effects
    return (
        *rise_effects,
        relay_effects.LogDecision(
            'order_right_changed', (('held', False), ('generation', 0))
        ),
    )


def discard_configuration_position(
    now: float, state: 'states.State'
) -> 'states.State':
    """Read the newest version again; the active one has to be shown again."""
    known = state.configuration
    return dataclasses.replace(
        state,
        configuration=dataclasses.replace(
            known,
            position=None,
            unshown_version=known.active.version if known.active else None,
        ),
    )


def discard_list_position(now: float, state: 'states.State') -> 'states.State':
    """Read all entries again; those that are missing are kept for a while.

    The positions of changes are of the earlier era. Followers of this era have
    either a complete list or read the store.
    """
    runner_map = state.runners
    for runner_id, runner in state.runners.items():
        runner_map = runner_map.set(
            runner_id, dataclasses.replace(runner, changed_position=0)
        )
    return dataclasses.replace(
        state,
        runners=runner_map,
        runner_list=dataclasses.replace(
            state.runner_list,
            position=None,
            complete_from=None,
            failed_at=now,
        ),
    )


def discard_memberships(now: float, state: 'states.State') -> 'states.State':
    """Join with generation 0, list again, and hold no right."""
    known = state.members
    return dataclasses.replace(
        state,
        members=dataclasses.replace(
            known,
            zone=discard_generation(known.zone, now),
            readers=discard_generation(known.readers, now),
            leader_until=0.0,
        ),
    )


def discard_generation(
    group: members.GroupState, now: float
) -> members.GroupState:
    """Forget the generation of a group, and keep its members.

    Members are handed partitions again before a list names them all, so that
    lists requested earlier than that are ignored.
    """
    return dataclasses.replace(
        group,
        generation=0,
        listed_generation=min(group.listed_generation, 0),
        generation_changed_at=now,
        listed_at=now + members.HANDOVER_SECONDS
        if group.listed_generation >= 0
        else group.listed_at,
    )


def may_confirm(requested_at: float, state: 'states.State') -> bool:
    """Return whether a read sent at a time confirms the active version.

    After a rise, the store has to show that version or a newer one first.
    """
    return (
        state.configuration.unshown_version is None
        and requested_at >= state.store_copy.confirms_from
    )


def compute_confirmation_delay(state: 'states.State', now: float) -> float:
    """Return in how many seconds a read may confirm again, or 0."""
    return max(state.store_copy.confirms_from - now, 0.0)


def is_rewritten(now: float, state: 'states.State') -> bool:
    """Return whether runners have had the time to write their entries again."""
    restored_at = state.store_copy.restored_at
    return restored_at is None or now - restored_at >= REWRITE_SECONDS
