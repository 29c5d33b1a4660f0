"""Test the error codes and their page in the documentation."""

import unittest

from mustardvale import errors
from mustardvale.internal.edge import codec, wire
from tools import document_errors


class ErrorPage(unittest.TestCase):
    """The page lists all codes of the public interface."""

    def test_page_is_current(self) -> None:
        """Guard against a page that differs from the codes in the source."""
        self.assertEqual(
            document_errors.PAGE_PATH.read_text(),
            document_errors.render_page(),
            'run tools/document_errors.py',
        )

    def test_every_code_is_listed(self) -> None:
        """Guard against a code that the page leaves out."""
        defined = {
            code.name
            for code in vars(errors).values()
            if isinstance(code, errors.ErrorCode)
        }
        listed = [code.name for code in errors.ALL_CODES]
        self.assertEqual(defined, set(listed))
        self.assertEqual(len(listed), len(set(listed)))


class InternalErrors(unittest.TestCase):
    """An internal error states no certain outcome."""

    def test_outcome_is_unknown(self) -> None:
        """Guard against `not_run` for a request whose steps may have been sent."""
        error = wire.DecodeError(500, 'internal_error', 'internal error')
        raw = codec.encode_error(error)
        assert raw.body is not None
        self.assertIn(b'"outcome": "unknown"', raw.body)
