"""Define the state of a request that is being relayed."""

import dataclasses
import typing

import immutables

from mustardvale.internal.relay import configuration, requests


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """Hold one send of a request.

    `sent` tells that the upstream may have received it. `tokens` is what its
    chain is taken to hold for it. `heard_at` is when anything last came back,
    `moving_to` the chain of an order to move that has no answer yet.
    """

    send_id: str
    runner_id: str
    started_at: float
    chain: requests.Chain = ()
    estimated_tokens: float = 0.0
    is_sent: bool = False
    head: requests.AnswerHead | None = None
    body: bytes = b''
    last_received_at: float = 0.0
    first_event_at: float | None = None
    pending_chain: requests.Chain = ()
    move_count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """Hold a request of a caller until it is answered.

    `runs` counts the sends that may have run and are over, `sends` all of
    them. `tried` names upstreams that refused or failed it. `rest` is the
    beginning of an event whose end has not arrived. `searched_at` is when an
    upstream was last looked for in vain.
    """

    request_id: str
    request: requests.ClientRequest
    route: configuration.Route
    service: str
    arrived_at: float
    deadline_at: float
    tenant: str | None = None
    urgency: int | None = None
    attempts: tuple[Attempt, ...] = ()
    finished_run_count: int = 0
    send_count: int = 0
    tried_runner_ids: frozenset[str] = frozenset()
    has_stream_started: bool = False
    last_event_id: int | None = None
    partial_event: bytes = b''
    last_event_at: float | None = None
    is_caller_blocked: bool = False
    last_search_at: float | None = None
    last_problem: str = ''

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a stream of events."""
        return self.route.kind is configuration.RequestKind.STREAMING

    @property
    def may_have_run(self) -> bool:
        """Return whether any send may have run or may still run."""
        return self.finished_run_count > 0 or any(
            attempt.is_sent for attempt in self.attempts
        )


ExchangeMap: typing.TypeAlias = 'immutables.Map[str, Exchange]'


def find_attempt(exchange: Exchange, send_id: str) -> Attempt | None:
    """Return an open attempt of a request."""
    for attempt in exchange.attempts:
        if attempt.send_id == send_id:
            return attempt
    return None


def replace_attempt(exchange: Exchange, changed: Attempt) -> Exchange:
    """Keep a changed attempt."""
    return dataclasses.replace(
        exchange,
        attempts=tuple(
            changed if attempt.send_id == changed.send_id else attempt
            for attempt in exchange.attempts
        ),
    )


def remove_attempt(exchange: Exchange, send_id: str) -> Exchange:
    """Forget an attempt that is over."""
    return dataclasses.replace(
        exchange,
        attempts=tuple(
            attempt
            for attempt in exchange.attempts
            if attempt.send_id != send_id
        ),
    )
