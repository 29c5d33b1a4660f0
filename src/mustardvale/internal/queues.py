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
# A lower priority is served at least once in 16 starts, so that continuous work
# of higher priorities does not starve it.
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
        return sum(rank.count for rank in self.ranks)


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
    rank = queue.ranks[ticket.rank]
    account = rank.accounts.get(ticket.account, AccountQueue(rank.virtual_time))
    extended = AccountQueue(
        max(account.start_tag, rank.virtual_time),
        (*account.tickets, ticket),
    )
    rank = dataclasses.replace(
        rank,
        accounts=rank.accounts.set(ticket.account, extended),
        count=rank.count + 1,
    )
    queue = with_rank(ticket.rank, rank, queue)
    if queue.count <= MAXIMUM_TICKETS:
        return Removal(queue)
    shed = find_ticket_to_shed(queue)
    return Removal(remove(shed, queue), shed)


def with_rank(number: int, rank: RankQueue, queue: Queue) -> Queue:
    """Replace the queue of one priority."""
    before = queue.ranks[:number]
    return Queue((*before, rank, *queue.ranks[number + 1 :]))


def find_ticket_to_shed(queue: Queue) -> Ticket:
    """Return the ticket to shed from a non-empty queue."""
    lowest = next(rank for rank in reversed(queue.ranks) if rank.count)
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
    rank = queue.ranks[ticket.rank]
    account = rank.accounts[ticket.account]
    kept = tuple(queued for queued in account.tickets if queued is not ticket)
    assert len(kept) + 1 == len(account.tickets), (
        'the ticket must be in the queue'
    )
    rank = with_account(
        ticket.account,
        dataclasses.replace(account, tickets=kept),
        dataclasses.replace(rank, count=rank.count - 1),
    )
    return with_rank(ticket.rank, rank, queue)


def with_account(
    name: str,
    account: AccountQueue,
    rank: RankQueue,
) -> RankQueue:
    """Replace an account, or drop it if it is idle and its tag has passed."""
    if account.tickets or account.start_tag > rank.virtual_time:
        accounts = rank.accounts.set(name, account)
    else:
        accounts = rank.accounts.delete(name)
    return dataclasses.replace(rank, accounts=accounts)


def find_ticket(request_id: str, queue: Queue) -> Ticket | None:
    """Return the ticket of a queued request, if any."""
    for rank in queue.ranks:
        for account in rank.accounts.values():
            for ticket in account.tickets:
                if ticket.request_id == request_id:
                    return ticket
    return None


def take(queue: Queue) -> Removal:
    """Remove the next ticket in order, if any."""
    number = find_next_rank(queue)
    if number is None:
        return Removal(queue)
    rank = queue.ranks[number]
    name = min(
        (
            account_name
            for account_name, account in rank.accounts.items()
            if account.tickets
        ),
        key=lambda account_name: (
            rank.accounts[account_name].start_tag,
            account_name,
        ),
    )
    account = rank.accounts[name]
    ticket = account.tickets[0]
    served = dataclasses.replace(
        rank,
        virtual_time=max(rank.virtual_time, account.start_tag),
        skipped_starts=0,
        count=rank.count - 1,
    )
    rest = AccountQueue(
        account.start_tag + ticket.cost / ticket.weight,
        account.tickets[1:],
    )
    queue = with_rank(number, with_account(name, rest, served), queue)
    return Removal(count_skipped_starts(number, queue), ticket)


def find_next_rank(queue: Queue) -> int | None:
    """Return the index of the priority to serve next, if any."""
    waiting = [number for number, rank in enumerate(queue.ranks) if rank.count]
    overdue = [
        number
        for number in waiting
        if queue.ranks[number].skipped_starts >= MAXIMUM_SKIPPED_STARTS
    ]
    return next(iter((*overdue, *waiting)), None)


def count_skipped_starts(served: int, queue: Queue) -> Queue:
    """Count a skipped start for each lower priority with queued requests."""
    ranks = tuple(
        dataclasses.replace(rank, skipped_starts=rank.skipped_starts + 1)
        if rank.count and number > served
        else rank
        for number, rank in enumerate(queue.ranks)
    )
    return Queue(ranks)
