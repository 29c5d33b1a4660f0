"""Model a new upstream and the instances that send to it.

Every instance always has a request that it would send to the new upstream. It
answers in the usual time up to its capacity; further requests queue, and above
half as many more it refuses. `answers` is the product's rule, `ramp` raises the
allowance evenly over 10 s, and `loads` only has the estimate that all other
instances have as many requests open there.
"""

import dataclasses
import random
import typing

import immutables

from mustardvale.internal.relay import upstream_pace

STEP_SECONDS = 0.01
FIRST_SECONDS = 0.2
REQUEST_SECONDS = 1.0
READ_SECONDS = 0.7
RAMP_SECONDS = 10.0
REFUSED_SHARE = 1.5
ZONES = 5
RUNNER = 'new'
# Slowness of the upstream before and from 3 s on.
SPEEDS = {'warm': (1.0, 1.0), 'half': (2.0, 2.0), 'cold': (5.0, 1.0)}
COLD_SECONDS = 3.0
SENDS_PER_SECOND = 8.0


@dataclasses.dataclass(slots=True)
class Instance:
    """Hold an instance, its open requests and when it reads and sends."""

    zone: int
    place: upstream_pace.Place
    pace: upstream_pace.Pace
    reads_at: float
    wants_at: float
    open_count: int = 0


class Request(typing.NamedTuple):
    """Hold a request at the upstream."""

    sent_at: float
    first_at: float
    ends_at: float
    sender: Instance


class Run:
    """Simulate an upstream and the instances that send to it."""

    def __init__(
        self, rule: str, speed: str, count: int, capacity: int, seed: int
    ) -> None:
        self.rule, self.speeds, self.capacity = rule, SPEEDS[speed], capacity
        self.source = random.Random(seed)
        self.readers: dict[int, upstream_pace.PaceMap] = {}
        self.held: list[Request] = []
        self.refusal_count = 0
        self.arrivals: list[int] = []
        self.occupied: list[int] = []
        kind = upstream_pace.PaceKind.COLD
        self.instances = []
        for number in range(count):
            zone = number % ZONES
            listed_at = self.source.uniform(0, READ_SECONDS)
            place = upstream_pace.Place(
                number // ZONES, count // ZONES + 1, count
            )
            pace = upstream_pace.Pace(
                kind,
                1,
                capacity,
                REQUEST_SECONDS,
                listed_at,
                listed_at,
                upstream_pace.draw_offset(str(zone), RUNNER, 1),
            )
            reads_at = listed_at + self.source.uniform(0, READ_SECONDS)
            self.instances.append(
                Instance(zone, place, pace, reads_at, listed_at)
            )

    def may_send(self, instance: Instance, now: float) -> bool:
        """Return whether an instance may send a request now."""
        pace = instance.pace
        if self.rule == 'loads':
            estimate = instance.open_count * len(self.instances)
            return estimate < self.capacity
        if self.rule == 'ramp':
            share = (now - pace.began_at) / RAMP_SECONDS
            pace = dataclasses.replace(
                pace, share=min(share, 1.0), slowness=1.0
            )
        return instance.open_count < upstream_pace.compute_allowance(
            pace, instance.place, now
        )

    def send(self, sender: Instance, now: float) -> None:
        """Send a request; a queued one begins when an earlier one ends."""
        sender.wants_at = now + self.source.expovariate(SENDS_PER_SECOND)
        if len(self.held) >= self.capacity * REFUSED_SHARE:
            self.refusal_count += 1
            refused = upstream_pace.Refused(now)
            sender.pace = upstream_pace.judge(refused, sender.pace, now)
            return
        ends = sorted((request.ends_at for request in self.held), reverse=True)
        begins_at = ends[self.capacity - 1] if ends[self.capacity :] else now
        slowness = self.speeds[now >= COLD_SECONDS]
        sender.open_count += 1
        first_at = begins_at + FIRST_SECONDS * slowness
        ends_at = begins_at + REQUEST_SECONDS * slowness
        self.held.append(Request(now, first_at, ends_at, sender))

    def share_findings(self, instance: Instance, now: float) -> None:
        """Exchange findings with the reader, which tells the zone at once."""
        zone, merge = instance.zone, upstream_pace.merge_reports
        own = immutables.Map({RUNNER: instance.pace})
        known = self.readers.get(zone, own)
        told = merge(known, upstream_pace.build_reports(own, now), now)
        own = merge(own, upstream_pace.build_reports(told, now), now)
        self.readers[zone], instance.pace = told, own[RUNNER]
        instance.reads_at = now + READ_SECONDS
        for other in self.instances if told is not known else ():
            if other.zone == zone:
                other.reads_at = min(other.reads_at, now + STEP_SECONDS)

    def advance(self, now: float) -> None:
        """Deliver what has happened and send what may be sent."""
        for request in self.held:
            sender = request.sender
            if request.first_at <= now < request.first_at + STEP_SECONDS:
                answered = upstream_pace.Answered(
                    request.sent_at, now - request.sent_at, FIRST_SECONDS
                )
                sender.pace = upstream_pace.judge(answered, sender.pace, now)
            sender.open_count -= request.ends_at <= now
        self.held = [request for request in self.held if request.ends_at > now]
        before = len(self.held) + self.refusal_count
        for instance in self.instances:
            if now >= instance.reads_at:
                self.share_findings(instance, now)
            if now >= instance.wants_at and self.may_send(instance, now):
                self.send(instance, now)
        self.arrivals.append(len(self.held) + self.refusal_count - before)
        self.occupied.append(min(len(self.held), self.capacity))
