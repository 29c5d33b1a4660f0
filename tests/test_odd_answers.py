"""Test answers of the store, runners and instances that do not decode."""

import json
import unittest

import hypothesis
import immutables
from hypothesis import strategies

from mustardvale.internal.edge import peer_feed_codec, relay_wire, wire
from mustardvale.internal.relay import calls, runners
from mustardvale.platform import call_codec, configuration_codec, runner_codec
from tests import odd_entries, test_odd_entries


def build_answer(body: bytes) -> wire.RawAnswer:
    """Return a successful answer."""
    return wire.RawAnswer(200, immutables.Map(), body)


class StoreAnswers(unittest.TestCase):
    """An answer that does not decode raises nothing but `DecodeError`."""

    CALLS = (
        calls.ReadConfiguration(),
        calls.FollowConfiguration(3, 1.0),
        calls.ReadRunners(),
        calls.FollowRunners(3),
        calls.JoinMembers('', 'm', 3.0, 0),
        calls.ListMembers(''),
        calls.ReadRunnerReport('i-1'),
        calls.ProbeRunner('i-1'),
        calls.FollowPeer(1, 1),
        calls.LeaveMembers('', 'm'),
    )

    def decode(self, body: bytes) -> None:
        """Decode a body as the answer to each call."""
        for call in self.CALLS:
            try:
                call_codec.decode_answer(call, build_answer(body))
            except wire.DecodeError:
                continue

    def test_odd_bodies(self) -> None:
        """Guard against a call that ends neither in an answer nor in a failure."""
        number = odd_entries.LONG_INTEGER
        for body in (
            odd_entries.DEEP_LIST,
            odd_entries.DEEP_OBJECT,
            number,
            b'{"items":[],"end":' + number + b'}',
            b'{"seq":' + odd_entries.DEEP_LIST + b'}',
            b'{"generation":1,"parts":[[[],{}]]}',
            b'{"parts":[[0,0,[]]]}',
            b'{"parts":[["t",0,7],["t",0,"a"]]}',
            b'{}',
            b'[]',
            b'[7]',
            b'null',
        ):
            with self.subTest(body[:40]):
                self.decode(body)

    @hypothesis.settings(max_examples=200, deadline=None)
    @hypothesis.given(
        strategies.one_of(strategies.binary(), odd_entries.JSON_VALUES)
    )
    def test_any_body(self, body: object) -> None:
        """Guard against another exception than `DecodeError`."""
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        self.decode(body)

    def test_order_answers(self) -> None:
        """Guard against an order whose refusal cannot be decoded."""
        order = calls.PlaceLayers('i-1', runners.LayerRange(0, 8), 0)
        for body in (odd_entries.DEEP_LIST, odd_entries.LONG_INTEGER, b'\xff'):
            for status in (202, 409):
                raw = wire.RawAnswer(status, immutables.Map(), body)
                answer = call_codec.decode_answer(order, raw)
                self.assertEqual('', answer.fault_address)


class Reports(unittest.TestCase):
    """Numbers of a report that cannot be used fail its call."""

    def test_odd_numbers(self) -> None:
        """Guard against a count or a pace that later calculations fail on."""
        for body in (
            b'{"seq":' + b'9' * 400 + b',"busy":false}',
            b'{"seq":-1,"busy":false}',
            b'{"seq":1.5,"busy":false}',
            b'{"seq":1,"busy":false,"pace":"nan"}',
            b'{"seq":1,"busy":false,"pace":"1e999"}',
            b'{"seq":1,"busy":false,"pace":' + b'9' * 400 + b'}',
            b'{"seq":1,"busy":false,"pace":-2}',
            b'{"seq":1,"busy":false,"stalled":[{"id":7,"address":[]}]}',
        ):
            with self.subTest(body[:40]):
                with self.assertRaises(wire.DecodeError):
                    runner_codec.decode_report(build_answer(body))


class PeerRequests(unittest.TestCase):
    """A request of another instance that does not decode is refused."""

    def test_deep_request(self) -> None:
        """Guard against a request that raises instead of being refused."""
        deep = b'{"other":' + odd_entries.DEEP_LIST + b'}'
        for body in (deep, odd_entries.LONG_INTEGER, b'{}'):
            received = relay_wire.ReceivedRequest(
                'peers', 'POST', peer_feed_codec.FEED_PATH, (), body
            )
            with self.assertRaises(wire.DecodeError):
                peer_feed_codec.decode_request(received)


class Configurations(unittest.TestCase):
    """A configuration that does not decode fails its read."""

    def test_odd_configurations(self) -> None:
        """Guard against a poll that ends neither in an answer nor a failure."""
        for content in (
            odd_entries.DEEP_OBJECT,
            b'{"version":' + odd_entries.DEEP_LIST + b'}',
            b'{"routes":[],"version":' + odd_entries.LONG_INTEGER + b'}',
            b'{"routes":[{"service":"s","timeout-ms":'
            + b'9' * 400
            + b'}],"version":1}',
        ):
            with self.subTest(content[:40]):
                with self.assertRaises(wire.DecodeError):
                    configuration_codec.decode(content)

    def test_version_after_an_odd_record(self) -> None:
        """Guard against a new version that is not read for an older record."""
        body = test_odd_entries.encode_records(
            (b'config', odd_entries.DEEP_OBJECT),
            (b'config', b'{"version":8,"routes":[]}'),
        )
        read = call_codec.decode_answer(
            calls.FollowConfiguration(3, 1.0), build_answer(body)
        )
        self.assertEqual(5, read.position)
        self.assertEqual(8, read.configuration.version)


class MemberLists(unittest.TestCase):
    """Partitions that nobody holds do not hide the list of members."""

    def decode(self, *rows: list[object]) -> tuple[str, ...]:
        """Return the members that a list of owners names."""
        body = json.dumps({'owners': rows}).encode()
        answer = call_codec.decode_answer(
            calls.ListMembers('zone'), build_answer(body)
        )
        self.assertIsInstance(answer, calls.MembersListed)
        return answer.members

    def test_group_without_members_is_empty(self) -> None:
        """Guard against a stopping instance that takes others for running."""
        self.assertEqual(self.decode(['t', 0, '', 0], ['t', 1, None, 0]), ())

    def test_partition_without_an_owner_is_left_out(self) -> None:
        """Guard against a list that is lost while partitions are handed over."""
        self.assertEqual(
            self.decode(['t', 0, 'm', 0], ['t', 1, '', 0], ['t', 2, 7, 0]),
            ('m',),
        )
