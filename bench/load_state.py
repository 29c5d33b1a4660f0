"""Hold the state of the load tool."""

import dataclasses

import immutables

from bench import load_work
from mustardvale import document as documents
from mustardvale.internal import transitions


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """Say what load to send, for how long and as whom.

    `rate` is in requests per second; requests start at random times whether or
    not earlier ones have ended. `versions` are the model versions that an
    answer may come from.
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
    """Describe one caller and the entry addresses that it keeps."""

    number: int
    account: str
    availability_zone: str
    entry_addresses: tuple[str, ...]

    @property
    def caller_id(self) -> str:
        """Return the identity that the caller gives."""
        return f'caller-{self.number}'


@dataclasses.dataclass(frozen=True, slots=True)
class Segment:
    """Hold the tokens that one call added; the version is '' if unknown."""

    first_index: int
    end_index: int
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Describe a request in flight.

    `wanted_at` is the time at which the request was due, so that a load tool
    that lags does not hide latency. `tokens` come from all calls so far,
    `call_first` is the number of tokens before the current call. `unknown`
    says that an outcome was not certain. `answered` holds the body of an
    action that is answered and being repeated.
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
    """Count the verdicts that decide about the exit code."""

    wrong: int = 0
    cut: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Hold the callers and the requests in flight; times are monotonic."""

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
    """Ask for entry addresses again."""

    caller_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class ArrivalDue:
    """Start the requests that are due."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryDue:
    """Call again after the wait that follows call number `call`."""

    request_id: str
    call_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class StallTimeout:
    """Give up a call whose next token did not come."""

    request_id: str
    call_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class DrainTimeout:
    """End the run although requests are in flight."""


def with_request(request: Request, state: State) -> State:
    """Add or replace a request."""
    table = state.requests.set(request.request_id, request)
    return dataclasses.replace(state, requests=table)


def with_caller(caller: Caller, state: State) -> State:
    """Add or replace a caller."""
    table = state.callers.set(caller.number, caller)
    return dataclasses.replace(state, callers=table)


def build_callers(plan: LoadPlan) -> immutables.Map[int, Caller]:
    """Spread callers over accounts by their limits, and over zones.

    The accounts with high limits are the large ones, so they get most callers.
    """
    accounts = plan.document.client_accounts
    total = sum(account.requests_per_second for account in accounts)
    names: list[str] = []
    reached = 0.0
    for account in accounts:
        reached += account.requests_per_second / total * plan.callers
        names.extend([account.name] * (round(reached) - len(names)))
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
    """Return the addresses from another starting point."""
    start = count % len(addresses)
    return addresses[start:] + addresses[:start]
