"""Test odd entries that another writer leaves in the list of runners.

One odd entry names no runner to use, and leaves the others as they are.
"""

import json
import time
import typing
import unittest

import hypothesis
from hypothesis import strategies

from mustardvale.internal.relay import runners
from mustardvale.platform import runner_codec
from tests import odd_entries, relay_site, test_relay_processes


VALID_ENTRY = json.dumps(odd_entries.ENTRY).encode()
MUTATED_ENTRIES = strategies.dictionaries(
    strategies.sampled_from(tuple(odd_entries.ENTRY)),
    odd_entries.JSON_VALUES,
    max_size=4,
).map(lambda change: json.dumps({**odd_entries.ENTRY, **change}).encode())


class RunnerEntries(unittest.TestCase):
    """An odd entry decodes to no runner, and raises nothing."""

    def test_odd_entries(self) -> None:
        """Guard against an entry that raises, or names a runner to use."""
        for name, content in odd_entries.list_odd_entries():
            with self.subTest(name):
                self.assertIsNone(runner_codec.decode_entry('i-1', content))

    def test_odd_ids(self) -> None:
        """Guard against an id that cannot be a header of a request."""
        for runner_id in odd_entries.ODD_RUNNER_IDS:
            with self.subTest(runner_id[:20]):
                self.assertIsNone(
                    runner_codec.decode_entry(runner_id, VALID_ENTRY)
                )

    def test_duplicate_fields(self) -> None:
        """Guard against an entry whose fields are repeated."""
        content = VALID_ENTRY[:-1] + b',"address":"127.1.2.3:65536"}'
        self.assertIsNone(runner_codec.decode_entry('i-1', content))

    @hypothesis.settings(max_examples=400, deadline=None)
    @hypothesis.given(MUTATED_ENTRIES)
    def test_mutated_entries(self, content: bytes) -> None:
        """Guard against fields that make the list unreadable or unusable."""
        entry = runner_codec.decode_entry('i-1', content)
        if entry is None:
            return
        self.assertLessEqual(0, entry.started_at_ms)
        self.assertLess(entry.started_at_ms, 2**63)
        self.assertTrue(entry.address.isascii())
        layers = entry.layers or runners.LayerRange(0, 1)
        self.assertLessEqual(0, layers.first)
        self.assertLess(layers.first, layers.end)
        self.assertLessEqual(layers.end, runner_codec.MAXIMUM_LAYER_COUNT)

    @hypothesis.settings(max_examples=200, deadline=None)
    @hypothesis.given(strategies.binary(max_size=200), strategies.data())
    def test_changed_bytes(
        self, content: bytes, data: strategies.DataObject
    ) -> None:
        """Guard against bytes that end the read of the list."""
        runner_codec.decode_entry('i-1', content)
        cut = data.draw(strategies.integers(0, len(VALID_ENTRY)))
        runner_codec.decode_entry(
            'i-1', VALID_ENTRY[:cut] + content + VALID_ENTRY[cut + 1 :]
        )


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

    def test_odd_entries(self) -> None:
        """Guard against an entry that is used, or that ends the instance."""
        self.append_entries(
            (
                *odd_entries.list_odd_numbers(),
                *odd_entries.list_odd_addresses(),
                *odd_entries.list_odd_types(),
            )
        )
        self.check_following()
