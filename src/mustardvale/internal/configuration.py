"""Track the environment document in force by tailing its log stream."""

import dataclasses
import hashlib
import typing

from mustardvale import document as documents
from mustardvale import errors
from mustardvale.internal import (
    effects,
    events,
    log_streams,
    promotions,
    records,
    streams,
    transitions,
)

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationState:
    """Hold the folded stream and the document that this instance applies.

    `document` is the last one that this release could parse, so
    `applied_version` may be behind `promoted.version`. `rejected_version` is
    the last one that it could not parse. `in_force_since` is a wall time.
    `is_caught_up` is false while the log may hold a later document that was
    not read. `snapshot_at` and `snapshot_sent_at` are the monotonic times of
    the latest snapshot in the log and of this instance's latest attempt to
    append one.
    """

    environment: str = ''
    promoted: promotions.PromotionState = promotions.PromotionState()
    document: documents.Document | None = None
    applied_version: int = 0
    rejected_version: int = 0
    in_force_since: float = 0
    is_caught_up: bool = False
    snapshot_at: float | None = None
    snapshot_sent_at: float | None = None


def tail_environment(
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Start tailing the stream of this instance's environment."""
    stream = streams.EnvironmentStream(state.configuration.environment)
    return log_streams.start_tailing(stream, state)


@log_streams.find_read_limit.register(streams.EnvironmentStream)
def find_read_limit(stream: streams.EnvironmentStream) -> int:
    """Return the maximum number of records in one read of the stream."""
    return promotions.READ_LIMIT_RECORDS


@log_streams.on_record.register(streams.EnvironmentStream)
def fold_stored_record(
    stream: streams.EnvironmentStream,
    stored: records.StoredRecord,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Fold a stored record and apply the document that it puts in force."""
    result = promotions.fold(
        stored.record,
        stored.offset,
        state.configuration.promoted,
    )
    configuration = dataclasses.replace(
        state.configuration,
        promoted=result.promoted,
        snapshot_at=find_snapshot_time(stored, event, state.configuration),
    )
    updated = dataclasses.replace(state, configuration=configuration)
    count = effects.Count('promotions', (result.verdict.value,))
    return apply_promoted(event, updated).with_effects(count)


def find_snapshot_time(
    stored: records.StoredRecord,
    event: events.CallAnswered,
    configuration: ConfigurationState,
) -> float | None:
    """Return the monotonic time of the latest snapshot in the log."""
    if not isinstance(stored.record, records.DocumentSnapshot):
        return configuration.snapshot_at
    age = max(event.wall_time - stored.appended_at, 0)
    return max(event.at - age, configuration.snapshot_at or 0)


@log_streams.on_gap.register(streams.EnvironmentStream)
def handle_gap(
    stream: streams.EnvironmentStream,
    earliest_offset: int,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Suspend applying documents until the dropped records are covered.

    A snapshot in the log or a copy from a peer covers them.
    """
    known = state.configuration.promoted
    promoted = promotions.skip_dropped_records(earliest_offset, known)
    if promoted == known:
        return transitions.Transition(state)
    configuration = dataclasses.replace(
        state.configuration,
        promoted=promoted,
        is_caught_up=False,
    )
    return transitions.Transition(
        dataclasses.replace(state, configuration=configuration),
        (
            effects.Count('configuration_gaps'),
            effects.LogChange(
                'the log dropped records that were not read',
                (
                    ('next_offset', known.next_offset),
                    ('earliest_offset', earliest_offset),
                ),
            ),
        ),
    )


def apply_promoted(
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Apply the document in force once its stream has been read to the end."""
    configuration = state.configuration
    promoted = configuration.promoted
    if not configuration.is_caught_up or not promoted.is_contiguous:
        return transitions.Transition(state)
    if promoted.version in {
        configuration.applied_version,
        configuration.rejected_version,
    }:
        return transitions.Transition(state)
    try:
        document = parse_for_environment(
            configuration.environment, promoted.document
        )
    except errors.DocumentError as error:
        return reject_promoted(error, state)
    assert promoted.version > configuration.applied_version, (
        'the version in force never goes back'
    )
    configuration = dataclasses.replace(
        configuration,
        document=document,
        applied_version=promoted.version,
        in_force_since=event.wall_time,
    )
    return transitions.Transition(
        dataclasses.replace(state, configuration=configuration),
        (
            effects.LogChange(
                'document in force',
                (('version', promoted.version), ('offset', promoted.offset)),
            ),
            effects.SetGauge('document_version', promoted.version),
        ),
    )


def parse_for_environment(environment: str, text: str) -> documents.Document:
    """Parse a document that was promoted to an environment.

    Raises `errors.DocumentError` if the document is invalid or names another
    environment.
    """
    document = documents.parse(text)
    if document.environment == environment:
        return document
    raise errors.DocumentError(
        (
            f'environment: {document.environment!r} was promoted to '
            f'{environment!r}, use mustardvale promote',
        )
    )


def reject_promoted(
    error: errors.DocumentError,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Keep the applied document when this release cannot parse the new one."""
    configuration = dataclasses.replace(
        state.configuration,
        rejected_version=state.configuration.promoted.version,
    )
    return transitions.Transition(
        dataclasses.replace(state, configuration=configuration),
        (
            effects.Count('documents_unreadable'),
            effects.LogChange(
                'document cannot be read, the last one stays in force',
                (
                    ('version', state.configuration.promoted.version),
                    ('problems', list(error.problems)),
                ),
            ),
        ),
    )


@log_streams.on_caught_up.register(streams.EnvironmentStream)
def handle_caught_up(
    stream: streams.EnvironmentStream,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Apply the document in force when a read reaches the end of the stream."""
    configuration = dataclasses.replace(state.configuration, is_caught_up=True)
    updated = dataclasses.replace(state, configuration=configuration)
    return apply_promoted(event, updated)


def find_account(
    account_key: str,
    state: 'states.State',
) -> documents.ClientAccount | None:
    """Return the client account that a key belongs to."""
    document = state.configuration.document
    if document is None or not account_key:
        return None
    digest = hashlib.sha256(account_key.encode()).hexdigest()
    return document.find_account(digest)
