"""Test a site of several processes whose store is restored from a copy."""

import shutil
import time
import unittest
from http import client

from bench import processes, relay_load, relay_sites

# In one of the two zones, one instance follows the two readers.
ENTRY_COUNT = 5
COPY_SECONDS = 2.0
REWRITE_SECONDS = 1.5
OBSERVED_SECONDS = 6.0


class RestoredStore(unittest.TestCase):
    """All instances see the rise, and none serves from the copy."""

    def setUp(self) -> None:
        self.site = relay_sites.RelaySite(entries=ENTRY_COUNT)
        self.addCleanup(shutil.rmtree, self.site.directory)
        self.addCleanup(self.site.stop)
        self.site.start()

    def ask_all(self, key: str) -> set[int]:
        """Return the statuses of a request with a key at each instance."""
        statuses = set()
        for addresses in self.site.entry_addresses.values():
            connection = client.HTTPConnection(addresses[0], timeout=5)
            attempt_id = f'a{time.monotonic_ns()}'
            headers = {
                'Host': relay_load.HOST,
                'Attempt-Id': attempt_id,
                'Api-Key': key,
                'Deadline-Ms': '3000',
            }
            connection.request('POST', '/read/x', b'x', headers)
            statuses.add(connection.getresponse().status)
            connection.close()
        return statuses

    def test_key_that_the_copy_still_has(self) -> None:
        """Guard against removed keys that work again after a restore."""
        time.sleep(COPY_SECONDS)
        self.site.keys_by_tenant.pop('eve')
        self.site.write_configuration()
        processes.wait_until(
            lambda: self.ask_all('key-of-eve') == {401}, 5, 'removal of a key'
        )
        self.site.set_store_faults(restore_seconds=COPY_SECONDS)
        restored_at = time.monotonic()
        for until in (REWRITE_SECONDS, OBSERVED_SECONDS):
            while time.monotonic() < restored_at + until:
                self.assertNotIn(200, self.ask_all('key-of-eve'))
                time.sleep(0.2)
            self.site.rewrite_configuration()
        self.assertEqual({200}, self.ask_all('key-of-ann'))
        for name in self.site.entry_names:
            log = (self.site.directory / f'{name}.log').read_text()
            self.assertEqual(1, log.count('"store_restored"'), name)
