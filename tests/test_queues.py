"""Test the order and the capacity of the queue."""

import collections
import unittest
import unittest.mock

import hypothesis
from hypothesis import strategies

from mustardvale.internal import events, queues

WEIGHTS = {'large': 100.0, 'middle': 10.0, 'small': 1.0}


def build_ticket(
    number: int,
    account: str = 'small',
    rank: int = 1,
    cost: float = 1,
) -> queues.Ticket:
    """Build a ticket."""
    return queues.Ticket(
        request_id=f'request-{number}',
        account=account,
        rank=rank,
        cost=cost,
        weight=WEIGHTS[account],
        start_by=1e9,
        event=events.CallerRequested(
            at=0,
            request_id=f'request-{number}',
            request=None,
        ),
    )


queue_steps = strategies.lists(
    strategies.one_of(
        strategies.none(),
        strategies.tuples(
            strategies.sampled_from(tuple(WEIGHTS)),
            strategies.integers(0, 2),
            strategies.integers(1, 4096),
        ),
    ),
    max_size=200,
)


class Bounds(unittest.TestCase):
    """The queue is bounded and reports every ticket that it drops."""

    @hypothesis.given(queue_steps, strategies.integers(1, 20))
    @hypothesis.settings(deadline=None)
    def test_length_and_contents(
        self,
        steps: list[tuple[str, int, int] | None],
        capacity: int,
    ) -> None:
        """Guard against an unbounded queue and lost or duplicate tickets."""
        queue = queues.Queue()
        inside: set[str] = set()
        with unittest.mock.patch.object(queues, 'MAXIMUM_TICKETS', capacity):
            for number, step in enumerate(steps):
                if step is None:
                    taken = queues.take(queue)
                    self.assertEqual(taken.ticket is None, not inside)
                else:
                    account, rank, cost = step
                    added = build_ticket(number, account, rank, cost)
                    inside.add(added.request_id)
                    taken = queues.put(added, queue)
                queue = taken.queue
                if taken.ticket is not None:
                    inside.remove(taken.ticket.request_id)
                self.assertEqual(queue.count, len(inside))
                self.assertLessEqual(queue.count, capacity)

    def test_lowest_priority_is_shed(self) -> None:
        """Guard against shedding urgent work in favour of batch work."""
        queue = queues.Queue()
        for number in range(queues.MAXIMUM_TICKETS):
            queue = queues.put(build_ticket(number, rank=2), queue).queue
        urgent = queues.put(build_ticket(9999, rank=0), queue)
        assert urgent.ticket is not None
        self.assertEqual(urgent.ticket.rank, 2)
        last = build_ticket(10000, rank=2)
        self.assertIs(queues.put(last, urgent.queue).ticket, last)

    def test_large_backlog_is_shed(self) -> None:
        """Guard against a large account that displaces a small one."""
        queue = queues.Queue()
        for number in range(queues.MAXIMUM_TICKETS):
            added = build_ticket(number, 'large', cost=1000)
            queue = queues.put(added, queue).queue
        put = queues.put(build_ticket(9999, 'small', cost=1), queue)
        assert put.ticket is not None
        self.assertEqual(put.ticket.account, 'large')


class Fairness(unittest.TestCase):
    """Accounts are served by weight and no priority is starved."""

    def test_shares_follow_the_weights(self) -> None:
        """Guard against serving an account beyond its weight."""
        queue = queues.Queue()
        for number in range(240):
            account = ('large', 'middle')[number % 2]
            queue = queues.put(build_ticket(number, account), queue).queue
        served: collections.Counter[str] = collections.Counter()
        for _ in range(110):
            taken = queues.take(queue)
            queue = taken.queue
            assert taken.ticket is not None
            served[taken.ticket.account] += 1
        self.assertAlmostEqual(served['large'], 100, delta=2)

    @hypothesis.given(strategies.integers(1, 4096))
    def test_small_account_is_not_starved(self, cost: int) -> None:
        """Guard against a new account that waits for the backlog of another."""
        queue = queues.Queue()
        for number in range(300):
            added = build_ticket(number, 'large', cost=cost)
            queue = queues.put(added, queue).queue
        for _ in range(50):
            queue = queues.take(queue).queue
        queue = queues.put(build_ticket(9999, 'small'), queue).queue
        accounts = []
        for _ in range(2):
            taken = queues.take(queue)
            queue = taken.queue
            assert taken.ticket is not None
            accounts.append(taken.ticket.account)
        self.assertIn('small', accounts)

    @hypothesis.given(
        strategies.lists(strategies.integers(0, 1), min_size=64, max_size=64)
    )
    def test_low_priority_is_not_starved(self, ranks: list[int]) -> None:
        """Guard against batch work starved by continuous urgent work."""
        queue = queues.put(build_ticket(0, rank=2), queues.Queue()).queue
        waited = 0
        for number, rank in enumerate(ranks, 1):
            queue = queues.put(build_ticket(number, rank=rank), queue).queue
            taken = queues.take(queue)
            queue = taken.queue
            assert taken.ticket is not None
            if taken.ticket.rank == 2:
                break
            waited += 1
        self.assertLessEqual(waited, queues.MAXIMUM_SKIPPED_STARTS + 1)

    def test_urgent_work_goes_first(self) -> None:
        """Guard against urgent work that waits for batch work."""
        queue = queues.Queue()
        for number, rank in enumerate((2, 1, 0, 2, 1, 0)):
            queue = queues.put(build_ticket(number, rank=rank), queue).queue
        order = []
        for _ in range(6):
            taken = queues.take(queue)
            queue = taken.queue
            assert taken.ticket is not None
            order.append(taken.ticket.rank)
        self.assertEqual(order, [0, 0, 1, 1, 2, 2])
