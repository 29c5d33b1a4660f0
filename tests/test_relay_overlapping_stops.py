"""Test stops of all instances of a site that overlap."""

import typing
import unittest

from mustardvale.internal import events
from mustardvale.internal.relay import (
    calls,
    configuration,
    members,
    requests,
    stopping,
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


class Drain(unittest.TestCase):
    """Instances that drain at once have successors sooner."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()

    def list_zone(self, *instance_ids: str) -> None:
        """Deliver the list of the instances of the own zone."""
        list_members(self.instance, *map(build_member, instance_ids))

    def stop(self, seconds: float) -> None:
        """Begin a stop, and let time pass."""
        self.instance.emit_event(events.StopRequested)
        self.instance.pass_time(seconds)

    def assert_accepts(self, request_id: str) -> None:
        """Check that a request is sent."""
        self.instance.receive_request(request_id, '/read/x')
        self.assertNotIn(request_id, self.instance.replies)

    def assert_refuses(self, request_id: str) -> None:
        """Check that a request is refused as not run."""
        self.instance.receive_request(request_id, '/read/x')
        self.assertEqual(503, self.instance.replies[request_id].status)

    def test_first_to_stop_does_not_accept_again(self) -> None:
        """Guard against a late successor of an instance that stopped first."""
        self.list_zone('entry-1', 'entry-2')
        self.stop(1.5)
        self.list_zone()
        self.instance.pass_time(0.5)
        self.assert_refuses('r1')

    def test_half_drains_where_all_stop_at_once(self) -> None:
        """Guard against successors that all start at the same late time."""
        self.list_zone('entry-0', 'entry-1')
        self.stop(0.5)
        self.list_zone()
        self.instance.pass_time(1.0)
        self.assert_refuses('r1')

    def test_other_half_accepts_where_all_stop_at_once(self) -> None:
        """Guard against a site that serves nobody while its first half ends."""
        self.list_zone('entry-1', 'entry-2')
        self.stop(0.5)
        self.list_zone()
        self.instance.pass_time(2.0)
        self.assert_accepts('r1')

    def test_last_one_accepts_beside_the_first_successor(self) -> None:
        """Guard against a successor that gets all callers of a site at once."""
        self.list_zone('entry-1', 'entry-2')
        self.stop(0.5)
        self.list_zone()
        self.instance.pass_time(1.0)
        self.list_zone('entry-2')
        self.instance.pass_time(1.0)
        self.assert_accepts('r1')

    def test_callers_of_the_first_second_are_served(self) -> None:
        """Guard against refusing callers that know no other address yet."""
        self.list_zone('entry-0', 'entry-1')
        self.stop(0.5)
        self.list_zone()
        self.instance.pass_time(0.4)
        self.assert_accepts('r1')

    def test_instances_agree_on_who_accepts(self) -> None:
        """Guard against a site on which all drain, or none.

        Each instance knows those of its zone, and the readers of the others.
        """
        for sizes in ((2,), (3,), (2, 1, 1), (2, 2, 2), (3, 2, 2)):
            zones = [
                [build_member(f'{zone}-{rank}', zone) for rank in range(size)]
                for zone, size in zip('abc', sizes, strict=False)
            ]
            last = {
                member.instance_id
                for own in zones
                for member in own
                if member.instance_id
                in stopping.list_last_ids(view(own, zones))
            }
            with self.subTest(sizes=sizes):
                self.assertGreaterEqual(2 * len(last), sum(sizes))
                self.assertLess(len(last), sum(sizes))

    def test_late_news_of_another_zone_change_nothing(self) -> None:
        """Guard against callers that are sent to an instance that drains.

        An instance becomes a reader, and known in other zones, only after
        others of its zone have left.
        """
        known = (build_member('a-1', 'a'), build_member('c-1', 'c'))
        later = (*known, build_member('a-3', 'a'))
        self.assertEqual({'a-1', 'c-1'}, stopping.list_last_ids(known))
        self.assertEqual({'a-1', 'c-1'}, stopping.list_last_ids(later))


def view(
    own: list[members.Member], zones: list[list[members.Member]]
) -> tuple[members.Member, ...]:
    """Return the instances that those of a zone know."""
    readers = [
        member for zone in zones for member in zone[: members.READERS_PER_ZONE]
    ]
    return tuple({*own, *readers})


class Directory(unittest.TestCase):
    """A directory names the instances that accept requests."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()

    def list_zone(self, *instance_ids: str) -> None:
        """Deliver the list of the instances of the own zone."""
        list_members(self.instance, *map(build_member, instance_ids))

    def ask(self) -> tuple[str, ...]:
        """Return the addresses that the directory answers with."""
        answer = self.instance.ask(
            'q1', requests.DirectoryRequest(relay_states.HOST)
        )
        return answer.addresses

    def test_last_one_names_itself(self) -> None:
        """Guard against callers that find no instance of a site."""
        self.list_zone('entry-1', 'entry-2')
        self.instance.emit_event(events.StopRequested)
        self.instance.pass_time(0.5)
        self.list_zone()
        self.instance.pass_time(1.5)
        own = relay_states.IDENTITY.addresses.front
        self.assertEqual((own,), self.ask())

    def test_draining_one_names_those_that_accept(self) -> None:
        """Guard against sending callers to an instance that drains."""
        self.list_zone('entry-0', 'entry-1')
        self.instance.emit_event(events.StopRequested)
        self.instance.pass_time(0.5)
        self.list_zone()
        self.instance.pass_time(1.5)
        self.assertEqual(('10.0.0.0:80',), self.ask())

    def test_first_to_stop_names_the_last_that_were_listed(self) -> None:
        """Guard against naming instances that have stopped before others."""
        self.list_zone('entry-1', 'entry-2', 'entry-3')
        self.instance.emit_event(events.StopRequested)
        self.instance.pass_time(1.2)
        self.list_zone('entry-3')
        self.instance.pass_time(0.5)
        self.list_zone()
        self.instance.pass_time(0.5)
        self.assertEqual(('10.0.0.3:80',), self.ask())

    def test_callers_of_a_draining_one_return_at_once(self) -> None:
        """Guard against a wait while the last ones still accept."""
        self.list_zone('entry-0', 'entry-1')
        self.instance.emit_event(events.StopRequested)
        self.instance.pass_time(0.5)
        self.list_zone()
        self.instance.pass_time(1.5)
        self.instance.receive_request('r1', '/read/x')
        refusal = self.instance.replies['r1']
        self.assertLess(refusal.retry_after_seconds, 0.1)
        self.instance.pass_time(2.0)
        self.instance.receive_request('r2', '/read/x')
        late_refusal = self.instance.replies['r2']
        self.assertGreaterEqual(late_refusal.retry_after_seconds, 1)

    def test_successors_are_named(self) -> None:
        """Guard against a directory that names stopped instances for long."""
        self.list_zone('entry-1', 'entry-2')
        self.instance.emit_event(events.StopRequested)
        self.instance.pass_time(1.5)
        self.list_zone()
        self.instance.pass_time(1.0)
        self.list_zone('entry-5')
        self.assertEqual(('10.0.0.5:80',), self.ask())
