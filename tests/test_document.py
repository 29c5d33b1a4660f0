"""Test the validation and comparison of environment documents."""

import dataclasses
import hashlib
import pathlib
import unittest

from mustardvale import document, errors
from mustardvale.internal import document_changes

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / 'examples'
VALID_DOCUMENT = (EXAMPLES / 'cooperative.toml').read_text()


def find_problems(text: str) -> tuple[str, ...]:
    """Return the problems that are reported for a document."""
    try:
        document.parse(text)
    except errors.DocumentError as error:
        return error.problems
    return ()


def edit_document(old: str, new: str) -> str:
    """Return the valid document with the first `old` replaced."""
    assert old in VALID_DOCUMENT
    return VALID_DOCUMENT.replace(old, new, 1)


class Problems(unittest.TestCase):
    """Every problem is reported with its location and remedy."""

    def assert_problem(self, text: str, *parts: str) -> None:
        """Check that exactly one problem is reported, with these parts."""
        problems = find_problems(text)
        self.assertEqual(len(problems), 1, problems)
        for part in parts:
            self.assertIn(part, problems[0])

    def test_examples_are_valid(self) -> None:
        """Guard against examples that the checks reject."""
        for path in EXAMPLES.glob('*.toml'):
            self.assertEqual(find_problems(path.read_text()), (), path.name)

    def test_unknown_field_is_named_with_its_path(self) -> None:
        """Guard against a misspelt limit that is ignored."""
        self.assert_problem(
            edit_document('[[pools]]', '[[pools]]\nfenced = true'),
            'pools[0]',
            'fenced',
            'orders_fenced',
        )

    def test_value_is_not_converted(self) -> None:
        """Guard against `"false"` read as true, which repeats an action."""
        self.assert_problem(
            edit_document('idempotent = false', 'idempotent = "false"'),
            'services[0].operations[0].idempotent',
            'true or false',
        )

    def test_string_is_not_a_list(self) -> None:
        """Guard against an adapter name read as a list of letters."""
        self.assert_problem(
            edit_document('adapters = ["rind"]', 'adapters = "rind"'),
            'models[0].adapters',
            'a list',
        )

    def test_unknown_priority(self) -> None:
        """Guard against a message that does not list the allowed values."""
        self.assert_problem(
            edit_document('priority = "urgent"', 'priority = "high"'),
            'client_accounts[0].priority',
            "'urgent', 'interactive', 'batch'",
        )

    def test_unknown_pool(self) -> None:
        """Guard against a model that no runner serves."""
        self.assert_problem(
            edit_document('pool = "mustardvale-pool"', 'pool = "mustard"'),
            'models.affinage.pool',
            "'mustardvale-pool'",
        )

    def test_pool_of_other_kind(self) -> None:
        """Guard against steps that are sent to a plain service."""
        self.assert_problem(
            edit_document(
                'pool = "mustardvale-pool"', 'pool = "cellar-ledger"'
            ),
            'models.affinage.pool',
            'model_runners',
        )

    def test_account_refers_to_undefined_names(self) -> None:
        """Guard against an account whose requests are all refused."""
        self.assert_problem(
            edit_document('models = ["affinage"]', 'models = ["affinag"]'),
            'client_accounts.cellar-hands.models',
            "'affinage'",
        )
        self.assert_problem(
            edit_document(
                'services = ["cellar-ledger"]', 'services = ["ledger"]'
            ),
            'client_accounts.cellar-hands.services',
        )

    def test_duplicate_names(self) -> None:
        """Guard against two items of which one silently overrides the other."""
        self.assert_problem(
            edit_document('name = "melton-dairy"', 'name = "colston-dairy"'),
            "client_accounts: 'colston-dairy' occurs more than once",
        )
        self.assert_problem(
            edit_document('["rind"]', '["rind", "rind"]'),
            "models.affinage.adapters: 'rind' occurs more than once",
        )

    def test_duplicate_key(self) -> None:
        """Guard against one key for two accounts."""
        digests = [
            line.split('"')[1]
            for line in VALID_DOCUMENT.splitlines()
            if line.startswith('key_sha256')
        ]
        self.assert_problem(
            edit_document(digests[1], digests[0]),
            'hartington-dairy.key_sha256',
            'cellar-hands',
        )

    def test_key_in_place_of_digest(self) -> None:
        """Guard against a key that is promoted in plain text."""
        digest = hashlib.sha256(b'cellar-hands-key').hexdigest()
        for wrong in ('cellar-hands-key', digest.upper()):
            self.assert_problem(
                edit_document(digest, wrong),
                'cellar-hands.key_sha256',
                'SHA-256',
            )
        empty = hashlib.sha256(b'').hexdigest()
        self.assert_problem(edit_document(digest, empty), 'empty key')

    def test_limits_and_layers(self) -> None:
        """Guard against a limit that admits no request or every request."""
        for limit in ('0.0', '-1.0', 'inf', 'nan'):
            self.assert_problem(
                edit_document(
                    'tokens_per_second = 2000.0', f'tokens_per_second = {limit}'
                ),
                'cellar-hands.tokens_per_second',
                'above 0',
            )
        self.assert_problem(
            edit_document('layers = 24', 'layers = 0'),
            'models.affinage.layers',
        )

    def test_newer_format_has_its_own_message(self) -> None:
        """Guard against unknown fields reported for a newer format."""
        newer = edit_document('format = 1', 'format = 2\nregions = []')
        self.assert_problem(newer, 'newer than this release', 'upgrade')
        self.assert_problem(edit_document('format = 1', 'format = 0'), 'use 1')

    def test_environment_name(self) -> None:
        """Guard against a name that cannot be part of a stream name."""
        self.assert_problem(
            edit_document('"production"', '"Production/1"'),
            'environment',
            'lower-case',
        )

    def test_all_problems_are_reported_at_once(self) -> None:
        """Guard against problems that show only after others are fixed."""
        text = (
            edit_document('layers = 24', 'layers = "24"')
            .replace('priority = "batch"', 'priority = "low"', 1)
            .replace(
                'requests_per_second = 200.0', 'requests_per_second = 0', 1
            )
        )
        problems = find_problems(text)
        self.assertEqual(len(problems), 3, problems)

    def test_malformed_part_is_not_reported_as_missing(self) -> None:
        """Guard against problems that only follow from another one."""
        text = edit_document('layers = 24', 'layers = "24"')
        self.assertEqual(len(find_problems(text)), 1)

    def test_no_input_raises_another_error(self) -> None:
        """Guard against another exception for a document of any structure."""
        for text in ('', 'pools = 3', 'pools = [1]', 'format = true', '[', 'a'):
            self.assertTrue(find_problems(text), text)


class Differences(unittest.TestCase):
    """A difference is typed and names its location."""

    def test_no_difference(self) -> None:
        """Guard against a change reported for equal documents."""
        parsed = document.parse(VALID_DOCUMENT)
        self.assertEqual(document.diff(parsed, parsed), ())

    def test_order_is_no_difference(self) -> None:
        """Guard against a moved account reported as removed."""
        parsed = document.parse(VALID_DOCUMENT)
        reordered = dataclasses.replace(
            parsed,
            client_accounts=parsed.client_accounts[::-1],
        )
        self.assertEqual(document.diff(parsed, reordered), ())

    def test_changes_are_typed(self) -> None:
        """Guard against a change that is not reported."""
        old = document.parse(VALID_DOCUMENT)
        new = document.parse(
            edit_document('idempotent = false', 'idempotent = true')
            .replace('name = "rind-laboratory"', 'name = "rind-room"')
            .replace('adapters = ["rind"]', 'adapters = []'),
        )
        self.assertEqual(
            [
                document_changes.describe(change)
                for change in document.diff(old, new)
            ],
            [
                '- client_accounts.rind-laboratory',
                '+ client_accounts.rind-room',
                '~ models.affinage.adapters: [rind] -> []',
                '~ services.cellar-ledger.operations.log-wheel.idempotent:'
                ' False -> True',
            ],
        )
