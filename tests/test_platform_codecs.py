"""Test the codecs of the platform's messages."""

import base64
import json
import struct
import unittest

import hypothesis
import immutables
from hypothesis import strategies

from mustardvale.internal.edge import relay_wire, wire
from mustardvale.internal.relay import calls, configuration, requests, runners
from mustardvale.platform import (
    call_codec,
    configuration_codec,
    front_codec,
    runner_codec,
)

ROUTE = {
    'name': 'r-1',
    'host': 'Site.example',
    'path-prefix': '/a/',
    'kind': 'streaming',
    'timeout-ms': 20000,
    'target-latency-ms': 500,
    'priority': 1,
    'traffic-split': [
        {'service': 's1', 'weight': 90},
        {'service': 's2', 'weight': 10},
    ],
    'max-attempts': 2,
    'public': False,
    'resumable': True,
    'gap-target-ms': 250,
}
ENGINE = {
    'slots': 96,
    'kv-token-bytes': 1180000,
    'link-mbps': 400000.0,
    'models': [{'name': 'm', 'load-s': 14.0}],
    'step_ms': 1.02,
    'per_seq_ms': 0.00918,
    'context_per_k': 0.0123,
    'read_per_s': 164000.0,
    'loads_at_once': 6,
    'delays': [{'source': 'a', 'target': 'b', 'delay_ms': 0.3}],
    'usual': {'prompt': 775, 'answer': 220},
    'layers': 80,
    'layer-mb': 1750.0,
    'activation-bytes': 59000,
    'pipe-mbps': 16000.0,
    'kinds': [
        {'name': 'x', 'size-mb': 72000.0, 'pace': 2.4, 'read-factor': 3.2}
    ],
}
CONFIGURATION = {
    'version': 7,
    'routes': [ROUTE],
    'services': [
        {'name': 's1', 'max-conns': 1128, 'engine': ENGINE},
        {'name': 's2', 'max-conns': 100},
    ],
    'limits': {
        'max-header-bytes': 16384,
        'max-body-bytes': 4194304,
        'header-timeout-ms': 3000,
        'idle-timeout-ms': 15000,
    },
    'tenants': [{'name': 't', 'api-keys': ['k1', 'k2'], 'priority': 1}],
}
ENTRY = {
    'service': 's1',
    'address': '10.1.2.3:8080',
    'zone': 'a',
    'version': 'v1',
    'slots': 96,
    'state': 'ready',
    'kind': 'x',
    'born': 1700000000000,
    'layers': [{'source': 0, 'target': 30, 'version': 1}],
    'seq': 4,
}


def encode_json(table: object) -> bytes:
    """Encode JSON as the store does."""
    return json.dumps(table).encode()


def encode_keyed_record(key: str, content: bytes) -> bytes:
    """Encode a record of a keyed topic, with its length."""
    record = bytes((len(key),)) + key.encode() + content
    return struct.pack('>I', len(record)) + record


def build_answer(body: bytes, status: int = 200) -> wire.RawAnswer:
    """Return an answer of the store."""
    return wire.RawAnswer(status, immutables.Map(), body)


class Configurations(unittest.TestCase):
    """Each field is decoded into the unit that its name states."""

    def setUp(self) -> None:
        self.decoded = configuration_codec.decode(encode_json(CONFIGURATION))

    def test_route(self) -> None:
        """Guard against milliseconds that are read as seconds."""
        route = self.decoded.routes_by_host['site.example'][0]
        self.assertEqual(20.0, route.timeout_seconds)
        self.assertEqual(0.5, route.target_latency_seconds)
        self.assertEqual(0.25, route.event_gap_seconds)
        self.assertTrue(route.is_retryable)
        self.assertEqual(
            (90, 10), tuple(share.weight for share in route.shares)
        )

    def test_engine(self) -> None:
        """Guard against times of an engine in the wrong unit."""
        engine = self.decoded.services['s1'].engine
        self.assertAlmostEqual(0.00102, engine.base_step_seconds)
        self.assertAlmostEqual(0.0003, engine.zone_delay_seconds['a', 'b'])
        self.assertEqual(72000, engine.accelerators['x'].memory_mb)
        self.assertEqual(14, engine.model_load_seconds)

    def test_keys_map_to_their_tenant(self) -> None:
        """Guard against mapping a key to another tenant."""
        self.assertEqual('t', self.decoded.tenants_by_key['k2'].name)
        self.assertTrue(self.decoded.is_key_required)

    def test_configuration_without_tenants_needs_no_key(self) -> None:
        """Guard against refusing all requests on a site without keys."""
        table = {
            name: item
            for name, item in CONFIGURATION.items()
            if name != 'tenants'
        }
        self.assertFalse(
            configuration_codec.decode(encode_json(table)).is_key_required
        )

    def test_invalid_configuration_raises_decode_error(self) -> None:
        """Guard against another exception for an invalid configuration."""
        for body in (b'', b'[]', b'{"routes":[{}]}', b'{"version":1}'):
            with self.assertRaises(wire.DecodeError):
                configuration_codec.decode(body)


class RunnerEntries(unittest.TestCase):
    """Invalid entries decode to no runner."""

    def test_entry(self) -> None:
        """Guard against fields that are decoded from the wrong keys."""
        entry = runner_codec.decode_entry('i-1', encode_json(ENTRY))
        self.assertEqual(runners.LayerRange(0, 30), entry.layers)
        self.assertEqual(1700000000000, entry.started_at_ms)
        self.assertEqual('x', entry.accelerator)

    def test_runner_without_layers(self) -> None:
        """Guard against sending requests to a runner without layers."""
        entry = runner_codec.decode_entry(
            'i-1', encode_json({**ENTRY, 'layers': []})
        )
        self.assertIsNone(entry.layers)

    def test_invalid_entries(self) -> None:
        """Guard against entries with values of other types or ranges."""
        for change in (
            {'state': 'resting'},
            {'address': 'host:80'},
            {'address': '10.1.2.3:0'},
            {'address': 7},
            {'service': ''},
            {'slots': 'many'},
            {'born': 1.5},
            {'layers': [{}]},
        ):
            with self.subTest(change=change):
                self.assertIsNone(
                    runner_codec.decode_entry(
                        'i-1', encode_json({**ENTRY, **change})
                    )
                )

    @hypothesis.given(strategies.binary(max_size=60))
    def test_any_bytes(self, content: bytes) -> None:
        """Guard against bytes that make reading the list fail."""
        runner_codec.decode_entry('i-1', content)


class StoreReads(unittest.TestCase):
    """Positions and records are decoded from the store's framing."""

    def test_followed_records_move_the_position(self) -> None:
        """Guard against reading a record twice or skipping it."""
        body = struct.pack('>QQ', 14, 0) + encode_keyed_record(
            'i-1', encode_json(ENTRY)
        )
        body += encode_keyed_record('i-2', b'') + encode_keyed_record(
            'i-1', encode_json(ENTRY)
        )
        read = call_codec.decode_answer(
            calls.FollowRunners(11), build_answer(body)
        )
        self.assertEqual(14, read.position)
        self.assertEqual(
            {'i-1': True, 'i-2': False},
            {
                change.runner_id: change.entry is not None
                for change in read.changes
            },
        )

    def test_poll_without_records_confirms(self) -> None:
        """Guard against counting a poll without records as a failure."""
        read = call_codec.decode_answer(
            calls.FollowConfiguration(3, 2.0),
            build_answer(struct.pack('>QQ', 3, 0)),
        )
        self.assertEqual(calls.ConfigurationRead(3, None), read)

    def test_newest_of_each_key(self) -> None:
        """Guard against reading another record of the operator."""
        items = [
            {'key': 'other', 'value': '', 'offset': 1},
            {
                'key': 'config',
                'value': base64.b64encode(encode_json(CONFIGURATION)).decode(),
                'offset': 4,
            },
        ]
        body = encode_json({'items': items, 'has-more': False, 'end': 6})
        read = call_codec.decode_answer(
            calls.ReadConfiguration(), build_answer(body)
        )
        self.assertEqual(6, read.position)
        self.assertEqual(7, read.configuration.version)

    def test_page_without_the_configuration_names_the_next(self) -> None:
        """Guard against an instance that never finds its configuration."""
        body = encode_json(
            {
                'items': [{'key': 'band', 'value': '', 'offset': 1}],
                'has-more': True,
                'end': 6,
            }
        )
        read = call_codec.decode_answer(
            calls.ReadConfiguration(), build_answer(body)
        )
        self.assertEqual(calls.ConfigurationRead(6, None, 'band'), read)
        later = call_codec.decode_answer(
            calls.ReadConfiguration('band', 4), build_answer(body)
        )
        self.assertEqual(4, later.position)
        target = call_codec.encode_call(
            calls.ReadConfiguration('a&b', 4)
        ).target
        self.assertTrue(target.endswith('&after=a%26b'))

    def test_compacted_log(self) -> None:
        """Guard against taking dropped records for an outage."""
        read = call_codec.decode_answer(
            calls.FollowRunners(3), build_answer(b'{"first":9}', 410)
        )
        self.assertEqual(calls.HistoryCompacted(), read)

    def test_refusal_is_no_answer(self) -> None:
        """Guard against reading an error as an empty list."""
        for status in (429, 500, 503):
            read = call_codec.decode_answer(
                calls.ReadRunners(), build_answer(b'', status)
            )
            self.assertEqual(calls.CallRefused(status), read)

    def test_truncated_record_raises_decode_error(self) -> None:
        """Guard against a truncated record that looks complete."""
        body = (
            struct.pack('>QQ', 14, 0)
            + encode_keyed_record('i-1', encode_json(ENTRY))[:-4]
        )
        with self.assertRaises(wire.DecodeError):
            call_codec.decode_answer(
                calls.FollowRunners(11), build_answer(body)
            )

    def test_one_partition_grants_leadership(self) -> None:
        """Guard against two members that may order runners."""
        topic, part = call_codec.LEADER_PARTITION
        for row, expected in (([topic, part, 0], True), ([topic, 1, 0], False)):
            body = encode_json(
                {'generation': 3, 'ttl-ms': 3000, 'parts': [row]}
            )
            joined = call_codec.decode_answer(
                calls.JoinMembers('', 'm', 3.0, 0), build_answer(body)
            )
            self.assertEqual(expected, joined.is_leader)


def build_request(*headers: tuple[str, str]) -> relay_wire.ReceivedRequest:
    """Return a request of a caller, with further headers."""
    return relay_wire.ReceivedRequest(
        front_codec.FRONT,
        'POST',
        '/a/b?c=%20d',
        (('host', 'site.example:80'), ('attempt-id', 'a1'), *headers),
        b'body',
    )


class Requests(unittest.TestCase):
    """Requests are relayed unchanged, except for headers that are replaced."""

    def encode_headers(self, *headers: tuple[str, str], **fields: object):
        """Return the headers that an upstream receives."""
        request = front_codec.decode_request(build_request(*headers))
        send = requests.UpstreamRequest(request, 'i-1', 1.5, **fields)
        encoded = front_codec.encode_send(send)
        self.assertEqual('/a/b?c=%20d', encoded.target)
        self.assertEqual(b'body', encoded.body)
        return [(name.lower(), text) for name, text in encoded.headers]

    def test_key_and_forged_headers_are_dropped(self) -> None:
        """Guard against forwarding a key, tenant or chain that the caller set."""
        headers = self.encode_headers(
            ('api-key', 'k'),
            ('tenant', 'forged'),
            ('expect-instance', 'i-9'),
            ('hop-count', '10.0.0.1:1=0-80'),
            ('request-urgency', '0'),
            tenant='t',
        )
        self.assertNotIn('api-key', dict(headers))
        self.assertNotIn('hop-count', dict(headers))
        self.assertEqual(1, sum(name == 'tenant' for name, _ in headers))
        self.assertEqual('t', dict(headers)['tenant'])
        self.assertEqual('i-1', dict(headers)['expect-instance'])

    def test_other_headers_are_forwarded(self) -> None:
        """Guard against dropping other headers."""
        headers = self.encode_headers(
            ('x-other', '1'), ('model', 'm'), ('token-count', '10,20')
        )
        for line in (('x-other', '1'), ('model', 'm')):
            self.assertIn(line, headers)

    def test_connection_headers_are_dropped(self) -> None:
        """Guard against forwarding headers of the caller's connection."""
        headers = dict(
            self.encode_headers(('connection', 'close, x-hop'), ('x-hop', '1'))
        )
        self.assertNotIn('x-hop', headers)
        self.assertNotIn('connection', headers)

    def test_upstream_gets_the_remaining_time(self) -> None:
        """Guard against a deadline without the time already used."""
        headers = self.encode_headers(('deadline-ms', '9000'))
        self.assertIn(('deadline-ms', '1500'), headers)

    def test_chain_header(self) -> None:
        """Guard against encoding a chain in another order."""
        chain = (
            requests.ChainPart('i-1', '10.0.0.1:1', 0, 20),
            requests.ChainPart('i-2', '10.0.0.2:1', 20, 80),
        )
        headers = dict(self.encode_headers(chain=chain, urgency=1))
        self.assertEqual(
            '10.0.0.1:1=0-20,10.0.0.2:1=20-80', headers['hop-count']
        )

    def test_prompt_of_a_model_request(self) -> None:
        """Guard against taking the length hint for the limit."""
        request = front_codec.decode_request(
            build_request(('token-count', '760,400'), ('length-hint', '90'))
        )
        self.assertEqual(requests.Prompt('', 760, 400, 90), request.prompt)
        self.assertEqual(90, request.prompt.expected_output_tokens)

    def test_invalid_numbers(self) -> None:
        """Guard against accepting a deadline that is not a number."""
        with self.assertRaises(wire.DecodeError):
            front_codec.decode_request(build_request(('deadline-ms', 'soon')))


class Answers(unittest.TestCase):
    """An answer is valid only for its request and with its proof."""

    def setUp(self) -> None:
        request = front_codec.decode_request(build_request())
        self.send = requests.UpstreamRequest(request, 'i-1', 1.0)

    def decode_head(self, status: int, *headers: tuple[str, str]):
        """Decode the head of an answer."""
        return front_codec.decode_head(
            self.send, relay_wire.ReceivedHead(status, headers)
        )

    def test_answer_to_another_request(self) -> None:
        """Guard against a late answer on a reused connection."""
        other = relay_wire.ReceivedHead(200, (('attempt-id', 'a0'),))
        self.assertFalse(
            front_codec.is_answer_to(self.send, other, is_reused=False)
        )

    def test_proof_needs_both_headers(self) -> None:
        """Guard against accepting an answer without a proof."""
        full = (('attempt-id', 'a1'), ('server-stamp', 's'))
        self.assertTrue(self.decode_head(200, *full).has_proof)
        self.assertFalse(self.decode_head(200, full[0]).has_proof)
        self.assertFalse(self.decode_head(200, full[1]).has_proof)

    def test_refused_without_running(self) -> None:
        """Guard against taking a refusal to run for a failed run."""
        self.assertTrue(
            self.decode_head(503, ('not-executed', '1')).is_unexecuted
        )
        self.assertTrue(self.decode_head(421).is_unexecuted)
        self.assertFalse(self.decode_head(503).is_unexecuted)

    def test_content_length_is_not_forwarded(self) -> None:
        """Guard against two Content-Length headers in one answer."""
        headers = self.decode_head(
            200, ('content-length', '3'), ('x-other', '1')
        ).headers
        self.assertEqual((('x-other', '1'),), headers)

    def test_refusal_has_retry_after(self) -> None:
        """Guard against callers that retry at once."""
        head, _ = front_codec.encode_reply(
            requests.Refusal(503, 'not_run', 'a1', 0.4)
        )
        self.assertIn(('Retry-After', '0.400'), head.headers)
        self.assertIn(('Attempt-Id', 'a1'), head.headers)


class RequestKinds(unittest.TestCase):
    """The kind of a route decides which requests may be retried."""

    def test_retryable(self) -> None:
        """Guard against retrying a stream that cannot be resumed."""
        for kind, resumable, expected in (
            ('streaming', False, False),
            ('streaming', True, True),
            ('idempotent', False, True),
            ('non_idempotent', True, False),
        ):
            row = {**ROUTE, 'kind': kind, 'resumable': resumable}
            route = configuration_codec.decode_route(row)
            self.assertIsInstance(route.kind, configuration.RequestKind)
            self.assertEqual(expected, route.is_retryable)
