"""Test that separate instances tell each other that a runner was killed."""

import subprocess
import sys
import time
import unittest

from bench import processes, relay_sites
from mustardvale.internal.relay import runner_watch
from tests import relay_site

# Accepts connections and never answers.
SILENT_RUNNER = """
import socket, sys
host, _, port = sys.argv[1].rpartition(':')
listener = socket.create_server((host, int(port)))
accepted = []
while True:
    accepted.append(listener.accept())
"""
WAIT_SECONDS = 10.0


class KilledRunner(unittest.TestCase):
    """One instance watches a runner, and the other one is told."""

    def setUp(self) -> None:
        self.sites = [relay_site.RelaySite(0) for _ in range(2)]
        self.sites[1].store.server.shutdown()
        self.sites[1].store.server.server_close()
        self.sites[1].store = self.sites[0].store
        for site in reversed(self.sites):
            self.addCleanup(site.stop)
        self.address = processes.find_free_addresses(1)[0]
        self.runner = subprocess.Popen(
            [sys.executable, '-c', SILENT_RUNNER, self.address]
        )
        self.addCleanup(self.kill)

    def kill(self) -> None:
        """Kill the runner."""
        self.runner.kill()
        self.runner.wait()

    def start(self) -> None:
        """Start both instances, each in a zone of its own."""
        store = self.sites[0].store
        entry = {
            'service': 'model',
            'address': self.address,
            'zone': 'zone-a',
            'slots': 6,
            'state': 'ready',
            'born': 7,
            'seq': 1,
            'kind': 'large',
            'layers': [{'source': 0, 'target': 4}],
        }
        store.append_record('keyed.servers', 'm1', entry)
        for number, site in enumerate(self.sites):
            name = f'entry-{number}'
            zone = 'zone-a' if not number else 'zone-b'
            site.launch(**{'instance-id': name, 'availability-zone': zone})
        model = {'name': 'model', 'engine': relay_sites.build_engine()}
        services = [*relay_site.CONFIGURATION['services'], model]
        configuration = relay_site.CONFIGURATION | {
            'version': 2,
            'services': services,
        }
        store.append_record('keyed.op', 'config', configuration)

    def list_origins(self, site: relay_site.RelaySite) -> list[str]:
        """Return how an instance has learnt of the crash."""
        return [
            line['origin']
            for line in site.read_log_lines()
            if line['message'] == 'runner_fault_told'
            and (line['runner'], line['kind']) == ('m1', 'crashed')
        ]

    def knows_all_readers(self, site: relay_site.RelaySite) -> bool:
        """Return whether an instance has read a list of both readers."""
        return any(
            line['message'] == 'members_changed'
            and line['group'] == 'readers'
            and len(line['members']) == len(self.sites)
            for line in site.read_log_lines()
        )

    def test_both_instances_know(self) -> None:
        """Guard against a crash that only shows as silence elsewhere."""
        self.start()
        for site in self.sites:
            processes.wait_until(
                lambda: self.knows_all_readers(site),
                WAIT_SECONDS,
                'a list of both readers',
            )
        # All connections are open by then.
        time.sleep(
            runner_watch.CHECK_PERIOD_SECONDS
            + runner_watch.OPENING_SPREAD_SECONDS
            + 0.3
        )
        self.assertFalse(self.list_origins(self.sites[0]))
        self.kill()
        for site, origin in zip(self.sites, ('watched', 'told')):
            processes.wait_until(
                lambda: self.list_origins(site) == [origin],
                WAIT_SECONDS,
                f'the crash as {origin}',
            )
