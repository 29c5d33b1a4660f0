"""Define the calls to entry instances and their answers."""

import dataclasses

import immutables


@dataclasses.dataclass(frozen=True, slots=True)
class ReadStatus:
    """Ask an entry instance for its status."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadEntries:
    """Ask for the entry addresses of a caller."""

    caller_id: str
    availability_zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class AskModel:
    """Ask a model; `delivered` holds the tokens of an interrupted answer."""

    account_key: str
    model: str
    adapter: str
    prompt: str
    maximum_tokens: int
    deadline_seconds: float
    delivered: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class StreamClosed:
    """Report that the body of a streamed answer has ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunEntryAction:
    """Run an operation of a service through an entry instance."""

    account_key: str
    service: str
    operation: str
    idempotency_key: str
    body: bytes
    deadline_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ActionAnswered:
    """Hold the answer of a service, as the entry instance forwards it."""

    status: int
    headers: immutables.Map[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class EntryRefused:
    """Hold the error reply of an entry instance."""

    code: str
    message: str
    outcome: str = 'not_run'
    scope: str = 'call'
    retry_after_seconds: float = 0
    remedy: str = ''
