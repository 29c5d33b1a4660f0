"""Test the launcher of a site, on which the fault runs rely."""

import pathlib
import tempfile
import typing
import unittest

from bench import processes, site_specs, sites

SPEC = site_specs.SiteSpec(
    entries=2,
    runners=3,
    action_runners=0,
    runners_per_process=3,
)


class SmallSite(unittest.TestCase):
    """A site starts, survives faults and leaves no process after its stop."""

    site: typing.ClassVar[sites.Site]

    @classmethod
    def setUpClass(cls) -> None:
        """Start a site with its runners in one process."""
        directory = tempfile.mkdtemp()
        cls.site = sites.Site(SPEC, pathlib.Path(directory))
        cls.site.start()

    @classmethod
    def tearDownClass(cls) -> None:
        """Stop the site."""
        cls.site.stop()
        left = [
            name
            for name, process in cls.site.processes.items()
            if process.is_running
        ]
        assert not left, f'{left} still run after the stop'

    def test_kill_freeze_and_restart(self) -> None:
        """Guard against a kill or freeze without effect."""
        site = self.site
        address = site.find_address('entry-1')
        site.freeze('entry-1')
        process_id = site.find_process('entry-1').process_id
        stat = pathlib.Path(f'/proc/{process_id}/stat').read_text()
        self.assertEqual(stat.rpartition(')')[2].split()[0], 'T')
        site.resume('entry-1')
        site.wait_for_entry('entry-1')
        site.kill('entry-1')
        self.assertFalse(processes.is_answering(address, '/readyz'))
        site.start_again('entry-1')
        site.wait_for_entry('entry-1')

    def test_shared_process(self) -> None:
        """Guard against a kill that stops other runners of the same process."""
        with self.assertRaises(processes.ProcessError):
            self.site.kill('runner-0')

    def test_promotion(self) -> None:
        """Guard against promotions that are based on an outdated version."""
        before = self.site.read_promotion_state().version
        self.site.publish(SPEC.read_document())
        self.assertEqual(self.site.read_promotion_state().version, before + 1)

    def test_audit_of_all_runners(self) -> None:
        """Guard against an audit that covers only one runner."""
        self.assertEqual(self.site.audit(), ())
        step = {
            'session': 'audited',
            'model': 'affinage',
            'version': '3',
            'adapter': '',
            'position': 0,
            'inputs': ['a'],
        }
        for _ in range(2):
            address = self.site.find_address('runner-1')
            body = {'steps': [step]}
            processes.send_request('POST', address, '/v1/steps', body)
            processes.send_request('DELETE', address, '/v1/sessions/audited')
        violations = self.site.audit()
        self.assertEqual(
            {violation.session for violation in violations}, {'audited'}
        )
        self.assertEqual(
            {violation.layer for violation in violations}, set(range(8, 16))
        )

    def test_order_with_lease(self) -> None:
        """Guard against a load without a lease of the weight store."""
        address = self.site.find_address('runner-2')
        order = {
            'fencing_token': 5,
            'model': 'affinage',
            'version': '3',
            'layers': 24,
            'first_layer': 16,
            'end_layer': 24,
            'adapters': ['rind', 'brine'],
        }
        answer = processes.send_request('POST', address, '/v1/orders', order)
        self.assertEqual(answer.decode_json()['units'], 1)
        processes.wait_until(
            lambda: 'brine' in self.read_report(address)['adapters'],
            10,
            'end of the load',
        )
        self.assertEqual(self.read_report(address)['plan_offset'], 5)
        weights = self.site.find_address('weights')
        leases = processes.send_request(
            'GET', weights, '/v1/leases'
        ).decode_json()
        self.assertEqual(leases['granted'], 1)
        stale = order | {'fencing_token': 4}
        answer = processes.send_request('POST', address, '/v1/orders', stale)
        self.assertEqual(answer.status, 409)

    def read_report(self, address: str) -> dict:
        """Return the load report of a runner."""
        return processes.send_request('GET', address, '/v1/load').decode_json()
