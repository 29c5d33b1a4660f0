"""Test stops of all instances of a site that overlap."""

import typing
import unittest

from mustardvale.internal import events
from mustardvale.internal.relay import (
    calls,
    configuration,
    members,
    requests,
)
from tests import relay_states

OWN_ZONE = relay_states.IDENTITY.availability_zone


def build_member(instance_id: str, zone: str = OWN_ZONE) -> members.Member:
    """Return an instance whose addresses have the number in its id."""
    if instance_id == relay_states.IDENTITY.instance_id:
        return members.decode_members(
            (members.encode_member(relay_states.IDENTITY),)
        )[0]
    address = f'10.0.0.{instance_id.rpartition("-")[2]}'
    return members.Member(
        instance_id, f'{address}:80', zone, 'region', f'{address}:84'
    )


def list_members(
    instance: relay_states.Instance,
    *listed: members.Member,
    zone: str = OWN_ZONE,
) -> None:
    """Deliver the store's list of a group."""
    instance.emit_event(
        events.CallAnswered,
        call=calls.ListMembers(zone),
        address='',
        answer=calls.MembersListed(members.format_members(listed)),
    )


class Acceptance(unittest.TestCase):
    """A stopping instance accepts only what can still end."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()
        list_members(self.instance, build_member('entry-1'))

    def stop(self, seconds: float) -> None:
        """Begin a stop, and let time pass."""
        self.instance.emit_event(events.StopRequested)
        self.instance.pass_time(seconds)

    def use_model_route(self, **fields: typing.Any) -> None:
        """Configure a route of streams that cannot be resumed."""
        route = relay_states.build_route(
            'model', configuration.RequestKind.STREAMING, **fields
        )
        self.instance.configure(relay_states.with_routes((route,)))

    def refuse(self, path: str, **fields: typing.Any) -> typing.Any:
        """Send a request that must be refused, and return the refusal."""
        sent_count = len(self.instance.sends)
        self.instance.receive_request('r1', path, **fields)
        self.assertEqual(sent_count, len(self.instance.sends))
        refusal = self.instance.replies['r1']
        self.assertEqual(503, refusal.status)
        return refusal

    def test_stream_that_the_stop_would_abort_is_refused(self) -> None:
        """Guard against a stream that is lost at the end of a stop."""
        self.use_model_route()
        self.stop(2.0)
        prompt = requests.Prompt('m', 800, 4000, 20)
        refusal = self.refuse('/model/x', prompt=prompt)
        self.assertGreater(refusal.retry_after_seconds, 1)

    def test_stream_that_can_end_is_accepted(self) -> None:
        """Guard against refusing what a stopping instance can serve."""
        self.use_model_route()
        self.stop(2.0)
        prompt = requests.Prompt('m', 800, 20)
        self.instance.receive_request('r1', '/model/x', prompt=prompt)
        self.assertEqual(1, len(self.instance.sends))

    def test_resumable_stream_is_accepted(self) -> None:
        """Guard against refusing all streams for seconds.

        The caller of a stream that is aborted resumes it at a successor.
        """
        self.stop(2.5)
        prompt = requests.Prompt('m', 800, 1000)
        self.instance.receive_request('r1', '/model/x', prompt=prompt)
        self.assertEqual(1, len(self.instance.sends))

    def test_no_request_is_accepted_late(self) -> None:
        """Guard against accepting for half of the time to stop."""
        self.stop(3.1)
        self.refuse('/model/x')

    def test_open_stream_moves_to_another_runner_late(self) -> None:
        """Guard against cutting a stream that began before the stop."""
        self.use_model_route(is_resumable=True)
        self.instance.receive_request('r1', '/model/x')
        send_id = self.instance.start_send()
        self.instance.deliver_answer(
            send_id, relay_states.build_head(), b'id: 1\ndata: x\n\n'
        )
        self.stop(0.1)
        self.instance.now += 5.0
        self.instance.fail_send(send_id)
        self.assertEqual(2, len(self.instance.sends))

    def test_plain_request_with_a_long_latency_is_refused(self) -> None:
        """Guard against a plain request that a stop aborts."""
        route = relay_states.build_route(
            'read',
            configuration.RequestKind.IDEMPOTENT,
            service='plain',
            target_latency_seconds=3.0,
        )
        self.instance.configure(relay_states.with_routes((route,)))
        self.stop(2.0)
        self.refuse('/read/x')

    def test_retry_after_tells_when_a_successor_is_expected(self) -> None:
        """Guard against callers that return before anybody serves them."""
        self.stop(3.1)
        refusal = self.refuse('/read/x')
        self.assertGreaterEqual(refusal.retry_after_seconds, 1)

    def test_callers_return_at_once_where_others_serve(self) -> None:
        """Guard against a wait that a normal rolling stop does not need."""
        list_members(
            self.instance, build_member('entry-1'), build_member('entry-2')
        )
        self.stop(1.5)
        refusal = self.refuse('/read/x')
        self.assertLess(refusal.retry_after_seconds, 0.1)

    def test_second_signal_changes_nothing(self) -> None:
        """Guard against a stop that begins anew with each signal."""
        self.stop(2.0)
        before = self.instance.state
        self.instance.emit_event(events.StopRequested)
        self.assertEqual(before, self.instance.state)
        self.instance.pass_time(1.1)
        self.refuse('/read/x')
