"""Test the timers of a loop."""

import typing
import unittest

from mustardvale.internal.edge import timer_queue

DELAY_SECONDS = 60.0


class TimersDueTogether(unittest.TestCase):
    """The handler of a timer may cancel or replace one that is due too.

    After a delay of the process, many timers are due at once.
    """

    def setUp(self) -> None:
        self.reported: list[str] = []
        self.react: typing.Callable[[], None] = bool
        self.queue = timer_queue.TimerQueue(self.report)
        for timer in ('first', 'second'):
            self.queue.set_timer(timer, 0)

    def report(self, timer: str) -> None:
        """Record a timer, and react as the test sets."""
        self.reported.append(timer)
        self.react()

    def report_due(self) -> None:
        """Report the timers that are due now."""
        self.queue.report_due(self.queue.heap[-1][0])

    def test_cancelled_timer_is_not_reported(self) -> None:
        """Guard against a timer of something that has just ended."""
        self.react = lambda: self.queue.cancel_timer('second')
        self.report_due()
        self.assertEqual(['first'], self.reported)

    def test_replaced_timer_is_not_reported_early(self) -> None:
        """Guard against a timer that is reported at its earlier time."""
        self.react = lambda: self.queue.set_timer('second', DELAY_SECONDS)
        self.report_due()
        self.assertEqual(['first'], self.reported)
        self.assertIn('second', self.queue.current)

    def test_timer_that_sets_itself_is_reported_once(self) -> None:
        """Guard against a loop that handles one timer without end."""
        self.react = lambda: self.queue.set_timer('first', 0)
        self.report_due()
        self.assertEqual(['first', 'second'], self.reported)

    def test_exception_leaves_the_others_due(self) -> None:
        """Guard against an open request that is never checked again.

        The state of the reducer holds that its timer is set.
        """
        self.react = self.fail
        with self.assertRaises(self.failureException):
            self.report_due()
        self.react = bool
        self.report_due()
        self.assertEqual(['first', 'second'], self.reported)
