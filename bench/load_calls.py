"""Define the calls of the load tool to entry instances and their answers."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesCall:
    """Request the entry addresses that a caller is to use."""

    caller_number: int
    caller_id: str
    availability_zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerCall:
    """Request a model answer.

    `call_number` counts the calls of a request from 1 on. `delivered_tokens`
    are the tokens that earlier calls of the request returned.
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
    """Request one operation of an action service."""

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
    """Report the end of the body of a streamed answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class ActionAnswer:
    """Hold the answer of an action service."""

    status: int
    body: bytes
    was_replayed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CallError:
    """Hold an error as the caller sees it.

    `kind` is `refused` for an error in place of an answer, `cut` for one at
    the end of a streamed answer, else the kind of the call's failure.
    `was_sent` is false only if no byte of the call was sent.
    """

    kind: str
    status: int = 0
    code: str = ''
    outcome: str = ''
    scope: str = ''
    message: str = ''
    retry_after_seconds: float = 0
    was_sent: bool = True
