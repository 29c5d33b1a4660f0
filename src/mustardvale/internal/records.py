"""Define the records that are kept in streams of the log service."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Mark a data class as a record of the log."""


@dataclasses.dataclass(frozen=True, slots=True)
class Promotion(Record):
    """Propose a document, based on the one that the operator saw in force."""

    promotion_id: str
    operator: str
    based_on_version: int
    based_on_offset: int
    document: str


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentSnapshot(Record):
    """Repeat the document in force after folding all records to `as_of`."""

    version: int
    offset: int
    document: str
    as_of: int
    operator: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ActionAttempt(Record):
    """Claim the right to send an action."""

    attempt_id: str
    account: str
    idempotency_key: str
    body_digest: str
    instance_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptAbandoned(Record):
    """State that an attempt was not sent and never will be."""

    attempt_id: str
    account: str
    idempotency_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptDone(Record):
    """Hold the answer to a sent action.

    `answer` is base64; it is empty when `answer_bytes` exceeds the size kept.
    """

    attempt_id: str
    account: str
    idempotency_key: str
    body_digest: str
    status: int
    content_type: str
    answer: str
    answer_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlanProposal(Record):
    """Propose which runner holds which layers, based on an earlier plan."""

    proposal_id: str
    based_on_offset: int
    assignments: tuple['Assignment', ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """Say what one runner holds: layers `first_layer` up to `end_layer`."""

    instance_id: str
    model: str
    version: str
    adapters: tuple[str, ...]
    first_layer: int
    end_layer: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlanSnapshot(Record):
    """Repeat the plan in force after folding all records to `as_of`."""

    offset: int
    assignments: tuple[Assignment, ...]
    as_of: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownRecord(Record):
    """Stand for a record that this release cannot decode; folds ignore it."""

    kind: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRecord:
    """Pair a record with its offset and the log's time of its append."""

    offset: int
    appended_at: float
    record: Record
