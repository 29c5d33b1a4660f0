"""Keep the requests that crashes of runners have cut, and find the repeated.

An instance keeps the requests that it has lost to itself, because a crash cuts
many sound streams. It tells the others of those that it has lost to several
crashes, of those that others have lost too, and of some that it could not send
again: these may come again at any instance.
"""

import dataclasses
import typing

from mustardvale.internal import transitions
from mustardvale.internal.relay import (
    crash_records,
    crash_sharing,
    exchanges,
    fingerprints,
    reducer,
)

if typing.TYPE_CHECKING:
    from collections import abc

    from mustardvale.internal.relay import state as states

# Requests that could not be sent again of which other instances are told.
MAXIMUM_ENDED_PER_CRASH = 4


def note_loss(
    exchange: exchanges.Exchange,
    attempt: exchanges.Attempt,
    processes: frozenset[str],
    now: float,
    state: 'states.State',
) -> 'states.State':
    """Keep a request whose runner may have crashed.

    A runner that is about to exit closes its connections as planned.
    """
    if not attempt.is_sent or is_chain_leaving(attempt, state):
        return state
    request = describe_lost(exchange)
    known = state.crashes.losses.get(request.fingerprints[0], ())
    if any(
        loss.send_id == attempt.send_id
        and (not loss.crashed or loss.crashed in processes)
        for loss in known
    ):
        return state
    loss = crash_records.Loss(
        exchange.request_id, attempt.send_id, request, processes, now
    )
    return store_losses({request.fingerprints[0]: (*known, loss)}, state)


def describe_lost(exchange: exchanges.Exchange) -> crash_records.LostRequest:
    """Return a request as evidence."""
    account = exchange.tenant or ''
    return crash_records.LostRequest(
        account,
        fingerprints.compute_fingerprints(account, exchange.request),
        fingerprints.compute_arrival(exchange.request),
    )


def is_chain_leaving(attempt: exchanges.Attempt, state: 'states.State') -> bool:
    """Return whether a runner of an attempt has said that it leaves."""
    return any(
        runner_id in state.runners and state.runners[runner_id].is_exiting
        for runner_id in list_runner_ids(attempt)
    )


def list_runner_ids(attempt: exchanges.Attempt) -> list[str]:
    """Return the runners of an attempt."""
    return [part.runner_id for part in attempt.chain] or [attempt.runner_id]


def list_processes(
    attempt: exchanges.Attempt, state: 'states.State'
) -> frozenset[str]:
    """Return the listed processes of the runners of an attempt."""
    return frozenset(
        crash_records.name_process(
            runner_id, state.runners[runner_id].listed.started_at_ms
        )
        for runner_id in list_runner_ids(attempt)
        if runner_id in state.runners
    )


def store_losses(
    changed: 'abc.Mapping[str, tuple[crash_records.Loss, ...]]',
    state: 'states.State',
) -> 'states.State':
    """Store losses by fingerprint, and drop the oldest if there are many."""
    losses = state.crashes.losses
    for fingerprint, kept in changed.items():
        newest = kept[-crash_records.MAXIMUM_LOSSES_PER_FINGERPRINT :]
        losses = losses.set(fingerprint, newest)
    if len(losses) > crash_records.MAXIMUM_LOST_FINGERPRINTS:
        ordered = sorted(losses.items(), key=lambda item: item[1][-1].lost_at)
        losses = type(losses)(ordered[len(ordered) // 2 :])
    return crash_sharing.replace_crashes(state, losses=losses)


def record_open(
    runner_id: str, started_at_ms: int, now: float, state: 'states.State'
) -> reducer.Transition:
    """Record the requests that run at a process which has crashed.

    They may be sent elsewhere before their connections are closed.
    """
    process = crash_records.name_process(runner_id, started_at_ms)
    for exchange in state.exchanges.values():
        for attempt in exchange.attempts:
            if runner_id not in list_runner_ids(attempt):
                continue
            processes = list_processes(attempt, state)
            if process in processes:
                state = note_loss(exchange, attempt, processes, now, state)
    return confirm_crash(process, now, state)


def confirm_crash(
    process: str, now: float, state: 'states.State'
) -> reducer.Transition:
    """Record the crash of a process, and tell of what may be repeated."""
    confirmed = {
        fingerprint: tuple(
            dataclasses.replace(loss, crashed=process)
            if not loss.crashed and process in loss.processes
            else loss
            for loss in kept
        )
        for fingerprint, kept in state.crashes.losses.items()
        if any(not loss.crashed and process in loss.processes for loss in kept)
    }
    state = store_losses(confirmed, state)
    crashes = list_shared(process, tuple(confirmed.values()), state)
    return crash_sharing.record_crashes(crashes, now, state)


def list_shared(
    process: str,
    confirmed: tuple[tuple[crash_records.Loss, ...], ...],
    state: 'states.State',
) -> tuple[crash_records.Crash, ...]:
    """Return the crashes of which other instances are told.

    `confirmed` has the losses of each request that this crash has cut.
    """
    shared: list[crash_records.Loss] = []
    ended: list[crash_records.Loss] = []
    for kept in confirmed:
        crashed = [loss for loss in kept if loss.crashed]
        if is_repeated(process, kept, state):
            shared.extend(crashed)
        elif crashed[-1].request_id not in state.exchanges:
            ended.append(crashed[-1])
    ended.sort(key=lambda loss: crash_records.rank_lost(process, loss.request))
    crashes: dict[str, crash_records.Crash] = {}
    for loss in (*shared, *ended[:MAXIMUM_ENDED_PER_CRASH]):
        known = crashes.get(loss.crashed)
        crashes[loss.crashed] = crash_records.Crash(
            loss.crashed,
            loss.lost_at if known is None else known.crashed_at,
            (),
            (*(known.lost if known else ()), loss.request),
        )
    return tuple(crashes.values())


def is_repeated(
    process: str,
    kept: tuple[crash_records.Loss, ...],
    state: 'states.State',
) -> bool:
    """Return whether a crash at another moment has cut the same request."""
    own = set(kept[-1].request.fingerprints)
    known_at = [
        crash.crashed_at
        for crash in state.crashes.crashes
        if crash.process != process and own & crash.lost_fingerprints
    ]
    own_at = [loss.lost_at for loss in kept if loss.crashed]
    return crash_records.count_moments((*known_at, *own_at)) > 1


def note_completion(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> reducer.Transition:
    """Void the evidence against a request that was answered whole."""
    known = state.crashes
    if not known.losses and not known.suspected_repeats:
        return transitions.Transition(state)
    own = fingerprints.compute_fingerprints(
        exchange.tenant or '', exchange.request
    )
    if own[0] in known.losses:
        state = crash_sharing.replace_crashes(
            state, losses=known.losses.delete(own[0])
        )
    cleared = known.suspected_repeats.intersection(own)
    if not cleared:
        return transitions.Transition(state)
    return crash_sharing.record_completed(cleared, now, state)
