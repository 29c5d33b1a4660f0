"""Test that an exception ends one request, and nothing else."""

import typing
import unittest
from unittest import mock

from mustardvale.internal import effects, events
from mustardvale.internal.edge import (
    relay_loop,
    relay_metrics,
    relay_performer,
)
from mustardvale.internal.relay import (
    calls,
    dispatch,
    handlers,
    monitoring,
    timers,
)
from mustardvale.internal.relay import events as relay_events
from mustardvale.platform import call_codec, front_codec
from tests import relay_states


class DroppedEvents(unittest.TestCase):
    """A dropped event ends its request, and its timer is set again."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()

    def drop(self, kind: type[events.Event], **fields: typing.Any) -> None:
        """Report an event that was dropped."""
        dropped = kind(at=self.instance.now, **fields)
        self.instance.emit_event(relay_events.EventFailed, dropped=dropped)

    def test_request_of_a_send_is_answered(self) -> None:
        """Guard against a request whose lost event leaves it without an end."""
        self.instance.receive_request('r1', '/write/x')
        send_id = self.instance.start_send()
        self.drop(relay_events.SendEnded, send_id=send_id)
        self.assertEqual(502, self.instance.replies['r1'].status)
        self.assertEqual([send_id], self.instance.aborted_send_ids)

    def test_request_that_was_not_admitted_is_not_run(self) -> None:
        """Guard against an error that does not tell that nothing was sent."""
        request = relay_states.build_client_request('/write/x')
        self.drop(events.CallerRequested, request_id='r1', request=request)
        refusal = self.instance.replies['r1']
        self.assertEqual(503, refusal.status)
        self.assertIsNotNone(refusal.retry_after_seconds)

    def test_check_that_raises_ends_only_its_request(self) -> None:
        """Guard against one request that stops the checks of all others."""
        self.instance.receive_request('r1', '/write/x')
        self.instance.receive_request('r2', '/write/x')
        self.instance.start_send(0)
        self.instance.start_send(1)

        def check_exchange(
            request_id: str, now: float, state: typing.Any
        ) -> typing.Any:
            if request_id == 'r1':
                raise KeyError(request_id)
            return check(request_id, now, state)

        check = monitoring.check_exchange
        with mock.patch.object(monitoring, 'check_exchange', check_exchange):
            self.drop(events.TimerFired, timer=timers.ExchangeCheckDue())
        self.assertEqual(502, self.instance.replies['r1'].status)
        self.instance.pass_time(1.1)
        self.assertEqual(504, self.instance.replies['r2'].status)

    def test_timers_are_set_again(self) -> None:
        """Guard against reads, renewals and stops that end for ever."""
        for timer in (
            timers.RunnerListReadDue(),
            timers.MembershipRenewalDue(),
            timers.StopCheckDue(),
        ):
            with self.subTest(timer=timer):
                self.instance.pending_timers.clear()
                self.drop(events.TimerFired, timer=timer)
                self.assertIn(timer, self.instance.pending_timers)

    def test_unusable_answer_of_the_store_is_read_again(self) -> None:
        """Guard against an instance that no longer follows the store."""
        self.drop(
            events.CallAnswered,
            call=calls.FollowConfiguration(1, 1.0),
            address='',
            answer=None,
        )
        self.assertIn(
            timers.ConfigurationRetryDue(), self.instance.pending_timers
        )


class RemovedRunners(unittest.TestCase):
    """A runner may be removed from the list while a probe is open."""

    def test_failed_probe_of_a_removed_runner(self) -> None:
        """Guard against an exception for a runner that is gone."""
        instance = relay_states.Instance(relay_states.TWO_CHAINS[1:])
        instance.receive_request('r1', '/model/x')
        instance.emit_event(
            events.CallFailed,
            call=calls.ProbeRunner('m1'),
            address='',
            failure=events.Failure(events.FailureKind.TIMED_OUT, was_sent=True),
        )
        self.assertIn('r1', instance.state.exchanges)


class Loops(unittest.TestCase):
    """The loop reports what it drops, and answers what it cannot perform."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()
        self.loop = relay_loop.RelayLoop(
            handlers.reduce,
            self.instance.state,
            relay_performer.perform,
            relay_metrics.build(),
            relay_loop.Codecs(front_codec, front_codec, call_codec),
        )
        self.instance.receive_request('r1', '/write/x')
        self.loop.current_state = self.instance.state
        self.loop.callers = mock.Mock()
        self.loop.server = self.loop.callers
        self.loop.upstreams = mock.Mock()

    def test_check_survives_an_exception(self) -> None:
        """Guard against requests that are checked no more."""
        with mock.patch.object(
            monitoring, 'schedule_next', side_effect=KeyError
        ):
            self.loop.emit_event(
                events.TimerFired, timer=timers.ExchangeCheckDue()
            )
        self.assertIn(timers.ExchangeCheckDue(), self.loop.timer_queue.current)

    def test_answer_that_cannot_be_written_is_an_error(self) -> None:
        """Guard against a request without any answer."""
        self.loop.callers.reply.side_effect = ValueError
        self.loop.perform_one(effects.Reply('r1', None))
        self.loop.callers.fail_request.assert_called_once_with('r1')
        self.assertEqual({}, dict(self.loop.current_state.exchanges))

    def test_send_that_cannot_start_is_repeated_or_refused(self) -> None:
        """Guard against a request that waits for a send that never began."""
        self.loop.upstreams.start_send.side_effect = ValueError
        (exchange,) = self.instance.state.exchanges.values()
        self.loop.clock = lambda: dispatch.compute_wait_deadline(exchange)
        for sent in self.instance.sends:
            self.loop.perform_one(sent)
        (call,) = self.loop.callers.reply.call_args_list
        self.assertEqual(503, call.args[1].status)
