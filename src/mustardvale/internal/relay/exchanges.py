"""Define the state of requests that are being relayed."""

import dataclasses
import typing

import immutables

from mustardvale.internal.relay import (
    answer_bodies,
    configuration,
    event_stream,
    requests,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """Hold one send of a request to an upstream.

    `is_sent` is true once the upstream may have received the request.
    `estimated_tokens` is the number of tokens that its chain is assumed to keep
    for it. `last_received_at` is when data last arrived, `first_event_at` when
    the first complete event of a stream did. `process_started_at_ms` is that of
    the process that was listed when the send began. `partial_event` is the beginning of
    an event that is not complete yet, and `withheld_events` are comments that
    are kept back until an event. `pending_chain` is the chain of an order to
    move the request that has not been answered yet.
    """

    send_id: str
    runner_id: str
    started_at: float
    chain: requests.Chain = ()
    estimated_tokens: float = 0.0
    is_sent: bool = False
    head: requests.AnswerHead | None = None
    body: answer_bodies.AnswerBody = answer_bodies.EMPTY_BODY
    last_received_at: float = 0.0
    first_event_at: float | None = None
    partial_event: event_stream.PartialEvent = event_stream.NO_EVENT
    withheld_events: answer_bodies.AnswerBody = answer_bodies.EMPTY_BODY
    pending_chain: requests.Chain = ()
    move_count: int = 0
    process_started_at_ms: int = 0

    @property
    def buffered_bytes(self) -> int:
        """Return the bytes that are kept until the answer goes on."""
        incomplete = self.partial_event.body.size
        return self.body.size + incomplete + self.withheld_events.size

    @property
    def loaded_chain(self) -> requests.Chain:
        """Return the chain whose runners carry the load of the request."""
        return self.pending_chain or self.chain


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """Hold a request of a caller until it is answered.

    `possible_run_count` counts the failed sends that may have run the request;
    open sends are not in it. `send_count` counts all sends, and
    `unconnected_count` those that ended before a byte was sent. The others are
    assumed to have arrived at an upstream. `tried_runner_ids` names the
    upstreams that refused or failed the request. `last_search_at` is when a
    search last found no upstream, `next_search_at` when a request that waits
    for silent upstreams searches again (infinite until one answers), and
    `last_problem` why the last send failed or got a second one beside it.
    `expected_wait_seconds` is set while a request waits for capacity, since
    `wait_began_at`, and `pass_count` counts the smaller requests that were sent
    first. `is_returning` is true if its caller was refused and told to return.
    `admitted_service` describes the service in the version that admitted the
    request, for the case that a later version drops it.
    """

    request_id: str
    request: requests.ClientRequest
    route: configuration.Route
    service: str
    arrived_at: float
    deadline_at: float
    admitted_service: configuration.Service | None = None
    tenant: str | None = None
    urgency: int | None = None
    attempts: tuple[Attempt, ...] = ()
    possible_run_count: int = 0
    send_count: int = 0
    unconnected_count: int = 0
    tried_runner_ids: frozenset[str] = frozenset()
    has_stream_started: bool = False
    last_event_id: int | None = None
    last_event_at: float | None = None
    is_caller_blocked: bool = False
    last_search_at: float | None = None
    next_search_at: float | None = None
    last_problem: str = ''
    account_weight: float = 1.0
    expected_wait_seconds: float | None = None
    wait_began_at: float | None = None
    pass_count: int = 0
    is_returning: bool = False

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a stream of events."""
        return self.route.kind is configuration.RequestKind.STREAMING

    @property
    def arrival_count(self) -> int:
        """Return how many sends may have arrived at an upstream."""
        return self.send_count - self.unconnected_count

    @property
    def may_have_run(self) -> bool:
        """Return whether any send may have run the request or may still."""
        return self.possible_run_count > 0 or any(
            attempt.is_sent for attempt in self.attempts
        )


ExchangeMap: typing.TypeAlias = 'immutables.Map[str, Exchange]'


def compute_deadline(
    request: requests.ClientRequest, timeout_seconds: float, arrived_at: float
) -> float:
    """Return when a request must end, by its route and by its caller."""
    if request.deadline_seconds is None:
        return arrived_at + timeout_seconds
    return arrived_at + min(timeout_seconds, request.deadline_seconds)


def extend_deadlines(
    exchange_map: ExchangeMap, newest: configuration.Configuration
) -> ExchangeMap:
    """Give open requests the time that a newer version allows, if longer.

    A version that lowers a timeout holds for requests that arrive later.
    """
    timeouts = {
        route.name: route.timeout_seconds
        for routes in newest.routes_by_host.values()
        for route in routes
    }
    for request_id, exchange in exchange_map.items():
        deadline_at = compute_deadline(
            exchange.request,
            timeouts.get(exchange.route.name, 0),
            exchange.arrived_at,
        )
        if deadline_at > exchange.deadline_at:
            extended = dataclasses.replace(exchange, deadline_at=deadline_at)
            exchange_map = exchange_map.set(request_id, extended)
    return exchange_map


def find_attempt(exchange: Exchange, send_id: str) -> Attempt | None:
    """Return the open attempt with a send id, if there is one."""
    for attempt in exchange.attempts:
        if attempt.send_id == send_id:
            return attempt
    return None


def replace_attempt(exchange: Exchange, changed: Attempt) -> Exchange:
    """Replace the attempt that has the same send id."""
    return dataclasses.replace(
        exchange,
        attempts=tuple(
            changed if attempt.send_id == changed.send_id else attempt
            for attempt in exchange.attempts
        ),
    )


def remove_attempt(exchange: Exchange, send_id: str) -> Exchange:
    """Remove a finished attempt."""
    return dataclasses.replace(
        exchange,
        attempts=tuple(
            attempt
            for attempt in exchange.attempts
            if attempt.send_id != send_id
        ),
    )


def record_failed_attempt(
    exchange: Exchange, attempt: Attempt, problem: str
) -> Exchange:
    """Record a send that failed; it counts as a run if it may have run."""
    return dataclasses.replace(
        exchange,
        unconnected_count=exchange.unconnected_count + (not attempt.is_sent),
        possible_run_count=exchange.possible_run_count + attempt.is_sent,
        tried_runner_ids=exchange.tried_runner_ids | {attempt.runner_id},
        last_problem=problem,
    )


def list_last_activity(exchange_map: ExchangeMap) -> dict[str, float]:
    """Return when a stream last delivered something through each runner."""
    last_activity: dict[str, float] = {}
    for exchange in exchange_map.values():
        for attempt in exchange.attempts:
            if attempt.first_event_at is None:
                continue
            for part in attempt.chain:
                last_activity[part.runner_id] = max(
                    last_activity.get(part.runner_id, 0.0),
                    attempt.last_received_at,
                )
    return last_activity
