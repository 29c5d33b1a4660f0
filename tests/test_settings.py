"""Test the validation of the settings of the daemon."""

import contextlib
import io
import os
import unittest
from unittest import mock

from mustardvale import daemon, errors, settings

VALID_FLAGS = {
    'instance-id': 'entry-1',
    'address': '127.0.0.1:7000',
    'peer-address': '127.0.0.1:7001',
    'availability-zone': 'melton-vault',
    'environment': 'production',
    'log-address': '127.0.0.1:7100',
    'list-address': '127.0.0.1:7101',
}


def build_flags(**changes: str | None) -> list[str]:
    """Return valid flags with changes; `None` omits a flag."""
    flags: dict[str, str | None] = dict(VALID_FLAGS)
    flags.update(
        {
            name.replace('_', '-'): flag_value
            for name, flag_value in changes.items()
        }
    )
    return [
        f'--{name}={flag_value}'
        for name, flag_value in flags.items()
        if flag_value is not None
    ]


def find_problems(
    arguments: list[str],
    variables: dict[str, str] | None = None,
) -> tuple[str, ...]:
    """Return the problems that are reported."""
    try:
        settings.read(arguments, variables or {})
    except errors.SettingsError as error:
        return error.problems
    return ()


class Values(unittest.TestCase):
    """An invalid value is reported with its flag and the allowed values."""

    def test_valid_settings(self) -> None:
        """Guard against defaults that fail their own checks."""
        read = settings.read(build_flags(), {})
        self.assertEqual(read.address_validity_seconds, 10)
        self.assertEqual(read.seed, 0)
        self.assertFalse(read.is_check_only)

    def test_each_wrong_value(self) -> None:
        """Guard against an invalid value that only fails after the start."""
        for name, wrong, allowed in (
            ('instance_id', 'a b', 'letters'),
            ('address', 'localhost:7000', 'IPv4'),
            ('peer_address', '127.0.0.1', 'port'),
            ('log_address', '127.0.0.1:65536', '65535'),
            ('list_address', '127.0.0.1:-1', 'port'),
            ('environment', 'Production', 'lower-case'),
            ('log_level', 'info', 'INFO'),
            ('seed', '-1', 'whole number'),
            ('address_validity_seconds', '0', 'from 1 to 3600'),
            ('drain_seconds', 'nan', 'seconds'),
            ('log_retention_seconds', 'inf', 'seconds'),
        ):
            problems = find_problems(build_flags(**{name: wrong}))
            self.assertEqual(len(problems), 1, problems)
            flag = f'--{name.replace("_", "-")}'
            self.assertTrue(problems[0].startswith(f'{flag}: '), problems)
            self.assertIn(repr(wrong), problems[0])
            self.assertIn(allowed, problems[0])

    def test_same_address_for_callers_and_peers(self) -> None:
        """Guard against a second socket on an address that is in use."""
        problems = find_problems(
            build_flags(peer_address=VALID_FLAGS['address'])
        )
        self.assertEqual(len(problems), 1)

    def test_all_problems_at_once(self) -> None:
        """Guard against problems that show only after others are fixed."""
        arguments = build_flags(address='x', seed='y', environment=None)
        problems = find_problems([*arguments, '--colour=1'])
        self.assertEqual(len(problems), 4, problems)

    def test_flag_without_a_value(self) -> None:
        """Guard against a flag that is read as the value of another."""
        problems = find_problems([*build_flags(address=None), '--address'])
        self.assertIn("--address: ''", problems[0])


class Sources(unittest.TestCase):
    """A flag takes precedence over its variable."""

    def test_variable_and_flag(self) -> None:
        """Guard against a flag that has no effect."""
        variables = {'MUSTARDVALE_LOG_LEVEL': 'ERROR', 'MUSTARDVALE_SEED': '7'}
        read = settings.read(build_flags(seed='8'), variables)
        self.assertEqual((read.log_level, read.seed), ('ERROR', 8))

    def test_wrong_variable_is_named(self) -> None:
        """Guard against a message about a flag that was not given."""
        problems = find_problems(build_flags(), {'MUSTARDVALE_SEED': 'x'})
        self.assertTrue(problems[0].startswith('MUSTARDVALE_SEED: '), problems)

    def test_abbreviated_flag_is_unknown(self) -> None:
        """Guard against a flag that changes its meaning with a release."""
        problems = find_problems([*build_flags(), '--addr=127.0.0.1:1'])
        self.assertEqual(len(problems), 1)


class Check(unittest.TestCase):
    """With `--check` the daemon checks its settings and stops."""

    def run_daemon(self, arguments: list[str]) -> tuple[int, str]:
        """Return the exit code and what was written."""
        written = io.StringIO()
        code = 0
        with (
            contextlib.redirect_stderr(written),
            contextlib.redirect_stdout(written),
            mock.patch.dict(os.environ, clear=True),
        ):
            try:
                daemon.main(arguments)
            except SystemExit as error:
                code = int(str(error.code))
        return code, written.getvalue()

    def test_check_starts_nothing(self) -> None:
        """Guard against a check that starts the daemon."""
        self.assertEqual(
            self.run_daemon([*build_flags(), '--check']),
            (0, 'mustardvaled: settings are valid\n'),
        )

    def test_problems_give_exit_code_2(self) -> None:
        """Guard against a daemon that starts with invalid settings."""
        code, written = self.run_daemon([*build_flags(seed='x'), '--check'])
        self.assertEqual(code, 2)
        self.assertEqual(written.count('\n'), 1)
