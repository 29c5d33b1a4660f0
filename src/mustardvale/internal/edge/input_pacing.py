"""Limit how much of the loop's time the answers of other processes take.

Parsing takes time for each piece of an answer, however small. In one turn of
the loop a connection parses a limited number of pieces, and leaves the rest to
later turns. An answer with many more pieces than a sound one waits between its
turns; all such answers share one rate.
"""

import dataclasses
import logging
import time
import typing

import circuits

from mustardvale.internal.edge import timer_queue

logger = logging.getLogger('mustardvale')

# Parsing a piece and handling it takes some 60 microseconds.
PIECES_PER_TURN = 64
# Pieces of an answer that may arrive at once, and then in each second, without
# a wait. The fastest streams have an event every four milliseconds.
BURST_PIECES = 1024
PIECES_PER_SECOND = 250.0
# Pieces that all answers together may have beyond that: a quarter of the loop.
SHARED_PIECES_PER_SECOND = 4000.0
LOG_PERIOD_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """Hold how many pieces an answer had left without a wait at a time."""

    pieces: float = BURST_PIECES
    updated_at: float = 0.0


NEW_ANSWER = Allowance()


@dataclasses.dataclass(frozen=True, slots=True)
class Charge:
    """Hold the allowance of an answer and the shared rate after a turn.

    `shared_free_at` is when the pieces that exceeded an allowance so far are
    within the shared rate, and `wait_seconds` how long the answer has to wait.
    """

    allowance: Allowance
    shared_free_at: float
    wait_seconds: float


def charge_pieces(
    allowance: Allowance, shared_free_at: float, count: int, now: float
) -> Charge:
    """Charge an answer for the pieces of one turn."""
    added = (now - allowance.updated_at) * PIECES_PER_SECOND
    remaining = min(allowance.pieces + added, BURST_PIECES) - count
    charged = Allowance(max(remaining, -BURST_PIECES), now)
    if remaining >= 0:
        return Charge(charged, shared_free_at, 0.0)
    free_at = max(shared_free_at, now) + count / SHARED_PIECES_PER_SECOND
    return Charge(charged, free_at, free_at - now)


class PacedConnection(typing.Protocol):
    """Continue to parse input when its turn comes.

    `is_paced` is true while the connection waits for its turn.
    """

    address: str
    allowance: Allowance
    is_paced: bool

    def continue_input(self) -> None:
        """Parse what is left, or read on."""


class InputPacer(circuits.Component):
    """Give the connections of a client their turns."""

    channel = 'input_pacer'

    def __init__(self) -> None:
        super().__init__()
        self.shared_free_at = 0.0
        self.next_log_at = 0.0
        self.timer_queue = timer_queue.TimerQueue(continue_paced).register(self)

    def end_turn(
        self, connection: PacedConnection, count: int, has_more: bool
    ) -> bool:
        """Charge a connection for a turn; return whether it has to wait."""
        now = time.monotonic()
        charge = charge_pieces(
            connection.allowance, self.shared_free_at, count, now
        )
        connection.allowance = charge.allowance
        self.shared_free_at = charge.shared_free_at
        if charge.wait_seconds and now >= self.next_log_at:
            self.next_log_at = now + LOG_PERIOD_SECONDS
            logger.warning(
                'answer_paced',
                extra={
                    'address': connection.address,
                    'wait_ms': round(charge.wait_seconds * 1000),
                },
            )
        if has_more or charge.wait_seconds:
            self.resume_later(connection, charge.wait_seconds)
        return connection.is_paced

    def resume_later(
        self, connection: PacedConnection, wait_seconds: float = 0.0
    ) -> None:
        """Continue the input of a connection in a later turn of the loop."""
        connection.is_paced = True
        self.timer_queue.set_timer(connection, wait_seconds)


def continue_paced(connection: PacedConnection) -> None:
    """Continue the input of a connection whose wait has ended."""
    connection.is_paced = False
    connection.continue_input()
