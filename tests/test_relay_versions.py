"""Test that a new version of the configuration ends no open request."""

import dataclasses
import unittest

from mustardvale.internal import events
from mustardvale.internal.relay import calls, configuration, members
from tests import relay_states


def without_service(name: str) -> configuration.Configuration:
    """Return a newer version without a service and its routes."""
    routes = tuple(
        route
        for route in relay_states.ROUTES
        if route.shares[0].service != name
    )
    changed = relay_states.with_routes(routes)
    return dataclasses.replace(
        changed, services=relay_states.CONFIGURATION.services.delete(name)
    )


def with_timeout(seconds: float) -> configuration.Configuration:
    """Return a newer version with another timeout of all routes."""
    return relay_states.with_routes(
        tuple(
            dataclasses.replace(route, timeout_seconds=seconds)
            for route in relay_states.ROUTES
        )
    )


class DroppedServices(unittest.TestCase):
    """An admitted request may finish at the service of its version."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()

    def start_stream(self) -> str:
        """Start a stream, and deliver its first event."""
        self.instance.receive_request('r1', '/model/x')
        send_id = self.instance.start_send()
        self.instance.deliver_answer(
            send_id, relay_states.build_head(), b'id: 1\ndata: x\n\n'
        )
        return send_id

    def test_interrupted_stream_resumes(self) -> None:
        """Guard against a stream that is cut because its service is dropped."""
        send_id = self.start_stream()
        self.instance.configure(without_service('model'))
        self.instance.fail_send(send_id)
        self.assertEqual(2, len(self.instance.sends))

    def test_refused_request_goes_elsewhere(self) -> None:
        """Guard against an error for a request whose service is dropped."""
        self.instance.receive_request('r1', '/read/x')
        self.instance.configure(without_service('plain'))
        send_id = self.instance.start_send()
        self.instance.deliver_answer(send_id, relay_states.UNEXECUTED_HEAD)
        self.instance.end_answer(send_id)
        self.assertEqual(2, len(self.instance.sends))

    def test_stream_of_a_dropped_service_is_moved(self) -> None:
        """Guard against a stream that waits for a runner that is lost."""
        self.start_stream()
        self.instance.configure(without_service('model'))
        chain = self.instance.sends[0].request.chain
        self.instance.emit_event(
            events.CallAnswered,
            call=calls.ProbeRunner(chain[0].runner_id),
            address='',
            answer=calls.RunnerReport(
                0,
                has_active_order=False,
                stalled=(calls.StalledRequest('a-r1', chain[1].address),),
            ),
        )
        self.assertEqual(1, len(self.instance.list_calls(calls.MoveRequest)))

    def test_new_request_of_a_dropped_service_is_not_found(self) -> None:
        """Guard against use of a dropped route by new requests."""
        self.instance.configure(without_service('model'))
        self.instance.receive_request('r1', '/model/x')
        self.assertEqual(404, self.instance.replies['r1'].status)


class ChangedTimeouts(unittest.TestCase):
    """An open request may take as long as its version or a later one allows."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()
        self.instance.receive_request('r1', '/write/x', deadline_seconds=3.0)
        self.instance.start_send()

    def test_raised_timeout_holds_for_an_open_request(self) -> None:
        """Guard against an error at a time that the newest version allows."""
        self.instance.configure(with_timeout(2.0))
        self.instance.pass_time(1.5)
        self.assertNotIn('r1', self.instance.replies)
        self.instance.pass_time(0.6)
        self.assertEqual(504, self.instance.replies['r1'].status)

    def test_raised_timeout_does_not_pass_the_deadline(self) -> None:
        """Guard against a request that outlives the patience of its caller."""
        self.instance.configure(with_timeout(9.0))
        self.instance.pass_time(3.1)
        self.assertEqual(504, self.instance.replies['r1'].status)

    def test_lowered_timeout_spares_an_open_request(self) -> None:
        """Guard against an error for what the earlier version allowed."""
        self.instance.configure(with_timeout(0.2))
        self.instance.pass_time(0.9)
        self.assertNotIn('r1', self.instance.replies)
        self.instance.pass_time(0.2)
        self.assertEqual(504, self.instance.replies['r1'].status)


class AddedServices(unittest.TestCase):
    """A service that a version adds may retry requests from its start."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()
        self.instance.list_runners(
            tuple(
                dataclasses.replace(
                    relay_states.build_plain_runner(name), service='added'
                )
                for name in ('p8', 'p9')
            )
        )

    def add_service(self) -> None:
        """Adopt a version that moves a route to a new service."""
        route = relay_states.build_route(
            'read', configuration.RequestKind.IDEMPOTENT, service='added'
        )
        self.instance.configure(
            dataclasses.replace(
                relay_states.with_routes((route,)),
                services=relay_states.CONFIGURATION.services.set(
                    'added', configuration.Service('added')
                ),
            )
        )

    def test_refused_request_goes_elsewhere(self) -> None:
        """Guard against errors after a version moves a route."""
        self.add_service()
        self.instance.receive_request('r1', '/read/x')
        send_id = self.instance.start_send()
        self.instance.deliver_answer(send_id, relay_states.UNEXECUTED_HEAD)
        self.instance.end_answer(send_id)
        self.assertEqual(2, len(self.instance.sends))

    def test_retries_stay_within_half_of_the_budget(self) -> None:
        """Guard against a budget that is granted in full at once."""
        self.add_service()
        limits = self.instance.state.limits
        balance = self.instance.state.retry_buckets['added'].balance
        self.assertLessEqual(
            balance * members.count_instances(self.instance.state),
            limits.retries_per_window / 2,
        )
