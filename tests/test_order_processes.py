"""Test orders with engines and a weight store in separate processes."""

import functools
import unittest

from bench import processes, site_specs, sites
from mustardvale.internal import records
from mustardvale.internal.edge import codec_records

TIMEOUT_SECONDS = 30.0


class PlanExecution(unittest.TestCase):
    """A plan in the log is carried out by the runner that it names."""

    def test_runner_moves_to_another_stage(self) -> None:
        """Guard against orders or leases that the receiver cannot decode."""
        spec = site_specs.SiteSpec(
            entries=2,
            runners=4,
            stages=2,
            action_runners=0,
        )
        with sites.Site(spec) as site:
            by_layer = {
                self.read_first_layer(runner.address): runner
                for runner in site.plan.runners
            }
            moved = by_layer[0]
            self.propose(site, moved.instance_id)
            processes.wait_until(
                functools.partial(self.holds_second_half, moved.address),
                TIMEOUT_SECONDS,
                'second half of the layers',
            )
            leases = processes.send_request(
                'GET',
                site.plan.weight_store_address,
                '/v1/leases',
            )
        self.assertEqual(leases.decode_json()['granted'], 1)

    def read_first_layer(self, address: str) -> int:
        """Return the first layer that a runner holds."""
        load = processes.send_request('GET', address, '/v1/load').decode_json()
        return int(load['first_layer'])

    def holds_second_half(self, address: str) -> bool:
        """Return whether a runner has carried out the order."""
        load = processes.send_request('GET', address, '/v1/load').decode_json()
        return (load['first_layer'], load['end_layer']) == (12, 24)

    def propose(self, site: sites.Site, instance_id: str) -> None:
        """Append a plan that moves one runner to the second half."""
        assignment = records.Assignment(
            instance_id,
            'affinage',
            '3',
            ('rind',),
            12,
            24,
        )
        proposal = records.PlanProposal('plan-1', -1, (assignment,))
        answer = processes.send_request(
            'POST',
            site.plan.log_address,
            '/v1/streams/orders/records',
            {'records': [codec_records.encode_record(proposal)]},
        )
        self.assertEqual(answer.status, 200)
