"""Schedule the timers of a process on its event loop."""

import collections
import heapq
import itertools
import time
import typing
from collections import abc

import circuits


class TimerQueue(circuits.Component):
    """Keep timers in one heap and report each one when it is due.

    A circuits timer is a component of its own, which costs too much for one
    timer per request. A timer that is replaced or cancelled stays in the heap
    until it is due; `current` holds the numbers of the valid entries.
    """

    channel = 'timer_queue'

    def __init__(self, report: abc.Callable[[typing.Any], None]) -> None:
        super().__init__()
        self.report = report
        self.heap: list[tuple[float, int, typing.Any]] = []
        self.current: dict[typing.Any, int] = {}
        self.sequence = itertools.count()

    def set_timer(self, timer: typing.Any, delay_seconds: float) -> None:
        """Set a timer; one that equals it is replaced."""
        number = next(self.sequence)
        self.current[timer] = number
        due = time.monotonic() + max(delay_seconds, 0)
        heapq.heappush(self.heap, (due, number, timer))

    def cancel_timer(self, timer: typing.Any) -> None:
        """Cancel a timer; one that is not set is ignored."""
        self.current.pop(timer, None)

    @circuits.handler('generate_events')
    def bound_poll(self, event: typing.Any) -> None:
        """Report due timers and limit the time that the poller may block."""
        if self.report_due(time.monotonic()):
            # circuits does not shorten the poll for events that are fired
            # while this event is handled.
            event.reduce_time_left(0)
        if self.heap:
            event.reduce_time_left(
                max(self.heap[0][0] - time.monotonic(), 0),
            )

    def report_due(self, now: float) -> bool:
        """Report due timers; return whether there were any.

        The handler of one may cancel or replace another one. A timer that it
        sets is left to the next call, and so are the remaining ones if it
        raises an exception.
        """
        due = collections.deque[tuple[float, int, typing.Any]]()
        while self.heap and self.heap[0][0] <= now:
            due.append(heapq.heappop(self.heap))
        try:
            return self.report_each(due)
        finally:
            for entry in due:
                heapq.heappush(self.heap, entry)

    def report_each(
        self, due: collections.deque[tuple[float, int, typing.Any]]
    ) -> bool:
        """Report timers, and remove them; return whether any was valid."""
        has_reported = False
        while due:
            _, number, timer = due.popleft()
            if self.current.get(timer) == number:
                del self.current[timer]
                has_reported = True
                self.report(timer)
        return has_reported
