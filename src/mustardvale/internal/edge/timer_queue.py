"""Keep all timers of a process in one heap."""

import heapq
import itertools
import time
import typing
from collections import abc

import circuits


class TimerQueue(circuits.Component):
    """Report timers on the loop when their delay is over.

    A circuits timer is a component of its own, which is too heavy for one
    deadline per request.
    """

    channel = 'timer_queue'

    def __init__(self, report: abc.Callable[[typing.Any], None]) -> None:
        super().__init__()
        self.report = report
        self.heap: list[tuple[float, int, typing.Any]] = []
        self.current: dict[typing.Any, int] = {}
        self.sequence = itertools.count()

    def set_timer(self, timer: typing.Any, delay_seconds: float) -> None:
        """Set or replace a timer."""
        number = next(self.sequence)
        self.current[timer] = number
        due = time.monotonic() + max(delay_seconds, 0)
        heapq.heappush(self.heap, (due, number, timer))

    def cancel_timer(self, timer: typing.Any) -> None:
        """Forget a timer."""
        self.current.pop(timer, None)

    @circuits.handler('generate_events')
    def bound_poll(self, event: typing.Any) -> None:
        """Report what is due and bound the time that the poller may block."""
        if self.report_due(time.monotonic()):
            # Events that are fired while this one is handled do not shorten
            # the poll by themselves.
            event.reduce_time_left(0)
        if self.heap:
            event.reduce_time_left(
                max(self.heap[0][0] - time.monotonic(), 0),
            )

    def report_due(self, now: float) -> bool:
        """Report the timers that are due; return whether there were any."""
        due = []
        while self.heap and self.heap[0][0] <= now:
            _, number, timer = heapq.heappop(self.heap)
            if self.current.get(timer) == number:
                del self.current[timer]
                due.append(timer)
        for timer in due:
            self.report(timer)
        return bool(due)
