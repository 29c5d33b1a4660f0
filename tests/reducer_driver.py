"""Drive a reducer without sockets and with a simulated clock."""

import heapq
import itertools
import typing

from mustardvale.internal import effects, events


class Driver:
    """Feed events to a reducer and record its effects and timers."""

    def __init__(self, reduce: typing.Any, state: typing.Any) -> None:
        self.reduce = reduce
        self.state = state
        self.now = 1000.0
        self.sequence = itertools.count()
        self.heap: list[tuple[float, int, typing.Any]] = []
        self.pending_timers: dict[typing.Any, int] = {}
        self.replies: dict[str, typing.Any] = {}
        self.closed: list[str] = []
        self.parts: dict[str, list[typing.Any]] = {}
        self.ends: dict[str, typing.Any] = {}
        self.calls: list[effects.Call] = []
        self.others: list[effects.Effect] = []

    def emit_event(
        self, kind: type[events.Event], **fields: typing.Any
    ) -> None:
        """Reduce an event that happens now."""
        event = kind(at=self.now, wall_time=self.now, **fields)
        transition = self.reduce(event, self.state)
        self.state = transition.state
        for effect in transition.effects:
            self.record_effect(effect)

    def record_effect(self, effect: effects.Effect) -> None:
        """Record an effect."""
        match effect:
            case effects.SetTimer(timer, delay):
                number = next(self.sequence)
                self.pending_timers[timer] = number
                heapq.heappush(self.heap, (self.now + delay, number, timer))
            case effects.CancelTimer(timer):
                self.pending_timers.pop(timer, None)
            case effects.Reply(request_id, reply):
                assert request_id not in self.replies, (
                    'a request must get one reply only'
                )
                self.replies[request_id] = reply
            case effects.CloseCaller(request_id):
                self.closed.append(request_id)
            case effects.StreamPart(request_id, part):
                self.parts.setdefault(request_id, []).append(part)
            case effects.StreamEnd(request_id, end):
                self.ends[request_id] = end
            case effects.Call():
                self.calls.append(effect)
            case _:
                self.others.append(effect)

    def ask(self, request_id: str, request: typing.Any) -> typing.Any:
        """Send a request and return the reply if it is immediate."""
        self.emit_event(
            events.CallerRequested,
            request_id=request_id,
            request=request,
        )
        return self.replies.get(request_id)

    def pass_time(self, seconds: float) -> None:
        """Fire the timers of the next seconds in order."""
        end = self.now + seconds
        while self.heap and self.heap[0][0] <= end:
            due, number, timer = heapq.heappop(self.heap)
            if self.pending_timers.get(timer) != number:
                continue
            del self.pending_timers[timer]
            self.now = max(self.now, due)
            self.emit_event(events.TimerFired, timer=timer)
        self.now = end
