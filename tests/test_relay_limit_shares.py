"""Test that the shares of instances which start together add up to a limit."""

import dataclasses
import unittest

from mustardvale.internal import events
from mustardvale.internal.relay import (
    calls,
    instance_settings,
    limit_shares,
    members,
    peer_updates,
    retry_budgets,
    timers,
)
from tests import relay_states

JOIN_SECONDS = members.JOIN_PERIOD_SECONDS
SITES = ((6, 3), (58, 3), (195, 5))
LIMITS = instance_settings.Limits(retries_per_window=198.0)


def build_starting_instance(number: int, zone: str) -> relay_states.Instance:
    """Return an instance that has not joined any group."""
    instance = relay_states.Instance((), LIMITS)
    identity = dataclasses.replace(
        instance.state.identity,
        instance_id=f'entry-{number}',
        availability_zone=zone,
    )
    instance.state = dataclasses.replace(
        instance.state, identity=identity, members=members.MemberState()
    )
    instance.emit_event(events.TimerFired, timer=timers.MembershipRenewalDue())
    return instance


def join(instance: relay_states.Instance, generation: int) -> None:
    """Answer a join of the zone's group, and list only the instance itself."""
    zone = instance.state.identity.availability_zone
    own = members.encode_member(instance.state.identity)
    for call, answer in (
        (
            calls.JoinMembers(zone, own, 1.0, 0),
            calls.MembersJoined(generation, is_leader=False),
        ),
        (calls.ListMembers(zone), calls.MembersListed((own,))),
        (calls.ListMembers(''), calls.MembersListed((own,))),
    ):
        instance.emit_event(
            events.CallAnswered, call=call, address='', answer=answer
        )


class StartsTogether(unittest.TestCase):
    """Each instance of a new site is listed alone until partitions move."""

    def test_shares_add_up_to_the_limit(self) -> None:
        """Guard against a retry budget that each instance spends as a whole."""
        self.check_shares(seconds_without_store=0.0)

    def test_store_that_answers_late(self) -> None:
        """Guard against lists that count before they can have settled."""
        self.check_shares(seconds_without_store=6.0)

    def check_shares(self, seconds_without_store: float) -> None:
        """Check the retries of sites whose store answers after a time."""
        for instance_count, zone_count in SITES:
            with self.subTest(instance_count=instance_count):
                started = [
                    build_starting_instance(
                        number, f'zone-{number % zone_count}'
                    )
                    for number in range(instance_count)
                ]
                for number, instance in enumerate(started):
                    instance.now += seconds_without_store
                    instance.emit_event(
                        events.TimerFired, timer=timers.MembershipRenewalDue()
                    )
                    join(instance, number // zone_count + 1)
                accrued = self.accrue(started, JOIN_SECONDS)
                for instance in started:
                    join(instance, instance_count // zone_count)
                rest = limit_shares.SETTLING_SECONDS - JOIN_SECONDS
                accrued += self.accrue(started, rest - 0.01)
                for instance in started:
                    instance.now += 0.02
                accrued += self.accrue_settled()
                self.assertLess(
                    accrued + self.count_spent_before(),
                    LIMITS.retries_per_window,
                )

    def accrue_settled(self) -> float:
        """Return the retries that accrue in the rest of a window."""
        seconds = LIMITS.retry_window_seconds - limit_shares.SETTLING_SECONDS
        share = retry_budgets.USED_SHARE * (1 - retry_budgets.BURST_SHARE)
        rate = share * LIMITS.retries_per_window / LIMITS.retry_window_seconds
        return rate * seconds

    def count_spent_before(self) -> float:
        """Return the retries that the processes before may have spent."""
        share = retry_budgets.USED_SHARE * retry_budgets.BURST_SHARE
        return share * LIMITS.retries_per_window

    def accrue(
        self, started: list[relay_states.Instance], seconds: float
    ) -> float:
        """Let time pass; return the retries that accrue at all instances."""
        accrued = 0.0
        for instance in started:
            quota = retry_budgets.compute_quota(
                LIMITS, limit_shares.count_shares(instance.now, instance.state)
            )
            rate = (
                (1 - retry_budgets.BURST_SHARE)
                * quota
                / LIMITS.retry_window_seconds
            )
            accrued += rate * seconds
            instance.now += seconds
        return accrued

    def test_list_counts_once_it_has_settled(self) -> None:
        """Guard against an instance that keeps too small a share for good."""
        instance = build_starting_instance(1, 'zone-a')
        join(instance, 500)
        instance.now += limit_shares.SETTLING_SECONDS + 0.01
        self.assertEqual(
            members.count_instances(instance.state),
            limit_shares.count_shares(instance.now, instance.state),
        )

    def test_list_of_a_reader_counts_without_the_store(self) -> None:
        """Guard against an instance that retries too little for good.

        It reaches the reader of its zone, but not the store.
        """
        instance = build_starting_instance(1, 'zone-a')
        own = members.encode_member(instance.state.identity)
        update = calls.PeerUpdate(1, 0, (), 1, 0.0, (own,), (own,))
        instance.state = peer_updates.apply_members(
            update, instance.state
        ).state
        instance.pass_time(limit_shares.SETTLING_SECONDS + 1)
        self.assertEqual(
            members.count_instances(instance.state),
            limit_shares.count_shares(instance.now, instance.state),
        )

    def test_requests_earn_retries_at_once(self) -> None:
        """Guard against callers of a new instance without any retry."""
        instance = build_starting_instance(1, 'zone-a')
        join(instance, 500)
        shares = limit_shares.count_shares(instance.now, instance.state)
        buckets = instance.state.retry_buckets
        for _ in range(10):
            buckets = retry_budgets.credit_request(
                buckets, 's', instance.now, LIMITS, shares
            )
        self.assertGreaterEqual(
            retry_budgets.compute_balance(
                buckets, 's', instance.now, LIMITS, shares
            ),
            1.0,
        )
