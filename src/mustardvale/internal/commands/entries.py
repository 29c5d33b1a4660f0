"""Run the commands that call entry instances."""

import dataclasses
import functools
import typing
from collections import abc

from mustardvale import errors
from mustardvale.internal import (
    caller_messages,
    effects,
    events,
    transitions,
)
from mustardvale.internal.commands import (
    command_types,
    entry_calls,
    reducer,
    reports,
)
from mustardvale.internal.commands import state as states

# The longest default deadline of an entry instance: that of answers. Actions
# have a shorter one.
DEFAULT_DEADLINE_SECONDS = 60.0
DEADLINE_GRACE_SECONDS = 1.0

# Refusals that concern one instance only: the request has not run, and another
# instance may accept it.
INSTANCE_REFUSAL_CODES = frozenset(
    (errors.NOT_READY.name, errors.STOPPING.name)
)


@reducer.begin_command.register(command_types.Status)
@reducer.begin_command.register(command_types.Entries)
@reducer.begin_command.register(command_types.Quota)
@reducer.begin_command.register(command_types.Upstreams)
@reducer.begin_command.register(command_types.Ask)
@reducer.begin_command.register(command_types.Act)
def begin_call(
    command: command_types.Command,
    event: events.InstanceStarted,
    state: states.State,
) -> reducer.Transition:
    """Call the first entry address."""
    return call_entry(build_call(command, state), state)


def call_entry(call: typing.Any, state: states.State) -> reducer.Transition:
    """Call the current entry address."""
    address = state.entry_addresses[state.entry_index]
    return transitions.Transition(
        state,
        (effects.Call(call, address, choose_timeout(call, state)),),
    )


@functools.singledispatch
def choose_timeout(call: typing.Any, state: states.State) -> float:
    """Return the timeout of a call in seconds."""
    return state.timeout_seconds


@choose_timeout.register(entry_calls.AskModel)
@choose_timeout.register(entry_calls.RunEntryAction)
def choose_work_timeout(
    call: entry_calls.AskModel | entry_calls.RunEntryAction,
    state: states.State,
) -> float:
    """Return a timeout that is longer than the deadline of the request.

    An instance answers with the outcome of a request at the deadline; a shorter
    timeout would leave the outcome unknown.
    """
    deadline = call.deadline_seconds or DEFAULT_DEADLINE_SECONDS
    return deadline + DEADLINE_GRACE_SECONDS


@functools.singledispatch
def build_call(
    command: command_types.Command, state: states.State
) -> typing.Any:
    """Return the call that carries out a command."""
    return entry_calls.ReadStatus()


@build_call.register(command_types.Entries)
def build_entries(
    command: command_types.Entries, state: states.State
) -> typing.Any:
    """Return the call for entry addresses."""
    return entry_calls.ReadEntries(
        command.caller_id,
        command.availability_zone,
    )


@build_call.register(command_types.Ask)
def build_ask(command: command_types.Ask, state: states.State) -> typing.Any:
    """Return the call for an answer, with the tokens received so far."""
    return entry_calls.AskModel(
        account_key=command.account_key,
        model=command.model,
        adapter=command.adapter,
        prompt=command.prompt,
        maximum_tokens=command.maximum_tokens,
        deadline_seconds=command.deadline_seconds,
        delivered=state.delivered,
    )


@build_call.register(command_types.Act)
def build_act(command: command_types.Act, state: states.State) -> typing.Any:
    """Return the call that runs an operation."""
    return entry_calls.RunEntryAction(
        account_key=command.account_key,
        service=command.service,
        operation=command.operation,
        idempotency_key=command.idempotency_key,
        body=command.body,
        deadline_seconds=command.deadline_seconds,
    )


@reducer.on_answer.register(entry_calls.ReadStatus)
@reducer.on_answer.register(entry_calls.ReadEntries)
@reducer.on_answer.register(entry_calls.RunEntryAction)
@reducer.on_answer.register(entry_calls.AskModel)
def handle_answer(
    call: typing.Any,
    event: events.CallAnswered,
    state: states.State,
) -> reducer.Transition:
    """Dispatch on the type of the answer."""
    return on_entry_answer(event.answer, event, state)


@functools.singledispatch
def on_entry_answer(
    answer: typing.Any,
    event: events.CallAnswered,
    state: states.State,
) -> reducer.Transition:
    """Handle an answer of an entry instance."""
    raise TypeError(f'no handler for {type(answer).__name__}')


@on_entry_answer.register(entry_calls.EntryRefused)
def handle_refusal(
    answer: entry_calls.EntryRefused,
    event: events.CallAnswered,
    state: states.State,
) -> reducer.Transition:
    """Report a refusal, or call the next address if it may accept."""
    next_index = state.entry_index + 1
    if answer.code in INSTANCE_REFUSAL_CODES and next_index < len(
        state.entry_addresses
    ):
        return call_next_entry(answer.code, state)
    report = reports.Failed(
        answer.code,
        f'{answer.message} ({describe_outcome(event.call, answer)})',
        answer.remedy,
    )
    exit_code = states.EXIT_REFUSED
    if answer.outcome == errors.Outcome.UNKNOWN.value:
        exit_code = states.EXIT_UNREACHABLE
    return reducer.finish(report, exit_code, state)


@functools.singledispatch
def describe_outcome(call: typing.Any, answer: entry_calls.EntryRefused) -> str:
    """Describe the outcome of a refused call."""
    return f'outcome: {answer.outcome}'


@describe_outcome.register(entry_calls.RunEntryAction)
def describe_action_outcome(
    call: entry_calls.RunEntryAction,
    answer: entry_calls.EntryRefused,
) -> str:
    """Describe the outcome and name the key that a repetition needs."""
    return f'outcome: {answer.outcome}, --key {call.idempotency_key}'


@on_entry_answer.register(caller_messages.EntriesFound)
def show_entries(
    answer: caller_messages.EntriesFound,
    event: events.CallAnswered,
    state: states.State,
) -> reducer.Transition:
    """Report entry addresses."""
    report = reports.EntriesShown(answer.entries, answer.valid_for_seconds)
    return reducer.finish(report, states.EXIT_DONE, state)


@on_entry_answer.register(entry_calls.ActionAnswered)
def show_action(
    answer: entry_calls.ActionAnswered,
    event: events.CallAnswered,
    state: states.State,
) -> reducer.Transition:
    """Report the answer of a service."""
    report = reports.ActionShown(
        answer.status,
        answer.body.decode('utf-8', 'replace'),
        answer.headers.get('mustardvale-replayed', '') == 'true',
        event.call.idempotency_key,
    )
    return reducer.finish(report, states.EXIT_DONE, state)


@on_entry_answer.register(caller_messages.Status)
def handle_status(
    answer: caller_messages.Status,
    event: events.CallAnswered,
    state: states.State,
) -> reducer.Transition:
    """Report the part of a status that the command asks for."""
    report = build_status_report(state.command, answer, event.wall_time)
    return reducer.finish(report, states.EXIT_DONE, state)


@functools.singledispatch
def build_status_report(
    command: command_types.Command,
    status: caller_messages.Status,
    wall_time: float,
) -> reports.Report:
    """Return the part of a status that a command asks for."""
    raise TypeError(f'no report for {type(command).__name__}')


@build_status_report.register(command_types.Status)
def select_instances(
    command: command_types.Status,
    status: caller_messages.Status,
    wall_time: float,
) -> reports.Report:
    """Return all instances with the age of their versions."""
    latest = find_latest_versions(status.instances)
    ordered = sorted(status.instances, key=lambda row: row.instance_id)
    return reports.StatusShown(
        tuple(
            reports.InstanceRow(
                instance_id=row.instance_id,
                address=row.address,
                availability_zone=row.availability_zone,
                state=row.state,
                environment=row.environment,
                version=row.document_version,
                behind=row.document_version < latest[row.environment],
                age_seconds=compute_age_seconds(row, wall_time),
                heard_seconds_ago=row.heard_seconds_ago,
            )
            for row in ordered
        )
    )


def find_latest_versions(
    instances: abc.Sequence[caller_messages.InstanceStatus],
) -> dict[str, int]:
    """Return the latest version of any instance, by environment."""
    latest: dict[str, int] = {}
    for row in instances:
        known = latest.get(row.environment, 0)
        latest[row.environment] = max(known, row.document_version)
    return latest


def compute_age_seconds(
    row: caller_messages.InstanceStatus, wall_time: float
) -> float:
    """Return the time since the version of an instance came into force."""
    if not row.document_version:
        return 0
    return round(max(wall_time - row.in_force_since, 0), 1)


@build_status_report.register(command_types.Quota)
def select_accounts(
    command: command_types.Quota,
    status: caller_messages.Status,
    wall_time: float,
) -> reports.Report:
    """Return the limits of one or all client accounts."""
    return reports.QuotaShown(
        tuple(
            account
            for account in status.accounts
            if command.account in {'', account.name}
        )
    )


@build_status_report.register(command_types.Upstreams)
def select_upstreams(
    command: command_types.Upstreams,
    status: caller_messages.Status,
    wall_time: float,
) -> reports.Report:
    """Return the upstreams of one or all pools."""
    selected = (
        upstream
        for upstream in status.upstreams
        if command.pool in {'', upstream.pool}
    )
    return reports.UpstreamsShown(
        tuple(sorted(selected, key=lambda row: (row.pool, row.instance_id))),
    )


@reducer.on_part.register(caller_messages.TokenPart)
def handle_token(
    part: caller_messages.TokenPart,
    event: events.CallPartArrived,
    state: states.State,
) -> reducer.Transition:
    """Write a token at once, and store it for a resumption."""
    shown = reports.Show(
        reports.TokenShown(part.index, part.token),
        state.as_json,
    )
    delivered = (*state.delivered, part.token)
    return transitions.Transition(
        dataclasses.replace(state, delivered=delivered),
        (shown,),
    )


@reducer.on_part.register(caller_messages.AnswerEnd)
def handle_answer_end(
    part: caller_messages.AnswerEnd,
    event: events.CallPartArrived,
    state: states.State,
) -> reducer.Transition:
    """Report the end of a complete answer."""
    report = reports.AnswerShown(part.tokens, part.version)
    ended = dataclasses.replace(state, has_answer_ended=True)
    return reducer.finish(report, states.EXIT_DONE, ended)


@reducer.on_part.register(entry_calls.EntryRefused)
def handle_stream_error(
    part: entry_calls.EntryRefused,
    event: events.CallPartArrived,
    state: states.State,
) -> reducer.Transition:
    """Report an answer that the entry instance could not complete."""
    ended = dataclasses.replace(state, has_answer_ended=True)
    return reducer.refuse(part.code, part.message, part.remedy, ended)


@on_entry_answer.register(entry_calls.StreamClosed)
def handle_stream_closed(
    answer: entry_calls.StreamClosed,
    event: events.CallAnswered,
    state: states.State,
) -> reducer.Transition:
    """Resume an answer that ended without its last line."""
    if state.has_answer_ended:
        return transitions.Transition(state)
    return call_next_entry('the answer ended early', state)


@reducer.on_failure.register(entry_calls.ReadStatus)
@reducer.on_failure.register(entry_calls.ReadEntries)
@reducer.on_failure.register(entry_calls.AskModel)
def handle_failure(
    call: typing.Any,
    event: events.CallFailed,
    state: states.State,
) -> reducer.Transition:
    """Call the next address; an answer resumes after its last token."""
    if state.has_answer_ended:
        return transitions.Transition(state)
    return call_next_entry(event.failure.kind.value, state)


@reducer.on_failure.register(entry_calls.RunEntryAction)
def handle_action_failure(
    call: entry_calls.RunEntryAction,
    event: events.CallFailed,
    state: states.State,
) -> reducer.Transition:
    """Call the next address, unless the request may have run.

    A request that was sent may have run, so its outcome is unknown.
    """
    if not event.failure.was_sent:
        return call_next_entry(event.failure.kind.value, state)
    report = reports.Failed(
        'outcome_unknown',
        f'the connection to {event.address} broke after the request was sent',
        f'Repeat with --key {call.idempotency_key} to learn the outcome.',
    )
    return reducer.finish(report, states.EXIT_UNREACHABLE, state)


def call_next_entry(reason: str, state: states.State) -> reducer.Transition:
    """Call the next entry address, or fail after the last one."""
    next_index = state.entry_index + 1
    if next_index < len(state.entry_addresses):
        advanced = dataclasses.replace(state, entry_index=next_index)
        return call_entry(build_call(state.command, advanced), advanced)
    addresses = ', '.join(state.entry_addresses)
    report = reports.Failed(
        'entry_unreachable',
        f'no entry instance answered at {addresses}: {reason}',
        'Check --entry-address, or name further addresses.',
    )
    return reducer.finish(report, states.EXIT_UNREACHABLE, state)
