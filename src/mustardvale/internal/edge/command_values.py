"""Read what a command line refers to: variables, files and numbers."""

import os
import pathlib
import secrets
import sys

from mustardvale.internal import addresses, document_checks
from mustardvale.internal.commands import command_types

PROMOTION_ID_BYTES = 8


class UsageError(Exception):
    """Report a command line that cannot be carried out."""


def read_variable(name: str, default: str = '') -> str:
    """Return an environment variable of the tool."""
    return os.environ.get(f'MUSTARDVALE_{name}', default)


def read_file(name: str) -> str:
    """Return the text of a file, `-` stands for standard input."""
    try:
        if name == '-':
            return sys.stdin.read()
        return pathlib.Path(name).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f'{name} cannot be read: {error}') from error


def parse_number(flag: str, text: str, least: float) -> float:
    """Return the number that a flag holds."""
    try:
        number = float(text)
    except ValueError:
        number = least - 1
    if number >= least:
        return number
    raise UsageError(f'--{flag}: {text!r} must be a number from {least:g} on')


def parse_environment(text: str) -> str:
    """Return the name of an environment, which is part of a stream's name."""
    text = text or read_variable('ENVIRONMENT')
    if not text:
        raise UsageError('--environment or MUSTARDVALE_ENVIRONMENT is required')
    if document_checks.ENVIRONMENT_PATTERN.fullmatch(text):
        return text
    raise UsageError(
        f'{text!r} is no environment, use 1 to 63 lower-case letters, digits '
        'and hyphens',
    )


def build_proposal(operator: str, based_on: str) -> command_types.Proposal:
    """Return a proposal with an id of its own."""
    name = operator or read_variable('OPERATOR', os.environ.get('USER', ''))
    if not name:
        raise UsageError('--operator or MUSTARDVALE_OPERATOR is required')
    return command_types.Proposal(
        secrets.token_hex(PROMOTION_ID_BYTES),
        name,
        int(parse_number('based-on', based_on, -1)),
    )


def check_address(flag: str, address: str) -> None:
    """Check an address that the command needs."""
    name = f'MUSTARDVALE_{flag.replace("-", "_").upper()}'
    if not address:
        raise UsageError(f'--{flag} or {name} is required')
    if not addresses.is_address(address):
        raise UsageError(f'--{flag}: {address!r}, {addresses.EXPECTED_FORM}')
