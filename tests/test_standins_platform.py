"""Test the stand-ins of the platform, on whose behaviour fault runs rely."""

import typing
import unittest

import immutables

from mustardvale.internal import events
from standins import (
    consumer_groups,
    json_codec,
    layered_runners,
    loopback_proxy,
    platform_store,
    runner_messages,
)
from tests import reducer_driver

TOPIC = 'keyed.servers'


class Records(unittest.TestCase):
    """The store keeps records in order, and the newest of each key."""

    def setUp(self) -> None:
        self.store = reducer_driver.Driver(
            platform_store.reduce, platform_store.State()
        )
        self.store.emit_event(events.InstanceStarted)
        self.append('a', b'1')
        self.append('a', b'2')

    def append(self, key: str, record: bytes) -> None:
        """Append one record."""
        number = len(self.store.replies)
        self.store.ask(
            f'append-{number}', platform_store.Append(TOPIC, ((key, record),))
        )

    def test_newest_record_of_a_key(self) -> None:
        """Guard against a read that returns an older record of a key."""
        answer = self.store.ask('n', platform_store.ReadNewest(TOPIC))
        self.assertEqual((('a', b'2'),), answer.records)
        self.assertEqual(2, answer.end)

    def test_read_waits_for_a_record(self) -> None:
        """Guard against a waiting read that misses a new record."""
        self.assertIsNone(
            self.store.ask('r', platform_store.ReadLog(TOPIC, 2, 2.0))
        )
        self.append('b', b'3')
        self.assertEqual((('b', b'3'),), self.store.replies['r'].records)

    def test_read_ends_without_a_record(self) -> None:
        """Guard against a read that waits longer than its limit."""
        self.store.ask('r', platform_store.ReadLog(TOPIC, 2, 1.0))
        self.store.pass_time(1.4)
        self.assertEqual((), self.store.replies['r'].records)

    def test_forgotten_records(self) -> None:
        """Guard against dropped records that a reader cannot detect."""
        self.store.ask('f', platform_store.Faults(forget=True))
        answer = self.store.ask('r', platform_store.ReadLog(TOPIC, 0, 0))
        self.assertEqual(410, answer.status)
        newest = self.store.ask('n', platform_store.ReadNewest(TOPIC))
        self.assertEqual((('a', b'2'),), newest.records)

    def test_entry_of_a_silent_runner_expires(self) -> None:
        """Guard against entries of runners that no longer write."""
        self.store.pass_time(platform_store.ENTRY_TTL_SECONDS + 1)
        answer = self.store.ask('n', platform_store.ReadNewest(TOPIC))
        self.assertEqual((), answer.records)

    def test_lost_answer_takes_effect(self) -> None:
        """Guard against a lost answer whose change did not take effect."""
        self.store.ask('f', platform_store.Faults(lose_answers=1))
        self.append('c', b'4')
        answer = self.store.ask('r', platform_store.ReadLog(TOPIC, 2, 0))
        self.assertEqual((('c', b'4'),), answer.records)

    def test_down(self) -> None:
        """Guard against a store that serves reads while it is down."""
        self.store.ask('f', platform_store.Faults(down=True))
        answer = self.store.ask('r', platform_store.ReadNewest(TOPIC))
        self.assertEqual(503, answer.status)


class Groups(unittest.TestCase):
    """Each partition has at most one holder when the membership changes."""

    def join(
        self, group: consumer_groups.Group, member: str, at: float = 0.0
    ) -> consumer_groups.Group:
        """Let a member join with the generation that it knows."""
        request = consumer_groups.Join(
            'g', member, ('t',), 2.0, self.generations.get(member, 0)
        )
        joined = consumer_groups.join(group, request, at)
        self.generations[member] = joined.generation
        return joined

    def setUp(self) -> None:
        self.generations: dict[str, int] = {}
        self.group = self.join(consumer_groups.Group(), 'a')

    def test_only_member_holds_all(self) -> None:
        """Guard against partitions without a holder."""
        partitions = consumer_groups.list_partitions(self.group, 'a')
        self.assertEqual(consumer_groups.PARTITIONS_PER_TOPIC, len(partitions))

    def test_holder_releases_before_reassignment(self) -> None:
        """Guard against two members that hold the same partition."""
        group = self.join(self.group, 'b')
        self.assertEqual((), consumer_groups.list_partitions(group, 'b'))
        group = self.join(self.join(group, 'a'), 'b')
        self.assertEqual((), consumer_groups.list_partitions(group, 'b'))
        group = self.join(self.join(group, 'a'), 'b')
        half = consumer_groups.PARTITIONS_PER_TOPIC // 2
        self.assertEqual(half, len(consumer_groups.list_partitions(group, 'b')))

    def test_silent_member_loses_its_partitions(self) -> None:
        """Guard against partitions that an expired member still holds."""
        group = self.join(self.group, 'b', 3.0)
        partitions = consumer_groups.list_partitions(group, 'b')
        self.assertEqual(consumer_groups.PARTITIONS_PER_TOPIC, len(partitions))


def build_runner(
    name: str, layers: tuple[int, int] | None, **fields: typing.Any
) -> runner_messages.Runner:
    """Return a runner of the model service."""
    return runner_messages.Runner(
        name,
        'model',
        f'{name}:1',
        'zone-a',
        8,
        'large',
        layers=layers,
        **fields,
    )


class Chains(unittest.TestCase):
    """Runner stand-ins check chains like the platform's runners."""

    def setUp(self) -> None:
        table = {
            'm0': build_runner('m0', (0, 4)),
            'm1': build_runner('m1', (4, 8)),
            'm2': build_runner('m2', None),
        }
        self.runners = reducer_driver.Driver(
            layered_runners.reduce,
            layered_runners.State('store:1', 8, immutables.Map(table)),
        )

    def run_chain(self, *parts: tuple[str, int, int]) -> typing.Any:
        """Send a request along a chain and return its refusal, if any."""
        chain = tuple(
            runner_messages.ChainPart(f'{name}:1', first, end)
            for name, first, end in parts
        )
        request = runner_messages.RunRequest(
            'm0', 'a1', 'POST', '/x', b'', 'ann', False, 'm0', 100, chain
        )
        return self.runners.ask('r1', request)

    def set_faults(self, name: str, **faults: typing.Any) -> None:
        """Replace the faults of a runner."""
        self.runners.ask(f'f-{name}', runner_messages.Faults(name, **faults))

    def test_complete_chain_streams_to_its_end(self) -> None:
        """Guard against a valid chain that does not complete."""
        self.assertIsNone(self.run_chain(('m0', 0, 4), ('m1', 4, 8)))
        self.runners.pass_time(5)
        self.assertIn('r1', self.runners.ends)

    def test_suspended_runner_goes_on(self) -> None:
        """Guard against a suspension that loses or refuses what came in it."""
        for name in ('m0', 'm1'):
            with self.subTest(suspended=name):
                self.setUp()
                self.set_faults(name, suspended=True)
                self.assertIsNone(self.run_chain(('m0', 0, 4), ('m1', 4, 8)))
                self.runners.pass_time(2)
                self.assertNotIn('r1', self.runners.ends)
                self.runners.ask('end', runner_messages.Faults(name))
                self.runners.pass_time(5)
                self.assertIn('r1', self.runners.ends)

    def test_words_of_a_runner(self) -> None:
        """Guard against faults that no answer of the runner shows."""
        self.set_faults('m0', full=True, retry_after_seconds=3, leaving=True)
        refusal = self.run_chain(('m0', 0, 4), ('m1', 4, 8))
        self.assertEqual(3, refusal.retry_after_seconds)
        self.assertTrue(refusal.is_leaving)

    def test_layers_that_are_not_held(self) -> None:
        """Guard against a chain with layers that a runner does not hold."""
        refused = self.run_chain(('m0', 0, 4), ('m2', 4, 8))
        self.assertEqual((421, 'm2:1'), (refused.status, refused.at_fault))

    def test_part_that_is_down(self) -> None:
        """Guard against a chain through a runner that is down."""
        self.set_faults('m1', down=True)
        refused = self.run_chain(('m0', 0, 4), ('m1', 4, 8))
        self.assertEqual((503, 'm1:1'), (refused.status, refused.at_fault))

    def test_dark_part_stalls_and_ends_the_stream(self) -> None:
        """Guard against a stalled request that is not reported or closed."""
        self.run_chain(('m0', 0, 4), ('m1', 4, 8))
        self.runners.pass_time(0.1)
        self.set_faults('m1', dark=True)
        self.runners.pass_time(0.5)
        report = self.runners.ask('p', runner_messages.ReadReport('m0', ''))
        self.assertEqual((('a1', 'm1:1'),), report.stalled)
        self.runners.pass_time(3)
        self.assertIn('r1', self.runners.closed)

    def test_stale_order_is_refused(self) -> None:
        """Guard against an order that is executed after a newer one."""
        first = runner_messages.PlaceLayers('m2', 'm2', 4, 8, 0)
        self.assertEqual(202, self.runners.ask('o1', first).status)
        self.runners.pass_time(2)
        self.assertEqual((4, 8), self.runners.state.runners['m2'].layers)
        late = runner_messages.PlaceLayers('m2', 'm2', 0, 4, 0)
        self.assertEqual(409, self.runners.ask('o2', late).status)

    def test_other_runner_is_misdirected(self) -> None:
        """Guard against an answer by another runner at a reused address."""
        request = runner_messages.ReadReport('m0', 'm9')
        self.assertEqual(421, self.runners.ask('p', request).status)


class Proxies(unittest.TestCase):
    """A link injects the faults that are set, and no others."""

    def setUp(self) -> None:
        self.proxy = reducer_driver.Driver(
            loopback_proxy.reduce,
            loopback_proxy.State(immutables.Map({'l': 'target:1'})),
        )
        self.proxy.emit_event(
            loopback_proxy.ConnectionAccepted, link='l', connection=1
        )

    def set_faults(self, **faults: typing.Any) -> None:
        """Replace the faults of the link."""
        number = len(self.proxy.replies)
        done = self.proxy.ask(
            f'f{number}', loopback_proxy.Faults('l', **faults)
        )
        self.assertEqual(json_codec.Done(), done)

    def receive(self, side: loopback_proxy.Side, received: bytes) -> None:
        """Let one side send bytes."""
        self.proxy.emit_event(
            loopback_proxy.BytesReceived,
            connection=1,
            side=side,
            received=received,
        )

    def list_forwarded(self) -> list[bytes]:
        """Return the forwarded bytes in order."""
        return [
            effect.forwarded
            for effect in self.proxy.others
            if isinstance(effect, loopback_proxy.Forward)
        ]

    def test_bytes_pass(self) -> None:
        """Guard against a proxy that changes or drops bytes without a fault."""
        self.receive(loopback_proxy.Side.CALLER, b'x')
        self.assertEqual([b'x'], self.list_forwarded())

    def test_one_silent_direction(self) -> None:
        """Guard against a fault that also silences the other direction."""
        self.set_faults(silent=(loopback_proxy.Side.TARGET,))
        self.receive(loopback_proxy.Side.TARGET, b'lost')
        self.receive(loopback_proxy.Side.CALLER, b'passed')
        self.assertEqual([b'passed'], self.list_forwarded())

    def test_silent_connection_stays_silent(self) -> None:
        """Guard against a byte stream that continues with a gap."""
        self.set_faults(silent=(loopback_proxy.Side.TARGET,))
        self.receive(loopback_proxy.Side.TARGET, b'lost')
        self.set_faults()
        self.receive(loopback_proxy.Side.TARGET, b'after')
        self.assertEqual([], self.list_forwarded())

    def test_delayed_bytes_keep_their_order(self) -> None:
        """Guard against bytes that overtake delayed ones when a delay ends."""
        self.set_faults(delay_seconds=0.5)
        self.receive(loopback_proxy.Side.CALLER, b'1')
        self.set_faults()
        self.receive(loopback_proxy.Side.CALLER, b'2')
        self.proxy.pass_time(1)
        self.assertEqual([b'1', b'2'], self.list_forwarded())

    def test_reset(self) -> None:
        """Guard against a reset that leaves connections open."""
        self.set_faults(reset=True)
        self.assertIn(
            loopback_proxy.CloseConnection(1, reset=True), self.proxy.others
        )
        self.receive(loopback_proxy.Side.CALLER, b'late')
        self.assertEqual([], self.list_forwarded())
