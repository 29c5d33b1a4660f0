"""Find requests that crash the runners that run them.

A request is known by its fingerprint over account, model and prompt, so that a
caller that repeats it elsewhere sends the same one. When a runner closes the
connection while it has steps, their requests share the blame; a time-out is a
slow runner and blames nobody. The next attempt of a suspect travels alone in
its call, and while it does, only it is blamed.
"""

import dataclasses
import hashlib
import typing

import immutables

from mustardvale.internal import (
    calls,
    effects,
    events,
    messages,
    caller_messages,
    timers,
    transitions,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

RUNNERS_LOST_AT_MOST = 2
MEMORY_SECONDS = 600.0
# Two reports of one runner within this time are of the same death: a runner
# takes longer to start and to load its weights.
SAME_DEATH_SECONDS = 5.0
# The connections of a dead runner break within milliseconds of each other.
SPARED_SECONDS = 1.0
# A refusal waits for the heartbeats that report its losses, so that a caller
# that repeats the request at another instance finds it refused there.
NEWS_SECONDS = 0.1
REPORTED_ROWS = 32
MAXIMUM_FINGERPRINTS = 4096
DIGEST_BYTES = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """Name a lost runner; `at` is a wall time, `own` says who saw it."""

    runner: str
    at: float
    own: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectState:
    """Hold the losses by fingerprint.

    `cleared` holds the wall times at which a suspect completed its answer,
    `spared` the monotonic times until which a dead runner at an address blames
    nobody else.
    """

    losses: immutables.Map[str, tuple[Loss, ...]] = immutables.Map()
    cleared: immutables.Map[str, float] = immutables.Map()
    spared: immutables.Map[str, float] = immutables.Map()


def fingerprint(account: str, wanted: caller_messages.AnswerRequest) -> str:
    """Return the fingerprint of a request; what was delivered is left out."""
    parts = (account, wanted.model, wanted.adapter, *wanted.prompt)
    digest = hashlib.blake2b(
        '\0'.join(parts).encode(), digest_size=DIGEST_BYTES
    )
    return digest.hexdigest()


def with_suspects(
    state: 'states.State',
    suspects: SuspectState,
) -> 'states.State':
    """Replace the part of the state that this module owns."""
    return dataclasses.replace(state, suspects=suspects)


def count_losses(mark: str, wall: float, state: 'states.State') -> int:
    """Return how many runners a request has lost within the memory."""
    losses = state.suspects.losses.get(mark, ())
    return sum(1 for loss in losses if wall - loss.at < MEMORY_SECONDS)


def is_refused(mark: str, wall: float, state: 'states.State') -> bool:
    """Return whether a request may no longer run."""
    return count_losses(mark, wall, state) >= RUNNERS_LOST_AT_MOST


def runs_alone(mark: str, state: 'states.State') -> bool:
    """Return whether the steps of a request travel alone."""
    return mark in state.suspects.losses


def is_death(failure: events.Failure) -> bool:
    """Return whether a call ended because its runner died.

    Without a sent byte the call cannot have killed the runner.
    """
    kinds = (events.FailureKind.CLOSED, events.FailureKind.REFUSED)
    return failure.was_sent and failure.kind in kinds


def blame(
    call: calls.RunSteps,
    marks: frozenset[str],
    event: events.CallFailed,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Blame the requests, by fingerprint, whose steps a dead runner had."""
    if not is_death(event.failure) or not marks:
        return transitions.Transition(state)
    suspects = state.suspects
    known = frozenset(mark for mark in marks if mark in suspects.losses)
    if known:
        spared = suspects.spared.set(event.address, event.at + SPARED_SECONDS)
        suspects = dataclasses.replace(suspects, spared=spared)
        marks = known
    elif is_spared(event, state):
        return transitions.Transition(state)
    upstream = state.upstreams.at_address(event.address)
    runner = upstream.listed.instance_id if upstream else event.address
    loss = Loss(runner, event.wall_time, own=True)
    for mark in marks:
        suspects = add_loss(mark, loss, suspects)
    return transitions.Transition(
        with_suspects(state, suspects),
        (
            effects.Count('suspects', amount=len(marks)),
            effects.SetTimer(timers.HeartbeatDue(), 0),
            effects.SetTimer(timers.SuspectCheckDue(), NEWS_SECONDS),
        ),
    )


def is_spared(event: events.CallFailed, state: 'states.State') -> bool:
    """Return whether a suspect is to blame for the death of a runner."""
    queue = state.step_queues.get(event.address)
    if queue is not None and queue.alone:
        return True
    return state.suspects.spared.get(event.address, 0) > event.at


def add_loss(mark: str, loss: Loss, suspects: SuspectState) -> SuspectState:
    """Add the loss of a runner unless it is known or was cleared."""
    losses = suspects.losses.get(mark, ())
    if loss.at <= suspects.cleared.get(mark, 0):
        return suspects
    if any(is_same(loss, known) for known in losses):
        return suspects
    table = suspects.losses.set(mark, (*losses, loss))
    if len(table) > MAXIMUM_FINGERPRINTS:
        table = table.delete(min(table, key=lambda one: table[one][-1].at))
    return dataclasses.replace(suspects, losses=table)


def is_same(loss: Loss, known: Loss) -> bool:
    """Return whether two reports are of the same death."""
    near = abs(loss.at - known.at) < SAME_DEATH_SECONDS
    return loss.runner == known.runner and near


def clear(
    mark: str,
    wall: float,
    state: 'states.State',
) -> 'states.State':
    """Forget the losses of a request whose answer is complete."""
    suspects = state.suspects
    if mark not in suspects.losses:
        return state
    suspects = dataclasses.replace(
        suspects,
        losses=suspects.losses.delete(mark),
        cleared=suspects.cleared.set(mark, wall),
    )
    return with_suspects(state, suspects)


def prune(
    now: float,
    wall: float,
    state: 'states.State',
) -> 'states.State':
    """Forget what is older than the memory."""
    suspects = state.suspects
    losses = suspects.losses
    for mark, known in losses.items():
        if wall - known[-1].at >= MEMORY_SECONDS:
            losses = losses.delete(mark)
    cleared = suspects.cleared
    for mark, at in cleared.items():
        if wall - at >= MEMORY_SECONDS:
            cleared = cleared.delete(mark)
    spared = suspects.spared
    for address, until in spared.items():
        if until < now:
            spared = spared.delete(address)
    return with_suspects(state, SuspectState(losses, cleared, spared))


def report(state: 'states.State') -> tuple[messages.LostRunner, ...]:
    """Return the losses that this instance saw, the most telling first."""
    losses = state.suspects.losses
    rows = sorted(
        (
            (
                len(known),
                loss.at,
                messages.LostRunner(mark, loss.runner, loss.at),
            )
            for mark, known in losses.items()
            for loss in known
            if loss.own
        ),
        key=lambda row: row[:2],
        reverse=True,
    )
    return tuple(row[-1] for row in rows[:REPORTED_ROWS])


def hear(
    rows: tuple[messages.LostRunner, ...],
    wall: float,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Take the losses that a peer saw."""
    suspects = state.suspects
    for row in rows:
        if wall - row.lost_at < MEMORY_SECONDS:
            loss = Loss(row.runner, row.lost_at, own=False)
            suspects = add_loss(row.fingerprint, loss, suspects)
    if suspects is state.suspects:
        return transitions.Transition(state)
    return transitions.Transition(
        with_suspects(state, suspects),
        (effects.SetTimer(timers.SuspectCheckDue(), 0),),
    )
