"""Define the calls of the load tool to entry instances, and their answers."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesCall:
    """Ask an entry instance for the entry addresses to use."""

    caller_number: int
    caller_id: str
    availability_zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerCall:
    """Ask for a model answer; `delivered` are the tokens of earlier calls.

    `call` counts the calls of a request from 1 on.
    """

    request_id: str
    call_number: int
    account: str
    model: str
    adapter: str
    prompt: tuple[str, ...]
    delivered_tokens: tuple[str, ...]
    maximum_tokens: int
    deadline_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ActionCall:
    """Ask for one operation of a plain service."""

    request_id: str
    call_number: int
    account: str
    service: str
    operation: str
    idempotency_key: str
    body: bytes
    deadline_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerEnd:
    """Hold the end mark of a model answer."""

    token_count: int
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class StreamClosed:
    """Report that the body of a streamed answer is over."""


@dataclasses.dataclass(frozen=True, slots=True)
class ActionAnswer:
    """Hold the answer of a plain service."""

    status: int
    body: bytes
    was_replayed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CallError:
    """Hold an error as the caller sees it.

    `kind` is `refused` for an error in place of an answer, `cut` for one at
    the end of a streamed answer, else the kind of the call's failure. `sent`
    is false only if not a byte of the call was sent.
    """

    kind: str
    status: int = 0
    code: str = ''
    outcome: str = ''
    scope: str = ''
    message: str = ''
    retry_after_seconds: float = 0
    was_sent: bool = True
