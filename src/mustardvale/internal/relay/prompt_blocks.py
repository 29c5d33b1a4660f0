"""Refuse requests that crash runners, by themselves or by a part of a prompt.

A refusal ends by itself, so that a part that was blamed wrongly, or that has
become harmless, is not refused for ever. Then the instances try one request
each in turn. If it begins to write, the evidence against the part is void at
all instances; if it crashes its runner, all refuse the part for twice as long.
"""

import typing

from mustardvale.internal.relay import (
    crash_records,
    exchanges,
    fingerprints,
    requests,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

REFUSAL_REASON = 'the request or a part of its prompt crashes runners'
HOLD_REASON = 'a runner has just crashed under a part of the prompt'
# Time for one instance to try a request with a part whose refusal has ended,
# and to tell the others whether it has begun to write.
TRIAL_SECONDS = 1.0
MINIMUM_RETRY_AFTER_SECONDS = 1.0


def find_block(
    request: requests.ClientRequest,
    client_account: str | None,
    now: float,
    state: 'states.State',
) -> crash_records.Block | None:
    """Return the block because of which a request is refused, if any."""
    for block in list_covering_blocks(request, client_account, state):
        is_over = now >= compute_trial_time(block, state)
        if not is_over or has_open_trial(block, state):
            return block
    return None


def list_covering_blocks(
    request: requests.ClientRequest,
    client_account: str | None,
    state: 'states.State',
) -> list[crash_records.Block]:
    """Return the blocks for a request, whether they have ended or not."""
    if not state.crashes.blocks:
        return []
    parts = frozenset(fingerprints.list_parts(client_account, request))
    return [
        block
        for block in state.crashes.blocks
        if block.covers(client_account or '', parts)
    ]


def compute_trial_time(
    block: crash_records.Block, state: 'states.State'
) -> float:
    """Return when this instance may try a request again."""
    return block.blocked_until + compute_turn(state) * TRIAL_SECONDS


def compute_turn(state: 'states.State') -> int:
    """Return the position of this instance among those that try in turn."""
    own_id = state.identity.instance_id
    readers = [member.instance_id for member in state.members.readers.listed]
    if own_id in readers:
        return readers.index(own_id)
    zone = [member.instance_id for member in state.members.zone.listed]
    position = zone.index(own_id) if own_id in zone else len(zone)
    zones = sorted(
        {member.availability_zone for member in state.members.readers.listed}
        | {state.identity.availability_zone}
    )
    offset = zones.index(state.identity.availability_zone)
    return len(readers) + position * len(zones) + offset


def has_open_trial(block: crash_records.Block, state: 'states.State') -> bool:
    """Return whether a request with the parts of a block is being tried."""
    return any(
        exchange.attempts
        and may_crash(exchange, block)
        and has_parts(exchange, block)
        for exchange in state.exchanges.values()
    )


def may_crash(exchange: exchanges.Exchange, block: crash_records.Block) -> bool:
    """Return whether a request with the parts of a block is a danger.

    One that has begun to write its answer is none, unless it is refused because
    it has crashed runners after that.
    """
    return block.is_repeat or not exchange.has_stream_started


def has_parts(exchange: exchanges.Exchange, block: crash_records.Block) -> bool:
    """Return whether a request has the parts of a block."""
    return block.parts.issubset(
        fingerprints.list_parts(exchange.tenant, exchange.request)
    )


def is_refused(
    exchange: exchanges.Exchange, now: float, state: 'states.State'
) -> bool:
    """Return whether a request must not be sent to another runner.

    A trial is not sent again.
    """
    request, account = exchange.request, exchange.tenant
    if exchange.arrival_count:
        return any(
            may_crash(exchange, block)
            for block in list_covering_blocks(request, account, state)
        )
    return find_block(request, account, now, state) is not None


def compute_retry_after_seconds(
    block: crash_records.Block, now: float, state: 'states.State'
) -> float:
    """Return in how many seconds a refused request may be tried again."""
    remaining = compute_trial_time(block, state) - now
    return max(remaining, MINIMUM_RETRY_AFTER_SECONDS)


def find_hold_seconds(
    prompt: requests.Prompt | None, now: float, state: 'states.State'
) -> float:
    """Return for how long a new request is held back, 0 if it is not."""
    held = state.crashes.held
    if prompt is None or not held:
        return 0.0
    held_until = max(
        (held.get(part, now) for part in prompt.shared_parts), default=now
    )
    return max(held_until - now, 0.0)
