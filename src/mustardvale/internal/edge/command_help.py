"""Format the help of the command-line tool.

The help of fire is not used: fire lists the commands of an object only after
the object is built, and shows its own metadata as command groups.
"""

import inspect
import typing
from collections import abc

HELP_WORDS = frozenset(('--help', '-h', 'help'))


def find_commands(
    tool: type[typing.Any],
) -> dict[str, abc.Callable[..., typing.Any]]:
    """Return the commands of a tool, which are its public methods."""
    return {
        name: method
        for name, method in inspect.getmembers(tool, inspect.isfunction)
        if not name.startswith('_')
    }


def describe(tool: type[typing.Any], arguments: abc.Sequence[str]) -> str:
    """Return the help for the first command in the arguments, or for all."""
    commands = find_commands(tool)
    chosen = next((word for word in arguments if word in commands), None)
    if chosen is None:
        return describe_all(tool, commands)
    doc = inspect.getdoc(commands[chosen]) or ''
    return f'usage: mustardvale {format_usage(chosen, commands[chosen])}\n\n{doc}\n'


def describe_all(
    tool: type[typing.Any],
    commands: dict[str, abc.Callable[..., typing.Any]],
) -> str:
    """Return the help for all commands and their shared options."""
    rows = [
        (
            format_usage(name, method),
            (inspect.getdoc(method) or '').split('\n')[0],
        )
        for name, method in commands.items()
    ]
    listed = ''.join(f'  {call}\n      {doc}\n' for call, doc in rows)
    doc = inspect.getdoc(tool) or ''
    return f'usage: mustardvale COMMAND [FLAGS]\n\n{doc}\n\nCommands:\n{listed}'


def format_usage(name: str, method: abc.Callable[..., typing.Any]) -> str:
    """Return the usage line of a command; arguments with a default are flags."""
    words = [name]
    for parameter in list(inspect.signature(method).parameters.values())[1:]:
        flag = parameter.name.replace('_', '-')
        if parameter.default is inspect.Parameter.empty:
            words.append(flag.upper())
        else:
            words.append(f'[--{flag}={flag.upper()}]')
    return ' '.join(words)
