"""Drive a group of entry instances that exchange evidence, without a network.

Each instance is a state and the reducer. Calls between instances are delivered
at once, in order, and counted with the size of their messages.
"""

import collections
import dataclasses
import itertools
import typing

import msgspec

from mustardvale.internal import effects, events
from mustardvale.internal.relay import (
    calls,
    configuration,
    handlers,
    instance_settings,
    members,
    runner_list,
)
from mustardvale.internal.relay import state as states

# The readers of a zone are the first of its instances by id.
READER_COUNT = members.READERS_PER_ZONE


class Traffic:
    """Count the messages between instances and their bytes.

    `received` has the messages by instance.
    """

    def __init__(self) -> None:
        self.message_count = 0
        self.byte_count = 0
        self.received: collections.Counter[str] = collections.Counter()

    def add(self, receiver: str, message: typing.Any) -> None:
        """Count one message."""
        self.message_count += 1
        self.byte_count += len(msgspec.json.encode(message))
        self.received[receiver] += 1


def build_member(number: int, zone: str) -> members.Member:
    """Return the description of an instance."""
    return members.Member(
        f'entry-{number:03}',
        f'10.0.{number}.1:80',
        zone,
        'region',
        f'10.0.{number}.1:84',
    )


def build_state(
    member: members.Member, listed: tuple[members.Member, ...]
) -> states.State:
    """Return the state of an instance that knows its zone and all readers."""
    zone = tuple(
        other
        for other in listed
        if other.availability_zone == member.availability_zone
    )
    addresses = instance_settings.Addresses(
        member.front, '', '', '', '10.9.0.1:90', member.peers
    )
    return states.State(
        identity=instance_settings.Identity(
            member.instance_id, member.availability_zone, 'region', addresses
        ),
        limits=instance_settings.Limits(),
        seed=1,
        configuration=states.ConfigurationState(
            active=configuration.Configuration(1),
            position=1,
            confirmed_at=0.0,
            is_reading=True,
        ),
        runner_list=runner_list.RunnerListState(
            position=1, complete_from=1, read_at=0.0
        ),
        members=members.MemberState(
            zone=members.GroupState(listed_generation=1, listed=zone),
            readers=members.GroupState(
                listed_generation=1, listed=list_readers(listed)
            ),
        ),
    )


def list_readers(
    listed: tuple[members.Member, ...],
) -> tuple[members.Member, ...]:
    """Return the readers of all zones."""
    zones: dict[str, list[members.Member]] = {}
    for member in listed:
        zones.setdefault(member.availability_zone, []).append(member)
    readers = itertools.chain.from_iterable(
        zone[:READER_COUNT] for zone in zones.values()
    )
    return tuple(sorted(readers, key=lambda member: member.instance_id))


class Group:
    """Hold the instances of a site and deliver their calls to each other."""

    def __init__(self, instance_count: int, zone_count: int) -> None:
        listed = tuple(
            build_member(number, f'zone-{number % zone_count}')
            for number in range(instance_count)
        )
        self.now = 1000.0
        self.traffic = Traffic()
        self.names = [member.instance_id for member in listed]
        self.names_by_address = {
            member.peers: member.instance_id for member in listed
        }
        self.states = {
            member.instance_id: build_state(member, listed) for member in listed
        }
        # The name of the caller and its call, by receiver and request id.
        self.open_calls: dict[str, tuple[str, effects.Call]] = {}
        self.numbers = itertools.count()
        self.queue: collections.deque[tuple[str, effects.Effect]] = (
            collections.deque()
        )
        for name in self.names:
            self.follow_reader(name)

    def follow_reader(self, name: str) -> None:
        """Let an instance that is no reader wait for an update of one."""
        zone = self.states[name].members.zone.listed
        if name in {member.instance_id for member in zone[:READER_COUNT]}:
            return
        known = self.states[name]
        call = calls.FollowPeer(
            1, 1, known.members.checksum, crash_checksum=known.crashes.checksum
        )
        self.queue.append((name, effects.Call(call, zone[0].peers, 1)))
        self.deliver()

    def reduce(self, name: str, event: events.Event) -> None:
        """Reduce an event at an instance and deliver what follows from it."""
        transition = handlers.reduce(event, self.states[name])
        self.states[name] = transition.state
        self.queue.extend((name, effect) for effect in transition.effects)
        self.deliver()

    def apply(self, name: str, step: typing.Any) -> None:
        """Apply a step to the state of an instance, and deliver the effects."""
        transition = step(self.states[name])
        self.states[name] = transition.state
        self.queue.extend((name, effect) for effect in transition.effects)
        self.deliver()

    def deliver(self) -> None:
        """Deliver the calls and replies between instances."""
        while self.queue:
            name, effect = self.queue.popleft()
            match effect:
                case effects.Call(_, address, _):
                    self.deliver_call(name, address, effect)
                case effects.Reply(request_id, reply):
                    self.deliver_reply(request_id, reply)

    def deliver_call(self, name: str, address: str, call: effects.Call) -> None:
        """Deliver a call to another instance; drop those to others."""
        receiver = self.names_by_address.get(address)
        if receiver is None:
            return
        request_id = f'call-{next(self.numbers)}'
        self.open_calls[request_id] = (name, call)
        if isinstance(call.call, calls.ReportCrashes):
            self.traffic.add(receiver, call.call)
        event = events.CallerRequested(
            at=self.now,
            wall_time=self.now,
            request_id=request_id,
            request=call.call,
        )
        transition = handlers.reduce(event, self.states[receiver])
        self.states[receiver] = transition.state
        self.queue.extend((receiver, effect) for effect in transition.effects)

    def deliver_reply(self, request_id: str, reply: typing.Any) -> None:
        """Deliver the answer to a call; a follower then waits again."""
        caller = self.open_calls.pop(request_id, None)
        if caller is None:
            return
        name, call = caller
        self.traffic.add(name, reply)
        if isinstance(reply, calls.PeerUpdate):
            known = self.states[name]
            feed = dataclasses.replace(
                known.peer_feed, reader_id='reader', requested_at=self.now
            )
            self.states[name] = dataclasses.replace(known, peer_feed=feed)
        event = events.CallAnswered(
            at=self.now,
            wall_time=self.now,
            call=call.call,
            address=call.address,
            answer=reply,
        )
        transition = handlers.reduce(event, self.states[name])
        self.states[name] = transition.state
        self.queue.extend((name, effect) for effect in transition.effects)

    def count_blocking(self) -> int:
        """Return how many instances refuse some combination of parts."""
        return sum(bool(state.crashes.blocks) for state in self.states.values())
