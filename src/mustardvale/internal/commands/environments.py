"""Read environment streams and run the commands that report on them."""

import dataclasses
import functools
import itertools

from mustardvale import document as documents
from mustardvale import errors
from mustardvale.internal import (
    calls,
    effects,
    events,
    promotions,
    records,
    streams,
    transitions,
)
from mustardvale.internal.commands import command_types, reducer, reports
from mustardvale.internal.commands import state as states

CALL_TIMEOUT_SECONDS = 3.0
RETRY_SECONDS = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class RetryRead:
    """Identify the timer that repeats a failed read."""

    environment: str


@functools.singledispatch
def on_environment_read(
    command: command_types.Command,
    environment: str,
    event: events.Event,
    state: states.State,
) -> reducer.Transition:
    """Continue a command when an environment has been read to its end."""
    raise TypeError(f'no handler for {type(command).__name__}')


def read(environment: str, state: states.State) -> reducer.Transition:
    """Read an environment from the offset after the last record read."""
    reading = state.readings.get(environment, states.Reading())
    call = calls.ReadRecords(
        stream=streams.EnvironmentStream(environment),
        from_offset=reading.promoted.next_offset,
        limit=promotions.READ_LIMIT_RECORDS,
        wait_seconds=0,
    )
    return transitions.Transition(
        set_reading(environment, reading, state),
        (effects.Call(call, state.log_address, CALL_TIMEOUT_SECONDS),),
    )


def read_to_end(environment: str, state: states.State) -> reducer.Transition:
    """Read an environment up to its current end."""
    reading = dataclasses.replace(state.readings[environment], end_offset=-1)
    return read(environment, set_reading(environment, reading, state))


def set_reading(
    environment: str,
    reading: states.Reading,
    state: states.State,
) -> states.State:
    """Return the state with a new reading of an environment."""
    readings = state.readings.set(environment, reading)
    return dataclasses.replace(state, readings=readings)


@reducer.on_answer.register(calls.ReadRecords)
def handle_read(
    call: calls.ReadRecords,
    event: events.CallAnswered,
    state: states.State,
) -> reducer.Transition:
    """Fold the records and continue when the end is reached."""
    assert isinstance(call.stream, streams.EnvironmentStream), (
        'the tool reads no other stream'
    )
    environment = call.stream.environment
    answer = event.answer
    if not isinstance(answer, calls.RecordsRead):
        return retry_read(RetryRead(environment), event, state, answer.message)
    reading = fold_read(answer, state.readings[environment])
    state = set_reading(environment, reading, state)
    if answer.records and reading.promoted.next_offset < reading.end_offset:
        return read(environment, state)
    return on_environment_read(state.command, environment, event, state)


def fold_read(
    answer: calls.RecordsRead,
    reading: states.Reading,
) -> states.Reading:
    """Fold the records of one read into a reading."""
    promoted = promotions.skip_dropped_records(
        answer.earliest_offset, reading.promoted
    )
    has_missed_records = (
        reading.has_missed_records or promoted != reading.promoted
    )
    rows = reading.rows
    for stored in answer.records:
        folded = promotions.fold(stored.record, stored.offset, promoted)
        promoted = folded.promoted
        if isinstance(stored.record, records.Promotion):
            row = build_history_row(stored, stored.record, folded)
            rows = (*rows, row)
    end_offset = (
        answer.next_offset if reading.end_offset < 0 else reading.end_offset
    )
    return states.Reading(promoted, end_offset, rows, has_missed_records)


def build_history_row(
    stored: records.StoredRecord,
    promotion: records.Promotion,
    folded: promotions.FoldResult,
) -> reports.HistoryRow:
    """Build the history row of a promotion and its verdict."""
    is_accepted = folded.verdict is promotions.Verdict.ACCEPTED
    return reports.HistoryRow(
        offset=stored.offset,
        appended_at=stored.appended_at,
        promotion_id=promotion.promotion_id,
        operator=promotion.operator,
        based_on_version=promotion.based_on_version,
        verdict=folded.verdict.value,
        version=folded.promoted.version if is_accepted else 0,
    )


@reducer.on_failure.register(calls.ReadRecords)
def handle_read_failure(
    call: calls.ReadRecords,
    event: events.CallFailed,
    state: states.State,
) -> reducer.Transition:
    """Repeat a failed read after a pause."""
    assert isinstance(call.stream, streams.EnvironmentStream), (
        'the tool reads no other stream'
    )
    retry_timer = RetryRead(call.stream.environment)
    return retry_read(retry_timer, event, state, event.failure.kind.value)


@reducer.on_timer.register(RetryRead)
def handle_retry_read(
    timer: RetryRead,
    event: events.TimerFired,
    state: states.State,
) -> reducer.Transition:
    """Repeat a failed read."""
    return read(timer.environment, state)


def retry_read(
    timer: RetryRead,
    event: events.Event,
    state: states.State,
    reason: str,
) -> reducer.Transition:
    """Repeat a read after a pause, or fail at the timeout."""
    if event.at + RETRY_SECONDS < state.started_at + state.timeout_seconds:
        retry = effects.SetTimer(timer, RETRY_SECONDS)
        return transitions.Transition(state, (retry,))
    if state.proposed_promotion is not None:
        unknown = reports.PromotionUnknown(
            timer.environment,
            state.proposed_promotion.promotion_id,
        )
        return reducer.finish(unknown, states.EXIT_UNREACHABLE, state)
    report = reports.Failed(
        'log_unreachable',
        f'no answer from the log service at {state.log_address}: {reason}',
        'Check --log-address, or repeat when the log service is back.',
    )
    return reducer.finish(report, states.EXIT_UNREACHABLE, state)


def refuse_unknown_document(
    environment: str,
    state: states.State,
) -> reducer.Transition | None:
    """Refuse if dropped records may include the active document."""
    if state.readings[environment].promoted.is_contiguous:
        return None
    return reducer.refuse(
        'document_unknown',
        f'the log no longer holds the start of environment.{environment} and '
        'no snapshot covers it',
        'Start an entry instance that still holds the document.',
        state,
    )


@reducer.begin_command.register(command_types.Show)
@reducer.begin_command.register(command_types.History)
@reducer.begin_command.register(command_types.Diff)
def begin_reading(
    command: command_types.Show | command_types.History | command_types.Diff,
    event: events.InstanceStarted,
    state: states.State,
) -> reducer.Transition:
    """Read the environment of the command."""
    return read(command.environment, state)


@on_environment_read.register(command_types.Show)
def show_document(
    command: command_types.Show,
    environment: str,
    event: events.Event,
    state: states.State,
) -> reducer.Transition:
    """Report the active document."""
    promoted = state.readings[environment].promoted
    refused = refuse_unknown_document(environment, state)
    if refused is not None:
        return refused
    if not promoted.version:
        return refuse_missing_document(environment, state)
    report = reports.ActiveDocument(
        environment,
        promoted.version,
        promoted.offset,
        promoted.operator,
        promoted.document,
    )
    return reducer.finish(report, states.EXIT_DONE, state)


def refuse_missing_document(
    environment: str, state: states.State
) -> reducer.Transition:
    """Refuse a command because an environment has no document."""
    return reducer.refuse(
        'no_document',
        f'no document has been promoted to {environment}',
        'Check the name of the environment, or publish a document.',
        state,
    )


@on_environment_read.register(command_types.History)
def show_history(
    command: command_types.History,
    environment: str,
    event: events.Event,
    state: states.State,
) -> reducer.Transition:
    """Report the promotions that the log still holds."""
    latest_first = reversed(state.readings[environment].rows)
    rows = tuple(itertools.islice(latest_first, command.limit))
    report = reports.HistoryShown(environment, rows)
    return reducer.finish(report, states.EXIT_DONE, state)


@reducer.begin_command.register(command_types.Validate)
def validate(
    command: command_types.Validate,
    event: events.InstanceStarted,
    state: states.State,
) -> reducer.Transition:
    """Report whether a document is valid."""
    try:
        document = documents.parse(command.text)
    except errors.DocumentError as error:
        invalid = reports.DocumentInvalid(command.file_name, error.problems)
        return reducer.finish(invalid, states.EXIT_REFUSED, state)
    report = reports.DocumentValid(command.file_name, document.environment)
    return reducer.finish(report, states.EXIT_DONE, state)


@on_environment_read.register(command_types.Diff)
def show_differences(
    command: command_types.Diff,
    environment: str,
    event: events.Event,
    state: states.State,
) -> reducer.Transition:
    """Report the changes from the active document to a file."""
    promoted = state.readings[environment].promoted
    refused = refuse_unknown_document(environment, state)
    if refused is not None:
        return refused
    try:
        new = documents.parse(command.text)
        old = parse_active(promoted, new)
    except errors.DocumentError as error:
        invalid = reports.DocumentInvalid(command.file_name, error.problems)
        return reducer.finish(invalid, states.EXIT_REFUSED, state)
    report = reports.Differences(
        environment,
        promoted.version,
        documents.diff(old, new),
    )
    return reducer.finish(report, states.EXIT_DONE, state)


def parse_active(
    promoted: promotions.PromotionState,
    new: documents.Document,
) -> documents.Document:
    """Parse the active document, or return an empty one if there is none."""
    if promoted.version:
        return documents.parse(promoted.document)
    return documents.Document(new.format, new.environment, (), ())
