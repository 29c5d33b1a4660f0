"""Queue requests by priority and fairly between client accounts.

Within a priority the order is start-time fair queueing (Goyal et al. 1996):
each account has a start tag that grows by cost / weight with each request that
it starts, and the account with the lowest tag is served next.
"""

import dataclasses

import immutables

from mustardvale import document as documents
from mustardvale.internal import events

MAXIMUM_TICKETS = 512
# After this many starts of higher priorities a lower one is served next, so that
# continuous work of higher priorities does not starve it.
MAXIMUM_SKIPPED_STARTS = 15

RANKS = tuple(documents.Priority)


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Hold a queued request.

    `cost` is in tokens and `weight` in tokens per second. `start_by` is the
    monotonic time after which the request cannot meet its deadline.
    """

    request_id: str
    account: str
    rank: int
    cost: float
    weight: float
    start_by: float
    event: events.CallerRequested


@dataclasses.dataclass(frozen=True, slots=True)
class AccountQueue:
    """Hold the tickets of one account in order of arrival."""

    start_tag: float
    tickets: tuple[Ticket, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RankQueue:
    """Hold the accounts of one priority.

    `virtual_time` is the start tag of the request started last;
    `skipped_starts` counts the starts of higher priorities since then.
    """

    accounts: immutables.Map[str, AccountQueue] = immutables.Map()
    virtual_time: float = 0
    skipped_starts: int = 0
    count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """Hold the queued requests, with the most urgent priority first."""

    ranks: tuple[RankQueue, ...] = (RankQueue(),) * len(RANKS)

    @property
    def count(self) -> int:
        """Return the number of queued requests."""
        return sum(rank_queue.count for rank_queue in self.ranks)


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """Pair a queue with the ticket removed from it, if any."""

    queue: Queue
    ticket: Ticket | None = None


def count_ahead(rank: int, queue: Queue) -> int:
    """Return the number of queued requests of at least this priority."""
    return sum(rank_queue.count for rank_queue in queue.ranks[: rank + 1])


def put(ticket: Ticket, queue: Queue) -> Removal:
    """Add a ticket; if the queue is full, remove one to shed.

    In the lowest priority that is queued, the account with the largest backlog
    relative to its weight loses its last ticket, which may be the added one.
    """
    rank_queue = queue.ranks[ticket.rank]
    account = rank_queue.accounts.get(
        ticket.account, AccountQueue(rank_queue.virtual_time)
    )
    extended = AccountQueue(
        max(account.start_tag, rank_queue.virtual_time),
        (*account.tickets, ticket),
    )
    rank_queue = dataclasses.replace(
        rank_queue,
        accounts=rank_queue.accounts.set(ticket.account, extended),
        count=rank_queue.count + 1,
    )
    queue = with_rank(ticket.rank, rank_queue, queue)
    if queue.count <= MAXIMUM_TICKETS:
        return Removal(queue)
    shed = find_ticket_to_shed(queue)
    return Removal(remove(shed, queue), shed)


def with_rank(number: int, rank_queue: RankQueue, queue: Queue) -> Queue:
    """Replace the queue of one priority."""
    before = queue.ranks[:number]
    return Queue((*before, rank_queue, *queue.ranks[number + 1 :]))


def find_ticket_to_shed(queue: Queue) -> Ticket:
    """Return the ticket to shed from a non-empty queue."""
    lowest = next(
        rank_queue for rank_queue in reversed(queue.ranks) if rank_queue.count
    )
    heaviest = max(
        (account for account in lowest.accounts.values() if account.tickets),
        key=compute_backlog,
    )
    return heaviest.tickets[-1]


def compute_backlog(account: AccountQueue) -> float:
    """Return the queued cost of an account relative to its weight."""
    return sum(ticket.cost / ticket.weight for ticket in account.tickets)


def remove(ticket: Ticket, queue: Queue) -> Queue:
    """Remove a queued ticket."""
    rank_queue = queue.ranks[ticket.rank]
    account = rank_queue.accounts[ticket.account]
    kept = tuple(queued for queued in account.tickets if queued is not ticket)
    assert len(kept) + 1 == len(account.tickets), (
        'the ticket must be in the queue'
    )
    rank_queue = with_account(
        ticket.account,
        dataclasses.replace(account, tickets=kept),
        dataclasses.replace(rank_queue, count=rank_queue.count - 1),
    )
    return with_rank(ticket.rank, rank_queue, queue)


def with_account(
    name: str,
    account: AccountQueue,
    rank_queue: RankQueue,
) -> RankQueue:
    """Replace an account, or drop it if it is idle and its tag has passed."""
    if account.tickets or account.start_tag > rank_queue.virtual_time:
        accounts = rank_queue.accounts.set(name, account)
    else:
        accounts = rank_queue.accounts.delete(name)
    return dataclasses.replace(rank_queue, accounts=accounts)


def find_ticket(request_id: str, queue: Queue) -> Ticket | None:
    """Return the ticket of a queued request, if any."""
    for rank_queue in queue.ranks:
        for account in rank_queue.accounts.values():
            for ticket in account.tickets:
                if ticket.request_id == request_id:
                    return ticket
    return None


def take(queue: Queue) -> Removal:
    """Remove the next ticket in order, if any."""
    number = find_next_rank(queue)
    if number is None:
        return Removal(queue)
    rank_queue = queue.ranks[number]
    name = min(
        (
            account_name
            for account_name, account in rank_queue.accounts.items()
            if account.tickets
        ),
        key=lambda account_name: (
            rank_queue.accounts[account_name].start_tag,
            account_name,
        ),
    )
    account = rank_queue.accounts[name]
    ticket = account.tickets[0]
    served = dataclasses.replace(
        rank_queue,
        virtual_time=max(rank_queue.virtual_time, account.start_tag),
        skipped_starts=0,
        count=rank_queue.count - 1,
    )
    rest = AccountQueue(
        account.start_tag + ticket.cost / ticket.weight,
        account.tickets[1:],
    )
    queue = with_rank(number, with_account(name, rest, served), queue)
    return Removal(count_skipped_starts(number, queue), ticket)


def find_next_rank(queue: Queue) -> int | None:
    """Return the index of the priority to serve next, if any."""
    waiting = [
        number
        for number, rank_queue in enumerate(queue.ranks)
        if rank_queue.count
    ]
    overdue = [
        number
        for number in waiting
        if queue.ranks[number].skipped_starts >= MAXIMUM_SKIPPED_STARTS
    ]
    return next(iter((*overdue, *waiting)), None)


def count_skipped_starts(served: int, queue: Queue) -> Queue:
    """Count a skipped start for each lower priority with queued requests."""
    ranks = tuple(
        dataclasses.replace(
            rank_queue, skipped_starts=rank_queue.skipped_starts + 1
        )
        if rank_queue.count and number > served
        else rank_queue
        for number, rank_queue in enumerate(queue.ranks)
    )
    return Queue(ranks)
