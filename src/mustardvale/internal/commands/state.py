"""Define the state of the command-line tool."""

import dataclasses

import immutables

from mustardvale.internal import promotions, records
from mustardvale.internal.commands import command_types, reports

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """Hold the records read so far of one environment stream.

    `end_offset` is the offset up to which the stream is read, or -1 until the
    first answer of the log. `has_missed_records` tells whether the log
    dropped records before they were read.
    """

    promoted: promotions.PromotionState = promotions.PromotionState()
    end_offset: int = -1
    rows: tuple[reports.HistoryRow, ...] = ()
    has_missed_records: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Hold the state of one run of the tool.

    `proposed_promotion` is the promotion that was sent to the log. `delivered`
    holds the tokens received so far, and `entry_index` is the index of the
    current entry address.
    """

    command: command_types.Command
    log_address: str = ''
    entry_addresses: tuple[str, ...] = ()
    as_json: bool = False
    timeout_seconds: float = 10
    started_at: float = 0
    readings: immutables.Map[str, Reading] = immutables.Map()
    proposed_promotion: records.Promotion | None = None
    delivered: tuple[str, ...] = ()
    has_answer_ended: bool = False
    entry_index: int = 0
