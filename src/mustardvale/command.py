"""Run the command-line tool (`mustardvale`).

Exit codes: 0 done, 1 refused or lost, 2 wrong usage, 3 unreachable or unknown.
"""

import contextlib
import dataclasses
import io
import sys
import typing
from collections import abc

import fire
from fire import core, decorators

from mustardvale.internal import (
    events,
    transitions,
)
from mustardvale.internal.commands import (
    command_types,
    handlers,
    reducer,
    reports,
)
from mustardvale.internal.commands import state as states
from mustardvale.internal.edge import (
    codec_entry,
    codec_reports,
    command_help,
    command_values,
    http_client,
    idempotency_keys,
    metrics,
    performer,
    runtime,
)

DEFAULT_TIMEOUT_SECONDS = '10'
DEFAULT_MAXIMUM_TOKENS = '64'
DEFAULT_HISTORY_LIMIT = '20'
JSON_FLAG = '--json'
LOG_COMMANDS = (
    command_types.Diff,
    command_types.Publish,
    command_types.Promote,
    command_types.Show,
    command_types.History,
)
FILE_COMMANDS = (command_types.Validate, command_types.Explain)

DecoratedT = typing.TypeVar('DecoratedT')


@dataclasses.dataclass(frozen=True, slots=True)
class Invocation:
    """Hold a command and the options that all commands share."""

    command: command_types.Command
    log_address: str
    entry_address: str
    as_json: bool
    timeout_seconds: float


def keep_text(called: DecoratedT) -> DecoratedT:
    """Make fire pass arguments as text instead of Python literals."""
    decorators.SetParseFn(str)(called)
    return called


@keep_text
class Tool:
    """Promote environment documents and inspect entry instances.

    Exit codes: 0 done, 1 refused or lost, 2 wrong usage, 3 unreachable or unknown.

    Args:
        log_address: IP:port of the log service, or MUSTARDVALE_LOG_ADDRESS.
        entry_address: IP:port of entry instances, separated by commas, or
            MUSTARDVALE_ENTRY_ADDRESS; if one fails, the next one is used.
        json: print JSON, one object a line.
        timeout: seconds until the tool gives up on an unreachable service.
    """

    def __init__(
        self,
        log_address: str = '',
        entry_address: str = '',
        json: str = 'False',
        timeout: str = DEFAULT_TIMEOUT_SECONDS,
    ) -> None:
        self.log_address = log_address or command_values.read_variable(
            'LOG_ADDRESS'
        )
        self.entry_address = entry_address or command_values.read_variable(
            'ENTRY_ADDRESS'
        )
        self.json = json
        self.timeout = timeout

    @keep_text
    def validate(self, path: str) -> Invocation:
        """Check a document and list all problems."""
        return build_invocation(
            self, command_types.Validate(path, command_values.read_file(path))
        )

    @keep_text
    def explain(self, request_id: str, *paths: str) -> Invocation:
        """Show the history of a request from the log files of all instances.

        Without a file, or for -, standard input is read.
        """
        texts = [command_values.read_file(path) for path in paths or ('-',)]
        return build_invocation(
            self, command_types.Explain(request_id, '\n'.join(texts))
        )

    @keep_text
    def diff(self, path: str, environment: str = '') -> Invocation:
        """Show what a document would change in its environment."""
        return build_invocation(
            self,
            command_types.Diff(
                path,
                command_values.read_file(path),
                command_values.parse_environment(environment),
            ),
        )

    @keep_text
    def publish(
        self,
        path: str,
        environment: str = '',
        operator: str = '',
        based_on: str = '-1',
    ) -> Invocation:
        """Promote an edited document to its environment.

        With --based-on it is refused unless that version is active.
        """
        proposal = command_values.build_proposal(operator, based_on)
        text = command_values.read_file(path)
        return build_invocation(
            self,
            command_types.Publish(
                path,
                text,
                command_values.parse_environment(environment),
                proposal,
            ),
        )

    @keep_text
    def promote(
        self,
        source: str,
        target: str,
        operator: str = '',
        based_on: str = '-1',
    ) -> Invocation:
        """Promote the active document of one environment to another one."""
        if source == target:
            raise command_values.UsageError('--source and --target must differ')
        proposal = command_values.build_proposal(operator, based_on)
        return build_invocation(
            self,
            command_types.Promote(
                command_values.parse_environment(source),
                command_values.parse_environment(target),
                proposal,
            ),
        )

    @keep_text
    def show(self, environment: str = '') -> Invocation:
        """Print the active document, and its version to standard error."""
        return build_invocation(
            self,
            command_types.Show(command_values.parse_environment(environment)),
        )

    @keep_text
    def history(
        self,
        environment: str = '',
        limit: str = DEFAULT_HISTORY_LIMIT,
    ) -> Invocation:
        """Show the latest promotions and their verdicts."""
        count = int(command_values.parse_number('limit', limit, 1))
        return build_invocation(
            self,
            command_types.History(
                command_values.parse_environment(environment), count
            ),
        )

    @keep_text
    def status(self) -> Invocation:
        """Show the version, age and state of all entry instances."""
        return build_invocation(self, command_types.Status())

    @keep_text
    def entries(self, caller: str = '', zone: str = '') -> Invocation:
        """Show the entry addresses for a caller."""
        return build_invocation(self, command_types.Entries(caller, zone))

    @keep_text
    def ask(
        self,
        model: str,
        prompt: str,
        account_key: str = '',
        adapter: str = '',
        tokens: str = DEFAULT_MAXIMUM_TOKENS,
        deadline: str = '0',
    ) -> Invocation:
        """Ask a model and print the answer as it arrives."""
        return build_invocation(
            self,
            command_types.Ask(
                account_key=account_key
                or command_values.read_variable('ACCOUNT_KEY'),
                model=model,
                adapter=adapter,
                prompt=prompt,
                maximum_tokens=int(
                    command_values.parse_number('tokens', tokens, 1)
                ),
                deadline_seconds=command_values.parse_number(
                    'deadline', deadline, 0
                ),
            ),
        )

    @keep_text
    def act(
        self,
        service: str,
        operation: str,
        body: str = '{}',
        account_key: str = '',
        key: str = '',
        deadline: str = '0',
    ) -> Invocation:
        """Run an operation; with the --key of an earlier call, repeat it."""
        return build_invocation(
            self,
            command_types.Act(
                account_key=account_key
                or command_values.read_variable('ACCOUNT_KEY'),
                service=service,
                operation=operation,
                idempotency_key=key or idempotency_keys.generate(),
                body=body.encode(),
                deadline_seconds=command_values.parse_number(
                    'deadline', deadline, 0
                ),
            ),
        )

    @keep_text
    def quota(self, account: str = '') -> Invocation:
        """Show the limits of client accounts."""
        return build_invocation(self, command_types.Quota(account))

    @keep_text
    def upstreams(self, pool: str = '') -> Invocation:
        """Show the upstreams that an entry instance knows."""
        return build_invocation(self, command_types.Upstreams(pool))


def build_invocation(tool: Tool, command: command_types.Command) -> Invocation:
    """Return the invocation of a command with the options of the tool."""
    return Invocation(
        command,
        tool.log_address,
        tool.entry_address,
        tool.json == 'True',
        command_values.parse_number('timeout', tool.timeout, 0),
    )


def parse_command_line(arguments: abc.Sequence[str]) -> Invocation:
    """Parse a command line.

    Raises `UsageError`. fire reports an invalid command line with several lines
    of help; only the reason is kept.
    """
    # fire takes the word after a flag without a value as its value, so that
    # --json needs an explicit one.
    words = [
        f'{JSON_FLAG}=True' if word == JSON_FLAG else word for word in arguments
    ]
    fire_output = io.StringIO()
    try:
        with contextlib.redirect_stderr(fire_output):
            invocation = fire.Fire(
                Tool,
                command=words,
                name='mustardvale',
                serialize=print_nothing,
            )
    except core.FireExit as error:
        raise command_values.UsageError(describe_usage_error(error)) from error
    if not isinstance(invocation, Invocation):
        raise command_values.UsageError(
            f'no command in {" ".join(arguments)!r}'
        )
    return invocation


def describe_usage_error(error: core.FireExit) -> str:
    """Return the reason for which fire rejects a command line, in one line."""
    reason: str = error.trace.elements[-1].ErrorAsStr()
    return reason.replace('\n', ' ').replace(
        'Could not consume arg:',
        'unknown command or argument:',
    )


def print_nothing(printed: typing.Any) -> None:
    """Print nothing: fire would print the object that it returns."""


def build_state(invocation: Invocation) -> states.State:
    """Return the first state of a run, or raise `UsageError`."""
    entry_addresses = tuple(
        address.strip()
        for address in invocation.entry_address.split(',')
        if address.strip()
    )
    if isinstance(invocation.command, LOG_COMMANDS):
        command_values.check_address('log-address', invocation.log_address)
    elif not isinstance(invocation.command, FILE_COMMANDS):
        for address in entry_addresses or ('',):
            command_values.check_address('entry-address', address)
    return states.State(
        command=invocation.command,
        log_address=invocation.log_address,
        entry_addresses=entry_addresses,
        as_json=invocation.as_json,
        timeout_seconds=invocation.timeout_seconds,
    )


def reduce_or_stop(
    event: events.Event,
    state: states.State,
) -> transitions.Transition[states.State]:
    """Reduce an event; stop the tool on an exception, or it would hang."""
    try:
        return handlers.reduce(event, state)
    except Exception as error:
        return reducer.refuse(
            'internal_error',
            f'{type(error).__name__}: {error}',
            'Report this error with the command line.',
            state,
        )


def run(state: states.State) -> None:
    """Run a command; raise `SystemExit` with its exit code."""
    loop = runtime.Runtime(
        reduce_or_stop,
        state,
        performer.perform,
        metrics.Metrics(),
    )
    loop.client = http_client.HttpClient(
        codec_entry,
        loop.poller,
        loop.emit_event,
    ).register(loop)
    loop.run()


def main(arguments: abc.Sequence[str] | None = None) -> None:
    """Run the tool."""
    words = sys.argv[1:] if arguments is None else arguments
    if command_help.HELP_WORDS.intersection(words):
        sys.stdout.write(command_help.describe(Tool, words))
        return
    try:
        state = build_state(parse_command_line(words))
    except command_values.UsageError as error:
        report = reports.Failed(
            'wrong_usage',
            str(error),
            'See mustardvale --help.',
        )
        sys.stderr.write(codec_reports.to_text(report))
        raise SystemExit(states.EXIT_USAGE) from error
    run(state)


if __name__ == '__main__':
    main()
