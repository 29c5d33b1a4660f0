"""Detect requests that crash runners.

A request is identified by a fingerprint of its account, model and prompt, which
is the same if the caller repeats it at another instance. If a runner closes the
connection while it has steps, all requests of these steps become suspects; a
timeout indicates a slow runner and makes no request a suspect. The next
attempt of a suspect gets calls of its own, and if a runner crashes meanwhile,
only the suspect is blamed.
"""

import dataclasses
import hashlib
import typing

import immutables

from mustardvale.internal import (
    caller_messages,
    calls,
    effects,
    events,
    messages,
    timers,
    transitions,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

MAXIMUM_LOST_RUNNERS = 2
LOSS_RETENTION_SECONDS = 600.0
# Two reports about one runner within this time describe the same crash: a
# runner takes longer than this to start and to load its weights.
SAME_CRASH_SECONDS = 5.0
# The connections to a crashed runner break within milliseconds of each other.
BLAME_SUPPRESSION_SECONDS = 1.0
# An answer is aborted only after the heartbeats with its losses have reached
# the peers, so that another instance refuses the request if it is repeated.
ABORT_DELAY_SECONDS = 0.1
MAXIMUM_REPORTED_LOSSES = 32
MAXIMUM_FINGERPRINTS = 4096
DIGEST_BYTES = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """Describe the loss of a runner.

    `lost_at` is in seconds since the epoch; `is_own` says whether this
    instance observed the loss, rather than a peer.
    """

    runner: str
    lost_at: float
    is_own: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectState:
    """Hold the lost runners by request fingerprint.

    `cleared_at` maps fingerprints to the wall times at which an answer was
    completed. `blame_suppressed_until` maps addresses of runners to the
    monotonic times until which a crash there makes no further suspects.
    """

    losses_by_fingerprint: immutables.Map[str, tuple[Loss, ...]] = (
        immutables.Map()
    )
    cleared_at: immutables.Map[str, float] = immutables.Map()
    blame_suppressed_until: immutables.Map[str, float] = immutables.Map()


def compute_fingerprint(
    account: str, request: caller_messages.AnswerRequest
) -> str:
    """Return the fingerprint of a request, ignoring delivered tokens."""
    parts = (account, request.model, request.adapter, *request.prompt)
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


def count_losses(
    fingerprint: str, wall_time: float, state: 'states.State'
) -> int:
    """Return how many runners a request lost within the retention time."""
    losses = state.suspects.losses_by_fingerprint.get(fingerprint, ())
    return sum(
        1
        for loss in losses
        if wall_time - loss.lost_at < LOSS_RETENTION_SECONDS
    )


def is_refused(
    fingerprint: str, wall_time: float, state: 'states.State'
) -> bool:
    """Return whether a request has lost too many runners to run again."""
    return count_losses(fingerprint, wall_time, state) >= MAXIMUM_LOST_RUNNERS


def is_isolated(fingerprint: str, state: 'states.State') -> bool:
    """Return whether the steps of a request need calls of their own."""
    return fingerprint in state.suspects.losses_by_fingerprint


def is_runner_crash(failure: events.Failure) -> bool:
    """Return whether a call failed because its runner crashed.

    If no byte was sent, the call cannot be the cause of the crash.
    """
    crash_kinds = (events.FailureKind.CLOSED, events.FailureKind.REFUSED)
    return failure.was_sent and failure.kind in crash_kinds


def record_losses(
    call: calls.RunSteps,
    fingerprints: frozenset[str],
    event: events.CallFailed,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Record a lost runner for the requests whose steps it was running.

    If some of them are suspects already, only those are blamed.
    """
    if not is_runner_crash(event.failure) or not fingerprints:
        return transitions.Transition(state)
    suspects = state.suspects
    known = frozenset(
        fingerprint
        for fingerprint in fingerprints
        if fingerprint in suspects.losses_by_fingerprint
    )
    if known:
        suppressed_until = suspects.blame_suppressed_until.set(
            event.address, event.at + BLAME_SUPPRESSION_SECONDS
        )
        suspects = dataclasses.replace(
            suspects, blame_suppressed_until=suppressed_until
        )
        fingerprints = known
    elif is_blame_suppressed(event, state):
        return transitions.Transition(state)
    upstream = state.upstreams.at_address(event.address)
    runner = upstream.listed.instance_id if upstream else event.address
    loss = Loss(runner, event.wall_time, is_own=True)
    for fingerprint in fingerprints:
        suspects = add_loss(fingerprint, loss, suspects)
    return transitions.Transition(
        with_suspects(state, suspects),
        (
            effects.Count('suspects', amount=len(fingerprints)),
            effects.SetTimer(timers.HeartbeatDue(), 0),
            effects.SetTimer(timers.SuspectCheckDue(), ABORT_DELAY_SECONDS),
        ),
    )


def is_blame_suppressed(
    event: events.CallFailed, state: 'states.State'
) -> bool:
    """Return whether a crash is already attributed to a suspect."""
    queue = state.step_queues.get(event.address)
    if queue is not None and queue.isolated_session:
        return True
    return (
        state.suspects.blame_suppressed_until.get(event.address, 0) > event.at
    )


def add_loss(
    fingerprint: str, loss: Loss, suspects: SuspectState
) -> SuspectState:
    """Add a loss unless it is known or older than a completed answer."""
    losses = suspects.losses_by_fingerprint.get(fingerprint, ())
    if loss.lost_at <= suspects.cleared_at.get(fingerprint, 0):
        return suspects
    if any(is_same_crash(loss, known) for known in losses):
        return suspects
    losses_by_fingerprint = suspects.losses_by_fingerprint.set(
        fingerprint, (*losses, loss)
    )
    if len(losses_by_fingerprint) > MAXIMUM_FINGERPRINTS:
        losses_by_fingerprint = losses_by_fingerprint.delete(
            min(
                losses_by_fingerprint,
                key=lambda known_fingerprint: (
                    losses_by_fingerprint[known_fingerprint][-1].lost_at
                ),
            )
        )
    return dataclasses.replace(
        suspects, losses_by_fingerprint=losses_by_fingerprint
    )


def is_same_crash(loss: Loss, known: Loss) -> bool:
    """Return whether two reports describe the same crash."""
    is_near = abs(loss.lost_at - known.lost_at) < SAME_CRASH_SECONDS
    return loss.runner == known.runner and is_near


def clear_losses(
    fingerprint: str,
    wall_time: float,
    state: 'states.State',
) -> 'states.State':
    """Remove the losses of a request whose answer is complete."""
    suspects = state.suspects
    if fingerprint not in suspects.losses_by_fingerprint:
        return state
    suspects = dataclasses.replace(
        suspects,
        losses_by_fingerprint=suspects.losses_by_fingerprint.delete(
            fingerprint
        ),
        cleared_at=suspects.cleared_at.set(fingerprint, wall_time),
    )
    return with_suspects(state, suspects)


def prune_losses(
    now: float,
    wall_time: float,
    state: 'states.State',
) -> 'states.State':
    """Remove losses and clearances that are older than the retention time."""
    suspects = state.suspects
    losses = suspects.losses_by_fingerprint
    for fingerprint, known in losses.items():
        if wall_time - known[-1].lost_at >= LOSS_RETENTION_SECONDS:
            losses = losses.delete(fingerprint)
    cleared = suspects.cleared_at
    for fingerprint, at in cleared.items():
        if wall_time - at >= LOSS_RETENTION_SECONDS:
            cleared = cleared.delete(fingerprint)
    suppressed_until = suspects.blame_suppressed_until
    for address, until in suppressed_until.items():
        if until < now:
            suppressed_until = suppressed_until.delete(address)
    return with_suspects(state, SuspectState(losses, cleared, suppressed_until))


def build_report(state: 'states.State') -> tuple[messages.LostRunner, ...]:
    """Return the losses observed here.

    Requests with the most losses come first, then the latest losses.
    """
    losses = state.suspects.losses_by_fingerprint
    rows = sorted(
        (
            (
                len(known),
                loss.lost_at,
                messages.LostRunner(fingerprint, loss.runner, loss.lost_at),
            )
            for fingerprint, known in losses.items()
            for loss in known
            if loss.is_own
        ),
        key=lambda row: row[:2],
        reverse=True,
    )
    return tuple(row[-1] for row in rows[:MAXIMUM_REPORTED_LOSSES])


def merge_report(
    rows: tuple[messages.LostRunner, ...],
    wall_time: float,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Merge the losses reported by a peer."""
    suspects = state.suspects
    for row in rows:
        if wall_time - row.lost_at < LOSS_RETENTION_SECONDS:
            loss = Loss(row.runner, row.lost_at, is_own=False)
            suspects = add_loss(row.fingerprint, loss, suspects)
    if suspects is state.suspects:
        return transitions.Transition(state)
    return transitions.Transition(
        with_suspects(state, suspects),
        (effects.SetTimer(timers.SuspectCheckDue(), 0),),
    )
