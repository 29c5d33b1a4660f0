"""Define the commands of the command-line tool."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """Mark a data class as a command."""


@dataclasses.dataclass(frozen=True, slots=True)
class Validate(Command):
    """Check a document; `text` is the content of the file."""

    file_name: str
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Explain(Command):
    """Report the history of a request from log lines; `id` is the request's."""

    id: str
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Diff(Command):
    """Compare a document with the active one of an environment."""

    file_name: str
    text: str
    environment: str


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """Identify a promotion, its operator and the version it is based on.

    A `based_on` of -1 means the version that is active when the tool reads
    the environment.
    """

    promotion_id: str
    operator: str
    based_on: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Publish(Command):
    """Promote an edited document to its environment."""

    file_name: str
    text: str
    environment: str
    proposal: Proposal


@dataclasses.dataclass(frozen=True, slots=True)
class Promote(Command):
    """Promote the active document of one environment to another one."""

    source: str
    target: str
    proposal: Proposal


@dataclasses.dataclass(frozen=True, slots=True)
class Show(Command):
    """Show the active document."""

    environment: str


@dataclasses.dataclass(frozen=True, slots=True)
class History(Command):
    """Show the latest `limit` promotions that the log holds, latest first."""

    environment: str
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class Status(Command):
    """Show every entry instance."""


@dataclasses.dataclass(frozen=True, slots=True)
class Entries(Command):
    """Show the entry addresses for a caller."""

    caller_id: str
    availability_zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ask(Command):
    """Ask a model and stream the answer."""

    account_key: str
    model: str
    adapter: str
    prompt: str
    maximum_tokens: int
    deadline_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Act(Command):
    """Run an operation of a service."""

    account_key: str
    service: str
    operation: str
    idempotency_key: str
    body: bytes
    deadline_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Quota(Command):
    """Show the limits of `account`, or of all accounts if it is empty."""

    account: str


@dataclasses.dataclass(frozen=True, slots=True)
class Upstreams(Command):
    """Show the upstreams of `pool`, or of all pools if it is empty."""

    pool: str
