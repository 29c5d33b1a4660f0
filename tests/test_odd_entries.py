"""Test odd entries that another writer leaves in the list of runners.

One odd entry names no runner to use, and leaves the others as they are.
"""

import base64
import dataclasses
import json
import struct
import time
import typing
import unittest
from urllib import parse

import hypothesis
import immutables
import msgspec
from hypothesis import strategies

from mustardvale.internal import events
from mustardvale.internal.edge import wire
from mustardvale.internal.relay import calls, members, runners
from mustardvale.platform import call_codec, runner_codec
from tests import (
    odd_entries,
    relay_site,
    relay_states,
    test_relay_processes,
)


VALID_ENTRY = json.dumps(odd_entries.ENTRY).encode()


def build_answer(body: bytes) -> wire.RawAnswer:
    """Return a successful answer."""
    return wire.RawAnswer(200, immutables.Map(), body)


def encode_records(*records: tuple[bytes, bytes]) -> bytes:
    """Encode keyed records as the store's log does."""
    body = struct.pack('>QQ', 0, 0)
    for key, content in records:
        record = bytes((len(key),)) + key + content
        body += struct.pack('>I', len(record)) + record
    return body


def follow(*records: tuple[bytes, bytes]) -> calls.RunnersRead:
    """Decode a read of records after position 10."""
    return call_codec.decode_answer(
        calls.FollowRunners(10), build_answer(encode_records(*records))
    )


def encode_page(
    *items: tuple[str, bytes], has_more: bool = False, **fields: object
) -> bytes:
    """Encode a page of the newest records."""
    rows = [
        {'key': key, 'value': base64.b64encode(content).decode(), **fields}
        for key, content in items
    ]
    return json.dumps({'items': rows, 'has-more': has_more, 'end': 9}).encode()


def list_usable(read: calls.RunnersRead) -> dict[str, bool]:
    """Return which runners of a read have an entry."""
    return {
        change.runner_id: change.entry is not None for change in read.changes
    }


MUTATED_ENTRIES = strategies.dictionaries(
    strategies.sampled_from(tuple(odd_entries.ENTRY)),
    odd_entries.JSON_VALUES,
    max_size=4,
).map(lambda change: json.dumps({**odd_entries.ENTRY, **change}).encode())


class RunnerEntries(unittest.TestCase):
    """An odd entry decodes to no runner, and raises nothing."""

    def test_odd_entries(self) -> None:
        """Guard against an entry that raises, or names a runner to use."""
        for name, content in odd_entries.list_odd_entries():
            with self.subTest(name):
                self.assertIsNone(runner_codec.decode_entry('i-1', content))

    def test_odd_ids(self) -> None:
        """Guard against an id that cannot be a header of a request."""
        for runner_id in odd_entries.ODD_RUNNER_IDS:
            with self.subTest(runner_id[:20]):
                self.assertIsNone(
                    runner_codec.decode_entry(runner_id, VALID_ENTRY)
                )

    def test_duplicate_fields(self) -> None:
        """Guard against an entry whose fields are repeated."""
        content = VALID_ENTRY[:-1] + b',"address":"127.1.2.3:65536"}'
        self.assertIsNone(runner_codec.decode_entry('i-1', content))

    @hypothesis.settings(max_examples=400, deadline=None)
    @hypothesis.given(MUTATED_ENTRIES)
    def test_mutated_entries(self, content: bytes) -> None:
        """Guard against fields that make the list unreadable or unusable."""
        entry = runner_codec.decode_entry('i-1', content)
        if entry is None:
            return
        self.assertLessEqual(0, entry.started_at_ms)
        self.assertLess(entry.started_at_ms, 2**63)
        self.assertTrue(entry.address.isascii())
        layers = entry.layers or runners.LayerRange(0, 1)
        self.assertLessEqual(0, layers.first)
        self.assertLess(layers.first, layers.end)
        self.assertLessEqual(layers.end, runner_codec.MAXIMUM_LAYER_COUNT)

    @hypothesis.settings(max_examples=200, deadline=None)
    @hypothesis.given(strategies.binary(max_size=200), strategies.data())
    def test_changed_bytes(
        self, content: bytes, data: strategies.DataObject
    ) -> None:
        """Guard against bytes that end the read of the list."""
        runner_codec.decode_entry('i-1', content)
        cut = data.draw(strategies.integers(0, len(VALID_ENTRY)))
        runner_codec.decode_entry(
            'i-1', VALID_ENTRY[:cut] + content + VALID_ENTRY[cut + 1 :]
        )


class ListReads(unittest.TestCase):
    """One odd entry leaves the other entries of its read as they are."""

    def test_followed_records(self) -> None:
        """Guard against a list that stops at an odd entry."""
        for name, content in odd_entries.list_odd_entries():
            with self.subTest(name):
                read = follow(
                    (b'i-1', VALID_ENTRY),
                    (b'i-2', content),
                    (b'i-3', VALID_ENTRY),
                )
                self.assertEqual(13, read.position)
                self.assertEqual(
                    {'i-1': True, 'i-2': False, 'i-3': True}, list_usable(read)
                )

    def test_pages(self) -> None:
        """Guard against a page that is not read for one odd entry."""
        for name, content in odd_entries.list_odd_entries():
            with self.subTest(name):
                body = encode_page(
                    ('i-1', VALID_ENTRY),
                    ('i-2', content),
                    ('i-3', VALID_ENTRY),
                    ('i-4', content),
                    has_more=True,
                )
                read = call_codec.decode_answer(
                    calls.ReadRunners(), build_answer(body)
                )
                self.assertEqual('i-4', read.next_page)
                self.assertTrue(list_usable(read)['i-3'])
                self.assertFalse(list_usable(read)['i-4'])

    def test_records_without_a_key(self) -> None:
        """Guard against a record of odd length that stops the list."""
        for odd in (
            b'',
            b'\x00',
            b'\x00{}',
            b'\xff',
            b'\xffshort',
            b'\x01\xff',
        ):
            with self.subTest(odd):
                body = encode_records((b'i-1', VALID_ENTRY))
                body += struct.pack('>I', len(odd)) + odd
                body += encode_records((b'i-2', VALID_ENTRY))[16:]
                read = call_codec.decode_answer(
                    calls.FollowRunners(10), build_answer(body)
                )
                self.assertEqual(13, read.position)
                usable = list_usable(read)
                self.assertTrue(usable['i-1'] and usable['i-2'])

    def test_items_without_a_readable_value(self) -> None:
        """Guard against a page that is lost for one value."""
        for odd in (None, 7, '', '=', 'not base64!', 'A', '\u0663'):
            with self.subTest(odd):
                table = json.loads(
                    encode_page(('i-1', VALID_ENTRY), ('i-2', VALID_ENTRY))
                )
                table['items'][0]['value'] = odd
                read = call_codec.decode_answer(
                    calls.ReadRunners(),
                    build_answer(json.dumps(table).encode()),
                )
                self.assertEqual({'i-1': False, 'i-2': True}, list_usable(read))

    def test_items_without_a_key(self) -> None:
        """Guard against one item for which no instance becomes ready."""
        for odd in (
            {'key': ''},
            {'key': None},
            {'key': 7},
            {},
            None,
            [],
            'i-1',
        ):
            with self.subTest(odd):
                table = json.loads(
                    encode_page(('i-1', VALID_ENTRY), ('i-2', VALID_ENTRY))
                )
                table['items'] = [odd, *table['items'], odd]
                table['has-more'] = True
                read = call_codec.decode_answer(
                    calls.ReadRunners(),
                    build_answer(json.dumps(table).encode()),
                )
                self.assertEqual({'i-1': True, 'i-2': True}, list_usable(read))
                self.assertEqual('i-2', read.next_page)

    def test_page_of_items_without_a_key(self) -> None:
        """Guard against a part of the list that is taken for all of it."""
        body = json.dumps({'items': [{'key': ''}], 'has-more': True, 'end': 3})
        with self.assertRaises(wire.DecodeError):
            call_codec.decode_answer(
                calls.ReadRunners(), build_answer(body.encode())
            )

    def test_key_at_the_end_of_a_page(self) -> None:
        """Guard against a next page that cannot be asked for."""
        for key in ('a b', 'a&part=1', 'a\r\nX: y', '\u0663', '\x00', 'a%20b'):
            with self.subTest(key):
                target = call_codec.encode_call(calls.ReadRunners(key)).target
                self.assertTrue(target.isascii() and target.isprintable())
                self.assertNotIn(' ', target)
                query = parse.parse_qs(target.partition('?')[2])
                self.assertEqual([key], query['after'])
                self.assertEqual(['0'], query['part'])

    @hypothesis.settings(max_examples=200, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.binary(min_size=1, max_size=8),
                strategies.one_of(
                    strategies.binary(max_size=60), MUTATED_ENTRIES
                ),
            ),
            max_size=5,
        )
    )
    def test_any_records(self, records: list[tuple[bytes, bytes]]) -> None:
        """Guard against a read that fails or does not move the position."""
        read = follow(*records, (b'i-sound', VALID_ENTRY))
        self.assertEqual(11 + len(records), read.position)
        self.assertTrue(list_usable(read)['i-sound'])


class PeerUpdates(unittest.TestCase):
    """An odd entry does not come in from another instance either."""

    def test_odd_entries(self) -> None:
        """Guard against entries that an instance of another release lists."""
        sound = runner_codec.decode_entry('i-1', VALID_ENTRY)
        changes = [calls.RunnerChange('i-1', sound)]
        for odd in (
            {'address': '127.1.2.3:65536'},
            {'address': '127.1.2.3:80\n'},
            {'started_at_ms': 2**70},
            {'slots': -1},
            {'service': ''},
            {'layers': runners.LayerRange(-5, 30)},
            {'layers': runners.LayerRange(0, 10**12)},
        ):
            entry = dataclasses.replace(sound, **odd)
            changes.append(calls.RunnerChange(f'i-{len(changes) + 1}', entry))
        changes.append(calls.RunnerChange('i 9', sound))
        changes.append(calls.RunnerChange('i-dropped', None))
        update = calls.PeerUpdate(9, 0, tuple(changes), 1, 0.5)
        decoded = call_codec.decode_answer(
            calls.FollowPeer(1, 1), build_answer(msgspec.json.encode(update))
        )
        self.assertEqual(9, decoded.list_position)
        self.assertEqual(sound, decoded.changes[0].entry)
        self.assertEqual(
            [None for _ in changes[1:]],
            [change.entry for change in decoded.changes[1:]],
        )


class LayersOfOtherModels(unittest.TestCase):
    """A runner that lists layers beyond the model takes no part in it."""

    def test_chain(self) -> None:
        """Guard against a chain over layers that no model has."""
        odd = relay_states.build_model_runner('m9', 0, 200)
        instance = relay_states.Instance((odd, *relay_states.TWO_CHAINS))
        for number in range(20):
            instance.receive_request(f'r{number}', '/model/x')
        used = {
            part.runner_id
            for send in instance.sends
            for part in send.request.chain
        }
        self.assertTrue(used)
        self.assertNotIn('m9', used)

    def test_gap(self) -> None:
        """Guard against a gap that odd layers hide, and an order for them."""
        instance = relay_states.Instance(
            (
                relay_states.build_model_runner('m1', 0, 40),
                relay_states.build_model_runner('m2', 0, 40),
                relay_states.build_model_runner('m8', 1_000, 2_000),
                relay_states.build_model_runner('m9', 0, 10_000),
            )
        )
        instance.state = dataclasses.replace(
            instance.state,
            members=members.MemberState(
                zone=members.GroupState(listed_generation=1),
                leader_until=instance.now + 60,
            ),
        )
        for _ in range(10):
            instance.emit_event(
                events.TimerFired,
                timer=relay_states.timers.PlacementCheckDue(),
            )
            instance.pass_time(0.5)
        ordered = [call.call for call in instance.list_calls(calls.PlaceLayers)]
        self.assertTrue(ordered)
        self.assertLessEqual(
            {order.runner_id for order in ordered}, {'m1', 'm2'}
        )
        self.assertEqual(
            {(40, 80)},
            {(order.layers.first, order.layers.end) for order in ordered},
        )


class FollowedList(test_relay_processes.RelayCase):
    """An instance goes on to follow the list after an odd entry."""

    def check_following(self) -> None:
        """Check that a change after the odd entries is seen."""
        gone, left = self.site.runners
        self.site.store.append_record('keyed.servers', gone.name, None)
        deadline = time.monotonic() + 5
        while time.monotonic() < deadline:
            if f'"{gone.name}", "address"' in self.site.read_log():
                break
            time.sleep(0.1)
        time.sleep(1.5)
        count = len(gone.received)
        with self.site.connect() as sock:
            for number in range(6):
                status, _ = self.exchange(
                    sock, relay_site.encode_request('/read/x', f'a{number}')
                )
                self.assertEqual(200, status)
        self.assertEqual(count, len(gone.received))
        self.assertIsNone(self.site.process.poll())
        self.assertNotIn('Traceback', self.site.read_log())

    def append_entries(
        self, entries: typing.Iterable[tuple[str, bytes]]
    ) -> None:
        """Append odd entries among those of the runners."""
        for number, (_, content) in enumerate(entries):
            self.site.store.append_bytes(
                'keyed.servers', f'odd-{number}', content
            )

    def test_deep_entries(self) -> None:
        """Guard against a list that is no longer read after a deep entry."""
        self.append_entries(odd_entries.list_deep_entries())
        self.check_following()

    def test_odd_entries(self) -> None:
        """Guard against an entry that is used, or that ends the instance."""
        self.append_entries(
            (
                *odd_entries.list_odd_numbers(),
                *odd_entries.list_odd_addresses(),
                *odd_entries.list_odd_types(),
            )
        )
        self.check_following()
