"""Promote documents; report who won when promotions conflict."""

import dataclasses
import re

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
from mustardvale.internal.commands import (
    command_types,
    environments,
    reducer,
    reports,
)
from mustardvale.internal.commands import state as states

# Top-level fields come before the first table of a TOML document, so the first
# match is the field of the document.
ENVIRONMENT_LINE = re.compile(r'^environment\s*=.*$', re.MULTILINE)


@reducer.begin_command.register(command_types.Publish)
def begin_publish(
    command: command_types.Publish,
    event: events.InstanceStarted,
    state: states.State,
) -> reducer.Transition:
    """Check the document, then read its environment."""
    try:
        document = documents.parse(command.text)
    except errors.DocumentError as error:
        report = reports.DocumentInvalid(command.file_name, error.problems)
        return reducer.finish(report, states.EXIT_REFUSED, state)
    if document.environment != command.environment:
        return reducer.refuse(
            'environment_mismatch',
            f'{command.file_name} is for {document.environment!r} and not for '
            f'{command.environment!r}',
            'Correct the field or the flag, or use promote.',
            state,
        )
    return environments.read(command.environment, state)


@environments.on_environment_read.register(command_types.Publish)
def publish(
    command: command_types.Publish,
    environment: str,
    event: events.Event,
    state: states.State,
) -> reducer.Transition:
    """Propose the document, or report the verdict on the proposal."""
    if state.proposed_promotion is not None:
        return resolve_promotion(environment, event, state)
    return propose(environment, command.text, command.proposal, state)


@reducer.begin_command.register(command_types.Promote)
def begin_promote(
    command: command_types.Promote,
    event: events.InstanceStarted,
    state: states.State,
) -> reducer.Transition:
    """Read the source environment."""
    return environments.read(command.source, state)


@environments.on_environment_read.register(command_types.Promote)
def promote(
    command: command_types.Promote,
    environment: str,
    event: events.Event,
    state: states.State,
) -> reducer.Transition:
    """Read the target after the source, then propose or report."""
    if state.proposed_promotion is not None:
        return resolve_promotion(environment, event, state)
    if environment == command.source:
        return check_source(command, state)
    source = state.readings[command.source].promoted
    try:
        text = retarget(source.document, command.target)
    except errors.DocumentError as error:
        report = reports.DocumentInvalid(command.source, error.problems)
        return reducer.finish(report, states.EXIT_REFUSED, state)
    return propose(environment, text, command.proposal, state)


def check_source(
    command: command_types.Promote,
    state: states.State,
) -> reducer.Transition:
    """Read the target, unless the document of the source is unknown."""
    refused = environments.refuse_unknown_document(command.source, state)
    if refused is not None:
        return refused
    if not state.readings[command.source].promoted.version:
        return environments.refuse_missing_document(command.source, state)
    return environments.read(command.target, state)


def retarget(text: str, environment: str) -> str:
    """Set the environment in the text of a document; comments are kept.

    Raises `errors.DocumentError` if anything but the environment would change.
    """
    changed = ENVIRONMENT_LINE.sub(f'environment = "{environment}"', text, 1)
    expected = dataclasses.replace(
        documents.parse(text),
        environment=environment,
    )
    if documents.parse(changed) != expected:
        raise errors.DocumentError(
            ('environment: write the field on a line of its own',),
        )
    return changed


def propose(
    environment: str,
    text: str,
    proposal: command_types.Proposal,
    state: states.State,
) -> reducer.Transition:
    """Append a promotion based on the active version."""
    refused = environments.refuse_unknown_document(environment, state)
    if refused is not None:
        return refused
    active = state.readings[environment].promoted
    if proposal.based_on not in {-1, active.version}:
        return report_lost(environment, proposal.based_on, proposal, state)
    if active.version and active.document == text:
        same = reports.AlreadyInForce(environment, active.version)
        return reducer.finish(same, states.EXIT_DONE, state)
    promotion = records.Promotion(
        promotion_id=proposal.promotion_id,
        operator=proposal.operator,
        based_on_version=active.version,
        based_on_offset=active.offset,
        document=text,
    )
    # The promotion cannot be among records that were dropped before the append.
    reading = dataclasses.replace(
        state.readings[environment],
        has_missed_records=False,
    )
    state = environments.set_reading(environment, reading, state)
    proposed = dataclasses.replace(state, proposed_promotion=promotion)
    return append(environment, promotion, proposed)


def append(
    environment: str,
    promotion: records.Promotion,
    state: states.State,
) -> reducer.Transition:
    """Append a promotion; it is safe to repeat.

    Both records name the version that they are based on, so the second one is
    outdated if the first one was accepted.
    """
    call = calls.AppendRecords(
        streams.EnvironmentStream(environment),
        (promotion,),
    )
    return transitions.Transition(
        state,
        (
            effects.Call(
                call,
                state.log_address,
                environments.CALL_TIMEOUT_SECONDS,
            ),
        ),
    )


@reducer.on_answer.register(calls.AppendRecords)
def handle_append(
    call: calls.AppendRecords,
    event: events.CallAnswered,
    state: states.State,
) -> reducer.Transition:
    """Read the environment for the verdict on the promotion."""
    return read_back(call, event, state)


@reducer.on_failure.register(calls.AppendRecords)
def handle_append_failure(
    call: calls.AppendRecords,
    event: events.CallFailed,
    state: states.State,
) -> reducer.Transition:
    """Read the environment: after a failure the append may have worked."""
    return read_back(call, event, state)


def read_back(
    call: calls.AppendRecords,
    event: events.CallAnswered | events.CallFailed,
    state: states.State,
) -> reducer.Transition:
    """Read the environment up to its current end."""
    assert isinstance(call.stream, streams.EnvironmentStream), (
        'promotions are appended to environments'
    )
    return environments.read_to_end(call.stream.environment, state)


def resolve_promotion(
    environment: str,
    event: events.Event,
    state: states.State,
) -> reducer.Transition:
    """Report the verdict on a promotion, or append it again."""
    promotion = state.proposed_promotion
    assert promotion is not None, 'a promotion was sent'
    reading = state.readings[environment]
    own_rows = tuple(
        row
        for row in reading.rows
        if row.promotion_id == promotion.promotion_id
    )
    accepted = next((row for row in own_rows if row.version), None)
    if accepted is not None:
        report = reports.PromotionAccepted(
            environment,
            accepted.version,
            accepted.offset,
            promotion.promotion_id,
        )
        return reducer.finish(report, states.EXIT_DONE, state)
    if not reading.promoted.is_contiguous:
        return report_unknown(environment, promotion, state)
    if reading.promoted.version != promotion.based_on_version:
        # The promotion may be one of the records dropped before the read.
        if reading.has_missed_records:
            return report_unknown(environment, promotion, state)
        return report_lost(
            environment,
            promotion.based_on_version,
            command_types.Proposal(promotion.promotion_id, promotion.operator),
            state,
        )
    return retry_append(environment, promotion, event, state)


def retry_append(
    environment: str,
    promotion: records.Promotion,
    event: events.Event,
    state: states.State,
) -> reducer.Transition:
    """Append again after a pause; at the timeout the outcome is unknown."""
    gives_up_at = state.started_at + state.timeout_seconds
    if event.at + environments.RETRY_SECONDS >= gives_up_at:
        return report_unknown(environment, promotion, state)
    return transitions.Transition(
        state,
        (
            effects.SetTimer(
                RetryAppend(environment),
                environments.RETRY_SECONDS,
            ),
        ),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class RetryAppend:
    """Identify the timer that repeats an append."""

    environment: str


@reducer.on_timer.register(RetryAppend)
def handle_retry_append(
    timer: RetryAppend,
    event: events.TimerFired,
    state: states.State,
) -> reducer.Transition:
    """Append the promotion again."""
    assert state.proposed_promotion is not None, 'the timer follows an append'
    return append(timer.environment, state.proposed_promotion, state)


def report_unknown(
    environment: str,
    promotion: records.Promotion,
    state: states.State,
) -> reducer.Transition:
    """Report that the promotion may still take effect."""
    report = reports.PromotionUnknown(environment, promotion.promotion_id)
    return reducer.finish(report, states.EXIT_UNREACHABLE, state)


def report_lost(
    environment: str,
    based_on_version: int,
    proposal: command_types.Proposal,
    state: states.State,
) -> reducer.Transition:
    """Report which version is active instead, and who promoted it."""
    winner: promotions.PromotionState = state.readings[environment].promoted
    report = reports.PromotionLost(
        environment,
        based_on_version,
        winner.version,
        winner.operator,
        proposal.promotion_id,
    )
    return reducer.finish(report, states.EXIT_REFUSED, state)
