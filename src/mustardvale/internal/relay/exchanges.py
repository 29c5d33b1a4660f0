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
    tokens: float = 0.0
    sent: bool = False
    head: requests.AnswerHead | None = None
    body: bytes = b''
    heard_at: float = 0.0
    first_heard_at: float | None = None
    moving_to: requests.Chain = ()
    moves: int = 0


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
    due_at: float
    tenant: str | None = None
    urgency: int | None = None
    attempts: tuple[Attempt, ...] = ()
    runs: int = 0
    sends: int = 0
    tried: frozenset[str] = frozenset()
    streaming: bool = False
    last_event: int | None = None
    rest: bytes = b''
    events_at: float | None = None
    blocked: bool = False
    searched_at: float | None = None
    problem: str = ''

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a stream of events."""
        return self.route.kind is configuration.RequestKind.STREAMING

    @property
    def may_have_run(self) -> bool:
        """Return whether any send may have run or may still run."""
        return self.runs > 0 or any(attempt.sent for attempt in self.attempts)


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


def without_attempt(exchange: Exchange, send_id: str) -> Exchange:
    """Forget an attempt that is over."""
    return dataclasses.replace(
        exchange,
        attempts=tuple(
            attempt
            for attempt in exchange.attempts
            if attempt.send_id != send_id
        ),
    )
