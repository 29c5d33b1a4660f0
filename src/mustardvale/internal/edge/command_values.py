"""Read and check the values of a command line."""

import os
import pathlib
import secrets
import sys

from mustardvale.internal import addresses, document_checks
from mustardvale.internal.commands import command_types

PROMOTION_ID_BYTES = 8


class UsageError(Exception):
    """Report an invalid command line."""


def read_variable(name: str, default: str = '') -> str:
    """Return the environment variable `MUSTARDVALE_` plus a name."""
    return os.environ.get(f'MUSTARDVALE_{name}', default)


def read_file(name: str) -> str:
    """Return the text of a file, or of standard input for `-`."""
    try:
        if name == '-':
            return sys.stdin.read()
        return pathlib.Path(name).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f'{name} cannot be read: {error}') from error


def parse_number(flag: str, text: str, minimum: float) -> float:
    """Return the value of a flag as a number of at least `minimum`."""
    try:
        number = float(text)
    except ValueError:
        number = minimum - 1
    if number >= minimum:
        return number
    raise UsageError(
        f'--{flag}: {text!r} is not a number of at least {minimum:g}'
    )


def parse_environment(text: str) -> str:
    """Return a checked environment name; it becomes part of a stream name.

    Without a text, `MUSTARDVALE_ENVIRONMENT` is used.
    """
    text = text or read_variable('ENVIRONMENT')
    if not text:
        raise UsageError('--environment or MUSTARDVALE_ENVIRONMENT is required')
    if document_checks.ENVIRONMENT_PATTERN.fullmatch(text):
        return text
    raise UsageError(
        f'{text!r} is not an environment name: use 1 to 63 lower-case letters, '
        'digits and hyphens',
    )


def build_proposal(operator: str, based_on: str) -> command_types.Proposal:
    """Return a proposal with a new random id."""
    name = operator or read_variable('OPERATOR', os.environ.get('USER', ''))
    if not name:
        raise UsageError('--operator or MUSTARDVALE_OPERATOR is required')
    return command_types.Proposal(
        secrets.token_hex(PROMOTION_ID_BYTES),
        name,
        int(parse_number('based-on', based_on, -1)),
    )


def check_address(flag: str, address: str) -> None:
    """Check the address flag that a command requires."""
    name = f'MUSTARDVALE_{flag.replace("-", "_").upper()}'
    if not address:
        raise UsageError(f'--{flag} or {name} is required')
    if not addresses.is_address(address):
        raise UsageError(f'--{flag}: {address!r}, {addresses.EXPECTED_FORM}')
