"""Test what the crash of a runner costs the requests of others."""

import dataclasses
import unittest

from mustardvale.internal.relay import (
    instance_settings,
    requests,
    retry_budgets,
)
from tests import relay_states

EVENT = b'id: 1\ndata: x\n\n'
# Many of these fit on one runner.
SHORT_PROMPT = requests.Prompt('m', 80, 20, 10)
ONE_CHAIN_PER_ZONE = (
    relay_states.build_model_runner('m1', 0, 40),
    relay_states.build_model_runner('m2', 40, 80),
    relay_states.build_model_runner('m3', 0, 40, availability_zone='zone-b'),
    relay_states.build_model_runner('m4', 40, 80, availability_zone='zone-b'),
)
MANY_CHAINS = (
    *(
        relay_states.build_model_runner(f'm{number}', 0, 40)
        for number in range(1, 9)
    ),
    *(
        relay_states.build_model_runner(f'm{number}', 40, 80)
        for number in range(9, 13)
    ),
)


def list_first_runners(instance: relay_states.Instance) -> list[str]:
    """Return the runner that each send was addressed to."""
    return [sent.request.runner_id for sent in instance.sends]


class RefusedConnections(unittest.TestCase):
    """A runner that accepts no connection gets no further requests."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance(ONE_CHAIN_PER_ZONE)

    def crash_first_runner(self) -> str:
        """Refuse the connection of a first request; return the runner."""
        self.instance.receive_request('r1', '/model/x')
        crashed = self.instance.sends[-1].request.runner_id
        self.instance.fail_send(self.instance.sends[-1].send_id, was_sent=False)
        return crashed

    def test_next_requests_avoid_the_runner_that_refused(self) -> None:
        """Guard against sends to a dead runner until its entry is dropped."""
        crashed = self.crash_first_runner()
        for number in range(2, 12):
            self.instance.pass_time(0.1)
            self.instance.receive_request(
                f'r{number}', '/model/x', prompt=SHORT_PROMPT
            )
        self.assertEqual(12, len(self.instance.sends))
        self.assertNotIn(crashed, list_first_runners(self.instance)[1:])

    def test_runner_with_active_streams_is_considered_full(self) -> None:
        """Guard against excluding a full runner for as long as a dead one."""
        instance = relay_states.Instance(ONE_CHAIN_PER_ZONE[:2])
        instance.receive_request('r1', '/model/x')
        instance.deliver_answer(
            instance.start_send(), relay_states.build_head(), EVENT
        )
        instance.receive_request('r2', '/model/x')
        instance.fail_send(instance.sends[-1].send_id, was_sent=False)
        excluded_until = instance.state.runners['m1'].excluded_until
        self.assertGreater(excluded_until, instance.now)
        self.assertLess(excluded_until, instance.now + 0.5)

    def test_restarted_process_is_used_at_once(self) -> None:
        """Guard against excluding the process that replaced the crashed one."""
        crashed = self.crash_first_runner()
        restarted = relay_states.build_model_runner(crashed, 0, 40)
        self.instance.list_runners(
            (
                *ONE_CHAIN_PER_ZONE[1:],
                dataclasses.replace(restarted, started_at_ms=2),
            )
        )
        self.assertEqual(
            0.0, self.instance.state.runners[crashed].excluded_until
        )

    def test_plain_runner_is_not_excluded(self) -> None:
        """Guard against a plain service without any usable runner."""
        instance = relay_states.Instance()
        instance.receive_request('r1', '/read/x')
        refused = instance.sends[-1].request.runner_id
        instance.fail_send(instance.sends[-1].send_id, was_sent=False)
        self.assertEqual(0.0, instance.state.runners[refused].excluded_until)


class RetryBudget(unittest.TestCase):
    """A send that reaches no runner costs nothing of the retry budget."""

    def measure_balance(self, instance: relay_states.Instance) -> float:
        """Return the number of retries that the model service may send."""
        return retry_budgets.compute_balance(
            instance.state.retry_buckets,
            'model',
            instance.now,
            instance.state.limits,
            1,
        )

    def test_refused_connections_leave_the_budget(self) -> None:
        """Guard against a dead runner that uses up the budget of a service."""
        instance = relay_states.Instance()
        instance.receive_request('r1', '/model/x')
        before = self.measure_balance(instance)
        instance.fail_send(instance.sends[-1].send_id, was_sent=False)
        instance.start_send()
        self.assertEqual(2, len(instance.sends))
        self.assertEqual(before, self.measure_balance(instance))

    def test_refused_resumption_returns_its_charge(self) -> None:
        """Guard against charging a resumption once for each dead runner."""
        instance = relay_states.Instance()
        instance.receive_request('r1', '/model/x')
        before = self.measure_balance(instance)
        send_id = instance.start_send()
        instance.deliver_answer(send_id, relay_states.build_head(), EVENT)
        instance.fail_send(send_id)
        self.assertEqual(before - 1, self.measure_balance(instance))
        instance.fail_send(instance.sends[-1].send_id, was_sent=False)
        self.assertEqual(before, self.measure_balance(instance))

    def test_spent_budget_allows_the_first_arrival(self) -> None:
        """Guard against failing a request that no runner has received."""
        instance = relay_states.Instance(
            limits=instance_settings.Limits(retry_ratio=0, retries_per_window=0)
        )
        instance.receive_request('r1', '/model/x')
        instance.fail_send(instance.sends[-1].send_id, was_sent=False)
        self.assertEqual(2, len(instance.sends))

    def test_every_arrival_but_the_first_is_charged(self) -> None:
        """Guard against arrivals beyond the budget of the service."""
        instance = relay_states.Instance(MANY_CHAINS)
        instance.receive_request('r1', '/model/x')
        before = self.measure_balance(instance)
        instance.fail_send(instance.sends[-1].send_id, was_sent=False)
        send_id = instance.start_send()
        instance.deliver_answer(send_id, relay_states.build_head(), EVENT)
        instance.fail_send(send_id)
        instance.start_send()
        self.assertEqual(3, len(instance.sends))
        self.assertEqual(before - 1, self.measure_balance(instance))


class SendLimits(unittest.TestCase):
    """A request is not failed for runners that never received it."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance(MANY_CHAINS)
        self.instance.receive_request('r1', '/model/x')

    def refuse_connections(self, count: int) -> None:
        """Refuse the connections of the next sends."""
        for _ in range(count):
            if 'r1' in self.instance.replies:
                return
            self.instance.fail_send(
                self.instance.sends[-1].send_id, was_sent=False
            )

    def test_dead_runners_do_not_use_up_the_sends(self) -> None:
        """Guard against a refusal while usable runners are left."""
        self.refuse_connections(5)
        self.assertEqual(6, len(self.instance.sends))

    def test_refused_connections_are_limited(self) -> None:
        """Guard against a request that tries every runner of a large site."""
        self.refuse_connections(11)
        self.assertEqual(6, len(self.instance.sends))
        self.assertEqual(503, self.instance.replies['r1'].status)


class LostLayers(unittest.TestCase):
    """Callers come back when the lost layers can have been loaded again."""

    def refuse(self, instance: relay_states.Instance) -> float:
        """Return the time after which the caller of a request may return."""
        instance.receive_request('r9', '/model/x')
        instance.pass_time(0.2)
        seconds = instance.replies['r9'].retry_after_seconds
        assert seconds is not None, 'the request has not run'
        return float(seconds)

    def test_unlisted_layers(self) -> None:
        """Guard against callers that return before any runner has loaded."""
        instance = relay_states.Instance(relay_states.TWO_CHAINS[1:2])
        self.assertGreater(self.refuse(instance), 3)

    def test_layers_of_runners_that_refuse_connections(self) -> None:
        """Guard against callers that return while the runner restarts."""
        instance = relay_states.Instance(ONE_CHAIN_PER_ZONE[:2])
        instance.receive_request('r1', '/model/x')
        instance.fail_send(instance.sends[-1].send_id, was_sent=False)
        instance.pass_time(0.2)
        self.assertGreater(instance.replies['r1'].retry_after_seconds, 3)
        self.assertGreater(self.refuse(instance), 3)

    def test_layers_of_full_runners(self) -> None:
        """Guard against keeping callers away from a runner that is full."""
        instance = relay_states.Instance(ONE_CHAIN_PER_ZONE[:2])
        instance.receive_request('r1', '/model/x')
        instance.deliver_answer(
            instance.start_send(), relay_states.UNEXECUTED_HEAD
        )
        instance.end_answer(instance.sends[-1].send_id)
        self.assertLess(self.refuse(instance), 1)
