"""Test requests that arrive before the first reads of an instance.

The load: all instances restart while callers come. The store answers the first
reads after 0.2 to 1.0 s, or not at all.
"""

import dataclasses
import typing
import unittest
from unittest import mock

import immutables

from mustardvale.internal import effects, events
from mustardvale.internal.relay import (
    admission,
    calls,
    configuration,
    handlers,
    requests,
    startup_waits,
    state,
    timers,
)
from mustardvale.internal.relay import events as relay_events
from tests import reducer_driver, relay_states

CONFIGURATION_FAILED = calls.ReadConfiguration(requested_at=0)


class StartedInstance(relay_states.Instance):
    """Drive an instance that has read nothing yet."""

    def __init__(self, **fields: typing.Any) -> None:
        super().__init__(**fields)
        reducer_driver.Driver.__init__(
            self,
            handlers.reduce,
            state.State(
                identity=relay_states.IDENTITY,
                limits=self.state.limits,
                seed=1,
            ),
        )

    def read_all(self) -> None:
        """Deliver the first reads, and let the waiting requests go on."""
        self.configure(relay_states.CONFIGURATION)
        self.list_runners(relay_states.TWO_CHAINS)
        self.pass_time(0.001)

    def fail_read(self) -> None:
        """Report that a read of the configuration was not answered."""
        self.emit_event(
            events.CallFailed,
            call=CONFIGURATION_FAILED,
            address='',
            failure=events.Failure(events.FailureKind.TIMED_OUT, was_sent=True),
        )


class FirstReads(unittest.TestCase):
    """Requests wait for the first configuration and the first list."""

    def setUp(self) -> None:
        self.instance = StartedInstance()

    def test_request_is_sent_once_both_were_read(self) -> None:
        """Guard against refusals while an instance reads for a second."""
        self.instance.receive_request('r1', '/model/x')
        self.instance.pass_time(0.9)
        self.assertFalse(self.instance.replies)
        self.instance.configure(relay_states.CONFIGURATION)
        self.instance.pass_time(0.1)
        self.assertFalse(self.instance.sends)
        self.instance.list_runners(relay_states.TWO_CHAINS)
        self.instance.pass_time(0.001)
        self.assertEqual(1, len(self.instance.sends))
        left_seconds = self.instance.sends[0].request.deadline_seconds
        self.assertAlmostEqual(19.0, left_seconds, places=2)

    def test_most_urgent_requests_are_admitted_first(self) -> None:
        """Guard against the order of arrival, also over several events."""
        tenants = {
            f'key-{number}': configuration.Tenant(f't{number}', number % 3)
            for number in range(24)
        }
        for number in range(24):
            self.instance.receive_request(
                f'r{number}', '/model/x', api_key=f'key-{number}'
            )
        self.instance.configure(
            dataclasses.replace(
                relay_states.CONFIGURATION,
                tenants_by_key=immutables.Map(tenants),
            )
        )
        self.instance.list_runners(relay_states.TWO_CHAINS)
        self.instance.pass_time(0.001)
        urgencies = [
            int(effect.labels[1])
            for effect in self.instance.others
            if isinstance(effect, effects.Count)
            and effect.counter == 'request_waits'
        ]
        self.assertEqual([0] * 8 + [1] * 8 + [2] * 8, urgencies)
        self.assertEqual(
            {0}, {send.request.urgency for send in self.instance.sends}
        )

    def test_wait_ends_with_a_refusal_at_its_limit(self) -> None:
        """Guard against callers that leave before they are refused."""
        self.instance.receive_request('long', '/model/x')
        self.instance.receive_request('short', '/read/x', deadline_seconds=1.0)
        self.instance.pass_time(0.39)
        self.assertNotIn('short', self.instance.replies)
        self.instance.pass_time(0.02)
        self.assertEqual(503, self.instance.replies['short'].status)
        retry_seconds = self.instance.replies['short'].retry_after_seconds
        self.assertLessEqual(retry_seconds, 0.2)
        self.instance.pass_time(1.38)
        self.assertNotIn('long', self.instance.replies)
        self.instance.pass_time(0.02)
        self.assertEqual(503, self.instance.replies['long'].status)
        self.assertFalse(self.instance.state.startup.waiting)

    def test_request_beyond_the_limit_is_refused_at_once(self) -> None:
        """Guard against bodies in memory without a limit."""
        limit = startup_waits.MAXIMUM_WAITING_REQUESTS
        for number in range(limit + 1):
            self.instance.receive_request(f'r{number}', '/model/x')
        self.assertEqual([f'r{limit}'], list(self.instance.replies))

    def test_request_without_attempt_id_does_not_wait(self) -> None:
        """Guard against holding what is refused in any case."""
        reply = self.instance.ask(
            'r1', relay_states.build_client_request('/read/x', '')
        )
        self.assertEqual(400, reply.status)

    def test_unknown_key_is_refused_after_the_wait(self) -> None:
        """Guard against a wait that skips the checks of admission."""
        self.instance.receive_request('r1', '/read/x', api_key='other')
        self.instance.read_all()
        self.assertEqual(401, self.instance.replies['r1'].status)
        self.assertFalse(self.instance.sends)

    def test_readiness_is_answered_at_once(self) -> None:
        """Guard against holding what callers of the other ports ask."""
        reply = self.instance.ask('r1', requests.ReadinessRequest())
        self.assertFalse(reply.is_ready)
        reply = self.instance.ask('r2', requests.DirectoryRequest('h'))
        self.assertEqual(
            (relay_states.IDENTITY.addresses.front,), reply.addresses
        )


class Restart(unittest.TestCase):
    """All instances restart, and callers come from the first moment on."""

    def test_no_stream_is_refused(self) -> None:
        """Guard against callers that return once and are refused twice."""
        sent_count = 0
        for number in range(30):
            instance = StartedInstance()
            read_at = instance.now + 0.2 + 0.8 * number / 29
            for arrival in range(8):
                instance.receive_request(f'r{arrival}', '/model/x')
                instance.pass_time(0.2)
                if instance.now - 0.2 < read_at <= instance.now:
                    instance.configure(relay_states.CONFIGURATION)
                    instance.list_runners(relay_states.TWO_CHAINS)
            instance.pass_time(0.001)
            self.assertFalse(instance.replies)
            sent_count += len(instance.sends)
        self.assertEqual(240, sent_count)


class UnconfirmedKeys(unittest.TestCase):
    """Keys wait for the first confirmation, but for no later one."""

    def read_late(self, instance: StartedInstance) -> None:
        """Deliver a configuration whose read was sent 5 s ago."""
        instance.emit_event(
            events.CallAnswered,
            call=calls.ReadConfiguration(requested_at=instance.now - 5),
            address='',
            answer=calls.ConfigurationRead(1, relay_states.CONFIGURATION),
        )
        instance.list_runners(relay_states.TWO_CHAINS)

    def test_key_waits_for_the_first_confirmation(self) -> None:
        """Guard against refusals while the first confirmation is read."""
        instance = StartedInstance()
        self.read_late(instance)
        instance.receive_request('public', '/open/x')
        self.assertEqual(1, len(instance.sends))
        instance.receive_request('r1', '/read/x')
        instance.receive_request('none', '/read/x', api_key='')
        self.assertEqual(503, instance.replies['none'].status)
        instance.pass_time(0.1)
        self.assertNotIn('r1', instance.replies)
        instance.configure(relay_states.CONFIGURATION)
        instance.pass_time(0.001)
        self.assertEqual(2, len(instance.sends))

    def test_later_loss_refuses_at_once(self) -> None:
        """Guard against holding requests of an instance cut from the store."""
        instance = StartedInstance()
        instance.read_all()
        instance.now += 4.8
        instance.receive_request('r1', '/read/x')
        self.assertEqual(503, instance.replies['r1'].status)


class EndedWaits(unittest.TestCase):
    """What ends a wait early ends it with a truthful answer, or none."""

    def setUp(self) -> None:
        self.instance = StartedInstance()
        self.instance.receive_request('r1', '/model/x')
        self.instance.pass_time(0.3)

    def test_failed_read_refuses_all(self) -> None:
        """Guard against a wait for a store that does not answer."""
        self.instance.fail_read()
        self.instance.pass_time(0.001)
        reply = self.instance.replies['r1']
        self.assertEqual((503, 'unavailable'), (reply.status, reply.code))
        self.instance.pass_time(1.5)
        self.instance.receive_request('r2', '/model/x')
        reply = self.instance.replies['r2']
        self.assertLessEqual(1.5, reply.retry_after_seconds)
        self.assertLessEqual(reply.retry_after_seconds, 20 / 3)

    def test_request_of_a_caller_that_left_is_dropped(self) -> None:
        """Guard against sending a request that nobody waits for."""
        self.instance.emit_event(events.CallerLeft, request_id='r1')
        self.instance.read_all()
        self.assertFalse(self.instance.sends)
        self.assertFalse(self.instance.replies)

    def test_stop_refuses_all(self) -> None:
        """Guard against a stop that waits for a first read."""
        self.instance.emit_event(events.StopRequested)
        self.instance.pass_time(0.001)
        self.assertEqual(503, self.instance.replies['r1'].status)
        self.instance.receive_request('r2', '/model/x')
        self.assertEqual(503, self.instance.replies['r2'].status)

    def test_failing_admission_refuses_one_request_only(self) -> None:
        """Guard against requests that wait on after a handler has raised."""
        self.instance.receive_request('r2', '/model/y')
        relay_or_refuse = admission.relay_or_refuse

        def raise_for_first(event: typing.Any, *rest: typing.Any) -> typing.Any:
            if event.request_id == 'r1':
                raise ValueError(event.request_id)
            return relay_or_refuse(event, *rest)

        self.instance.configure(relay_states.CONFIGURATION)
        self.instance.list_runners(relay_states.TWO_CHAINS)
        with mock.patch.object(admission, 'relay_or_refuse', raise_for_first):
            try:
                self.instance.pass_time(0.001)
            except ValueError:
                self.drop_timer()
        self.assertEqual(503, self.instance.replies['r1'].status)
        self.assertEqual(1, len(self.instance.sends))
        self.instance.receive_request('r3', '/model/z')
        self.assertEqual(2, len(self.instance.sends))

    def drop_timer(self) -> None:
        """Report the check as the event whose handler has raised."""
        dropped = events.TimerFired(
            at=self.instance.now,
            wall_time=self.instance.now,
            timer=timers.StartupCheckDue(),
        )
        self.instance.emit_event(relay_events.EventFailed, dropped=dropped)
