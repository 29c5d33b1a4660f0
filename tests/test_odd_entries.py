"""Test odd entries that another writer leaves in the list of runners.

One odd entry names no runner to use, and leaves the others as they are.
"""

import time
import typing
import unittest

from mustardvale.platform import runner_codec
from tests import odd_entries, relay_site, test_relay_processes


class DeepEntries(unittest.TestCase):
    """An entry that is nested too deeply decodes to no runner."""

    def test_deep_entries(self) -> None:
        """Guard against an entry that raises another exception."""
        for name, content in odd_entries.list_deep_entries():
            with self.subTest(name):
                self.assertIsNone(runner_codec.decode_entry('i-1', content))


class FollowedList(test_relay_processes.RelayCase):
    """An instance goes on to follow the list after an odd entry."""

    def check_following(self) -> None:
        """Check that a change after the odd entries is seen."""
        gone, left = self.site.runners
        self.site.store.append_record('keyed.servers', gone.name, None)
        deadline = time.monotonic() + 5
        while time.monotonic() < deadline:
            if f'"{gone.name}", "address"' in self.site.read_log():
                break
            time.sleep(0.1)
        time.sleep(1.5)
        count = len(gone.received)
        with self.site.connect() as sock:
            for number in range(6):
                status, _ = self.exchange(
                    sock, relay_site.encode_request('/read/x', f'a{number}')
                )
                self.assertEqual(200, status)
        self.assertEqual(count, len(gone.received))
        self.assertIsNone(self.site.process.poll())
        self.assertNotIn('Traceback', self.site.read_log())

    def append_entries(
        self, entries: typing.Iterable[tuple[str, bytes]]
    ) -> None:
        """Append odd entries among those of the runners."""
        for number, (_, content) in enumerate(entries):
            self.site.store.append_bytes(
                'keyed.servers', f'odd-{number}', content
            )

    def test_deep_entries(self) -> None:
        """Guard against a list that is no longer read after a deep entry."""
        self.append_entries(odd_entries.list_deep_entries())
        self.check_following()
