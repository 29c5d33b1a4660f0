"""Hold the state of the load tool."""

import dataclasses

import immutables

from bench import load_work
from mustardvale import document as documents
from mustardvale.internal import transitions


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """Hold the settings of a run: the load, its duration and the callers.

    `rate` is in requests per second; requests start at random times whether or
    not earlier ones have ended. `bootstrap` has the entry addresses that the
    callers know at the start. `versions` are the model versions that an answer
    may come from. `repeat_share` is the share of actions with a key that are
    repeated after their answer, `twin_share` that of those sent twice at the
    same time. A call is abandoned after `stall_seconds` without a token, and a
    request is called at most `maximum_calls` times.
    """

    run_id: str
    document: documents.Document
    bootstrap: tuple[str, ...]
    zones: tuple[str, ...] = ('',)
    rate: float = 20
    duration_seconds: float = 20
    callers: int = 60
    seed: int = 1
    mix: load_work.Mix = load_work.Mix()
    repeat_share: float = 0.05
    twin_share: float = 0.02
    deadline_seconds: float = 20
    stall_seconds: float = 4
    maximum_calls: int = 8
    versions: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """Hold a caller and the entry addresses that it uses."""

    number: int
    account: str
    availability_zone: str
    entry_addresses: tuple[str, ...]

    @property
    def caller_id(self) -> str:
        """Return the identity that the caller sends."""
        return f'caller-{self.number}'


@dataclasses.dataclass(frozen=True, slots=True)
class Segment:
    """Hold the token range that one call added, and its version if known."""

    first_index: int
    end_index: int
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Hold a request in flight.

    Latency counts from `due_at`, so that a load tool that lags does not hide
    it. `tokens` are those of all calls so far, `tokens_before_call` is their
    number at the start of the current call. `is_outcome_unknown` tells that a
    call may have run without a complete answer. `has_repeat` tells that an
    action is to be repeated once it is answered; `first_answer_body` is then
    the body of the first answer.
    """

    request_id: str
    caller_number: int
    work: load_work.Work
    due_at: float
    call_count: int = 0
    entry_address: str = ''
    tokens: tuple[str, ...] = ()
    tokens_before_call: int = 0
    segments: tuple[Segment, ...] = ()
    last_token_at: float = 0
    tokens_recorded_at: float = 0
    is_outcome_unknown: bool = False
    error_count: int = 0
    has_repeat: bool = False
    first_answer_body: bytes | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class VerdictTotals:
    """Count the verdicts that make the exit code 1."""

    wrong: int = 0
    cut: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Hold the callers and requests in flight; times are monotonic seconds."""

    plan: LoadPlan
    seed: int
    callers: immutables.Map[int, Caller] = immutables.Map()
    requests: immutables.Map[str, Request] = immutables.Map()
    arrival_count: int = 0
    started_at: float = 0
    ends_at: float = 0
    next_arrival_at: float = 0
    is_finished: bool = False
    totals: VerdictTotals = VerdictTotals()


Transition = transitions.Transition[State]


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesRefreshDue:
    """Request entry addresses again."""

    caller_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class ArrivalDue:
    """Start the requests that are due."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryDue:
    """Start the next call of a request after a wait."""

    request_id: str
    call_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class StallTimeout:
    """Abandon a call whose next token is overdue."""

    request_id: str
    call_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class DrainTimeout:
    """End the run even if requests are in flight."""


def with_request(request: Request, state: State) -> State:
    """Add or replace a request."""
    requests = state.requests.set(request.request_id, request)
    return dataclasses.replace(state, requests=requests)


def with_caller(caller: Caller, state: State) -> State:
    """Add or replace a caller."""
    callers = state.callers.set(caller.number, caller)
    return dataclasses.replace(state, callers=callers)


def build_callers(plan: LoadPlan) -> immutables.Map[int, Caller]:
    """Distribute callers over accounts and zones.

    Accounts get callers in proportion to their limits, because large accounts
    have high limits.
    """
    accounts = plan.document.client_accounts
    total = sum(account.requests_per_second for account in accounts)
    names: list[str] = []
    cumulative_callers = 0.0
    for account in accounts:
        cumulative_callers += account.requests_per_second / total * plan.callers
        names.extend([account.name] * (round(cumulative_callers) - len(names)))
    return immutables.Map(
        {
            number: Caller(
                number,
                name,
                plan.zones[number % len(plan.zones)],
                rotate_addresses(plan.bootstrap, number),
            )
            for number, name in enumerate(names)
        }
    )


def rotate_addresses(addresses: tuple[str, ...], count: int) -> tuple[str, ...]:
    """Rotate addresses to the left by a number of positions."""
    start = count % len(addresses)
    return addresses[start:] + addresses[:start]
