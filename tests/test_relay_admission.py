"""Test which requests may be relayed, and to which runners."""

import dataclasses
import unittest

import immutables

from mustardvale.internal import effects, events
from mustardvale.internal.relay import (
    calls,
    configuration,
    instance_settings,
    requests,
    retry_budgets,
    runners,
)
from tests import relay_states


class ApiKeys(unittest.TestCase):
    """Keys are accepted only while the configuration is confirmed."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()

    def find_status(self, request_id: str) -> int | None:
        """Return the status of an answer, or none before it is sent."""
        reply = self.instance.replies.get(request_id)
        return reply.status if reply is not None else None

    def test_unknown_key_is_refused(self) -> None:
        """Guard against accepting a key that is not configured."""
        self.instance.receive_request('r1', '/read/x', api_key='other')
        self.assertEqual(401, self.find_status('r1'))
        self.assertFalse(self.instance.sends)

    def test_old_configuration_refuses_keys_as_not_run(self) -> None:
        """Guard against a key that was removed while the store was down."""
        self.instance.now += 4.8
        self.instance.receive_request('r1', '/read/x')
        self.assertEqual(503, self.find_status('r1'))
        self.assertFalse(self.instance.sends)

    def test_age_counts_from_when_the_poll_was_sent(self) -> None:
        """Guard against counting the age from a poll's late answer."""
        requested_at = self.instance.now
        self.instance.now = requested_at + 4
        self.instance.emit_event(
            events.CallAnswered,
            call=calls.FollowConfiguration(1, 2.0, requested_at),
            address='',
            answer=calls.ConfigurationRead(1, None),
        )
        self.instance.now = requested_at + 4.9
        self.instance.receive_request('r1', '/read/x')
        self.assertEqual(503, self.find_status('r1'))

    def test_public_route_needs_no_key(self) -> None:
        """Guard against refusing requests that need no key."""
        self.instance.now += 60
        self.instance.receive_request('r1', '/open/x', api_key='')
        self.assertEqual(1, len(self.instance.sends))

    def test_removed_key_is_refused_at_once(self) -> None:
        """Guard against a key that is accepted after its removal."""
        newer = dataclasses.replace(
            relay_states.CONFIGURATION,
            version=9,
            tenants_by_key=immutables.Map(),
        )
        self.instance.configure(newer)
        self.instance.receive_request('r1', '/read/x')
        self.assertEqual(401, self.find_status('r1'))

    def test_upstream_receives_the_tenant_of_the_key(self) -> None:
        """Guard against forwarding a tenant that the caller set."""
        self.instance.receive_request('r1', '/read/x')
        self.assertEqual('ann', self.instance.sends[0].request.tenant)


class Configurations(unittest.TestCase):
    """The active configuration is never replaced by an older version."""

    def test_older_version_is_ignored(self) -> None:
        """Guard against a store read that returns an old version."""
        instance = relay_states.Instance()
        older = dataclasses.replace(
            relay_states.CONFIGURATION,
            version=3,
            routes_by_host=immutables.Map(),
        )
        instance.configure(older)
        self.assertEqual(7, instance.state.configuration.active.version)

    def test_unknown_route_by_an_old_configuration_is_unavailable(self) -> None:
        """Guard against a 404 for a route that was just added."""
        instance = relay_states.Instance()
        instance.now += 4.5
        instance.receive_request('r1', '/new/x')
        self.assertEqual(503, instance.replies['r1'].status)

    def test_unknown_route_is_not_found(self) -> None:
        """Guard against relaying requests that have no route."""
        instance = relay_states.Instance()
        instance.receive_request('r1', '/new/x')
        self.assertEqual(404, instance.replies['r1'].status)

    def test_longest_prefix_wins(self) -> None:
        """Guard against choosing a route with a shorter prefix."""
        route = relay_states.build_route(
            'model/deep', configuration.RequestKind.STREAMING
        )
        routes = (route, *relay_states.ROUTES)
        active = dataclasses.replace(
            relay_states.CONFIGURATION,
            routes_by_host=immutables.Map({relay_states.HOST: routes}),
        )
        chosen = configuration.find_route(
            active, relay_states.HOST, '/model/deep/x'
        )
        self.assertEqual('model/deep', chosen.name)


class Deadlines(unittest.TestCase):
    """Upstreams get the remaining time of a request."""

    def test_earlier_deadline_applies(self) -> None:
        """Guard against work that continues after the caller has left."""
        instance = relay_states.Instance()
        instance.receive_request('r1', '/read/x', deadline_seconds=0.7)
        self.assertAlmostEqual(0.7, instance.sends[0].request.deadline_seconds)

    def test_retry_gets_the_remaining_time(self) -> None:
        """Guard against a retry with the full time of the request."""
        instance = relay_states.Instance()
        instance.receive_request('r1', '/read/x', deadline_seconds=1.0)
        send_id = instance.start_send()
        instance.now += 0.25
        instance.fail_send(send_id)
        self.assertAlmostEqual(0.75, instance.sends[1].request.deadline_seconds)


class RetryBudget(unittest.TestCase):
    """The retries of all instances stay within the shared budget."""

    def count_retries(
        self, seconds: int, instances: int, per_second: int
    ) -> int:
        """Return the retries of an instance that uses its whole budget."""
        limits = instance_settings.Limits(
            retry_ratio=0.2, retries_per_window=100
        )
        buckets: retry_budgets.RetryBuckets = immutables.Map()
        sent = 0
        for tick in range(seconds * 10):
            now = 50 + tick / 10
            for _ in range(per_second // 10):
                buckets = retry_budgets.credit_request(
                    buckets, 's', now, limits, instances
                )
            while (
                retry_budgets.compute_balance(
                    buckets, 's', now, limits, instances
                )
                >= 1
            ):
                buckets = retry_budgets.debit_retry(
                    buckets, 's', now, limits, instances
                )
                sent += 1
        return sent

    def test_instances_share_the_budget(self) -> None:
        """Guard against each instance using the budget of the whole site."""
        for instances in (1, 2, 7, 50):
            with self.subTest(instances=instances):
                total = instances * self.count_retries(10, instances, 10)
                bound = 0.2 * 100 * instances + 100
                self.assertLessEqual(total, bound)
                self.assertGreater(total, bound / 4)

    def test_restarts_do_not_renew_the_budget(self) -> None:
        """Guard against exceeding the budget by repeated restarts."""
        total = sum(self.count_retries(1, 1, 0) for _ in range(10))
        self.assertLessEqual(total, 100)

    def test_budget_is_capped_after_an_idle_period(self) -> None:
        """Guard against a burst of retries after a long idle period."""
        limits = instance_settings.Limits(
            retry_ratio=0.2, retries_per_window=100
        )
        buckets = retry_budgets.credit_request(
            immutables.Map(), 's', 0.0, limits, 1
        )
        sent = 0
        for tick in range(100):
            now = 1000 + tick / 10
            while (
                retry_budgets.compute_balance(buckets, 's', now, limits, 1) >= 1
            ):
                buckets = retry_budgets.debit_retry(
                    buckets, 's', now, limits, 1
                )
                sent += 1
        self.assertLessEqual(sent, 100)

    def test_budget_accrues_before_the_first_request(self) -> None:
        """Guard against a first request that may not be retried."""
        instance = relay_states.Instance()
        instance.state = dataclasses.replace(
            instance.state,
            configuration=relay_states.state.ConfigurationState(),
            retry_buckets=immutables.Map(),
        )
        instance.configure(relay_states.CONFIGURATION)
        instance.pass_time(1.0)
        instance.configure(None)
        instance.receive_request('r1', '/read/x')
        instance.fail_send(instance.start_send())
        self.assertEqual(2, len(instance.sends))

    def test_budget_recovers(self) -> None:
        """Guard against a budget that stays exhausted."""
        limits = instance_settings.Limits(
            retry_ratio=0.2, retries_per_window=100
        )
        buckets = retry_budgets.debit_retry(
            immutables.Map(), 's', 0.0, limits, 1
        )
        self.assertLess(
            retry_budgets.compute_balance(buckets, 's', 0.1, limits, 1), 1
        )
        self.assertGreater(
            retry_budgets.compute_balance(buckets, 's', 10.0, limits, 1), 1
        )

    def test_spent_budget_ends_the_request(self) -> None:
        """Guard against a storm of retries when every runner fails."""
        instance = relay_states.Instance(
            limits=instance_settings.Limits(retry_ratio=0, retries_per_window=0)
        )
        instance.receive_request('r1', '/read/x')
        instance.fail_send(instance.start_send())
        self.assertEqual(1, len(instance.sends))
        self.assertEqual(502, instance.replies['r1'].status)


class UnavailableRunners(unittest.TestCase):
    """Runners that leave or are gone get no new requests."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()

    def test_draining_runner(self) -> None:
        """Guard against sending requests to a runner that is about to exit."""
        draining = dataclasses.replace(
            relay_states.build_plain_runner('p1'),
            state=runners.ListedState.DRAINING,
        )
        self.instance.list_runners(
            (draining, relay_states.build_plain_runner('p2'))
        )
        for number in range(8):
            self.instance.receive_request(f'r{number}', '/read/x')
        used = {sent.request.runner_id for sent in self.instance.sends}
        self.assertEqual({'p2'}, used)

    def test_runner_with_another_identity(self) -> None:
        """Guard against choosing a plain runner again that refused with 421.

        Its address belongs to another process, until its entry changes.
        """
        self.instance.receive_request('r1', '/read/x')
        send_id = self.instance.start_send()
        refusing = self.instance.sends[0].request.runner_id
        head = relay_states.build_head(
            421, is_unexecuted=True, has_proof=False, headers=()
        )
        self.instance.deliver_answer(send_id, head)
        self.instance.end_answer(send_id)
        for number in range(8):
            self.instance.receive_request(f'n{number}', '/read/x')
        used = {sent.request.runner_id for sent in self.instance.sends[1:]}
        self.assertNotIn(refusing, used)

    def test_runner_that_closes_with_an_answer(self) -> None:
        """Guard against relying on the list, which lags behind the runner.

        The header does not prove that the runner is leaving, so other runners
        are only preferred.
        """
        self.instance.receive_request('r1', '/read/x')
        send_id = self.instance.start_send()
        self.instance.deliver_answer(
            send_id, relay_states.build_head(is_closing=True)
        )
        closing_runner = self.instance.sends[0].request.runner_id
        for number in range(8):
            self.instance.receive_request(f'n{number}', '/read/x')
        used = {sent.request.runner_id for sent in self.instance.sends[1:]}
        self.assertNotIn(closing_runner, used)

    def test_request_without_runner_is_refused_early(self) -> None:
        """Guard against holding a request that another instance can serve."""
        self.instance.list_runners(())
        self.instance.receive_request('r1', '/read/x')
        self.instance.pass_time(0.1)
        self.assertEqual(503, self.instance.replies['r1'].status)

    def test_request_names_the_runner(self) -> None:
        """Guard against a request to an address of another service."""
        self.instance.receive_request('r1', '/read/x')
        self.assertIn(self.instance.sends[0].request.runner_id, {'p1', 'p2'})


class Stopping(unittest.TestCase):
    """A graceful shutdown completes open requests and soon refuses new ones."""

    def test_open_request_is_finished(self) -> None:
        """Guard against a stop that aborts an open request."""
        instance = relay_states.Instance()
        instance.receive_request('r1', '/read/x')
        send_id = instance.start_send()
        instance.emit_event(events.StopRequested)
        instance.pass_time(0.1)
        instance.deliver_answer(send_id, relay_states.build_head(), b'yes')
        instance.end_answer(send_id)
        self.assertEqual(200, instance.replies['r1'].status)

    def test_readiness_changes_at_once(self) -> None:
        """Guard against sending callers to a stopping instance."""
        instance = relay_states.Instance()
        instance.emit_event(events.StopRequested)
        ready = instance.ask('q1', requests.ReadinessRequest())
        self.assertFalse(ready.is_ready)

    def test_late_request_is_refused_as_not_run(self) -> None:
        """Guard against accepting a request that the stop would abort.

        Another instance can serve it.
        """
        instance = relay_states.Instance()
        self.list_members(instance, 1, 2)
        instance.receive_request('r0', '/model/x')
        instance.start_send()
        instance.emit_event(events.StopRequested)
        instance.now += 1.1
        instance.receive_request('r1', '/read/x')
        self.assertEqual(503, instance.replies['r1'].status)

    def list_members(
        self, instance: relay_states.Instance, *numbers: int
    ) -> None:
        """Deliver the store's list of the instances of the zone."""
        zone = relay_states.IDENTITY.availability_zone
        names = tuple(
            f'entry-{number}|10.0.0.{number}:80|{zone}|region|'
            f'10.0.0.{number}:84'
            for number in numbers
        )
        instance.emit_event(
            events.CallAnswered,
            call=calls.ListMembers(zone),
            address='',
            answer=calls.MembersListed(names),
        )

    def test_last_instance_accepts_for_longer(self) -> None:
        """Guard against refusals by all instances of a site that stop together.

        A stop that begins while others are stopping notices that they have
        left. Later than in its first second it would delay its successor.
        """
        instance = relay_states.Instance()
        self.list_members(instance, 1, 2)
        instance.emit_event(
            events.TimerFired, timer=relay_states.timers.MembershipRenewalDue()
        )
        instance.emit_event(events.StopRequested)
        instance.pass_time(0.9)
        self.assertTrue(instance.list_calls(calls.ListMembers))
        self.list_members(instance, 1)
        instance.pass_time(1.6)
        instance.receive_request('r1', '/read/x')
        self.assertNotIn('r1', instance.replies)
        instance.now += 2.0
        instance.receive_request('r2', '/read/x')
        self.assertEqual(503, instance.replies['r2'].status)

    def find_stop(self, instance: relay_states.Instance) -> effects.StopLoop:
        """Return the only effect that stops the loop."""
        (stop,) = (
            effect
            for effect in instance.others
            if isinstance(effect, effects.StopLoop)
        )
        return stop

    def test_last_answers_are_written_within_the_time_to_stop(self) -> None:
        """Guard against a flush that the end of the grace period cuts."""
        instance = relay_states.Instance()
        instance.emit_event(events.StopRequested)
        instance.pass_time(3.2)
        flush_seconds = self.find_stop(instance).flush_seconds
        self.assertLess(0, flush_seconds)
        stop_seconds = instance.state.limits.stop_seconds
        self.assertLess(3.2 + flush_seconds, stop_seconds)

    def test_request_after_the_end_is_refused(self) -> None:
        """Guard against a request that is sent while the process exits.

        The loop reads what has arrived until all output is written.
        """
        instance = relay_states.Instance()
        instance.emit_event(events.StopRequested)
        instance.pass_time(3.2)
        self.assertEqual(0, self.find_stop(instance).exit_code)
        instance.receive_request('r1', '/read/x')
        self.assertEqual(503, instance.replies['r1'].status)
        self.assertEqual([], instance.sends)
