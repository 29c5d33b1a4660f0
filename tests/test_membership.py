"""Test the membership of entry instances and the addresses for callers."""

import collections
import dataclasses
import functools
import unittest

import hypothesis
from hypothesis import strategies

from mustardvale.internal import (
    calls,
    effects,
    entry_addresses,
    events,
    handlers,
    heartbeat_rings,
    membership,
    messages,
    state,
    timer_base,
    timers,
)
from tests import builders

LARGE_SITE = 410
ZONES = 13


def build_row(number: int) -> calls.ListedInstance:
    """Build the row of an entry instance in the instance list."""
    return calls.ListedInstance(
        f'entry-{number}',
        membership.ENTRY_POOL,
        f'10.1.{number // 200}.{number % 200}:80',
        f'zone-{number % ZONES}',
        peer_address=f'10.1.{number // 200}.{number % 200}:81',
    )


def build_state(number: int, count: int) -> state.State:
    """Build the state of one of `count` instances after the instance list."""
    row = build_row(number)
    built = dataclasses.replace(
        builders.build_state(),
        identity=membership.Identity(
            row.instance_id,
            row.address,
            row.peer_address,
            row.availability_zone,
        ),
    )
    answered = events.CallAnswered(
        at=100,
        call=calls.ListInstances(),
        address='a:4',
        answer=calls.InstancesListed(
            tuple(build_row(other) for other in range(count)),
        ),
    )
    return handlers.reduce(answered, built).state


@functools.cache
def build_states(count: int) -> dict[str, state.State]:
    """Build the states of all instances of a site, by peer address."""
    return {
        build_row(number).peer_address: build_state(number, count)
        for number in range(count)
    }


class Site:
    """Pass peer messages between the reducers of many instances."""

    def __init__(self, count: int) -> None:
        self.states = dict(build_states(count))
        self.silent: set[str] = set()
        self.sent: collections.Counter[str] = collections.Counter()
        self.now = 100.0

    def fire(self, timer: timer_base.Timer) -> None:
        """Fire a timer at every instance and deliver the resulting messages."""
        for address in tuple(self.states):
            self.reduce(address, events.TimerFired(at=self.now, timer=timer))

    def reduce(self, address: str, event: events.Event) -> None:
        """Reduce an event and deliver the resulting messages, hop by hop."""
        waiting = collections.deque([(address, event)])
        while waiting:
            address, event = waiting.popleft()
            if address in self.silent:
                continue
            transition = handlers.reduce(event, self.states[address])
            self.states[address] = transition.state
            for effect in transition.effects:
                if isinstance(effect, effects.SendToPeer):
                    self.sent[address] += 1
                    received = events.PeerMessageReceived(
                        at=self.now,
                        sender=address,
                        message=effect.message,
                    )
                    waiting.append((effect.address, received))

    def run(self, seconds: int) -> None:
        """Fire the heartbeat and silence timers once per second."""
        for _ in range(seconds):
            self.now += 1
            self.fire(timers.HeartbeatDue())
            self.fire(timers.SilenceCheckDue())

    def count_live_views(self, instance_id: str) -> int:
        """Count the running instances that consider another one live."""
        return sum(
            membership.is_live(
                current.membership.peers[instance_id],
                self.now,
            )
            for address, current in self.states.items()
            if address not in self.silent
            and instance_id in current.membership.peers
        )


class Ring(unittest.TestCase):
    """Every instance hears some others at a site of any size."""

    @hypothesis.given(strategies.integers(1, 500))
    def test_every_instance_is_heard_and_hears(self, count: int) -> None:
        """Guard against an instance that no heartbeat reaches."""
        ids = tuple(f'entry-{number}' for number in range(count))
        ring = heartbeat_rings.build_ring(ids)
        hearing: collections.Counter[str] = collections.Counter()
        for instance_id in ids:
            targets = heartbeat_rings.find_targets(instance_id, ring)
            hearing.update(targets)
            self.assertNotIn(instance_id, targets)
            self.assertEqual(len(targets), len(set(targets)))
            if heartbeat_rings.is_full_mesh(ring):
                self.assertEqual(len(targets), count - 1)
            else:
                self.assertLessEqual(len(targets), 5)
        self.assertTrue(
            all(
                hearing[instance_id] >= min(2, count - 1) for instance_id in ids
            ),
        )

    def test_join_changes_few_targets(self) -> None:
        """Guard against connections that change whenever one joins."""
        ids = tuple(f'entry-{number}' for number in range(LARGE_SITE))
        before = heartbeat_rings.build_ring(ids)
        after = heartbeat_rings.build_ring((*ids, 'joined'))
        changed = sum(
            heartbeat_rings.find_targets(instance_id, before)
            != heartbeat_rings.find_targets(instance_id, after)
            for instance_id in ids
        )
        self.assertLess(changed, 30)


class SmallSite(unittest.TestCase):
    """At a small site every instance hears every other one."""

    def test_silent_instance_is_suspected_and_returns(self) -> None:
        """Guard against callers that are directed to a failed instance."""
        site = Site(7)
        site.run(3)
        self.assertEqual(site.count_live_views('entry-3'), 6)
        site.silent.add(build_row(3).peer_address)
        site.run(3)
        self.assertEqual(site.count_live_views('entry-3'), 0)
        site.silent.clear()
        site.run(1)
        self.assertEqual(site.count_live_views('entry-3'), 6)


class LargeSite(unittest.TestCase):
    """At a large site changes are relayed and traffic is bounded."""

    def test_heartbeats_go_to_few_peers(self) -> None:
        """Guard against traffic that grows with the square of the site."""
        site = Site(LARGE_SITE)
        site.run(2)
        site.sent.clear()
        site.run(1)
        self.assertLessEqual(max(site.sent.values()), 5)

    def test_all_learn_of_a_loss_and_of_the_return(self) -> None:
        """Guard against changes that do not reach every instance."""
        site = Site(LARGE_SITE)
        site.run(2)
        site.silent.add(build_row(3).peer_address)
        site.run(3)
        self.assertEqual(site.count_live_views('entry-3'), 0)
        site.silent.clear()
        site.run(1)
        self.assertEqual(site.count_live_views('entry-3'), LARGE_SITE - 1)

    def test_false_suspicion_is_refuted(self) -> None:
        """Guard against one cut link that hides a working instance."""
        site = Site(LARGE_SITE)
        site.run(2)
        heartbeat = membership.build_heartbeat(
            site.states[build_row(3).peer_address],
        )
        address = build_row(7).peer_address
        report = messages.PeerSuspected(
            'entry-3',
            heartbeat.incarnation,
            heartbeat.beat,
        )
        site.reduce(
            address,
            events.PeerMessageReceived(at=site.now, sender='x', message=report),
        )
        self.assertLess(site.count_live_views('entry-3'), LARGE_SITE // 2)
        # An instance that learns of its suspicion sets the timer of its next
        # heartbeat to now.
        site.reduce(
            build_row(3).peer_address,
            events.TimerFired(at=site.now, timer=timers.HeartbeatDue()),
        )
        self.assertEqual(site.count_live_views('entry-3'), LARGE_SITE - 1)

    def test_leaving_instance_is_known_to_all(self) -> None:
        """Guard against callers that are directed to a leaving instance."""
        site = Site(LARGE_SITE)
        site.run(2)
        address = build_row(5).peer_address
        site.reduce(address, events.StopRequested(at=site.now))
        site.reduce(
            address,
            events.TimerFired(at=site.now, timer=timers.HeartbeatDue()),
        )
        self.assertEqual(site.count_live_views('entry-5'), 0)


class UnlistedPeer(unittest.TestCase):
    """An instance may join before the instance list shows it."""

    def test_heard_peer_stays_until_it_is_silent(self) -> None:
        """Guard against an outdated list that removes a live instance."""
        current = build_state(0, 3)
        message = membership.build_heartbeat(build_state(9, 3))
        received = events.PeerMessageReceived(
            at=101,
            sender='x',
            message=message,
        )
        current = handlers.reduce(received, current).state
        listed = calls.InstancesListed(
            tuple(build_row(number) for number in range(3)),
        )
        for at, present in ((102, True), (110, False)):
            answered = events.CallAnswered(
                at=at,
                call=calls.ListInstances(),
                address='a:4',
                answer=listed,
            )
            current = handlers.reduce(answered, current).state
            self.assertEqual(
                'entry-9' in current.membership.peers,
                present,
            )


class EntryAddresses(unittest.TestCase):
    """Callers are spread evenly, also after the failure of an entry."""

    callers = tuple(f'caller-{number}' for number in range(6000))

    def find_first_choices(
        self,
        sizes: tuple[int, ...],
        lost: frozenset[str] = frozenset(),
    ) -> dict[str, str]:
        """Return the first address of each caller, equally many per zone."""
        listed = tuple(
            entry_addresses.Entry(
                f'{zone}.{number}',
                f'zone-{zone}',
                'east-mids',
                f'{zone}.{number}' not in lost,
            )
            for zone, size in enumerate(sizes)
            for number in range(size)
        )
        return {
            caller: entry_addresses.order_entries(
                caller,
                f'zone-{number % len(sizes)}',
                listed,
            )[0].address
            for number, caller in enumerate(self.callers)
        }

    def compute_largest_ratio(self, choices: dict[str, str]) -> float:
        """Return the largest load of an entry relative to the mean."""
        counts = collections.Counter(choices.values())
        return max(counts.values()) * len(counts) / len(choices)

    def test_load_is_even(self) -> None:
        """Guard against more callers in a zone with fewer entries."""
        self.assertLess(
            self.compute_largest_ratio(self.find_first_choices((3, 2, 2))), 1.15
        )

    def test_load_of_a_lost_entry_spreads_over_all(self) -> None:
        """Guard against a failure that doubles the load of one other entry."""
        before = self.find_first_choices((3, 2, 2))
        after = self.find_first_choices((3, 2, 2), frozenset({'1.0'}))
        self.assertLess(self.compute_largest_ratio(after), 1.2)
        moved = {caller for caller in before if before[caller] != after[caller]}
        self.assertEqual(
            moved,
            {caller for caller in before if before[caller] == '1.0'},
        )

    def test_callers_prefer_their_zone(self) -> None:
        """Guard against needless traffic between zones."""
        choices = self.find_first_choices((2, 2, 2))
        local = sum(
            choices[caller].startswith(f'{number % 3}.')
            for number, caller in enumerate(self.callers)
        )
        self.assertEqual(local, len(self.callers))

    def test_answer_is_bounded(self) -> None:
        """Guard against an answer with all addresses of a large site."""
        site = Site(LARGE_SITE)
        site.run(1)
        ordered = entry_addresses.order_entries(
            'caller',
            'zone-3',
            entry_addresses.find_entries(
                site.now,
                site.states[build_row(0).peer_address],
            ),
        )
        self.assertEqual(len(ordered), LARGE_SITE)
        self.assertEqual(ordered[0].availability_zone, 'zone-3')
