"""Find and change the open attempts of requests."""

import dataclasses
import typing

from mustardvale.internal.relay import (
    exchanges,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states


@dataclasses.dataclass(frozen=True, slots=True)
class OpenAttempt:
    """Pair a request with the open attempt that an event belongs to."""

    exchange: exchanges.Exchange
    attempt: exchanges.Attempt


def find_open_attempt(
    send_id: str, state: 'states.State'
) -> OpenAttempt | None:
    """Return the request and attempt of a send, unless it has ended."""
    request_id = state.request_ids_by_send.get(send_id)
    if request_id is None:
        return None
    exchange = state.exchanges[request_id]
    attempt = exchanges.find_attempt(exchange, send_id)
    return None if attempt is None else OpenAttempt(exchange, attempt)


def store_attempt(
    open_attempt: OpenAttempt, attempt: exchanges.Attempt, state: 'states.State'
) -> 'states.State':
    """Store a changed attempt in the state."""
    changed = exchanges.replace_attempt(open_attempt.exchange, attempt)
    return dataclasses.replace(
        state, exchanges=state.exchanges.set(changed.request_id, changed)
    )


def store_exchange(
    exchange: exchanges.Exchange, state: 'states.State'
) -> 'states.State':
    """Store a changed request in the state."""
    return dataclasses.replace(
        state, exchanges=state.exchanges.set(exchange.request_id, exchange)
    )
