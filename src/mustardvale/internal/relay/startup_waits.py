"""Decide which requests wait for the first reads of an instance.

An instance that has just started knows neither the configuration nor the list
of upstreams. Requests that arrive before both have been read wait for them. So
do requests with a key before the configuration is recent enough to check keys
for the first time. Once a read of the store has failed, nobody waits: when the
store answers again is not known.
"""

import dataclasses
import enum
import typing

import immutables

from mustardvale.internal import effects, events, transitions
from mustardvale.internal.relay import effects as relay_effects
from mustardvale.internal.relay import reducer, requests, return_times, timers

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

# Callers disconnect after 2.0 s without an event; a refusal has to reach them
# before that.
MAXIMUM_WAIT_SECONDS = 1.8
# Share of the time of a caller that a wait takes at most. The rest is for the
# request itself, or for another attempt after a refusal.
MAXIMUM_WAIT_SHARE = 0.4
MAXIMUM_WAITING_REQUESTS = 512
# Requests that are admitted in one event. A choice of a chain takes some
# milliseconds on a small machine, and other events must not wait for hundreds.
MAXIMUM_RELEASED_REQUESTS = 8
# The next read after a failed one is sent after 0.25 to 0.4 s.
MINIMUM_RETRY_SECONDS = 0.5
MAXIMUM_RETRY_SECONDS = 4.0
# Callers that are refused together return spread by up to this share.
RETRY_SPREAD = 0.5

NO_CONFIGURATION = 'no configuration has been read yet'
NO_RUNNER_LIST = 'no list of upstreams has been read yet'
KEYS_UNCONFIRMED = 'the configuration is not confirmed for keys yet'


class Verdict(enum.Enum):
    """Name what becomes of a request while an instance starts."""

    ADMIT = 'admit'
    WAIT = 'wait'
    REFUSE = 'refuse'


@dataclasses.dataclass(frozen=True, slots=True)
class Readiness:
    """Describe what an instance has read since its start.

    `failing_since` is when the reads of the store began to fail, if they do,
    and `keys_usable_from` the time before which keys cannot be checked.
    """

    is_configured: bool
    is_listed: bool
    are_keys_usable: bool
    is_stopping: bool = False
    failing_since: float | None = None
    keys_usable_from: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class StartupWait:
    """Hold a waiting request and the time until which it may wait."""

    event: events.CallerRequested
    ends_at: float


WaitMap: typing.TypeAlias = 'immutables.Map[str, StartupWait]'


@dataclasses.dataclass(frozen=True, slots=True)
class StartupState:
    """Hold the requests that wait for the first reads.

    `were_keys_usable` is true once keys could be checked. After that, requests
    with keys are refused at once while the configuration is too old.
    `began_at` is when the first of the waiting requests arrived, and
    `release_ids` has those that are admitted or refused next, in order.
    """

    waiting: WaitMap = immutables.Map()
    were_keys_usable: bool = False
    check_due_at: float | None = None
    began_at: float | None = None
    release_ids: tuple[str, ...] = ()


def find_missing(needs_keys: bool, readiness: Readiness) -> str:
    """Return what a request waits for, empty if nothing."""
    if not readiness.is_configured:
        return NO_CONFIGURATION
    if not readiness.is_listed:
        return NO_RUNNER_LIST
    if needs_keys and not readiness.are_keys_usable:
        return KEYS_UNCONFIRMED
    return ''


def judge(
    missing: str, readiness: Readiness, ends_at: float, now: float
) -> Verdict:
    """Decide whether a request is admitted, waits or is refused."""
    if not missing:
        return Verdict.ADMIT
    is_hopeless = readiness.is_stopping or readiness.failing_since is not None
    usable_from = now
    if missing is KEYS_UNCONFIRMED:
        usable_from = max(readiness.keys_usable_from, now)
    if is_hopeless or usable_from >= ends_at:
        return Verdict.REFUSE
    return Verdict.WAIT


def compute_wait_end(
    request: requests.ClientRequest, arrived_at: float
) -> float:
    """Return until when a request may wait for the first reads."""
    if request.deadline_seconds is None:
        return arrived_at + MAXIMUM_WAIT_SECONDS
    return arrived_at + min(
        MAXIMUM_WAIT_SECONDS, MAXIMUM_WAIT_SHARE * request.deadline_seconds
    )


def estimate_retry_seconds(
    pending_seconds: float, left_seconds: float | None, fraction: float
) -> float:
    """Return after how many seconds the store is expected to answer.

    An outage whose end is not known is expected to last as long again as it has
    lasted (`pending_seconds`). `left_seconds` is the time that the caller has
    left, if it is known, and `fraction` a random number from 0 to 1.
    """
    seconds = min(
        max(pending_seconds, MINIMUM_RETRY_SECONDS), MAXIMUM_RETRY_SECONDS
    )
    if left_seconds is not None:
        longest_seconds = max(left_seconds, 0.0) * return_times.RETRY_TIME_SHARE
        seconds = min(seconds, longest_seconds / (1 + RETRY_SPREAD))
    return seconds * (1 + RETRY_SPREAD * fraction)


def has_place(startup: StartupState) -> bool:
    """Return whether one more request may wait."""
    return len(startup.waiting) < MAXIMUM_WAITING_REQUESTS


def begin_wait(
    event: events.CallerRequested, missing: str, state: 'states.State'
) -> reducer.Transition:
    """Keep a request until the first reads or the end of its wait."""
    startup = state.startup
    wait = StartupWait(event, compute_wait_end(event.request, event.at))
    log_effects: tuple[effects.Effect, ...] = ()
    if not startup.waiting:
        log_effects = (
            relay_effects.LogDecision(
                'startup_wait_began', (('missing', missing),)
            ),
        )
    held = dataclasses.replace(
        startup,
        waiting=startup.waiting.set(event.request_id, wait),
        began_at=event.at if startup.began_at is None else startup.began_at,
    )
    return schedule_check(
        wait.ends_at, event.at, dataclasses.replace(state, startup=held)
    ).with_effects(*log_effects)


def end_wait(
    request_id: str,
    priority: int | None,
    outcome: str,
    now: float,
    state: 'states.State',
) -> reducer.Transition:
    """Remove a waiting request, count how its wait ended, log the last one."""
    startup = state.startup
    wait = startup.waiting[request_id]
    waited_seconds = now - wait.event.at
    end_effects: tuple[effects.Effect, ...] = (
        effects.Count('request_waits', ('startup', str(priority), outcome)),
        effects.Observe('request_wait_seconds', waited_seconds, ('startup',)),
    )
    remaining = startup.waiting.delete(request_id)
    began_at = startup.began_at
    if not remaining and began_at is not None:
        end_effects += (
            relay_effects.LogDecision(
                'startup_wait_ended', (('ms', int((now - began_at) * 1000)),)
            ),
        )
        began_at = None
    ended = dataclasses.replace(startup, waiting=remaining, began_at=began_at)
    return transitions.Transition(
        dataclasses.replace(state, startup=ended), end_effects
    )


def record_keys_usable(state: 'states.State') -> 'states.State':
    """Store that keys can be checked since the start."""
    if state.startup.were_keys_usable:
        return state
    return dataclasses.replace(
        state,
        startup=dataclasses.replace(state.startup, were_keys_usable=True),
    )


def request_check(now: float, state: 'states.State') -> reducer.Transition:
    """Check the waiting requests at once, after a change of what is known."""
    if not state.startup.waiting:
        return transitions.Transition(state)
    return schedule_check(now, now, state)


def schedule_check(
    due_at: float, now: float, state: 'states.State'
) -> reducer.Transition:
    """Set the time of the next check, unless one is due by then."""
    startup = state.startup
    if startup.check_due_at is not None and startup.check_due_at <= due_at:
        return transitions.Transition(state)
    scheduled = dataclasses.replace(startup, check_due_at=due_at)
    return transitions.Transition(
        dataclasses.replace(state, startup=scheduled),
        (effects.SetTimer(timers.StartupCheckDue(), max(due_at - now, 0.0)),),
    )
