"""Define the records stored in the streams of the log service."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Mark a data class as a record of the log."""


@dataclasses.dataclass(frozen=True, slots=True)
class Promotion(Record):
    """Propose a document that replaces the one the operator saw in force."""

    promotion_id: str
    operator: str
    based_on_version: int
    based_on_offset: int
    document: str


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentSnapshot(Record):
    """Store the document in force after folding all records up to `as_of`."""

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
    """Hold the answer to an action that was sent.

    `answer` is base64; it is empty if `answer_bytes` exceeds the stored size.
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
    """Propose a placement plan that replaces the one at `based_on_offset`."""

    proposal_id: str
    based_on_offset: int
    assignments: tuple['Assignment', ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """Assign the layers `first_layer` up to `end_layer` to one runner."""

    instance_id: str
    model: str
    version: str
    adapters: tuple[str, ...]
    first_layer: int
    end_layer: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlanSnapshot(Record):
    """Store the plan in force after folding all records up to `as_of`."""

    offset: int
    assignments: tuple[Assignment, ...]
    as_of: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownRecord(Record):
    """Represent a record that this release cannot decode; folds ignore it."""

    kind: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRecord:
    """Pair a record with its offset and its append time.

    `appended_at` is in seconds since the epoch, by the clock of the log.
    """

    offset: int
    appended_at: float
    record: Record
