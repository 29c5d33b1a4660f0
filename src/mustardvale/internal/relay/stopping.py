"""Decide what an instance that is stopping still accepts, and for how long.

Where other instances remain, a stopping one accepts requests for a moment and
then drains. Where all instances stop together, about half of them drain at
once, so that their successors start soon, and the others accept meanwhile.
"""

import dataclasses
import typing

from mustardvale.internal.relay import (
    chains,
    engines,
    exchanges,
    loads,
    members,
    requests,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

# A stopping instance accepts requests for this long, from callers that have
# not fetched the new addresses yet. Streams that start later would delay the
# stop by seconds, during which the other instances carry the extra load.
ACCEPT_AFTER_STOP_SECONDS = 1.0
# Share of the time to stop in which it accepts requests if it knows no other
# instance. The rest is for the requests that it has accepted.
ACCEPT_ALONE_SHARE = 0.375
# Share of the time to stop after which open requests are aborted, so that the
# callers receive their errors before the process ends.
ABORT_SHARE = 0.9
# Share of the time to stop in which the last answers are written. The rest is
# for the exit of the process.
FLUSH_SHARE = 0.96
# Other requests slow a stream down after it has begun.
STREAM_TIME_FACTOR = 1.5
# A plain request is expected to end within this many target latencies.
TARGET_LATENCY_COUNT = 4.0
# Short, because other instances usually can serve the request.
RETRY_ELSEWHERE_SECONDS = 0.05
# Time from a stop until a successor is expected to accept requests, and the
# shortest time to wait for one whose start is overdue.
SUCCESSOR_SECONDS = 4.2
MINIMUM_SUCCESSOR_WAIT_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Stopping:
    """Hold the progress of a graceful shutdown.

    `listed` holds the instances that were known when it began, this one
    included. A draining instance accepts nothing more, and then holds there the
    other ones that were known last. `is_last` is true for one that accepts for
    longer, because all others are stopping too. `alone_since` is when it found
    that no other instance was listed, and `is_exiting` is true once the process
    is about to end.
    """

    started_at: float
    listed: tuple[members.Member, ...] = ()
    is_draining: bool = False
    is_last: bool = False
    alone_since: float | None = None
    is_exiting: bool = False


def compute_abort_time(state: 'states.State') -> float:
    """Return when open requests are aborted; infinite without a stop."""
    if state.stopping is None:
        return float('inf')
    return state.stopping.started_at + state.limits.stop_seconds * ABORT_SHARE


def compute_flush_seconds(state: 'states.State', now: float) -> float:
    """Return for how long the last answers may be written."""
    assert state.stopping is not None, 'a flush belongs to a stop'
    flush_until = (
        state.stopping.started_at + state.limits.stop_seconds * FLUSH_SHARE
    )
    return max(flush_until - now, 0.0)


def is_accepting(state: 'states.State', now: float) -> bool:
    """Return whether new requests are accepted, also during a stop."""
    stopping = state.stopping
    if stopping is None:
        return True
    if stopping.is_exiting:
        return False
    waited_seconds = now - stopping.started_at
    if stopping.is_last:
        return waited_seconds <= state.limits.stop_seconds * ACCEPT_ALONE_SHARE
    return waited_seconds <= ACCEPT_AFTER_STOP_SECONDS


def begin(state: 'states.State', now: float) -> 'states.State':
    """Store that a graceful shutdown begins."""
    others = list_other_members(state)
    own = members.decode_members((members.encode_member(state.identity),))
    started = Stopping(now, (*own, *others))
    return dataclasses.replace(state, stopping=started)


def update(state: 'states.State', now: float) -> 'states.State':
    """Drain for good while others accept, or if others do so instead.

    An instance that accepted again later would delay its successor.
    """
    stopping = state.stopping
    if stopping is None or stopping.alone_since is not None:
        return state
    others = list_other_members(state)
    if others:
        waited_seconds = now - stopping.started_at
        if waited_seconds <= ACCEPT_AFTER_STOP_SECONDS:
            return state
        changed = dataclasses.replace(stopping, listed=others, is_draining=True)
    else:
        own = state.identity.instance_id
        is_last = own in list_last_ids(stopping.listed)
        changed = dataclasses.replace(
            stopping,
            is_draining=not is_last,
            is_last=is_last,
            alone_since=now,
        )
    return dataclasses.replace(state, stopping=changed)


def list_other_members(state: 'states.State') -> tuple[members.Member, ...]:
    """Return the other instances that are listed."""
    known = state.members
    own = state.identity.instance_id
    return tuple(
        member
        for member in sorted(
            {*known.zone.listed, *known.readers.listed},
            key=lambda listed: listed.instance_id,
        )
        if member.instance_id != own
    )


def list_last_ids(listed: tuple[members.Member, ...]) -> frozenset[str]:
    """Return the ids of the instances that accept for longest.

    They are every other one of each zone, the first included. Instances know
    all of their zone, and of other zones at least the first ones, so that all
    come to the same result.
    """
    zones: dict[str, list[str]] = {}
    for member in sorted(listed, key=lambda known: known.instance_id):
        zones.setdefault(member.availability_zone, []).append(
            member.instance_id
        )
    return frozenset(
        instance_id for ids in zones.values() for instance_id in ids[::2]
    )


def list_last_addresses(state: 'states.State') -> tuple[str, ...]:
    """Return the addresses of others that accept while this one drains."""
    stopping = state.stopping
    if stopping is None or not stopping.is_draining:
        return ()
    last_ids = list_last_ids(stopping.listed) - {state.identity.instance_id}
    return tuple(
        member.front
        for member in stopping.listed
        if member.instance_id in last_ids
    )


def can_end(
    exchange: exchanges.Exchange,
    chain: requests.Chain,
    now: float,
    state: 'states.State',
) -> bool:
    """Return whether a request ends before a stop aborts it."""
    if state.stopping is None or exchange.route.is_resumable:
        return True
    expected_end = now + estimate_seconds(exchange, chain, now, state)
    return min(expected_end, exchange.deadline_at) <= compute_abort_time(state)


def estimate_seconds(
    exchange: exchanges.Exchange,
    chain: requests.Chain,
    now: float,
    state: 'states.State',
) -> float:
    """Return the time in which a request ends, with a margin."""
    active = state.configuration.active
    service = active.services.get(exchange.service) if active else None
    service = service or exchange.admitted_service
    if service is None or service.engine is None or not chain:
        return exchange.route.target_latency_seconds * TARGET_LATENCY_COUNT
    work = estimate_work(exchange, service.engine)
    seconds = 0.0
    zone = chain[0].zone
    for part in chain:
        seconds += estimate_part_seconds(part, work, service.engine, now, state)
        seconds += estimate_crossing_seconds(
            zone, part.zone, work, service.engine
        )
        zone = part.zone
    return seconds * STREAM_TIME_FACTOR


def estimate_work(
    exchange: exchanges.Exchange, engine: engines.Engine
) -> chains.Work:
    """Return the tokens of a model request.

    A stream that cannot be resumed must end even with the longest output.
    """
    prompt = exchange.request.prompt
    if prompt is None:
        return chains.Work(
            engine.typical_prompt_tokens, engine.typical_output_tokens
        )
    output_tokens = prompt.output_limit_tokens
    if exchange.route.is_resumable:
        output_tokens = prompt.expected_output_tokens
    return chains.Work(prompt.token_count, output_tokens)


def estimate_part_seconds(
    part: requests.ChainPart,
    work: chains.Work,
    engine: engines.Engine,
    now: float,
    state: 'states.State',
) -> float:
    """Return the time that a part of a chain takes for a whole request."""
    runner = state.runners.get(part.runner_id)
    if runner is None or runner.listed.accelerator not in engine.accelerators:
        return 0.0
    load = loads.estimate_total_load(
        part.runner_id,
        state.loads,
        state.mean_loads,
        members.count_instances(state),
    )
    accelerator = runner.listed.accelerator
    layer_count = part.end_layer - part.first_layer
    step = engines.compute_step_seconds(
        engine, accelerator, layer_count, load.request_count + 1
    )
    prefill = engines.compute_prefill_seconds(
        engine, accelerator, layer_count, work.prompt_tokens
    )
    slowdown = runner.slowdown if runner.slowdown_until > now else 1.0
    return (step * work.output_tokens + prefill) * max(slowdown, 1.0)


def estimate_crossing_seconds(
    source: str, target: str, work: chains.Work, engine: engines.Engine
) -> float:
    """Return the time that a request loses between the zones of two parts."""
    delay = engines.find_zone_delay_seconds(engine, source, target)
    transfer = engines.compute_transfer_seconds(
        engine, source, target, work.prompt_tokens
    )
    return delay * work.output_tokens + transfer


def compute_retry_seconds(state: 'states.State', now: float) -> float:
    """Return when another instance is expected to serve a refused request."""
    stopping = state.stopping
    if stopping is None or members.list_other_addresses(state):
        return RETRY_ELSEWHERE_SECONDS
    accept_seconds = state.limits.stop_seconds * ACCEPT_ALONE_SHARE
    alone_since = stopping.alone_since or now
    if list_last_addresses(state) and now <= alone_since + accept_seconds:
        return RETRY_ELSEWHERE_SECONDS
    waited_seconds = now - stopping.started_at
    return max(
        SUCCESSOR_SECONDS - waited_seconds, MINIMUM_SUCCESSOR_WAIT_SECONDS
    )
