"""Define the reports of the command-line tool.

The name of a report class is the value of `report` in its JSON.
"""

import dataclasses
import datetime
import typing

from mustardvale.internal import caller_messages, document_changes, effects


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Mark a data class as a report."""


@dataclasses.dataclass(frozen=True, slots=True)
class Show(effects.Effect):
    """Write a report for the user, as JSON or as text."""

    report: Report
    as_json: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Failed(Report):
    """Report why a command failed, or that its outcome is unknown."""

    code: str
    message: str
    remedy: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """Hold one log line of an instance."""

    at: datetime.datetime
    instance_id: str
    event: str
    fields: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestExplained(Report):
    """Report the history of a request and the cause that ended it."""

    id: str
    history: tuple[LogLine, ...]
    cause: str


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentInvalid(Report):
    """Report all problems of a document."""

    file_name: str
    problems: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentValid(Report):
    """Report that a document has no problem."""

    file_name: str
    environment: str


@dataclasses.dataclass(frozen=True, slots=True)
class Differences(Report):
    """Report the changes from the active version to a file."""

    environment: str
    version: int
    changes: tuple[document_changes.Change, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionAccepted(Report):
    """Report the version and offset of a promotion."""

    environment: str
    version: int
    offset: int
    promotion_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionLost(Report):
    """Report the version that won over a promotion, and its operator."""

    environment: str
    based_on_version: int
    winner_version: int
    winner_operator: str
    promotion_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionUnknown(Report):
    """Report that it is unknown whether the log holds a promotion."""

    environment: str
    promotion_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyInForce(Report):
    """Report that the active document has the same text."""

    environment: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveDocument(Report):
    """Hold the active document."""

    environment: str
    version: int
    offset: int
    operator: str
    document: str


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryRow:
    """Describe one promotion; `version` is 0 unless it was accepted.

    `appended_at` is the log's time in seconds since the epoch.
    """

    offset: int
    appended_at: float
    promotion_id: str
    operator: str
    based_on_version: int
    verdict: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryShown(Report):
    """Hold promotions, latest first."""

    environment: str
    promotions: tuple[HistoryRow, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceRow:
    """Describe one entry instance.

    `age_seconds` is the time since its version came into force there, and
    `behind` tells whether another instance has a later one.
    """

    instance_id: str
    address: str
    availability_zone: str
    state: str
    environment: str
    version: int
    behind: bool
    age_seconds: float
    heard_seconds_ago: float


@dataclasses.dataclass(frozen=True, slots=True)
class StatusShown(Report):
    """Hold all entry instances that the called one knows."""

    instances: tuple[InstanceRow, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesShown(Report):
    """Hold entry addresses in the order to try them."""

    entries: tuple[caller_messages.EntryAddress, ...]
    valid_for_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaShown(Report):
    """Hold the limits of client accounts."""

    accounts: tuple[caller_messages.AccountStatus, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsShown(Report):
    """Hold the upstreams that the called entry instance knows."""

    upstreams: tuple[caller_messages.UpstreamStatus, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TokenShown(Report):
    """Hold one token of an answer."""

    index: int
    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerShown(Report):
    """Report the end of a complete answer."""

    tokens: int
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class ActionShown(Report):
    """Hold the answer of a service.

    `replayed` tells whether it is the stored answer of an earlier call.
    """

    status: int
    body: str
    replayed: bool
    idempotency_key: str
