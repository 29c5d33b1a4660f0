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


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """Hold an instance, its open requests and when it reads and sends."""

    zone: int
    place: upstream_pace.Place
    pace: upstream_pace.Pace
    reads_at: float
    wants_at: float
    open_count: int = 0


class Request(typing.NamedTuple):
    """Hold a request at the upstream; `sender` is the number of its instance."""

    sent_at: float
    first_at: float
    ends_at: float
    sender: int


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
        self.instances: list[Instance] = []
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

    def change(self, number: int, **changes: typing.Any) -> None:
        """Replace fields of an instance."""
        self.instances[number] = dataclasses.replace(
            self.instances[number], **changes
        )

    def judge(
        self, number: int, evidence: upstream_pace.Evidence, now: float
    ) -> None:
        """Let an instance judge what a request has shown."""
        pace = self.instances[number].pace
        self.change(number, pace=upstream_pace.judge(evidence, pace, now))

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

    def send(self, sender: int, now: float) -> None:
        """Send a request; a queued one begins when an earlier one ends."""
        pause = self.source.expovariate(SENDS_PER_SECOND)
        self.change(sender, wants_at=now + pause)
        if len(self.held) >= self.capacity * REFUSED_SHARE:
            self.refusal_count += 1
            self.judge(sender, upstream_pace.Refused(now), now)
            return
        ends = sorted((request.ends_at for request in self.held), reverse=True)
        begins_at = ends[self.capacity - 1] if ends[self.capacity :] else now
        slowness = self.speeds[now >= COLD_SECONDS]
        open_count = self.instances[sender].open_count + 1
        self.change(sender, open_count=open_count)
        first_at = begins_at + FIRST_SECONDS * slowness
        ends_at = begins_at + REQUEST_SECONDS * slowness
        self.held.append(Request(now, first_at, ends_at, sender))

    def share_findings(self, number: int, now: float) -> None:
        """Exchange findings with the reader, which tells the zone at once."""
        instance, merge = self.instances[number], upstream_pace.merge_reports
        own = immutables.Map({RUNNER: instance.pace})
        known = self.readers.get(instance.zone, own)
        told = merge(known, upstream_pace.build_reports(own, now), now)
        own = merge(own, upstream_pace.build_reports(told, now), now)
        self.readers[instance.zone] = told
        self.change(number, pace=own[RUNNER], reads_at=now + READ_SECONDS)
        if told is known:
            return
        for other_number, other in enumerate(self.instances):
            if other.zone == instance.zone:
                reads_at = min(other.reads_at, now + STEP_SECONDS)
                self.change(other_number, reads_at=reads_at)

    def deliver(self, request: Request, now: float) -> None:
        """Deliver the first event and the end of a request that are due."""
        if request.first_at <= now < request.first_at + STEP_SECONDS:
            answered = upstream_pace.Answered(
                request.sent_at, now - request.sent_at, FIRST_SECONDS
            )
            self.judge(request.sender, answered, now)
        if request.ends_at <= now:
            open_count = self.instances[request.sender].open_count - 1
            self.change(request.sender, open_count=open_count)

    def advance(self, now: float) -> None:
        """Deliver what has happened and send what may be sent."""
        for request in self.held:
            self.deliver(request, now)
        self.held = [request for request in self.held if request.ends_at > now]
        before = len(self.held) + self.refusal_count
        for number in range(len(self.instances)):
            if now >= self.instances[number].reads_at:
                self.share_findings(number, now)
            instance = self.instances[number]
            if now >= instance.wants_at and self.may_send(instance, now):
                self.send(number, now)
        self.arrivals.append(len(self.held) + self.refusal_count - before)
        self.occupied.append(min(len(self.held), self.capacity))
